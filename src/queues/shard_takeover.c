#include "queues/shard_private.h"

#include "bulrushpost/hash.h"

#include <stdio.h>

/* Delay before a failed takeover starts again. */
#define RETRY_DELAY_MS 120
/* Range of the sequence numbers of claims. */
#define CLAIM_SEQUENCE_RANGE (UINT64_C(1) << 31)

static void read_page(bp_shard_t *shard);
static void read_later_records(bp_shard_t *shard);
static void list_keys(bp_shard_t *shard);
static void claim(bp_shard_t *shard);

static gboolean
on_retry(void *data)
{
	bp_shard_t *shard = data;

	shard->takeover_timer = 0;
	bp_shard_start_takeover(shard);
	return G_SOURCE_REMOVE;
}

static void
retry(bp_shard_t *shard, const char *step, const char *reason)
{
	bp_log(shard->options.logger, BP_LOG_NOTICE, BP_SHARD_MODULE,
	    "takeover failed; retrying", "step", step, "reason", reason, NULL);
	if (shard->takeover_timer == 0)
		shard->takeover_timer = bp_clock_add_timer(
		    shard->options.clock, RETRY_DELAY_MS, on_retry, shard);
}

static void
poll_recorded_executors(bp_shard_t *shard)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, shard->execs);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		bp_shard_poll(value, 0);
}

static void
become_owner(bp_shard_t *shard)
{
	bp_record_writer_options_t options = {0};
	char jobs[32];
	char epoch[32];

	options.clock = shard->options.clock;
	options.logger = shard->options.logger;
	options.store = shard->options.store;
	options.topic = shard->options.topic;
	options.partition = shard->options.number;
	options.writer = shard->options.topic;
	options.epoch = shard->epoch;
	options.sequence = shard->claim_sequence + 1;
	options.collect = bp_shard_collect_records;
	options.done = bp_shard_append_done;
	options.data = shard;
	shard->writer = bp_record_writer_new(&options);
	shard->phase = BP_SHARD_OWNED;
	shard->owned_ms = bp_shard_now_ms(shard);
	/* Reading all records may have blocked the event loop for long. */
	shard->late_ticks = 0;
	bp_shard_load(shard);
	g_clear_pointer(&shard->loaded_records, g_hash_table_unref);
	snprintf(jobs, sizeof(jobs), "%u", g_hash_table_size(shard->jobs));
	snprintf(epoch, sizeof(epoch), "%" G_GUINT64_FORMAT, shard->epoch);
	bp_log(shard->options.logger, BP_LOG_NOTICE, BP_SHARD_MODULE,
	    "owns the shard", "epoch", epoch, "jobs", jobs, NULL);
	poll_recorded_executors(shard);
	bp_shard_ask_predecessors(shard);
	shard->options.owned(shard, shard->options.data);
	bp_shard_check_reconciliation(shard);
}

/*
 * A claim without an answer may have taken effect, or may do so later: the
 * retry reads the records again, and with them the epoch to exceed.
 */
static void
on_claimed(const bp_store_result_t *result, void *data)
{
	bp_shard_t *shard = data;

	switch (result->outcome) {
	case BP_STORE_OK:
		if (!shard->claim_forced) {
			become_owner(shard);
			break;
		}
		shard->claimed = true;
		shard->claim_end = result->end_offset;
		read_later_records(shard);
		break;
	case BP_STORE_CONFLICT:
		bp_log(shard->options.logger, BP_LOG_NOTICE, BP_SHARD_MODULE,
		    "the previous owner still writes; fencing it", NULL);
		shard->claim_forced = true;
		claim(shard);
		break;
	case BP_STORE_FENCED:
	case BP_STORE_BAD_SEQUENCE:
	case BP_STORE_TRUNCATED:
		retry(shard, "claim", "another append came first");
		break;
	case BP_STORE_REFUSED:
	case BP_STORE_REJECTED:
		retry(shard, "claim", "the store refused the append");
		break;
	case BP_STORE_UNKNOWN:
		retry(shard, "claim", "no answer");
		break;
	}
}

/*
 * Returns a sequence number of its own for each claim: two nodes may claim the
 * same epoch, and the store answers a repeated epoch and sequence number like
 * the first append.
 */
static uint64_t
draw_claim_sequence(const bp_shard_t *shard)
{
	uint64_t seed = bp_hash_mix(
	    (uint64_t)bp_clock_mono_us(shard->options.clock) ^ shard->epoch);

	return bp_hash_text(shard->options.address, seed) %
	    CLAIM_SEQUENCE_RANGE;
}

static void
claim(bp_shard_t *shard)
{
	GPtrArray *records =
	    g_ptr_array_new_with_free_func(bp_store_record_free);
	bp_store_append_t append = {0};

	/* The group may have assigned the shard to another node, which a claim
	 * would fence. The next answer to a join has the shard released and
	 * taken over again. */
	if (!bp_shard_membership_valid(shard)) {
		bp_log(shard->options.logger, BP_LOG_NOTICE, BP_SHARD_MODULE,
		    "not claiming the shard; membership may have expired",
		    NULL);
		g_ptr_array_unref(records);
		return;
	}
	shard->phase = BP_SHARD_CLAIMING;
	shard->epoch = bp_shard_load_owner(shard) + 1;
	shard->claim_sequence = draw_claim_sequence(shard);
	g_ptr_array_add(records, bp_shard_owner_record(shard));
	append.topic = shard->options.topic;
	append.partition = shard->options.number;
	append.writer = shard->options.topic;
	append.epoch = shard->epoch;
	append.sequence = shard->claim_sequence;
	append.conditional = !shard->claim_forced;
	append.end_offset = shard->end_offset;
	shard->claim_sent_ms = bp_shard_now_ms(shard);
	append.records = records;
	shard->options.store->append(
	    shard->options.store, &append, on_claimed, shard);
	g_ptr_array_unref(records);
}

static void
collect_record(bp_shard_t *shard, const bp_store_record_t *record)
{
	gsize size = 0;
	const void *bytes = record->value != NULL
	    ? g_bytes_get_data(record->value, &size)
	    : NULL;

	g_hash_table_replace(shard->loaded_records, g_strdup(record->key),
	    bp_store_record_new(record->key, bytes, size));
}

/* If the store has dropped these records, all keys are listed again. */
static void
on_later_records(const bp_store_result_t *result, void *data)
{
	bp_shard_t *shard = data;
	guint i;

	if (result->outcome == BP_STORE_TRUNCATED) {
		list_keys(shard);
		return;
	}
	if (result->outcome != BP_STORE_OK) {
		retry(shard, "read", "the store did not answer");
		return;
	}
	for (i = 0; i < result->records->len; i++)
		collect_record(shard, result->records->pdata[i]);
	shard->end_offset = result->end_offset;
	if (shard->end_offset >= shard->claim_end)
		become_owner(shard);
	else if (result->records->len > 0)
		read_later_records(shard);
	else
		retry(shard, "read", "the partition ends before the claim");
}

/* Reads what the previous owner wrote between listing and forced claim. */
static void
read_later_records(bp_shard_t *shard)
{
	shard->options.store->read(shard->options.store, shard->options.topic,
	    shard->options.number, shard->end_offset, on_later_records, shard);
}

static void
on_page(const bp_store_result_t *result, void *data)
{
	bp_shard_t *shard = data;
	guint i;

	if (result->outcome != BP_STORE_OK) {
		retry(shard, "read", "the store did not answer");
		return;
	}
	if (shard->page_key == NULL)
		shard->end_offset = result->end_offset;
	for (i = 0; i < result->records->len; i++) {
		const bp_store_record_t *record = result->records->pdata[i];

		collect_record(shard, record);
		g_free(shard->page_key);
		shard->page_key = g_strdup(record->key);
	}
	if (result->more && result->records->len > 0)
		read_page(shard);
	else if (shard->claimed)
		become_owner(shard);
	else
		claim(shard);
}

static void
read_page(bp_shard_t *shard)
{
	shard->options.store->newest(shard->options.store, shard->options.topic,
	    shard->options.number, shard->page_key, on_page, shard);
}

/*
 * Starts a takeover: reads all keys, then claims the shard on condition that
 * nothing was written in between. If the previous owner still writes, the claim
 * is repeated without the condition, which fences that owner, and the records
 * that it wrote in between are read.
 */
void
bp_shard_start_takeover(bp_shard_t *shard)
{
	shard->claimed = false;
	list_keys(shard);
}

static void
list_keys(bp_shard_t *shard)
{
	shard->phase = BP_SHARD_READING;
	g_clear_pointer(&shard->page_key, g_free);
	g_clear_pointer(&shard->loaded_records, g_hash_table_unref);
	shard->loaded_records = g_hash_table_new_full(
	    g_str_hash, g_str_equal, g_free, bp_store_record_free);
	read_page(shard);
}

/* Cancels a takeover in progress. */
void
bp_shard_stop_takeover(bp_shard_t *shard)
{
	shard->options.store->forget(shard->options.store, shard);
	bp_clock_cancel_timer(shard->options.clock, &shard->takeover_timer);
	g_clear_pointer(&shard->page_key, g_free);
	g_clear_pointer(&shard->loaded_records, g_hash_table_unref);
}
