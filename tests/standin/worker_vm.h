#ifndef BP_STANDIN_WORKER_VM_H
#define BP_STANDIN_WORKER_VM_H

#include "standin/worker.h"

/* The inside of a VM, shared by worker_vm.c and worker_report.c. */

#define US_PER_MS 1000
#define PERMILLE 1000

typedef struct {
	uint64_t value;
	int64_t issued_us;
} nonce_t;

typedef struct {
	char *key;
	char *job;
	uint32_t task;
	uint32_t attempt;
	uint64_t epoch;
	uint32_t klass;
	uint32_t cpu_milli;
	uint32_t memory_mib;
	uint32_t accelerators;
	vm_command_t command;
	int64_t lease_us;
	int64_t lease_until_us;
	int64_t done_us; /* work done until at_us, at full speed */
	int64_t at_us;
	int64_t stop_us; /* end of the checkpoint in progress, or 0 */
	uint32_t throttle_permille;
} vm_task_t;

struct vm {
	vm_options_t options;
	uint64_t boot_id;
	uint64_t epoch;
	char *owner;
	GArray *nonces;
	GPtrArray *running; /* vm_task_t */
	GHashTable *started; /* keys of all attempts of this boot */
	GPtrArray *ended; /* Bp__Worker__EndedTask, not yet acknowledged */
	GPtrArray *usage; /* Bp__Worker__TaskUsage, as of usage_us */
	int64_t usage_us;
	GPtrArray *reported; /* the sample before that one */
	int64_t reported_us;
	uint32_t cpu_used;
	uint32_t memory_used;
	uint32_t accelerators_used;
	bool fail_all;
};

Bp__Worker__Status vm_check(const vm_t *vm, uint64_t epoch, uint64_t nonce);
void vm_usage_free(gpointer usage);
int64_t vm_task_work_us(const vm_task_t *task, int64_t time_us);

#endif
