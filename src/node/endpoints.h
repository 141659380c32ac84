#ifndef BP_NODE_ENDPOINTS_H
#define BP_NODE_ENDPOINTS_H

#include "bulrushpost/follower.h"
#include "bulrushpost/gateway.h"
#include "bulrushpost/vmlist.h"

/* Updates the gateway's endpoints from the VM list and the zones. */
typedef struct bp_endpoints bp_endpoints_t;

bp_endpoints_t *bp_endpoints_new(bp_gateway_t *gateway, bp_vmlist_t *vmlist,
    bp_follower_t *follower, bp_logger_t *logger);
void bp_endpoints_free(bp_endpoints_t *endpoints);

#endif
