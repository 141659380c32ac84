#include "support/queuerig.h"
#include "support/runner.h"

#include <stdlib.h>

/* Seeds of a CI run; the environment variables CALM_SEEDS and CALM_FIRST select
 * others. */
#define SEEDS 20
#define EXECUTORS 30
#define SETTLE_MS 3000
#define STEP_MS 50
#define RUN_MS 40000
/* A long-running task must be running again within this time while an executor
 * has capacity for two such tasks. */
#define NOT_RUNNING_MAX_MS 3000
#define LASTING_JOBS 6
#define TASKS_MAX 6
#define SLOW_MS 700
#define JITTER_MS 60

typedef struct {
	const char *id;
	uint32_t tasks;
	uint32_t cpu_milli;
	int64_t not_running_ms[TASKS_MAX]; /* not running despite capacity */
} long_running_t;

typedef struct {
	bp_qrig_t *rig;
	long_running_t lasting[LASTING_JOBS];
	int64_t longest_not_running_ms;
} scenario_t;

static uint32_t
below(scenario_t *scenario, uint32_t bound)
{
	return bp_random_below(bp_qrig_random(scenario->rig), bound);
}

static bool
has_room_for_two(const bp_qfleet_t *fleet, uint32_t cpu_milli)
{
	uint32_t i;

	for (i = 0; i < bp_qfleet_size(fleet); i++) {
		if (bp_qfleet_free_milli(fleet, i) >= 2 * cpu_milli)
			return true;
	}
	return false;
}

static void
check_long_running(scenario_t *scenario)
{
	bp_qfleet_t *fleet = bp_qrig_fleet(scenario->rig);
	uint32_t i;
	uint32_t k;

	for (i = 0; i < LASTING_JOBS; i++) {
		long_running_t *job = &scenario->lasting[i];
		bool capacity = has_room_for_two(fleet, job->cpu_milli);

		for (k = 0; k < job->tasks; k++) {
			char *task = g_strdup_printf("%s.0.0.%u", job->id, k);
			bool not_running =
			    bp_qfleet_running_of(fleet, task) == 0;

			job->not_running_ms[k] = not_running && capacity
			    ? job->not_running_ms[k] + STEP_MS
			    : 0;
			scenario->longest_not_running_ms =
			    MAX(scenario->longest_not_running_ms,
				job->not_running_ms[k]);
			g_free(task);
		}
	}
}

static void
submit_long_running(scenario_t *scenario)
{
	uint32_t i;

	for (i = 0; i < LASTING_JOBS; i++) {
		long_running_t *job = &scenario->lasting[i];
		bp_qrig_shape_t shape = {.priority = below(scenario, 2)};

		job->tasks = 1 + below(scenario, TASKS_MAX);
		job->cpu_milli = 500 * (1 + below(scenario, 8));
		shape.cpu_milli = job->cpu_milli;
		/* Runs of half of the jobs fail after 0.5 to 8.5 s. */
		if (below(scenario, 2) == 0)
			shape.fails_after_ms = 500 + below(scenario, 8000);
		bp_qrig_set_shape(scenario->rig, &shape);
		job->id = bp_qrig_submit(scenario->rig, job->tasks, 0, true);
	}
}

static void
submit_other(scenario_t *scenario, uint32_t tasks)
{
	bp_qrig_shape_t shape = {.reliable = below(scenario, 4) != 0,
	    .priority = below(scenario, 2),
	    .filler = below(scenario, 2) == 0,
	    .cpu_milli = 500 * (1 + below(scenario, 16))};

	bp_qrig_set_shape(scenario->rig, &shape);
	(void)bp_qrig_submit(scenario->rig, 1 + below(scenario, tasks),
	    200 + below(scenario, 3000), false);
}

/* Injects common events: store partitions are rebalanced, executors drain or
 * leave the list and return. */
static void
inject_event(scenario_t *scenario)
{
	bp_qfleet_t *fleet = bp_qrig_fleet(scenario->rig);
	uint32_t index = below(scenario, EXECUTORS);

	switch (below(scenario, 5)) {
	case 0:
		bp_qstore_rebalance(bp_qrig_store(scenario->rig));
		break;
	case 1:
		bp_qfleet_set_draining(fleet, index, true);
		break;
	case 2:
		bp_qfleet_set_listed(fleet, index, false);
		break;
	default:
		bp_qfleet_set_draining(fleet, index, false);
		bp_qfleet_set_listed(fleet, index, true);
		break;
	}
}

static bool
play(uint64_t seed)
{
	scenario_t scenario = {.rig = bp_qrig_new(seed, EXECUTORS)};
	bp_qfleet_t *fleet = bp_qrig_fleet(scenario.rig);
	uint32_t tasks = 4 + below(&scenario, 30);
	uint32_t period_ms = 50 * (1 + below(&scenario, 6));
	bool slow = below(&scenario, 2) == 0;
	int64_t at_ms;
	uint32_t i;
	bool good;

	bp_qfleet_set_jitter_ms(fleet, JITTER_MS);
	for (i = 0; slow && i < EXECUTORS; i++)
		bp_qfleet_set_slow_ms(fleet, i, SLOW_MS);
	bp_qrig_run_ms(scenario.rig, SETTLE_MS);
	submit_long_running(&scenario);
	for (at_ms = 0; at_ms < RUN_MS; at_ms += STEP_MS) {
		if (at_ms % period_ms == 0)
			submit_other(&scenario, tasks);
		if (below(&scenario, 100) == 0)
			inject_event(&scenario);
		bp_qrig_run_ms(scenario.rig, STEP_MS);
		check_long_running(&scenario);
	}
	good = bp_qrig_broken(scenario.rig) == 0 &&
	    scenario.longest_not_running_ms < NOT_RUNNING_MAX_MS;
	if (!good)
		printf("seed %" G_GUINT64_FORMAT
		       ": %u violations (%s), not running for %u ms despite "
		       "capacity\n",
		    seed, bp_qrig_broken(scenario.rig),
		    bp_qrig_first_broken(scenario.rig),
		    (unsigned)scenario.longest_not_running_ms);
	bp_qrig_free(scenario.rig);
	return good;
}

static uint64_t
number_from(const char *name, uint64_t default_value)
{
	const char *text = getenv(name);

	return text != NULL ? g_ascii_strtoull(text, NULL, 10) : default_value;
}

/* Guards against long-running tasks that do not run although there is capacity,
 * however loaded the service is. */
static void
test_what_lasts_runs_beside_load(void)
{
	uint64_t first = number_from("CALM_FIRST", 1);
	uint64_t seeds = number_from("CALM_SEEDS", SEEDS);
	uint64_t bad = 0;
	uint64_t i;

	for (i = 0; i < seeds; i++)
		bad += !play(first + i);
	CU_ASSERT_EQUAL(bad, 0);
}

int
main(void)
{
	CU_TestInfo tests[] = {
	    {"what lasts runs beside load", test_what_lasts_runs_beside_load},
	    CU_TEST_INFO_NULL,
	};

	return bp_test_main("queues/calm", tests);
}
