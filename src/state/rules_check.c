#include "state/rules_internal.h"

#include <string.h>

static bool
same_subject(const bp_subject_t *a, const bp_subject_t *b)
{
	if (a->kind != b->kind)
		return false;
	if (a->kind == BP_SUBJECT_CLASS)
		return a->klass == b->klass;
	return strcmp(a->name, b->name) == 0;
}

static bool
has_name(char *const *names, const char *name)
{
	return g_strv_contains((const char *const *)names, name);
}

static bool
same_places(const bp_rule_t *a, const bp_rule_t *b)
{
	size_t i;

	if (a->as.places.scope != b->as.places.scope ||
	    g_strv_length(a->as.places.names) !=
		g_strv_length(b->as.places.names))
		return false;
	for (i = 0; a->as.places.names[i] != NULL; i++) {
		if (!has_name(b->as.places.names, a->as.places.names[i]))
			return false;
	}
	return true;
}

/* Apart is symmetric, so the order of the two subjects does not matter. */
static bool
same_apart(const bp_rule_t *a, const bp_rule_t *b)
{
	return (same_subject(&a->subject, &b->subject) &&
		   same_subject(&a->as.apart_from, &b->as.apart_from)) ||
	    (same_subject(&a->subject, &b->as.apart_from) &&
		same_subject(&a->as.apart_from, &b->subject));
}

/* Whether two rules of one kind are duplicates or contradict each other. */
static bool
rules_conflict(const bp_rule_t *a, const bp_rule_t *b)
{
	if (a->kind != b->kind)
		return false;
	if (a->kind == BP_RULE_APART)
		return same_apart(a, b);
	if (!same_subject(&a->subject, &b->subject))
		return false;
	switch (a->kind) {
	case BP_RULE_ONLY:
	case BP_RULE_NEVER:
		return same_places(a, b);
	case BP_RULE_SPREAD:
		return a->as.spread.scope == b->as.spread.scope;
	case BP_RULE_QUOTA:
	case BP_RULE_WEIGHT:
	case BP_RULE_HEADROOM:
	case BP_RULE_APART:
		return true;
	}
	return false;
}

/* Whether the rule lists the place or the zone that contains it. */
static bool
covers(const bp_rule_t *rule, bp_scope_t scope, const char *place)
{
	const char *slash;
	char *zone;
	bool found;

	if (rule->as.places.scope == scope)
		return has_name(rule->as.places.names, place);
	if (rule->as.places.scope != BP_SCOPE_ZONE || scope != BP_SCOPE_RACK)
		return false;
	slash = strrchr(place, '/');
	if (slash == NULL)
		return false;
	zone = g_strndup(place, (size_t)(slash - place));
	found = has_name(rule->as.places.names, zone);
	g_free(zone);
	return found;
}

/* Whether the names alone show that the place is outside the rule. */
static bool
excludes(const bp_rule_t *rule, bp_scope_t scope, const char *place)
{
	bool comparable = rule->as.places.scope == scope ||
	    (rule->as.places.scope == BP_SCOPE_ZONE && scope == BP_SCOPE_RACK &&
		strchr(place, '/') != NULL);

	if (rule->kind == BP_RULE_NEVER)
		return covers(rule, scope, place);
	return rule->kind == BP_RULE_ONLY && comparable &&
	    !covers(rule, scope, place);
}

static bool
is_excluded(const GPtrArray *rules, const bp_subject_t *subject,
    bp_scope_t scope, const char *place)
{
	guint i;

	for (i = 0; i < rules->len; i++) {
		const bp_rule_t *rule = g_ptr_array_index(rules, i);

		if (same_subject(&rule->subject, subject) &&
		    excludes(rule, scope, place))
			return true;
	}
	return false;
}

static bool
all_excluded(const GPtrArray *rules, const bp_subject_t *subject,
    bp_scope_t scope, const char *const *places)
{
	size_t i;

	if (places == NULL || places[0] == NULL)
		return false;
	for (i = 0; places[i] != NULL; i++) {
		if (!is_excluded(rules, subject, scope, places[i]))
			return false;
	}
	return true;
}

/*
 * Checks that the rules of one subject leave at least one place. Each list of
 * an only rule, and the list of known zones, must keep a member. Known racks
 * and VMs are not considered, as those of a new zone may not be known yet.
 */
static bool
leaves_nothing(const GPtrArray *rules, const bp_subject_t *subject,
    const bp_rules_known_names_t *names)
{
	guint i;

	for (i = 0; i < rules->len; i++) {
		const bp_rule_t *rule = g_ptr_array_index(rules, i);

		if (rule->kind == BP_RULE_ONLY &&
		    same_subject(&rule->subject, subject) &&
		    all_excluded(rules, subject, rule->as.places.scope,
			(const char *const *)rule->as.places.names))
			return true;
	}
	return names != NULL &&
	    all_excluded(rules, subject, BP_SCOPE_ZONE, names->zones);
}

static bool
is_place_rule(const bp_rule_t *rule)
{
	return rule->kind == BP_RULE_ONLY || rule->kind == BP_RULE_NEVER;
}

/* Returns the next place rule of the subject in a direction, or NULL. */
static const bp_rule_t *
neighbour(const GPtrArray *rules, guint index, int step)
{
	const bp_rule_t *rule = g_ptr_array_index(rules, index);
	gint i;

	for (i = (gint)index + step; i >= 0 && i < (gint)rules->len;
	     i += step) {
		const bp_rule_t *other = g_ptr_array_index(rules, (guint)i);

		if (is_place_rule(other) &&
		    same_subject(&other->subject, &rule->subject))
			return other;
	}
	return NULL;
}

/* Rejects a rule that duplicates or contradicts an earlier one. */
int
bp_rules_check_conflicts(
    const GPtrArray *earlier, const bp_rule_t *rule, bp_error_t *err)
{
	guint i;

	for (i = 0; i < earlier->len; i++) {
		const bp_rule_t *other = g_ptr_array_index(earlier, i);

		if (rules_conflict(other, rule))
			return bp_error_set(err, BP_EINVALID,
			    "line %u: %.200s: line %u already says this or "
			    "the contrary; keep one of the two",
			    rule->line, rule->text, other->line);
	}
	return BP_OK;
}

/*
 * Rejects only and never rules of one subject that together leave no place.
 * Each subject is checked once, at its last rule: a check at every rule would
 * take cubic time in the number of rules.
 */
int
bp_rules_check_places(const GPtrArray *rules,
    const bp_rules_known_names_t *names, bp_error_t *err)
{
	guint i;

	for (i = 0; i < rules->len; i++) {
		const bp_rule_t *rule = g_ptr_array_index(rules, i);
		const bp_rule_t *before;

		if (!is_place_rule(rule) || neighbour(rules, i, 1) != NULL ||
		    !leaves_nothing(rules, &rule->subject, names))
			continue;
		before = neighbour(rules, i, -1);
		if (before == NULL)
			return bp_error_set(err, BP_EINVALID,
			    "line %u: %.200s: this excludes every known "
			    "place; leave at least one",
			    rule->line, rule->text);
		return bp_error_set(err, BP_EINVALID,
		    "line %u: %.200s: together with line %u this leaves no "
		    "place; leave at least one",
		    rule->line, rule->text, before->line);
	}
	return BP_OK;
}
