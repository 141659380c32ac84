#include "core/timers.h"

#define US_PER_MS 1000

struct bp_timers {
	GSequence *queue; /* bp_timer_t, earliest first */
	GHashTable *by_id; /* id -> GSequenceIter of the queue */
	guint last_id;
	guint last_removed_id; /* id of the last timer removed; 0 once cancelled
				*/
};

/* Creates an empty queue. */
bp_timers_t *
bp_timers_new(void)
{
	bp_timers_t *timers = g_new0(bp_timers_t, 1);

	timers->queue = g_sequence_new(g_free);
	timers->by_id = g_hash_table_new(NULL, NULL);
	return timers;
}

/* Frees the queue and its timers. NULL is allowed. */
void
bp_timers_free(bp_timers_t *timers)
{
	if (timers == NULL)
		return;
	g_hash_table_unref(timers->by_id);
	g_sequence_free(timers->queue);
	g_free(timers);
}

static gint
compare(gconstpointer a, gconstpointer b, gpointer data)
{
	const bp_timer_t *x = a;
	const bp_timer_t *y = b;

	(void)data;
	if (x->due_us != y->due_us)
		return x->due_us < y->due_us ? -1 : 1;
	return x->id < y->id ? -1 : x->id > y->id;
}

static void
insert(bp_timers_t *timers, const bp_timer_t *timer)
{
	bp_timer_t *copy = g_new(bp_timer_t, 1);

	*copy = *timer;
	g_hash_table_insert(timers->by_id, GUINT_TO_POINTER(copy->id),
	    g_sequence_insert_sorted(timers->queue, copy, compare, NULL));
}

/* Returns the id of the new timer, which is never 0. */
guint
bp_timers_add(bp_timers_t *timers, int64_t now_us, uint32_t delay_ms,
    GSourceFunc call, void *data)
{
	bp_timer_t timer = {
	    now_us + (int64_t)delay_ms * US_PER_MS, 0, delay_ms, call, data};

	do
		timer.id = ++timers->last_id;
	while (timer.id == 0 ||
	    g_hash_table_contains(timers->by_id, GUINT_TO_POINTER(timer.id)));
	insert(timers, &timer);
	return timer.id;
}

/* See the header. */
void
bp_timers_cancel(bp_timers_t *timers, guint id)
{
	GSequenceIter *place =
	    g_hash_table_lookup(timers->by_id, GUINT_TO_POINTER(id));

	if (id == timers->last_removed_id)
		timers->last_removed_id = 0;
	if (place == NULL)
		return;
	g_hash_table_remove(timers->by_id, GUINT_TO_POINTER(id));
	g_sequence_remove(place);
}

/* See the header. */
int64_t
bp_timers_next_us(const bp_timers_t *timers)
{
	GSequenceIter *first = g_sequence_get_begin_iter(timers->queue);

	if (g_sequence_iter_is_end(first))
		return -1;
	return ((const bp_timer_t *)g_sequence_get(first))->due_us;
}

/* See the header. */
gboolean
bp_timers_pop_due(bp_timers_t *timers, int64_t until_us, bp_timer_t *out)
{
	GSequenceIter *first = g_sequence_get_begin_iter(timers->queue);

	if (g_sequence_iter_is_end(first))
		return FALSE;
	*out = *(const bp_timer_t *)g_sequence_get(first);
	if (out->due_us > until_us)
		return FALSE;
	bp_timers_cancel(timers, out->id);
	timers->last_removed_id = out->id;
	return TRUE;
}

/* See the header. */
void
bp_timers_rearm(bp_timers_t *timers, const bp_timer_t *timer, int64_t now_us)
{
	bp_timer_t again = *timer;

	if (timers->last_removed_id != timer->id)
		return;
	again.due_us = now_us + (int64_t)timer->delay_ms * US_PER_MS;
	insert(timers, &again);
}
