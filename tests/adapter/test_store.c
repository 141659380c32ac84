#include "bulrushpost/hash.h"
#include "platform/store.h"
#include "support/process.h"
#include "support/runner.h"

#include <libsoup/soup.h>
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
	case 3:
		store->join(store, "g", "m", "t", 1000, 0, on_done, fixture);
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

int
main(void)
{
	CU_TestInfo tests[] = {
	    {"odd members", test_odd_members},
	    {"changed answers", test_changed_answers},
	    CU_TEST_INFO_NULL,
	};

	return bp_test_main("adapter/store", tests);
}
