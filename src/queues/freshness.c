#include "queues/freshness.h"

/* Longest wait of a call for a refresh; a slow store answers in 250 ms. */
#define REFRESH_TIMEOUT_MS 400
/* Time after an unanswered refresh in which no call starts another one. */
#define REFRESH_BACKOFF_MS 1000

typedef struct {
	bp_freshness_done_t done;
	void *data;
} waiter_t;

struct bp_freshness {
	bp_freshness_options_t options;
	bool known; /* as_of_ms is valid */
	int64_t as_of_ms; /* mono */
	bool refresh_failed; /* the last refresh timed out */
	int64_t refresh_failed_ms; /* mono */
	GArray *waiters; /* waiter_t */
	guint timer; /* timeout of the refresh in flight, 0 for none */
};

/* Creates the state of a node that knows no configuration. */
bp_freshness_t *
bp_freshness_new(const bp_freshness_options_t *options)
{
	bp_freshness_t *freshness = g_new0(bp_freshness_t, 1);

	freshness->options = *options;
	freshness->waiters = g_array_new(FALSE, FALSE, sizeof(waiter_t));
	return freshness;
}

/* Frees the state. No call may be waiting. NULL is allowed. */
void
bp_freshness_free(bp_freshness_t *freshness)
{
	if (freshness == NULL)
		return;
	bp_clock_cancel_timer(freshness->options.clock, &freshness->timer);
	g_array_unref(freshness->waiters);
	g_free(freshness);
}

/* Returns whether no newer configuration was accepted more than limit_ms ago.
 */
bool
bp_freshness_is_fresh(const bp_freshness_t *freshness)
{
	return freshness->known &&
	    bp_clock_mono_ms(freshness->options.clock) - freshness->as_of_ms <=
	    freshness->options.max_age_ms;
}

static void
notify_waiters(bp_freshness_t *freshness, bool confirmed)
{
	GArray *waiters = freshness->waiters;
	guint i;

	bp_clock_cancel_timer(freshness->options.clock, &freshness->timer);
	freshness->waiters = g_array_new(FALSE, FALSE, sizeof(waiter_t));
	for (i = 0; i < waiters->len; i++) {
		const waiter_t *waiter = &g_array_index(waiters, waiter_t, i);

		waiter->done(confirmed, waiter->data);
	}
	g_array_unref(waiters);
}

/* See the header. */
void
bp_freshness_update(bp_freshness_t *freshness, int64_t as_of_ms)
{
	if (!freshness->known || as_of_ms > freshness->as_of_ms)
		freshness->as_of_ms = as_of_ms;
	freshness->known = true;
	if (!bp_freshness_is_fresh(freshness))
		return;
	freshness->refresh_failed = false;
	notify_waiters(freshness, true);
}

static gboolean
on_timeout(void *data)
{
	bp_freshness_t *freshness = data;

	freshness->timer = 0;
	freshness->refresh_failed = true;
	freshness->refresh_failed_ms =
	    bp_clock_mono_ms(freshness->options.clock);
	notify_waiters(freshness, false);
	return G_SOURCE_REMOVE;
}

static bool
in_backoff(const bp_freshness_t *freshness)
{
	return freshness->refresh_failed &&
	    bp_clock_mono_ms(freshness->options.clock) -
		freshness->refresh_failed_ms <
	    REFRESH_BACKOFF_MS;
}

/* See the header. */
void
bp_freshness_check(
    bp_freshness_t *freshness, bp_freshness_done_t done, void *data)
{
	waiter_t waiter = {done, data};

	if (bp_freshness_is_fresh(freshness)) {
		done(true, data);
		return;
	}
	if (in_backoff(freshness)) {
		done(false, data);
		return;
	}
	g_array_append_val(freshness->waiters, waiter);
	if (freshness->timer != 0)
		return;
	freshness->timer = bp_clock_add_timer(freshness->options.clock,
	    REFRESH_TIMEOUT_MS, on_timeout, freshness);
	freshness->options.refresh(freshness->options.data);
}

/* See the header. */
void
bp_freshness_cancel(bp_freshness_t *freshness)
{
	notify_waiters(freshness, false);
}
