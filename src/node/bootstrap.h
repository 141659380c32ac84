#ifndef BP_NODE_BOOTSTRAP_H
#define BP_NODE_BOOTSTRAP_H

#include "bulrushpost/control.h"

/*
 * While the log cannot be read, fetches the state from peers periodically. It
 * suffices to route requests and to explain, not to start tasks.
 */
typedef struct bp_bootstrap bp_bootstrap_t;

bp_bootstrap_t *bp_bootstrap_new(const bp_clock_t *clock, bp_logger_t *logger,
    bp_follower_t *follower, const bp_settings_t *settings);
void bp_bootstrap_free(bp_bootstrap_t *bootstrap);

#endif
