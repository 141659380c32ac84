#ifndef BP_CORE_TIMERS_H
#define BP_CORE_TIMERS_H

#include <glib.h>
#include <stdint.h>

/*
 * Timers in the order in which they fall due, in microseconds of a clock
 * that the caller keeps. GLib checks each of its own timers in every turn of
 * the loop; these cost a turn only the look at the first one.
 */
typedef struct bp_timers bp_timers_t;

/* One timer that fell due. */
typedef struct {
	int64_t due_us;
	guint id;
	uint32_t delay_ms;
	GSourceFunc call;
	void *data;
} bp_timer_t;

bp_timers_t *bp_timers_new(void);
void bp_timers_free(bp_timers_t *timers);
guint bp_timers_add(bp_timers_t *timers, int64_t now_us, uint32_t delay_ms,
    GSourceFunc call, void *data);
/* Ids that have ended are allowed. */
void bp_timers_cancel(bp_timers_t *timers, guint id);
/* When the first one falls due, -1 without any. */
int64_t bp_timers_next_us(const bp_timers_t *timers);
/*
 * Takes out the first timer that is due until then; FALSE without one. The
 * caller calls it and, if it is to go on, hands it back, which does nothing
 * if it was cancelled meanwhile.
 */
gboolean bp_timers_take(bp_timers_t *timers, int64_t until_us, bp_timer_t *out);
void bp_timers_repeat(
    bp_timers_t *timers, const bp_timer_t *timer, int64_t now_us);

#endif
