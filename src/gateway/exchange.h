#ifndef BP_GATEWAY_EXCHANGE_H
#define BP_GATEWAY_EXCHANGE_H

#include "bulrushpost/arena.h"
#include "bulrushpost/balancer.h"
#include "bulrushpost/gateway.h"
#include "bulrushpost/retry.h"
#include "bulrushpost/shed.h"
#include "gateway/keytable.h"
#include "gateway/request.h"
#include "gateway/upstream.h"

#include <libsoup/soup.h>

typedef struct bp_exchange bp_exchange_t;

/* A service, its endpoints and the requests that are queued for them. */
typedef struct {
	char *name;
	bp_pool_t *pool;
	GQueue queues[BP_SHED_RANKS]; /* bp_exchange_t */
} bp_service_t;

struct bp_gateway {
	bp_gateway_options_t options;
	SoupServer *server;
	bp_upstream_t *upstream;
	uint16_t port;
	bp_balancer_t balancer;
	bp_retry_t retry;
	bp_keytable_t *keys;
	GHashTable *services; /* name to bp_service_t */
	GHashTable *exchanges; /* SoupServerMessage to bp_exchange_t */
	char *id_prefix;
	uint64_t last_id;
	uint64_t body_bytes; /* of all requests together */
	guint queue_timer;
	bool draining;
	bool ready; /* the endpoints have been set */
	bp_gateway_drained_t drained;
	void *drained_data;
	bp_gateway_counters_t counters;
};

/* One request of a caller, from its headers to the end of its response. */
struct bp_exchange {
	bp_gateway_t *gateway; /* NULL after the end */
	SoupServerMessage *message;
	bp_arena_t *arena;
	const char *id;
	bp_request_t request;
	GBytes *body;
	uint64_t body_bytes; /* as added to the total of the gateway */
	uint64_t received_bytes;
	bp_service_t *service;
	uint32_t rank;
	GList *queue_link;
	int64_t queued_us;
	bp_attempt_t *attempt;
	bp_endpoint_t *endpoint;
	int64_t sent_us;
	bp_choice_t choice; /* endpoints tried so far */
	uint32_t attempts;
	bool written; /* some attempt may have reached an executor */
	bool claiming;
	bp_keytable_t *keys; /* while claiming */
	bool claimed;
	bool body_read;
	bool answered;
	guint timer;
	GSource *watch;
	uint32_t refs;
};

/* exchange.c */
void bp_exchange_headers(bp_gateway_t *gateway, SoupServerMessage *message);
void bp_exchange_body(bp_exchange_t *exchange);
void bp_exchange_end(bp_exchange_t *exchange);
bp_exchange_t *bp_exchange_ref(bp_exchange_t *exchange);
void bp_exchange_unref(bp_exchange_t *exchange);
int64_t bp_exchange_left_ms(const bp_exchange_t *exchange);
/* Returns the most specific outcome that is certain without a response. */
bp_outcome_t bp_exchange_outcome(const bp_exchange_t *exchange);
/* Adds an event to the timeline, under the id of the request. */
void bp_exchange_event(const bp_exchange_t *exchange, const char *kind,
    const char *format, ...) G_GNUC_PRINTF(3, 4);

/* answer.c: each call responds, unless a response was set before. */
void bp_answer_error(bp_exchange_t *exchange, int kind, bp_outcome_t outcome,
    const char *format, ...) G_GNUC_PRINTF(4, 5);
void bp_answer_pass(bp_exchange_t *exchange, const bp_attempt_answer_t *answer);
/* not_ready_reason is NULL while the gateway accepts requests. */
void bp_answer_health(SoupServerMessage *message, const char *not_ready_reason);
void bp_answer_set_default(SoupServerMessage *message);

/* claim.c: calls bp_dispatch_admit once the key is claimed. */
void bp_claim_start(bp_exchange_t *exchange);

/* dispatch.c */
void bp_dispatch_admit(bp_exchange_t *exchange);
/* Removes the exchange from its queue and cancels its attempt. */
void bp_dispatch_forget(bp_exchange_t *exchange);
void bp_dispatch_pump(bp_gateway_t *gateway, bp_service_t *service);

/* gateway.c */
void bp_gateway_exchange_ended(bp_gateway_t *gateway);

#endif
