#include "queues/jobwork.h"

#include "support/runner.h"

#include <stdlib.h>
#include <string.h>

#define ACCEPTED_MS 100000
#define OBJECTIVE_MS 1000
#define STRETCH_PERMILLE 2000

static void
add_step(Bp__Work__Job *spec, uint32_t expected_ms, int after)
{
	Bp__Work__Step *step = malloc(sizeof(*step));

	bp__work__step__init(step);
	step->tasks = 2;
	step->expected_ms = expected_ms;
	if (after >= 0) {
		step->after = calloc(1, sizeof(*step->after));
		step->after[0] = (uint32_t)after;
		step->n_after = 1;
	}
	spec->steps[spec->n_steps++] = step;
}

/* A job whose steps 1 and 2 both follow step 0. */
static bp_qjob_t *
new_job(void)
{
	Bp__Work__Job *spec = malloc(sizeof(*spec));

	bp__work__job__init(spec);
	spec->id = strdup("0123456789abcdef");
	spec->accepted_ms = ACCEPTED_MS;
	spec->objective_ms = OBJECTIVE_MS;
	spec->stretch_permille = STRETCH_PERMILLE;
	spec->steps = calloc(3, sizeof(Bp__Work__Step *));
	add_step(spec, 1000, -1);
	add_step(spec, 500, 0);
	add_step(spec, 2000, 0);
	return bp_qjob_new(spec);
}

/* What is declared is scaled by what steps of the queue have needed. */
static void
test_declared_durations_are_scaled(void)
{
	bp_qjob_t *job = new_job();

	bp_qjob_update_work(job, 1.5);
	CU_ASSERT_EQUAL(job->chains_ms[0], 4500);
	CU_ASSERT_EQUAL(job->chains_ms[1], 750);
	CU_ASSERT_EQUAL(job->chains_ms[2], 3000);
	CU_ASSERT_EQUAL(
	    job->work_due_ms, ACCEPTED_MS + OBJECTIVE_MS + 2 * 4500);
	bp_qjob_free(job);
}

/* The longest run of a step takes the place of what it declares, also where it
 * changes which chain is the longest. */
static void
test_runs_replace_what_is_declared(void)
{
	bp_qjob_t *job = new_job();

	bp_qstep_add_work(&job->steps[0], 1200);
	bp_qstep_add_work(&job->steps[0], 800);
	bp_qjob_update_work(job, 1);
	CU_ASSERT_EQUAL(job->chains_ms[0], 3200);
	bp_qstep_add_work(&job->steps[1], 2500);
	bp_qjob_update_work(job, 1);
	CU_ASSERT_EQUAL(job->chains_ms[0], 3700);
	CU_ASSERT_EQUAL(
	    job->work_due_ms, ACCEPTED_MS + OBJECTIVE_MS + 2 * 3700);
	bp_qjob_free(job);
}

int
main(void)
{
	CU_TestInfo tests[] = {
	    {"declared durations are scaled",
		test_declared_durations_are_scaled},
	    {"runs replace what is declared",
		test_runs_replace_what_is_declared},
	    CU_TEST_INFO_NULL,
	};

	return bp_test_main("queues/jobwork", tests);
}
