#include "support/crowdcase.h"

#include "support/runner.h"

#include <stdio.h>
#include <string.h>

/* A crowd that sends nothing for so long has sent all it can. */
#define STALL_MS 1000
#define HOLD_MS 1500

const bp_crowdcase_address_t bp_crowdcase_route = {
    "route", BP_LISTEN_CALLERS, "/q/"};
const bp_crowdcase_address_t bp_crowdcase_no_route = {
    "noroute", BP_LISTEN_CALLERS, "/none/"};
const bp_crowdcase_address_t bp_crowdcase_ready = {
    "ready", BP_LISTEN_READY, "/v1/readyz"};
const bp_crowdcase_address_t bp_crowdcase_metrics = {
    "metrics", BP_LISTEN_METRICS, "/metrics"};

/* See the header. */
void
bp_crowdcase_run(const char *kind, const char *address, bp_listener_t listener,
    bp_crowd_options_t *options)
{
	bp_queuenodes_t fixture;
	char *name = g_strdup_printf("limits-%s-%s", kind, address);
	bp_crowd_t *crowd;
	uint64_t peak_kb;
	int pid;

	bp_queuenodes_setup_settings(&fixture, name, 1, "");
	pid = bp_process_pid(fixture.nodes[0]);
	options->port = fixture.ports[0][listener];
	crowd = bp_crowd_new(options);
	bp_crowd_send(crowd, STALL_MS);
	/* The node reads what the sockets have taken. */
	bp_run_for_ms(HOLD_MS);
	/* The readiness check and submissions are served beside the crowd. */
	CU_ASSERT_TRUE(bp_queuenodes_expect(
	    &fixture, 0, "GET", "/v1/readyz", NULL, 200, NULL));
	CU_ASSERT_TRUE(bp_queuenodes_expect(
	    &fixture, 0, "POST", "/q/00000000000000a1", BP_JOB, 200, NULL));
	CU_ASSERT_TRUE(bp_queuenodes_expect(
	    &fixture, 0, "GET", "/q/00000000000000a1", NULL, 200, "completed"));
	bp_crowd_free(crowd);
	CU_ASSERT_TRUE(bp_queuenodes_expect(
	    &fixture, 0, "POST", "/q/00000000000000a2", BP_JOB, 200, NULL));
	CU_ASSERT_TRUE(bp_queuenodes_expect(
	    &fixture, 0, "GET", "/q/00000000000000a2", NULL, 200, "completed"));
	CU_ASSERT_TRUE(bp_process_alive(fixture.nodes[0]));
	peak_kb = bp_process_peak_kb(pid);
	printf("  %s: peak %u MB, now %u MB, of %d\n", name,
	    (unsigned)(peak_kb / 1024),
	    (unsigned)(bp_process_resident_kb(pid) / 1024),
	    BP_CROWDCASE_MACHINE_KB / 1024);
	CU_ASSERT_TRUE(peak_kb < BP_CROWDCASE_MACHINE_KB);
	bp_queuenodes_teardown(&fixture);
	g_free(name);
}

/* See the header. */
char *
bp_crowdcase_head(const char *method, const bp_crowdcase_address_t *address,
    const char *fields)
{
	return g_strdup_printf("%s %s%s HTTP/1.1\r\nHost: h\r\n%s", method,
	    address->path,
	    strcmp(method, "POST") == 0 && address == &bp_crowdcase_route
		? "00000000000000c1"
		: "",
	    fields);
}

/* See the header. */
void
bp_crowdcase_run_http(const char *kind, const bp_crowdcase_address_t *address,
    const char *method, const char *fields, bp_crowd_options_t *options)
{
	char *head = bp_crowdcase_head(method, address, fields);

	options->head = head;
	bp_crowdcase_run(kind, address->name, address->listener, options);
	g_free(head);
}
