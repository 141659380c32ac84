#include "queues/relay.h"
#include "support/runner.h"

#include <stdio.h>

#define EXECUTORS 4000
/* Nothing listens there; calls to it stay open until the client is freed. */
#define NOBODY "127.0.0.1:9"

/* Counts the orders that the owner itself carries out. */
typedef struct {
	bp_executors_t interface;
	uint32_t starts;
} direct_t;

static void
direct_start(bp_executors_t *self, const bp_exec_target_t *target,
    const bp_exec_start_t *start, bp_exec_done_t done, void *data)
{
	(void)target;
	(void)start;
	(void)done;
	(void)data;
	((direct_t *)self)->starts++;
}

static void
on_done(const bp_exec_result_t *result, void *data)
{
	(void)result;
	(void)data;
}

/* Share, in percent, of the executors of zone "za" that the owner serves. */
static double
own_share(uint32_t own_milli, const char *zone, uint32_t other_milli)
{
	direct_t direct = {.interface = {.start = direct_start}};
	bp_peer_client_t *client = bp_peer_client_new(bp_clock_system(), NULL);
	bp_relay_options_t options = {0};
	bp_relay_t *relay;
	uint32_t i;

	options.clock = bp_clock_system();
	options.direct = &direct.interface;
	options.client = client;
	options.address = "10.0.0.1:7000";
	options.zone = "za";
	options.processor_milli = own_milli;
	relay = bp_relay_new(&options);
	if (zone != NULL)
		bp_relay_heard(relay, NOBODY, zone, other_milli);
	for (i = 0; i < EXECUTORS; i++) {
		char id[32];
		bp_exec_target_t target = {"10.0.0.9:80", id, "za", 1};
		bp_exec_start_t start = {
		    "t.0.0.0", 1, "work", 1000, NULL, NULL};

		snprintf(id, sizeof(id), "i-%u", i);
		bp_relay_interface(relay)->start(
		    bp_relay_interface(relay), &target, &start, on_done, NULL);
	}
	bp_peer_client_free(client);
	bp_relay_free(relay);
	return direct.starts * 100.0 / EXECUTORS;
}

/* Guards against small nodes that carry out as much as large ones. */
static void
test_orders_go_by_processors(void)
{
	CU_ASSERT_DOUBLE_EQUAL(own_share(500, NULL, 0), 100, 0);
	/* The owner counts a quarter: 100 of 400 in thousandths. */
	CU_ASSERT_DOUBLE_EQUAL(own_share(400, "za", 300), 25, 3);
	CU_ASSERT_DOUBLE_EQUAL(own_share(400, "za", 100), 50, 3);
	/* A node of another zone is not asked while one of this zone lives. */
	CU_ASSERT_DOUBLE_EQUAL(own_share(400, "zb", 1000), 100, 0);
}

int
main(void)
{
	CU_TestInfo tests[] = {
	    {"orders go by processors", test_orders_go_by_processors},
	    CU_TEST_INFO_NULL,
	};

	return bp_test_main("queues/relay", tests);
}
