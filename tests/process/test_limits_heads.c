#include "support/crowdcase.h"
#include "support/runner.h"

/*
 * Callers that send heads, many short fields, or many requests. Guards
 * against a node whose memory exceeds that of the smallest machine, that
 * ends, or that serves nobody.
 */

/* 3,000 fields of 5 bytes are 15,000 bytes of a head; 16,384 are allowed. */
#define HEAD_FIELDS 3000
#define HEADS 640
#define DECODED_BODIES 16
#define STEPS 87000
#define PIPELINED 2000
#define PIPELINES 100
/* Of the control protocol: the largest frame is 1 MiB. */
#define FRAME_BYTES (1024 * 1024)
#define FRAMES 250
#define FRAMES_DECODED 16
#define VERB_STATUS_FRAME "\0\0\0\4\x08\1\x10\2"
#define VERB_METRICS_FRAME "\0\0\0\4\x08\1\x10\5"
#define FRAME_REQUESTS 8000
#define FRAME_PIPELINES 60

/* Heads of legal size with very many fields, before a body that stops. */
static void
fields(const bp_crowdcase_address_t *address)
{
	bp_crowd_options_t options = {.connections = HEADS,
	    .unit = "a:b\r\n",
	    .units = HEAD_FIELDS,
	    .tail = "\r\nx"};

	bp_crowdcase_run_http(
	    "fields", address, "POST", "Content-Length: 262000\r\n", &options);
}

/* Whole bodies of legal size with very many steps. */
static void
steps(const bp_crowdcase_address_t *address)
{
	bp_crowd_options_t options = {.connections = DECODED_BODIES,
	    .unit = "{},",
	    .units = STEPS,
	    .tail = "{}]}",
	    .reads = true};

	bp_crowdcase_run_http("steps", address, "POST",
	    "Content-Length: 261014\r\n\r\n{\"steps\":[", &options);
}

/* Requests whose answers are not read. */
static void
pipelined(const bp_crowdcase_address_t *address)
{
	char *unit = bp_crowdcase_head("GET", address, "\r\n");
	bp_crowd_options_t options = {
	    .connections = PIPELINES, .unit = unit, .units = PIPELINED};

	bp_crowdcase_run_http("pipelined", address, "GET", "\r\n", &options);
	g_free(unit);
}

/* Heads that stop half-way. */
static void
halves(const bp_crowdcase_address_t *address)
{
	bp_crowd_options_t options = {
	    .connections = HEADS, .unit = "a:b\r\n", .units = HEAD_FIELDS};

	bp_crowdcase_run_http("halves", address, "POST", "", &options);
}

BP_CROWDCASE_AT(fields)
BP_CROWDCASE_AT(steps)
BP_CROWDCASE_AT(pipelined)
BP_CROWDCASE_AT(halves)

/* Whole frames with as many arguments, all empty, as fit. */
static void
test_fields_control(void)
{
	bp_crowd_options_t options = {.connections = FRAMES_DECODED,
	    .head = "\0\x10\0\0",
	    .head_bytes = 4,
	    .unit = "\x32\0",
	    .unit_bytes = 2,
	    .units = FRAME_BYTES / 2,
	    .reads = true};

	bp_crowdcase_run("fields", "control", BP_LISTEN_CONTROL, &options);
}

/* Requests with large answers that are not read. */
static void
test_pipelined_control(void)
{
	bp_crowd_options_t options = {.connections = FRAME_PIPELINES,
	    .head = VERB_STATUS_FRAME,
	    .head_bytes = 8,
	    .unit = VERB_METRICS_FRAME,
	    .unit_bytes = 8,
	    .units = FRAME_REQUESTS};

	bp_crowdcase_run("pipelined", "control", BP_LISTEN_CONTROL, &options);
}

/* Frames whose length stops half-way. */
static void
test_halves_control(void)
{
	bp_crowd_options_t options = {
	    .connections = FRAMES, .head = "\0\x10", .head_bytes = 2};

	bp_crowdcase_run("halves", "control", BP_LISTEN_CONTROL, &options);
}

int
main(void)
{
	CU_TestInfo tests[] = {
	    BP_CROWDCASE_TESTS(fields),
	    BP_CROWDCASE_TESTS(steps),
	    BP_CROWDCASE_TESTS(pipelined),
	    BP_CROWDCASE_TESTS(halves),
	    {"fields at control", test_fields_control},
	    {"pipelined at control", test_pipelined_control},
	    {"halves at control", test_halves_control},
	    CU_TEST_INFO_NULL,
	};

	return bp_test_main("process/limits_heads", tests);
}
