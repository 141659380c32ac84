#include "standin/executor.h"

#include <string.h>

static void
execution_free(gpointer data)
{
	execution_t *x = data;

	g_free(x->request_id);
	g_free(x->key);
	g_free(x->path);
	g_free(x);
}

/* Prepares an empty history. */
void
executor_history_init(executor_service_t *service)
{
	service->history = g_ptr_array_new_with_free_func(execution_free);
}

/* Frees all entries. */
void
executor_history_clear(executor_service_t *service)
{
	g_ptr_array_unref(service->history);
}

/* Records that a request takes a slot now. */
execution_t *
executor_history_add(executor_t *executor, SoupServerMessage *message)
{
	SoupMessageHeaders *headers =
	    soup_server_message_get_request_headers(message);
	GUri *uri = soup_server_message_get_uri(message);
	execution_t *x = g_new0(execution_t, 1);

	x->request_id =
	    g_strdup(soup_message_headers_get_one(headers, "X-Request-Id"));
	x->key =
	    g_strdup(soup_message_headers_get_one(headers, "Idempotency-Key"));
	x->path = g_strdup(g_uri_get_path(uri));
	x->port = executor->port;
	x->start_us = bp_clock_mono_us(executor->service->clock);
	if (executor->leaving_since_us != 0)
		x->leaving_us = x->start_us - executor->leaving_since_us;
	g_ptr_array_add(executor->service->history, x);
	return x;
}

/* Builds a JSON array of the entries from the given index on. */
void
executor_history_build(
    const executor_service_t *service, JsonBuilder *builder, uint32_t from)
{
	guint i;

	json_builder_begin_array(builder);
	for (i = from; i < service->history->len; i++) {
		const execution_t *x = g_ptr_array_index(service->history, i);

		json_builder_begin_object(builder);
		standin_build_text(builder, "request_id", x->request_id);
		standin_build_text(builder, "key", x->key);
		standin_build_text(builder, "path", x->path);
		standin_build_int(builder, "start_us", x->start_us);
		standin_build_int(builder, "end_us", x->end_us);
		standin_build_int(builder, "port", x->port);
		standin_build_int(builder, "leaving_us", x->leaving_us);
		json_builder_end_object(builder);
	}
	json_builder_end_array(builder);
}

static void
count(GHashTable *counts, const char *name)
{
	gsize n;

	if (name == NULL || *name == '\0')
		return;
	n = GPOINTER_TO_SIZE(g_hash_table_lookup(counts, name));
	g_hash_table_insert(counts, (gpointer)name, GSIZE_TO_POINTER(n + 1));
}

static void
build_counts(JsonBuilder *builder, const char *name, GHashTable *counts)
{
	GHashTableIter iter;
	gpointer key;
	gpointer value;

	json_builder_set_member_name(builder, name);
	json_builder_begin_object(builder);
	g_hash_table_iter_init(&iter, counts);
	while (g_hash_table_iter_next(&iter, &key, &value))
		standin_build_int(builder, key, GPOINTER_TO_INT(value));
	json_builder_end_object(builder);
	g_hash_table_unref(counts);
}

/* Builds {"keys":{KEY:n},"requests":{ID:n}}: executions of each. */
void
executor_counts_build(const executor_service_t *service, JsonBuilder *builder)
{
	GHashTable *keys = g_hash_table_new(g_str_hash, g_str_equal);
	GHashTable *requests = g_hash_table_new(g_str_hash, g_str_equal);
	guint i;

	for (i = 0; i < service->history->len; i++) {
		const execution_t *x = g_ptr_array_index(service->history, i);

		count(keys, x->key);
		count(requests, x->request_id);
	}
	json_builder_begin_object(builder);
	build_counts(builder, "keys", keys);
	build_counts(builder, "requests", requests);
	json_builder_end_object(builder);
}
