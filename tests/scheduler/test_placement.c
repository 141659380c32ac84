#include "bulrushpost/hash.h"
#include "bulrushpost/placement.h"
#include "support/model.h"
#include "support/runner.h"

#include <string.h>

#define BUDGET 1000U
#define SEEDS 200U

static bp_model_t model;
static bp_placement_options_t options;

static void
setup(void)
{
	bp_model_init(&model);
	bp_placement_options_init(&options);
}

static bp_placement_t *
new_placement(void)
{
	bp_placement_t *placement = NULL;

	CU_ASSERT_EQUAL_FATAL(
	    bp_placement_new(&placement, &options, NULL), BP_OK);
	return placement;
}

static GArray *
plan(bp_placement_t *placement, const char *node, int64_t now_ms)
{
	GArray *out = g_array_new(FALSE, FALSE, sizeof(bp_assignment_t));

	CU_ASSERT_EQUAL(
	    bp_placement_plan(out, placement, model.state, node,
		BP_MODEL_INCARNATION + (uint64_t)node[1], BUDGET, now_ms, NULL),
	    BP_OK);
	return out;
}

static uint32_t
count_tasks(const GArray *out)
{
	uint32_t count = 0;
	guint i;

	for (i = 0; i < out->len; i++)
		count += g_array_index(out, bp_assignment_t, i).count;
	return count;
}

/* Applies a plan; without other writers every entry must be valid. */
static void
apply(GArray *out)
{
	const bp_assignment_t *assignment;
	guint i;

	for (i = 0; i < out->len; i++) {
		assignment = &g_array_index(out, bp_assignment_t, i);
		CU_ASSERT_EQUAL(bp_model_assign(&model, assignment->job,
				    assignment->first_task, assignment->count,
				    assignment->vm),
		    BP_OK);
	}
	g_array_unref(out);
}

static void
random_jobs(bp_random_t *random)
{
	uint32_t i;

	for (i = 0; i < 20; i++) {
		char *id = g_strdup_printf("job-%u", i);
		char *team = g_strdup_printf("t%u", bp_random_below(random, 4));

		bp_model_job(&model, id, team,
		    (bp_task_class_t)(1 + bp_random_below(random, 3)),
		    1 + bp_random_below(random, 30),
		    500 * (1 + bp_random_below(random, 8)),
		    500 * (1 + bp_random_below(random, 8)));
		g_free(id);
		g_free(team);
	}
}

static void
random_vms(bp_random_t *random)
{
	uint32_t i;

	for (i = 0; i < 12; i++) {
		char *name = g_strdup_printf("vm%u", i);
		char *rack = g_strdup_printf("z%u/r%u", i % 3, i / 2);

		bp_model_vm_of(&model, i / 2 % 2 == 0 ? "n1" : "n2", name, rack,
		    4000 + 4000 * bp_random_below(random, 4), 16000);
		g_free(name);
		g_free(rack);
	}
}

/*
 * Guards against plans that overcommit a VM or a quota or repeat a task, also
 * when a second round runs before the first was read back.
 */
static void
test_plans_are_valid_entries(void)
{
	bp_random_t random;
	uint32_t seed;

	for (seed = 1; seed <= SEEDS; seed++) {
		bp_placement_t *placement;
		GArray *first;
		GArray *second;

		setup();
		bp_random_init(&random, seed);
		random_vms(&random);
		bp_model_rules(&model,
		    "team t1 quota cpu=6 memory=9G accelerators=0  # ola\n"
		    "class service spread 1 per rack  # ola\n"
		    "team t2 apart from team t3  # ola\n"
		    "class batch headroom 20%  # ola\n");
		random_jobs(&random);
		placement = new_placement();
		first = plan(placement, "n1", 0);
		second = plan(placement, "n1", 40);
		apply(first);
		apply(second);
		bp_placement_free(placement);
		bp_model_clear(&model);
	}
}

/*
 * Guards against two nodes assigning the same task, and against a task that
 * never starts because the node ranked first does not assign it.
 */
static void
test_ranks_divide_and_take_over(void)
{
	bp_placement_t *first;
	bp_placement_t *second;
	GArray *first_plan;
	GArray *second_plan;

	setup();
	bp_model_vm_of(&model, "n1", "a1", "za/r1", 64000, 64000);
	bp_model_vm_of(&model, "n2", "a2", "za/r2", 64000, 64000);
	bp_model_job(&model, "job", "t", BP_CLASS_URGENT, 16, 1000, 1000);
	first = new_placement();
	second = new_placement();
	first_plan = plan(first, "n1", 1000);
	second_plan = plan(second, "n2", 1000);
	CU_ASSERT_TRUE(count_tasks(first_plan) > 0);
	CU_ASSERT_EQUAL(count_tasks(first_plan) + count_tasks(second_plan), 16);
	apply(first_plan);
	g_array_unref(second_plan);
	g_array_unref(plan(first, "n1", 1040));
	first_plan = plan(first, "n1", 1340);
	CU_ASSERT_EQUAL(count_tasks(first_plan),
	    bp_state_job(model.state, "job")->n_waiting);
	apply(first_plan);
	bp_placement_free(first);
	bp_placement_free(second);
	bp_model_clear(&model);
}

/* Guards against services whose tasks all fail with one rack or zone. */
static void
test_services_spread(void)
{
	GHashTable *racks = g_hash_table_new(NULL, NULL);
	bp_placement_t *placement;
	bp_job_t *job;
	uint32_t i;

	setup();
	for (i = 0; i < 12; i++) {
		char *name = g_strdup_printf("vm%u", i);
		char *rack = g_strdup_printf("z%u/r%u", i % 3, i / 3 % 2);

		bp_model_vm(&model, name, rack, 64000, 64000, 0);
		g_free(name);
		g_free(rack);
	}
	job =
	    bp_model_job(&model, "watch", "t", BP_CLASS_SERVICE, 6, 1000, 1000);
	placement = new_placement();
	apply(plan(placement, "n1", 0));
	for (i = 0; i < 6 && job->tasks[i].vm != NULL; i++)
		g_hash_table_add(racks, job->tasks[i].vm->rack);
	CU_ASSERT_EQUAL(g_hash_table_size(racks), 6);
	g_hash_table_unref(racks);
	bp_placement_free(placement);
	bp_model_clear(&model);
}

static double
penalize_a1(const bp_job_t *job, const bp_vm_t *vm, void *data)
{
	(void)job;
	(void)data;
	return strcmp(vm->name, "a1") == 0 ? 1.0 : 0;
}

/*
 * Guards against batch tasks that are not packed, that are co-located with
 * services while other VMs have capacity, or that are placed where they are
 * known to interfere before the job is long overdue.
 */
static void
test_batch_packs_and_avoids_interference(void)
{
	bp_placement_t *placement;
	bp_vm_t *vms[3];
	bp_job_t *job;

	setup();
	options.penalty = penalize_a1;
	vms[0] = bp_model_vm(&model, "a1", "za/r1", 16000, 64000, 0);
	vms[1] = bp_model_vm(&model, "a2", "za/r1", 16000, 64000, 0);
	vms[2] = bp_model_vm(&model, "a3", "za/r1", 16000, 64000, 0);
	job = bp_model_job(&model, "s", "t", BP_CLASS_SERVICE, 2, 4000, 100);
	bp_model_assign(&model, job, 0, 1, vms[0]);
	bp_model_assign(&model, job, 1, 1, vms[1]);
	job = bp_model_job(&model, "mix", "t", BP_CLASS_BATCH, 30, 1000, 100);
	placement = new_placement();
	apply(plan(placement, "n1", 0));
	CU_ASSERT_EQUAL(vms[0]->tasks->len, 1);
	CU_ASSERT_EQUAL(vms[1]->tasks->len, 13);
	CU_ASSERT_EQUAL(vms[2]->tasks->len, 16);
	apply(plan(placement, "n1", 400));
	CU_ASSERT_EQUAL(job->n_waiting, 2);
	CU_ASSERT_TRUE(bp_placement_avoids(placement, "mix", 500));
	model.now_ms += options.queue.wait_bound_ms + 1;
	bp_model_zone(&model, "za", true);
	bp_model_zone(&model, "za", false);
	apply(plan(placement, "n1", 800));
	CU_ASSERT_EQUAL(vms[0]->tasks->len, 1);
	model.now_ms += 2 * (int64_t)options.queue.wait_bound_ms;
	bp_model_zone(&model, "za", true);
	bp_model_zone(&model, "za", false);
	apply(plan(placement, "n1", 1200));
	CU_ASSERT_EQUAL(vms[0]->tasks->len, 3);
	bp_placement_free(placement);
	bp_model_clear(&model);
}

/* Guards against small jobs that starve a large one. */
static void
test_vm_is_reserved_for_an_overdue_job(void)
{
	bp_placement_t *placement;
	bp_job_t *small;
	bp_job_t *large;
	bp_vm_t *vm;

	setup();
	options.queue.wait_bound_ms = 1000;
	vm = bp_model_vm(&model, "a1", "za/r1", 16000, 64000, 0);
	small = bp_model_job(&model, "s", "t1", BP_CLASS_BATCH, 40, 4000, 100);
	bp_model_assign(&model, small, 0, 4, vm);
	large = bp_model_job(&model, "l", "t2", BP_CLASS_BATCH, 1, 16000, 100);
	model.now_ms += 2000;
	bp_model_end(
	    &model, small, 0, BP__LOG__TASK_OUTCOME__OUTCOME_SUCCEEDED);
	placement = new_placement();
	apply(plan(placement, "n1", 0));
	bp_model_end(
	    &model, small, 1, BP__LOG__TASK_OUTCOME__OUTCOME_SUCCEEDED);
	apply(plan(placement, "n1", 400));
	CU_ASSERT_EQUAL(small->n_assigned, 2);
	bp_model_end(
	    &model, small, 2, BP__LOG__TASK_OUTCOME__OUTCOME_SUCCEEDED);
	bp_model_end(
	    &model, small, 3, BP__LOG__TASK_OUTCOME__OUTCOME_SUCCEEDED);
	apply(plan(placement, "n1", 800));
	CU_ASSERT_EQUAL(large->n_assigned, 1);
	bp_placement_free(placement);
	bp_model_clear(&model);
}

/* Guards against a wrong or missing number of jobs ahead (reason "turn"). */
static void
test_jobs_ahead_beyond_budget(void)
{
	bp_placement_t *placement;
	GArray *out = g_array_new(FALSE, FALSE, sizeof(bp_assignment_t));

	setup();
	bp_model_vm(&model, "a1", "za/r1", 64000, 64000, 0);
	bp_model_job(&model, "u", "t", BP_CLASS_URGENT, 2, 1000, 100);
	bp_model_job(&model, "b", "t", BP_CLASS_BATCH, 2, 1000, 100);
	placement = new_placement();
	bp_placement_plan(out, placement, model.state, "n1",
	    BP_MODEL_INCARNATION + (uint64_t)'1', 2, 0, NULL);
	CU_ASSERT_EQUAL(bp_placement_ahead(placement, "u"), 0);
	CU_ASSERT_EQUAL(bp_placement_ahead(placement, "b"), 1);
	CU_ASSERT_EQUAL(bp_placement_ahead(placement, "none"), 0);
	g_array_unref(out);
	bp_placement_free(placement);
	bp_model_clear(&model);
}

/* Guards against tasks that stay pending after their entry had no effect. */
static void
test_rejected_tasks_are_planned_again(void)
{
	bp_placement_t *placement;
	GArray *out;

	setup();
	bp_model_vm(&model, "a1", "za/r1", 16000, 64000, 0);
	bp_model_job(&model, "u", "t", BP_CLASS_URGENT, 1, 1000, 100);
	placement = new_placement();
	g_array_unref(plan(placement, "n1", 0));
	out = plan(placement, "n1", 40);
	CU_ASSERT_EQUAL(out->len, 0);
	g_array_unref(out);
	CU_ASSERT_EQUAL(bp_placement_in_flight(placement), 1);
	bp_placement_settled(placement, "u", 0);
	out = plan(placement, "n1", 80);
	CU_ASSERT_EQUAL(out->len, 1);
	g_array_unref(out);
	bp_placement_free(placement);
	bp_model_clear(&model);
}

int
main(void)
{
	CU_TestInfo tests[] = {
	    {"plans are valid entries", test_plans_are_valid_entries},
	    {"ranks divide and take over", test_ranks_divide_and_take_over},
	    {"services spread", test_services_spread},
	    {"batch packs", test_batch_packs_and_avoids_interference},
	    {"VM kept for overdue job", test_vm_is_reserved_for_an_overdue_job},
	    {"budget tells the turn", test_jobs_ahead_beyond_budget},
	    {"settled tasks", test_rejected_tasks_are_planned_again},
	    CU_TEST_INFO_NULL,
	};

	return bp_test_main("placement", tests);
}
