#ifndef BP_QUEUES_JOBROUTER_H
#define BP_QUEUES_JOBROUTER_H

#include "bulrushpost/clock.h"
#include "bulrushpost/histogram.h"
#include "bulrushpost/logline.h"
#include "bulrushpost/pausewatch.h"
#include "bulrushpost/peer.h"
#include "bulrushpost/jobrouter.h"
#include "bulrushpost/shard.h"
#include "queues/callcounters.h"
#include "queues/freshness.h"
#include "queues/membership.h"

typedef struct {
	const bp_clock_t *clock;
	bp_pause_watch_t *pauses;
	bp_logger_t *logger;
	bp_peer_client_t *client;
	bp_membership_t *membership;
	bp_shard_t *const *owned; /* by number; NULL: not owned by this node */
	uint32_t shards;
	const char *address; /* of this node's control protocol */
	bp_histogram_t *latency; /* of served calls, in ms; may be NULL */
	bp_freshness_t *freshness; /* freshness of the configuration */
	bp_call_counters_t *counters; /* may be NULL */
} bp_job_router_options_t;

bp_job_router_t *bp_job_router_new(const bp_job_router_options_t *options);
void bp_job_router_free(bp_job_router_t *router);
/* The catalog has to live until the next call. */
void bp_job_router_set_catalog(
    bp_job_router_t *router, const bp_catalog_t *catalog);
/* Answers all open calls, with an unknown outcome if they may have taken
 * effect; later calls are refused at once. */
void bp_job_router_stop(bp_job_router_t *router);
uint32_t bp_job_router_open_calls(const bp_job_router_t *router);
/* Serves a queue verb of another node as the owner of the job's shard. */
void bp_job_router_serve(
    const bp_job_router_t *router, bp_peer_request_t *request);
const bp_job_router_options_t *bp_job_router_options(
    const bp_job_router_t *router);

#endif
