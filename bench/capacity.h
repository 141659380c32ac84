#ifndef BP_BENCH_CAPACITY_H
#define BP_BENCH_CAPACITY_H

#include "bulrushpost/state.h"

#define CAPACITY_SIZES 5

/* One measured quantity at several sizes, with the line fitted to it. */
typedef struct {
	const char *name;
	const char *item; /* what x counts */
	const char *unit; /* of y */
	double x[CAPACITY_SIZES];
	double y[CAPACITY_SIZES];
	double slope;
	double intercept;
	double residual; /* largest distance from the line, share of y */
} capacity_line_t;

/* The lines that the page is computed from. */
typedef enum {
	LINE_MEMORY_TASK,
	LINE_MEMORY_WAITING,
	LINE_MEMORY_VM,
	LINE_MEMORY_KEY,
	LINE_MEMORY_RULES,
	LINE_RECORD_START,
	LINE_RECORD_END,
	LINE_SNAPSHOT_TASK,
	LINE_SNAPSHOT_LOAD,
	LINE_APPLY_START,
	LINE_PLAN_START,
	LINE_RENEW_REQUEST,
	LINE_RENEW_ANSWER,
	LINE_READ_BYTES,
	LINE_RENEW_CPU,
	LINE_NODE_CPU,
	LINE_NODE_MEMORY,
	LINES
} capacity_line_id_t;

typedef struct {
	capacity_line_t lines[LINES];
	double heartbeat_bytes; /* an empty record */
} capacity_t;

void capacity_fit(capacity_line_t *line);

/* A state that is built by records of one node. */
typedef struct {
	bp_state_t *state;
	uint64_t offset;
	uint64_t seq;
	size_t bytes; /* of all records */
} capacity_log_t;

void capacity_log_init(capacity_log_t *log);
void capacity_log_clear(capacity_log_t *log);
GByteArray *capacity_log_pack(
    capacity_log_t *log, Bp__Log__Entry **entries, size_t count);
void capacity_log_apply(
    capacity_log_t *log, Bp__Log__Entry **entries, size_t count);
void capacity_log_vms(capacity_log_t *log, uint32_t count);
void capacity_log_job(capacity_log_t *log, uint32_t index, uint32_t tasks);
/* Assigns the tasks of a job to VMs in turn, starts_per_record at a time. */
void capacity_log_assign(capacity_log_t *log, uint32_t job, uint32_t tasks,
    uint32_t vms, uint32_t starts_per_record);

double capacity_cpu_us(void);
size_t capacity_heap_bytes(void);

void capacity_measure_state(capacity_t *out);
void capacity_measure_wire(capacity_t *out);
int capacity_measure_nodes(capacity_t *out);
void capacity_print_page(const capacity_t *c, const char *commit);

#endif
