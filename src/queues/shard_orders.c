#include "queues/shard_private.h"

#include <stdio.h>

/* Backoff after a start was refused for lack of capacity: the executor's free
 * capacity is not what the owner assumes. */
#define BACKOFF_NO_CAPACITY_MS 400
/* Backoff for an executor that is unreachable or unhealthy. */
#define BACKOFF_UNHEALTHY_MS 1500
/* Backoff after an order without an answer: others may get none either. */
#define BACKOFF_NO_ANSWER_MS 1000
/* Time after which a stop without an answer is repeated. */
#define STOP_REPEAT_MS 400

/* A start or stop in flight. */
typedef struct {
	bp_shard_t *shard;
	bp_qrun_t *run;
	int64_t sent_ms;
	int64_t late_ms; /* bp_shard_lateness_ms() when it was sent */
} order_t;

static order_t *
order_new(bp_shard_t *shard, bp_qrun_t *run)
{
	order_t *order = g_new0(order_t, 1);

	order->shard = shard;
	order->run = run;
	order->sent_ms = bp_shard_now_ms(shard);
	order->late_ms = bp_shard_lateness_ms(shard);
	bp_qrun_ref_order(run);
	g_hash_table_add(shard->orders, order);
	return order;
}

/* Frees an order; this may free its run. */
static void
order_free(order_t *order)
{
	g_hash_table_remove(order->shard->orders, order);
	bp_qrun_unref_order(order->run);
	g_free(order);
}

/* See the header. */
bp_exec_target_t
bp_qexec_target(const bp_qexec_t *exec)
{
	bp_exec_target_t target = {exec->info->address, exec->info->id,
	    exec->info->zone, exec->shard->epoch, exec->born_ms};

	return target;
}

/* Returns the number of a task's next run, above those of earlier epochs. */
uint64_t
bp_shard_next_run(const bp_shard_t *shard, const bp_qtask_t *task)
{
	uint64_t base = (shard->epoch - 1) * BP_SHARD_RUNS_PER_EPOCH;

	return MAX(base, task->last_run) + 1;
}

static void
log_refusal(const bp_qrun_t *run, const char *outcome)
{
	char number[32];

	snprintf(number, sizeof(number), "%" G_GUINT64_FORMAT, run->number);
	bp_log(run->exec->shard->options.logger, BP_LOG_INFO, BP_SHARD_MODULE,
	    "start not carried out", "task", run->name, "run", number,
	    "executor", run->exec->info->id, "outcome", outcome, NULL);
}

/* Handles a start that was certainly not carried out: the task waits again. */
static void
handle_refused_start(bp_qrun_t *run, const bp_exec_result_t *result)
{
	bp_qexec_t *exec = run->exec;

	exec->shard->counts_rejected++;
	switch (result->outcome) {
	case BP_EXEC_FENCED:
		log_refusal(run, "fenced");
		bp_shard_set_lost(exec->shard);
		break;
	case BP_EXEC_STALE_RUN:
		log_refusal(run, "old");
		break;
	case BP_EXEC_EXPIRED:
		log_refusal(run, "late");
		bp_shard_poll(exec, 0);
		break;
	case BP_EXEC_NO_CAPACITY:
		log_refusal(run, "no_room");
		bp_qexec_back_off(exec, "no_room", BACKOFF_NO_CAPACITY_MS);
		bp_shard_poll(exec, 0);
		break;
	case BP_EXEC_BAD_TICKET:
		log_refusal(run, "ticket");
		break;
	case BP_EXEC_OTHER_INCARNATION:
		log_refusal(run, "other_life");
		bp_qexec_back_off(exec, "other_life", BACKOFF_UNHEALTHY_MS);
		bp_shard_poll(exec, 0);
		break;
	case BP_EXEC_UNCONFIRMED:
		log_refusal(run, "unconfirmed");
		break;
	case BP_EXEC_INVALID:
		log_refusal(run, "invalid");
		bp_qrun_note_malformed(run);
		break;
	case BP_EXEC_UNHEALTHY:
	case BP_EXEC_NOT_SENT:
		log_refusal(run, "unhealthy");
		if (result->proxy_failed)
			break;
		bp_qexec_back_off(exec, "unhealthy", BACKOFF_UNHEALTHY_MS);
		break;
	case BP_EXEC_OK:
	case BP_EXEC_UNKNOWN:
		break;
	}
	bp_qrun_remove(run);
}

/*
 * Returns whether this node may have been too busy to read the answer to a
 * start. The starts that were in flight at an excused one share its excuse.
 */
static bool
is_excused(const order_t *order)
{
	bp_qexec_t *exec = order->run->exec;
	int64_t late_ms = bp_shard_lateness_ms(order->shard) - order->late_ms;

	if (late_ms < BP_SHARD_BUSY_MS)
		return false;
	if (exec->excused_starts > 0 &&
	    order->sent_ms <= exec->start_excused_ms)
		return true;
	if (exec->excused_starts >= BP_SHARD_EXCUSED_MAX)
		return false;
	exec->excused_starts++;
	exec->start_excused_ms = bp_shard_now_ms(order->shard);
	return true;
}

/* Handles a start without an answer. It may take effect, also later, so that
 * the run is stopped in any case. */
static void
handle_unanswered_start(const order_t *order, const bp_exec_result_t *result)
{
	bp_qrun_t *run = order->run;

	order->shard->counts_unanswered++;
	log_refusal(run, "no_answer");
	if (!result->proxy_failed && !is_excused(order))
		bp_qexec_back_off(run->exec, "no_answer", BACKOFF_NO_ANSWER_MS);
	bp_shard_stop_run(order->shard, run, "start without answer");
}

static void
on_start(const bp_exec_result_t *result, void *data)
{
	order_t *order = data;
	bp_qrun_t *run = order->run;
	bp_shard_t *shard = order->shard;

	bp_qrun_record_start_latency(run,
	    bp_shard_now_ms(shard) - order->sent_ms,
	    result->outcome != BP_EXEC_UNKNOWN);
	bp_qrun_release_start(run);
	if (run->removed) {
		order_free(order);
		return;
	}
	if (result->outcome == BP_EXEC_OK) {
		run->answered_seq = ++shard->events;
		run->exec->excused_starts = 0;
		bp_qrun_note_accepted(run);
		if (run->state == BP_QRUN_STARTING)
			run->state = BP_QRUN_RUNNING;
		if (run->exec->polls_in_flight == 0)
			bp_shard_schedule_poll(run->exec, 0);
	} else if (result->outcome == BP_EXEC_UNKNOWN) {
		if (run->state == BP_QRUN_STARTING)
			handle_unanswered_start(order, result);
	} else {
		handle_refused_start(run, result);
	}
	order_free(order);
	bp_shard_plan_round(shard, 0);
}

/*
 * Plans the start of a task and takes its capacity. The order is sent once the
 * store has recorded that the task may run on the executor, so that a later
 * owner knows which tasks an unresponsive executor may run.
 */
void
bp_shard_start_task(
    bp_shard_t *shard, bp_qtask_t *task, bp_qexec_t *exec, uint64_t number)
{
	char *name = bp_qtask_name(task);
	bp_qrun_t *run;

	bp_qexec_large_started(exec, task->step);
	run = bp_qrun_new(exec, task, task->step->spec, name, number);
	run->state = BP_QRUN_PLANNED;
	if (task->step->first_start_ms == 0)
		task->step->first_start_ms = bp_shard_now_ms(shard);
	if (number % BP_SHARD_RUNS_PER_EPOCH == 1)
		task->step->all_started_ms = bp_shard_now_ms(shard);
	task->last_run = number;
	exec->planned_starts++;
	/* The answer comes while the plan is being stored. */
	if (bp_qexec_clock_lag_ms(exec) > BP_SHARD_CLOCK_LAG_MS)
		bp_shard_poll(exec, 0);
	bp_qrun_acquire_start(run);
	bp_record_writer_request(
	    shard->writer, task->step->job->spec->priority == 0);
	g_free(name);
}

/* Sends the start of a planned run. */
void
bp_shard_send_start(bp_shard_t *shard, bp_qrun_t *run)
{
	bp_qexec_t *exec = run->exec;
	bp_qtask_t *task = run->task;
	bp_exec_target_t target = bp_qexec_target(exec);
	bp_exec_start_t start = {0};

	if (!task->step->job->started) {
		task->step->job->started = true;
		bp_qjob_update_state(task->step->job);
	}
	target.born_ms = run->born_ms;
	run->state = BP_QRUN_STARTING;
	run->started_ms = bp_shard_now_ms(shard);
	run->progress_ms = run->started_ms;
	run->speed_since_ms = run->started_ms;
	start.deadline_ms = bp_qexec_clock_ms(exec) + BP_SHARD_START_WINDOW_MS;
	exec->lease_end_ms = MAX(exec->lease_end_ms, start.deadline_ms);
	exec->ordered_ms = run->started_ms;
	start.task = run->name;
	start.run = run->number;
	start.payload = task->step->job->spec->payload;
	start.checkpoint = task->checkpoint;
	run->resumed = task->checkpoint != NULL && task->checkpoint[0] != '\0';
	shard->counts_started++;
	task->step->job->times.starts++;
	if (task->step->spec->filler)
		shard->counts_batch_starts[task->step->outlook]++;
	shard->options.executors->start(shard->options.executors, &target,
	    &start, on_start, order_new(shard, run));
}

static void
on_stop(const bp_exec_result_t *result, void *data)
{
	order_t *order = data;
	bp_qrun_t *run = order->run;

	if (run->removed) {
		order_free(order);
		return;
	}
	switch (result->outcome) {
	case BP_EXEC_OK:
	case BP_EXEC_STALE_RUN:
		run->stop_answered = true;
		run->answered_seq = ++order->shard->events;
		bp_shard_poll(run->exec, 0);
		break;
	case BP_EXEC_FENCED:
		bp_shard_set_lost(order->shard);
		break;
	case BP_EXEC_OTHER_INCARNATION:
		/* The stop is repeated to the incarnation that answers. */
		bp_shard_poll(run->exec, 0);
		break;
	case BP_EXEC_EXPIRED:
	case BP_EXEC_NO_CAPACITY:
	case BP_EXEC_BAD_TICKET:
	case BP_EXEC_UNHEALTHY:
	case BP_EXEC_INVALID:
	case BP_EXEC_NOT_SENT:
	case BP_EXEC_UNKNOWN:
	case BP_EXEC_UNCONFIRMED:
		/* The next check of leases repeats the stop. */
		break;
	}
	order_free(order);
}

/*
 * Orders a run to stop; repeated calls repeat the order at intervals. The task
 * keeps the run until it is known to have ended, so that it never runs twice.
 */
void
bp_shard_stop_run(bp_shard_t *shard, bp_qrun_t *run, const char *reason)
{
	int64_t now_ms = bp_shard_now_ms(shard);
	bp_exec_target_t target = bp_qexec_target(run->exec);

	if (run->stop_answered || !bp_shard_may_order(shard))
		return;
	if (run->stop_sent_ms != 0 &&
	    now_ms - run->stop_sent_ms < STOP_REPEAT_MS)
		return;
	if (run->stop_sent_ms == 0) {
		shard->counts_stopped++;
		bp_log(shard->options.logger, BP_LOG_INFO, BP_SHARD_MODULE,
		    "stopping a run", "task", run->name, "executor",
		    run->exec->info->id, "reason", reason, NULL);
	}
	run->state = BP_QRUN_STOPPING;
	run->stop_sent_ms = now_ms;
	shard->options.executors->stop(shard->options.executors, &target,
	    run->name, run->number, on_stop, order_new(shard, run));
}

/* Abandons all orders in flight; the next owner finds out their outcome. */
void
bp_shard_cancel_orders(bp_shard_t *shard)
{
	GList *orders = g_hash_table_get_keys(shard->orders);
	GList *node;

	for (node = orders; node != NULL; node = node->next) {
		shard->options.executors->forget(
		    shard->options.executors, node->data);
		order_free(node->data);
	}
	g_list_free(orders);
}
