#include "bulrushpost/histogram.h"

#include <stdio.h>

/* From a round trip within a zone to the usual deadline of a caller. */
static const uint32_t bounds_ms[] = {
    5, 10, 25, 50, 100, 250, 500, 1000, 2500, 5000, 10000};

struct bp_histogram {
	bp_metric_t *buckets[G_N_ELEMENTS(bounds_ms)];
	bp_metric_t *sum;
	bp_metric_t *count;
};

/* See the header. */
bp_histogram_t *
bp_histogram_new(bp_metrics_t *metrics, const char *name)
{
	bp_histogram_t *histogram = g_new0(bp_histogram_t, 1);
	char *bucket = g_strconcat(name, "_bucket", NULL);
	char *sum = g_strconcat(name, "_sum", NULL);
	char *count = g_strconcat(name, "_count", NULL);
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(bounds_ms); i++) {
		char bound[16];

		snprintf(bound, sizeof(bound), "%u", bounds_ms[i]);
		histogram->buckets[i] =
		    bp_metrics_counter(metrics, bucket, "le", bound, NULL);
	}
	histogram->sum = bp_metrics_counter(metrics, sum, NULL);
	histogram->count = bp_metrics_counter(metrics, count, NULL);
	g_free(bucket);
	g_free(sum);
	g_free(count);
	return histogram;
}

/* Frees a histogram; its series stay. NULL is allowed. */
void
bp_histogram_free(bp_histogram_t *histogram)
{
	g_free(histogram);
}

/* See the header. Negative values count as 0. */
void
bp_histogram_observe(bp_histogram_t *histogram, int64_t value_ms)
{
	size_t i;

	if (histogram == NULL)
		return;
	value_ms = MAX(value_ms, 0);
	for (i = 0; i < G_N_ELEMENTS(bounds_ms); i++) {
		if (value_ms <= bounds_ms[i])
			bp_metric_add(histogram->buckets[i], 1);
	}
	bp_metric_add(histogram->sum, (uint64_t)value_ms);
	bp_metric_add(histogram->count, 1);
}
