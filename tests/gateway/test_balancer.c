#include "bulrushpost/balancer.h"
#include "support/runner.h"

#define MS ((int64_t)1000) /* us */
#define CHOICES 2000

static bp_pool_t *
new_pool(int own, int remote)
{
	bp_pool_t *pool = bp_pool_new(1);
	char name[16];
	int i;

	for (i = 0; i < own + remote; i++) {
		g_snprintf(name, sizeof(name), "e%d", i);
		bp_pool_upsert(
		    pool, name, "http://x", i < own ? "a" : "b", false, false);
	}
	return pool;
}

static void
set_latency(bp_pool_t *pool, int index, int64_t latency_us)
{
	bp_endpoint_t *endpoint = bp_pool_at(pool, (size_t)index);
	int i;

	for (i = 0; i < 100; i++) {
		bp_endpoint_begin(endpoint);
		bp_endpoint_end(pool, endpoint, BP_RESULT_OK, latency_us, 1);
	}
}

/* Guards against requests to endpoints that must not get new ones. */
static void
test_only_usable_endpoints_are_chosen(void)
{
	bp_pool_t *pool = new_pool(2, 3);
	bp_choice_t choice = {.now_us = 1, .idempotent = true};
	bp_balancer_t balancer;
	int i;

	bp_balancer_init(&balancer, "a", 1);
	bp_pool_at(pool, 0)->leaving = true;
	bp_pool_at(pool, 1)->zone_out = true;
	bp_pool_at(pool, 2)->in_flight = BP_EXECUTOR_SLOTS;
	choice.tried[choice.n_tried++] = bp_pool_at(pool, 3);
	for (i = 0; i < 100; i++)
		CU_ASSERT_PTR_EQUAL(
		    bp_balancer_choose(&balancer, pool, &choice),
		    bp_pool_at(pool, 4));
	choice.tried[choice.n_tried++] = bp_pool_at(pool, 4);
	CU_ASSERT_PTR_NULL(bp_balancer_choose(&balancer, pool, &choice));
	bp_pool_at(pool, 2)->in_flight = 0;
	bp_balancer_clear(&balancer);
	bp_pool_free(pool);
}

/* Guards against needless traffic between zones, and a missing spillover. */
static void
test_own_zone_is_preferred_with_spillover(void)
{
	bp_pool_t *pool = new_pool(2, 4);
	bp_choice_t choice = {.now_us = 2, .idempotent = true};
	bp_balancer_t balancer;
	int remote_chosen = 0;
	int i;

	bp_balancer_init(&balancer, "a", 1);
	for (i = 0; i < 6; i++)
		set_latency(pool, i, i < 2 ? 10 * MS : 19 * MS);
	for (i = 0; i < CHOICES; i++)
		remote_chosen +=
		    bp_balancer_choose(&balancer, pool, &choice)->zone[0] ==
		    'b';
	CU_ASSERT_EQUAL(remote_chosen, 0);
	bp_pool_at(pool, 0)->in_flight = 5;
	bp_pool_at(pool, 1)->in_flight = 5;
	CU_ASSERT_EQUAL(
	    bp_balancer_choose(&balancer, pool, &choice)->zone[0], 'b');
	bp_pool_at(pool, 0)->in_flight = 0;
	bp_pool_at(pool, 1)->in_flight = 0;
	bp_balancer_clear(&balancer);
	bp_pool_free(pool);
}

/*
 * Guards against herding: gateways do not know each other's load and must not
 * all send most requests to the endpoint with the lowest latency.
 */
static void
test_gateways_do_not_herd(void)
{
	int fastest_chosen = 0;
	int g;

	for (g = 0; g < 8; g++) {
		bp_pool_t *pool = new_pool(20, 0);
		bp_choice_t choice = {.now_us = 2, .idempotent = true};
		bp_balancer_t balancer;
		int i;

		bp_balancer_init(&balancer, "a", (uint64_t)g);
		for (i = 0; i < 20; i++)
			set_latency(pool, i, i == 0 ? 5 * MS : 10 * MS);
		for (i = 0; i < CHOICES / 8; i++)
			fastest_chosen += bp_balancer_choose(&balancer, pool,
					      &choice) == bp_pool_at(pool, 0);
		bp_balancer_clear(&balancer);
		bp_pool_free(pool);
	}
	/* Two of 20 are drawn: a tenth of the choices include the endpoint. */
	CU_ASSERT_TRUE(fastest_chosen < CHOICES * 15 / 100);
	CU_ASSERT_TRUE(fastest_chosen > CHOICES * 5 / 100);
}

int
main(void)
{
	CU_TestInfo tests[] = {
	    {"usable", test_only_usable_endpoints_are_chosen},
	    {"own zone", test_own_zone_is_preferred_with_spillover},
	    {"herding", test_gateways_do_not_herd},
	    CU_TEST_INFO_NULL,
	};

	return bp_test_main("gateway-balancer", tests);
}
