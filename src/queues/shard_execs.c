#include "queues/shard_private.h"

/* An executor's clock may be 2% slow; the local clock and timers add to it. */
#define CLOCK_DRIFT_PERMILLE 30
#define CLOCK_MARGIN_MS 60
#define PERMILLE 1000

/* Returns the executor of an ID; creates one of which only the ID is known. */
bp_qexec_t *
bp_qexec_get(bp_shard_t *shard, const char *id)
{
	bp_qexec_t *exec = g_hash_table_lookup(shard->execs, id);

	if (exec != NULL)
		return exec;
	exec = g_new0(bp_qexec_t, 1);
	exec->shard = shard;
	exec->runs = g_ptr_array_new();
	exec->possible_tasks = g_ptr_array_new();
	exec->held = g_ptr_array_new_with_free_func(bp_qheld_free);
	exec->slacks = g_array_new(FALSE, FALSE, sizeof(bp_qslack_t));
	exec->filler_usage =
	    g_array_new(FALSE, FALSE, sizeof(bp_filler_usage_t));
	exec->info = g_new0(bp_executor_info_t, 1);
	exec->info->id = g_strdup(id);
	exec->info->address = g_strdup("");
	exec->info->service = g_strdup("");
	exec->info->zone = g_strdup("");
	exec->info->rack = g_strdup("");
	exec->info->labels = g_new0(char *, 1);
	g_hash_table_insert(shard->execs, g_strdup(id), exec);
	return exec;
}

static void
free_run(bp_qrun_t *run)
{
	g_free(run->name);
	g_free(run);
}

/* Frees an executor and its runs; no call in flight may refer to them. */
void
bp_qexec_free(gpointer data)
{
	bp_qexec_t *exec = data;
	guint i;

	for (i = 0; i < exec->runs->len; i++)
		free_run(exec->runs->pdata[i]);
	g_ptr_array_unref(exec->runs);
	g_ptr_array_unref(exec->possible_tasks);
	g_ptr_array_unref(exec->held);
	g_array_unref(exec->slacks);
	g_array_unref(exec->filler_usage);
	bp_clock_cancel_timer(exec->shard->options.clock, &exec->poll_timer);
	bp_executor_info_free(exec->info);
	g_free(exec);
}

/* Returns a lower bound of the executor's clock, 0 before its first answer. */
int64_t
bp_qexec_clock_ms(const bp_qexec_t *exec)
{
	int64_t passed_ms;

	if (exec->clock_at_ms == 0)
		return 0;
	passed_ms = bp_shard_now_ms(exec->shard) - exec->clock_at_ms;
	return exec->clock_ms +
	    passed_ms * (PERMILLE - CLOCK_DRIFT_PERMILLE) / PERMILLE;
}

/*
 * Returns by how much the estimate of the executor's clock may be behind, in
 * ms. It grows with the time since the last answer, which is long only for idle
 * executors.
 */
int64_t
bp_qexec_clock_lag_ms(const bp_qexec_t *exec)
{
	if (exec->clock_at_ms == 0)
		return 0;
	return (bp_shard_now_ms(exec->shard) - exec->clock_at_ms) *
	    CLOCK_DRIFT_PERMILLE / PERMILLE;
}

/* Returns whether the executor's clock has certainly passed a time. */
bool
bp_qexec_clock_passed(const bp_qexec_t *exec, int64_t clock_ms)
{
	return exec->clock_at_ms != 0 &&
	    bp_qexec_clock_ms(exec) > clock_ms + CLOCK_MARGIN_MS;
}

/*
 * Returns whether the executor may still receive an unconfirmed start whose
 * lease has expired. A later deadline would let it carry out that start.
 */
bool
bp_qexec_has_unconfirmed_start(const bp_qexec_t *exec)
{
	return exec->unconfirmed_starts > 0;
}

/* Adds or subtracts the load that a run's task puts on its executor. */
static void
update_load(bp_qexec_t *exec, const Bp__Work__Step *spec, bool add)
{
	uint32_t filler_milli = spec->filler ? spec->cpu_milli : 0;
	uint32_t serving = spec->target_ms > 0;

	if (add) {
		exec->filler_milli += filler_milli;
		exec->serving += serving;
	} else {
		exec->filler_milli -= filler_milli;
		exec->serving -= serving;
	}
	exec->slacks_stale = true;
}

/*
 * Adds a run to an executor and reserves its capacity. task is NULL for a run
 * that no task needs; spec, its request, is NULL for an unknown job.
 */
bp_qrun_t *
bp_qrun_new(bp_qexec_t *exec, bp_qtask_t *task, const Bp__Work__Step *spec,
    const char *name, uint64_t number)
{
	bp_qrun_t *run = g_new0(bp_qrun_t, 1);

	run->exec = exec;
	run->task = task;
	run->name = g_strdup(name);
	run->number = number;
	run->born_ms = exec->born_ms;
	run->speed_percent = 100;
	run->started_ms = bp_shard_now_ms(exec->shard);
	run->progress_ms = run->started_ms;
	if (spec != NULL) {
		run->cpu_milli = spec->filler ? 0 : spec->cpu_milli;
		run->memory_mib = spec->memory_mib;
		run->accelerators = spec->accelerators;
	} else {
		run->size_unknown = true;
		exec->unknown_size_runs++;
	}
	if (task != NULL) {
		task->run = run;
		update_load(exec, task->step->spec, true);
		bp_qtask_set_state(task, BP_QTASK_PLACED);
	}
	exec->cpu_used += run->cpu_milli;
	exec->memory_used += run->memory_mib;
	exec->accelerators_used += run->accelerators;
	bp_qrun_charge(run, spec);
	g_ptr_array_add(exec->runs, run);
	return run;
}

/* Detaches a run from its task, which may then be placed elsewhere. */
void
bp_qrun_detach_task(bp_qrun_t *run)
{
	bp_qtask_t *task = run->task;

	if (task == NULL)
		return;
	update_load(run->exec, task->step->spec, false);
	run->task = NULL;
	task->run = NULL;
	if (task->state == BP_QTASK_PLACED)
		bp_qtask_set_state(task, BP_QTASK_WAITING);
}

/* Removes a run that does not exist, and frees its capacity and its task. */
void
bp_qrun_remove(bp_qrun_t *run)
{
	bp_qexec_t *exec = run->exec;

	if (run->removed)
		return;
	bp_qrun_detach_task(run);
	run->removed = true;
	exec->unconfirmed_starts -= run->lease_expired;
	exec->unknown_size_runs -= run->size_unknown;
	exec->cpu_used -= run->cpu_milli;
	exec->memory_used -= run->memory_mib;
	exec->accelerators_used -= run->accelerators;
	bp_customer_remove(run->account, &run->size);
	g_ptr_array_remove_fast(exec->runs, run);
	if (run->orders_in_flight == 0)
		free_run(run);
	bp_shard_plan_round(exec->shard, 0);
}

/* Removes a planned run without starting it. */
void
bp_qrun_drop_plan(bp_qrun_t *run)
{
	bp_qrun_release_start(run);
	bp_qrun_remove(run);
}

/*
 * Marks an executor as reconciled: it has answered a poll of this epoch, or its
 * leases have expired. Tasks that it does not run may be placed again unless
 * they may run on another executor.
 */
void
bp_qexec_reconcile(bp_qexec_t *exec)
{
	guint i;

	if (exec->reconciled)
		return;
	exec->reconciled = true;
	for (i = 0; i < exec->possible_tasks->len; i++) {
		bp_qtask_t *task = exec->possible_tasks->pdata[i];

		task->possible_executors--;
		if (task->possible_executors == 0 &&
		    task->state == BP_QTASK_RECONCILING)
			bp_qtask_set_state(task, BP_QTASK_WAITING);
	}
	g_ptr_array_set_size(exec->possible_tasks, 0);
	bp_qexec_drop_held(exec);
	bp_shard_plan_round(exec->shard, 0);
}

/* Counts an order in flight, which keeps the run and its executor alive. */
void
bp_qrun_ref_order(bp_qrun_t *run)
{
	run->orders_in_flight++;
	run->exec->orders_in_flight++;
}

/* Ends an order of the run; frees a removed run with its last order. */
void
bp_qrun_unref_order(bp_qrun_t *run)
{
	run->orders_in_flight--;
	run->exec->orders_in_flight--;
	if (run->removed && run->orders_in_flight == 0)
		free_run(run);
}

/* Places nothing on the executor for hold_ms. reason is static. */
void
bp_qexec_back_off(bp_qexec_t *exec, const char *reason, uint32_t backoff_ms)
{
	int64_t until_ms = bp_shard_now_ms(exec->shard) + backoff_ms;

	if (until_ms <= exec->backoff_until_ms)
		return;
	exec->backoff_until_ms = until_ms;
	exec->backoff_reason = reason;
	bp_log(exec->shard->options.logger, BP_LOG_NOTICE, BP_SHARD_MODULE,
	    "executor gets no work for a time", "executor", exec->info->id,
	    "reason", reason, NULL);
}
