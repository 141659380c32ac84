#ifndef BP_STATE_PRIVATE_H
#define BP_STATE_PRIVATE_H

#include "bulrushpost/state.h"

typedef struct {
	uint64_t seq;
	uint64_t last_offset;
	char *node;
} bp_incarnation_t;

typedef struct {
	char *node;
	uint64_t incarnation;
	uint64_t seq;
	uint64_t issued_s;
} bp_key_claim_t;

typedef struct {
	bp_state_observer_t observer;
	void *data;
} bp_observer_slot_t;

struct bp_state {
	GHashTable *jobs;
	GHashTable *vms;
	GHashTable *racks;
	GHashTable *zones;
	GHashTable *teams;
	GHashTable *nodes;
	GHashTable *keys;
	GHashTable *incarnations; /* keyed by pointer to gint64 */
	GPtrArray *waiting;
	GPtrArray *history; /* bp_rules_version_t, oldest first */
	GArray *observers; /* bp_observer_slot_t */
	uint64_t next_offset;
	uint64_t key_horizon_s; /* claims of keys issued earlier fail */
	uint64_t key_retention_s; /* keys issued earlier are removed */
	int64_t now_ms;
	int64_t pruned_ms;
};

/* Context of an apply function: the record that contains the entry. */
typedef struct {
	bp_state_t *state;
	const Bp__Log__Record *record;
	uint64_t offset;
	bp_error_t *err;
} bp_apply_t;

int bp_apply_claim(bp_apply_t *ctx, const Bp__Log__Claim *claim);
int bp_apply_release(bp_apply_t *ctx, const Bp__Log__Release *release);
int bp_apply_vm_upsert(bp_apply_t *ctx, const Bp__Log__VmUpsert *upsert);
int bp_apply_vm_hold(bp_apply_t *ctx, const Bp__Log__VmHold *hold);
int bp_apply_job_submit(bp_apply_t *ctx, const Bp__Log__JobSubmit *submit);
int bp_apply_job_cancel(bp_apply_t *ctx, const Bp__Log__JobCancel *cancel);
int bp_apply_job_resize(bp_apply_t *ctx, const Bp__Log__JobResize *resize);
int bp_apply_assign(bp_apply_t *ctx, const Bp__Log__Assign *assign);
int bp_apply_task_end(bp_apply_t *ctx, const Bp__Log__TaskEnd *end);
int bp_apply_rules_publish(
    bp_apply_t *ctx, const Bp__Log__RulesPublish *publish);
int bp_apply_zone_change(bp_apply_t *ctx, const Bp__Log__ZoneChange *change);
int bp_apply_key_claim(bp_apply_t *ctx, const Bp__Log__KeyClaim *claim);

/* Returns BP_OK if the writer of the record owns the rack at this epoch. */
int bp_apply_check_owner(
    bp_apply_t *ctx, const bp_rack_t *rack, uint64_t epoch);

/* Advances the claim horizon to the record time; removes expired keys. */
void bp_state_prune_keys(bp_state_t *state);
bp_zone_t *bp_state_add_zone(bp_state_t *state, const char *name);
bp_rack_t *bp_state_add_rack(bp_state_t *state, const char *name);
bp_vm_t *bp_state_add_vm(bp_state_t *state, const char *name, bp_rack_t *rack);
bp_team_t *bp_state_add_team(bp_state_t *state, const char *name);
bp_job_t *bp_state_add_job(bp_state_t *state, const Bp__Log__JobSpec *spec);
void bp_state_remove_vm(bp_state_t *state, bp_vm_t *vm);
void bp_state_activate_rules(bp_state_t *state, bp_rules_version_t *version);
void bp_state_prune(bp_state_t *state);

/* Task transitions; they update all counters and indexes. */
void bp_task_assign(bp_state_t *state, bp_job_t *job, uint32_t index,
    bp_vm_t *vm, uint64_t epoch);
void bp_task_unassign(bp_job_t *job, uint32_t index);
void bp_task_wait(bp_state_t *state, bp_job_t *job, uint32_t index);
void bp_task_finish(bp_state_t *state, bp_job_t *job, uint32_t index,
    Bp__Log__TaskOutcome outcome);

#endif
