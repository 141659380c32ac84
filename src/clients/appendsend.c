#include "clients/appenderstate.h"

#define US_PER_MS 1000

static void flush(bp_appender_t *appender);
static void call_append(bp_appender_t *appender);

/* Returns the monotonic time (us) of the appender's clock. */
int64_t
bp_appender_now_us(const bp_appender_t *appender)
{
	return bp_clock_mono_us(appender->options.clock);
}

static void
clear_source(guint *source)
{
	if (*source != 0)
		g_source_remove(*source);
	*source = 0;
}

static gboolean
on_flush(void *data)
{
	bp_appender_t *appender = data;

	appender->flush_source = 0;
	flush(appender);
	return G_SOURCE_REMOVE;
}

/* Schedules a flush after a delay unless one is already scheduled. */
void
bp_appender_arm_flush(bp_appender_t *appender, uint32_t delay_ms)
{
	if (appender->flush_source == 0 && appender->started)
		appender->flush_source =
		    g_timeout_add(delay_ms, on_flush, appender);
}

/*
 * A node that cannot follow the log sends no heartbeat records. The other
 * nodes then consider it dead and take over its racks.
 */
static bool
may_send_heartbeat(const bp_appender_t *appender)
{
	bp_follower_status_t status =
	    bp_follower_status(appender->options.follower);

	return status == BP_FOLLOWER_CURRENT || status == BP_FOLLOWER_LOG_DOWN;
}

static gboolean
on_heartbeat(void *data)
{
	bp_appender_t *appender = data;

	if (may_send_heartbeat(appender)) {
		appender->heartbeat_due = true;
		flush(appender);
	}
	return G_SOURCE_CONTINUE;
}

/* Restarts the timer after which a record without entries is sent. */
void
bp_appender_arm_heartbeat(bp_appender_t *appender)
{
	clear_source(&appender->heartbeat_source);
	appender->heartbeat_source = g_timeout_add(
	    appender->options.heartbeat_ms, on_heartbeat, appender);
}

static bp_pending_record_t *
build_record(bp_appender_t *appender)
{
	Bp__Log__Record header = BP__LOG__RECORD__INIT;
	GQueue none = G_QUEUE_INIT;
	bp_pending_record_t *record;

	header.version = BP_RECORD_VERSION;
	header.node = appender->node;
	header.incarnation = appender->options.incarnation;
	header.seq = appender->next_seq;
	header.time_ms = (uint64_t)bp_clock_wall_ms(appender->options.clock);
	/* The state machine updates zone and address from each record. */
	header.zone = appender->zone;
	header.address = appender->address;
	header.draining = appender->draining;
	record = bp_outrecord_new(&header,
	    appender->probing ? &none : &appender->queued,
	    appender->options.record_bytes);
	record->generation = bp_follower_generation(appender->options.follower);
	return record;
}

/* Finishes the current record once it was appended or read back. */
static void
finish_record(bp_appender_t *appender)
{
	g_clear_pointer(&appender->current, bp_outrecord_free);
	appender->backoff_ms = BP_APPENDER_BACKOFF_MIN_MS;
	appender->probing = false;
	clear_source(&appender->retry_source);
	if (appender->flush_due || !g_queue_is_empty(&appender->queued))
		bp_appender_arm_flush(appender,
		    appender->flush_due ? 0 : appender->options.batch_ms);
}

/* Sends the next record unless one is in progress or none is needed. */
static void
flush(bp_appender_t *appender)
{
	if (appender->current != NULL) {
		appender->flush_due = true;
		/* The response is late, but read-back proves the append. */
		if (!appender->current->read_back ||
		    !appender->append_in_flight)
			return;
		bp_logclient_cancel(appender->options.log, appender);
		appender->append_in_flight = false;
		finish_record(appender);
	}
	appender->flush_due = false;
	if (appender->retry_source != 0)
		return;
	if (!appender->heartbeat_due && g_queue_is_empty(&appender->queued))
		return;
	appender->heartbeat_due = false;
	appender->current = build_record(appender);
	appender->next_seq++;
	bp_appender_arm_heartbeat(appender);
	call_append(appender);
}

static gboolean
on_retry(void *data)
{
	bp_appender_t *appender = data;

	appender->retry_source = 0;
	if (appender->current != NULL)
		call_append(appender);
	else
		flush(appender);
	return G_SOURCE_REMOVE;
}

/* Half of the backoff is random so that nodes do not retry together. */
static void
arm_retry(bp_appender_t *appender)
{
	uint32_t half_ms = appender->backoff_ms / 2;
	uint32_t pause_ms =
	    half_ms + bp_random_below(&appender->random, half_ms + 1);

	appender->backoff_ms =
	    MIN(appender->backoff_ms * 2, BP_APPENDER_BACKOFF_MAX_MS);
	if (appender->retry_source == 0)
		appender->retry_source =
		    g_timeout_add(pause_ms, on_retry, appender);
}

/*
 * Requeues the entries of a record that was provably not appended and reuses
 * its sequence number.
 */
static void
requeue_record(bp_appender_t *appender)
{
	bp_pending_record_t *record = appender->current;

	appender->heartbeat_due =
	    appender->heartbeat_due || !record->carries_entries;
	bp_pending_record_requeue_entries(record, &appender->queued);
	g_clear_pointer(&appender->current, bp_outrecord_free);
	appender->next_seq--;
}

/*
 * A request that was not sent appended nothing, and by responding with 503 or
 * 429 the log service guarantees the same.
 */
static bool
is_proven_unappended(const bp_error_t *err)
{
	return err->kind == BP_ENOTSENT || err->kind == BP_ELOGDOWN ||
	    err->kind == BP_EOVERLOAD;
}

static void
on_appended(uint64_t offset, const bp_error_t *err, void *data)
{
	bp_appender_t *appender = data;
	bp_pending_record_t *record = appender->current;

	appender->append_in_flight = false;
	if (record->read_back) {
		finish_record(appender);
		return;
	}
	if (err == NULL) {
		appender->current = NULL;
		g_byte_array_set_size(record->bytes, 0);
		g_queue_push_tail(&appender->unconfirmed, record);
		finish_record(appender);
		bp_follower_read_now(appender->options.follower);
		return;
	}
	bp_log(appender->options.logger, BP_LOG_INFO, BP_APPENDER_MODULE,
	    "append failed", "reason", err->message, NULL);
	record->sent = record->sent || !is_proven_unappended(err);
	if (!record->sent)
		requeue_record(appender);
	arm_retry(appender);
}

static void
call_append(bp_appender_t *appender)
{
	bp_pending_record_t *record = appender->current;

	if (record->first_sent_us == 0)
		record->first_sent_us = bp_appender_now_us(appender);
	appender->append_in_flight = true;
	bp_logclient_append(appender->options.log, BP_STREAM,
	    record->bytes->data, record->bytes->len, on_appended, appender);
}

static bp_pending_record_t *
find_record(bp_appender_t *appender, uint64_t seq)
{
	GList *node;

	if (appender->current != NULL && appender->current->seq == seq)
		return appender->current;
	for (node = appender->unconfirmed.head; node != NULL;
	     node = node->next) {
		bp_pending_record_t *record = node->data;

		if (record->seq == seq)
			return record;
	}
	return NULL;
}

/* Observer of the state; reports this node's entries as they are read back. */
void
bp_appender_on_applied(const bp_applied_t *applied, void *data)
{
	bp_appender_t *appender = data;
	bp_pending_record_t *record;

	if (applied->incarnation != appender->options.incarnation)
		return;
	record = find_record(appender, applied->seq);
	if (record != NULL)
		bp_outrecord_report_entry(record, applied);
}

/*
 * Reports the outcome of a record whose sequence number the state has passed.
 * If its entries were not read, a record with a higher number came first and
 * this one can never be applied. If a snapshot replaced the state meanwhile,
 * the snapshot may include the record, so the outcome is unknown.
 */
static void
complete_record(bp_appender_t *appender, bp_pending_record_t *record)
{
	bp_follower_t *follower = appender->options.follower;

	appender->round_trip_ms =
	    (bp_appender_now_us(appender) - record->first_sent_us) / US_PER_MS;
	if (bp_outrecord_pending(record) > 0 &&
	    record->generation == bp_follower_generation(follower))
		bp_pending_record_fail_rest(record, BP_ELOGDOWN,
		    "never applied: a later record was read first");
	else
		bp_pending_record_fail_rest(record, BP_EUNKNOWN,
		    "the state was replaced by a snapshot meanwhile");
}

/* Completes the records whose sequence numbers the state has passed. */
void
bp_appender_on_progress(bp_follower_t *follower, void *data)
{
	bp_appender_t *appender = data;
	uint64_t passed = bp_state_seq(
	    bp_follower_state(follower), appender->options.incarnation);
	bp_pending_record_t *record;

	while ((record = g_queue_peek_head(&appender->unconfirmed)) != NULL &&
	    record->seq <= passed) {
		g_queue_pop_head(&appender->unconfirmed);
		complete_record(appender, record);
		bp_outrecord_free(record);
	}
	record = appender->current;
	if (record != NULL && record->seq <= passed &&
	    !record->round_trip_measured) {
		record->read_back = true;
		record->round_trip_measured = true;
		complete_record(appender, record);
		if (!appender->append_in_flight)
			finish_record(appender);
	}
	if (appender->next_seq == 1 && may_send_heartbeat(appender)) {
		appender->heartbeat_due = true;
		bp_appender_arm_flush(appender, 0);
	}
}

/*
 * Drops the current record once all its entries are reported. The next record
 * is an empty probe, so that queued entries stay provably unsent while the log
 * is down.
 */
void
bp_appender_abandon(bp_appender_t *appender)
{
	char *seq =
	    g_strdup_printf("%" G_GUINT64_FORMAT, appender->current->seq);

	bp_log(appender->options.logger, BP_LOG_WARNING, BP_APPENDER_MODULE,
	    "record dropped: all its entries expired", "seq", seq, NULL);
	g_free(seq);
	if (appender->append_in_flight)
		bp_logclient_cancel(appender->options.log, appender);
	appender->append_in_flight = false;
	g_clear_pointer(&appender->current, bp_outrecord_free);
	appender->probing = true;
	appender->heartbeat_due = true;
	arm_retry(appender);
}
