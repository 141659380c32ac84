#ifndef BULRUSHPOST_CLOCK_H
#define BULRUSHPOST_CLOCK_H

#include <glib.h>
#include <stdint.h>
#include <time.h>

/*
 * A source of time. mono has no defined origin and counts suspended time;
 * only differences are meaningful. wall is for display and record headers.
 */
typedef struct bp_clock {
	int (*mono)(const struct bp_clock *clock, struct timespec *out);
	int (*wall)(const struct bp_clock *clock, struct timespec *out);
	/* Timers of the main loop; NULL selects those of GLib. */
	guint (*add_timer)(const struct bp_clock *clock, uint32_t delay_ms,
	    GSourceFunc call, void *data);
	void (*cancel_timer)(const struct bp_clock *clock, guint id);
} bp_clock_t;

typedef struct bp_clock_virtual bp_clock_virtual_t;

const bp_clock_t *bp_clock_system(void);
int64_t bp_clock_mono_ms(const bp_clock_t *clock);
int64_t bp_clock_mono_us(const bp_clock_t *clock);
int64_t bp_clock_wall_ms(const bp_clock_t *clock);
/*
 * Adds a timer that calls back after the delay, and again after each call
 * that returns G_SOURCE_CONTINUE. Returns its id.
 */
guint bp_clock_add_timer(
    const bp_clock_t *clock, uint32_t delay_ms, GSourceFunc call, void *data);
/* Cancels a timer and sets its id to 0; an id of 0 is allowed. */
void bp_clock_cancel_timer(const bp_clock_t *clock, guint *id);

/*
 * The clock of the operating system with timers of its own, all behind one
 * source of the main loop.
 */
typedef struct bp_clock_loop bp_clock_loop_t;

bp_clock_loop_t *bp_clock_loop_new(void);
void bp_clock_loop_free(bp_clock_loop_t *clock);
const bp_clock_t *bp_clock_loop_clock(const bp_clock_loop_t *clock);

bp_clock_virtual_t *bp_clock_virtual_new(int64_t start_ms);
void bp_clock_virtual_free(bp_clock_virtual_t *clock);
const bp_clock_t *bp_clock_virtual_clock(const bp_clock_virtual_t *clock);
void bp_clock_virtual_advance_us(bp_clock_virtual_t *clock, int64_t delta_us);
/* Advances the time by duration_ms and runs all timers due by then. */
void bp_clock_virtual_run_ms(bp_clock_virtual_t *clock, int64_t duration_ms);
void bp_clock_virtual_step_wall_ms(bp_clock_virtual_t *clock, int64_t delta_ms);

#endif
