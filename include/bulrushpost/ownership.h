#ifndef BULRUSHPOST_OWNERSHIP_H
#define BULRUSHPOST_OWNERSHIP_H

#include "bulrushpost/liveness.h"
#include "bulrushpost/state.h"

typedef enum {
	BP_OWNERSHIP_CLAIM,
	BP_OWNERSHIP_RELEASE
} bp_ownership_step_kind_t;

/* A claim or release that the node should append to the log. */
typedef struct {
	bp_ownership_step_kind_t kind;
	char *rack;
	uint64_t epoch;
	union {
		Bp__Log__ClaimGround ground;
		char *successor; /* NULL when the node stops */
	} as;
} bp_ownership_step_t;

typedef struct bp_ownership bp_ownership_t;

typedef struct {
	const char *node;
	uint64_t incarnation;
	const bp_liveness_t *liveness;
	uint32_t handover_racks; /* concurrent releases to other nodes */
	uint32_t rank_wait_ms; /* a node of rank r waits r times this */
	uint32_t settle_ms; /* racks move to a joining node after this */
} bp_ownership_options_t;

int bp_ownership_options_init(bp_ownership_options_t *options);
bp_ownership_t *bp_ownership_new(const bp_ownership_options_t *options);
void bp_ownership_free(bp_ownership_t *ownership);

/*
 * Returns the ownership changes (bp_ownership_step_t, freed with the array)
 * due for all racks: those in the state and those named in racks
 * (NULL-terminated), which come from the VM list. now_us is monotonic.
 */
GPtrArray *bp_ownership_plan(bp_ownership_t *ownership, const bp_state_t *state,
    const char *const *racks, bool draining, int64_t now_us);
/* Rendezvous hash; the node with the highest score should own the rack. */
uint64_t bp_ownership_score(const char *rack, const char *node);

#endif
