#include "queues/job.h"

#include "queues/jobref.h"

#include <stdlib.h>
#include <string.h>

#define PERMILLE 1000
/* Bounds of one job, so that a request cannot exhaust a node's memory. */
#define TASKS_MAX 20000
#define STEPS_MAX 256
#define ID_BYTES_MAX 64
/* For the estimate of a job's memory. */
#define STEP_TEXTS_BYTES 128
#define TASK_PROGRESS_BYTES 16
/* Bounds within which sums and products of times do not overflow. */
#define STRETCH_MAX_PERMILLE 1000000
#define TIME_MAX_MS (1LL << 53)

static uint32_t
occurrences_of(const Bp__Work__Job *spec)
{
	return MAX(spec->times, 1);
}

static bool
is_valid_time(int64_t ms)
{
	return ms >= -TIME_MAX_MS && ms <= TIME_MAX_MS;
}

/* Returns whether the last occurrence is due at a valid time. */
static bool
is_valid_schedule(const Bp__Work__Job *spec)
{
	uint64_t intervals = occurrences_of(spec) - 1;

	return is_valid_time(spec->first_ms) &&
	    (intervals == 0 ||
		spec->interval_ms <=
		    (uint64_t)(TIME_MAX_MS - spec->first_ms) / intervals);
}

static int
check_bounds(const Bp__Work__Job *spec, bp_error_t *err)
{
	size_t id_bytes = strlen(spec->id);
	size_t size_bytes;

	if (id_bytes == 0 || id_bytes > ID_BYTES_MAX)
		return bp_error_set(err, BP_EINVALID,
		    "an ID has 1 to %d characters", ID_BYTES_MAX);
	if (!is_valid_schedule(spec) || !is_valid_time(spec->accepted_ms) ||
	    spec->stretch_permille > STRETCH_MAX_PERMILLE)
		return bp_error_set(err, BP_EINVALID,
		    "a time or the stretch factor of the job is out of range");
	size_bytes = bp__work__job__get_packed_size(spec);
	if (size_bytes > BP_QJOB_RECORD_BYTES_MAX)
		return bp_error_set(err, BP_EINVALID,
		    "a job has at most %d bytes when stored, this one %zu",
		    BP_QJOB_RECORD_BYTES_MAX, size_bytes);
	return BP_OK;
}

/* Rejects jobs that can never run or that exceed the bounds; BP_EINVALID. */
int
bp_qjob_validate(const Bp__Work__Job *spec, bp_error_t *err)
{
	uint64_t tasks = 0;
	size_t i;

	if (spec->n_steps == 0 || spec->n_steps > STEPS_MAX)
		return bp_error_set(err, BP_EINVALID,
		    "a job has 1 to %d steps, this one %zu", STEPS_MAX,
		    spec->n_steps);
	for (i = 0; i < spec->n_steps; i++) {
		const Bp__Work__Step *step = spec->steps[i];
		size_t k;

		if (step->tasks == 0)
			return bp_error_set(
			    err, BP_EINVALID, "step %zu has no tasks", i);
		tasks += (uint64_t)step->tasks * occurrences_of(spec);
		for (k = 0; k < step->n_after; k++) {
			if (step->after[k] >= i)
				return bp_error_set(err, BP_EINVALID,
				    "step %zu depends on a later step", i);
		}
	}
	if (tasks > TASKS_MAX)
		return bp_error_set(err, BP_EINVALID,
		    "a job has 1 to %d tasks, this one %" G_GUINT64_FORMAT,
		    TASKS_MAX, tasks);
	return check_bounds(spec, err);
}

/* Computes the estimated critical path from each step on, in ms. */
static void
init_critical_paths(bp_qjob_t *job)
{
	uint32_t i;
	size_t k;

	job->critical_paths_ms = g_new0(int64_t, job->n_steps);
	for (i = job->n_steps; i > 0; i--) {
		const Bp__Work__Step *step = job->spec->steps[i - 1];

		job->critical_paths_ms[i - 1] += step->expected_ms;
		for (k = 0; k < step->n_after; k++)
			job->critical_paths_ms[step->after[k]] =
			    MAX(job->critical_paths_ms[step->after[k]],
				job->critical_paths_ms[i - 1]);
	}
}

static int64_t
critical_path_ms(const bp_qjob_t *job)
{
	int64_t longest_ms = 0;
	uint32_t i;

	for (i = 0; i < job->n_steps; i++)
		longest_ms = MAX(longest_ms, job->critical_paths_ms[i]);
	return longest_ms;
}

static void
init_steps(bp_qjob_t *job)
{
	uint32_t first_number = 0;
	uint32_t i;
	uint32_t k;

	for (i = 0; i < job->n_steps * job->occurrences; i++) {
		bp_qstep_t *step = &job->steps[i];

		step->job = job;
		step->occurrence = i / job->n_steps;
		step->number = i % job->n_steps;
		step->spec = job->spec->steps[step->number];
		step->first_number = first_number;
		first_number += step->spec->tasks;
		step->remaining_tasks = step->spec->tasks;
		step->waiting_tasks = step->spec->tasks;
		step->tasks = g_new0(bp_qtask_t, step->spec->tasks);
		for (k = 0; k < step->spec->tasks; k++) {
			step->tasks[k].step = step;
			step->tasks[k].index = k;
		}
	}
	if (first_number > BP_QJOB_PART_TASKS) {
		job->n_parts = (first_number + BP_QJOB_PART_TASKS - 1) /
		    BP_QJOB_PART_TASKS;
		job->parts = g_new0(uint8_t, job->n_parts);
	}
}

/*
 * See the header. A task takes its entry, and a part of it again while its
 * progress is stored.
 */
uint64_t
bp_qjob_bytes_of(const Bp__Work__Job *spec)
{
	uint64_t tasks = 0;
	size_t i;

	for (i = 0; i < spec->n_steps; i++)
		tasks += spec->steps[i]->tasks;
	return sizeof(bp_qjob_t) + bp__work__job__get_packed_size(spec) +
	    spec->n_steps * (sizeof(Bp__Work__Step) + STEP_TEXTS_BYTES) +
	    occurrences_of(spec) *
	    (spec->n_steps * sizeof(bp_qstep_t) +
		tasks * (sizeof(bp_qtask_t) + TASK_PROGRESS_BYTES));
}

/* See the header. */
void
bp_qjob_update_queue_key(bp_qjob_t *job)
{
	Bp__Work__JobRef ref;
	char *key;

	bp_job_ref_init(&ref, job->spec);
	key = bp_job_ref_queue_key(&ref);
	g_clear_pointer(&job->queue_key, g_ref_string_release);
	job->queue_key = g_ref_string_new_intern(key);
	g_free(key);
}

/* Creates a job without runs. Takes ownership of spec, which is valid. */
bp_qjob_t *
bp_qjob_new(Bp__Work__Job *spec)
{
	bp_qjob_t *job = g_new0(bp_qjob_t, 1);

	job->spec = spec;
	bp_qjob_update_queue_key(job);
	job->bytes = bp_qjob_bytes_of(spec);
	job->n_steps = (uint32_t)spec->n_steps;
	job->occurrences = occurrences_of(spec);
	job->steps = g_new0(bp_qstep_t, job->n_steps * job->occurrences);
	init_steps(job);
	init_critical_paths(job);
	job->chains_ms = g_new0(int64_t, job->n_steps);
	job->due_ms = spec->accepted_ms + spec->objective_ms +
	    critical_path_ms(job) * spec->stretch_permille / PERMILLE;
	return job;
}

static void
clear_task(bp_qtask_t *task)
{
	g_free(task->checkpoint);
	if (task->failed_runs != NULL)
		g_array_unref(task->failed_runs);
}

/* Frees a job. Its tasks must have no runs. NULL is allowed. */
void
bp_qjob_free(gpointer data)
{
	bp_qjob_t *job = data;
	uint32_t i;
	uint32_t k;

	if (job == NULL)
		return;
	for (i = 0; i < job->n_steps * job->occurrences; i++) {
		for (k = 0; k < job->steps[i].spec->tasks; k++)
			clear_task(&job->steps[i].tasks[k]);
		g_free(job->steps[i].tasks);
	}
	g_free(job->steps);
	g_free(job->parts);
	g_free(job->critical_paths_ms);
	g_free(job->chains_ms);
	if (job->waiters != NULL)
		g_array_unref(job->waiters);
	g_ref_string_release(job->queue_key);
	bp__work__job__free_unpacked(job->spec, NULL);
	g_free(job);
}

/* Tells whether the job has reached a final state. */
bool
bp_qjob_ended(const bp_qjob_t *job)
{
	return job->state >= BP__WORK__JOB_STATE__JOB_COMPLETED;
}

/* Returns the Unix ms before which the step must not start; 0 for none. */
int64_t
bp_qstep_not_before_ms(const bp_qstep_t *step)
{
	const Bp__Work__Job *spec = step->job->spec;

	if (spec->times == 0)
		return 0;
	return spec->first_ms +
	    (int64_t)step->occurrence * (int64_t)spec->interval_ms;
}

/* See the header. */
uint32_t
bp_qjob_placed_tasks(const bp_qjob_t *job)
{
	uint32_t placed = 0;
	uint32_t i;

	for (i = 0; i < job->n_steps * job->occurrences; i++)
		placed +=
		    job->steps[i].remaining_tasks - job->steps[i].waiting_tasks;
	return placed;
}

/* Tells whether the step's dependencies are done and its start time has been
 * reached at wall_ms, in Unix ms. */
bool
bp_qstep_ready(const bp_qstep_t *step, int64_t wall_ms)
{
	const bp_qjob_t *job = step->job;
	size_t i;

	if (wall_ms < bp_qstep_not_before_ms(step))
		return false;
	for (i = 0; i < step->spec->n_after; i++) {
		const bp_qstep_t *dependency =
		    &job->steps[step->occurrence * job->n_steps +
			step->spec->after[i]];

		if (dependency->remaining_tasks > 0)
			return false;
	}
	return true;
}

/* Returns a task, or NULL when the job has none of that name. */
bp_qtask_t *
bp_qjob_task(
    const bp_qjob_t *job, uint32_t occurrence, uint32_t step, uint32_t index)
{
	bp_qstep_t *found;

	if (occurrence >= job->occurrences || step >= job->n_steps)
		return NULL;
	found = &job->steps[occurrence * job->n_steps + step];
	return index < found->spec->tasks ? &found->tasks[index] : NULL;
}

/* Sets the state of a task and updates the counts of its step. */
void
bp_qtask_set_state(bp_qtask_t *task, bp_qtask_state_t state)
{
	bp_qstep_t *step = task->step;

	if (task->state == state)
		return;
	if (task->state == BP_QTASK_WAITING)
		step->waiting_tasks--;
	if (task->state == BP_QTASK_DONE)
		step->remaining_tasks++;
	task->state = state;
	if (state == BP_QTASK_WAITING)
		step->waiting_tasks++;
	if (state == BP_QTASK_DONE) {
		step->remaining_tasks--;
		bp_qtask_mark_changed(task);
	}
}

/* Replaces a task's checkpoint; "" and NULL keep the present one. */
void
bp_qtask_set_checkpoint(bp_qtask_t *task, const char *checkpoint)
{
	if (checkpoint == NULL || checkpoint[0] == '\0')
		return;
	if (g_strcmp0(task->checkpoint, checkpoint) == 0)
		return;
	g_free(task->checkpoint);
	task->checkpoint = g_strdup(checkpoint);
}

/* Returns how many runs of a task have failed. */
uint32_t
bp_qtask_failures(const bp_qtask_t *task)
{
	return task->failed_runs != NULL ? task->failed_runs->len : 0;
}

static bool
has_failed_run(const bp_qtask_t *task, uint64_t run)
{
	uint32_t i;

	for (i = 0; i < bp_qtask_failures(task); i++) {
		if (g_array_index(task->failed_runs, uint64_t, i) == run)
			return true;
	}
	return false;
}

/* Adds a failed run of a task; one that is known already counts once. */
void
bp_qtask_add_failed_run(bp_qtask_t *task, uint64_t run)
{
	if (has_failed_run(task, run))
		return;
	if (task->failed_runs == NULL)
		task->failed_runs = g_array_new(FALSE, FALSE, sizeof(uint64_t));
	g_array_append_val(task->failed_runs, run);
	bp_qtask_mark_changed(task);
}

/*
 * Records the failure of a run. Each run counts once: executors report an end
 * again until it is acknowledged, and a later owner gets ends in any order.
 * Members of a gang share the count of member 0; the failures of long-running
 * tasks are neither limited nor counted. Returns true when the attempts are
 * used up.
 */
bool
bp_qtask_record_failure(bp_qtask_t *task, uint64_t run)
{
	bp_qtask_t *counted = task->step->spec->gang ? task->step->tasks : task;

	if (task->step->spec->lasting)
		return false;
	bp_qtask_add_failed_run(counted, run);
	return bp_qtask_failures(counted) >= task->step->job->spec->attempts;
}

/* Updates the state of a job from its tasks. */
void
bp_qjob_update_state(bp_qjob_t *job)
{
	uint32_t i;

	if (bp_qjob_ended(job))
		return;
	if (job->started)
		job->state = BP__WORK__JOB_STATE__JOB_RUNNING;
	for (i = 0; i < job->n_steps * job->occurrences; i++) {
		if (job->steps[i].remaining_tasks > 0)
			return;
	}
	job->state = BP__WORK__JOB_STATE__JOB_COMPLETED;
}

/* Returns the name of a task, ID.occurrence.step.index; the caller frees it. */
char *
bp_qtask_name(const bp_qtask_t *task)
{
	return g_strdup_printf("%s.%u.%u.%u", task->step->job->spec->id,
	    task->step->occurrence, task->step->number, task->index);
}

/* See the header. Returns false, with id NULL, for any other text. */
bool
bp_qtask_parse(const char *name, char **id, uint32_t *occurrence,
    uint32_t *step, uint32_t *index)
{
	uint32_t *const out[] = {occurrence, step, index};
	char **parts = g_strsplit(name, ".", 5);
	bool ok = g_strv_length(parts) == 4;
	size_t i;

	for (i = 0; ok && i < G_N_ELEMENTS(out); i++) {
		guint64 value = 0;

		ok = g_ascii_string_to_unsigned(
		    parts[i + 1], 10, 0, UINT32_MAX, &value, NULL);
		*out[i] = (uint32_t)value;
	}
	*id = ok ? g_strdup(parts[0]) : NULL;
	g_strfreev(parts);
	return ok;
}
