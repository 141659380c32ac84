#ifndef BULRUSHPOST_METRICS_H
#define BULRUSHPOST_METRICS_H

#include <glib.h>
#include <stdint.h>

/* Counters and gauges of one process by name and labels. */
typedef struct bp_metrics bp_metrics_t;
/* One series; lives as long as its bp_metrics_t. */
typedef struct bp_metric bp_metric_t;

/* Updates gauges of other modules just before the exposition. */
typedef void (*bp_metrics_collect_t)(bp_metrics_t *metrics, void *data);

bp_metrics_t *bp_metrics_new(void);
void bp_metrics_free(bp_metrics_t *metrics);
/* Labels are pairs of const char * (label, value), ended by NULL. */
bp_metric_t *bp_metrics_counter(
    bp_metrics_t *metrics, const char *name, ...) G_GNUC_NULL_TERMINATED;
bp_metric_t *bp_metrics_gauge(
    bp_metrics_t *metrics, const char *name, ...) G_GNUC_NULL_TERMINATED;
void bp_metric_add(bp_metric_t *metric, uint64_t amount);
void bp_metric_set(bp_metric_t *metric, double value);
double bp_metric_value(const bp_metric_t *metric);
void bp_metrics_on_collect(
    bp_metrics_t *metrics, bp_metrics_collect_t collect, void *data);
char *bp_metrics_text(bp_metrics_t *metrics);

#endif
