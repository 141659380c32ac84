#include "bulrushpost/frame.h"
#include "bulrushpost/hash.h"
#include "bulrushpost/listen.h"
#include "bulrushpost/message.h"
#include "bulrushpost/peer.h"
#include "support/runner.h"

#include <gio/gio.h>
#include <stdbool.h>
#include <string.h>

#define WAIT_MS 5000
#define MUTATIONS 2000
#define MUTATION_SEED 20261207

/* A server, a client and the result of the last call. */
typedef struct {
	bp_peer_server_t *server;
	bp_peer_client_t *client;
	char *address;
	GPtrArray *held; /* requests answered later */
	bool hold;
	unsigned int done;
	int kind;
	char *text;
} fixture_t;

static void
echo(bp_peer_request_t *request)
{
	const Bp__Peer__Frame *frame = bp_peer_request_frame(request);
	Bp__Peer__Frame answer = BP__PEER__FRAME__INIT;

	answer.body = frame->body;
	bp_peer_request_answer(request, &answer);
}

static void
on_request(bp_peer_request_t *request, void *data)
{
	fixture_t *fixture = data;

	if (fixture->hold)
		g_ptr_array_add(fixture->held, request);
	else
		echo(request);
}

static void
on_done(const Bp__Peer__Frame *answer, const bp_error_t *err, void *data)
{
	fixture_t *fixture = data;

	fixture->done++;
	fixture->kind = err != NULL ? (int)err->kind : answer->error;
	g_free(fixture->text);
	fixture->text = answer == NULL
	    ? NULL
	    : g_strndup((const char *)answer->body.data, answer->body.len);
}

static void
set_up(fixture_t *fixture, const bp_peer_server_options_t *limits)
{
	bp_peer_server_options_t options;

	memset(fixture, 0, sizeof(*fixture));
	(void)bp_peer_server_options_init(&options);
	if (limits != NULL)
		options = *limits;
	options.address = "127.0.0.1:0";
	options.handler = on_request;
	options.data = fixture;
	CU_ASSERT_EQUAL_FATAL(
	    bp_peer_server_new(&fixture->server, &options, NULL), BP_OK);
	fixture->client = bp_peer_client_new(bp_clock_system(), NULL);
	fixture->address = g_strdup_printf(
	    "127.0.0.1:%u", (unsigned int)bp_peer_server_port(fixture->server));
	fixture->held = g_ptr_array_new();
}

static void
spin(unsigned int ms)
{
	int64_t end_us = g_get_monotonic_time() + (int64_t)ms * 1000;

	while (g_get_monotonic_time() < end_us)
		if (!g_main_context_iteration(NULL, FALSE))
			g_usleep(500);
}

static void
tear_down(fixture_t *fixture)
{
	bp_peer_client_free(fixture->client);
	bp_peer_server_free(fixture->server);
	spin(20);
	g_free(fixture->address);
	g_free(fixture->text);
	g_ptr_array_unref(fixture->held);
}

static void
call(fixture_t *fixture, const char *text, uint32_t timeout_ms)
{
	Bp__Peer__Frame request = BP__PEER__FRAME__INIT;

	request.verb = BP__PEER__VERB__VERB_STATUS;
	request.body.data = (uint8_t *)text;
	request.body.len = strlen(text);
	bp_peer_client_call(fixture->client, fixture->address, &request,
	    timeout_ms, on_done, fixture);
}

static void
wait_done(fixture_t *fixture, unsigned int count)
{
	int64_t end_us = g_get_monotonic_time() + WAIT_MS * 1000;

	while (fixture->done < count && g_get_monotonic_time() < end_us)
		if (!g_main_context_iteration(NULL, FALSE))
			g_usleep(500);
	CU_ASSERT_EQUAL(fixture->done, count);
}

/* Waits until the server holds so many requests. */
static void
wait_held(fixture_t *fixture, guint count)
{
	int64_t end_us = g_get_monotonic_time() + WAIT_MS * 1000;

	while (fixture->held->len < count && g_get_monotonic_time() < end_us)
		if (!g_main_context_iteration(NULL, FALSE))
			g_usleep(500);
	CU_ASSERT_EQUAL_FATAL(fixture->held->len, count);
}

/* Guards against late answers being matched to the wrong call. */
static void
test_answers_in_any_order_reach_their_calls(void)
{
	fixture_t fixture;

	set_up(&fixture, NULL);
	fixture.hold = true;
	call(&fixture, "first", WAIT_MS);
	call(&fixture, "second", WAIT_MS);
	wait_held(&fixture, 2);
	while (fixture.held->len > 0) {
		bp_peer_request_t *request =
		    g_ptr_array_steal_index(fixture.held, 0);
		const Bp__Peer__Frame *frame = bp_peer_request_frame(request);
		char *sent =
		    g_strndup((const char *)frame->body.data, frame->body.len);
		unsigned int count = fixture.done + 1;

		echo(request);
		wait_done(&fixture, count);
		CU_ASSERT_EQUAL(fixture.kind, BP_OK);
		CU_ASSERT_STRING_EQUAL(fixture.text, sent);
		g_free(sent);
	}
	CU_ASSERT_EQUAL(bp_peer_server_connections(fixture.server), 1);
	tear_down(&fixture);
}

/* Guards against a sent request being reported as not sent. */
static void
test_failures_tell_whether_the_request_was_sent(void)
{
	fixture_t fixture;
	bp_peer_request_t *late;

	set_up(&fixture, NULL);
	call(&fixture, "connects", WAIT_MS);
	wait_done(&fixture, 1);
	fixture.hold = true;
	fixture.done = 0;
	call(&fixture, "timed out", 500);
	wait_done(&fixture, 1);
	CU_ASSERT_EQUAL(fixture.kind, BP_EDEADLINE);
	CU_ASSERT_EQUAL_FATAL(fixture.held->len, 1);
	late = g_ptr_array_steal_index(fixture.held, 0);
	echo(late);
	spin(20);
	CU_ASSERT_EQUAL(fixture.done, 1);
	call(&fixture, "cut off", WAIT_MS);
	wait_held(&fixture, 1);
	late = g_ptr_array_steal_index(fixture.held, 0);
	bp_peer_server_free(fixture.server);
	fixture.server = NULL;
	wait_done(&fixture, 2);
	CU_ASSERT_EQUAL(fixture.kind, BP_EUNKNOWN);
	echo(late);
	call(&fixture, "refused", WAIT_MS);
	wait_done(&fixture, 3);
	CU_ASSERT_EQUAL(fixture.kind, BP_EUNREACHABLE);
	tear_down(&fixture);
}

/* Guards against unlimited connections and requests. */
static void
test_limits_hold(void)
{
	bp_peer_server_options_t options;
	bp_peer_client_t *second = bp_peer_client_new(bp_clock_system(), NULL);
	bp_peer_client_t *first;
	fixture_t fixture;

	(void)bp_peer_server_options_init(&options);
	options.connections_max = 1;
	options.requests_max = 1;
	options.idle_timeout_ms = 1500;
	set_up(&fixture, &options);
	fixture.hold = true;
	call(&fixture, "held", WAIT_MS);
	wait_held(&fixture, 1);
	call(&fixture, "one too many", WAIT_MS);
	wait_done(&fixture, 1);
	CU_ASSERT_EQUAL(fixture.kind, BP_EOVERLOAD);
	first = fixture.client;
	fixture.client = second;
	call(&fixture, "other connection", WAIT_MS);
	wait_done(&fixture, 2);
	CU_ASSERT_EQUAL(fixture.kind, BP_EUNKNOWN);
	CU_ASSERT_EQUAL(bp_peer_server_connections(fixture.server), 1);
	wait_done(&fixture, 3);
	CU_ASSERT_EQUAL(fixture.kind, BP_EUNKNOWN);
	CU_ASSERT_EQUAL(bp_peer_server_connections(fixture.server), 0);
	echo(g_ptr_array_steal_index(fixture.held, 0));
	bp_peer_client_free(first);
	tear_down(&fixture);
}

/* Opens a connection that sends the bytes and never reads. */
static GSocketConnection *
send_raw(const fixture_t *fixture, const uint8_t *bytes, size_t size_bytes)
{
	GSocketClient *connector = g_socket_client_new();
	GSocketConnection *connection = g_socket_client_connect_to_host(
	    connector, fixture->address, 0, NULL, NULL);
	GOutputStream *stream =
	    g_io_stream_get_output_stream(G_IO_STREAM(connection));

	(void)g_output_stream_write_all(
	    stream, bytes, size_bytes, NULL, NULL, NULL);
	g_object_unref(connector);
	return connection;
}

static GByteArray *
packed_request(size_t body_bytes)
{
	Bp__Peer__Frame request = BP__PEER__FRAME__INIT;
	char *args[] = {"zone", "węzeł"};
	GByteArray *out = g_byte_array_new();
	uint8_t *body = g_malloc0(body_bytes);
	uint8_t *packed;
	size_t size_bytes;

	request.verb = BP__PEER__VERB__VERB_ZONE_CHANGE;
	request.n_args = G_N_ELEMENTS(args);
	request.args = args;
	request.body.data = body;
	request.body.len = body_bytes;
	size_bytes = bp__peer__frame__get_packed_size(&request);
	packed = g_malloc(size_bytes);
	(void)bp__peer__frame__pack(&request, packed);
	(void)bp_frame_append(out, packed, size_bytes, NULL);
	g_free(packed);
	g_free(body);
	return out;
}

/* Guards against unlimited queued answers for a peer that never reads. */
static void
test_slow_reader_is_closed(void)
{
	GByteArray *stream = packed_request(500000);
	GSocketConnection *connection;
	bp_peer_server_options_t options;
	fixture_t fixture;
	unsigned int i;

	(void)bp_peer_server_options_init(&options);
	options.unsent_bytes_max = 2000000;
	set_up(&fixture, &options);
	connection = send_raw(&fixture, NULL, 0);
	g_socket_set_blocking(
	    g_socket_connection_get_socket(connection), FALSE);
	for (i = 0; i < 100; i++) {
		size_t at = 0;
		gssize n;

		/* Whole frames, as far as the server takes them. */
		while (at < stream->len) {
			n = g_socket_send(
			    g_socket_connection_get_socket(connection),
			    (const char *)stream->data + at, stream->len - at,
			    NULL, NULL);
			at += n > 0 ? (size_t)n : 0;
			spin(1);
			if (bp_peer_server_connections(fixture.server) == 0)
				break;
		}
		if (bp_peer_server_connections(fixture.server) == 0)
			break;
	}
	CU_ASSERT_EQUAL(bp_peer_server_connections(fixture.server), 0);
	g_object_unref(connection);
	g_byte_array_unref(stream);
	tear_down(&fixture);
}

/* Guards against a server that stops or hangs on malformed bytes. */
static void
test_mutated_frames_are_safe(void)
{
	GByteArray *stream = packed_request(40);
	bp_random_t random;
	fixture_t fixture;
	int i;

	set_up(&fixture, NULL);
	bp_random_init(&random, MUTATION_SEED);
	for (i = 0; i < MUTATIONS; i++) {
		uint8_t *bytes = g_memdup2(stream->data, stream->len);
		uint32_t edits = 1 + bp_random_below(&random, 4);
		GSocketConnection *connection;

		while (edits-- > 0)
			bytes[bp_random_below(&random, stream->len)] =
			    (uint8_t)bp_random_next(&random);
		connection = send_raw(&fixture, bytes, stream->len);
		while (g_main_context_iteration(NULL, FALSE))
			;
		g_object_unref(connection);
		g_free(bytes);
	}
	call(&fixture, "still there", WAIT_MS);
	wait_done(&fixture, 1);
	CU_ASSERT_EQUAL(fixture.kind, BP_OK);
	g_byte_array_unref(stream);
	tear_down(&fixture);
}

static gboolean
on_busy(gpointer data)
{
	unsigned int *turns = data;

	(*turns)++;
	return G_SOURCE_CONTINUE;
}

/* Guards against frames that are not sent until a node is idle. */
static void
test_a_busy_loop_sends_frames(void)
{
	int64_t end_us = g_get_monotonic_time() + WAIT_MS * 1000;
	unsigned int turns = 0;
	fixture_t fixture;
	guint busy;

	set_up(&fixture, NULL);
	call(&fixture, "connects", WAIT_MS);
	wait_done(&fixture, 1);
	busy = g_idle_add_full(G_PRIORITY_DEFAULT, on_busy, &turns, NULL);
	call(&fixture, "while busy", WAIT_MS);
	while (fixture.done < 2 && g_get_monotonic_time() < end_us)
		(void)g_main_context_iteration(NULL, FALSE);
	CU_ASSERT_EQUAL(fixture.done, 2);
	CU_ASSERT_TRUE(turns > 0);
	g_source_remove(busy);
	tear_down(&fixture);
}

#define SHORT_TIMEOUT_MS 150
#define SETTLE_US 60000
#define ANSWER_US 100000
#define PAUSE_US 500000
#define REQUEST_BYTES 4096

/* Answers one request within its time, from another thread. */
static gpointer
serve_one(gpointer data)
{
	GSocket *socket = g_socket_accept(data, NULL, NULL);
	bp_frame_decoder_t *decoder = bp_frame_decoder_new();
	GByteArray *out = g_byte_array_new();
	uint8_t bytes[REQUEST_BYTES];
	const uint8_t *body = NULL;
	size_t size = 0;
	Bp__Peer__Frame *frame;
	bp_error_t err;
	GBytes *packed;

	while (bp_frame_decoder_next(decoder, &body, &size, &err) == 0) {
		gssize n = g_socket_receive(
		    socket, (gchar *)bytes, sizeof(bytes), NULL, NULL);

		bp_frame_decoder_push(decoder, bytes, (size_t)MAX(n, 0));
	}
	g_usleep(ANSWER_US);
	frame = bp__peer__frame__unpack(NULL, size, body);
	frame->answer = true;
	packed = bp_message_pack(&frame->base);
	(void)bp_frame_append(out, g_bytes_get_data(packed, NULL),
	    g_bytes_get_size(packed), &err);
	(void)g_socket_send(
	    socket, (const gchar *)out->data, out->len, NULL, NULL);
	g_bytes_unref(packed);
	bp__peer__frame__free_unpacked(frame, NULL);
	g_byte_array_unref(out);
	bp_frame_decoder_free(decoder);
	return socket;
}

/* Guards against a timeout when an answer in time is read after a pause. */
static void
test_a_pause_loses_no_answer(void)
{
	int64_t begin_us = g_get_monotonic_time();
	bp_error_t err = {BP_OK, ""};
	GSocket *listener = NULL;
	GSocketAddress *bound;
	fixture_t fixture;
	GThread *server;

	set_up(&fixture, NULL);
	CU_ASSERT_EQUAL_FATAL(
	    bp_listen(&listener, "127.0.0.1:0", 1, &err), BP_OK);
	bound = g_socket_get_local_address(listener, NULL);
	g_free(fixture.address);
	fixture.address = g_strdup_printf("127.0.0.1:%u",
	    g_inet_socket_address_get_port(G_INET_SOCKET_ADDRESS(bound)));
	server = g_thread_new("server", serve_one, listener);
	call(&fixture, "before the pause", SHORT_TIMEOUT_MS);
	while (g_get_monotonic_time() - begin_us < SETTLE_US)
		(void)g_main_context_iteration(NULL, FALSE);
	g_usleep(PAUSE_US);
	wait_done(&fixture, 1);
	CU_ASSERT_EQUAL(fixture.kind, BP_OK);
	g_object_unref(g_thread_join(server));
	g_object_unref(bound);
	g_object_unref(listener);
	tear_down(&fixture);
}

int
main(void)
{
	CU_TestInfo tests[] = {
	    {"answers in any order",
		test_answers_in_any_order_reach_their_calls},
	    {"sent or not", test_failures_tell_whether_the_request_was_sent},
	    {"limits", test_limits_hold},
	    {"slow reader", test_slow_reader_is_closed},
	    {"mutations", test_mutated_frames_are_safe},
	    {"a busy loop sends frames", test_a_busy_loop_sends_frames},
	    {"a pause loses no answer", test_a_pause_loses_no_answer},
	    CU_TEST_INFO_NULL,
	};

	return bp_test_main("peer", tests);
}
