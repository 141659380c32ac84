#ifndef BULRUSHPOST_EVICTION_H
#define BULRUSHPOST_EVICTION_H

#include "bulrushpost/interference.h"
#include "bulrushpost/state.h"

/*
 * Protects services from batch beside them: throttles, then checkpoints and
 * stops, then stops. Empties zones that are out of service.
 */
typedef struct bp_eviction bp_eviction_t;

typedef struct {
	double breach; /* slowdown from which a service counts as disturbed */
	double calm; /* slowdown below which it counts as undisturbed */
	uint32_t breach_reports; /* in a row, before the first step */
	uint32_t step_ms; /* between steps on a VM; longer than reports lag */
	uint32_t calm_ms; /* before one throttle is lifted */
	uint32_t throttle_permille; /* speed left to a throttled task */
	uint32_t throttle_max_ms; /* then a proven culprit is moved */
	uint32_t stop_ms; /* a checkpoint not done by then ends in a stop */
	uint32_t evictions_per_min;
	uint32_t drain_per_min; /* tasks moved out of zones that are out */
} bp_eviction_options_t;

typedef enum {
	BP_ACT_THROTTLE, /* with throttle_permille; 1000 lifts it */
	BP_ACT_CHECKPOINT_STOP,
	BP_ACT_STOP
} bp_act_kind_t;

/* job belongs to the caller's report or to the state. */
typedef struct {
	bp_act_kind_t kind;
	const char *job;
	uint32_t task;
	uint32_t attempt;
	uint32_t throttle_permille;
	const char *service; /* the disturbed one; NULL for a zone */
	double slowdown; /* of that service */
} bp_act_t;

/* A service task on the VM. */
typedef struct {
	const char *service; /* job name */
	double slowdown;
	double load;
} bp_victim_t;

/* A batch task on the VM. */
typedef struct {
	const char *job; /* id */
	const char *kind; /* job name */
	uint32_t task;
	uint32_t attempt;
} bp_suspect_t;

/* What one report says about a VM; at_ms is the time that it is about. */
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
 * Takes a report, appends what to do now to acts (bp_act_t) and feeds the
 * estimates. The throttles that it asked for are taken into account, so the
 * caller must carry the acts out.
 */
void bp_eviction_report(bp_eviction_t *eviction,
    bp_interference_t *interference, const bp_vm_report_t *report,
    int64_t now_ms, GArray *acts);
/* Appends which tasks of the node's racks to move out of zones now. */
void bp_eviction_drain(bp_eviction_t *eviction, const bp_state_t *state,
    const char *node, uint64_t incarnation, int64_t now_ms, GArray *acts);

/* Tells whether the VM failed so many starts in a row, of at least 2 jobs. */
bool bp_eviction_quarantine_due(const bp_vm_t *vm, uint32_t failures);

#endif
