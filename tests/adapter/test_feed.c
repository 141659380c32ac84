#include "platform/feed.h"
#include "support/queuehttp.h"
#include "support/runner.h"

#include <libsoup/soup.h>
#include <stdio.h>
#include <string.h>

#define EXECUTORS 5
#define CONNECTIONS 4
/* Entries are read every 0.4 s. */
#define FOLLOW_MS 2500

/* What a feed told. */
typedef struct {
	uint32_t executors;
	uint32_t gone;
	uint32_t listed;
} told_t;

static void
on_executor(bp_executor_info_t *info, void *data)
{
	((told_t *)data)->executors++;
	bp_executor_info_free(info);
}

static void
on_gone(const char *id, void *data)
{
	(void)id;
	((told_t *)data)->gone++;
}

static void
on_listed(void *data)
{
	((told_t *)data)->listed++;
}

static gboolean
on_time(gpointer data)
{
	g_main_loop_quit(data);
	return G_SOURCE_REMOVE;
}

static void
run_ms(uint32_t duration_ms)
{
	GMainLoop *loop = g_main_loop_new(NULL, FALSE);

	(void)g_timeout_add(duration_ms, on_time, loop);
	g_main_loop_run(loop);
	g_main_loop_unref(loop);
}

/*
 * Executors repeat their entries each second; one that says nothing new is
 * told once, and again when the list is followed anew.
 */
static void
test_repeated_entries_are_told_once(void)
{
	bp_queuehttp_t *platform = bp_queuehttp_new(EXECUTORS);
	bp_httpcall_client_t *http = bp_httpcall_new(CONNECTIONS, CONNECTIONS);
	bp_platform_feed_options_t options = {0};
	bp_platform_feed_t *feed;
	told_t told = {0, 0, 0};
	char address[32];

	snprintf(address, sizeof(address), "127.0.0.1:%u",
	    bp_queuehttp_port(platform));
	options.clock = bp_clock_system();
	options.store = bp_platform_store_new(http, address);
	options.listener.executor = on_executor;
	options.listener.executor_gone = on_gone;
	options.listener.executors_listed = on_listed;
	options.listener.data = &told;
	feed = bp_platform_feed_new(&options);
	bp_platform_feed_follow_executors(feed, true);
	run_ms(FOLLOW_MS);
	CU_ASSERT_EQUAL(told.listed, 1);
	CU_ASSERT_EQUAL(told.executors, EXECUTORS);
	bp_platform_feed_follow_executors(feed, false);
	bp_platform_feed_follow_executors(feed, true);
	run_ms(FOLLOW_MS);
	CU_ASSERT_EQUAL(told.listed, 2);
	CU_ASSERT_EQUAL(told.executors, 2 * EXECUTORS);
	CU_ASSERT_EQUAL(told.gone, 0);
	bp_platform_feed_free(feed);
	bp_httpcall_free(http);
	bp_platform_store_free(options.store);
	bp_queuehttp_free(platform);
}

/* A record of a scripted topic; a removal has no value. */
typedef struct {
	uint64_t offset;
	const char *key;
	const char *value;
} record_t;

/* A store whose only page and log of one topic are given. */
typedef struct {
	SoupServer *server;
	bp_httpcall_client_t *http;
	bp_platform_store_t *store;
	bp_platform_feed_t *feed;
	GPtrArray *page; /* record_t */
	GPtrArray *log; /* record_t, in the order of their offsets */
	uint64_t page_end; /* that the page tells */
	uint64_t first; /* offset kept */
	GString *told;
} script_t;

static GString *
page_text(const script_t *script)
{
	GString *text = g_string_new("{\"items\":[");
	guint i;

	for (i = 0; i < script->page->len; i++) {
		const record_t *record = script->page->pdata[i];
		char *value = g_base64_encode(
		    (const guchar *)record->value, strlen(record->value));

		g_string_append_printf(text,
		    "%s{\"key\":\"%s\",\"value\":\"%s\",\"offset\":%u}",
		    i > 0 ? "," : "", record->key, value,
		    (unsigned)record->offset);
		g_free(value);
	}
	g_string_append_printf(text, "],\"has_more\":false,\"end_offset\":%u}",
	    (unsigned)script->page_end);
	return text;
}

static void
append_be(GString *out, uint64_t value, int bytes)
{
	int i;

	for (i = bytes - 1; i >= 0; i--)
		g_string_append_c(out, (char)(value >> (8 * i)));
}

static GString *
log_bytes(const script_t *script, uint64_t from)
{
	GString *out = g_string_new(NULL);
	guint i;

	append_be(out, MAX(from, script->page_end + script->log->len), 8);
	append_be(out, script->first, 8);
	for (i = 0; i < script->log->len; i++) {
		const record_t *record = script->log->pdata[i];
		const char *value = record->value != NULL ? record->value : "";

		if (record->offset < from)
			continue;
		append_be(out, 1 + strlen(record->key) + strlen(value), 4);
		append_be(out, strlen(record->key), 1);
		g_string_append(out, record->key);
		g_string_append(out, value);
	}
	return out;
}

static void
on_script(SoupServer *server, SoupServerMessage *message, const char *path,
    GHashTable *query, void *data)
{
	script_t *script = data;
	bool page = strcmp(path, "/v1/log-newest") == 0;
	const char *text = page ? NULL : g_hash_table_lookup(query, "from");
	uint64_t from = text != NULL ? g_ascii_strtoull(text, NULL, 10) : 0;
	GString *body = page ? page_text(script) : log_bytes(script, from);
	gsize size = body->len;

	(void)server;
	soup_server_message_set_status(
	    message, !page && from < script->first ? 410 : 200, NULL);
	soup_server_message_set_response(message, "application/octet-stream",
	    SOUP_MEMORY_TAKE, g_string_free(body, FALSE), size);
}

static void
tell_executor(bp_executor_info_t *info, void *data)
{
	script_t *script = data;

	g_string_append_printf(
	    script->told, "%s=%d ", info->id, (int)info->born_ms);
	bp_executor_info_free(info);
}

static void
tell_gone(const char *id, void *data)
{
	g_string_append_printf(((script_t *)data)->told, "-%s ", id);
}

static void
tell_listed(void *data)
{
	g_string_append(((script_t *)data)->told, "listed ");
}

static void
tell_zone(const char *zone, bool out, void *data)
{
	g_string_append_printf(
	    ((script_t *)data)->told, "%s%s ", out ? "out:" : "in:", zone);
}

static void
tell_catalog(bp_catalog_t *catalog, void *data)
{
	g_string_append_printf(
	    ((script_t *)data)->told, "v%d ", (int)catalog->version);
	bp_catalog_free(catalog);
}

static void
add(GPtrArray *records, uint64_t offset, const char *key, const char *value)
{
	record_t *record = g_new0(record_t, 1);

	record->offset = offset;
	record->key = key;
	record->value = value;
	g_ptr_array_add(records, record);
}

static void
script_init(script_t *script)
{
	bp_platform_feed_options_t options = {0};
	GSList *uris;
	char *address;

	memset(script, 0, sizeof(*script));
	script->page = g_ptr_array_new_with_free_func(g_free);
	script->log = g_ptr_array_new_with_free_func(g_free);
	script->told = g_string_new(NULL);
	script->server = g_object_new(SOUP_TYPE_SERVER, NULL);
	soup_server_add_handler(script->server, NULL, on_script, script, NULL);
	CU_ASSERT_TRUE_FATAL(soup_server_listen_local(
	    script->server, 0, SOUP_SERVER_LISTEN_IPV4_ONLY, NULL));
	uris = soup_server_get_uris(script->server);
	address = g_strdup_printf("127.0.0.1:%d", g_uri_get_port(uris->data));
	g_slist_free_full(uris, (GDestroyNotify)g_uri_unref);
	script->http = bp_httpcall_new(CONNECTIONS, CONNECTIONS);
	script->store = bp_platform_store_new(script->http, address);
	g_free(address);
	options.clock = bp_clock_system();
	options.store = script->store;
	options.listener.executor = tell_executor;
	options.listener.executor_gone = tell_gone;
	options.listener.executors_listed = tell_listed;
	options.listener.zone = tell_zone;
	options.listener.catalog = tell_catalog;
	options.listener.data = script;
	script->feed = bp_platform_feed_new(&options);
}

static void
script_clear(script_t *script)
{
	bp_platform_feed_free(script->feed);
	bp_httpcall_free(script->http);
	bp_platform_store_free(script->store);
	soup_server_disconnect(script->server);
	g_object_unref(script->server);
	g_ptr_array_unref(script->page);
	g_ptr_array_unref(script->log);
	g_string_free(script->told, TRUE);
}

#define ENTRY(born)                                                          \
	"{\"service_name\":\"s\",\"address\":\"10.0.0.9:1\",\"zone\":\"z\"," \
	"\"slots\":1,\"state\":\"ready\",\"capacity\":{},\"sequence\":1,"    \
	"\"born\":" born "}"
#define SETTLE_MS 200

/* An executor that leaves while the list is not followed is told as gone. */
static void
test_a_list_is_followed_anew(void)
{
	script_t script;

	script_init(&script);
	script.page_end = 2;
	add(script.page, 0, "a", ENTRY("1"));
	add(script.page, 1, "b", ENTRY("2"));
	bp_platform_feed_follow_executors(script.feed, true);
	run_ms(SETTLE_MS);
	bp_platform_feed_follow_executors(script.feed, false);
	g_ptr_array_remove_index(script.page, 0);
	bp_platform_feed_follow_executors(script.feed, true);
	run_ms(SETTLE_MS);
	CU_ASSERT_STRING_EQUAL(
	    script.told->str, "a=1 b=2 listed b=2 -a listed ");
	script_clear(&script);
}

/* Following begins before what the page told: older records are not news. */
static void
test_a_page_is_newer_than_the_log(void)
{
	script_t script;

	script_init(&script);
	script.page_end = 5;
	add(script.page, 9, "a", ENTRY("2"));
	add(script.log, 5, "a", ENTRY("1"));
	add(script.log, 6, "a", NULL);
	add(script.log, 7, "b", ENTRY("3"));
	add(script.log, 8, "c", ENTRY("4"));
	add(script.log, 9, "a", ENTRY("2"));
	add(script.log, 10, "b", NULL);
	bp_platform_feed_follow_executors(script.feed, true);
	run_ms(SETTLE_MS);
	CU_ASSERT_STRING_EQUAL(script.told->str, "a=2 listed b=3 c=4 -b ");
	add(script.log, 11, "a", ENTRY("5"));
	run_ms(3 * SETTLE_MS);
	CU_ASSERT_PTR_NOT_NULL(strstr(script.told->str, "-b a=5 "));
	script_clear(&script);
}

/* Odd entries of other writers hold up none of the others, and take nothing
 * from an executor whose key they have. */
static void
test_odd_entries_hold_up_none(void)
{
	static const char *const odd[] = {"",
	    "[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[", "{\"a\":", "null", "\"x\"",
	    ENTRY("1180591620717411303424"), ENTRY("-1"), ENTRY("1e308"),
	    ENTRY("\"1\""), "\xff\xfe", "{\"state\":\"ready\",\"born\":1}"};
	GString *expected = g_string_new("a=1 b=2 listed ");
	script_t script;
	size_t i;

	script_init(&script);
	script.page_end = 2;
	for (i = 1; i < G_N_ELEMENTS(odd); i++)
		add(script.page, 0, "odd", odd[i]);
	add(script.page, 0, "a", ENTRY("1"));
	add(script.page, 1, "odd\\u0000", ENTRY("7"));
	add(script.page, 1, "odd\\r\\n", ENTRY("7"));
	add(script.page, 1, "b", ENTRY("2"));
	bp_platform_feed_follow_executors(script.feed, true);
	run_ms(SETTLE_MS);
	CU_ASSERT_STRING_EQUAL(script.told->str, expected->str);
	for (i = 1; i < G_N_ELEMENTS(odd); i++)
		add(script.log, 1 + i, i % 2 == 0 ? "odd" : "a", odd[i]);
	add(script.log, 2 + i, "c", ENTRY("3"));
	add(script.log, 3 + i, "a", ENTRY("4"));
	run_ms(3 * SETTLE_MS);
	g_string_append(expected, "c=3 a=4 ");
	CU_ASSERT_STRING_EQUAL(script.told->str, expected->str);
	script_clear(&script);
	g_string_free(expected, TRUE);
}

/* The same of zones and configurations, and after records were dropped. */
static void
test_an_operators_page_is_newer_than_the_log(void)
{
	script_t script;

	script_init(&script);
	script.page_end = 2;
	add(script.page, 6, "config", "{\"version\":9}");
	add(script.page, 5, "evacuate/z", "1");
	add(script.log, 2, "config", "{\"version\":7}");
	add(script.log, 3, "evacuate/z", "1");
	add(script.log, 4, "evacuate/z", NULL);
	add(script.log, 5, "evacuate/z", "1");
	add(script.log, 6, "config", "{\"version\":9}");
	bp_platform_feed_start(script.feed);
	run_ms(SETTLE_MS);
	CU_ASSERT_STRING_EQUAL(script.told->str, "v9 out:z ");
	script.first = 20;
	script.page_end = 20;
	g_ptr_array_set_size(script.page, 0);
	g_ptr_array_set_size(script.log, 0);
	add(script.page, 6, "config", "{\"version\":8}");
	run_ms(SETTLE_MS);
	CU_ASSERT_STRING_EQUAL(script.told->str, "v9 out:z in:z ");
	script_clear(&script);
}

int
main(void)
{
	CU_TestInfo tests[] = {
	    {"repeated entries are told once",
		test_repeated_entries_are_told_once},
	    {"a list is followed anew", test_a_list_is_followed_anew},
	    {"odd entries hold up none", test_odd_entries_hold_up_none},
	    {"a page is newer than the log", test_a_page_is_newer_than_the_log},
	    {"an operators' page is newer than the log",
		test_an_operators_page_is_newer_than_the_log},
	    CU_TEST_INFO_NULL,
	};

	return bp_test_main("adapter/feed", tests);
}
