#include "queues/shard_private.h"

#include <stdio.h>
#include <string.h>

/* An executor lists at most this many ends at a time. */
#define ENDS_PAGE 500
/* A silent executor is asked again after this time. */
#define SILENT_PERIOD_MS 500
/* One answer may have been lost: the first repetition comes sooner. */
#define SILENT_FIRST_MS 100
/* A look so soon after an answer meets the same life. */
#define FOLLOWS_MS 400
/* Failures in a row hold an executor for this time, then twice as long. */
#define QUARANTINE_MS 4000
/* Executors measure a tail over half a second. */
#define TAIL_WAIT_MS 500

/* Ends with the look in flight; one context a look. */
typedef struct {
	bp_qexec_t *exec;
	uint64_t event; /* shard's count when it was sent */
} look_t;

/* Returns the task of a name, NULL when the job is not known. */
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

/* Failures of several jobs' tasks in a row are the executor's fault. */
static void
count_end(bp_qexec_t *exec, bp_end_kind_t kind)
{
	bp_shard_t *shard = exec->shard;

	if (kind == BP_END_DONE) {
		exec->failures = 0;
		shard->counts_done++;
	} else if (kind == BP_END_FAILED) {
		shard->counts_failed++;
		exec->failures++;
		if (exec->failures >= shard->options.limits.quarantine_failures)
			bp_qexec_hold(exec, "quarantined",
			    QUARANTINE_MS * (exec->failures));
	}
}

/* One end of a gang's run, done, stands for all its members. */
static void
finish_gang(bp_shard_t *shard, bp_qstep_t *step)
{
	uint32_t i;

	for (i = 0; i < step->spec->tasks; i++) {
		bp_qtask_t *task = &step->tasks[i];

		if (task->run != NULL)
			bp_qrun_abandon(task->run);
		bp_qtask_set_state(task, BP_QTASK_DONE);
	}
	bp_shard_mark_dirty(shard, step->job);
}

static void
task_done(bp_shard_t *shard, bp_qtask_t *task)
{
	bp_qjob_t *job = task->step->job;

	if (task->step->spec->lasting || task->state == BP_QTASK_DONE)
		return;
	if (task->step->spec->gang) {
		finish_gang(shard, task->step);
	} else {
		if (task->run != NULL) {
			bp_qrun_t *other = task->run;

			if (other->state == BP_QRUN_PLANNED) {
				bp_qrun_drop_plan(other);
				other = NULL;
			} else {
				bp_qrun_abandon(other);
			}
			if (other != NULL && other->state == BP_QRUN_RUNNING)
				bp_shard_stop_run(
				    shard, other, "task is done elsewhere");
		}
		bp_qtask_set_state(task, BP_QTASK_DONE);
	}
	bp_qjob_settle(job);
	if (job->state == BP__WORK__JOB_STATE__JOB_COMPLETED)
		bp_shard_end_job(shard, job, job->state);
	bp_shard_mark_dirty(shard, job);
}

static void
task_failed(bp_qexec_t *exec, bp_qtask_t *task, uint64_t run)
{
	bp_qjob_t *job = task->step->job;
	bool exhausted = bp_qtask_failed(task, run);

	task->failed_on = exec;
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
take_end(bp_qexec_t *exec, const bp_look_ended_t *end)
{
	bp_shard_t *shard = exec->shard;
	bp_qtask_t *task = bp_shard_find_task(shard, end->task);
	bp_qrun_t *run = find_run(exec, end->task, end->run);

	if (run != NULL) {
		count_end(exec, end->kind);
		bp_qrun_remove(run);
	}
	if (task == NULL)
		return;
	task->last_run = MAX(task->last_run, end->run);
	if (end->kind == BP_END_DONE) {
		task_done(shard, task);
		return;
	}
	if (task->state != BP_QTASK_DONE) {
		bp_qtask_set_checkpoint(task, end->checkpoint);
		if (end->checkpoint[0] != '\0')
			bp_shard_mark_dirty(shard, task->step->job);
	}
	if (end->kind == BP_END_FAILED && task->state != BP_QTASK_DONE)
		task_failed(exec, task, end->run);
}

/* A run that a task of an earlier owner's epoch wants becomes ours. */
static bp_qrun_t *
adopt(bp_qexec_t *exec, const bp_look_running_t *row)
{
	bp_qtask_t *task = bp_shard_find_task(exec->shard, row->task);
	bool wanted = task != NULL && task->state == BP_QTASK_CENSUS &&
	    !bp_qjob_ended(task->step->job);
	bp_qrun_t *run = bp_qrun_new(exec, wanted ? task : NULL,
	    task != NULL ? task->step->spec : NULL, row->task, row->run);

	run->state = BP_QRUN_RUNNING;
	if (task != NULL)
		task->last_run = MAX(task->last_run, row->run);
	if (wanted) {
		task->step->job->begun = true;
		bp_qjob_settle(task->step->job);
	} else {
		bp_shard_stop_run(exec->shard, run, "not wanted");
	}
	return run;
}

static void
take_running(bp_qexec_t *exec, const bp_look_running_t *row, GHashTable *seen,
    uint64_t look_event)
{
	bp_qrun_t *run = find_run(exec, row->task, row->run);

	if (run == NULL)
		run = adopt(exec, row);
	else if (run->state == BP_QRUN_STARTING)
		run->state = BP_QRUN_RUNNING;
	g_hash_table_add(seen, run);
	run->answer_event = MAX(run->answer_event, look_event);
	if (run->percent != row->percent) {
		run->percent = row->percent;
		run->progress_ms = bp_shard_now_ms(exec->shard);
	}
	run->figure = row->figure;
	if (run->task != NULL)
		bp_qtask_set_checkpoint(run->task, row->checkpoint);
	else if (run->state == BP_QRUN_RUNNING)
		bp_shard_stop_run(exec->shard, run, "not wanted");
}

/*
 * Tells whether a run that a whole list does not name is certainly gone. A
 * list proves nothing about an order that was answered after the look was
 * sent: answers on different connections overtake each other, and the order
 * may have been carried out in a newer life than the list tells of. Nor does
 * it prove anything about a start without an answer: the executor may carry
 * it out as long as its deadline, which every look moves on, lies ahead. Only
 * the answer to a stop rules that out.
 */
static bool
is_gone(const bp_qrun_t *run, uint64_t look_event)
{
	bool answered = run->answer_event > 0 && run->answer_event < look_event;

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
drop_missing(bp_qexec_t *exec, GHashTable *seen, uint64_t look_event)
{
	guint i;

	for (i = exec->runs->len; i > 0; i--) {
		bp_qrun_t *run = exec->runs->pdata[i - 1];

		if (g_hash_table_contains(seen, run) ||
		    !is_gone(run, look_event))
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
 * Its counts start anew. What it still lists runs in the new life; what it
 * does not list is found gone like any other run.
 */
static void
new_life(bp_qexec_t *exec, int64_t born_ms, int64_t clock_ms)
{
	bp_log(exec->shard->options.logger, BP_LOG_NOTICE, BP_SHARD_MODULE,
	    "executor has a new life", "executor", exec->info->id, NULL);
	exec->born_ms = born_ms;
	exec->seen = 0;
	exec->storing = 0;
	exec->acked = 0;
	exec->failures = 0;
	exec->clock_ms = 0;
	/* Deadlines of the earlier life's clock are shortened to this. */
	exec->lease_end_ms =
	    clock_ms + exec->shard->options.limits.lease_max_ms;
}

static void
take_lists(
    bp_qexec_t *exec, const bp_exec_result_t *result, uint64_t look_event)
{
	GHashTable *seen = g_hash_table_new(NULL, NULL);
	uint64_t before = exec->seen;
	guint i;

	for (i = 0; i < result->ended->len; i++) {
		const bp_look_ended_t *end =
		    &g_array_index(result->ended, bp_look_ended_t, i);

		if (end->number <= exec->seen)
			continue;
		exec->seen = end->number;
		take_end(exec, end);
	}
	for (i = 0; i < result->running->len; i++)
		take_running(exec,
		    &g_array_index(result->running, bp_look_running_t, i), seen,
		    look_event);
	if (result->ended->len < ENDS_PAGE)
		drop_missing(exec, seen, look_event);
	g_hash_table_unref(seen);
	if (exec->seen != before) {
		bp_journal_request(exec->shard->journal, false);
		bp_shard_plan_round(exec->shard, 0);
	}
}

/* Tails beside fillers are measured anew each half second. */
static uint32_t
look_wait_ms(const bp_qexec_t *exec)
{
	bool fillers = false;
	bool serving = false;
	guint i;

	for (i = 0; i < exec->runs->len; i++) {
		const bp_qrun_t *run = exec->runs->pdata[i];

		if (run->task == NULL)
			continue;
		fillers = fillers || run->task->step->spec->filler;
		serving = serving || run->task->step->spec->target_ms > 0;
	}
	return fillers && serving ? TAIL_WAIT_MS : BP_SHARD_LOOK_WAIT_MS;
}

/* Plans the next look: at once unless ends must be stored first. */
static void
next_look(bp_qexec_t *exec)
{
	if (exec->looks > 0 || exec->seen > exec->acked)
		return;
	if (exec->runs->len > 0)
		bp_shard_look(exec, look_wait_ms(exec));
}

static void
look_failed(bp_qexec_t *exec, const bp_exec_result_t *result)
{
	if (result->courier_failed) {
		bp_shard_plan_look(exec, 0);
		return;
	}
	if (!exec->silent)
		bp_log(exec->shard->options.logger, BP_LOG_NOTICE,
		    BP_SHARD_MODULE, "executor does not answer", "executor",
		    exec->info->id, NULL);
	if (result->outcome == BP_EXEC_FENCED)
		bp_shard_set_lost(exec->shard);
	bp_shard_plan_look(
	    exec, exec->silent ? SILENT_PERIOD_MS : SILENT_FIRST_MS);
	exec->silent = true;
}

static void
on_look(const bp_exec_result_t *result, void *data)
{
	look_t *look = data;
	bp_qexec_t *exec = look->exec;
	bp_shard_t *shard = exec->shard;
	uint64_t event = look->event;

	g_hash_table_remove(shard->looks, look);
	exec->looks--;
	g_free(look);
	if (shard->phase == BP_SHARD_LOST)
		return;
	if (result->outcome != BP_EXEC_OK || result->running == NULL) {
		look_failed(exec, result);
		return;
	}
	if (exec->silent)
		bp_log(shard->options.logger, BP_LOG_NOTICE, BP_SHARD_MODULE,
		    "executor answers again", "executor", exec->info->id, NULL);
	exec->silent = false;
	if (exec->born_ms != 0 && result->born_ms > exec->born_ms)
		new_life(exec, result->born_ms, result->clock_ms);
	/* An answer of an earlier life or time that was overtaken. */
	if ((exec->born_ms != 0 && result->born_ms < exec->born_ms) ||
	    result->clock_ms < exec->clock_ms) {
		next_look(exec);
		return;
	}
	exec->born_ms = MAX(exec->born_ms, result->born_ms);
	exec->clock_ms = result->clock_ms;
	exec->clock_at_ms = bp_shard_now_ms(shard);
	exec->answered_ms = exec->clock_at_ms;
	take_lists(exec, result, event);
	if (!exec->met) {
		exec->met = true;
		/* An earlier owner may have given the longest lease. */
		exec->lease_end_ms = MAX(exec->lease_end_ms,
		    result->clock_ms + shard->options.limits.lease_max_ms);
		bp_qexec_resolve(exec);
		bp_journal_request(shard->journal, false);
		bp_shard_check_census(shard);
		bp_shard_plan_round(shard, 0);
	}
	bp_shard_pace(exec);
	next_look(exec);
}

/* The end of the lease that a look asks for; 0 leaves the lease. */
static int64_t
lease_deadline_ms(const bp_qexec_t *exec)
{
	const bp_shard_t *shard = exec->shard;
	uint32_t lease_ms =
	    MIN(shard->options.limits.lease_max_ms, BP_SHARD_LEASE_MS);

	if (exec->clock_at_ms == 0 || exec->runs->len == 0)
		return 0;
	/*
	 * The lease of a silent executor is to run out. One that lapsed stays
	 * so while a start without an answer could still be carried out.
	 */
	if (exec->silent || bp_qexec_in_doubt(exec))
		return 0;
	return bp_qexec_clock_ms(exec) + lease_ms;
}

/*
 * Ends that the store holds. An executor may have begun a new life with
 * counts of its own since its last answer, and would forget ends that nobody
 * has seen: only a look that directly follows an answer acknowledges.
 */
static uint64_t
cursor_of(const bp_qexec_t *exec)
{
	bool follows = exec->looks == 0 && !exec->silent &&
	    bp_shard_now_ms(exec->shard) - exec->answered_ms < FOLLOWS_MS;

	return follows ? exec->acked : 0;
}

/* Looks at an executor; the answer waits up to wait_ms for an end. */
void
bp_shard_look(bp_qexec_t *exec, uint32_t wait_ms)
{
	bp_shard_t *shard = exec->shard;
	bp_exec_target_t target = {exec->info->address, exec->info->id,
	    exec->info->zone, shard->epoch};
	bp_exec_look_t request = {0};
	look_t *look;

	if (exec->looks > 1 || exec->info->address[0] == '\0' ||
	    !bp_shard_may_order(shard))
		return;
	bp_clock_cancel(exec->shard->options.clock, &exec->timer);
	look = g_new0(look_t, 1);
	look->exec = exec;
	look->event = ++shard->events;
	request.deadline_ms = lease_deadline_ms(exec);
	request.cursor = cursor_of(exec);
	request.wait_ms = wait_ms;
	exec->lease_end_ms = MAX(exec->lease_end_ms, request.deadline_ms);
	exec->looks++;
	shard->counts_looks++;
	g_hash_table_add(shard->looks, look);
	shard->options.executors->look(
	    shard->options.executors, &target, &request, on_look, look);
}

static gboolean
on_look_timer(void *data)
{
	bp_qexec_t *exec = data;

	exec->timer = 0;
	bp_shard_look(exec,
	    exec->runs->len > 0 && !exec->silent && exec->clock_at_ms != 0
		? BP_SHARD_LOOK_WAIT_MS
		: 0);
	return G_SOURCE_REMOVE;
}

/* Looks after a delay unless a look is planned or in flight. */
void
bp_shard_plan_look(bp_qexec_t *exec, uint32_t delay_ms)
{
	if (exec->timer == 0 && exec->looks == 0)
		exec->timer = bp_clock_after(
		    exec->shard->options.clock, delay_ms, on_look_timer, exec);
}

/*
 * The executor has killed the run. A start without an answer would be late
 * now, but only until the executor gets a later deadline: its run is kept,
 * without its task, until a stop is answered.
 */
static void
lapse(bp_qrun_t *run)
{
	bp_qexec_t *exec = run->exec;

	bp_log(exec->shard->options.logger, BP_LOG_NOTICE, BP_SHARD_MODULE,
	    "lease of a silent executor lapsed", "task", run->name, "executor",
	    exec->info->id, NULL);
	exec->shard->counts_lost_runs++;
	if (run->state == BP_QRUN_PLANNED) {
		bp_qrun_drop_plan(run);
	} else if (run->answer_event > 0) {
		bp_qrun_remove(run);
	} else {
		run->lapsed = true;
		bp_qrun_abandon(run);
		bp_shard_stop_run(exec->shard, run, "lapsed without an answer");
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

		if (!run->lapsed && exec->silent &&
		    bp_qexec_surely_past(exec, exec->lease_end_ms)) {
			lapse(run);
		} else if (run->state == BP_QRUN_RUNNING &&
		    exec->info->draining && run->task != NULL &&
		    (run->task->step->spec->lasting ||
			run->task->step->spec->checkpoints)) {
			bp_shard_stop_run(shard, run, "its executor drains");
		} else if (run->state == BP_QRUN_STOPPING) {
			bp_shard_stop_run(shard, run, "repeated");
		}
	}
}

/* Drops all looks in flight. */
void
bp_shard_forget_looks(bp_shard_t *shard)
{
	GList *looks = g_hash_table_get_keys(shard->looks);
	GList *node;

	for (node = looks; node != NULL; node = node->next) {
		look_t *look = node->data;

		shard->options.executors->forget(
		    shard->options.executors, look);
		look->exec->looks--;
		g_free(look);
	}
	g_hash_table_remove_all(shard->looks);
	g_list_free(looks);
}

/* Ends leases of silent executors, repeats stops, restarts looks. */
void
bp_shard_check_leases(bp_shard_t *shard)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, shard->execs);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		bp_qexec_t *exec = value;

		check_runs(exec);
		bp_shard_move_resting(exec);
		if (exec->looks == 0 && exec->timer == 0 &&
		    (exec->runs->len > 0 || (!exec->met && exec->listed)) &&
		    exec->seen <= exec->acked)
			bp_shard_plan_look(exec, 0);
	}
}
