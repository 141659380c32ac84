#ifndef BP_TESTS_QUEUEFLEET_H
#define BP_TESTS_QUEUEFLEET_H

#include "bulrushpost/clock.h"
#include "bulrushpost/executors.h"
#include "bulrushpost/hash.h"

/* Failed runs after which a task is not started again. */
#define BP_QFLEET_ATTEMPTS 3

/*
 * Executors in memory under a virtual clock. They check fences, leases and
 * capacity, and every start against what must never happen; what was broken is
 * counted and reported.
 */
typedef struct bp_qfleet bp_qfleet_t;
typedef struct bp_qfleet_view bp_qfleet_view_t;

typedef struct {
	/* Duration of a task's run; negative: it fails after that time. */
	int64_t (*duration_ms)(const char *task, uint64_t run, void *data);
	/* Says what forbids the start of a task, or NULL. */
	const char *(*forbidden)(const char *task, void *data);
	/* Processors that a task takes. */
	uint32_t (*cpu_milli)(const char *task, void *data);
	void *data;
} bp_qfleet_world_t;

bp_qfleet_t *bp_qfleet_new(bp_clock_virtual_t *clock, bp_random_t *random,
    uint32_t executors, const bp_qfleet_world_t *world);
/* Attempts of the tasks for which this returns true have no bound. */
void bp_qfleet_set_lasts(
    bp_qfleet_t *fleet, bool (*lasts)(const char *task, void *data));
void bp_qfleet_free(bp_qfleet_t *fleet);
bp_qfleet_view_t *bp_qfleet_view(bp_qfleet_t *fleet);
bp_executors_t *bp_qfleet_interface(bp_qfleet_view_t *view);
void bp_qfleet_set_frozen(bp_qfleet_view_t *view, bool frozen);
/* Orders of the view are lost. */
void bp_qfleet_set_view_cut(bp_qfleet_view_t *view, bool cut);

uint32_t bp_qfleet_size(const bp_qfleet_t *fleet);
/* The entry of an executor as the list shows it; free it. */
bp_executor_info_t *bp_qfleet_info(const bp_qfleet_t *fleet, uint32_t index);
/* Faults of one executor. */
void bp_qfleet_set_cut(bp_qfleet_t *fleet, uint32_t index, bool cut);
/* So many of its next answers are lost; the calls are carried out. */
void bp_qfleet_lose_answers(
    bp_qfleet_t *fleet, uint32_t index, uint32_t answers);
void bp_qfleet_crash(bp_qfleet_t *fleet, uint32_t index);
/* The kind of its later lives, a static label. */
void bp_qfleet_set_kind(bp_qfleet_t *fleet, uint32_t index, const char *kind);
/* Its entry leaves the list, or returns; the executor goes on. */
void bp_qfleet_set_listed(bp_qfleet_t *fleet, uint32_t index, bool listed);
bool bp_qfleet_is_listed(const bp_qfleet_t *fleet, uint32_t index);
void bp_qfleet_set_service(
    bp_qfleet_t *fleet, uint32_t index, const char *service);
void bp_qfleet_set_failing(bp_qfleet_t *fleet, uint32_t index, bool failing);
/* Share of orders, in percent, without answer and done 2 to 12 s later. */
void bp_qfleet_set_draining(bp_qfleet_t *fleet, uint32_t index, bool draining);
void bp_qfleet_set_late(bp_qfleet_t *fleet, uint32_t percent);
/* Orders and answers take up to so much longer, each its own time: they
 * overtake each other. */
void bp_qfleet_set_jitter_ms(bp_qfleet_t *fleet, uint32_t jitter_ms);
/* Executors with the same proxy share the path of their orders. */
uint32_t bp_qfleet_proxy_of(uint32_t index);
/* Starts there are carried out at once but answered so much later. */
void bp_qfleet_set_slow_ms(
    bp_qfleet_t *fleet, uint32_t index, uint32_t slow_ms);
/* The checkpoint that all runs report, static; "" for none. */
void bp_qfleet_set_checkpoint(bp_qfleet_t *fleet, const char *checkpoint);
void bp_qfleet_set_hold_orders(bp_qfleet_t *fleet, bool hold);

uint32_t bp_qfleet_starts(const bp_qfleet_t *fleet);
uint32_t bp_qfleet_starts_of(const bp_qfleet_t *fleet, const char *task);
/* Tasks of a job that run on an executor. */
uint32_t bp_qfleet_running_on(
    const bp_qfleet_t *fleet, uint32_t index, const char *job);
uint32_t bp_qfleet_running_of(const bp_qfleet_t *fleet, const char *task);
/* Visits the task of each run. */
void bp_qfleet_each_running(const bp_qfleet_t *fleet,
    void (*visit)(const char *task, void *data), void *data);
/* Processors that runs leave on an executor; 0 when it takes no new ones. */
uint32_t bp_qfleet_free_milli(const bp_qfleet_t *fleet, uint32_t index);
bool bp_qfleet_has_done(const bp_qfleet_t *fleet, const char *task);
/* Runs that ended with the lease of their executor. */
uint32_t bp_qfleet_lapses(const bp_qfleet_t *fleet);
/* Run ends that were not acknowledged, of executors that have not left. */
uint32_t bp_qfleet_unacknowledged(const bp_qfleet_t *fleet);
uint32_t bp_qfleet_broken(const bp_qfleet_t *fleet);
const char *bp_qfleet_first_broken(const bp_qfleet_t *fleet);

#endif
