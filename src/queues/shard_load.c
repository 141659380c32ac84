#include "queues/shard_private.h"

#include <string.h>

static void
log_unreadable(const bp_shard_t *shard, const char *key)
{
	bp_log(shard->options.logger, BP_LOG_ERR, BP_SHARD_MODULE,
	    "cannot decode a stored record", "key", key, NULL);
}

static void
load_job(bp_shard_t *shard, const bp_store_record_t *record)
{
	gsize size = 0;
	const uint8_t *bytes = g_bytes_get_data(record->value, &size);
	Bp__Work__Job *spec = bp__work__job__unpack(NULL, size, bytes);
	bp_error_t err = {BP_OK, ""};
	bp_qjob_t *job;

	if (spec == NULL || bp_qjob_validate(spec, &err) != BP_OK) {
		bp_log(shard->options.logger, BP_LOG_ERR, BP_SHARD_MODULE,
		    "cannot load a stored job", "key", record->key, "reason",
		    err.message, NULL);
		if (spec != NULL)
			bp__work__job__free_unpacked(spec, NULL);
		return;
	}
	job = bp_qjob_new(spec);
	job->accepted = true;
	job->account = bp_customers_account(shard->customers, spec->customer);
	g_hash_table_insert(shard->jobs, spec->id, job);
}

/* Of an ended job only the progress record is stored. */
static void
load_ended(bp_shard_t *shard, const char *id, const uint8_t *bytes, gsize size)
{
	bp_qjob_t *job = bp_qjob_new_ended(id, bytes, size);

	if (job == NULL) {
		log_unreadable(shard, id);
		return;
	}
	job->accepted = true;
	job->account = bp_customers_account(shard->customers, "");
	g_hash_table_insert(shard->jobs, job->spec->id, job);
}

static void
load_progress(bp_shard_t *shard, const bp_store_record_t *record)
{
	const char *id = record->key + BP_SHARD_PREFIX_CHARS;
	bp_qjob_t *job = g_hash_table_lookup(shard->jobs, id);
	bp_error_t err = {BP_OK, ""};
	gsize size = 0;
	const uint8_t *bytes = g_bytes_get_data(record->value, &size);

	if (job == NULL) {
		load_ended(shard, id, bytes, size);
		return;
	}
	if (bp_qjob_load_progress(job, bytes, size, &err) != BP_OK)
		bp_log(shard->options.logger, BP_LOG_ERR, BP_SHARD_MODULE,
		    "cannot load the stored progress of a job", "key",
		    record->key, "reason", err.message, NULL);
}

/* Marks a task that an earlier owner may have started on the executor. */
static void
load_possible_task(bp_shard_t *shard, bp_qexec_t *exec, const char *name)
{
	bp_qtask_t *task = bp_shard_find_task(shard, name);

	if (task == NULL || task->state == BP_QTASK_DONE ||
	    bp_qjob_ended(task->step->job))
		return;
	task->possible_executors++;
	bp_qtask_set_state(task, BP_QTASK_RECONCILING);
	g_ptr_array_add(exec->possible_tasks, task);
}

static void
load_holder(bp_shard_t *shard, const bp_store_record_t *record)
{
	gsize size = 0;
	const uint8_t *bytes = g_bytes_get_data(record->value, &size);
	Bp__Work__Holder *holder = bp__work__holder__unpack(NULL, size, bytes);
	bp_qexec_t *exec;
	size_t i;

	if (holder == NULL) {
		log_unreadable(shard, record->key);
		return;
	}
	exec = bp_qexec_get(shard, holder->id);
	exec->stored = true;
	exec->earlier_wait_ms = holder->waited_ms;
	exec->wait_recorded = holder->waited_ms > 0;
	exec->wait_stored_ms = bp_shard_now_ms(shard);
	exec->born_ms = holder->born_ms;
	g_free(exec->info->address);
	exec->info->address = g_strdup(holder->address);
	for (i = 0; i < holder->n_tasks; i++)
		load_possible_task(shard, exec, holder->tasks[i]);
	bp_qexec_load_held(exec, holder);
	bp__work__holder__free_unpacked(holder, NULL);
}

/* Reads the record of the last owner; returns its epoch, 0 for none. */
uint64_t
bp_shard_load_owner(bp_shard_t *shard)
{
	const bp_store_record_t *record =
	    g_hash_table_lookup(shard->loaded_records, BP_SHARD_KEY_OWNER);
	Bp__Work__Owner *owner;
	uint64_t epoch = 0;
	gsize size = 0;
	const uint8_t *bytes;

	bp_shard_load_predecessors(shard, NULL);
	if (record == NULL || record->value == NULL)
		return 0;
	bytes = g_bytes_get_data(record->value, &size);
	owner = bp__work__owner__unpack(NULL, size, bytes);
	if (owner == NULL) {
		log_unreadable(shard, record->key);
		shard->predecessors_known = false;
		return 0;
	}
	epoch = owner->epoch;
	bp_shard_load_predecessors(shard, owner);
	bp__work__owner__free_unpacked(owner, NULL);
	return epoch;
}

static void
load_prefix(bp_shard_t *shard, const char *prefix,
    void (*load)(bp_shard_t *, const bp_store_record_t *))
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, shard->loaded_records);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const bp_store_record_t *record = value;

		if (record->value != NULL &&
		    g_str_has_prefix(record->key, prefix))
			load(shard, record);
	}
}

static void
load_filler_model(bp_shard_t *shard)
{
	const bp_store_record_t *record = g_hash_table_lookup(
	    shard->loaded_records, BP_SHARD_KEY_FILLER_MODEL);
	gsize size = 0;
	const uint8_t *bytes;

	if (record == NULL || record->value == NULL)
		return;
	bytes = g_bytes_get_data(record->value, &size);
	if (!bp_filler_model_deserialize(shard->filler_model, bytes, size))
		log_unreadable(shard, record->key);
}

static void
load_works(bp_shard_t *shard)
{
	const bp_store_record_t *record =
	    g_hash_table_lookup(shard->loaded_records, BP_SHARD_KEY_WORKS);
	gsize size = 0;
	const uint8_t *bytes;

	if (record == NULL || record->value == NULL)
		return;
	bytes = g_bytes_get_data(record->value, &size);
	if (!bp_estimates_deserialize_works(shard->estimates, bytes, size))
		log_unreadable(shard, record->key);
}

/* Builds the state of the shard from the records that were read. */
void
bp_shard_load(bp_shard_t *shard)
{
	GHashTableIter iter;
	gpointer value;

	load_prefix(shard, BP_SHARD_PREFIX_JOB, load_job);
	load_prefix(shard, BP_SHARD_PREFIX_PROGRESS, load_progress);
	load_prefix(shard, BP_SHARD_PREFIX_PART, bp_shard_load_part);
	load_prefix(shard, BP_SHARD_PREFIX_HOLDER, load_holder);
	load_filler_model(shard);
	load_works(shard);
	g_hash_table_iter_init(&iter, shard->jobs);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		bp_qjob_t *job = value;

		if (!bp_qjob_ended(job))
			g_ptr_array_add(shard->active_jobs, job);
		else if (job->ended_ms == 0)
			/* Earlier releases stored no time with a cancel. */
			job->ended_ms = bp_shard_wall_ms(shard);
	}
	bp_shard_resolve_queues(shard);
}
