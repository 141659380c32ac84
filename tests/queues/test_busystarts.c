#include "support/queuerig.h"
#include "support/runner.h"

#define SEED 20261206
#define EXECUTORS 1
#define SETTLE_MS 3000
#define STEP_MS 10
#define TASKS 400
#define TASK_MS 100
/* Time in which a node gets no answer of an executor. */
#define TIMEOUT_MS 900
/* An executor that does not back off gets a start within this time, one that
 * does gets none for 1 s. */
#define SOON_MS 500

/* A start that was not forwarded. */
typedef struct {
	bp_exec_done_t done; /* NULL once forgotten */
	void *data;
} held_t;

/* Forwards orders to the executors, or holds starts until the test ends them.
 */
typedef struct {
	bp_executors_t interface;
	bp_executors_t *executors;
	uint32_t starts;
	uint32_t stops;
	bool hold;
	GArray *held; /* held_t */
} holder_t;

static void
holder_start(bp_executors_t *self, const bp_exec_target_t *target,
    const bp_exec_start_t *start, bp_exec_done_t done, void *data)
{
	holder_t *holder = (holder_t *)self;
	held_t held = {done, data};

	holder->starts++;
	if (holder->hold)
		g_array_append_val(holder->held, held);
	else
		holder->executors->start(
		    holder->executors, target, start, done, data);
}

static void
holder_stop(bp_executors_t *self, const bp_exec_target_t *target,
    const char *task, uint64_t run, bp_exec_done_t done, void *data)
{
	holder_t *holder = (holder_t *)self;

	holder->stops++;
	holder->executors->stop(
	    holder->executors, target, task, run, done, data);
}

static void
holder_poll(bp_executors_t *self, const bp_exec_target_t *target,
    const bp_exec_poll_t *poll, bp_exec_done_t done, void *data)
{
	holder_t *holder = (holder_t *)self;

	holder->executors->poll(holder->executors, target, poll, done, data);
}

static void
holder_forget(bp_executors_t *self, void *data)
{
	holder_t *holder = (holder_t *)self;
	guint i;

	for (i = 0; i < holder->held->len; i++) {
		held_t *held = &g_array_index(holder->held, held_t, i);

		if (held->data == data)
			held->done = NULL;
	}
	holder->executors->forget(holder->executors, data);
}

static void
on_shard_event(bp_shard_t *shard, void *data)
{
	(void)shard;
	(void)data;
}

/* The owner stays the owner: there is no other node. */
static void
on_unfit(bp_shard_t *shard, bp_shard_unfit_t why, void *data)
{
	(void)shard;
	(void)why;
	(void)data;
}

/* A shard with one executor and many short tasks, under a virtual clock. */
typedef struct {
	bp_qrig_t *sim;
	bp_shard_t *shard;
	holder_t holder;
} fixture_t;

static void
run_ms(fixture_t *fixture, int64_t duration_ms)
{
	const bp_clock_t *clock =
	    bp_clock_virtual_clock(bp_qrig_clock(fixture->sim));
	int64_t passed_ms;

	for (passed_ms = 0; passed_ms < duration_ms; passed_ms += STEP_MS) {
		bp_qrig_run_ms(fixture->sim, STEP_MS);
		(void)bp_shard_confirm_membership(
		    fixture->shard, bp_clock_mono_ms(clock));
	}
}

static void
list_executors(fixture_t *fixture)
{
	uint32_t i;

	for (i = 0; i < EXECUTORS; i++) {
		bp_executor_info_t *info =
		    bp_qfleet_info(bp_qrig_fleet(fixture->sim), i);

		bp_shard_update_executor(fixture->shard, info);
		bp_executor_info_free(info);
	}
	bp_shard_executors_listed(fixture->shard);
}

static void
fixture_setup(fixture_t *fixture)
{
	bp_qrig_shape_t shape = {
	    .reliable = true, .cpu_milli = 1000, .single = true};
	bp_shard_options_t options = {0};
	uint32_t i;

	fixture->sim = bp_qrig_new(SEED, EXECUTORS);
	bp_qrig_set_shape(fixture->sim, &shape);
	bp_qrig_run_ms(fixture->sim, SETTLE_MS);
	(void)bp_qrig_submit(fixture->sim, TASKS, TASK_MS, false);
	bp_qrig_run_ms(fixture->sim, SETTLE_MS / 10);
	for (i = 0; i < BP_QRIG_NODES; i++)
		bp_qrig_kill(fixture->sim, i);
	fixture->holder.executors =
	    bp_qfleet_interface(bp_qfleet_view(bp_qrig_fleet(fixture->sim)));
	fixture->holder.held = g_array_new(FALSE, FALSE, sizeof(held_t));
	fixture->holder.interface.start = holder_start;
	fixture->holder.interface.stop = holder_stop;
	fixture->holder.interface.poll = holder_poll;
	fixture->holder.interface.forget = holder_forget;
	options.clock = bp_clock_virtual_clock(bp_qrig_clock(fixture->sim));
	options.store =
	    bp_qstore_interface(bp_qstore_view(bp_qrig_store(fixture->sim)));
	options.executors = &fixture->holder.interface;
	options.node = "owner";
	options.address = "owner";
	options.topic = "jobs";
	options.limits.lease_max_ms = 6000;
	options.limits.status_keep_s = 60;
	options.membership_confirmed_ms = bp_clock_mono_ms(options.clock);
	options.lost = on_shard_event;
	options.owned = on_shard_event;
	options.unfit = on_unfit;
	fixture->shard = bp_shard_new(&options);
	for (i = 0; i < 1000 && !bp_shard_ready(fixture->shard); i++)
		run_ms(fixture, STEP_MS);
	CU_ASSERT_TRUE_FATAL(bp_shard_ready(fixture->shard));
	list_executors(fixture);
	for (i = 0; i < 1000 && fixture->holder.starts == 0; i++)
		run_ms(fixture, STEP_MS);
	CU_ASSERT_TRUE_FATAL(fixture->holder.starts > 0);
}

static void
fixture_teardown(fixture_t *fixture)
{
	bp_shard_free(fixture->shard);
	bp_qrig_free(fixture->sim);
	g_array_unref(fixture->holder.held);
}

/* Ends the held starts without an answer. */
static void
end_held(holder_t *holder)
{
	bp_exec_result_t result = {.outcome = BP_EXEC_UNKNOWN};
	GArray *held = holder->held;
	guint i;

	holder->held = g_array_new(FALSE, FALSE, sizeof(held_t));
	for (i = 0; i < held->len; i++) {
		const held_t *start = &g_array_index(held, held_t, i);

		if (start->done != NULL)
			start->done(&result, start->data);
	}
	g_array_unref(held);
}

/* Ends starts without an answer, after a time in which the event loop stood
 * still or not. Returns whether the executor gets another start soon. */
static bool
gets_starts_after_silence(fixture_t *fixture, bool busy)
{
	holder_t *holder = &fixture->holder;
	uint32_t starts;
	uint32_t stops = holder->stops;
	uint32_t i;

	holder->hold = true;
	for (i = 0; i < 200 && holder->held->len == 0; i++)
		run_ms(fixture, STEP_MS);
	CU_ASSERT_TRUE_FATAL(holder->held->len > 0);
	if (busy)
		bp_clock_virtual_advance_us(
		    bp_qrig_clock(fixture->sim), TIMEOUT_MS * 1000);
	else
		run_ms(fixture, TIMEOUT_MS);
	starts = holder->starts;
	end_held(holder);
	run_ms(fixture, SOON_MS);
	/* The starts may have taken effect. */
	CU_ASSERT_TRUE(holder->stops > stops);
	return holder->starts > starts;
}

/* Guards against an owner that sends executors no more tasks because it was too
 * busy to read their answers. */
static void
test_a_busy_owner_goes_on_starting(void)
{
	fixture_t fixture = {0};

	fixture_setup(&fixture);
	CU_ASSERT_TRUE(gets_starts_after_silence(&fixture, true));
	fixture_teardown(&fixture);
}

/* Guards against starts that go on being sent to an executor which does not
 * answer them. */
static void
test_an_idle_owner_backs_off(void)
{
	fixture_t fixture = {0};

	fixture_setup(&fixture);
	CU_ASSERT_FALSE(gets_starts_after_silence(&fixture, false));
	fixture_teardown(&fixture);
}

/* Guards against an owner that is always busy and never backs off from an
 * executor which answers no start. */
static void
test_a_busy_owner_backs_off_in_the_end(void)
{
	fixture_t fixture = {0};
	uint32_t excused = 0;

	fixture_setup(&fixture);
	while (excused < 10 && gets_starts_after_silence(&fixture, true))
		excused++;
	CU_ASSERT_EQUAL(excused, 3);
	fixture_teardown(&fixture);
}

int
main(void)
{
	CU_TestInfo tests[] = {
	    {"a busy owner goes on starting",
		test_a_busy_owner_goes_on_starting},
	    {"an idle owner backs off", test_an_idle_owner_backs_off},
	    {"a busy owner backs off in the end",
		test_a_busy_owner_backs_off_in_the_end},
	    CU_TEST_INFO_NULL,
	};

	return bp_test_main("queues/busystarts", tests);
}
