#include "bulrushpost/clock.h"
#include "core/timers.h"

struct bp_clock_loop {
	bp_clock_t clock;
	bp_timers_t *timers;
	GSource *source;
};

/* A main loop source that is ready when the first timer is due. */
typedef struct {
	GSource source;
	bp_clock_loop_t *clock;
} timer_source_t;

static void
arm(bp_clock_loop_t *self)
{
	g_source_set_ready_time(self->source, bp_timers_next_us(self->timers));
}

/* Timers added by a callback run in a later iteration of the main loop. */
static gboolean
dispatch(GSource *source, GSourceFunc call, gpointer data)
{
	bp_clock_loop_t *self = ((timer_source_t *)source)->clock;
	int64_t now_us = g_get_monotonic_time();
	bp_timer_t timer;

	(void)call;
	(void)data;
	while (bp_timers_pop_due(self->timers, now_us, &timer)) {
		if (timer.callback(timer.data) == G_SOURCE_CONTINUE)
			bp_timers_rearm(
			    self->timers, &timer, g_get_monotonic_time());
	}
	arm(self);
	return G_SOURCE_CONTINUE;
}

static GSourceFuncs timer_functions = {NULL, NULL, dispatch, NULL, NULL, NULL};

static guint
loop_after(
    const bp_clock_t *clock, uint32_t delay_ms, GSourceFunc call, void *data)
{
	bp_clock_loop_t *self = (bp_clock_loop_t *)clock;
	guint id = bp_timers_add(
	    self->timers, g_get_monotonic_time(), delay_ms, call, data);

	arm(self);
	return id;
}

static void
loop_cancel(const bp_clock_t *clock, guint id)
{
	bp_timers_cancel(((bp_clock_loop_t *)clock)->timers, id);
}

/* Creates the clock for the default main context. */
bp_clock_loop_t *
bp_clock_loop_new(void)
{
	bp_clock_loop_t *self = g_new0(bp_clock_loop_t, 1);

	self->clock.mono = bp_clock_system()->mono;
	self->clock.wall = bp_clock_system()->wall;
	self->clock.add_timer = loop_after;
	self->clock.cancel_timer = loop_cancel;
	self->timers = bp_timers_new();
	self->source = g_source_new(&timer_functions, sizeof(timer_source_t));
	((timer_source_t *)self->source)->clock = self;
	(void)g_source_attach(self->source, NULL);
	return self;
}

/* Frees the clock and cancels its timers. NULL is allowed. */
void
bp_clock_loop_free(bp_clock_loop_t *clock)
{
	if (clock == NULL)
		return;
	g_source_destroy(clock->source);
	g_source_unref(clock->source);
	bp_timers_free(clock->timers);
	g_free(clock);
}

/* Returns the clock interface; valid as long as the clock. */
const bp_clock_t *
bp_clock_loop_clock(const bp_clock_loop_t *clock)
{
	return &clock->clock;
}
