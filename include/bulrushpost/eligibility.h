#ifndef BULRUSHPOST_ELIGIBILITY_H
#define BULRUSHPOST_ELIGIBILITY_H

#include "bulrushpost/state.h"

/* Causes that exclude a task from a VM; bits of a mask. */
typedef enum {
	BP_CAUSE_NEVER_FITS = 1 << 0,
	BP_CAUSE_NO_CAPACITY = 1 << 1,
	BP_CAUSE_QUOTA = 1 << 2,
	BP_CAUSE_RULE = 1 << 3,
	BP_CAUSE_ZONE_OUT = 1 << 4,
	BP_CAUSE_TURN = 1 << 5,
	BP_CAUSE_VM_HOLD = 1 << 6,
	BP_CAUSE_HEADROOM = 1 << 7,
	BP_CAUSE_NO_OWNER = 1 << 8,
	BP_CAUSE_VM_UNREACHABLE = 1 << 9,
	BP_CAUSE_LOG_UNAVAILABLE = 1 << 10,
	BP_CAUSE_STATE_UNKNOWN = 1 << 11,
	BP_CAUSE_LOG_VERSION = 1 << 12,
	BP_CAUSE_DRAINING = 1 << 13,
	BP_CAUSE_STARTING = 1 << 14
} bp_cause_t;

/* Details of the bits of a mask; NULL if the bit is not set. */
typedef struct {
	const bp_rule_t *rule;
	const bp_rule_t *quota;
	const bp_rule_t *headroom;
	const bp_zone_t *zone;
	const bp_vm_t *vm;
	bp_resources_t shortfall;
} bp_eligibility_facts_t;

/*
 * Returns the causes in the state alone that exclude one more task of the job
 * from the VM; 0 if it may be assigned there. The state machine, the placement
 * decision and the explanation all use this function. facts may be NULL.
 */
uint32_t bp_eligibility_check(const bp_state_t *state, const bp_job_t *job,
    const bp_vm_t *vm, bp_eligibility_facts_t *facts);
const char *bp_cause_name(bp_cause_t cause);

#endif
