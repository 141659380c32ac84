#ifndef BP_QUEUES_JOBWORK_H
#define BP_QUEUES_JOBWORK_H

#include "queues/job.h"

/*
 * The work of a job's steps: how long they take when nothing delays them. What
 * jobs declare is a rough estimate; it is corrected by what steps of their
 * queue have really needed, and replaced by the longest run once a task of the
 * step has ended.
 */

/* Notes the duration of a run without the time that it lost to delays. */
void bp_qstep_add_work(bp_qstep_t *step, int64_t work_ms);
/*
 * Computes the longest chain of work from each step on, and when the job is due
 * by its whole chain. factor is the real work of steps as a multiple of what
 * they declare.
 */
void bp_qjob_update_work(bp_qjob_t *job, double factor);

#endif
