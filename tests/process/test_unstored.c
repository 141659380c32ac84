#include "bulrushpost/message.h"
#include "bulrushpost/peer.h"
#include "support/queuenodes.h"
#include "support/runner.h"

#include <string.h>

/* Longer than an owner waits for the answer to an append before it hands over
 * (4 s and three attempts). */
#define UNSTORED_MS 7000
#define HEARTBEAT_MS 200
#define HEARTBEATS 60

/* The answers to heartbeats that are sent to all nodes. */
typedef struct {
	uint32_t answers;
	uint32_t owners; /* nodes that said that they own the shard */
	uint32_t asking; /* nodes that asked to probe the store */
} heartbeats_t;

static void
on_heartbeat(const Bp__Peer__Frame *answer, const bp_error_t *err, void *data)
{
	heartbeats_t *heartbeats = data;

	(void)err;
	heartbeats->answers++;
	if (answer == NULL || answer->error != BP_OK)
		return;
	if (answer->n_args > 0 && strcmp(answer->args[0], "owner") == 0)
		heartbeats->owners++;
	if (answer->n_args > 1 && strcmp(answer->args[1], "unanswered") == 0)
		heartbeats->asking++;
}

static bool
all_answered(void *data)
{
	return ((const heartbeats_t *)data)->answers == BP_QUEUENODES;
}

/* Sends a heartbeat of this kind to all nodes. */
static heartbeats_t
send_heartbeats(
    const bp_queuenodes_t *fixture, bp_peer_client_t *client, char *kind)
{
	heartbeats_t heartbeats = {0};
	char *args[] = {"127.0.0.1:9", "za", "0", kind, "1"};
	Bp__Peer__Frame frame = BP__PEER__FRAME__INIT;
	uint32_t i;

	frame.verb = BP__PEER__VERB__VERB_QUEUE_HELLO;
	frame.args = args;
	frame.n_args = G_N_ELEMENTS(args);
	for (i = 0; i < BP_QUEUENODES; i++) {
		char *address = g_strdup_printf(
		    "127.0.0.1:%u", fixture->ports[i][BP_LISTEN_CONTROL]);

		bp_peer_client_call(
		    client, address, &frame, 1000, on_heartbeat, &heartbeats);
		g_free(address);
	}
	CU_ASSERT_TRUE(bp_wait_until(all_answered, &heartbeats));
	return heartbeats;
}

/*
 * Guards against an owner that hands the shard over while the store answers
 * nobody's appends, one that asks no other node, and one that keeps the shard
 * although another node can store.
 */
static void
test_an_owner_asks_before_it_hands_over(void)
{
	bp_queuenodes_t fixture;
	bp_peer_client_t *client = bp_peer_client_new(bp_clock_system(), NULL);
	bp_queuenodes_ask_t ask = {.fixture = &fixture,
	    .method = "POST",
	    .path = "/q/00000000000000b2",
	    .body = BP_JOB,
	    .status = 200};
	heartbeats_t heartbeats = {0};
	uint32_t asked = 0;
	uint32_t i;

	bp_queuenodes_setup(&fixture, "unstored");
	CU_ASSERT_TRUE(bp_queuenodes_expect(
	    &fixture, 0, "POST", "/q/00000000000000b1", BP_JOB, 200, NULL));
	bp_queuehttp_set_mode(fixture.platform, BP_QSTORE_SILENT_APPENDS);
	CU_ASSERT_FALSE(bp_queuenodes_asked(&ask));
	bp_run_for_ms(UNSTORED_MS);
	for (i = 0; i < HEARTBEATS && asked == 0; i++) {
		heartbeats = send_heartbeats(&fixture, client, "preferred");
		CU_ASSERT_EQUAL(heartbeats.owners, 1);
		asked += heartbeats.asking;
		bp_run_for_ms(HEARTBEAT_MS);
	}
	CU_ASSERT_TRUE(asked > 0);
	for (i = 0; i < HEARTBEATS && heartbeats.owners > 0; i++) {
		heartbeats = send_heartbeats(&fixture, client, "storing");
		bp_run_for_ms(HEARTBEAT_MS);
	}
	CU_ASSERT_EQUAL(heartbeats.owners, 0);
	bp_queuehttp_set_mode(fixture.platform, BP_QSTORE_UP);
	CU_ASSERT_TRUE(bp_queuenodes_expect(
	    &fixture, 1, "POST", "/q/00000000000000b3", BP_JOB, 200, NULL));
	bp_peer_client_free(client);
	bp_queuenodes_teardown(&fixture);
}

int
main(void)
{
	CU_TestInfo tests[] = {
	    {"an owner asks before it hands over",
		test_an_owner_asks_before_it_hands_over},
	    CU_TEST_INFO_NULL,
	};

	return bp_test_main("process/unstored", tests);
}
