#include "standin/server.h"

/* Parses the request body; NULL when it is not JSON. */
JsonParser *
standin_body_json(SoupServerMessage *message)
{
	SoupMessageBody *body = soup_server_message_get_request_body(message);
	GBytes *bytes = soup_message_body_flatten(body);
	JsonParser *parser = json_parser_new();
	gsize size = 0;
	const char *text = g_bytes_get_data(bytes, &size);

	if (size == 0 ||
	    !json_parser_load_from_data(parser, text, (gssize)size, NULL))
		g_clear_object(&parser);
	g_bytes_unref(bytes);
	return parser;
}

/* Returns the object at the root of a parsed body, or NULL. */
JsonObject *
standin_body_object(JsonParser *parser)
{
	JsonNode *root = parser != NULL ? json_parser_get_root(parser) : NULL;

	if (root == NULL || !JSON_NODE_HOLDS_OBJECT(root))
		return NULL;
	return json_node_get_object(root);
}

/* Reads an optional member. */
bool
standin_json_bool(JsonObject *object, const char *name, bool fallback)
{
	return json_object_get_boolean_member_with_default(
	    object, name, fallback);
}

/* Reads an optional member. */
int64_t
standin_json_int(JsonObject *object, const char *name, int64_t fallback)
{
	return json_object_get_int_member_with_default(object, name, fallback);
}

/* Reads an optional member; NULL when it is missing. */
const char *
standin_json_text(JsonObject *object, const char *name)
{
	return json_object_get_string_member_with_default(object, name, NULL);
}

/* Reads a number from the query part of the URL; query may be NULL. */
uint64_t
standin_query_uint(GHashTable *query, const char *name, uint64_t fallback)
{
	const char *text =
	    query != NULL ? g_hash_table_lookup(query, name) : NULL;
	guint64 value = 0;

	if (text == NULL ||
	    !g_ascii_string_to_unsigned(text, 10, 0, G_MAXUINT64, &value, NULL))
		return fallback;
	return value;
}

/* Adds an integer member. */
void
standin_build_int(JsonBuilder *builder, const char *name, int64_t value)
{
	json_builder_set_member_name(builder, name);
	json_builder_add_int_value(builder, value);
}

/* Adds a string member; NULL becomes an empty string. */
void
standin_build_text(JsonBuilder *builder, const char *name, const char *value)
{
	json_builder_set_member_name(builder, name);
	json_builder_add_string_value(builder, value != NULL ? value : "");
}

/* Adds a boolean member. */
void
standin_build_bool(JsonBuilder *builder, const char *name, bool value)
{
	json_builder_set_member_name(builder, name);
	json_builder_add_boolean_value(builder, value);
}
