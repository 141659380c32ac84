#include "queues/shard_private.h"

#include <stdio.h>

/*
 * A node that cannot do an owner's work would remain the owner as long as it
 * renews its membership, which takes little time and has priority on the event
 * loop. These checks have such a node release its shards while the leases of
 * running tasks are still valid.
 */

/*
 * Most executors must be unresponsive for this time. Leases last for 6 s, and
 * an unanswered poll takes up to 2.6 s of them.
 */
#define ISOLATED_MS 1500
/* With fewer polled executors no isolation of this node is inferred. */
#define EXECUTORS_MIN 4
/* A node is too slow after LATE_TICKS consecutive ticks, which are due every
 * 0.1 s, that were late by LATE_MS or more. */
#define LATE_MS 500
#define LATE_TICKS 3
/* An append must have no answer for this time, and after this many attempts: a
 * pause of the process alone does not count. */
#define UNSTORED_MS 4000
#define UNSTORED_ATTEMPTS 3
/* Other nodes are asked after this time whether the store answers them. That
 * leaves time for their heartbeats before UNSTORED_MS. */
#define UNANSWERED_MS 1000
/* A takeover takes up to 1 s under load. An attempt without an answer takes
 * 1.5 s, so several must have failed. */
#define TAKEOVER_MAX_MS 6000

/* Counts polled executors, and the unresponsive ones among them. */
static void
count_unresponsive(
    const bp_shard_t *shard, uint32_t *polled, uint32_t *unresponsive)
{
	GHashTableIter iter;
	gpointer value;

	*polled = 0;
	*unresponsive = 0;
	g_hash_table_iter_init(&iter, shard->execs);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const bp_qexec_t *exec = value;

		if (!exec->answered_this_epoch || !exec->listed ||
		    exec->runs->len == 0)
			continue;
		(*polled)++;
		*unresponsive += exec->unresponsive;
	}
}

static void
report_unfit(bp_shard_t *shard, bp_shard_unfit_t why, const char *message,
    const char *key, const char *value)
{
	if (shard->unfit_reported[why])
		return;
	shard->unfit_reported[why] = true;
	bp_log(shard->options.logger, BP_LOG_WARNING, BP_SHARD_MODULE, message,
	    key, value, NULL);
	shard->options.unfit(shard, why, shard->options.data);
}

/*
 * If most executors that have answered this owner become unresponsive together,
 * it is more likely that this node cannot reach them. Executors that have never
 * answered this owner don't count: a successor that finds them down must not
 * hand the shard on again.
 */
static void
check_isolation(bp_shard_t *shard)
{
	int64_t now_ms = bp_shard_now_ms(shard);
	uint32_t polled;
	uint32_t unresponsive;
	char counts[64];

	count_unresponsive(shard, &polled, &unresponsive);
	if (polled < EXECUTORS_MIN || unresponsive * 2 <= polled) {
		shard->isolated_ms = 0;
		return;
	}
	if (shard->isolated_ms == 0)
		shard->isolated_ms = now_ms;
	if (now_ms - shard->isolated_ms < ISOLATED_MS)
		return;
	snprintf(counts, sizeof(counts), "%u of %u", unresponsive, polled);
	report_unfit(shard, BP_SHARD_UNFIT_ISOLATED,
	    "most executors do not answer this node", "silent", counts);
}

/* Reports that this node cannot store. The report is repeated, as no other node
 * may have been there to take the shard. */
static void
report_unstored(
    bp_shard_t *shard, const char *message, const char *key, const char *value)
{
	int64_t now_ms = bp_shard_now_ms(shard);

	if (shard->unstored_reported_ms != 0 &&
	    now_ms - shard->unstored_reported_ms < UNSTORED_MS)
		return;
	shard->unstored_reported_ms = now_ms;
	shard->unfit_reported[BP_SHARD_UNFIT_UNSTORED] = false;
	report_unfit(shard, BP_SHARD_UNFIT_UNSTORED, message, key, value);
}

/*
 * A store that confirms the membership and does not answer an append may answer
 * another node: this one may be too busy to store.
 */
static void
check_appends(bp_shard_t *shard)
{
	int64_t now_ms = bp_shard_now_ms(shard);
	int64_t since_ms = bp_record_writer_pending_since_ms(shard->writer);
	uint32_t attempts = bp_record_writer_attempts(shard->writer);
	char text[16];

	if (since_ms == 0 || now_ms - since_ms < UNSTORED_MS ||
	    attempts < UNSTORED_ATTEMPTS || !bp_shard_membership_valid(shard))
		return;
	snprintf(text, sizeof(text), "%u", attempts);
	report_unstored(shard,
	    "the store answers this node's joins but no append", "attempts",
	    text);
}

/* See the header. */
bool
bp_shard_store_unanswered(const bp_shard_t *shard)
{
	int64_t since_ms = 0;

	if (shard->phase == BP_SHARD_OWNED)
		since_ms = bp_record_writer_pending_since_ms(shard->writer);
	else if (shard->phase == BP_SHARD_READING ||
	    shard->phase == BP_SHARD_CLAIMING)
		since_ms = shard->takeover_start_ms;
	return since_ms != 0 &&
	    bp_shard_now_ms(shard) - since_ms >= UNANSWERED_MS;
}

/* Requests the release of a shard whose takeover does not end although the
 * membership is confirmed: another node may be able to claim it. */
void
bp_shard_check_takeover(bp_shard_t *shard)
{
	int64_t passed_ms = bp_shard_now_ms(shard) - shard->takeover_start_ms;
	char text[32];

	if (passed_ms < TAKEOVER_MAX_MS || !bp_shard_membership_valid(shard))
		return;
	snprintf(text, sizeof(text), "%" G_GINT64_FORMAT, passed_ms);
	report_unstored(shard,
	    "the store answers this node's joins but the takeover does not end",
	    "passed_ms", text);
}

/* Records by how much a tick was late. */
void
bp_shard_record_lag(bp_shard_t *shard, int64_t lag_ms)
{
	shard->lag_ms = MAX(shard->lag_ms, lag_ms);
	shard->late_ticks = lag_ms >= LATE_MS ? shard->late_ticks + 1 : 0;
}

/* Requests the release of this node's shards if it cannot serve as owner. */
void
bp_shard_check_fitness(bp_shard_t *shard)
{
	char lag[32];

	check_isolation(shard);
	check_appends(shard);
	if (shard->late_ticks < LATE_TICKS)
		return;
	snprintf(lag, sizeof(lag), "%" G_GINT64_FORMAT, shard->lag_ms);
	report_unfit(shard, BP_SHARD_UNFIT_SLOW,
	    "this node is too slow for an owner", "lag_ms", lag);
}
