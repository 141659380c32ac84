#include "support/queuenodes.h"
#include "support/rawcall.h"
#include "support/runner.h"

/*
 * Guards against a node that closes callers' connections after other times than
 * those of the operators' configuration.
 */

#define LIMITS ",\"header_timeout_ms\":1000,\"idle_timeout_ms\":1500"
#define LATER_LIMITS ",\"header_timeout_ms\":6000,\"idle_timeout_ms\":6000"
#define ASK "GET /q/ HTTP/1.1\r\nHost: h\r\n"
/* Both times, their margin and an interval of the checks have passed. */
#define CLOSED_MS 2600
/* Longer than the times of the first configuration and the default for heads.
 */
#define KEPT_MS 4500
/* A version is in force by then. */
#define CONFIG_APPLY_MS 2000

static void
prepare(bp_queuehttp_t *platform)
{
	bp_queuehttp_set_limits(platform, LIMITS);
	bp_queuehttp_configure(platform, 4, "/q/");
}

/* Opens a connection that is idle and one with a part of a head. */
static void
open_both(bp_queuenodes_t *fixture, bp_rawcall_t *calls[2])
{
	uint16_t port = fixture->ports[0][BP_LISTEN_CALLERS];
	size_t i;

	for (i = 0; i < 2; i++) {
		calls[i] = bp_rawcall_new(port);
		CU_ASSERT_TRUE(bp_rawcall_send_text(calls[i], ASK "\r\n"));
		CU_ASSERT_TRUE(bp_rawcall_wait(calls[i], "HTTP/1.1"));
	}
	CU_ASSERT_TRUE(bp_rawcall_send_text(calls[1], ASK));
}

static void
close_both(bp_rawcall_t *calls[2])
{
	bp_rawcall_free(calls[0]);
	bp_rawcall_free(calls[1]);
}

static void
test_times_of_the_configuration(void)
{
	bp_queuenodes_t fixture;
	bp_rawcall_t *calls[2];

	bp_queuenodes_setup_with(&fixture, "timeouts", prepare);
	CU_ASSERT_TRUE(bp_queuenodes_expect(
	    &fixture, 0, "GET", "/q/", NULL, 200, "pending"));
	open_both(&fixture, calls);
	bp_run_for_ms(CLOSED_MS);
	CU_ASSERT_TRUE(bp_rawcall_closed(calls[0]));
	CU_ASSERT_TRUE(bp_rawcall_closed(calls[1]));
	close_both(calls);
	bp_queuehttp_set_limits(fixture.platform, LATER_LIMITS);
	bp_queuehttp_configure(fixture.platform, 5, "/q/");
	bp_run_for_ms(CONFIG_APPLY_MS);
	open_both(&fixture, calls);
	bp_run_for_ms(KEPT_MS);
	CU_ASSERT_FALSE(bp_rawcall_closed(calls[0]));
	CU_ASSERT_FALSE(bp_rawcall_closed(calls[1]));
	close_both(calls);
	bp_queuenodes_teardown(&fixture);
}

int
main(void)
{
	CU_TestInfo tests[] = {
	    {"times of the configuration", test_times_of_the_configuration},
	    CU_TEST_INFO_NULL,
	};

	return bp_test_main("process/timeouts", tests);
}
