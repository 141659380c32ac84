#include "queues/journal.h"

/* Shortest time between appends, so that many run ends share one call. */
#define APPEND_INTERVAL_MS 25
/* The same while a caller waits: groups only simultaneous requests. */
#define URGENT_INTERVAL_MS 8
/* Delay before a refused or unanswered append is repeated. */
#define RETRY_MS 150
#define MODULE "journal"

struct bp_journal {
	bp_journal_options_t options;
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
	guint timer;
};

static void schedule(bp_journal_t *journal);

static void send_append(bp_journal_t *journal);

static gboolean
on_retry(void *data)
{
	bp_journal_t *journal = data;

	journal->timer = 0;
	send_append(journal);
	return G_SOURCE_REMOVE;
}

static void
finish(bp_journal_t *journal, bp_store_outcome_t outcome)
{
	g_clear_pointer(&journal->records, g_ptr_array_unref);
	journal->maybe_applied = false;
	if (outcome == BP_STORE_OK)
		journal->last_stored_ms = journal->first_sent_ms;
	journal->first_sent_ms = 0;
	if (outcome == BP_STORE_FENCED)
		journal->fenced = true;
	if (outcome == BP_STORE_REFUSED)
		journal->backoff_until_ms =
		    bp_clock_mono_ms(journal->options.clock) + RETRY_MS;
	journal->options.done(outcome, journal->options.data);
}

/*
 * Once an attempt was not answered, the refusal of a repetition says nothing
 * about that attempt: only success or a fencing error ends the append.
 */
static void
on_append(const bp_store_result_t *result, void *data)
{
	bp_journal_t *journal = data;

	switch (result->outcome) {
	case BP_STORE_OK:
		journal->sequence++;
		finish(journal, BP_STORE_OK);
		break;
	case BP_STORE_FENCED:
	case BP_STORE_SEQUENCE:
	case BP_STORE_MOVED:
	case BP_STORE_DROPPED:
		bp_log(journal->options.logger, BP_LOG_NOTICE, MODULE,
		    "a later epoch has fenced this shard", "uncertain",
		    journal->maybe_applied ? "yes" : "no", NULL);
		finish(journal,
		    journal->maybe_applied ? BP_STORE_UNKNOWN
					   : BP_STORE_FENCED);
		journal->fenced = true;
		return;
	case BP_STORE_REFUSED:
		if (!journal->maybe_applied) {
			finish(journal, BP_STORE_REFUSED);
			break;
		}
		journal->timer = bp_clock_after(
		    journal->options.clock, RETRY_MS, on_retry, journal);
		return;
	case BP_STORE_UNKNOWN:
		if (!journal->maybe_applied)
			bp_log(journal->options.logger, BP_LOG_WARNING, MODULE,
			    "no answer to an append; repeating it", NULL);
		journal->maybe_applied = true;
		journal->timer = bp_clock_after(
		    journal->options.clock, RETRY_MS, on_retry, journal);
		return;
	}
	schedule(journal);
}

static void
send_append(bp_journal_t *journal)
{
	const bp_journal_options_t *options = &journal->options;
	bp_store_append_t append = {0};

	append.topic = options->topic;
	append.partition = options->partition;
	append.writer = options->writer;
	append.epoch = options->epoch;
	append.sequence = journal->sequence;
	append.records = journal->records;
	journal->last_sent_ms = bp_clock_mono_ms(options->clock);
	journal->appends++;
	options->store->append(options->store, &append, on_append, journal);
}

static gboolean
on_append_due(void *data)
{
	bp_journal_t *journal = data;

	journal->timer = 0;
	journal->requested = false;
	journal->urgent = false;
	journal->records = g_ptr_array_new_with_free_func(bp_store_record_free);
	journal->options.fill(journal->records, journal->options.data);
	if (journal->records->len == 0) {
		g_clear_pointer(&journal->records, g_ptr_array_unref);
		return G_SOURCE_REMOVE;
	}
	journal->first_sent_ms = bp_clock_mono_ms(journal->options.clock);
	send_append(journal);
	return G_SOURCE_REMOVE;
}

static void
schedule(bp_journal_t *journal)
{
	int64_t now_ms = bp_clock_mono_ms(journal->options.clock);
	int64_t due_ms = journal->last_sent_ms +
	    (journal->urgent ? URGENT_INTERVAL_MS : APPEND_INTERVAL_MS);

	/* A waiting caller learns of a refusal at once; others can wait. */
	if (!journal->urgent)
		due_ms = MAX(due_ms, journal->backoff_until_ms);
	if (journal->records != NULL || !journal->requested || journal->fenced)
		return;
	bp_clock_cancel(journal->options.clock, &journal->timer);
	journal->timer = bp_clock_after(journal->options.clock,
	    (guint)MAX(due_ms - now_ms, 0), on_append_due, journal);
}

/* Creates a record writer that has nothing to write. */
bp_journal_t *
bp_journal_new(const bp_journal_options_t *options)
{
	bp_journal_t *journal = g_new0(bp_journal_t, 1);

	journal->options = *options;
	journal->sequence = options->sequence;
	return journal;
}

/* Frees a record writer; the outcome of an append in flight is not reported. */
void
bp_journal_free(bp_journal_t *journal)
{
	if (journal == NULL)
		return;
	journal->options.store->forget(journal->options.store, journal);
	bp_clock_cancel(journal->options.clock, &journal->timer);
	g_clear_pointer(&journal->records, g_ptr_array_unref);
	g_free(journal);
}

/* See the header. */
void
bp_journal_request(bp_journal_t *journal, bool urgent)
{
	journal->requested = true;
	journal->urgent = journal->urgent || urgent;
	schedule(journal);
}

/* Returns whether nothing is in flight and no append is requested. */
bool
bp_journal_idle(const bp_journal_t *journal)
{
	return journal->records == NULL && !journal->requested;
}

/* See the header. */
int64_t
bp_journal_since_ms(const bp_journal_t *journal)
{
	return journal->first_sent_ms;
}

/* See the header. */
int64_t
bp_journal_stored_ms(const bp_journal_t *journal)
{
	return journal->last_stored_ms;
}

/* Returns the number of appends sent, repetitions included. */
uint64_t
bp_journal_appends(const bp_journal_t *journal)
{
	return journal->appends;
}
