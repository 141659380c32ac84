#ifndef BP_NODE_CONTROL_PRIVATE_H
#define BP_NODE_CONTROL_PRIVATE_H

#include "bulrushpost/control.h"
#include "bulrushpost/liveness.h"

#include <json-glib/json-glib.h>

/* Time for an operator's entry to be sent and read back. */
#define BP_CONTROL_GIVE_UP_MS 5000
/* Size limit of a list in one answer, somewhat below that of a frame. */
#define BP_CONTROL_LIST_BYTES (900 * 1024)
#define BP_CONTROL_NAME_MAX_BYTES 128

struct bp_control {
	bp_control_options_t options;
	bp_peer_server_t *server;
	bp_liveness_t *liveness;
	bp_peer_client_t *client; /* to other nodes */
	bool draining;
	GByteArray *snapshot; /* being fetched in parts; NULL when none */
	uint64_t snapshot_offset;
};

/* An operator's entry that is in flight through the log. */
typedef struct {
	bp_control_t *control;
	bp_peer_request_t *request;
	char *name; /* job or zone */
	char *text; /* of a rule file */
} bp_control_call_t;

bp_state_t *bp_control_state(const bp_control_t *control);

/* Answers; message is for display, body is JSON, other text or NULL. */
void bp_control_reply(bp_peer_request_t *request, int error,
    bp_outcome_t outcome, const char *message, const char *body);
void bp_control_reply_arg(bp_peer_request_t *request, const char *message,
    const char *body, const char *arg);
void bp_control_refuse(bp_peer_request_t *request, int error,
    const char *format, ...) G_GNUC_PRINTF(3, 4);
void bp_control_reply_error(
    bp_peer_request_t *request, const bp_error_t *err, bp_outcome_t outcome);
/* Refuses when this node's state is not known; returns whether it did. */
bool bp_control_refuse_unknown_state(
    const bp_control_t *control, bp_peer_request_t *request);
/* Takes an array of text parts; returns "" for a missing argument. */
const char *bp_control_arg(const bp_peer_request_t *request, size_t index);
char *bp_control_body(const bp_peer_request_t *request);

/* Appends an entry for a request; done gets the call. */
void bp_control_append(bp_control_t *control, bp_peer_request_t *request,
    const Bp__Log__Entry *entry, const char *name, const char *text,
    bp_append_done_t done);
/*
 * Answers for an entry without effect and frees the call; returns false,
 * with the call kept, when the entry took effect.
 */
bool bp_control_failed(bp_control_call_t *call, const bp_applied_t *applied,
    const bp_error_t *err);
void bp_control_call_free(bp_control_call_t *call);

void bp_control_put_text(
    JsonBuilder *json, const char *name, const char *value);
void bp_control_put_number(JsonBuilder *json, const char *name, int64_t value);
void bp_control_put_flag(JsonBuilder *json, const char *name, bool value);
void bp_control_put_texts(
    JsonBuilder *json, const char *name, const GPtrArray *values);
/* Ends the outer object, frees the builder and returns the text. */
char *bp_control_finish_json(JsonBuilder *json);
void bp_control_append_time(GString *text, int64_t wall_ms);

/* The verbs, one function each. */
void bp_control_status(bp_control_t *control, bp_peer_request_t *request);
void bp_control_metrics(bp_control_t *control, bp_peer_request_t *request);
void bp_control_timeline(bp_control_t *control, bp_peer_request_t *request);
void bp_control_why(bp_control_t *control, bp_peer_request_t *request);
void bp_control_snapshot(bp_control_t *control, bp_peer_request_t *request);
void bp_control_rules_show(bp_control_t *control, bp_peer_request_t *request);
void bp_control_rules_history(
    bp_control_t *control, bp_peer_request_t *request);
void bp_control_rules_check(bp_control_t *control, bp_peer_request_t *request);
void bp_control_rules_publish(
    bp_control_t *control, bp_peer_request_t *request);
void bp_control_zone_list(bp_control_t *control, bp_peer_request_t *request);
void bp_control_zone_change(bp_control_t *control, bp_peer_request_t *request);
void bp_control_job_submit(bp_control_t *control, bp_peer_request_t *request);
void bp_control_job_status(bp_control_t *control, bp_peer_request_t *request);
void bp_control_job_cancel(bp_control_t *control, bp_peer_request_t *request);
void bp_control_job_list(bp_control_t *control, bp_peer_request_t *request);
void bp_control_key_outcome(bp_control_t *control, bp_peer_request_t *request);

/* Records applied entries in the timeline and in the metrics. */
void bp_control_record(bp_control_t *control, const bp_applied_t *applied);

/* Returns the outcome of a job as far as it is known for certain. */
bp_outcome_t bp_control_job_outcome(const bp_job_t *job);
/* Warnings (char *): rules no VM meets, jobs they make unplaceable. */
GPtrArray *bp_control_rule_effects(
    const bp_state_t *state, const bp_rules_t *rules);
/* Lines only in one of two rule files, after "- " or "+ ". */
char *bp_control_rule_difference(const char *in_force, const char *submitted);

#endif
