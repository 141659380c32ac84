#ifndef BP_QUEUES_APPENDPROBE_H
#define BP_QUEUES_APPENDPROBE_H

#include "bulrushpost/clock.h"
#include "bulrushpost/store.h"

/*
 * Finds out whether the store answers appends of this node, which owns no shard
 * and therefore stores nothing.
 */
typedef struct bp_append_probe bp_append_probe_t;

bp_append_probe_t *bp_append_probe_new(
    const bp_clock_t *clock, bp_store_t *store, const char *topic);
void bp_append_probe_free(bp_append_probe_t *self);
/* Sends an append that changes nothing, unless one is in flight. */
void bp_append_probe_start(bp_append_probe_t *self, uint32_t shard);
/* Returns whether an append was answered lately. */
bool bp_append_probe_answered(const bp_append_probe_t *self);

#endif
