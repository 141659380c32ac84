#include "bulrushpost/hash.h"
#include "platform/store.h"
#include "support/process.h"
#include "support/runner.h"

#include <libsoup/soup.h>
#include <stdio.h>
#include <string.h>

#define ANSWERS 1200
#define SEED 20261204
#define CONNECTIONS 4
#define SAMPLE_MAX 1024

static const char json_text[] =
    "{\"offset\":3,\"end_offset\":12,\"generation\":4,\"has_more\":true,"
    "\"reason\":\"fenced\",\"items\":[{\"key\":\"j/a\",\"value\":\"AAECAw==\","
    "\"offset\":7},{\"key\":\"config\",\"offset\":9}],\"parts\":[[\"t\",1,"
    "\"10.0.0.1:7/ab\",0],[\"t\",2,5]]}";
static const char raw_text[] = "\0\0\0\0\0\0\0\7\0\0\0\0\0\0\0\0"
			       "\0\0\0\7\3abcxyz\0\0\0\4\3abc\0\0\0\6\1k12345";

/* A server that answers all calls with the same bytes. */
typedef struct {
	SoupServer *server;
	bp_httpcall_client_t *http;
	bp_platform_store_t *client;
	guint status;
	char body[SAMPLE_MAX];
	size_t size_bytes;
	bool done;
	bp_store_outcome_t outcome;
	guint records;
	guint assignments;
	uint32_t partition; /* of the last holding */
	bool more;
} fixture_t;

static void
on_call(SoupServer *server, SoupServerMessage *message, const char *path,
    GHashTable *query, void *data)
{
	fixture_t *fixture = data;

	(void)server;
	(void)path;
	(void)query;
	soup_server_message_set_status(message, fixture->status, NULL);
	soup_server_message_set_response(message, "application/json",
	    SOUP_MEMORY_COPY, fixture->body, fixture->size_bytes);
}

static void
on_done(const bp_store_result_t *result, void *data)
{
	fixture_t *fixture = data;
	const bp_store_assignment_t *last;

	fixture->done = true;
	fixture->outcome = result->outcome;
	fixture->records = result->records->len;
	fixture->assignments = result->assignments->len;
	fixture->more = result->more;
	if (result->assignments->len == 0)
		return;
	last = &g_array_index(result->assignments, bp_store_assignment_t,
	    result->assignments->len - 1);
	fixture->partition = last->partition;
}

static void
setup(fixture_t *fixture)
{
	GSList *uris;
	char *address;

	memset(fixture, 0, sizeof(*fixture));
	fixture->server = g_object_new(SOUP_TYPE_SERVER, NULL);
	soup_server_add_handler(fixture->server, NULL, on_call, fixture, NULL);
	CU_ASSERT_TRUE_FATAL(soup_server_listen_local(
	    fixture->server, 0, SOUP_SERVER_LISTEN_IPV4_ONLY, NULL));
	uris = soup_server_get_uris(fixture->server);
	address = g_strdup_printf("127.0.0.1:%d", g_uri_get_port(uris->data));
	fixture->http = bp_httpcall_new(CONNECTIONS, CONNECTIONS);
	fixture->client = bp_platform_store_new(fixture->http, address);
	g_free(address);
	g_slist_free_full(uris, (GDestroyNotify)g_uri_unref);
}

static void
teardown(fixture_t *fixture)
{
	bp_httpcall_free(fixture->http);
	bp_platform_store_free(fixture->client);
	soup_server_disconnect(fixture->server);
	g_object_unref(fixture->server);
}

#define ASK_JOIN 3
#define ASK_OWNERS 4
#define ASK_LEAVE 5

/* Sends the call of this kind; returns once its answer was taken. */
static void
ask(fixture_t *fixture, uint32_t kind)
{
	bp_store_t *store = bp_platform_store_interface(fixture->client);
	bp_store_append_t append = {0};

	fixture->done = false;
	switch (kind) {
	case 0:
		append.topic = "t";
		append.writer = "w";
		append.records = g_ptr_array_new();
		store->append(store, &append, on_done, fixture);
		g_ptr_array_unref((GPtrArray *)append.records);
		break;
	case 1:
		store->newest(store, "t", 0, NULL, on_done, fixture);
		break;
	case 2:
		store->read(store, "t", 0, 5, on_done, fixture);
		break;
	case ASK_JOIN:
		store->join(store, "g", "m", "t", 1000, 0, on_done, fixture);
		break;
	case ASK_LEAVE:
		store->leave(store, "g", "m", on_done, fixture);
		break;
	default:
		store->owners(store, "g", on_done, fixture);
		break;
	}
	while (!fixture->done)
		g_main_context_iteration(NULL, TRUE);
}

static void
answer_with(fixture_t *fixture, guint status, const char *text, size_t size)
{
	fixture->status = status;
	fixture->size_bytes = size;
	memcpy(fixture->body, text, size);
}

/* Members of another type count as missing; the rest is taken. */
static void
test_odd_members(void)
{
	static const char odd_rows[] =
	    "{\"parts\":[3,null,[],[\"t\",\"x\",\"m\"],[\"t\",null,\"m\"],["
	    "\"t\","
	    "-1,\"m\"],[\"t\",1e300,\"m\"],[\"t\",{},\"m\"],[\"t\",3,\"m\"]]}";
	static const char odd_items[] =
	    "{\"has_more\":7,\"end_offset\":\"x\",\"items\":[3,null,[],{},{"
	    "\"key\":"
	    "7},{\"key\":\"a\",\"value\":{}},{\"key\":\"b\",\"value\":\"AA==\","
	    "\"offset\":[]}]}";
	fixture_t fixture;

	setup(&fixture);
	answer_with(&fixture, 200, odd_rows, strlen(odd_rows));
	ask(&fixture, 4);
	CU_ASSERT_EQUAL(fixture.outcome, BP_STORE_OK);
	CU_ASSERT_EQUAL(fixture.assignments, 1);
	CU_ASSERT_EQUAL(fixture.partition, 3);
	answer_with(&fixture, 200, odd_items, strlen(odd_items));
	ask(&fixture, 1);
	CU_ASSERT_EQUAL(fixture.outcome, BP_STORE_OK);
	CU_ASSERT_FALSE(fixture.more);
	CU_ASSERT_EQUAL(fixture.records, 2);
	teardown(&fixture);
}

/* Guards against an owners' list that cannot be read and counts as one without
 * any owner, and against a join that then counts as one without assignments:
 * the node would release its shards. Nothing is read from a leave's answer. */
static void
test_unreadable_group_answers(void)
{
	static const char *const bodies[] = {
	    "", "{", "[]", "{\"parts\":[[\"t\",0,\"m\"]"};
	fixture_t fixture;
	size_t i;

	setup(&fixture);
	for (i = 0; i < G_N_ELEMENTS(bodies); i++) {
		answer_with(&fixture, 200, bodies[i], strlen(bodies[i]));
		ask(&fixture, ASK_JOIN);
		CU_ASSERT_EQUAL(fixture.outcome, BP_STORE_UNKNOWN);
		ask(&fixture, ASK_OWNERS);
		CU_ASSERT_EQUAL(fixture.outcome, BP_STORE_UNKNOWN);
		ask(&fixture, ASK_LEAVE);
		CU_ASSERT_EQUAL(fixture.outcome, BP_STORE_OK);
	}
	teardown(&fixture);
}

/* Answers whose bytes are changed or cut are taken without harm. */
static void
test_changed_answers(void)
{
	static const guint statuses[] = {200, 200, 200, 409, 412, 410, 503};
	bp_random_t random;
	fixture_t fixture;
	uint32_t i;

	setup(&fixture);
	bp_random_init(&random, SEED);
	for (i = 0; i < ANSWERS; i++) {
		uint32_t kind = bp_random_below(&random, 5);
		bool raw = kind == 2;
		size_t size = raw ? sizeof(raw_text) - 1 : strlen(json_text);
		uint32_t changes = bp_random_below(&random, 4);
		uint32_t k;

		answer_with(&fixture,
		    statuses[bp_random_below(&random, G_N_ELEMENTS(statuses))],
		    raw ? raw_text : json_text, size);
		for (k = 0; k < changes; k++)
			fixture.body[bp_random_below(&random, (uint32_t)size)] =
			    bp_random_below(&random, 2) == 0
			    ? json_text[bp_random_below(
				  &random, sizeof(json_text) - 1)]
			    : (char)bp_random_next(&random);
		if (bp_random_below(&random, 4) == 0)
			fixture.size_bytes =
			    bp_random_below(&random, (uint32_t)size);
		ask(&fixture, kind);
	}
	CU_PASS("all answers were taken");
	teardown(&fixture);
}

/* Length of the turns of a busy owner's loop. */
#define TURN_US 20000
/* An append has 1.5 s, and turns of a busy owner's loop take up to 0.25 s. */
#define APPEND_TURNS_MAX 4
#define READ_TURNS_MAX 10
#define APPENDS 40

/* A store that answers in a thread of its own. */
typedef struct {
	GMainContext *context;
	GMainLoop *loop;
	GThread *thread;
	char *address;
	GAsyncQueue *started;
} threaded_t;

static void
on_threaded_call(SoupServer *server, SoupServerMessage *message,
    const char *path, GHashTable *query, void *data)
{
	bool raw = g_str_has_suffix(path, "/log-read");

	(void)server;
	(void)query;
	(void)data;
	soup_server_message_set_status(message, 200, NULL);
	soup_server_message_set_response(message, "application/json",
	    SOUP_MEMORY_STATIC, raw ? raw_text : json_text,
	    raw ? sizeof(raw_text) - 1 : strlen(json_text));
}

static gpointer
serve(gpointer data)
{
	threaded_t *threaded = data;
	SoupServer *server;
	GSList *uris;

	g_main_context_push_thread_default(threaded->context);
	server = g_object_new(SOUP_TYPE_SERVER, NULL);
	soup_server_add_handler(server, NULL, on_threaded_call, NULL, NULL);
	(void)soup_server_listen_local(
	    server, 0, SOUP_SERVER_LISTEN_IPV4_ONLY, NULL);
	uris = soup_server_get_uris(server);
	g_async_queue_push(threaded->started,
	    g_strdup_printf("127.0.0.1:%d", g_uri_get_port(uris->data)));
	g_slist_free_full(uris, (GDestroyNotify)g_uri_unref);
	g_main_loop_run(threaded->loop);
	soup_server_disconnect(server);
	g_object_unref(server);
	g_main_context_pop_thread_default(threaded->context);
	return NULL;
}

static void
threaded_setup(threaded_t *threaded, fixture_t *fixture)
{
	memset(fixture, 0, sizeof(*fixture));
	threaded->context = g_main_context_new();
	threaded->loop = g_main_loop_new(threaded->context, FALSE);
	threaded->started = g_async_queue_new();
	threaded->thread = g_thread_new("store", serve, threaded);
	threaded->address = g_async_queue_pop(threaded->started);
	fixture->http = bp_httpcall_new(CONNECTIONS, CONNECTIONS);
	fixture->client =
	    bp_platform_store_new(fixture->http, threaded->address);
}

static void
threaded_teardown(threaded_t *threaded, fixture_t *fixture)
{
	bp_httpcall_free(fixture->http);
	bp_platform_store_free(fixture->client);
	g_main_loop_quit(threaded->loop);
	g_thread_join(threaded->thread);
	g_main_loop_unref(threaded->loop);
	g_main_context_unref(threaded->context);
	g_async_queue_unref(threaded->started);
	g_free(threaded->address);
}

static gboolean
on_long_turn(gpointer data)
{
	(*(uint32_t *)data)++;
	g_usleep(TURN_US);
	return G_SOURCE_CONTINUE;
}

/* Guards against a busy owner whose appends all reach their time limit, since
 * each step of a call waits for a turn of its loop. */
static void
test_an_append_takes_few_turns(void)
{
	threaded_t threaded;
	fixture_t fixture;
	uint32_t turns = 0;
	uint32_t i;
	guint busy;

	threaded_setup(&threaded, &fixture);
	busy = g_idle_add_full(G_PRIORITY_DEFAULT, on_long_turn, &turns, NULL);
	for (i = 0; i < APPENDS; i++) {
		ask(&fixture, 0);
		CU_ASSERT_EQUAL(fixture.outcome, BP_STORE_OK);
	}
	g_source_remove(busy);
	CU_ASSERT_TRUE(turns <= APPENDS * APPEND_TURNS_MAX);
	if (turns > APPENDS * APPEND_TURNS_MAX)
		printf("  %u turns\n", turns);
	threaded_teardown(&threaded, &fixture);
}

/* Appends one after the other, and the reads that go on meanwhile. */
typedef struct {
	fixture_t *fixture;
	uint32_t appends;
	uint32_t reads;
} traffic_t;

static void
on_read(const bp_store_result_t *result, void *data)
{
	traffic_t *traffic = data;
	bp_store_t *store =
	    bp_platform_store_interface(traffic->fixture->client);

	CU_ASSERT_EQUAL(result->outcome, BP_STORE_OK);
	traffic->reads++;
	if (traffic->appends < APPENDS)
		store->read(store, "t", 0, 5, on_read, traffic);
}

static void
on_appended(const bp_store_result_t *result, void *data)
{
	traffic_t *traffic = data;
	bp_store_t *store =
	    bp_platform_store_interface(traffic->fixture->client);
	GPtrArray *records = g_ptr_array_new();
	bp_store_append_t append = {
	    .topic = "t", .writer = "w", .records = records};

	if (result != NULL)
		traffic->appends++;
	if (traffic->appends < APPENDS)
		store->append(store, &append, on_appended, traffic);
	g_ptr_array_unref(records);
}

/* Guards against appends that hold up the reads of a takeover or of the
 * configuration on a busy loop. */
static void
test_appends_leave_turns_to_reads(void)
{
	threaded_t threaded;
	fixture_t fixture;
	traffic_t traffic = {.fixture = &fixture};
	bp_store_t *store;
	uint32_t turns = 0;
	guint busy;

	threaded_setup(&threaded, &fixture);
	busy = g_idle_add_full(G_PRIORITY_DEFAULT, on_long_turn, &turns, NULL);
	store = bp_platform_store_interface(fixture.client);
	on_appended(NULL, &traffic);
	store->read(store, "t", 0, 5, on_read, &traffic);
	while (traffic.appends < APPENDS)
		g_main_context_iteration(NULL, TRUE);
	g_source_remove(busy);
	CU_ASSERT_TRUE(traffic.reads * READ_TURNS_MAX >= turns);
	if (traffic.reads * READ_TURNS_MAX < turns)
		printf("  %u reads in %u turns\n", traffic.reads, turns);
	threaded_teardown(&threaded, &fixture);
}

int
main(void)
{
	CU_TestInfo tests[] = {
	    {"odd members", test_odd_members},
	    {"unreadable answers of the group", test_unreadable_group_answers},
	    {"changed answers", test_changed_answers},
	    {"an append takes few turns", test_an_append_takes_few_turns},
	    {"appends leave turns to reads", test_appends_leave_turns_to_reads},
	    CU_TEST_INFO_NULL,
	};

	return bp_test_main("adapter/store", tests);
}
