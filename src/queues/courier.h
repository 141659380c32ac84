#ifndef BP_QUEUES_COURIER_H
#define BP_QUEUES_COURIER_H

#include "bulrushpost/clock.h"
#include "bulrushpost/executors.h"
#include "bulrushpost/peer.h"

/* Order proxy: sends orders to executors for owners on other nodes. */
typedef struct bp_courier bp_courier_t;

/* direct sends orders from this node; zone is the zone of this node. Both have
 * to outlive the proxy. */
bp_courier_t *bp_courier_new(
    const bp_clock_t *clock, bp_executors_t *direct, const char *zone);
/* Orders in flight are answered with an unknown outcome. NULL is allowed. */
void bp_courier_free(bp_courier_t *courier);
/* Sends the order of a request and answers it with the result. */
void bp_courier_serve(bp_courier_t *courier, bp_peer_request_t *request);

#endif
