#ifndef BP_TESTS_QUEUERIG_H
#define BP_TESTS_QUEUERIG_H

#include "bulrushpost/shard.h"
#include "support/queuefleet.h"
#include "support/queuestore.h"

#define BP_QRIG_NODES 4

/* What a caller was told of a submission or a cancel. */
typedef enum {
	BP_QRIG_OPEN,
	BP_QRIG_ACCEPTED,
	BP_QRIG_REFUSED,
	BP_QRIG_UNKNOWN
} bp_qrig_told_t;

/*
 * Nodes that run the real membership and shards on a store and executors in
 * memory, under a virtual clock, and callers that remember what they were
 * told.
 */
typedef struct bp_qrig bp_qrig_t;

bp_qrig_t *bp_qrig_new(uint64_t seed, uint32_t executors);
/* The same with planning of large tasks, see docs/decisions/large-tasks.md. */
bp_qrig_t *bp_qrig_new_planning(uint64_t seed, uint32_t executors);
/* The same with headroom for short urgent work, see src/queues/headroom.h. */
bp_qrig_t *bp_qrig_new_headroom(uint64_t seed, uint32_t executors);
void bp_qrig_free(bp_qrig_t *rig);
bp_qstore_t *bp_qrig_store(bp_qrig_t *rig);
bp_qfleet_t *bp_qrig_fleet(bp_qrig_t *rig);
bp_random_t *bp_qrig_random(bp_qrig_t *rig);
bp_clock_virtual_t *bp_qrig_clock(bp_qrig_t *rig);
void bp_qrig_run_ms(bp_qrig_t *rig, int64_t duration_ms);

/* What steps ask for beside capacity; zeros and NULL for nothing. */
typedef struct {
	uint32_t spread_max;
	uint32_t accelerators;
	bool gang;
	const char *label;
	uint32_t cpu_milli; /* of a task, 0: 4000 */
	bool filler; /* uses processor time that others leave */
	bool reliable; /* no run fails by its own fault */
	uint32_t priority; /* 0 goes first */
	const char *service; /* NULL: that of all executors */
	uint32_t fails_after_ms; /* each run of a task that lasts; 0: none */
	const char *customer; /* static; NULL: none */
	uint32_t due_after_ms; /* from when it is handed in; 0: at once */
	uint32_t memory_mib; /* of a task, 0: 100 */
	uint32_t declared_ms; /* duration that the job declares, 0: the true */
	bool checkpoints;
	bool single; /* the job has no second step */
	const char *image; /* static; NULL: none */
	uint32_t target_ms; /* of the tail latency; 0: not a serving task */
} bp_qrig_shape_t;

/* A customer of the configuration; see bp_customer_t. */
typedef struct {
	const char *name; /* static */
	uint32_t weight;
	uint32_t cap_cpu_milli;
} bp_qrig_customer_t;

/* Sets what the steps of later jobs ask for. */
void bp_qrig_set_shape(bp_qrig_t *rig, const bp_qrig_shape_t *shape);
/*
 * Puts a configuration with these customers in force on all nodes. Each start
 * is then checked against the caps; of the caps of the last moment the higher
 * one counts.
 */
void bp_qrig_set_customers(
    bp_qrig_t *rig, const bp_qrig_customer_t *customers, uint32_t n);
/* Processors that a customer's tasks request on all executors. */
uint32_t bp_qrig_customer_milli(bp_qrig_t *rig, const char *customer);
/* After how many ms a refused caller is to try again, 0 if it was not told. */
uint32_t bp_qrig_retry_after_ms(const bp_qrig_t *rig, const char *id);
/* A job of two steps, the second after the first; returns its ID. */
const char *bp_qrig_submit(
    bp_qrig_t *rig, uint32_t tasks, int64_t task_ms, bool lasting);
/* Makes such a job without handing it in; returns its ID. */
const char *bp_qrig_prepare(
    bp_qrig_t *rig, uint32_t tasks, int64_t task_ms, bool lasting);
/* Hands a prepared job in, or the same job again. */
void bp_qrig_resubmit(bp_qrig_t *rig, const char *id);
void bp_qrig_cancel(bp_qrig_t *rig, const char *id);
bp_qrig_told_t bp_qrig_told(const bp_qrig_t *rig, const char *id);
bp_qrig_told_t bp_qrig_cancel_told(const bp_qrig_t *rig, const char *id);
/* What the owner says of a job: BP_OK with *state, or another kind. */
int bp_qrig_status(bp_qrig_t *rig, const char *id, Bp__Work__JobState *state);
/* The owner's explanation of a job; free it. */
char *bp_qrig_why(bp_qrig_t *rig, const char *id);
/* Jobs that some caller knows to be accepted and that have not ended. */
uint32_t bp_qrig_unfinished(bp_qrig_t *rig, bool lasting);
/* Tasks without a run, of accepted jobs that last and that nobody has tried to
 * cancel. */
uint32_t bp_qrig_away(const bp_qrig_t *rig);
/* A counter of the owner's shard, see bp_shard_counts; 0 without owner. */
uint64_t bp_qrig_count(bp_qrig_t *rig, const char *name);
/* Time from the submission of a job to the first start of a task of its first
 * step; -1 if it has not started. */
int64_t bp_qrig_wait_ms(const bp_qrig_t *rig, const char *id, uint32_t index);
/* A sum over the tasks, runs and times of all starts so far: equal for equal
 * decisions. */
uint64_t bp_qrig_starts_digest(const bp_qrig_t *rig);
/* The shard of the owner; NULL for none. */
bp_shard_t *bp_qrig_owner_shard(const bp_qrig_t *rig);
/* The index of the node that owns the shard, -1 for none. */
int bp_qrig_owner(const bp_qrig_t *rig);

/* Faults of nodes. */
void bp_qrig_kill(bp_qrig_t *rig, uint32_t node);
/* A planned stop begins: the node gives its shards up; kill it a little later.
 */
void bp_qrig_leave(bp_qrig_t *rig, uint32_t node);
void bp_qrig_restart(bp_qrig_t *rig, uint32_t node);
void bp_qrig_freeze(bp_qrig_t *rig, uint32_t node, bool frozen);
/* The node reaches no executor; its store is not concerned. */
void bp_qrig_cut_executors(bp_qrig_t *rig, uint32_t node, bool cut);
void bp_qrig_store_mode(bp_qrig_t *rig, uint32_t node, bp_qstore_mode_t mode);
/* The same for all nodes. */
void bp_qrig_store_mode_all(bp_qrig_t *rig, bp_qstore_mode_t mode);
void bp_qrig_set_zone(bp_qrig_t *rig, const char *zone, bool out);

uint32_t bp_qrig_broken(const bp_qrig_t *rig);
const char *bp_qrig_first_broken(const bp_qrig_t *rig);

#endif
