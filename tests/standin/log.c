#include "bulrushpost/clock.h"
#include "standin/server.h"

#include <string.h>

#define RECORD_BYTES_MAX (64 * 1024)
#define READ_BYTES_MAX (4 * 1024 * 1024)
#define READ_RECORDS_DEFAULT 1000
#define RECORD_HEAD_BYTES 12
#define US_PER_S 1000000.0
/* Records below the first offset are freed in blocks of this size. */
#define TRIM_BLOCK 1024

typedef struct {
	char *name;
	GPtrArray *records; /* GBytes; the first one has offset base */
	uint64_t base;
	uint64_t first; /* lowest offset that is still served */
	int64_t appends;
	int64_t reads;
	int64_t bytes_in;
	int64_t bytes_out;
} stream_t;

typedef struct {
	const bp_clock_t *clock;
	GHashTable *streams;
	GQueue waiting; /* reader_t, in a long poll */
	int retention_records; /* 0 keeps everything */
	int appends_per_s; /* 0 for no limit */
	double tokens;
	int64_t tokens_us;
	int64_t rate_limited;
	bool down;
	bool drop_reads;
	int64_t delay_ms;
	int64_t lose_answers;
	int64_t answers_lost;
} log_service_t;

/* A read that waits for a record or its time limit. */
typedef struct {
	log_service_t *log;
	stream_t *stream;
	standin_pending_t *pending;
	uint64_t from;
	uint64_t max;
	guint timer;
} reader_t;

typedef struct {
	log_service_t *log;
	standin_pending_t *pending;
	GHashTable *query;
} delayed_t;

static uint64_t
stream_head(const stream_t *stream)
{
	return stream->base + stream->records->len;
}

static void
stream_free(gpointer data)
{
	stream_t *stream = data;

	g_ptr_array_unref(stream->records);
	g_free(stream->name);
	g_free(stream);
}

static stream_t *
log_stream(log_service_t *log, const char *name)
{
	stream_t *stream = g_hash_table_lookup(log->streams, name);

	if (stream == NULL) {
		stream = g_new0(stream_t, 1);
		stream->name = g_strdup(name);
		stream->records = g_ptr_array_new_with_free_func(
		    (GDestroyNotify)g_bytes_unref);
		g_hash_table_insert(log->streams, stream->name, stream);
	}
	return stream;
}

static void
stream_trim(stream_t *stream, uint64_t first)
{
	uint64_t excess;

	stream->first = MIN(MAX(stream->first, first), stream_head(stream));
	excess = stream->first - stream->base;
	if (excess >= TRIM_BLOCK) {
		g_ptr_array_remove_range(stream->records, 0, (guint)excess);
		stream->base = stream->first;
	}
}

static void
set_position_headers(SoupServerMessage *message, const stream_t *stream)
{
	SoupMessageHeaders *headers =
	    soup_server_message_get_response_headers(message);
	char text[32];

	g_snprintf(text, sizeof(text), "%" G_GUINT64_FORMAT, stream->first);
	soup_message_headers_replace(headers, "X-Log-First", text);
	g_snprintf(
	    text, sizeof(text), "%" G_GUINT64_FORMAT, stream_head(stream));
	soup_message_headers_replace(headers, "X-Log-Head", text);
}

static void
append_record_bytes(GByteArray *body, uint64_t offset, GBytes *record)
{
	gsize size = 0;
	const guint8 *bytes = g_bytes_get_data(record, &size);
	guint64 offset_be = GUINT64_TO_BE(offset);
	guint32 size_be = GUINT32_TO_BE((guint32)size);

	g_byte_array_append(body, (const guint8 *)&offset_be, 8);
	g_byte_array_append(body, (const guint8 *)&size_be, 4);
	g_byte_array_append(body, bytes, (guint)size);
}

static void
answer_read(
    stream_t *stream, SoupServerMessage *message, uint64_t from, uint64_t max)
{
	GByteArray *body;
	uint64_t offset;

	set_position_headers(message, stream);
	if (from < stream->first) {
		standin_reply_text(message, SOUP_STATUS_GONE,
		    "the offset is below the first one kept\n");
		return;
	}
	body = g_byte_array_new();
	for (offset = from; offset < stream_head(stream) &&
	     offset - from < max && body->len < READ_BYTES_MAX;
	     offset++)
		append_record_bytes(body, offset,
		    g_ptr_array_index(
			stream->records, (guint)(offset - stream->base)));
	stream->bytes_out += body->len;
	standin_reply(message, SOUP_STATUS_OK, "application/octet-stream",
	    body->data, body->len);
	g_byte_array_unref(body);
}

/* Answers a waiting read; the service is down when it fails. */
static void
reader_finish(reader_t *reader)
{
	SoupServerMessage *message = reader->pending->message;

	g_queue_remove(&reader->log->waiting, reader);
	if (reader->timer != 0)
		g_source_remove(reader->timer);
	if (reader->log->drop_reads)
		standin_drop(message);
	else if (reader->log->down)
		standin_reply_text(message, SOUP_STATUS_SERVICE_UNAVAILABLE,
		    "the log is down\n");
	else
		answer_read(reader->stream, message, reader->from, reader->max);
	standin_release(reader->pending);
	g_free(reader);
}

static gboolean
on_reader_timeout(gpointer data)
{
	reader_t *reader = data;

	reader->timer = 0;
	reader_finish(reader);
	return G_SOURCE_REMOVE;
}

/* Wakes the reads of one stream; NULL wakes all. */
static void
wake_readers(log_service_t *log, const stream_t *stream)
{
	GList *copy = g_list_copy(log->waiting.head);
	GList *l;

	for (l = copy; l != NULL; l = l->next) {
		reader_t *reader = l->data;

		if (stream == NULL || reader->stream == stream)
			reader_finish(reader);
	}
	g_list_free(copy);
}

static void
handle_read(log_service_t *log, SoupServerMessage *message, stream_t *stream,
    GHashTable *query)
{
	uint64_t from = standin_query_uint(query, "from", 0);
	uint64_t max = standin_query_uint(query, "max", READ_RECORDS_DEFAULT);
	uint64_t wait_ms = standin_query_uint(query, "wait_ms", 0);
	reader_t *reader;

	stream->reads++;
	if (log->drop_reads) {
		standin_drop(message);
		return;
	}
	if (from != stream_head(stream) || wait_ms == 0) {
		answer_read(stream, message, from, max);
		return;
	}
	reader = g_new0(reader_t, 1);
	reader->log = log;
	reader->stream = stream;
	reader->from = from;
	reader->max = max;
	reader->pending = standin_hold(message, NULL);
	reader->timer =
	    g_timeout_add((guint)wait_ms, on_reader_timeout, reader);
	g_queue_push_tail(&log->waiting, reader);
}

/* Token bucket with one second's worth of appends as its size. */
static bool
take_token(log_service_t *log)
{
	int64_t now_us = bp_clock_mono_us(log->clock);

	if (log->appends_per_s <= 0)
		return true;
	log->tokens +=
	    (double)(now_us - log->tokens_us) * log->appends_per_s / US_PER_S;
	log->tokens = MIN(log->tokens, (double)log->appends_per_s);
	log->tokens_us = now_us;
	if (log->tokens < 1.0) {
		log->rate_limited++;
		return false;
	}
	log->tokens -= 1.0;
	return true;
}

static uint64_t
stream_append(log_service_t *log, stream_t *stream, GBytes *record)
{
	uint64_t offset = stream_head(stream);

	g_ptr_array_add(stream->records, g_bytes_ref(record));
	stream->appends++;
	stream->bytes_in += (int64_t)g_bytes_get_size(record);
	if (log->retention_records > 0 &&
	    offset + 1 > (uint64_t)log->retention_records)
		stream_trim(
		    stream, offset + 1 - (uint64_t)log->retention_records);
	return offset;
}

static void
handle_append(log_service_t *log, SoupServerMessage *message, stream_t *stream)
{
	GBytes *record = soup_message_body_flatten(
	    soup_server_message_get_request_body(message));
	char text[64];

	if (g_bytes_get_size(record) > RECORD_BYTES_MAX) {
		standin_reply_text(message,
		    SOUP_STATUS_REQUEST_ENTITY_TOO_LARGE,
		    "a record has at most 64 KiB\n");
	} else if (!take_token(log)) {
		standin_reply_text(message, 429, "over the limit of appends\n");
	} else {
		g_snprintf(text, sizeof(text),
		    "{\"offset\":%" G_GUINT64_FORMAT "}",
		    stream_append(log, stream, record));
		if (log->lose_answers > 0) {
			log->lose_answers--;
			log->answers_lost++;
			standin_drop(message);
		} else {
			set_position_headers(message, stream);
			standin_reply(message, SOUP_STATUS_OK,
			    "application/json", text, strlen(text));
		}
		wake_readers(log, stream);
	}
	g_bytes_unref(record);
}

static void
handle_stats(log_service_t *log, SoupServerMessage *message)
{
	JsonBuilder *b = json_builder_new();
	GHashTableIter iter;
	gpointer value;

	json_builder_begin_object(b);
	standin_build_int(b, "rate_limited", log->rate_limited);
	standin_build_int(b, "answers_lost", log->answers_lost);
	standin_build_bool(b, "down", log->down);
	json_builder_set_member_name(b, "streams");
	json_builder_begin_object(b);
	g_hash_table_iter_init(&iter, log->streams);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		stream_t *stream = value;

		json_builder_set_member_name(b, stream->name);
		json_builder_begin_object(b);
		standin_build_int(b, "appends", stream->appends);
		standin_build_int(b, "reads", stream->reads);
		standin_build_int(b, "bytes_in", stream->bytes_in);
		standin_build_int(b, "bytes_out", stream->bytes_out);
		standin_build_int(b, "first", (int64_t)stream->first);
		standin_build_int(b, "head", (int64_t)stream_head(stream));
		json_builder_end_object(b);
	}
	json_builder_end_object(b);
	json_builder_end_object(b);
	standin_reply_json(message, b);
}

/* Members that are missing leave their fault as it is. */
static void
handle_faults(log_service_t *log, SoupServerMessage *message)
{
	JsonParser *parser = standin_body_json(message);
	JsonObject *o = standin_body_object(parser);
	JsonObject *trim = NULL;

	if (o == NULL) {
		standin_reply_text(
		    message, SOUP_STATUS_BAD_REQUEST, "no JSON object\n");
		g_clear_object(&parser);
		return;
	}
	log->down = standin_json_bool(o, "down", log->down);
	log->drop_reads = standin_json_bool(o, "drop_reads", log->drop_reads);
	log->delay_ms = standin_json_int(o, "delay_ms", log->delay_ms);
	log->lose_answers =
	    standin_json_int(o, "lose_answers", log->lose_answers);
	if (json_object_has_member(o, "trim_to"))
		trim = json_object_get_object_member(o, "trim_to");
	if (trim != NULL && standin_json_text(trim, "stream") != NULL)
		stream_trim(log_stream(log, standin_json_text(trim, "stream")),
		    (uint64_t)standin_json_int(trim, "first", 0));
	if (log->down || log->drop_reads)
		wake_readers(log, NULL);
	g_object_unref(parser);
	standin_reply_text(message, SOUP_STATUS_OK, "ok\n");
}

static void
handle_stream(log_service_t *log, SoupServerMessage *message, const char *path,
    GHashTable *query)
{
	const char *method = soup_server_message_get_method(message);
	char **parts = g_strsplit(path, "/", -1);

	/* /streams/S/records */
	if (g_strv_length(parts) != 4 || strcmp(parts[3], "records") != 0)
		standin_reply_text(
		    message, SOUP_STATUS_NOT_FOUND, "no such path\n");
	else if (log->down)
		standin_reply_text(message, SOUP_STATUS_SERVICE_UNAVAILABLE,
		    "the log is down\n");
	else if (strcmp(method, "POST") == 0)
		handle_append(log, message, log_stream(log, parts[2]));
	else if (strcmp(method, "GET") == 0)
		handle_read(log, message, log_stream(log, parts[2]), query);
	else
		standin_reply_text(
		    message, SOUP_STATUS_METHOD_NOT_ALLOWED, "GET or POST\n");
	g_strfreev(parts);
}

static gboolean
on_delay(gpointer data)
{
	delayed_t *delayed = data;

	handle_stream(delayed->log, delayed->pending->message,
	    delayed->pending->path, delayed->query);
	standin_release(delayed->pending);
	if (delayed->query != NULL)
		g_hash_table_unref(delayed->query);
	g_free(delayed);
	return G_SOURCE_REMOVE;
}

static void
handle_log(
    SoupServerMessage *message, const char *path, GHashTable *query, void *data)
{
	log_service_t *log = data;
	delayed_t *delayed;

	if (strcmp(path, "/admin/faults") == 0) {
		handle_faults(log, message);
	} else if (strcmp(path, "/admin/stats") == 0) {
		handle_stats(log, message);
	} else if (!g_str_has_prefix(path, "/streams/")) {
		standin_reply_text(
		    message, SOUP_STATUS_NOT_FOUND, "no such path\n");
	} else if (log->delay_ms > 0) {
		delayed = g_new0(delayed_t, 1);
		delayed->log = log;
		delayed->pending = standin_hold(message, path);
		delayed->query = query != NULL ? g_hash_table_ref(query) : NULL;
		g_timeout_add((guint)log->delay_ms, on_delay, delayed);
	} else {
		handle_stream(log, message, path, query);
	}
}

/* The log service of docs/design.md, section 6, with faults. */
int
standin_log_main(int argc, char **argv)
{
	log_service_t log = {.waiting = G_QUEUE_INIT};
	standin_server_t *server = NULL;
	int port = 0;
	const GOptionEntry entries[] = {
	    {"port", 0, 0, G_OPTION_ARG_INT, &port, "Port", "P"},
	    {"retention-records", 0, 0, G_OPTION_ARG_INT,
		&log.retention_records, "Records kept per stream", "N"},
	    {"appends-per-s", 0, 0, G_OPTION_ARG_INT, &log.appends_per_s,
		"Limit of appends", "N"},
	    G_OPTION_ENTRY_NULL,
	};
	int rc;

	if (!standin_options(&argc, &argv, entries))
		return 2;
	log.clock = bp_clock_system();
	log.tokens_us = bp_clock_mono_us(log.clock);
	log.tokens = log.appends_per_s;
	log.streams =
	    g_hash_table_new_full(g_str_hash, g_str_equal, NULL, stream_free);
	if (standin_server_new(&server, (uint16_t)port, 0, handle_log, &log) !=
	    0)
		return 1;
	standin_announce("LISTENING", standin_server_port(server));
	rc = standin_run();
	standin_server_free(server);
	g_hash_table_unref(log.streams);
	return rc;
}
