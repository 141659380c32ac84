#ifndef BULRUSHPOST_SHARD_H
#define BULRUSHPOST_SHARD_H

#include "bulrushpost/catalog.h"
#include "bulrushpost/clock.h"
#include "bulrushpost/executors.h"
#include "bulrushpost/logline.h"
#include "bulrushpost/metrics.h"
#include "bulrushpost/store.h"
#include "bulrushpost/timeline.h"
#include "proto/work.pb-c.h"

/*
 * A shard that this node owns or takes over: its jobs, its executors, the
 * orders sent to them and its records in the store (docs/platform.md).
 */
typedef struct bp_shard bp_shard_t;

/* The group drops a member that has not renewed its membership for so long. */
#define BP_SHARD_MEMBERSHIP_MS 2500

typedef struct {
	uint32_t lease_max_ms; /* executors shorten a longer lease */
	uint32_t stop_max_ms; /* a stopped run has ended by then */
	uint32_t start_early_ms; /* before a task's start time */
	uint32_t status_keep_s; /* retention of ended jobs */
	uint32_t quarantine_failures; /* consecutive, of one executor */
	bool large_task_planning; /* reserve capacity for large tasks */
	bool urgent_headroom; /* long-running jobs leave room to urgent ones */
	uint64_t jobs_bytes_max; /* memory of all jobs held; 0: no limit */
} bp_shard_limits_t;

/* Reason for which a node should release its shards. */
typedef enum {
	BP_SHARD_UNFIT_ISOLATED, /* most executors have stopped answering it */
	BP_SHARD_UNFIT_SLOW, /* its timers fire late repeatedly */
	BP_SHARD_UNFIT_UNSTORED, /* its appends get no answer, joins do */
	BP_SHARD_UNFIT_KINDS
} bp_shard_unfit_t;

typedef struct {
	const bp_clock_t *clock;
	bp_logger_t *logger;
	bp_timeline_t *timeline;
	bp_store_t *store;
	bp_executors_t *executors;
	const char *node;
	const char *address; /* of this node's control protocol */
	const char *topic;
	uint32_t number; /* also the partition of the topic */
	uint32_t shards; /* of the deployment, 0: 1 */
	bp_shard_limits_t limits;
	/* Monotonic; when the join that assigned the shard was sent. */
	int64_t membership_confirmed_ms;
	/* Asks the node at the address whether it may still send orders as an
	 * earlier owner of the shard; bp_shard_owner_stopped() tells it. May be
	 * NULL. */
	void (*ask_owner)(bp_shard_t *shard, const char *address, void *data);
	/* A later epoch owns the shard. Called once, from the event loop. */
	void (*lost)(bp_shard_t *shard, void *data);
	/* The epoch was claimed; list all executors from the start. */
	void (*owned)(bp_shard_t *shard, void *data);
	/* This node cannot serve as owner. Called once for each reason, and
	 * again while an append gets no answer. */
	void (*unfit)(bp_shard_t *shard, bp_shard_unfit_t why, void *data);
	void *data;
} bp_shard_options_t;

/*
 * Result of a call on a job. Kinds: BP_OK, BP_ENOTFOUND, BP_EINVALID,
 * BP_ELOGDOWN (store unavailable, nothing done), BP_EOVERLOAD (refused by the
 * share of the customer, nothing done), BP_ESTATE (not the owner, nothing
 * done; or the owner's configuration is too old to tell whose job it is),
 * BP_EUNKNOWN (may or may not have been done).
 */
typedef struct {
	bp_error_kind_t kind;
	Bp__Work__JobState state;
	uint64_t waiting;
	const char *reason; /* static or "" */
	uint32_t retry_after_ms; /* of a refusal; 0: the caller's default */
} bp_shard_answer_t;

/* Called once for each call on a job, possibly before the call returns. */
typedef void (*bp_shard_done_t)(const bp_shard_answer_t *answer, void *data);

/* Creates a shard and starts to take it over. */
bp_shard_t *bp_shard_new(const bp_shard_options_t *options);
/* Pending calls are answered with BP_EUNKNOWN. NULL is allowed. */
void bp_shard_free(bp_shard_t *shard);
uint32_t bp_shard_number(const bp_shard_t *shard);
uint64_t bp_shard_epoch(const bp_shard_t *shard);
bool bp_shard_ready(const bp_shard_t *shard);
bool bp_shard_membership_valid(const bp_shard_t *shard);
/* Returns whether the store has left an append, or a takeover, of the shard
 * without an answer for 1 s. */
bool bp_shard_store_unanswered(const bp_shard_t *shard);
/* Stops all starts; pending records are still written. */
void bp_shard_release(bp_shard_t *shard);
bool bp_shard_idle(const bp_shard_t *shard);
bool bp_shard_released(const bp_shard_t *shard);
/*
 * Records that a call sent at sent_mono_ms confirmed the membership. Returns
 * false if the membership may have expired since the previous confirmation:
 * another node may have owned the shard in between, and the caller must take
 * it over again.
 */
bool bp_shard_confirm_membership(bp_shard_t *shard, int64_t sent_mono_ms);

/*
 * The node at the address has said, after the shard was claimed, that it has
 * sent no orders as an earlier owner since stopped_ms (mono).
 */
void bp_shard_owner_stopped(
    bp_shard_t *shard, const char *address, int64_t stopped_ms);

void bp_shard_set_catalog(bp_shard_t *shard, const bp_catalog_t *catalog);
void bp_shard_set_zone(bp_shard_t *shard, const char *zone, bool out);
void bp_shard_update_executor(
    bp_shard_t *shard, const bp_executor_info_t *info);
void bp_shard_remove_executor(bp_shard_t *shard, const char *id);
void bp_shard_executors_listed(bp_shard_t *shard);

/* Takes ownership of job. */
void bp_shard_submit(
    bp_shard_t *shard, Bp__Work__Job *job, bp_shard_done_t done, void *data);
void bp_shard_status(
    bp_shard_t *shard, const Bp__Work__JobRef *call, bp_shard_answer_t *out);
void bp_shard_cancel(bp_shard_t *shard, const Bp__Work__JobRef *call,
    bp_shard_done_t done, void *data);
uint64_t bp_shard_count_waiting(
    const bp_shard_t *shard, const Bp__Work__JobRef *queue);
/*
 * Explains why tasks of a job wait, as JSON. Returns a string to be freed, or
 * NULL for an unknown job.
 */
char *bp_shard_why(bp_shard_t *shard, const char *id);
/* Like bp_shard_why(), as plain text with one reason per line. */
char *bp_shard_why_text(bp_shard_t *shard, const char *id);
/* Receives one counter or gauge of a shard. */
typedef void (*bp_shard_count_t)(const char *name, uint64_t value, void *data);
void bp_shard_counts(
    const bp_shard_t *shard, bp_shard_count_t tell, void *data);
/* Returns the counters and gauges as a JSON object, to be freed. */
char *bp_shard_describe(const bp_shard_t *shard);

#endif
