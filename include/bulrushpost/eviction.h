#ifndef BULRUSHPOST_EVICTION_H
#define BULRUSHPOST_EVICTION_H

#include "bulrushpost/interference.h"
#include "bulrushpost/state.h"

/*
 * Protects services from co-located batch tasks: throttles them, then stops
 * them with a checkpoint, then without. Also moves tasks out of zones that
 * are out of service.
 */
typedef struct bp_eviction bp_eviction_t;

typedef struct {
	double slowdown_high; /* upper slowdown threshold: service is slow */
	double slowdown_low; /* lower slowdown threshold: service recovered */
	uint32_t high_reports; /* consecutive, before the first mitigation */
	uint32_t cooldown_ms; /* per VM; above report lag */
	uint32_t recovery_ms; /* time recovered before a throttle is lifted */
	uint32_t throttle_permille; /* speed of a throttled task */
	uint32_t throttle_max_ms; /* then a confirmed cause is moved */
	uint32_t checkpoint_timeout_ms; /* then the task is stopped */
	uint32_t evictions_per_min; /* checkpoints against interference */
	uint32_t drain_per_min; /* tasks moved out of such zones */
} bp_eviction_options_t;

typedef enum {
	BP_MITIGATION_THROTTLE, /* to throttle_permille; 1000 lifts it */
	BP_MITIGATION_CHECKPOINT_STOP,
	BP_MITIGATION_STOP
} bp_mitigation_kind_t;

/* A mitigation. job belongs to the caller's report or to the state. */
typedef struct {
	bp_mitigation_kind_t kind;
	const char *job;
	uint32_t task;
	uint32_t attempt;
	uint32_t throttle_permille;
	const char *service; /* affected; NULL when a zone is emptied */
	double slowdown; /* of that service */
} bp_mitigation_t;

/* A service task on the VM, as reported. */
typedef struct {
	const char *service; /* job name */
	double slowdown;
	double load;
} bp_service_sample_t;

/* A batch task on the VM: a candidate cause of slowdowns. */
typedef struct {
	const char *job; /* id */
	const char *kind; /* job name */
	uint32_t task;
	uint32_t attempt;
} bp_batch_sample_t;

/* A usage report of a VM; at_ms is the monotonic time of the sample. */
typedef struct {
	const char *vm;
	int64_t at_ms;
	const bp_service_sample_t *services;
	size_t n_services;
	const bp_batch_sample_t *batch_tasks;
	size_t n_batch_tasks;
} bp_vm_report_t;

int bp_eviction_options_init(bp_eviction_options_t *options);
bp_eviction_t *bp_eviction_new(const bp_eviction_options_t *options);
void bp_eviction_free(bp_eviction_t *eviction);

/*
 * Processes a report: updates the interference estimates and appends the
 * bp_mitigation_t to apply now to mitigations. The estimates assume that they
 * are applied, so the caller must apply them.
 */
void bp_eviction_report(bp_eviction_t *eviction,
    bp_interference_t *interference, const bp_vm_report_t *report,
    int64_t now_ms, GArray *mitigations);
/*
 * Appends to mitigations which tasks of the node's racks to move now out of
 * zones that are out of service.
 */
void bp_eviction_drain(bp_eviction_t *eviction, const bp_state_t *state,
    const char *node, uint64_t incarnation, int64_t now_ms,
    GArray *mitigations);

/*
 * Tells whether the VM has no hold and failed at least failures consecutive
 * attempts, of at least 2 jobs.
 */
bool bp_eviction_quarantine_due(const bp_vm_t *vm, uint32_t failures);

#endif
