#ifndef BULRUSHPOST_KEYCLAIM_H
#define BULRUSHPOST_KEYCLAIM_H

#include "bulrushpost/appender.h"
#include "bulrushpost/gateway.h"

/* Claims idempotency keys in the log for the gateway. */
typedef struct bp_keyclaim bp_keyclaim_t;

bp_keyclaim_t *bp_keyclaim_new(
    bp_appender_t *appender, bp_follower_t *follower, uint32_t give_up_ms);
void bp_keyclaim_free(bp_keyclaim_t *keyclaim);
const bp_key_claimer_t *bp_keyclaim_claimer(const bp_keyclaim_t *keyclaim);

#endif
