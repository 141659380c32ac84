#ifndef BULRUSHPOST_APPENDER_H
#define BULRUSHPOST_APPENDER_H

#include "bulrushpost/follower.h"

/*
 * Batches entries of this node into records, appends one record at a time and
 * reports the outcome of each entry once it has been read back.
 */
typedef struct bp_appender bp_appender_t;

typedef struct {
	const bp_clock_t *clock;
	bp_logger_t *logger;
	bp_logclient_t *log;
	bp_follower_t *follower;
	const char *node;
	const char *zone;
	const char *address; /* control address, host:port */
	uint64_t incarnation;
	uint32_t batch_ms; /* batching delay before a record is sent */
	uint32_t heartbeat_ms; /* idle time before an empty record */
	uint32_t record_bytes; /* upper limit of a record */
} bp_appender_options_t;

/*
 * Called exactly once with the outcome of an entry. applied is the result from
 * the state machine; it is NULL if err is set: BP_ELOGDOWN if the entry
 * provably has no effect, BP_EUNKNOWN if that is not known.
 */
typedef void (*bp_append_done_t)(
    const bp_applied_t *applied, const bp_error_t *err, void *data);

int bp_appender_options_init(bp_appender_options_t *options);
int bp_appender_new(
    bp_appender_t **out, const bp_appender_options_t *options, bp_error_t *err);
void bp_appender_free(bp_appender_t *appender);
void bp_appender_start(bp_appender_t *appender);
void bp_appender_set_draining(bp_appender_t *appender, bool draining);

/*
 * Queues a copy of an entry. After give_up_ms an entry that was not sent is
 * dropped (BP_ELOGDOWN), and one that was sent but not read back is reported
 * as BP_EUNKNOWN. done may be NULL.
 */
int bp_appender_add(bp_appender_t *appender, const Bp__Log__Entry *entry,
    uint32_t give_up_ms, bp_append_done_t done, void *data, bp_error_t *err);
size_t bp_appender_pending(const bp_appender_t *appender);
/* Round trip (ms) from append to read-back of this node's latest record. */
int64_t bp_appender_round_trip_ms(const bp_appender_t *appender);

#endif
