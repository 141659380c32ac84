#include "queues/shard_private.h"

#include <inttypes.h>
#include <stdio.h>

/*
 * Where the time of jobs goes, for the log line at their end, and what their
 * runs tell of the work of their steps.
 */

#define SPEED_FULL 100

/* Notes that tasks of a step may start. */
void
bp_qstep_note_ready(bp_qstep_t *step, int64_t now_ms)
{
	if (step->ready_ms == 0)
		step->ready_ms = now_ms;
}

/* Adds up the time that a run has lost to its speed limit. */
static void
add_slowed(bp_qrun_t *run, int64_t now_ms)
{
	if (run->speed_since_ms != 0 &&
	    run->speed_percent != BP_QRUN_SPEED_UNKNOWN)
		run->slowed_ms += (now_ms - run->speed_since_ms) *
		    (SPEED_FULL - (int64_t)run->speed_percent) / SPEED_FULL;
	run->speed_since_ms = now_ms;
}

/* Sets the speed limit of a run, in percent of its full speed. */
void
bp_qrun_set_speed(bp_qrun_t *run, uint32_t percent)
{
	add_slowed(run, bp_shard_now_ms(run->exec->shard));
	run->speed_percent = percent;
}

/* Notes that a run was done, which tells the work of its step: it may be the
 * last of the step. */
void
bp_qrun_note_done(bp_qrun_t *run)
{
	int64_t now_ms = bp_shard_now_ms(run->exec->shard);
	bp_qstep_end_t *end;

	if (run->task == NULL)
		return;
	add_slowed(run, now_ms);
	end = &run->task->step->end;
	end->started_ms = run->adopted ? 0 : run->started_ms;
	end->slowed_ms = run->slowed_ms;
	if (!run->adopted && !run->resumed)
		bp_qstep_add_work(
		    run->task->step, now_ms - run->started_ms - run->slowed_ms);
	end->rerun = run->number % BP_SHARD_RUNS_PER_EPOCH != 1;
}

/* Adds the times of a step that has ended to those of its job. Steps of which
 * an earlier owner started a part are left out. */
void
bp_qstep_note_end(bp_qstep_t *step, int64_t now_ms)
{
	bp_qjob_times_t *times = &step->job->times;

	if (step->ready_ms == 0 || step->first_start_ms == 0 ||
	    step->end.started_ms < step->first_start_ms)
		return;
	times->begin_ms += step->first_start_ms - step->ready_ms;
	times->gather_ms += step->all_started_ms - step->first_start_ms;
	times->repeat_ms += MAX(step->end.started_ms - step->all_started_ms, 0);
	times->last_ms +=
	    now_ms - MAX(step->end.started_ms, step->first_start_ms);
	times->slowed_ms += step->end.slowed_ms;
	times->steps++;
	times->rerun_steps += step->end.rerun;
}

static const char *
state_name(Bp__Work__JobState state)
{
	switch (state) {
	case BP__WORK__JOB_STATE__JOB_COMPLETED:
		return "completed";
	case BP__WORK__JOB_STATE__JOB_FAILED:
		return "failed";
	default:
		return "cancelled";
	}
}

/* Logs the end of a job and where its time went. */
void
bp_shard_log_job_end(const bp_shard_t *shard, const bp_qjob_t *job)
{
	const bp_qjob_times_t *times = &job->times;
	char text[256];
	char runs[128];

	snprintf(runs, sizeof(runs),
	    "steps=%u/%u repeated=%u starts=%u moves=%u", times->steps,
	    job->n_steps * job->occurrences, times->rerun_steps, times->starts,
	    times->moves);
	snprintf(text, sizeof(text),
	    "took=%" PRId64 " objective=%" PRId64 " begin=%" PRId64
	    " gather=%" PRId64 " repeat=%" PRId64 " last=%" PRId64
	    " slowed=%" PRId64,
	    job->ended_ms - job->spec->accepted_ms,
	    job->work_due_ms - job->spec->accepted_ms, times->begin_ms,
	    times->gather_ms, times->repeat_ms, times->last_ms,
	    times->slowed_ms);
	bp_log(shard->options.logger, BP_LOG_INFO, BP_SHARD_MODULE, "job ended",
	    "job", job->spec->id, "queue", bp_shard_queue_of(shard, job),
	    "state", state_name(job->state), "times_ms", text, "runs", runs,
	    NULL);
}
