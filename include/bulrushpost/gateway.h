#ifndef BULRUSHPOST_GATEWAY_H
#define BULRUSHPOST_GATEWAY_H

#include "bulrushpost/clock.h"
#include "bulrushpost/error.h"
#include "bulrushpost/logline.h"
#include "bulrushpost/timeline.h"

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* HTTP server that forwards requests of callers to executors. */
typedef struct bp_gateway bp_gateway_t;

/*
 * Precedes the X-Request-Id of the caller, if it sent one, at the end of the
 * text of an event.
 */
#define BP_CALLER_ID_MARK "; id of the caller: "
/* Longer ids are left out, since callers could fill the timeline with them. */
#define BP_CALLER_ID_MAX_BYTES 128

typedef enum {
	BP_CLAIM_NOW = 1, /* claimed by this request */
	BP_CLAIM_TAKEN, /* claimed before, by the holder */
	BP_CLAIM_LOG_UNAVAILABLE, /* certainly not claimed */
	BP_CLAIM_EXPIRED, /* key too old; certainly not claimed */
	BP_CLAIM_NOT_KNOWN /* may be claimed */
} bp_claim_result_t;

/* The known state of the request that claimed a key. */
typedef struct {
	const char *node; /* that claimed the key; NULL if unknown */
	bool in_flight;
	bp_outcome_t outcome;
	uint32_t http_status; /* of the response; 0 if unknown */
} bp_key_holder_t;

/* holder is set for BP_CLAIM_TAKEN only and is valid during the call. */
typedef void (*bp_claim_done_t)(
    bp_claim_result_t result, const bp_key_holder_t *holder, void *data);

/*
 * Claims idempotency keys. claim calls done exactly once, possibly from within
 * claim itself, and possibly after the gateway was freed. issued_s is Unix
 * time.
 */
typedef struct bp_key_claimer {
	void (*claim)(const struct bp_key_claimer *claimer, const char *service,
	    const char *key, int64_t issued_s, bp_claim_done_t done,
	    void *data);
} bp_key_claimer_t;

typedef struct {
	const char *name;
	const char *url; /* http://host:port */
	const char *service; /* first path segment of requests to it */
	const char *zone;
	bool leaving; /* gets no new requests */
	bool zone_out; /* its zone is out of service */
} bp_gateway_endpoint_t;

typedef struct {
	const bp_clock_t *clock;
	bp_logger_t *logger;
	bp_timeline_t *timeline; /* of failed or retried requests; or NULL */
	const bp_key_claimer_t *claimer; /* NULL refuses requests with keys */
	const char *node; /* name of this node, for request ids */
	const char *zone; /* availability zone of this node */
	const char *address; /* IP address to listen on */
	uint16_t port; /* 0 for any */
	uint32_t gateways; /* number of gateways, including this one */
	uint32_t default_deadline_ms; /* of requests without X-Deadline-Ms */
	uint32_t body_bytes; /* largest body of a request */
	uint32_t header_bytes; /* largest path and headers of a request */
	uint32_t endpoint_in_flight; /* per endpoint, all gateways */
	uint32_t endpoint_connections; /* per endpoint, all gateways */
	uint32_t retry_budget_percent; /* of all requests */
	uint32_t eject_max_percent; /* of the endpoints of a service */
	uint64_t seed; /* of random choices; 0 selects a random seed */
} bp_gateway_options_t;

typedef struct {
	uint64_t requests; /* all, including refused ones */
	uint64_t passed; /* responses of executors that were forwarded */
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
	uint64_t retries_denied; /* for lack of retry budget */
	uint64_t refused_connections; /* by executors */
	uint64_t mismatched; /* responses without the right request id */
	uint64_t truncated; /* incomplete responses */
	uint64_t too_large_answers;
	uint64_t cancelled; /* by the caller */
	uint64_t ejections;
	uint32_t in_flight; /* now */
	uint32_t queued; /* now, for lack of an endpoint */
	uint32_t endpoints; /* now */
	uint32_t endpoints_ejected; /* now */
} bp_gateway_counters_t;

typedef void (*bp_gateway_drained_t)(bp_gateway_t *gateway, void *data);

int bp_gateway_options_init(bp_gateway_options_t *options);
/* Listens once it returns 0; strings in options are copied. */
int bp_gateway_new(
    bp_gateway_t **out, const bp_gateway_options_t *options, bp_error_t *err);
/* Closes all connections; drain first to finish requests in flight. */
void bp_gateway_free(bp_gateway_t *gateway);
/*
 * Fills out with the state of the request with a key; returns false if this
 * gateway has no entry of the key. out->node is owned by the gateway.
 */
bool bp_gateway_key_outcome(bp_gateway_t *gateway, const char *service,
    const char *key, bp_key_holder_t *out);
uint16_t bp_gateway_port(const bp_gateway_t *gateway);
void bp_gateway_set_gateways(bp_gateway_t *gateway, uint32_t gateways);
/*
 * Replaces the set of endpoints, which is copied. An endpoint with the same
 * name and url as before keeps its health and load. Invalid endpoints are
 * skipped and reported as BP_EINVALID; the others take effect.
 */
int bp_gateway_set_endpoints(bp_gateway_t *gateway,
    const bp_gateway_endpoint_t *endpoints, size_t count, bp_error_t *err);
/*
 * Refuses new requests and calls done once no request is in flight, possibly
 * from within this call. done must not free the gateway.
 */
void bp_gateway_drain(
    bp_gateway_t *gateway, bp_gateway_drained_t done, void *data);
void bp_gateway_counters(
    const bp_gateway_t *gateway, bp_gateway_counters_t *out);

#endif
