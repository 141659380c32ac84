#ifndef BP_QUEUES_BATCHORDER_H
#define BP_QUEUES_BATCHORDER_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/*
 * Decides which batch job comes next when more waits than can run: what goes
 * before others because of its wait, and what goes by due time. Works on values
 * that the caller passes in; has no clock.
 */

/* Wait without a running task after which a job gets one before jobs that can
 * still be in time. Of these the newest goes first, so that an older one may
 * wait for as long as the traffic lasts. */
#define BP_BATCH_WAIT_MAX_MS 20000
/* Share of a service's running fillers that claims leave to jobs which can
 * still be in time: late jobs earn less. */
#define BP_BATCH_IN_TIME_PERCENT 80
/* Wait after which a job gets one running task before late jobs get more, once
 * the traffic has ended. The platform counts a job as lost that has nothing
 * running beside free capacity for 3 s then. */
#define BP_BATCH_IDLE_MS 500
/* Claims of one round. Most attempts find no place while hundreds of jobs wait,
 * and long rounds leave fewer starts a second. */
#define BP_BATCH_CLAIMS_MAX 32
/* Wait after which a task of a job shares processors with other fillers, once
 * the traffic has ended. Sharing slows all of them, so that a job first looks
 * for unused processors. */
#define BP_BATCH_SHARE_AFTER_MS 1000
/* The traffic of a service has ended when it accepted no batch job for so long.
 * In a shorter pause, claims would delay late jobs that are nearly done. */
#define BP_BATCH_QUIET_MS 7000

/* Right of a job with nothing running to start one task before others. */
typedef enum {
	BP_BATCH_CLAIM_NONE,
	BP_BATCH_CLAIM_LATE, /* before the late jobs */
	BP_BATCH_CLAIM_FIRST, /* before jobs that can be in time */
	/* Either; claims to go first may only take a part of the capacity. */
	BP_BATCH_CLAIM_FIRST_OR_LATE
} bp_batch_claim_t;

/* A batch job, that is, one with steps of fillers. */
typedef struct {
	const char *service;
	int64_t accepted_ms; /* monotonic, as are the other times */
	int64_t idle_since_ms; /* it has had nothing running */
	uint32_t running; /* tasks */
	bool claimed; /* a claim to go first started them */
	int64_t tried_ms; /* its claim was last used, 0: never */
	void *ready; /* caller's; a step with waiting tasks, NULL: none */
	/* Results. */
	bp_batch_claim_t claim;
	bool shares_processors;
} bp_batch_job_t;

/* A job that can still be in time. */
typedef struct {
	bool started; /* a task of it */
	int64_t due_ms;
	/* Class of the interference with serving tasks, 0 for the least. */
	uint32_t interference;
} bp_batch_in_time_t;

typedef struct bp_batch_order bp_batch_order_t;

bp_batch_order_t *bp_batch_order_new(void);
/* NULL is allowed. */
void bp_batch_order_free(bp_batch_order_t *order);
/* Adds a job that has not ended; service is to outlive the order. */
void bp_batch_order_add(bp_batch_order_t *order, const bp_batch_job_t *job);
/* Adds the time at which a service accepted a batch job, which may have ended
 * since; service is to outlive the order. */
void bp_batch_order_add_acceptance(
    bp_batch_order_t *order, const char *service, int64_t accepted_ms);
/*
 * Returns the jobs with a claim, bp_batch_job_t, BP_BATCH_CLAIMS_MAX at most:
 * those that have waited longest, then those that were tried longest ago, as
 * the first ones may not fit anywhere. The array belongs to the order. Call it
 * once.
 */
const GArray *bp_batch_order_decide(bp_batch_order_t *order, int64_t now_ms);
/*
 * Returns whether a job of the service may use its claim to go first now;
 * bp_batch_order_went_first() tells that it has.
 */
bool bp_batch_order_may_go_first(bp_batch_order_t *order, const char *service);
void bp_batch_order_went_first(bp_batch_order_t *order, const char *service);

/* Compares jobs that can still be in time; negative when x goes first. */
int bp_batch_compare_in_time(
    const bp_batch_in_time_t *x, const bp_batch_in_time_t *y);

#endif
