#include "clients/httpcall.h"
#include "support/runner.h"

#include <string.h>

#define WAIT_MS 2000
#define MS_PER_S 1000

static gboolean
on_busy(gpointer data)
{
	(void)data;
	return G_SOURCE_CONTINUE;
}

static void
on_done(const bp_httpcall_answer_t *answer, const bp_error_t *err, void *data)
{
	int *kind = data;

	*kind = answer != NULL ? BP_OK : (int)err->kind;
}

/* Guards against calls that end only when the loop has nothing else to do. */
static void
test_a_busy_loop_ends_bad_calls(void)
{
	int64_t end_us = g_get_monotonic_time() + WAIT_MS * MS_PER_S;
	bp_httpcall_client_t *http = bp_httpcall_new(1, 1);
	guint busy = g_idle_add_full(G_PRIORITY_DEFAULT, on_busy, NULL, NULL);
	bp_httpcall_request_t request = {0};
	int kind = -1;

	request.method = "GET";
	request.url = "no scheme";
	request.timeout_ms = WAIT_MS;
	bp_httpcall_start(http, &request, on_done, &kind, NULL, NULL);
	while (kind == -1 && g_get_monotonic_time() < end_us)
		(void)g_main_context_iteration(NULL, FALSE);
	CU_ASSERT_NOT_EQUAL(kind, -1);
	CU_ASSERT_NOT_EQUAL(kind, BP_OK);
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
