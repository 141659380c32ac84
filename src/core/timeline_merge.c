#include "bulrushpost/timeline.h"

#include <json-glib/json-glib.h>
#include <string.h>

/* An event with its sort keys. */
typedef struct {
	bp_event_t *event;
	uint64_t offset;
	int64_t sort_ms;
} sort_entry_t;

/* Returns one event as a JSON object on one line. Free with g_free. */
char *
bp_event_json(const bp_event_t *event)
{
	JsonObject *object = json_object_new();
	JsonNode *node = json_node_new(JSON_NODE_OBJECT);
	char *line;

	json_object_set_string_member(object, "process", event->process);
	json_object_set_int_member(object, "seq", (gint64)event->seq);
	json_object_set_int_member(object, "wall_ms", event->wall_ms);
	json_object_set_int_member(object, "lamport", (gint64)event->lamport);
	json_object_set_string_member(object, "kind", event->kind);
	json_object_set_string_member(object, "job", event->job);
	json_object_set_string_member(object, "vm", event->vm);
	json_object_set_string_member(object, "zone", event->zone);
	json_object_set_string_member(object, "text", event->text);
	json_node_take_object(node, object);
	line = json_to_string(node, FALSE);
	json_node_unref(node);
	return line;
}

static char *
take_text(JsonObject *object, const char *name)
{
	JsonNode *node = json_object_get_member(object, name);

	if (node == NULL || !JSON_NODE_HOLDS_VALUE(node) ||
	    json_node_get_value_type(node) != G_TYPE_STRING)
		return g_strdup("");
	return json_node_dup_string(node);
}

static int64_t
take_number(JsonObject *object, const char *name)
{
	JsonNode *node = json_object_get_member(object, name);

	if (node == NULL || !JSON_NODE_HOLDS_VALUE(node) ||
	    json_node_get_value_type(node) != G_TYPE_INT64)
		return 0;
	return json_node_get_int(node);
}

static bp_event_t *
read_event(JsonObject *object)
{
	bp_event_t *event = g_new0(bp_event_t, 1);

	event->process = take_text(object, "process");
	event->seq = (uint64_t)take_number(object, "seq");
	event->wall_ms = take_number(object, "wall_ms");
	event->lamport = (uint64_t)take_number(object, "lamport");
	event->kind = take_text(object, "kind");
	event->job = take_text(object, "job");
	event->vm = take_text(object, "vm");
	event->zone = take_text(object, "zone");
	event->text = take_text(object, "text");
	return event;
}

/* See the header. Returns BP_EINVALID at the first line that is no object. */
int
bp_timeline_read_lines(
    GPtrArray *events, const char *lines, size_t size_bytes, bp_error_t *err)
{
	char *text = g_strndup(size_bytes > 0 ? lines : "", size_bytes);
	char **each = g_strsplit(text, "\n", -1);
	int rc = BP_OK;
	guint i;

	for (i = 0; each[i] != NULL && rc == BP_OK; i++) {
		JsonNode *node;

		if (each[i][0] == '\0')
			continue;
		node = json_from_string(each[i], NULL);
		if (node != NULL && JSON_NODE_HOLDS_OBJECT(node))
			g_ptr_array_add(
			    events, read_event(json_node_get_object(node)));
		else
			rc = bp_error_set(err, BP_EINVALID,
			    "line %u of a timeline is not a JSON object",
			    i + 1);
		if (node != NULL)
			json_node_unref(node);
	}
	g_strfreev(each);
	g_free(text);
	return rc;
}

static gint
compare_process(gconstpointer a, gconstpointer b)
{
	const sort_entry_t *x = a;
	const sort_entry_t *y = b;
	int order = strcmp(x->event->process, y->event->process);

	if (order != 0)
		return order;
	return x->event->seq < y->event->seq ? -1
					     : x->event->seq > y->event->seq;
}

static gint
compare_causal(gconstpointer a, gconstpointer b)
{
	const sort_entry_t *x = a;
	const sort_entry_t *y = b;

	if (x->offset != y->offset)
		return x->offset < y->offset ? -1 : 1;
	if (x->sort_ms != y->sort_ms)
		return x->sort_ms < y->sort_ms ? -1 : 1;
	return compare_process(a, b);
}

/*
 * Sorts by log offset, then by wall time. Events of different processes at
 * one offset are concurrent, so their wall times decide. Within a process the
 * wall time is treated as non-decreasing, which preserves the order of its
 * events.
 */
void
bp_timeline_merge(GPtrArray *events)
{
	GArray *keyed = g_array_new(FALSE, FALSE, sizeof(sort_entry_t));
	const char *process = NULL;
	uint64_t offset = 0;
	int64_t latest_ms = 0;
	guint i;

	for (i = 0; i < events->len; i++) {
		sort_entry_t one = {g_ptr_array_index(events, i), 0, 0};

		g_array_append_val(keyed, one);
	}
	g_array_sort(keyed, compare_process);
	for (i = 0; i < keyed->len; i++) {
		sort_entry_t *one = &g_array_index(keyed, sort_entry_t, i);

		one->offset = one->event->lamport >> BP_TIMELINE_OFFSET_SHIFT;
		if (process == NULL ||
		    strcmp(process, one->event->process) != 0 ||
		    offset != one->offset)
			latest_ms = one->event->wall_ms;
		latest_ms = MAX(latest_ms, one->event->wall_ms);
		one->sort_ms = latest_ms;
		process = one->event->process;
		offset = one->offset;
	}
	g_array_sort(keyed, compare_causal);
	for (i = 0; i < keyed->len; i++)
		events->pdata[i] = g_array_index(keyed, sort_entry_t, i).event;
	g_array_unref(keyed);
}
