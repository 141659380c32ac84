#ifndef BP_QUEUES_SHARDING_H
#define BP_QUEUES_SHARDING_H

#include "bulrushpost/clock.h"
#include "bulrushpost/executors.h"
#include "bulrushpost/logline.h"
#include "bulrushpost/store.h"

/*
 * How many shards a deployment has and which rack belongs to which. The
 * first node that finds no plan in the store writes one from the executors
 * that are listed then; all others read it.
 */
typedef struct bp_sharding bp_sharding_t;

typedef struct {
	const bp_clock_t *clock;
	bp_logger_t *logger;
	bp_store_t *store; /* NULL: the plan is shards racks by hash */
	const char *topic;
	uint32_t shards; /* 0: by the number of executors */
	uint32_t
	    executors_per_shard; /* that an owner of this node's size bears */
	bool standby; /* leaves the plan to larger nodes for a while */
	/* The executors' list is to be read, whole from now on, or not. */
	void (*follow)(bool follow, void *data);
	/* The plan is known; called once, later. */
	void (*decided)(void *data);
	void *data;
} bp_sharding_options_t;

bp_sharding_t *bp_sharding_new(const bp_sharding_options_t *options);
void bp_sharding_free(bp_sharding_t *self);
/* Reads the plan, or makes it. */
void bp_sharding_start(bp_sharding_t *self);
/* The list of executors, while a plan is being made. */
void bp_sharding_executor(bp_sharding_t *self, const bp_executor_info_t *info);
void bp_sharding_executors_listed(bp_sharding_t *self);
bool bp_sharding_decided(const bp_sharding_t *self);

/* Returns the shard of a job; every node gives the same. */
uint32_t bp_sharding_of_job(const char *id, uint32_t shards);
uint32_t bp_sharding_count(const bp_sharding_t *self);
uint32_t bp_sharding_of_rack(
    const bp_sharding_t *self, const char *zone, const char *rack);

#endif
