#include "support/queuehttp.h"

#include "proto/work.pb-c.h"

#include <json-glib/json-glib.h>
#include <libsoup/soup.h>
#include <stdlib.h>
#include <string.h>

/* Executors repeat their entries after this time. */
#define HEARTBEAT_MS 1000
#define STEP_MS 5
#define TASK_MS 300
#define LASTING_MS 1000000
#define TASK_CPU 1000
#define PARTITIONS 9
/* The plan has a topic of its own; here it is one more partition. */
#define PLAN_PARTITION 8
#define SEED 1
/* The queue that needs no key. */
#define OPEN_PREFIX "/open/"

/* Callers have given up by then. */
#define SILENT_MS 4000
#define RECORD_BYTES_MAX (256 * 1024)

/* An executor's own address. */
typedef struct {
	SoupServer *server;
	uint16_t port;
} listener_t;

struct bp_queuehttp {
	SoupServer *server;
	uint16_t port;
	listener_t *listeners; /* of the executors */
	bp_clock_virtual_t *clock;
	bp_random_t random;
	bp_qstore_t *store;
	bp_qstore_view_t *store_view;
	bp_qfleet_t *fleet;
	bp_qfleet_view_t *fleet_view;
	GPtrArray *operators; /* char *: values of the key config */
	const char *limits; /* more of them; or NULL */
	GPtrArray *entries; /* char *: keys and values of other writers */
	bool silent; /* the operators' topic is answered after SILENT_MS */
	int64_t last_us;
	guint timer;
};

/* A call that waits for the store, an executor or the time. */
typedef struct {
	bp_queuehttp_t *self;
	SoupServerMessage *message;
	uint64_t from;
	bool owners;
} call_t;

/* Tasks of jobs whose ID begins with f last. */
static int64_t
duration(const char *task, uint64_t run, void *data)
{
	(void)run;
	(void)data;
	return task[0] == 'f' ? LASTING_MS : TASK_MS;
}

static const char *
forbidden(const char *task, void *data)
{
	(void)task;
	(void)data;
	return NULL;
}

static uint32_t
cpu(const char *task, void *data)
{
	(void)task;
	(void)data;
	return TASK_CPU;
}

static void
answer_json(SoupServerMessage *message, guint status, char *text)
{
	soup_server_message_set_status(message, status, NULL);
	soup_server_message_set_response(
	    message, "application/json", SOUP_MEMORY_TAKE, text, strlen(text));
}

static call_t *
wait_for(bp_queuehttp_t *self, SoupServerMessage *message)
{
	call_t *call = g_new0(call_t, 1);

	call->self = self;
	call->message = g_object_ref(message);
	soup_server_message_pause(message);
	return call;
}

static void
finish(call_t *call, guint status, char *text)
{
	answer_json(call->message, status, text);
	soup_server_message_unpause(call->message);
	g_object_unref(call->message);
	g_free(call);
}

/* The caller gets no answer. */
static void
drop(call_t *call)
{
	GIOStream *stream = soup_server_message_steal_connection(call->message);

	g_io_stream_close(stream, NULL, NULL);
	g_object_unref(stream);
	g_object_unref(call->message);
	g_free(call);
}

static void
add_items(GString *text, const GPtrArray *records)
{
	guint i;

	for (i = 0; records != NULL && i < records->len; i++) {
		const bp_store_record_t *record = records->pdata[i];
		gsize size = 0;
		const guchar *bytes = g_bytes_get_data(record->value, &size);
		char *value = g_base64_encode(bytes, size);

		g_string_append_printf(text,
		    "%s{\"key\":\"%s\",\"value\":\"%s\",\"offset\":%d}",
		    i > 0 ? "," : "", record->key, value, (int)record->offset);
		g_free(value);
	}
}

static void
add_parts(GString *text, const GArray *assignments, bool owners)
{
	guint i;

	for (i = 0; assignments != NULL && i < assignments->len; i++) {
		const bp_store_assignment_t *assignment =
		    &g_array_index(assignments, bp_store_assignment_t, i);

		g_string_append_printf(text, "%s[\"t\",%u,", i > 0 ? "," : "",
		    assignment->partition);
		if (owners)
			g_string_append_printf(
			    text, "\"%s\",0]", assignment->member);
		else
			g_string_append(text, "0]");
	}
}

static void
on_store(const bp_store_result_t *result, void *data)
{
	call_t *call = data;
	GString *text = g_string_new("{");

	switch (result->outcome) {
	case BP_STORE_OK:
		g_string_append_printf(text,
		    "\"offset\":0,\"end_offset\":%d,\"generation\":%d,"
		    "\"has_more\":%s,\"items\":[",
		    (int)result->end_offset, (int)result->generation,
		    result->more ? "true" : "false");
		add_items(text, result->records);
		g_string_append(text, "],\"parts\":[");
		add_parts(text, result->assignments, call->owners);
		g_string_append(text, "]}");
		finish(call, 200, g_string_free(text, FALSE));
		return;
	case BP_STORE_FENCED:
		g_string_append(text, "\"reason\":\"fenced\"}");
		finish(call, 409, g_string_free(text, FALSE));
		return;
	case BP_STORE_BAD_SEQUENCE:
		g_string_append(text, "\"reason\":\"seq\"}");
		finish(call, 409, g_string_free(text, FALSE));
		return;
	case BP_STORE_CONFLICT:
		g_string_append_printf(
		    text, "\"end_offset\":%d}", (int)result->end_offset);
		finish(call, 412, g_string_free(text, FALSE));
		return;
	case BP_STORE_UNKNOWN:
		g_string_free(text, TRUE);
		drop(call);
		return;
	case BP_STORE_REFUSED:
	case BP_STORE_REJECTED:
	case BP_STORE_TRUNCATED:
		break;
	}
	g_string_append(text, "}");
	finish(call, 503, g_string_free(text, FALSE));
}

static const char *
param(GHashTable *query, const char *name)
{
	const char *value =
	    query != NULL ? g_hash_table_lookup(query, name) : NULL;

	return value != NULL ? value : "";
}

static uint64_t
number(GHashTable *query, const char *name)
{
	return g_ascii_strtoull(param(query, name), NULL, 10);
}

static uint32_t
partition_of(GHashTable *query)
{
	return g_str_has_suffix(param(query, "topic"), "-plan")
	    ? PLAN_PARTITION
	    : (uint32_t)number(query, "part");
}

static GPtrArray *
read_records(const SoupMessageBody *body)
{
	GPtrArray *records =
	    g_ptr_array_new_with_free_func(bp_store_record_free);
	const uint8_t *at = (const uint8_t *)body->data;
	size_t left = (size_t)body->length;

	while (left > 5) {
		size_t size = (size_t)at[0] << 24 | (size_t)at[1] << 16 |
		    (size_t)at[2] << 8 | at[3];
		size_t key = at[4];
		char *name = g_strndup((const char *)at + 5, key);

		g_ptr_array_add(records,
		    bp_store_record_new(name, at + 5 + key, size - 1 - key));
		g_free(name);
		at += 4 + size;
		left -= 4 + size;
	}
	return records;
}

static void
handle_append(
    bp_queuehttp_t *self, SoupServerMessage *message, GHashTable *query)
{
	bp_store_t *store = bp_qstore_interface(self->store_view);
	bp_store_append_t append = {0};
	GPtrArray *records =
	    read_records(soup_server_message_get_request_body(message));
	guint i;

	append.topic = "t";
	append.partition = partition_of(query);
	append.epoch = number(query, "epoch");
	append.sequence = number(query, "sequence");
	append.conditional = param(query, "at")[0] != '\0';
	append.end_offset = number(query, "at");
	append.records = records;
	for (i = 0; i < records->len; i++) {
		const bp_store_record_t *record = records->pdata[i];

		if (record->value != NULL &&
		    g_bytes_get_size(record->value) + strlen(record->key) >=
			RECORD_BYTES_MAX) {
			answer_json(message, 413, g_strdup("{}"));
			g_ptr_array_unref(records);
			return;
		}
	}
	store->append(store, &append, on_store, wait_for(self, message));
	g_ptr_array_unref(records);
}

static char *
entry_of(bp_queuehttp_t *self, uint32_t index, uint64_t sequence)
{
	bp_executor_info_t *info = bp_qfleet_info(self->fleet, index);
	char *text = g_strdup_printf(
	    "{\"service_name\":\"pool\",\"address\":\"127.0.0.1:%u\","
	    "\"zone\":\"%s\",\"version\":\"v1\",\"slots\":8,\"state\":"
	    "\"ready\",\"capacity\":{\"cpu\":%u,\"mem_mb\":%u,\"gpu\":0},"
	    "\"labels\":[\"a\",\"%s\",\"%s\"],\"clock_ms\":%" G_GUINT64_FORMAT
	    ",\"sequence\":%" G_GUINT64_FORMAT ",\"born\":%d}",
	    self->listeners[index].port, info->zone, info->cpu_milli,
	    info->memory_mib, info->rack, info->labels[0],
	    sequence * HEARTBEAT_MS, sequence, (int)info->born_ms);

	bp_executor_info_free(info);
	return text;
}

static void
add_value(GString *text, const char *key, const char *value, uint32_t offset)
{
	char *coded = g_base64_encode((const guchar *)value, strlen(value));

	g_string_append_printf(text,
	    "%s{\"key\":\"%s\",\"value\":\"%s\",\"offset\":%u}",
	    text->str[text->len - 1] == '[' ? "" : ",", key, coded, offset);
	g_free(coded);
}

static void
handle_newest(
    bp_queuehttp_t *self, SoupServerMessage *message, GHashTable *query)
{
	bp_store_t *store = bp_qstore_interface(self->store_view);
	const char *topic = param(query, "topic");
	GString *text;
	uint32_t i;

	if (strcmp(topic, "keyed.op") != 0 &&
	    strcmp(topic, "keyed.servers") != 0) {
		store->newest(store, "t", partition_of(query),
		    g_hash_table_lookup(query, "depends_on"), on_store,
		    wait_for(self, message));
		return;
	}
	text = g_string_new("{\"has_more\":false,\"items\":[");
	if (strcmp(topic, "keyed.op") == 0 && self->operators->len > 0)
		add_value(text, "config",
		    self->operators->pdata[self->operators->len - 1], 0);
	for (i = 0; strcmp(topic, "keyed.servers") == 0 &&
	     i < bp_qfleet_size(self->fleet);
	     i++) {
		char *key = g_strdup_printf("i-%u", i);
		char *entry = entry_of(self, i, 1);

		add_value(text, key, entry, i);
		g_free(key);
		g_free(entry);
	}
	for (i = 0;
	     strcmp(topic, "keyed.servers") == 0 && i < self->entries->len;
	     i += 2)
		add_value(text, self->entries->pdata[i],
		    self->entries->pdata[i + 1], i);
	g_string_append_printf(
	    text, "],\"end_offset\":%u}", self->operators->len);
	answer_json(message, 200, g_string_free(text, FALSE));
}

static void
add_be(GByteArray *out, uint64_t value, int bytes)
{
	int i;

	for (i = bytes - 1; i >= 0; i--) {
		uint8_t byte = (uint8_t)(value >> (8 * i));

		g_byte_array_append(out, &byte, 1);
	}
}

/* Configurations from an offset on; the executors' topic has no news. */
static void
add_record(GByteArray *out, const char *key, const char *value)
{
	add_be(out, 1 + strlen(key) + strlen(value), 4);
	add_be(out, strlen(key), 1);
	g_byte_array_append(out, (const uint8_t *)key, (guint)strlen(key));
	g_byte_array_append(out, (const uint8_t *)value, (guint)strlen(value));
}

static void
answer_bytes(SoupServerMessage *message, GByteArray *out)
{
	gsize size = out->len;

	soup_server_message_set_status(message, 200, NULL);
	soup_server_message_set_response(message, "application/octet-stream",
	    SOUP_MEMORY_TAKE, (char *)g_byte_array_free(out, FALSE), size);
}

/* Each read finds that all executors have repeated their entries. */
static void
answer_heartbeats(
    bp_queuehttp_t *self, SoupServerMessage *message, uint64_t from)
{
	GByteArray *out = g_byte_array_new();
	uint32_t executors = bp_qfleet_size(self->fleet);
	uint32_t i;

	add_be(out, from + executors, 8);
	add_be(out, 0, 8);
	for (i = 0; i < executors; i++) {
		char *key = g_strdup_printf("i-%u", i);
		char *value = entry_of(self, i, from + i + 2);

		add_record(out, key, value);
		g_free(key);
		g_free(value);
	}
	answer_bytes(message, out);
}

static void
answer_read(SoupServerMessage *message, const GPtrArray *values, uint64_t from)
{
	GByteArray *out = g_byte_array_new();
	guint i;

	add_be(out, values != NULL ? values->len : from, 8);
	add_be(out, 0, 8);
	for (i = (guint)from; values != NULL && i < values->len; i++) {
		const char *value = values->pdata[i];

		add_record(out, "config", value);
	}
	answer_bytes(message, out);
}

static void
add_raw(GByteArray *out, const bp_store_record_t *record)
{
	gsize size = 0;
	const uint8_t *bytes = record->value != NULL
	    ? g_bytes_get_data(record->value, &size)
	    : NULL;

	add_be(out, 1 + strlen(record->key) + size, 4);
	add_be(out, strlen(record->key), 1);
	g_byte_array_append(
	    out, (const uint8_t *)record->key, (guint)strlen(record->key));
	if (size > 0)
		g_byte_array_append(out, bytes, (guint)size);
}

static void
on_log_read(const bp_store_result_t *result, void *data)
{
	call_t *call = data;
	GByteArray *out;
	guint i;

	if (result->outcome != BP_STORE_OK) {
		on_store(result, data);
		return;
	}
	out = g_byte_array_new();
	add_be(out, result->end_offset, 8);
	add_be(out, 0, 8);
	for (i = 0; result->records != NULL && i < result->records->len; i++)
		add_raw(out, result->records->pdata[i]);
	answer_bytes(call->message, out);
	soup_server_message_unpause(call->message);
	g_object_unref(call->message);
	g_free(call);
}

static gboolean
on_read_wait(gpointer data)
{
	call_t *call = data;

	answer_read(call->message, call->self->operators, call->from);
	soup_server_message_unpause(call->message);
	g_object_unref(call->message);
	g_free(call);
	return G_SOURCE_REMOVE;
}

static void
handle_read(bp_queuehttp_t *self, SoupServerMessage *message, GHashTable *query)
{
	uint64_t from = number(query, "from");
	call_t *call;

	if (strcmp(param(query, "topic"), "keyed.servers") == 0) {
		answer_heartbeats(self, message, from);
		return;
	}
	if (strcmp(param(query, "topic"), "keyed.op") != 0) {
		bp_store_t *store = bp_qstore_interface(self->store_view);

		store->read(store, "", (uint32_t)number(query, "part"), from,
		    on_log_read, wait_for(self, message));
		return;
	}
	if (from < self->operators->len && !self->silent) {
		answer_read(message, self->operators, from);
		return;
	}
	call = wait_for(self, message);
	call->from = from;
	bp_clock_add_timer(bp_clock_virtual_clock(self->clock),
	    self->silent ? SILENT_MS : (uint32_t)number(query, "wait_ms"),
	    on_read_wait, call);
}

static JsonObject *
body_of(SoupServerMessage *message, JsonParser **parser)
{
	SoupMessageBody *body = soup_server_message_get_request_body(message);

	*parser = json_parser_new();
	if (!json_parser_load_from_data(
		*parser, body->data, (gssize)body->length, NULL))
		return NULL;
	return json_node_get_object(json_parser_get_root(*parser));
}

static void
handle_group(bp_queuehttp_t *self, SoupServerMessage *message, const char *path)
{
	bp_store_t *store = bp_qstore_interface(self->store_view);
	JsonParser *parser;
	JsonObject *body = body_of(message, &parser);

	if (strcmp(path, "/v1/log-join") == 0)
		store->join(store, "g",
		    json_object_get_string_member(body, "member"), "t",
		    (uint32_t)json_object_get_int_member(body, "ttl_ms"),
		    (uint64_t)json_object_get_int_member(body, "generation"),
		    on_store, wait_for(self, message));
	else
		store->leave(store, "g",
		    json_object_get_string_member(body, "member"), on_store,
		    wait_for(self, message));
	g_object_unref(parser);
}

static const char *
end_word(bp_end_kind_t kind)
{
	switch (kind) {
	case BP_END_DONE:
		return "done";
	case BP_END_FAILED:
		return "failed";
	case BP_END_STOPPED:
		return "stopped";
	case BP_END_LEASE_EXPIRED:
		return "lapsed";
	case BP_END_GANG_FAILED:
		return "broken";
	case BP_END_GANG_INCOMPLETE:
		return "alone";
	case BP_END_OTHER:
		break;
	}
	return "other";
}

static void
add_lists(GString *text, const bp_exec_result_t *result)
{
	guint i;

	g_string_append(text, ",\"running\":[");
	for (i = 0; i < result->running->len; i++) {
		const bp_exec_running_t *row =
		    &g_array_index(result->running, bp_exec_running_t, i);

		g_string_append_printf(text, "%s[\"%s\",%d,\"\",%u,0]",
		    i > 0 ? "," : "", row->task, (int)row->run, row->percent);
	}
	g_string_append(text, "],\"ended\":[");
	for (i = 0; i < result->ended->len; i++) {
		const bp_exec_ended_t *row =
		    &g_array_index(result->ended, bp_exec_ended_t, i);

		g_string_append_printf(text, "%s[%d,\"%s\",%d,\"%s\",\"\"]",
		    i > 0 ? "," : "", (int)row->number, row->task,
		    (int)row->run, end_word(row->kind));
	}
	g_string_append(text, "]");
}

static const char *
refusal(bp_exec_outcome_t outcome)
{
	switch (outcome) {
	case BP_EXEC_FENCED:
		return "fence";
	case BP_EXEC_STALE_RUN:
		return "old";
	case BP_EXEC_EXPIRED:
		return "late";
	default:
		return "room";
	}
}

static void
on_executor(const bp_exec_result_t *result, void *data)
{
	GString *text = g_string_new("{");

	g_string_append_printf(text, "\"clock_ms\":%d,\"born\":%d",
	    (int)result->clock_ms, (int)result->born_ms);
	if (result->running != NULL)
		add_lists(text, result);
	if (result->outcome != BP_EXEC_OK)
		g_string_append_printf(
		    text, ",\"reason\":\"%s\"", refusal(result->outcome));
	g_string_append(text, "}");
	finish(data, result->outcome == BP_EXEC_OK ? 200 : 409,
	    g_string_free(text, FALSE));
}

static int64_t
int_of(JsonObject *body, const char *name)
{
	return json_object_has_member(body, name)
	    ? json_object_get_int_member(body, name)
	    : 0;
}

static void
handle_executor(
    bp_queuehttp_t *self, SoupServerMessage *message, const char *path)
{
	bp_executors_t *fleet = bp_qfleet_interface(self->fleet_view);
	JsonParser *parser;
	JsonObject *body = body_of(message, &parser);
	bp_exec_target_t target = {"", "", "", 0, 0};
	bp_exec_start_t start = {0};
	bp_exec_poll_t poll = {0};
	call_t *call = wait_for(self, message);

	target.id = soup_message_headers_get_one(
	    soup_server_message_get_request_headers(message),
	    "X-Bulrushpost-Expect-Instance");
	target.fence = (uint64_t)int_of(body, "fencing_token");
	if (json_object_has_member(body, "task"))
		start.task = json_object_get_string_member(body, "task");
	start.run = (uint64_t)int_of(body, "run");
	start.deadline_ms = poll.deadline_ms = int_of(body, "deadline_ms");
	poll.cursor = (uint64_t)int_of(body, "ack_cursor");
	poll.wait_ms = (uint32_t)int_of(body, "wait_ms");
	if (strcmp(path, "/v1/run-start") == 0)
		fleet->start(fleet, &target, &start, on_executor, call);
	else if (strcmp(path, "/v1/run-stop") == 0)
		fleet->stop(
		    fleet, &target, start.task, start.run, on_executor, call);
	else if (strcmp(path, "/v1/pace") == 0)
		fleet->throttle(fleet, &target, start.task, start.run, 0,
		    on_executor, call);
	else
		fleet->poll(fleet, &target, &poll, on_executor, call);
	g_object_unref(parser);
}

static void
on_request(SoupServer *server, SoupServerMessage *message, const char *path,
    GHashTable *query, void *data)
{
	bp_queuehttp_t *self = data;
	bp_store_t *store = bp_qstore_interface(self->store_view);

	(void)server;
	if (strcmp(path, "/v1/log-append") == 0)
		handle_append(self, message, query);
	else if (strcmp(path, "/v1/log-newest") == 0)
		handle_newest(self, message, query);
	else if (strcmp(path, "/v1/log-read") == 0)
		handle_read(self, message, query);
	else if (strcmp(path, "/v1/log-owners") == 0) {
		call_t *call = wait_for(self, message);

		call->owners = true;
		store->owners(store, "g", on_store, call);
	} else if (g_str_has_prefix(path, "/v1/log-"))
		handle_group(self, message, path);
	else
		handle_executor(self, message, path);
}

static gboolean
on_step(gpointer data)
{
	bp_queuehttp_t *self = data;
	int64_t now_us = g_get_monotonic_time();
	int64_t passed_ms = (now_us - self->last_us) / 1000;

	self->last_us += passed_ms * 1000;
	bp_clock_virtual_run_ms(self->clock, passed_ms);
	return G_SOURCE_CONTINUE;
}

/* Listens on a port of loopback; 0: a free one. */
static void
listen_on(bp_queuehttp_t *self, SoupServer **server, uint16_t *port)
{
	GSList *uris;

	*server = g_object_new(SOUP_TYPE_SERVER, NULL);
	soup_server_add_handler(*server, NULL, on_request, self, NULL);
	if (!soup_server_listen_local(
		*server, *port, SOUP_SERVER_LISTEN_IPV4_ONLY, NULL))
		abort();
	uris = soup_server_get_uris(*server);
	*port = (uint16_t)g_uri_get_port(uris->data);
	g_slist_free_full(uris, (GDestroyNotify)g_uri_unref);
}

/* Listens on free ports of loopback. */
bp_queuehttp_t *
bp_queuehttp_new(uint32_t executors)
{
	bp_queuehttp_t *self = g_new0(bp_queuehttp_t, 1);
	bp_qfleet_world_t world = {duration, forbidden, cpu, self};
	uint32_t i;

	listen_on(self, &self->server, &self->port);
	self->listeners = g_new0(listener_t, executors);
	for (i = 0; i < executors; i++)
		listen_on(
		    self, &self->listeners[i].server, &self->listeners[i].port);
	self->clock = bp_clock_virtual_new(1000);
	bp_random_init(&self->random, SEED);
	self->store = bp_qstore_new(self->clock, &self->random, PARTITIONS);
	self->store_view = bp_qstore_view(self->store);
	self->fleet =
	    bp_qfleet_new(self->clock, &self->random, executors, &world);
	self->fleet_view = bp_qfleet_view(self->fleet);
	self->operators = g_ptr_array_new_with_free_func(g_free);
	self->entries = g_ptr_array_new_with_free_func(g_free);
	self->last_us = g_get_monotonic_time();
	self->timer = g_timeout_add(STEP_MS, on_step, self);
	return self;
}

/* Closes all connections; calls that wait get no answer. */
void
bp_queuehttp_free(bp_queuehttp_t *self)
{
	uint32_t i;

	g_source_remove(self->timer);
	soup_server_disconnect(self->server);
	g_object_unref(self->server);
	for (i = 0; i < bp_qfleet_size(self->fleet); i++) {
		soup_server_disconnect(self->listeners[i].server);
		g_object_unref(self->listeners[i].server);
	}
	g_free(self->listeners);
	bp_qfleet_free(self->fleet);
	bp_qstore_free(self->store);
	bp_clock_virtual_free(self->clock);
	g_ptr_array_unref(self->operators);
	g_ptr_array_unref(self->entries);
	g_free(self);
}

/* See the header. */
void
bp_queuehttp_crash(bp_queuehttp_t *self, uint32_t index)
{
	listener_t *listener = &self->listeners[index];

	bp_qfleet_crash(self->fleet, index);
	soup_server_disconnect(listener->server);
	g_object_unref(listener->server);
	listen_on(self, &listener->server, &listener->port);
}

/* Returns the port of the store. */
uint16_t
bp_queuehttp_port(const bp_queuehttp_t *self)
{
	return self->port;
}

static void
add_route(
    GString *text, uint32_t number, const char *prefix, const char *separator)
{
	g_string_append_printf(text,
	    "%s{\"name\":\"q%u\",\"hostname\":\"h\",\"path_prefix\":\"%s\","
	    "\"service_name\":\"pool\",\"priority\":0,\"retry_attempts\":3,"
	    "\"stretch_factor\":2.0,\"target_latency_ms\":300,\"public\":%s}",
	    separator, number, prefix,
	    strcmp(prefix, OPEN_PREFIX) == 0 ? "true" : "false");
}

/* See the header. */
void
bp_queuehttp_set_limits(bp_queuehttp_t *self, const char *limits)
{
	self->limits = limits;
}

static void
put_configuration(bp_queuehttp_t *self, uint64_t version, GString *routes,
    const char *customers)
{
	g_ptr_array_add(self->operators,
	    g_strdup_printf("{\"version\":%d,\"routes\":[%s],\"services\":[{"
			    "\"name\":\"pool\",\"admission_check\":true}],"
			    "%s%s\"limits\":{\"max_body_bytes\":262144%s}}",
		(int)version, routes->str,
		customers != NULL ? "\"tenants\":" : "",
		customers != NULL ? customers : "",
		self->limits != NULL ? self->limits : ""));
	g_string_free(routes, TRUE);
}

/* See the header. */
void
bp_queuehttp_configure(
    bp_queuehttp_t *self, uint64_t version, const char *prefix)
{
	GString *routes = g_string_new(NULL);

	add_route(routes, (uint32_t)version, prefix, "");
	put_configuration(self, version, routes, NULL);
}

/* See the header. */
void
bp_queuehttp_configure_routes(bp_queuehttp_t *self, uint64_t version,
    const bp_queuehttp_route_t *routes, uint32_t n)
{
	GString *text = g_string_new(NULL);
	uint32_t i;

	for (i = 0; i < n; i++)
		add_route(
		    text, routes[i].number, routes[i].prefix, i > 0 ? "," : "");
	put_configuration(self, version, text, NULL);
}

/* See the header. */
void
bp_queuehttp_configure_more(
    bp_queuehttp_t *self, uint64_t version, const char *prefix)
{
	GString *routes = g_string_new(NULL);

	add_route(routes, 0, "/q/", "");
	add_route(routes, (uint32_t)version, prefix, ",");
	put_configuration(self, version, routes, NULL);
}

/* See the header. */
void
bp_queuehttp_configure_customers(
    bp_queuehttp_t *self, uint64_t version, const char *customers)
{
	GString *routes = g_string_new(NULL);
	char *list = g_strconcat(customers, ",", NULL);

	add_route(routes, 0, "/q/", "");
	add_route(routes, 1, OPEN_PREFIX, ",");
	put_configuration(self, version, routes, list);
	g_free(list);
}

/* See the header. */
void
bp_queuehttp_set_silent(bp_queuehttp_t *self, bool silent)
{
	self->silent = silent;
}

/* See the header. */
char *
bp_queuehttp_customer(bp_queuehttp_t *self, const char *id)
{
	char *key = g_strconcat("j/", id, NULL);
	char *customer = NULL;
	uint32_t i;

	for (i = 0; i < PLAN_PARTITION && customer == NULL; i++) {
		GBytes *value = bp_qstore_value(self->store, i, key);
		Bp__Work__Job *job = value != NULL
		    ? bp__work__job__unpack(NULL, g_bytes_get_size(value),
			  g_bytes_get_data(value, NULL))
		    : NULL;

		if (job != NULL) {
			customer = g_strdup(job->customer);
			bp__work__job__free_unpacked(job, NULL);
		}
	}
	g_free(key);
	return customer;
}

/* See the header. */
bp_qstore_t *
bp_queuehttp_store(bp_queuehttp_t *self)
{
	return self->store;
}

/* Returns the executors. */
bp_qfleet_t *
bp_queuehttp_fleet(bp_queuehttp_t *self)
{
	return self->fleet;
}

/* Sets how the store answers all nodes. */
void
bp_queuehttp_set_mode(bp_queuehttp_t *self, bp_qstore_mode_t mode)
{
	bp_qstore_set_mode(self->store_view, mode);
	self->silent = mode == BP_QSTORE_SILENT;
}

/* See the header. */
void
bp_queuehttp_add_entry(bp_queuehttp_t *self, const char *key, const char *value)
{
	g_ptr_array_add(self->entries, g_strdup(key));
	g_ptr_array_add(self->entries, g_strdup(value));
}
