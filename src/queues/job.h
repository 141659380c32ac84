#ifndef BP_QUEUES_JOB_H
#define BP_QUEUES_JOB_H

#include "bulrushpost/error.h"
#include "proto/work.pb-c.h"
#include "queues/batchorder.h"

#include <glib.h>
#include <stdbool.h>

typedef struct bp_qjob bp_qjob_t;
typedef struct bp_qstep bp_qstep_t;
typedef struct bp_qrun bp_qrun_t;
typedef struct bp_customer_account bp_customer_account_t;

/* Tasks whose progress shares a record; see scripts/bench progress. */
#define BP_QJOB_PART_TASKS 128
/* Longest checkpoint that is stored: a part then fits a record. */
#define BP_QJOB_CHECKPOINT_BYTES_MAX 512
/* Largest record of the store, without its key and with some reserve. */
#define BP_QJOB_RECORD_BYTES_MAX (255 * 1024)

/* State of a part of a job's progress. */
typedef enum {
	BP_QPART_CHANGED = 1, /* since it was added to an append */
	BP_QPART_IN_APPEND = 2,
	BP_QPART_STORED = 4 /* the store has a record of it */
} bp_qpart_t;

/* Outlook of a step's job on its objective; the lowest value goes first. */
typedef enum {
	BP_OUTLOOK_IN_TIME, /* it can still meet its objective */
	BP_OUTLOOK_LONG_RUNNING, /* it occupies its capacity for long */
	BP_OUTLOOK_LATE, /* late, but has some value left */
	BP_OUTLOOK_NONE,
	BP_OUTLOOKS
} bp_outlook_t;

/* Appends with only the records of one job or executor that the store has
 * rejected for good. */
typedef struct {
	uint32_t count;
	uint64_t stored_before; /* shard's stored appends at the first */
} bp_qrejections_t;

typedef enum {
	BP_QTASK_WAITING, /* for its step, its start time or placement */
	BP_QTASK_PLACED, /* has a run */
	BP_QTASK_RECONCILING, /* an earlier owner may have started it */
	BP_QTASK_DONE
} bp_qtask_state_t;

typedef struct {
	bp_qstep_t *step;
	uint32_t index; /* within the step */
	bp_qtask_state_t state;
	uint64_t last_run; /* highest number assigned or reported */
	GArray *failed_runs; /* uint64_t; NULL for none */
	uint32_t possible_executors; /* of BP_QTASK_RECONCILING */
	bp_qrun_t *run; /* of BP_QTASK_PLACED */
	char *checkpoint; /* NULL for none */
	const void *last_failed_executor;
} bp_qtask_t;

/* The run that ended last among those of a step that were done. */
typedef struct {
	int64_t started_ms; /* monotonic; 0: by an earlier owner */
	int64_t slowed_ms; /* time that it lost to its speed limits */
	bool rerun; /* the task had run before */
} bp_qstep_end_t;

/*
 * Where the time of a job went, added up over its steps. Steps of which an
 * earlier owner started a part are left out.
 */
typedef struct {
	int64_t begin_ms; /* a step was ready, and none of its tasks started */
	int64_t gather_ms; /* from there until all of its tasks had started */
	int64_t repeat_ms; /* from there to the start of its last run */
	int64_t last_ms; /* from there to the end of that run */
	int64_t slowed_ms; /* that these last runs lost to speed limits */
	uint32_t steps; /* that have ended */
	uint32_t rerun_steps; /* of these, ended by a task that ran again */
	uint32_t starts;
	uint32_t moves; /* runs stopped because of interference */
} bp_qjob_times_t;

/* The tasks of one step of one occurrence. */
struct bp_qstep {
	bp_qjob_t *job;
	const Bp__Work__Step *spec;
	uint32_t occurrence;
	uint32_t number; /* within the job */
	uint32_t first_number; /* of its first task, among all of the job */
	bp_qtask_t *tasks;
	uint32_t remaining_tasks; /* not done */
	uint32_t waiting_tasks; /* in BP_QTASK_WAITING */
	const double *interference_weights; /* NULL before first use */
	uint32_t filler_index; /* of a filler image; 0 before the first use */
	int64_t work_ms; /* longest run without delays; 0: none ended */
	int64_t ready_ms; /* monotonic, seen by this owner; 0: not yet */
	int64_t first_start_ms; /* monotonic, by this owner; 0: none */
	int64_t all_started_ms; /* monotonic, last first start of a task */
	bp_qstep_end_t end;
	const void *failed_on[2]; /* executors, since a run of it succeeded */
	int64_t unplaced_ms; /* monotonic, since when; 0: not unplaced */
	bool blocked_by_start_limits; /* and by nothing else; long-running */
	int64_t start_limits_checked_ms; /* monotonic */
	const char *reason; /* why the last round placed none; static */
	/* Starts refused as malformed; shard_refusals.c. */
	bool refused; /* and none carried out since */
	int64_t retry_wait_ms;
	int64_t retry_at_ms; /* monotonic */
	const void *refused_by; /* executor that is passed over; NULL: none */
	bp_outlook_t outlook; /* in the last round */
	bp_batch_claim_t claim; /* that is being used to place a task */
	bool shares_processors; /* a claim may use those of other fillers */
	/* Of large tasks, and of small ones beside them; shard_largetasks.c. */
	uint32_t rooms; /* executors reserved for it as a large step */
	uint32_t rooms_missed; /* reservations that were not kept */
	const void *missed_on; /* executor of the last one */
	bool moved; /* a run of it was stopped for a large task */
	int64_t median_ms; /* expected duration of a run */
	int64_t late_ms; /* the same with the certainty that plans use */
	int64_t estimated_ms; /* monotonic, when both were computed; 0: never */
};

/* A job with its steps, as the owner of its shard holds it. */
struct bp_qjob {
	Bp__Work__Job *spec;
	char *queue_key; /* of what is learned of its queue; a GRefString */
	bp_qstep_t *steps; /* occurrences x steps */
	uint32_t n_steps;
	uint32_t occurrences;
	Bp__Work__JobState state;
	Bp__Work__JobState stored; /* the state that the store holds */
	bool accepted; /* the store holds the job */
	bool cancelling; /* nothing starts while its cancel is stored */
	bool dirty; /* has progress to be stored */
	bool started; /* a task of it */
	bool claimed; /* a claim to go first started what runs */
	/* Its queue's host and prefix are stored with its progress, as the
	 * record of an earlier release lacks them. */
	bool resolved;
	int64_t arrived_ms; /* monotonic, accepted; 0: by an earlier owner */
	int64_t idle_since_ms; /* monotonic, nothing has run */
	int64_t claim_tried_ms; /* monotonic, a claim was last used */
	int64_t ended_ms; /* Unix ms */
	int64_t *critical_paths_ms; /* estimates, from each step on */
	/* Unix ms, latest end that meets the objective by what is declared;
	 * that of long-running and repeated jobs, and for large tasks. */
	int64_t due_ms;
	/* By the work, see jobwork.h. */
	int64_t *chains_ms; /* longest chain from each step on */
	int64_t chain_ms; /* the longest of them */
	int64_t work_due_ms; /* Unix ms, as due_ms */
	uint32_t n_parts; /* of its progress; 0: one record */
	uint8_t *parts; /* BP_QPART flags */
	bp_qrejections_t rejections;
	uint64_t bytes; /* estimate of its memory */
	bp_qjob_times_t times;
	GArray *waiters; /* callers of submit and cancel; used by the shard */
	bp_customer_account_t *account; /* set by the shard */
};

bp_qjob_t *bp_qjob_new(Bp__Work__Job *spec);
void bp_qjob_free(gpointer job);

/* Updates the key after host and prefix of the job were set. */
void bp_qjob_update_queue_key(bp_qjob_t *job);

bool bp_qjob_ended(const bp_qjob_t *job);
bool bp_qstep_ready(const bp_qstep_t *step, int64_t wall_ms);
/* Returns the number of tasks of a job that have a run or may have one. */
uint32_t bp_qjob_placed_tasks(const bp_qjob_t *job);
int64_t bp_qstep_not_before_ms(const bp_qstep_t *step);
bp_qtask_t *bp_qjob_task(
    const bp_qjob_t *job, uint32_t occurrence, uint32_t step, uint32_t index);
void bp_qtask_set_state(bp_qtask_t *task, bp_qtask_state_t state);
void bp_qtask_set_checkpoint(bp_qtask_t *task, const char *checkpoint);
bool bp_qtask_record_failure(bp_qtask_t *task, uint64_t run);
uint32_t bp_qtask_failures(const bp_qtask_t *task);
void bp_qjob_update_state(bp_qjob_t *job);

char *bp_qtask_name(const bp_qtask_t *task);
/* Splits a task's name. id is a copy that the caller frees. */
bool bp_qtask_parse(const char *name, char **id, uint32_t *occurrence,
    uint32_t *step, uint32_t *index);

void bp_qtask_mark_changed(const bp_qtask_t *task);
void bp_qtask_add_failed_run(bp_qtask_t *task, uint64_t run);

/* Serialize and read a job's progress. */
GBytes *bp_qjob_serialize_progress(const bp_qjob_t *job);
GBytes *bp_qjob_serialize_part(const bp_qjob_t *job, uint32_t part);
int bp_qjob_load_part(bp_qjob_t *job, uint32_t part, const uint8_t *bytes,
    size_t size_bytes, bp_error_t *err);
/* Returns an ended job without its tasks, as a successor would read it. */
bp_qjob_t *bp_qjob_new_compact(const bp_qjob_t *job);
bp_qjob_t *bp_qjob_new_ended(
    const char *id, const uint8_t *bytes, size_t size_bytes);
int bp_qjob_load_progress(
    bp_qjob_t *job, const uint8_t *bytes, size_t size_bytes, bp_error_t *err);

/* Returns an estimate of the memory that a job takes while it is held. */
uint64_t bp_qjob_bytes_of(const Bp__Work__Job *spec);
int bp_qjob_validate(const Bp__Work__Job *spec, bp_error_t *err);

#endif
