#include "queues/jobwork.h"

#include <string.h>

#define PERMILLE 1000

/* See the header. */
void
bp_qstep_add_work(bp_qstep_t *step, int64_t work_ms)
{
	step->work_ms = MAX(step->work_ms, work_ms);
}

/* Returns the work of a step of the first occurrence. */
static int64_t
work_of(const bp_qjob_t *job, uint32_t number, double factor)
{
	const bp_qstep_t *step = &job->steps[number];

	return step->work_ms > 0
	    ? step->work_ms
	    : (int64_t)((double)step->spec->expected_ms * factor);
}

/* See the header. */
void
bp_qjob_update_work(bp_qjob_t *job, double factor)
{
	int64_t *chains_ms = job->chains_ms;
	int64_t longest_ms = 0;
	uint32_t i;
	size_t k;

	memset(chains_ms, 0, job->n_steps * sizeof(chains_ms[0]));
	for (i = job->n_steps; i > 0; i--) {
		const Bp__Work__Step *step = job->spec->steps[i - 1];

		chains_ms[i - 1] += work_of(job, i - 1, factor);
		longest_ms = MAX(longest_ms, chains_ms[i - 1]);
		for (k = 0; k < step->n_after; k++)
			chains_ms[step->after[k]] =
			    MAX(chains_ms[step->after[k]], chains_ms[i - 1]);
	}
	job->chain_ms = longest_ms;
	job->work_due_ms = job->spec->accepted_ms + job->spec->objective_ms +
	    longest_ms * job->spec->stretch_permille / PERMILLE;
}
