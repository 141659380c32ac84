#include "bulrushpost/appender.h"

#include "clients/appenderstate.h"
#include "clients/logdecode.h"

#include <string.h>

#define DEFAULT_INTERVAL_MS 40
#define DEFAULT_HEARTBEAT_MS 1000
#define DEFAULT_RECORD_BYTES (48U * 1024)
#define EXPIRY_CHECK_MS 50
/* Limits the memory used for queued entries while the log is down. */
#define QUEUED_ENTRIES_MAX 20000U
/* Upper bound of a record header without the names that it contains. */
#define HEADER_OVERHEAD_BYTES 64U
#define US_PER_MS 1000

/* Sets the defaults; the caller must set clock, log, follower and names. */
int
bp_appender_options_init(bp_appender_options_t *options)
{
	*options = (bp_appender_options_t){
	    .zone = "",
	    .address = "",
	    .batch_ms = DEFAULT_INTERVAL_MS,
	    .heartbeat_ms = DEFAULT_HEARTBEAT_MS,
	    .record_bytes = DEFAULT_RECORD_BYTES,
	};
	return BP_OK;
}

static void
clear_source(guint *source)
{
	if (*source != 0)
		g_source_remove(*source);
	*source = 0;
}

static void
expire_queued(bp_appender_t *appender)
{
	int64_t now = bp_appender_now_us(appender);
	GQueue expired = G_QUEUE_INIT;
	GList *node = appender->queued.head;
	bp_pending_entry_t *entry;

	while (node != NULL) {
		GList *next = node->next;

		entry = node->data;
		if (entry->deadline_us <= now) {
			g_queue_delete_link(&appender->queued, node);
			g_queue_push_tail(&expired, entry);
		}
		node = next;
	}
	while ((entry = g_queue_pop_head(&expired)) != NULL)
		bp_outentry_report(entry, NULL, BP_ELOGDOWN,
		    "not sent: the log does not accept records");
}

static gboolean
on_expiry_check(void *data)
{
	bp_appender_t *appender = data;
	int64_t now = bp_appender_now_us(appender);
	bp_pending_record_t *record = appender->current;
	GList *node;

	expire_queued(appender);
	for (node = appender->unconfirmed.head; node != NULL; node = node->next)
		bp_outrecord_expire(node->data, now);
	if (record != NULL && record->carries_entries && !record->read_back) {
		bp_outrecord_expire(record, now);
		if (bp_outrecord_pending(record) == 0)
			bp_appender_abandon(appender);
	}
	if (bp_appender_pending(appender) > 0)
		return G_SOURCE_CONTINUE;
	appender->expiry_source = 0;
	return G_SOURCE_REMOVE;
}

static int
check_options(const bp_appender_options_t *options, bp_error_t *err)
{
	size_t header_bytes;

	if (options->clock == NULL || options->log == NULL ||
	    options->follower == NULL || options->node == NULL ||
	    options->node[0] == '\0' || options->zone == NULL ||
	    options->address == NULL)
		return bp_error_set(err, BP_EINVALID,
		    "the appender needs a clock, log, follower and node name");
	header_bytes = HEADER_OVERHEAD_BYTES + strlen(options->node) +
	    strlen(options->zone) + strlen(options->address);
	if (options->record_bytes > BP_LOG_RECORD_MAX_BYTES ||
	    options->record_bytes <= header_bytes)
		return bp_error_set(err, BP_EINVALID,
		    "record_bytes must be between %zu and %d", header_bytes,
		    BP_LOG_RECORD_MAX_BYTES);
	return BP_OK;
}

/*
 * Creates an appender, which sends nothing until it is started. Returns
 * BP_EINVALID for missing or invalid options.
 */
int
bp_appender_new(
    bp_appender_t **out, const bp_appender_options_t *options, bp_error_t *err)
{
	bp_appender_t *appender;
	int rc = check_options(options, err);

	*out = NULL;
	if (rc != BP_OK)
		return rc;
	appender = g_new0(bp_appender_t, 1);
	appender->options = *options;
	appender->node = g_strdup(options->node);
	appender->zone = g_strdup(options->zone);
	appender->address = g_strdup(options->address);
	appender->next_seq = 1;
	appender->backoff_ms = BP_APPENDER_BACKOFF_MIN_MS;
	appender->round_trip_ms = -1;
	bp_random_init(&appender->random, options->incarnation);
	bp_follower_observe(
	    options->follower, bp_appender_on_applied, appender);
	bp_follower_on_progress(
	    options->follower, bp_appender_on_progress, appender);
	*out = appender;
	return BP_OK;
}

static void
report_pending(bp_appender_t *appender)
{
	bp_pending_record_t *record;
	bp_pending_entry_t *entry;

	while ((record = g_queue_pop_head(&appender->unconfirmed)) != NULL) {
		bp_pending_record_fail_rest(
		    record, BP_EUNKNOWN, "the node stopped before read-back");
		bp_outrecord_free(record);
	}
	if (appender->current != NULL)
		bp_pending_record_fail_rest(appender->current, BP_EUNKNOWN,
		    "the node stopped before read-back");
	while ((entry = g_queue_pop_head(&appender->queued)) != NULL)
		bp_outentry_report(
		    entry, NULL, BP_ELOGDOWN, "not sent: the node stopped");
}

/*
 * Frees the appender; its follower and log client must still exist. Pending
 * entries are reported first: BP_EUNKNOWN if sent, else BP_ELOGDOWN.
 */
void
bp_appender_free(bp_appender_t *appender)
{
	if (appender == NULL)
		return;
	appender->started = false;
	bp_follower_remove_observers(appender->options.follower, appender);
	bp_logclient_cancel(appender->options.log, appender);
	report_pending(appender);
	bp_outrecord_free(appender->current);
	clear_source(&appender->flush_source);
	clear_source(&appender->retry_source);
	clear_source(&appender->heartbeat_source);
	clear_source(&appender->expiry_source);
	g_free(appender->node);
	g_free(appender->zone);
	g_free(appender->address);
	g_free(appender);
}

/* Starts sending queued entries and heartbeat records. */
void
bp_appender_start(bp_appender_t *appender)
{
	appender->started = true;
	bp_appender_arm_heartbeat(appender);
	bp_appender_arm_flush(appender, 0);
}

/* Sets the draining flag of all later records and sends one at once. */
void
bp_appender_set_draining(bp_appender_t *appender, bool draining)
{
	appender->draining = draining;
	appender->heartbeat_due = true;
	bp_appender_arm_flush(appender, 0);
}

/*
 * Queues one entry. Returns BP_ETOOLARGE if the entry does not fit into a
 * record and BP_EOVERLOAD if the queue is full; done does not run then.
 */
int
bp_appender_add(bp_appender_t *appender, const Bp__Log__Entry *entry,
    uint32_t give_up_ms, bp_append_done_t done, void *data, bp_error_t *err)
{
	size_t header_bytes = HEADER_OVERHEAD_BYTES + strlen(appender->node) +
	    strlen(appender->zone) + strlen(appender->address);
	size_t size_bytes = bp__log__entry__get_packed_size(entry);

	if (header_bytes + size_bytes > appender->options.record_bytes)
		return bp_error_set(err, BP_ETOOLARGE,
		    "an entry of %zu bytes exceeds the record limit of %u",
		    size_bytes, (unsigned)appender->options.record_bytes);
	if (g_queue_get_length(&appender->queued) >= QUEUED_ENTRIES_MAX)
		return bp_error_set(err, BP_EOVERLOAD,
		    "%u entries are already queued for the log",
		    QUEUED_ENTRIES_MAX);
	g_queue_push_tail(&appender->queued,
	    bp_outentry_new(entry,
		bp_appender_now_us(appender) + (int64_t)give_up_ms * US_PER_MS,
		done, data));
	bp_appender_arm_flush(appender, appender->options.batch_ms);
	if (appender->expiry_source == 0)
		appender->expiry_source =
		    g_timeout_add(EXPIRY_CHECK_MS, on_expiry_check, appender);
	return BP_OK;
}

/* Returns the number of entries whose outcome has not been reported. */
size_t
bp_appender_pending(const bp_appender_t *appender)
{
	size_t pending = g_queue_get_length((GQueue *)&appender->queued);
	GList *node;

	if (appender->current != NULL)
		pending += bp_outrecord_pending(appender->current);
	for (node = appender->unconfirmed.head; node != NULL; node = node->next)
		pending += bp_outrecord_pending(node->data);
	return pending;
}

/*
 * Returns the round trip (ms) of the latest record that was read back, or the
 * age of the oldest record not read back yet if that is larger. Returns -1
 * before the first record.
 */
int64_t
bp_appender_round_trip_ms(const bp_appender_t *appender)
{
	const bp_pending_record_t *oldest = appender->current;
	int64_t age_ms;

	if (appender->unconfirmed.head != NULL)
		oldest = appender->unconfirmed.head->data;
	if (oldest == NULL || oldest->read_back)
		return appender->round_trip_ms;
	age_ms =
	    (bp_appender_now_us(appender) - oldest->first_sent_us) / US_PER_MS;
	return MAX(appender->round_trip_ms, age_ms);
}
