#ifndef BP_SCHEDULER_PRIVATE_H
#define BP_SCHEDULER_PRIVATE_H

#include "bulrushpost/eviction.h"
#include "bulrushpost/interference.h"
#include "bulrushpost/ownership.h"
#include "bulrushpost/placement.h"
#include "bulrushpost/scheduler.h"
#include "bulrushpost/session.h"

#include <gio/gio.h>

/* A rack that this node owns, or owned until recently. */
typedef struct {
	char *name;
	uint64_t epoch;
	GHashTable *vms; /* name to bp_owned_vm_t */
	int64_t claimed_us;
	char *earlier_owner; /* previous owner; NULL if there was none */
	char *earlier_address;
	uint64_t earlier_incarnation;
	int64_t earlier_ended_us; /* known to have ended; 0 if not known */
	bool probing;
	bool release_asked;
	bool superseded;
	bool foreign; /* only keeps the previous owner during a claim */
	int64_t superseded_us;
} bp_owned_rack_t;

/* An attempt that the worker did not list when the session opened. */
typedef struct {
	char *job;
	uint32_t task;
	uint32_t attempt;
} bp_missing_t;

typedef struct {
	bp_scheduler_t *scheduler;
	bp_owned_rack_t *rack;
	char *name;
	char *url;
	bp_session_t *session;
	bool upsert_in_flight;
	bool hold_in_flight;
	GArray *missing; /* bp_missing_t, until the first report */
	bp_resources_t capacity; /* as reported by the worker */
	bool capacity_known;
	int64_t hold_since_us;
} bp_owned_vm_t;

struct bp_scheduler {
	bp_scheduler_options_t options;
	const bp_settings_t *settings;
	const bp_clock_t *clock;
	bp_liveness_t *liveness;
	bp_ownership_t *ownership;
	bp_placement_t *placement;
	bp_interference_t *interference;
	bp_eviction_t *eviction;
	bp_state_t *state; /* that placement refers to */
	GHashTable *racks; /* name to bp_owned_rack_t */
	GHashTable *steps; /* racks with a claim or release in flight */
	GHashTable *resizes; /* jobs with a JobResize in flight */
	GHashTable *ends; /* "job/task/attempt" with a TaskEnd in flight */
	GPtrArray *listed_racks; /* names from the VM list, NULL at the end */
	uint64_t listed_version; /* of the VM list */
	bool racks_changed; /* ownership or the VM list changed */
	uint32_t rounds;
	GCancellable *cancellable;
	guint timer;
	bool draining;
	bp_scheduler_drained_t drained;
	void *drained_data;
	bp_scheduler_counters_t counters;
};

/* racks.c */
void bp_racks_sync(bp_scheduler_t *self);
void bp_racks_tick(bp_scheduler_t *self);
void bp_racks_free(void *rack);
bp_owned_vm_t *bp_racks_vm(const bp_scheduler_t *self, const char *vm);
bool bp_racks_is_own(const bp_scheduler_t *self, const bp_rack_t *rack);
size_t bp_racks_queued(const bp_owned_rack_t *rack);

/* claims.c */
void bp_claims_check_list(bp_scheduler_t *self);
void bp_claims_plan(bp_scheduler_t *self);

/* assign.c */
void bp_assign_round(bp_scheduler_t *self);

/* starts.c */
void bp_starts_session_events(bp_session_events_t *events, bp_owned_vm_t *vm);
void bp_starts_observe(const bp_applied_t *applied, void *scheduler);

/* ends.c */
void bp_ends_report(bp_owned_vm_t *vm, const Bp__Worker__RenewAnswer *answer);
void bp_ends_submit(bp_scheduler_t *self, const bp_job_t *job, uint32_t task,
    Bp__Log__TaskOutcome outcome, const char *checkpoint, const char *detail);
bool bp_ends_is_assigned(const bp_scheduler_t *self,
    const Bp__Worker__TaskId *id, const char *vm, bp_job_t **job);

/* vmstate.c */
void bp_vmstate_opened(
    bp_owned_vm_t *vm, const Bp__Worker__NonceAnswer *answer);
void bp_vmstate_update(bp_owned_vm_t *vm);

/* recovery.c */
void bp_recovery_tick(bp_scheduler_t *self);

/* sizes.c */
void bp_sizes_report(bp_owned_vm_t *vm, const Bp__Worker__RenewAnswer *answer);

/* protection.c */
void bp_protection_report(
    bp_owned_vm_t *vm, const Bp__Worker__RenewAnswer *answer);
void bp_protection_tick(bp_scheduler_t *self);
double bp_protection_penalty(
    const bp_job_t *job, const bp_vm_t *vm, void *scheduler);

uint32_t bp_scheduler_lease_ms(
    const bp_scheduler_t *self, bp_task_class_t klass);
int64_t bp_scheduler_now_us(const bp_scheduler_t *self);
void bp_scheduler_event(bp_scheduler_t *self, const char *kind, const char *job,
    const char *vm, const char *zone, const char *format, ...)
    G_GNUC_PRINTF(6, 7);

#endif
