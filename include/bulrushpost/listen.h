#ifndef BULRUSHPOST_LISTEN_H
#define BULRUSHPOST_LISTEN_H

#include "bulrushpost/error.h"

#include <gio/gio.h>

/*
 * Opens a TCP socket that listens on IP:PORT. Returns BP_EINVALID for other
 * text and BP_EUNREACHABLE if the address cannot be used.
 */
int bp_listen(
    GSocket **out, const char *address, uint32_t backlog, bp_error_t *err);

#endif
