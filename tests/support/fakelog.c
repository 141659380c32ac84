#include "support/fakelog.h"

#include <libsoup/soup.h>
#include <string.h>

#define FRAME_BYTES 12

typedef struct {
	GPtrArray *records; /* GBytes */
	uint64_t first;
} stream_t;

typedef struct {
	fakelog_t *log;
	SoupServerMessage *message;
	char *stream;
	uint64_t from;
	uint32_t max;
	guint source;
} poll_t;

struct fakelog {
	SoupServer *server;
	guint port;
	char *url;
	GHashTable *streams; /* stream_t by name */
	GPtrArray *polls; /* poll_t, waiting for a record */
	GPtrArray *held; /* GBytes for the stream "bulrushpost" */
	fakelog_fault_t fault;
	uint32_t fault_count;
	uint32_t status;
	GBytes *body;
	char *first;
	char *head;
};

static void
free_stream(void *data)
{
	stream_t *stream = data;

	g_ptr_array_unref(stream->records);
	g_free(stream);
}

static stream_t *
get_stream(fakelog_t *log, const char *name)
{
	stream_t *stream = g_hash_table_lookup(log->streams, name);

	if (stream != NULL)
		return stream;
	stream = g_new0(stream_t, 1);
	stream->records =
	    g_ptr_array_new_with_free_func((GDestroyNotify)g_bytes_unref);
	g_hash_table_insert(log->streams, g_strdup(name), stream);
	return stream;
}

static void
set_bounds(SoupServerMessage *message, const char *first, const char *head)
{
	SoupMessageHeaders *headers =
	    soup_server_message_get_response_headers(message);

	soup_message_headers_replace(headers, "X-Log-First", first);
	soup_message_headers_replace(headers, "X-Log-Head", head);
}

static void
set_body(SoupServerMessage *message, GByteArray *bytes)
{
	soup_server_message_set_response(message, "application/octet-stream",
	    SOUP_MEMORY_COPY, (const char *)bytes->data, bytes->len);
}

static void
append_be(GByteArray *out, uint64_t value, int bytes)
{
	while (bytes-- > 0) {
		uint8_t byte = (uint8_t)(value >> (8 * bytes));

		g_byte_array_append(out, &byte, 1);
	}
}

static void
answer_read(fakelog_t *log, SoupServerMessage *message, const char *name,
    uint64_t from, uint32_t max)
{
	stream_t *stream = get_stream(log, name);
	uint64_t next = stream->records->len;
	char *first = g_strdup_printf("%" G_GUINT64_FORMAT, stream->first);
	char *head = g_strdup_printf("%" G_GUINT64_FORMAT, next);
	GByteArray *out = g_byte_array_new();

	set_bounds(message, first, head);
	soup_server_message_set_status(
	    message, from < stream->first ? 410 : 200, NULL);
	while (from >= stream->first && from < next && max-- > 0) {
		GBytes *record = stream->records->pdata[from];
		gsize size;
		const uint8_t *data = g_bytes_get_data(record, &size);

		append_be(out, from++, 8);
		append_be(out, size, 4);
		g_byte_array_append(out, data, (guint)size);
	}
	set_body(message, out);
	g_byte_array_unref(out);
	g_free(first);
	g_free(head);
}

static void
free_poll(void *data)
{
	poll_t *poll = data;

	if (poll->source != 0)
		g_source_remove(poll->source);
	g_object_unref(poll->message);
	g_free(poll->stream);
	g_free(poll);
}

static void
finish_poll(poll_t *poll)
{
	answer_read(
	    poll->log, poll->message, poll->stream, poll->from, poll->max);
	soup_server_message_unpause(poll->message);
	g_ptr_array_remove_fast(poll->log->polls, poll);
}

static gboolean
on_poll_timeout(void *data)
{
	poll_t *poll = data;

	poll->source = 0;
	finish_poll(poll);
	return G_SOURCE_REMOVE;
}

static void
store(fakelog_t *log, const char *name, GBytes *bytes)
{
	guint i = 0;

	g_ptr_array_add(get_stream(log, name)->records, g_bytes_ref(bytes));
	while (i < log->polls->len) {
		poll_t *poll = log->polls->pdata[i];

		if (strcmp(poll->stream, name) == 0)
			finish_poll(poll);
		else
			i++;
	}
}

static void
break_connection(SoupServerMessage *message)
{
	GIOStream *stream = soup_server_message_steal_connection(message);

	g_io_stream_close(stream, NULL, NULL);
	g_object_unref(stream);
}

static void
handle_append(fakelog_t *log, SoupServerMessage *message, const char *name)
{
	SoupMessageBody *body = soup_server_message_get_request_body(message);
	GBytes *bytes = soup_message_body_flatten(body);
	fakelog_fault_t fault =
	    log->fault_count > 0 ? log->fault : FAKELOG_STORE;
	char *answer = g_strdup_printf(
	    "{\"offset\":%u}", get_stream(log, name)->records->len);

	log->fault_count -= log->fault_count > 0;
	soup_server_message_set_status(
	    message, fault == FAKELOG_BUSY ? 429 : 200, NULL);
	soup_server_message_set_response(message, "application/json",
	    SOUP_MEMORY_COPY, answer, strlen(answer));
	if (fault == FAKELOG_STORE || fault == FAKELOG_LOSE_ANSWER)
		store(log, name, bytes);
	if (fault == FAKELOG_HOLD)
		g_ptr_array_add(log->held, g_bytes_ref(bytes));
	if (fault == FAKELOG_LOSE_ANSWER || fault == FAKELOG_HOLD)
		break_connection(message);
	g_bytes_unref(bytes);
	g_free(answer);
}

static uint64_t
get_number(GHashTable *query, const char *name)
{
	return g_ascii_strtoull(g_hash_table_lookup(query, name), NULL, 10);
}

static void
handle_read(fakelog_t *log, SoupServerMessage *message, const char *name,
    GHashTable *query)
{
	uint64_t from = get_number(query, "from");
	uint32_t wait_ms = (uint32_t)get_number(query, "wait_ms");
	poll_t *poll;

	if (wait_ms == 0 || from != fakelog_head(log, name)) {
		answer_read(log, message, name, from,
		    (uint32_t)get_number(query, "max"));
		return;
	}
	poll = g_new0(poll_t, 1);
	poll->log = log;
	poll->message = g_object_ref(message);
	poll->stream = g_strdup(name);
	poll->from = from;
	poll->max = (uint32_t)get_number(query, "max");
	poll->source = g_timeout_add(wait_ms, on_poll_timeout, poll);
	g_ptr_array_add(log->polls, poll);
	soup_server_message_pause(message);
}

static void
on_request(SoupServer *server, SoupServerMessage *message, const char *path,
    GHashTable *query, void *data)
{
	fakelog_t *log = data;
	char **parts = g_strsplit(path, "/", -1);
	const char *method = soup_server_message_get_method(message);

	if (log->status != 0) {
		soup_server_message_set_status(message, log->status, NULL);
	} else if (strcmp(method, "POST") == 0) {
		handle_append(log, message, parts[2]);
	} else if (log->body != NULL) {
		gsize size;
		const char *body = g_bytes_get_data(log->body, &size);

		soup_server_message_set_status(message, 200, NULL);
		set_bounds(message, log->first, log->head);
		soup_server_message_set_response(message,
		    "application/octet-stream", SOUP_MEMORY_COPY, body, size);
	} else {
		handle_read(log, message, parts[2], query);
	}
	g_strfreev(parts);
}

static void
listen_local(fakelog_t *log)
{
	GSocketAddress *address =
	    g_inet_socket_address_new_from_string("127.0.0.1", log->port);
	GSList *uris;

	g_assert_true(soup_server_listen(log->server, address, 0, NULL));
	g_object_unref(address);
	uris = soup_server_get_uris(log->server);
	log->port = (guint)g_uri_get_port(uris->data);
	g_slist_free_full(uris, (GDestroyNotify)g_uri_unref);
}

fakelog_t *
fakelog_new(void)
{
	fakelog_t *log = g_new0(fakelog_t, 1);

	log->streams =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, free_stream);
	log->polls = g_ptr_array_new_with_free_func(free_poll);
	log->held =
	    g_ptr_array_new_with_free_func((GDestroyNotify)g_bytes_unref);
	log->server = soup_server_new(NULL, NULL);
	soup_server_add_handler(log->server, NULL, on_request, log, NULL);
	listen_local(log);
	log->url = g_strdup_printf("http://127.0.0.1:%u", log->port);
	return log;
}

void
fakelog_free(fakelog_t *log)
{
	fakelog_set_answer(log, NULL, NULL, NULL);
	g_ptr_array_unref(log->polls);
	soup_server_disconnect(log->server);
	g_object_unref(log->server);
	g_ptr_array_unref(log->held);
	g_hash_table_unref(log->streams);
	g_free(log->url);
	g_free(log);
	run_for(20); /* lets cancelled operations end */
}

const char *
fakelog_url(const fakelog_t *log)
{
	return log->url;
}

void
fakelog_set_fault(fakelog_t *log, fakelog_fault_t fault, uint32_t count)
{
	log->fault = fault;
	log->fault_count = count;
}

void
fakelog_set_status(fakelog_t *log, uint32_t status)
{
	log->status = status;
}

void
fakelog_set_listening(fakelog_t *log, bool listening)
{
	if (listening)
		listen_local(log);
	else
		soup_server_disconnect(log->server);
}

void
fakelog_set_answer(
    fakelog_t *log, GBytes *body, const char *first, const char *head)
{
	g_clear_pointer(&log->body, g_bytes_unref);
	g_free(log->first);
	g_free(log->head);
	log->body = body != NULL ? g_bytes_ref(body) : NULL;
	log->first = g_strdup(first);
	log->head = g_strdup(head);
}

void
fakelog_put(
    fakelog_t *log, const char *stream, const uint8_t *bytes, size_t size)
{
	GBytes *record = g_bytes_new(bytes, size);

	store(log, stream, record);
	g_bytes_unref(record);
}

void
fakelog_deliver(fakelog_t *log)
{
	guint i;

	for (i = 0; i < log->held->len; i++)
		store(log, "bulrushpost", log->held->pdata[i]);
	g_ptr_array_set_size(log->held, 0);
}

void
fakelog_trim(fakelog_t *log, const char *stream, uint64_t first)
{
	get_stream(log, stream)->first = first;
}

uint64_t
fakelog_head(fakelog_t *log, const char *stream)
{
	return get_stream(log, stream)->records->len;
}

GBytes *
fakelog_get(fakelog_t *log, const char *stream, uint64_t offset)
{
	return get_stream(log, stream)->records->pdata[offset];
}

void
fakelog_replace(fakelog_t *log, const char *stream, uint64_t offset,
    const uint8_t *bytes, size_t size)
{
	GPtrArray *records = get_stream(log, stream)->records;

	g_bytes_unref(records->pdata[offset]);
	records->pdata[offset] = g_bytes_new(bytes, size);
}

static gboolean
on_limit(void *data)
{
	*(bool *)data = true;
	return G_SOURCE_CONTINUE;
}

bool
wait_until(bool (*check)(void *data), void *data, uint32_t limit_ms)
{
	bool over = false;
	guint source = g_timeout_add(limit_ms, on_limit, &over);

	while (!over && !check(data))
		g_main_context_iteration(NULL, TRUE);
	g_source_remove(source);
	return check(data);
}

static bool
never(void *data)
{
	(void)data;
	return false;
}

void
run_for(uint32_t ms)
{
	(void)wait_until(never, NULL, ms);
}
