#include "support/crowdcase.h"
#include "support/rawcall.h"
#include "support/runner.h"

#include <signal.h>
#include <stdio.h>
#include <string.h>

/*
 * Connections that stay, and jobs that an owner keeps. Guards against a node
 * that runs out of descriptors or of memory for accepted jobs, keeps slow
 * connections for ever, or does not serve other nodes beside them.
 */

/* The lowest limit on descriptors, and a crowd beyond it. */
#define DESCRIPTORS 512
#define CONNECTIONS 700
#define LOWERED "limits: {descriptors: 512}\n"
/* The old settings have no such key; set it to run against the old code. */
#define OLD_SETTINGS "BP_TEST_OLD_SETTINGS"
#define SLOW 20
#define KINDS_MAX 8
#define TRICKLE_MS 200
/* Twice the longest of the documented ages, for all crowds together. */
#define CLOSED_MS 30000
#define STALL_MS 1000
/* More than a control listener takes. */
#define CONTROL_CONNECTIONS 300
/* 20,000 tasks are the most of a job; 200 such jobs are over the machine. */
#define JOBS 200
#define JOB_OF_MANY_TASKS                                                \
	"{\"task_spec\":\"t\",\"steps\":[{\"count\":20000,\"cpu\":1000," \
	"\"estimated_ms\":300}]}"

static const char *
lowered(void)
{
	return g_getenv(OLD_SETTINGS) != NULL ? "" : LOWERED;
}

static void
expect_descriptors(bp_listener_t listener, const char *name)
{
	bp_queuenodes_t fixture;
	char *file = g_strdup_printf("limits-descriptors-%s", name);
	bp_crowd_options_t options = {.connections = CONNECTIONS, .head = ""};
	bp_crowd_t *crowd;
	uint32_t open;

	bp_queuenodes_setup_settings(&fixture, file, 1, lowered());
	options.port = fixture.ports[0][listener];
	crowd = bp_crowd_new(&options);
	bp_run_for_ms(STALL_MS);
	CU_ASSERT_TRUE(bp_queuenodes_expect(
	    &fixture, 0, "GET", "/v1/readyz", NULL, 200, NULL));
	CU_ASSERT_TRUE(bp_queuenodes_expect(
	    &fixture, 0, "POST", "/q/00000000000000a1", BP_JOB, 200, NULL));
	CU_ASSERT_TRUE(bp_queuenodes_expect(
	    &fixture, 0, "GET", "/q/00000000000000a1", NULL, 200, "completed"));
	open = bp_process_descriptors(bp_process_pid(fixture.nodes[0]));
	printf("  %s: %u descriptors, of %u\n", file, open, DESCRIPTORS);
	CU_ASSERT_TRUE(open <= DESCRIPTORS);
	CU_ASSERT_TRUE(bp_process_alive(fixture.nodes[0]));
	bp_crowd_free(crowd);
	bp_queuenodes_teardown(&fixture);
	g_free(file);
}

static void
test_descriptors_callers(void)
{
	expect_descriptors(BP_LISTEN_CALLERS, "callers");
}

static void
test_descriptors_ready(void)
{
	expect_descriptors(BP_LISTEN_READY, "ready");
}

static void
test_descriptors_metrics(void)
{
	expect_descriptors(BP_LISTEN_METRICS, "metrics");
}

static void
test_descriptors_control(void)
{
	expect_descriptors(BP_LISTEN_CONTROL, "control");
}

/* Crowds of several kinds, which send at the same time. */
typedef struct {
	bp_crowd_t *crowds[KINDS_MAX];
	uint32_t n;
} kinds_t;

static bool
all_closed(void *data)
{
	const kinds_t *kinds = data;
	uint32_t open = 0;
	uint32_t i;

	for (i = 0; i < kinds->n; i++) {
		bp_crowd_pump(kinds->crowds[i]);
		open += bp_crowd_open(kinds->crowds[i]);
	}
	return open == 0;
}

/* All that stop or go on slowly are closed. */
static void
expect_closed(bp_listener_t listener, const char *name,
    const bp_crowd_options_t *kinds, uint32_t n)
{
	bp_queuenodes_t fixture;
	char *file = g_strdup_printf("limits-slow-%s", name);
	kinds_t all = {{NULL}, n};
	uint32_t i;

	bp_queuenodes_setup_settings(&fixture, file, 1, "");
	for (i = 0; i < n; i++) {
		bp_crowd_options_t options = kinds[i];

		options.port = fixture.ports[0][listener];
		options.connections = SLOW;
		all.crowds[i] = bp_crowd_new(&options);
	}
	CU_ASSERT_TRUE(bp_wait_until_ms(all_closed, &all, CLOSED_MS));
	for (i = 0; i < n; i++) {
		if (bp_crowd_open(all.crowds[i]) > 0)
			printf("  %s: kind %u: %u of %u open\n", file, i,
			    bp_crowd_open(all.crowds[i]), SLOW);
	}
	CU_ASSERT_TRUE(bp_queuenodes_expect(
	    &fixture, 0, "POST", "/q/00000000000000a1", BP_JOB, 200, NULL));
	for (i = 0; i < n; i++)
		bp_crowd_free(all.crowds[i]);
	bp_queuenodes_teardown(&fixture);
	g_free(file);
}

/* Silent; half a head; a slow head; a body that stops; a slow body. */
static void
expect_closed_http(const bp_crowdcase_address_t *address)
{
	char *head = bp_crowdcase_head("POST", address, "");
	char *body = bp_crowdcase_head(
	    "POST", address, "Content-Length: 262000\r\n\r\nx");
	bp_crowd_options_t kinds[] = {
	    {.head = ""},
	    {.head = head},
	    {.head = head,
		.unit = "a:b\r\n",
		.units = 3000,
		.piece_bytes = 1,
		.interval_ms = TRICKLE_MS},
	    {.head = body},
	    {.head = body,
		.unit = "x",
		.units = 200000,
		.piece_bytes = 200,
		.interval_ms = TRICKLE_MS},
	};

	expect_closed(
	    address->listener, address->name, kinds, G_N_ELEMENTS(kinds));
	g_free(body);
	g_free(head);
}

static void
test_slow_route(void)
{
	expect_closed_http(&bp_crowdcase_route);
}

static void
test_slow_no_route(void)
{
	expect_closed_http(&bp_crowdcase_no_route);
}

static void
test_slow_ready(void)
{
	expect_closed_http(&bp_crowdcase_ready);
}

static void
test_slow_metrics(void)
{
	expect_closed_http(&bp_crowdcase_metrics);
}

/* Half a length; half a frame; a slow frame. */
static void
test_slow_control(void)
{
	bp_crowd_options_t kinds[] = {
	    {.head = "\0\x10", .head_bytes = 2},
	    {.head = "\0\x10\0\0x", .head_bytes = 5},
	    {.head = "\0\x10\0\0x",
		.head_bytes = 5,
		.unit = "x",
		.units = 200000,
		.piece_bytes = 200,
		.interval_ms = TRICKLE_MS},
	};

	expect_closed(BP_LISTEN_CONTROL, "control", kinds, G_N_ELEMENTS(kinds));
}

/* Nodes find each other beside silent connections to their control addresses.
 */
static void
test_nodes_beside_connections(void)
{
	bp_queuenodes_t fixture;
	bp_crowd_options_t options = {
	    .connections = CONTROL_CONNECTIONS, .head = ""};
	bp_crowd_t *crowds[BP_QUEUENODES];
	uint32_t i;

	bp_queuenodes_setup_settings(
	    &fixture, "limits-nodes", BP_QUEUENODES, "");
	for (i = 0; i < BP_QUEUENODES; i++) {
		options.port = fixture.ports[i][BP_LISTEN_CONTROL];
		crowds[i] = bp_crowd_new(&options);
	}
	bp_run_for_ms(STALL_MS);
	for (i = 0; i < BP_QUEUENODES; i++) {
		bp_process_signal(fixture.nodes[i], SIGKILL);
		(void)bp_process_wait(fixture.nodes[i]);
		bp_queuenodes_start(&fixture, i);
		CU_ASSERT_TRUE(bp_queuenodes_expect(
		    &fixture, i, "GET", "/v1/readyz", NULL, 200, NULL));
		bp_crowd_free(crowds[i]);
		options.port = fixture.ports[i][BP_LISTEN_CONTROL];
		crowds[i] = bp_crowd_new(&options);
		bp_run_for_ms(STALL_MS);
	}
	for (i = 0; i < BP_QUEUENODES; i++) {
		char *path = g_strdup_printf("/q/00000000000000a%u", i);

		CU_ASSERT_TRUE(bp_queuenodes_expect(
		    &fixture, i, "POST", path, BP_JOB, 200, NULL));
		CU_ASSERT_TRUE(bp_queuenodes_expect(
		    &fixture, i, "GET", path, NULL, 200, "completed"));
		g_free(path);
	}
	for (i = 0; i < BP_QUEUENODES; i++)
		bp_crowd_free(crowds[i]);
	bp_queuenodes_teardown(&fixture);
}

/* Accepted jobs; what is refused is told when to come again. */
static void
test_jobs_held(void)
{
	bp_queuenodes_t fixture;
	uint32_t accepted = 0;
	uint32_t refused = 0;
	uint64_t peak_kb;
	uint32_t i;

	bp_queuenodes_setup_settings(&fixture, "limits-jobs", 1, "");
	for (i = 0; i < JOBS; i++) {
		char *path = g_strdup_printf("/q/%016x", 0xb000 + i);
		bp_queuenodes_ask_t ask = {
		    &fixture, 0, "POST", path, JOB_OF_MANY_TASKS, 200, NULL, 0};

		if (bp_queuenodes_asked(&ask))
			accepted++;
		else if (ask.seen == 503 || ask.seen == 429)
			refused++;
		g_free(path);
	}
	CU_ASSERT_TRUE(accepted > 0);
	CU_ASSERT_EQUAL(accepted + refused, JOBS);
	CU_ASSERT_TRUE(bp_process_alive(fixture.nodes[0]));
	CU_ASSERT_TRUE(bp_queuenodes_expect(
	    &fixture, 0, "GET", "/v1/readyz", NULL, 200, NULL));
	CU_ASSERT_TRUE(bp_queuenodes_expect(
	    &fixture, 0, "GET", "/q/000000000000b000", NULL, 200, NULL));
	peak_kb = bp_process_peak_kb(bp_process_pid(fixture.nodes[0]));
	printf("  limits-jobs: %u accepted, %u refused, peak %u MB, of %d\n",
	    accepted, refused, (unsigned)(peak_kb / 1024),
	    BP_CROWDCASE_MACHINE_KB / 1024);
	CU_ASSERT_TRUE(peak_kb < BP_CROWDCASE_MACHINE_KB);
	bp_queuenodes_teardown(&fixture);
}

int
main(void)
{
	CU_TestInfo tests[] = {
	    {"descriptors at the callers' address", test_descriptors_callers},
	    {"descriptors at readiness", test_descriptors_ready},
	    {"descriptors at metrics", test_descriptors_metrics},
	    {"descriptors at control", test_descriptors_control},
	    {"slow at a route", test_slow_route},
	    {"slow without a route", test_slow_no_route},
	    {"slow at readiness", test_slow_ready},
	    {"slow at metrics", test_slow_metrics},
	    {"slow at control", test_slow_control},
	    {"nodes beside connections", test_nodes_beside_connections},
	    {"jobs held", test_jobs_held},
	    CU_TEST_INFO_NULL,
	};

	return bp_test_main("process/limits_connections", tests);
}
