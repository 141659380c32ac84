#ifndef BP_QUEUES_CONFIRM_H
#define BP_QUEUES_CONFIRM_H

#include "bulrushpost/clock.h"

#include <stdbool.h>

/*
 * Freshness of this node's configuration: the time at which it is known to have
 * been the newest, and the calls that wait for a refresh since the node was cut
 * off, paused or busy for too long.
 */
typedef struct bp_confirm bp_confirm_t;

typedef struct {
	const bp_clock_t *clock;
	uint32_t limit_ms; /* time within which an accepted configuration has
			      to be in force on all nodes */
	void (*ask)(void *data); /* starts to read the newest configuration */
	void *data;
} bp_confirm_options_t;

/* confirmed: no newer configuration was accepted more than limit_ms ago. */
typedef void (*bp_confirm_done_t)(bool confirmed, void *data);

bp_confirm_t *bp_confirm_new(const bp_confirm_options_t *options);
void bp_confirm_free(bp_confirm_t *confirm);
/* Records that all configurations accepted up to as_of_ms, on the monotonic
 * clock, are known here. */
void bp_confirm_told(bp_confirm_t *confirm, int64_t as_of_ms);
bool bp_confirm_holds(const bp_confirm_t *confirm);
/* Calls done at once if the configuration is fresh or a refresh has failed
 * lately, otherwise once a refresh has succeeded or timed out. */
void bp_confirm_run(bp_confirm_t *confirm, bp_confirm_done_t done, void *data);
/* Ends all waiting calls as not confirmed. */
void bp_confirm_give_up(bp_confirm_t *confirm);

#endif
