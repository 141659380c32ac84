#ifndef BP_CLIENTS_APPENDERSTATE_H
#define BP_CLIENTS_APPENDERSTATE_H

#include "bulrushpost/hash.h"
#include "clients/outrecord.h"

#define BP_APPENDER_MODULE "appender"
#define BP_APPENDER_BACKOFF_MIN_MS 50U
#define BP_APPENDER_BACKOFF_MAX_MS 2000U

struct bp_appender {
	bp_appender_options_t options;
	char *node;
	char *zone;
	char *address;
	bp_random_t random;
	GQueue queued; /* bp_pending_entry_t, not in a record yet */
	GQueue
	    unconfirmed; /* bp_pending_record_t, appended but not read back */
	bp_pending_record_t *current; /* being appended */
	uint64_t next_seq;
	uint32_t backoff_ms;
	int64_t round_trip_ms; /* -1 before the first */
	bool started;
	bool draining;
	bool append_in_flight; /* an append is in flight */
	bool flush_due;
	bool heartbeat_due;
	bool probing; /* send an empty record first */
	guint flush_source;
	guint retry_source;
	guint heartbeat_source;
	guint expiry_source;
};

/* Sending and read-back of records, in appendsend.c. */
int64_t bp_appender_now_us(const bp_appender_t *appender);
void bp_appender_arm_flush(bp_appender_t *appender, uint32_t delay_ms);
void bp_appender_arm_heartbeat(bp_appender_t *appender);
void bp_appender_abandon(bp_appender_t *appender);
void bp_appender_on_applied(const bp_applied_t *applied, void *data);
void bp_appender_on_progress(bp_follower_t *follower, void *data);

#endif
