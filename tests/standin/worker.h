#ifndef BP_STANDIN_WORKER_H
#define BP_STANDIN_WORKER_H

#include "bulrushpost/clock.h"
#include "bulrushpost/hash.h"
#include "proto/worker.pb-c.h"

#include <json-glib/json-glib.h>
#include <stdbool.h>

/* One thing that happened on a VM, for outside checkers. */
typedef struct {
	int64_t time_us; /* monotonic clock of this computer */
	const char *vm;
	char *job;
	uint32_t task;
	uint32_t attempt;
	const char *event; /* start, end, refused, session or boot */
	const char *cause;
	uint64_t epoch;
	char *checkpoint;
	uint32_t cpu_milli;
	uint32_t memory_mib;
	uint32_t accelerators;
} vm_event_t;

typedef struct {
	GArray *events;
	bool print_starts;
} vm_history_t;

typedef struct vm vm_t;

typedef struct {
	const char *name;
	const char *zone;
	const char *rack;
	uint32_t cpu_milli;
	uint32_t memory_mib;
	uint32_t accelerators;
	uint32_t usage_lag_ms;
	uint32_t checkpoint_ms; /* time that a checkpoint takes */
	const bp_clock_t *clock;
	bp_random_t *random;
	vm_history_t *history;
} vm_options_t;

/* Words of a start command; see vm_command_parse. */
typedef struct {
	uint64_t run_ms; /* 0 runs until it is stopped */
	bool fail;
	uint32_t slowdown_permille; /* added to services on the same VM */
	uint32_t load_permille;
	uint32_t cpu_milli;
	uint32_t memory_mib;
} vm_command_t;

void vm_history_init(vm_history_t *history, bool print_starts);
void vm_history_clear(vm_history_t *history);
void vm_history_add(vm_history_t *history, const vm_event_t *event);
void vm_history_build(
    const vm_history_t *history, uint32_t from, JsonBuilder *builder);
void vm_command_parse(vm_command_t *out, const Bp__Worker__StartTask *start);

vm_t *vm_new(const vm_options_t *options);
void vm_free(vm_t *vm);
void vm_reboot(vm_t *vm);
void vm_advance(vm_t *vm);
void vm_set_fail_all(vm_t *vm, bool fail_all);
uint64_t vm_boot_id(const vm_t *vm);
uint64_t vm_session_epoch(const vm_t *vm);
uint64_t vm_nonce(vm_t *vm);
void vm_describe(vm_t *vm, Bp__Worker__NonceAnswer *answer);
Bp__Worker__Status vm_session(
    vm_t *vm, const Bp__Worker__SessionRequest *request);
Bp__Worker__Status vm_start(vm_t *vm, uint64_t epoch, uint64_t nonce,
    const Bp__Worker__StartTask *start);
Bp__Worker__Status vm_act(
    vm_t *vm, uint64_t epoch, uint64_t nonce, const Bp__Worker__Action *action);
Bp__Worker__Status vm_renew(vm_t *vm, const Bp__Worker__RenewRequest *request,
    Bp__Worker__RenewAnswer *answer);
void vm_build(const vm_t *vm, JsonBuilder *builder);

/* Messages made by vm_describe and vm_renew are allocated one by one. */
Bp__Worker__TaskId *vm_task_id_new(
    const char *job, uint32_t task, uint32_t attempt);

#endif
