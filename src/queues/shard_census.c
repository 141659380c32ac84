#include "queues/shard_private.h"

/*
 * After this time no order by an earlier owner can take effect: grace and
 * lease, with 5% of a lease for clock drift.
 */
#define LEASE_EXPIRY_WAIT_MS \
	(BP_SHARD_ORDER_GRACE_MS + BP_SHARD_LEASE_MS + BP_SHARD_LEASE_MS / 20)
/*
 * A single answer may get lost: unresponsiveness is stored only after the first
 * repeated poll has had time to be answered, too.
 */
#define UNRESPONSIVE_MIN_MS 400
/* Period of storing the wait for unresponsive executors. */
#define WAIT_STORE_PERIOD_MS 1000

/*
 * Returns how much of LEASE_EXPIRY_WAIT_MS has passed for an executor, in ms.
 * One that has answered this owner has obeyed no earlier owner since, and the
 * time of its last order is known; the part of the grace that earlier owners
 * can no longer use counts as passed, too. The owner sends it no order before
 * its record says that the wait has ended, so a successor may continue it.
 */
int64_t
bp_qexec_waited_ms(const bp_qexec_t *exec)
{
	const bp_shard_t *shard = exec->shard;
	int64_t now_ms = bp_shard_now_ms(shard);
	int64_t owned_ms = now_ms - shard->owned_ms;

	if (!exec->met)
		return exec->waited_before_ms + owned_ms;
	if (!exec->silent)
		return 0;
	return now_ms - exec->ordered_ms +
	    MIN(owned_ms, BP_SHARD_ORDER_GRACE_MS);
}

/*
 * Checks the reconciliation after a takeover: tasks that an executor may run
 * wait until it has answered a poll of this epoch, or until all leases there
 * have expired. The waits of successive owners add up.
 */
void
bp_shard_check_census(bp_shard_t *shard)
{
	GHashTableIter iter;
	gpointer value;
	bool pending = false;

	if (shard->census_done || shard->phase != BP_SHARD_OWNED)
		return;
	g_hash_table_iter_init(&iter, shard->execs);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		bp_qexec_t *exec = value;

		if (!exec->stored || exec->met || exec->resolved)
			continue;
		if (bp_qexec_waited_ms(exec) >= LEASE_EXPIRY_WAIT_MS)
			bp_qexec_resolve(exec);
		else
			pending = true;
	}
	if (pending)
		return;
	shard->census_done = true;
	bp_log(shard->options.logger, BP_LOG_NOTICE, BP_SHARD_MODULE,
	    "all executors are accounted for", NULL);
	bp_shard_plan_round(shard, 0);
}

/* Returns whether the record of an unresponsive executor must hold its wait: it
 * may still have runs. */
static bool
needs_wait_record(const bp_qexec_t *exec)
{
	return exec->silent && exec->plans == 0 &&
	    (exec->runs->len > 0 || exec->named) &&
	    bp_shard_now_ms(exec->shard) - exec->silent_ms >=
	    UNRESPONSIVE_MIN_MS;
}

/*
 * Returns whether the wait for an unresponsive executor should be stored again.
 * A successor then continues it, whether or not the executor had answered this
 * owner.
 */
bool
bp_qexec_waiting_due(const bp_qexec_t *exec)
{
	bool wait_matters =
	    exec->met ? needs_wait_record(exec) : !exec->shard->census_done;

	return exec->stored && wait_matters && !exec->recording &&
	    bp_shard_now_ms(exec->shard) - exec->waited_stored_ms >=
	    WAIT_STORE_PERIOD_MS;
}
