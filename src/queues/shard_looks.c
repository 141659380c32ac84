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
	uint64_t event; /* shard's event count when it was sent */
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
	exec->born_ms = born_ms;
	exec->seen = 0;
	exec->storing = 0;
	exec->acked = 0;
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
	return fillers && serving ? TAIL_SAMPLE_MS : BP_SHARD_LOOK_WAIT_MS;
}

/* Sends the next poll unless run ends must be stored first. */
static void
send_next_poll(bp_qexec_t *exec)
{
	if (exec->looks > 0 || exec->seen > exec->acked)
		return;
	if (exec->runs->len > 0)
		bp_shard_look(exec, poll_wait_ms(exec));
}

static void
on_poll_failure(bp_qexec_t *exec, const bp_exec_result_t *result)
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
	    exec, exec->silent ? UNRESPONSIVE_PERIOD_MS : FIRST_RETRY_MS);
	if (!exec->silent)
		exec->silent_ms = bp_shard_now_ms(exec->shard);
	exec->silent = true;
}

static void
on_poll(const bp_exec_result_t *result, void *data)
{
	poll_t *poll = data;
	bp_qexec_t *exec = poll->exec;
	bp_shard_t *shard = exec->shard;
	uint64_t event = poll->event;

	g_hash_table_remove(shard->looks, poll);
	exec->looks--;
	g_free(poll);
	if (shard->phase == BP_SHARD_LOST)
		return;
	if (result->outcome != BP_EXEC_OK || result->running == NULL) {
		on_poll_failure(exec, result);
		return;
	}
	if (exec->silent)
		bp_log(shard->options.logger, BP_LOG_NOTICE, BP_SHARD_MODULE,
		    "executor answers again", "executor", exec->info->id, NULL);
	if (exec->silent && !exec->recorded)
		bp_journal_request(shard->journal, false);
	exec->silent = false;
	if (exec->born_ms != 0 && result->born_ms > exec->born_ms)
		reset_incarnation(exec, result->born_ms, result->clock_ms);
	/* Drops an answer that a later one or a restart has overtaken. */
	if ((exec->born_ms != 0 && result->born_ms < exec->born_ms) ||
	    result->clock_ms < exec->clock_ms) {
		send_next_poll(exec);
		return;
	}
	exec->born_ms = MAX(exec->born_ms, result->born_ms);
	exec->clock_ms = result->clock_ms;
	exec->clock_at_ms = bp_shard_now_ms(shard);
	exec->answered_ms = exec->clock_at_ms;
	bp_shard_take_lists(exec, result, event);
	if (!exec->met) {
		exec->met = true;
		exec->ordered_ms = exec->answered_ms;
		/* An earlier owner may have granted the longest lease. */
		exec->lease_end_ms = MAX(exec->lease_end_ms,
		    result->clock_ms + shard->options.limits.lease_max_ms);
		bp_qexec_resolve(exec);
		bp_journal_request(shard->journal, false);
		bp_shard_check_census(shard);
		bp_shard_plan_round(shard, 0);
	}
	bp_shard_pace(exec);
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
	if (exec->silent || exec->waiting_told || bp_qexec_in_doubt(exec))
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
	bool follows_answer = exec->looks == 0 && !exec->silent &&
	    bp_shard_now_ms(exec->shard) - exec->answered_ms <
		SAME_INCARNATION_MS;

	return follows_answer ? exec->acked : 0;
}

/* Polls an executor, which waits up to wait_ms for a run to end. */
void
bp_shard_look(bp_qexec_t *exec, uint32_t wait_ms)
{
	bp_shard_t *shard = exec->shard;
	bp_exec_target_t target = {exec->info->address, exec->info->id,
	    exec->info->zone, shard->epoch};
	bp_exec_look_t request = {0};
	poll_t *poll;

	if (exec->looks > 1 || exec->info->address[0] == '\0' ||
	    !bp_shard_may_order(shard))
		return;
	bp_clock_cancel(exec->shard->options.clock, &exec->timer);
	bp_qexec_find_lane(exec);
	poll = g_new0(poll_t, 1);
	poll->exec = exec;
	poll->event = ++shard->events;
	request.deadline_ms = lease_deadline_ms(exec);
	request.cursor = last_end_to_ack(exec);
	request.wait_ms = wait_ms;
	exec->lease_end_ms = MAX(exec->lease_end_ms, request.deadline_ms);
	if (request.deadline_ms > 0)
		exec->ordered_ms = bp_shard_now_ms(shard);
	exec->looks++;
	shard->counts_looks++;
	g_hash_table_add(shard->looks, poll);
	shard->options.executors->look(
	    shard->options.executors, &target, &request, on_poll, poll);
}

static gboolean
on_poll_timer(void *data)
{
	bp_qexec_t *exec = data;

	exec->timer = 0;
	bp_shard_look(exec,
	    exec->runs->len > 0 && !exec->silent && exec->clock_at_ms != 0
		? BP_SHARD_LOOK_WAIT_MS
		: 0);
	return G_SOURCE_REMOVE;
}

/* Schedules a poll unless one is scheduled or in flight. */
void
bp_shard_plan_look(bp_qexec_t *exec, uint32_t delay_ms)
{
	if (exec->timer == 0 && exec->looks == 0)
		exec->timer = bp_clock_after(
		    exec->shard->options.clock, delay_ms, on_poll_timer, exec);
}

/* Cancels all polls in flight. */
void
bp_shard_forget_looks(bp_shard_t *shard)
{
	GList *polls = g_hash_table_get_keys(shard->looks);
	GList *entry;

	for (entry = polls; entry != NULL; entry = entry->next) {
		poll_t *poll = entry->data;

		shard->options.executors->forget(
		    shard->options.executors, poll);
		poll->exec->looks--;
		g_free(poll);
	}
	g_hash_table_remove_all(shard->looks);
	g_list_free(polls);
}
