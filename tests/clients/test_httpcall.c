#include "clients/httpcall.h"
#include "support/runner.h"

#include <stdbool.h>

#define WAIT_MS 2000
#define MS_PER_S 1000

typedef struct {
	bool done;
	int kind;
} outcome_t;

static gboolean
on_busy(gpointer data)
{
	(void)data;
	return G_SOURCE_CONTINUE;
}

static void
on_done(const bp_httpcall_answer_t *answer, const bp_error_t *err, void *data)
{
	outcome_t *outcome = data;

	outcome->done = true;
	outcome->kind = answer != NULL ? BP_OK : (int)err->kind;
}

/* Guards against calls that end only when the loop has nothing else to do. */
static void
test_a_busy_loop_ends_bad_calls(void)
{
	int64_t end_us = g_get_monotonic_time() + WAIT_MS * MS_PER_S;
	bp_httpcall_client_t *http = bp_httpcall_new(1, 1);
	guint busy = g_idle_add_full(G_PRIORITY_DEFAULT, on_busy, NULL, NULL);
	bp_httpcall_request_t request = {0};
	outcome_t outcome = {false, BP_OK};

	request.method = "GET";
	request.url = "no scheme";
	request.timeout_ms = WAIT_MS;
	bp_httpcall_start(http, &request, on_done, &outcome, NULL, NULL);
	while (!outcome.done && g_get_monotonic_time() < end_us)
		(void)g_main_context_iteration(NULL, FALSE);
	CU_ASSERT_TRUE(outcome.done);
	CU_ASSERT_EQUAL(outcome.kind, BP_EINVALID);
	g_source_remove(busy);
	bp_httpcall_free(http);
}

int
main(void)
{
	CU_TestInfo tests[] = {
	    {"a busy loop ends bad calls", test_a_busy_loop_ends_bad_calls},
	    CU_TEST_INFO_NULL,
	};

	return bp_test_main("clients/httpcall", tests);
}
