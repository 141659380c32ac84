#ifndef BP_NODE_KEYASK_H
#define BP_NODE_KEYASK_H

#include "bulrushpost/gateway.h"
#include "bulrushpost/peer.h"
#include "bulrushpost/state.h"

/* Second argument of VERB_KEY_OUTCOME: the node queries no other node. */
#define BP_KEYASK_OWN "own"

typedef void (*bp_keyask_done_t)(const bp_key_holder_t *holder, void *data);

/*
 * Queries the node that claimed a key ("service/key") for the outcome. done is
 * called exactly once, also from within this call or when the client is
 * freed. Without an answer the outcome is not known.
 */
void bp_keyask(bp_peer_client_t *client, const bp_state_t *state,
    const char *node, const char *full_key, bp_keyask_done_t done, void *data);

#endif
