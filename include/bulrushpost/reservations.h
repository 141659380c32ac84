#ifndef BULRUSHPOST_RESERVATIONS_H
#define BULRUSHPOST_RESERVATIONS_H

#include "bulrushpost/state.h"

/*
 * Tasks that were planned but are not assigned in the state yet. It refers
 * to structs of one state and must be cleared when that state is replaced.
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
/* All of these allow reservations to be NULL. */
bp_resources_t bp_reservations_vm(
    const bp_reservations_t *reservations, const bp_vm_t *vm);
bp_resources_t bp_reservations_team(
    const bp_reservations_t *reservations, const bp_team_t *team);
/* Arrays of bp_reservation_t, or NULL when there are none. */
const GArray *bp_reservations_on(
    const bp_reservations_t *reservations, const bp_vm_t *vm);
const GArray *bp_reservations_of(
    const bp_reservations_t *reservations, const bp_job_t *job);

#endif
