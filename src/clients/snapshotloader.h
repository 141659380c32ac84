#ifndef BP_CLIENTS_SNAPSHOTLOADER_H
#define BP_CLIENTS_SNAPSHOTLOADER_H

#include "bulrushpost/logclient.h"
#include "bulrushpost/logline.h"
#include "bulrushpost/state.h"

/* Loads the newest complete snapshot from the snapshot stream. */
typedef struct bp_snapshotloader bp_snapshotloader_t;

/*
 * The callback takes ownership of state. state is NULL with err if the stream
 * could not be read, and NULL without err if it has no usable snapshot.
 */
typedef void (*bp_snapshotloader_done_t)(
    bp_state_t *state, const bp_error_t *err, void *data);

bp_snapshotloader_t *bp_snapshotloader_new(bp_logclient_t *log,
    bp_logger_t *logger, bp_snapshotloader_done_t done, void *data);
void bp_snapshotloader_free(bp_snapshotloader_t *loader);
void bp_snapshotloader_start(bp_snapshotloader_t *loader);
void bp_snapshotloader_cancel(bp_snapshotloader_t *loader);

#endif
