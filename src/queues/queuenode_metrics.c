#include "queues/queuenode_private.h"

#include <stdio.h>

typedef struct {
	bp_metrics_t *metrics;
	char shard[16];
} shard_gauges_t;

static void
on_shard_gauge(const char *name, uint64_t value, void *data)
{
	const shard_gauges_t *gauges = data;
	char *series = g_strconcat("bp_shard_", name, NULL);

	bp_metric_set(bp_metrics_gauge(gauges->metrics, series, "shard",
			  gauges->shard, NULL),
	    (double)value);
	g_free(series);
}

/* See the header. */
void
bp_queuenode_collect(bp_metrics_t *metrics, void *data)
{
	bp_queuenode_t *node = data;
	uint32_t owned = 0;
	uint32_t i;

	if (node->shards == NULL)
		return;
	for (i = 0; i < bp_sharding_count(node->sharding); i++) {
		const bp_shard_t *shard =
		    bp_owned_shards_by_number(node->shards)[i];
		shard_gauges_t to = {metrics, ""};

		if (shard == NULL)
			continue;
		owned++;
		snprintf(to.shard, sizeof(to.shard), "%u", i);
		bp_shard_counts(shard, on_shard_gauge, &to);
	}
	bp_metric_set(
	    bp_metrics_gauge(metrics, "bp_shards_owned", NULL), owned);
	bp_metric_set(bp_metrics_counter(metrics, "bp_shards_kept", NULL),
	    (double)bp_membership_kept(node->membership));
	bp_metric_set(bp_metrics_gauge(metrics, "bp_calls_open", NULL),
	    bp_job_router_open_calls(node->job_router));
	bp_metric_set(
	    bp_metrics_gauge(metrics, "bp_configuration_version", NULL),
	    node->catalog != NULL ? (double)node->catalog->version : 0);
}
