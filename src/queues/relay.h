#ifndef BP_QUEUES_RELAY_H
#define BP_QUEUES_RELAY_H

#include "bulrushpost/clock.h"
#include "bulrushpost/executors.h"
#include "bulrushpost/logline.h"
#include "bulrushpost/peer.h"

/*
 * Spreads an owner's orders over all live nodes: each executor is served by
 * one of them, in its zone if there is one. The owner alone decides; a node
 * only carries orders out, so nothing is lost with it but answers.
 */
typedef struct bp_relay bp_relay_t;

typedef struct {
	const bp_clock_t *clock;
	bp_logger_t *logger;
	bp_executors_t *direct; /* orders sent by this node itself */
	bp_peer_client_t *client;
	const char *address; /* of this node's control protocol */
	const char *zone;
	uint32_t processor_milli; /* of this node */
} bp_relay_options_t;

bp_relay_t *bp_relay_new(const bp_relay_options_t *options);
void bp_relay_free(bp_relay_t *relay);
bp_executors_t *bp_relay_interface(bp_relay_t *relay);
/* A node says that it lives, and how many processors, in thousandths, it has.
 */
void bp_relay_heard(bp_relay_t *relay, const char *address, const char *zone,
    uint32_t processor_milli);

#endif
