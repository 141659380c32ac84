#ifndef BULRUSHPOST_QUEUEDESK_H
#define BULRUSHPOST_QUEUEDESK_H

#include "bulrushpost/catalog.h"
#include "proto/work.pb-c.h"

/*
 * Job router: passes calls on jobs to the owner of the job's shard, on this
 * node or another one.
 */
typedef struct bp_queuedesk bp_queuedesk_t;

typedef enum {
	BP_DESK_OK,
	BP_DESK_GONE, /* no such job */
	BP_DESK_NOT_RUN, /* refused: the call has no effect */
	BP_DESK_INVALID, /* the job can never run as it is */
	BP_DESK_NOT_KNOWN /* may have taken effect; retry with the same ID */
} bp_desk_outcome_t;

/* Valid during the callback. */
typedef struct {
	bp_desk_outcome_t outcome;
	Bp__Work__JobState state;
	uint64_t waiting; /* jobs of the queue that have not started */
	uint32_t retry_after_ms; /* for BP_DESK_NOT_RUN */
	const char *reason; /* human-readable */
} bp_desk_answer_t;

typedef void (*bp_desk_done_t)(const bp_desk_answer_t *answer, void *data);

/* Returns the configuration in force, NULL before the first was read. */
const bp_catalog_t *bp_queuedesk_catalog(const bp_queuedesk_t *desk);
/*
 * Calls done once it is known whether the configuration in force is as fresh as
 * the operators require; confirmed is false if the store does not answer in
 * time.
 */
void bp_queuedesk_confirm(
    bp_queuedesk_t *desk, void (*done)(bool confirmed, void *data), void *data);
/*
 * The following calls invoke done exactly once, at once or later. deadline_ms
 * is the time that the caller still waits.
 */
/* Takes ownership of job and fills in its ID, queue, service and limits. */
void bp_queuedesk_submit(bp_queuedesk_t *desk, const bp_queue_route_t *route,
    const char *id, Bp__Work__Job *job, uint32_t deadline_ms,
    bp_desk_done_t done, void *data);
void bp_queuedesk_status(bp_queuedesk_t *desk, const bp_queue_route_t *route,
    const char *id, uint32_t deadline_ms, bp_desk_done_t done, void *data);
void bp_queuedesk_cancel(bp_queuedesk_t *desk, const bp_queue_route_t *route,
    const char *id, uint32_t deadline_ms, bp_desk_done_t done, void *data);
void bp_queuedesk_count(bp_queuedesk_t *desk, const bp_queue_route_t *route,
    uint32_t deadline_ms, bp_desk_done_t done, void *data);
/* Returns whether calls can be answered now, for the balancer's check. */
bool bp_queuedesk_ready(const bp_queuedesk_t *desk);

#endif
