#ifndef BP_QUEUES_FRESHNESS_H
#define BP_QUEUES_FRESHNESS_H

#include "bulrushpost/clock.h"

#include <stdbool.h>

/*
 * Freshness of this node's configuration: the time at which it is known to have
 * been the newest, and the calls that wait for a refresh since the node was cut
 * off, paused or busy for too long.
 */
typedef struct bp_freshness bp_freshness_t;

typedef struct {
	const bp_clock_t *clock;
	uint32_t max_age_ms; /* time within which an accepted configuration has
			      to be in force on all nodes */
	void (*refresh)(
	    void *data); /* starts to read the newest configuration */
	void *data;
} bp_freshness_options_t;

/* confirmed: no newer configuration was accepted more than limit_ms ago. */
typedef void (*bp_freshness_done_t)(bool confirmed, void *data);

bp_freshness_t *bp_freshness_new(const bp_freshness_options_t *options);
void bp_freshness_free(bp_freshness_t *freshness);
/* Records that all configurations accepted up to as_of_ms, on the monotonic
 * clock, are known here. */
void bp_freshness_update(bp_freshness_t *freshness, int64_t as_of_ms);
bool bp_freshness_is_fresh(const bp_freshness_t *freshness);
/* Calls done at once if the configuration is fresh or a refresh has failed
 * lately, otherwise once a refresh has succeeded or timed out. */
void bp_freshness_check(
    bp_freshness_t *freshness, bp_freshness_done_t done, void *data);
/* Ends all waiting calls as not confirmed. */
void bp_freshness_cancel(bp_freshness_t *freshness);

#endif
