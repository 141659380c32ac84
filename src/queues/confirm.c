#include "queues/confirm.h"

/* Longest wait of a call for a refresh; a slow store answers in 250 ms. */
#define REFRESH_TIMEOUT_MS 400
/* Time after an unanswered refresh in which no call starts another one. */
#define REFRESH_BACKOFF_MS 1000

typedef struct {
	bp_confirm_done_t done;
	void *data;
} waiter_t;

struct bp_confirm {
	bp_confirm_options_t options;
	bool known; /* as_of_ms is valid */
	int64_t as_of_ms; /* mono */
	bool refresh_failed; /* the last refresh timed out */
	int64_t refresh_failed_ms; /* mono */
	GArray *waiters; /* waiter_t */
	guint timer; /* timeout of the refresh in flight, 0 for none */
};

/* Creates the state of a node that knows no configuration. */
bp_confirm_t *
bp_confirm_new(const bp_confirm_options_t *options)
{
	bp_confirm_t *confirm = g_new0(bp_confirm_t, 1);

	confirm->options = *options;
	confirm->waiters = g_array_new(FALSE, FALSE, sizeof(waiter_t));
	return confirm;
}

/* Frees the state. No call may be waiting. NULL is allowed. */
void
bp_confirm_free(bp_confirm_t *confirm)
{
	if (confirm == NULL)
		return;
	bp_clock_cancel(confirm->options.clock, &confirm->timer);
	g_array_unref(confirm->waiters);
	g_free(confirm);
}

/* Returns whether no newer configuration was accepted more than limit_ms ago.
 */
bool
bp_confirm_holds(const bp_confirm_t *confirm)
{
	return confirm->known &&
	    bp_clock_mono_ms(confirm->options.clock) - confirm->as_of_ms <=
	    confirm->options.limit_ms;
}

static void
notify_waiters(bp_confirm_t *confirm, bool confirmed)
{
	GArray *waiters = confirm->waiters;
	guint i;

	bp_clock_cancel(confirm->options.clock, &confirm->timer);
	confirm->waiters = g_array_new(FALSE, FALSE, sizeof(waiter_t));
	for (i = 0; i < waiters->len; i++) {
		const waiter_t *waiter = &g_array_index(waiters, waiter_t, i);

		waiter->done(confirmed, waiter->data);
	}
	g_array_unref(waiters);
}

/* See the header. */
void
bp_confirm_told(bp_confirm_t *confirm, int64_t as_of_ms)
{
	if (!confirm->known || as_of_ms > confirm->as_of_ms)
		confirm->as_of_ms = as_of_ms;
	confirm->known = true;
	if (!bp_confirm_holds(confirm))
		return;
	confirm->refresh_failed = false;
	notify_waiters(confirm, true);
}

static gboolean
on_timeout(void *data)
{
	bp_confirm_t *confirm = data;

	confirm->timer = 0;
	confirm->refresh_failed = true;
	confirm->refresh_failed_ms = bp_clock_mono_ms(confirm->options.clock);
	notify_waiters(confirm, false);
	return G_SOURCE_REMOVE;
}

static bool
in_backoff(const bp_confirm_t *confirm)
{
	return confirm->refresh_failed &&
	    bp_clock_mono_ms(confirm->options.clock) -
		confirm->refresh_failed_ms <
	    REFRESH_BACKOFF_MS;
}

/* See the header. */
void
bp_confirm_run(bp_confirm_t *confirm, bp_confirm_done_t done, void *data)
{
	waiter_t waiter = {done, data};

	if (bp_confirm_holds(confirm)) {
		done(true, data);
		return;
	}
	if (in_backoff(confirm)) {
		done(false, data);
		return;
	}
	g_array_append_val(confirm->waiters, waiter);
	if (confirm->timer != 0)
		return;
	confirm->timer = bp_clock_after(
	    confirm->options.clock, REFRESH_TIMEOUT_MS, on_timeout, confirm);
	confirm->options.ask(confirm->options.data);
}

/* See the header. */
void
bp_confirm_give_up(bp_confirm_t *confirm)
{
	notify_waiters(confirm, false);
}
