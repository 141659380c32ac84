#include "state/private.h"

#include <string.h>

/* Ended jobs stay visible to "job status" for this long. */
#define ENDED_JOB_KEEP_MS (6LL * 3600 * 1000)
/* A node without records for this long was replaced under another name. */
#define NODE_KEEP_MS (24LL * 3600 * 1000)
#define PRUNE_INTERVAL_MS (60LL * 1000)
#define INCARNATIONS_MAX 4096U
#define RULES_HISTORY_MAX 20U

static void
free_zone(void *data)
{
	bp_zone_t *zone = data;

	g_free(zone->name);
	g_free(zone->author);
	g_free(zone->reason);
	g_free(zone);
}

static void
free_rack(void *data)
{
	bp_rack_t *rack = data;

	g_free(rack->name);
	g_free(rack->owner);
	g_free(rack->successor);
	g_array_unref(rack->leases_ended_out_of_order);
	g_ptr_array_unref(rack->vms);
	g_free(rack);
}

static void
free_vm(void *data)
{
	bp_vm_t *vm = data;

	g_free(vm->name);
	g_free(vm->hold_detail);
	g_free(vm->last_failed_job);
	g_array_unref(vm->tasks);
	g_free(vm);
}

static void
free_team(void *data)
{
	bp_team_t *team = data;

	g_free(team->name);
	g_free(team);
}

static void
free_job(void *data)
{
	bp_job_t *job = data;
	uint32_t i;

	for (i = 0; i < job->n_tasks; i++)
		g_free(job->tasks[i].checkpoint);
	g_free(job->tasks);
	g_free(job->id);
	g_free(job->name);
	g_free(job->command);
	g_free(job->submitted_by);
	g_free(job->cancelled_by);
	g_free(job);
}

static void
free_node(void *data)
{
	bp_node_t *node = data;

	g_free(node->name);
	g_free(node->zone);
	g_free(node->address);
	g_free(node);
}

static void
free_key(void *data)
{
	bp_key_claim_t *key = data;

	g_free(key->node);
	g_free(key);
}

static void
free_incarnation(void *data)
{
	bp_incarnation_t *incarnation = data;

	g_free(incarnation->node);
	g_free(incarnation);
}

static void
free_rules_version(void *data)
{
	bp_rules_version_t *version = data;

	g_free(version->text);
	g_free(version->author);
	bp_rules_free(version->rules);
	g_free(version);
}

static GHashTable *
table_by_name(GDestroyNotify free_value)
{
	return g_hash_table_new_full(g_str_hash, g_str_equal, NULL, free_value);
}

/* Creates the state before the first record. Free with bp_state_free. */
bp_state_t *
bp_state_new(void)
{
	bp_state_t *state = g_new0(bp_state_t, 1);

	state->jobs = table_by_name(free_job);
	state->vms = table_by_name(free_vm);
	state->racks = table_by_name(free_rack);
	state->zones = table_by_name(free_zone);
	state->teams = table_by_name(free_team);
	state->nodes = table_by_name(free_node);
	state->keys =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, free_key);
	state->incarnations = g_hash_table_new_full(
	    g_int64_hash, g_int64_equal, g_free, free_incarnation);
	state->waiting = g_ptr_array_new();
	state->history = g_ptr_array_new_with_free_func(free_rules_version);
	state->observers = g_array_new(FALSE, TRUE, sizeof(bp_observer_slot_t));
	return state;
}

/* Frees the state. NULL is allowed. */
void
bp_state_free(bp_state_t *state)
{
	if (state == NULL)
		return;
	g_ptr_array_unref(state->waiting);
	g_hash_table_unref(state->jobs);
	g_hash_table_unref(state->vms);
	g_hash_table_unref(state->racks);
	g_hash_table_unref(state->zones);
	g_hash_table_unref(state->teams);
	g_hash_table_unref(state->nodes);
	g_hash_table_unref(state->keys);
	g_hash_table_unref(state->incarnations);
	g_ptr_array_unref(state->history);
	g_array_unref(state->observers);
	g_free(state);
}

/* Adds an observer that is called after each entry, applied or rejected. */
void
bp_state_observe(bp_state_t *state, bp_state_observer_t observer, void *data)
{
	bp_observer_slot_t slot = {observer, data};

	g_array_append_val(state->observers, slot);
}

/* Returns the offset of the next record to apply. */
uint64_t
bp_state_next_offset(const bp_state_t *state)
{
	return state->next_offset;
}

/* Returns the latest time (ms) in the header of any record. */
int64_t
bp_state_now_ms(const bp_state_t *state)
{
	return state->now_ms;
}

/* Returns all jobs by id (bp_job_t). */
GHashTable *
bp_state_jobs(const bp_state_t *state)
{
	return state->jobs;
}

/* Returns the jobs that have waiting tasks (bp_job_t). */
GPtrArray *
bp_state_waiting(const bp_state_t *state)
{
	return state->waiting;
}

/* Returns all VMs by name (bp_vm_t). */
GHashTable *
bp_state_vms(const bp_state_t *state)
{
	return state->vms;
}

/* Returns all racks by name (bp_rack_t). */
GHashTable *
bp_state_racks(const bp_state_t *state)
{
	return state->racks;
}

/* Returns all availability zones by name (bp_zone_t). */
GHashTable *
bp_state_zones(const bp_state_t *state)
{
	return state->zones;
}

/* Returns all teams by name (bp_team_t). */
GHashTable *
bp_state_teams(const bp_state_t *state)
{
	return state->teams;
}

/* Returns all nodes by name (bp_node_t). */
GHashTable *
bp_state_nodes(const bp_state_t *state)
{
	return state->nodes;
}

/* Returns the accepted rule files (bp_rules_version_t), oldest first. */
GPtrArray *
bp_state_rules_history(const bp_state_t *state)
{
	return state->history;
}

/* Returns the rule file in force, or NULL before the first. */
const bp_rules_version_t *
bp_state_rules(const bp_state_t *state)
{
	if (state->history->len == 0)
		return NULL;
	return g_ptr_array_index(state->history, state->history->len - 1);
}

/* Returns the job of that id, or NULL. */
bp_job_t *
bp_state_job(const bp_state_t *state, const char *id)
{
	return g_hash_table_lookup(state->jobs, id);
}

/* Returns the VM of that name, or NULL. */
bp_vm_t *
bp_state_vm(const bp_state_t *state, const char *name)
{
	return g_hash_table_lookup(state->vms, name);
}

/* Returns the rack of that name ("zone/rack"), or NULL. */
bp_rack_t *
bp_state_rack(const bp_state_t *state, const char *name)
{
	return g_hash_table_lookup(state->racks, name);
}

/* Returns the availability zone of that name, or NULL. */
bp_zone_t *
bp_state_zone(const bp_state_t *state, const char *name)
{
	return g_hash_table_lookup(state->zones, name);
}

/* Returns the team of that name, or NULL. */
bp_team_t *
bp_state_team(const bp_state_t *state, const char *name)
{
	return g_hash_table_lookup(state->teams, name);
}

/* Returns the node of that name, or NULL. */
bp_node_t *
bp_state_node(const bp_state_t *state, const char *name)
{
	return g_hash_table_lookup(state->nodes, name);
}

/* Returns the highest sequence number applied for an incarnation, or 0. */
uint64_t
bp_state_seq(const bp_state_t *state, uint64_t incarnation)
{
	gint64 key = (gint64)incarnation;
	const bp_incarnation_t *entry =
	    g_hash_table_lookup(state->incarnations, &key);

	return entry != NULL ? entry->seq : 0;
}

/* Returns the zone of that name; creates it if it is unknown. */
bp_zone_t *
bp_state_add_zone(bp_state_t *state, const char *name)
{
	bp_zone_t *zone = bp_state_zone(state, name);

	if (zone != NULL)
		return zone;
	zone = g_new0(bp_zone_t, 1);
	zone->name = g_strdup(name);
	g_hash_table_insert(state->zones, zone->name, zone);
	return zone;
}

/* Returns the rack of that name ("zone/rack"); creates it if unknown. */
bp_rack_t *
bp_state_add_rack(bp_state_t *state, const char *name)
{
	bp_rack_t *rack = bp_state_rack(state, name);
	const char *slash;
	char *zone;

	if (rack != NULL)
		return rack;
	slash = strchr(name, '/');
	zone = slash != NULL ? g_strndup(name, (gsize)(slash - name))
			     : g_strdup(name);
	rack = g_new0(bp_rack_t, 1);
	rack->name = g_strdup(name);
	rack->zone = bp_state_add_zone(state, zone);
	rack->vms = g_ptr_array_new();
	rack->leases_ended_out_of_order =
	    g_array_new(FALSE, FALSE, sizeof(uint64_t));
	g_hash_table_insert(state->racks, rack->name, rack);
	g_free(zone);
	return rack;
}

/* Adds a VM that is not known yet to a rack. */
bp_vm_t *
bp_state_add_vm(bp_state_t *state, const char *name, bp_rack_t *rack)
{
	bp_vm_t *vm = g_new0(bp_vm_t, 1);

	vm->name = g_strdup(name);
	vm->rack = rack;
	vm->tasks = g_array_new(FALSE, FALSE, sizeof(bp_task_ref_t));
	g_hash_table_insert(state->vms, vm->name, vm);
	g_ptr_array_add(rack->vms, vm);
	return vm;
}

/* Removes a VM that has no tasks. */
void
bp_state_remove_vm(bp_state_t *state, bp_vm_t *vm)
{
	g_ptr_array_remove(vm->rack->vms, vm);
	g_hash_table_remove(state->vms, vm->name);
}

/* Returns the team of that name; creates it with weight 1 if unknown. */
bp_team_t *
bp_state_add_team(bp_state_t *state, const char *name)
{
	bp_team_t *team = bp_state_team(state, name);
	const bp_rules_version_t *version;
	const bp_rule_t *weight;

	if (team != NULL)
		return team;
	team = g_new0(bp_team_t, 1);
	team->name = g_strdup(name);
	team->weight = 1;
	version = bp_state_rules(state);
	if (version != NULL) {
		team->quota =
		    bp_rules_team(version->rules, BP_RULE_QUOTA, name);
		weight = bp_rules_team(version->rules, BP_RULE_WEIGHT, name);
		team->weight = weight != NULL ? weight->as.weight : 1;
	}
	g_hash_table_insert(state->teams, team->name, team);
	return team;
}

/* Puts a rule file in force and updates quota and weight of all teams. */
void
bp_state_activate_rules(bp_state_t *state, bp_rules_version_t *version)
{
	GHashTableIter iter;
	gpointer value;

	g_ptr_array_add(state->history, version);
	g_hash_table_iter_init(&iter, state->teams);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		bp_team_t *team = value;
		const bp_rule_t *weight =
		    bp_rules_team(version->rules, BP_RULE_WEIGHT, team->name);

		team->quota =
		    bp_rules_team(version->rules, BP_RULE_QUOTA, team->name);
		team->weight = weight != NULL ? weight->as.weight : 1;
	}
	if (state->history->len > RULES_HISTORY_MAX)
		g_ptr_array_remove_index(state->history, 0);
}

static gboolean
is_old_job(gpointer key, gpointer value, gpointer data)
{
	const bp_job_t *job = value;
	const bp_state_t *state = data;

	(void)key;
	return job->n_ended == job->n_tasks &&
	    state->now_ms - job->ended_ms > ENDED_JOB_KEEP_MS;
}

static gboolean
is_old_node(gpointer key, gpointer value, gpointer data)
{
	const bp_state_t *state = data;

	(void)key;
	return state->now_ms - ((const bp_node_t *)value)->time_ms >
	    NODE_KEEP_MS;
}

static void
prune_incarnations(bp_state_t *state)
{
	GHashTableIter iter;
	gpointer key;
	gpointer value;
	uint64_t oldest = UINT64_MAX;

	if (g_hash_table_size(state->incarnations) <= INCARNATIONS_MAX)
		return;
	g_hash_table_iter_init(&iter, state->incarnations);
	while (g_hash_table_iter_next(&iter, &key, &value))
		oldest = MIN(oldest, ((bp_incarnation_t *)value)->last_offset);
	g_hash_table_iter_init(&iter, state->incarnations);
	while (g_hash_table_iter_next(&iter, &key, &value)) {
		if (((bp_incarnation_t *)value)->last_offset == oldest)
			g_hash_table_iter_remove(&iter);
	}
}

/*
 * Removes expired keys, nodes, ended jobs and incarnations, at most once a
 * minute of record time. The claim horizon only moves forward and claims below
 * it are rejected, so a wrong wall clock cannot cause a removed key to be
 * claimed and run again.
 */
void
bp_state_prune(bp_state_t *state)
{
	if (state->now_ms - state->pruned_ms < PRUNE_INTERVAL_MS)
		return;
	state->pruned_ms = state->now_ms;
	bp_state_prune_keys(state);
	g_hash_table_foreach_remove(state->nodes, is_old_node, state);
	g_hash_table_foreach_remove(state->jobs, is_old_job, state);
	prune_incarnations(state);
}
