#ifndef BP_STATE_RULES_INTERNAL_H
#define BP_STATE_RULES_INTERNAL_H

#include "bulrushpost/rules.h"

struct bp_rules {
	GPtrArray *rules; /* bp_rule_t */
	GHashTable *quotas; /* team name to bp_rule_t, not owned */
	GHashTable *weights;
};

#define BP_RULES_NAME_MAX_BYTES 128

/* Parser of one line: its words and the next position. */
typedef struct {
	uint32_t line;
	char **words; /* without empty ones */
	size_t next;
	const bp_rules_known_names_t *names;
	bp_error_t *err;
} bp_rules_reader_t;

char **bp_rules_split_words(const char *body);
int bp_rules_check_characters(
    const bp_rules_reader_t *reader, const char *line);
int bp_rules_syntax_error(
    const bp_rules_reader_t *reader, const char *words, const char *expected);
int bp_rules_unknown_word_error(const bp_rules_reader_t *reader,
    const char *word, const char *const *known, const char *expected);
const char *bp_rules_next_word(bp_rules_reader_t *reader);
int bp_rules_index_of(const char *word, const char *const *known);
int bp_rules_read_bounded(bp_rules_reader_t *reader, uint32_t low,
    uint32_t high, const char *expected, uint32_t *out);
int bp_rules_read_name(
    bp_rules_reader_t *reader, const char *expected, char **out);

/* Reads one line; *out is NULL for a blank line or a comment. */
int bp_rules_parse_line(bp_rule_t **out, const char *line, uint32_t number,
    const bp_rules_known_names_t *names, bp_error_t *err);
/* Rejects a rule that duplicates or contradicts an earlier one. */
int bp_rules_check_conflicts(
    const GPtrArray *earlier, const bp_rule_t *rule, bp_error_t *err);
/* Rejects place rules of one subject that leave no place. */
int bp_rules_check_places(const GPtrArray *rules,
    const bp_rules_known_names_t *names, bp_error_t *err);
void bp_rule_free(bp_rule_t *rule);

#endif
