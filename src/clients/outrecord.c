#include "clients/outrecord.h"

#define ENTRIES_FIELD 9
#define WIRE_LENGTH_DELIMITED 2
#define VARINT_BITS 7
#define VARINT_MORE 0x80U

static void
append_varint(GByteArray *bytes, uint64_t value)
{
	uint8_t byte;

	while (value >= VARINT_MORE) {
		byte = (uint8_t)(value | VARINT_MORE);
		g_byte_array_append(bytes, &byte, 1);
		value >>= VARINT_BITS;
	}
	byte = (uint8_t)value;
	g_byte_array_append(bytes, &byte, 1);
}

/*
 * Packs an entry as the field "entries" of a record. Since Protobuf fields can
 * be concatenated, a record is its packed header followed by packed entries,
 * and each entry is encoded only once even if its record is rebuilt.
 */
bp_pending_entry_t *
bp_outentry_new(const Bp__Log__Entry *entry, int64_t deadline_us,
    bp_append_done_t done, void *data)
{
	bp_pending_entry_t *out = g_new0(bp_pending_entry_t, 1);
	size_t size_bytes = bp__log__entry__get_packed_size(entry);
	guint header_bytes;

	out->packed = g_byte_array_new();
	append_varint(out->packed, ENTRIES_FIELD << 3 | WIRE_LENGTH_DELIMITED);
	append_varint(out->packed, size_bytes);
	header_bytes = out->packed->len;
	g_byte_array_set_size(out->packed, (guint)(header_bytes + size_bytes));
	bp__log__entry__pack(entry, out->packed->data + header_bytes);
	out->deadline_us = deadline_us;
	out->done = done;
	out->data = data;
	return out;
}

/* Reports the outcome of an entry and frees it. applied is NULL on error. */
void
bp_outentry_report(bp_pending_entry_t *entry, const bp_applied_t *applied,
    bp_error_kind_t kind, const char *reason)
{
	bp_append_done_t done = entry->done;
	void *data = entry->data;
	bp_error_t err;

	g_byte_array_unref(entry->packed);
	g_free(entry);
	if (done == NULL)
		return;
	if (applied != NULL) {
		done(applied, NULL, data);
		return;
	}
	bp_error_set(&err, kind, "%s", reason);
	done(NULL, &err, data);
}

/*
 * Builds a record from the header and as many entries from the head of the
 * queue as fit.
 */
bp_pending_record_t *
bp_outrecord_new(
    const Bp__Log__Record *header, GQueue *entries, size_t max_bytes)
{
	bp_pending_record_t *record = g_new0(bp_pending_record_t, 1);
	bp_pending_entry_t *entry;

	record->seq = header->seq;
	record->entries = g_ptr_array_new();
	record->bytes = g_byte_array_new();
	g_byte_array_set_size(
	    record->bytes, (guint)bp__log__record__get_packed_size(header));
	bp__log__record__pack(header, record->bytes->data);
	while ((entry = g_queue_peek_head(entries)) != NULL &&
	    record->bytes->len + entry->packed->len <= max_bytes) {
		g_queue_pop_head(entries);
		g_byte_array_append(
		    record->bytes, entry->packed->data, entry->packed->len);
		g_ptr_array_add(record->entries, entry);
	}
	record->carries_entries = record->entries->len > 0;
	return record;
}

/* Frees a record, whose entries must have been reported or returned. */
void
bp_outrecord_free(bp_pending_record_t *record)
{
	if (record == NULL)
		return;
	g_ptr_array_unref(record->entries);
	g_byte_array_unref(record->bytes);
	g_free(record);
}

/* Returns the number of entries whose outcome has not been reported. */
size_t
bp_outrecord_pending(const bp_pending_record_t *record)
{
	size_t pending = 0;
	guint i;

	for (i = 0; i < record->entries->len; i++)
		pending += record->entries->pdata[i] != NULL;
	return pending;
}

/* Puts the entries of an unsent record back to the head of the queue. */
void
bp_pending_record_requeue_entries(bp_pending_record_t *record, GQueue *entries)
{
	guint i;

	for (i = record->entries->len; i > 0; i--) {
		bp_pending_entry_t *entry = record->entries->pdata[i - 1];

		if (entry != NULL)
			g_queue_push_head(entries, entry);
	}
	g_ptr_array_set_size(record->entries, 0);
}

static bp_pending_entry_t *
take_entry(bp_pending_record_t *record, guint index)
{
	bp_pending_entry_t *entry = record->entries->pdata[index];

	record->entries->pdata[index] = NULL;
	return entry;
}

/* Marks the record as read back and reports an entry unless reported. */
void
bp_outrecord_report_entry(
    bp_pending_record_t *record, const bp_applied_t *applied)
{
	bp_pending_entry_t *entry;

	record->read_back = true;
	if (applied->index >= record->entries->len)
		return;
	entry = take_entry(record, applied->index);
	if (entry != NULL)
		bp_outentry_report(entry, applied, BP_OK, "");
}

/* Reports an error for all entries not reported yet. */
void
bp_pending_record_fail_rest(
    bp_pending_record_t *record, bp_error_kind_t kind, const char *reason)
{
	guint i;

	for (i = 0; i < record->entries->len; i++) {
		bp_pending_entry_t *entry = take_entry(record, i);

		if (entry != NULL)
			bp_outentry_report(entry, NULL, kind, reason);
	}
}

/* Reports BP_EUNKNOWN for entries that were not read back in time. */
void
bp_outrecord_expire(bp_pending_record_t *record, int64_t now_us)
{
	guint i;

	for (i = 0; i < record->entries->len; i++) {
		bp_pending_entry_t *entry = record->entries->pdata[i];

		if (entry == NULL || entry->deadline_us > now_us)
			continue;
		bp_outentry_report(take_entry(record, i), NULL, BP_EUNKNOWN,
		    "sent to the log, but not read back in time");
	}
}
