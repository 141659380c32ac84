#ifndef BULRUSHPOST_REASON_H
#define BULRUSHPOST_REASON_H

#include "bulrushpost/constraints.h"

#define BP_CAUSES 15

/* Conditions of the explaining node that are not part of the state. */
typedef struct {
	const char *node;
	bool log_unavailable;
	int64_t log_down_since_ms; /* wall time; 0 if unknown */
	bool state_unknown;
	bool log_version_unknown;
	bool draining;
	bool starting;
	bool turn; /* the last scheduling round chose other jobs */
	uint32_t jobs_ahead; /* 0 if unknown */
	bool disturbs; /* would interfere with services; shown as turn */
	/* NULL means that all VMs are reachable. */
	bool (*reachable)(const bp_vm_t *vm, void *data);
	void *data;
} bp_reason_input_t;

typedef enum {
	BP_REASON_WAITING, /* see causes */
	BP_REASON_READY, /* nothing blocks it; it starts in one of the next
			    rounds */
	BP_REASON_ASSIGNED,
	BP_REASON_ENDED,
	BP_REASON_CANCELLED
} bp_reason_kind_t;

/* One cause with its details; pointers refer to the explained state. */
typedef struct {
	bp_exclusion_t exclusion;
	uint32_t n_vms; /* excluded by this cause, alone or with others */
} bp_reason_cause_t;

typedef struct {
	bp_reason_kind_t kind;
	bp_job_t *job;
	uint32_t task;
	bp_reason_input_t input;
	GArray *causes; /* bp_reason_cause_t, the smallest sufficient set */
	const bp_vm_t *vm; /* where it could start without them, or runs */
	uint32_t n_vms; /* known VMs */
	uint32_t n_startable; /* VMs it could start on without the causes */
	uint32_t by_cause[BP_CAUSES]; /* VMs excluded, by bit of the cause */
} bp_reason_t;

int bp_reason_explain(bp_reason_t **out, const bp_state_t *state,
    const char *job, uint32_t task, const bp_reason_input_t *input,
    bp_error_t *err);
void bp_reason_free(bp_reason_t *reason);
char *bp_reason_text(const bp_reason_t *reason);
char *bp_reason_json(const bp_reason_t *reason);

/*
 * Checks that a known VM is large enough for a task of the job, which need
 * not be in the state. If none is, returns BP_EREFUSED with a message that
 * names the nearest size that fits.
 */
int bp_reason_check_size(
    const bp_state_t *state, const bp_job_t *job, bp_error_t *err);

#endif
