#include "support/cluster.h"
#include "support/runner.h"

#include <string.h>
#include <unistd.h>

#define PUBLISHERS 3
#define ROUNDS 6
/* Promised time until a rule file is in force everywhere. */
#define IN_FORCE_MS 9000

/* Starts rules publish through one node; the file differs for each node. */
static bp_process_t *
start_publish(bp_cluster_t *cluster, guint node, guint round)
{
	char *path = g_strdup_printf(
	    "%s/bp-operators-%d-%u", g_get_tmp_dir(), getpid(), node);
	char *text = g_strdup_printf(
	    "team t%u weight %u # operator %u\n", node, round + 1, node);
	char *base = g_strdup_printf("%u", round);
	const char *const argv[] = {"build/bulrushpost", "rules", "publish",
	    path, "--base", base, "--node",
	    bp_cluster_node(cluster, node)->control, NULL};
	bp_process_t *process;

	CU_ASSERT_TRUE(g_file_set_contents(path, text, -1, NULL));
	process = bp_process_start("publish", argv);
	g_free(base);
	g_free(text);
	g_free(path);
	return process;
}

typedef struct {
	bp_cluster_t *cluster;
	char *text; /* the file that all shall show */
} shown_t;

static char *
show(bp_cluster_t *cluster, guint node)
{
	char *output = NULL;

	CU_ASSERT_EQUAL(
	    bp_cluster_cli(cluster, &output, "rules", "show", "--node",
		bp_cluster_node(cluster, node)->control, NULL),
	    0);
	return output;
}

static bool
all_show(void *data)
{
	shown_t *shown = data;
	bool same = true;
	guint i;

	for (i = 0; i < PUBLISHERS; i++) {
		char *text = show(shown->cluster, i);

		same = same && g_strcmp0(text, shown->text) == 0;
		g_free(text);
	}
	return same;
}

static void
race_once(bp_cluster_t *cluster, guint round)
{
	bp_process_t *processes[PUBLISHERS];
	shown_t shown = {cluster, NULL};
	guint winners = 0;
	guint i;

	for (i = 0; i < PUBLISHERS; i++)
		processes[i] = start_publish(cluster, i, round);
	for (i = 0; i < PUBLISHERS; i++) {
		int status = bp_process_wait(processes[i]);

		CU_ASSERT_TRUE(status == 0 || status == 1);
		if (status == 0) {
			winners++;
			shown.text = g_strdup_printf(
			    "team t%u weight %u # operator %u\n", i, round + 1,
			    i);
		}
		bp_process_free(processes[i]);
	}
	CU_ASSERT_EQUAL(winners, 1);
	CU_ASSERT_TRUE(bp_wait_until_ms(all_show, &shown, IN_FORCE_MS));
	g_free(shown.text);
}

/* Guards against two winners of one version, and nodes that disagree. */
static void
test_racing_operators(bp_cluster_t *cluster)
{
	guint round;

	for (round = 0; round < ROUNDS; round++)
		race_once(cluster, round);
}

/* Guards against a merged timeline with effects before their causes. */
static void
test_timeline_of_a_job(bp_cluster_t *cluster)
{
	char *job =
	    bp_cluster_submit(cluster, 0, "batch", 4, 500, "run_ms=100");
	const char *submitted;
	const char *assigned;
	const char *ended;
	char *output = NULL;

	CU_ASSERT_PTR_NOT_NULL_FATAL(job);
	CU_ASSERT_TRUE(bp_cluster_wait_succeeded(cluster, job, 4));
	/* The end is read back from the log after the worker reported it. */
	bp_run_for_ms(1000);
	CU_ASSERT_EQUAL(
	    bp_cluster_cli(cluster, &output, "timeline", "--job", job, "--node",
		bp_cluster_node(cluster, 2)->control, NULL),
	    0);
	submitted = strstr(output, " submit ");
	assigned = strstr(output, " assign ");
	ended = strstr(output, " end ");
	CU_ASSERT_TRUE(submitted != NULL && assigned != NULL && ended != NULL);
	CU_ASSERT_TRUE(submitted < assigned && assigned < ended);
	g_free(output);
	g_free(job);
}

static void
test_operators(void)
{
	bp_cluster_options_t options;
	bp_cluster_t *cluster;

	bp_cluster_options_init(&options);
	options.name = "operators";
	cluster = bp_cluster_new(&options);
	CU_ASSERT_PTR_NOT_NULL_FATAL(cluster);
	test_racing_operators(cluster);
	test_timeline_of_a_job(cluster);
	CU_ASSERT_EQUAL(bp_cluster_check(cluster, true), 0);
	bp_cluster_free(cluster);
}

int
main(void)
{
	CU_TestInfo tests[] = {
	    {"operators", test_operators},
	    CU_TEST_INFO_NULL,
	};

	return bp_test_main("process/operators", tests);
}
