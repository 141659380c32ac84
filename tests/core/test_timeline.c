#include "bulrushpost/hash.h"
#include "bulrushpost/metrics.h"
#include "bulrushpost/timeline.h"
#include "support/runner.h"

#include <string.h>

#define ROUNDS 200
#define ROUND_SEED 20261208
#define MUTATIONS 3000

/* Guards against counters lost between callers and forged lines. */
static void
test_metrics_are_shown_sorted(void)
{
	bp_metrics_t *metrics = bp_metrics_new();
	char *text;

	bp_metric_add(bp_metrics_counter(metrics, "b_total", NULL), 2);
	bp_metric_add(bp_metrics_counter(metrics, "b_total", NULL), 3);
	bp_metric_set(
	    bp_metrics_gauge(metrics, "a", "zone", "x\"\n", NULL), 0.25);
	bp_metric_set(bp_metrics_counter(metrics, "b_total", NULL), 9);
	text = bp_metrics_text(metrics);
	CU_ASSERT_STRING_EQUAL(text, "a{zone=\"x\\\"\\n\"} 0.25\nb_total 5\n");
	g_free(text);
	bp_metrics_free(metrics);
}

/* Guards against a label with unbounded values that exhausts memory. */
static void
test_number_of_series_is_limited(void)
{
	bp_metrics_t *metrics = bp_metrics_new();
	char name[16];
	char *text;
	int i;

	for (i = 0; i < 10000; i++) {
		g_snprintf(name, sizeof(name), "%d", i);
		bp_metric_add(
		    bp_metrics_counter(metrics, "n", "job", name, NULL), 1);
	}
	text = bp_metrics_text(metrics);
	CU_ASSERT_TRUE(strlen(text) < 200000);
	CU_ASSERT_PTR_NOT_NULL(strstr(text, "dropped_series"));
	g_free(text);
	bp_metrics_free(metrics);
}

/* Guards against filters that leak and rings that lose the newest events. */
static void
test_ring_keeps_the_newest_matching_events(void)
{
	bp_clock_virtual_t *virt = bp_clock_virtual_new(1000);
	bp_timeline_t *timeline =
	    bp_timeline_new(bp_clock_virtual_clock(virt), "n1", 4);
	char *args[] = {"job=j1", "since_ms=1002", "until_ms=1008"};
	char *bad[] = {"color=red"};
	GPtrArray *events = g_ptr_array_new_with_free_func(bp_event_free);
	bp_timeline_filter_t filter;
	char *lines;
	int i;

	for (i = 0; i < 6; i++) {
		bp_timeline_add(timeline, "assign", i % 2 == 0 ? "j1" : "j2",
		    NULL, "z", "step %d \"ż\"", i);
		bp_clock_virtual_advance_us(virt, 2000);
	}
	CU_ASSERT_EQUAL(bp_timeline_dropped(timeline), 2);
	CU_ASSERT_EQUAL(
	    bp_timeline_filter_parse(&filter, args, 3, NULL), BP_OK);
	lines = bp_timeline_lines(timeline, &filter, 100000);
	CU_ASSERT_EQUAL(
	    bp_timeline_read_lines(events, lines, strlen(lines), NULL), BP_OK);
	CU_ASSERT_EQUAL_FATAL(events->len, 2);
	CU_ASSERT_STRING_EQUAL(
	    ((bp_event_t *)events->pdata[1])->text, "step 4 \"ż\"");
	/* A peer without a matching event sends an empty body. */
	CU_ASSERT_EQUAL(bp_timeline_read_lines(events, NULL, 0, NULL), BP_OK);
	CU_ASSERT_EQUAL(events->len, 2);
	g_free(lines);
	lines = bp_timeline_lines(timeline, &filter, 200);
	CU_ASSERT_PTR_NOT_NULL(strstr(lines, "step 4"));
	CU_ASSERT_PTR_NULL(strstr(lines, "step 2"));
	CU_ASSERT_EQUAL(
	    bp_timeline_filter_parse(&filter, bad, 1, NULL), BP_EINVALID);
	g_free(lines);
	g_ptr_array_unref(events);
	bp_timeline_free(timeline);
	bp_clock_virtual_free(virt);
}

/*
 * Three processes with clocks minutes apart write to one log and read it.
 * Event "w N" precedes the append of record N, "r N" follows its reading.
 */
static void
simulate(bp_random_t *random, GPtrArray *events)
{
	bp_clock_virtual_t *clocks[3];
	bp_timeline_t *timelines[3];
	bp_timeline_filter_t all = {0};
	uint64_t read[3] = {0};
	uint64_t head = 0;
	uint32_t i;

	for (i = 0; i < 3; i++) {
		char name[4] = {'n', (char)('0' + i), '\0', '\0'};

		clocks[i] = bp_clock_virtual_new(
		    1000000 + bp_random_below(random, 500000));
		timelines[i] = bp_timeline_new(
		    bp_clock_virtual_clock(clocks[i]), name, 1000);
	}
	for (i = 0; i < 200; i++) {
		uint32_t p = bp_random_below(random, 3);

		bp_clock_virtual_advance_us(clocks[p], 1000);
		bp_clock_virtual_step_wall_ms(
		    clocks[p], (int64_t)bp_random_below(random, 9) - 4);
		if (bp_random_below(random, 2) == 0) {
			bp_timeline_add(timelines[p], "w", NULL, NULL, NULL,
			    "%" G_GUINT64_FORMAT, head++);
		} else if (read[p] < head) {
			bp_timeline_advance_offset(timelines[p], read[p]);
			bp_timeline_add(timelines[p], "r", NULL, NULL, NULL,
			    "%" G_GUINT64_FORMAT, read[p]++);
		}
	}
	for (i = 0; i < 3; i++) {
		char *lines = bp_timeline_lines(timelines[i], &all, 1000000);

		CU_ASSERT_EQUAL(
		    bp_timeline_read_lines(events, lines, strlen(lines), NULL),
		    BP_OK);
		g_free(lines);
		bp_timeline_free(timelines[i]);
		bp_clock_virtual_free(clocks[i]);
	}
}

/* Guards against effects shown before their causes when clocks differ. */
static void
test_merge_keeps_causes_before_effects(void)
{
	bp_random_t random;
	int round;

	bp_random_init(&random, ROUND_SEED);
	for (round = 0; round < ROUNDS; round++) {
		GPtrArray *events =
		    g_ptr_array_new_with_free_func(bp_event_free);
		bool written[300] = {false};
		uint64_t last_seq[3] = {0};
		bool causal = true;
		guint i;

		simulate(&random, events);
		bp_timeline_merge(events);
		for (i = 0; i < events->len; i++) {
			const bp_event_t *event = events->pdata[i];
			int p = event->process[1] - '0';
			guint64 n = g_ascii_strtoull(event->text, NULL, 10);

			causal = causal && event->seq > last_seq[p];
			last_seq[p] = event->seq;
			if (event->kind[0] == 'w')
				written[n] = true;
			causal = causal && written[n];
		}
		CU_ASSERT_TRUE(causal);
		g_ptr_array_unref(events);
	}
}

/* Guards against malformed lines of another process that crash this one. */
static void
test_mutated_lines_are_safe(void)
{
	static const char sample[] =
	    "{\"process\":\"n1\",\"seq\":1,\"wall_ms\":5,\"lamport\":7,"
	    "\"kind\":\"a\",\"job\":\"ż\",\"vm\":null,\"text\":\"\\u0041\"}\n";
	bp_random_t random;
	int i;

	bp_random_init(&random, ROUND_SEED);
	for (i = 0; i < MUTATIONS; i++) {
		GPtrArray *events =
		    g_ptr_array_new_with_free_func(bp_event_free);
		char *text = g_strdup(sample);
		uint32_t edits = 1 + bp_random_below(&random, 3);
		int rc;

		while (edits-- > 0)
			text[bp_random_below(&random, sizeof(sample) - 1)] =
			    (char)bp_random_next(&random);
		rc = bp_timeline_read_lines(
		    events, text, sizeof(sample) - 1, NULL);
		CU_ASSERT_TRUE(rc == BP_OK || rc == BP_EINVALID);
		bp_timeline_merge(events);
		g_free(text);
		g_ptr_array_unref(events);
	}
}

int
main(void)
{
	CU_TestInfo tests[] = {
	    {"metrics", test_metrics_are_shown_sorted},
	    {"series limit", test_number_of_series_is_limited},
	    {"ring", test_ring_keeps_the_newest_matching_events},
	    {"merge", test_merge_keeps_causes_before_effects},
	    {"mutated lines", test_mutated_lines_are_safe},
	    CU_TEST_INFO_NULL,
	};

	return bp_test_main("timeline", tests);
}
