#ifndef BULRUSHPOST_SESSION_H
#define BULRUSHPOST_SESSION_H

#include "bulrushpost/follower.h"
#include "bulrushpost/workerclient.h"

/*
 * The owner's side of the session with one worker. It opens the session
 * under the rack's epoch, sends starts only with a nonce that was confirmed
 * at the log's head, renews leases and forwards reports. See section 4 of
 * the design.
 */
typedef struct bp_session bp_session_t;

typedef enum {
	BP_SESSION_OPENING,
	BP_SESSION_OPEN,
	BP_SESSION_FENCED /* the worker has a session of a higher epoch */
} bp_session_status_t;

/* The callbacks run in the main loop and must not free the session. */
typedef struct {
	/* The session is open; the answer lists the tasks on the worker. */
	void (*opened)(bp_session_t *session,
	    const Bp__Worker__NonceAnswer *answer, void *data);
	/* A renewal was answered, with ended tasks and resource usage. */
	void (*report)(bp_session_t *session,
	    const Bp__Worker__RenewAnswer *answer, void *data);
	/* Called right before sending; false drops the start. */
	bool (*may_start)(bp_session_t *session, const Bp__Worker__TaskId *id,
	    bool sent_before, void *data);
	/* The worker accepted or refused the start. */
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
	uint32_t permit_ms; /* lifetime of a nonce */
	uint32_t renew_ms; /* initial time between renewals */
	bp_session_events_t events;
} bp_session_options_t;

/* Copies the strings of the options. The session starts in OPENING. */
int bp_session_new(
    bp_session_t **out, const bp_session_options_t *options, bp_error_t *err);
void bp_session_free(bp_session_t *session);
/* Sends all calls that are due; runs on a timer and after each log read. */
void bp_session_tick(bp_session_t *session);
/* While renewing is off, running tasks end when their leases expire. */
void bp_session_set_renewing(bp_session_t *session, bool renewing);

/* Sets the time between renewals, which depends on the tasks on the VM. */
void bp_session_set_interval(bp_session_t *session, uint32_t interval_ms);
uint32_t bp_session_interval_ms(const bp_session_t *session);
/* Tells whether a call failed and no answer was received since. */
bool bp_session_failing(const bp_session_t *session);
/* Requests the list of tasks again; opened is called again. */
void bp_session_relist(bp_session_t *session);

/* These queue copies; starts and acks that are queued are not added again. */
void bp_session_start_task(
    bp_session_t *session, const Bp__Worker__StartTask *task);
void bp_session_act(bp_session_t *session, const Bp__Worker__Action *action);
void bp_session_ack_ended(bp_session_t *session, const Bp__Worker__TaskId *id);
bool bp_session_is_queued(const bp_session_t *session, const char *job,
    uint32_t task, uint32_t attempt);
size_t bp_session_queued(const bp_session_t *session);
/* Drops a queued start; false if the worker may have received it. */
bool bp_session_drop_unsent(
    bp_session_t *session, const char *job, uint32_t task, uint32_t attempt);
/* Drops all queued starts; returns how many of them had been sent. */
size_t bp_session_drop_queue(bp_session_t *session);

bp_session_status_t bp_session_status(const bp_session_t *session);
const char *bp_session_vm(const bp_session_t *session);
const char *bp_session_rack(const bp_session_t *session);
uint64_t bp_session_epoch(const bp_session_t *session);
/* Time in ms since the worker's latest answer, or since creation if none. */
int64_t bp_session_silent_ms(const bp_session_t *session);
/*
 * Monotonic time (us) at which the latest nonce was received. The worker
 * accepts no start or renewal of this session more than permit_ms after it.
 */
int64_t bp_session_nonce_us(const bp_session_t *session);
bool bp_session_ever_open(const bp_session_t *session);

#endif
