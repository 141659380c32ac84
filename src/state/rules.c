#include "state/rules_internal.h"

#include <string.h>

static void
clear_subject(bp_subject_t *subject)
{
	g_clear_pointer(&subject->name, g_free);
}

/* Frees a rule. NULL is allowed. */
void
bp_rule_free(bp_rule_t *rule)
{
	if (rule == NULL)
		return;
	switch (rule->kind) {
	case BP_RULE_ONLY:
	case BP_RULE_NEVER:
		g_strfreev(rule->as.places.names);
		break;
	case BP_RULE_APART:
		clear_subject(&rule->as.apart_from);
		break;
	case BP_RULE_QUOTA:
	case BP_RULE_WEIGHT:
	case BP_RULE_SPREAD:
	case BP_RULE_HEADROOM:
		break;
	}
	clear_subject(&rule->subject);
	g_free(rule->text);
	g_free(rule->requested_by);
	g_free(rule);
}

static void
free_rule_item(gpointer item)
{
	bp_rule_free(item);
}

static bp_rules_t *
new_rules(void)
{
	bp_rules_t *rules = g_new0(bp_rules_t, 1);

	rules->rules = g_ptr_array_new_with_free_func(free_rule_item);
	rules->quotas = g_hash_table_new(g_str_hash, g_str_equal);
	rules->weights = g_hash_table_new(g_str_hash, g_str_equal);
	return rules;
}

/* Frees a set of rules. NULL is allowed. */
void
bp_rules_free(bp_rules_t *rules)
{
	if (rules == NULL)
		return;
	g_hash_table_unref(rules->quotas);
	g_hash_table_unref(rules->weights);
	g_ptr_array_unref(rules->rules);
	g_free(rules);
}

static void
add_rule(bp_rules_t *rules, bp_rule_t *rule)
{
	g_ptr_array_add(rules->rules, rule);
	if (rule->kind == BP_RULE_QUOTA)
		g_hash_table_insert(rules->quotas, rule->subject.name, rule);
	else if (rule->kind == BP_RULE_WEIGHT)
		g_hash_table_insert(rules->weights, rule->subject.name, rule);
}

static uint32_t
line_of(const char *text, const char *position)
{
	uint32_t line = 1;
	const char *p;

	for (p = text; p < position; p++) {
		if (*p == '\n')
			line++;
	}
	return line;
}

static int
check_text(const char *text, size_t size_bytes, bp_error_t *err)
{
	const char *bad = NULL;

	if (size_bytes > BP_RULES_MAX_BYTES)
		return bp_error_set(err, BP_ETOOLARGE,
		    "the rule file has %zu bytes: at most %d are allowed",
		    size_bytes, BP_RULES_MAX_BYTES);
	if (!g_utf8_validate(text, (gssize)size_bytes, &bad))
		return bp_error_set(err, BP_EINVALID,
		    "line %u: byte 0x%02x: a rule file is UTF-8 text without "
		    "NUL bytes",
		    line_of(text, bad), (unsigned int)(unsigned char)*bad);
	return BP_OK;
}

static int
parse_lines(bp_rules_t *rules, char **lines,
    const bp_rules_known_names_t *names, bp_error_t *err)
{
	uint32_t i;
	int rc;

	for (i = 0; lines[i] != NULL; i++) {
		bp_rule_t *rule = NULL;

		rc = bp_rules_parse_line(&rule, lines[i], i + 1, names, err);
		if (rc != BP_OK)
			return rc;
		if (rule == NULL)
			continue;
		rc = bp_rules_check_conflicts(rules->rules, rule, err);
		if (rc != BP_OK) {
			bp_rule_free(rule);
			return rc;
		}
		add_rule(rules, rule);
	}
	return bp_rules_check_places(rules->rules, names, err);
}

/*
 * Parses a rule file (docs/rules.md). names may be NULL; otherwise zones,
 * racks and VMs are checked against its lists. The result depends on the
 * arguments only, not on the locale, because the state machine uses it too.
 * Returns BP_EINVALID with "line N: words: what is expected", or
 * BP_ETOOLARGE above BP_RULES_MAX_BYTES.
 */
int
bp_rules_parse(bp_rules_t **out, const char *text, size_t size_bytes,
    const bp_rules_known_names_t *names, bp_error_t *err)
{
	bp_rules_t *rules;
	char **lines;
	char *copy;
	int rc;

	*out = NULL;
	rc = check_text(text, size_bytes, err);
	if (rc != BP_OK)
		return rc;
	rules = new_rules();
	copy = g_strndup(text, size_bytes);
	lines = g_strsplit(copy, "\n", -1);
	rc = parse_lines(rules, lines, names, err);
	g_strfreev(lines);
	g_free(copy);
	if (rc != BP_OK) {
		bp_rules_free(rules);
		return rc;
	}
	*out = rules;
	return BP_OK;
}

/* Returns the number of rules; 0 for NULL. */
size_t
bp_rules_count(const bp_rules_t *rules)
{
	return rules != NULL ? rules->rules->len : 0;
}

/* Returns a rule in file order, or NULL past the end. */
const bp_rule_t *
bp_rules_at(const bp_rules_t *rules, size_t index)
{
	if (index >= bp_rules_count(rules))
		return NULL;
	return g_ptr_array_index(rules->rules, index);
}

/*
 * Matches * (any text) and ? (one character). fnmatch would depend on the
 * locale, and g_pattern_match_simple allocates on each call, which is too
 * slow for a check that runs for each VM.
 */
static bool
matches_pattern(const char *pattern, const char *text)
{
	const char *star = NULL;
	const char *resume = NULL;

	while (*text != '\0') {
		if (*pattern == '*') {
			star = pattern++;
			resume = text;
		} else if (*pattern == '?') {
			pattern++;
			text++;
			while (((unsigned char)*text & 0xc0) == 0x80)
				text++;
		} else if (*pattern == *text) {
			pattern++;
			text++;
		} else if (star != NULL) {
			pattern = star + 1;
			text = ++resume;
		} else {
			return false;
		}
	}
	while (*pattern == '*')
		pattern++;
	return *pattern == '\0';
}

/* Returns whether the subject selects a job of that team, name and class. */
bool
bp_subject_matches(const bp_subject_t *subject, const char *team,
    const char *job_name, bp_task_class_t klass)
{
	switch (subject->kind) {
	case BP_SUBJECT_TEAM:
		return team != NULL && strcmp(subject->name, team) == 0;
	case BP_SUBJECT_JOB:
		return job_name != NULL &&
		    matches_pattern(subject->name, job_name);
	case BP_SUBJECT_CLASS:
		return subject->klass == klass;
	}
	return false;
}

/* Returns the team's quota or weight rule, or NULL when it has none. */
const bp_rule_t *
bp_rules_team(const bp_rules_t *rules, bp_rule_kind_t kind, const char *team)
{
	if (rules == NULL || team == NULL)
		return NULL;
	if (kind == BP_RULE_QUOTA)
		return g_hash_table_lookup(rules->quotas, team);
	if (kind == BP_RULE_WEIGHT)
		return g_hash_table_lookup(rules->weights, team);
	return NULL;
}

/* Returns the name of a class as written in rules and shown to operators. */
const char *
bp_task_class_name(bp_task_class_t klass)
{
	switch (klass) {
	case BP_CLASS_SERVICE:
		return "service";
	case BP_CLASS_URGENT:
		return "urgent";
	case BP_CLASS_BATCH:
		return "batch";
	}
	return "unknown";
}
