#ifndef BULRUSHPOST_PAUSEWATCH_H
#define BULRUSHPOST_PAUSEWATCH_H

#include "bulrushpost/clock.h"

#include <stdbool.h>

/*
 * Detects pauses of this process: a stopped or suspended machine, or a busy
 * event loop. What arrives during a pause is read after it, when its sender
 * may have given up.
 */
typedef struct bp_pause_watch bp_pause_watch_t;

typedef struct {
	int64_t start_ms; /* mono, last moment before the pause that is known */
	int64_t end_ms; /* mono */
} bp_pause_t;

/* The clock has to outlive the watch. */
bp_pause_watch_t *bp_pause_watch_new(const bp_clock_t *clock);
/* NULL is allowed. */
void bp_pause_watch_free(bp_pause_watch_t *watch);
/*
 * Returns whether data that is read now may have arrived during a pause, and
 * sets *out to that pause.
 */
bool bp_pause_watch_recent(bp_pause_watch_t *watch, bp_pause_t *out);
/* Returns the earliest time (mono, ms) at which data that is read now may have
 * arrived. */
int64_t bp_pause_watch_arrival_ms(bp_pause_watch_t *watch);

#endif
