#include "queues/shard_private.h"

/*
 * Starts that executors refuse as malformed. Such a start may be the fault of
 * the job, whose payload no executor can read, or of the executor. The step is
 * tried one task at a time, at growing intervals and elsewhere, so that it
 * takes no capacity from others; the executor stays open until it has refused
 * another job, too.
 */

/* Range of the time between two tries of a step. */
#define RETRY_MIN_MS 100
#define RETRY_MAX_MS 5000
/* Time for which an executor that refuses all jobs gets none. */
#define BACKOFF_MS 1500

/* Returns whether no task of a step may start before its next try. */
bool
bp_qstep_awaits_retry(const bp_qstep_t *step, int64_t now_ms)
{
	return step->refused && now_ms < step->retry_at_ms;
}

/* Notes that a task of a refused step is tried. */
void
bp_qstep_note_retry(bp_qstep_t *step, int64_t now_ms)
{
	step->retry_wait_ms = MIN(step->retry_wait_ms * 2, RETRY_MAX_MS);
	step->retry_at_ms = now_ms + step->retry_wait_ms;
}

static void
set_refused(bp_shard_t *shard, bp_qstep_t *step)
{
	if (step->refused)
		return;
	step->refused = true;
	step->retry_wait_ms = RETRY_MIN_MS;
	step->retry_at_ms = bp_shard_now_ms(shard) + RETRY_MIN_MS;
	step->unplaced_ms = 0;
	step->blocked_by_start_limits = false;
	bp_shard_release_step_reservations(shard, step);
	bp_shard_drop_step_rooms(shard, step);
}

/* Notes that an executor has refused the start of a run as malformed. */
void
bp_qrun_note_malformed(const bp_qrun_t *run)
{
	bp_qexec_t *exec = run->exec;
	bp_qstep_t *step;

	if (run->task == NULL)
		return;
	step = run->task->step;
	if (exec->refused_job != NULL && exec->refused_job != step->job)
		bp_qexec_back_off(exec, "invalid", BACKOFF_MS);
	exec->refused_job = step->job;
	step->refused_by = exec;
	set_refused(exec->shard, step);
}

/* Notes that an executor has carried out the start of a run. */
void
bp_qrun_note_accepted(const bp_qrun_t *run)
{
	run->exec->refused_job = NULL;
	if (run->task != NULL)
		run->task->step->refused = false;
}
