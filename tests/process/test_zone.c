#include "support/cluster.h"
#include "support/runner.h"

#define SHORT_TASKS 600
#define LONG_TASKS 24
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

int
main(void)
{
	CU_TestInfo tests[] = {
	    {"zone out while tasks start", test_zone_out_while_tasks_start},
	    CU_TEST_INFO_NULL,
	};

	return bp_test_main("process/zone", tests);
}
