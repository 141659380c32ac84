#ifndef BP_QUEUES_SHARDS_H
#define BP_QUEUES_SHARDS_H

#include "bulrushpost/shard.h"
#include "queues/sharding.h"

/*
 * The shards that this node owns. Takes them over and releases them as the
 * store assigns them, and forwards configuration, zones and executors to them.
 */
typedef struct bp_shards bp_shards_t;

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
	void (*follow)(bool follow, void *data);
	/* This node cannot do an owner's work; another one is to own. */
	void (*unfit)(bp_shard_unfit_t why, void *data);
	void *data;
} bp_shards_options_t;

bp_shards_t *bp_shards_new(const bp_shards_options_t *options);
void bp_shards_free(bp_shards_t *self);
/* Returns the shards by number, NULL where this node is not the owner. The
 * array lives as long as self; its elements change. */
bp_shard_t *const *bp_shards_owned(const bp_shards_t *self);
/* The store answered a join sent at sent_mono_ms: shards[i] tells whether
 * shard i is assigned to this node. */
void bp_shards_held(
    bp_shards_t *self, const bool *shards, int64_t sent_mono_ms);
/* Releases all shards: nothing is started any more, but pending records are
 * still written. */
void bp_shards_release(bp_shards_t *self);
bool bp_shards_idle(const bp_shards_t *self);
void bp_shards_drop_all(bp_shards_t *self);

/* The catalog has to live until the next call. */
void bp_shards_set_catalog(bp_shards_t *self, const bp_catalog_t *catalog);
void bp_shards_set_zone(bp_shards_t *self, const char *zone, bool out);
void bp_shards_executor(bp_shards_t *self, const bp_executor_info_t *info);
void bp_shards_executor_gone(bp_shards_t *self, const char *id);
void bp_shards_executors_listed(bp_shards_t *self);

#endif
