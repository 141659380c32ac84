#include "support/queuerig.h"
#include "support/runner.h"

/*
 * The load of pecanslate-sched-grown trouble-1: long-running serving tasks on
 * most processors, and more batch of many images and sizes than fits beside
 * them.
 */
#define SEED 20261206
#define EXECUTORS 490
#define SERVING_JOBS 60
#define SERVING_TASKS 14
#define SERVING_MILLI 3200
#define TARGET_MS 50
#define BATCH_TASKS 20
#define BATCH_TASK_MS 2200
#define BATCH_MILLI_MIN 1000
#define BATCH_MILLI_SPREAD 1500
#define BATCH_MIB_MIN 100
#define BATCH_MIB_SPREAD 100
#define STEP_MS 100
#define BURST_JOBS_PER_STEP 6
#define BURST_STEPS 40
#define MEASURED_STEPS 20
/* Executors that are scored for one filler. */
#define CHOICES 48

static const char *const serving_images[] = {
    "s0", "s1", "s2", "s3", "s4", "s5", "s6", "s7", "s8", "s9"};
static const char *const batch_images[] = {"b0", "b1", "b2", "b3", "b4", "b5",
    "b6", "b7", "b8", "b9", "b10", "b11", "b12", "b13", "b14", "b15", "b16",
    "b17"};

static void
submit_serving(bp_qrig_t *rig)
{
	bp_qrig_shape_t shape = {.reliable = true,
	    .cpu_milli = SERVING_MILLI,
	    .target_ms = TARGET_MS};
	uint32_t i;

	for (i = 0; i < SERVING_JOBS; i++) {
		shape.image = serving_images[i % G_N_ELEMENTS(serving_images)];
		bp_qrig_set_shape(rig, &shape);
		(void)bp_qrig_submit(rig, SERVING_TASKS, 0, true);
	}
}

static void
submit_batch(bp_qrig_t *rig, bp_random_t *random)
{
	bp_qrig_shape_t shape = {
	    .reliable = true, .filler = true, .priority = 2};

	shape.cpu_milli =
	    BATCH_MILLI_MIN + bp_random_below(random, BATCH_MILLI_SPREAD);
	shape.memory_mib =
	    BATCH_MIB_MIN + bp_random_below(random, BATCH_MIB_SPREAD);
	shape.image =
	    batch_images[bp_random_below(random, G_N_ELEMENTS(batch_images))];
	bp_qrig_set_shape(rig, &shape);
	(void)bp_qrig_submit(rig, BATCH_TASKS, BATCH_TASK_MS, false);
}

/*
 * Guards against rounds whose cost grows with the steps that wait: the owner
 * spaces rounds by their cost, so that a backlog made them rare, freed capacity
 * stayed unused between them, and the backlog stayed (SHORT on
 * pecanslate-sched-grown). Beside the executors scored for its starts, a round
 * checks each executor twice at most.
 */
static void
test_a_backlog_does_not_make_rounds_costly(void)
{
	bp_qrig_t *rig = bp_qrig_new(SEED, EXECUTORS);
	bp_random_t random;
	uint64_t rounds = 0;
	uint64_t starts = 0;
	uint64_t examined = 0;
	uint32_t i;
	uint32_t k;

	bp_random_init(&random, SEED);
	bp_qrig_run_ms(rig, 3000);
	submit_serving(rig);
	bp_qrig_run_ms(rig, 4000);
	for (i = 0; i < BURST_STEPS + MEASURED_STEPS; i++) {
		if (i == BURST_STEPS) {
			rounds = bp_qrig_count(rig, "rounds");
			starts = bp_qrig_count(rig, "starts");
			examined = bp_qrig_count(rig, "executors_examined");
		}
		for (k = 0; k < BURST_JOBS_PER_STEP; k++)
			submit_batch(rig, &random);
		bp_qrig_run_ms(rig, STEP_MS);
	}
	rounds = bp_qrig_count(rig, "rounds") - rounds;
	starts = bp_qrig_count(rig, "starts") - starts;
	examined = bp_qrig_count(rig, "executors_examined") - examined;
	/* The load has to leave a backlog. */
	CU_ASSERT_TRUE(bp_qrig_unfinished(rig, false) > 200);
	CU_ASSERT_TRUE(rounds > MEASURED_STEPS);
	CU_ASSERT_TRUE(examined <= 2 * EXECUTORS * rounds + CHOICES * starts);
	if (examined > 2 * EXECUTORS * rounds + CHOICES * starts)
		printf("%u executors examined, %u rounds, %u starts\n",
		    (unsigned)examined, (unsigned)rounds, (unsigned)starts);
	CU_ASSERT_EQUAL(bp_qrig_broken(rig), 0);
	bp_qrig_free(rig);
}

int
main(void)
{
	CU_TestInfo tests[] = {
	    {"a backlog does not make rounds costly",
		test_a_backlog_does_not_make_rounds_costly},
	    CU_TEST_INFO_NULL,
	};

	return bp_test_main("queues/roundcost", tests);
}
