#include "bulrushpost/arena.h"
#include "state/private.h"

#include <stdlib.h>
#include <string.h>

static int
compare_text(const void *a, const void *b)
{
	return strcmp(*(const char *const *)a, *(const char *const *)b);
}

static int
compare_incarnation(const void *a, const void *b)
{
	uint64_t x = **(const uint64_t *const *)a;
	uint64_t y = **(const uint64_t *const *)b;

	return x < y ? -1 : x > y;
}

/* Keys are sorted so that equal states have equal snapshots. */
static GPtrArray *
sorted_keys(GHashTable *table, int (*compare)(const void *, const void *))
{
	GPtrArray *keys = g_ptr_array_new();
	GHashTableIter iter;
	gpointer key;

	g_hash_table_iter_init(&iter, table);
	while (g_hash_table_iter_next(&iter, &key, NULL))
		g_ptr_array_add(keys, key);
	if (keys->len > 0)
		qsort(keys->pdata, keys->len, sizeof(gpointer), compare);
	return keys;
}

static char *
text(const char *value)
{
	return value != NULL ? (char *)value : (char *)"";
}

static void
save_node(bp_arena_t *arena, void *row, const void *item)
{
	Bp__Log__NodeState *out = row;
	const bp_node_t *node = item;

	(void)arena;
	bp__log__node_state__init(out);
	out->node = node->name;
	out->incarnation = node->incarnation;
	out->seq = node->seq;
	out->zone = text(node->zone);
	out->address = text(node->address);
	out->draining = node->draining;
	out->last_offset = node->last_offset;
	out->time_ms = (uint64_t)node->time_ms;
}

static void
save_rack(bp_arena_t *arena, void *row, const void *item)
{
	Bp__Log__RackState *out = row;
	const bp_rack_t *rack = item;

	(void)arena;
	bp__log__rack_state__init(out);
	out->rack = rack->name;
	out->zone = rack->zone->name;
	out->owner = text(rack->owner);
	out->owner_incarnation = rack->owner_incarnation;
	out->epoch = rack->epoch;
	out->successor = text(rack->successor);
	out->released = rack->released;
	out->ended_epoch = rack->leases_ended_epoch;
	out->n_ended_later = rack->leases_ended_out_of_order->len;
	out->ended_later =
	    (uint64_t *)(void *)rack->leases_ended_out_of_order->data;
}

static void
save_vm(bp_arena_t *arena, void *row, const void *item)
{
	Bp__Log__VmState *out = row;
	const bp_vm_t *vm = item;

	(void)arena;
	bp__log__vm_state__init(out);
	out->vm = vm->name;
	out->rack = vm->rack->name;
	out->zone = vm->rack->zone->name;
	out->cpu_milli = vm->capacity.cpu_milli;
	out->memory_mib = vm->capacity.memory_mib;
	out->accelerators = vm->capacity.accelerators;
	out->hold = vm->hold;
	out->hold_detail = text(vm->hold_detail);
	out->failed_streak = vm->consecutive_failures;
	out->failed_job = text(vm->last_failed_job);
	out->failed_several = vm->failures_of_several_jobs;
}

static void
save_zone(bp_arena_t *arena, void *row, const void *item)
{
	Bp__Log__ZoneState *out = row;
	const bp_zone_t *zone = item;

	(void)arena;
	bp__log__zone_state__init(out);
	out->zone = zone->name;
	out->out = zone->out_of_service;
	out->author = text(zone->author);
	out->reason = text(zone->reason);
	out->version = zone->version;
	out->offset = zone->offset;
	out->time_ms = (uint64_t)zone->time_ms;
}

static void
save_spec(Bp__Log__JobSpec *out, const bp_job_t *job)
{
	bp__log__job_spec__init(out);
	out->id = job->id;
	out->team = job->team->name;
	out->name = job->name;
	out->klass = (Bp__Log__TaskClass)job->klass;
	out->tasks = job->n_tasks;
	out->cpu_milli = job->declared_size.cpu_milli;
	out->memory_mib = job->declared_size.memory_mib;
	out->accelerators = job->declared_size.accelerators;
	out->run_ms = job->run_ms;
	out->weight = job->weight;
	out->never_rerun = job->never_rerun;
	out->command = job->command;
	out->submitted_by = text(job->submitted_by);
}

/* A task that has been waiting since its submission is not stored. */
static bool
is_untouched(const bp_job_t *job, const bp_task_t *task)
{
	return task->state == BP_TASK_WAITING && task->attempt == 1 &&
	    task->checkpoint == NULL &&
	    task->since_offset == job->submit_offset;
}

static void
save_task(Bp__Log__TaskState *out, const bp_task_t *task, uint32_t index)
{
	bp__log__task_state__init(out);
	out->task = index;
	out->attempt = task->attempt;
	out->state = task->state;
	out->vm = task->vm != NULL ? task->vm->name : text(NULL);
	out->checkpoint = text(task->checkpoint);
	out->epoch = task->epoch;
	out->outcome = task->outcome;
	out->since_offset = task->since_offset;
	out->since_ms = (uint64_t)task->since_ms;
	out->failures = task->failures;
	if (task->vm == NULL)
		return;
	out->cpu_milli = task->size.cpu_milli;
	out->memory_mib = task->size.memory_mib;
	out->accelerators = task->size.accelerators;
}

static void
save_tasks(bp_arena_t *arena, Bp__Log__JobState *out, const bp_job_t *job)
{
	Bp__Log__TaskState *rows =
	    bp_arena_alloc(arena, job->n_tasks * sizeof(*rows));
	uint32_t i;

	out->tasks = bp_arena_alloc(arena, job->n_tasks * sizeof(void *));
	for (i = 0; i < job->n_tasks; i++) {
		if (is_untouched(job, &job->tasks[i]))
			continue;
		save_task(&rows[i], &job->tasks[i], i);
		out->tasks[out->n_tasks++] = &rows[i];
	}
}

static void
save_job(bp_arena_t *arena, void *row, const void *item)
{
	Bp__Log__JobState *out = row;
	const bp_job_t *job = item;

	bp__log__job_state__init(out);
	out->spec = bp_arena_alloc(arena, sizeof(*out->spec));
	save_spec(out->spec, job);
	out->cancelled = job->cancelled;
	out->cancelled_by = text(job->cancelled_by);
	out->submit_offset = job->submit_offset;
	out->submit_ms = (uint64_t)job->submit_ms;
	out->ended_ms = (uint64_t)job->ended_ms;
	out->cpu_milli = job->size.cpu_milli;
	out->memory_mib = job->size.memory_mib;
	out->accelerators = job->size.accelerators;
	save_tasks(arena, out, job);
}

typedef void (*save_t)(bp_arena_t *arena, void *row, const void *item);

/* Fills one row of row_bytes for each item, sorted by key. */
static void *
save_all(bp_arena_t *arena, GHashTable *table, size_t row_bytes, save_t save,
    size_t *count)
{
	GPtrArray *keys = sorted_keys(table, compare_text);
	void **rows = bp_arena_alloc(arena, (keys->len + 1) * sizeof(void *));
	guint i;

	for (i = 0; i < keys->len; i++) {
		rows[i] = bp_arena_alloc(arena, row_bytes);
		save(
		    arena, rows[i], g_hash_table_lookup(table, keys->pdata[i]));
	}
	*count = keys->len;
	g_ptr_array_unref(keys);
	return rows;
}

static void
save_keys(bp_arena_t *arena, Bp__Log__Snapshot *out, const bp_state_t *state)
{
	GPtrArray *keys = sorted_keys(state->keys, compare_text);
	guint i;

	out->keys = bp_arena_alloc(arena, (keys->len + 1) * sizeof(void *));
	for (i = 0; i < keys->len; i++) {
		const bp_key_claim_t *key =
		    g_hash_table_lookup(state->keys, keys->pdata[i]);
		Bp__Log__KeyState *row = bp_arena_alloc(arena, sizeof(*row));

		bp__log__key_state__init(row);
		row->key = keys->pdata[i];
		row->node = key->node;
		row->incarnation = key->incarnation;
		row->seq = key->seq;
		row->issued_s = key->issued_s;
		out->keys[out->n_keys++] = row;
	}
	g_ptr_array_unref(keys);
}

static void
save_incarnations(
    bp_arena_t *arena, Bp__Log__Snapshot *out, const bp_state_t *state)
{
	GPtrArray *keys = sorted_keys(state->incarnations, compare_incarnation);
	guint i;

	out->incarnations =
	    bp_arena_alloc(arena, (keys->len + 1) * sizeof(void *));
	for (i = 0; i < keys->len; i++) {
		const bp_incarnation_t *entry =
		    g_hash_table_lookup(state->incarnations, keys->pdata[i]);
		Bp__Log__IncarnationState *row =
		    bp_arena_alloc(arena, sizeof(*row));

		bp__log__incarnation_state__init(row);
		row->incarnation = *(const uint64_t *)keys->pdata[i];
		row->seq = entry->seq;
		row->node = entry->node;
		row->last_offset = entry->last_offset;
		out->incarnations[out->n_incarnations++] = row;
	}
	g_ptr_array_unref(keys);
}

static void
save_rules(bp_arena_t *arena, Bp__Log__Snapshot *out, const bp_state_t *state)
{
	guint i;

	out->rules =
	    bp_arena_alloc(arena, (state->history->len + 1) * sizeof(void *));
	for (i = 0; i < state->history->len; i++) {
		const bp_rules_version_t *version =
		    g_ptr_array_index(state->history, i);
		Bp__Log__RulesState *row = bp_arena_alloc(arena, sizeof(*row));

		bp__log__rules_state__init(row);
		row->version = version->version;
		row->text = version->text;
		row->author = text(version->author);
		row->offset = version->offset;
		row->time_ms = (uint64_t)version->time_ms;
		out->rules[out->n_rules++] = row;
	}
}

/*
 * Serializes the state into a new byte array. Equal states give equal bytes
 * on every node, so that every node can load the snapshot of any other.
 */
int
bp_snapshot_save(GByteArray **out, const bp_state_t *state, bp_error_t *err)
{
	Bp__Log__Snapshot snapshot = BP__LOG__SNAPSHOT__INIT;
	bp_arena_t *arena = bp_arena_new();

	(void)err;
	snapshot.version = BP_RECORD_VERSION;
	snapshot.next_offset = state->next_offset;
	snapshot.now_ms = (uint64_t)state->now_ms;
	snapshot.key_horizon_s = state->key_horizon_s;
	snapshot.keys_kept_s = state->key_retention_s;
	snapshot.pruned_ms = (uint64_t)state->pruned_ms;
	snapshot.nodes = save_all(arena, state->nodes,
	    sizeof(Bp__Log__NodeState), save_node, &snapshot.n_nodes);
	snapshot.racks = save_all(arena, state->racks,
	    sizeof(Bp__Log__RackState), save_rack, &snapshot.n_racks);
	snapshot.vms = save_all(arena, state->vms, sizeof(Bp__Log__VmState),
	    save_vm, &snapshot.n_vms);
	snapshot.zones = save_all(arena, state->zones,
	    sizeof(Bp__Log__ZoneState), save_zone, &snapshot.n_zones);
	snapshot.jobs = save_all(arena, state->jobs, sizeof(Bp__Log__JobState),
	    save_job, &snapshot.n_jobs);
	save_keys(arena, &snapshot, state);
	save_incarnations(arena, &snapshot, state);
	save_rules(arena, &snapshot, state);
	*out = g_byte_array_new();
	g_byte_array_set_size(
	    *out, (guint)bp__log__snapshot__get_packed_size(&snapshot));
	bp__log__snapshot__pack(&snapshot, (*out)->data);
	bp_arena_free(arena);
	return BP_OK;
}
