#ifndef BP_REVIEW_WORKERS_H
#define BP_REVIEW_WORKERS_H

#include "standin-3/scene.h"

/*
 * Executors over HTTP as PROTOCOL.md describes them under "Running tasks", in
 * real time, each at a port of its own. They know of a task what its world says.
 */
typedef struct workers workers_t;

typedef struct {
	int64_t work_ms; /* of the task at full speed; negative: it lasts */
	uint32_t gang; /* members of its gang; 0: it is in none */
	bool saves; /* checkpoints its progress */
	uint32_t cpu_milli;
} worker_task_t;

typedef void (*worker_world_t)(const char *task, worker_task_t *out);

/* An end that an executor has listed. */
typedef struct {
	double at_s;
	const char *how; /* static */
	const char *task;
	uint64_t run;
} worker_end_t;

workers_t *workers_new(scene_t *scene, uint32_t n, worker_world_t world);
void workers_free(workers_t *workers);
/* Lists all executors in the platform's store. The first is of kind b, the
 * others of kind a. */
void workers_register(workers_t *workers);
/* All that runs there ends as failed. Returns the number of these runs. */
uint32_t workers_fail(workers_t *workers, uint32_t index);
/* The first executor that runs a task of this job, -1 for none. */
int workers_find(const workers_t *workers, const char *job);
/* Tasks of a job that run. */
uint32_t workers_running(const workers_t *workers, const char *job);
/* A check of each start: what forbids it, or NULL. */
void workers_set_check(
    workers_t *workers, const char *(*check)(const char *task));
/* Share of starts and stops, in percent, that get no answer and are carried out
 * 2 to 12 s later. */
void workers_set_late(workers_t *workers, uint32_t percent);
/* The executor gets and answers nothing while it is cut off. */
void workers_set_cut(workers_t *workers, uint32_t index, bool cut);
/* The executor is unhealthy: it answers starts with 503 and does nothing. */
void workers_set_unhealthy(workers_t *workers, uint32_t index, bool unhealthy);
/* Starts that broke a rule. */
uint32_t workers_broken(const workers_t *workers);
/* Whether any run has begun so far. */
bool workers_begun(const workers_t *workers);
/* Ends listed so far, worker_end_t. */
const GArray *workers_ends(const workers_t *workers);

#endif
