#include "queues/shard_private.h"

/*
 * Handles an expired lease: the executor has killed the run. It would refuse an
 * unconfirmed start as late, but only until it gets a later deadline, so the
 * run of such a start is kept, without its task, until a stop is answered.
 */
static void
expire_run(bp_qrun_t *run)
{
	bp_qexec_t *exec = run->exec;

	bp_log(exec->shard->options.logger, BP_LOG_NOTICE, BP_SHARD_MODULE,
	    "lease of a silent executor lapsed", "task", run->name, "executor",
	    exec->info->id, NULL);
	exec->shard->counts_lost_runs++;
	if (run->state == BP_QRUN_PLANNED) {
		bp_qrun_drop_plan(run);
	} else if (run->answered_seq > 0) {
		bp_qrun_remove(run);
	} else {
		run->lease_expired = true;
		exec->unconfirmed_starts++;
		bp_qrun_detach_task(run);
		bp_shard_stop_run(
		    exec->shard, run, "lease expired before the answer");
		bp_shard_plan_round(exec->shard, 0);
	}
}

static void
check_runs(bp_qexec_t *exec)
{
	bp_shard_t *shard = exec->shard;
	guint i;

	for (i = exec->runs->len; i > 0; i--) {
		bp_qrun_t *run = exec->runs->pdata[i - 1];

		if (!run->lease_expired && exec->unresponsive &&
		    bp_qexec_clock_passed(exec, exec->lease_end_ms)) {
			expire_run(run);
		} else if (run->state == BP_QRUN_RUNNING &&
		    exec->info->draining && run->task != NULL &&
		    (run->task->step->spec->lasting ||
			run->task->step->spec->checkpoints)) {
			bp_shard_stop_run(
			    shard, run, "its executor is draining");
		} else if (run->state == BP_QRUN_STOPPING) {
			bp_shard_stop_run(shard, run, "repeated");
		}
	}
}

/*
 * Returns whether an executor without a poll is to be polled. Leases do not
 * depend on the store: while run ends wait for it, polls go on at the interval
 * of those that wait for an end.
 */
static bool
poll_due(const bp_qexec_t *exec)
{
	if (exec->polls_in_flight > 0 || exec->poll_timer != 0)
		return false;
	if (exec->runs->len == 0 && !bp_qexec_has_unacknowledged_ends(exec) &&
	    (exec->answered_this_epoch || !exec->listed))
		return false;
	return !bp_qexec_has_unstored_ends(exec) ||
	    bp_shard_now_ms(exec->shard) - exec->answered_ms >=
	    BP_SHARD_POLL_WAIT_MS;
}

/* Expires leases of unresponsive executors, repeats stops, restarts polls. */
void
bp_shard_check_leases(bp_shard_t *shard)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, shard->execs);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		bp_qexec_t *exec = value;

		check_runs(exec);
		if (bp_qexec_wait_record_due(exec))
			bp_record_writer_request(shard->writer, false);
		bp_shard_move_paused(exec);
		if (poll_due(exec))
			bp_shard_schedule_poll(exec, 0);
	}
}
