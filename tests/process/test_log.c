#include "support/cluster.h"
#include "support/runner.h"

#include <string.h>

#define TASKS 12
#define JOBS 10
#define REQUESTS 20
/* By now each node has had a read and an append fail. */
#define OUTAGE_NOTICED_MS 2500

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

static char *
key_of(guint number)
{
	return g_strdup_printf("%" G_GINT64_FORMAT "-key-%u",
	    g_get_real_time() / G_USEC_PER_SEC, number);
}

static bp_reply_t *
keyed(bp_cluster_t *cluster, guint node, const char *path, guint number)
{
	char *key = key_of(number);
	bp_reply_t *reply = bp_cluster_request(
	    cluster, node, "POST", path, "Idempotency-Key", key);

	CU_ASSERT_TRUE_FATAL(bp_http_wait(reply));
	g_free(key);
	return reply;
}

/* Section 5 of the design: refused, log_unavailable, was not run. */
static void
expect_keyed_refused(bp_cluster_t *cluster, guint node, const char *path)
{
	bp_reply_t *reply = keyed(cluster, node, path, node);

	CU_ASSERT_NOT_EQUAL(reply->status, 200);
	CU_ASSERT_STRING_EQUAL(reply->outcome, "not_run");
	CU_ASSERT_PTR_NOT_NULL(strstr(reply->reason, "log_unavailable"));
	bp_reply_free(reply);
}

/* What section 5 of the design promises while the log is down. */
static void
expect_outage_rules(bp_cluster_t *cluster)
{
	bp_reply_t *reply =
	    bp_cluster_request(cluster, 0, "GET", "plain", NULL, NULL);

	CU_ASSERT_TRUE_FATAL(bp_http_wait(reply));
	CU_ASSERT_EQUAL(reply->status, 200);
	bp_reply_free(reply);
	expect_keyed_refused(cluster, 0, "once/down");
	CU_ASSERT_FALSE(bp_cluster_zone(cluster, 0, "z0", true));
	CU_ASSERT_PTR_NULL(
	    bp_cluster_submit(cluster, 1, "batch", 1, 1000, "run_ms=100"));
}

/* Guards against an outage that stops running work, or a false "accepted". */
static void
test_log_down_and_up(void)
{
	bp_cluster_t *cluster = new_cluster("logdown");
	char *job =
	    bp_cluster_submit(cluster, 0, "batch", TASKS, 1000, "run_ms=8000");
	bp_checker_counts_t counts;
	char *later;

	CU_ASSERT_PTR_NOT_NULL_FATAL(job);
	CU_ASSERT_TRUE(bp_cluster_wait_starts(cluster, job, TASKS));
	bp_cluster_log_faults(cluster, "{\"down\":true}");
	bp_run_for_ms(OUTAGE_NOTICED_MS);
	expect_outage_rules(cluster);
	CU_ASSERT_TRUE(bp_cluster_wait_succeeded(cluster, job, TASKS));
	bp_cluster_log_faults(cluster, "{\"down\":false}");
	later =
	    bp_cluster_submit(cluster, 1, "batch", TASKS, 1000, "run_ms=100");
	CU_ASSERT_PTR_NOT_NULL_FATAL(later);
	CU_ASSERT_TRUE(bp_cluster_wait_succeeded(cluster, later, TASKS));
	bp_cluster_counts(cluster, job, &counts);
	CU_ASSERT_EQUAL(counts.starts, TASKS);
	CU_ASSERT_EQUAL(counts.lapsed, 0);
	CU_ASSERT_EQUAL(bp_cluster_check(cluster, true), 0);
	g_free(job);
	g_free(later);
	bp_cluster_free(cluster);
}

/* Guards against an outcome "not known" for a request that was never sent. */
static void
test_key_refused_as_outage_begins(void)
{
	bp_cluster_t *cluster = new_cluster("logbegin");
	guint i;

	bp_cluster_log_faults(cluster, "{\"down\":true}");
	for (i = 0; i < cluster->nodes->len; i++)
		expect_keyed_refused(cluster, i, "once/begin");
	bp_cluster_log_faults(cluster, "{\"down\":false}");
	bp_run_for_ms(OUTAGE_NOTICED_MS);
	bp_cluster_read(cluster);
	CU_ASSERT_EQUAL(
	    bp_checker_executions(cluster->checker, "/book/once/begin"), 0);
	bp_cluster_free(cluster);
}

/* Guards against an append taken twice, or not at all, for a lost answer. */
static void
test_append_answers_lost(void)
{
	bp_cluster_t *cluster = new_cluster("lostanswers");
	char *jobs[JOBS];
	bp_checker_counts_t counts;
	bp_reply_t *reply;
	guint i;

	bp_cluster_log_faults(cluster, "{\"lose_answers\":200}");
	for (i = 0; i < JOBS; i++) {
		jobs[i] = bp_cluster_submit(
		    cluster, i % 3, "batch", TASKS, 1000, "run_ms=300");
		CU_ASSERT_PTR_NOT_NULL_FATAL(jobs[i]);
	}
	for (i = 0; i < REQUESTS; i++) {
		reply = keyed(cluster, i % 3, "once-keyed", i);
		CU_ASSERT_EQUAL(reply->status, 200);
		bp_reply_free(reply);
	}
	for (i = 0; i < JOBS; i++) {
		CU_ASSERT_TRUE(
		    bp_cluster_wait_succeeded(cluster, jobs[i], TASKS));
		bp_cluster_counts(cluster, jobs[i], &counts);
		CU_ASSERT_EQUAL(counts.starts, TASKS);
		g_free(jobs[i]);
	}
	CU_ASSERT_EQUAL(bp_cluster_check(cluster, true), 0);
	CU_ASSERT_EQUAL(
	    bp_checker_executions(cluster->checker, "/book/once-keyed"),
	    REQUESTS);
	bp_cluster_free(cluster);
}

int
main(void)
{
	CU_TestInfo tests[] = {
	    {"log down and up", test_log_down_and_up},
	    {"key refused as outage begins", test_key_refused_as_outage_begins},
	    {"append answers lost", test_append_answers_lost},
	    CU_TEST_INFO_NULL,
	};

	return bp_test_main("process/log", tests);
}
