#include "bulrushpost/pausewatch.h"

#define TICK_MS 200
/* A gap between ticks that counts as a pause. */
#define PAUSE_MIN_MS 400
/* Time after a pause in which data that arrived during it is read. */
#define BACKLOG_PERIOD_MS 500

struct bp_pause_watch {
	const bp_clock_t *clock;
	int64_t active_ms; /* mono, when the process last ran */
	bool paused; /* last_pause is set */
	bp_pause_t last_pause;
	guint timer;
};

static void
note_activity(bp_pause_watch_t *watch)
{
	int64_t now_ms = bp_clock_mono_ms(watch->clock);

	if (now_ms - watch->active_ms >= PAUSE_MIN_MS) {
		watch->paused = true;
		watch->last_pause.start_ms = watch->active_ms;
		watch->last_pause.end_ms = now_ms;
	}
	watch->active_ms = now_ms;
}

static gboolean
on_tick(void *data)
{
	note_activity(data);
	return G_SOURCE_CONTINUE;
}

/* See the header. */
bp_pause_watch_t *
bp_pause_watch_new(const bp_clock_t *clock)
{
	bp_pause_watch_t *watch = g_new0(bp_pause_watch_t, 1);

	watch->clock = clock;
	watch->active_ms = bp_clock_mono_ms(clock);
	watch->timer = bp_clock_add_timer(clock, TICK_MS, on_tick, watch);
	return watch;
}

/* See the header. */
void
bp_pause_watch_free(bp_pause_watch_t *watch)
{
	if (watch == NULL)
		return;
	bp_clock_cancel_timer(watch->clock, &watch->timer);
	g_free(watch);
}

/* See the header. */
bool
bp_pause_watch_recent(bp_pause_watch_t *watch, bp_pause_t *out)
{
	note_activity(watch);
	if (!watch->paused ||
	    watch->active_ms - watch->last_pause.end_ms >= BACKLOG_PERIOD_MS)
		return false;
	*out = watch->last_pause;
	return true;
}

/* See the header. */
int64_t
bp_pause_watch_arrival_ms(bp_pause_watch_t *watch)
{
	bp_pause_t pause;

	return bp_pause_watch_recent(watch, &pause) ? pause.start_ms
						    : watch->active_ms;
}
