#include "bulrushpost/clock.h"
#include "core/timers.h"

#include <glib.h>

#define MS_PER_S 1000
#define US_PER_S 1000000
#define US_PER_MS 1000
#define NS_PER_US 1000
#define NS_PER_MS 1000000

struct bp_clock_virtual {
	bp_clock_t clock;
	int64_t mono_us;
	int64_t wall_offset_us;
	bp_timers_t *timers;
};

/* CLOCK_BOOTTIME includes the time during which the VM was suspended. */
static int
system_mono(const bp_clock_t *clock, struct timespec *out)
{
	(void)clock;
	return clock_gettime(CLOCK_BOOTTIME, out);
}

static int
system_wall(const bp_clock_t *clock, struct timespec *out)
{
	(void)clock;
	return clock_gettime(CLOCK_REALTIME, out);
}

static const bp_clock_t system_clock = {system_mono, system_wall, NULL, NULL};

/* Returns the clock of the operating system. */
const bp_clock_t *
bp_clock_system(void)
{
	return &system_clock;
}

static int64_t
timespec_us(const struct timespec *ts)
{
	return (int64_t)ts->tv_sec * US_PER_S + ts->tv_nsec / NS_PER_US;
}

/* Returns the monotonic time in microseconds. */
int64_t
bp_clock_mono_us(const bp_clock_t *clock)
{
	struct timespec ts = {0, 0};

	(void)clock->mono(clock, &ts);
	return timespec_us(&ts);
}

/* Returns the monotonic time in milliseconds. */
int64_t
bp_clock_mono_ms(const bp_clock_t *clock)
{
	return bp_clock_mono_us(clock) / US_PER_MS;
}

/* Returns the wall-clock time in milliseconds since the epoch. */
int64_t
bp_clock_wall_ms(const bp_clock_t *clock)
{
	struct timespec ts = {0, 0};

	(void)clock->wall(clock, &ts);
	return (int64_t)ts.tv_sec * MS_PER_S + ts.tv_nsec / NS_PER_MS;
}

/* See the header. */
guint
bp_clock_add_timer(
    const bp_clock_t *clock, uint32_t delay_ms, GSourceFunc call, void *data)
{
	if (clock->add_timer != NULL)
		return clock->add_timer(clock, delay_ms, call, data);
	return g_timeout_add(delay_ms, call, data);
}

/* See the header. */
void
bp_clock_cancel_timer(const bp_clock_t *clock, guint *id)
{
	guint ended = *id;

	*id = 0;
	if (ended == 0)
		return;
	if (clock->cancel_timer != NULL)
		clock->cancel_timer(clock, ended);
	else
		g_source_remove(ended);
}

static void
set_timespec(struct timespec *out, int64_t us)
{
	out->tv_sec = (time_t)(us / US_PER_S);
	out->tv_nsec = (long)(us % US_PER_S) * NS_PER_US;
}

static int
virtual_mono(const bp_clock_t *clock, struct timespec *out)
{
	const bp_clock_virtual_t *self = (const bp_clock_virtual_t *)clock;

	set_timespec(out, self->mono_us);
	return 0;
}

static int
virtual_wall(const bp_clock_t *clock, struct timespec *out)
{
	const bp_clock_virtual_t *self = (const bp_clock_virtual_t *)clock;

	set_timespec(out, self->mono_us + self->wall_offset_us);
	return 0;
}

static guint
virtual_after(
    const bp_clock_t *clock, uint32_t delay_ms, GSourceFunc call, void *data)
{
	bp_clock_virtual_t *self = (bp_clock_virtual_t *)clock;

	return bp_timers_add(self->timers, self->mono_us, delay_ms, call, data);
}

static void
virtual_cancel(const bp_clock_t *clock, guint id)
{
	bp_clock_virtual_t *self = (bp_clock_virtual_t *)clock;

	bp_timers_cancel(self->timers, id);
}

/* See the header. */
void
bp_clock_virtual_run_ms(bp_clock_virtual_t *clock, int64_t duration_ms)
{
	int64_t until_us = clock->mono_us + duration_ms * US_PER_MS;
	bp_timer_t timer;

	while (bp_timers_pop_due(clock->timers, until_us, &timer)) {
		clock->mono_us = MAX(clock->mono_us, timer.due_us);
		if (timer.callback(timer.data) == G_SOURCE_CONTINUE)
			bp_timers_rearm(clock->timers, &timer, clock->mono_us);
	}
	clock->mono_us = until_us;
}

/*
 * Creates a clock that the caller advances; both its times start at
 * start_ms. Free with bp_clock_virtual_free.
 */
bp_clock_virtual_t *
bp_clock_virtual_new(int64_t start_ms)
{
	bp_clock_virtual_t *self = g_new0(bp_clock_virtual_t, 1);

	self->clock.mono = virtual_mono;
	self->clock.wall = virtual_wall;
	self->clock.add_timer = virtual_after;
	self->clock.cancel_timer = virtual_cancel;
	self->timers = bp_timers_new();
	self->mono_us = start_ms * US_PER_MS;
	return self;
}

/* Frees a virtual clock. */
void
bp_clock_virtual_free(bp_clock_virtual_t *clock)
{
	if (clock == NULL)
		return;
	bp_timers_free(clock->timers);
	g_free(clock);
}

/* Returns the clock interface; valid as long as the virtual clock. */
const bp_clock_t *
bp_clock_virtual_clock(const bp_clock_virtual_t *clock)
{
	return &clock->clock;
}

/* Advances both times by delta_us microseconds. */
void
bp_clock_virtual_advance_us(bp_clock_virtual_t *clock, int64_t delta_us)
{
	clock->mono_us += delta_us;
}

/* Changes only the wall clock; delta_ms may be negative. */
void
bp_clock_virtual_step_wall_ms(bp_clock_virtual_t *clock, int64_t delta_ms)
{
	clock->wall_offset_us += delta_ms * US_PER_MS;
}
