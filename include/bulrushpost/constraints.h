#ifndef BULRUSHPOST_CONSTRAINTS_H
#define BULRUSHPOST_CONSTRAINTS_H

#include "bulrushpost/eligibility.h"
#include "bulrushpost/reservations.h"

/* The rules in force that apply to one job, selected once for many VMs. */
typedef struct {
	const bp_state_t *state;
	const bp_job_t *job;
	GPtrArray *rules; /* const bp_rule_t */
} bp_constraints_t;

/* One cause that excludes the job from one VM, with its details. */
typedef struct {
	bp_cause_t cause;
	const bp_rule_t *rule; /* for quota, rule and headroom */
	const bp_zone_t *zone; /* for zone_out */
	const bp_rack_t *rack; /* for no_owner */
	const bp_vm_t *vm; /* NULL if the cause does not depend on the VM */
	bp_resources_t shortfall; /* for causes about amounts */
} bp_exclusion_t;

typedef void (*bp_exclusion_visitor_t)(
    const bp_exclusion_t *exclusion, void *data);

void bp_constraints_init(bp_constraints_t *constraints, const bp_state_t *state,
    const bp_job_t *job);
void bp_constraints_clear(bp_constraints_t *constraints);

const char *bp_constraints_place_name(const bp_vm_t *vm, bp_scope_t scope);
bool bp_constraints_place_admits(const bp_rule_t *rule, const bp_vm_t *vm);

/*
 * Returns the causes that exclude one more task of the job from the VM. With
 * a visitor all causes are found and visited; without one the first cause ends
 * the search. reservations may be NULL.
 */
uint32_t bp_constraints_check(const bp_constraints_t *constraints,
    const bp_vm_t *vm, const bp_reservations_t *reservations,
    bp_exclusion_visitor_t visit, void *data);
/* Returns what the job may use of the VM, ignoring the present usage. */
bp_resources_t bp_constraints_usable_capacity(
    const bp_constraints_t *constraints, const bp_vm_t *vm);

#endif
