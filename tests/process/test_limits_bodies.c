#include "support/crowdcase.h"
#include "support/runner.h"

/*
 * Callers that send bodies, most of which do not end. Guards
 * against a node whose memory exceeds that of the smallest machine, that
 * ends, or that serves nobody.
 */

/* A body of legal size (the limit is 262,144), of which 100 bytes miss. */
#define BODY_SENT_BYTES 261900
/* 640 such bodies are 167 MB. */
#define BODIES 640
#define PIECE_BYTES 4000
/* A body of legal size, one byte a chunk. */
#define CHUNKS 260000
#define CHUNKED_BODIES 8
#define LARGE_BYTES (64 * 1024 * 1024)
#define LARGE_BODIES 4
/* Of the control protocol: the largest frame is 1 MiB. */
#define FRAME_BYTES (1024 * 1024)
#define FRAMES 250

/* Bodies of legal size that stop 100 bytes short. */
static void
whole(const bp_crowdcase_address_t *address)
{
	bp_crowd_options_t options = {.connections = BODIES,
	    .unit = "xxxxxxxxxx",
	    .units = BODY_SENT_BYTES / 10};

	bp_crowdcase_run_http("whole", address, "POST",
	    "Content-Length: 262000\r\n\r\n", &options);
}

/* The same in small pieces. */
static void
pieces(const bp_crowdcase_address_t *address)
{
	bp_crowd_options_t options = {.connections = BODIES,
	    .unit = "xxxxxxxxxx",
	    .units = BODY_SENT_BYTES / 10,
	    .piece_bytes = PIECE_BYTES};

	bp_crowdcase_run_http("pieces", address, "POST",
	    "Content-Length: 262000\r\n\r\n", &options);
}

/* Chunked, one byte a chunk, without an end. */
static void
chunked(const bp_crowdcase_address_t *address)
{
	bp_crowd_options_t options = {.connections = CHUNKED_BODIES,
	    .unit = "1\r\nx\r\n",
	    .units = CHUNKS};

	bp_crowdcase_run_http("chunked", address, "POST",
	    "Transfer-Encoding: chunked\r\n\r\n", &options);
}

/* Far over the limit. */
static void
large(const bp_crowdcase_address_t *address)
{
	bp_crowd_options_t options = {.connections = LARGE_BODIES,
	    .unit = "xxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxx"
		    "xxxxxxx",
	    .units = LARGE_BYTES / 64,
	    .reads = true};

	bp_crowdcase_run_http("large", address, "POST",
	    "Content-Length: 67108864\r\n\r\n", &options);
}

BP_CROWDCASE_AT(whole)
BP_CROWDCASE_AT(pieces)
BP_CROWDCASE_AT(chunked)
BP_CROWDCASE_AT(large)

/* Frames of the largest size that stop 100 bytes short. */
static void
test_whole_control(void)
{
	bp_crowd_options_t options = {.connections = FRAMES,
	    .head = "\0\x10\0\0",
	    .head_bytes = 4,
	    .unit = "xxxxxxxxxx",
	    .units = (FRAME_BYTES - 100) / 10};

	bp_crowdcase_run("whole", "control", BP_LISTEN_CONTROL, &options);
}

static void
test_pieces_control(void)
{
	bp_crowd_options_t options = {.connections = FRAMES,
	    .head = "\0\x10\0\0",
	    .head_bytes = 4,
	    .unit = "xxxxxxxxxx",
	    .units = (FRAME_BYTES - 100) / 10,
	    .piece_bytes = PIECE_BYTES};

	bp_crowdcase_run("pieces", "control", BP_LISTEN_CONTROL, &options);
}

static void
test_large_control(void)
{
	bp_crowd_options_t options = {.connections = LARGE_BODIES,
	    .head = "\4\0\0\0",
	    .head_bytes = 4,
	    .unit = "xxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxx"
		    "xxxxxxx",
	    .units = LARGE_BYTES / 64,
	    .reads = true};

	bp_crowdcase_run("large", "control", BP_LISTEN_CONTROL, &options);
}

int
main(void)
{
	CU_TestInfo tests[] = {
	    BP_CROWDCASE_TESTS(whole),
	    BP_CROWDCASE_TESTS(pieces),
	    BP_CROWDCASE_TESTS(chunked),
	    BP_CROWDCASE_TESTS(large),
	    {"whole at control", test_whole_control},
	    {"pieces at control", test_pieces_control},
	    {"large at control", test_large_control},
	    CU_TEST_INFO_NULL,
	};

	return bp_test_main("process/limits_bodies", tests);
}
