#ifndef BP_TESTS_SCHEDULE_H
#define BP_TESTS_SCHEDULE_H

#include "bulrushpost/clock.h"
#include "bulrushpost/hash.h"
#include "bulrushpost/scheduler.h"

#include <gio/gio.h>

/*
 * Runs real schedulers in virtual time against fakes of the log, the
 * network and the workers. The fakes replace the platform clients at link
 * time, so only tests that are built with them may include this.
 */
#define BP_SCHEDULE_NODES 3
#define BP_SCHEDULE_VMS 4
#define BP_SCHEDULE_JOBS 6
#define BP_SCHEDULE_TASKS 4
#define BP_SCHEDULE_ATTEMPTS 64

typedef struct bp_schedule bp_schedule_t;
typedef struct bp_fake_node bp_fake_node_t;

/* What happened outside, counted independently of the state machine. */
typedef struct {
	uint32_t starts;
	uint32_t two_places;
	uint32_t attempt_twice;
	uint32_t over_capacity;
	uint32_t zone_late;
	uint32_t rerun_forbidden;
	uint32_t ran_though_not_started;
	uint32_t unfinished;
	int64_t slowest_urgent_ms; /* from submission to first start */
} bp_schedule_result_t;

/* Guards of the protocol that a test can remove to see the checks fail. */
typedef enum {
	BP_GUARD_NONE,
	BP_GUARD_NONCE, /* workers accept any nonce */
	BP_GUARD_EPOCH, /* workers accept any epoch */
	BP_GUARD_LEASE /* workers ignore the end of leases */
} bp_guard_t;

typedef struct {
	uint64_t seed;
	bp_guard_t removed;
	bool faults;
} bp_schedule_options_t;

void bp_schedule_run(
    const bp_schedule_options_t *options, bp_schedule_result_t *out);

/* Between the parts of the harness. */
typedef struct bp_event_item bp_event_item_t;
typedef void (*bp_event_run_t)(bp_schedule_t *schedule, bp_event_item_t *item);

struct bp_event_item {
	int64_t at_us;
	bp_event_run_t run;
	int node; /* -1 when it concerns no node */
	uint64_t incarnation;
	void *data;
	GDestroyNotify drop; /* frees data when the event does not run */
};

/* A call of a session to a worker. */
typedef struct {
	bp_fake_node_t *node;
	uint64_t incarnation;
	int vm;
	int kind;
	GByteArray *request;
	GByteArray *answer;
	GCallback done;
	const void *owner;
	bool finished;
	int references;
} bp_fake_call_t;

typedef struct {
	char job[8];
	uint32_t task;
	uint32_t attempt;
	uint32_t cpu_milli;
	uint32_t lease_ms;
	int64_t lease_until_us;
	int64_t ends_us;
	bool running;
	bool reported; /* ended, kept until acknowledged */
	Bp__Worker__EndCause cause;
} bp_fake_task_t;

typedef struct {
	char name[8];
	uint64_t boot_id;
	uint64_t epoch;
	char owner[8];
	uint64_t nonces[64];
	int64_t nonce_us[64];
	uint32_t n_nonces;
	GArray *tasks; /* bp_fake_task_t of this boot */
	double rate; /* of its clock */
	int64_t cut_until_us[BP_SCHEDULE_NODES];
	bool gone;
} bp_fake_vm_t;

struct bp_fake_node {
	bp_schedule_t *schedule;
	int index;
	char name[8];
	uint64_t incarnation;
	uint64_t seq;
	bool up;
	int64_t paused_until_us;
	int64_t log_cut_until_us;
	bp_settings_t *settings;
	bp_state_t *state;
	bp_scheduler_t *scheduler;
	/* follower */
	GArray *observers;
	GArray *progress;
	bp_follower_status_t status;
	int64_t fresh_us;
	bool reading;
	bool poked;
	/* appender */
	GPtrArray *entries;
	GPtrArray *flight;
	GByteArray *record;
	uint64_t flight_seq;
	bool record_sent;
	int64_t last_append_us;
};

struct bp_schedule {
	bp_schedule_options_t options;
	bp_schedule_result_t *result;
	bp_clock_virtual_t *virt;
	const bp_clock_t *clock;
	bp_random_t random;
	GPtrArray *events;
	GPtrArray *log; /* GByteArray */
	int64_t log_down_until_us;
	int64_t log_slow_until_us;
	bool healed;
	bp_fake_node_t nodes[BP_SCHEDULE_NODES];
	bp_fake_vm_t vms[BP_SCHEDULE_VMS];
	int64_t zone_out_us[2]; /* append time; 0 when in service */
	uint64_t zone_version; /* of z1, the only zone that changes */
	uint32_t started[BP_SCHEDULE_JOBS][BP_SCHEDULE_TASKS]
			[BP_SCHEDULE_ATTEMPTS];
	bool refused[BP_SCHEDULE_JOBS][BP_SCHEDULE_TASKS][BP_SCHEDULE_ATTEMPTS];
	int64_t submitted_us[BP_SCHEDULE_JOBS];
};

int64_t bp_schedule_now_us(const bp_schedule_t *schedule);
/* node is the process that handles it, NULL for the platform. */
void bp_schedule_post(bp_schedule_t *schedule, int64_t delay_us,
    const bp_fake_node_t *node, uint64_t incarnation, bp_event_run_t run,
    void *data, GDestroyNotify drop);
uint32_t bp_schedule_random(bp_schedule_t *schedule, uint32_t bound);

/* fakelog of the schedule: reads and appends of one node */
void bp_fake_log_read(bp_fake_node_t *node);
void bp_fake_log_append(bp_fake_node_t *node);
void bp_fake_log_submit(bp_fake_node_t *node, const Bp__Log__Entry *entry);
/* Drops the appender's and follower's memory of an ended process. */
void bp_fake_log_reset(bp_fake_node_t *node);

/* workers */
void bp_fake_vm_init(bp_schedule_t *schedule, int vm);
void bp_fake_vm_clear(bp_fake_vm_t *vm);
void bp_fake_vm_tick(bp_schedule_t *schedule, bp_fake_vm_t *vm);
void bp_fake_vm_reboot(bp_schedule_t *schedule, bp_fake_vm_t *vm);
GByteArray *bp_fake_vm_answer(
    bp_schedule_t *schedule, int vm, int kind, const GByteArray *request);
void bp_fake_call_unref(void *call);

enum { CALL_NONCE, CALL_SESSION, CALL_START, CALL_RENEW, CALL_ACT };

#endif
