#include "gateway/exchange.h"

#define US_PER_MS 1000
#define QUEUE_CHECK_INTERVAL_MS 20
/*
 * A cancelled attempt that ran for longer than this multiple of the mean
 * latency counts as a failure of its endpoint.
 */
#define HANG_FACTOR 4.0
#define HANG_MIN_US 1000000.0

static void start_attempt(bp_exchange_t *exchange, bp_endpoint_t *endpoint);

static int64_t
now_us(const bp_gateway_t *gateway)
{
	return bp_clock_mono_us(gateway->options.clock);
}

static void
get_load(const bp_service_t *service, bp_shed_load_t *out)
{
	uint32_t rank;

	out->in_flight = bp_pool_in_flight(service->pool);
	out->limit = bp_pool_limit(service->pool);
	out->latency_us = service->pool->latency_us;
	for (rank = 0; rank < BP_SHED_RANKS; rank++)
		out->queued[rank] = service->queues[rank].length;
}

static uint32_t
count_in_service(const bp_pool_t *pool)
{
	uint32_t count = 0;
	size_t i;

	for (i = 0; i < bp_pool_size(pool); i++) {
		if (bp_endpoint_in_service(bp_pool_at(pool, i)))
			count++;
	}
	return count;
}

static bp_endpoint_t *
choose_endpoint(bp_exchange_t *exchange)
{
	bp_gateway_t *gateway = exchange->gateway;

	exchange->choice.now_us = now_us(gateway);
	exchange->choice.idempotent = exchange->request.idempotent;
	return bp_balancer_choose(
	    &gateway->balancer, exchange->service->pool, &exchange->choice);
}

static void
leave_queue(bp_exchange_t *exchange)
{
	if (exchange->queue_link == NULL)
		return;
	g_queue_delete_link(
	    &exchange->service->queues[exchange->rank], exchange->queue_link);
	exchange->queue_link = NULL;
	exchange->gateway->counters.queued--;
}

static void
expire_queue(bp_gateway_t *gateway, GQueue *queue)
{
	GList *link = queue->head;

	while (link != NULL) {
		bp_exchange_t *exchange = link->data;
		int64_t waited_ms =
		    (now_us(gateway) - exchange->queued_us) / US_PER_MS;

		link = link->next;
		if (waited_ms < bp_shed_max_wait_ms(exchange->rank))
			continue;
		leave_queue(exchange);
		bp_answer_error(exchange, BP_EOVERLOAD,
		    bp_exchange_outcome(exchange),
		    "no endpoint became free within %" G_GINT64_FORMAT " ms",
		    waited_ms);
	}
}

static gboolean
on_queue_timer(gpointer data)
{
	bp_gateway_t *gateway = data;
	GHashTableIter iter;
	gpointer value;
	uint32_t rank;

	g_hash_table_iter_init(&iter, gateway->services);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		bp_service_t *service = value;

		for (rank = 0; rank < BP_SHED_RANKS; rank++)
			expire_queue(gateway, &service->queues[rank]);
		bp_dispatch_pump(gateway, service);
	}
	if (gateway->counters.queued > 0)
		return G_SOURCE_CONTINUE;
	gateway->queue_timer = 0;
	return G_SOURCE_REMOVE;
}

/* Refuses the newest queued request of the lowest class to make room. */
static void
displace_queued(bp_exchange_t *exchange)
{
	bp_service_t *service = exchange->service;
	uint32_t rank;

	for (rank = BP_SHED_RANKS - 1; rank > exchange->rank; rank--) {
		bp_exchange_t *displaced =
		    g_queue_peek_tail(&service->queues[rank]);

		if (displaced == NULL)
			continue;
		leave_queue(displaced);
		bp_answer_error(displaced, BP_EOVERLOAD,
		    bp_exchange_outcome(displaced),
		    "displaced by a request of class %s while %d are queued",
		    bp_shed_rank_name(exchange->rank), BP_SHED_MAX_QUEUED);
		return;
	}
}

/* A retried request has waited before and goes first within its class. */
static void
join_queue(bp_exchange_t *exchange, bool at_front)
{
	bp_gateway_t *gateway = exchange->gateway;
	GQueue *queue = &exchange->service->queues[exchange->rank];

	if (at_front)
		g_queue_push_head(queue, exchange);
	else
		g_queue_push_tail(queue, exchange);
	exchange->queue_link = at_front ? queue->head : queue->tail;
	exchange->queued_us = now_us(gateway);
	gateway->counters.queued++;
	if (gateway->queue_timer == 0)
		gateway->queue_timer = g_timeout_add(
		    QUEUE_CHECK_INTERVAL_MS, on_queue_timer, gateway);
}

/*
 * Sends queued requests, highest class first, while there is capacity. A
 * retry that waits for an untried endpoint does not block other requests.
 */
void
bp_dispatch_pump(bp_gateway_t *gateway, bp_service_t *service)
{
	bp_shed_load_t load;
	uint32_t rank;

	for (rank = 0; rank < BP_SHED_RANKS; rank++) {
		GList *link = service->queues[rank].head;

		while (link != NULL) {
			bp_exchange_t *exchange = link->data;
			bp_endpoint_t *endpoint;

			link = link->next;
			get_load(service, &load);
			if (!bp_shed_may_send(&load, rank))
				break;
			endpoint = choose_endpoint(exchange);
			if (endpoint == NULL && exchange->choice.n_tried == 0)
				break;
			if (endpoint == NULL)
				continue;
			leave_queue(exchange);
			start_attempt(exchange, endpoint);
		}
	}
}

static void
enqueue(bp_exchange_t *exchange, const bp_shed_load_t *load)
{
	uint32_t total = load->queued[0] + load->queued[1] + load->queued[2];

	if (total >= BP_SHED_MAX_QUEUED)
		displace_queued(exchange);
	join_queue(exchange, false);
}

static void
apply_load_decision(bp_exchange_t *exchange)
{
	char reason[BP_SHED_REASON_BYTES];
	bp_endpoint_t *endpoint;
	bp_shed_load_t load;

	get_load(exchange->service, &load);
	switch (bp_shed_decide(
	    &load, exchange->rank, bp_exchange_left_ms(exchange), reason)) {
	case BP_SHED_SEND:
		endpoint = choose_endpoint(exchange);
		if (endpoint != NULL)
			start_attempt(exchange, endpoint);
		else
			enqueue(exchange, &load);
		break;
	case BP_SHED_QUEUE:
		enqueue(exchange, &load);
		break;
	case BP_SHED_REFUSE:
		bp_answer_error(
		    exchange, BP_EOVERLOAD, BP_OUTCOME_NOT_RUN, "%s", reason);
		break;
	}
}

/* Sends, queues or refuses a request whose key, if any, is claimed. */
void
bp_dispatch_admit(bp_exchange_t *exchange)
{
	bp_gateway_t *gateway = exchange->gateway;
	bp_service_t *service =
	    g_hash_table_lookup(gateway->services, exchange->request.service);

	if (service == NULL || bp_pool_size(service->pool) == 0) {
		bp_answer_error(exchange, BP_ENOTFOUND, BP_OUTCOME_NOT_RUN,
		    "no endpoint is known for service %s",
		    exchange->request.service);
		return;
	}
	if (count_in_service(service->pool) == 0) {
		bp_answer_error(exchange, BP_ENOCAPACITY, BP_OUTCOME_NOT_RUN,
		    "all %zu endpoints of service %s are leaving or in zones "
		    "out of service",
		    bp_pool_size(service->pool), service->name);
		return;
	}
	exchange->service = service;
	bp_retry_add_request(&gateway->retry);
	apply_load_decision(exchange);
}

static void
count_failure(bp_gateway_t *gateway, const bp_attempt_answer_t *response)
{
	switch (response->kind) {
	case BP_ENOTSENT:
		gateway->counters.refused_connections++;
		break;
	case BP_EMISMATCH:
		gateway->counters.mismatched++;
		break;
	case BP_ETRUNCATED:
		gateway->counters.truncated++;
		break;
	case BP_ETOOLARGE:
		gateway->counters.too_large_answers++;
		break;
	default:
		break;
	}
}

static bool
is_discarded(const bp_attempt_answer_t *response)
{
	return response->kind == BP_EMISMATCH ||
	    response->kind == BP_ETRUNCATED || response->kind == BP_ETOOLARGE;
}

static void
end_attempt(bp_exchange_t *exchange, bp_result_t result)
{
	bp_gateway_t *gateway = exchange->gateway;
	bp_pool_t *pool = exchange->service->pool;
	bp_endpoint_t *endpoint = exchange->endpoint;
	uint64_t ejections = pool->ejections;
	int64_t end_us = now_us(gateway);

	if (bp_attempt_written(exchange->attempt))
		exchange->written = true;
	exchange->attempt = NULL;
	exchange->endpoint = NULL;
	bp_endpoint_ref(endpoint);
	bp_endpoint_end(
	    pool, endpoint, result, end_us - exchange->sent_us, end_us);
	if (pool->ejections > ejections)
		bp_log(gateway->options.logger, BP_LOG_NOTICE, "gateway",
		    "endpoint ejected", "endpoint", endpoint->name, "url",
		    endpoint->url, NULL);
	bp_endpoint_unref(endpoint);
}

static bp_retry_verdict_t
decide_within_budget(bp_exchange_t *exchange)
{
	bp_gateway_t *gateway = exchange->gateway;
	bp_retry_attempt_t attempt = {
	    .idempotent = exchange->request.idempotent,
	    .written = exchange->written,
	    .attempts = exchange->attempts,
	    .left_ms = bp_exchange_left_ms(exchange),
	};
	bp_retry_verdict_t verdict;

	verdict = bp_retry_decide(&gateway->retry, &attempt);
	if (verdict == BP_RETRY_YES)
		gateway->counters.retries++;
	if (verdict == BP_RETRY_NO_BUDGET)
		gateway->counters.retries_denied++;
	return verdict;
}

static bp_retry_verdict_t
decide_retry(bp_exchange_t *exchange)
{
	if (count_in_service(exchange->service->pool) <=
	    exchange->choice.n_tried)
		return BP_RETRY_EXHAUSTED;
	return decide_within_budget(exchange);
}

static void
respond_failure(bp_exchange_t *exchange, const bp_attempt_answer_t *response,
    const char *endpoint_name, bp_retry_verdict_t verdict)
{
	/* A response with the right request id proves that the request ran. */
	if (response->kind == BP_ETOOLARGE)
		bp_answer_error(exchange, BP_ETRUNCATED, BP_OUTCOME_RAN,
		    "executor %s: %s and was discarded", endpoint_name,
		    response->message);
	else
		bp_answer_error(exchange, response->kind,
		    bp_exchange_outcome(exchange), "executor %s: %s; %s",
		    endpoint_name, response->message,
		    bp_retry_verdict_text(verdict));
}

static void
retry_or_respond(bp_exchange_t *exchange, const bp_attempt_answer_t *response,
    const char *endpoint_name)
{
	bp_retry_verdict_t verdict = BP_RETRY_EXHAUSTED;
	bp_endpoint_t *endpoint;

	/* The response would be too large from any other endpoint as well. */
	if (response->kind != BP_ETOOLARGE)
		verdict = decide_retry(exchange);
	if (verdict == BP_RETRY_YES) {
		bp_exchange_event(exchange, "request_retried",
		    "attempt %u at executor %s failed: %s", exchange->attempts,
		    endpoint_name,
		    response->kind != BP_OK ? response->message : "overloaded");
		endpoint = choose_endpoint(exchange);
		if (endpoint != NULL)
			start_attempt(exchange, endpoint);
		else
			join_queue(exchange, true);
	} else if (response->kind == BP_OK) {
		bp_answer_pass(exchange, response);
	} else {
		respond_failure(exchange, response, endpoint_name, verdict);
	}
}

static void
on_attempt_done(const bp_attempt_answer_t *response, void *data)
{
	bp_exchange_t *exchange = bp_exchange_ref(data);
	bp_gateway_t *gateway = exchange->gateway;
	bp_service_t *service = exchange->service;
	const char *endpoint_name =
	    bp_arena_strdup(exchange->arena, exchange->endpoint->name);

	end_attempt(exchange, response->result);
	if (response->kind != BP_OK) {
		count_failure(gateway, response);
		bp_log(gateway->options.logger, BP_LOG_WARNING, "gateway",
		    "attempt failed", "request", exchange->id, "endpoint",
		    endpoint_name, "reason", response->message, NULL);
		if (is_discarded(response))
			bp_exchange_event(exchange, "request_discarded",
			    "the response of executor %s was discarded: %s",
			    endpoint_name, response->message);
	}
	if (response->kind == BP_OK && response->result != BP_RESULT_OVERLOADED)
		bp_answer_pass(exchange, response);
	else
		retry_or_respond(exchange, response, endpoint_name);
	bp_dispatch_pump(gateway, service);
	bp_exchange_unref(exchange);
}

/* A retry by libsoup counts against the same budget as the gateway's own. */
static bool
may_restart(void *data)
{
	bp_exchange_t *exchange = data;

	exchange->written = true;
	if (decide_within_budget(exchange) != BP_RETRY_YES)
		return false;
	bp_exchange_event(exchange, "request_retried",
	    "executor %s closed a reused connection before its response",
	    exchange->endpoint->name);
	exchange->attempts++;
	return true;
}

static void
start_attempt(bp_exchange_t *exchange, bp_endpoint_t *endpoint)
{
	GUri *uri = soup_server_message_get_uri(exchange->message);
	bp_attempt_handler_t handler = {
	    .done = on_attempt_done,
	    .may_restart = may_restart,
	    .data = exchange,
	};
	bp_attempt_options_t options = {
	    .url = endpoint->url,
	    .method = soup_server_message_get_method(exchange->message),
	    .path = g_uri_get_path(uri),
	    .query = g_uri_get_query(uri),
	    .headers =
		soup_server_message_get_request_headers(exchange->message),
	    .body = exchange->body,
	    .left_ms = bp_exchange_left_ms(exchange),
	    .idempotent = exchange->request.idempotent,
	};

	/* A late response to one attempt must not match the next attempt. */
	options.id = bp_arena_printf(
	    exchange->arena, "%s-%u", exchange->id, ++exchange->attempts);
	exchange->choice.tried[exchange->choice.n_tried++] = endpoint;
	exchange->attempt =
	    bp_attempt_start(exchange->gateway->upstream, &options, &handler);
	if (exchange->attempt == NULL) {
		bp_answer_error(exchange, BP_EINTERNAL,
		    bp_exchange_outcome(exchange),
		    "executor %s has an invalid url", endpoint->name);
		return;
	}
	bp_endpoint_begin(endpoint);
	exchange->endpoint = endpoint;
	exchange->sent_us = now_us(exchange->gateway);
}

static bool
is_hung(const bp_exchange_t *exchange)
{
	double elapsed_us =
	    (double)(now_us(exchange->gateway) - exchange->sent_us);

	return elapsed_us > HANG_MIN_US &&
	    elapsed_us > HANG_FACTOR * exchange->service->pool->latency_us;
}

/*
 * Removes the exchange from its queue and cancels its attempt: at the
 * deadline, at the end of the exchange, or when the caller disconnects.
 */
void
bp_dispatch_forget(bp_exchange_t *exchange)
{
	bp_attempt_t *attempt = exchange->attempt;
	bp_service_t *service = exchange->service;

	leave_queue(exchange);
	if (attempt == NULL)
		return;
	end_attempt(exchange,
	    is_hung(exchange) ? BP_RESULT_FAILED : BP_RESULT_ABANDONED);
	bp_attempt_cancel(attempt);
	bp_dispatch_pump(exchange->gateway, service);
}
