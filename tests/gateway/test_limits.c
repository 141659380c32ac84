#include "bulrushpost/gateway.h"
#include "support/gatewayfix.h"
#include "support/runner.h"

/* Guards against limits in the settings that the gateway does not apply. */
static void
test_limits_can_be_set(void)
{
	bp_gateway_options_t options;
	char *large = g_strnfill(60 * 1024, 'x');
	char *header = g_strdup_printf("X-Large: %s", large);
	char *body = g_strnfill(5 * 1024 * 1024, 'x');
	call_t *call;
	fix_t f;

	bp_gateway_options_init(&options);
	options.body_bytes = 5 * 1024 * 1024;
	options.header_bytes = 2048;
	options.endpoint_in_flight = 1;
	fix_start_options(&f, 1, EXECUTOR_SLOW, &options);
	call = call_wait(call_new(&f, "POST", "/s/x", NULL, body));
	CU_ASSERT_EQUAL(call_status(call), 200);
	call_free(call);
	header[3000] = '\0';
	CU_ASSERT_TRUE(fix_expect(&f, "GET", "/s/x", header, 413, "not_run"));
	g_atomic_int_set(&f.executors[0]->delay_ms, 200);
	call = call_new(&f, "GET", "/s/x", NULL, NULL);
	CU_ASSERT_TRUE(fix_expect(
	    &f, "GET", "/s/x", "X-Deadline-Ms: 100", 504, "not_run"));
	call_free(call_wait(call));
	fix_stop(&f);
	options.body_bytes = 1024;
	options.header_bytes = 64 * 1024;
	fix_start_options(&f, 1, EXECUTOR_OK, &options);
	call = call_wait(call_new(&f, "POST", "/s/x", NULL, large));
	CU_ASSERT_EQUAL(call_status(call), 413);
	call_free(call);
	header[3000] = 'x';
	CU_ASSERT_TRUE(fix_expect(&f, "GET", "/s/x", header, 200, NULL));
	fix_stop(&f);
	g_free(large);
	g_free(header);
	g_free(body);
}

int
main(void)
{
	CU_TestInfo tests[] = {
	    {"limits set", test_limits_can_be_set},
	    CU_TEST_INFO_NULL,
	};

	return bp_test_main("gateway-limits", tests);
}
