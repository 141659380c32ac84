#include "bulrushpost/reason.h"

#include "bulrushpost/resources.h"

#include <string.h>

/* VMs that are excluded for the same set of causes. */
typedef struct {
	GArray *exclusions; /* bp_exclusion_t */
	const bp_vm_t *vm; /* the first one by name */
	double shortfall; /* relative to the capacity of vm */
	uint32_t n_vms;
} group_t;

typedef struct {
	bp_reason_t *reason;
	bp_constraints_t constraints;
	GHashTable *groups; /* key of the set -> group_t */
	guint min_causes;
	GArray *current; /* bp_exclusion_t of one VM */
} search_t;

static void
group_free(void *data)
{
	group_t *group = data;

	g_array_unref(group->exclusions);
	g_free(group);
}

static void
add_exclusion(const bp_exclusion_t *exclusion, void *data)
{
	search_t *search = data;

	g_array_append_val(search->current, *exclusion);
}

/* Counts a VM once for each cause, even if several rules exclude it. */
static void
count_causes(bp_reason_t *reason, uint32_t causes)
{
	int bit;

	for (bit = 0; bit < BP_CAUSES; bit++) {
		if ((causes & (1U << bit)) != 0)
			reason->by_cause[bit]++;
	}
}

/* Collects all causes that exclude one VM. */
static void
collect(search_t *search, const bp_vm_t *vm)
{
	const bp_reason_input_t *input = &search->reason->input;
	bp_exclusion_t unreachable = {
	    .cause = BP_CAUSE_VM_UNREACHABLE, .vm = vm};
	uint32_t causes;

	g_array_set_size(search->current, 0);
	causes = bp_constraints_check(
	    &search->constraints, vm, NULL, add_exclusion, search);
	if (input->reachable != NULL && !vm->gone &&
	    !input->reachable(vm, input->data)) {
		add_exclusion(&unreachable, search);
		causes |= BP_CAUSE_VM_UNREACHABLE;
	}
	count_causes(search->reason, causes);
}

/* Causes are equal if their rule, zone, rack and VM are equal. */
static char *
set_key(const GArray *exclusions)
{
	GString *key = g_string_new(NULL);
	guint i;

	for (i = 0; i < exclusions->len; i++) {
		const bp_exclusion_t *one =
		    &g_array_index(exclusions, bp_exclusion_t, i);

		g_string_append_printf(key, "%x %p %p %p %p;",
		    (unsigned int)one->cause, (const void *)one->rule,
		    (const void *)one->zone, (const void *)one->rack,
		    (const void *)one->vm);
	}
	return g_string_free(key, FALSE);
}

static double
shortfall_of(const GArray *exclusions, const bp_vm_t *vm)
{
	double sum = 0;
	guint i;

	for (i = 0; i < exclusions->len; i++)
		sum += bp_resources_dominant_share(
		    &g_array_index(exclusions, bp_exclusion_t, i).shortfall,
		    &vm->capacity);
	return sum;
}

static void
add_to_group(search_t *search, const bp_vm_t *vm)
{
	char *key = set_key(search->current);
	group_t *group = g_hash_table_lookup(search->groups, key);

	if (group != NULL) {
		group->n_vms++;
		g_free(key);
		return;
	}
	group = g_new0(group_t, 1);
	group->exclusions = g_array_new(FALSE, FALSE, sizeof(bp_exclusion_t));
	g_array_append_vals(
	    group->exclusions, search->current->data, search->current->len);
	group->vm = vm;
	group->n_vms = 1;
	group->shortfall = shortfall_of(group->exclusions, vm);
	g_hash_table_insert(search->groups, key, group);
}

static void
consider(search_t *search, const bp_vm_t *vm)
{
	search->reason->n_vms++;
	collect(search, vm);
	if (search->current->len > search->min_causes)
		return;
	if (search->current->len < search->min_causes) {
		g_hash_table_remove_all(search->groups);
		search->min_causes = search->current->len;
	}
	add_to_group(search, vm);
}

/*
 * Among sets of equal size, prefers the one that excludes most VMs, then the
 * one with the smallest shortfall, then the first VM name.
 */
static bool
is_better_group(const group_t *a, const group_t *b)
{
	if (b == NULL)
		return true;
	if (a->n_vms != b->n_vms)
		return a->n_vms > b->n_vms;
	if (a->shortfall < b->shortfall || b->shortfall < a->shortfall)
		return a->shortfall < b->shortfall;
	return strcmp(a->vm->name, b->vm->name) < 0;
}

static const group_t *
best_group(const search_t *search)
{
	const group_t *best = NULL;
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, search->groups);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		if (is_better_group(value, best))
			best = value;
	}
	return best;
}

static void
add_cause(bp_reason_t *reason, const bp_exclusion_t *exclusion)
{
	bp_reason_cause_t cause = {*exclusion, 0};
	int bit;

	for (bit = 0; bit < BP_CAUSES; bit++) {
		if (exclusion->cause == 1U << bit)
			cause.n_vms = reason->by_cause[bit];
	}
	g_array_append_val(reason->causes, cause);
}

static gint
vm_order(gconstpointer a, gconstpointer b)
{
	return strcmp((*(const bp_vm_t *const *)a)->name,
	    (*(const bp_vm_t *const *)b)->name);
}

static void
consider_all_vms(search_t *search, const bp_state_t *state)
{
	GPtrArray *vms = g_ptr_array_new();
	GHashTableIter iter;
	gpointer value;
	guint i;

	g_hash_table_iter_init(&iter, bp_state_vms(state));
	while (g_hash_table_iter_next(&iter, NULL, &value))
		g_ptr_array_add(vms, value);
	g_ptr_array_sort(vms, vm_order);
	for (i = 0; i < vms->len; i++)
		consider(search, g_ptr_array_index(vms, i));
	g_ptr_array_unref(vms);
}

/* Finds the smallest set of causes, including unreachable VMs. */
static void
find_vm_causes(bp_reason_t *reason, const bp_state_t *state)
{
	bp_exclusion_t nothing = {.cause = BP_CAUSE_NO_OWNER};
	search_t search = {.reason = reason, .min_causes = G_MAXUINT};
	const group_t *best;
	guint i;

	search.groups =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, group_free);
	search.current = g_array_new(FALSE, FALSE, sizeof(bp_exclusion_t));
	bp_constraints_init(&search.constraints, state, reason->job);
	consider_all_vms(&search, state);
	best = best_group(&search);
	if (best == NULL) {
		add_cause(reason, &nothing);
	} else {
		reason->vm = best->vm;
		reason->n_startable = best->n_vms;
		for (i = 0; i < best->exclusions->len; i++)
			add_cause(reason,
			    &g_array_index(
				best->exclusions, bp_exclusion_t, i));
	}
	bp_constraints_clear(&search.constraints);
	g_array_unref(search.current);
	g_hash_table_unref(search.groups);
}

/* Each of these causes alone blocks this node, so all are reported. */
static void
find_node_causes(bp_reason_t *reason)
{
	const bp_reason_input_t *input = &reason->input;
	const struct {
		bool holds;
		bp_cause_t cause;
	} all[] = {
	    {input->log_unavailable, BP_CAUSE_LOG_UNAVAILABLE},
	    {input->state_unknown, BP_CAUSE_STATE_UNKNOWN},
	    {input->log_version_unknown, BP_CAUSE_LOG_VERSION},
	    {input->draining, BP_CAUSE_DRAINING},
	    {input->starting, BP_CAUSE_STARTING},
	    {input->turn || input->disturbs, BP_CAUSE_TURN},
	};
	bp_exclusion_t exclusion = {0};
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(all); i++) {
		exclusion.cause = all[i].cause;
		if (all[i].holds)
			add_cause(reason, &exclusion);
	}
}

static void
explain_task(bp_reason_t *reason, const bp_state_t *state)
{
	const bp_task_t *task = &reason->job->tasks[reason->task];

	switch (task->state) {
	case BP_TASK_ASSIGNED:
		reason->kind = BP_REASON_ASSIGNED;
		reason->vm = task->vm;
		return;
	case BP_TASK_ENDED:
		reason->kind =
		    task->outcome == BP__LOG__TASK_OUTCOME__OUTCOME_CANCELLED
		    ? BP_REASON_CANCELLED
		    : BP_REASON_ENDED;
		return;
	default:
		break;
	}
	find_node_causes(reason);
	find_vm_causes(reason, state);
	reason->kind =
	    reason->causes->len > 0 ? BP_REASON_WAITING : BP_REASON_READY;
}

/*
 * Explains why a task waits. The result refers to the state: free it with
 * bp_reason_free before the state changes. input may be NULL. Returns
 * BP_ENOTFOUND for an unknown job or task.
 */
int
bp_reason_explain(bp_reason_t **out, const bp_state_t *state, const char *job,
    uint32_t task, const bp_reason_input_t *input, bp_error_t *err)
{
	bp_job_t *found = bp_state_job(state, job);
	bp_reason_t *reason;

	if (found == NULL)
		return bp_error_set(err, BP_ENOTFOUND, "no job has id %s", job);
	if (task >= found->n_tasks)
		return bp_error_set(err, BP_ENOTFOUND,
		    "job %s has tasks 0 to %u", job, found->n_tasks - 1);
	reason = g_new0(bp_reason_t, 1);
	reason->job = found;
	reason->task = task;
	if (input != NULL)
		reason->input = *input;
	reason->causes = g_array_new(FALSE, FALSE, sizeof(bp_reason_cause_t));
	explain_task(reason, state);
	*out = reason;
	return BP_OK;
}

/* Frees an explanation. NULL is allowed. */
void
bp_reason_free(bp_reason_t *reason)
{
	if (reason == NULL)
		return;
	g_array_unref(reason->causes);
	g_free(reason);
}
