#include "bulrushpost/balancer.h"

#include <string.h>

/*
 * An endpoint in another zone is chosen only if its cost is lower than that of
 * the best local one by this factor. The latency estimate already includes the
 * delay between zones; the factor keeps noise in the estimate from causing
 * traffic between zones.
 */
#define ZONE_SPILL_FACTOR 1.25
/* Above the noise of a smoothed latency, below the usual ratio of a slow VM. */
#define SLOW_LATENCY_RATIO 1.8

/* Prepares a balancer; clear it with bp_balancer_clear. */
void
bp_balancer_init(bp_balancer_t *balancer, const char *zone, uint64_t seed)
{
	bp_random_init(&balancer->random, seed);
	balancer->zone = g_strdup(zone != NULL ? zone : "");
}

/* Frees the memory that a balancer owns, but not the balancer itself. */
void
bp_balancer_clear(bp_balancer_t *balancer)
{
	g_free(balancer->zone);
	balancer->zone = NULL;
}

static bool
was_tried(const bp_choice_t *choice, const bp_endpoint_t *endpoint)
{
	uint32_t i;

	for (i = 0; i < choice->n_tried; i++) {
		if (choice->tried[i] == endpoint)
			return true;
	}
	return false;
}

static double
expected_cost(
    const bp_pool_t *pool, const bp_endpoint_t *endpoint, int64_t now_us)
{
	double latency_us = bp_endpoint_latency_us(pool, endpoint, now_us);

	/* Before the first response in the pool only the load is compared. */
	return (endpoint->in_flight + 1) * (latency_us > 0 ? latency_us : 1);
}

/*
 * Returns the number of requests that this gateway has in flight to an
 * endpoint. A clearly slow endpoint counts one more, so that idle endpoints of
 * normal speed are used first.
 */
static uint32_t
effective_load(
    const bp_pool_t *pool, const bp_endpoint_t *endpoint, int64_t now_us)
{
	bool slow = bp_endpoint_latency_us(pool, endpoint, now_us) >
	    SLOW_LATENCY_RATIO * pool->latency_us;

	return endpoint->in_flight + (slow ? 1 : 0);
}

/* The least loaded candidates of the local zone, or of all other zones. */
typedef struct {
	uint32_t *indices; /* in the pool */
	uint32_t n;
	uint32_t load;
} candidate_group_t;

static void
add_candidate(candidate_group_t *group, uint32_t index, uint32_t index_load)
{
	if (group->n > 0 && index_load > group->load)
		return;
	if (index_load < group->load)
		group->n = 0;
	group->load = index_load;
	group->indices[group->n++] = index;
}

/* Returns the cheaper of two random members; NULL for an empty group. */
static bp_endpoint_t *
cheaper_of_two(bp_balancer_t *balancer, const bp_pool_t *pool,
    const candidate_group_t *group, int64_t now_us)
{
	bp_endpoint_t *a;
	bp_endpoint_t *b;
	uint32_t i;
	uint32_t j;

	if (group->n == 0)
		return NULL;
	i = bp_random_below(&balancer->random, group->n);
	a = bp_pool_at(pool, group->indices[i]);
	if (group->n == 1)
		return a;
	j = bp_random_below(&balancer->random, group->n - 1);
	b = bp_pool_at(pool, group->indices[j < i ? j : j + 1]);
	return expected_cost(pool, b, now_us) < expected_cost(pool, a, now_us)
	    ? b
	    : a;
}

/*
 * Returns the endpoint for the next attempt, or NULL if none can take it.
 * Two candidates are drawn at random from the least loaded endpoints of the
 * local zone and two from those of the other zones. The cheaper local one is
 * chosen unless the cheaper remote one is clearly better. The random
 * choice keeps gateways, which do not know each other's load, from all choosing
 * the same endpoint.
 */
bp_endpoint_t *
bp_balancer_choose(
    bp_balancer_t *balancer, bp_pool_t *pool, const bp_choice_t *choice)
{
	size_t size = bp_pool_size(pool);
	candidate_group_t local_group = {pool->scratch, 0, 0};
	candidate_group_t remote_group = {pool->scratch + size, 0, 0};
	bp_endpoint_t *local;
	bp_endpoint_t *remote;
	uint32_t i;

	for (i = 0; i < size; i++) {
		bp_endpoint_t *endpoint = bp_pool_at(pool, i);

		if (was_tried(choice, endpoint) ||
		    !bp_endpoint_may_send(
			endpoint, choice->now_us, choice->idempotent))
			continue;
		add_candidate(strcmp(endpoint->zone, balancer->zone) == 0
			? &local_group
			: &remote_group,
		    i, effective_load(pool, endpoint, choice->now_us));
	}
	local = cheaper_of_two(balancer, pool, &local_group, choice->now_us);
	remote = cheaper_of_two(balancer, pool, &remote_group, choice->now_us);
	if (local == NULL || remote == NULL)
		return local != NULL ? local : remote;
	return expected_cost(pool, remote, choice->now_us) * ZONE_SPILL_FACTOR <
		expected_cost(pool, local, choice->now_us)
	    ? remote
	    : local;
}
