#ifndef BP_QUEUES_CONFIRM_H
#define BP_QUEUES_CONFIRM_H

#include "bulrushpost/clock.h"

#include <stdbool.h>

/*
 * Whether the configuration of this node may still be answered from: until
 * when it is known to have been the newest, and the calls that wait for a
 * node that was cut off, paused or busy to find out.
 */
typedef struct bp_confirm bp_confirm_t;

typedef struct {
	const bp_clock_t *clock;
	uint32_t limit_ms; /* a configuration is in force everywhere after it */
	void (*ask)(void *data); /* reads the newest configuration at once */
	void *data;
} bp_confirm_options_t;

/* confirmed: no newer configuration had been in force for limit_ms. */
typedef void (*bp_confirm_done_t)(bool confirmed, void *data);

bp_confirm_t *bp_confirm_new(const bp_confirm_options_t *options);
void bp_confirm_free(bp_confirm_t *confirm);
/* All configurations accepted until as_of_ms (mono) are known here. */
void bp_confirm_told(bp_confirm_t *confirm, int64_t as_of_ms);
bool bp_confirm_holds(const bp_confirm_t *confirm);
/* Calls done at once if that is known, else when the store has answered. */
void bp_confirm_run(bp_confirm_t *confirm, bp_confirm_done_t done, void *data);
/* Calls that still wait are told that nothing is confirmed. */
void bp_confirm_give_up(bp_confirm_t *confirm);

#endif
