#include "node/counters.h"

static void
set(bp_metrics_t *metrics, const char *name, double value)
{
	bp_metric_set(bp_metrics_gauge(metrics, name, NULL), value);
}

static void
set_refused(bp_metrics_t *metrics, const char *why, uint64_t value)
{
	bp_metric_set(bp_metrics_gauge(
			  metrics, "gateway_refused_total", "why", why, NULL),
	    (double)value);
}

static void
set_discarded(bp_metrics_t *metrics, const char *why, uint64_t value)
{
	bp_metric_set(bp_metrics_gauge(
			  metrics, "gateway_discarded_total", "why", why, NULL),
	    (double)value);
}

static void
collect_refused(bp_metrics_t *metrics, const bp_gateway_counters_t *c)
{
	set_refused(metrics, "invalid", c->refused_invalid);
	set_refused(metrics, "too_large", c->refused_too_large);
	set_refused(metrics, "draining", c->refused_draining);
	set_refused(metrics, "no_endpoint", c->refused_no_endpoint);
	set_refused(metrics, "log_unavailable", c->refused_log_unavailable);
	set_refused(metrics, "key_expired", c->refused_key_expired);
	set_refused(metrics, "key_conflict", c->key_conflicts);
	set_refused(metrics, "shed_urgent", c->shed_urgent);
	set_refused(metrics, "shed_service", c->shed_service);
	set_refused(metrics, "shed_batch", c->shed_batch);
	set_refused(metrics, "deadline", c->deadline_exceeded);
}

static void
collect_gateway(bp_metrics_t *metrics, const bp_gateway_t *gateway)
{
	bp_gateway_counters_t c;

	bp_gateway_counters(gateway, &c);
	collect_refused(metrics, &c);
	set_discarded(metrics, "mismatched", c.mismatched);
	set_discarded(metrics, "truncated", c.truncated);
	set_discarded(metrics, "too_large", c.too_large_responses);
	set(metrics, "gateway_requests_total", (double)c.requests);
	set(metrics, "gateway_answers_passed_total",
	    (double)c.responses_forwarded);
	set(metrics, "gateway_retries_total", (double)c.retries);
	set(metrics, "gateway_retries_denied_total", (double)c.retries_denied);
	set(metrics, "gateway_ejections_total", (double)c.ejections);
	set(metrics, "gateway_in_flight", c.in_flight);
	set(metrics, "gateway_queued", c.queued);
	set(metrics, "gateway_endpoints", c.endpoints);
	set(metrics, "gateway_endpoints_ejected", c.endpoints_ejected);
}

static void
collect_scheduler(bp_metrics_t *metrics, const bp_scheduler_t *scheduler)
{
	bp_scheduler_counters_t c;

	bp_scheduler_counters(scheduler, &c);
	set(metrics, "scheduler_assigned_total", (double)c.assigned);
	set(metrics, "scheduler_assign_lost_total", (double)c.assign_lost);
	set(metrics, "scheduler_started_total", (double)c.started);
	set(metrics, "scheduler_not_started_total", (double)c.not_started);
	set(metrics, "scheduler_ended_total", (double)c.ended);
	set(metrics, "scheduler_lost_total", (double)c.lost);
	set(metrics, "scheduler_evicted_total", (double)c.evicted);
	set(metrics, "scheduler_throttled_total", (double)c.throttled);
	set(metrics, "scheduler_racks", c.racks);
	set(metrics, "scheduler_sessions_open", c.sessions);
	set(metrics, "scheduler_sessions_not_open", c.unreachable);
}

static void
collect(bp_metrics_t *metrics, void *data)
{
	const bp_counters_t *counters = data;

	if (counters->gateway != NULL)
		collect_gateway(metrics, counters->gateway);
	if (counters->scheduler != NULL)
		collect_scheduler(metrics, counters->scheduler);
	set(metrics, "log_append_pending",
	    (double)bp_appender_pending(counters->appender));
	set(metrics, "log_round_trip_ms",
	    (double)bp_appender_round_trip_ms(counters->appender));
	set(metrics, "log_next_offset",
	    (double)bp_state_next_offset(
		bp_follower_state(counters->follower)));
}

/* See the header. */
void
bp_counters_register(bp_counters_t *counters, bp_metrics_t *metrics)
{
	bp_metrics_on_collect(metrics, collect, counters);
}
