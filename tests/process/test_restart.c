#include "support/load.h"
#include "support/runner.h"

#include <stdio.h>

#define INTERVAL_MS 15
#define WORK_MS "150"
#define TASKS 24
/* A request sent just before the stop may arrive after it. */
#define BEFORE_STOP_US 500000
/* How long each node serves between two restarts. */
#define SERVE_MS 1500

#define NODES 3

typedef struct {
	bp_load_t *load;
	int64_t stop_us[NODES];
	int64_t ready_us[NODES];
} restart_t;

/* A request to a node that was not restarted around it must pass. */
static void
expect_steady(const restart_t *restart, const bp_load_request_t *r)
{
	if (r->reply->sent_us >= restart->stop_us[r->node] - BEFORE_STOP_US &&
	    r->reply->sent_us <= restart->ready_us[r->node])
		return;
	CU_ASSERT_EQUAL(r->reply->status, 200);
	if (r->reply->status != 200)
		printf("  %s to node %u: status %u, %s\n", r->path, r->node,
		    r->reply->status, r->reply->reason);
}

static void
restart_all(restart_t *restart)
{
	bp_cluster_t *cluster = restart->load->cluster;
	guint i;

	for (i = 0; i < NODES; i++) {
		bp_run_for_ms(SERVE_MS);
		restart->stop_us[i] = bp_now_us();
		CU_ASSERT_EQUAL(
		    bp_process_stop(bp_cluster_node(cluster, i)->process), 0);
		CU_ASSERT_TRUE(bp_cluster_start_node(cluster, i));
		CU_ASSERT_TRUE(bp_cluster_nodes_ready(cluster));
		restart->ready_us[i] = bp_now_us();
	}
	bp_run_for_ms(SERVE_MS);
}

/* Guards against a rolling restart that cuts off requests or ends tasks. */
static void
test_rolling_restart(void)
{
	bp_cluster_options_t options;
	bp_checker_counts_t counts;
	restart_t restart = {0};
	bp_cluster_t *cluster;
	char *job;
	guint i;

	bp_cluster_options_init(&options);
	options.name = "restart";
	options.nodes = NODES;
	cluster = bp_cluster_new(&options);
	CU_ASSERT_PTR_NOT_NULL_FATAL(cluster);
	job =
	    bp_cluster_submit(cluster, 0, "batch", TASKS, 1000, "run_ms=10000");
	CU_ASSERT_PTR_NOT_NULL_FATAL(job);
	CU_ASSERT_TRUE(bp_cluster_wait_starts(cluster, job, TASKS));
	restart.load = bp_load_new(cluster, INTERVAL_MS, WORK_MS);
	restart_all(&restart);
	CU_ASSERT_TRUE_FATAL(bp_load_stop(restart.load));
	CU_ASSERT_TRUE(bp_cluster_wait_succeeded(cluster, job, TASKS));
	bp_cluster_counts(cluster, job, &counts);
	CU_ASSERT_EQUAL(counts.starts, TASKS);
	CU_ASSERT_EQUAL(counts.lapsed, 0);
	for (i = 0; i < restart.load->requests->len; i++)
		expect_steady(
		    &restart, g_ptr_array_index(restart.load->requests, i));
	CU_ASSERT_EQUAL(bp_load_check(restart.load, true), 0);
	CU_ASSERT_EQUAL(bp_cluster_check(cluster, true), 0);
	g_free(job);
	bp_load_free(restart.load);
	bp_cluster_free(cluster);
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
