#ifndef BULRUSHPOST_JOBROUTER_H
#define BULRUSHPOST_JOBROUTER_H

#include "bulrushpost/access.h"
#include "proto/work.pb-c.h"

/*
 * Job router: passes calls on jobs to the owner of the job's shard, on this
 * node or another one.
 */
typedef struct bp_job_router bp_job_router_t;

typedef enum {
	BP_JOB_ROUTER_OK,
	BP_JOB_ROUTER_NOT_FOUND, /* no such job */
	BP_JOB_ROUTER_NOT_RUN, /* refused: the call has no effect */
	BP_JOB_ROUTER_INVALID, /* the job can never run as it is */
	BP_JOB_ROUTER_NOT_KNOWN /* may have taken effect; retry with the same ID
				 */
} bp_job_router_outcome_t;

/* Valid during the callback. */
typedef struct {
	bp_job_router_outcome_t outcome;
	Bp__Work__JobState state;
	uint64_t waiting; /* jobs of the queue that have not started */
	uint32_t retry_after_ms; /* for BP_JOB_ROUTER_NOT_RUN */
	const char *reason; /* human-readable */
} bp_job_router_answer_t;

typedef void (*bp_job_router_done_t)(
    const bp_job_router_answer_t *answer, void *data);

typedef void (*bp_job_router_admitted_t)(const bp_access_t *access, void *data);

/* Returns the configuration in force, NULL before the first was read. */
const bp_catalog_t *bp_job_router_catalog(const bp_job_router_t *router);
/*
 * Calls done once it is known whether the configuration in force is as fresh as
 * the operators require; confirmed is false if the store does not answer in
 * time.
 */
void bp_job_router_check_catalog(bp_job_router_t *router,
    void (*done)(bool confirmed, void *data), void *data);
/*
 * Decides whether a call may pass, by one check of freshness, host, path and
 * key, and counts it. Calls done at once or later; access is valid during the
 * callback. key is NULL if the call has none.
 */
void bp_job_router_admit(bp_job_router_t *router, const char *host,
    const char *path, const char *key, bp_job_router_admitted_t done,
    void *data);
/*
 * The following calls invoke done exactly once, at once or later. deadline_ms
 * is the time that the caller still waits.
 */
/* Takes ownership of job and fills in its ID, queue, service, limits and the
 * name of its customer, which is empty for none. */
void bp_job_router_submit(bp_job_router_t *router,
    const bp_queue_route_t *route, const char *customer, const char *id,
    Bp__Work__Job *job, uint32_t deadline_ms, bp_job_router_done_t done,
    void *data);
void bp_job_router_status(bp_job_router_t *router,
    const bp_queue_route_t *route, const char *id, uint32_t deadline_ms,
    bp_job_router_done_t done, void *data);
void bp_job_router_cancel(bp_job_router_t *router,
    const bp_queue_route_t *route, const char *id, uint32_t deadline_ms,
    bp_job_router_done_t done, void *data);
void bp_job_router_count(bp_job_router_t *router, const bp_queue_route_t *route,
    uint32_t deadline_ms, bp_job_router_done_t done, void *data);
/* Returns whether calls can be answered now, for the balancer's check. */
bool bp_job_router_ready(const bp_job_router_t *router);

#endif
