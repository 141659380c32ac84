#include "support/queuerig.h"
#include "support/runner.h"

#include <string.h>

#define SEED 20261204
#define EXECUTORS 4
#define SETTLE_MS 3000
/* The jobs together exceed 2 MiB: each has two labels of 8 KB, which no
 * executor has. */
#define LABEL_BYTES 8000
#define JOBS 160

/* Guards against an append that is too large for the store because many jobs
 * arrive together, and is refused for good. */
static void
test_many_jobs_take_several_appends(void)
{
	bp_qrig_t *sim = bp_qrig_new(SEED, EXECUTORS);
	char *label = g_strnfill(LABEL_BYTES, 'l');
	bp_qrig_shape_t shape = {.label = label};
	const char *ids[JOBS];
	uint32_t accepted = 0;
	uint32_t i;

	bp_qrig_set_shape(sim, &shape);
	bp_qrig_run_ms(sim, SETTLE_MS);
	for (i = 0; i < JOBS; i++)
		ids[i] = bp_qrig_submit(sim, 1, 100, false);
	bp_qrig_run_ms(sim, 1000);
	for (i = 0; i < JOBS; i++)
		accepted += bp_qrig_told(sim, ids[i]) == BP_QRIG_ACCEPTED;
	CU_ASSERT_EQUAL(accepted, JOBS);
	/* Their cancellations arrive together, too. */
	for (i = 0; i < JOBS; i++)
		bp_qrig_cancel(sim, ids[i]);
	bp_qrig_run_ms(sim, 1000);
	for (i = 0; i < JOBS; i++)
		CU_ASSERT_EQUAL(
		    bp_qrig_cancel_told(sim, ids[i]), BP_QRIG_ACCEPTED);
	CU_ASSERT_EQUAL(bp_qrig_broken(sim), 0);
	g_free(label);
	bp_qrig_free(sim);
}

int
main(void)
{
	CU_TestInfo tests[] = {
	    {"many jobs take several appends",
		test_many_jobs_take_several_appends},
	    CU_TEST_INFO_NULL,
	};

	return bp_test_main("queues/appends", tests);
}
