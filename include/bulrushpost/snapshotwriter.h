#ifndef BULRUSHPOST_SNAPSHOTWRITER_H
#define BULRUSHPOST_SNAPSHOTWRITER_H

#include "bulrushpost/follower.h"

/*
 * Writes snapshots of the follower's state to the snapshot stream when one is
 * due and this node is to write it; see docs/design.md, section 3.
 */
typedef struct bp_snapshotwriter bp_snapshotwriter_t;

typedef struct {
	const bp_clock_t *clock;
	bp_logger_t *logger;
	bp_logclient_t *log;
	bp_follower_t *follower;
	const char *node;
	uint32_t interval_ms; /* age at which a new snapshot is due */
	uint32_t records; /* records after which a new snapshot is due */
	uint32_t rank_delay_ms; /* delay per rank of the node */
	uint32_t poll_ms; /* between polls of the snapshot stream */
	uint32_t chunk_bytes; /* upper limit of the body of a chunk */
} bp_snapshotwriter_options_t;

int bp_snapshotwriter_options_init(bp_snapshotwriter_options_t *options);
int bp_snapshotwriter_new(bp_snapshotwriter_t **out,
    const bp_snapshotwriter_options_t *options, bp_error_t *err);
/* Cancels all calls; readers ignore an incomplete snapshot. */
void bp_snapshotwriter_free(bp_snapshotwriter_t *writer);
void bp_snapshotwriter_start(bp_snapshotwriter_t *writer);
/* Number of snapshots that this node completed. */
uint64_t bp_snapshotwriter_written(const bp_snapshotwriter_t *writer);
/* Offset of the newest complete snapshot seen, or 0. */
uint64_t bp_snapshotwriter_newest(const bp_snapshotwriter_t *writer);

#endif
