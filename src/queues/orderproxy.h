#ifndef BP_QUEUES_ORDERPROXY_H
#define BP_QUEUES_ORDERPROXY_H

#include "bulrushpost/clock.h"
#include "bulrushpost/executors.h"
#include "bulrushpost/pausewatch.h"
#include "bulrushpost/peer.h"

/* Order proxy: sends orders to executors for owners on other nodes. */
typedef struct bp_order_proxy bp_order_proxy_t;

/* direct sends orders from this node; zone is the zone of this node. All
 * arguments have to outlive the proxy. */
bp_order_proxy_t *bp_order_proxy_new(const bp_clock_t *clock,
    bp_pause_watch_t *pauses, bp_executors_t *direct, const char *zone);
/* Orders in flight are answered with an unknown outcome. NULL is allowed. */
void bp_order_proxy_free(bp_order_proxy_t *proxy);
/* Sends the order of a request and answers it with the result. */
void bp_order_proxy_serve(bp_order_proxy_t *proxy, bp_peer_request_t *request);

#endif
