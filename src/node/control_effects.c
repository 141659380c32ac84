#include "node/control_private.h"

#include "bulrushpost/resources.h"

#include <string.h>

#define WARNINGS_MAX 50
#define PERCENT 100

static bool
concerns(const bp_rule_t *rule, const bp_job_t *job)
{
	return bp_subject_matches(
	    &rule->subject, job->team->name, job->name, job->klass);
}

static const char *
place_name(const bp_vm_t *vm, bp_scope_t scope)
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

/* Whether a place rule admits the VM. */
static bool
admits(const bp_rule_t *rule, const bp_vm_t *vm)
{
	bool listed =
	    g_strv_contains((const char *const *)rule->as.places.names,
		place_name(vm, rule->as.places.scope));

	return rule->kind == BP_RULE_ONLY ? listed : !listed;
}

static bool
is_place_rule(const bp_rule_t *rule)
{
	return rule->kind == BP_RULE_ONLY || rule->kind == BP_RULE_NEVER;
}

/* A job with the rules that decide where it can ever run. */
typedef struct {
	const bp_job_t *job;
	GPtrArray *places; /* const bp_rule_t */
	const bp_rule_t *quota;
	uint32_t headroom_percent;
} wanted_t;

static void
select_rules(wanted_t *wanted, const bp_rules_t *rules, const bp_job_t *job)
{
	size_t i;

	wanted->job = job;
	wanted->places = g_ptr_array_new();
	wanted->quota = bp_rules_team(rules, BP_RULE_QUOTA, job->team->name);
	wanted->headroom_percent = 0;
	for (i = 0; i < bp_rules_count(rules); i++) {
		const bp_rule_t *rule = bp_rules_at(rules, i);

		if (!concerns(rule, job))
			continue;
		if (is_place_rule(rule))
			g_ptr_array_add(wanted->places, (void *)rule);
		else if (rule->kind == BP_RULE_HEADROOM)
			wanted->headroom_percent = rule->as.headroom_percent;
	}
}

static bool
fits_empty_vm(const wanted_t *wanted, const bp_vm_t *vm)
{
	const bp_resources_t *size = &wanted->job->size;
	uint64_t usable = PERCENT - wanted->headroom_percent;
	bp_resources_t room = {
	    (uint32_t)(vm->capacity.cpu_milli * usable / PERCENT),
	    (uint32_t)(vm->capacity.memory_mib * usable / PERCENT),
	    (uint32_t)(vm->capacity.accelerators * usable / PERCENT)};

	return bp_resources_fit(size, &room);
}

static bool
can_run_on(const wanted_t *wanted, const bp_vm_t *vm)
{
	guint i;

	if (vm->gone || !fits_empty_vm(wanted, vm))
		return false;
	for (i = 0; i < wanted->places->len; i++) {
		if (!admits(g_ptr_array_index(wanted->places, i), vm))
			return false;
	}
	return true;
}

/* Returns why the job can never run under the rules, or NULL. */
static char *
find_obstacle(
    const bp_state_t *state, const bp_rules_t *rules, const bp_job_t *job)
{
	wanted_t wanted;
	GHashTableIter iter;
	gpointer vm;
	bool found = false;
	char *obstacle = NULL;

	select_rules(&wanted, rules, job);
	if (wanted.quota != NULL &&
	    !bp_resources_fit(&job->size, &wanted.quota->as.quota))
		obstacle = g_strdup_printf(
		    "the quota of line %u is smaller than one of its tasks",
		    wanted.quota->line);
	g_hash_table_iter_init(&iter, bp_state_vms(state));
	while (obstacle == NULL && !found &&
	    g_hash_table_iter_next(&iter, NULL, &vm))
		found = can_run_on(&wanted, vm);
	if (obstacle == NULL && !found)
		obstacle = g_strdup(
		    "the rules leave no VM that is large enough for it");
	g_ptr_array_unref(wanted.places);
	return obstacle;
}

static void
warn_of_rule(
    const bp_state_t *state, const bp_rule_t *rule, GPtrArray *warnings)
{
	GHashTableIter iter;
	gpointer value;

	if (!is_place_rule(rule))
		return;
	g_hash_table_iter_init(&iter, bp_state_vms(state));
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const bp_vm_t *vm = value;

		if (!vm->gone && admits(rule, vm))
			return;
	}
	g_ptr_array_add(warnings,
	    g_strdup_printf("line %u: no known VM can meet it: %s", rule->line,
		rule->text));
}

/* How many different places of the rule's scope the job could use. */
static uint32_t
count_places(const bp_state_t *state, const wanted_t *wanted, bp_scope_t scope)
{
	GHashTable *places = g_hash_table_new(g_str_hash, g_str_equal);
	GHashTableIter iter;
	gpointer value;
	uint32_t count;

	g_hash_table_iter_init(&iter, bp_state_vms(state));
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		if (can_run_on(wanted, value))
			g_hash_table_add(
			    places, (gpointer)place_name(value, scope));
	}
	count = g_hash_table_size(places);
	g_hash_table_unref(places);
	return count;
}

/* Tasks of one job that a spread rule leaves without a place. */
static void
warn_of_spread(const bp_state_t *state, const bp_rules_t *rules,
    const bp_job_t *job, GPtrArray *warnings)
{
	uint32_t tasks = job->n_tasks - job->n_ended;
	wanted_t wanted;
	size_t i;

	select_rules(&wanted, rules, job);
	for (i = 0; i < bp_rules_count(rules); i++) {
		const bp_rule_t *rule = bp_rules_at(rules, i);
		uint32_t places;

		if (rule->kind != BP_RULE_SPREAD || !concerns(rule, job))
			continue;
		places = count_places(state, &wanted, rule->as.spread.scope);
		if ((uint64_t)places * rule->as.spread.at_most >= tasks)
			continue;
		g_ptr_array_add(warnings,
		    g_strdup_printf("line %u: job %s has %u tasks, but %u "
				    "places with at most %u each",
			rule->line, job->id, tasks, places,
			rule->as.spread.at_most));
	}
	g_ptr_array_unref(wanted.places);
}

/* Warns only of what changes: not of jobs that could not run before. */
static void
warn_of_job(const bp_state_t *state, const bp_rules_t *rules,
    const bp_job_t *job, GPtrArray *warnings)
{
	const bp_rules_version_t *current = bp_state_rules(state);
	char *obstacle = find_obstacle(state, rules, job);
	char *before;

	if (obstacle == NULL) {
		warn_of_spread(state, rules, job, warnings);
		return;
	}
	before =
	    find_obstacle(state, current != NULL ? current->rules : NULL, job);
	if (before == NULL)
		g_ptr_array_add(warnings,
		    g_strdup_printf(
			"job %s (%s) of team %s could not run any more: %s",
			job->id, job->name, job->team->name, obstacle));
	g_free(before);
	g_free(obstacle);
}

static gint
compare_jobs(gconstpointer a, gconstpointer b)
{
	return strcmp(((const bp_job_t *)a)->id, ((const bp_job_t *)b)->id);
}

static void
warn_of_jobs(
    const bp_state_t *state, const bp_rules_t *rules, GPtrArray *warnings)
{
	GList *jobs = g_list_sort(
	    g_hash_table_get_values(bp_state_jobs(state)), compare_jobs);
	GList *item;

	for (item = jobs; item != NULL && warnings->len < WARNINGS_MAX;
	     item = item->next) {
		const bp_job_t *job = item->data;

		if (job->n_ended < job->n_tasks && !job->cancelled)
			warn_of_job(state, rules, job, warnings);
	}
	if (item != NULL)
		g_ptr_array_add(
		    warnings, g_strdup("further jobs were not checked"));
	g_list_free(jobs);
}

/* See the header. Without any known VM nothing can be said. */
GPtrArray *
bp_control_rule_effects(const bp_state_t *state, const bp_rules_t *rules)
{
	GPtrArray *warnings = g_ptr_array_new_with_free_func(g_free);
	size_t i;

	if (g_hash_table_size(bp_state_vms(state)) == 0) {
		g_ptr_array_add(warnings,
		    g_strdup("no VM is known yet: effects were not checked"));
		return warnings;
	}
	for (i = 0; i < bp_rules_count(rules); i++)
		warn_of_rule(state, bp_rules_at(rules, i), warnings);
	warn_of_jobs(state, rules, warnings);
	return warnings;
}

static void
append_missing(GString *out, char mark, char **lines, char **others)
{
	guint i;

	for (i = 0; lines[i] != NULL; i++) {
		g_strstrip(lines[i]);
		if (lines[i][0] != '\0' &&
		    !g_strv_contains((const char *const *)others, lines[i]))
			g_string_append_printf(out, "%s%c %s",
			    out->len > 0 ? "\n" : "", mark, lines[i]);
	}
}

static char **
split_lines(const char *text)
{
	char **lines = g_strsplit(text, "\n", -1);
	guint i;

	for (i = 0; lines[i] != NULL; i++)
		g_strstrip(lines[i]);
	return lines;
}

/* See the header. The order of rules has no effect, so none is shown. */
char *
bp_control_rule_difference(const char *in_force, const char *offered)
{
	char **theirs = split_lines(in_force);
	char **ours = split_lines(offered);
	GString *out = g_string_new(NULL);

	append_missing(out, '-', theirs, ours);
	append_missing(out, '+', ours, theirs);
	if (out->len == 0)
		g_string_append(out, "none: both have the same rules");
	g_strfreev(theirs);
	g_strfreev(ours);
	return g_string_free(out, FALSE);
}
