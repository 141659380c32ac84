#include "support/cluster.h"
#include "support/runner.h"

#include <string.h>

#define SLOW_REQUESTS 8
#define TASKS 12
#define PAIRS 10
#define REQUESTS 40

static bp_cluster_t *
new_cluster(const char *name)
{
	bp_cluster_options_t options;
	bp_cluster_t *cluster;

	bp_cluster_options_init(&options);
	options.name = name;
	cluster = bp_cluster_new(&options);
	CU_ASSERT_PTR_NOT_NULL_FATAL(cluster);
	return cluster;
}

/* Checks that the answer belongs to the request, then frees it. */
static void
expect_own_answer(bp_reply_t *reply, const char *path)
{
	char *text = g_strdup_printf("path=/book/%s ", path);

	CU_ASSERT_TRUE_FATAL(bp_http_wait(reply));
	CU_ASSERT_EQUAL(reply->status, 200);
	CU_ASSERT_PTR_NOT_NULL(strstr(reply->body, text));
	g_free(text);
	bp_reply_free(reply);
}

/* Guards against a planned stop that cuts off requests or running tasks. */
static void
test_graceful_stop(void)
{
	bp_cluster_t *cluster = new_cluster("stop");
	bp_reply_t *replies[SLOW_REQUESTS];
	bp_reply_t *refused;
	bp_checker_counts_t counts;
	char path[32];
	char *job;
	guint i;

	job =
	    bp_cluster_submit(cluster, 1, "batch", TASKS, 1000, "run_ms=6000");
	CU_ASSERT_PTR_NOT_NULL_FATAL(job);
	CU_ASSERT_TRUE(bp_cluster_wait_starts(cluster, job, TASKS));
	for (i = 0; i < SLOW_REQUESTS; i++) {
		g_snprintf(path, sizeof(path), "once/slow-%u", i);
		replies[i] = bp_cluster_request(
		    cluster, 0, "POST", path, "X-Work-Ms", "3000");
	}
	CU_ASSERT_TRUE(
	    bp_cluster_wait_executions(cluster, "once/slow-", SLOW_REQUESTS));
	bp_process_signal(bp_cluster_node(cluster, 0)->process, 15);
	bp_run_for_ms(200);
	refused =
	    bp_cluster_request(cluster, 0, "POST", "once/late", NULL, NULL);
	for (i = 0; i < SLOW_REQUESTS; i++) {
		g_snprintf(path, sizeof(path), "once/slow-%u", i);
		expect_own_answer(replies[i], path);
	}
	CU_ASSERT_TRUE_FATAL(bp_http_wait(refused));
	CU_ASSERT_TRUE(refused->status == 0 || refused->status == 503);
	bp_reply_free(refused);
	CU_ASSERT_EQUAL(
	    bp_process_wait(bp_cluster_node(cluster, 0)->process), 0);
	expect_own_answer(
	    bp_cluster_request(cluster, 1, "POST", "once/after", NULL, NULL),
	    "once/after");
	CU_ASSERT_TRUE(bp_cluster_wait_succeeded(cluster, job, TASKS));
	bp_cluster_counts(cluster, job, &counts);
	CU_ASSERT_EQUAL(counts.starts, TASKS);
	CU_ASSERT_EQUAL(bp_checker_executions(cluster->checker, "/book/once/"),
	    SLOW_REQUESTS + 1);
	CU_ASSERT_EQUAL(bp_cluster_check(cluster, true), 0);
	g_free(job);
	bp_cluster_free(cluster);
}

/* Guards against a keyed request that runs again through another gateway. */
static void
test_key_repeated_elsewhere(void)
{
	bp_cluster_t *cluster = new_cluster("keys");
	bp_reply_t *first;
	bp_reply_t *second;
	char *key;
	guint i;

	for (i = 0; i < PAIRS; i++) {
		key = g_strdup_printf("%" G_GINT64_FORMAT "-pair-%u",
		    g_get_real_time() / G_USEC_PER_SEC, i);
		first = bp_cluster_request(
		    cluster, 0, "POST", "pay", "Idempotency-Key", key);
		/* Odd pairs are sent at once, so that the log decides. */
		if (i % 2 == 0)
			CU_ASSERT_TRUE_FATAL(bp_http_wait(first));
		second = bp_cluster_request(
		    cluster, 1, "POST", "pay", "Idempotency-Key", key);
		CU_ASSERT_TRUE_FATAL(bp_http_wait(first));
		CU_ASSERT_TRUE_FATAL(bp_http_wait(second));
		CU_ASSERT_EQUAL(
		    (first->status == 200) + (second->status == 200), 1);
		if (i % 2 == 0)
			CU_ASSERT_EQUAL(first->status, 200);
		bp_reply_free(first);
		bp_reply_free(second);
		g_free(key);
	}
	CU_ASSERT_EQUAL(bp_cluster_check(cluster, true), 0);
	CU_ASSERT_TRUE(bp_cluster_wait_executions(cluster, "pay", PAIRS));
	bp_cluster_free(cluster);
}

/* Guards against a second execution, or "not run", after a lost answer. */
static void
test_lost_answer_not_repeated(void)
{
	bp_cluster_t *cluster = new_cluster("lostreply");
	bp_reply_t *reply;
	char path[32];
	guint lost = 0;
	guint i;

	for (i = 0; i < 2; i++) {
		bp_cluster_executor_fault(cluster, 0, i, "\"lose_answer\":5");
		bp_cluster_executor_fault(cluster, 1, i, "\"truncate\":true");
	}
	for (i = 0; i < REQUESTS; i++) {
		g_snprintf(path, sizeof(path), "once/lost-%u", i);
		reply = bp_cluster_request(
		    cluster, i % 3, "POST", path, "X-Idempotent", "no");
		CU_ASSERT_TRUE_FATAL(bp_http_wait(reply));
		if (reply->status != 200) {
			lost++;
			if (strcmp(reply->outcome, "not_run") != 0)
				CU_ASSERT_STRING_EQUAL(
				    reply->outcome, "not_known");
		}
		bp_reply_free(reply);
	}
	CU_ASSERT_TRUE(lost > 0);
	CU_ASSERT_EQUAL(bp_cluster_check(cluster, true), 0);
	bp_cluster_free(cluster);
}

/* Guards against requests sent to an endpoint long after it began to leave. */
static void
test_leaving_endpoint(void)
{
	bp_cluster_t *cluster = new_cluster("leaving");
	char path[32];
	guint i;

	bp_cluster_executor_fault(
	    cluster, 0, 0, "\"leaving_but_answering\":true");
	bp_cluster_set_vm_state(cluster, "z0-x-0", "leaving");
	for (i = 0; i < REQUESTS; i++) {
		g_snprintf(path, sizeof(path), "once/leave-%u", i);
		expect_own_answer(bp_cluster_request(
				      cluster, i % 3, "POST", path, NULL, NULL),
		    path);
		bp_run_for_ms(200);
	}
	CU_ASSERT_EQUAL(bp_cluster_check(cluster, true), 0);
	bp_cluster_free(cluster);
}

/* Guards against a gateway that is ready before it can pass on requests. */
static void
test_ready_means_usable(void)
{
	bp_cluster_t *cluster = new_cluster("ready");

	CU_ASSERT_EQUAL(
	    bp_process_stop(bp_cluster_node(cluster, 0)->process), 0);
	CU_ASSERT_TRUE(bp_cluster_start_node(cluster, 0));
	CU_ASSERT_TRUE(bp_cluster_nodes_ready(cluster));
	expect_own_answer(
	    bp_cluster_request(cluster, 0, "POST", "once/first", NULL, NULL),
	    "once/first");
	bp_cluster_free(cluster);
}

int
main(void)
{
	CU_TestInfo tests[] = {
	    {"graceful stop", test_graceful_stop},
	    {"key repeated elsewhere", test_key_repeated_elsewhere},
	    {"lost answer not repeated", test_lost_answer_not_repeated},
	    {"leaving endpoint", test_leaving_endpoint},
	    {"ready means usable", test_ready_means_usable},
	    CU_TEST_INFO_NULL,
	};

	return bp_test_main("process/requests", tests);
}
