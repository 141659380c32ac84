#include "gateway/exchange.h"

static void
respond_known_key(bp_exchange_t *exchange, const bp_key_entry_t *entry)
{
	if (entry->in_flight)
		bp_answer_error(exchange, BP_ECONFLICT, BP_OUTCOME_NOT_KNOWN,
		    "a request with this key is in flight on this node, %s",
		    exchange->gateway->options.node);
	else if (entry->http_status == 0)
		bp_answer_error(exchange, BP_ECONFLICT, entry->outcome,
		    "this node, %s, had a request with this key that ended "
		    "without a response",
		    exchange->gateway->options.node);
	else
		bp_answer_error(exchange, BP_ECONFLICT, entry->outcome,
		    "this node, %s, responded to a request with this key with "
		    "status %u",
		    exchange->gateway->options.node, entry->http_status);
}

static void
respond_claimed_key(bp_exchange_t *exchange, const bp_key_holder_t *holder)
{
	const char *node =
	    holder != NULL && holder->node != NULL ? holder->node : "(unknown)";
	bp_outcome_t outcome =
	    holder != NULL ? holder->outcome : BP_OUTCOME_NOT_KNOWN;

	if (holder != NULL && holder->http_status != 0)
		bp_answer_error(exchange, BP_ECONFLICT, outcome,
		    "the key was claimed by node %s, which responded to its "
		    "request with status %u",
		    node, holder->http_status);
	else
		bp_answer_error(exchange, BP_ECONFLICT, outcome,
		    "the key was claimed by node %s%s", node,
		    holder != NULL && holder->in_flight
			? ", where its request is in flight"
			: "");
}

static void
handle_claim_result(bp_exchange_t *exchange, bp_claim_result_t result,
    const bp_key_holder_t *holder)
{
	bp_keytable_t *keys = exchange->keys;
	const char *service = exchange->request.service;
	const char *key = exchange->request.key;

	switch (result) {
	case BP_CLAIM_NOW:
		exchange->claimed = true;
		bp_dispatch_admit(exchange);
		return;
	case BP_CLAIM_TAKEN:
		bp_keytable_drop(keys, service, key);
		respond_claimed_key(exchange, holder);
		return;
	case BP_CLAIM_LOG_UNAVAILABLE:
		bp_keytable_drop(keys, service, key);
		bp_answer_error(exchange, BP_ELOGDOWN, BP_OUTCOME_NOT_RUN,
		    "the key could not be claimed; the request was not sent");
		return;
	case BP_CLAIM_EXPIRED:
		bp_keytable_drop(keys, service, key);
		bp_answer_error(exchange, BP_EEXPIRED, BP_OUTCOME_NOT_RUN,
		    "the key was issued too long ago to be claimed in the "
		    "log; the request was not sent");
		return;
	case BP_CLAIM_NOT_KNOWN:
		break;
	}
	bp_keytable_end(keys, service, key, BP_OUTCOME_NOT_KNOWN, 0);
	bp_answer_error(exchange, BP_EUNKNOWN, BP_OUTCOME_NOT_KNOWN,
	    "it is not known whether the key was claimed; this node did not "
	    "send the request");
}

/*
 * Records the result of a claim whose exchange has ended. The claim may be in
 * effect, but the request was not dispatched.
 */
static void
record_late_result(const bp_exchange_t *exchange, bp_claim_result_t result)
{
	bp_keytable_t *keys = exchange->keys;
	const char *service = exchange->request.service;
	const char *key = exchange->request.key;

	if (result == BP_CLAIM_NOW)
		bp_keytable_end(keys, service, key, BP_OUTCOME_NOT_RUN, 0);
	else if (result == BP_CLAIM_NOT_KNOWN)
		bp_keytable_end(keys, service, key, BP_OUTCOME_NOT_KNOWN, 0);
	else
		bp_keytable_drop(keys, service, key);
}

static void
on_claimed(bp_claim_result_t result, const bp_key_holder_t *holder, void *data)
{
	bp_exchange_t *exchange = data;

	exchange->claiming = false;
	if (exchange->gateway == NULL || exchange->answered)
		record_late_result(exchange, result);
	else
		handle_claim_result(exchange, result, holder);
	g_clear_pointer(&exchange->keys, bp_keytable_unref);
	bp_exchange_unref(exchange);
}

/* Returns what this gateway knows of a key; see the header. */
bool
bp_gateway_key_outcome(bp_gateway_t *gateway, const char *service,
    const char *key, bp_key_holder_t *out)
{
	const bp_key_entry_t *entry = bp_keytable_find(gateway->keys, service,
	    key, bp_clock_mono_ms(gateway->options.clock));

	if (entry == NULL)
		return false;
	out->node = gateway->options.node;
	out->in_flight = entry->in_flight;
	out->outcome = entry->in_flight ? BP_OUTCOME_NOT_KNOWN : entry->outcome;
	out->http_status = entry->in_flight ? 0 : entry->http_status;
	return true;
}

/*
 * Claims the idempotency key of a request. If this gateway knows the key, it
 * responds with a conflict at once; otherwise the log decides.
 */
void
bp_claim_start(bp_exchange_t *exchange)
{
	bp_gateway_t *gateway = exchange->gateway;
	const bp_key_claimer_t *claimer = gateway->options.claimer;
	const bp_request_t *request = &exchange->request;
	int64_t now_ms = bp_clock_mono_ms(gateway->options.clock);
	const bp_key_entry_t *entry;

	entry = bp_keytable_find(
	    gateway->keys, request->service, request->key, now_ms);
	if (entry != NULL) {
		respond_known_key(exchange, entry);
		return;
	}
	if (claimer == NULL) {
		bp_answer_error(exchange, BP_ELOGDOWN, BP_OUTCOME_NOT_RUN,
		    "this node has no log to claim the key in");
		return;
	}
	bp_keytable_begin(
	    gateway->keys, request->service, request->key, now_ms);
	exchange->claiming = true;
	exchange->keys = bp_keytable_ref(gateway->keys);
	claimer->claim(claimer, request->service, request->key,
	    request->key_issued_s, on_claimed, bp_exchange_ref(exchange));
}
