#ifndef BP_QUEUES_OWNEDSHARDS_H
#define BP_QUEUES_OWNEDSHARDS_H

#include "bulrushpost/shard.h"
#include "queues/sharding.h"

/*
 * The shards that this node owns. Takes them over and releases them as the
 * store assigns them, and forwards configuration, zones and executors to them.
 */
typedef struct bp_owned_shards bp_owned_shards_t;

typedef struct {
	const bp_clock_t *clock;
	bp_logger_t *logger;
	bp_timeline_t *timeline;
	bp_store_t *store;
	bp_executors_t *executors;
	const char *node;
	const char *address; /* of this node's control protocol */
	const char *topic;
	const bp_sharding_t *sharding; /* its plan is known */
	bp_shard_limits_t limits;
	/* Starts to read the whole list of executors, or stops reading it. */
	void (*watch_executors)(bool follow, void *data);
	/* Asks the node at the address whether it may still send orders as an
	 * owner of the shard before the epoch. Its answer is passed to
	 * bp_owned_shards_owner_stopped(). May be NULL. */
	void (*ask_owner)(
	    const char *address, uint32_t number, uint64_t epoch, void *data);
	/* This node cannot do an owner's work; another one is to own. */
	void (*unfit)(bp_shard_unfit_t why, void *data);
	void *data;
} bp_owned_shards_options_t;

bp_owned_shards_t *bp_owned_shards_new(
    const bp_owned_shards_options_t *options);
void bp_owned_shards_free(bp_owned_shards_t *self);
/* Returns the shards by number, NULL where this node is not the owner. The
 * array lives as long as self; its elements change. */
bp_shard_t *const *bp_owned_shards_by_number(const bp_owned_shards_t *self);
/* The store answered a join sent at sent_mono_ms: shards[i] tells whether
 * shard i is assigned to this node. */
void bp_owned_shards_set_assigned(
    bp_owned_shards_t *self, const bool *shards, int64_t sent_mono_ms);
/* Returns whether this node owns a shard, with a membership that is valid, and
 * is not releasing it. A shard that is still taken over does not count: its
 * takeover may never end. */
bool bp_owned_shards_serves(const bp_owned_shards_t *self, uint32_t number);
/* Returns whether this node sends no orders as the owner of a shard, and sets
 * *stopped_ms to since when (mono). */
bool bp_owned_shards_stopped(
    const bp_owned_shards_t *self, uint32_t number, int64_t *stopped_ms);
/* The node at the address was asked for the epoch, and has stopped. */
void bp_owned_shards_owner_stopped(bp_owned_shards_t *self, const char *address,
    uint32_t number, uint64_t epoch, int64_t stopped_ms);
/* Releases all shards: nothing is started any more, but pending records are
 * still written. */
void bp_owned_shards_release(bp_owned_shards_t *self);
bool bp_owned_shards_idle(const bp_owned_shards_t *self);
void bp_owned_shards_drop_all(bp_owned_shards_t *self);

/* The catalog has to live until the next call. */
void bp_owned_shards_set_catalog(
    bp_owned_shards_t *self, const bp_catalog_t *catalog);
void bp_owned_shards_set_zone(
    bp_owned_shards_t *self, const char *zone, bool out);
void bp_owned_shards_update_executor(
    bp_owned_shards_t *self, const bp_executor_info_t *info);
void bp_owned_shards_remove_executor(bp_owned_shards_t *self, const char *id);
void bp_owned_shards_executors_listed(bp_owned_shards_t *self);

#endif
