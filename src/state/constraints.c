#include "bulrushpost/constraints.h"

#include "bulrushpost/resources.h"

#include <string.h>

#define PERCENT 100

/* Arguments and result of one call of bp_constraints_check. */
typedef struct {
	const bp_constraints_t *constraints;
	const bp_job_t *job;
	const bp_vm_t *vm;
	const bp_reservations_t *reservations;
	bp_exclusion_visitor_t visit;
	void *data;
	uint32_t causes;
} check_t;

static bool
concerns(const bp_subject_t *subject, const bp_job_t *job)
{
	return bp_subject_matches(
	    subject, job->team->name, job->name, job->klass);
}

static bool
rule_applies_to_job(const bp_rule_t *rule, const bp_job_t *job)
{
	switch (rule->kind) {
	case BP_RULE_QUOTA:
	case BP_RULE_WEIGHT:
		return false;
	case BP_RULE_APART:
		return concerns(&rule->subject, job) ||
		    concerns(&rule->as.apart_from, job);
	case BP_RULE_ONLY:
	case BP_RULE_NEVER:
	case BP_RULE_SPREAD:
		return concerns(&rule->subject, job);
	case BP_RULE_HEADROOM:
		return job->klass == BP_CLASS_BATCH;
	}
	return false;
}

/* Selects the rules in force that concern the job. */
void
bp_constraints_init(
    bp_constraints_t *constraints, const bp_state_t *state, const bp_job_t *job)
{
	const bp_rules_version_t *version = bp_state_rules(state);
	const bp_rule_t *rule;
	size_t i;

	constraints->state = state;
	constraints->job = job;
	constraints->rules = g_ptr_array_new();
	if (version == NULL || version->rules == NULL)
		return;
	for (i = 0; i < bp_rules_count(version->rules); i++) {
		rule = bp_rules_at(version->rules, i);
		if (rule_applies_to_job(rule, job))
			g_ptr_array_add(constraints->rules, (void *)rule);
	}
}

/* Frees the selection; the rules belong to the state. */
void
bp_constraints_clear(bp_constraints_t *constraints)
{
	g_ptr_array_unref(constraints->rules);
	constraints->rules = NULL;
}

static void
report_exclusion(check_t *check, const bp_exclusion_t *exclusion)
{
	check->causes |= exclusion->cause;
	if (check->visit != NULL)
		check->visit(exclusion, check->data);
}

static bool
is_decided(const check_t *check)
{
	return check->causes != 0 && check->visit == NULL;
}

static void
check_place(check_t *check)
{
	const bp_vm_t *vm = check->vm;
	bp_exclusion_t exclusion = {.vm = vm, .rack = vm->rack};

	if (vm->gone) {
		exclusion.cause = BP_CAUSE_VM_UNREACHABLE;
		report_exclusion(check, &exclusion);
	}
	if (vm->hold != BP__LOG__HOLD_CAUSE__HOLD_NONE) {
		exclusion.cause = BP_CAUSE_VM_HOLD;
		report_exclusion(check, &exclusion);
	}
	exclusion.vm = NULL;
	if (vm->rack->owner == NULL || vm->rack->released) {
		exclusion.cause = BP_CAUSE_NO_OWNER;
		report_exclusion(check, &exclusion);
	}
	if (vm->rack->zone->out_of_service) {
		exclusion.cause = BP_CAUSE_ZONE_OUT;
		exclusion.zone = vm->rack->zone;
		report_exclusion(check, &exclusion);
	}
}

/* Excludes most VMs of a full cluster without a lookup of reservations. */
static bool
is_full(const bp_vm_t *vm, const bp_resources_t *size)
{
	return size->cpu_milli > 0 &&
	    (uint64_t)vm->used.cpu_milli + size->cpu_milli >
	    vm->capacity.cpu_milli;
}

/*
 * A task larger than the VM is excluded as never_fits. Used and reserved
 * amounts count separately as no_capacity, as if the VM were just large enough
 * for the task.
 */
static void
check_capacity(check_t *check)
{
	const bp_resources_t *size = &check->job->size;
	bp_exclusion_t exclusion = {.vm = check->vm};
	bp_resources_t room = check->vm->capacity;
	bp_resources_t reserved;
	bp_resources_t need;

	if (check->visit == NULL && is_full(check->vm, size)) {
		check->causes |= BP_CAUSE_NO_CAPACITY;
		return;
	}
	reserved = bp_reservations_vm_total(check->reservations, check->vm);
	need = bp_resources_sum(&check->vm->used, &reserved);
	exclusion.shortfall = bp_resources_excess(size, &room);
	if (!bp_resources_is_zero(&exclusion.shortfall)) {
		exclusion.cause = BP_CAUSE_NEVER_FITS;
		report_exclusion(check, &exclusion);
		room = bp_resources_sum(&room, &exclusion.shortfall);
	}
	if (size->cpu_milli == 0)
		need.cpu_milli = 0;
	if (size->memory_mib == 0)
		need.memory_mib = 0;
	if (size->accelerators == 0)
		need.accelerators = 0;
	need = bp_resources_sum(&need, size);
	exclusion.shortfall = bp_resources_excess(&need, &room);
	if (!bp_resources_is_zero(&exclusion.shortfall)) {
		exclusion.cause = BP_CAUSE_NO_CAPACITY;
		report_exclusion(check, &exclusion);
	}
}

static uint32_t
quota_excess(uint32_t size, uint32_t used, uint32_t reserved, uint32_t quota)
{
	uint64_t need = (uint64_t)size + used + reserved;

	if (size == 0 || need <= quota)
		return 0;
	return need - quota > UINT32_MAX ? UINT32_MAX
					 : (uint32_t)(need - quota);
}

static void
check_quota(check_t *check)
{
	const bp_team_t *team = check->job->team;
	const bp_resources_t *size = &check->job->size;
	bp_resources_t reserved;
	bp_exclusion_t exclusion = {
	    .cause = BP_CAUSE_QUOTA, .rule = team->quota};

	if (team->quota == NULL)
		return;
	reserved = bp_reservations_team_total(check->reservations, team);
	exclusion.shortfall.cpu_milli =
	    quota_excess(size->cpu_milli, team->used.cpu_milli,
		reserved.cpu_milli, team->quota->as.quota.cpu_milli);
	exclusion.shortfall.memory_mib =
	    quota_excess(size->memory_mib, team->used.memory_mib,
		reserved.memory_mib, team->quota->as.quota.memory_mib);
	exclusion.shortfall.accelerators =
	    quota_excess(size->accelerators, team->used.accelerators,
		reserved.accelerators, team->quota->as.quota.accelerators);
	if (!bp_resources_is_zero(&exclusion.shortfall))
		report_exclusion(check, &exclusion);
}

static uint32_t
less_percent(uint32_t amount, uint32_t percent)
{
	if (percent >= PERCENT)
		return 0;
	return amount - (uint32_t)((uint64_t)amount * percent / PERCENT);
}

static bp_resources_t
below_headroom(const bp_vm_t *vm, uint32_t percent)
{
	bp_resources_t limit = {less_percent(vm->capacity.cpu_milli, percent),
	    less_percent(vm->capacity.memory_mib, percent),
	    less_percent(vm->capacity.accelerators, percent)};

	return limit;
}

/* Returns the excess over the limit; 0 if the headroom rounds to 0. */
static uint32_t
headroom_excess(uint32_t size, uint32_t used, uint32_t reserved,
    uint32_t capacity, uint32_t percent)
{
	uint32_t room = MAX(capacity, size);
	uint32_t limit = less_percent(room, percent);

	return limit == room ? 0 : quota_excess(size, used, reserved, limit);
}

/*
 * Counts the usage of all classes, so that the headroom stays free. As in
 * check_capacity, a VM that is too small counts as just large enough.
 */
static void
check_headroom(check_t *check, const bp_rule_t *rule)
{
	const bp_resources_t *size = &check->job->size;
	const bp_vm_t *vm = check->vm;
	uint32_t percent = rule->as.headroom_percent;
	bp_resources_t reserved =
	    bp_reservations_vm_total(check->reservations, vm);
	bp_exclusion_t exclusion = {
	    .cause = BP_CAUSE_HEADROOM, .rule = rule, .vm = vm};

	exclusion.shortfall.cpu_milli =
	    headroom_excess(size->cpu_milli, vm->used.cpu_milli,
		reserved.cpu_milli, vm->capacity.cpu_milli, percent);
	exclusion.shortfall.memory_mib =
	    headroom_excess(size->memory_mib, vm->used.memory_mib,
		reserved.memory_mib, vm->capacity.memory_mib, percent);
	exclusion.shortfall.accelerators =
	    headroom_excess(size->accelerators, vm->used.accelerators,
		reserved.accelerators, vm->capacity.accelerators, percent);
	if (!bp_resources_is_zero(&exclusion.shortfall))
		report_exclusion(check, &exclusion);
}

/* Returns the name of the VM, of its rack or of its zone. */
const char *
bp_constraints_place_name(const bp_vm_t *vm, bp_scope_t scope)
{
	switch (scope) {
	case BP_SCOPE_ZONE:
		return vm->rack->zone->name;
	case BP_SCOPE_RACK:
		return vm->rack->name;
	case BP_SCOPE_VM:
		return vm->name;
	}
	return vm->name;
}

/* Tells whether a rule of kind only or never admits the VM. */
bool
bp_constraints_place_admits(const bp_rule_t *rule, const bp_vm_t *vm)
{
	bool listed =
	    g_strv_contains((const char *const *)rule->as.places.names,
		bp_constraints_place_name(vm, rule->as.places.scope));

	return rule->kind == BP_RULE_ONLY ? listed : !listed;
}

static bool
same_place(const bp_vm_t *a, const bp_vm_t *b, bp_scope_t scope)
{
	switch (scope) {
	case BP_SCOPE_ZONE:
		return a->rack->zone == b->rack->zone;
	case BP_SCOPE_RACK:
		return a->rack == b->rack;
	case BP_SCOPE_VM:
		return a == b;
	}
	return false;
}

static uint32_t
assigned_on(const bp_vm_t *vm, const bp_job_t *job)
{
	uint32_t count = 0;
	guint i;

	for (i = 0; i < vm->tasks->len; i++) {
		if (g_array_index(vm->tasks, bp_task_ref_t, i).job == job)
			count++;
	}
	return count;
}

/*
 * For a rack, iterates over its VMs, as a rack has few tasks. For a zone the
 * tasks of the job are fewer.
 */
static uint32_t
assigned_near(const check_t *check, bp_scope_t scope)
{
	const bp_job_t *job = check->job;
	const bp_rack_t *rack = check->vm->rack;
	uint32_t count = 0;
	uint32_t i;

	if (scope == BP_SCOPE_RACK) {
		for (i = 0; i < rack->vms->len; i++)
			count +=
			    assigned_on(g_ptr_array_index(rack->vms, i), job);
		return count;
	}
	for (i = 0; i < job->n_tasks && job->n_assigned > 0; i++) {
		if (job->tasks[i].vm != NULL &&
		    same_place(job->tasks[i].vm, check->vm, scope))
			count++;
	}
	return count;
}

static uint32_t
reserved_near(const check_t *check, bp_scope_t scope)
{
	const GArray *list =
	    bp_reservations_for_job(check->reservations, check->job);
	const bp_reservation_t *one;
	uint32_t count = 0;
	guint i;

	for (i = 0; list != NULL && i < list->len; i++) {
		one = &g_array_index(list, bp_reservation_t, i);
		if (same_place(one->vm, check->vm, scope))
			count += one->count;
	}
	return count;
}

/* A spread rule allows at_most tasks of one job in one place. */
static bool
spread_violated(const check_t *check, const bp_rule_t *rule)
{
	bp_scope_t scope = rule->as.spread.scope;

	return assigned_near(check, scope) + reserved_near(check, scope) >=
	    rule->as.spread.at_most;
}

/* A rule "A apart from B" applies in both directions. */
static bool
apart_violated_by(
    const check_t *check, const bp_rule_t *rule, const bp_job_t *other)
{
	return (concerns(&rule->subject, check->job) &&
		   concerns(&rule->as.apart_from, other)) ||
	    (concerns(&rule->as.apart_from, check->job) &&
		concerns(&rule->subject, other));
}

static bool
apart_violated(const check_t *check, const bp_rule_t *rule)
{
	const GArray *reserved =
	    bp_reservations_for_vm(check->reservations, check->vm);
	const GArray *tasks = check->vm->tasks;
	guint i;

	for (i = 0; i < tasks->len; i++) {
		if (apart_violated_by(check, rule,
			g_array_index(tasks, bp_task_ref_t, i).job))
			return true;
	}
	for (i = 0; reserved != NULL && i < reserved->len; i++) {
		if (apart_violated_by(check, rule,
			g_array_index(reserved, bp_reservation_t, i).job))
			return true;
	}
	return false;
}

static bool
rule_violated(const check_t *check, const bp_rule_t *rule)
{
	switch (rule->kind) {
	case BP_RULE_ONLY:
	case BP_RULE_NEVER:
		return !bp_constraints_place_admits(rule, check->vm);
	case BP_RULE_SPREAD:
		return spread_violated(check, rule);
	case BP_RULE_APART:
		return apart_violated(check, rule);
	case BP_RULE_QUOTA:
	case BP_RULE_WEIGHT:
	case BP_RULE_HEADROOM:
		return false;
	}
	return false;
}

static void
check_rule(check_t *check, const bp_rule_t *rule)
{
	bp_exclusion_t exclusion = {.cause = BP_CAUSE_RULE, .rule = rule};

	if (rule->kind == BP_RULE_HEADROOM)
		check_headroom(check, rule);
	else if (rule_violated(check, rule))
		report_exclusion(check, &exclusion);
}

/* See the header. Cheap checks come first, since most VMs fail one of them. */
uint32_t
bp_constraints_check(const bp_constraints_t *constraints, const bp_vm_t *vm,
    const bp_reservations_t *reservations, bp_exclusion_visitor_t visit,
    void *data)
{
	check_t check = {
	    constraints, constraints->job, vm, reservations, visit, data, 0};
	guint i;

	check_place(&check);
	if (!is_decided(&check))
		check_capacity(&check);
	if (!is_decided(&check))
		check_quota(&check);
	for (i = 0; i < constraints->rules->len && !is_decided(&check); i++)
		check_rule(&check, g_ptr_array_index(constraints->rules, i));
	return check.causes;
}

/* Returns the capacity of the VM less the headroom for batch jobs. */
bp_resources_t
bp_constraints_usable_capacity(
    const bp_constraints_t *constraints, const bp_vm_t *vm)
{
	bp_resources_t limit = vm->capacity;
	bp_resources_t over;
	bp_resources_t lower;
	const bp_rule_t *rule;
	guint i;

	for (i = 0; i < constraints->rules->len; i++) {
		rule = g_ptr_array_index(constraints->rules, i);
		if (rule->kind != BP_RULE_HEADROOM)
			continue;
		lower = below_headroom(vm, rule->as.headroom_percent);
		over = bp_resources_excess(&limit, &lower);
		limit = bp_resources_excess(&limit, &over);
	}
	return limit;
}
