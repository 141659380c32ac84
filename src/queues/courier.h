#ifndef BP_QUEUES_COURIER_H
#define BP_QUEUES_COURIER_H

#include "bulrushpost/clock.h"
#include "bulrushpost/executors.h"
#include "bulrushpost/peer.h"

/* Carries out orders that owners on other nodes send through their relays. */
typedef struct bp_courier bp_courier_t;

/* direct sends orders from here; zone is that of this node. */
bp_courier_t *bp_courier_new(
    const bp_clock_t *clock, bp_executors_t *direct, const char *zone);
/* Orders in flight are answered: not known. NULL is allowed. */
void bp_courier_free(bp_courier_t *courier);
void bp_courier_serve(bp_courier_t *courier, bp_peer_request_t *request);

#endif
