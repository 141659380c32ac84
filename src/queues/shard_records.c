#include "queues/shard_private.h"

#include "bulrushpost/message.h"

#include <string.h>

/* Least time between two records of the interference model, which is stored
 * only together with other records. */
#define LEARNED_PERIOD_MS 3000
/*
 * Jobs are added to an append up to this size: the platform's store accepts at
 * most 2 MiB per call, and a larger one would never succeed.
 */
#define APPEND_MAX_BYTES (1024 * 1024)

static void
add_record(
    GPtrArray *records, const char *prefix, const char *id, GBytes *value)
{
	char *key = g_strconcat(prefix, id, NULL);

	g_ptr_array_add(records, bp_store_record_new_bytes(key, value));
	g_free(key);
}

static void
add_message(GPtrArray *records, const char *prefix, const char *id,
    const ProtobufCMessage *message)
{
	GBytes *bytes = bp_message_pack(message);

	add_record(records, prefix, id, bytes);
	g_bytes_unref(bytes);
}

/* Stores a given state: a cancelled job changes state once that is stored. */
static void
add_progress(GPtrArray *records, bp_qjob_t *job, Bp__Work__JobState state)
{
	Bp__Work__JobState before = job->state;
	GBytes *bytes;

	job->state = state;
	bytes = bp_qjob_serialize_progress(job);
	job->state = before;
	add_record(records, BP_SHARD_PREFIX_PROGRESS, job->spec->id, bytes);
	g_bytes_unref(bytes);
}

/* Returns the tasks that this or an earlier owner may have started there. */
static GPtrArray *
possible_task_names(const bp_qexec_t *exec)
{
	GPtrArray *names = g_ptr_array_new_with_free_func(g_free);
	guint i;

	for (i = 0; i < exec->runs->len; i++)
		g_ptr_array_add(
		    names, g_strdup(((bp_qrun_t *)exec->runs->pdata[i])->name));
	for (i = 0; i < exec->possible_tasks->len; i++)
		g_ptr_array_add(
		    names, bp_qtask_name(exec->possible_tasks->pdata[i]));
	return names;
}

static void
add_holder(GPtrArray *records, bp_qexec_t *exec, uint32_t waited_ms)
{
	Bp__Work__Holder holder = BP__WORK__HOLDER__INIT;
	GPtrArray *names = possible_task_names(exec);

	holder.id = exec->info->id;
	holder.address = exec->info->address;
	holder.born_ms = exec->born_ms;
	bp_qexec_store_held(exec, names, &holder);
	holder.tasks = (char **)names->pdata;
	holder.n_tasks = names->len;
	holder.waited_ms = waited_ms;
	exec->has_recorded_tasks = names->len > 0;
	add_message(
	    records, BP_SHARD_PREFIX_HOLDER, exec->info->id, &holder.base);
	bp_qexec_free_stored_held(&holder);
	g_ptr_array_unref(names);
}

static void
mark_plans_in_append(bp_qexec_t *exec)
{
	guint i;

	exec->planned_starts = 0;
	for (i = 0; i < exec->runs->len; i++) {
		bp_qrun_t *run = exec->runs->pdata[i];

		run->in_append = run->state == BP_QRUN_PLANNED;
	}
}

/*
 * Sends the planned starts of a stored append and drops those of a refused one.
 * The append may have taken long, so all conditions of a start are checked
 * again.
 */
static void
send_planned_starts(bp_shard_t *shard, bp_qexec_t *exec, bool stored)
{
	guint i;

	for (i = exec->runs->len; i > 0; i--) {
		bp_qrun_t *run = exec->runs->pdata[i - 1];

		if (run->state != BP_QRUN_PLANNED || !run->in_append)
			continue;
		if (stored && bp_shard_may_start(shard) && run->task != NULL &&
		    !run->task->step->job->cancelling &&
		    bp_qrun_may_start(run) &&
		    bp_qexec_clock_lag_ms(exec) <= BP_SHARD_START_LAG_MAX_MS)
			bp_shard_send_start(shard, run);
		else
			bp_qrun_drop_plan(run);
	}
}

/*
 * Adds executor records. An executor is recorded in each epoch before it gets
 * work or a lease, which ends the wait for it, and again with each task that is
 * to start there.
 */
static void
add_exec_records(bp_shard_t *shard, GPtrArray *records)
{
	GHashTableIter iter;
	gpointer value;
	bool added = false;

	g_hash_table_iter_init(&iter, shard->execs);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		bp_qexec_t *exec = value;

		if (exec->unstorable)
			continue;
		if (shard->exec_alone && added)
			break;
		if (bp_qexec_wait_record_due(exec)) {
			exec->wait_stored_ms = bp_shard_now_ms(shard);
			exec->recorded_in_epoch = false;
			exec->wait_recorded = true;
			add_holder(records, exec,
			    (uint32_t)bp_qexec_lease_wait_ms(exec));
			added = true;
		} else if (exec->answered_this_epoch && !exec->recording &&
		    (exec->planned_starts > 0 ||
			(!exec->recorded_in_epoch && !exec->unresponsive))) {
			exec->recording = true;
			mark_plans_in_append(exec);
			add_holder(records, exec, 0);
			added = true;
		}
	}
	if (shard->exec_alone && added)
		bp_record_writer_request(shard->writer, false);
}

/* Adds what was learned under a key. A record that the store could not take is
 * left out: each owner then learns anew. Takes ownership of bytes. */
static void
add_learned_record(GPtrArray *records, const char *key, GBytes *bytes)
{
	if (g_bytes_get_size(bytes) > 0 &&
	    g_bytes_get_size(bytes) <= BP_QJOB_RECORD_BYTES_MAX)
		add_record(records, "", key, bytes);
	g_bytes_unref(bytes);
}

/* Adds what a later owner need not learn anew. */
static void
add_learned_records(bp_shard_t *shard, GPtrArray *records)
{
	int64_t now_ms = bp_shard_now_ms(shard);

	if (records->len == 0 ||
	    now_ms - shard->learned_stored_ms < LEARNED_PERIOD_MS)
		return;
	add_learned_record(records, BP_SHARD_KEY_FILLER_MODEL,
	    bp_filler_model_serialize(shard->filler_model));
	add_learned_record(records, BP_SHARD_KEY_WORKS,
	    bp_estimates_serialize_works(shard->estimates));
	shard->learned_stored_ms = now_ms;
}

/* Returns the record that makes this node the owner. */
bp_store_record_t *
bp_shard_owner_record(const bp_shard_t *shard)
{
	Bp__Work__Owner owner = BP__WORK__OWNER__INIT;
	bp_store_record_t *record;
	GBytes *bytes;

	owner.epoch = shard->epoch;
	owner.node = (char *)shard->options.node;
	owner.address = (char *)shard->options.address;
	bp_shard_store_predecessors(shard, &owner);
	bytes = bp_message_pack(&owner.base);
	g_free(owner.earlier);
	record = bp_store_record_new_bytes(BP_SHARD_KEY_OWNER, bytes);
	g_bytes_unref(bytes);
	return record;
}

static gsize
size_of(const GPtrArray *records, guint from)
{
	gsize bytes = 0;
	guint i;

	for (i = from; i < records->len; i++) {
		const bp_store_record_t *record = records->pdata[i];

		bytes += strlen(record->key);
		if (record->value != NULL)
			bytes += g_bytes_get_size(record->value);
	}
	return bytes;
}

static bool
add_new_job(bp_shard_t *shard, GPtrArray *records, bp_qjob_t *job, gsize *bytes)
{
	bp_qappended_job_t sent = {
	    job, BP__WORK__JOB_STATE__JOB_QUEUED, true, false, false};
	guint from = records->len;

	add_message(
	    records, BP_SHARD_PREFIX_JOB, job->spec->id, &job->spec->base);
	g_array_append_val(shard->in_flight, sent);
	*bytes += size_of(records, from);
	return true;
}

/* Returns false when some parts of its progress are left for later. */
static bool
add_changed_job(
    bp_shard_t *shard, GPtrArray *records, bp_qjob_t *job, gsize *bytes)
{
	bool cancel = job->cancelling && !bp_qjob_ended(job);
	bp_qappended_job_t sent = {job,
	    cancel ? BP__WORK__JOB_STATE__JOB_CANCELLED : job->state, false,
	    cancel, false};
	bool ends = sent.state >= BP__WORK__JOB_STATE__JOB_COMPLETED;
	guint from;

	if (!ends && !bp_qjob_add_parts(records, job, bytes, APPEND_MAX_BYTES))
		sent.partial = true;
	if (sent.partial) {
		g_array_append_val(shard->in_flight, sent);
		return false;
	}
	job->dirty = false;
	/* Successors keep the ended job for status_keep_s from this time. */
	if (cancel)
		job->ended_ms = bp_shard_wall_ms(shard);
	from = records->len;
	add_progress(records, job, sent.state);
	/* A takeover reads less, and cannot start any task of the job. */
	if (ends) {
		add_record(records, BP_SHARD_PREFIX_JOB, job->spec->id, NULL);
		bp_qjob_remove_parts(records, job);
	}
	*bytes += size_of(records, from);
	g_array_append_val(shard->in_flight, sent);
	return true;
}

/*
 * Moves jobs from the list to the append until that has its full size, or holds
 * one job if it is to hold no more.
 */
static void
move_jobs(bp_shard_t *shard, GPtrArray *records, GPtrArray *jobs,
    bool (*add)(bp_shard_t *, GPtrArray *, bp_qjob_t *, gsize *), gsize *bytes)
{
	guint taken = 0;

	while (taken < jobs->len && *bytes < APPEND_MAX_BYTES &&
	    (!shard->append_alone || shard->in_flight->len == 0)) {
		if (!add(shard, records, jobs->pdata[taken], bytes))
			break;
		taken++;
	}
	if (taken > 0)
		g_ptr_array_remove_range(jobs, 0, taken);
}

static void end_append(bp_shard_t *shard, bp_store_outcome_t outcome);

static void
add_owner_record(bp_shard_t *shard, GPtrArray *records)
{
	if (shard->owner_record_due ||
	    (records->len == 0 && shard->epoch_check_wanted)) {
		g_ptr_array_add(records, bp_shard_owner_record(shard));
		shard->owner_record_in_flight = shard->owner_record_due;
		shard->owner_record_due = false;
	}
	shard->epoch_check_wanted = false;
}

/* See the header. */
void
bp_shard_delete_key(bp_shard_t *shard, char *key)
{
	g_hash_table_add(shard->deleted_keys, key);
}

/* Drops the deletions of keys that the append writes again. */
static void
replace_deletions(bp_shard_t *shard, const GPtrArray *records)
{
	guint i;

	for (i = 0; i < records->len; i++) {
		const bp_store_record_t *record = records->pdata[i];

		if (record->value != NULL &&
		    g_hash_table_remove(shard->deleted_keys, record->key))
			g_hash_table_add(
			    shard->deleting_keys, g_strdup(record->key));
	}
}

static void
add_deletions(bp_shard_t *shard, GPtrArray *records)
{
	GHashTableIter iter;
	gpointer key;

	replace_deletions(shard, records);
	g_hash_table_iter_init(&iter, shard->deleted_keys);
	while (g_hash_table_iter_next(&iter, &key, NULL)) {
		add_record(records, "", key, NULL);
		g_hash_table_iter_steal(&iter);
		g_hash_table_add(shard->deleting_keys, key);
	}
}

/* Handles the outcome of the append with deletions: those of a refused one are
 * made again. */
static void
on_deletions(bp_shard_t *shard, bool stored)
{
	GHashTableIter iter;
	gpointer key;

	g_hash_table_iter_init(&iter, shard->deleting_keys);
	while (!stored && g_hash_table_iter_next(&iter, &key, NULL)) {
		g_hash_table_iter_steal(&iter);
		bp_shard_delete_key(shard, key);
	}
	g_hash_table_remove_all(shard->deleting_keys);
}

/* Adds the pending records to an append; see bp_record_writer_options_t. */
void
bp_shard_collect_records(GPtrArray *records, void *data)
{
	bp_shard_t *shard = data;
	gsize bytes = 0;

	/* After a pause the append may be due before the next tick. */
	bp_shard_refuse_overdue(shard);
	g_array_set_size(shard->in_flight, 0);
	if (shard->probe_due) {
		shard->probe_due = false;
		g_ptr_array_add(records, bp_shard_owner_record(shard));
		bp_record_writer_request(shard->writer, false);
		return;
	}
	move_jobs(shard, records, shard->new_jobs, add_new_job, &bytes);
	move_jobs(shard, records, shard->dirty_jobs, add_changed_job, &bytes);
	if (shard->new_jobs->len > 0 || shard->dirty_jobs->len > 0)
		bp_record_writer_request(
		    shard->writer, shard->new_jobs->len > 0);
	if (shard->append_alone && records->len > 0) {
		replace_deletions(shard, records);
		bp_record_writer_request(shard->writer, false);
		return;
	}
	shard->append_alone = false;
	/* Run ends are acknowledged once the progress of all jobs is stored. */
	if (shard->dirty_jobs->len == 0)
		bp_shard_cover_ends(shard);
	add_exec_records(shard, records);
	add_deletions(shard, records);
	add_learned_records(shard, records);
	add_owner_record(shard, records);
	/* Run ends that change no job are acknowledged without a record. */
	if (records->len == 0)
		end_append(shard, BP_STORE_OK);
}

/* Answers the callers that wait for the job or, with cancels, its cancellation
 * to be stored. */
void
bp_shard_answer_waiters(
    bp_qjob_t *job, bool cancels, const bp_shard_answer_t *answer)
{
	GArray *waiters = job->waiters;
	guint i;

	if (waiters == NULL)
		return;
	job->waiters = NULL;
	for (i = 0; i < waiters->len; i++) {
		bp_qwaiter_t *waiter = &g_array_index(waiters, bp_qwaiter_t, i);

		if (waiter->cancel == cancels) {
			waiter->done(answer, waiter->data);
			continue;
		}
		if (job->waiters == NULL)
			job->waiters =
			    g_array_new(FALSE, FALSE, sizeof(bp_qwaiter_t));
		g_array_append_vals(job->waiters, waiter, 1);
	}
	g_array_unref(waiters);
}

static void
on_job_stored(bp_shard_t *shard, const bp_qappended_job_t *sent)
{
	bp_shard_answer_t answer = {BP_OK, sent->state, 0, "", 0};
	bp_qjob_t *job = sent->job;

	job->rejections.count = 0;
	bp_qjob_parts_done(job, true);
	if (sent->partial)
		return;
	if (sent->first_record) {
		job->accepted = true;
		bp_shard_answer_waiters(job, false, &answer);
		if (job->cancelling)
			bp_shard_mark_dirty(shard, job);
		bp_shard_plan_round(shard, 0);
		return;
	}
	job->stored = sent->state;
	if (!sent->cancel) {
		/* A cancel that came while the end was being stored. */
		if (bp_qjob_ended(job) && job->stored == job->state) {
			job->cancelling = false;
			bp_shard_answer_waiters(job, true, &answer);
		}
		return;
	}
	bp_shard_end_job(shard, job, BP__WORK__JOB_STATE__JOB_CANCELLED);
	job->cancelling = false;
	bp_shard_answer_waiters(job, true, &answer);
}

/* Nothing was written: refuses submissions and cancels, stores run ends again.
 */
static void
on_job_refused(bp_shard_t *shard, const bp_qappended_job_t *sent,
    const bp_shard_answer_t *answer)
{
	bp_qjob_t *job = sent->job;

	bp_qjob_parts_done(job, false);
	if (sent->first_record) {
		bp_shard_answer_waiters(job, false, answer);
		bp_shard_answer_waiters(job, true, answer);
		if (answer->kind == BP_ELOGDOWN) {
			g_ptr_array_remove(shard->active_jobs, job);
			g_hash_table_remove(shard->jobs, job->spec->id);
		}
		return;
	}
	if (sent->cancel) {
		job->cancelling = false;
		bp_shard_answer_waiters(job, true, answer);
	}
	bp_shard_mark_dirty(shard, job);
}

/* Handles the outcome of an executor's record. */
static void
on_exec_record(bp_qexec_t *exec, bool stored)
{
	bool lease = stored && exec->wait_recorded;

	exec->recording = false;
	if (stored)
		exec->rejections.count = 0;
	exec->recorded_in_epoch = exec->recorded_in_epoch || stored;
	exec->stored = exec->stored || stored;
	exec->wait_recorded = exec->wait_recorded && !stored;
	send_planned_starts(exec->shard, exec, stored);
	/* The executor gets no work until its record is stored. */
	if (!exec->recorded_in_epoch)
		bp_record_writer_request(exec->shard->writer, false);
	/* Runs there got no new lease while the record held a wait. */
	if (lease && exec->runs->len > 0)
		bp_shard_poll(exec, 0);
}

static void
on_exec_records(bp_shard_t *shard, bool stored)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, shard->execs);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		bp_qexec_t *exec = value;

		if (exec->recording)
			on_exec_record(exec, stored);
		bp_qexec_ends_appended(exec, stored);
	}
}

static bp_error_kind_t
refusal_kind(bp_store_outcome_t outcome)
{
	switch (outcome) {
	case BP_STORE_REFUSED:
	case BP_STORE_REJECTED:
		return BP_ELOGDOWN;
	case BP_STORE_FENCED:
	case BP_STORE_CONFLICT:
	case BP_STORE_BAD_SEQUENCE:
	case BP_STORE_TRUNCATED:
		return BP_ESTATE;
	case BP_STORE_OK:
	case BP_STORE_UNKNOWN:
		break;
	}
	return BP_EUNKNOWN;
}

static void
end_append(bp_shard_t *shard, bp_store_outcome_t outcome)
{
	GArray *batch = shard->in_flight;
	bool stored = outcome == BP_STORE_OK;
	bp_shard_answer_t refused = {refusal_kind(outcome),
	    BP__WORK__JOB_STATE__JOB_QUEUED, 0,
	    outcome == BP_STORE_REFUSED ? "the store refused the record"
					: "the shard has a later owner",
	    0};
	guint i;

	shard->in_flight =
	    g_array_new(FALSE, FALSE, sizeof(bp_qappended_job_t));
	for (i = 0; i < batch->len; i++) {
		const bp_qappended_job_t *sent =
		    &g_array_index(batch, bp_qappended_job_t, i);

		if (stored)
			on_job_stored(shard, sent);
		else if (outcome == BP_STORE_REJECTED)
			bp_shard_job_rejected(shard, sent);
		else
			on_job_refused(shard, sent, &refused);
	}
	if (outcome == BP_STORE_REJECTED)
		bp_shard_append_rejected(shard, batch);
	g_array_unref(batch);
	if (shard->owner_record_in_flight && !stored)
		shard->owner_record_due = true;
	shard->owner_record_in_flight = false;
	on_deletions(shard, stored);
	on_exec_records(shard, stored);
	if (stored)
		bp_shard_plan_round(shard, 0);
	else if (outcome != BP_STORE_REFUSED && outcome != BP_STORE_REJECTED)
		bp_shard_set_lost(shard);
}

/* See the header. */
bool
bp_shard_needs_append(const bp_shard_t *shard)
{
	uint32_t unstored_execs;

	(void)bp_shard_unstored_ends_ms(shard, &unstored_execs);
	return shard->dirty_jobs->len > 0 || unstored_execs > 0 ||
	    shard->owner_record_due ||
	    g_hash_table_size(shard->deleted_keys) > 0;
}

/* Handles the outcome of an append; see bp_record_writer_options_t. */
void
bp_shard_append_done(bp_store_outcome_t outcome, void *data)
{
	bp_shard_t *shard = data;

	shard->stored_appends += outcome == BP_STORE_OK;
	end_append(shard, outcome);
}

/* See the header. */
bool
bp_shard_appends_job(const bp_shard_t *shard, const bp_qjob_t *job)
{
	guint i;

	for (i = 0; i < shard->in_flight->len; i++) {
		if (g_array_index(shard->in_flight, bp_qappended_job_t, i)
			.job == job)
			return true;
	}
	return false;
}

/* Removes an ended job; the next append removes its records. */
void
bp_shard_drop_job(bp_shard_t *shard, bp_qjob_t *job)
{
	const char *id = job->spec->id;

	bp_shard_delete_key(shard, g_strconcat(BP_SHARD_PREFIX_JOB, id, NULL));
	bp_shard_delete_key(
	    shard, g_strconcat(BP_SHARD_PREFIX_PROGRESS, id, NULL));
	g_hash_table_remove(shard->jobs, id);
}

/* Removes an executor that can have no runs; the next append removes its
 * record. */
void
bp_shard_drop_exec(bp_shard_t *shard, bp_qexec_t *exec)
{
	if (exec->stored)
		bp_shard_delete_key(shard,
		    g_strconcat(BP_SHARD_PREFIX_HOLDER, exec->info->id, NULL));
	bp_qexec_release_reservation(exec);
	bp_qexec_drop_room(exec);
	g_hash_table_remove(shard->execs, exec->info->id);
}
