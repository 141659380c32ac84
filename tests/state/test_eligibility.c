#include "bulrushpost/constraints.h"
#include "support/model.h"
#include "support/runner.h"

static bp_model_t model;
static bp_vm_t *vm_a1;
static bp_vm_t *vm_a2;
static bp_vm_t *vm_b1;

static void
setup(const char *rules)
{
	bp_model_init(&model);
	vm_a1 = bp_model_vm(&model, "a1", "za/r1", 16000, 60000, 0);
	vm_a2 = bp_model_vm(&model, "a2", "za/r1", 16000, 60000, 0);
	vm_b1 = bp_model_vm(&model, "b1", "zb/r1", 16000, 60000, 2);
	CU_ASSERT_EQUAL(bp_model_rules(&model, rules), BP_OK);
}

static uint32_t
check(const bp_job_t *job, const bp_vm_t *vm, bp_eligibility_facts_t *facts)
{
	return bp_eligibility_check(model.state, job, vm, facts);
}

static bp_job_t *
batch(const char *id, uint32_t tasks, uint32_t cpu_milli)
{
	return bp_model_job(
	    &model, id, "feed", BP_CLASS_BATCH, tasks, cpu_milli, 1000);
}

/* Guards against over-commitment and a wrong shortfall. */
static void
test_capacity_and_shortfall(void)
{
	bp_eligibility_facts_t facts;
	bp_job_t *job;
	bp_job_t *large;

	setup("# empty\n");
	job = batch("mix", 4, 5000);
	large = batch("huge", 1, 16001);
	CU_ASSERT_EQUAL(bp_model_assign(&model, job, 0, 3, vm_a1), BP_OK);
	CU_ASSERT_EQUAL(check(job, vm_a1, &facts), BP_CAUSE_NO_CAPACITY);
	CU_ASSERT_EQUAL(facts.shortfall.cpu_milli, 4000);
	CU_ASSERT_EQUAL(facts.shortfall.memory_mib, 0);
	CU_ASSERT_EQUAL(check(job, vm_a2, NULL), 0);
	CU_ASSERT_EQUAL(check(large, vm_a2, &facts), BP_CAUSE_NEVER_FITS);
	CU_ASSERT_EQUAL(facts.shortfall.cpu_milli, 1);
	CU_ASSERT_EQUAL(check(large, vm_a1, NULL),
	    BP_CAUSE_NEVER_FITS | BP_CAUSE_NO_CAPACITY);
	bp_model_clear(&model);
}

/* Guards against a quota that is off by one task or by reserved tasks. */
static void
test_quota_counts_reservations(void)
{
	bp_reservations_t *reserved = bp_reservations_new();
	bp_eligibility_facts_t facts;
	bp_constraints_t constraints;
	bp_job_t *job;

	setup("team feed quota cpu=10 memory=100G accelerators=0  # ola\n");
	job = batch("mix", 4, 5000);
	CU_ASSERT_EQUAL(bp_model_assign(&model, job, 0, 1, vm_a1), BP_OK);
	CU_ASSERT_EQUAL(check(job, vm_b1, NULL), 0);
	bp_constraints_init(&constraints, model.state, job);
	bp_reservations_add(reserved, job, vm_a2, 1);
	CU_ASSERT_EQUAL(
	    bp_constraints_check(&constraints, vm_b1, reserved, NULL, NULL),
	    BP_CAUSE_QUOTA);
	bp_constraints_clear(&constraints);
	CU_ASSERT_EQUAL(bp_model_assign(&model, job, 1, 1, vm_a1), BP_OK);
	CU_ASSERT_EQUAL(check(job, vm_b1, &facts), BP_CAUSE_QUOTA);
	CU_ASSERT_STRING_EQUAL(facts.quota->requested_by, "ola");
	CU_ASSERT_EQUAL(bp_model_assign(&model, job, 2, 1, vm_b1), BP_EREFUSED);
	bp_reservations_free(reserved);
	bp_model_clear(&model);
}

/* Guards against a place rule that is ignored or applied to other jobs. */
static void
test_only_and_never(void)
{
	bp_eligibility_facts_t facts;
	bp_job_t *mix;
	bp_job_t *other;

	setup("job mix* only zone zb  # ola\n"
	      "team feed never vm a2  # jan\n");
	mix = batch("mix-1", 1, 1000);
	other = batch("roster", 1, 1000);
	CU_ASSERT_EQUAL(check(mix, vm_a1, &facts), BP_CAUSE_RULE);
	CU_ASSERT_EQUAL(facts.rule->line, 1);
	CU_ASSERT_EQUAL(check(mix, vm_b1, NULL), 0);
	CU_ASSERT_EQUAL(check(other, vm_a1, NULL), 0);
	CU_ASSERT_EQUAL(check(other, vm_a2, &facts), BP_CAUSE_RULE);
	CU_ASSERT_EQUAL(facts.rule->line, 2);
	bp_model_clear(&model);
}

/* Guards against a spread that counts tasks of other jobs or the wrong place.
 */
static void
test_spread(void)
{
	bp_job_t *job;
	bp_job_t *other;

	setup("job watch spread 1 per rack  # ola\n"
	      "job hive spread 2 per zone  # ola\n");
	job = batch("watch", 3, 1000);
	other = batch("hive", 3, 1000);
	CU_ASSERT_EQUAL(bp_model_assign(&model, job, 0, 1, vm_a1), BP_OK);
	CU_ASSERT_EQUAL(check(job, vm_a2, NULL), BP_CAUSE_RULE);
	CU_ASSERT_EQUAL(check(job, vm_b1, NULL), 0);
	CU_ASSERT_EQUAL(bp_model_assign(&model, other, 0, 1, vm_a1), BP_OK);
	CU_ASSERT_EQUAL(check(other, vm_a2, NULL), 0);
	CU_ASSERT_EQUAL(bp_model_assign(&model, other, 1, 1, vm_a2), BP_OK);
	CU_ASSERT_EQUAL(check(other, vm_a1, NULL), BP_CAUSE_RULE);
	bp_model_clear(&model);
}

/* Guards against an apart rule that holds in one direction only. */
static void
test_apart_both_ways(void)
{
	bp_job_t *mix;
	bp_job_t *match;

	setup("job mix apart from job match  # ola\n");
	mix = batch("mix", 2, 1000);
	match = batch("match", 2, 1000);
	CU_ASSERT_EQUAL(bp_model_assign(&model, mix, 0, 1, vm_a1), BP_OK);
	CU_ASSERT_EQUAL(bp_model_assign(&model, match, 0, 1, vm_a2), BP_OK);
	CU_ASSERT_EQUAL(check(match, vm_a1, NULL), BP_CAUSE_RULE);
	CU_ASSERT_EQUAL(check(mix, vm_a2, NULL), BP_CAUSE_RULE);
	CU_ASSERT_EQUAL(check(mix, vm_a1, NULL), 0);
	bp_model_clear(&model);
}

/* Guards against starts in places out of service, on hold or unowned. */
static void
test_zone_hold_owner(void)
{
	bp_eligibility_facts_t facts;
	bp_job_t *job;

	setup("# empty\n");
	job = batch("mix", 1, 1000);
	bp_model_zone(&model, "za", true);
	CU_ASSERT_EQUAL(check(job, vm_a1, &facts), BP_CAUSE_ZONE_OUT);
	CU_ASSERT_STRING_EQUAL(facts.zone->author, "ola");
	bp_model_zone(&model, "za", false);
	bp_model_hold(&model, vm_a1, BP__LOG__HOLD_CAUSE__HOLD_QUARANTINED);
	CU_ASSERT_EQUAL(check(job, vm_a1, &facts), BP_CAUSE_VM_HOLD);
	CU_ASSERT_PTR_EQUAL(facts.vm, vm_a1);
	bp_model_release(&model, "zb/r1");
	CU_ASSERT_EQUAL(check(job, vm_b1, NULL), BP_CAUSE_NO_OWNER);
	bp_model_clear(&model);
}

/* Guards against batch tasks that use the headroom for urgent tasks. */
static void
test_headroom_binds_batch_only(void)
{
	bp_eligibility_facts_t facts;
	bp_job_t *fill;
	bp_job_t *urgent;

	setup("class batch headroom 25%  # ola\n");
	fill = batch("mix", 13, 1000);
	urgent = bp_model_job(
	    &model, "swarm", "crew", BP_CLASS_URGENT, 1, 4000, 1000);
	CU_ASSERT_EQUAL(bp_model_assign(&model, fill, 0, 12, vm_a1), BP_OK);
	CU_ASSERT_EQUAL(check(fill, vm_a1, &facts), BP_CAUSE_HEADROOM);
	CU_ASSERT_EQUAL(facts.shortfall.cpu_milli, 1000);
	CU_ASSERT_EQUAL(facts.headroom->line, 1);
	CU_ASSERT_EQUAL(check(urgent, vm_a1, NULL), 0);
	bp_model_clear(&model);
}

int
main(void)
{
	CU_TestInfo tests[] = {
	    {"capacity and shortfall", test_capacity_and_shortfall},
	    {"quota counts reservations", test_quota_counts_reservations},
	    {"only and never", test_only_and_never},
	    {"spread", test_spread},
	    {"apart both ways", test_apart_both_ways},
	    {"zone, hold, owner", test_zone_hold_owner},
	    {"headroom binds batch only", test_headroom_binds_batch_only},
	    CU_TEST_INFO_NULL,
	};

	return bp_test_main("eligibility", tests);
}
