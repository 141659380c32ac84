#include "queues/roomplan.h"
#include "support/runner.h"

#include <string.h>

#define NOW_MS 100000
#define GRACE_MS 400
#define STOP_MS 200
#define CPU 16000
#define MEMORY 64000

static char *no_labels[] = {NULL};
static char *gpu_labels[] = {(char *)"gpu", NULL};

/* Identifies steps; their addresses are compared only. */
static int keys[8];

typedef struct {
	bp_room_model_t model;
	bp_room_plan_t plan;
} case_t;

static void
open_case(case_t *test)
{
	bp_room_model_init(&test->model);
	bp_room_plan_init(&test->plan);
	test->model.now_ms = NOW_MS;
	test->model.horizon_ms = 6000;
	test->model.grace_ms = GRACE_MS;
	test->model.stop_ms = STOP_MS;
	test->model.move_after_ms = 2000;
	test->model.reservations_max = 8;
}

static void
close_case(case_t *test)
{
	bp_room_model_clear(&test->model);
	bp_room_plan_clear(&test->plan);
}

/* Adds an executor without runs; returns its index. */
static uint32_t
add_exec(case_t *test, char *const *labels)
{
	bp_room_exec_t exec = {.service = "s",
	    .labels = labels,
	    .total = {CPU, MEMORY, 2},
	    .free = {CPU, MEMORY, 2},
	    .first_run = test->model.runs->len};

	exec.data = &keys[test->model.execs->len % G_N_ELEMENTS(keys)];
	g_array_append_val(test->model.execs, exec);
	return test->model.execs->len - 1;
}

/* Adds a run to the last executor, which ends after this time at the latest. */
static bp_room_run_t *
add_run(case_t *test, uint32_t cpu_milli, uint32_t memory_mib, int64_t late_ms)
{
	bp_room_exec_t *exec = &g_array_index(
	    test->model.execs, bp_room_exec_t, test->model.execs->len - 1);
	bp_room_run_t run = {.size = {cpu_milli, memory_mib, 0}, .priority = 1};

	run.late_ms = late_ms == BP_ROOM_NEVER ? late_ms : NOW_MS + late_ms;
	run.end_ms = run.late_ms;
	exec->free.cpu_milli -= cpu_milli;
	exec->free.memory_mib -= memory_mib;
	exec->n_runs++;
	g_array_append_val(test->model.runs, run);
	return &g_array_index(
	    test->model.runs, bp_room_run_t, test->model.runs->len - 1);
}

static bp_room_step_t *
add_step(case_t *test, uint32_t cpu_milli, uint32_t tasks, uint32_t priority)
{
	bp_room_step_t step = {.size = {cpu_milli, 100, 0},
	    .tasks = tasks,
	    .priority = priority,
	    .service = "s",
	    .label = "",
	    .since_ms = NOW_MS,
	    .latest_ms = BP_ROOM_NEVER};

	step.step = &keys[test->model.steps->len % G_N_ELEMENTS(keys)];
	g_array_append_val(test->model.steps, step);
	return &g_array_index(
	    test->model.steps, bp_room_step_t, test->model.steps->len - 1);
}

static void
hold(case_t *test, uint32_t exec, uint32_t step, int64_t at_ms)
{
	bp_room_reservation_t held = {
	    .exec = exec, .step = step, .at_ms = NOW_MS + at_ms};

	g_array_append_val(test->model.held, held);
}

static uint32_t
make(case_t *test)
{
	bp_room_plan_make(&test->plan, &test->model);
	return test->plan.reservations->len;
}

static const bp_room_reservation_t *
at(const case_t *test, uint32_t index)
{
	return &g_array_index(
	    test->plan.reservations, bp_room_reservation_t, index);
}

/* Guards against a reservation on the executor that is free now for too small a
 * part instead of the one whose runs end first. */
static void
test_the_earliest_place_is_taken(void)
{
	case_t test;

	open_case(&test);
	(void)add_exec(&test, no_labels);
	(void)add_run(&test, 10000, 100, 3000);
	(void)add_exec(&test, no_labels);
	(void)add_run(&test, 8000, 100, 900);
	(void)add_run(&test, 7000, 100, 700);
	(void)add_step(&test, 12000, 1, 1);
	CU_ASSERT_EQUAL_FATAL(make(&test), 1);
	CU_ASSERT_EQUAL(at(&test, 0)->exec, 1);
	CU_ASSERT_EQUAL(at(&test, 0)->at_ms, NOW_MS + 900);
	CU_ASSERT_FALSE(at(&test, 0)->strict);
	close_case(&test);
}

/* An end that comes early brings the time forward; one that comes late does not
 * put it off, or tasks would be admitted until a time that recedes. */
static void
test_times_come_forward_only(void)
{
	case_t test;

	open_case(&test);
	(void)add_exec(&test, no_labels);
	(void)add_run(&test, 10000, 100, 300);
	(void)add_step(&test, 12000, 1, 1);
	hold(&test, 0, 0, 1500);
	CU_ASSERT_EQUAL_FATAL(make(&test), 1);
	CU_ASSERT_EQUAL(at(&test, 0)->at_ms, NOW_MS + 300);
	CU_ASSERT_TRUE(at(&test, 0)->held);
	g_array_index(test.model.runs, bp_room_run_t, 0).late_ms =
	    NOW_MS + 4000;
	CU_ASSERT_EQUAL_FATAL(make(&test), 1);
	CU_ASSERT_EQUAL(at(&test, 0)->at_ms, NOW_MS + 1500);
	CU_ASSERT_EQUAL(test.plan.missed, 0);
	close_case(&test);
}

/* A reservation whose time has passed is remade on another executor, and no
 * task is admitted there by its duration: the estimates were wrong. */
static void
test_a_missed_reservation_is_remade(void)
{
	case_t test;

	open_case(&test);
	(void)add_exec(&test, no_labels);
	(void)add_run(&test, 10000, 100, 500);
	(void)add_exec(&test, no_labels);
	(void)add_run(&test, 10000, 100, 800);
	(void)add_step(&test, 12000, 1, 1);
	hold(&test, 0, 0, -GRACE_MS);
	CU_ASSERT_EQUAL(make(&test), 1);
	CU_ASSERT_EQUAL(test.plan.missed, 0);
	g_array_set_size(test.model.held, 0);
	hold(&test, 0, 0, -GRACE_MS - 1);
	CU_ASSERT_EQUAL_FATAL(make(&test), 1);
	CU_ASSERT_EQUAL(test.plan.missed, 1);
	CU_ASSERT_EQUAL(at(&test, 0)->exec, 1);
	CU_ASSERT_EQUAL(at(&test, 0)->at_ms, NOW_MS + 800);
	CU_ASSERT_TRUE(at(&test, 0)->strict);
	CU_ASSERT_FALSE(at(&test, 0)->held);
	CU_ASSERT_EQUAL(
	    g_array_index(test.model.steps, bp_room_step_t, 0).missed, 1);
	close_case(&test);
}

/* Guards against a task that is never reserved for again because its only
 * executor missed a reservation. */
static void
test_the_only_executor_is_tried_again(void)
{
	case_t test;

	open_case(&test);
	(void)add_exec(&test, no_labels);
	(void)add_run(&test, 10000, 100, 500);
	(void)add_step(&test, 12000, 1, 1);
	hold(&test, 0, 0, -GRACE_MS - 1);
	CU_ASSERT_EQUAL_FATAL(make(&test), 1);
	CU_ASSERT_EQUAL(at(&test, 0)->exec, 0);
	CU_ASSERT_EQUAL(at(&test, 0)->at_ms, NOW_MS + 500);
	close_case(&test);
}

/* An executor that has left keeps no reservation; another one is found in the
 * same plan. */
static void
test_a_lost_executor(void)
{
	case_t test;

	open_case(&test);
	(void)add_exec(&test, no_labels);
	(void)add_run(&test, 10000, 100, 700);
	(void)add_step(&test, 12000, 1, 1);
	hold(&test, BP_ROOM_NONE, 0, 500);
	CU_ASSERT_EQUAL_FATAL(make(&test), 1);
	CU_ASSERT_EQUAL(test.plan.lost, 1);
	CU_ASSERT_EQUAL(test.plan.missed, 0);
	CU_ASSERT_EQUAL(at(&test, 0)->exec, 0);
	close_case(&test);
}

/* A long-running task that was placed on the executor ends its reservation. */
static void
test_a_place_that_is_taken_for_good(void)
{
	case_t test;

	open_case(&test);
	(void)add_exec(&test, no_labels);
	(void)add_run(&test, 10000, 100, BP_ROOM_NEVER);
	(void)add_step(&test, 12000, 1, 1);
	hold(&test, 0, 0, 500);
	CU_ASSERT_EQUAL(make(&test), 0);
	CU_ASSERT_EQUAL(test.plan.lost, 1);
	close_case(&test);
}

/* Several large tasks get an executor each, at most as many as allowed, and the
 * step that comes first in the order first. */
static void
test_several_large_tasks(void)
{
	case_t test;
	uint32_t i;

	open_case(&test);
	test.model.reservations_max = 3;
	for (i = 0; i < 6; i++) {
		(void)add_exec(&test, no_labels);
		(void)add_run(&test, 10000, 100, 500 * (i + 1));
	}
	(void)add_step(&test, 12000, 2, 1);
	(void)add_step(&test, 9000, 4, 1);
	CU_ASSERT_EQUAL_FATAL(make(&test), 3);
	for (i = 0; i < 3; i++) {
		CU_ASSERT_EQUAL(at(&test, i)->exec, i);
		CU_ASSERT_EQUAL(at(&test, i)->step, i / 2);
	}
	close_case(&test);
}

/* Guards against executors without the label, of another service, too small, or
 * with as many tasks of the step as it allows. */
static void
test_labels_services_and_spread(void)
{
	case_t test;
	bp_room_step_t *step;

	open_case(&test);
	(void)add_exec(&test, no_labels);
	(void)add_exec(&test, gpu_labels);
	g_array_index(test.model.execs, bp_room_exec_t, 1).service = "other";
	(void)add_exec(&test, gpu_labels);
	g_array_index(test.model.execs, bp_room_exec_t, 2).total.cpu_milli =
	    8000;
	(void)add_exec(&test, gpu_labels);
	add_run(&test, 4000, 100, 100)->step = &keys[0];
	(void)add_exec(&test, gpu_labels);
	(void)add_run(&test, 10000, 100, 2000);
	step = add_step(&test, 12000, 1, 1);
	step->label = "gpu";
	step->spread_max = 1;
	CU_ASSERT_EQUAL_FATAL(make(&test), 1);
	CU_ASSERT_EQUAL(at(&test, 0)->exec, 4);
	close_case(&test);
}

/* Guards against reservations that look at processors only: memory is free
 * later. */
static void
test_memory_bound_tasks(void)
{
	case_t test;
	bp_room_step_t *step;

	open_case(&test);
	(void)add_exec(&test, no_labels);
	(void)add_run(&test, 1000, 60000, 2500);
	(void)add_run(&test, 10000, 100, 200);
	step = add_step(&test, 4000, 1, 1);
	step->size.memory_mib = 40000;
	CU_ASSERT_EQUAL_FATAL(make(&test), 1);
	CU_ASSERT_EQUAL(at(&test, 0)->at_ms, NOW_MS + 2500);
	/* Only the memory of the large task is out of bounds beside it. */
	CU_ASSERT_EQUAL(at(&test, 0)->beside.memory_mib, 24000);
	CU_ASSERT_EQUAL(at(&test, 0)->beside.cpu_milli, 12000);
	close_case(&test);
}

/* No reservation is made beyond the horizon, or later than the task can start
 * with any use. */
static void
test_places_that_come_too_late(void)
{
	case_t test;

	open_case(&test);
	(void)add_exec(&test, no_labels);
	(void)add_run(&test, 10000, 100, 7000);
	(void)add_exec(&test, no_labels);
	(void)add_run(&test, 10000, 100, 3000);
	add_step(&test, 12000, 1, 1)->latest_ms = NOW_MS + 2000;
	CU_ASSERT_EQUAL(make(&test), 0);
	g_array_index(test.model.steps, bp_room_step_t, 0).latest_ms =
	    NOW_MS + 3000;
	CU_ASSERT_EQUAL(make(&test), 1);
	CU_ASSERT_EQUAL(at(&test, 0)->exec, 1);
	close_case(&test);
}

/* Large urgent work takes the place of less urgent work only where no other is
 * as early. */
static void
test_urgent_work_arrives(void)
{
	case_t test;

	open_case(&test);
	(void)add_exec(&test, no_labels);
	(void)add_run(&test, 10000, 100, 500);
	(void)add_exec(&test, no_labels);
	(void)add_run(&test, 10000, 100, 700);
	(void)add_step(&test, 12000, 1, 1);
	(void)add_step(&test, 12000, 1, 0);
	hold(&test, 0, 0, 500);
	CU_ASSERT_EQUAL_FATAL(make(&test), 2);
	CU_ASSERT_EQUAL(at(&test, 0)->step, 1);
	CU_ASSERT_EQUAL(at(&test, 0)->exec, 1);
	CU_ASSERT_EQUAL(at(&test, 1)->exec, 0);
	g_array_index(test.model.runs, bp_room_run_t, 1).late_ms =
	    NOW_MS + 5000;
	CU_ASSERT_EQUAL_FATAL(make(&test), 2);
	CU_ASSERT_EQUAL(at(&test, 0)->step, 1);
	CU_ASSERT_EQUAL(at(&test, 0)->exec, 0);
	CU_ASSERT_EQUAL(at(&test, 1)->exec, 1);
	CU_ASSERT_EQUAL(test.plan.lost, 1);
	close_case(&test);
}

/* Guards against small tasks that push a large one past its time. */
static void
test_admission_beside_a_reservation(void)
{
	bp_room_reservation_t place = {
	    .at_ms = NOW_MS + 1000, .beside = {2000, 8000, 0}};
	bp_room_size_t small = {2000, 100, 0};
	bp_room_size_t more = {2500, 100, 0};
	bp_room_size_t memory = {100, 9000, 0};

	CU_ASSERT_EQUAL(bp_room_admit(&place, &small, NOW_MS + 9000, false),
	    BP_ROOM_BESIDE);
	CU_ASSERT_EQUAL(bp_room_admit(&place, &more, NOW_MS + 1000, false),
	    BP_ROOM_ENDS_BEFORE);
	CU_ASSERT_EQUAL(bp_room_admit(&place, &more, NOW_MS + 1001, false),
	    BP_ROOM_REFUSED);
	CU_ASSERT_EQUAL(bp_room_admit(&place, &memory, NOW_MS + 1001, false),
	    BP_ROOM_REFUSED);
	CU_ASSERT_EQUAL(
	    bp_room_admit(&place, &more, NOW_MS + 1001, true), BP_ROOM_MOVABLE);
	place.strict = true;
	CU_ASSERT_EQUAL(
	    bp_room_admit(&place, &more, NOW_MS, true), BP_ROOM_REFUSED);
	CU_ASSERT_EQUAL(bp_room_admit(&place, &small, NOW_MS + 9000, false),
	    BP_ROOM_BESIDE);
}

/* Guards against room beside a reservation that counts runs which may last
 * longer than until its time as free. */
static void
test_room_beside_excludes_later_runs(void)
{
	case_t test;

	open_case(&test);
	(void)add_exec(&test, no_labels);
	(void)add_run(&test, 3000, 100, 5000);
	(void)add_run(&test, 9000, 100, 600);
	(void)add_step(&test, 10000, 1, 1);
	CU_ASSERT_EQUAL_FATAL(make(&test), 1);
	CU_ASSERT_EQUAL(at(&test, 0)->at_ms, NOW_MS + 600);
	CU_ASSERT_EQUAL(at(&test, 0)->beside.cpu_milli, 3000);
	close_case(&test);
}

/* Runs with checkpoints are moved only after a wait, only if they fit
 * elsewhere, and never more urgent ones. */
static void
test_moves(void)
{
	case_t test;
	bp_room_run_t *run;

	open_case(&test);
	test.model.moves_max = 2;
	(void)add_exec(&test, no_labels);
	run = add_run(&test, 6000, 100, 60000);
	run->movable = true;
	(void)add_exec(&test, no_labels);
	(void)add_run(&test, 9000, 100, 60000);
	(void)add_step(&test, 12000, 1, 1);
	CU_ASSERT_EQUAL(make(&test), 0);
	CU_ASSERT_EQUAL(test.plan.moves->len, 0);
	g_array_index(test.model.steps, bp_room_step_t, 0).since_ms =
	    NOW_MS - 2000;
	CU_ASSERT_EQUAL_FATAL(make(&test), 1);
	CU_ASSERT_EQUAL(at(&test, 0)->exec, 0);
	CU_ASSERT_EQUAL(at(&test, 0)->at_ms, NOW_MS + STOP_MS);
	CU_ASSERT_EQUAL_FATAL(test.plan.moves->len, 1);
	CU_ASSERT_EQUAL(g_array_index(test.plan.moves, uint32_t, 0), 0);
	/* The plan has taken the other place in the model: none is left. */
	CU_ASSERT_EQUAL(make(&test), 0);
	CU_ASSERT_EQUAL(test.plan.moves->len, 0);
	g_array_index(test.model.execs, bp_room_exec_t, 1).free.cpu_milli =
	    7000;
	g_array_index(test.model.runs, bp_room_run_t, 0).priority = 0;
	CU_ASSERT_EQUAL(make(&test), 0);
	close_case(&test);
}

/* Guards against sums that overflow with requests up to UINT32_MAX. */
static void
test_extreme_sizes(void)
{
	case_t test;
	bp_room_exec_t *exec;

	open_case(&test);
	(void)add_exec(&test, no_labels);
	(void)add_run(&test, 1000, 100, 100);
	(void)add_run(&test, 1000, 100, 200);
	exec = &g_array_index(test.model.execs, bp_room_exec_t, 0);
	exec->total.cpu_milli = UINT32_MAX;
	exec->free.cpu_milli = UINT32_MAX - 1000;
	g_array_index(test.model.runs, bp_room_run_t, 0).size.cpu_milli =
	    UINT32_MAX;
	(void)add_step(&test, UINT32_MAX, 1, UINT32_MAX - 1);
	CU_ASSERT_EQUAL(make(&test), 1);
	close_case(&test);
}

/* An empty model gives an empty plan. */
static void
test_nothing_to_plan(void)
{
	case_t test;

	open_case(&test);
	CU_ASSERT_EQUAL(make(&test), 0);
	(void)add_step(&test, 12000, 1, 1);
	CU_ASSERT_EQUAL(make(&test), 0);
	close_case(&test);
}

int
main(void)
{
	CU_TestInfo tests[] = {
	    {"the earliest place is taken", test_the_earliest_place_is_taken},
	    {"times come forward only", test_times_come_forward_only},
	    {"a missed reservation is remade",
		test_a_missed_reservation_is_remade},
	    {"the only executor is tried again",
		test_the_only_executor_is_tried_again},
	    {"a lost executor", test_a_lost_executor},
	    {"a place that is taken for good",
		test_a_place_that_is_taken_for_good},
	    {"several large tasks", test_several_large_tasks},
	    {"labels, services and spread", test_labels_services_and_spread},
	    {"memory-bound tasks", test_memory_bound_tasks},
	    {"places that come too late", test_places_that_come_too_late},
	    {"urgent work arrives", test_urgent_work_arrives},
	    {"admission beside a reservation",
		test_admission_beside_a_reservation},
	    {"room beside excludes later runs",
		test_room_beside_excludes_later_runs},
	    {"moves", test_moves},
	    {"extreme sizes", test_extreme_sizes},
	    {"nothing to plan", test_nothing_to_plan},
	    CU_TEST_INFO_NULL,
	};

	return bp_test_main("queues/roomplan", tests);
}
