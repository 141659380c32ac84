#include "queues/shard_private.h"

/*
 * An append that the store rejects for good is taken apart: the next ones hold
 * the records of a single job or executor each. One that is rejected alone,
 * while the store takes others, is given up; the rest goes on.
 */

/* Rejections of an append with only its records after which a job or executor
 * is given up, if the store has taken another append since the first. */
#define REJECTIONS_MAX 2

/* Returns whether the store rejects just these records. */
static bool
is_unstorable(bp_shard_t *shard, bp_qrejections_t *rejections)
{
	if (rejections->count == 0)
		rejections->stored_before = shard->stored_appends;
	rejections->count++;
	shard->probe_due = true;
	return rejections->count >= REJECTIONS_MAX &&
	    shard->stored_appends > rejections->stored_before;
}

static void
give_up_new(bp_shard_t *shard, bp_qjob_t *job)
{
	bp_shard_answer_t answer = {BP_EINVALID,
	    BP__WORK__JOB_STATE__JOB_QUEUED, 0,
	    "the store does not take the record of this job", 0};

	bp_shard_answer_waiters(job, false, &answer);
	bp_shard_answer_waiters(job, true, &answer);
	g_ptr_array_remove(shard->active_jobs, job);
	g_hash_table_remove(shard->jobs, job->spec->id);
}

/* Ends a job whose progress cannot be stored; its last record is small. */
static void
give_up(bp_shard_t *shard, bp_qjob_t *job)
{
	bp_log(shard->options.logger, BP_LOG_ERR, BP_SHARD_MODULE, "job failed",
	    "job", job->spec->id, "reason",
	    "the store does not take its progress", NULL);
	if (bp_qjob_ended(job)) {
		/* Not even that; a successor may run the job again. */
		job->stored = job->state;
		return;
	}
	bp_shard_end_job(shard, job, BP__WORK__JOB_STATE__JOB_FAILED);
	job->rejections.count = 0;
	bp_shard_mark_dirty(shard, job);
}

/* Handles the part of a rejected append that a job has in it. */
void
bp_shard_job_rejected(bp_shard_t *shard, const bp_qappended_job_t *sent)
{
	bp_qjob_t *job = sent->job;
	bool unstorable =
	    shard->append_alone && is_unstorable(shard, &job->rejections);

	bp_qjob_parts_done(job, false);
	if (sent->first_record) {
		if (unstorable)
			give_up_new(shard, job);
		else
			g_ptr_array_add(shard->new_jobs, job);
		return;
	}
	if (sent->partial) {
		/* The job is the first of the list still. */
		g_ptr_array_remove(shard->dirty_jobs, job);
		job->dirty = false;
	}
	if (unstorable)
		give_up(shard, job);
	else
		bp_shard_mark_dirty(shard, job);
}

/* Returns the executors whose records were in the append. */
static GPtrArray *
recording_execs(const bp_shard_t *shard)
{
	GPtrArray *execs = g_ptr_array_new();
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, shard->execs);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		if (((bp_qexec_t *)value)->recording)
			g_ptr_array_add(execs, value);
	}
	return execs;
}

static void
on_execs_rejected(bp_shard_t *shard)
{
	GPtrArray *execs = recording_execs(shard);
	bp_qexec_t *exec = execs->len == 1 ? execs->pdata[0] : NULL;

	shard->exec_alone = shard->exec_alone || execs->len > 1;
	if (exec != NULL && is_unstorable(shard, &exec->rejections)) {
		exec->unstorable = true;
		shard->exec_alone = false;
		bp_log(shard->options.logger, BP_LOG_ERR, BP_SHARD_MODULE,
		    "executor gets no work", "executor", exec->info->id,
		    "reason", "the store does not take its record", NULL);
	}
	g_ptr_array_unref(execs);
}

/* Takes the next appends apart. batch holds the bp_qappended_job_t of the
 * rejected one. */
void
bp_shard_append_rejected(bp_shard_t *shard, const GArray *batch)
{
	if (!shard->append_alone && !shard->exec_alone)
		bp_log(shard->options.logger, BP_LOG_WARNING, BP_SHARD_MODULE,
		    "the store rejected an append; taking it apart", NULL);
	if (batch->len == 0)
		on_execs_rejected(shard);
	else
		shard->append_alone = true;
	bp_record_writer_request(shard->writer, false);
}
