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
	exec->maybe = g_ptr_array_new();
	exec->rooms = g_array_new(FALSE, FALSE, sizeof(bp_qroom_t));
	exec->amounts = g_array_new(FALSE, FALSE, sizeof(bp_pairs_filler_t));
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
	g_ptr_array_unref(exec->maybe);
	g_array_unref(exec->rooms);
	g_array_unref(exec->amounts);
	bp_clock_cancel(exec->shard->options.clock, &exec->timer);
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

/* Returns whether the executor's clock has certainly passed a time. */
bool
bp_qexec_surely_past(const bp_qexec_t *exec, int64_t clock_ms)
{
	return exec->clock_at_ms != 0 &&
	    bp_qexec_clock_ms(exec) > clock_ms + CLOCK_MARGIN_MS;
}

/*
 * Returns whether the executor may still receive an unconfirmed start whose
 * lease has expired. A later deadline would let it carry out that start.
 */
bool
bp_qexec_in_doubt(const bp_qexec_t *exec)
{
	return exec->doubts > 0;
}

/* Adds or subtracts the load that a run's task puts on its executor. */
static void
update_load(bp_qexec_t *exec, const Bp__Work__Step *spec, bool add)
{
	uint32_t filler_milli = spec->filler ? spec->cpu_milli : 0;
	uint32_t serving = spec->target_ms > 0;

	exec->filler_milli += add ? filler_milli : -filler_milli;
	exec->serving += add ? serving : -serving;
	exec->rooms_stale = true;
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
	run->pace = 100;
	run->started_ms = bp_shard_now_ms(exec->shard);
	run->progress_ms = run->started_ms;
	if (spec != NULL) {
		run->cpu_milli = spec->filler ? 0 : spec->cpu_milli;
		run->memory_mib = spec->memory_mib;
		run->accelerators = spec->accelerators;
	} else {
		run->unsized = true;
		exec->unsized++;
	}
	if (task != NULL) {
		task->run = run;
		update_load(exec, task->step->spec, true);
		bp_qtask_set_state(task, BP_QTASK_PLACED);
	}
	exec->cpu_used += run->cpu_milli;
	exec->memory_used += run->memory_mib;
	exec->accelerators_used += run->accelerators;
	g_ptr_array_add(exec->runs, run);
	return run;
}

/* Detaches a run from its task, which may then be placed elsewhere. */
void
bp_qrun_abandon(bp_qrun_t *run)
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
	bp_qrun_abandon(run);
	run->removed = true;
	exec->doubts -= run->lapsed;
	exec->unsized -= run->unsized;
	exec->cpu_used -= run->cpu_milli;
	exec->memory_used -= run->memory_mib;
	exec->accelerators_used -= run->accelerators;
	g_ptr_array_remove_fast(exec->runs, run);
	if (run->orders == 0)
		free_run(run);
	bp_shard_plan_round(exec->shard, 0);
}

/* Removes a planned run without starting it. */
void
bp_qrun_drop_plan(bp_qrun_t *run)
{
	bp_qrun_leave_lane(run);
	bp_qrun_remove(run);
}

/*
 * Marks an executor as reconciled: it has answered a poll of this epoch, or its
 * leases have expired. Tasks that it does not run may be placed again unless
 * they may run on another executor.
 */
void
bp_qexec_resolve(bp_qexec_t *exec)
{
	guint i;

	if (exec->resolved)
		return;
	exec->resolved = true;
	for (i = 0; i < exec->maybe->len; i++) {
		bp_qtask_t *task = exec->maybe->pdata[i];

		task->maybe_on--;
		if (task->maybe_on == 0 && task->state == BP_QTASK_CENSUS)
			bp_qtask_set_state(task, BP_QTASK_WAITING);
	}
	g_ptr_array_set_size(exec->maybe, 0);
	bp_shard_plan_round(exec->shard, 0);
}

/* Counts an order in flight, which keeps the run and its executor alive. */
void
bp_qrun_ref_order(bp_qrun_t *run)
{
	run->orders++;
	run->exec->orders++;
}

/* Ends an order of the run; frees a removed run with its last order. */
void
bp_qrun_unref_order(bp_qrun_t *run)
{
	run->orders--;
	run->exec->orders--;
	if (run->removed && run->orders == 0)
		free_run(run);
}

/* Places nothing on the executor for hold_ms. reason is static. */
void
bp_qexec_hold(bp_qexec_t *exec, const char *reason, uint32_t hold_ms)
{
	int64_t until_ms = bp_shard_now_ms(exec->shard) + hold_ms;

	if (until_ms <= exec->held_until_ms)
		return;
	exec->held_until_ms = until_ms;
	exec->held_for = reason;
	bp_log(exec->shard->options.logger, BP_LOG_NOTICE, BP_SHARD_MODULE,
	    "executor gets no work for a time", "executor", exec->info->id,
	    "reason", reason, NULL);
}
