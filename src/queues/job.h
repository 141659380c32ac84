#ifndef BP_QUEUES_JOB_H
#define BP_QUEUES_JOB_H

#include "bulrushpost/error.h"
#include "proto/work.pb-c.h"

#include <glib.h>
#include <stdbool.h>

typedef struct bp_qjob bp_qjob_t;
typedef struct bp_qstep bp_qstep_t;
typedef struct bp_qrun bp_qrun_t;

typedef enum {
	BP_QTASK_WAITING, /* for its step, its start time or placement */
	BP_QTASK_PLACED, /* has a run */
	BP_QTASK_CENSUS, /* an earlier owner may have started it */
	BP_QTASK_DONE
} bp_qtask_state_t;

typedef struct {
	bp_qstep_t *step;
	uint32_t index; /* within the step */
	bp_qtask_state_t state;
	uint64_t last_run; /* highest number assigned or reported */
	GArray *failed_runs; /* uint64_t; NULL for none */
	uint32_t maybe_on; /* of BP_QTASK_CENSUS: executors that may run it */
	bp_qrun_t *run; /* of BP_QTASK_PLACED */
	char *checkpoint; /* NULL for none */
	const void *failed_on; /* executor of the last failure */
} bp_qtask_t;

/* The tasks of one step of one occurrence. */
struct bp_qstep {
	bp_qjob_t *job;
	const Bp__Work__Step *spec;
	uint32_t occurrence;
	uint32_t number; /* within the job */
	bp_qtask_t *tasks;
	uint32_t left; /* tasks that are not done */
	uint32_t waiting; /* tasks in BP_QTASK_WAITING */
	const double *weights; /* of a serving image; NULL before first use */
	uint32_t term; /* of a filler image; 0 before the first use */
	int64_t begun_ms; /* monotonic, first start by this owner; 0: none */
	const void *failed_on[2]; /* executors, since a run of it succeeded */
	int64_t wanting_ms; /* monotonic, unplaced since; 0: not unplaced */
	bool passed_by; /* long-running, only start limits block it */
	int64_t asked_ms; /* monotonic, when passed_by was checked */
	const char *reason; /* why the last round placed none; static */
};

/* A job with its steps, as the owner of its shard holds it. */
struct bp_qjob {
	Bp__Work__Job *spec;
	bp_qstep_t *steps; /* occurrences x steps */
	uint32_t n_steps;
	uint32_t occurrences;
	Bp__Work__JobState state;
	Bp__Work__JobState stored; /* the state that the store holds */
	bool accepted; /* the store holds the job */
	bool cancelling; /* nothing starts while its cancel is stored */
	bool dirty; /* has progress to be stored */
	bool begun; /* a task has started */
	bool listed; /* in the shard's list of active jobs */
	int64_t ended_ms; /* Unix ms */
	int64_t *tails_ms; /* per step: estimated critical path from it on */
	int64_t due_ms; /* Unix ms, latest end that meets the objective */
	GArray *waiters; /* callers of submit and cancel; used by the shard */
};

bp_qjob_t *bp_qjob_new(Bp__Work__Job *spec);
void bp_qjob_free(gpointer job);

bool bp_qjob_ended(const bp_qjob_t *job);
bool bp_qstep_open(const bp_qstep_t *step, int64_t wall_ms);
int64_t bp_qstep_due_ms(const bp_qstep_t *step);
bp_qtask_t *bp_qjob_task(
    const bp_qjob_t *job, uint32_t occurrence, uint32_t step, uint32_t index);
void bp_qtask_set_state(bp_qtask_t *task, bp_qtask_state_t state);
void bp_qtask_set_checkpoint(bp_qtask_t *task, const char *checkpoint);
bool bp_qtask_failed(bp_qtask_t *task, uint64_t run);
uint32_t bp_qtask_failures(const bp_qtask_t *task);
void bp_qjob_settle(bp_qjob_t *job);

char *bp_qtask_name(const bp_qtask_t *task);
/* Splits a task's name. id is a copy that the caller frees. */
bool bp_qtask_parse(const char *name, char **id, uint32_t *occurrence,
    uint32_t *step, uint32_t *index);

/* Serialize and read a job's progress. */
GBytes *bp_qjob_progress(const bp_qjob_t *job);
bp_qjob_t *bp_qjob_new_ended(
    const char *id, const uint8_t *bytes, size_t size_bytes);
int bp_qjob_load_progress(
    bp_qjob_t *job, const uint8_t *bytes, size_t size_bytes, bp_error_t *err);

int bp_qjob_check(const Bp__Work__Job *spec, bp_error_t *err);

#endif
