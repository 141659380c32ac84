#ifndef BULRUSHPOST_STATE_H
#define BULRUSHPOST_STATE_H

#include "bulrushpost/error.h"
#include "bulrushpost/rules.h"
#include "proto/log.pb-c.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#define BP_RECORD_VERSION 1
#define BP_STREAM "bulrushpost"
#define BP_SNAPSHOT_STREAM "bulrushpost-snapshots"

typedef struct bp_state bp_state_t;
typedef struct bp_vm bp_vm_t;
typedef struct bp_job bp_job_t;

typedef enum {
	BP_TASK_WAITING = 0,
	BP_TASK_ASSIGNED = 1,
	BP_TASK_ENDED = 2
} bp_task_state_t;

typedef struct {
	bp_vm_t *vm; /* NULL unless assigned */
	bp_resources_t size; /* reserved while assigned */
	char *checkpoint;
	uint64_t epoch;
	uint64_t since_offset;
	int64_t since_ms;
	uint32_t attempt; /* of the next assign while waiting */
	uint8_t state; /* bp_task_state_t */
	uint8_t outcome; /* Bp__Log__TaskOutcome of the last end */
	uint8_t failures;
} bp_task_t;

typedef struct {
	char *name;
	uint32_t weight;
	const bp_rule_t *quota; /* NULL without a quota */
	bp_resources_t used;
	uint32_t assigned;
} bp_team_t;

struct bp_job {
	char *id;
	char *name;
	bp_team_t *team;
	bp_task_class_t klass;
	bp_resources_t declared_size; /* of one task, as submitted */
	bp_resources_t size; /* reserved for the next attempts */
	uint64_t run_ms; /* as declared; 0 when unknown */
	uint32_t weight;
	bool never_rerun; /* a lost task does not run again */
	char *command;
	char *submitted_by;
	bool cancelled;
	char *cancelled_by;
	uint64_t submit_offset;
	int64_t submit_ms;
	int64_t ended_ms;
	uint32_t n_tasks;
	uint32_t n_waiting;
	uint32_t n_assigned;
	uint32_t n_ended;
	uint32_t first_waiting; /* no task below this index waits */
	uint32_t max_attempt;
	bp_task_t *tasks;
};

typedef struct {
	char *name;
	bool out_of_service;
	char *author;
	char *reason;
	uint64_t version;
	uint64_t offset;
	int64_t time_ms;
} bp_zone_t;

typedef struct {
	char *name; /* "zone/rack" */
	bp_zone_t *zone;
	char *owner; /* NULL when nobody owns it */
	uint64_t owner_incarnation;
	uint64_t epoch;
	uint64_t leases_ended_epoch; /* owners up to it renew no more leases */
	GArray *leases_ended_out_of_order; /* uint64_t; epochs that ended out of
					      order */
	bool released;
	char *successor;
	GPtrArray *vms; /* bp_vm_t, not owned */
} bp_rack_t;

/* A task on a VM. */
typedef struct {
	bp_job_t *job;
	uint32_t task;
} bp_task_ref_t;

struct bp_vm {
	char *name;
	bp_rack_t *rack;
	bp_resources_t capacity;
	bp_resources_t used;
	Bp__Log__HoldCause hold;
	char *hold_detail;
	GArray *tasks; /* bp_task_ref_t, assigned to this VM */
	uint32_t consecutive_failures;
	char *last_failed_job;
	bool failures_of_several_jobs;
	bool gone;
};

typedef struct {
	char *name;
	char *zone;
	char *address; /* control address, host:port */
	uint64_t incarnation;
	uint64_t seq;
	bool draining;
	uint64_t last_offset;
	int64_t time_ms;
} bp_node_t;

typedef struct {
	uint64_t version;
	char *text;
	char *author;
	uint64_t offset;
	int64_t time_ms;
	bp_rules_t *rules;
} bp_rules_version_t;

/* The result of applying one entry. */
typedef struct {
	int kind; /* BP_OK, or the error kind if it had no effect */
	const Bp__Log__Entry *entry;
	const char *node;
	uint64_t incarnation;
	uint64_t seq;
	uint64_t offset;
	uint32_t index; /* position in its record */
	const char *message;
} bp_applied_t;

typedef void (*bp_state_observer_t)(const bp_applied_t *applied, void *data);

bp_state_t *bp_state_new(void);
void bp_state_free(bp_state_t *state);

/* Only one caller may apply records; observers see all entries in order. */
void bp_state_observe(
    bp_state_t *state, bp_state_observer_t observer, void *data);
int bp_state_apply(bp_state_t *state, uint64_t offset, const uint8_t *record,
    size_t size_bytes, bp_error_t *err);
uint64_t bp_state_next_offset(const bp_state_t *state);
int64_t bp_state_now_ms(const bp_state_t *state);

/* Collections of the structs above, keyed by name or id; owned by state. */
GHashTable *bp_state_jobs(const bp_state_t *state);
GPtrArray *bp_state_waiting(const bp_state_t *state); /* waiting jobs */
GHashTable *bp_state_vms(const bp_state_t *state);
GHashTable *bp_state_racks(const bp_state_t *state);
GHashTable *bp_state_zones(const bp_state_t *state);
GHashTable *bp_state_teams(const bp_state_t *state);
GHashTable *bp_state_nodes(const bp_state_t *state);
GPtrArray *bp_state_rules_history(const bp_state_t *state);
const bp_rules_version_t *bp_state_rules(const bp_state_t *state);

bp_job_t *bp_state_job(const bp_state_t *state, const char *id);
bp_vm_t *bp_state_vm(const bp_state_t *state, const char *name);
bp_rack_t *bp_state_rack(const bp_state_t *state, const char *name);
bp_zone_t *bp_state_zone(const bp_state_t *state, const char *name);
bp_team_t *bp_state_team(const bp_state_t *state, const char *name);
bp_node_t *bp_state_node(const bp_state_t *state, const char *name);
bool bp_state_key_claimed(const bp_state_t *state, const char *key,
    const char **node, uint64_t *incarnation, uint64_t *seq);
/* Returns true only if no record has claimed the key and none ever can. */
bool bp_state_key_never_claimed(
    const bp_state_t *state, const char *key, uint64_t issued_s);
/* Highest sequence number applied for an incarnation, 0 for none. */
uint64_t bp_state_seq(const bp_state_t *state, uint64_t incarnation);

/* Snapshots. Equal states have equal bytes. */
int bp_snapshot_save(
    GByteArray **out, const bp_state_t *state, bp_error_t *err);
int bp_snapshot_load(
    bp_state_t **out, const uint8_t *bytes, size_t size_bytes, bp_error_t *err);

#endif
