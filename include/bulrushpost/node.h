#ifndef BULRUSHPOST_NODE_H
#define BULRUSHPOST_NODE_H

#include "bulrushpost/settings.h"

/*
 * Runs a node until SIGTERM or SIGINT: builds the services that the settings
 * name, registers them, and stops them gracefully.
 */
int bp_node_run(const bp_settings_t *settings, bp_error_t *err);

#endif
