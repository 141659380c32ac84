#include "bulrushpost/amount.h"
#include "bulrushpost/suggest.h"
#include "state/rules_internal.h"

#include <string.h>

/* Longest part of a line that is quoted in an error message. */
#define SHOWN_BYTES 120

/* Truncates words to SHOWN_BYTES at a character boundary. */
static char *
shorten(const char *words)
{
	const char *end;

	if (strlen(words) <= SHOWN_BYTES)
		return g_strdup(words);
	end = g_utf8_find_prev_char(words, words + SHOWN_BYTES + 1);
	return g_strdup_printf("%.*s...", (int)(end - words), words);
}

/* Sets the error for words; NULL stands for the end of the line. */
int
bp_rules_syntax_error(
    const bp_rules_reader_t *reader, const char *words, const char *expected)
{
	char *shown = shorten(words != NULL ? words : "end of line");
	int rc;

	rc = bp_error_set(reader->err, BP_EINVALID, "line %u: %s: %s",
	    reader->line, shown, expected);
	g_free(shown);
	return rc;
}

/* Sets the error for an unknown word and suggests the closest known one. */
int
bp_rules_unknown_word_error(const bp_rules_reader_t *reader, const char *word,
    const char *const *known, const char *expected)
{
	const char *close = word != NULL ? bp_suggest(word, known) : NULL;
	char *advice;
	int rc;

	if (close == NULL)
		return bp_rules_syntax_error(reader, word, expected);
	advice = g_strdup_printf("%s; did you mean %s?", expected, close);
	rc = bp_rules_syntax_error(reader, word, advice);
	g_free(advice);
	return rc;
}

/* Returns the next word, or NULL at the end of the line. */
const char *
bp_rules_next_word(bp_rules_reader_t *reader)
{
	const char *word = reader->words[reader->next];

	if (word != NULL)
		reader->next++;
	return word;
}

/* Returns the position of a word in a list, or -1; word may be NULL. */
int
bp_rules_index_of(const char *word, const char *const *known)
{
	int i;

	for (i = 0; word != NULL && known[i] != NULL; i++) {
		if (strcmp(word, known[i]) == 0)
			return i;
	}
	return -1;
}

/* Reads an integer from low to high. */
int
bp_rules_read_bounded(bp_rules_reader_t *reader, uint32_t low, uint32_t high,
    const char *expected, uint32_t *out)
{
	const char *word = bp_rules_next_word(reader);

	if (word == NULL ||
	    !bp_amount_read_number(word, strlen(word), 0, out) || *out < low ||
	    *out > high)
		return bp_rules_syntax_error(reader, word, expected);
	return BP_OK;
}

/* Reads a name; *out is a copy to be freed with g_free. */
int
bp_rules_read_name(bp_rules_reader_t *reader, const char *expected, char **out)
{
	const char *word = bp_rules_next_word(reader);

	if (word == NULL || strlen(word) > BP_RULES_NAME_MAX_BYTES ||
	    strchr(word, ',') != NULL)
		return bp_rules_syntax_error(reader, word, expected);
	*out = g_strdup(word);
	return BP_OK;
}

/* Splits at blanks; the list ends in NULL and has no empty words. */
char **
bp_rules_split_words(const char *body)
{
	GPtrArray *words = g_ptr_array_new();
	char **parts = g_strsplit_set(body, " \t\r", -1);
	size_t i;

	for (i = 0; parts[i] != NULL; i++) {
		if (parts[i][0] != '\0')
			g_ptr_array_add(words, parts[i]);
		else
			g_free(parts[i]);
	}
	g_free(parts);
	g_ptr_array_add(words, NULL);
	return (char **)g_ptr_array_free(words, FALSE);
}

/* Rejects control characters: they could disguise a quoted line. */
int
bp_rules_check_characters(const bp_rules_reader_t *reader, const char *line)
{
	const char *p;

	for (p = line; *p != '\0'; p++) {
		unsigned char c = (unsigned char)*p;

		if ((c < ' ' && c != '\t' && (c != '\r' || p[1] != '\0')) ||
		    c == 0x7f)
			return bp_rules_syntax_error(reader,
			    "control character",
			    "only printable text, spaces and tabs");
	}
	return BP_OK;
}
