#ifndef BP_NODE_COUNTERS_H
#define BP_NODE_COUNTERS_H

#include "bulrushpost/appender.h"
#include "bulrushpost/gateway.h"
#include "bulrushpost/metrics.h"
#include "bulrushpost/scheduler.h"

/* Exports the services' counters as metrics; services may be NULL. */
typedef struct {
	const bp_gateway_t *gateway;
	const bp_scheduler_t *scheduler;
	const bp_appender_t *appender;
	const bp_follower_t *follower;
} bp_counters_t;

/* counters must live as long as metrics are exported. */
void bp_counters_register(bp_counters_t *counters, bp_metrics_t *metrics);

#endif
