#include "support/cluster.h"
#include "support/runner.h"

#include <string.h>

#define INTERVAL_MS 15
#define WORK_MS "150"
#define TASKS 24
/* A request sent just before the stop may arrive after it. */
#define BEFORE_STOP_US 500000
/* How long each node serves between two restarts. */
#define SERVE_MS 1500

#define NODES 3

/* Requests sent all the time to all nodes in turn. */
typedef struct {
	bp_cluster_t *cluster;
	GPtrArray *replies; /* bp_reply_t */
	guint timer;
	int64_t stop_us[NODES];
	int64_t ready_us[NODES];
} load_t;

static char *
path_of(guint number)
{
	return g_strdup_printf("once/roll-%u.", number);
}

static gboolean
send_one(gpointer data)
{
	load_t *load = data;
	char *path = path_of(load->replies->len);

	g_ptr_array_add(load->replies,
	    bp_cluster_request(load->cluster, load->replies->len % NODES,
		"POST", path, "X-Work-Ms", WORK_MS));
	g_free(path);
	return G_SOURCE_CONTINUE;
}

static void
stop_load(load_t *load)
{
	guint i;

	g_source_remove(load->timer);
	for (i = 0; i < load->replies->len; i++)
		CU_ASSERT_TRUE_FATAL(
		    bp_http_wait(g_ptr_array_index(load->replies, i)));
}

/* A request without an answer, or refused, must not have been executed. */
static void
expect_request(load_t *load, guint number)
{
	const bp_reply_t *reply = g_ptr_array_index(load->replies, number);
	char *path = path_of(number);
	char *full = g_strdup_printf("/book/%s", path);
	char *own = g_strdup_printf("path=%s ", full);
	guint executed = bp_checker_executions(load->cluster->checker, full);

	if (reply->status == 200) {
		CU_ASSERT_PTR_NOT_NULL(strstr(reply->body, own));
		CU_ASSERT_EQUAL(executed, 1);
	} else {
		CU_ASSERT_EQUAL(executed, 0);
		if (executed != 0 ||
		    (reply->status != 0 &&
			strcmp(reply->outcome, "not_run") != 0))
			printf("  request %u: status %u, outcome %s, %s\n",
			    number, reply->status, reply->outcome,
			    reply->reason);
		if (reply->status != 0)
			CU_ASSERT_STRING_EQUAL(reply->outcome, "not_run");
	}
	g_free(path);
	g_free(full);
	g_free(own);
}

/* A request to a node that was not restarted around it must pass. */
static void
expect_steady(const load_t *load, guint number)
{
	const bp_reply_t *reply = g_ptr_array_index(load->replies, number);
	guint node = number % NODES;

	if (reply->sent_us >= load->stop_us[node] - BEFORE_STOP_US &&
	    reply->sent_us <= load->ready_us[node])
		return;
	CU_ASSERT_EQUAL(reply->status, 200);
	if (reply->status != 200)
		printf("  request %u to node %u: status %u, %s\n", number, node,
		    reply->status, reply->reason);
}

static void
restart_all(load_t *load)
{
	bp_cluster_t *cluster = load->cluster;
	guint i;

	for (i = 0; i < NODES; i++) {
		bp_run_for_ms(SERVE_MS);
		load->stop_us[i] = bp_now_us();
		CU_ASSERT_EQUAL(
		    bp_process_stop(bp_cluster_node(cluster, i)->process), 0);
		CU_ASSERT_TRUE(bp_cluster_start_node(cluster, i));
		CU_ASSERT_TRUE(bp_cluster_nodes_ready(cluster));
		load->ready_us[i] = bp_now_us();
	}
	bp_run_for_ms(SERVE_MS);
}

/* Guards against a rolling restart that cuts off requests or ends tasks. */
static void
test_rolling_restart(void)
{
	bp_cluster_options_t options;
	bp_checker_counts_t counts;
	load_t load = {.replies = g_ptr_array_new_with_free_func(
			   (GDestroyNotify)bp_reply_free)};
	char *job;
	guint i;

	bp_cluster_options_init(&options);
	options.name = "restart";
	options.nodes = NODES;
	load.cluster = bp_cluster_new(&options);
	if (load.cluster == NULL) {
		CU_FAIL_FATAL("no cluster");
		return;
	}
	job = bp_cluster_submit(
	    load.cluster, 0, "batch", TASKS, 1000, "run_ms=10000");
	CU_ASSERT_PTR_NOT_NULL_FATAL(job);
	CU_ASSERT_TRUE(bp_cluster_wait_starts(load.cluster, job, TASKS));
	load.timer = g_timeout_add(INTERVAL_MS, send_one, &load);
	restart_all(&load);
	stop_load(&load);
	CU_ASSERT_TRUE(bp_cluster_wait_succeeded(load.cluster, job, TASKS));
	bp_cluster_counts(load.cluster, job, &counts);
	CU_ASSERT_EQUAL(counts.starts, TASKS);
	CU_ASSERT_EQUAL(counts.lapsed, 0);
	for (i = 0; i < load.replies->len; i++) {
		expect_request(&load, i);
		expect_steady(&load, i);
	}
	CU_ASSERT_EQUAL(bp_cluster_check(load.cluster, true), 0);
	g_free(job);
	g_ptr_array_unref(load.replies);
	bp_cluster_free(load.cluster);
}

int
main(void)
{
	CU_TestInfo tests[] = {
	    {"rolling restart", test_rolling_restart},
	    CU_TEST_INFO_NULL,
	};

	return bp_test_main("process/restart", tests);
}
