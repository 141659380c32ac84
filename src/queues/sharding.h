#ifndef BP_QUEUES_SHARDING_H
#define BP_QUEUES_SHARDING_H

#include "bulrushpost/clock.h"
#include "bulrushpost/executors.h"
#include "bulrushpost/logline.h"
#include "bulrushpost/store.h"

/*
 * The shard plan: the number of shards of a deployment and the shard of each
 * rack. The first node that finds no plan in the store writes one from the
 * executors that are listed then; all other nodes read it.
 */
typedef struct bp_sharding bp_sharding_t;

typedef struct {
	const bp_clock_t *clock;
	bp_logger_t *logger;
	bp_store_t *store; /* NULL: no plan is stored, racks go by hash */
	const char *topic;
	uint32_t shards; /* 0: derived from the number of executors */
	uint32_t executors_per_shard; /* capacity of an owner of this size */
	bool standby; /* gives larger nodes time to write the plan first */
	/* Starts to read the whole list of executors, or stops reading it. */
	void (*follow)(bool follow, void *data);
	/* The plan is known. Called once, not from within
	 * bp_sharding_start(). */
	void (*decided)(void *data);
	void *data;
} bp_sharding_options_t;

bp_sharding_t *bp_sharding_new(const bp_sharding_options_t *options);
void bp_sharding_free(bp_sharding_t *self);
/* Reads the plan, or writes one if the store has none. */
void bp_sharding_start(bp_sharding_t *self);
/* The executors of the list, and its end, while a plan is being made. */
void bp_sharding_executor(bp_sharding_t *self, const bp_executor_info_t *info);
void bp_sharding_executors_listed(bp_sharding_t *self);
bool bp_sharding_decided(const bp_sharding_t *self);

/* Returns the shard of a job, which is the same on every node. */
uint32_t bp_sharding_of_job(const char *id, uint32_t shards);
uint32_t bp_sharding_count(const bp_sharding_t *self);
uint32_t bp_sharding_of_rack(
    const bp_sharding_t *self, const char *zone, const char *rack);

#endif
