#include "bulrushpost/hash.h"
#include "bulrushpost/listen.h"
#include "bulrushpost/message.h"
#include "bulrushpost/peer.h"
#include "proto/work.pb-c.h"
#include "support/queuenodes.h"
#include "support/runner.h"

#include <signal.h>
#include <stdio.h>
#include <string.h>

static bool
explains(const bp_queuenodes_t *fixture, uint32_t node, const char *id,
    const char *part)
{
	char *address = g_strdup_printf(
	    "--node=127.0.0.1:%u", fixture->ports[node][BP_LISTEN_CONTROL]);
	const char *argv[] = {"build/bulrushpost", "why", id, address, NULL};
	char *output = NULL;
	int status = bp_process_run("queues-why", argv, &output);
	bool good = status == 0 && strstr(output, part) != NULL;

	if (!good)
		printf("why %s: %d, %s\n", id, status, output);
	g_free(output);
	g_free(address);
	return good;
}

/* The whole path over HTTP; every node answers alike. */
static void
test_a_job_over_http(void)
{
	bp_queuenodes_t fixture;
	uint32_t i;

	bp_queuenodes_setup(&fixture, "job");
	CU_ASSERT_TRUE(bp_queuenodes_expect(
	    &fixture, 0, "POST", "/q/00000000000000a1", BP_JOB, 200, NULL));
	for (i = 0; i < BP_QUEUENODES; i++)
		CU_ASSERT_TRUE(bp_queuenodes_expect(&fixture, i, "GET",
		    "/q/00000000000000a1", NULL, 200, "completed"));
	CU_ASSERT_TRUE(bp_queuenodes_expect(
	    &fixture, 1, "GET", "/q/00000000000000ff", NULL, 410, NULL));
	CU_ASSERT_TRUE(bp_queuenodes_expect(
	    &fixture, 2, "GET", "/q/", NULL, 200, "\"pending\":0"));
	CU_ASSERT_TRUE(bp_queuenodes_expect(
	    &fixture, 2, "GET", "/none/", NULL, 404, NULL));
	CU_ASSERT_TRUE(bp_queuenodes_expect(&fixture, 1, "POST",
	    "/q/00000000000000a2", "{\"steps\":[]}", 400, "no steps"));
	CU_ASSERT_EQUAL(
	    bp_qfleet_starts(bp_queuehttp_fleet(fixture.platform)), 5);
	bp_queuenodes_teardown(&fixture);
}

/* Nodes are killed one after the other; nothing is lost or started again. */
static void
test_nodes_are_killed(void)
{
	bp_queuenodes_t fixture;
	uint32_t starts;
	uint32_t i;

	bp_queuenodes_setup(&fixture, "killed");
	CU_ASSERT_TRUE(bp_queuenodes_expect(&fixture, 0, "POST",
	    "/q/f0000000000000b1", BP_JOB_LASTING, 200, NULL));
	CU_ASSERT_TRUE(bp_queuenodes_expect(
	    &fixture, 0, "POST", "/q/00000000000000b2", BP_JOB, 200, NULL));
	CU_ASSERT_TRUE(bp_queuenodes_expect(
	    &fixture, 1, "GET", "/q/00000000000000b2", NULL, 200, "completed"));
	for (i = 0; i < BP_QUEUENODES; i++)
		CU_ASSERT_TRUE(explains(
		    &fixture, i, "f0000000000000b1", "2 of 2 tasks: runs"));
	starts = bp_qfleet_starts(bp_queuehttp_fleet(fixture.platform));
	for (i = 0; i < BP_QUEUENODES; i++) {
		uint32_t other = (i + 1) % BP_QUEUENODES;

		bp_process_signal(fixture.nodes[i], SIGKILL);
		(void)bp_process_wait(fixture.nodes[i]);
		bp_process_free(fixture.nodes[i]);
		bp_queuenodes_start(&fixture, i);
		CU_ASSERT_TRUE(bp_queuenodes_expect(&fixture, other, "GET",
		    "/q/f0000000000000b1", NULL, 200, "running"));
		CU_ASSERT_TRUE(bp_queuenodes_expect(&fixture, i, "GET",
		    "/q/00000000000000b2", NULL, 200, "completed"));
	}
	CU_ASSERT_EQUAL(
	    bp_qfleet_starts(bp_queuehttp_fleet(fixture.platform)), starts);
	CU_ASSERT_TRUE(bp_queuenodes_expect(
	    &fixture, 1, "DELETE", "/q/f0000000000000b1", NULL, 200, NULL));
	CU_ASSERT_TRUE(bp_queuenodes_expect(
	    &fixture, 2, "GET", "/q/f0000000000000b1", NULL, 200, "cancelled"));
	bp_queuenodes_teardown(&fixture);
}

/* A newer configuration is in force at every node; the old path is gone. */
static void
test_a_configuration_changes(void)
{
	bp_queuenodes_t fixture;
	uint32_t i;

	bp_queuenodes_setup(&fixture, "configuration");
	bp_queuehttp_configure(fixture.platform, 9, "/new/");
	for (i = 0; i < BP_QUEUENODES; i++) {
		CU_ASSERT_TRUE(bp_queuenodes_expect(
		    &fixture, i, "GET", "/new/", NULL, 200, NULL));
		CU_ASSERT_TRUE(bp_queuenodes_expect(
		    &fixture, i, "GET", "/q/", NULL, 404, NULL));
	}
	bp_queuenodes_teardown(&fixture);
}

/* An accepted configuration is in force after this. */
#define CONFIG_APPLY_MS 2000
#define LONG_READ_MS 1500

/*
 * A node that the store does not answer cannot know that a queue does not
 * exist: it says so, and answers once it has read the configuration.
 */
static void
test_an_old_configuration_denies_nothing(void)
{
	bp_queuenodes_t fixture;
	bp_queuenodes_ask_t ask = {
	    &fixture, 0, "GET", "/new/", NULL, 503, "not confirm", 0};

	bp_queuenodes_setup(&fixture, "confirm");
	bp_queuehttp_set_mode(fixture.platform, BP_QSTORE_SILENT);
	/* The read under way is still answered. */
	bp_run_for_ms(LONG_READ_MS);
	bp_queuehttp_configure(fixture.platform, 9, "/new/");
	bp_run_for_ms(CONFIG_APPLY_MS + 300);
	CU_ASSERT_TRUE(bp_queuenodes_asked(&ask));
	CU_ASSERT_EQUAL(ask.seen, 503);
	bp_queuehttp_set_mode(fixture.platform, BP_QSTORE_UP);
	CU_ASSERT_TRUE(
	    bp_queuenodes_expect(&fixture, 0, "GET", "/new/", NULL, 200, NULL));
	CU_ASSERT_TRUE(
	    bp_queuenodes_expect(&fixture, 0, "GET", "/q/", NULL, 404, NULL));
	bp_queuenodes_teardown(&fixture);
}

/* Another process cannot take a node's port while the node is down. */
static void
test_ports_are_kept(void)
{
	GPtrArray *held = g_ptr_array_new_with_free_func(g_object_unref);
	uint16_t port = bp_process_reserve_port(held);
	char *address = g_strdup_printf("127.0.0.1:%u", port);
	GSocket *node = NULL;
	GSocket *again = NULL;
	bp_error_t err = {BP_OK, ""};
	uint32_t i;

	for (i = 0; i < 2; i++) {
		CU_ASSERT_EQUAL(bp_listen(&node, address, 1, &err), BP_OK);
		CU_ASSERT_NOT_EQUAL(bp_listen(&again, address, 1, &err), BP_OK);
		g_clear_object(&node);
	}
	g_free(address);
	g_ptr_array_unref(held);
}

/* While the store refuses, submissions are refused at once; then not. */
static void
test_the_store_refuses(void)
{
	bp_queuenodes_t fixture;

	bp_queuenodes_setup(&fixture, "refuses");
	CU_ASSERT_TRUE(bp_queuenodes_expect(
	    &fixture, 0, "POST", "/q/00000000000000c1", BP_JOB, 200, NULL));
	bp_queuehttp_set_mode(fixture.platform, BP_QSTORE_BUSY);
	CU_ASSERT_TRUE(bp_queuenodes_expect(
	    &fixture, 0, "POST", "/q/00000000000000c2", BP_JOB, 503, NULL));
	bp_queuehttp_set_mode(fixture.platform, BP_QSTORE_UP);
	CU_ASSERT_TRUE(bp_queuenodes_expect(
	    &fixture, 1, "POST", "/q/00000000000000c3", BP_JOB, 200, NULL));
	CU_ASSERT_TRUE(bp_queuenodes_expect(
	    &fixture, 2, "GET", "/q/00000000000000c3", NULL, 200, "completed"));
	CU_ASSERT_TRUE(bp_queuenodes_expect(
	    &fixture, 2, "GET", "/q/00000000000000c2", NULL, 410, NULL));
	bp_queuenodes_teardown(&fixture);
}

#define GROWTH_KIB_MAX (100 * 1024)
#define FRAMES 3000
#define FRAMES_SEED 20261204
#define FRAME_BYTES_MAX 200
/* More than all steps of a job that is allowed take. */
#define EMPTY_STEPS 256
#define EMPTY_TIMES 20000

static void
on_frame_answer(
    const Bp__Peer__Frame *answer, const bp_error_t *err, void *data)
{
	(void)answer;
	(void)err;
	(*(uint32_t *)data)++;
}

/* A job that would take 5 million steps in memory. */
static GBytes *
empty_steps(void)
{
	Bp__Work__Job job = BP__WORK__JOB__INIT;
	Bp__Work__Step *steps[EMPTY_STEPS];
	Bp__Work__Step rows[EMPTY_STEPS];
	static char id[] = "a";
	uint32_t i;

	for (i = 0; i < EMPTY_STEPS; i++) {
		bp__work__step__init(&rows[i]);
		steps[i] = &rows[i];
	}
	rows[0].tasks = 1;
	job.id = id;
	job.steps = steps;
	job.n_steps = EMPTY_STEPS;
	job.times = EMPTY_TIMES;
	return bp_message_pack(&job.base);
}

static void
send_odd_frame(bp_peer_client_t *client, const char *address,
    bp_random_t *random, GBytes *job, uint32_t *answers)
{
	static char *const words[] = {"", "q", "a", "0", "-1", "4294967296",
	    "99999999999999999999", "preferred", "\xff\xfe", "127.0.0.1:1"};
	Bp__Peer__Frame frame = BP__PEER__FRAME__INIT;
	char *args[6];
	uint8_t body[FRAME_BYTES_MAX];
	gsize size = 0;
	size_t i;

	frame.verb = (Bp__Peer__Verb)bp_random_below(random, 26);
	frame.args = args;
	frame.n_args = bp_random_below(random, G_N_ELEMENTS(args) + 1);
	for (i = 0; i < G_N_ELEMENTS(args); i++)
		args[i] = words[bp_random_below(random, G_N_ELEMENTS(words))];
	frame.body.data = body;
	frame.body.len = bp_random_below(random, FRAME_BYTES_MAX);
	for (i = 0; i < frame.body.len; i++)
		body[i] = (uint8_t)bp_random_below(random, 40);
	if (bp_random_below(random, 50) == 0) {
		frame.verb = BP__PEER__VERB__VERB_QUEUE_SUBMIT;
		frame.body.data = (uint8_t *)g_bytes_get_data(job, &size);
		frame.body.len = size;
	}
	bp_peer_client_call(
	    client, address, &frame, 1000, on_frame_answer, answers);
}

static bool
all_answered(void *data)
{
	return *(const uint32_t *)data == FRAMES;
}

/* The most memory that a node has held, in KiB. */
static uint64_t
peak_kib(const bp_queuenodes_t *fixture, uint32_t node)
{
	char *path = g_strdup_printf(
	    "/proc/%d/status", bp_process_pid(fixture->nodes[node]));
	char *text = NULL;
	const char *peak = NULL;
	uint64_t kib = 0;

	if (g_file_get_contents(path, &text, NULL, NULL))
		peak = strstr(text, "VmHWM:");
	if (peak != NULL)
		kib = g_ascii_strtoull(peak + strlen("VmHWM:"), NULL, 10);
	CU_ASSERT_TRUE(kib > 0);
	g_free(text);
	g_free(path);
	return kib;
}

/* Frames that no node sends end no node, and its memory does not grow. */
static void
test_odd_frames(void)
{
	bp_queuenodes_t fixture;
	bp_peer_client_t *client = bp_peer_client_new(bp_clock_system(), NULL);
	GBytes *job = empty_steps();
	bp_random_t random;
	uint64_t peaks_kib[BP_QUEUENODES];
	uint32_t answers = 0;
	char *address;
	uint32_t i;

	bp_queuenodes_setup(&fixture, "frames");
	for (i = 0; i < BP_QUEUENODES; i++)
		peaks_kib[i] = peak_kib(&fixture, i);
	bp_random_init(&random, FRAMES_SEED);
	for (i = 0; i < FRAMES; i++) {
		address = g_strdup_printf("127.0.0.1:%u",
		    fixture.ports[i % BP_QUEUENODES][BP_LISTEN_CONTROL]);
		send_odd_frame(client, address, &random, job, &answers);
		g_free(address);
		if (i % 100 == 0)
			bp_run_for_ms(20);
	}
	CU_ASSERT_TRUE(bp_wait_until(all_answered, &answers));
	for (i = 0; i < BP_QUEUENODES; i++) {
		CU_ASSERT_TRUE(bp_process_alive(fixture.nodes[i]));
		CU_ASSERT_TRUE(
		    peak_kib(&fixture, i) < peaks_kib[i] + GROWTH_KIB_MAX);
		CU_ASSERT_TRUE(bp_queuenodes_expect(
		    &fixture, i, "GET", "/q/", NULL, 200, "pending"));
	}
	CU_ASSERT_TRUE(bp_queuenodes_expect(
	    &fixture, 0, "POST", "/q/00000000000000f1", BP_JOB, 200, NULL));
	CU_ASSERT_TRUE(bp_queuenodes_expect(
	    &fixture, 1, "GET", "/q/00000000000000f1", NULL, 200, "completed"));
	g_bytes_unref(job);
	bp_peer_client_free(client);
	bp_queuenodes_teardown(&fixture);
}

#define NESTED_LEVELS 60000
#define RACK_BYTES 200000
#define LONG_KEY_BYTES 250

static char *
foreign_entry(uint16_t port, const char *born, const char *rack)
{
	return g_strdup_printf(
	    "{\"service_name\":\"pool\",\"address\":\"127.0.0.1:%u\","
	    "\"zone\":\"za\",\"slots\":8,\"state\":\"ready\",\"capacity\":"
	    "{\"cpu\":4000000000,\"mem_mb\":64000,\"gpu\":0},\"labels\":"
	    "[\"a\",\"%s\"],\"clock_ms\":1,\"sequence\":1,\"born\":%s}",
	    (unsigned)port, rack, born);
}

static void
add_foreign_entries(bp_queuehttp_t *platform)
{
	uint16_t port = bp_queuehttp_port(platform);
	char *key = g_strnfill(LONG_KEY_BYTES, 'k');
	char *nested = g_strnfill(NESTED_LEVELS, '[');
	char *rack = g_strnfill(RACK_BYTES, 'r');
	char *other_rack = g_strnfill(RACK_BYTES, 's');
	char *entries[] = {foreign_entry(port, "1180591620717411303424", "r0"),
	    foreign_entry(port, "1", rack),
	    foreign_entry(port, "1", other_rack),
	    foreign_entry(port, "1", "r0"), foreign_entry(port, "1", "r0")};
	char *good = foreign_entry(port, "1", "r0");
	size_t i;

	bp_queuehttp_add_entry(platform, "nested", nested);
	bp_queuehttp_add_entry(platform, "born", entries[0]);
	bp_queuehttp_add_entry(platform, "rack-1", entries[1]);
	bp_queuehttp_add_entry(platform, "rack-2", entries[2]);
	bp_queuehttp_add_entry(platform, "i-0\\n", entries[3]);
	bp_queuehttp_add_entry(platform, "i-0\\u0000x", entries[4]);
	bp_queuehttp_add_entry(platform, key, good);
	g_free(good);
	good = g_strdup("{\"service_name\":\"pool\",\"address\":"
			"\"127.0.0.1:99999\",\"zone\":\"za\",\"slots\":8,"
			"\"state\":\"ready\",\"capacity\":{\"cpu\":1000},"
			"\"labels\":[\"a\",\"r0\"],\"sequence\":1,"
			"\"born\":1}");
	bp_queuehttp_add_entry(platform, "port", good);
	g_free(good);
	for (i = 0; i < G_N_ELEMENTS(entries); i++)
		g_free(entries[i]);
	g_free(key);
	g_free(nested);
	g_free(rack);
	g_free(other_rack);
}

/*
 * Guards against entries of other writers in the executors' list that end
 * nodes, hold up their start or take runs of an executor for others.
 */
static void
test_foreign_entries(void)
{
	bp_queuenodes_t fixture;
	uint32_t starts;
	uint32_t i;

	bp_queuenodes_setup_with(&fixture, "foreign", add_foreign_entries);
	CU_ASSERT_TRUE(bp_queuenodes_expect(&fixture, 0, "POST",
	    "/q/f0000000000000a3", BP_JOB_LASTING, 200, NULL));
	CU_ASSERT_TRUE(bp_queuenodes_expect(
	    &fixture, 0, "POST", "/q/00000000000000a4", BP_JOB, 200, NULL));
	for (i = 0; i < BP_QUEUENODES; i++)
		CU_ASSERT_TRUE(bp_queuenodes_expect(&fixture, i, "GET",
		    "/q/00000000000000a4", NULL, 200, "completed"));
	bp_run_for_ms(2000);
	starts = bp_qfleet_starts(bp_queuehttp_fleet(fixture.platform));
	CU_ASSERT_EQUAL(starts, 7);
	CU_ASSERT_TRUE(bp_queuenodes_expect(
	    &fixture, 1, "GET", "/q/f0000000000000a3", NULL, 200, "running"));
	bp_queuenodes_teardown(&fixture);
}

/* The membership of an owner has expired after this. */
#define EXPIRED_MS 3500

/* Heartbeats to all nodes, and what they answered. */
typedef struct {
	bp_peer_client_t *client;
	uint32_t answers;
	uint32_t owners; /* nodes that said that they own the shard */
} heartbeats_t;

static void
on_heartbeat(const Bp__Peer__Frame *answer, const bp_error_t *err, void *data)
{
	heartbeats_t *heartbeats = data;

	(void)err;
	heartbeats->answers++;
	if (answer != NULL && answer->error == BP_OK && answer->n_args > 0 &&
	    strcmp(answer->args[0], "owner") == 0)
		heartbeats->owners++;
}

static bool
all_heartbeats_answered(void *data)
{
	return ((const heartbeats_t *)data)->answers == BP_QUEUENODES;
}

/* Returns how many nodes say that they own the shard. */
static uint32_t
count_owners(const bp_queuenodes_t *fixture, bp_peer_client_t *client)
{
	heartbeats_t heartbeats = {.client = client};
	char *args[] = {"127.0.0.1:9", "za", "0", "standby", "1"};
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
	CU_ASSERT_TRUE(bp_wait_until(all_heartbeats_answered, &heartbeats));
	return heartbeats.owners;
}

/*
 * Guards against an owner that has lost the store and still answers heartbeats
 * as the owner: the other nodes then send them to it, not to its successor,
 * which has no order proxies.
 */
static void
test_an_owner_without_membership_says_so(void)
{
	bp_queuenodes_t fixture;
	bp_peer_client_t *client = bp_peer_client_new(bp_clock_system(), NULL);

	bp_queuenodes_setup(&fixture, "heartbeats");
	CU_ASSERT_TRUE(bp_queuenodes_expect(
	    &fixture, 0, "POST", "/q/00000000000000a5", BP_JOB, 200, NULL));
	CU_ASSERT_EQUAL(count_owners(&fixture, client), 1);
	bp_queuehttp_set_mode(fixture.platform, BP_QSTORE_SILENT);
	bp_run_for_ms(EXPIRED_MS);
	CU_ASSERT_EQUAL(count_owners(&fixture, client), 0);
	bp_queuehttp_set_mode(fixture.platform, BP_QSTORE_UP);
	CU_ASSERT_TRUE(bp_queuenodes_expect(
	    &fixture, 1, "GET", "/q/00000000000000a5", NULL, 200, "completed"));
	bp_peer_client_free(client);
	bp_queuenodes_teardown(&fixture);
}

int
main(void)
{
	CU_TestInfo tests[] = {
	    {"a job over HTTP", test_a_job_over_http},
	    {"nodes are killed", test_nodes_are_killed},
	    {"a configuration changes", test_a_configuration_changes},
	    {"an old configuration denies nothing",
		test_an_old_configuration_denies_nothing},
	    {"ports are kept", test_ports_are_kept},
	    {"the store refuses", test_the_store_refuses},
	    {"odd frames", test_odd_frames},
	    {"foreign entries", test_foreign_entries},
	    {"an owner without membership says so",
		test_an_owner_without_membership_says_so},
	    CU_TEST_INFO_NULL,
	};

	return bp_test_main("process/queues", tests);
}
