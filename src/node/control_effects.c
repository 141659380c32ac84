#include "bulrushpost/constraints.h"
#include "node/control_private.h"

#include "bulrushpost/resources.h"

#include <string.h>

#define WARNINGS_MAX 50
/* VM checks per call, about 0.2 s, during which the main loop is blocked. */
#define CHECKS_MAX 8000000
#define PERCENT 100

static bool
concerns(const bp_rule_t *rule, const bp_job_t *job)
{
	return bp_subject_matches(
	    &rule->subject, job->team->name, job->name, job->klass);
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
} job_rules_t;

static void
select_rules(
    job_rules_t *job_rules, const bp_rules_t *rules, const bp_job_t *job)
{
	size_t i;

	job_rules->job = job;
	job_rules->places = g_ptr_array_new();
	job_rules->quota = bp_rules_team(rules, BP_RULE_QUOTA, job->team->name);
	job_rules->headroom_percent = 0;
	for (i = 0; i < bp_rules_count(rules); i++) {
		const bp_rule_t *rule = bp_rules_at(rules, i);

		if (!concerns(rule, job))
			continue;
		if (is_place_rule(rule))
			g_ptr_array_add(job_rules->places, (void *)rule);
		else if (rule->kind == BP_RULE_HEADROOM)
			job_rules->headroom_percent = rule->as.headroom_percent;
	}
}

static bool
fits_empty_vm(const job_rules_t *job_rules, const bp_vm_t *vm)
{
	const bp_resources_t *size = &job_rules->job->size;
	uint64_t usable = PERCENT - job_rules->headroom_percent;
	bp_resources_t capacity = {
	    (uint32_t)(vm->capacity.cpu_milli * usable / PERCENT),
	    (uint32_t)(vm->capacity.memory_mib * usable / PERCENT),
	    (uint32_t)(vm->capacity.accelerators * usable / PERCENT)};

	return bp_resources_fit(size, &capacity);
}

static bool
can_run_on(const job_rules_t *job_rules, const bp_vm_t *vm)
{
	guint i;

	if (vm->gone || !fits_empty_vm(job_rules, vm))
		return false;
	for (i = 0; i < job_rules->places->len; i++) {
		if (!bp_constraints_place_admits(
			g_ptr_array_index(job_rules->places, i), vm))
			return false;
	}
	return true;
}

/* Values that stand in place of a reject reason. */
#define CAN_RUN "can run"
#define COULD_NOT_RUN_BEFORE "could not run before either"

/* The state of one check of all jobs. */
typedef struct {
	const bp_state_t *state;
	const bp_rules_t *before; /* in force now; may be NULL */
	const bp_rules_t *rules;
	GPtrArray *warnings;
	GHashTable *known; /* kind of job to its reject reason */
	uint32_t checks; /* VMs checked so far */
} effects_t;

/* Returns why the job can never run under the rules, or NULL. */
static char *
find_reject_reason(
    effects_t *effects, const bp_rules_t *rules, const bp_job_t *job)
{
	job_rules_t job_rules;
	GHashTableIter iter;
	gpointer vm;
	bool found = false;
	char *reject_reason = NULL;

	select_rules(&job_rules, rules, job);
	if (job_rules.quota != NULL &&
	    !bp_resources_fit(&job->size, &job_rules.quota->as.quota))
		reject_reason = g_strdup_printf(
		    "the quota of line %u is smaller than one of its tasks",
		    job_rules.quota->line);
	g_hash_table_iter_init(&iter, bp_state_vms(effects->state));
	while (reject_reason == NULL && !found &&
	    g_hash_table_iter_next(&iter, NULL, &vm)) {
		effects->checks++;
		found = can_run_on(&job_rules, vm);
	}
	if (reject_reason == NULL && !found)
		reject_reason = g_strdup(
		    "the rules leave no VM that is large enough for it");
	g_ptr_array_unref(job_rules.places);
	return reject_reason;
}

/* Jobs that are alike for the rules and in size are checked once. */
static const char *
new_reject_reason(effects_t *effects, const bp_job_t *job)
{
	char *kind = g_strdup_printf("%d %u %u %u %s %s", (int)job->klass,
	    job->size.cpu_milli, job->size.memory_mib, job->size.accelerators,
	    job->team->name, job->name);
	char *reject_reason = g_hash_table_lookup(effects->known, kind);
	char *before;

	if (reject_reason != NULL) {
		g_free(kind);
		return reject_reason;
	}
	reject_reason = find_reject_reason(effects, effects->rules, job);
	before = reject_reason != NULL
	    ? find_reject_reason(effects, effects->before, job)
	    : NULL;
	if (reject_reason == NULL) {
		reject_reason = g_strdup(CAN_RUN);
	} else if (before != NULL) {
		g_free(reject_reason);
		reject_reason = g_strdup(COULD_NOT_RUN_BEFORE);
	}
	g_free(before);
	g_hash_table_insert(effects->known, kind, reject_reason);
	return reject_reason;
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

		if (!vm->gone && bp_constraints_place_admits(rule, vm))
			return;
	}
	g_ptr_array_add(warnings,
	    g_strdup_printf("line %u: no known VM can meet it: %s", rule->line,
		rule->text));
}

/* Counts different places of the scope that the job could use, up to most. */
static uint32_t
count_places(effects_t *effects, const job_rules_t *job_rules, bp_scope_t scope,
    uint32_t most)
{
	GHashTable *places = g_hash_table_new(g_str_hash, g_str_equal);
	GHashTableIter iter;
	gpointer value;
	uint32_t count;

	g_hash_table_iter_init(&iter, bp_state_vms(effects->state));
	while (g_hash_table_size(places) < most &&
	    g_hash_table_iter_next(&iter, NULL, &value)) {
		effects->checks++;
		if (can_run_on(job_rules, value))
			g_hash_table_add(places,
			    (gpointer)bp_constraints_place_name(value, scope));
	}
	count = g_hash_table_size(places);
	g_hash_table_unref(places);
	return count;
}

/* Warns if a spread rule leaves tasks of the job unplaceable. */
static void
warn_of_spread(effects_t *effects, const bp_job_t *job)
{
	uint32_t tasks = job->n_tasks - job->n_ended;
	job_rules_t job_rules;
	size_t i;

	select_rules(&job_rules, effects->rules, job);
	for (i = 0; i < bp_rules_count(effects->rules); i++) {
		const bp_rule_t *rule = bp_rules_at(effects->rules, i);
		uint32_t at_most = rule->as.spread.at_most;
		uint32_t places;

		if (rule->kind != BP_RULE_SPREAD || !concerns(rule, job))
			continue;
		places = count_places(effects, &job_rules,
		    rule->as.spread.scope, (tasks + at_most - 1) / at_most);
		if ((uint64_t)places * at_most >= tasks)
			continue;
		g_ptr_array_add(effects->warnings,
		    g_strdup_printf("line %u: job %s has %u tasks, but %u "
				    "places with at most %u each",
			rule->line, job->id, tasks, places, at_most));
	}
	g_ptr_array_unref(job_rules.places);
}

/* Warns only of changes: jobs that could not run before are left out. */
static void
warn_of_job(effects_t *effects, const bp_job_t *job)
{
	const char *reject_reason = new_reject_reason(effects, job);

	if (strcmp(reject_reason, CAN_RUN) == 0)
		warn_of_spread(effects, job);
	else if (strcmp(reject_reason, COULD_NOT_RUN_BEFORE) != 0)
		g_ptr_array_add(effects->warnings,
		    g_strdup_printf(
			"job %s (%s) of team %s could not run any more: %s",
			job->id, job->name, job->team->name, reject_reason));
}

static gint
compare_jobs(gconstpointer a, gconstpointer b)
{
	return strcmp(((const bp_job_t *)a)->id, ((const bp_job_t *)b)->id);
}

static void
warn_of_jobs(effects_t *effects)
{
	GList *jobs =
	    g_list_sort(g_hash_table_get_values(bp_state_jobs(effects->state)),
		compare_jobs);
	GList *item;

	for (item = jobs;
	     item != NULL && effects->warnings->len < WARNINGS_MAX &&
	     effects->checks < CHECKS_MAX;
	     item = item->next) {
		const bp_job_t *job = item->data;

		if (job->n_ended < job->n_tasks && !job->cancelled)
			warn_of_job(effects, job);
	}
	if (item != NULL)
		g_ptr_array_add(effects->warnings,
		    g_strdup("further jobs were not checked"));
	g_list_free(jobs);
}

/* See the header. Effects cannot be checked while no VM is known. */
GPtrArray *
bp_control_rule_effects(const bp_state_t *state, const bp_rules_t *rules)
{
	const bp_rules_version_t *current = bp_state_rules(state);
	effects_t effects = {.state = state, .rules = rules};
	size_t i;

	effects.warnings = g_ptr_array_new_with_free_func(g_free);
	if (g_hash_table_size(bp_state_vms(state)) == 0) {
		g_ptr_array_add(effects.warnings,
		    g_strdup("no VM is known yet: effects were not checked"));
		return effects.warnings;
	}
	effects.before = current != NULL ? current->rules : NULL;
	effects.known =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	for (i = 0; i < bp_rules_count(rules); i++)
		warn_of_rule(state, bp_rules_at(rules, i), effects.warnings);
	warn_of_jobs(&effects);
	g_hash_table_unref(effects.known);
	return effects.warnings;
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

/* See the header. The order of rules has no effect and is not compared. */
char *
bp_control_rule_difference(const char *in_force, const char *submitted)
{
	char **lines_in_force = split_lines(in_force);
	char **submitted_lines = split_lines(submitted);
	GString *out = g_string_new(NULL);

	append_missing(out, '-', lines_in_force, submitted_lines);
	append_missing(out, '+', submitted_lines, lines_in_force);
	if (out->len == 0)
		g_string_append(out, "none: both have the same rules");
	g_strfreev(lines_in_force);
	g_strfreev(submitted_lines);
	return g_string_free(out, FALSE);
}
