#ifndef BP_GATEWAY_UPSTREAM_H
#define BP_GATEWAY_UPSTREAM_H

#include "bulrushpost/endpoint.h"
#include "bulrushpost/error.h"

#include <libsoup/soup.h>

#define BP_MAX_ANSWER_BYTES (8 * 1024 * 1024)
#define BP_HEADER_REQUEST_ID "X-Request-Id"
#define BP_HEADER_DEADLINE "X-Deadline-Ms"

/* HTTP client with the connections to executors. */
typedef struct bp_upstream bp_upstream_t;

/* One HTTP request to one executor. */
typedef struct bp_attempt bp_attempt_t;

typedef struct {
	const char *url; /* of the executor */
	const char *method;
	const char *path; /* percent-encoded */
	const char *query; /* percent-encoded, or NULL */
	SoupMessageHeaders *headers; /* of the caller */
	GBytes *body; /* or NULL */
	const char *id; /* request id, which the executor must echo */
	int64_t left_ms; /* remaining time to the deadline */
	bool idempotent;
} bp_attempt_options_t;

/* kind is BP_OK for a complete response that belongs to the request. */
typedef struct {
	int kind;
	bp_result_t result;
	const char *message; /* why it failed */
	guint status;
	SoupMessageHeaders *headers;
	GByteArray *body;
} bp_attempt_answer_t;

typedef struct {
	/* Called once, unless the attempt is cancelled. */
	void (*done)(const bp_attempt_answer_t *answer, void *data);
	/* Returns whether libsoup may resend on a new connection. */
	bool (*may_restart)(void *data);
	void *data;
} bp_attempt_handler_t;

/* connections is the limit of one executor for all gateways together. */
bp_upstream_t *bp_upstream_new(uint32_t gateways, uint32_t connections);
/* Attempts in progress may still finish. */
void bp_upstream_unref(bp_upstream_t *upstream);
bp_attempt_t *bp_attempt_start(bp_upstream_t *upstream,
    const bp_attempt_options_t *options, const bp_attempt_handler_t *handler);
/* Closes the connection; the handler is no longer called. */
void bp_attempt_cancel(bp_attempt_t *attempt);
/* Returns whether any byte may have reached the executor. */
bool bp_attempt_written(const bp_attempt_t *attempt);

#endif
