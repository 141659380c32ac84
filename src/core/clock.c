#include "bulrushpost/clock.h"

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
	GSequence *timers; /* vtimer_t, earliest first */
	GHashTable *by_id; /* id to its place in timers */
	guint last_id;
};

typedef struct {
	int64_t due_us;
	guint id;
	uint32_t delay_ms;
	GSourceFunc call;
	void *data;
} vtimer_t;

/* CLOCK_BOOTTIME also counts the time that the VM spent suspended. */
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
bp_clock_after(
    const bp_clock_t *clock, uint32_t delay_ms, GSourceFunc call, void *data)
{
	if (clock->after != NULL)
		return clock->after(clock, delay_ms, call, data);
	return g_timeout_add(delay_ms, call, data);
}

/* See the header. */
void
bp_clock_cancel(const bp_clock_t *clock, guint *id)
{
	guint ended = *id;

	*id = 0;
	if (ended == 0)
		return;
	if (clock->cancel != NULL)
		clock->cancel(clock, ended);
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

static gint
compare_timers(gconstpointer a, gconstpointer b, gpointer data)
{
	const vtimer_t *x = a;
	const vtimer_t *y = b;

	(void)data;
	if (x->due_us != y->due_us)
		return x->due_us < y->due_us ? -1 : 1;
	return x->id < y->id ? -1 : x->id > y->id;
}

static void
insert_timer(bp_clock_virtual_t *self, vtimer_t *timer)
{
	g_hash_table_insert(self->by_id, GUINT_TO_POINTER(timer->id),
	    g_sequence_insert_sorted(
		self->timers, timer, compare_timers, NULL));
}

static guint
virtual_after(
    const bp_clock_t *clock, uint32_t delay_ms, GSourceFunc call, void *data)
{
	bp_clock_virtual_t *self = (bp_clock_virtual_t *)clock;
	vtimer_t *timer = g_new0(vtimer_t, 1);

	timer->id = ++self->last_id;
	timer->due_us = self->mono_us + (int64_t)delay_ms * US_PER_MS;
	timer->delay_ms = delay_ms;
	timer->call = call;
	timer->data = data;
	insert_timer(self, timer);
	return timer->id;
}

static void
virtual_cancel(const bp_clock_t *clock, guint id)
{
	bp_clock_virtual_t *self = (bp_clock_virtual_t *)clock;
	GSequenceIter *place =
	    g_hash_table_lookup(self->by_id, GUINT_TO_POINTER(id));

	if (place == NULL)
		return;
	g_hash_table_remove(self->by_id, GUINT_TO_POINTER(id));
	g_free(g_sequence_get(place));
	g_sequence_remove(place);
}

/* A repeated timer keeps its id; it may be cancelled by its own call. */
static void
fire(bp_clock_virtual_t *self, GSequenceIter *place)
{
	vtimer_t timer = *(vtimer_t *)g_sequence_get(place);

	virtual_cancel(&self->clock, timer.id);
	self->mono_us = MAX(self->mono_us, timer.due_us);
	if (timer.call(timer.data) == G_SOURCE_CONTINUE) {
		vtimer_t *again = g_new0(vtimer_t, 1);

		*again = timer;
		again->due_us =
		    self->mono_us + (int64_t)timer.delay_ms * US_PER_MS;
		insert_timer(self, again);
	}
}

/* See the header. */
void
bp_clock_virtual_run_ms(bp_clock_virtual_t *clock, int64_t duration_ms)
{
	int64_t until_us = clock->mono_us + duration_ms * US_PER_MS;
	GSequenceIter *first;

	for (;;) {
		first = g_sequence_get_begin_iter(clock->timers);
		if (g_sequence_iter_is_end(first) ||
		    ((vtimer_t *)g_sequence_get(first))->due_us > until_us)
			break;
		fire(clock, first);
	}
	clock->mono_us = until_us;
}

/*
 * Creates a clock that only moves when told to; both its times start at
 * start_ms. Free with bp_clock_virtual_free.
 */
bp_clock_virtual_t *
bp_clock_virtual_new(int64_t start_ms)
{
	bp_clock_virtual_t *self = g_new0(bp_clock_virtual_t, 1);

	self->clock.mono = virtual_mono;
	self->clock.wall = virtual_wall;
	self->clock.after = virtual_after;
	self->clock.cancel = virtual_cancel;
	self->timers = g_sequence_new(NULL);
	self->by_id = g_hash_table_new(NULL, NULL);
	self->mono_us = start_ms * US_PER_MS;
	return self;
}

/* Frees a virtual clock. */
void
bp_clock_virtual_free(bp_clock_virtual_t *clock)
{
	GSequenceIter *place;

	if (clock == NULL)
		return;
	for (place = g_sequence_get_begin_iter(clock->timers);
	     !g_sequence_iter_is_end(place);
	     place = g_sequence_iter_next(place))
		g_free(g_sequence_get(place));
	g_sequence_free(clock->timers);
	g_hash_table_unref(clock->by_id);
	g_free(clock);
}

/* Returns the clock interface; valid as long as the virtual clock. */
const bp_clock_t *
bp_clock_virtual_clock(const bp_clock_virtual_t *clock)
{
	return &clock->clock;
}

/* Moves both times forward by delta_us microseconds. */
void
bp_clock_virtual_advance_us(bp_clock_virtual_t *clock, int64_t delta_us)
{
	clock->mono_us += delta_us;
}

/* Steps only the wall clock, which may go backwards. */
void
bp_clock_virtual_step_wall_ms(bp_clock_virtual_t *clock, int64_t delta_ms)
{
	clock->wall_offset_us += delta_ms * US_PER_MS;
}
