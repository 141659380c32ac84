#ifndef BULRUSHPOST_LIVENESS_H
#define BULRUSHPOST_LIVENESS_H

#include "bulrushpost/state.h"

/* Which nodes are alive, judged by the records read from the log. */
typedef struct bp_liveness bp_liveness_t;

bp_liveness_t *bp_liveness_new(const char *self, uint32_t death_ms);
void bp_liveness_free(bp_liveness_t *liveness);
/*
 * Notes the nodes whose records were read since the last call. current tells
 * whether reads reach the log's head.
 */
void bp_liveness_update(bp_liveness_t *liveness, const bp_state_t *state,
    bool current, int64_t now_us);
/* True only with evidence: the log is current and own records come back. */
bool bp_liveness_dead(
    const bp_liveness_t *liveness, const char *node, int64_t now_us);
/* How long the current incarnation has been seen, in ms; 0 when unknown. */
int64_t bp_liveness_age_ms(
    const bp_liveness_t *liveness, const char *node, int64_t now_us);

#endif
