#include "clients/jsondoc.h"

#include <string.h>

/* The characters that RFC 8259 allows outside of strings. */
#define OUTSIDE_STRINGS " \t\r\n{}[]:,+-.0123456789eEtrufalsn"

/*
 * Checks depth and characters before parsing, because json-glib recurses for
 * each level and accepts comments and single quotes.
 */
static int
check_text(
    const char *text, size_t size_bytes, uint32_t max_depth, bp_error_t *err)
{
	uint32_t depth = 0;
	bool in_string = false;
	size_t i;

	for (i = 0; i < size_bytes; i++) {
		char c = text[i];

		if (in_string) {
			if (c == '\\')
				i++;
			in_string = c != '"';
			continue;
		}
		if (c == '"') {
			in_string = true;
			continue;
		}
		if (c == '\0' || strchr(OUTSIDE_STRINGS, c) == NULL)
			return bp_error_set(err, BP_EINVALID,
			    "invalid character at byte %zu", i);
		if (c == '{' || c == '[')
			depth++;
		else if ((c == '}' || c == ']') && depth > 0)
			depth--;
		if (depth > max_depth)
			return bp_error_set(err, BP_EINVALID,
			    "more than %u levels at byte %zu",
			    (unsigned)max_depth, i);
	}
	return BP_OK;
}

/*
 * Parses a JSON object with at most max_depth levels. The caller frees the
 * parser with g_object_unref. Returns BP_EINVALID for any other text.
 */
int
bp_json_parse(JsonParser **out, const char *text, size_t size_bytes,
    uint32_t max_depth, bp_error_t *err)
{
	JsonParser *parser;
	JsonNode *root;
	int rc;

	*out = NULL;
	if (!g_utf8_validate_len(text, size_bytes, NULL))
		return bp_error_set(err, BP_EINVALID, "not valid UTF-8");
	rc = check_text(text, size_bytes, max_depth, err);
	if (rc != BP_OK)
		return rc;
	parser = json_parser_new_immutable();
	if (json_parser_load_from_data(
		parser, text, (gssize)size_bytes, NULL) &&
	    (root = json_parser_get_root(parser)) != NULL &&
	    JSON_NODE_HOLDS_OBJECT(root)) {
		*out = parser;
		return BP_OK;
	}
	g_object_unref(parser);
	return bp_error_set(err, BP_EINVALID, "not a JSON object");
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
