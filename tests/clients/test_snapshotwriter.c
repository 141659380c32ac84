#include "bulrushpost/snapshotwriter.h"
#include "clients/snapshotplan.h"
#include "support/logrig.h"
#include "support/runner.h"

#define SECOND_US 1000000LL

typedef struct {
	logrig_t log;
	bp_snapshotwriter_t *writer;
} rig_t;

static void
rig_init(rig_t *rig)
{
	bp_snapshotwriter_options_t options;

	logrig_init(&rig->log, NULL, 50);
	bp_snapshotwriter_options_init(&options);
	options.clock = rig->log.clock;
	options.log = rig->log.client;
	options.follower = rig->log.follower;
	options.node = "node-1";
	options.records = 3;
	options.poll_ms = 20;
	options.rank_delay_ms = 10;
	options.chunk_bytes = 64;
	CU_ASSERT_EQUAL_FATAL(
	    bp_snapshotwriter_new(&rig->writer, &options, NULL), BP_OK);
}

static void
rig_clear(rig_t *rig)
{
	bp_snapshotwriter_free(rig->writer);
	logrig_clear(&rig->log);
}

static bool
is_written(void *data)
{
	return bp_snapshotwriter_written(data) > 0;
}

/*
 * Guards against snapshots of several chunks that cannot be loaded after a lost
 * response causes a chunk to be repeated.
 */
static void
test_written_snapshot_loads(void)
{
	logrig_t reader;
	outcome_t outcome;
	uint64_t i;
	rig_t rig;

	rig_init(&rig);
	logrig_start(&rig.log);
	CU_ASSERT_EQUAL(logrig_submit(&rig.log, "a", 60000, &outcome), BP_OK);
	CU_ASSERT_TRUE(logrig_wait_outcome(&outcome));
	bp_appender_free(rig.log.appender);
	rig.log.appender = NULL;
	logrig_put_job(&rig.log, "b", 1);
	logrig_put_job(&rig.log, "c", 2);
	CU_ASSERT_TRUE(
	    logrig_wait_offset(&rig.log, fakelog_head(rig.log.log, BP_STREAM)));
	bp_snapshotwriter_start(rig.writer);
	fakelog_set_fault(rig.log.log, FAKELOG_LOSE_ANSWER, 1);
	(void)wait_until(is_written, rig.writer, RIG_LIMIT_MS);
	CU_ASSERT_EQUAL(bp_snapshotwriter_written(rig.writer), 1);
	CU_ASSERT_EQUAL(bp_snapshotwriter_newest(rig.writer),
	    fakelog_head(rig.log.log, BP_STREAM));
	CU_ASSERT_TRUE(fakelog_head(rig.log.log, BP_SNAPSHOT_STREAM) > 3);
	logrig_init(&reader, NULL, 50);
	for (i = 0; i < fakelog_head(rig.log.log, BP_SNAPSHOT_STREAM); i++) {
		gsize size;
		const uint8_t *bytes = g_bytes_get_data(
		    fakelog_get(rig.log.log, BP_SNAPSHOT_STREAM, i), &size);

		fakelog_put(reader.log, BP_SNAPSHOT_STREAM, bytes, size);
	}
	for (i = 0; i < fakelog_head(rig.log.log, BP_STREAM); i++)
		fakelog_put(reader.log, BP_STREAM, (const uint8_t *)"", 0);
	bp_follower_start(reader.follower);
	CU_ASSERT_TRUE(logrig_wait_status(&reader, BP_FOLLOWER_CURRENT));
	CU_ASSERT_PTR_NOT_NULL(
	    bp_state_job(bp_follower_state(reader.follower), "c"));
	logrig_clear(&reader);
	rig_clear(&rig);
}

/* Guards against concurrent writers that both continue or repeat a snapshot. */
static void
test_gives_up_for_another_snapshot(void)
{
	bp_state_t *state;
	rig_t rig;
	uint64_t i;

	rig_init(&rig);
	logrig_start(&rig.log);
	for (i = 1; i <= 4; i++)
		logrig_put_job(&rig.log, "a", i);
	CU_ASSERT_TRUE(logrig_wait_offset(&rig.log, 5));
	state = bp_state_new();
	for (i = 0; i < 4; i++) {
		gsize size;
		const uint8_t *bytes = g_bytes_get_data(
		    fakelog_get(rig.log.log, BP_STREAM, i), &size);

		CU_ASSERT_EQUAL(
		    bp_state_apply(state, i, bytes, size, NULL), BP_OK);
	}
	logrig_put_snapshot(&rig.log, state, 2, 0);
	bp_snapshotwriter_start(rig.writer);
	run_for(200);
	CU_ASSERT_EQUAL(bp_snapshotwriter_written(rig.writer), 0);
	CU_ASSERT_EQUAL(bp_snapshotwriter_newest(rig.writer), 4);
	bp_state_free(state);
	rig_clear(&rig);
}

static void
apply_node(bp_state_t *state, const char *name, uint64_t incarnation,
    uint64_t seq, bool draining)
{
	Bp__Log__Record record = BP__LOG__RECORD__INIT;
	uint8_t bytes[128];

	record.version = BP_RECORD_VERSION;
	record.node = (char *)(uintptr_t)name;
	record.incarnation = incarnation;
	record.seq = seq;
	record.draining = draining;
	CU_ASSERT_EQUAL(bp_state_apply(state, bp_state_next_offset(state),
			    bytes, bp__log__record__pack(&record, bytes), NULL),
	    BP_OK);
}

/*
 * Guards against all nodes writing at once, no node writing after the first in
 * rank died, and waiting for draining nodes.
 */
static void
test_one_node_has_its_turn(void)
{
	static const char *const names[] = {"n1", "n2", "n3", "n4"};
	bp_snapshotplan_t *plans[4];
	bp_state_t *state = bp_state_new();
	uint32_t turns = 0;
	uint32_t later = 0;
	size_t i;

	for (i = 0; i < 4; i++) {
		apply_node(state, names[i], i + 1, 1, i == 3);
		plans[i] = bp_snapshotplan_new(names[i], 60000, 100, 10000);
		bp_snapshotplan_start(plans[i], 1);
	}
	for (i = 0; i < 4; i++) {
		CU_ASSERT_FALSE(bp_snapshotplan_should_write(
		    plans[i], state, 59 * SECOND_US));
		turns += bp_snapshotplan_should_write(
		    plans[i], state, 61 * SECOND_US);
	}
	for (i = 0; i < 4; i++)
		later += bp_snapshotplan_should_write(
		    plans[i], state, 82 * SECOND_US);
	CU_ASSERT_EQUAL(turns, 1);
	CU_ASSERT_EQUAL(later, 3);
	for (i = 0; i < 4; i++) {
		bp_snapshotplan_completed(plans[i], 4, 83 * SECOND_US);
		CU_ASSERT_FALSE(bp_snapshotplan_should_write(
		    plans[i], state, 84 * SECOND_US));
		bp_snapshotplan_free(plans[i]);
	}
	bp_state_free(state);
}

int
main(void)
{
	CU_TestInfo tests[] = {
	    {"written snapshot loads", test_written_snapshot_loads},
	    {"another snapshot", test_gives_up_for_another_snapshot},
	    {"turns", test_one_node_has_its_turn},
	    CU_TEST_INFO_NULL,
	};

	return bp_test_main("snapshotwriter", tests);
}
