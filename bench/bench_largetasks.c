#include "bulrushpost/hash.h"
#include "queues/roomplan.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#define SEED 20261206
#define PLANS 101
#define NOW_MS 1000000
#define STEPS 24
#define TASKS_PER_STEP 20
#define ROOMS_MAX 64
#define EXECS_PER_ROOM 12
#define US_PER_S 1000000.0
#define NS_PER_US 1000.0
/* Plans a second, and the share of an owner's processor that they may use. An
 * owner has at least 0.25 processors. */
#define PLANS_PER_S 4
#define OWNER_PROCESSORS 0.25
#define SHARE_MAX_PERCENT 4

int bp_bench_largetasks(int argc, char **argv);

static double
cpu_us(void)
{
	struct timespec now;

	(void)clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &now);
	return (double)now.tv_sec * US_PER_S + (double)now.tv_nsec / NS_PER_US;
}

static uint32_t
between(bp_random_t *random, uint32_t low, uint32_t high)
{
	return low + bp_random_below(random, high - low + 1);
}

/* Fills an executor with short tasks, one in ten of them long-running. */
static void
add_exec(bp_room_model_t *model, bp_random_t *random, char **labels)
{
	uint32_t cpu_milli = bp_random_below(random, 2) == 0 ? 16000 : 32000;
	bp_room_exec_t exec = {.service = "pool",
	    .labels = labels,
	    .total = {cpu_milli, cpu_milli * 4, 0},
	    .free = {cpu_milli, cpu_milli * 4, 0},
	    .first_run = model->runs->len};

	for (;;) {
		bp_room_run_t run = {
		    .size = {between(random, 1800, 3500), 2000, 0},
		    .priority = 1,
		    .movable = bp_random_below(random, 4) == 0};

		if (!bp_room_size_fits(&run.size, &exec.free))
			break;
		run.late_ms = bp_random_below(random, 10) == 0
		    ? BP_ROOM_NEVER
		    : NOW_MS + between(random, 0, 4000);
		exec.free.cpu_milli -= run.size.cpu_milli;
		exec.free.memory_mib -= run.size.memory_mib;
		exec.n_runs++;
		g_array_append_val(model->runs, run);
	}
	g_array_append_val(model->execs, exec);
}

static void
fill_model(bp_room_model_t *model, uint32_t execs, uint64_t seed)
{
	static char *labels[] = {NULL};
	static int keys[STEPS];
	bp_random_t random;
	uint32_t i;

	bp_random_init(&random, seed);
	bp_room_model_reset(model);
	model->now_ms = NOW_MS;
	model->horizon_ms = 6000;
	model->grace_ms = 400;
	model->stop_ms = 1000;
	model->move_after_ms = 1000;
	model->moves_max = 4;
	model->reservations_max = MIN(execs / EXECS_PER_ROOM, ROOMS_MAX);
	for (i = 0; i < execs; i++)
		add_exec(model, &random, labels);
	for (i = 0; i < STEPS; i++) {
		bp_room_step_t step = {
		    .size = {between(&random, 8000, 31000), 4000, 0},
		    .tasks = TASKS_PER_STEP,
		    .priority = 1,
		    .service = "pool",
		    .label = "",
		    .step = &keys[i],
		    .since_ms = NOW_MS - 5000,
		    .latest_ms = BP_ROOM_NEVER};

		g_array_append_val(model->steps, step);
	}
}

static int
compare(const void *a, const void *b)
{
	double x = *(const double *)a;
	double y = *(const double *)b;

	return (x > y) - (x < y);
}

/* Prints the processor time of plans, with the model that each of them needs,
 * and returns the median in microseconds. */
static double
measure(uint32_t execs)
{
	static double taken_us[PLANS];
	bp_room_model_t model;
	bp_room_plan_t plan;
	uint64_t reservations = 0;
	uint32_t i;

	bp_room_model_init(&model);
	bp_room_plan_init(&plan);
	for (i = 0; i < PLANS; i++) {
		double start_us = cpu_us();

		fill_model(&model, execs, SEED + i);
		bp_room_plan_make(&plan, &model);
		taken_us[i] = cpu_us() - start_us;
		reservations += plan.reservations->len;
	}
	bp_room_plan_clear(&plan);
	bp_room_model_clear(&model);
	qsort(taken_us, PLANS, sizeof(taken_us[0]), compare);
	printf("plan of large tasks, %u executors, %d steps: median %.0f us, "
	       "slowest %.0f us, %.1f reservations\n",
	    execs, STEPS, taken_us[PLANS / 2], taken_us[PLANS - 1],
	    (double)reservations / PLANS);
	return taken_us[PLANS / 2];
}

/* Measures the decision on large tasks; with --check returns 1 if it uses too
 * much of the smallest owner's processor. */
int
bp_bench_largetasks(int argc, char **argv)
{
	bool check = argc > 1 && strcmp(argv[1], "--check") == 0;
	double bound_us =
	    US_PER_S * OWNER_PROCESSORS * SHARE_MAX_PERCENT / 100 / PLANS_PER_S;
	double small_us = measure(500);
	double large_us = measure(1600);

	if (!check || MAX(small_us, large_us) <= bound_us)
		return 0;
	printf("FAILED: %.0f us, bound %.0f us\n", MAX(small_us, large_us),
	    bound_us);
	return 1;
}
