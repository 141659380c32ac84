#include "bulrushpost/amount.h"
#include "state/rules_internal.h"

#include <string.h>

#define WEIGHT_MAX 1000
#define SPREAD_MAX 100000
#define HEADROOM_MAX_PERCENT 90

static const char *const class_words[] = {"service", "urgent", "batch", NULL};
static const char *const subject_words[] = {"team", "job", "class", NULL};
static const char *const scope_words[] = {"zone", "rack", "vm", NULL};
static const char *const verb_words[] = {
    "quota", "weight", "only", "never", "spread", "apart", "headroom", NULL};
static const char *const quota_words[] = {
    "cpu", "memory", "accelerators", NULL};

static int
read_subject(bp_rules_reader_t *reader, bp_subject_t *out)
{
	const char *word = bp_rules_next_word(reader);
	int kind = bp_rules_index_of(word, subject_words);
	int klass;

	switch (kind) {
	case 0:
		out->kind = BP_SUBJECT_TEAM;
		return bp_rules_read_name(reader,
		    "a team name of at most 128 bytes without a comma",
		    &out->name);
	case 1:
		out->kind = BP_SUBJECT_JOB;
		if (reader->words[reader->next] != NULL &&
		    strpbrk(reader->words[reader->next], "[]\\") != NULL)
			return bp_rules_syntax_error(reader,
			    reader->words[reader->next],
			    "a job pattern has only * and ? as wildcards");
		return bp_rules_read_name(reader,
		    "a job pattern of at most 128 bytes without a comma",
		    &out->name);
	case 2:
		out->kind = BP_SUBJECT_CLASS;
		word = bp_rules_next_word(reader);
		klass = bp_rules_index_of(word, class_words);
		if (klass < 0)
			return bp_rules_unknown_word_error(reader, word,
			    class_words, "a class is service, urgent or batch");
		out->klass = (bp_task_class_t)(klass + BP_CLASS_SERVICE);
		return BP_OK;
	default:
		return bp_rules_unknown_word_error(reader, word, subject_words,
		    "a rule is about team NAME, job PATTERN or class "
		    "service|urgent|batch");
	}
}

static int
read_amount(
    bp_rules_reader_t *reader, const char *word, int which, bp_resources_t *out)
{
	const char *value = strchr(word, '=') + 1;

	if (which == 0 && !bp_amount_read_cpu(value, &out->cpu_milli))
		return bp_rules_syntax_error(reader, word,
		    "cpu=N in processors, with at most three decimals");
	if (which == 1 && !bp_amount_read_memory(value, &out->memory_mib))
		return bp_rules_syntax_error(
		    reader, word, "memory=N with suffix M (MiB) or G (GiB)");
	if (which == 2 &&
	    !bp_amount_read_number(value, strlen(value), 0, &out->accelerators))
		return bp_rules_syntax_error(
		    reader, word, "accelerators=N, a whole number");
	return BP_OK;
}

static int
read_quota(bp_rules_reader_t *reader, bp_rule_t *rule)
{
	unsigned int seen = 0;
	const char *word;
	int rc;

	while ((word = bp_rules_next_word(reader)) != NULL) {
		const char *equals = strchr(word, '=');
		char *key = g_strndup(
		    word, equals != NULL ? (size_t)(equals - word) : 0);
		int which = bp_rules_index_of(key, quota_words);

		if (which < 0)
			rc = bp_rules_unknown_word_error(reader,
			    equals != NULL ? key : word, quota_words,
			    "a quota is cpu=N memory=NG accelerators=N");
		else if (seen & (1U << which))
			rc = bp_rules_syntax_error(
			    reader, word, "give each amount once");
		else
			rc = read_amount(reader, word, which, &rule->as.quota);
		g_free(key);
		if (rc != BP_OK)
			return rc;
		seen |= 1U << which;
	}
	if (seen != 7)
		return bp_rules_syntax_error(reader, NULL,
		    "a quota gives all of cpu=N memory=NG accelerators=N");
	return BP_OK;
}

static const char *const *
known_names(const bp_rules_known_names_t *names, bp_scope_t scope)
{
	if (names == NULL)
		return NULL;
	switch (scope) {
	case BP_SCOPE_ZONE:
		return names->zones;
	case BP_SCOPE_RACK:
		return names->racks;
	case BP_SCOPE_VM:
		return names->vms;
	}
	return NULL;
}

/* Suggests the full name (zone/rack) if only the rack part is given. */
static const char *
find_by_last_part(const char *word, const char *const *known)
{
	size_t i;

	for (i = 0; known[i] != NULL; i++) {
		const char *slash = strrchr(known[i], '/');

		if (slash != NULL && strcmp(slash + 1, word) == 0)
			return known[i];
	}
	return NULL;
}

static int
check_known(const bp_rules_reader_t *reader, bp_scope_t scope, const char *name)
{
	const char *const *known = known_names(reader->names, scope);
	const char *const closest[] = {
	    known != NULL ? find_by_last_part(name, known) : NULL, NULL};
	char *expected;
	int rc;

	if (known == NULL || bp_rules_index_of(name, known) >= 0)
		return BP_OK;
	expected = g_strdup_printf("there is no such %s%s%s%s",
	    scope_words[scope], closest[0] != NULL ? "; did you mean " : "",
	    closest[0] != NULL ? closest[0] : "",
	    closest[0] != NULL ? "?" : "");
	rc = closest[0] != NULL
	    ? bp_rules_syntax_error(reader, name, expected)
	    : bp_rules_unknown_word_error(reader, name, known, expected);
	g_free(expected);
	return rc;
}

static int
check_places(const bp_rules_reader_t *reader, bp_scope_t scope, char **names)
{
	size_t i;
	size_t j;
	int rc;

	for (i = 0; names[i] != NULL; i++) {
		if (names[i][0] == '\0')
			return bp_rules_syntax_error(reader,
			    reader->words[reader->next - 1],
			    "names with one comma and no space between them");
		if (strlen(names[i]) > BP_RULES_NAME_MAX_BYTES)
			return bp_rules_syntax_error(
			    reader, names[i], "a name of at most 128 bytes");
		for (j = 0; j < i; j++) {
			if (strcmp(names[i], names[j]) == 0)
				return bp_rules_syntax_error(
				    reader, names[i], "give each name once");
		}
		rc = check_known(reader, scope, names[i]);
		if (rc != BP_OK)
			return rc;
	}
	return BP_OK;
}

static int
read_places(bp_rules_reader_t *reader, bp_rule_t *rule)
{
	const char *word = bp_rules_next_word(reader);
	int scope = bp_rules_index_of(word, scope_words);

	if (scope < 0)
		return bp_rules_unknown_word_error(reader, word, scope_words,
		    "only and never are followed by zone, rack or vm");
	rule->as.places.scope = (bp_scope_t)scope;
	word = bp_rules_next_word(reader);
	if (word == NULL)
		return bp_rules_syntax_error(
		    reader, word, "a list of names: NAME[,NAME...]");
	rule->as.places.names = g_strsplit(word, ",", -1);
	return check_places(
	    reader, rule->as.places.scope, rule->as.places.names);
}

static int
read_spread(bp_rules_reader_t *reader, bp_rule_t *rule)
{
	const char *word;
	int scope;
	int rc;

	rc = bp_rules_read_bounded(reader, 1, SPREAD_MAX,
	    "spread N with N from 1 to 100000", &rule->as.spread.at_most);
	if (rc != BP_OK)
		return rc;
	word = bp_rules_next_word(reader);
	if (word == NULL || strcmp(word, "per") != 0)
		return bp_rules_syntax_error(
		    reader, word, "spread N per rack|zone");
	word = bp_rules_next_word(reader);
	scope = bp_rules_index_of(word, scope_words);
	if (scope != BP_SCOPE_ZONE && scope != BP_SCOPE_RACK)
		return bp_rules_unknown_word_error(
		    reader, word, scope_words, "spread N per rack|zone");
	rule->as.spread.scope = (bp_scope_t)scope;
	return BP_OK;
}

static int
read_apart(bp_rules_reader_t *reader, bp_rule_t *rule)
{
	const char *word = bp_rules_next_word(reader);

	if (word == NULL || strcmp(word, "from") != 0)
		return bp_rules_syntax_error(
		    reader, word, "SUBJECT apart from SUBJECT");
	return read_subject(reader, &rule->as.apart_from);
}

static int
read_headroom(bp_rules_reader_t *reader, bp_rule_t *rule)
{
	const char *word = bp_rules_next_word(reader);
	const char *expected = "headroom N% with N from 0 to 90";
	size_t length = word != NULL ? strlen(word) : 0;

	if (length < 2 || word[length - 1] != '%' ||
	    !bp_amount_read_number(
		word, length - 1, 0, &rule->as.headroom_percent) ||
	    rule->as.headroom_percent > HEADROOM_MAX_PERCENT)
		return bp_rules_syntax_error(reader, word, expected);
	return BP_OK;
}

/* Quota and weight apply to teams only, headroom to the batch class only. */
static int
check_subject_kind(const bp_rules_reader_t *reader, const bp_rule_t *rule)
{
	const bp_subject_t *subject = &rule->subject;

	if ((rule->kind == BP_RULE_QUOTA || rule->kind == BP_RULE_WEIGHT) &&
	    subject->kind != BP_SUBJECT_TEAM)
		return bp_rules_syntax_error(reader, reader->words[0],
		    "quota and weight are given for team NAME");
	if (rule->kind == BP_RULE_HEADROOM &&
	    (subject->kind != BP_SUBJECT_CLASS ||
		subject->klass != BP_CLASS_BATCH))
		return bp_rules_syntax_error(reader, reader->words[0],
		    "headroom is given for class batch");
	return BP_OK;
}

static int
read_body(bp_rules_reader_t *reader, bp_rule_t *rule)
{
	switch (rule->kind) {
	case BP_RULE_QUOTA:
		return read_quota(reader, rule);
	case BP_RULE_WEIGHT:
		return bp_rules_read_bounded(reader, 1, WEIGHT_MAX,
		    "weight N with N from 1 to 1000", &rule->as.weight);
	case BP_RULE_ONLY:
	case BP_RULE_NEVER:
		return read_places(reader, rule);
	case BP_RULE_SPREAD:
		return read_spread(reader, rule);
	case BP_RULE_APART:
		return read_apart(reader, rule);
	case BP_RULE_HEADROOM:
		return read_headroom(reader, rule);
	}
	return BP_EINTERNAL;
}

static int
read_rule(bp_rules_reader_t *reader, bp_rule_t *rule)
{
	static const bp_rule_kind_t kinds[] = {BP_RULE_QUOTA, BP_RULE_WEIGHT,
	    BP_RULE_ONLY, BP_RULE_NEVER, BP_RULE_SPREAD, BP_RULE_APART,
	    BP_RULE_HEADROOM};
	const char *word;
	int verb;
	int rc;

	/* The kind must not own memory in the union until the verb is known. */
	rule->kind = BP_RULE_WEIGHT;
	rc = read_subject(reader, &rule->subject);
	if (rc != BP_OK)
		return rc;
	word = bp_rules_next_word(reader);
	verb = bp_rules_index_of(word, verb_words);
	if (verb < 0)
		return bp_rules_unknown_word_error(reader, word, verb_words,
		    "quota, weight, only, never, spread, apart or headroom");
	rule->kind = kinds[verb];
	rc = check_subject_kind(reader, rule);
	if (rc == BP_OK)
		rc = read_body(reader, rule);
	if (rc == BP_OK && reader->words[reader->next] != NULL)
		rc = bp_rules_syntax_error(reader, reader->words[reader->next],
		    "nothing may follow before # who asked");
	return rc;
}

/*
 * Reads one line of a rule file. *out stays NULL for a blank line and for a
 * line that holds only a comment.
 */
int
bp_rules_parse_line(bp_rule_t **out, const char *line, uint32_t number,
    const bp_rules_known_names_t *names, bp_error_t *err)
{
	bp_rules_reader_t reader = {number, NULL, 0, names, err};
	const char *hash = strchr(line, '#');
	char *body = g_strndup(
	    line, hash != NULL ? (size_t)(hash - line) : strlen(line));
	bp_rule_t *rule = NULL;
	int rc;

	reader.words = bp_rules_split_words(body);
	rc = bp_rules_check_characters(&reader, line);
	if (rc != BP_OK || reader.words[0] == NULL)
		goto out;
	rule = g_new0(bp_rule_t, 1);
	rule->line = number;
	rule->text = g_strstrip(g_strdup(line));
	rule->requested_by = g_strstrip(g_strdup(hash != NULL ? hash + 1 : ""));
	if (rule->requested_by[0] == '\0')
		rc = bp_rules_syntax_error(&reader, rule->text,
		    "end the line with # and who asked for the rule");
	else
		rc = read_rule(&reader, rule);
out:
	g_strfreev(reader.words);
	g_free(body);
	if (rc != BP_OK) {
		bp_rule_free(rule);
		rule = NULL;
	}
	*out = rule;
	return rc;
}
