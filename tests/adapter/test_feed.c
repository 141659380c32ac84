#include "platform/feed.h"
#include "support/queuehttp.h"
#include "support/runner.h"

#include <stdio.h>

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

int
main(void)
{
	CU_TestInfo tests[] = {
	    {"repeated entries are told once",
		test_repeated_entries_are_told_once},
	    CU_TEST_INFO_NULL,
	};

	return bp_test_main("adapter/feed", tests);
}
