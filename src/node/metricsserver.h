#ifndef BP_NODE_METRICSSERVER_H
#define BP_NODE_METRICSSERVER_H

#include "bulrushpost/admission.h"
#include "bulrushpost/metrics.h"
#include "bulrushpost/error.h"

/* Serves GET /metrics as text over HTTP, on a port of its own. */
typedef struct bp_metricsserver bp_metricsserver_t;

/* address is host:port; the metrics and the admission, which may be NULL,
 * outlive the server. */
int bp_metricsserver_new(bp_metricsserver_t **out, const char *address,
    bp_metrics_t *metrics, bp_admission_t *admission, bp_error_t *err);
void bp_metricsserver_free(bp_metricsserver_t *server);

#endif
