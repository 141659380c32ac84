#include "bulrushpost/workerclient.h"
#include "support/fakelog.h"
#include "support/runner.h"

#include <libsoup/soup.h>
#include <string.h>

#define LIMIT_MS 8000

typedef enum {
	REPLY_GOOD,
	REPLY_GARBAGE,
	REPLY_SHORT, /* one status for two tasks */
	REPLY_BREAK,
	REPLY_NEVER,
	REPLY_404
} reply_t;

typedef struct {
	SoupServer *server;
	char *url;
	reply_t reply;
	bp_workerclient_t *client;
	uint32_t calls;
	int kind;
	uint64_t nonce;
} rig_t;

static void
reply_start(rig_t *rig, SoupServerMessage *message)
{
	Bp__Worker__StartAnswer answer = BP__WORKER__START_ANSWER__INIT;
	Bp__Worker__Status status[2] = {BP__WORKER__STATUS__STATUS_OK};
	uint8_t bytes[64];

	answer.n_status = rig->reply == REPLY_SHORT ? 1 : 2;
	answer.status = status;
	answer.nonce = 42;
	soup_server_message_set_status(message, 200, NULL);
	soup_server_message_set_response(message, "application/x-protobuf",
	    SOUP_MEMORY_COPY, (const char *)bytes,
	    bp__worker__start_answer__pack(&answer, bytes));
}

static void
on_request(SoupServer *server, SoupServerMessage *message, const char *path,
    GHashTable *query, void *data)
{
	rig_t *rig = data;
	GIOStream *stream;

	switch (rig->reply) {
	case REPLY_GOOD:
	case REPLY_SHORT:
		reply_start(rig, message);
		break;
	case REPLY_GARBAGE:
		soup_server_message_set_status(message, 200, NULL);
		soup_server_message_set_response(message, "text/plain",
		    SOUP_MEMORY_STATIC, "\xff\xff\xff", 3);
		break;
	case REPLY_BREAK:
		stream = soup_server_message_steal_connection(message);
		g_io_stream_close(stream, NULL, NULL);
		g_object_unref(stream);
		break;
	case REPLY_NEVER:
		soup_server_message_pause(message);
		break;
	case REPLY_404:
		soup_server_message_set_status(message, 404, NULL);
		break;
	}
}

static void
rig_init(rig_t *rig)
{
	bp_workerclient_options_t options;
	GSList *uris;

	memset(rig, 0, sizeof(*rig));
	rig->server = soup_server_new(NULL, NULL);
	soup_server_add_handler(
	    rig->server, "/v1/start", on_request, rig, NULL);
	soup_server_listen_local(
	    rig->server, 0, SOUP_SERVER_LISTEN_IPV4_ONLY, NULL);
	uris = soup_server_get_uris(rig->server);
	rig->url =
	    g_strdup_printf("http://127.0.0.1:%d", g_uri_get_port(uris->data));
	g_slist_free_full(uris, (GDestroyNotify)g_uri_unref);
	bp_workerclient_options_init(&options);
	options.timeout_ms = 200;
	CU_ASSERT_EQUAL_FATAL(
	    bp_workerclient_new(&rig->client, &options, NULL), BP_OK);
}

static void
rig_clear(rig_t *rig)
{
	bp_workerclient_free(rig->client);
	run_for(20);
	soup_server_disconnect(rig->server);
	run_for(20);
	g_object_unref(rig->server);
	g_free(rig->url);
}

static void
on_started(
    const Bp__Worker__StartAnswer *answer, const bp_error_t *err, void *data)
{
	rig_t *rig = data;

	rig->calls++;
	rig->kind = err != NULL ? (int)err->kind : BP_OK;
	rig->nonce = answer != NULL ? answer->nonce : 0;
}

static bool
is_called(void *data)
{
	return ((rig_t *)data)->calls > 0;
}

static void
send_start(rig_t *rig, const char *url)
{
	Bp__Worker__StartRequest request = BP__WORKER__START_REQUEST__INIT;
	Bp__Worker__StartTask task = BP__WORKER__START_TASK__INIT;
	Bp__Worker__StartTask *tasks[] = {&task, &task};

	request.n_tasks = 2;
	request.tasks = tasks;
	rig->calls = 0;
	bp_workerclient_start(rig->client, url, &request, on_started, rig);
	CU_ASSERT_EQUAL(rig->calls, 0);
}

static int
start(rig_t *rig, reply_t reply)
{
	rig->reply = reply;
	send_start(rig, rig->url);
	CU_ASSERT_TRUE(wait_until(is_called, rig, LIMIT_MS));
	CU_ASSERT_EQUAL(rig->calls, 1);
	return rig->kind;
}

/* Guards against reporting "not run" if the worker may have got a start. */
static void
test_sent_and_not_sent_differ(void)
{
	rig_t rig;

	rig_init(&rig);
	CU_ASSERT_EQUAL(start(&rig, REPLY_GOOD), BP_OK);
	CU_ASSERT_EQUAL(rig.nonce, 42);
	CU_ASSERT_EQUAL(start(&rig, REPLY_GARBAGE), BP_EUNKNOWN);
	CU_ASSERT_EQUAL(start(&rig, REPLY_SHORT), BP_EUNKNOWN);
	CU_ASSERT_EQUAL(start(&rig, REPLY_BREAK), BP_EUNKNOWN);
	CU_ASSERT_EQUAL(start(&rig, REPLY_NEVER), BP_EUNKNOWN);
	CU_ASSERT_EQUAL(start(&rig, REPLY_404), BP_EREFUSED);
	send_start(&rig, "http://127.0.0.1:1");
	CU_ASSERT_TRUE(wait_until(is_called, &rig, LIMIT_MS));
	CU_ASSERT_EQUAL(rig.kind, BP_ENOTSENT);
	send_start(&rig, "no URL");
	CU_ASSERT_TRUE(wait_until(is_called, &rig, LIMIT_MS));
	CU_ASSERT_EQUAL(rig.kind, BP_EINVALID);
	rig_clear(&rig);
}

/* Guards against callbacks to an owner that was freed. */
static void
test_no_callback_after_free(void)
{
	rig_t rig;

	rig_init(&rig);
	rig.reply = REPLY_NEVER;
	send_start(&rig, rig.url);
	send_start(&rig, "no URL");
	send_start(&rig, "http://127.0.0.1:1");
	rig_clear(&rig);
	run_for(300);
	CU_ASSERT_EQUAL(rig.calls, 0);
}

int
main(void)
{
	CU_TestInfo tests[] = {
	    {"sent and not sent", test_sent_and_not_sent_differ},
	    {"free", test_no_callback_after_free},
	    CU_TEST_INFO_NULL,
	};

	return bp_test_main("workerclient", tests);
}
