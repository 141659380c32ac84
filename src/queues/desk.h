#ifndef BP_QUEUES_DESK_H
#define BP_QUEUES_DESK_H

#include "bulrushpost/clock.h"
#include "bulrushpost/histogram.h"
#include "bulrushpost/logline.h"
#include "bulrushpost/peer.h"
#include "bulrushpost/queuedesk.h"
#include "bulrushpost/shard.h"
#include "queues/confirm.h"
#include "queues/membership.h"

typedef struct {
	const bp_clock_t *clock;
	bp_logger_t *logger;
	bp_peer_client_t *client;
	bp_membership_t *membership;
	bp_shard_t *const *owned; /* by number; NULL: not owned by this node */
	uint32_t shards;
	const char *address; /* of this node's control protocol */
	bp_histogram_t *latency; /* of served calls, in ms; may be NULL */
	bp_confirm_t *confirm; /* freshness of the configuration */
} bp_queuedesk_options_t;

bp_queuedesk_t *bp_queuedesk_new(const bp_queuedesk_options_t *options);
void bp_queuedesk_free(bp_queuedesk_t *desk);
/* The catalog has to live until the next call. */
void bp_queuedesk_set_catalog(
    bp_queuedesk_t *desk, const bp_catalog_t *catalog);
/* Answers all open calls, with an unknown outcome if they may have taken
 * effect; later calls are refused at once. */
void bp_queuedesk_stop(bp_queuedesk_t *desk);
uint32_t bp_queuedesk_open(const bp_queuedesk_t *desk);
/* Serves a queue verb of another node as the owner of the job's shard. */
void bp_queuedesk_serve(const bp_queuedesk_t *desk, bp_peer_request_t *request);
const bp_queuedesk_options_t *bp_queuedesk_options(const bp_queuedesk_t *desk);

#endif
