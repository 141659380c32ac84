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
	double breach; /* upper slowdown threshold: service is slow */
	double calm; /* lower slowdown threshold: service recovered */
	uint32_t breach_reports; /* consecutive, before the first mitigation */
	uint32_t step_ms; /* between mitigations on a VM; above report lag */
	uint32_t calm_ms; /* time recovered before a throttle is lifted */
	uint32_t throttle_permille; /* speed of a throttled task */
	uint32_t throttle_max_ms; /* then a confirmed cause is moved */
	uint32_t stop_ms; /* checkpoint timeout; then the task is stopped */
	uint32_t evictions_per_min; /* checkpoints against interference */
	uint32_t drain_per_min; /* tasks moved out of such zones */
} bp_eviction_options_t;

typedef enum {
	BP_ACT_THROTTLE, /* to throttle_permille; 1000 lifts the throttle */
	BP_ACT_CHECKPOINT_STOP,
	BP_ACT_STOP
} bp_act_kind_t;

/* A mitigation. job belongs to the caller's report or to the state. */
typedef struct {
	bp_act_kind_t kind;
	const char *job;
	uint32_t task;
	uint32_t attempt;
	uint32_t throttle_permille;
	const char *service; /* affected; NULL when a zone is emptied */
	double slowdown; /* of that service */
} bp_act_t;

/* A service task on the VM, as reported. */
typedef struct {
	const char *service; /* job name */
	double slowdown;
	double load;
} bp_victim_t;

/* A batch task on the VM: a candidate cause of slowdowns. */
typedef struct {
	const char *job; /* id */
	const char *kind; /* job name */
	uint32_t task;
	uint32_t attempt;
} bp_suspect_t;

/* A usage report of a VM; at_ms is the monotonic time of the sample. */
typedef struct {
	const char *vm;
	int64_t at_ms;
	const bp_victim_t *victims;
	size_t n_victims;
	const bp_suspect_t *suspects;
	size_t n_suspects;
} bp_vm_report_t;

int bp_eviction_options_init(bp_eviction_options_t *options);
bp_eviction_t *bp_eviction_new(const bp_eviction_options_t *options);
void bp_eviction_free(bp_eviction_t *eviction);

/*
 * Processes a report: updates the interference estimates and appends the
 * mitigations (bp_act_t) to apply now to acts. The estimates assume that
 * they are applied, so the caller must apply them.
 */
void bp_eviction_report(bp_eviction_t *eviction,
    bp_interference_t *interference, const bp_vm_report_t *report,
    int64_t now_ms, GArray *acts);
/*
 * Appends to acts which tasks of the node's racks to move now out of zones
 * that are out of service.
 */
void bp_eviction_drain(bp_eviction_t *eviction, const bp_state_t *state,
    const char *node, uint64_t incarnation, int64_t now_ms, GArray *acts);

/*
 * Tells whether the VM has no hold and failed at least failures consecutive
 * attempts, of at least 2 jobs.
 */
bool bp_eviction_quarantine_due(const bp_vm_t *vm, uint32_t failures);

#endif
