#ifndef BULRUSHPOST_ENDPOINT_H
#define BULRUSHPOST_ENDPOINT_H

#include "bulrushpost/limiter.h"

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#define BP_POOL_WINDOWS 30
/* Default limit of ejected endpoints, as a share of those in service. */
#define BP_EJECT_MAX_PERCENT 33

/* How one attempt at an endpoint ended. */
typedef enum {
	BP_RESULT_OK,
	BP_RESULT_FAILED, /* 5xx; truncated, mismatched or late response */
	BP_RESULT_OVERLOADED, /* status 503 */
	BP_RESULT_REFUSED, /* no connection; nothing was written */
	BP_RESULT_ABANDONED /* cancelled or too large; has no effect */
} bp_result_t;

typedef enum {
	BP_HEALTH_LIVE,
	BP_HEALTH_EJECTED, /* gets no requests until until_us */
	BP_HEALTH_PROBATION /* gets one request at a time */
} bp_health_state_t;

typedef struct {
	bp_health_state_t state;
	uint32_t failures_in_row;
	uint32_t successes_in_row;
	uint32_t ejections; /* consecutive, for the backoff */
	int64_t until_us; /* end of the ejection */
} bp_health_t;

/* One gateway's view of an executor. */
typedef struct {
	char *name;
	char *url;
	char *zone;
	bool leaving;
	bool zone_out;
	bool removed; /* from the pool; requests in flight finish */
	uint32_t in_flight;
	double latency_us; /* moving average; 0 before the first sample */
	int64_t latency_at_us; /* time of the latest sample */
	bp_limiter_t limiter;
	bp_health_t health;
	uint32_t refs;
} bp_endpoint_t;

/* One gateway's view of all endpoints of a service. */
typedef struct {
	GPtrArray *endpoints; /* bp_endpoint_t */
	uint32_t *scratch; /* two indices for each endpoint */
	uint32_t gateways;
	uint32_t slots; /* requests in flight per endpoint, all gateways */
	uint32_t connections; /* per endpoint, all gateways */
	uint32_t eject_max_percent;
	double latency_us; /* moving average of all endpoints; 0 unknown */
	double failure_rate; /* moving average, 0 to 1 */
	uint64_t ejections;
	double window_sum_us;
	uint32_t window_count;
	int64_t window_start_us;
	double windows_us[BP_POOL_WINDOWS]; /* mean latency of past windows */
	uint32_t n_windows;
} bp_pool_t;

bp_pool_t *bp_pool_new(uint32_t gateways);
/* slots and connections apply to endpoints that are added afterwards. */
void bp_pool_set_limits(bp_pool_t *pool, uint32_t slots, uint32_t connections,
    uint32_t eject_max_percent);
void bp_pool_free(bp_pool_t *pool);
void bp_pool_set_gateways(bp_pool_t *pool, uint32_t gateways);
/* Finds or adds the endpoint of a name and url; sets its zone and state. */
bp_endpoint_t *bp_pool_upsert(bp_pool_t *pool, const char *name,
    const char *url, const char *zone, bool leaving, bool zone_out);
void bp_pool_remove(bp_pool_t *pool, bp_endpoint_t *endpoint);
bp_endpoint_t *bp_pool_at(const bp_pool_t *pool, size_t index);
size_t bp_pool_size(const bp_pool_t *pool);
uint32_t bp_pool_ejected(const bp_pool_t *pool);
/* Returns the limit of requests in flight to all endpoints in service. */
uint32_t bp_pool_limit(const bp_pool_t *pool);
uint32_t bp_pool_in_flight(const bp_pool_t *pool);
double bp_pool_base_us(const bp_pool_t *pool);

bp_endpoint_t *bp_endpoint_ref(bp_endpoint_t *endpoint);
void bp_endpoint_unref(bp_endpoint_t *endpoint);
bool bp_endpoint_in_service(const bp_endpoint_t *endpoint);
bool bp_endpoint_may_send(
    bp_endpoint_t *endpoint, int64_t now_us, bool idempotent);
double bp_endpoint_latency_us(
    const bp_pool_t *pool, const bp_endpoint_t *endpoint, int64_t now_us);

/* Each begin needs exactly one end, also after the endpoint was removed. */
void bp_endpoint_begin(bp_endpoint_t *endpoint);
void bp_endpoint_end(bp_pool_t *pool, bp_endpoint_t *endpoint,
    bp_result_t result, int64_t latency_us, int64_t now_us);

#endif
