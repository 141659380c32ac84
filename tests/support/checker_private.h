#ifndef BP_TESTS_CHECKER_PRIVATE_H
#define BP_TESTS_CHECKER_PRIVATE_H

#include "support/checker.h"

/* What the checker has read; shared by checker.c and checker_rules.c. */

typedef struct {
	int64_t time_us;
	char *vm;
	char *task; /* job/task */
	char *job;
	int64_t attempt;
	char *kind;
	char *cause;
	char *checkpoint;
	int64_t size[3]; /* cpu_milli, memory_mib, accelerators */
	guint order; /* as read; keeps equal times stable */
} bp_checker_event_t;

typedef struct {
	char *zone;
	int64_t capacity[3];
	int64_t used[3];
} bp_checker_vm_t;

typedef struct {
	char *zone;
	int64_t out_us;
	int64_t back_us;
} bp_checker_outage_t;

typedef struct {
	char *path;
	char *key;
	int64_t leaving_us;
} bp_checker_execution_t;

struct bp_checker {
	GPtrArray *events;
	GHashTable *vms;
	GArray *outages;
	GPtrArray *executions;
	GPtrArray *once;
	GPtrArray *violations;
};

#endif
