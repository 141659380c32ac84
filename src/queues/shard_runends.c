#include "queues/shard_private.h"

/* Returns whether the store does not cover all run ends that this owner has
 * seen on an executor. They are not acknowledged until it does. */
bool
bp_qexec_has_unstored_ends(const bp_qexec_t *exec)
{
	return exec->ends_seen > exec->ends_stored;
}

/* Returns whether the store covers run ends that the executor still lists. */
bool
bp_qexec_has_unacknowledged_ends(const bp_qexec_t *exec)
{
	return exec->ends_stored > exec->ends_acked;
}

/*
 * Marks the run ends seen so far as covered by the append that is being put
 * together, once it and earlier ones hold the progress of all jobs. Ends that
 * change no job need no record.
 */
void
bp_shard_cover_ends(bp_shard_t *shard)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, shard->execs);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		bp_qexec_t *exec = value;

		exec->ends_storing = exec->ends_seen;
	}
}

/*
 * Handles the outcome of the append that covers run ends. Those of a refused
 * one wait for another that covers them: the jobs concerned are stored again,
 * not necessarily with the next append that succeeds.
 */
void
bp_qexec_ends_appended(bp_qexec_t *exec, bool stored)
{
	if (!stored) {
		exec->ends_storing = exec->ends_stored;
		return;
	}
	if (exec->ends_storing <= exec->ends_stored)
		return;
	exec->ends_stored = exec->ends_storing;
	if (!bp_qexec_has_unstored_ends(exec))
		bp_shard_schedule_poll(exec, 0);
}

/* Returns for how long the oldest unstored run end has waited, in ms; sets
 * *execs to the number of executors with such ends. */
int64_t
bp_shard_unstored_ends_ms(const bp_shard_t *shard, uint32_t *execs)
{
	int64_t now_ms = bp_shard_now_ms(shard);
	int64_t longest_ms = 0;
	GHashTableIter iter;
	gpointer value;

	*execs = 0;
	g_hash_table_iter_init(&iter, shard->execs);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const bp_qexec_t *exec = value;

		if (!bp_qexec_has_unstored_ends(exec))
			continue;
		(*execs)++;
		longest_ms = MAX(longest_ms, now_ms - exec->unstored_ms);
	}
	return longest_ms;
}
