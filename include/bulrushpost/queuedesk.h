#ifndef BULRUSHPOST_QUEUEDESK_H
#define BULRUSHPOST_QUEUEDESK_H

#include "bulrushpost/catalog.h"
#include "proto/work.pb-c.h"

/*
 * Takes calls on queues and passes them to the owner of the job's shard,
 * here or on another node.
 */
typedef struct bp_queuedesk bp_queuedesk_t;

typedef enum {
	BP_DESK_OK,
	BP_DESK_GONE, /* no such job */
	BP_DESK_NOT_RUN, /* refused: it was not accepted and never runs */
	BP_DESK_INVALID, /* the job can never run as it is */
	BP_DESK_NOT_KNOWN /* done or not; ask again with the same ID */
} bp_desk_outcome_t;

/* Valid during the callback. */
typedef struct {
	bp_desk_outcome_t outcome;
	Bp__Work__JobState state;
	uint64_t waiting; /* jobs of the queue that have not begun */
	uint32_t retry_after_ms; /* of BP_DESK_NOT_RUN */
	const char *reason; /* for people */
} bp_desk_answer_t;

typedef void (*bp_desk_done_t)(const bp_desk_answer_t *answer, void *data);

/* The configuration in force; NULL before the first was read. */
const bp_catalog_t *bp_queuedesk_catalog(const bp_queuedesk_t *desk);
/*
 * Calls done once the configuration in force is known to be no older than
 * the operators allow; confirmed is false if the store does not tell in time.
 */
void bp_queuedesk_confirm(
    bp_queuedesk_t *desk, void (*done)(bool confirmed, void *data), void *data);
/* Takes job, whose queue, service and limits are filled in here. */
void bp_queuedesk_submit(bp_queuedesk_t *desk, const bp_queue_route_t *route,
    const char *id, Bp__Work__Job *job, uint32_t deadline_ms,
    bp_desk_done_t done, void *data);
void bp_queuedesk_status(bp_queuedesk_t *desk, const bp_queue_route_t *route,
    const char *id, uint32_t deadline_ms, bp_desk_done_t done, void *data);
void bp_queuedesk_cancel(bp_queuedesk_t *desk, const bp_queue_route_t *route,
    const char *id, uint32_t deadline_ms, bp_desk_done_t done, void *data);
void bp_queuedesk_count(bp_queuedesk_t *desk, const bp_queue_route_t *route,
    uint32_t deadline_ms, bp_desk_done_t done, void *data);
/* Whether calls can be answered now, for the balancer. */
bool bp_queuedesk_ready(const bp_queuedesk_t *desk);

#endif
