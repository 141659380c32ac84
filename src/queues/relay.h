#ifndef BP_QUEUES_RELAY_H
#define BP_QUEUES_RELAY_H

#include "bulrushpost/clock.h"
#include "bulrushpost/executors.h"
#include "bulrushpost/logline.h"
#include "bulrushpost/peer.h"

/*
 * Order router: spreads an owner's orders over all live nodes. One node acts as
 * the proxy of each executor, a node of the executor's zone if there is one.
 * Proxies only send orders and decide nothing, so that the failure of one loses
 * nothing but answers.
 */
typedef struct bp_relay bp_relay_t;

typedef struct {
	const bp_clock_t *clock;
	bp_logger_t *logger;
	bp_executors_t *direct; /* sends orders from this node */
	bp_peer_client_t *client;
	const char *address; /* of this node's control protocol */
	const char *zone;
	uint32_t processor_milli; /* processors of this node, in thousandths */
} bp_relay_options_t;

bp_relay_t *bp_relay_new(const bp_relay_options_t *options);
void bp_relay_free(bp_relay_t *relay);
bp_executors_t *bp_relay_interface(bp_relay_t *relay);
/* Records a heartbeat of another node, which has so many processors, in
 * thousandths. */
void bp_relay_heard(bp_relay_t *relay, const char *address, const char *zone,
    uint32_t processor_milli);

#endif
