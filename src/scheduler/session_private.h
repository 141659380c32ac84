#ifndef BP_SESSION_PRIVATE_H
#define BP_SESSION_PRIVATE_H

#include "bulrushpost/session.h"

/* A start that the worker has not accepted or refused yet. */
typedef struct {
	Bp__Worker__StartTask *task;
	bool sent; /* the worker may have received it */
	bool in_flight; /* part of a call without an answer yet */
} bp_start_item_t;

struct bp_session {
	const bp_clock_t *clock;
	bp_logger_t *logger;
	bp_workerclient_t *client;
	bp_follower_t *follower;
	char *node;
	uint64_t incarnation;
	char *vm;
	char *rack;
	char *url;
	uint64_t epoch;
	uint32_t permit_ms;
	uint32_t renew_ms;
	bp_session_events_t events;

	bp_session_status_t status;
	bool accepted; /* the worker accepted the epoch; list missing */
	bool ever_open;
	bool renewing;
	bool relist;
	bool failing;
	uint64_t nonce;
	uint64_t boot_id;
	int64_t nonce_us; /* when the nonce was received; 0 for none */
	int64_t created_us;
	int64_t answer_us;
	int64_t retry_us; /* no call before this time after a failure */
	int64_t renewed_us;
	bool nonce_call; /* calls in flight */
	bool session_call;
	bool renew_call;
	bool start_call;
	bool act_call;
	GPtrArray *starts; /* bp_start_item_t; the first ones are in flight */
	size_t starts_in_flight;
	GPtrArray *actions; /* Bp__Worker__Action */
	size_t actions_in_flight;
	GPtrArray *acks; /* Bp__Worker__TaskId */
	size_t acks_in_flight;
};

void bp_session_take_nonce(
    bp_session_t *session, uint64_t nonce, uint64_t boot_id);
void bp_session_call_failed(bp_session_t *session);
void bp_session_reopen(bp_session_t *session);
bool bp_session_nonce_young(const bp_session_t *session);
bool bp_session_confirmed(const bp_session_t *session);
void bp_session_request_nonce(bp_session_t *session);
void bp_session_pump_starts(bp_session_t *session);
void bp_session_pump_actions(bp_session_t *session);
void bp_session_drop_sent(bp_session_t *session);
void bp_session_pump_renew(bp_session_t *session);
Bp__Worker__TaskId *bp_task_id_copy(const Bp__Worker__TaskId *id);
bool bp_task_id_equal(const Bp__Worker__TaskId *a, const Bp__Worker__TaskId *b);

#endif
