#ifndef BP_QUEUES_MEMBERSHIP_H
#define BP_QUEUES_MEMBERSHIP_H

#include "bulrushpost/clock.h"
#include "bulrushpost/logline.h"
#include "bulrushpost/store.h"

/*
 * Membership of this node in the store's group that assigns the shards. Joins
 * on creation, renews the membership regularly and caches the shards' owners.
 */
typedef struct bp_membership bp_membership_t;

typedef struct {
	const bp_clock_t *clock;
	bp_logger_t *logger;
	bp_store_t *store;
	const char *topic;
	const char *address; /* of this node's control protocol */
	uint64_t incarnation;
	uint32_t shards;
	/* Joins only while a shard has no owner that responds. */
	bool standby;
	/* The store confirmed a join sent at sent_mono_ms: shards[i] tells
	 * whether shard i is assigned to this node. Also called without any
	 * shard while this node is not to own one. */
	void (*assigned)(const bool *shards, int64_t sent_mono_ms, void *data);
	/* Returns whether this node serves a shard, with a membership that is
	 * valid. The membership keeps such a shard when the group would assign
	 * it elsewhere. NULL: it keeps none. */
	bool (*serves)(uint32_t shard, void *data);
	void *data;
} bp_membership_options_t;

bp_membership_t *bp_membership_new(const bp_membership_options_t *options);
void bp_membership_free(bp_membership_t *self);
/* Records that the owner of a shard, possibly this node, responded. */
void bp_membership_owner_answered(bp_membership_t *self, uint32_t shard);
/* Called while a preferred node is alive: a standby releases its shards. */
void bp_membership_yield_to_preferred(bp_membership_t *self);
/* Steps down: releases all shards, as this node cannot do an owner's work, and
 * joins again later. */
void bp_membership_step_down(bp_membership_t *self);
/* Returns whether this node has stepped down and not joined again. */
bool bp_membership_stepped_down(const bp_membership_t *self);
/* Leaves the group, after a join in flight, and never joins again. */
void bp_membership_leave(bp_membership_t *self);
/* Returns the address of a shard's owner as last read, NULL if unknown. The
 * string lives until the owners are read again. */
const char *bp_membership_owner(const bp_membership_t *self, uint32_t shard);
/* Returns how often a shard was kept that the group had assigned elsewhere. */
uint64_t bp_membership_kept(const bp_membership_t *self);
/* Reads the owners from the store again, as the cached ones may be wrong. */
void bp_membership_refresh_owners(bp_membership_t *self);

#endif
