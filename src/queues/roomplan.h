#ifndef BP_QUEUES_ROOMPLAN_H
#define BP_QUEUES_ROOMPLAN_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/*
 * Decides where and when large waiting tasks start, and which small tasks may
 * start beside a reservation. Works on a model; has no state and no clock.
 */

/* End of a run that does not end by itself. */
#define BP_ROOM_NEVER INT64_MAX
#define BP_ROOM_NONE UINT32_MAX

typedef struct {
	uint32_t cpu_milli;
	uint32_t memory_mib;
	uint32_t accelerators;
} bp_room_size_t;

typedef struct {
	bp_room_size_t size;
	const void *step; /* identifies its step */
	int64_t end_ms; /* as likely earlier as later; BP_ROOM_NEVER */
	int64_t late_ms; /* the end with the stated certainty; BP_ROOM_NEVER */
	uint32_t priority; /* 0 goes first */
	bool movable; /* can be stopped with little lost work */
	void *data;
} bp_room_run_t;

typedef struct {
	const char *service;
	char *const *labels; /* NULL-terminated */
	bp_room_size_t total;
	bp_room_size_t free;
	uint32_t first_run; /* index of its runs in the model */
	uint32_t n_runs;
	void *data;
} bp_room_exec_t;

typedef struct {
	bp_room_size_t size; /* of each task */
	uint32_t tasks; /* that wait */
	uint32_t priority; /* 0 goes first */
	uint32_t spread_max; /* tasks per executor, 0: any */
	const char *service;
	const char *label; /* "" for none */
	const void *step; /* as in bp_room_run_t */
	int64_t since_ms; /* that it could not be placed */
	int64_t latest_ms; /* no reservation for a later start; BP_ROOM_NEVER */
	uint32_t missed; /* reservations for it that were not kept */
	const void *missed_on; /* data of the executor of the last one */
	void *data;
} bp_room_step_t;

/* A place and a time, and what tasks beside it have to respect. */
typedef struct {
	uint32_t exec; /* indexes in the model */
	uint32_t step;
	int64_t at_ms; /* its capacity is free by then */
	/* What tasks that may end later can use in total. */
	bp_room_size_t beside;
	bool strict; /* no task may start because it ends before at_ms */
	bool held; /* it existed before the plan */
} bp_room_reservation_t;

typedef struct {
	int64_t now_ms;
	int64_t horizon_ms; /* no reservation further ahead than this */
	int64_t grace_ms; /* a reservation is missed so long after its time */
	int64_t stop_ms; /* a run that is stopped has ended by then */
	int64_t
	    move_after_ms; /* runs are moved for tasks that waited so long */
	uint32_t reservations_max; /* of each priority */
	uint32_t moves_max; /* runs, in one plan */
	GArray *execs; /* bp_room_exec_t */
	GArray *runs; /* bp_room_run_t, by executor; the plan sorts them */
	GArray *steps; /* bp_room_step_t in the order of placement */
	GArray *held; /* bp_room_reservation_t; beside is ignored */
} bp_room_model_t;

typedef struct {
	GArray *reservations; /* bp_room_reservation_t */
	GArray *moves; /* uint32_t, indexes of runs to stop */
	uint32_t missed; /* reservations past their time */
	uint32_t lost; /* reservations whose executor cannot keep them */
} bp_room_plan_t;

typedef enum {
	BP_ROOM_REFUSED,
	BP_ROOM_ENDS_BEFORE, /* it ends before the reservation's time */
	BP_ROOM_BESIDE, /* it fits beside the large task */
	BP_ROOM_MOVABLE /* it is stopped when the time comes */
} bp_room_admission_t;

void bp_room_model_init(bp_room_model_t *model);
void bp_room_model_reset(bp_room_model_t *model);
void bp_room_model_clear(bp_room_model_t *model);
void bp_room_plan_init(bp_room_plan_t *plan);
void bp_room_plan_clear(bp_room_plan_t *plan);
bool bp_room_size_fits(
    const bp_room_size_t *size, const bp_room_size_t *capacity);
/* Makes a plan; what the plan held before is replaced. */
void bp_room_plan_make(bp_room_plan_t *plan, bp_room_model_t *model);
/*
 * Returns whether a task of the size may start beside a reservation now, and
 * why. certain_end_ms is its end with the stated certainty.
 */
bp_room_admission_t bp_room_admit(const bp_room_reservation_t *reservation,
    const bp_room_size_t *size, int64_t certain_end_ms, bool movable);

#endif
