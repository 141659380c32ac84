#ifndef BP_CLIENTS_SNAPSHOTPLAN_H
#define BP_CLIENTS_SNAPSHOTPLAN_H

#include "bulrushpost/state.h"

/* Decides when a snapshot is due and which node writes it. */
typedef struct bp_snapshotplan bp_snapshotplan_t;

bp_snapshotplan_t *bp_snapshotplan_new(const char *node, uint32_t interval_ms,
    uint32_t records, uint32_t rank_wait_ms);
void bp_snapshotplan_free(bp_snapshotplan_t *plan);
void bp_snapshotplan_start(bp_snapshotplan_t *plan, int64_t now_us);
void bp_snapshotplan_update_liveness(
    bp_snapshotplan_t *plan, const bp_state_t *state, int64_t now_us);
void bp_snapshotplan_completed(
    bp_snapshotplan_t *plan, uint64_t next_offset, int64_t now_us);
bool bp_snapshotplan_should_write(
    bp_snapshotplan_t *plan, const bp_state_t *state, int64_t now_us);
uint64_t bp_snapshotplan_newest(const bp_snapshotplan_t *plan);

#endif
