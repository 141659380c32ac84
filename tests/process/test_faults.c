#include "bulrushpost/hash.h"
#include "support/load.h"
#include "support/runner.h"

#include <signal.h>
#include <stdio.h>
#include <stdlib.h>

#define SEED_DEFAULT 20261204
#define ROUNDS 24
#define ROUND_MS 1500
#define TASKS 4
#define REQUEST_INTERVAL_MS 40
/* A lost batch task is placed again after permit and lease (32 s). */
#define SETTLE_LIMIT_MS 120000

typedef struct {
	bp_cluster_t *cluster;
	bp_load_t *load;
	bp_random_t random;
	GPtrArray *jobs; /* ids of accepted jobs */
	guint zone_out; /* index + 1 of the zone that is out, or 0 */
} faults_t;

static bp_cluster_node_t *
random_node(faults_t *faults)
{
	return bp_cluster_node(faults->cluster,
	    bp_random_below(&faults->random, faults->cluster->nodes->len));
}

static char *
random_vm(faults_t *faults)
{
	return g_strdup_printf("z%u-w-%u",
	    bp_random_below(&faults->random, faults->cluster->options.zones),
	    bp_random_below(&faults->random, faults->cluster->options.workers));
}

static void
vm_fault(faults_t *faults, const char *members)
{
	char *vm = random_vm(faults);
	char *json = g_strdup_printf("{\"vm\":\"%s\",%s}", vm, members);

	printf("  fault of a VM: %s\n", json);
	bp_cluster_vm_fault(faults->cluster, json);
	g_free(json);
	g_free(vm);
}

static void
pause_node(faults_t *faults)
{
	bp_cluster_node_t *node = random_node(faults);

	printf("  pause of node %s\n", node->name);
	bp_process_signal(node->process, SIGSTOP);
}

static void
kill_node(faults_t *faults)
{
	guint index =
	    bp_random_below(&faults->random, faults->cluster->nodes->len);

	printf("  kill and restart of node n%u\n", index);
	CU_ASSERT_TRUE(bp_cluster_start_node(faults->cluster, index));
}

static void
log_faults(faults_t *faults, const char *json)
{
	printf("  fault of the log: %s\n", json);
	bp_cluster_log_faults(faults->cluster, json);
}

static void
toggle_zone(faults_t *faults)
{
	char zone[8];

	if (faults->zone_out == 0) {
		g_snprintf(zone, sizeof(zone), "z%u",
		    bp_random_below(
			&faults->random, faults->cluster->options.zones));
		if (!bp_cluster_zone(faults->cluster, 0, zone, true))
			return;
		faults->zone_out = 1 + (guint)(zone[1] - '0');
		printf("  zone %s taken out\n", zone);
		return;
	}
	g_snprintf(zone, sizeof(zone), "z%u", faults->zone_out - 1);
	if (!bp_cluster_zone(faults->cluster, 0, zone, false))
		return;
	faults->zone_out = 0;
	printf("  zone %s back\n", zone);
}

static void
executor_fault(faults_t *faults)
{
	static const char *const kinds[] = {"\"refuse\":true",
	    "\"lose_answer\":5", "\"truncate\":true", "\"wrong_echo\":true",
	    "\"delay_ms\":700", "\"fail_fast\":true"};
	const char *kind = kinds[bp_random_below(
	    &faults->random, (uint32_t)G_N_ELEMENTS(kinds))];
	guint zone =
	    bp_random_below(&faults->random, faults->cluster->options.zones);
	guint index = bp_random_below(
	    &faults->random, faults->cluster->options.executors);

	printf("  fault of executor %u in z%u: %s\n", index, zone, kind);
	bp_cluster_executor_fault(faults->cluster, zone, index, kind);
}

static void
random_fault(faults_t *faults)
{
	switch (bp_random_below(&faults->random, 11)) {
	case 0:
		pause_node(faults);
		break;
	case 1:
		kill_node(faults);
		break;
	case 2:
		log_faults(faults, "{\"down\":true}");
		break;
	case 3:
		log_faults(faults, "{\"lose_answers\":10}");
		break;
	case 4:
		log_faults(faults, "{\"delay_ms\":300}");
		break;
	case 5:
		vm_fault(faults, "\"unreachable\":true");
		break;
	case 6:
		vm_fault(faults, "\"frozen\":true");
		break;
	case 7:
		vm_fault(faults, "\"reboot\":true");
		break;
	case 8:
	case 9:
		executor_fault(faults);
		break;
	default:
		toggle_zone(faults);
		break;
	}
}

static void
heal_executors(bp_cluster_t *cluster, guint zone)
{
	guint i;

	for (i = 0; i < cluster->options.executors; i++)
		bp_cluster_executor_fault(cluster, zone, i,
		    "\"refuse\":false,\"truncate\":false,"
		    "\"wrong_echo\":false,\"delay_ms\":0,"
		    "\"lose_answer\":0,\"fail_fast\":false");
}

/* Ends all faults that last, but leaves a zone out. */
static void
heal(faults_t *faults)
{
	bp_cluster_t *cluster = faults->cluster;
	guint zone;
	guint i;

	for (i = 0; i < cluster->nodes->len; i++)
		bp_process_signal(
		    bp_cluster_node(cluster, i)->process, SIGCONT);
	bp_cluster_log_faults(
	    cluster, "{\"down\":false,\"delay_ms\":0,\"lose_answers\":0}");
	for (zone = 0; zone < cluster->options.zones; zone++) {
		heal_executors(cluster, zone);
		for (i = 0; i < cluster->options.workers; i++) {
			char *json = g_strdup_printf(
			    "{\"vm\":\"z%u-w-%u\",\"unreachable\":false,"
			    "\"frozen\":false}",
			    zone, i);

			bp_cluster_vm_fault(cluster, json);
			g_free(json);
		}
	}
}

/* A submission may fail while the log or the node is down. */
static void
submit(faults_t *faults, guint round)
{
	static const char *const classes[] = {"urgent", "batch"};
	guint node =
	    bp_random_below(&faults->random, faults->cluster->nodes->len);
	char *command = g_strdup_printf(
	    "run_ms=%u", 200 + bp_random_below(&faults->random, 4000));
	char *job = bp_cluster_submit(
	    faults->cluster, node, classes[round % 2], TASKS, 1000, command);

	if (job != NULL)
		g_ptr_array_add(faults->jobs, job);
	g_free(command);
}

static bool
all_done(void *data)
{
	faults_t *faults = data;
	bp_checker_counts_t counts;
	guint i;

	bp_cluster_read(faults->cluster);
	for (i = 0; i < faults->jobs->len; i++) {
		bp_checker_count(faults->cluster->checker,
		    g_ptr_array_index(faults->jobs, i), &counts);
		if (counts.done < TASKS)
			return false;
	}
	return true;
}

static void
print_unfinished(faults_t *faults)
{
	bp_checker_counts_t counts;
	guint i;

	for (i = 0; i < faults->jobs->len; i++) {
		const char *job = g_ptr_array_index(faults->jobs, i);

		bp_checker_count(faults->cluster->checker, job, &counts);
		if (counts.done < TASKS)
			printf("  job %s: %u of %d tasks done, %u starts\n",
			    job, counts.done, TASKS, counts.starts);
	}
}

static void
run_rounds(faults_t *faults)
{
	guint round;

	for (round = 0; round < ROUNDS; round++) {
		submit(faults, round);
		random_fault(faults);
		bp_run_for_ms(ROUND_MS);
		/* Faults last 1 to 3 rounds, so that some overlap. */
		if (round % 3 == 2)
			heal(faults);
	}
	heal(faults);
	if (faults->zone_out != 0)
		toggle_zone(faults);
	CU_ASSERT_EQUAL(faults->zone_out, 0);
}

/*
 * Guards against invariants that hold for one fault but not for several at
 * once. BP_SEED chooses another sequence of faults.
 */
static void
test_faults_together(void)
{
	const char *seed = g_getenv("BP_SEED");
	bp_cluster_options_t options;
	faults_t faults = {.jobs = g_ptr_array_new_with_free_func(g_free)};

	bp_cluster_options_init(&options);
	options.name = "faults";
	bp_random_init(&faults.random,
	    seed != NULL ? strtoull(seed, NULL, 10) : SEED_DEFAULT);
	faults.cluster = bp_cluster_new(&options);
	if (faults.cluster == NULL) {
		CU_FAIL_FATAL("no cluster");
		return;
	}
	faults.load = bp_load_new(faults.cluster, REQUEST_INTERVAL_MS, "20");
	run_rounds(&faults);
	CU_ASSERT_TRUE_FATAL(bp_load_stop(faults.load));
	CU_ASSERT_TRUE(faults.jobs->len > 0);
	CU_ASSERT_TRUE(bp_wait_until_ms(all_done, &faults, SETTLE_LIMIT_MS));
	print_unfinished(&faults);
	CU_ASSERT_EQUAL(bp_cluster_check(faults.cluster, true), 0);
	CU_ASSERT_EQUAL(bp_load_check(faults.load, false), 0);
	printf("  %u jobs accepted, %u requests\n", faults.jobs->len,
	    faults.load->requests->len);
	bp_load_free(faults.load);
	bp_cluster_free(faults.cluster);
	g_ptr_array_unref(faults.jobs);
}

int
main(void)
{
	CU_TestInfo tests[] = {
	    {"faults together", test_faults_together},
	    CU_TEST_INFO_NULL,
	};

	return bp_test_main("process/faults", tests);
}
