#ifndef BP_SCHEDULER_EVICTION_PRIVATE_H
#define BP_SCHEDULER_EVICTION_PRIVATE_H

#include "bulrushpost/eviction.h"

/* Moves tasks out of zones that are out of service, at a limited rate. */
typedef struct bp_drain bp_drain_t;

void bp_tokens_refill(double *tokens, int64_t *at_ms, uint32_t per_min,
    double most, int64_t now_ms);
bool bp_tokens_take(double *tokens);

bp_drain_t *bp_drain_new(void);
void bp_drain_free(bp_drain_t *drain);
void bp_drain_step(bp_drain_t *drain, const bp_eviction_options_t *options,
    const bp_state_t *state, const char *node, uint64_t incarnation,
    int64_t now_ms, GArray *acts);

#endif
