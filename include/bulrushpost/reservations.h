#ifndef BULRUSHPOST_RESERVATIONS_H
#define BULRUSHPOST_RESERVATIONS_H

#include "bulrushpost/state.h"

/*
 * Planned tasks that are not assigned in the state yet. The reservations
 * refer to structs of one state and must be cleared when it is replaced.
 */
typedef struct bp_reservations bp_reservations_t;

typedef struct {
	const bp_job_t *job;
	const bp_vm_t *vm;
	uint32_t count;
} bp_reservation_t;

bp_reservations_t *bp_reservations_new(void);
void bp_reservations_free(bp_reservations_t *reservations);
void bp_reservations_clear(bp_reservations_t *reservations);
void bp_reservations_add(bp_reservations_t *reservations, const bp_job_t *job,
    const bp_vm_t *vm, uint32_t count);
/* In the functions below reservations may be NULL. */
bp_resources_t bp_reservations_vm_total(
    const bp_reservations_t *reservations, const bp_vm_t *vm);
bp_resources_t bp_reservations_team_total(
    const bp_reservations_t *reservations, const bp_team_t *team);
/* Arrays of bp_reservation_t, or NULL when there are none. */
const GArray *bp_reservations_for_vm(
    const bp_reservations_t *reservations, const bp_vm_t *vm);
const GArray *bp_reservations_for_job(
    const bp_reservations_t *reservations, const bp_job_t *job);

#endif
