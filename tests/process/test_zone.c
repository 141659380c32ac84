#include "support/cluster.h"
#include "support/runner.h"

#include <signal.h>

#define SHORT_TASKS 600
#define LONG_TASKS 24
#define MANY_TASKS 700
#define PAUSES 3
/* Longer than a nonce (2 s) and the time until a node counts as dead (3 s). */
#define PAUSE_MS 5000
#define RESUMED_MS 1000
/* Beyond the time in which a zone taken out may still see starts. */
#define SETTLED_MS 5000

typedef struct {
	bp_cluster_t *cluster;
	const char *zone;
	int64_t from_us;
} starts_wait_t;

static bool
starts_seen(void *data)
{
	starts_wait_t *wait = data;

	return bp_checker_starts_in(bp_cluster_read(wait->cluster), wait->zone,
		   wait->from_us) > 0;
}

/* Guards against starts in a zone taken out, and work lost on the way. */
static void
test_zone_out_while_tasks_start(void)
{
	bp_cluster_options_t options;
	bp_cluster_t *cluster;
	bp_checker_counts_t counts;
	starts_wait_t back;
	char *many;
	char *few;

	bp_cluster_options_init(&options);
	options.name = "zone";
	cluster = bp_cluster_new(&options);
	CU_ASSERT_PTR_NOT_NULL_FATAL(cluster);
	few = bp_cluster_submit(
	    cluster, 0, "batch", LONG_TASKS, 1000, "run_ms=9000");
	CU_ASSERT_PTR_NOT_NULL_FATAL(few);
	CU_ASSERT_TRUE(bp_cluster_wait_starts(cluster, few, LONG_TASKS));
	many = bp_cluster_submit(
	    cluster, 1, "batch", SHORT_TASKS, 500, "run_ms=2000");
	CU_ASSERT_PTR_NOT_NULL_FATAL(many);
	CU_ASSERT_TRUE(bp_cluster_wait_starts(cluster, many, 1));
	CU_ASSERT_TRUE_FATAL(bp_cluster_zone(cluster, 2, "z0", true));
	bp_run_for_ms(SETTLED_MS);
	back = (starts_wait_t){cluster, "z0", bp_now_us()};
	CU_ASSERT_TRUE_FATAL(bp_cluster_zone(cluster, 0, "z0", false));
	CU_ASSERT_TRUE(bp_wait_until(starts_seen, &back));
	CU_ASSERT_TRUE(bp_cluster_wait_succeeded(cluster, many, SHORT_TASKS));
	CU_ASSERT_TRUE(bp_cluster_wait_succeeded(cluster, few, LONG_TASKS));
	bp_cluster_counts(cluster, few, &counts);
	CU_ASSERT_TRUE(counts.checkpointed > 0);
	CU_ASSERT_EQUAL(bp_cluster_check(cluster, true), 0);
	g_free(many);
	g_free(few);
	bp_cluster_free(cluster);
}

/* Takes z0 out while the owner of its VMs is paused amid starts. */
static void
pause_and_take_out(bp_cluster_t *cluster)
{
	int owner = bp_cluster_owner(cluster, "z0-w-0");
	guint other = owner == 0 ? 1 : 0;
	bp_process_t *paused;

	CU_ASSERT_TRUE_FATAL(owner >= 0);
	paused = bp_cluster_node(cluster, (guint)owner)->process;
	bp_process_signal(paused, SIGSTOP);
	CU_ASSERT_TRUE(bp_cluster_zone(cluster, other, "z0", true));
	bp_run_for_ms(PAUSE_MS);
	bp_process_signal(paused, SIGCONT);
	bp_run_for_ms(RESUMED_MS);
	CU_ASSERT_TRUE(bp_cluster_zone(cluster, other, "z0", false));
}

/* Guards against an owner that sends its pending starts after a pause. */
static void
test_owner_paused_while_zone_goes_out(void)
{
	bp_cluster_options_t options;
	bp_cluster_t *cluster;
	char *job;
	guint i;

	bp_cluster_options_init(&options);
	options.name = "zonepause";
	cluster = bp_cluster_new(&options);
	CU_ASSERT_PTR_NOT_NULL_FATAL(cluster);
	job = bp_cluster_submit(
	    cluster, 0, "batch", MANY_TASKS, 1000, "run_ms=600");
	CU_ASSERT_PTR_NOT_NULL_FATAL(job);
	CU_ASSERT_TRUE(bp_cluster_wait_starts(cluster, job, 1));
	for (i = 0; i < PAUSES; i++)
		pause_and_take_out(cluster);
	CU_ASSERT_TRUE(bp_cluster_wait_succeeded(cluster, job, MANY_TASKS));
	CU_ASSERT_EQUAL(bp_cluster_check(cluster, true), 0);
	g_free(job);
	bp_cluster_free(cluster);
}

int
main(void)
{
	CU_TestInfo tests[] = {
	    {"zone out while tasks start", test_zone_out_while_tasks_start},
	    {"owner paused while zone goes out",
		test_owner_paused_while_zone_goes_out},
	    CU_TEST_INFO_NULL,
	};

	return bp_test_main("process/zone", tests);
}
