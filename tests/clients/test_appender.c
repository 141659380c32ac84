#include "support/logrig.h"
#include "support/runner.h"

#define WAIT_MS 100
#define GIVE_UP_MS 60000
#define SHORT_GIVE_UP_MS 300

static void
start(logrig_t *rig, const bp_clock_t *clock)
{
	logrig_init(rig, clock, WAIT_MS);
	bp_follower_start(rig->follower);
	CU_ASSERT_TRUE(logrig_wait_status(rig, BP_FOLLOWER_CURRENT));
	bp_appender_start(rig->appender);
}

/* Checks that the log has sequence numbers from 1 without gaps. */
static void
check_numbers(logrig_t *rig)
{
	uint64_t offset;

	for (offset = 0; offset < fakelog_head(rig->log, BP_STREAM); offset++) {
		gsize size;
		const uint8_t *bytes = g_bytes_get_data(
		    fakelog_get(rig->log, BP_STREAM, offset), &size);
		Bp__Log__Record *record =
		    bp__log__record__unpack(NULL, size, bytes);

		CU_ASSERT_EQUAL(record != NULL ? record->seq : 0, offset + 1);
		bp__log__record__free_unpacked(record, NULL);
	}
}

static bool
has_own_node(void *data)
{
	logrig_t *rig = data;

	return bp_state_node(bp_follower_state(rig->follower), "node-1") !=
	    NULL;
}

/* Guards against presence records without the node's identity or address. */
static void
test_presence_carries_identity(void)
{
	logrig_t rig;
	const bp_node_t *node;

	logrig_init(&rig, NULL, WAIT_MS);
	logrig_start(&rig);
	bp_appender_set_draining(rig.appender, true);
	CU_ASSERT_TRUE_FATAL(wait_until(has_own_node, &rig, RIG_LIMIT_MS));
	node = bp_state_node(bp_follower_state(rig.follower), "node-1");
	CU_ASSERT_STRING_EQUAL(node->zone, "zone-1");
	CU_ASSERT_STRING_EQUAL(node->address, "127.0.0.1:1");
	CU_ASSERT_EQUAL(node->incarnation, RIG_INCARNATION);
	CU_ASSERT_TRUE(node->draining);
	logrig_clear(&rig);
}

/* Guards against entries applied twice after the response to an append is lost.
 */
static void
test_lost_answer_applies_once(void)
{
	logrig_t rig;
	outcome_t a;
	outcome_t b;

	start(&rig, NULL);
	fakelog_set_fault(rig.log, FAKELOG_LOSE_ANSWER, 1);
	CU_ASSERT_EQUAL(logrig_submit(&rig, "a", GIVE_UP_MS, &a), BP_OK);
	CU_ASSERT_TRUE(logrig_wait_outcome(&a));
	CU_ASSERT_EQUAL(logrig_submit(&rig, "b", GIVE_UP_MS, &b), BP_OK);
	CU_ASSERT_TRUE(logrig_wait_outcome(&b));
	CU_ASSERT_TRUE(a.applied);
	CU_ASSERT_EQUAL(a.kind, BP_OK);
	CU_ASSERT_EQUAL(a.calls, 1);
	CU_ASSERT_TRUE(b.applied);
	CU_ASSERT_EQUAL(bp_appender_pending(rig.appender), 0);
	CU_ASSERT_TRUE(bp_appender_round_trip_ms(rig.appender) >= 0);
	logrig_clear(&rig);
}

/*
 * Guards against applying a late duplicate, and against a retry with changed
 * bytes, which duplicate detection would miss.
 */
static void
test_retries_same_bytes_and_ignores_duplicate(void)
{
	logrig_t rig;
	outcome_t a;
	uint64_t head;

	start(&rig, NULL);
	CU_ASSERT_TRUE(wait_until(has_own_node, &rig, RIG_LIMIT_MS));
	fakelog_set_fault(rig.log, FAKELOG_HOLD, 2);
	CU_ASSERT_EQUAL(logrig_submit(&rig, "a", GIVE_UP_MS, &a), BP_OK);
	CU_ASSERT_TRUE(logrig_wait_outcome(&a));
	head = fakelog_head(rig.log, BP_STREAM);
	fakelog_deliver(rig.log);
	CU_ASSERT_TRUE(logrig_wait_offset(&rig, head + 2));
	CU_ASSERT_EQUAL(g_bytes_compare(fakelog_get(rig.log, BP_STREAM, head),
			    fakelog_get(rig.log, BP_STREAM, head + 1)),
	    0);
	CU_ASSERT_EQUAL(
	    g_bytes_compare(fakelog_get(rig.log, BP_STREAM, head - 1),
		fakelog_get(rig.log, BP_STREAM, head)),
	    0);
	CU_ASSERT_EQUAL(a.calls, 1);
	CU_ASSERT_EQUAL(a.kind, BP_OK);
	logrig_clear(&rig);
}

/* Guards against reporting an entry that was rejected by the state machine as
 * accepted. */
static void
test_invalid_entry_is_reported(void)
{
	logrig_t rig;
	outcome_t a;
	outcome_t again;

	start(&rig, NULL);
	CU_ASSERT_EQUAL(logrig_submit(&rig, "a", GIVE_UP_MS, &a), BP_OK);
	CU_ASSERT_EQUAL(logrig_submit(&rig, "a", GIVE_UP_MS, &again), BP_OK);
	CU_ASSERT_TRUE(logrig_wait_outcome(&again));
	CU_ASSERT_EQUAL(a.kind, BP_OK);
	CU_ASSERT_TRUE(again.applied);
	CU_ASSERT_NOT_EQUAL(again.kind, BP_OK);
	logrig_clear(&rig);
}

/* Guards against waiting forever for a record that can never be applied. */
static void
test_skipped_sequence_is_not_applied(void)
{
	logrig_t rig;
	outcome_t a;
	outcome_t b;

	start(&rig, NULL);
	CU_ASSERT_TRUE(wait_until(has_own_node, &rig, RIG_LIMIT_MS));
	fakelog_set_fault(rig.log, FAKELOG_DROP, 1);
	CU_ASSERT_EQUAL(logrig_submit(&rig, "a", GIVE_UP_MS, &a), BP_OK);
	run_for(50);
	CU_ASSERT_EQUAL(a.calls, 0);
	CU_ASSERT_EQUAL(logrig_submit(&rig, "b", GIVE_UP_MS, &b), BP_OK);
	CU_ASSERT_TRUE(logrig_wait_outcome(&a));
	CU_ASSERT_FALSE(a.applied);
	CU_ASSERT_EQUAL(a.kind, BP_ELOGDOWN);
	CU_ASSERT_EQUAL(b.kind, BP_OK);
	logrig_clear(&rig);
}

/*
 * Guards against reporting "not run" for an entry that may have been sent, and
 * against applying a dropped record after later ones.
 */
static void
test_abandoned_record_is_unknown_then_void(void)
{
	logrig_t rig;
	outcome_t a;
	outcome_t b;
	uint64_t head;

	start(&rig, NULL);
	CU_ASSERT_TRUE(wait_until(has_own_node, &rig, RIG_LIMIT_MS));
	fakelog_set_fault(rig.log, FAKELOG_HOLD, 1000);
	CU_ASSERT_EQUAL(logrig_submit(&rig, "a", SHORT_GIVE_UP_MS, &a), BP_OK);
	run_for(50);
	CU_ASSERT_EQUAL(logrig_submit(&rig, "b", SHORT_GIVE_UP_MS, &b), BP_OK);
	CU_ASSERT_TRUE(logrig_wait_outcome(&a));
	CU_ASSERT_TRUE(logrig_wait_outcome(&b));
	CU_ASSERT_EQUAL(a.kind, BP_EUNKNOWN);
	CU_ASSERT_EQUAL(b.kind, BP_ELOGDOWN);
	fakelog_set_fault(rig.log, FAKELOG_STORE, 0);
	CU_ASSERT_EQUAL(logrig_submit(&rig, "c", GIVE_UP_MS, &b), BP_OK);
	CU_ASSERT_TRUE(logrig_wait_outcome(&b));
	CU_ASSERT_EQUAL(b.kind, BP_OK);
	head = fakelog_head(rig.log, BP_STREAM);
	fakelog_deliver(rig.log);
	CU_ASSERT_TRUE(logrig_wait_offset(&rig, head + 1));
	CU_ASSERT_PTR_NULL(bp_state_job(bp_follower_state(rig.follower), "a"));
	CU_ASSERT_EQUAL(a.calls, 1);
	logrig_clear(&rig);
}

/*
 * Guards against a gap in the sequence numbers, or an unknown outcome, when
 * the log refuses connections and thus nothing was sent.
 */
static void
test_refused_connection_is_not_sent(void)
{
	logrig_t rig;
	outcome_t a;
	outcome_t b;

	start(&rig, NULL);
	CU_ASSERT_TRUE(wait_until(has_own_node, &rig, RIG_LIMIT_MS));
	fakelog_set_listening(rig.log, false);
	CU_ASSERT_TRUE(logrig_wait_status(&rig, BP_FOLLOWER_LOG_DOWN));
	CU_ASSERT_EQUAL(logrig_submit(&rig, "a", SHORT_GIVE_UP_MS, &a), BP_OK);
	CU_ASSERT_TRUE(logrig_wait_outcome(&a));
	CU_ASSERT_EQUAL(a.kind, BP_ELOGDOWN);
	fakelog_set_listening(rig.log, true);
	CU_ASSERT_EQUAL(logrig_submit(&rig, "b", GIVE_UP_MS, &b), BP_OK);
	CU_ASSERT_TRUE(logrig_wait_outcome(&b));
	CU_ASSERT_EQUAL(b.kind, BP_OK);
	check_numbers(&rig);
	logrig_clear(&rig);
}

/* Guards against entries lost or sent twice after 503 and 429 responses. */
static void
test_log_down_and_up(void)
{
	logrig_t rig;
	outcome_t a;

	start(&rig, NULL);
	fakelog_set_status(rig.log, 503);
	CU_ASSERT_TRUE(logrig_wait_status(&rig, BP_FOLLOWER_LOG_DOWN));
	CU_ASSERT_TRUE(bp_follower_down_since_ms(rig.follower) > 0);
	CU_ASSERT_EQUAL(logrig_submit(&rig, "a", GIVE_UP_MS, &a), BP_OK);
	run_for(200);
	CU_ASSERT_EQUAL(a.calls, 0);
	fakelog_set_fault(rig.log, FAKELOG_BUSY, 2);
	fakelog_set_status(rig.log, 0);
	CU_ASSERT_TRUE(logrig_wait_outcome(&a));
	CU_ASSERT_EQUAL(a.kind, BP_OK);
	CU_ASSERT_TRUE(logrig_wait_status(&rig, BP_FOLLOWER_CURRENT));
	CU_ASSERT_EQUAL(bp_follower_down_since_ms(rig.follower), 0);
	logrig_clear(&rig);
}

/* Guards against records larger than the log service accepts. */
static void
test_record_size_is_limited(void)
{
	logrig_t rig;
	outcome_t refused;
	outcome_t outcomes[3];
	char *job = g_strnfill(60000, 'x');
	uint64_t offset;
	size_t i;

	start(&rig, NULL);
	CU_ASSERT_EQUAL(
	    logrig_submit(&rig, job, GIVE_UP_MS, &refused), BP_ETOOLARGE);
	job[20000] = '\0';
	for (i = 0; i < 3; i++)
		CU_ASSERT_EQUAL(
		    logrig_submit(&rig, job, GIVE_UP_MS, &outcomes[i]), BP_OK);
	for (i = 0; i < 3; i++) {
		CU_ASSERT_TRUE(logrig_wait_outcome(&outcomes[i]));
		CU_ASSERT_TRUE(outcomes[i].applied);
	}
	CU_ASSERT_EQUAL(refused.calls, 0);
	for (offset = 0; offset < fakelog_head(rig.log, BP_STREAM); offset++)
		CU_ASSERT_TRUE(g_bytes_get_size(fakelog_get(
				   rig.log, BP_STREAM, offset)) <= 48 * 1024);
	g_free(job);
	logrig_clear(&rig);
}

/* Guards against outcomes that depend on steps of the wall clock. */
static void
test_wall_clock_steps_decide_nothing(void)
{
	bp_clock_virtual_t *virt = bp_clock_virtual_new(1000000);
	logrig_t rig;
	outcome_t a;

	start(&rig, bp_clock_virtual_clock(virt));
	fakelog_set_status(rig.log, 503);
	CU_ASSERT_EQUAL(logrig_submit(&rig, "a", 1000, &a), BP_OK);
	bp_clock_virtual_step_wall_ms(virt, 24 * 3600 * 1000);
	run_for(150);
	bp_clock_virtual_step_wall_ms(virt, -48 * 3600 * 1000);
	run_for(150);
	CU_ASSERT_EQUAL(a.calls, 0);
	bp_clock_virtual_advance_us(virt, 1001000);
	CU_ASSERT_TRUE(logrig_wait_outcome(&a));
	CU_ASSERT_FALSE(a.applied);
	logrig_clear(&rig);
	bp_clock_virtual_free(virt);
}

/* Guards against entries without a reported outcome when the node stops. */
static void
test_free_reports_pending(void)
{
	logrig_t rig;
	outcome_t sent;
	outcome_t waiting;

	start(&rig, NULL);
	CU_ASSERT_TRUE(wait_until(has_own_node, &rig, RIG_LIMIT_MS));
	fakelog_set_fault(rig.log, FAKELOG_HOLD, 1000);
	CU_ASSERT_EQUAL(logrig_submit(&rig, "a", GIVE_UP_MS, &sent), BP_OK);
	run_for(50);
	CU_ASSERT_EQUAL(logrig_submit(&rig, "b", GIVE_UP_MS, &waiting), BP_OK);
	logrig_clear(&rig);
	CU_ASSERT_EQUAL(sent.kind, BP_EUNKNOWN);
	CU_ASSERT_EQUAL(waiting.kind, BP_ELOGDOWN);
	CU_ASSERT_EQUAL(sent.calls + waiting.calls, 2);
}

int
main(void)
{
	CU_TestInfo tests[] = {
	    {"presence", test_presence_carries_identity},
	    {"lost answer", test_lost_answer_applies_once},
	    {"late duplicate", test_retries_same_bytes_and_ignores_duplicate},
	    {"invalid entry", test_invalid_entry_is_reported},
	    {"skipped sequence", test_skipped_sequence_is_not_applied},
	    {"abandoned record", test_abandoned_record_is_unknown_then_void},
	    {"refused connection", test_refused_connection_is_not_sent},
	    {"log down and up", test_log_down_and_up},
	    {"record size", test_record_size_is_limited},
	    {"wall clock", test_wall_clock_steps_decide_nothing},
	    {"free", test_free_reports_pending},
	    CU_TEST_INFO_NULL,
	};

	return bp_test_main("appender", tests);
}
