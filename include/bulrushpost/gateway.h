#ifndef BULRUSHPOST_GATEWAY_H
#define BULRUSHPOST_GATEWAY_H

#include "bulrushpost/clock.h"
#include "bulrushpost/error.h"
#include "bulrushpost/logline.h"
#include "bulrushpost/timeline.h"

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* The HTTP service between callers and executors. */
typedef struct bp_gateway bp_gateway_t;

/*
 * Ends the text of an event when the caller sent an X-Request-Id of its own;
 * the caller's id follows.
 */
#define BP_CALLER_ID_MARK "; id of the caller: "
/* A longer id would let callers fill the timeline. */
#define BP_CALLER_ID_MAX_BYTES 128

typedef enum {
	BP_CLAIM_NOW = 1, /* claimed by this request */
	BP_CLAIM_TAKEN, /* claimed earlier; the holder tells by whom */
	BP_CLAIM_LOG_UNAVAILABLE, /* proven not claimed */
	BP_CLAIM_EXPIRED, /* too old to be claimed; proven not claimed */
	BP_CLAIM_NOT_KNOWN /* may be claimed */
} bp_claim_result_t;

/* What is known about the request that claimed a key. */
typedef struct {
	const char *node; /* that claimed it; NULL when it is not known */
	bool in_flight;
	bp_outcome_t outcome;
	uint32_t http_status; /* of the answer given; 0 when none is known */
} bp_key_holder_t;

/* holder is set for BP_CLAIM_TAKEN only and valid during the call. */
typedef void (*bp_claim_done_t)(
    bp_claim_result_t result, const bp_key_holder_t *holder, void *data);

/*
 * Claims idempotency keys. claim calls done exactly once, also from within
 * claim itself, and also after the gateway was freed.
 */
typedef struct bp_key_claimer {
	void (*claim)(const struct bp_key_claimer *claimer, const char *service,
	    const char *key, int64_t issued_s, bp_claim_done_t done,
	    void *data);
} bp_key_claimer_t;

typedef struct {
	const char *name;
	const char *url; /* http://host:port */
	const char *service; /* first path segment of its requests */
	const char *zone;
	bool leaving;
	bool zone_out; /* its zone was taken out of service */
} bp_gateway_endpoint_t;

typedef struct {
	const bp_clock_t *clock;
	bp_logger_t *logger;
	bp_timeline_t *timeline; /* of requests that did not go well; or NULL */
	const bp_key_claimer_t *claimer; /* NULL refuses requests with a key */
	const char *node; /* own name, for request ids */
	const char *zone; /* own availability zone */
	const char *address; /* IP address to listen on */
	uint16_t port; /* 0 for any */
	uint32_t gateways; /* number known, including this one */
	uint32_t default_deadline_ms; /* of requests without X-Deadline-Ms */
	uint32_t body_bytes; /* largest body of a request */
	uint32_t header_bytes; /* largest path and headers of a request */
	uint32_t endpoint_in_flight; /* requests, over all gateways */
	uint32_t endpoint_connections; /* of one endpoint, likewise */
	uint32_t retry_budget_percent; /* of all requests */
	uint32_t eject_max_percent; /* of the endpoints of a service */
	uint64_t seed; /* of the random choices; 0 draws one */
} bp_gateway_options_t;

typedef struct {
	uint64_t requests; /* all, including refused ones */
	uint64_t passed; /* answers of executors passed on */
	uint64_t refused_invalid;
	uint64_t refused_too_large;
	uint64_t refused_draining;
	uint64_t refused_no_endpoint;
	uint64_t refused_log_unavailable;
	uint64_t refused_key_expired;
	uint64_t key_conflicts;
	uint64_t shed_urgent;
	uint64_t shed_service;
	uint64_t shed_batch;
	uint64_t deadline_exceeded;
	uint64_t retries;
	uint64_t retries_denied; /* no budget left */
	uint64_t refused_connections; /* by executors */
	uint64_t mismatched; /* answers with a wrong echo */
	uint64_t truncated; /* answers shorter than announced */
	uint64_t too_large_answers;
	uint64_t cancelled; /* by the caller */
	uint64_t ejections;
	uint32_t in_flight; /* now */
	uint32_t queued; /* now, waiting for an endpoint */
	uint32_t endpoints; /* now */
	uint32_t endpoints_ejected; /* now */
} bp_gateway_counters_t;

typedef void (*bp_gateway_drained_t)(bp_gateway_t *gateway, void *data);

int bp_gateway_options_init(bp_gateway_options_t *options);
/* Listens when it returns 0; strings in options are copied. */
int bp_gateway_new(
    bp_gateway_t **out, const bp_gateway_options_t *options, bp_error_t *err);
/* Closes all connections; requests in flight are lost unless drained. */
void bp_gateway_free(bp_gateway_t *gateway);
/*
 * Fills out what this gateway remembers of the request with a key; returns
 * false when it remembers none.
 */
bool bp_gateway_key_outcome(bp_gateway_t *gateway, const char *service,
    const char *key, bp_key_holder_t *out);
uint16_t bp_gateway_port(const bp_gateway_t *gateway);
void bp_gateway_set_gateways(bp_gateway_t *gateway, uint32_t gateways);
/*
 * Replaces the set of endpoints, which is copied. An endpoint that stays
 * (same name and url) keeps its health and load. One that is not valid is
 * left out and reported as BP_EINVALID; the others take effect.
 */
int bp_gateway_set_endpoints(bp_gateway_t *gateway,
    const bp_gateway_endpoint_t *endpoints, size_t count, bp_error_t *err);
/*
 * Refuses new requests and calls done once nothing is in flight, possibly
 * from within this call. done must not free the gateway.
 */
void bp_gateway_drain(
    bp_gateway_t *gateway, bp_gateway_drained_t done, void *data);
void bp_gateway_counters(
    const bp_gateway_t *gateway, bp_gateway_counters_t *out);

#endif
