#include "scheduler/eviction_private.h"

#include <string.h>

/* Capacity of the token bucket, in tasks. */
#define BUCKET_CAPACITY 4.0
/* Time for a moved service task to restart before the next one is moved. */
#define SERVICE_PAUSE_MS 5000
/* Records of moves are removed after this time. */
#define RECORD_KEEP_MS (10 * 60 * 1000)

struct bp_drain {
	GHashTable *moved; /* "job/task/attempt" -> int64_t, ms of move */
	GHashTable *services; /* job id -> int64_t, ms of last move */
	double tokens;
	int64_t tokens_ms;
};

/* Creates the state for draining zones. Free with bp_drain_free. */
bp_drain_t *
bp_drain_new(void)
{
	bp_drain_t *drain = g_new0(bp_drain_t, 1);

	drain->moved =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	drain->services =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	drain->tokens = BUCKET_CAPACITY;
	return drain;
}

/* Frees the drain state. */
void
bp_drain_free(bp_drain_t *drain)
{
	g_hash_table_unref(drain->moved);
	g_hash_table_unref(drain->services);
	g_free(drain);
}

static gboolean
record_expired(gpointer key, gpointer value, gpointer data)
{
	(void)key;
	return *(int64_t *)data - *(int64_t *)value > RECORD_KEEP_MS;
}

/* Returns the time since key was recorded in ms, or -1 if it was not. */
static int64_t
ms_since(GHashTable *table, const char *key, int64_t now_ms)
{
	const int64_t *at_ms = g_hash_table_lookup(table, key);

	return at_ms == NULL ? -1 : now_ms - *at_ms;
}

static void
note(GHashTable *table, const char *key, int64_t now_ms)
{
	int64_t *at_ms = g_new(int64_t, 1);

	*at_ms = now_ms;
	g_hash_table_insert(table, g_strdup(key), at_ms);
}

static bool
service_may_move(bp_drain_t *drain, const bp_job_t *job, int64_t now_ms)
{
	int64_t age_ms = ms_since(drain->services, job->id, now_ms);

	return job->n_waiting == 0 &&
	    (age_ms < 0 || age_ms >= SERVICE_PAUSE_MS);
}

static void
move_task(bp_drain_t *drain, const bp_eviction_options_t *options,
    const bp_task_ref_t *ref, int64_t now_ms, GArray *acts)
{
	const bp_job_t *job = ref->job;
	uint32_t attempt = job->tasks[ref->task].attempt;
	bp_act_t mitigation = {.kind = BP_ACT_CHECKPOINT_STOP,
	    .job = job->id,
	    .task = ref->task,
	    .attempt = attempt};
	char *key = g_strdup_printf("%s/%u/%u", job->id, ref->task, attempt);
	int64_t age_ms = ms_since(drain->moved, key, now_ms);

	if (age_ms >= 0 && age_ms < (int64_t)options->stop_ms) {
		g_free(key);
		return;
	}
	if (age_ms >= 0)
		mitigation.kind = BP_ACT_STOP;
	if ((job->klass != BP_CLASS_SERVICE ||
		service_may_move(drain, job, now_ms)) &&
	    bp_tokens_take(&drain->tokens)) {
		g_array_append_val(acts, mitigation);
		note(drain->moved, key, now_ms);
		if (job->klass == BP_CLASS_SERVICE)
			note(drain->services, job->id, now_ms);
	}
	g_free(key);
}

/*
 * Moves the tasks of one class. Urgent tasks are never moved: they are short
 * and end sooner than that.
 */
static void
move_class(bp_drain_t *drain, const bp_eviction_options_t *options,
    const bp_rack_t *rack, bp_task_class_t klass, int64_t now_ms, GArray *acts)
{
	guint i;
	guint j;

	for (i = 0; i < rack->vms->len; i++) {
		const bp_vm_t *vm = g_ptr_array_index(rack->vms, i);

		for (j = 0; j < vm->tasks->len; j++) {
			const bp_task_ref_t *ref =
			    &g_array_index(vm->tasks, bp_task_ref_t, j);

			if (ref->job->klass == klass)
				move_task(drain, options, ref, now_ms, acts);
		}
	}
}

static bool
is_own(const bp_rack_t *rack, const char *node, uint64_t incarnation)
{
	return rack->owner != NULL && rack->owner_incarnation == incarnation &&
	    strcmp(rack->owner, node) == 0;
}

/*
 * Appends the tasks to move out of zones now, services before batch. The rate
 * is limited, so that the other VMs are not overloaded and checkpoints do not
 * all run at the same time.
 */
void
bp_drain_step(bp_drain_t *drain, const bp_eviction_options_t *options,
    const bp_state_t *state, const char *node, uint64_t incarnation,
    int64_t now_ms, GArray *acts)
{
	static const bp_task_class_t order[] = {
	    BP_CLASS_SERVICE, BP_CLASS_BATCH};
	GHashTableIter iter;
	gpointer value;
	size_t i;

	bp_tokens_refill(&drain->tokens, &drain->tokens_ms,
	    options->drain_per_min, BUCKET_CAPACITY, now_ms);
	g_hash_table_foreach_remove(drain->moved, record_expired, &now_ms);
	g_hash_table_foreach_remove(drain->services, record_expired, &now_ms);
	for (i = 0; i < G_N_ELEMENTS(order); i++) {
		g_hash_table_iter_init(&iter, bp_state_racks(state));
		while (g_hash_table_iter_next(&iter, NULL, &value)) {
			const bp_rack_t *rack = value;

			if (rack->zone->out && is_own(rack, node, incarnation))
				move_class(drain, options, rack, order[i],
				    now_ms, acts);
		}
	}
}
