#include "bulrushpost/shard.h"
#include "support/queuestore.h"
#include "support/runner.h"

#include <stdlib.h>
#include <string.h>

#define START_MS 1000000
#define STEP_MS 10
#define ORDERS_MAX 256

typedef enum { START, STOP, POLL, THROTTLE } order_kind_t;

/* An order to the simulated executor, until the test answers it. */
typedef struct {
	order_kind_t kind;
	char *task; /* of START and STOP */
	uint64_t run;
	uint32_t percent; /* of the throttle order */
	bp_exec_done_t done;
	void *data;
	bool answered;
} order_t;

/* A shard and an executor whose answers the test determines. */
typedef struct {
	bp_executors_t interface;
	bp_clock_virtual_t *clock;
	bp_random_t random;
	bp_qstore_t *store;
	bp_shard_t *shard;
	order_t orders[ORDERS_MAX];
	uint32_t n_orders;
} sim_t;

static void
record(bp_executors_t *self, order_kind_t kind, const char *task, uint64_t run,
    bp_exec_done_t done, void *data)
{
	sim_t *sim = (sim_t *)self;
	order_t *order = &sim->orders[sim->n_orders++];

	order->kind = kind;
	order->task = g_strdup(task);
	order->run = run;
	order->done = done;
	order->data = data;
}

static void
sim_start(bp_executors_t *self, const bp_exec_target_t *target,
    const bp_exec_start_t *start, bp_exec_done_t done, void *data)
{
	(void)target;
	record(self, START, start->task, start->run, done, data);
}

static void
sim_stop(bp_executors_t *self, const bp_exec_target_t *target, const char *task,
    uint64_t run, bp_exec_done_t done, void *data)
{
	(void)target;
	record(self, STOP, task, run, done, data);
}

static void
sim_poll(bp_executors_t *self, const bp_exec_target_t *target,
    const bp_exec_poll_t *poll, bp_exec_done_t done, void *data)
{
	(void)target;
	(void)poll;
	record(self, POLL, NULL, 0, done, data);
}

static void
sim_throttle(bp_executors_t *self, const bp_exec_target_t *target,
    const char *task, uint64_t run, uint32_t percent, bp_exec_done_t done,
    void *data)
{
	(void)target;
	((sim_t *)self)->orders[((sim_t *)self)->n_orders].percent = percent;
	record(self, THROTTLE, task, run, done, data);
}

static void
sim_forget(bp_executors_t *self, void *data)
{
	(void)self;
	(void)data;
}

static void
on_event(bp_shard_t *shard, void *data)
{
	(void)shard;
	(void)data;
}

/* Advances the clock while the shard's membership stays confirmed. */
static void
pass(sim_t *sim, int64_t duration_ms)
{
	const bp_clock_t *clock = bp_clock_virtual_clock(sim->clock);
	int64_t passed_ms;

	for (passed_ms = 0; passed_ms < duration_ms; passed_ms += STEP_MS) {
		bp_clock_virtual_run_ms(sim->clock, STEP_MS);
		(void)bp_shard_confirm_membership(
		    sim->shard, bp_clock_mono_ms(clock));
	}
}

/* Returns the oldest unanswered order of a kind, of a task unless task is NULL;
 * NULL for none. */
static order_t *
open_order(sim_t *sim, order_kind_t kind, const char *task)
{
	uint32_t i;

	for (i = 0; i < sim->n_orders; i++) {
		order_t *order = &sim->orders[i];

		if (order->kind == kind && !order->answered &&
		    (task == NULL || g_strcmp0(order->task, task) == 0))
			return order;
	}
	return NULL;
}

static void
deliver(order_t *order, bp_exec_outcome_t outcome, int64_t clock_ms,
    const order_t *running)
{
	GArray *rows = g_array_new(FALSE, TRUE, sizeof(bp_exec_running_t));
	GArray *ends = g_array_new(FALSE, TRUE, sizeof(bp_exec_ended_t));
	bp_exec_result_t result = {outcome, clock_ms, 1, NULL, NULL, false};

	if (running != NULL) {
		bp_exec_running_t row = {
		    running->task, running->run, "", 50, 0};

		g_array_append_val(rows, row);
	}
	if (order->kind == POLL) {
		result.running = rows;
		result.ended = ends;
	}
	order->answered = true;
	order->done(&result, order->data);
	g_array_unref(rows);
	g_array_unref(ends);
}

static void
answer(order_t *order, bp_exec_outcome_t outcome, int64_t clock_ms,
    const order_t *running)
{
	CU_ASSERT_PTR_NOT_NULL(order);
	if (order != NULL)
		deliver(order, outcome, clock_ms, running);
}

static void
list_executor(sim_t *sim)
{
	char *labels[] = {NULL};
	bp_executor_info_t info = {"i-1", "pool", "10.0.0.1:80", "za", "r1",
	    labels, 16000, 64000, 0, false, 1};

	bp_shard_update_executor(sim->shard, &info);
}

static sim_t *
sim_new(void)
{
	sim_t *sim = g_new0(sim_t, 1);
	bp_shard_options_t options = {0};

	sim->interface.start = sim_start;
	sim->interface.stop = sim_stop;
	sim->interface.poll = sim_poll;
	sim->interface.throttle = sim_throttle;
	sim->interface.forget = sim_forget;
	sim->clock = bp_clock_virtual_new(START_MS);
	bp_random_init(&sim->random, 1);
	sim->store = bp_qstore_new(sim->clock, &sim->random, 1);
	options.clock = bp_clock_virtual_clock(sim->clock);
	options.store = bp_qstore_interface(bp_qstore_view(sim->store));
	options.executors = &sim->interface;
	options.node = "n";
	options.address = "10.0.0.9:7000";
	options.topic = "jobs";
	options.limits.lease_max_ms = 6000;
	options.limits.status_keep_s = 3600;
	options.limits.quarantine_failures = 3;
	options.membership_confirmed_ms = START_MS;
	options.lost = on_event;
	options.owned = on_event;
	sim->shard = bp_shard_new(&options);
	pass(sim, 500);
	list_executor(sim);
	answer(open_order(sim, POLL, NULL), BP_EXEC_OK, 1000, NULL);
	pass(sim, 100);
	return sim;
}

static void
sim_free(sim_t *sim)
{
	uint32_t i;

	bp_shard_free(sim->shard);
	bp_qstore_free(sim->store);
	bp_clock_virtual_free(sim->clock);
	for (i = 0; i < sim->n_orders; i++)
		g_free(sim->orders[i].task);
	g_free(sim);
}

static void
on_submitted(const bp_shard_answer_t *told, void *data)
{
	(void)data;
	CU_ASSERT_EQUAL(told->kind, BP_OK);
}

static Bp__Work__Step *
new_step(uint32_t tasks, uint32_t cpu_milli)
{
	Bp__Work__Step *step = malloc(sizeof(*step));

	bp__work__step__init(step);
	step->tasks = tasks;
	step->cpu_milli = cpu_milli;
	step->memory_mib = 100;
	step->expected_ms = 5000;
	return step;
}

/* Submits a job of one step, and takes ownership of the step. */
static void
submit_step(sim_t *sim, const char *id, Bp__Work__Step *step)
{
	Bp__Work__Job *job = malloc(sizeof(*job));

	bp__work__job__init(job);
	job->id = strdup(id);
	job->queue = strdup("q");
	job->service = strdup("pool");
	job->payload = strdup("work");
	job->attempts = 3;
	job->stretch_permille = 2000;
	job->accepted_ms = START_MS;
	job->steps = calloc(1, sizeof(Bp__Work__Step *));
	job->steps[job->n_steps++] = step;
	bp_shard_submit(sim->shard, job, on_submitted, NULL);
}

static void
submit(sim_t *sim, const char *id)
{
	submit_step(sim, id, new_step(1, 1000));
}

/*
 * Guards against a poll result that ends a run which only another result of the
 * same millisecond reports: the two have no known order, and the result that
 * was requested later may be the older one.
 */
static void
test_an_overtaken_list_ends_no_run(void)
{
	sim_t *sim = sim_new();
	order_t *start;
	order_t *refused;
	order_t *newer;
	order_t *older;

	submit(sim, "000000000000000a");
	pass(sim, 200);
	start = open_order(sim, START, "000000000000000a.0.0.0");
	newer = open_order(sim, POLL, NULL);
	submit(sim, "000000000000000b");
	pass(sim, 200);
	refused = open_order(sim, START, "000000000000000b.0.0.0");
	answer(refused, BP_EXEC_NO_CAPACITY, 1400, NULL);
	answer(newer, BP_EXEC_OK, 1500, start);
	older = open_order(sim, POLL, NULL);
	answer(older, BP_EXEC_OK, 1500, NULL);
	pass(sim, 300);
	CU_ASSERT_PTR_EQUAL(
	    open_order(sim, START, "000000000000000a.0.0.0"), start);
	CU_ASSERT_PTR_NULL(open_order(sim, STOP, NULL));
	answer(start, BP_EXEC_OK, 1900, NULL);
	pass(sim, 300);
	CU_ASSERT_PTR_NULL(open_order(sim, START, "000000000000000a.0.0.0"));
	sim_free(sim);
}

#define FILLERS 3
#define SERVING_MILLI 7000
#define FILLER_MILLI 4000
#define TARGET_MS 100
/* A filler that cannot have its full speed is placed after this. */
#define SLOW_PLACEMENT_MS 1200

/* Creates a shard with a serving task and fillers on one executor, all
 * started. */
static sim_t *
sim_with_fillers(void)
{
	sim_t *sim = sim_new();
	Bp__Work__Step *serving = new_step(1, SERVING_MILLI);
	Bp__Work__Step *fillers = new_step(FILLERS, FILLER_MILLI);
	order_t *start;

	serving->lasting = true;
	serving->target_ms = TARGET_MS;
	serving->image = strdup("serving");
	fillers->filler = true;
	fillers->image = strdup("filler");
	fillers->checkpoints = true;
	submit_step(sim, "000000000000000a", serving);
	pass(sim, 200);
	submit_step(sim, "000000000000000b", fillers);
	pass(sim, SLOW_PLACEMENT_MS);
	while ((start = open_order(sim, START, NULL)) != NULL)
		answer(start, BP_EXEC_OK, 0, NULL);
	return sim;
}

/* Answers a poll with all started runs, as many as expected; tail_ms is the
 * tail latency of the serving task. */
static void
answer_with_runs(
    sim_t *sim, int64_t clock_ms, int64_t tail_ms, uint32_t expected)
{
	GArray *rows = g_array_new(FALSE, TRUE, sizeof(bp_exec_running_t));
	GArray *ends = g_array_new(FALSE, TRUE, sizeof(bp_exec_ended_t));
	bp_exec_result_t result = {BP_EXEC_OK, clock_ms, 1, rows, ends, false};
	order_t *poll = open_order(sim, POLL, NULL);
	uint32_t i;

	for (i = 0; i < sim->n_orders; i++) {
		const order_t *order = &sim->orders[i];
		bool serving = order->task != NULL && order->task[15] == 'a';
		bp_exec_running_t row = {order->task, order->run, "", 10,
		    serving ? tail_ms : FILLER_MILLI};

		if (order->kind == START)
			g_array_append_val(rows, row);
	}
	CU_ASSERT_EQUAL(rows->len, expected);
	CU_ASSERT_PTR_NOT_NULL(poll);
	if (poll != NULL) {
		poll->answered = true;
		poll->done(&result, poll->data);
	}
	g_array_unref(rows);
	g_array_unref(ends);
}

static void
answer_with_tail(sim_t *sim, int64_t clock_ms, int64_t tail_ms)
{
	answer_with_runs(sim, clock_ms, tail_ms, 1 + FILLERS);
}

/*
 * Guards against a step that waits for one paused filler while its others run
 * at full speed: all fillers of an executor get the same speed limit.
 */
static void
test_fillers_are_slowed_alike(void)
{
	sim_t *sim = sim_with_fillers();
	uint32_t throttled = 0;
	uint32_t slowest = 100;
	uint32_t i;

	/* Leaves three quarters of the slack that the fillers would use. */
	answer_with_tail(sim, 1500, 87);
	for (i = 0; i < sim->n_orders; i++) {
		if (sim->orders[i].kind != THROTTLE)
			continue;
		throttled++;
		slowest = MIN(slowest, sim->orders[i].percent);
	}
	CU_ASSERT_EQUAL(throttled, FILLERS);
	CU_ASSERT_TRUE(slowest >= 60);
	sim_free(sim);
}

/* Guards against fillers that stay paused for long instead of being moved. */
static void
test_a_paused_filler_is_moved_soon(void)
{
	sim_t *sim = sim_with_fillers();
	order_t *throttle;

	answer_with_tail(sim, 1500, 4 * TARGET_MS);
	while ((throttle = open_order(sim, THROTTLE, NULL)) != NULL) {
		CU_ASSERT_EQUAL(throttle->percent, 0);
		answer(throttle, BP_EXEC_OK, 0, NULL);
	}
	CU_ASSERT_PTR_NULL(open_order(sim, STOP, NULL));
	pass(sim, 900);
	CU_ASSERT_PTR_NOT_NULL(open_order(sim, STOP, NULL));
	sim_free(sim);
}

/* Beside NARROW_MILLI of serving tasks and two fillers of FILLER_MILLI, a
 * filler of WIDE_MILLI has half of its speed. */
#define NARROW_MILLI 1000
#define WIDE_MILLI 7000

static Bp__Work__Step *
new_filler(uint32_t tasks, uint32_t cpu_milli)
{
	Bp__Work__Step *step = new_step(tasks, cpu_milli);

	step->filler = true;
	step->image = strdup("filler");
	return step;
}

/*
 * Guards against unused processors: a filler that no executor can run at most
 * of its full speed accepts a slower placement after 1 s.
 */
static void
test_a_filler_takes_a_slow_place(void)
{
	sim_t *sim = sim_new();
	Bp__Work__Step *serving = new_step(1, NARROW_MILLI);
	order_t *start;

	serving->lasting = true;
	serving->target_ms = TARGET_MS;
	serving->image = strdup("serving");
	submit_step(sim, "000000000000000a", serving);
	submit_step(sim, "000000000000000b", new_filler(2, FILLER_MILLI));
	pass(sim, 200);
	while ((start = open_order(sim, START, NULL)) != NULL)
		answer(start, BP_EXEC_OK, 0, NULL);
	submit_step(sim, "000000000000000c", new_filler(1, WIDE_MILLI));
	pass(sim, 800);
	CU_ASSERT_PTR_NULL(open_order(sim, START, NULL));
	pass(sim, 600);
	CU_ASSERT_PTR_NOT_NULL(open_order(sim, START, NULL));
	sim_free(sim);
}

/* A tail latency that leaves a filler at full speed within SLACK_MIN, but not
 * with the margin of a placement, and one that leaves both. */
#define CLOSE_TAIL_MS 55
#define SHORT_TAIL_MS 20

/*
 * Guards against fillers that are placed just below the limit of a serving task
 * and slowed or stopped later, once the task was over its target.
 */
static void
test_a_filler_keeps_a_margin(void)
{
	sim_t *sim = sim_new();
	Bp__Work__Step *serving = new_step(1, SERVING_MILLI);
	order_t *start;

	serving->lasting = true;
	serving->target_ms = TARGET_MS;
	serving->image = strdup("serving");
	submit_step(sim, "000000000000000a", serving);
	pass(sim, 200);
	while ((start = open_order(sim, START, NULL)) != NULL)
		answer(start, BP_EXEC_OK, 0, NULL);
	answer_with_runs(sim, 1500, CLOSE_TAIL_MS, 1);
	submit_step(sim, "000000000000000b", new_filler(1, FILLER_MILLI));
	pass(sim, 2 * SLOW_PLACEMENT_MS);
	CU_ASSERT_PTR_NULL(open_order(sim, START, NULL));
	answer_with_runs(sim, 4000, SHORT_TAIL_MS, 1);
	pass(sim, 200);
	CU_ASSERT_PTR_NOT_NULL(open_order(sim, START, NULL));
	sim_free(sim);
}

/* Three fillers and a serving task leave no processors for a fourth. */
#define LATER_JOB "000000000000000c"
#define LATER_TASK LATER_JOB ".0.0.0"
#define TRAFFIC_MS 3000
#define QUIET_MS 5000
#define POLL_MS 500

/* Lets time pass while polls report all runs; returns whether the later job has
 * been started. */
static bool
pass_with_polls(sim_t *sim, int64_t duration_ms, int64_t tail_ms)
{
	int64_t passed_ms;

	for (passed_ms = 0; passed_ms < duration_ms; passed_ms += POLL_MS) {
		int64_t now_ms =
		    bp_clock_mono_ms(bp_clock_virtual_clock(sim->clock));

		pass(sim, POLL_MS);
		if (open_order(sim, START, LATER_TASK) != NULL)
			return true;
		if (open_order(sim, POLL, NULL) != NULL)
			answer_with_tail(
			    sim, 1000 + now_ms - START_MS, tail_ms);
	}
	return false;
}

/* Creates a shard whose executor has no processors left for the task of a later
 * job. */
static sim_t *
sim_with_waiting_job(void)
{
	sim_t *sim = sim_with_fillers();

	answer_with_tail(sim, 1500, SHORT_TAIL_MS);
	submit_step(sim, LATER_JOB, new_filler(1, FILLER_MILLI));
	return sim;
}

/*
 * Guards against a job that waits with nothing running while another one has
 * several fillers on an executor whose processors are half free: once the
 * traffic has ended, it shares processors with them.
 */
static void
test_a_waiting_job_shares_processors(void)
{
	sim_t *sim = sim_with_waiting_job();

	CU_ASSERT_FALSE(pass_with_polls(sim, TRAFFIC_MS, SHORT_TAIL_MS));
	CU_ASSERT_TRUE(pass_with_polls(sim, QUIET_MS, SHORT_TAIL_MS));
	sim_free(sim);
}

/* Guards against shared processors that bring a serving task near its target.
 */
static void
test_shared_processors_spare_serving_tasks(void)
{
	sim_t *sim = sim_with_waiting_job();

	CU_ASSERT_FALSE(pass_with_polls(sim, TRAFFIC_MS, SHORT_TAIL_MS));
	CU_ASSERT_FALSE(pass_with_polls(sim, QUIET_MS, TARGET_MS));
	sim_free(sim);
}

int
main(void)
{
	CU_TestInfo tests[] = {
	    {"an overtaken list ends no run",
		test_an_overtaken_list_ends_no_run},
	    {"fillers are slowed alike", test_fillers_are_slowed_alike},
	    {"a filler at rest is moved soon",
		test_a_paused_filler_is_moved_soon},
	    {"a filler takes a slow place", test_a_filler_takes_a_slow_place},
	    {"a filler keeps a margin", test_a_filler_keeps_a_margin},
	    {"a waiting job shares processors",
		test_a_waiting_job_shares_processors},
	    {"shared processors spare serving tasks",
		test_shared_processors_spare_serving_tasks},
	    CU_TEST_INFO_NULL,
	};

	return bp_test_main("queues/lists", tests);
}
