#include "queues/recordwriter.h"

#include <stdio.h>

/* Shortest time between appends, so that many run ends share one call. */
#define APPEND_INTERVAL_MS 25
/* The same while a caller waits: groups only simultaneous requests. */
#define URGENT_INTERVAL_MS 8
/* Delay before a refused or unanswered append is repeated. */
#define RETRY_MS 150
/* Interval at which an append without an answer is logged again. */
#define REPORT_INTERVAL_MS 2000
#define MODULE "journal"

struct bp_record_writer {
	bp_record_writer_options_t options;
	GPtrArray *records; /* in flight or to be repeated; NULL for none */
	uint64_t sequence;
	int64_t last_sent_ms; /* mono, of the last append */
	int64_t first_sent_ms; /* mono, of the append in flight; 0: none */
	int64_t last_stored_ms; /* mono, first send of the last stored one */
	int64_t backoff_until_ms; /* mono, end of the pause after a refusal */
	bool requested;
	bool urgent;
	bool maybe_applied; /* an attempt in flight got no answer */
	bool fenced; /* another writer took over: nothing is appended */
	uint64_t appends;
	uint32_t attempts; /* of the append in flight */
	int64_t reported_ms; /* mono, when it was last logged as unanswered */
	guint timer;
};

static void schedule(bp_record_writer_t *writer);

static void send_append(bp_record_writer_t *writer);

static gboolean
on_retry(void *data)
{
	bp_record_writer_t *writer = data;

	writer->timer = 0;
	send_append(writer);
	return G_SOURCE_REMOVE;
}

static void
finish(bp_record_writer_t *writer, bp_store_outcome_t outcome)
{
	g_clear_pointer(&writer->records, g_ptr_array_unref);
	writer->maybe_applied = false;
	if (outcome == BP_STORE_OK)
		writer->last_stored_ms = writer->first_sent_ms;
	writer->first_sent_ms = 0;
	if (outcome == BP_STORE_FENCED)
		writer->fenced = true;
	if (outcome == BP_STORE_REFUSED || outcome == BP_STORE_REJECTED)
		writer->backoff_until_ms =
		    bp_clock_mono_ms(writer->options.clock) + RETRY_MS;
	writer->options.done(outcome, writer->options.data);
}

/* Logs an append without an answer, with what tells a store that is silent from
 * a node that is too busy to store. */
static void
report_unanswered(bp_record_writer_t *writer)
{
	int64_t now_ms = bp_clock_mono_ms(writer->options.clock);
	char attempts[16];
	char records[16];
	char since[32];

	if (writer->attempts > 1 &&
	    now_ms - writer->reported_ms < REPORT_INTERVAL_MS)
		return;
	writer->reported_ms = now_ms;
	snprintf(attempts, sizeof(attempts), "%u", writer->attempts);
	snprintf(records, sizeof(records), "%u", writer->records->len);
	snprintf(since, sizeof(since), "%" G_GINT64_FORMAT,
	    now_ms - writer->first_sent_ms);
	bp_log(writer->options.logger, BP_LOG_WARNING, MODULE,
	    "no answer to an append; repeating it", "attempts", attempts,
	    "since_ms", since, "records", records, NULL);
}

/*
 * Once an attempt was not answered, the refusal of a repetition says nothing
 * about that attempt: only success or a fencing error ends the append.
 */
static void
on_append(const bp_store_result_t *result, void *data)
{
	bp_record_writer_t *writer = data;

	switch (result->outcome) {
	case BP_STORE_OK:
		writer->sequence++;
		finish(writer, BP_STORE_OK);
		break;
	case BP_STORE_FENCED:
	case BP_STORE_BAD_SEQUENCE:
	case BP_STORE_CONFLICT:
	case BP_STORE_TRUNCATED:
		bp_log(writer->options.logger, BP_LOG_NOTICE, MODULE,
		    "a later epoch has fenced this shard", "uncertain",
		    writer->maybe_applied ? "yes" : "no", NULL);
		finish(writer,
		    writer->maybe_applied ? BP_STORE_UNKNOWN : BP_STORE_FENCED);
		writer->fenced = true;
		return;
	case BP_STORE_REFUSED:
		if (!writer->maybe_applied) {
			finish(writer, BP_STORE_REFUSED);
			break;
		}
		writer->timer = bp_clock_add_timer(
		    writer->options.clock, RETRY_MS, on_retry, writer);
		return;
	case BP_STORE_REJECTED:
		finish(writer, BP_STORE_REJECTED);
		break;
	case BP_STORE_UNKNOWN:
		report_unanswered(writer);
		writer->maybe_applied = true;
		writer->timer = bp_clock_add_timer(
		    writer->options.clock, RETRY_MS, on_retry, writer);
		return;
	}
	schedule(writer);
}

static void
send_append(bp_record_writer_t *writer)
{
	const bp_record_writer_options_t *options = &writer->options;
	bp_store_append_t append = {0};

	append.topic = options->topic;
	append.partition = options->partition;
	append.writer = options->writer;
	append.epoch = options->epoch;
	append.sequence = writer->sequence;
	append.records = writer->records;
	writer->last_sent_ms = bp_clock_mono_ms(options->clock);
	writer->appends++;
	writer->attempts++;
	options->store->append(options->store, &append, on_append, writer);
}

static gboolean
on_append_due(void *data)
{
	bp_record_writer_t *writer = data;

	writer->timer = 0;
	writer->requested = false;
	writer->urgent = false;
	writer->records = g_ptr_array_new_with_free_func(bp_store_record_free);
	writer->options.collect(writer->records, writer->options.data);
	if (writer->records->len == 0) {
		g_clear_pointer(&writer->records, g_ptr_array_unref);
		return G_SOURCE_REMOVE;
	}
	writer->first_sent_ms = bp_clock_mono_ms(writer->options.clock);
	writer->attempts = 0;
	send_append(writer);
	return G_SOURCE_REMOVE;
}

static void
schedule(bp_record_writer_t *writer)
{
	int64_t now_ms = bp_clock_mono_ms(writer->options.clock);
	int64_t due_ms = writer->last_sent_ms +
	    (writer->urgent ? URGENT_INTERVAL_MS : APPEND_INTERVAL_MS);

	/* A waiting caller learns of a refusal at once; others can wait. */
	if (!writer->urgent)
		due_ms = MAX(due_ms, writer->backoff_until_ms);
	if (writer->records != NULL || !writer->requested || writer->fenced)
		return;
	bp_clock_cancel_timer(writer->options.clock, &writer->timer);
	writer->timer = bp_clock_add_timer(writer->options.clock,
	    (guint)MAX(due_ms - now_ms, 0), on_append_due, writer);
}

/* Creates a record writer that has nothing to write. */
bp_record_writer_t *
bp_record_writer_new(const bp_record_writer_options_t *options)
{
	bp_record_writer_t *writer = g_new0(bp_record_writer_t, 1);

	writer->options = *options;
	writer->sequence = options->sequence;
	return writer;
}

/* Frees a record writer; the outcome of an append in flight is not reported. */
void
bp_record_writer_free(bp_record_writer_t *writer)
{
	if (writer == NULL)
		return;
	writer->options.store->forget(writer->options.store, writer);
	bp_clock_cancel_timer(writer->options.clock, &writer->timer);
	g_clear_pointer(&writer->records, g_ptr_array_unref);
	g_free(writer);
}

/* See the header. */
void
bp_record_writer_request(bp_record_writer_t *writer, bool urgent)
{
	writer->requested = true;
	writer->urgent = writer->urgent || urgent;
	schedule(writer);
}

/* Returns whether nothing is in flight and no append is requested. */
bool
bp_record_writer_idle(const bp_record_writer_t *writer)
{
	return writer->records == NULL && !writer->requested;
}

/* See the header. */
int64_t
bp_record_writer_pending_since_ms(const bp_record_writer_t *writer)
{
	return writer->first_sent_ms;
}

/* See the header. */
uint32_t
bp_record_writer_attempts(const bp_record_writer_t *writer)
{
	return writer->attempts;
}

/* See the header. */
int64_t
bp_record_writer_last_stored_ms(const bp_record_writer_t *writer)
{
	return writer->last_stored_ms;
}

/* Returns the number of appends sent, repetitions included. */
uint64_t
bp_record_writer_appends(const bp_record_writer_t *writer)
{
	return writer->appends;
}
