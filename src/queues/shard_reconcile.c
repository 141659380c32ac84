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

/* Returns how much of the grace earlier owners can no longer use, in ms. */
static int64_t
passed_grace_ms(const bp_shard_t *shard)
{
	return shard->orders_stopped
	    ? BP_SHARD_ORDER_GRACE_MS
	    : MIN(bp_shard_now_ms(shard) - shard->owned_ms,
		  BP_SHARD_ORDER_GRACE_MS);
}

/*
 * Returns how much of LEASE_EXPIRY_WAIT_MS has passed for an executor that has
 * not answered this owner. Once all earlier owners have stopped sending orders,
 * only the last lease that they may have granted has to expire.
 */
static int64_t
earlier_leases_wait_ms(const bp_qexec_t *exec)
{
	const bp_shard_t *shard = exec->shard;
	int64_t now_ms = bp_shard_now_ms(shard);
	int64_t wait_ms = exec->earlier_wait_ms + now_ms - shard->owned_ms;

	return shard->orders_stopped
	    ? MAX(wait_ms,
		  BP_SHARD_ORDER_GRACE_MS + now_ms - shard->orders_stopped_ms)
	    : wait_ms;
}

/*
 * Returns how much of LEASE_EXPIRY_WAIT_MS has passed for an executor, in ms.
 * One that has answered this owner has obeyed no earlier owner since, and the
 * time of its last order is known; the part of the grace that earlier owners
 * can no longer use counts as passed, too. The owner sends it no order before
 * its record says that the wait has ended, so a successor may continue it.
 */
int64_t
bp_qexec_lease_wait_ms(const bp_qexec_t *exec)
{
	const bp_shard_t *shard = exec->shard;

	if (!exec->answered_this_epoch)
		return earlier_leases_wait_ms(exec);
	if (!exec->unresponsive)
		return 0;
	return bp_shard_now_ms(shard) - exec->ordered_ms +
	    passed_grace_ms(shard);
}

/*
 * Checks the reconciliation after a takeover: tasks that an executor may run
 * wait until it has answered a poll of this epoch, or until all leases there
 * have expired. The waits of successive owners add up.
 */
void
bp_shard_check_reconciliation(bp_shard_t *shard)
{
	GHashTableIter iter;
	gpointer value;
	bool pending = false;

	if (shard->reconciled || shard->phase != BP_SHARD_OWNED)
		return;
	g_hash_table_iter_init(&iter, shard->execs);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		bp_qexec_t *exec = value;

		if (!exec->stored || exec->answered_this_epoch ||
		    exec->reconciled)
			continue;
		if (bp_qexec_lease_wait_ms(exec) >= LEASE_EXPIRY_WAIT_MS)
			bp_qexec_reconcile(exec);
		else
			pending = true;
	}
	if (pending)
		return;
	shard->reconciled = true;
	bp_log(shard->options.logger, BP_LOG_NOTICE, BP_SHARD_MODULE,
	    "all executors are accounted for", NULL);
	bp_shard_plan_round(shard, 0);
}

/* Returns whether the record of an unresponsive executor must hold its wait: it
 * may still have runs. */
static bool
needs_wait_record(const bp_qexec_t *exec)
{
	return exec->unresponsive && exec->planned_starts == 0 &&
	    (exec->runs->len > 0 || exec->has_recorded_tasks) &&
	    bp_shard_now_ms(exec->shard) - exec->unresponsive_ms >=
	    UNRESPONSIVE_MIN_MS;
}

/*
 * Returns whether the wait for an unresponsive executor should be stored again.
 * A successor then continues it, whether or not the executor had answered this
 * owner.
 */
bool
bp_qexec_wait_record_due(const bp_qexec_t *exec)
{
	bool wait_matters = exec->answered_this_epoch
	    ? needs_wait_record(exec)
	    : !exec->shard->reconciled;

	return exec->stored && wait_matters && !exec->recording &&
	    bp_shard_now_ms(exec->shard) - exec->wait_stored_ms >=
	    WAIT_STORE_PERIOD_MS;
}
