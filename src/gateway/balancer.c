#include "bulrushpost/balancer.h"

#include <string.h>

/*
 * An endpoint of another zone must look this much cheaper than the best own
 * one. The latency estimate contains the way between zones already; the
 * factor keeps noise in it from causing traffic between zones.
 */
#define SPILL_FACTOR 1.25

/* Prepares a balancer; clear it with bp_balancer_clear. */
void
bp_balancer_init(bp_balancer_t *balancer, const char *zone, uint64_t seed)
{
	bp_random_init(&balancer->random, seed);
	balancer->zone = g_strdup(zone != NULL ? zone : "");
}

/* Releases what a balancer holds. */
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
cost(const bp_pool_t *pool, const bp_endpoint_t *endpoint, int64_t now_us)
{
	double latency_us = bp_endpoint_latency_us(pool, endpoint, now_us);

	/* Before the first answer of the pool only the load counts. */
	return (endpoint->in_flight + 1) * (latency_us > 0 ? latency_us : 1);
}

/* Returns the cheaper of two endpoints drawn from n indices; NULL for none. */
static bp_endpoint_t *
cheaper_of_two(bp_balancer_t *balancer, const bp_pool_t *pool,
    const uint32_t *indices, uint32_t n, int64_t now_us)
{
	bp_endpoint_t *a;
	bp_endpoint_t *b;
	uint32_t i;
	uint32_t j;

	if (n == 0)
		return NULL;
	i = bp_random_below(&balancer->random, n);
	a = bp_pool_at(pool, indices[i]);
	if (n == 1)
		return a;
	j = bp_random_below(&balancer->random, n - 1);
	b = bp_pool_at(pool, indices[j < i ? j : j + 1]);
	return cost(pool, b, now_us) < cost(pool, a, now_us) ? b : a;
}

/*
 * Returns the endpoint for the next attempt, or NULL when none can take it.
 * Two candidates are drawn from the own zone and two from the others; the
 * cheaper own one is taken unless the remote one is clearly cheaper.
 */
bp_endpoint_t *
bp_balancer_choose(
    bp_balancer_t *balancer, bp_pool_t *pool, const bp_choice_t *choice)
{
	uint32_t size = (uint32_t)bp_pool_size(pool);
	uint32_t n_own = 0;
	uint32_t n_remote = 0;
	bp_endpoint_t *own;
	bp_endpoint_t *remote;
	uint32_t i;

	for (i = 0; i < size; i++) {
		bp_endpoint_t *endpoint = bp_pool_at(pool, i);

		if (was_tried(choice, endpoint) ||
		    !bp_endpoint_may_send(
			endpoint, choice->now_us, choice->idempotent))
			continue;
		if (strcmp(endpoint->zone, balancer->zone) == 0)
			pool->scratch[n_own++] = i;
		else
			pool->scratch[size - ++n_remote] = i;
	}
	own = cheaper_of_two(
	    balancer, pool, pool->scratch, n_own, choice->now_us);
	remote = cheaper_of_two(balancer, pool,
	    pool->scratch + (size - n_remote), n_remote, choice->now_us);
	if (own == NULL || remote == NULL)
		return own != NULL ? own : remote;
	return cost(pool, remote, choice->now_us) * SPILL_FACTOR <
		cost(pool, own, choice->now_us)
	    ? remote
	    : own;
}
