#include "clients/jsondoc.h"

#include <string.h>

/* The characters that RFC 8259 allows outside of strings. */
#define OUTSIDE_STRINGS " \t\r\n{}[]:,+-.0123456789eEtrufalsn"

/* A literal with fewer digits fits 64 bits. */
#define INTEGER_DIGITS_MAX 18
/* Code units of UTF-16 pairs. */
#define HIGH_SURROGATE_FIRST 0xd800
#define LOW_SURROGATE_FIRST 0xdc00
#define LOW_SURROGATE_LAST 0xdfff
#define REPLACEMENT_ESCAPE "\\ufffd"
#define ESCAPE_BYTES 6

/* A document that is checked and copied. */
typedef struct {
	const char *text;
	size_t size_bytes;
	size_t at;
	uint32_t depth;
	bool replace_invalid;
	GString *copy; /* NULL until it differs from the text */
} scan_t;

/* Starts the copy, which then holds the text up to the current position. */
static void
copy_from_here(scan_t *scan)
{
	if (scan->copy == NULL)
		scan->copy = g_string_new_len(scan->text, (gssize)scan->at);
}

static void
take(scan_t *scan, size_t size_bytes)
{
	size_bytes = MIN(size_bytes, scan->size_bytes - scan->at);
	if (scan->copy != NULL)
		g_string_append_len(
		    scan->copy, scan->text + scan->at, (gssize)size_bytes);
	scan->at += size_bytes;
}

/* Returns the code unit of a \u escape, or -1 for any other text. */
static int32_t
code_unit_at(const scan_t *scan, size_t at)
{
	int32_t unit = 0;
	size_t i;

	if (at > scan->size_bytes || scan->size_bytes - at < ESCAPE_BYTES ||
	    strncmp(scan->text + at, "\\u", 2) != 0)
		return -1;
	for (i = 2; i < ESCAPE_BYTES; i++) {
		int digit = g_ascii_xdigit_value(scan->text[at + i]);

		if (digit < 0)
			return -1;
		unit = unit * 16 + digit;
	}
	return unit;
}

static bool
is_low_surrogate(int32_t unit)
{
	return unit >= LOW_SURROGATE_FIRST && unit <= LOW_SURROGATE_LAST;
}

static bool
is_high_surrogate(int32_t unit)
{
	return unit >= HIGH_SURROGATE_FIRST && unit < LOW_SURROGATE_FIRST;
}

/*
 * Strings of json-glib end at a NUL character, and it decodes a surrogate
 * without its pair to bytes that are no UTF-8.
 */
static int
scan_escape(scan_t *scan, bp_error_t *err)
{
	int32_t unit = code_unit_at(scan, scan->at);

	if (is_high_surrogate(unit) &&
	    is_low_surrogate(code_unit_at(scan, scan->at + ESCAPE_BYTES))) {
		take(scan, (size_t)2 * ESCAPE_BYTES);
		return BP_OK;
	}
	if (unit != 0 && !is_high_surrogate(unit) && !is_low_surrogate(unit)) {
		take(scan, 2);
		return BP_OK;
	}
	if (!scan->replace_invalid)
		return bp_error_set(err, BP_EINVALID,
		    "a string contains \\u%04x%s at byte %zu", (unsigned)unit,
		    unit != 0 ? " without its pair" : "", scan->at);
	copy_from_here(scan);
	g_string_append(scan->copy, REPLACEMENT_ESCAPE);
	scan->at += ESCAPE_BYTES;
	return BP_OK;
}

static int
scan_string(scan_t *scan, bp_error_t *err)
{
	const char *text = scan->text;
	size_t end = scan->at + 1;

	while (end < scan->size_bytes && text[end] != '"') {
		if (text[end] != '\\') {
			end++;
			continue;
		}
		take(scan, end - scan->at);
		if (scan_escape(scan, err) != BP_OK)
			return BP_EINVALID;
		end = scan->at;
	}
	take(scan, end + 1 - scan->at);
	return BP_OK;
}

/*
 * json-glib wraps integers that exceed 64 bits. With an exponent it reads them
 * as floating point numbers, which keep their magnitude.
 */
static void
scan_number(scan_t *scan)
{
	size_t end = scan->at;
	char next;

	while (end < scan->size_bytes && g_ascii_isdigit(scan->text[end]))
		end++;
	next = end < scan->size_bytes ? scan->text[end] : '\0';
	if (end - scan->at > INTEGER_DIGITS_MAX && next != '.' && next != 'e' &&
	    next != 'E') {
		copy_from_here(scan);
		take(scan, end - scan->at);
		g_string_append(scan->copy, "e0");
		return;
	}
	while (end < scan->size_bytes && scan->text[end] != '\0' &&
	    strchr("+-.eE0123456789", scan->text[end]) != NULL)
		end++;
	take(scan, end - scan->at);
}

static int
scan_other(scan_t *scan, uint32_t max_depth, bp_error_t *err)
{
	char c = scan->text[scan->at];

	if (c == '\0' || strchr(OUTSIDE_STRINGS, c) == NULL)
		return bp_error_set(err, BP_EINVALID,
		    "invalid character at byte %zu", scan->at);
	if (c == '{' || c == '[')
		scan->depth++;
	else if ((c == '}' || c == ']') && scan->depth > 0)
		scan->depth--;
	if (scan->depth > max_depth)
		return bp_error_set(err, BP_EINVALID,
		    "more than %u levels at byte %zu", (unsigned)max_depth,
		    scan->at);
	take(scan, 1);
	return BP_OK;
}

/*
 * Checks depth and characters before parsing, because json-glib recurses for
 * each level and accepts comments and single quotes. Copies the text where
 * json-glib would misread it.
 */
static int
scan_text(scan_t *scan, uint32_t max_depth, bp_error_t *err)
{
	int rc = BP_OK;

	while (scan->at < scan->size_bytes && rc == BP_OK) {
		char c = scan->text[scan->at];

		if (c == '"')
			rc = scan_string(scan, err);
		else if (g_ascii_isdigit(c))
			scan_number(scan);
		else
			rc = scan_other(scan, max_depth, err);
	}
	return rc;
}

/* The parser knows its line only until it returns: that of the last token that
 * it took, which may be before the wrong one. */
static void
on_syntax_error(JsonParser *parser, const GError *error, gpointer data)
{
	guint *line = data;

	(void)error;
	*line = json_parser_get_current_line(parser);
}

static int
parse(JsonParser **out, scan_t *scan, uint32_t max_depth, bp_error_t *err)
{
	JsonParser *parser = NULL;
	JsonNode *root;
	guint line = 0;
	int rc = BP_OK;

	*out = NULL;
	if (!g_utf8_validate_len(scan->text, scan->size_bytes, NULL))
		rc = bp_error_set(err, BP_EINVALID, "not valid UTF-8");
	if (rc == BP_OK)
		rc = scan_text(scan, max_depth, err);
	if (rc != BP_OK)
		goto cleanup;
	parser = json_parser_new_immutable();
	g_signal_connect(parser, "error", G_CALLBACK(on_syntax_error), &line);
	if (!json_parser_load_from_data(parser,
		scan->copy != NULL ? scan->copy->str : scan->text,
		scan->copy != NULL ? (gssize)scan->copy->len
				   : (gssize)scan->size_bytes,
		NULL))
		rc = bp_error_set(err, BP_EINVALID,
		    "not a JSON object: syntax error in line %u or later",
		    line);
	else if ((root = json_parser_get_root(parser)) != NULL &&
	    JSON_NODE_HOLDS_OBJECT(root))
		*out = g_steal_pointer(&parser);
	else
		rc = bp_error_set(err, BP_EINVALID, "not a JSON object");
cleanup:
	g_clear_object(&parser);
	if (scan->copy != NULL)
		(void)g_string_free(scan->copy, TRUE);
	return rc;
}

/*
 * Parses a JSON object with at most max_depth levels. Integers that exceed 64
 * bits become floating point numbers. The caller frees the parser with
 * g_object_unref. Returns BP_EINVALID for any other text, and for a string with
 * a NUL character or a single surrogate.
 */
int
bp_json_parse(JsonParser **out, const char *text, size_t size_bytes,
    uint32_t max_depth, bp_error_t *err)
{
	scan_t scan = {text, size_bytes, 0, 0, false, NULL};

	return parse(out, &scan, max_depth, err);
}

/* Does the same, but replaces NUL characters and single surrogates in strings
 * by U+FFFD: for a document of which one string must not spoil the rest. */
int
bp_json_parse_all(JsonParser **out, const char *text, size_t size_bytes,
    uint32_t max_depth, bp_error_t *err)
{
	scan_t scan = {text, size_bytes, 0, 0, true, NULL};

	return parse(out, &scan, max_depth, err);
}

/*
 * Reads an integer member in the range 0 to max. *out is unchanged if the
 * member is missing. Returns BP_EINVALID for any other type or value.
 */
int
bp_json_uint(uint64_t *out, JsonObject *object, const char *member,
    uint64_t max, bp_error_t *err)
{
	JsonNode *node = json_object_get_member(object, member);

	if (node == NULL)
		return BP_OK;
	if (!JSON_NODE_HOLDS_VALUE(node) ||
	    json_node_get_value_type(node) != G_TYPE_INT64 ||
	    json_node_get_int(node) < 0 ||
	    (uint64_t)json_node_get_int(node) > max)
		return bp_error_set(
		    err, BP_EINVALID, "%s is not an integer in range", member);
	*out = (uint64_t)json_node_get_int(node);
	return BP_OK;
}

/*
 * Reads a string member of at most max_bytes; the parser owns the string.
 * *out is unchanged if the member is missing. Returns BP_EINVALID for any
 * other type and for a longer string.
 */
int
bp_json_text(const char **out, JsonObject *object, const char *member,
    size_t max_bytes, bp_error_t *err)
{
	JsonNode *node = json_object_get_member(object, member);

	if (node == NULL)
		return BP_OK;
	if (!JSON_NODE_HOLDS_VALUE(node) ||
	    json_node_get_value_type(node) != G_TYPE_STRING ||
	    strlen(json_node_get_string(node)) > max_bytes)
		return bp_error_set(err, BP_EINVALID,
		    "%s is not a string of at most %zu bytes", member,
		    max_bytes);
	*out = json_node_get_string(node);
	return BP_OK;
}
