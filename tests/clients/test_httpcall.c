#include "clients/httpcall.h"
#include "support/runner.h"

#include <stdbool.h>
#include <string.h>

#define WAIT_MS 2000
#define MS_PER_S 1000

typedef struct {
	bool done;
	int kind;
} outcome_t;

static gboolean
on_busy(gpointer data)
{
	(void)data;
	return G_SOURCE_CONTINUE;
}

static void
on_done(const bp_httpcall_response_t *answer, const bp_error_t *err, void *data)
{
	outcome_t *outcome = data;

	outcome->done = true;
	outcome->kind = answer != NULL ? BP_OK : (int)err->kind;
}

/* Guards against failing calls that complete only when the loop is idle. */
static void
test_a_busy_loop_ends_bad_calls(void)
{
	int64_t end_us = g_get_monotonic_time() + WAIT_MS * MS_PER_S;
	bp_httpcall_client_t *http = bp_httpcall_new(1, 1);
	guint busy = g_idle_add_full(G_PRIORITY_DEFAULT, on_busy, NULL, NULL);
	bp_httpcall_request_t request = {0};
	outcome_t outcome = {false, BP_OK};

	request.method = "GET";
	request.url = "no scheme";
	request.timeout_ms = WAIT_MS;
	bp_httpcall_start(http, &request, on_done, &outcome, NULL, NULL);
	while (!outcome.done && g_get_monotonic_time() < end_us)
		(void)g_main_context_iteration(NULL, FALSE);
	CU_ASSERT_TRUE(outcome.done);
	CU_ASSERT_EQUAL(outcome.kind, BP_EINVALID);
	g_source_remove(busy);
	bp_httpcall_free(http);
}

#define BODY_BYTES 200000
#define SLICE_BYTES 8192
#define SLICE_PAUSE_US 2000
/* Duration of one iteration of a busy owner's main loop. */
#define TURN_US 20000
#define REQUEST_BYTES 4096

/* Serves one request with a body sent in slices. */
static gpointer
serve(gpointer data)
{
	GSocket *listener = data;
	GSocket *socket = g_socket_accept(listener, NULL, NULL);
	char *body = g_strnfill(BODY_BYTES, 'x');
	char *head = g_strdup_printf(
	    "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n", BODY_BYTES);
	char request[REQUEST_BYTES];
	gsize at = 0;

	(void)g_socket_receive(socket, request, sizeof(request), NULL, NULL);
	(void)g_socket_send(socket, head, strlen(head), NULL, NULL);
	while (at < BODY_BYTES) {
		gssize n = g_socket_send(socket, body + at,
		    MIN(SLICE_BYTES, BODY_BYTES - at), NULL, NULL);

		if (n <= 0)
			break;
		at += (gsize)n;
		g_usleep(SLICE_PAUSE_US);
	}
	g_object_unref(socket);
	g_free(body);
	g_free(head);
	return NULL;
}

static gboolean
on_long_turn(gpointer data)
{
	uint32_t *turns = data;

	(*turns)++;
	g_usleep(TURN_US);
	return G_SOURCE_CONTINUE;
}

/* Iterations of a busy loop until a call of this priority completes. */
static uint32_t
turns_until_answered(int priority)
{
	GInetAddress *loopback =
	    g_inet_address_new_loopback(G_SOCKET_FAMILY_IPV4);
	GSocketAddress *any = g_inet_socket_address_new(loopback, 0);
	GSocket *listener = g_socket_new(G_SOCKET_FAMILY_IPV4,
	    G_SOCKET_TYPE_STREAM, G_SOCKET_PROTOCOL_TCP, NULL);
	bp_httpcall_client_t *http = bp_httpcall_new(1, 1);
	bp_httpcall_request_t request = {0};
	outcome_t outcome = {false, BP_OK};
	GSocketAddress *bound;
	uint32_t turns = 0;
	GThread *server;
	guint busy;
	char *url;

	CU_ASSERT_TRUE(g_socket_bind(listener, any, TRUE, NULL));
	CU_ASSERT_TRUE(g_socket_listen(listener, NULL));
	bound = g_socket_get_local_address(listener, NULL);
	url = g_strdup_printf("http://127.0.0.1:%u/",
	    g_inet_socket_address_get_port(G_INET_SOCKET_ADDRESS(bound)));
	server = g_thread_new("server", serve, listener);
	busy = g_idle_add_full(G_PRIORITY_DEFAULT, on_long_turn, &turns, NULL);
	request.method = "GET";
	request.url = url;
	request.max_response_bytes = BODY_BYTES;
	request.timeout_ms = 10 * WAIT_MS;
	request.priority = priority;
	bp_httpcall_start(http, &request, on_done, &outcome, NULL, NULL);
	while (!outcome.done)
		(void)g_main_context_iteration(NULL, FALSE);
	CU_ASSERT_EQUAL(outcome.kind, BP_OK);
	g_source_remove(busy);
	g_thread_join(server);
	bp_httpcall_free(http);
	g_object_unref(bound);
	g_object_unref(listener);
	g_object_unref(any);
	g_object_unref(loopback);
	g_free(url);
	return turns;
}

/*
 * A configuration must take effect within 3 s, and iterations of a busy owner's
 * loop last up to 0.3 s.
 */
#define URGENT_TURNS_MAX 10

/*
 * Guards against a busy owner taking seconds to read a configuration, because
 * each step of a call waits for an iteration of the loop.
 */
static void
test_urgent_calls_take_few_turns(void)
{
	uint32_t turns = turns_until_answered(G_PRIORITY_HIGH);

	CU_ASSERT_TRUE(turns <= URGENT_TURNS_MAX);
	if (turns > URGENT_TURNS_MAX)
		printf("%u turns\n", turns);
}

#define SHORT_TIMEOUT_MS 150
#define PAUSE_US 500000
#define SETTLE_US 60000

#define ANSWER_US 100000

/* Responds to one request within its time limit. */
static gpointer
serve_short(gpointer data)
{
	static const char answer[] =
	    "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
	GSocket *socket = g_socket_accept(data, NULL, NULL);
	char request[REQUEST_BYTES];

	(void)g_socket_receive(socket, request, sizeof(request), NULL, NULL);
	g_usleep(ANSWER_US);
	(void)g_socket_send(socket, answer, strlen(answer), NULL, NULL);
	return socket;
}

/* Guards against losing responses that arrive in time during a pause. */
static void
test_a_pause_loses_no_answer(void)
{
	GInetAddress *loopback =
	    g_inet_address_new_loopback(G_SOCKET_FAMILY_IPV4);
	GSocketAddress *any = g_inet_socket_address_new(loopback, 0);
	GSocket *listener = g_socket_new(G_SOCKET_FAMILY_IPV4,
	    G_SOCKET_TYPE_STREAM, G_SOCKET_PROTOCOL_TCP, NULL);
	bp_httpcall_client_t *http = bp_httpcall_new(1, 1);
	bp_httpcall_request_t request = {0};
	outcome_t outcome = {false, BP_OK};
	int64_t begin_us = g_get_monotonic_time();
	GSocketAddress *bound;
	GThread *server;
	GSocket *served;
	char *url;

	CU_ASSERT_TRUE(g_socket_bind(listener, any, TRUE, NULL));
	CU_ASSERT_TRUE(g_socket_listen(listener, NULL));
	bound = g_socket_get_local_address(listener, NULL);
	url = g_strdup_printf("http://127.0.0.1:%u/",
	    g_inet_socket_address_get_port(G_INET_SOCKET_ADDRESS(bound)));
	server = g_thread_new("server", serve_short, listener);
	request.method = "GET";
	request.url = url;
	request.max_response_bytes = BODY_BYTES;
	request.timeout_ms = SHORT_TIMEOUT_MS;
	bp_httpcall_start(http, &request, on_done, &outcome, NULL, NULL);
	/* The request is sent; the process pauses before it reads. */
	while (g_get_monotonic_time() - begin_us < SETTLE_US)
		(void)g_main_context_iteration(NULL, FALSE);
	g_usleep(PAUSE_US);
	while (!outcome.done)
		(void)g_main_context_iteration(NULL, TRUE);
	CU_ASSERT_EQUAL(outcome.kind, BP_OK);
	served = g_thread_join(server);
	bp_httpcall_free(http);
	g_object_unref(served);
	g_object_unref(bound);
	g_object_unref(listener);
	g_object_unref(any);
	g_object_unref(loopback);
	g_free(url);
}

#define INCARNATION 7
#define ANSWER "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"

/* A server that closes its first connection when a second request arrives
 * there, and counts the requests that it reads on later ones. */
typedef struct {
	GSocket *listener;
	bool pinned_sent; /* a request for one incarnation came later */
	bool any_sent; /* one for any */
} restarting_t;

/* Reads one request into text; false when the connection has ended. */
static bool
read_request(GSocket *socket, char *text, gsize size)
{
	gssize n = g_socket_receive(socket, text, size - 1, NULL, NULL);

	text[MAX(n, 0)] = '\0';
	return n > 0;
}

static gpointer
serve_restarting(gpointer data)
{
	restarting_t *server = data;
	GSocket *first = g_socket_accept(server->listener, NULL, NULL);
	char text[REQUEST_BYTES];
	GSocket *later;

	(void)read_request(first, text, sizeof(text));
	(void)g_socket_send(first, ANSWER, strlen(ANSWER), NULL, NULL);
	(void)read_request(first, text, sizeof(text));
	(void)g_socket_close(first, NULL);
	g_object_unref(first);
	while (!server->any_sent) {
		later = g_socket_accept(server->listener, NULL, NULL);
		if (read_request(later, text, sizeof(text))) {
			server->pinned_sent = server->pinned_sent ||
			    strstr(text, "/pinned") != NULL;
			server->any_sent = strstr(text, "/any") != NULL;
			(void)g_socket_send(
			    later, ANSWER, strlen(ANSWER), NULL, NULL);
		}
		g_object_unref(later);
	}
	return NULL;
}

typedef struct {
	bool done;
	int kind;
	uint64_t connection;
} reply_t;

static void
on_reply(
    const bp_httpcall_response_t *answer, const bp_error_t *err, void *data)
{
	reply_t *reply = data;

	reply->done = true;
	reply->kind = answer != NULL ? BP_OK : (int)err->kind;
	reply->connection = answer != NULL ? answer->connection : 0;
}

static reply_t
call_and_wait(bp_httpcall_client_t *http, const char *url, int64_t incarnation)
{
	bp_httpcall_request_t request = {0};
	reply_t reply = {false, BP_OK, 0};

	request.method = "POST";
	request.url = url;
	request.max_response_bytes = BODY_BYTES;
	request.timeout_ms = WAIT_MS;
	request.incarnation = incarnation;
	bp_httpcall_start(http, &request, on_reply, &reply, NULL, NULL);
	while (!reply.done)
		(void)g_main_context_iteration(NULL, TRUE);
	return reply;
}

/*
 * A server restarts while a request for its first incarnation is on its way or
 * about to be sent. Guards against the HTTP library sending such a request over
 * a new connection, to the next incarnation.
 */
static void
test_a_request_reaches_its_incarnation_only(void)
{
	GInetAddress *loopback =
	    g_inet_address_new_loopback(G_SOCKET_FAMILY_IPV4);
	GSocketAddress *any = g_inet_socket_address_new(loopback, 0);
	bp_httpcall_client_t *http = bp_httpcall_new(3, 3);
	restarting_t server = {NULL, false, false};
	GSocketAddress *bound;
	GThread *thread;
	char *pinned;
	char *other;
	reply_t reply;

	server.listener = g_socket_new(G_SOCKET_FAMILY_IPV4,
	    G_SOCKET_TYPE_STREAM, G_SOCKET_PROTOCOL_TCP, NULL);
	CU_ASSERT_TRUE(g_socket_bind(server.listener, any, TRUE, NULL));
	CU_ASSERT_TRUE(g_socket_listen(server.listener, NULL));
	bound = g_socket_get_local_address(server.listener, NULL);
	pinned = g_strdup_printf("http://127.0.0.1:%u/pinned",
	    g_inet_socket_address_get_port(G_INET_SOCKET_ADDRESS(bound)));
	other = g_strdup_printf("http://127.0.0.1:%u/any",
	    g_inet_socket_address_get_port(G_INET_SOCKET_ADDRESS(bound)));
	thread = g_thread_new("server", serve_restarting, &server);
	/* No connection is known. */
	reply = call_and_wait(http, pinned, INCARNATION);
	CU_ASSERT_EQUAL(reply.kind, BP_EMISMATCH);
	/* Another incarnation has answered on the only one. */
	reply = call_and_wait(http, pinned, 0);
	CU_ASSERT_EQUAL(reply.kind, BP_OK);
	CU_ASSERT_NOT_EQUAL(reply.connection, 0);
	bp_httpcall_confirm(http, pinned, reply.connection, INCARNATION + 1);
	CU_ASSERT_EQUAL(
	    call_and_wait(http, pinned, INCARNATION).kind, BP_EMISMATCH);
	/* It is sent over the confirmed connection, which is then closed. */
	bp_httpcall_confirm(http, pinned, reply.connection, INCARNATION);
	CU_ASSERT_EQUAL(
	    call_and_wait(http, pinned, INCARNATION).kind, BP_EUNKNOWN);
	/* The record of the closed connection sends nothing either. */
	CU_ASSERT_EQUAL(
	    call_and_wait(http, pinned, INCARNATION).kind, BP_EMISMATCH);
	CU_ASSERT_EQUAL(call_and_wait(http, other, 0).kind, BP_OK);
	g_thread_join(thread);
	CU_ASSERT_FALSE(server.pinned_sent);
	bp_httpcall_free(http);
	g_object_unref(bound);
	g_object_unref(server.listener);
	g_object_unref(any);
	g_object_unref(loopback);
	g_free(pinned);
	g_free(other);
}

int
main(void)
{
	CU_TestInfo tests[] = {
	    {"a busy loop ends bad calls", test_a_busy_loop_ends_bad_calls},
	    {"urgent calls take few turns", test_urgent_calls_take_few_turns},
	    {"a pause loses no answer", test_a_pause_loses_no_answer},
	    {"a request reaches its incarnation only",
		test_a_request_reaches_its_incarnation_only},
	    CU_TEST_INFO_NULL,
	};

	return bp_test_main("clients/httpcall", tests);
}
