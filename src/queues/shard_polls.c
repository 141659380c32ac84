#include "queues/shard_private.h"

/* Period of polling an unresponsive executor. */
#define UNRESPONSIVE_PERIOD_MS 500
/* Delay of the first repeated poll: a single answer may have been lost. */
#define FIRST_RETRY_MS 100
/* A poll this soon after an answer reaches the same incarnation. */
#define SAME_INCARNATION_MS 400
/* Executors measure a tail latency over half a second. */
#define TAIL_SAMPLE_MS 500

/* Context of one poll in flight. */
typedef struct {
	bp_qexec_t *exec;
	int64_t late_ms; /* bp_shard_lateness_ms() when it was sent */
	uint64_t event; /* shard's event count when it was sent */
	uint64_t cursor; /* of the run ends that it acknowledges */
	uint32_t lives; /* of the executor, seen when it was sent */
} poll_t;

/*
 * Resets the counts of an executor that has restarted. What it lists runs in
 * the new incarnation; runs that it doesn't list are removed as usual.
 */
static void
reset_incarnation(bp_qexec_t *exec, int64_t born_ms, int64_t clock_ms)
{
	bp_log(exec->shard->options.logger, BP_LOG_NOTICE, BP_SHARD_MODULE,
	    "executor has restarted", "executor", exec->info->id, NULL);
	exec->lives++;
	exec->born_ms = born_ms;
	exec->ends_seen = 0;
	exec->ends_storing = 0;
	exec->ends_stored = 0;
	exec->ends_acked = 0;
	exec->failures = 0;
	exec->clock_ms = 0;
	/* The executor shortens deadlines of the earlier clock to this. */
	exec->lease_end_ms =
	    clock_ms + exec->shard->options.limits.lease_max_ms;
}

/* Returns how long a poll waits; shorter where fillers may interfere with
 * serving tasks, to get each new tail latency. */
static uint32_t
poll_wait_ms(const bp_qexec_t *exec)
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
	return fillers && serving ? TAIL_SAMPLE_MS : BP_SHARD_POLL_WAIT_MS;
}

/*
 * Sends the next poll. While run ends wait for the store, an executor answers
 * at once, and check_leases() polls it at intervals.
 */
static void
send_next_poll(bp_qexec_t *exec)
{
	if (exec->polls_in_flight > 0 || bp_qexec_has_unstored_ends(exec))
		return;
	if (exec->runs->len > 0)
		bp_shard_poll(exec, poll_wait_ms(exec));
	else if (bp_qexec_has_unacknowledged_ends(exec))
		bp_shard_poll(exec, 0);
}

/* Returns whether this node may have been too busy to read the answer. */
static bool
is_excused(
    bp_qexec_t *exec, const bp_exec_result_t *result, int64_t poll_late_ms)
{
	if (poll_late_ms < BP_SHARD_BUSY_MS ||
	    exec->excused_polls >= BP_SHARD_EXCUSED_MAX ||
	    (result->outcome != BP_EXEC_UNKNOWN &&
		result->outcome != BP_EXEC_NOT_SENT))
		return false;
	exec->excused_polls++;
	return true;
}

/* poll_late_ms: by how much the event loop was late within the poll. */
static void
on_poll_failure(
    bp_qexec_t *exec, const bp_exec_result_t *result, int64_t poll_late_ms)
{
	if (result->proxy_failed || is_excused(exec, result, poll_late_ms)) {
		bp_shard_schedule_poll(exec, 0);
		return;
	}
	if (!exec->unresponsive)
		bp_log(exec->shard->options.logger, BP_LOG_NOTICE,
		    BP_SHARD_MODULE, "executor does not answer", "executor",
		    exec->info->id, NULL);
	if (result->outcome == BP_EXEC_FENCED)
		bp_shard_set_lost(exec->shard);
	bp_shard_schedule_poll(
	    exec, exec->unresponsive ? UNRESPONSIVE_PERIOD_MS : FIRST_RETRY_MS);
	if (!exec->unresponsive)
		exec->unresponsive_ms = bp_shard_now_ms(exec->shard);
	exec->unresponsive = true;
}

/*
 * Returns whether an answer is of another life of the executor than the last
 * one that was applied. The clock of one life does not go back. Times of starts
 * tell lives apart but have no order, as the time of day may be set back: only
 * a poll that was sent after an answer has reached that life or a later one.
 */
static bool
is_of_other_life(const bp_qexec_t *exec, const bp_exec_result_t *result)
{
	return (exec->born_ms != 0 && result->born_ms != exec->born_ms) ||
	    result->clock_ms < exec->clock_ms;
}

static void
on_poll(const bp_exec_result_t *result, void *data)
{
	poll_t *poll = data;
	bp_qexec_t *exec = poll->exec;
	bp_shard_t *shard = exec->shard;
	uint64_t event = poll->event;
	uint64_t cursor = poll->cursor;
	uint32_t lives = poll->lives;
	int64_t poll_late_ms = bp_shard_lateness_ms(shard) - poll->late_ms;

	g_hash_table_remove(shard->polls, poll);
	exec->polls_in_flight--;
	g_free(poll);
	if (shard->phase == BP_SHARD_LOST)
		return;
	if (result->outcome != BP_EXEC_OK || result->running == NULL) {
		on_poll_failure(exec, result, poll_late_ms);
		return;
	}
	if (exec->unresponsive)
		bp_log(shard->options.logger, BP_LOG_NOTICE, BP_SHARD_MODULE,
		    "executor answers again", "executor", exec->info->id, NULL);
	if (exec->unresponsive && !exec->recorded_in_epoch)
		bp_record_writer_request(shard->writer, false);
	exec->unresponsive = false;
	exec->excused_polls = 0;
	if (is_of_other_life(exec, result) && result->born_ms != 0 &&
	    event > exec->answer_event)
		reset_incarnation(exec, result->born_ms, result->clock_ms);
	/* Drops an answer that a later one or a restart may have overtaken. */
	if (is_of_other_life(exec, result)) {
		bp_shard_schedule_poll(exec, 0);
		return;
	}
	/* A cursor counts the ends of the life that it was sent to. */
	if (lives == exec->lives)
		exec->ends_acked = MAX(exec->ends_acked, cursor);
	exec->answer_event = shard->events;
	exec->born_ms = result->born_ms;
	exec->clock_ms = result->clock_ms;
	exec->clock_at_ms = bp_shard_now_ms(shard);
	exec->answered_ms = exec->clock_at_ms;
	bp_shard_apply_poll(exec, result, event);
	if (!exec->answered_this_epoch) {
		exec->answered_this_epoch = true;
		exec->ordered_ms = exec->answered_ms;
		/* An earlier owner may have granted the longest lease. */
		exec->lease_end_ms = MAX(exec->lease_end_ms,
		    result->clock_ms + shard->options.limits.lease_max_ms);
		bp_qexec_reconcile(exec);
		bp_record_writer_request(shard->writer, false);
		bp_shard_check_reconciliation(shard);
		bp_shard_plan_round(shard, 0);
	}
	bp_shard_throttle_fillers(exec);
	send_next_poll(exec);
}

/* Returns the lease deadline for a poll; 0 leaves the lease unchanged. */
static int64_t
lease_deadline_ms(const bp_qexec_t *exec)
{
	const bp_shard_t *shard = exec->shard;
	uint32_t lease_ms =
	    MIN(shard->options.limits.lease_max_ms, BP_SHARD_LEASE_MS);

	if (exec->clock_at_ms == 0 || exec->runs->len == 0)
		return 0;
	/*
	 * The lease of an unresponsive executor must expire, and successors
	 * rely on the wait in its record. An expired lease is not renewed while
	 * an unconfirmed start could still be carried out.
	 */
	if (exec->unresponsive || exec->wait_recorded ||
	    bp_qexec_has_unconfirmed_start(exec))
		return 0;
	return bp_qexec_clock_ms(exec) + lease_ms;
}

/*
 * Returns the number of the last run end to acknowledge, 0 for none. An
 * executor may have restarted since its last answer, with new counts, and would
 * drop ends that no owner has seen. Only a poll that directly follows an answer
 * acknowledges.
 */
static uint64_t
last_end_to_ack(const bp_qexec_t *exec)
{
	bool follows_answer = exec->polls_in_flight == 0 &&
	    !exec->unresponsive &&
	    bp_shard_now_ms(exec->shard) - exec->answered_ms <
		SAME_INCARNATION_MS;

	return follows_answer ? exec->ends_stored : 0;
}

/* Polls an executor, which waits up to wait_ms for a run to end. */
void
bp_shard_poll(bp_qexec_t *exec, uint32_t wait_ms)
{
	bp_shard_t *shard = exec->shard;
	bp_exec_target_t target = bp_qexec_target(exec);
	bp_exec_poll_t request = {0};
	poll_t *poll;

	if (exec->polls_in_flight > 1 || exec->info->address[0] == '\0' ||
	    !bp_shard_may_order(shard))
		return;
	bp_clock_cancel_timer(exec->shard->options.clock, &exec->poll_timer);
	bp_qexec_set_start_limiter(exec);
	poll = g_new0(poll_t, 1);
	poll->exec = exec;
	poll->event = ++shard->events;
	poll->lives = exec->lives;
	poll->late_ms = bp_shard_lateness_ms(shard);
	request.deadline_ms = lease_deadline_ms(exec);
	request.cursor = last_end_to_ack(exec);
	poll->cursor = request.cursor;
	/* Another incarnation would drop ends that no owner has seen. */
	if (request.cursor == 0)
		target.born_ms = 0;
	request.wait_ms = wait_ms;
	exec->lease_end_ms = MAX(exec->lease_end_ms, request.deadline_ms);
	if (request.deadline_ms > 0)
		exec->ordered_ms = bp_shard_now_ms(shard);
	exec->polls_in_flight++;
	shard->counts_polls++;
	g_hash_table_add(shard->polls, poll);
	shard->options.executors->poll(
	    shard->options.executors, &target, &request, on_poll, poll);
}

static gboolean
on_poll_timer(void *data)
{
	bp_qexec_t *exec = data;

	exec->poll_timer = 0;
	bp_shard_poll(exec,
	    exec->runs->len > 0 && !exec->unresponsive &&
		    exec->clock_at_ms != 0 &&
		    bp_qexec_clock_lag_ms(exec) <= BP_SHARD_CLOCK_LAG_MS &&
		    !bp_qexec_has_unstored_ends(exec)
		? BP_SHARD_POLL_WAIT_MS
		: 0);
	return G_SOURCE_REMOVE;
}

/* Schedules a poll unless one is scheduled or in flight. */
void
bp_shard_schedule_poll(bp_qexec_t *exec, uint32_t delay_ms)
{
	if (exec->poll_timer == 0 && exec->polls_in_flight == 0)
		exec->poll_timer = bp_clock_add_timer(
		    exec->shard->options.clock, delay_ms, on_poll_timer, exec);
}

/* Cancels all polls in flight. */
void
bp_shard_cancel_polls(bp_shard_t *shard)
{
	GList *polls = g_hash_table_get_keys(shard->polls);
	GList *entry;

	for (entry = polls; entry != NULL; entry = entry->next) {
		poll_t *poll = entry->data;

		shard->options.executors->forget(
		    shard->options.executors, poll);
		poll->exec->polls_in_flight--;
		g_free(poll);
	}
	g_hash_table_remove_all(shard->polls);
	g_list_free(polls);
}
