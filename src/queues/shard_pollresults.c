#include "queues/shard_private.h"

#include <stdio.h>
#include <string.h>

/* Most ended rows in the answer to a poll. */
#define ENDED_ROWS_MAX 500
/* Backoff of a failing executor, per consecutive failure. */
#define BACKOFF_PER_FAILURE_MS 4000
/* Failures further apart than this are not consecutive. */
#define CONSECUTIVE_MAX_GAP_MS 30000
/* A long-running task that fails later than this after its start is not counted
 * against its executor: it may fail at any time. */
#define STARTED_PROPERLY_MS 2000

/* Returns the task of a name, NULL when there is none. */
bp_qtask_t *
bp_shard_find_task(const bp_shard_t *shard, const char *name)
{
	uint32_t occurrence;
	uint32_t step;
	uint32_t index;
	char *id = NULL;
	bp_qjob_t *job;

	if (!bp_qtask_parse(name, &id, &occurrence, &step, &index))
		return NULL;
	job = g_hash_table_lookup(shard->jobs, id);
	g_free(id);
	return job != NULL ? bp_qjob_task(job, occurrence, step, index) : NULL;
}

static bp_qrun_t *
find_run(const bp_qexec_t *exec, const char *name, uint64_t number)
{
	guint i;

	for (i = 0; i < exec->runs->len; i++) {
		bp_qrun_t *run = exec->runs->pdata[i];

		if (run->number == number && strcmp(run->name, name) == 0)
			return run;
	}
	return NULL;
}

/* Forgets a step's failures: its tasks have run properly since. */
static void
clear_failures(bp_qstep_t *step)
{
	memset(step->failed_on, 0, sizeof(step->failed_on));
}

/* Notes a failure; returns whether the step has failed on other executors. */
static bool
note_failure(bp_qstep_t *step, const bp_qexec_t *exec)
{
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(step->failed_on); i++) {
		if (step->failed_on[i] == NULL)
			step->failed_on[i] = exec;
		if (step->failed_on[i] == exec)
			return i > 0;
	}
	return true;
}

static void
count_failure(bp_qexec_t *exec, const bp_qrun_t *run, bp_qstep_t *step)
{
	bp_shard_t *shard = exec->shard;
	int64_t now_ms = bp_shard_now_ms(shard);

	shard->counts_failed++;
	if (step != NULL && step->spec->lasting &&
	    now_ms - run->started_ms >= STARTED_PROPERLY_MS) {
		clear_failures(step);
		return;
	}
	if (step != NULL && note_failure(step, exec))
		return;
	if (now_ms - MAX(exec->failed_ms, exec->backoff_until_ms) >
	    CONSECUTIVE_MAX_GAP_MS)
		exec->failures = 0;
	exec->failed_ms = now_ms;
	exec->failures++;
	if (exec->failures >= shard->options.limits.quarantine_failures)
		bp_qexec_back_off(exec, "quarantined",
		    BACKOFF_PER_FAILURE_MS * exec->failures);
}

/*
 * Consecutive failures are attributed to the executor unless the task is the
 * cause: a long-running task may fail at any time, and a defective one fails on
 * every executor.
 */
static void
count_end(bp_qexec_t *exec, const bp_qrun_t *run, bp_qtask_t *task,
    bp_end_kind_t kind)
{
	bp_qstep_t *step = task != NULL ? task->step : NULL;

	if (kind == BP_END_DONE) {
		exec->failures = 0;
		exec->shard->counts_done++;
		if (step != NULL)
			clear_failures(step);
	} else if (kind == BP_END_FAILED) {
		count_failure(exec, run, step);
	} else if (kind == BP_END_LEASE_EXPIRED) {
		exec->shard->counts_lapsed++;
	}
}

/* A gang is done once the run of any member has succeeded. */
static void
complete_gang(bp_shard_t *shard, bp_qstep_t *step)
{
	uint32_t i;

	for (i = 0; i < step->spec->tasks; i++) {
		bp_qtask_t *task = &step->tasks[i];

		if (task->run != NULL)
			bp_qrun_detach_task(task->run);
		bp_qtask_set_state(task, BP_QTASK_DONE);
	}
	bp_shard_mark_dirty(shard, step->job);
}

/* Learns the work of a step, and how long it took as a multiple of that, unless
 * an earlier owner started it. */
static void
learn_duration(bp_shard_t *shard, bp_qstep_t *step)
{
	int64_t now_ms = bp_shard_now_ms(shard);
	const char *queue = step->job->queue_key;

	if (step->remaining_tasks > 0)
		return;
	bp_qstep_note_end(step, now_ms);
	if (step->work_ms == 0)
		return;
	bp_estimates_add_work(
	    shard->estimates, queue, step->spec->expected_ms, step->work_ms);
	if (step->first_start_ms != 0)
		bp_estimates_add_sample(shard->estimates, queue, step->work_ms,
		    now_ms - step->first_start_ms);
}

static void
on_task_done(bp_shard_t *shard, bp_qtask_t *task)
{
	bp_qjob_t *job = task->step->job;

	if (task->step->spec->lasting || task->state == BP_QTASK_DONE)
		return;
	if (task->step->spec->gang) {
		complete_gang(shard, task->step);
	} else {
		if (task->run != NULL) {
			bp_qrun_t *other = task->run;

			if (other->state == BP_QRUN_PLANNED) {
				bp_qrun_drop_plan(other);
				other = NULL;
			} else {
				bp_qrun_detach_task(other);
			}
			if (other != NULL && other->state == BP_QRUN_RUNNING)
				bp_shard_stop_run(shard, other,
				    "task was done by another run");
		}
		bp_qtask_set_state(task, BP_QTASK_DONE);
	}
	learn_duration(shard, task->step);
	bp_qjob_update_state(job);
	if (job->state == BP__WORK__JOB_STATE__JOB_COMPLETED)
		bp_shard_end_job(shard, job, job->state);
	bp_shard_mark_dirty(shard, job);
}

static void
on_task_failed(bp_qexec_t *exec, bp_qtask_t *task, uint64_t run)
{
	bp_qjob_t *job = task->step->job;
	bool exhausted = bp_qtask_record_failure(task, run);

	task->last_failed_executor = exec;
	bp_shard_mark_dirty(exec->shard, job);
	if (exhausted && !bp_qjob_ended(job)) {
		bp_log(exec->shard->options.logger, BP_LOG_NOTICE,
		    BP_SHARD_MODULE, "job failed", "job", job->spec->id,
		    "reason", "attempts of a task used up", NULL);
		bp_shard_end_job(
		    exec->shard, job, BP__WORK__JOB_STATE__JOB_FAILED);
	}
}

static void
apply_ended_row(bp_qexec_t *exec, const bp_exec_ended_t *row)
{
	bp_shard_t *shard = exec->shard;
	bp_qtask_t *task = bp_shard_find_task(shard, row->task);
	bp_qrun_t *run = find_run(exec, row->task, row->run);

	if (run != NULL) {
		count_end(exec, run, task, row->kind);
		if (row->kind == BP_END_DONE) {
			bp_qrun_learn_duration(run);
			bp_qrun_note_done(run);
		}
		bp_qrun_remove(run);
	}
	if (task == NULL)
		return;
	task->last_run = MAX(task->last_run, row->run);
	if (row->kind == BP_END_DONE) {
		on_task_done(shard, task);
		return;
	}
	if (task->state != BP_QTASK_DONE) {
		bp_qtask_set_checkpoint(task, row->checkpoint);
		if (row->checkpoint[0] != '\0') {
			bp_qtask_mark_changed(task);
			bp_shard_mark_dirty(shard, task->step->job);
		}
	}
	if (row->kind == BP_END_FAILED && task->state != BP_QTASK_DONE)
		on_task_failed(exec, task, row->run);
}

/* Takes over a run of an earlier epoch; stops it if no task needs it. */
static bp_qrun_t *
adopt_run(bp_qexec_t *exec, const bp_exec_running_t *row)
{
	bp_qtask_t *task = bp_shard_find_task(exec->shard, row->task);
	bool wanted = task != NULL && task->state == BP_QTASK_RECONCILING &&
	    !bp_qjob_ended(task->step->job);
	bp_qrun_t *run = bp_qrun_new(exec, wanted ? task : NULL,
	    task != NULL ? task->step->spec : NULL, row->task, row->run);

	run->state = BP_QRUN_RUNNING;
	run->speed_percent = BP_QRUN_SPEED_UNKNOWN;
	run->adopted = true;
	run->adopted_ms = bp_shard_now_ms(exec->shard);
	if (task != NULL)
		task->last_run = MAX(task->last_run, row->run);
	if (wanted) {
		task->step->job->started = true;
		bp_qjob_update_state(task->step->job);
	} else {
		bp_shard_stop_run(exec->shard, run, "no task needs it");
	}
	return run;
}

static void
apply_running_row(
    bp_qexec_t *exec, const bp_exec_running_t *row, GHashTable *seen)
{
	bp_qrun_t *run = find_run(exec, row->task, row->run);

	if (run == NULL)
		run = adopt_run(exec, row);
	else if (run->state == BP_QRUN_STARTING)
		run->state = BP_QRUN_RUNNING;
	g_hash_table_add(seen, run);
	/* The answer to a poll sent before now may show an earlier state. */
	run->answered_seq = ++exec->shard->events;
	if (run->percent != row->percent) {
		run->percent = row->percent;
		run->progress_ms = bp_shard_now_ms(exec->shard);
	}
	run->measured = row->measured;
	if (run->task != NULL)
		bp_qtask_set_checkpoint(run->task, row->checkpoint);
	else if (run->state == BP_QRUN_RUNNING)
		bp_shard_stop_run(exec->shard, run, "no task needs it");
}

/*
 * Returns whether a run that is missing from a complete poll answer has
 * certainly ended. The answer proves nothing about an order that was answered
 * after the poll was sent: answers on different connections overtake each
 * other, and a later incarnation may have carried out the order. Nor does it
 * prove anything about an unconfirmed start: the executor may carry it out
 * until its deadline, which every poll extends. Only the answer to a stop
 * excludes that.
 */
static bool
is_gone(const bp_qrun_t *run, uint64_t poll_event)
{
	bool answered = run->answered_seq > 0 && run->answered_seq < poll_event;

	switch (run->state) {
	case BP_QRUN_PLANNED:
	case BP_QRUN_STARTING:
		return false;
	case BP_QRUN_RUNNING:
	case BP_QRUN_STOPPING:
		return answered;
	}
	return false;
}

static void
remove_missing_runs(bp_qexec_t *exec, GHashTable *seen, uint64_t poll_event)
{
	guint i;

	for (i = exec->runs->len; i > 0; i--) {
		bp_qrun_t *run = exec->runs->pdata[i - 1];

		if (g_hash_table_contains(seen, run) ||
		    !is_gone(run, poll_event))
			continue;
		if (run->state == BP_QRUN_RUNNING) {
			exec->shard->counts_lost_runs++;
			bp_log(exec->shard->options.logger, BP_LOG_NOTICE,
			    BP_SHARD_MODULE, "run is not listed any more",
			    "task", run->name, "executor", exec->info->id,
			    NULL);
		}
		bp_qrun_remove(run);
	}
}

/*
 * Applies the answer to a poll. poll_event is the shard's event count when the
 * poll was sent.
 */
void
bp_shard_apply_poll(
    bp_qexec_t *exec, const bp_exec_result_t *result, uint64_t poll_event)
{
	GHashTable *seen = g_hash_table_new(NULL, NULL);
	uint64_t before = exec->ends_seen;
	bool unstored = bp_qexec_has_unstored_ends(exec);
	guint i;

	for (i = 0; i < result->ended->len; i++) {
		const bp_exec_ended_t *end =
		    &g_array_index(result->ended, bp_exec_ended_t, i);

		if (end->number <= exec->ends_seen)
			continue;
		exec->ends_seen = end->number;
		apply_ended_row(exec, end);
	}
	for (i = 0; i < result->running->len; i++)
		apply_running_row(exec,
		    &g_array_index(result->running, bp_exec_running_t, i),
		    seen);
	if (result->ended->len < ENDED_ROWS_MAX)
		remove_missing_runs(exec, seen, poll_event);
	g_hash_table_unref(seen);
	if (exec->ends_seen != before) {
		if (!unstored)
			exec->unstored_ms = bp_shard_now_ms(exec->shard);
		bp_record_writer_request(exec->shard->writer, false);
		bp_shard_plan_round(exec->shard, 0);
	}
}
