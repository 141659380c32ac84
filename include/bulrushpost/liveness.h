#ifndef BULRUSHPOST_LIVENESS_H
#define BULRUSHPOST_LIVENESS_H

#include "bulrushpost/state.h"

/* Failure detector for nodes, based on the records read from the log. */
typedef struct bp_liveness bp_liveness_t;

bp_liveness_t *bp_liveness_new(const char *self, uint32_t death_ms);
void bp_liveness_free(bp_liveness_t *liveness);
/*
 * Updates the nodes whose records were read since the last call. current
 * tells whether reads reach the log's head. now_us is monotonic.
 */
void bp_liveness_update(bp_liveness_t *liveness, const bp_state_t *state,
    bool current, int64_t now_us);
/*
 * Tells whether a node is dead. Returns false without evidence: unless the
 * log is current and own records are read back.
 */
bool bp_liveness_dead(
    const bp_liveness_t *liveness, const char *node, int64_t now_us);
/* Time in ms since the current incarnation was first seen; 0 if unknown. */
int64_t bp_liveness_age_ms(
    const bp_liveness_t *liveness, const char *node, int64_t now_us);

#endif
