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

		if (!exec->met || !exec->listed || exec->runs->len == 0)
			continue;
		(*polled)++;
		*unresponsive += exec->silent;
	}
}

static void
report_unfit(bp_shard_t *shard, bp_shard_unfit_t why, const char *message,
    const char *key, const char *value)
{
	if (shard->unfit_told[why])
		return;
	shard->unfit_told[why] = true;
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
	report_unfit(shard, BP_SHARD_ISOLATED,
	    "most executors do not answer this node", "silent", counts);
}

/* Records by how much a tick was late. */
void
bp_shard_note_lag(bp_shard_t *shard, int64_t lag_ms)
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
	if (shard->late_ticks < LATE_TICKS)
		return;
	snprintf(lag, sizeof(lag), "%" G_GINT64_FORMAT, shard->lag_ms);
	report_unfit(shard, BP_SHARD_SLOW, "this node is too slow for an owner",
	    "lag_ms", lag);
}
