#include "bulrushpost/hash.h"
#include "support/records.h"
#include "support/runner.h"

#include <string.h>

#define START_MS 1800000000000LL
#define SCHEDULES 2000
#define STEPS 120
#define NODES 3
#define RACKS 2
#define VMS 4
#define JOBS 6
#define VM_CPU_MILLI 4000
#define QUOTA_CPU_MILLI 6000

static const char *const rack_names[RACKS] = {"z1/r1", "z2/r1"};
static const char *const vm_names[VMS] = {"vm0", "vm1", "vm2", "vm3"};

static bool
same_bytes(const bp_state_t *a, const bp_state_t *b)
{
	GByteArray *x = NULL;
	GByteArray *y = NULL;
	bool same;

	(void)bp_snapshot_save(&x, a, NULL);
	(void)bp_snapshot_save(&y, b, NULL);
	same = x->len == y->len && memcmp(x->data, y->data, x->len) == 0;
	g_byte_array_unref(x);
	g_byte_array_unref(y);
	return same;
}

static bp_state_t *
reload(const bp_state_t *state)
{
	GByteArray *bytes = NULL;
	bp_state_t *copy = NULL;
	bp_error_t err;

	(void)bp_snapshot_save(&bytes, state, NULL);
	if (bp_snapshot_load(&copy, bytes->data, bytes->len, &err) != BP_OK)
		copy = NULL;
	g_byte_array_unref(bytes);
	return copy;
}

/* Two nodes compete for a rack, a task, a zone and the rules: one wins. */
static void
test_races_have_one_winner(void)
{
	bp_records_t r;
	bp_writer_t a = {"a", 1, 0};
	bp_writer_t b = {"b", 2, 0};

	bp_records_init(&r, START_MS);
	CU_ASSERT_EQUAL(bp_records_claim(&r, &a, "z1/r1", 0, 0), BP_OK);
	CU_ASSERT_EQUAL(bp_records_claim(&r, &b, "z1/r1", 0, 0), BP_ECONFLICT);
	CU_ASSERT_EQUAL(
	    bp_records_vm(&r, &b, "vm0", "z1/r1", 1, 4000), BP_ESTALE);
	CU_ASSERT_EQUAL(bp_records_vm(&r, &a, "vm0", "z1/r1", 1, 4000), BP_OK);
	CU_ASSERT_EQUAL(bp_records_submit(&r, &a, "j", "t", 2, 1000), BP_OK);
	CU_ASSERT_EQUAL(
	    bp_records_assign(&r, &a, "j", 0, 1, 1, "vm0", 1), BP_OK);
	CU_ASSERT_EQUAL(
	    bp_records_assign(&r, &a, "j", 0, 1, 1, "vm0", 1), BP_ECONFLICT);
	CU_ASSERT_EQUAL(bp_records_zone(&r, &a, "z1", true, 0), BP_OK);
	CU_ASSERT_EQUAL(bp_records_zone(&r, &b, "z1", true, 0), BP_ECONFLICT);
	CU_ASSERT_PTR_NOT_NULL(strstr(r.last_message, "a took zone z1 out"));
	CU_ASSERT_EQUAL(
	    bp_records_assign(&r, &a, "j", 1, 1, 1, "vm0", 1), BP_EREFUSED);
	CU_ASSERT_EQUAL(bp_records_rules(&r, &a,
			    "team t weight 2 # Anna Nowak\n", 0, "anna"),
	    BP_OK);
	CU_ASSERT_EQUAL(
	    bp_records_rules(&r, &b, "team t weight 3 # Jan Kowal\n", 0, "jan"),
	    BP_ECONFLICT);
	CU_ASSERT_PTR_NOT_NULL(strstr(r.last_message, "anna"));
	CU_ASSERT_EQUAL(bp_state_rules(r.state)->version, 1);
	bp_records_clear(&r);
}

/* A record that arrives twice, or after a later one, has no effect. */
static void
test_repeated_and_skipped_records_are_void(void)
{
	bp_records_t r;
	bp_writer_t a = {"a", 1, 0};
	bp_writer_t late = {"a", 1, 4};

	bp_records_init(&r, START_MS);
	CU_ASSERT_EQUAL(bp_records_submit(&r, &a, "j1", "t", 1, 1000), BP_OK);
	a.seq = 0;
	CU_ASSERT_EQUAL(
	    bp_records_submit(&r, &a, "j2", "t", 1, 1000), BP_EUNKNOWN);
	a.seq = 9;
	CU_ASSERT_EQUAL(bp_records_submit(&r, &a, "j3", "t", 1, 1000), BP_OK);
	CU_ASSERT_EQUAL(
	    bp_records_submit(&r, &late, "j4", "t", 1, 1000), BP_EUNKNOWN);
	CU_ASSERT_PTR_NULL(bp_state_job(r.state, "j2"));
	CU_ASSERT_PTR_NULL(bp_state_job(r.state, "j4"));
	bp_records_clear(&r);
}

/* An evicted task resumes once, from its checkpoint. */
static void
test_evicted_work_resumes_once(void)
{
	bp_records_t r;
	bp_writer_t a = {"a", 1, 0};
	const bp_task_t *task;

	bp_records_init(&r, START_MS);
	bp_records_claim(&r, &a, "z1/r1", 0, 0);
	bp_records_vm(&r, &a, "vm0", "z1/r1", 1, 4000);
	bp_records_submit(&r, &a, "j", "t", 1, 1000);
	bp_records_assign(&r, &a, "j", 0, 1, 1, "vm0", 1);
	CU_ASSERT_EQUAL(bp_records_end(&r, &a, "j", 0, 1,
			    BP__LOG__TASK_OUTCOME__OUTCOME_EVICTED, 1),
	    BP_OK);
	CU_ASSERT_EQUAL(bp_records_end(&r, &a, "j", 0, 1,
			    BP__LOG__TASK_OUTCOME__OUTCOME_EVICTED, 1),
	    BP_ESTALE);
	task = &bp_state_job(r.state, "j")->tasks[0];
	CU_ASSERT_EQUAL(task->attempt, 2);
	CU_ASSERT_STRING_EQUAL(task->checkpoint, "checkpoint-1");
	CU_ASSERT_EQUAL(
	    bp_records_assign(&r, &a, "j", 0, 1, 1, "vm0", 1), BP_ESTALE);
	CU_ASSERT_EQUAL(
	    bp_records_assign(&r, &a, "j", 0, 1, 2, "vm0", 1), BP_OK);
	/* A late end of the first attempt must not end the second. */
	CU_ASSERT_EQUAL(bp_records_end(&r, &a, "j", 0, 1,
			    BP__LOG__TASK_OUTCOME__OUTCOME_EVICTED, 1),
	    BP_ESTALE);
	CU_ASSERT_EQUAL(task->state, BP_TASK_ASSIGNED);
	bp_records_clear(&r);
}

/* A cancelled job without a valid assign never ran and never will. */
static void
test_cancelled_job_cannot_be_assigned(void)
{
	bp_records_t r;
	bp_writer_t a = {"a", 1, 0};

	bp_records_init(&r, START_MS);
	bp_records_claim(&r, &a, "z1/r1", 0, 0);
	bp_records_vm(&r, &a, "vm0", "z1/r1", 1, 4000);
	bp_records_submit(&r, &a, "j", "t", 2, 1000);
	bp_records_assign(&r, &a, "j", 0, 1, 1, "vm0", 1);
	CU_ASSERT_EQUAL(bp_records_cancel(&r, &a, "j"), BP_OK);
	CU_ASSERT_EQUAL(
	    bp_records_assign(&r, &a, "j", 1, 1, 1, "vm0", 1), BP_ECONFLICT);
	CU_ASSERT_EQUAL(bp_records_end(&r, &a, "j", 0, 1,
			    BP__LOG__TASK_OUTCOME__OUTCOME_NOT_STARTED, 1),
	    BP_OK);
	CU_ASSERT_EQUAL(bp_state_job(r.state, "j")->tasks[0].outcome,
	    BP__LOG__TASK_OUTCOME__OUTCOME_CANCELLED);
	bp_records_clear(&r);
}

/* A record of a later release must stop the node, not be skipped. */
static void
test_unknown_version_stops(void)
{
	bp_records_t r;
	Bp__Log__Record record = BP__LOG__RECORD__INIT;
	uint8_t bytes[64];
	size_t size_bytes;
	bp_error_t err;

	bp_records_init(&r, START_MS);
	record.version = BP_RECORD_VERSION + 1;
	record.node = (char *)"a";
	size_bytes = bp__log__record__pack(&record, bytes);
	CU_ASSERT_EQUAL(
	    bp_state_apply(r.state, 0, bytes, size_bytes, &err), BP_EVERSION);
	CU_ASSERT_EQUAL(bp_state_next_offset(r.state), 0);
	bp_records_clear(&r);
}

/* A late release by an earlier owner counts only without a gap before it. */
static void
test_ended_epochs_close_gaps(void)
{
	bp_records_t r;
	bp_writer_t a = {"a", 1, 0};
	bp_writer_t b = {"b", 2, 0};
	const bp_rack_t *rack;
	const Bp__Log__ClaimGround dead =
	    BP__LOG__CLAIM_GROUND__GROUND_OWNER_DEAD;

	bp_records_init(&r, START_MS);
	bp_records_claim(&r, &a, "z1/r1", 0, 0);
	CU_ASSERT_EQUAL(bp_records_claim(&r, &b, "z1/r1", 1, dead), BP_OK);
	CU_ASSERT_EQUAL(bp_records_claim(&r, &a, "z1/r1", 2, dead), BP_OK);
	rack = bp_state_rack(r.state, "z1/r1");
	CU_ASSERT_EQUAL(bp_records_release(&r, &b, "z1/r1", 2), BP_OK);
	CU_ASSERT_EQUAL(rack->leases_ended_epoch, 0);
	CU_ASSERT_EQUAL(bp_records_release(&r, &a, "z1/r1", 1), BP_OK);
	CU_ASSERT_EQUAL(rack->leases_ended_epoch, 2);
	CU_ASSERT_STRING_EQUAL(rack->owner, "a");
	bp_records_clear(&r);
}

/* A raised size counts for later attempts and survives a snapshot. */
static void
test_raised_size_counts_for_later_attempts(void)
{
	bp_records_t r;
	bp_writer_t a = {"a", 1, 0};
	Bp__Log__Entry entry = BP__LOG__ENTRY__INIT;
	Bp__Log__JobResize resize = BP__LOG__JOB_RESIZE__INIT;
	bp_state_t *copy;

	bp_records_init(&r, START_MS);
	bp_records_claim(&r, &a, "z1/r1", 0, 0);
	bp_records_vm(&r, &a, "vm0", "z1/r1", 1, 4000);
	bp_records_submit(&r, &a, "j", "t", 3, 1000);
	bp_records_assign(&r, &a, "j", 0, 1, 1, "vm0", 1);
	resize.job = (char *)"j";
	resize.cpu_milli = 2500;
	resize.memory_mib = 512;
	entry.body_case = BP__LOG__ENTRY__BODY_JOB_RESIZE;
	entry.job_resize = &resize;
	CU_ASSERT_EQUAL(bp_records_apply(&r, &a, &entry), BP_OK);
	CU_ASSERT_EQUAL(
	    bp_records_assign(&r, &a, "j", 1, 1, 1, "vm0", 1), BP_OK);
	CU_ASSERT_EQUAL(
	    bp_records_assign(&r, &a, "j", 2, 1, 1, "vm0", 1), BP_EREFUSED);
	CU_ASSERT_EQUAL(bp_state_vm(r.state, "vm0")->used.cpu_milli, 3500);
	copy = reload(r.state);
	CU_ASSERT_PTR_NOT_NULL_FATAL(copy);
	CU_ASSERT_EQUAL(bp_state_vm(copy, "vm0")->used.cpu_milli, 3500);
	CU_ASSERT_TRUE(same_bytes(r.state, copy));
	bp_state_free(copy);
	resize.cpu_milli = 900;
	CU_ASSERT_EQUAL(bp_records_apply(&r, &a, &entry), BP_EINVALID);
	bp_records_clear(&r);
}

/* Reference model, built from the accepted entries alone. */
typedef struct {
	int on_vm[JOBS][4]; /* VM index of a running task, or -1 */
	uint32_t attempt[JOBS][4];
	bool zone_out[2];
	uint32_t violations;
} model_t;

static int
vm_index(const char *name)
{
	return name[2] - '0';
}

static void
check_capacity(model_t *m)
{
	uint32_t used[VMS] = {0};
	uint32_t total = 0;
	int j;
	int t;

	for (j = 0; j < JOBS; j++) {
		for (t = 0; t < 4; t++) {
			if (m->on_vm[j][t] < 0)
				continue;
			used[m->on_vm[j][t]] += 1500;
			total += 1500;
		}
	}
	for (t = 0; t < VMS; t++)
		m->violations += used[t] > VM_CPU_MILLI;
	m->violations += total > QUOTA_CPU_MILLI;
}

/* Applies accepted entries to the model and counts violations. */
static void
follow(const bp_applied_t *applied, void *data)
{
	model_t *m = data;
	const Bp__Log__Assign *assign = applied->entry->assign;
	const Bp__Log__TaskEnd *end = applied->entry->task_end;
	uint32_t i;
	int j;

	if (applied->kind != BP_OK)
		return;
	switch (applied->entry->body_case) {
	case BP__LOG__ENTRY__BODY_ASSIGN:
		j = assign->job[1] - '0';
		for (i = assign->first_task;
		     i < assign->first_task + assign->count; i++) {
			m->violations += m->on_vm[j][i] >= 0;
			m->violations += assign->attempt <= m->attempt[j][i];
			m->attempt[j][i] = assign->attempt;
			m->on_vm[j][i] = vm_index(assign->vm);
			m->violations +=
			    m->zone_out[vm_index(assign->vm) % RACKS];
		}
		check_capacity(m);
		break;
	case BP__LOG__ENTRY__BODY_TASK_END:
		m->on_vm[end->job[1] - '0'][end->task] = -1;
		break;
	case BP__LOG__ENTRY__BODY_ZONE_CHANGE:
		m->zone_out[applied->entry->zone_change->zone[1] - '1'] =
		    applied->entry->zone_change->out;
		break;
	default:
		break;
	}
}

static void
random_step(bp_records_t *r, bp_writer_t *writers, bp_random_t *random)
{
	bp_writer_t *w = &writers[bp_random_below(random, NODES)];
	uint32_t job = bp_random_below(random, JOBS);
	uint32_t task = bp_random_below(random, 4);
	uint32_t vm = bp_random_below(random, VMS);
	const char *rack = rack_names[vm % RACKS];
	const bp_rack_t *known = bp_state_rack(r->state, rack);
	uint64_t epoch = known != NULL ? known->epoch : 0;
	uint32_t attempt = 1 + bp_random_below(random, 3);
	char name[8];

	(void)g_snprintf(name, sizeof(name), "j%u", job);
	/* Some writers act on a stale state. */
	if (epoch > 0 && bp_random_below(random, 8) == 0)
		epoch--;
	if (bp_random_below(random, 12) == 0 && w->seq > 0)
		w->seq--;
	switch (bp_random_below(random, 10)) {
	case 0:
		(void)bp_records_claim(
		    r, w, rack, epoch, bp_random_below(random, 3));
		break;
	case 1:
		(void)bp_records_vm(
		    r, w, vm_names[vm], rack, epoch, VM_CPU_MILLI);
		break;
	case 2:
		(void)bp_records_submit(r, w, name, "t", 4, 1500);
		break;
	case 3:
		(void)bp_records_zone(r, w, vm % 2 ? "z2" : "z1",
		    bp_random_below(random, 2) == 0, attempt - 1);
		break;
	case 4:
		(void)bp_records_rules(r, w,
		    "team t quota cpu=6 memory=64G accelerators=0 # Ola\n", 0,
		    w->node);
		break;
	case 5:
		(void)bp_records_end(r, w, name, task, attempt,
		    1 + bp_random_below(random, 5), epoch);
		break;
	case 6:
		if (bp_random_below(random, 6) == 0)
			(void)bp_records_release(r, w, rack, epoch);
		break;
	default:
		(void)bp_records_assign(r, w, name, task,
		    1 + bp_random_below(random, 4 - task), attempt,
		    vm_names[vm], epoch);
		break;
	}
}

static void
prepare(bp_records_t *r, bp_writer_t *w)
{
	(void)bp_records_rules(r, w,
	    "team t quota cpu=6 memory=64G accelerators=0 # Ola\n", 0, "ola");
	(void)bp_records_claim(r, w, "z1/r1", 0, 0);
	(void)bp_records_claim(r, w, "z2/r1", 0, 0);
}

/*
 * Random schedules of writers with stale states and repeated sequence numbers
 * never run a task twice, exceed a VM or a quota, or start in a zone that is
 * out of service; a state loaded from a snapshot half way stays equal to the
 * original.
 */
static void
test_random_schedules_keep_the_invariants(void)
{
	uint32_t violations = 0;
	uint32_t differing = 0;
	uint64_t seed;

	for (seed = 1; seed <= SCHEDULES; seed++) {
		bp_records_t r;
		bp_writer_t writers[NODES] = {
		    {"a", 1, 0}, {"b", 2, 0}, {"c", 3, 0}};
		model_t model;
		bp_random_t random;
		bp_state_t *copy;
		int step;

		memset(&model, 0, sizeof(model));
		memset(model.on_vm, 0xff, sizeof(model.on_vm));
		bp_random_init(&random, seed);
		bp_records_init(&r, START_MS);
		bp_state_observe(r.state, follow, &model);
		prepare(&r, &writers[0]);
		for (step = 0; step < STEPS; step++) {
			r.time_ms += bp_random_below(&random, 2000);
			random_step(&r, writers, &random);
		}
		copy = reload(r.state);
		differing += copy == NULL || !same_bytes(r.state, copy);
		violations += model.violations;
		bp_state_free(copy);
		bp_records_clear(&r);
	}
	CU_ASSERT_EQUAL(violations, 0);
	CU_ASSERT_EQUAL(differing, 0);
}

/* Corrupt snapshots and records are rejected or ignored without a crash. */
static void
test_mutated_bytes_never_crash(void)
{
	bp_records_t r;
	bp_writer_t a = {"a", 1, 0};
	GByteArray *bytes = NULL;
	bp_random_t random;
	int i;

	bp_records_init(&r, START_MS);
	prepare(&r, &a);
	bp_records_vm(&r, &a, "vm0", "z1/r1", 1, 4000);
	bp_records_submit(&r, &a, "j0", "t", 4, 1500);
	bp_records_assign(&r, &a, "j0", 0, 2, 1, "vm0", 1);
	bp_records_key(&r, &a, "s/k", START_MS / 1000);
	(void)bp_snapshot_save(&bytes, r.state, NULL);
	bp_random_init(&random, 42);
	for (i = 0; i < 4000; i++) {
		uint8_t *copy = g_memdup2(bytes->data, bytes->len);
		bp_state_t *loaded = NULL;
		uint32_t k;

		for (k = 0; k <= bp_random_below(&random, 4); k++)
			copy[bp_random_below(&random, bytes->len)] ^=
			    (uint8_t)(1U << bp_random_below(&random, 8));
		(void)bp_snapshot_load(&loaded, copy, bytes->len, NULL);
		bp_state_free(loaded);
		(void)bp_state_apply(
		    r.state, r.offset++, copy, bytes->len, NULL);
		g_free(copy);
	}
	CU_PASS("no crash");
	g_byte_array_unref(bytes);
	bp_records_clear(&r);
}

int
main(void)
{
	CU_TestInfo tests[] = {
	    {"races have one winner", test_races_have_one_winner},
	    {"repeated records", test_repeated_and_skipped_records_are_void},
	    {"evicted work", test_evicted_work_resumes_once},
	    {"cancelled job", test_cancelled_job_cannot_be_assigned},
	    {"unknown version", test_unknown_version_stops},
	    {"ended epochs", test_ended_epochs_close_gaps},
	    {"raised size", test_raised_size_counts_for_later_attempts},
	    {"random schedules", test_random_schedules_keep_the_invariants},
	    {"mutated bytes", test_mutated_bytes_never_crash},
	    CU_TEST_INFO_NULL,
	};

	return bp_test_main("state", tests);
}
