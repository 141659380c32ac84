#include "support/queuerig.h"
#include "support/runner.h"

#define SEED 20261206
#define EXECUTORS 6
#define SETTLE_MS 3000
#define STEP_MS 10
/* Time in which a node gets no answer of an executor. */
#define TIMEOUT_MS 900
/* A poll that is repeated at once is sent within this time, and one that counts
 * is not. */
#define AT_ONCE_MS 20

/* An executor interface whose polls are answered by the test. */
typedef struct {
	bp_executors_t interface;
	uint32_t polls;
	bp_exec_done_t done; /* of the last poll; NULL once it has ended */
	void *data;
} silent_t;

static void
silent_poll(bp_executors_t *self, const bp_exec_target_t *target,
    const bp_exec_poll_t *poll, bp_exec_done_t done, void *data)
{
	silent_t *silent = (silent_t *)self;

	(void)target;
	(void)poll;
	silent->polls++;
	silent->done = done;
	silent->data = data;
}

static void
silent_forget(bp_executors_t *self, void *data)
{
	(void)self;
	(void)data;
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

/* A shard and its only executor, which the tests poll under a virtual clock. */
typedef struct {
	bp_qrig_t *sim;
	bp_shard_t *shard;
	silent_t silent;
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
fixture_setup(fixture_t *fixture)
{
	bp_shard_options_t options = {0};
	bp_executor_info_t *info;
	uint32_t i;

	fixture->sim = bp_qrig_new(SEED, EXECUTORS);
	fixture->silent.interface.poll = silent_poll;
	fixture->silent.interface.forget = silent_forget;
	bp_qrig_run_ms(fixture->sim, SETTLE_MS);
	for (i = 0; i < BP_QRIG_NODES; i++)
		bp_qrig_kill(fixture->sim, i);
	options.clock = bp_clock_virtual_clock(bp_qrig_clock(fixture->sim));
	options.store =
	    bp_qstore_interface(bp_qstore_view(bp_qrig_store(fixture->sim)));
	options.executors = &fixture->silent.interface;
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
	/* What earlier owners recorded is polled, too. */
	fixture->silent.polls = 0;
	info = bp_qfleet_info(bp_qrig_fleet(fixture->sim), 0);
	g_free(info->id);
	info->id = g_strdup("new");
	bp_shard_update_executor(fixture->shard, info);
	bp_executor_info_free(info);
	CU_ASSERT_EQUAL(fixture->silent.polls, 1);
}

static void
fixture_teardown(fixture_t *fixture)
{
	bp_shard_free(fixture->shard);
	bp_qrig_free(fixture->sim);
}

/* Ends the last poll without an answer, after a time in which the event loop
 * stood still or not. Returns whether it is repeated at once. */
static bool
is_repeated_at_once(fixture_t *fixture, bool busy)
{
	bp_exec_result_t result = {0};
	uint32_t polls = fixture->silent.polls;
	bp_exec_done_t done = fixture->silent.done;

	if (done == NULL)
		return false;
	result.outcome = BP_EXEC_UNKNOWN;
	if (busy)
		bp_clock_virtual_advance_us(
		    bp_qrig_clock(fixture->sim), TIMEOUT_MS * 1000);
	else
		run_ms(fixture, TIMEOUT_MS);
	fixture->silent.done = NULL;
	done(&result, fixture->silent.data);
	run_ms(fixture, AT_ONCE_MS);
	return fixture->silent.polls > polls;
}

/* Guards against executors that count as unresponsive, and whose tasks wait or
 * start elsewhere, because their owner was too busy to read their answers. */
static void
test_a_busy_owner_polls_again(void)
{
	fixture_t fixture = {0};

	fixture_setup(&fixture);
	CU_ASSERT_TRUE(is_repeated_at_once(&fixture, true));
	CU_ASSERT_TRUE(is_repeated_at_once(&fixture, true));
	fixture_teardown(&fixture);
}

/* Guards against an owner that excuses executors which are down. */
static void
test_an_idle_owner_counts_silence(void)
{
	fixture_t fixture = {0};

	fixture_setup(&fixture);
	CU_ASSERT_FALSE(is_repeated_at_once(&fixture, false));
	fixture_teardown(&fixture);
}

/* Guards against an owner that is always busy and never takes an executor as
 * unresponsive. */
static void
test_a_busy_owner_counts_lasting_silence(void)
{
	fixture_t fixture = {0};
	uint32_t repeated = 0;

	fixture_setup(&fixture);
	while (repeated < 10 && is_repeated_at_once(&fixture, true))
		repeated++;
	CU_ASSERT_EQUAL(repeated, 3);
	fixture_teardown(&fixture);
}

int
main(void)
{
	CU_TestInfo tests[] = {
	    {"a busy owner polls again", test_a_busy_owner_polls_again},
	    {"an idle owner counts silence", test_an_idle_owner_counts_silence},
	    {"a busy owner counts lasting silence",
		test_a_busy_owner_counts_lasting_silence},
	    CU_TEST_INFO_NULL,
	};

	return bp_test_main("queues/busypolls", tests);
}
