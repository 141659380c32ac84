#ifndef BULRUSHPOST_HISTOGRAM_H
#define BULRUSHPOST_HISTOGRAM_H

#include "bulrushpost/metrics.h"

/* Latencies in ms, counted in fixed buckets of the metrics. */
typedef struct bp_histogram bp_histogram_t;

/* Series NAME_bucket{le}, NAME_sum and NAME_count; metrics outlive it. */
bp_histogram_t *bp_histogram_new(bp_metrics_t *metrics, const char *name);
void bp_histogram_free(bp_histogram_t *histogram);
/* Has no effect on a NULL histogram. */
void bp_histogram_observe(bp_histogram_t *histogram, int64_t value_ms);

#endif
