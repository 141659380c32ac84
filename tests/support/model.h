#ifndef BP_TESTS_MODEL_H
#define BP_TESTS_MODEL_H

#include "bulrushpost/state.h"

/* Builds a state by applying one record for each call. */
typedef struct {
	bp_state_t *state;
	uint64_t offset;
	uint64_t seq;
	int64_t now_ms; /* written into the records */
	int rc; /* of the last call: what became of its entry */
} bp_model_t;

#define BP_MODEL_INCARNATION 7U

void bp_model_init(bp_model_t *model);
void bp_model_clear(bp_model_t *model);
/* Claims the rack for node "n1" unless it has an owner, and adds the VM. */
bp_vm_t *bp_model_vm(bp_model_t *model, const char *vm, const char *rack,
    uint32_t cpu_milli, uint32_t memory_mib, uint32_t accelerators);
bp_vm_t *bp_model_vm_of(bp_model_t *model, const char *node, const char *vm,
    const char *rack, uint32_t cpu_milli, uint32_t memory_mib);
bp_job_t *bp_model_job(bp_model_t *model, const char *id, const char *team,
    bp_task_class_t klass, uint32_t tasks, uint32_t cpu_milli,
    uint32_t memory_mib);
int bp_model_assign(bp_model_t *model, const bp_job_t *job, uint32_t first,
    uint32_t count, const bp_vm_t *vm);
int bp_model_end(bp_model_t *model, const bp_job_t *job, uint32_t task,
    Bp__Log__TaskOutcome outcome);
int bp_model_rules(bp_model_t *model, const char *text);
int bp_model_zone(bp_model_t *model, const char *zone, bool out);
int bp_model_hold(
    bp_model_t *model, const bp_vm_t *vm, Bp__Log__HoldCause cause);
int bp_model_release(bp_model_t *model, const char *rack);

#endif
