#include "support/cluster.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/*
 * Shows a small cluster at work and verifies each thing that it shows with
 * the histories of the stand-ins. Exits 0 only if all was verified.
 */

#define REQUESTS 300
#define PARALLEL 12
#define BATCH_TASKS 60
#define LONG_TASKS 24
#define SETTLED_MS 4000
#define US_PER_MS 1000.0

typedef struct {
	bp_cluster_t *cluster;
	guint failed;
	int64_t out_us;
	int64_t back_us;
	char *job; /* runs while the zone is out */
} demo_t;

static void
verify(demo_t *demo, bool ok, const char *what)
{
	printf("  %s: %s\n", ok ? "verified" : "FAILED", what);
	fflush(stdout);
	demo->failed += !ok;
}

static void
title(const char *text)
{
	printf("\n== %s\n", text);
	fflush(stdout);
}

static int
compare_times(gconstpointer a, gconstpointer b)
{
	int64_t x = *(const int64_t *)a;
	int64_t y = *(const int64_t *)b;

	return x < y ? -1 : x > y;
}

/* times_us is sorted. */
static double
quantile_ms(const GArray *times_us, guint percent)
{
	guint index = times_us->len * percent / 100;

	return (double)g_array_index(times_us, int64_t, index) / US_PER_MS;
}

static bool
is_own_answer(const bp_reply_t *reply, const char *path)
{
	char *text = g_strdup_printf("path=/book/%s ", path);
	bool own = reply->status == 200 && strstr(reply->body, text) != NULL;

	g_free(text);
	return own;
}

/* Sends PARALLEL requests at once; returns how many got their own answer. */
static guint
send_round(demo_t *demo, guint first, GArray *times_us)
{
	bp_reply_t *replies[PARALLEL];
	char path[32];
	guint own = 0;
	guint i;

	for (i = 0; i < PARALLEL; i++) {
		g_snprintf(path, sizeof(path), "once/%u", first + i);
		replies[i] = bp_cluster_request(
		    demo->cluster, i % 3, "POST", path, NULL, NULL);
	}
	for (i = 0; i < PARALLEL; i++) {
		int64_t took_us;

		g_snprintf(path, sizeof(path), "once/%u", first + i);
		if (!bp_http_wait(replies[i]))
			continue;
		took_us = replies[i]->done_us - replies[i]->sent_us;
		g_array_append_val(times_us, took_us);
		own += is_own_answer(replies[i], path);
		bp_reply_free(replies[i]);
	}
	return own;
}

static void
show_requests(demo_t *demo)
{
	GArray *times_us = g_array_new(FALSE, FALSE, sizeof(int64_t));
	guint own = 0;
	guint i;

	title("Requests through three gateways");
	for (i = 0; i < REQUESTS; i += PARALLEL)
		own += send_round(demo, i, times_us);
	g_array_sort(times_us, compare_times);
	if (times_us->len > 0)
		printf("  %u requests, %u at once: median %.1f ms, 99%% "
		       "within %.1f ms (5 ms of work each)\n",
		    times_us->len, PARALLEL, quantile_ms(times_us, 50),
		    quantile_ms(times_us, 99));
	verify(demo, own == REQUESTS, "every caller got its own answer");
	bp_cluster_read(demo->cluster);
	verify(demo,
	    bp_checker_executions(demo->cluster->checker, "/book/once/") ==
		REQUESTS,
	    "every request was executed once");
	g_array_unref(times_us);
}

static void
show_batch(demo_t *demo)
{
	bp_cluster_t *cluster = demo->cluster;
	int64_t begin_us = bp_now_us();
	char *job;

	title("A batch job");
	job = bp_cluster_submit(
	    cluster, 0, "batch", BATCH_TASKS, 1000, "run_ms=1000");
	verify(demo, job != NULL, "the job was accepted");
	if (job == NULL)
		return;
	verify(demo, bp_cluster_wait_starts(cluster, job, BATCH_TASKS),
	    "all tasks were started");
	printf("  %d tasks placed within %.0f ms: %u in zone z0, %u in z1\n",
	    BATCH_TASKS, (double)(bp_now_us() - begin_us) / US_PER_MS,
	    bp_checker_starts_in(cluster->checker, "z0", begin_us),
	    bp_checker_starts_in(cluster->checker, "z1", begin_us));
	verify(demo, bp_cluster_wait_succeeded(cluster, job, BATCH_TASKS),
	    "all tasks have succeeded");
	g_free(job);
}

static void
show_zone_out(demo_t *demo)
{
	bp_cluster_t *cluster = demo->cluster;

	title("Zone z0 is taken out of service");
	demo->job = bp_cluster_submit(
	    cluster, 1, "batch", LONG_TASKS, 1000, "run_ms=6000");
	verify(demo,
	    demo->job != NULL &&
		bp_cluster_wait_starts(cluster, demo->job, LONG_TASKS),
	    "long tasks were started in both zones");
	verify(demo, bp_cluster_zone(cluster, 2, "z0", true),
	    "the operator's change was accepted");
	demo->out_us = bp_now_us();
	bp_run_for_ms(SETTLED_MS);
	bp_cluster_read(cluster);
	printf("  starts after 3 s: %u in z0, starts since: %u in z1\n",
	    bp_checker_starts_in(
		cluster->checker, "z0", demo->out_us + BP_CHECKER_ZONE_OUT_US),
	    bp_checker_starts_in(cluster->checker, "z1", demo->out_us));
	verify(demo,
	    bp_checker_starts_in(cluster->checker, "z0",
		demo->out_us + BP_CHECKER_ZONE_OUT_US) == 0,
	    "nothing started there later than 3 s after that");
}

static void
show_zone_in(demo_t *demo)
{
	bp_cluster_t *cluster = demo->cluster;
	bp_checker_counts_t counts;
	char *job;

	title("Zone z0 comes back");
	demo->back_us = bp_now_us();
	verify(demo, bp_cluster_zone(cluster, 0, "z0", false),
	    "the operator's change was accepted");
	verify(demo,
	    demo->job != NULL &&
		bp_cluster_wait_succeeded(cluster, demo->job, LONG_TASKS),
	    "the long tasks have succeeded");
	bp_cluster_counts(cluster, demo->job, &counts);
	printf("  %u of %d long tasks were moved with a checkpoint\n",
	    counts.checkpointed, LONG_TASKS);
	verify(demo, counts.checkpointed > 0, "tasks were moved, not lost");
	job = bp_cluster_submit(
	    cluster, 0, "batch", BATCH_TASKS, 1000, "run_ms=500");
	verify(demo,
	    job != NULL && bp_cluster_wait_succeeded(cluster, job, BATCH_TASKS),
	    "a new job has succeeded");
	bp_cluster_read(cluster);
	verify(demo,
	    bp_checker_starts_in(cluster->checker, "z0", demo->back_us) > 0,
	    "tasks start in z0 again");
	g_free(job);
}

/* Asks a node why the job waits while all processors are taken. */
static void
explain(demo_t *demo, const char *job)
{
	bp_checker_counts_t counts;
	char *output = NULL;

	verify(demo, bp_cluster_why(demo->cluster, 1, job, &output),
	    "a node explains it");
	printf("  why: %s\n", output != NULL ? g_strstrip(output) : "");
	verify(demo, output != NULL && strstr(output, "no_capacity") != NULL,
	    "the reason is the lack of free processors");
	bp_cluster_counts(demo->cluster, job, &counts);
	verify(demo, counts.starts == 0, "it was not started meanwhile");
	g_free(output);
}

static void
show_why(demo_t *demo)
{
	bp_cluster_t *cluster = demo->cluster;
	guint vms = cluster->options.zones * cluster->options.workers;
	guint cpu_milli = cluster->options.cpu_milli;
	char *filler;
	char *job;

	title("A job that waits");
	filler = bp_cluster_submit(
	    cluster, 0, "batch", vms, cpu_milli, "run_ms=5000");
	verify(demo,
	    filler != NULL && bp_cluster_wait_starts(cluster, filler, vms),
	    "a job occupies all processors");
	job =
	    bp_cluster_submit(cluster, 2, "batch", 1, cpu_milli, "run_ms=100");
	verify(demo, job != NULL, "another job was accepted");
	if (job != NULL) {
		explain(demo, job);
		verify(demo, bp_cluster_wait_succeeded(cluster, job, 1),
		    "it has run once there was room");
	}
	g_free(filler);
	g_free(job);
}

static void
show_all(demo_t *demo)
{
	bp_cluster_t *cluster = demo->cluster;
	bp_checker_counts_t counts;
	guint faults;

	show_requests(demo);
	show_batch(demo);
	show_zone_out(demo);
	show_zone_in(demo);
	show_why(demo);
	title("Check of all histories from outside");
	bp_cluster_counts(cluster, NULL, &counts);
	printf("  %u starts, %u succeeded, %u moved, %u leases lapsed\n",
	    counts.starts, counts.succeeded, counts.checkpointed,
	    counts.lapsed);
	faults = bp_cluster_check(cluster, true);
	verify(demo, faults == 0,
	    "no task in two places, no VM over capacity, no late start, "
	    "everything resumed once, no repeated request");
}

static void
stop_nodes(demo_t *demo)
{
	guint i;

	title("Graceful stop");
	for (i = 0; i < demo->cluster->nodes->len; i++) {
		bp_cluster_node_t *node = bp_cluster_node(demo->cluster, i);

		printf("  SIGTERM to %s, process %d\n", node->name,
		    bp_process_pid(node->process));
		verify(demo, bp_process_stop(node->process) == 0,
		    "it has ended with status 0");
	}
}

int
main(void)
{
	bp_cluster_options_t options;
	demo_t demo = {0};

	setvbuf(stdout, NULL, _IOLBF, 0);
	bp_cluster_options_init(&options);
	options.name = "demo";
	title("Start: log, VM list, 8 workers, 4 executors, 3 nodes, 2 zones");
	demo.cluster = bp_cluster_new(&options);
	verify(&demo, demo.cluster != NULL, "all gateways answer");
	if (demo.cluster != NULL) {
		show_all(&demo);
		stop_nodes(&demo);
		bp_cluster_free(demo.cluster);
	}
	g_free(demo.job);
	printf("\n%s\n",
	    demo.failed == 0 ? "All verified." : "Something was not verified.");
	return demo.failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
