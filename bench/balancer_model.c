#include "balancer_model.h"

#include "event_heap.h"

#include "bulrushpost/balancer.h"
#include "bulrushpost/retry.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>

#define US_PER_S 1000000.0
#define US_PER_MS 1000.0
#define GATEWAYS 8
#define ZONES 3
#define EXECUTORS 70
#define SERVICE_MEAN_US 40000.0
#define OWN_ZONE_US 250
#define OTHER_ZONE_US 4500
#define FAILURE_US 1000
/* A request that failed at last counts as this slow: its caller repeats. */
#define FAILED_LATENCY_US (1 * (int64_t)1000000)
#define WARM_UP_US (2 * (int64_t)1000000)
#define EVENT_US (4 * (int64_t)1000000)
#define SHIFT_US (2 * (int64_t)1000000)
#define POLL_US (1 * (int64_t)1000000)
#define STALE_US (500 * (int64_t)1000)
#define SLOW_EXECUTORS 7
#define SLOW_FACTOR 3.0

typedef struct {
	int64_t start_us;
	int64_t sent_us;
	uint32_t gateway;
	bool failed;
	bp_endpoint_t *endpoint;
	uint32_t executor;
	bp_balancer_query_t choice;
} request_t;

typedef enum { EVENT_ARRIVE, EVENT_REACH, EVENT_DONE, EVENT_ANSWER } kind_t;

typedef struct {
	uint32_t busy;
	GQueue queue; /* request_t */
} executor_t;

typedef struct {
	bp_pool_t *pool;
	bp_balancer_t balancer;
	bp_retry_budget_t retry;
	GQueue queue; /* request_t that no endpoint can take */
	uint32_t next; /* of round robin */
	int64_t zone_out_us; /* when it learns of it */
} gateway_t;

typedef struct {
	const bench_run_t *run;
	int64_t now_us;
	bp_random_t random;
	GArray *heap; /* event_t, earliest first */
	gateway_t gateways[GATEWAYS];
	executor_t executors[EXECUTORS];
	uint32_t stale_load[EXECUTORS];
	int64_t stale_us;
	GArray *latencies; /* int64_t */
	size_t failed;
} model_t;

static void
schedule(model_t *model, int64_t delay_us, kind_t kind, uint32_t gateway,
    request_t *request)
{
	event_heap_push(model->heap,
	    (event_t){model->now_us + delay_us, kind, gateway, request});
}

static double
exponential(model_t *model, double mean)
{
	return -log(1 - bp_random_unit(&model->random)) * mean;
}

/* Requests in a second at one gateway; the shares of gateways may shift. */
static double
arrival_rate(const model_t *model, uint32_t gateway)
{
	double capacity =
	    EXECUTORS * BP_EXECUTOR_SLOTS / (SERVICE_MEAN_US / US_PER_S);
	uint32_t phase = (uint32_t)(model->now_us / SHIFT_US);
	double load = 0.7;

	switch (model->run->condition) {
	case CONDITION_SHIFTING:
		/* Two gateways at a time have three times the others' share. */
		load = phase % 2 == 0 ? 0.5 : 0.8;
		load *= (gateway / 2 == phase % 4 ? 3.0 : 1.0) * GATEWAYS /
		    (GATEWAYS + 4);
		break;
	case CONDITION_ZONE_OUT:
		load = 0.55;
		break;
	case CONDITION_SLOW:
		load = 0.65;
		break;
	case CONDITION_STEADY:
	case CONDITION_FAILING:
	case CONDITIONS:
		break;
	}
	return capacity * load / GATEWAYS;
}

static int64_t
way_us(uint32_t gateway, uint32_t executor)
{
	return gateway % ZONES == executor % ZONES ? OWN_ZONE_US
						   : OTHER_ZONE_US;
}

static bool
is_shipped(const model_t *model)
{
	return model->run->policy == POLICY_TWO_CHOICES ||
	    model->run->policy == POLICY_TWO_CHOICES_FLAT;
}

static bool
may_use(const model_t *model, bp_endpoint_t *endpoint,
    const bp_balancer_query_t *choice)
{
	uint32_t i;

	for (i = 0; i < choice->n_tried; i++) {
		if (choice->tried[i] == endpoint)
			return false;
	}
	return model->run->plain
	    ? bp_endpoint_in_service(endpoint)
	    : bp_endpoint_may_send(endpoint, model->now_us, true);
}

static void
refresh_stale_load(model_t *model)
{
	uint32_t e;

	if (model->now_us < model->stale_us)
		return;
	model->stale_us = model->now_us + STALE_US;
	for (e = 0; e < EXECUTORS; e++)
		model->stale_load[e] =
		    model->executors[e].busy + model->executors[e].queue.length;
}

static uint32_t
load_of(const model_t *model, const bp_endpoint_t *endpoint, uint32_t index)
{
	switch (model->run->policy) {
	case POLICY_LEAST_OWN:
		return endpoint->in_flight;
	case POLICY_LEAST_STALE:
		return model->stale_load[index];
	case POLICY_TWO_CHOICES:
	case POLICY_TWO_CHOICES_FLAT:
	case POLICY_RANDOM:
	case POLICY_ROUND_ROBIN:
	case POLICIES:
		break;
	}
	return 0;
}

/* Least load first; equal loads, and all loads of "random", at random. */
static bp_endpoint_t *
choose_least(
    model_t *model, gateway_t *gateway, const bp_balancer_query_t *choice)
{
	bp_endpoint_t *best = NULL;
	uint32_t best_load = UINT32_MAX;
	uint32_t equal = 0;
	uint32_t i;

	for (i = 0; i < EXECUTORS; i++) {
		bp_endpoint_t *endpoint = bp_pool_at(gateway->pool, i);
		uint32_t load = load_of(model, endpoint, i);

		if (load > best_load || !may_use(model, endpoint, choice))
			continue;
		equal = load < best_load ? 1 : equal + 1;
		best_load = load;
		if (bp_random_below(&model->random, equal) == 0)
			best = endpoint;
	}
	return best;
}

static bp_endpoint_t *
choose_next(
    model_t *model, gateway_t *gateway, const bp_balancer_query_t *choice)
{
	uint32_t i;

	for (i = 0; i < EXECUTORS; i++) {
		bp_endpoint_t *endpoint =
		    bp_pool_at(gateway->pool, gateway->next);

		gateway->next = (gateway->next + 1) % EXECUTORS;
		if (may_use(model, endpoint, choice))
			return endpoint;
	}
	return NULL;
}

static bp_endpoint_t *
choose(model_t *model, gateway_t *gateway, bp_balancer_query_t *choice)
{
	choice->now_us = model->now_us;
	choice->idempotent = true;
	refresh_stale_load(model);
	if (is_shipped(model))
		return bp_balancer_choose(
		    &gateway->balancer, gateway->pool, choice);
	if (model->run->policy == POLICY_ROUND_ROBIN)
		return choose_next(model, gateway, choice);
	return choose_least(model, gateway, choice);
}

/* Executors are named by their number, which the endpoint knows. */
static void
send_or_wait(model_t *model, request_t *request)
{
	gateway_t *gateway = &model->gateways[request->gateway];
	bp_endpoint_t *endpoint = choose(model, gateway, &request->choice);

	if (endpoint == NULL) {
		g_queue_push_tail(&gateway->queue, request);
		return;
	}
	request->endpoint = endpoint;
	request->executor =
	    (uint32_t)g_ascii_strtoull(endpoint->name, NULL, 10);
	request->choice.tried[request->choice.n_tried++] = endpoint;
	request->sent_us = model->now_us;
	bp_endpoint_begin(endpoint);
	schedule(model, way_us(request->gateway, request->executor),
	    EVENT_REACH, 0, request);
}

static void
pump(model_t *model, gateway_t *gateway)
{
	guint n = gateway->queue.length;

	while (n-- > 0)
		send_or_wait(model, g_queue_pop_head(&gateway->queue));
}

/* The VM list tells each gateway at its next poll. */
static void
learn_zone_out(model_t *model, gateway_t *gateway)
{
	uint32_t e;

	if (gateway->zone_out_us == 0 || model->now_us < gateway->zone_out_us)
		return;
	gateway->zone_out_us = 0;
	for (e = ZONES - 1; e < EXECUTORS; e += ZONES)
		bp_pool_at(gateway->pool, e)->zone_out = true;
}

static void
arrive(model_t *model, uint32_t index)
{
	gateway_t *gateway = &model->gateways[index];
	request_t *request = g_new0(request_t, 1);

	learn_zone_out(model, gateway);
	request->start_us = model->now_us;
	request->gateway = index;
	bp_retry_add_request(&gateway->retry);
	send_or_wait(model, request);
	if ((double)model->now_us < model->run->seconds * US_PER_S)
		schedule(model,
		    (int64_t)exponential(
			model, US_PER_S / arrival_rate(model, index)),
		    EVENT_ARRIVE, index, NULL);
}

/* Uniform times spread by half, so that the tail shows the queueing. */
static int64_t
service_us(model_t *model, double mean_us)
{
	if (model->run->exponential)
		return (int64_t)exponential(model, mean_us);
	return (int64_t)(mean_us * (0.5 + bp_random_unit(&model->random)));
}

static void
serve(model_t *model, request_t *request)
{
	double mean_us = SERVICE_MEAN_US;

	if (model->run->condition == CONDITION_SLOW &&
	    request->executor < SLOW_EXECUTORS)
		mean_us *= SLOW_FACTOR;
	model->executors[request->executor].busy++;
	schedule(model, service_us(model, mean_us), EVENT_DONE, 0, request);
}

static void
reach(model_t *model, request_t *request)
{
	executor_t *executor = &model->executors[request->executor];

	request->failed = model->run->condition == CONDITION_FAILING &&
	    request->executor == 0 && model->now_us >= EVENT_US;
	if (request->failed)
		schedule(model,
		    FAILURE_US + way_us(request->gateway, request->executor),
		    EVENT_ANSWER, 0, request);
	else if (executor->busy < BP_EXECUTOR_SLOTS)
		serve(model, request);
	else
		g_queue_push_tail(&executor->queue, request);
}

static void
done(model_t *model, request_t *request)
{
	executor_t *executor = &model->executors[request->executor];

	executor->busy--;
	if (executor->queue.length > 0)
		serve(model, g_queue_pop_head(&executor->queue));
	schedule(model, way_us(request->gateway, request->executor),
	    EVENT_ANSWER, 0, request);
}

static void
answer(model_t *model, request_t *request)
{
	gateway_t *gateway = &model->gateways[request->gateway];
	bp_retry_attempt_t attempt = {.idempotent = true,
	    .written = true,
	    .attempts = request->choice.n_tried,
	    .remaining_ms = 1000};
	int64_t latency_us = model->now_us - request->start_us;

	bp_endpoint_end(gateway->pool, request->endpoint,
	    request->failed ? BP_RESULT_FAILED : BP_RESULT_OK,
	    model->now_us - request->sent_us, model->now_us);
	if (request->failed &&
	    bp_retry_decide(&gateway->retry, &attempt) == BP_RETRY_YES) {
		send_or_wait(model, request);
	} else {
		if (request->failed)
			latency_us = FAILED_LATENCY_US;
		if (request->start_us >= WARM_UP_US) {
			g_array_append_val(model->latencies, latency_us);
			model->failed += request->failed;
		}
		g_free(request);
	}
	pump(model, gateway);
}

static void
start(model_t *model)
{
	const char *zones[ZONES] = {"a", "b", "c"};
	bool flat = model->run->policy == POLICY_TWO_CHOICES_FLAT;
	char name[16];
	uint32_t g;
	uint32_t e;

	for (g = 0; g < GATEWAYS; g++) {
		gateway_t *gateway = &model->gateways[g];

		gateway->pool = bp_pool_new(GATEWAYS);
		bp_balancer_init(&gateway->balancer,
		    flat ? "none" : zones[g % ZONES],
		    bp_random_next(&model->random));
		bp_retry_init(&gateway->retry);
		gateway->next = bp_random_below(&model->random, EXECUTORS);
		if (model->run->condition == CONDITION_ZONE_OUT)
			gateway->zone_out_us =
			    EVENT_US + bp_random_below(&model->random, POLL_US);
		for (e = 0; e < EXECUTORS; e++) {
			g_snprintf(name, sizeof(name), "%u", e);
			bp_pool_upsert(gateway->pool, name, "http://executor",
			    zones[e % ZONES], false, false);
		}
		schedule(model, bp_random_below(&model->random, 1000),
		    EVENT_ARRIVE, g, NULL);
	}
}

static int
compare(const void *a, const void *b)
{
	int64_t x = *(const int64_t *)a;
	int64_t y = *(const int64_t *)b;

	return (x > y) - (x < y);
}

static double
quantile_ms(const GArray *sorted, double q)
{
	guint i = (guint)(q * (sorted->len - 1));

	return (double)g_array_index(sorted, int64_t, i) / US_PER_MS;
}

static void
finish(model_t *model, bench_result_t *out)
{
	uint32_t g;

	qsort(model->latencies->data, model->latencies->len, sizeof(int64_t),
	    compare);
	out->requests = model->latencies->len;
	out->p50_ms = quantile_ms(model->latencies, 0.5);
	out->p99_ms = quantile_ms(model->latencies, 0.99);
	out->p999_ms = quantile_ms(model->latencies, 0.999);
	out->failed_percent =
	    100.0 * (double)model->failed / (double)model->latencies->len;
	g_array_free(model->latencies, TRUE);
	g_array_free(model->heap, TRUE);
	for (g = 0; g < GATEWAYS; g++) {
		bp_balancer_clear(&model->gateways[g].balancer);
		bp_pool_free(model->gateways[g].pool);
	}
}

/*
 * Runs one condition under one policy in virtual time: gateways that do not
 * see each other, executors with slots and a queue, ways within and between
 * zones. Latency is measured at the gateway, retries included.
 */
void
bench_balancer_run(const bench_run_t *run, bench_result_t *out)
{
	model_t model;

	memset(&model, 0, sizeof(model));
	model.run = run;
	model.heap = g_array_new(FALSE, FALSE, sizeof(event_t));
	model.latencies = g_array_new(FALSE, FALSE, sizeof(int64_t));
	bp_random_init(&model.random, run->seed);
	start(&model);
	while (model.heap->len > 0) {
		event_t event = event_heap_pop(model.heap);

		model.now_us = event.at_us;
		switch ((kind_t)event.kind) {
		case EVENT_ARRIVE:
			arrive(&model, event.index);
			break;
		case EVENT_REACH:
			reach(&model, event.data);
			break;
		case EVENT_DONE:
			done(&model, event.data);
			break;
		case EVENT_ANSWER:
			answer(&model, event.data);
			break;
		}
	}
	finish(&model, out);
}
