#ifndef BP_CLIENTS_OUTRECORD_H
#define BP_CLIENTS_OUTRECORD_H

#include "bulrushpost/appender.h"

/* Entries and records of the appender that are not confirmed yet. */
typedef struct {
	GByteArray *packed; /* as a field of the record */
	int64_t deadline_us;
	bp_append_done_t done; /* may be NULL */
	void *data;
} bp_pending_entry_t;

typedef struct {
	GByteArray *bytes;
	GPtrArray *entries; /* bp_pending_entry_t, NULL once reported */
	uint64_t seq;
	int64_t first_sent_us;
	uint64_t generation; /* of the follower's state at creation */
	bool carries_entries;
	bool sent; /* it may be in the log */
	bool read_back; /* it is in the log */
	bool round_trip_measured; /* its round trip was measured */
} bp_pending_record_t;

bp_pending_entry_t *bp_outentry_new(const Bp__Log__Entry *entry,
    int64_t deadline_us, bp_append_done_t done, void *data);
void bp_outentry_report(bp_pending_entry_t *entry, const bp_applied_t *applied,
    bp_error_kind_t kind, const char *reason);

bp_pending_record_t *bp_outrecord_new(
    const Bp__Log__Record *header, GQueue *entries, size_t max_bytes);
void bp_outrecord_free(bp_pending_record_t *record);
size_t bp_outrecord_pending(const bp_pending_record_t *record);
void bp_pending_record_requeue_entries(
    bp_pending_record_t *record, GQueue *entries);
void bp_outrecord_report_entry(
    bp_pending_record_t *record, const bp_applied_t *applied);
void bp_pending_record_fail_rest(
    bp_pending_record_t *record, bp_error_kind_t kind, const char *reason);
void bp_outrecord_expire(bp_pending_record_t *record, int64_t now_us);

#endif
