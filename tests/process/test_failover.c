#include "support/cluster.h"
#include "support/runner.h"

#include <signal.h>

#define TASKS 24
/* Longer than it takes to notice a dead node (3 s) and to take over. */
#define LONG_RUN "run_ms=9000"
/* Longer than permit and urgent lease together (8 s). */
#define PAUSE_MS 9000

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
submit(bp_cluster_t *cluster, guint node, const char *klass, guint tasks,
    const char *command)
{
	char *job =
	    bp_cluster_submit(cluster, node, klass, tasks, 1000, command);

	CU_ASSERT_PTR_NOT_NULL_FATAL(job);
	return job;
}

/* Every task of the job was started and has succeeded exactly once. */
static void
expect_undisturbed(bp_cluster_t *cluster, const char *job, guint tasks)
{
	bp_checker_counts_t counts;

	CU_ASSERT_TRUE(bp_cluster_wait_succeeded(cluster, job, tasks));
	bp_cluster_counts(cluster, job, &counts);
	CU_ASSERT_EQUAL(counts.starts, tasks);
	CU_ASSERT_EQUAL(counts.succeeded, tasks);
	CU_ASSERT_EQUAL(counts.lapsed, 0);
}

/* Guards against the death of a node that ends or repeats running tasks. */
static void
test_owner_killed(void)
{
	bp_cluster_t *cluster = new_cluster("killed");
	char *job = submit(cluster, 0, "batch", TASKS, LONG_RUN);
	char *later;
	int owner;

	CU_ASSERT_TRUE(bp_cluster_wait_starts(cluster, job, TASKS));
	owner = bp_cluster_owner(cluster, "z0-w-0");
	CU_ASSERT_TRUE_FATAL(owner >= 0);
	bp_process_signal(
	    bp_cluster_node(cluster, (guint)owner)->process, SIGKILL);
	CU_ASSERT_TRUE(bp_cluster_wait_owner_not(cluster, "z0-w-0", owner));
	expect_undisturbed(cluster, job, TASKS);
	later =
	    submit(cluster, owner == 0 ? 1 : 0, "batch", TASKS, "run_ms=100");
	expect_undisturbed(cluster, later, TASKS);
	CU_ASSERT_EQUAL(bp_cluster_check(cluster, true), 0);
	g_free(job);
	g_free(later);
	bp_cluster_free(cluster);
}

/* Guards against an owner that goes on as before after a long pause. */
static void
test_owner_paused(void)
{
	bp_cluster_t *cluster = new_cluster("paused");
	char *job = submit(cluster, 0, "batch", TASKS, "run_ms=14000");
	bp_process_t *paused;
	int64_t paused_us;
	char *meanwhile;
	char *later;
	int owner;

	CU_ASSERT_TRUE(bp_cluster_wait_starts(cluster, job, TASKS));
	owner = bp_cluster_owner(cluster, "z0-w-0");
	CU_ASSERT_TRUE_FATAL(owner >= 0);
	paused = bp_cluster_node(cluster, (guint)owner)->process;
	bp_process_signal(paused, SIGSTOP);
	paused_us = bp_now_us();
	CU_ASSERT_TRUE(bp_cluster_wait_owner_not(cluster, "z0-w-0", owner));
	meanwhile =
	    submit(cluster, owner == 0 ? 1 : 0, "urgent", TASKS, "run_ms=4000");
	CU_ASSERT_TRUE(bp_cluster_wait_starts(cluster, meanwhile, TASKS));
	bp_run_for_ms(PAUSE_MS - (bp_now_us() - paused_us) / 1000);
	bp_process_signal(paused, SIGCONT);
	later =
	    submit(cluster, owner == 0 ? 1 : 0, "batch", TASKS, "run_ms=3000");
	expect_undisturbed(cluster, meanwhile, TASKS);
	expect_undisturbed(cluster, job, TASKS);
	expect_undisturbed(cluster, later, TASKS);
	CU_ASSERT_TRUE(bp_process_alive(paused));
	CU_ASSERT_EQUAL(bp_cluster_check(cluster, true), 0);
	g_free(job);
	g_free(meanwhile);
	g_free(later);
	bp_cluster_free(cluster);
}

/* Guards against tasks placed again while they may still run on a lost VM. */
static void
test_worker_unreachable(void)
{
	bp_cluster_t *cluster = new_cluster("unreachable");
	char *job = submit(cluster, 0, "urgent", TASKS, "run_ms=8000");
	bp_checker_counts_t counts;

	CU_ASSERT_TRUE(bp_cluster_wait_starts(cluster, job, TASKS));
	bp_cluster_vm_fault(
	    cluster, "{\"vm\":\"z0-w-0\",\"unreachable\":true}");
	bp_cluster_vm_fault(cluster, "{\"vm\":\"z1-w-0\",\"reboot\":true}");
	CU_ASSERT_TRUE(bp_cluster_wait_succeeded(cluster, job, TASKS));
	bp_cluster_vm_fault(
	    cluster, "{\"vm\":\"z0-w-0\",\"unreachable\":false}");
	bp_cluster_counts(cluster, job, &counts);
	CU_ASSERT_TRUE(counts.starts >= TASKS);
	CU_ASSERT_EQUAL(bp_cluster_check(cluster, true), 0);
	g_free(job);
	bp_cluster_free(cluster);
}

int
main(void)
{
	CU_TestInfo tests[] = {
	    {"owner killed", test_owner_killed},
	    {"owner paused", test_owner_paused},
	    {"worker unreachable", test_worker_unreachable},
	    CU_TEST_INFO_NULL,
	};

	return bp_test_main("process/failover", tests);
}
