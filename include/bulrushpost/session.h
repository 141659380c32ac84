#ifndef BULRUSHPOST_SESSION_H
#define BULRUSHPOST_SESSION_H

#include "bulrushpost/follower.h"
#include "bulrushpost/workerclient.h"

/*
 * The owner's side of the session on one worker: opens it under the rack's
 * epoch, sends starts only with a nonce that was confirmed at the log's
 * head, renews leases, and passes reports on. See design section 4.
 */
typedef struct bp_session bp_session_t;

typedef enum {
	BP_SESSION_OPENING,
	BP_SESSION_OPEN,
	BP_SESSION_FENCED /* the worker has a session of a higher epoch */
} bp_session_status_t;

/* Callbacks run from the main loop; none may free the session. */
typedef struct {
	/* The session is open; the answer lists what runs on the worker. */
	void (*opened)(bp_session_t *session,
	    const Bp__Worker__NonceAnswer *answer, void *data);
	void (*report)(bp_session_t *session,
	    const Bp__Worker__RenewAnswer *answer, void *data);
	/* Asked just before sending; false drops the task from the queue. */
	bool (*may_start)(bp_session_t *session, const Bp__Worker__TaskId *id,
	    bool sent_before, void *data);
	void (*started)(bp_session_t *session, const Bp__Worker__TaskId *id,
	    Bp__Worker__Status status, void *data);
	void *data;
} bp_session_events_t;

typedef struct {
	const bp_clock_t *clock;
	bp_logger_t *logger;
	bp_workerclient_t *client;
	bp_follower_t *follower;
	const char *node;
	uint64_t incarnation;
	const char *vm;
	const char *rack;
	const char *url;
	uint64_t epoch;
	uint32_t permit_ms;
	uint32_t renew_ms;
	bp_session_events_t events;
} bp_session_options_t;

int bp_session_new(
    bp_session_t **out, const bp_session_options_t *options, bp_error_t *err);
void bp_session_free(bp_session_t *session);
/* Sends whatever is due; called on a timer and after each log read. */
void bp_session_tick(bp_session_t *session);
/* Without renewing, running tasks end when their leases expire. */
void bp_session_set_renewing(bp_session_t *session, bool renewing);

/* Time between renewals; it follows from the shortest lease on the VM. */
void bp_session_set_interval(bp_session_t *session, uint32_t interval_ms);
uint32_t bp_session_interval_ms(const bp_session_t *session);
/* Tells whether the latest call failed and no answer came since. */
bool bp_session_failing(const bp_session_t *session);
/* Lists what runs anew; opened is called again. */
void bp_session_relist(bp_session_t *session);

/* Queues copies; a task that is queued already is not queued again. */
void bp_session_start_task(
    bp_session_t *session, const Bp__Worker__StartTask *task);
void bp_session_act(bp_session_t *session, const Bp__Worker__Action *action);
void bp_session_ack_ended(bp_session_t *session, const Bp__Worker__TaskId *id);
bool bp_session_is_queued(const bp_session_t *session, const char *job,
    uint32_t task, uint32_t attempt);
size_t bp_session_queued(const bp_session_t *session);
/* Drops a queued start; false when the worker may have received it. */
bool bp_session_drop_unsent(
    bp_session_t *session, const char *job, uint32_t task, uint32_t attempt);
/* Drops queued starts; returns how many of them were sent before. */
size_t bp_session_drop_queue(bp_session_t *session);

bp_session_status_t bp_session_status(const bp_session_t *session);
const char *bp_session_vm(const bp_session_t *session);
const char *bp_session_rack(const bp_session_t *session);
uint64_t bp_session_epoch(const bp_session_t *session);
/* Time since the worker's latest answer, in ms; since creation without. */
int64_t bp_session_silent_ms(const bp_session_t *session);
/*
 * Monotonic time (us) at which the latest nonce was received. No start or
 * renewal of this session is accepted later than permit_ms after it.
 */
int64_t bp_session_nonce_us(const bp_session_t *session);
bool bp_session_ever_open(const bp_session_t *session);

#endif
