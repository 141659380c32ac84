#include "queues/shard_private.h"

#include <string.h>

#define KEY_OWNER "owner"
#define KEY_PAIRS "pairs"
/* What was learned of images is stored at most so often, with other records. */
#define PAIRS_PERIOD_MS 3000
#define PREFIX_JOB "j/"
#define PREFIX_PROGRESS "p/"
#define PREFIX_HOLDER "x/"
#define PREFIX_CHARS 2
/* What is waited for silent executors is stored so often. */
#define WAITED_PERIOD_MS 1000

static void
add_record(GPtrArray *records, const char *prefix, const char *id,
    const void *bytes, size_t size)
{
	char *key = g_strconcat(prefix, id, NULL);

	g_ptr_array_add(records, bp_store_record_new(key, bytes, size));
	g_free(key);
}

static void
add_job(GPtrArray *records, const bp_qjob_t *job)
{
	size_t size = bp__work__job__get_packed_size(job->spec);
	uint8_t *bytes = g_malloc(MAX(size, 1));

	(void)bp__work__job__pack(job->spec, bytes);
	add_record(records, PREFIX_JOB, job->spec->id, bytes, size);
	g_free(bytes);
}

/* A cancel is stored as the state that the job gets once it is stored. */
static void
add_progress(GPtrArray *records, bp_qjob_t *job, Bp__Work__JobState state)
{
	Bp__Work__JobState before = job->state;
	GBytes *bytes;
	gsize size = 0;
	const void *data;

	job->state = state;
	bytes = bp_qjob_progress(job);
	job->state = before;
	data = g_bytes_get_data(bytes, &size);
	add_record(records, PREFIX_PROGRESS, job->spec->id, data, size);
	g_bytes_unref(bytes);
}

/* Names of what may run on an executor, by this owner or earlier ones. */
static GPtrArray *
names_on(const bp_qexec_t *exec)
{
	GPtrArray *names = g_ptr_array_new_with_free_func(g_free);
	guint i;

	for (i = 0; i < exec->runs->len; i++)
		g_ptr_array_add(
		    names, g_strdup(((bp_qrun_t *)exec->runs->pdata[i])->name));
	for (i = 0; i < exec->maybe->len; i++)
		g_ptr_array_add(names, bp_qtask_name(exec->maybe->pdata[i]));
	return names;
}

static void
add_holder(GPtrArray *records, const bp_qexec_t *exec)
{
	Bp__Work__Holder holder = BP__WORK__HOLDER__INIT;
	GPtrArray *names = names_on(exec);
	size_t size;
	uint8_t *bytes;

	holder.id = exec->info->id;
	holder.address = exec->info->address;
	holder.born_ms = exec->born_ms;
	holder.tasks = (char **)names->pdata;
	holder.n_tasks = names->len;
	if (!exec->met)
		holder.waited_ms = (uint32_t)bp_qexec_waited_ms(exec);
	size = bp__work__holder__get_packed_size(&holder);
	bytes = g_malloc(MAX(size, 1));
	(void)bp__work__holder__pack(&holder, bytes);
	add_record(records, PREFIX_HOLDER, exec->info->id, bytes, size);
	g_ptr_array_unref(names);
	g_free(bytes);
}

static void
put_plans_in_batch(bp_qexec_t *exec)
{
	guint i;

	exec->plans = 0;
	for (i = 0; i < exec->runs->len; i++) {
		bp_qrun_t *run = exec->runs->pdata[i];

		run->in_batch = run->state == BP_QRUN_PLANNED;
	}
}

/* Sends the starts that the store now holds; refused ones wait again. */
static void
carry_out_plans(bp_shard_t *shard, bp_qexec_t *exec, bool stored)
{
	bool start = stored && bp_shard_may_start(shard);
	guint i;

	for (i = exec->runs->len; i > 0; i--) {
		bp_qrun_t *run = exec->runs->pdata[i - 1];

		if (run->state != BP_QRUN_PLANNED || !run->in_batch)
			continue;
		if (start && run->task != NULL &&
		    !run->task->step->job->cancelling)
			bp_shard_send_start(shard, run);
		else
			bp_qrun_drop_plan(run);
	}
}

/* Tells whether the waiting for a silent executor is to be stored again. */
static bool
waiting_due(const bp_qexec_t *exec)
{
	return exec->stored && !exec->met && !exec->shard->census_done &&
	    bp_shard_now_ms(exec->shard) - exec->waited_stored_ms >=
	    WAITED_PERIOD_MS;
}

/*
 * An executor is recorded in each epoch before it gets work, which ends the
 * waiting of earlier epochs, and again with each task that is to run there.
 */
static void
fill_execs(bp_shard_t *shard, GPtrArray *records)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, shard->execs);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		bp_qexec_t *exec = value;

		exec->storing = exec->seen;
		if (waiting_due(exec)) {
			exec->waited_stored_ms = bp_shard_now_ms(shard);
			add_holder(records, exec);
		} else if (exec->met && !exec->recording &&
		    (!exec->recorded || exec->plans > 0)) {
			exec->recording = true;
			put_plans_in_batch(exec);
			add_holder(records, exec);
		}
	}
}

static void
fill_pairs(bp_shard_t *shard, GPtrArray *records)
{
	int64_t now_ms = bp_shard_now_ms(shard);
	GBytes *bytes;
	gsize size = 0;
	const void *data;

	if (records->len == 0 ||
	    now_ms - shard->pairs_stored_ms < PAIRS_PERIOD_MS)
		return;
	bytes = bp_pairs_save(shard->pairs);
	data = g_bytes_get_data(bytes, &size);
	if (size > 0)
		add_record(records, "", KEY_PAIRS, data, size);
	shard->pairs_stored_ms = now_ms;
	g_bytes_unref(bytes);
}

/* Adds all that is to be stored; see bp_journal_options_t. */
void
bp_shard_fill(GPtrArray *records, void *data)
{
	bp_shard_t *shard = data;
	guint i;

	g_array_set_size(shard->in_flight, 0);
	for (i = 0; i < shard->fresh->len; i++) {
		bp_qsent_t sent = {shard->fresh->pdata[i],
		    BP__WORK__JOB_STATE__JOB_QUEUED, true, false};

		add_job(records, sent.job);
		g_array_append_val(shard->in_flight, sent);
	}
	g_ptr_array_set_size(shard->fresh, 0);
	for (i = 0; i < shard->dirty->len; i++) {
		bp_qjob_t *job = shard->dirty->pdata[i];
		bool cancel = job->cancelling && !bp_qjob_ended(job);
		bp_qsent_t sent = {job,
		    cancel ? BP__WORK__JOB_STATE__JOB_CANCELLED : job->state,
		    false, cancel};

		job->dirty = false;
		add_progress(records, job, sent.state);
		g_array_append_val(shard->in_flight, sent);
	}
	g_ptr_array_set_size(shard->dirty, 0);
	fill_execs(shard, records);
	for (i = 0; i < shard->dropping->len; i++)
		add_record(records, "", shard->dropping->pdata[i], NULL, 0);
	g_ptr_array_set_size(shard->dropping, 0);
	fill_pairs(shard, records);
	/* Ends that change no job are acknowledged without a record. */
	if (records->len == 0)
		bp_shard_stored(BP_STORE_OK, shard);
}

/* Answers the callers that wait for a job to be stored, or its cancel. */
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
sent_stored(bp_shard_t *shard, const bp_qsent_t *sent)
{
	bp_shard_answer_t answer = {BP_OK, sent->state, 0, ""};
	bp_qjob_t *job = sent->job;

	if (sent->fresh) {
		job->accepted = true;
		bp_shard_answer_waiters(job, false, &answer);
		if (job->cancelling)
			bp_shard_mark_dirty(shard, job);
		bp_shard_plan_round(shard, 0);
		return;
	}
	job->stored = sent->state;
	if (!sent->cancel)
		return;
	bp_shard_end_job(shard, job, BP__WORK__JOB_STATE__JOB_CANCELLED);
	job->cancelling = false;
	bp_shard_answer_waiters(job, true, &answer);
}

/* Nothing was written: submissions and cancels are refused, ends kept. */
static void
sent_refused(
    bp_shard_t *shard, const bp_qsent_t *sent, const bp_shard_answer_t *answer)
{
	bp_qjob_t *job = sent->job;

	if (sent->fresh) {
		bp_shard_answer_waiters(job, false, answer);
		bp_shard_answer_waiters(job, true, answer);
		if (answer->kind == BP_ELOGDOWN) {
			g_ptr_array_remove(shard->going, job);
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

static void
execs_stored(bp_shard_t *shard, bool stored)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, shard->execs);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		bp_qexec_t *exec = value;

		exec->recorded = exec->recorded || (stored && exec->recording);
		exec->stored = exec->stored || exec->recorded;
		if (exec->recording) {
			exec->recording = false;
			carry_out_plans(shard, exec, stored);
			/* Without its record the executor gets no work. */
			if (!exec->recorded)
				bp_journal_request(shard->journal, false);
		}
		if (!stored || exec->storing <= exec->acked)
			continue;
		exec->acked = exec->storing;
		if (exec->seen == exec->acked)
			bp_shard_plan_look(exec, 0);
	}
}

static bp_error_kind_t
refusal_kind(bp_store_outcome_t outcome)
{
	switch (outcome) {
	case BP_STORE_REFUSED:
		return BP_ELOGDOWN;
	case BP_STORE_FENCED:
	case BP_STORE_MOVED:
	case BP_STORE_SEQUENCE:
	case BP_STORE_DROPPED:
		return BP_ESTATE;
	case BP_STORE_OK:
	case BP_STORE_UNKNOWN:
		break;
	}
	return BP_EUNKNOWN;
}

/* The fate of the batch is known; see bp_journal_options_t. */
void
bp_shard_stored(bp_store_outcome_t outcome, void *data)
{
	bp_shard_t *shard = data;
	GArray *batch = shard->in_flight;
	bool stored = outcome == BP_STORE_OK;
	bp_shard_answer_t refused = {refusal_kind(outcome),
	    BP__WORK__JOB_STATE__JOB_QUEUED, 0,
	    outcome == BP_STORE_REFUSED ? "the store refused the record"
					: "the shard has a later owner"};
	guint i;

	shard->in_flight = g_array_new(FALSE, FALSE, sizeof(bp_qsent_t));
	for (i = 0; i < batch->len; i++) {
		const bp_qsent_t *sent = &g_array_index(batch, bp_qsent_t, i);

		if (stored)
			sent_stored(shard, sent);
		else
			sent_refused(shard, sent, &refused);
	}
	g_array_unref(batch);
	execs_stored(shard, stored);
	if (stored)
		bp_shard_plan_round(shard, 0);
	else if (outcome != BP_STORE_REFUSED)
		bp_shard_set_lost(shard);
}

static void
load_job(bp_shard_t *shard, const bp_store_record_t *record)
{
	gsize size = 0;
	const uint8_t *bytes = g_bytes_get_data(record->value, &size);
	Bp__Work__Job *spec = bp__work__job__unpack(NULL, size, bytes);
	bp_error_t err = {BP_OK, ""};
	bp_qjob_t *job;

	if (spec == NULL || bp_qjob_check(spec, &err) != BP_OK) {
		bp_log(shard->options.logger, BP_LOG_ERR, BP_SHARD_MODULE,
		    "a stored job cannot be read", "key", record->key, "reason",
		    err.message, NULL);
		if (spec != NULL)
			bp__work__job__free_unpacked(spec, NULL);
		return;
	}
	job = bp_qjob_new(spec);
	job->accepted = true;
	g_hash_table_insert(shard->jobs, spec->id, job);
}

static void
load_progress(bp_shard_t *shard, const bp_store_record_t *record)
{
	bp_qjob_t *job =
	    g_hash_table_lookup(shard->jobs, record->key + PREFIX_CHARS);
	bp_error_t err = {BP_OK, ""};
	gsize size = 0;
	const uint8_t *bytes = g_bytes_get_data(record->value, &size);

	if (job != NULL &&
	    bp_qjob_load_progress(job, bytes, size, &err) != BP_OK)
		bp_log(shard->options.logger, BP_LOG_ERR, BP_SHARD_MODULE,
		    "stored progress cannot be read", "key", record->key,
		    "reason", err.message, NULL);
}

/* An earlier owner may have started the task there. */
static void
load_maybe(bp_shard_t *shard, bp_qexec_t *exec, const char *name)
{
	bp_qtask_t *task = bp_shard_find_task(shard, name);

	if (task == NULL || task->state == BP_QTASK_DONE ||
	    bp_qjob_ended(task->step->job))
		return;
	task->maybe_on++;
	bp_qtask_set_state(task, BP_QTASK_CENSUS);
	g_ptr_array_add(exec->maybe, task);
}

static void
load_holder(bp_shard_t *shard, const bp_store_record_t *record)
{
	gsize size = 0;
	const uint8_t *bytes = g_bytes_get_data(record->value, &size);
	Bp__Work__Holder *holder = bp__work__holder__unpack(NULL, size, bytes);
	bp_qexec_t *exec;
	size_t i;

	if (holder == NULL)
		return;
	exec = bp_qexec_get(shard, holder->id);
	exec->stored = true;
	exec->waited_before_ms = holder->waited_ms;
	exec->waited_stored_ms = bp_shard_now_ms(shard);
	exec->born_ms = holder->born_ms;
	g_free(exec->info->address);
	exec->info->address = g_strdup(holder->address);
	for (i = 0; i < holder->n_tasks; i++)
		load_maybe(shard, exec, holder->tasks[i]);
	bp__work__holder__free_unpacked(holder, NULL);
}

static uint64_t
owner_epoch(const bp_shard_t *shard)
{
	const bp_store_record_t *record =
	    g_hash_table_lookup(shard->raw, KEY_OWNER);
	Bp__Work__Owner *owner;
	uint64_t epoch = 0;
	gsize size = 0;
	const uint8_t *bytes;

	if (record == NULL || record->value == NULL)
		return 0;
	bytes = g_bytes_get_data(record->value, &size);
	owner = bp__work__owner__unpack(NULL, size, bytes);
	if (owner == NULL)
		return 0;
	epoch = owner->epoch;
	bp__work__owner__free_unpacked(owner, NULL);
	return epoch;
}

static void
load_prefix(bp_shard_t *shard, const char *prefix,
    void (*load)(bp_shard_t *, const bp_store_record_t *))
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, shard->raw);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const bp_store_record_t *record = value;

		if (record->value != NULL &&
		    g_str_has_prefix(record->key, prefix))
			load(shard, record);
	}
}

/* Returns the epoch of the last owner, 0 for none. */
uint64_t
bp_shard_last_epoch(const bp_shard_t *shard)
{
	return owner_epoch(shard);
}

static void
load_pairs(bp_shard_t *shard)
{
	const bp_store_record_t *record =
	    g_hash_table_lookup(shard->raw, KEY_PAIRS);
	gsize size = 0;
	const uint8_t *bytes;

	if (record == NULL || record->value == NULL)
		return;
	bytes = g_bytes_get_data(record->value, &size);
	bp_pairs_load(shard->pairs, bytes, size);
}

/* Builds the state from the keys that were read. */
void
bp_shard_load(bp_shard_t *shard)
{
	GHashTableIter iter;
	gpointer value;

	load_prefix(shard, PREFIX_JOB, load_job);
	load_prefix(shard, PREFIX_PROGRESS, load_progress);
	load_prefix(shard, PREFIX_HOLDER, load_holder);
	load_pairs(shard);
	g_hash_table_iter_init(&iter, shard->jobs);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		if (!bp_qjob_ended(value))
			g_ptr_array_add(shard->going, value);
	}
}

/* Returns the record by which this node becomes the owner. */
bp_store_record_t *
bp_shard_owner_record(const bp_shard_t *shard)
{
	Bp__Work__Owner owner = BP__WORK__OWNER__INIT;
	bp_store_record_t *record;
	uint8_t *bytes;
	size_t size;

	owner.epoch = shard->epoch;
	owner.node = (char *)shard->options.node;
	owner.address = (char *)shard->options.address;
	size = bp__work__owner__get_packed_size(&owner);
	bytes = g_malloc(MAX(size, 1));
	(void)bp__work__owner__pack(&owner, bytes);
	record = bp_store_record_new(KEY_OWNER, bytes, size);
	g_free(bytes);
	return record;
}

/* Forgets an ended job, here and at the next append in the store. */
void
bp_shard_drop_job(bp_shard_t *shard, bp_qjob_t *job)
{
	const char *id = job->spec->id;

	g_ptr_array_add(shard->dropping, g_strconcat(PREFIX_JOB, id, NULL));
	g_ptr_array_add(
	    shard->dropping, g_strconcat(PREFIX_PROGRESS, id, NULL));
	g_hash_table_remove(shard->jobs, id);
}

/* Forgets an executor that can hold nothing any more. */
void
bp_shard_drop_exec(bp_shard_t *shard, bp_qexec_t *exec)
{
	if (exec->stored)
		g_ptr_array_add(shard->dropping,
		    g_strconcat(PREFIX_HOLDER, exec->info->id, NULL));
	g_hash_table_remove(shard->execs, exec->info->id);
}
