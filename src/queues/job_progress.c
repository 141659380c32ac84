#include "queues/job.h"

#include "bulrushpost/message.h"
#include "queues/jobref.h"

#include <stdlib.h>
#include <string.h>

static bool
has_progress(const bp_qtask_t *task)
{
	return task->state == BP_QTASK_DONE || task->failed_runs != NULL ||
	    task->checkpoint != NULL;
}

static void
add_task(Bp__Work__Progress *out, const bp_qtask_t *task, uint32_t number)
{
	Bp__Work__TaskProgress *row = g_new(Bp__Work__TaskProgress, 1);

	bp__work__task_progress__init(row);
	row->task = number;
	row->done = task->state == BP_QTASK_DONE;
	row->n_failed_runs = bp_qtask_failures(task);
	if (row->n_failed_runs > 0)
		row->failed_runs = (uint64_t *)(void *)task->failed_runs->data;
	if (task->checkpoint != NULL && !row->done &&
	    strlen(task->checkpoint) <= BP_QJOB_CHECKPOINT_BYTES_MAX)
		row->checkpoint = task->checkpoint;
	out->tasks[out->n_tasks++] = row;
}

/* Packs a message with rows for the tasks with progress among count ones. */
static GBytes *
pack_tasks(const bp_qjob_t *job, Bp__Work__Progress *out, uint32_t first,
    uint32_t count)
{
	GPtrArray *rows = g_ptr_array_new_with_free_func(g_free);
	GBytes *bytes;
	uint32_t i;
	uint32_t k;

	g_ptr_array_set_size(rows, (gint)count);
	out->tasks = (Bp__Work__TaskProgress **)rows->pdata;
	for (i = 0; i < job->n_steps * job->occurrences; i++) {
		const bp_qstep_t *step = &job->steps[i];

		k = first > step->first_number ? first - step->first_number : 0;
		for (; k < step->spec->tasks &&
		     step->first_number + k < first + count;
		     k++) {
			if (has_progress(&step->tasks[k]))
				add_task(out, &step->tasks[k],
				    step->first_number + k);
		}
	}
	bytes = bp_message_pack(&out->base);
	g_ptr_array_unref(rows);
	return bytes;
}

/*
 * Serializes what a later owner cannot learn from the executors. The tasks of a
 * job with parts have records of their own.
 */
GBytes *
bp_qjob_serialize_progress(const bp_qjob_t *job)
{
	Bp__Work__Progress out = BP__WORK__PROGRESS__INIT;
	bool ended = bp_qjob_ended(job);

	out.state = job->state;
	out.ended_ms = job->ended_ms;
	if (ended)
		out.queue = job->spec->queue;
	if (ended || job->resolved) {
		out.host = job->spec->host;
		out.prefix = job->spec->prefix;
	}
	return pack_tasks(
	    job, &out, 0, ended || job->n_parts > 0 ? 0 : BP_QJOB_PART_TASKS);
}

/* Serializes the progress of the tasks of a part. */
GBytes *
bp_qjob_serialize_part(const bp_qjob_t *job, uint32_t part)
{
	Bp__Work__Progress out = BP__WORK__PROGRESS__INIT;

	return pack_tasks(
	    job, &out, part * BP_QJOB_PART_TASKS, BP_QJOB_PART_TASKS);
}

/* Notes that the part of a task is to be stored. */
void
bp_qtask_mark_changed(const bp_qtask_t *task)
{
	const bp_qjob_t *job = task->step->job;

	if (job->n_parts > 0)
		job->parts[(task->step->first_number + task->index) /
		    BP_QJOB_PART_TASKS] |= BP_QPART_CHANGED;
}

static bp_qtask_t *
find_task_by_number(const bp_qjob_t *job, uint32_t number)
{
	uint32_t i;

	for (i = 0; i < job->n_steps * job->occurrences; i++) {
		const bp_qstep_t *step = &job->steps[i];

		if (number - step->first_number < step->spec->tasks)
			return &step->tasks[number - step->first_number];
	}
	return NULL;
}

static void
load_tasks(bp_qjob_t *job, const Bp__Work__Progress *progress)
{
	size_t i;
	size_t k;

	for (i = 0; i < progress->n_tasks; i++) {
		const Bp__Work__TaskProgress *row = progress->tasks[i];
		bp_qtask_t *task = find_task_by_number(job, row->task);

		if (task == NULL)
			continue;
		for (k = 0; k < row->n_failed_runs; k++)
			bp_qtask_add_failed_run(task, row->failed_runs[k]);
		bp_qtask_set_checkpoint(task, row->checkpoint);
		if (row->checkpoint[0] != '\0')
			bp_qtask_mark_changed(task);
		if (row->done)
			bp_qtask_set_state(task, BP_QTASK_DONE);
	}
}

/* Reads the stored progress of a part into a job; BP_EINVALID for malformed
 * bytes or a part that the job does not have. */
int
bp_qjob_load_part(bp_qjob_t *job, uint32_t part, const uint8_t *bytes,
    size_t size_bytes, bp_error_t *err)
{
	Bp__Work__Progress *progress =
	    bp__work__progress__unpack(NULL, size_bytes, bytes);

	if (progress == NULL || part >= job->n_parts) {
		if (progress != NULL)
			bp__work__progress__free_unpacked(progress, NULL);
		return bp_error_set(
		    err, BP_EINVALID, "the stored part is malformed");
	}
	load_tasks(job, progress);
	job->parts[part] = BP_QPART_STORED;
	bp__work__progress__free_unpacked(progress, NULL);
	return BP_OK;
}

static bp_qjob_t *
new_without_tasks(
    const Bp__Work__Job *known, Bp__Work__JobState state, int64_t ended_ms)
{
	Bp__Work__Job spec = BP__WORK__JOB__INIT;
	bp_qjob_t *job;

	spec.id = known->id;
	spec.queue = known->queue;
	spec.host = known->host;
	spec.prefix = known->prefix;
	job = bp_qjob_new(bp_message_copy(&spec.base));
	job->state = state;
	job->stored = state;
	job->ended_ms = ended_ms;
	job->started = true;
	return job;
}

/*
 * Creates an ended job of which only the progress is stored. Returns NULL when
 * the progress is malformed or is that of a job that has not ended.
 */
bp_qjob_t *
bp_qjob_new_ended(const char *id, const uint8_t *bytes, size_t size_bytes)
{
	Bp__Work__Progress *progress =
	    bp__work__progress__unpack(NULL, size_bytes, bytes);
	Bp__Work__Job spec = BP__WORK__JOB__INIT;
	bp_qjob_t *job = NULL;

	if (progress == NULL)
		return NULL;
	spec.id = (char *)id;
	spec.queue = progress->queue;
	spec.host = progress->host;
	spec.prefix = progress->prefix;
	if (progress->queue[0] != '\0' &&
	    progress->state >= BP__WORK__JOB_STATE__JOB_COMPLETED)
		job = new_without_tasks(
		    &spec, progress->state, progress->ended_ms);
	bp__work__progress__free_unpacked(progress, NULL);
	return job;
}

/* See the header. */
bp_qjob_t *
bp_qjob_new_compact(const bp_qjob_t *job)
{
	bp_qjob_t *copy =
	    new_without_tasks(job->spec, job->state, job->ended_ms);

	copy->accepted = job->accepted;
	return copy;
}

/* Reads stored progress into a new job; BP_EINVALID for malformed bytes. */
int
bp_qjob_load_progress(
    bp_qjob_t *job, const uint8_t *bytes, size_t size_bytes, bp_error_t *err)
{
	Bp__Work__Progress *progress =
	    bp__work__progress__unpack(NULL, size_bytes, bytes);

	if (progress == NULL)
		return bp_error_set(
		    err, BP_EINVALID, "the stored progress is malformed");
	job->state = progress->state;
	job->stored = progress->state;
	job->ended_ms = progress->ended_ms;
	job->started = progress->state != BP__WORK__JOB_STATE__JOB_QUEUED;
	job->resolved =
	    bp_job_ref_set_address(job->spec, progress->host, progress->prefix);
	if (job->resolved)
		bp_qjob_update_queue_key(job);
	load_tasks(job, progress);
	bp__work__progress__free_unpacked(progress, NULL);
	return BP_OK;
}
