#include "bulrushpost/clock.h"
#include "queues/job.h"
#include "queues/journal.h"
#include "queues/pairs.h"
#include "queues/sharding.h"
#include "support/queuestore.h"
#include "support/runner.h"

#include <stdlib.h>
#include <string.h>

#define SEED 7

static Bp__Work__Job *
new_spec(uint32_t steps, uint32_t tasks, bool gang)
{
	Bp__Work__Job *job = malloc(sizeof(*job));
	uint32_t i;

	bp__work__job__init(job);
	job->id = strdup("j");
	job->queue = strdup("q");
	job->attempts = 2;
	job->steps = calloc(steps, sizeof(Bp__Work__Step *));
	for (i = 0; i < steps; i++) {
		Bp__Work__Step *step = malloc(sizeof(*step));

		bp__work__step__init(step);
		step->tasks = tasks;
		step->gang = gang;
		if (i > 0) {
			step->after = calloc(1, sizeof(*step->after));
			step->after[0] = i - 1;
			step->n_after = 1;
		}
		job->steps[job->n_steps++] = step;
	}
	return job;
}

/*
 * Other nodes forward jobs unchecked: the owner also refuses what the body of a
 * valid call cannot contain, before it allocates anything for the job.
 */
static void
test_impossible_jobs_are_refused(void)
{
	Bp__Work__Job *job = new_spec(2, 1, false);
	char *text = g_strnfill((gsize)300 * 1024, 'x');
	bp_error_t err = {BP_OK, ""};

	CU_ASSERT_EQUAL(bp_qjob_check(job, &err), BP_OK);
	job->steps[1]->tasks = 0;
	CU_ASSERT_EQUAL(bp_qjob_check(job, &err), BP_EINVALID);
	job->steps[1]->tasks = 1;
	job->times = 20000;
	CU_ASSERT_EQUAL(bp_qjob_check(job, &err), BP_EINVALID);
	job->times = 1;
	job->first_ms = INT64_MAX;
	CU_ASSERT_EQUAL(bp_qjob_check(job, &err), BP_EINVALID);
	job->first_ms = 0;
	job->stretch_permille = UINT32_MAX;
	CU_ASSERT_EQUAL(bp_qjob_check(job, &err), BP_EINVALID);
	job->stretch_permille = 1000;
	free(job->id);
	job->id = strndup(text, 300);
	CU_ASSERT_EQUAL(bp_qjob_check(job, &err), BP_EINVALID);
	job->id[10] = '\0';
	job->payload = strdup(text);
	CU_ASSERT_EQUAL(bp_qjob_check(job, &err), BP_EINVALID);
	job->payload[4000] = '\0';
	CU_ASSERT_EQUAL(bp_qjob_check(job, &err), BP_OK);
	bp__work__job__free_unpacked(job, NULL);
	g_free(text);
}

/* Loading stored progress restores the state of a job. */
static void
test_progress_survives(void)
{
	bp_qjob_t *job = bp_qjob_new(new_spec(2, 3, false));
	bp_qjob_t *copy = bp_qjob_new(new_spec(2, 3, false));
	bp_qtask_t *task = bp_qjob_task(job, 0, 0, 1);
	GBytes *bytes;
	gsize size = 0;
	const uint8_t *data;

	bp_qtask_set_state(bp_qjob_task(job, 0, 0, 0), BP_QTASK_DONE);
	CU_ASSERT_FALSE(bp_qtask_failed(task, 5));
	bp_qtask_set_checkpoint(task, "cp");
	job->begun = true;
	bp_qjob_settle(job);
	bytes = bp_qjob_progress(job);
	data = g_bytes_get_data(bytes, &size);
	CU_ASSERT_EQUAL(bp_qjob_load_progress(copy, data, size, NULL), BP_OK);
	CU_ASSERT_EQUAL(copy->state, BP__WORK__JOB_STATE__JOB_RUNNING);
	CU_ASSERT_EQUAL(bp_qjob_task(copy, 0, 0, 0)->state, BP_QTASK_DONE);
	CU_ASSERT_EQUAL(bp_qtask_failures(bp_qjob_task(copy, 0, 0, 1)), 1);
	CU_ASSERT_STRING_EQUAL(bp_qjob_task(copy, 0, 0, 1)->checkpoint, "cp");
	CU_ASSERT_EQUAL(copy->steps[0].left, 2);
	CU_ASSERT_EQUAL(
	    bp_qjob_load_progress(copy, (const uint8_t *)"\xff\xff", 2, NULL),
	    BP_EINVALID);
	g_bytes_unref(bytes);
	bp_qjob_free(job);
	bp_qjob_free(copy);
}

/* A run end that is listed again counts once; the tasks of a gang share their
 * count of failures. */
static void
test_failures_count_once(void)
{
	bp_qjob_t *job = bp_qjob_new(new_spec(1, 3, false));
	bp_qjob_t *gang = bp_qjob_new(new_spec(1, 3, true));
	bp_qtask_t *task = bp_qjob_task(job, 0, 0, 0);

	CU_ASSERT_FALSE(bp_qtask_failed(task, 4));
	CU_ASSERT_FALSE(bp_qtask_failed(task, 4));
	CU_ASSERT_TRUE(bp_qtask_failed(task, 9));
	CU_ASSERT_FALSE(bp_qtask_failed(bp_qjob_task(gang, 0, 0, 1), 1));
	CU_ASSERT_FALSE(bp_qtask_failed(bp_qjob_task(gang, 0, 0, 2), 1));
	CU_ASSERT_TRUE(bp_qtask_failed(bp_qjob_task(gang, 0, 0, 1), 2));
	bp_qjob_free(job);
	bp_qjob_free(gang);
	/* After a takeover, ends are listed in any order. */
	job = bp_qjob_new(new_spec(1, 1, false));
	task = bp_qjob_task(job, 0, 0, 0);
	CU_ASSERT_FALSE(bp_qtask_failed(task, 9));
	CU_ASSERT_TRUE(bp_qtask_failed(task, 4));
	bp_qjob_free(job);
}

/* A step is ready once the one before is done and its time has come. */
static void
test_steps_open_in_order(void)
{
	Bp__Work__Job *spec = new_spec(2, 1, false);
	bp_qjob_t *job;

	spec->times = 2;
	spec->first_ms = 1000;
	spec->interval_ms = 500;
	job = bp_qjob_new(spec);
	CU_ASSERT_FALSE(bp_qstep_open(&job->steps[0], 999));
	CU_ASSERT_TRUE(bp_qstep_open(&job->steps[0], 1000));
	CU_ASSERT_FALSE(bp_qstep_open(&job->steps[1], 1000));
	bp_qtask_set_state(bp_qjob_task(job, 0, 0, 0), BP_QTASK_DONE);
	CU_ASSERT_TRUE(bp_qstep_open(&job->steps[1], 1000));
	CU_ASSERT_FALSE(bp_qstep_open(&job->steps[2], 1499));
	CU_ASSERT_TRUE(bp_qstep_open(&job->steps[2], 1500));
	bp_qjob_free(job);
}

/* Valid names of tasks are parsed, other texts are rejected. */
static void
test_task_names(void)
{
	static const char *const bad[] = {"", "j", "j.0.0", "j.0.0.0.0",
	    "j.x.0.0", "j.0.-1.0", "j.0.0.99999999999"};
	uint32_t occurrence;
	uint32_t step;
	uint32_t index;
	char *id = NULL;
	size_t i;

	CU_ASSERT_TRUE(
	    bp_qtask_parse("j.1.2.3", &id, &occurrence, &step, &index));
	CU_ASSERT_STRING_EQUAL(id, "j");
	CU_ASSERT_TRUE(occurrence == 1 && step == 2 && index == 3);
	g_free(id);
	for (i = 0; i < G_N_ELEMENTS(bad); i++)
		CU_ASSERT_FALSE(
		    bp_qtask_parse(bad[i], &id, &occurrence, &step, &index));
}

/* One of three filler images interferes; the fitted model finds which. */
static void
test_pairs_find_the_disturber(void)
{
	static const char *const images[] = {"calm", "loud", "still"};
	bp_pairs_t *pairs = bp_pairs_new();
	bp_pairs_t *copy = bp_pairs_new();
	bp_random_t random;
	double before[3] = {0};
	GBytes *bytes;
	gsize size = 0;
	const uint8_t *data;
	int i;

	bp_random_init(&random, SEED);
	for (i = 0; i < 400; i++) {
		GArray *changes =
		    g_array_new(FALSE, FALSE, sizeof(bp_pairs_filler_t));
		double loss = 0.2 * (bp_random_unit(&random) - 0.5);
		int k;

		for (k = 0; k < 3; k++) {
			double now = 0.2 * bp_random_unit(&random);
			bp_pairs_filler_t change = {images[k], now - before[k]};

			loss += k == 1 ? 5 * change.amount : 0;
			before[k] = now;
			g_array_append_val(changes, change);
		}
		bp_pairs_learn(pairs, "s", loss, changes);
		g_array_unref(changes);
		if (i % 10 == 9)
			bp_pairs_fit(pairs);
	}
	CU_ASSERT_DOUBLE_EQUAL(bp_pairs_weight(pairs, "s", "loud"), 5, 0.7);
	CU_ASSERT_TRUE(bp_pairs_weight(pairs, "s", "calm") < 0.7);
	CU_ASSERT_TRUE(bp_pairs_weight(pairs, "s", "still") < 0.7);
	bytes = bp_pairs_save(pairs);
	data = g_bytes_get_data(bytes, &size);
	CU_ASSERT_TRUE(bp_pairs_load(copy, data, size));
	CU_ASSERT_DOUBLE_EQUAL(bp_pairs_weight(copy, "s", "loud"),
	    bp_pairs_weight(pairs, "s", "loud"), 1e-9);
	CU_ASSERT_FALSE(bp_pairs_load(copy, (const uint8_t *)"\xff\xff", 2));
	g_bytes_unref(bytes);
	bp_pairs_free(pairs);
	bp_pairs_free(copy);
}

typedef struct {
	bp_clock_virtual_t *clock;
	bp_random_t random;
	bp_qstore_t *store;
	bp_qstore_view_t *view;
	bp_journal_t *journal;
	uint32_t batches;
	uint32_t filled; /* records of the last append */
	uint32_t next; /* records to store */
	bp_store_outcome_t last;
} journal_rig_t;

static void
fill(GPtrArray *records, void *data)
{
	journal_rig_t *rig = data;
	uint32_t i;

	rig->filled = rig->next;
	for (i = 0; i < rig->next; i++)
		g_ptr_array_add(records, bp_store_record_new("k", "v", 1));
	rig->next = 0;
}

static void
on_done(bp_store_outcome_t outcome, void *data)
{
	journal_rig_t *rig = data;

	rig->batches++;
	rig->last = outcome;
}

static void
journal_start(journal_rig_t *rig)
{
	bp_journal_options_t options = {0};

	memset(rig, 0, sizeof(*rig));
	rig->clock = bp_clock_virtual_new(1000);
	bp_random_init(&rig->random, SEED);
	rig->store = bp_qstore_new(rig->clock, &rig->random, 1);
	rig->view = bp_qstore_view(rig->store);
	options.clock = bp_clock_virtual_clock(rig->clock);
	options.store = bp_qstore_interface(rig->view);
	options.topic = "t";
	options.writer = "w";
	options.epoch = 1;
	options.sequence = 10;
	options.fill = fill;
	options.done = on_done;
	options.data = rig;
	rig->journal = bp_journal_new(&options);
}

static void
journal_stop(journal_rig_t *rig)
{
	bp_journal_free(rig->journal);
	bp_qstore_free(rig->store);
	bp_clock_virtual_free(rig->clock);
}

/* Requests that arrive together share one append. */
static void
test_journal_groups(void)
{
	journal_rig_t rig;
	int i;

	journal_start(&rig);
	for (i = 0; i < 5; i++) {
		rig.next++;
		bp_journal_request(rig.journal, true);
	}
	bp_clock_virtual_run_ms(rig.clock, 100);
	CU_ASSERT_EQUAL(rig.batches, 1);
	CU_ASSERT_EQUAL(rig.filled, 5);
	CU_ASSERT_EQUAL(rig.last, BP_STORE_OK);
	CU_ASSERT_TRUE(bp_journal_idle(rig.journal));
	journal_stop(&rig);
}

/* A refusal ends an append, unless an earlier attempt was not answered. */
static void
test_journal_never_refuses_what_may_be_done(void)
{
	journal_rig_t rig;

	journal_start(&rig);
	bp_qstore_set_mode(rig.view, BP_QSTORE_BUSY);
	rig.next = 1;
	bp_journal_request(rig.journal, true);
	bp_clock_virtual_run_ms(rig.clock, 100);
	CU_ASSERT_EQUAL(rig.batches, 1);
	CU_ASSERT_EQUAL(rig.last, BP_STORE_REFUSED);
	bp_qstore_set_mode(rig.view, BP_QSTORE_SILENT);
	rig.next = 1;
	bp_journal_request(rig.journal, true);
	bp_clock_virtual_run_ms(rig.clock, 1600);
	bp_qstore_set_mode(rig.view, BP_QSTORE_BUSY);
	bp_clock_virtual_run_ms(rig.clock, 3000);
	CU_ASSERT_EQUAL(rig.batches, 1);
	bp_qstore_set_mode(rig.view, BP_QSTORE_UP);
	bp_clock_virtual_run_ms(rig.clock, 3000);
	CU_ASSERT_EQUAL(rig.batches, 2);
	CU_ASSERT_EQUAL(rig.last, BP_STORE_OK);
	journal_stop(&rig);
}

/* An append whose answer is lost is repeated but written once. */
static void
test_journal_repeats_are_one(void)
{
	journal_rig_t rig;

	journal_start(&rig);
	bp_qstore_set_lost(rig.store, 100, false);
	rig.next = 1;
	bp_journal_request(rig.journal, true);
	bp_clock_virtual_run_ms(rig.clock, 1000);
	bp_qstore_set_lost(rig.store, 0, false);
	bp_clock_virtual_run_ms(rig.clock, 2000);
	CU_ASSERT_EQUAL(rig.batches, 1);
	CU_ASSERT_EQUAL(rig.last, BP_STORE_OK);
	CU_ASSERT_EQUAL(bp_journal_appends(rig.journal), 2);
	journal_stop(&rig);
}

typedef struct {
	bp_sharding_t *sharding;
	uint32_t executors;
	bool decided;
} plan_rig_t;

static void
on_follow(bool follow, void *data)
{
	plan_rig_t *rig = data;
	uint32_t i;

	if (!follow)
		return;
	for (i = 0; i < rig->executors; i++) {
		bp_executor_info_t info = {0};

		info.zone = i % 2 == 0 ? "za" : "zb";
		info.rack = g_strdup_printf("r%u", i / 8);
		bp_sharding_executor(rig->sharding, &info);
		g_free(info.rack);
	}
	bp_sharding_executors_listed(rig->sharding);
}

static void
on_decided(void *data)
{
	((plan_rig_t *)data)->decided = true;
}

static void
plan_start(
    plan_rig_t *rig, journal_rig_t *store, uint32_t executors, bool standby)
{
	bp_sharding_options_t options = {0};

	memset(rig, 0, sizeof(*rig));
	rig->executors = executors;
	options.clock = bp_clock_virtual_clock(store->clock);
	options.store = bp_qstore_interface(store->view);
	options.topic = "plan";
	options.executors_per_shard = 70;
	options.standby = standby;
	options.follow = on_follow;
	options.decided = on_decided;
	options.data = rig;
	rig->sharding = bp_sharding_new(&options);
	bp_sharding_start(rig->sharding);
}

/* All nodes use the plan of the first, whatever executors they list. */
static void
test_one_plan_for_all_nodes(void)
{
	journal_rig_t store;
	plan_rig_t first;
	plan_rig_t second;
	uint32_t i;
	uint32_t counts[8] = {0};

	journal_start(&store);
	plan_start(&first, &store, 480, false);
	bp_clock_virtual_run_ms(store.clock, 3000);
	plan_start(&second, &store, 20, false);
	bp_clock_virtual_run_ms(store.clock, 6000);
	CU_ASSERT_TRUE(first.decided && second.decided);
	CU_ASSERT_EQUAL(bp_sharding_count(first.sharding), 8);
	CU_ASSERT_EQUAL(bp_sharding_count(second.sharding), 8);
	for (i = 0; i < 60; i++) {
		char *rack = g_strdup_printf("r%u", i);
		uint32_t shard =
		    bp_sharding_of_rack(first.sharding, "za", rack);

		CU_ASSERT_EQUAL(
		    shard, bp_sharding_of_rack(second.sharding, "za", rack));
		counts[shard]++;
		g_free(rack);
	}
	/* 60 racks are spread evenly over 8 shards. */
	for (i = 0; i < 8; i++)
		CU_ASSERT_TRUE(counts[i] == 7 || counts[i] == 8);
	bp_sharding_free(first.sharding);
	bp_sharding_free(second.sharding);
	journal_stop(&store);
}

static uint32_t
shards_of(uint32_t executors)
{
	journal_rig_t store;
	plan_rig_t rig;
	uint32_t count;

	journal_start(&store);
	plan_start(&rig, &store, executors, false);
	bp_clock_virtual_run_ms(store.clock, 9000);
	count = rig.decided ? bp_sharding_count(rig.sharding) : 0;
	bp_sharding_free(rig.sharding);
	journal_stop(&store);
	return count;
}

/* A deployment within the capacity of one owner is not divided; a larger one
 * is, with capacity to spare. */
static void
test_shards_have_room_to_spare(void)
{
	CU_ASSERT_EQUAL(shards_of(57), 1);
	CU_ASSERT_EQUAL(shards_of(70), 1);
	CU_ASSERT_EQUAL(shards_of(104), 4);
}

/* Guards against a small node that splits the executors into more shards than
 * larger nodes need. */
static void
test_a_standby_leaves_the_plan_to_others(void)
{
	journal_rig_t store;
	plan_rig_t standby;
	plan_rig_t preferred;

	journal_start(&store);
	plan_start(&standby, &store, 480, true);
	bp_clock_virtual_run_ms(store.clock, 1000);
	plan_start(&preferred, &store, 60, false);
	bp_clock_virtual_run_ms(store.clock, 9000);
	CU_ASSERT_TRUE(standby.decided && preferred.decided);
	CU_ASSERT_EQUAL(bp_sharding_count(standby.sharding), 1);
	bp_sharding_free(standby.sharding);
	bp_sharding_free(preferred.sharding);
	journal_stop(&store);
}

/* Without other nodes a standby writes the plan itself. */
static void
test_a_standby_plans_alone(void)
{
	journal_rig_t store;
	plan_rig_t standby;

	journal_start(&store);
	plan_start(&standby, &store, 480, true);
	bp_clock_virtual_run_ms(store.clock, 9000);
	CU_ASSERT_TRUE(standby.decided);
	CU_ASSERT_EQUAL(bp_sharding_count(standby.sharding), 8);
	bp_sharding_free(standby.sharding);
	journal_stop(&store);
}

int
main(void)
{
	CU_TestInfo tests[] = {
	    {"impossible jobs are refused", test_impossible_jobs_are_refused},
	    {"progress survives", test_progress_survives},
	    {"failures count once", test_failures_count_once},
	    {"steps open in order", test_steps_open_in_order},
	    {"task names", test_task_names},
	    {"pairs find the disturber", test_pairs_find_the_disturber},
	    {"journal groups", test_journal_groups},
	    {"journal never refuses what may be done",
		test_journal_never_refuses_what_may_be_done},
	    {"journal repeats are one", test_journal_repeats_are_one},
	    {"one plan for all nodes", test_one_plan_for_all_nodes},
	    {"shards have room to spare", test_shards_have_room_to_spare},
	    {"a standby leaves the plan to others",
		test_a_standby_leaves_the_plan_to_others},
	    {"a standby plans alone", test_a_standby_plans_alone},
	    CU_TEST_INFO_NULL,
	};

	return bp_test_main("queues/parts", tests);
}
