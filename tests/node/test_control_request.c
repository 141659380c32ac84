#include "support/controlcall.h"
#include "support/gatewayfix.h"
#include "support/runner.h"

#include <string.h>

/* Guards against a refused request that why does not know. */
static void
test_why_explains_requests(void)
{
	bp_gateway_options_t options;
	const char *id;
	call_t *call;
	controlcall_t f;
	fix_t g;

	controlcall_init(&f);
	bp_gateway_options_init(&options);
	options.timeline = f.rig.timeline;
	fix_start_options(&g, 2, EXECUTOR_CLOSE, &options);
	call = call_wait(call_new(&g, "GET", "/none/x", NULL, NULL));
	id = call_header(call, "X-Request-Id");
	CU_ASSERT_EQUAL(
	    controlcall_ask_for(&f, BP__PEER__VERB__VERB_WHY, (char *)id), 0);
	CU_ASSERT_STRING_EQUAL(f.message,
	    "request_refused: not_found, outcome not_run: no endpoint is known "
	    "for service none");
	call_free(call);
	call =
	    call_wait(call_new(&g, "GET", "/s/x", "X-Request-Id: mine", NULL));
	CU_ASSERT_EQUAL(
	    controlcall_ask_for(&f, BP__PEER__VERB__VERB_WHY, "mine"), BP_OK);
	CU_ASSERT_PTR_NOT_NULL(strstr(f.message, "request_retried: attempt 1"));
	CU_ASSERT_PTR_NOT_NULL(strstr(f.message, "request_not_known: "));
	call_free(call);
	g_atomic_int_set(&g.executors[0]->mode, EXECUTOR_WRONG_ECHO);
	g_atomic_int_set(&g.executors[1]->mode, EXECUTOR_WRONG_ECHO);
	call = call_wait(call_new(&g, "POST", "/s/x", NULL, NULL));
	id = call_header(call, "X-Request-Id");
	CU_ASSERT_EQUAL(
	    controlcall_ask_for(&f, BP__PEER__VERB__VERB_WHY, (char *)id), 0);
	CU_ASSERT_PTR_NOT_NULL(strstr(f.message, "request_discarded: "));
	call_free(call);
	/* A request that went well leaves no event. */
	g_atomic_int_set(&g.executors[0]->mode, EXECUTOR_OK);
	g_atomic_int_set(&g.executors[1]->mode, EXECUTOR_OK);
	call = call_wait(call_new(&g, "POST", "/s/x", NULL, NULL));
	id = call_header(call, "X-Request-Id");
	CU_ASSERT_EQUAL(call_status(call), 200);
	CU_ASSERT_EQUAL(
	    controlcall_ask_for(&f, BP__PEER__VERB__VERB_WHY, (char *)id),
	    BP_ENOTFOUND);
	call_free(call);
	fix_stop(&g);
	controlcall_clear(&f);
}

int
main(void)
{
	CU_TestInfo tests[] = {
	    {"why", test_why_explains_requests},
	    CU_TEST_INFO_NULL,
	};

	return bp_test_main("control-request", tests);
}
