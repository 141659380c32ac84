#include "state/private.h"

#include <string.h>

/* The same limit as for a submitted job. */
#define JOB_TASKS_MAX 10000U

static char *
text_or_null(const char *value)
{
	return value[0] != '\0' ? g_strdup(value) : NULL;
}

static void
load_node(bp_state_t *state, const Bp__Log__NodeState *row)
{
	bp_node_t *node = g_new0(bp_node_t, 1);

	node->name = g_strdup(row->node);
	node->zone = g_strdup(row->zone);
	node->address = g_strdup(row->address);
	node->incarnation = row->incarnation;
	node->seq = row->seq;
	node->draining = row->draining;
	node->last_offset = row->last_offset;
	node->time_ms = (int64_t)row->time_ms;
	g_hash_table_replace(state->nodes, node->name, node);
}

static void
load_incarnation(bp_state_t *state, const Bp__Log__IncarnationState *row)
{
	bp_incarnation_t *entry = g_new0(bp_incarnation_t, 1);
	gint64 key = (gint64)row->incarnation;

	entry->seq = row->seq;
	entry->last_offset = row->last_offset;
	entry->node = g_strdup(row->node);
	g_hash_table_replace(
	    state->incarnations, g_memdup2(&key, sizeof(key)), entry);
}

static void
load_zone(bp_state_t *state, const Bp__Log__ZoneState *row)
{
	bp_zone_t *zone = bp_state_add_zone(state, row->zone);

	zone->out_of_service = row->out;
	g_free(zone->author);
	g_free(zone->reason);
	zone->author = text_or_null(row->author);
	zone->reason = text_or_null(row->reason);
	zone->version = row->version;
	zone->offset = row->offset;
	zone->time_ms = (int64_t)row->time_ms;
}

static void
load_rack(bp_state_t *state, const Bp__Log__RackState *row)
{
	bp_rack_t *rack = bp_state_add_rack(state, row->rack);

	g_free(rack->owner);
	g_free(rack->successor);
	rack->owner = text_or_null(row->owner);
	rack->owner_incarnation = row->owner_incarnation;
	rack->epoch = row->epoch;
	rack->successor = text_or_null(row->successor);
	rack->released = row->released;
	rack->leases_ended_epoch = row->ended_epoch;
	g_array_append_vals(rack->leases_ended_out_of_order, row->ended_later,
	    (guint)row->n_ended_later);
}

static int
load_vm(bp_state_t *state, const Bp__Log__VmState *row, bp_error_t *err)
{
	bp_rack_t *rack = bp_state_rack(state, row->rack);
	bp_vm_t *vm;

	if (rack == NULL || bp_state_vm(state, row->vm) != NULL)
		return bp_error_set(err, BP_EINVALID,
		    "snapshot: VM %s is doubled or in no rack", row->vm);
	vm = bp_state_add_vm(state, row->vm, rack);
	vm->capacity.cpu_milli = row->cpu_milli;
	vm->capacity.memory_mib = row->memory_mib;
	vm->capacity.accelerators = row->accelerators;
	vm->hold = row->hold;
	vm->hold_detail = text_or_null(row->hold_detail);
	vm->consecutive_failures = row->failed_streak;
	vm->last_failed_job = text_or_null(row->failed_job);
	vm->failures_of_several_jobs = row->failed_several;
	return BP_OK;
}

static int
load_rules(bp_state_t *state, const Bp__Log__RulesState *row, bp_error_t *err)
{
	bp_rules_version_t *version;
	bp_rules_t *rules = NULL;
	int rc;

	/* Names were validated when the file was accepted. */
	rc = bp_rules_parse(&rules, row->text, strlen(row->text), NULL, err);
	if (rc != BP_OK)
		return rc;
	version = g_new0(bp_rules_version_t, 1);
	version->version = row->version;
	version->text = g_strdup(row->text);
	version->author = g_strdup(row->author);
	version->offset = row->offset;
	version->time_ms = (int64_t)row->time_ms;
	version->rules = rules;
	bp_state_activate_rules(state, version);
	return BP_OK;
}

static int
load_task(bp_state_t *state, bp_job_t *job, const Bp__Log__TaskState *row,
    bp_error_t *err)
{
	bp_vm_t *vm;
	bp_task_t *task;

	if (row->task >= job->n_tasks ||
	    job->tasks[row->task].state != BP_TASK_WAITING)
		return bp_error_set(err, BP_EINVALID,
		    "snapshot: task %u of job %s is out of range or doubled",
		    row->task, job->id);
	task = &job->tasks[row->task];
	task->attempt = row->attempt;
	task->checkpoint = text_or_null(row->checkpoint);
	task->epoch = row->epoch;
	task->outcome = (uint8_t)row->outcome;
	task->failures = (uint8_t)row->failures;
	task->since_offset = row->since_offset;
	task->since_ms = (int64_t)row->since_ms;
	job->max_attempt = MAX(job->max_attempt, row->attempt);
	if (row->state == BP_TASK_ASSIGNED) {
		vm = bp_state_vm(state, row->vm);
		if (vm == NULL)
			return bp_error_set(err, BP_EINVALID,
			    "snapshot: job %s runs on unknown VM %s", job->id,
			    row->vm);
		job->size.cpu_milli = row->cpu_milli;
		job->size.memory_mib = row->memory_mib;
		job->size.accelerators = row->accelerators;
		bp_task_assign(state, job, row->task, vm, row->epoch);
	} else if (row->state == BP_TASK_ENDED) {
		job->n_waiting--;
		if (job->n_waiting == 0)
			g_ptr_array_remove(state->waiting, job);
		bp_task_finish(
		    state, job, row->task, (Bp__Log__TaskOutcome)row->outcome);
	}
	return BP_OK;
}

static void
load_job_fields(bp_job_t *job, const Bp__Log__JobState *row)
{
	uint32_t i;

	job->cancelled = row->cancelled;
	job->cancelled_by = text_or_null(row->cancelled_by);
	job->submit_offset = row->submit_offset;
	job->submit_ms = (int64_t)row->submit_ms;
	for (i = 0; i < job->n_tasks; i++) {
		job->tasks[i].since_offset = job->submit_offset;
		job->tasks[i].since_ms = job->submit_ms;
	}
}

static int
load_job(bp_state_t *state, const Bp__Log__JobState *row, bp_error_t *err)
{
	bp_job_t *job;
	size_t i;
	int rc;

	if (row->spec == NULL || row->spec->tasks > JOB_TASKS_MAX ||
	    bp_state_job(state, row->spec->id) != NULL)
		return bp_error_set(err, BP_EINVALID,
		    "snapshot: a job has no spec, too many tasks or a doubled "
		    "id");
	job = bp_state_add_job(state, row->spec);
	load_job_fields(job, row);
	for (i = 0; i < row->n_tasks; i++) {
		rc = load_task(state, job, row->tasks[i], err);
		if (rc != BP_OK)
			return rc;
	}
	while (job->first_waiting < job->n_tasks &&
	    job->tasks[job->first_waiting].state != BP_TASK_WAITING)
		job->first_waiting++;
	job->ended_ms = (int64_t)row->ended_ms;
	/* Assigned tasks used the size reserved for each of them. */
	job->size.cpu_milli = row->cpu_milli;
	job->size.memory_mib = row->memory_mib;
	job->size.accelerators = row->accelerators;
	return BP_OK;
}

static void
load_key(bp_state_t *state, const Bp__Log__KeyState *row)
{
	bp_key_claim_t *key = g_new0(bp_key_claim_t, 1);

	key->node = g_strdup(row->node);
	key->incarnation = row->incarnation;
	key->seq = row->seq;
	key->issued_s = row->issued_s;
	g_hash_table_replace(state->keys, g_strdup(row->key), key);
}

static int
compare_submit(gconstpointer a, gconstpointer b)
{
	const bp_job_t *x = *(bp_job_t *const *)a;
	const bp_job_t *y = *(bp_job_t *const *)b;

	if (x->submit_offset != y->submit_offset)
		return x->submit_offset < y->submit_offset ? -1 : 1;
	return strcmp(x->id, y->id);
}

static int
load_checked(
    bp_state_t *state, const Bp__Log__Snapshot *snapshot, bp_error_t *err)
{
	int rc = BP_OK;
	size_t i;

	for (i = 0; i < snapshot->n_rules && rc == BP_OK; i++)
		rc = load_rules(state, snapshot->rules[i], err);
	for (i = 0; i < snapshot->n_vms && rc == BP_OK; i++)
		rc = load_vm(state, snapshot->vms[i], err);
	for (i = 0; i < snapshot->n_jobs && rc == BP_OK; i++)
		rc = load_job(state, snapshot->jobs[i], err);
	return rc;
}

static void
load_unchecked(bp_state_t *state, const Bp__Log__Snapshot *snapshot)
{
	size_t i;

	state->next_offset = snapshot->next_offset;
	state->now_ms = (int64_t)snapshot->now_ms;
	state->key_horizon_s = snapshot->key_horizon_s;
	/* An earlier release removed all keys below the claim horizon. */
	state->key_retention_s = snapshot->keys_kept_s != 0
	    ? snapshot->keys_kept_s
	    : snapshot->key_horizon_s;
	state->pruned_ms = (int64_t)snapshot->pruned_ms;
	for (i = 0; i < snapshot->n_zones; i++)
		load_zone(state, snapshot->zones[i]);
	for (i = 0; i < snapshot->n_nodes; i++)
		load_node(state, snapshot->nodes[i]);
	for (i = 0; i < snapshot->n_incarnations; i++)
		load_incarnation(state, snapshot->incarnations[i]);
	for (i = 0; i < snapshot->n_racks; i++)
		load_rack(state, snapshot->racks[i]);
	for (i = 0; i < snapshot->n_keys; i++)
		load_key(state, snapshot->keys[i]);
}

/*
 * Creates a state from a snapshot. Returns BP_EINVALID if the bytes are not a
 * consistent state and BP_EVERSION if the format is of a later version.
 */
int
bp_snapshot_load(
    bp_state_t **out, const uint8_t *bytes, size_t size_bytes, bp_error_t *err)
{
	Bp__Log__Snapshot *snapshot;
	bp_state_t *state = NULL;
	int rc = BP_OK;

	*out = NULL;
	snapshot = bp__log__snapshot__unpack(NULL, size_bytes, bytes);
	if (snapshot == NULL)
		return bp_error_set(
		    err, BP_EINVALID, "the snapshot cannot be decoded");
	if (snapshot->version > BP_RECORD_VERSION) {
		rc = bp_error_set(err, BP_EVERSION,
		    "the snapshot has version %u, this release knows %u",
		    snapshot->version, BP_RECORD_VERSION);
		goto out;
	}
	state = bp_state_new();
	load_unchecked(state, snapshot);
	rc = load_checked(state, snapshot, err);
	if (rc != BP_OK)
		goto out;
	g_ptr_array_sort(state->waiting, compare_submit);
	*out = state;
	state = NULL;

out:
	bp_state_free(state);
	bp__log__snapshot__free_unpacked(snapshot, NULL);
	return rc;
}
