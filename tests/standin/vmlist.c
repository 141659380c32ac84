#include "standin/server.h"

#include <string.h>

typedef struct {
	char *text; /* JSON as served by GET /vms */
	int64_t version;
	int lag_ms; /* until a change can be seen */
	int64_t reads;
} vmlist_t;

typedef struct {
	vmlist_t *list;
	JsonNode *vms; /* array */
} change_t;

/* Makes a list visible under the next version, and frees it. */
static void
publish(vmlist_t *list, JsonNode *vms)
{
	JsonBuilder *b = json_builder_new();
	JsonNode *root;

	list->version++;
	json_builder_begin_object(b);
	standin_build_int(b, "version", list->version);
	json_builder_set_member_name(b, "vms");
	json_builder_add_value(b, vms);
	json_builder_end_object(b);
	root = json_builder_get_root(b);
	g_free(list->text);
	list->text = json_to_string(root, FALSE);
	json_node_unref(root);
	g_object_unref(b);
}

static gboolean
on_visible(gpointer data)
{
	change_t *change = data;

	publish(change->list, change->vms);
	g_free(change);
	return G_SOURCE_REMOVE;
}

/* Takes an array of VMs, or an object with such an array as "vms". */
static void
handle_put(vmlist_t *list, SoupServerMessage *message)
{
	JsonParser *parser = standin_body_json(message);
	JsonObject *object = standin_body_object(parser);
	JsonNode *vms = NULL;
	change_t *change;

	if (object != NULL)
		vms = json_object_get_member(object, "vms");
	else if (parser != NULL)
		vms = json_parser_get_root(parser);
	if (vms == NULL || !JSON_NODE_HOLDS_ARRAY(vms)) {
		standin_reply_text(
		    message, SOUP_STATUS_BAD_REQUEST, "no JSON array\n");
		g_clear_object(&parser);
		return;
	}
	vms = json_node_copy(vms);
	if (list->lag_ms > 0) {
		change = g_new0(change_t, 1);
		change->list = list;
		change->vms = vms;
		g_timeout_add((guint)list->lag_ms, on_visible, change);
	} else {
		publish(list, vms);
	}
	g_object_unref(parser);
	standin_reply_text(message, SOUP_STATUS_OK, "ok\n");
}

static void
handle_lag(vmlist_t *list, SoupServerMessage *message)
{
	JsonParser *parser = standin_body_json(message);
	JsonObject *object = standin_body_object(parser);

	if (object != NULL)
		list->lag_ms =
		    (int)standin_json_int(object, "lag_ms", list->lag_ms);
	g_clear_object(&parser);
	standin_reply_text(message, SOUP_STATUS_OK, "ok\n");
}

/* Answers 304 when the caller has this version already. */
static void
handle_get(vmlist_t *list, SoupServerMessage *message)
{
	const char *known = soup_message_headers_get_one(
	    soup_server_message_get_request_headers(message), "If-None-Match");
	char tag[32];

	list->reads++;
	g_snprintf(tag, sizeof(tag), "\"%" G_GINT64_FORMAT "\"", list->version);
	soup_message_headers_replace(
	    soup_server_message_get_response_headers(message), "ETag", tag);
	if (known != NULL && strcmp(known, tag) == 0)
		soup_server_message_set_status(
		    message, SOUP_STATUS_NOT_MODIFIED, NULL);
	else
		standin_reply(message, SOUP_STATUS_OK, "application/json",
		    list->text, strlen(list->text));
}

static void
handle_vmlist(
    SoupServerMessage *message, const char *path, GHashTable *query, void *data)
{
	vmlist_t *list = data;

	(void)query;
	if (strcmp(path, "/vms") == 0)
		handle_get(list, message);
	else if (strcmp(path, "/admin/vms") == 0)
		handle_put(list, message);
	else if (strcmp(path, "/admin/lag") == 0)
		handle_lag(list, message);
	else
		standin_reply_text(
		    message, SOUP_STATUS_NOT_FOUND, "no such path\n");
}

/* The VM list of the platform; a change is seen after a lag. */
int
standin_vmlist_main(int argc, char **argv)
{
	vmlist_t list = {0};
	standin_server_t *server = NULL;
	int port = 0;
	const GOptionEntry entries[] = {
	    {"port", 0, 0, G_OPTION_ARG_INT, &port, "Port", "P"},
	    {"lag-ms", 0, 0, G_OPTION_ARG_INT, &list.lag_ms,
		"Time until a change is visible", "N"},
	    G_OPTION_ENTRY_NULL,
	};
	int rc;

	if (!standin_options(&argc, &argv, entries))
		return 2;
	list.text = g_strdup("{\"version\":0,\"vms\":[]}");
	if (standin_server_new(
		&server, (uint16_t)port, 0, handle_vmlist, &list) != 0)
		return 1;
	standin_announce("LISTENING", standin_server_port(server));
	rc = standin_run();
	standin_server_free(server);
	g_free(list.text);
	return rc;
}
