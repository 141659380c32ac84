#include "bulrushpost/endpoint.h"

#include "gateway/health.h"

#include <math.h>
#include <string.h>

#define US_PER_S 1000000
#define LATENCY_SAMPLE_WEIGHT 0.1
#define POOL_LATENCY_SAMPLE_WEIGHT 0.01
#define FAILURE_SAMPLE_WEIGHT 0.02
/* Time constant of the decay to the mean of an estimate without new samples. */
#define LATENCY_DECAY_US (10.0 * US_PER_S)
#define FAILURE_LATENCY_FACTOR 4.0
#define FAILURE_MIN_LATENCY_US 100000.0
#define WINDOW_US (1 * (int64_t)US_PER_S)
#define WINDOW_MIN_COUNT 50
/* At this failure rate of the whole pool, no single endpoint is the cause. */
#define EJECTION_MAX_POOL_FAILURE_RATE 0.5
#define PERCENT 100U

/* Creates an empty pool. Free it with bp_pool_free. */
bp_pool_t *
bp_pool_new(uint32_t gateways)
{
	bp_pool_t *pool = g_new0(bp_pool_t, 1);

	pool->endpoints = g_ptr_array_new();
	pool->gateways = gateways;
	bp_pool_set_limits(pool, BP_EXECUTOR_SLOTS, BP_EXECUTOR_CONNECTIONS,
	    BP_EJECT_MAX_PERCENT);
	return pool;
}

/* Sets the limits of the pool; see the header for when they apply. */
void
bp_pool_set_limits(bp_pool_t *pool, uint32_t slots, uint32_t connections,
    uint32_t eject_max_percent)
{
	pool->slots = slots;
	pool->connections = connections;
	pool->eject_max_percent = eject_max_percent;
}

/* Takes a reference, which stays valid after a removal from the pool. */
bp_endpoint_t *
bp_endpoint_ref(bp_endpoint_t *endpoint)
{
	endpoint->refs++;
	return endpoint;
}

/* Drops a reference and frees the endpoint with the last one. */
void
bp_endpoint_unref(bp_endpoint_t *endpoint)
{
	if (--endpoint->refs > 0)
		return;
	g_free(endpoint->name);
	g_free(endpoint->url);
	g_free(endpoint->zone);
	g_free(endpoint);
}

/* Frees the pool; endpoints are freed once no request to them is in flight. */
void
bp_pool_free(bp_pool_t *pool)
{
	if (pool == NULL)
		return;
	while (bp_pool_size(pool) > 0)
		bp_pool_remove(pool, bp_pool_at(pool, 0));
	g_ptr_array_free(pool->endpoints, TRUE);
	g_free(pool->scratch);
	g_free(pool);
}

/* Adapts the limits of all endpoints to the number of gateways. */
void
bp_pool_set_gateways(bp_pool_t *pool, uint32_t gateways)
{
	size_t i;

	pool->gateways = gateways;
	for (i = 0; i < bp_pool_size(pool); i++)
		bp_limiter_set_gateways(
		    &bp_pool_at(pool, i)->limiter, gateways);
}

static bp_endpoint_t *
find_endpoint(const bp_pool_t *pool, const char *name, const char *url)
{
	size_t i;

	for (i = 0; i < bp_pool_size(pool); i++) {
		bp_endpoint_t *endpoint = bp_pool_at(pool, i);

		if (strcmp(endpoint->name, name) == 0 &&
		    strcmp(endpoint->url, url) == 0)
			return endpoint;
	}
	return NULL;
}

/* Updates or adds an endpoint; an existing one keeps its health and load. */
bp_endpoint_t *
bp_pool_upsert(bp_pool_t *pool, const char *name, const char *url,
    const char *zone, bool leaving, bool zone_out)
{
	bp_endpoint_t *endpoint = find_endpoint(pool, name, url);

	if (endpoint == NULL) {
		endpoint = g_new0(bp_endpoint_t, 1);
		endpoint->refs = 1;
		endpoint->name = g_strdup(name);
		endpoint->url = g_strdup(url);
		bp_limiter_init_bounds(&endpoint->limiter, pool->gateways,
		    pool->slots, pool->connections);
		g_ptr_array_add(pool->endpoints, endpoint);
		pool->scratch =
		    g_renew(uint32_t, pool->scratch, 2 * pool->endpoints->len);
	}
	g_free(endpoint->zone);
	endpoint->zone = g_strdup(zone != NULL ? zone : "");
	endpoint->leaving = leaving;
	endpoint->zone_out = zone_out;
	return endpoint;
}

/* Removes an endpoint from the pool; its requests in flight may finish. */
void
bp_pool_remove(bp_pool_t *pool, bp_endpoint_t *endpoint)
{
	if (!g_ptr_array_remove(pool->endpoints, endpoint))
		return;
	endpoint->removed = true;
	bp_endpoint_unref(endpoint);
}

/* Returns the endpoint at an index below bp_pool_size. */
bp_endpoint_t *
bp_pool_at(const bp_pool_t *pool, size_t index)
{
	return g_ptr_array_index(pool->endpoints, index);
}

/* Returns the number of endpoints, including those that are leaving. */
size_t
bp_pool_size(const bp_pool_t *pool)
{
	return pool->endpoints->len;
}

/* Returns whether the endpoint may get new requests, regardless of health. */
bool
bp_endpoint_in_service(const bp_endpoint_t *endpoint)
{
	return !endpoint->leaving && !endpoint->zone_out && !endpoint->removed;
}

/* Returns the number of endpoints in service that are not healthy. */
uint32_t
bp_pool_ejected(const bp_pool_t *pool)
{
	uint32_t count = 0;
	size_t i;

	for (i = 0; i < bp_pool_size(pool); i++) {
		const bp_endpoint_t *endpoint = bp_pool_at(pool, i);

		if (bp_endpoint_in_service(endpoint) &&
		    endpoint->health.state != BP_HEALTH_LIVE)
			count++;
	}
	return count;
}

/* Returns the sum of all limits; an ejected or probed endpoint counts as 1. */
uint32_t
bp_pool_limit(const bp_pool_t *pool)
{
	uint32_t limit = 0;
	size_t i;

	for (i = 0; i < bp_pool_size(pool); i++) {
		const bp_endpoint_t *endpoint = bp_pool_at(pool, i);

		if (!bp_endpoint_in_service(endpoint))
			continue;
		limit += endpoint->health.state == BP_HEALTH_LIVE
		    ? bp_limiter_limit(&endpoint->limiter)
		    : 1;
	}
	return limit;
}

/* Returns the number of requests in flight to endpoints in service. */
uint32_t
bp_pool_in_flight(const bp_pool_t *pool)
{
	uint32_t in_flight = 0;
	size_t i;

	for (i = 0; i < bp_pool_size(pool); i++) {
		const bp_endpoint_t *endpoint = bp_pool_at(pool, i);

		if (bp_endpoint_in_service(endpoint))
			in_flight += endpoint->in_flight;
	}
	return in_flight;
}

/*
 * Returns the latency of the service without queueing: the lowest mean of the
 * recent windows, 0 before the first. Means of many requests are used,
 * since a single fast request does not represent the usual mix.
 */
double
bp_pool_base_us(const bp_pool_t *pool)
{
	uint32_t n = MIN(pool->n_windows, BP_POOL_WINDOWS);
	double base_us = 0;
	uint32_t i;

	for (i = 0; i < n; i++) {
		if (base_us == 0 || pool->windows_us[i] < base_us)
			base_us = pool->windows_us[i];
	}
	return base_us;
}

/* Returns whether the endpoint can take one more request now. */
bool
bp_endpoint_may_send(bp_endpoint_t *endpoint, int64_t now_us, bool idempotent)
{
	if (!bp_endpoint_in_service(endpoint) ||
	    endpoint->in_flight >= bp_limiter_limit(&endpoint->limiter))
		return false;
	return bp_health_may_send(
	    &endpoint->health, endpoint->in_flight, now_us, idempotent);
}

/*
 * Returns the expected latency. An endpoint with a high estimate gets few new
 * samples; the estimate therefore decays to the mean of the pool.
 */
double
bp_endpoint_latency_us(
    const bp_pool_t *pool, const bp_endpoint_t *endpoint, int64_t now_us)
{
	double age_us;

	if (endpoint->latency_us == 0)
		return pool->latency_us;
	age_us = (double)(now_us - endpoint->latency_at_us);
	if (age_us < LATENCY_DECAY_US / 100)
		return endpoint->latency_us;
	return pool->latency_us +
	    (endpoint->latency_us - pool->latency_us) *
	    exp(-age_us / LATENCY_DECAY_US);
}

/* Counts a request as in flight to the endpoint. */
void
bp_endpoint_begin(bp_endpoint_t *endpoint)
{
	endpoint->in_flight++;
	bp_endpoint_ref(endpoint);
}

static void
add_to_window(bp_pool_t *pool, double latency_us, int64_t now_us)
{
	pool->window_sum_us += latency_us;
	pool->window_count++;
	if (now_us - pool->window_start_us < WINDOW_US ||
	    pool->window_count < WINDOW_MIN_COUNT)
		return;
	pool->windows_us[pool->n_windows++ % BP_POOL_WINDOWS] =
	    pool->window_sum_us / pool->window_count;
	pool->window_sum_us = 0;
	pool->window_count = 0;
	pool->window_start_us = now_us;
}

static void
update_average(double *value, double sample, double weight)
{
	*value = *value == 0 ? sample : *value + (sample - *value) * weight;
}

/*
 * Returns whether the pool can do without one more endpoint. The share is
 * rounded down to whole percents, so that 33 admits one endpoint of three.
 */
static bool
can_eject_one_more(const bp_pool_t *pool)
{
	uint32_t in_service = 0;
	size_t i;

	if (pool->failure_rate >= EJECTION_MAX_POOL_FAILURE_RATE ||
	    pool->eject_max_percent == 0)
		return false;
	for (i = 0; i < bp_pool_size(pool); i++) {
		if (bp_endpoint_in_service(bp_pool_at(pool, i)))
			in_service++;
	}
	return in_service > 0 &&
	    (bp_pool_ejected(pool) + 1) * PERCENT / in_service <=
	    pool->eject_max_percent;
}

/*
 * Returns the latency to record for a failure. The measured time is not used as
 * it is: a fast failure would make the endpoint look fast. If the endpoint may
 * not be ejected, a penalty replaces the ejection.
 */
static double
failure_latency_us(const bp_pool_t *pool, double estimate_us, double latency_us,
    bool may_eject)
{
	if (may_eject)
		return MAX(estimate_us, latency_us);
	latency_us = MAX(latency_us, FAILURE_MIN_LATENCY_US);
	return MAX(latency_us, FAILURE_LATENCY_FACTOR * pool->latency_us);
}

static void
add_latency(bp_pool_t *pool, bp_endpoint_t *endpoint, bp_result_t result,
    double latency_us, bool may_eject, int64_t now_us)
{
	double estimate_us = bp_endpoint_latency_us(pool, endpoint, now_us);

	if (result == BP_RESULT_OK) {
		update_average(
		    &pool->latency_us, latency_us, POOL_LATENCY_SAMPLE_WEIGHT);
		add_to_window(pool, latency_us, now_us);
	} else {
		latency_us = failure_latency_us(
		    pool, estimate_us, latency_us, may_eject);
	}
	endpoint->latency_us = estimate_us;
	update_average(
	    &endpoint->latency_us, latency_us, LATENCY_SAMPLE_WEIGHT);
	endpoint->latency_at_us = now_us;
}

static void
add_result(bp_pool_t *pool, bp_endpoint_t *endpoint, bp_result_t result,
    int64_t latency_us, int64_t now_us)
{
	bool may_eject = result != BP_RESULT_OK && can_eject_one_more(pool);
	bp_limiter_sample_t sample = {
	    .now_us = now_us,
	    /* A failure is no sign of free capacity. */
	    .in_flight = result == BP_RESULT_OK ? endpoint->in_flight : 0,
	    .overloaded = result == BP_RESULT_OVERLOADED,
	};

	add_latency(
	    pool, endpoint, result, (double)latency_us, may_eject, now_us);
	sample.latency_us = endpoint->latency_us;
	sample.base_us = bp_pool_base_us(pool);
	bp_limiter_add(&endpoint->limiter, &sample);
	if (bp_health_add(&endpoint->health, result, may_eject, now_us))
		pool->ejections++;
	pool->failure_rate += ((result != BP_RESULT_OK) - pool->failure_rate) *
	    FAILURE_SAMPLE_WEIGHT;
}

/*
 * Ends a request in flight and updates latency, limit and health from its
 * result. An endpoint that was removed from the pool is freed with its last
 * request; pool may be NULL then.
 */
void
bp_endpoint_end(bp_pool_t *pool, bp_endpoint_t *endpoint, bp_result_t result,
    int64_t latency_us, int64_t now_us)
{
	if (pool != NULL && !endpoint->removed && result != BP_RESULT_ABANDONED)
		add_result(pool, endpoint, result, latency_us, now_us);
	endpoint->in_flight--;
	bp_endpoint_unref(endpoint);
}
