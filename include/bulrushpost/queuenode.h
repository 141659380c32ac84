#ifndef BULRUSHPOST_QUEUENODE_H
#define BULRUSHPOST_QUEUENODE_H

#include "bulrushpost/settings.h"

/* Runs a node with the service queues until SIGTERM or SIGINT. Returns BP_OK
 * or a kind of error. */
int bp_queuenode_run(const bp_settings_t *settings, bp_error_t *err);

#endif
