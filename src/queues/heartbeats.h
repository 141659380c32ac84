#ifndef BP_QUEUES_HEARTBEATS_H
#define BP_QUEUES_HEARTBEATS_H

#include "bulrushpost/clock.h"

#include <stdbool.h>

/*
 * Times the heartbeats that this node sends to the owners of shards: regularly,
 * and soon after another owner of a shard is known.
 */
typedef struct bp_heartbeats bp_heartbeats_t;

typedef struct {
	const bp_clock_t *clock;
	uint32_t shards;
	/* Returns the address of the shard's owner, NULL if unknown or if no
	 * heartbeat is needed. */
	const char *(*owner)(uint32_t shard, void *data);
	/* Sends a heartbeat; its answer is passed to
	 * bp_heartbeats_answered(). */
	void (*send)(uint32_t shard, const char *owner, void *data);
	void *data;
} bp_heartbeats_options_t;

bp_heartbeats_t *bp_heartbeats_new(const bp_heartbeats_options_t *options);
void bp_heartbeats_free(bp_heartbeats_t *heartbeats);
/* Records whether the node that got the last heartbeat owns the shard. */
void bp_heartbeats_answered(
    bp_heartbeats_t *heartbeats, uint32_t shard, bool owns);

#endif
