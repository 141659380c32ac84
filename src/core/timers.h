#ifndef BP_CORE_TIMERS_H
#define BP_CORE_TIMERS_H

#include <glib.h>
#include <stdint.h>

/*
 * A queue of timers sorted by due time, in microseconds of a clock that the
 * caller supplies. GLib checks each of its own timers in every iteration of
 * the main loop; with this queue an iteration checks only the first timer.
 */
typedef struct bp_timers bp_timers_t;

/* One timer. */
typedef struct {
	int64_t due_us;
	guint id;
	uint32_t delay_ms;
	GSourceFunc callback;
	void *data;
} bp_timer_t;

bp_timers_t *bp_timers_new(void);
void bp_timers_free(bp_timers_t *timers);
guint bp_timers_add(bp_timers_t *timers, int64_t now_us, uint32_t delay_ms,
    GSourceFunc call, void *data);
/* Cancels a timer; ids of ended timers are allowed. */
void bp_timers_cancel(bp_timers_t *timers, guint id);
/* Returns the due time of the first timer, or -1 if there is none. */
int64_t bp_timers_next_us(const bp_timers_t *timers);
/*
 * Removes the first timer that is due by until_us; returns FALSE if there is
 * none. The caller runs its callback and passes a timer that continues to
 * bp_timers_rearm, which has no effect if it was cancelled meanwhile.
 */
gboolean bp_timers_pop_due(
    bp_timers_t *timers, int64_t until_us, bp_timer_t *out);
void bp_timers_rearm(
    bp_timers_t *timers, const bp_timer_t *timer, int64_t now_us);

#endif
