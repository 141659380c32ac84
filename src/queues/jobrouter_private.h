#ifndef BP_QUEUES_JOBROUTER_PRIVATE_H
#define BP_QUEUES_JOBROUTER_PRIVATE_H

#include "queues/callretry.h"
#include "queues/jobref.h"
#include "queues/jobrouter.h"

/* Reason for which a stopped job router refuses calls. */
#define BP_JOB_ROUTER_STOPPING "the node is stopping"

typedef enum {
	BP_JOB_CALL_SUBMIT,
	BP_JOB_CALL_STATUS,
	BP_JOB_CALL_CANCEL,
	BP_JOB_CALL_COUNT
} bp_job_call_kind_t;

struct bp_job_router {
	bp_job_router_options_t options;
	const bp_catalog_t *catalog;
	GHashTable *calls; /* set of open bp_job_call_t */
	bp_call_retry_t *retry;
	bool stopped; /* refuses calls */
};

/* A call on a job, which may be attempted at several owners in turn. */
typedef struct bp_job_call {
	bp_job_router_t *router; /* NULL once the call is answered */
	bp_job_call_kind_t kind;
	uint32_t shard;
	Bp__Work__JobRef *ref;
	Bp__Work__Job *job;
	int64_t start_ms; /* mono */
	int64_t deadline_ms; /* mono */
	bool maybe_applied; /* an earlier attempt may have taken effect */
	uint32_t tries; /* also those that found no owner */
	uint32_t open_attempts; /* in flight */
	uint32_t unknown_attempts; /* that ended with an unknown outcome */
	char *address; /* of the last owner on another node; or NULL */
	bool refused; /* that owner has answered, but did not take the call */
	bp_job_router_done_t done;
	void *data;
	guint timer;
} bp_job_call_t;

/* Returns the time on the monotonic clock by which the answer has to be sent
 * to a caller that waits for deadline_ms. A call that may have arrived during
 * a pause of this process counts from its start. */
int64_t bp_job_router_answer_deadline_ms(
    const bp_job_router_t *router, uint32_t deadline_ms);
/* Creates an open call, which takes ownership of ref. Job and deadline are to
 * be set before it is tried. */
bp_job_call_t *bp_job_call_new(bp_job_router_t *router, bp_job_call_kind_t kind,
    Bp__Work__JobRef *ref, bp_job_router_done_t done, void *data);
/* Attempts the call at the owner of its shard, if that is known now. */
void bp_job_call_try(bp_job_call_t *call);
/* Sends the call to the owner at address, on another node. */
void bp_job_call_send(bp_job_call_t *call, const char *address);
/* Ends, repeats or goes on with a call after an attempt ended; kind is one of
 * bp_error_kind_t. */
void bp_job_call_handle_answer(bp_job_call_t *call, int kind,
    Bp__Work__JobState state, uint64_t waiting, uint32_t retry_after_ms,
    const char *reason);
/* The job router and each attempt in flight hold a reference. */
void bp_job_call_unref(bp_job_call_t *call);
/* Answers the call as refused, or with an unknown outcome. */
void bp_job_call_fail(bp_job_call_t *call, const char *reason);

#endif
