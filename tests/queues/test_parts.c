#include "bulrushpost/clock.h"
#include "queues/job.h"
#include "queues/recordwriter.h"
#include "queues/fillermodel.h"
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

	CU_ASSERT_EQUAL(bp_qjob_validate(job, &err), BP_OK);
	job->steps[1]->tasks = 0;
	CU_ASSERT_EQUAL(bp_qjob_validate(job, &err), BP_EINVALID);
	job->steps[1]->tasks = 1;
	job->times = 20000;
	CU_ASSERT_EQUAL(bp_qjob_validate(job, &err), BP_EINVALID);
	job->times = 1;
	job->first_ms = INT64_MAX;
	CU_ASSERT_EQUAL(bp_qjob_validate(job, &err), BP_EINVALID);
	job->first_ms = 0;
	job->times = 100;
	job->interval_ms = (uint64_t)1 << 53;
	CU_ASSERT_EQUAL(bp_qjob_validate(job, &err), BP_EINVALID);
	job->interval_ms = 7776000000;
	CU_ASSERT_EQUAL(bp_qjob_validate(job, &err), BP_OK);
	job->times = 1;
	job->interval_ms = UINT64_MAX;
	CU_ASSERT_EQUAL(bp_qjob_validate(job, &err), BP_OK);
	job->interval_ms = 0;
	job->stretch_permille = UINT32_MAX;
	CU_ASSERT_EQUAL(bp_qjob_validate(job, &err), BP_EINVALID);
	job->stretch_permille = 1000;
	free(job->id);
	job->id = strndup(text, 300);
	CU_ASSERT_EQUAL(bp_qjob_validate(job, &err), BP_EINVALID);
	job->id[10] = '\0';
	job->payload = strdup(text);
	CU_ASSERT_EQUAL(bp_qjob_validate(job, &err), BP_EINVALID);
	job->payload[4000] = '\0';
	CU_ASSERT_EQUAL(bp_qjob_validate(job, &err), BP_OK);
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
	CU_ASSERT_FALSE(bp_qtask_record_failure(task, 5));
	bp_qtask_set_checkpoint(task, "cp");
	job->started = true;
	bp_qjob_update_state(job);
	bytes = bp_qjob_serialize_progress(job);
	data = g_bytes_get_data(bytes, &size);
	CU_ASSERT_EQUAL(bp_qjob_load_progress(copy, data, size, NULL), BP_OK);
	CU_ASSERT_EQUAL(copy->state, BP__WORK__JOB_STATE__JOB_RUNNING);
	CU_ASSERT_EQUAL(bp_qjob_task(copy, 0, 0, 0)->state, BP_QTASK_DONE);
	CU_ASSERT_EQUAL(bp_qtask_failures(bp_qjob_task(copy, 0, 0, 1)), 1);
	CU_ASSERT_STRING_EQUAL(bp_qjob_task(copy, 0, 0, 1)->checkpoint, "cp");
	CU_ASSERT_EQUAL(copy->steps[0].remaining_tasks, 2);
	CU_ASSERT_EQUAL(
	    bp_qjob_load_progress(copy, (const uint8_t *)"\xff\xff", 2, NULL),
	    BP_EINVALID);
	g_bytes_unref(bytes);
	bp_qjob_free(job);
	bp_qjob_free(copy);
}

#define MANY_TASKS 20000
#define RECORD_BYTES_MAX ((gsize)256 * 1024)

/* The progress of a job of many tasks is divided into records that the store
 * takes; only what has changed is written, and a new owner reads all of it. */
static void
test_divided_progress_survives(void)
{
	bp_qjob_t *job = bp_qjob_new(new_spec(2, MANY_TASKS / 2, false));
	bp_qjob_t *copy = bp_qjob_new(new_spec(2, MANY_TASKS / 2, false));
	char *checkpoint = g_strnfill(BP_QJOB_CHECKPOINT_BYTES_MAX, 'c');
	GBytes *bytes;
	gsize size = 0;
	const uint8_t *data;
	uint32_t changed = 0;
	uint32_t i;

	for (i = 0; i < MANY_TASKS; i++) {
		bp_qtask_t *task = bp_qjob_task(
		    job, 0, i / (MANY_TASKS / 2), i % (MANY_TASKS / 2));

		bp_qtask_set_checkpoint(task, checkpoint);
		bp_qtask_mark_changed(task);
		(void)bp_qtask_record_failure(task, 1000 + i);
	}
	bp_qtask_set_state(bp_qjob_task(job, 0, 1, 3), BP_QTASK_DONE);
	for (i = 0; i < job->n_parts; i++) {
		CU_ASSERT_EQUAL(job->parts[i], BP_QPART_CHANGED);
		job->parts[i] = 0;
		bytes = bp_qjob_serialize_part(job, i);
		data = g_bytes_get_data(bytes, &size);
		CU_ASSERT_TRUE(size < RECORD_BYTES_MAX);
		CU_ASSERT_EQUAL(
		    bp_qjob_load_part(copy, i, data, size, NULL), BP_OK);
		CU_ASSERT_EQUAL(copy->parts[i], BP_QPART_STORED);
		g_bytes_unref(bytes);
	}
	bytes = bp_qjob_serialize_progress(job);
	CU_ASSERT_TRUE(g_bytes_get_size(bytes) < 100);
	g_bytes_unref(bytes);
	for (i = 0; i < MANY_TASKS / 2; i++) {
		CU_ASSERT_EQUAL(
		    bp_qtask_failures(bp_qjob_task(copy, 0, 1, i)), 1);
		CU_ASSERT_EQUAL(bp_qjob_task(copy, 0, 1, i)->state,
		    i == 3 ? BP_QTASK_DONE : BP_QTASK_WAITING);
	}
	CU_ASSERT_STRING_EQUAL(
	    bp_qjob_task(copy, 0, 0, 9999)->checkpoint, checkpoint);
	bp_qtask_set_state(bp_qjob_task(job, 0, 0, 5000), BP_QTASK_DONE);
	for (i = 0; i < job->n_parts; i++)
		changed += job->parts[i] != 0;
	CU_ASSERT_EQUAL(changed, 1);
	CU_ASSERT_EQUAL(bp_qjob_load_part(
			    copy, copy->n_parts, (const uint8_t *)"", 0, NULL),
	    BP_EINVALID);
	g_free(checkpoint);
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

	CU_ASSERT_FALSE(bp_qtask_record_failure(task, 4));
	CU_ASSERT_FALSE(bp_qtask_record_failure(task, 4));
	CU_ASSERT_TRUE(bp_qtask_record_failure(task, 9));
	CU_ASSERT_FALSE(
	    bp_qtask_record_failure(bp_qjob_task(gang, 0, 0, 1), 1));
	CU_ASSERT_FALSE(
	    bp_qtask_record_failure(bp_qjob_task(gang, 0, 0, 2), 1));
	CU_ASSERT_TRUE(bp_qtask_record_failure(bp_qjob_task(gang, 0, 0, 1), 2));
	bp_qjob_free(job);
	bp_qjob_free(gang);
	/* After a takeover, ends are listed in any order. */
	job = bp_qjob_new(new_spec(1, 1, false));
	task = bp_qjob_task(job, 0, 0, 0);
	CU_ASSERT_FALSE(bp_qtask_record_failure(task, 9));
	CU_ASSERT_TRUE(bp_qtask_record_failure(task, 4));
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
	CU_ASSERT_FALSE(bp_qstep_ready(&job->steps[0], 999));
	CU_ASSERT_TRUE(bp_qstep_ready(&job->steps[0], 1000));
	CU_ASSERT_FALSE(bp_qstep_ready(&job->steps[1], 1000));
	bp_qtask_set_state(bp_qjob_task(job, 0, 0, 0), BP_QTASK_DONE);
	CU_ASSERT_TRUE(bp_qstep_ready(&job->steps[1], 1000));
	CU_ASSERT_FALSE(bp_qstep_ready(&job->steps[2], 1499));
	CU_ASSERT_TRUE(bp_qstep_ready(&job->steps[2], 1500));
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
test_filler_model_finds_the_disturber(void)
{
	static const char *const images[] = {"calm", "loud", "still"};
	bp_filler_model_t *model = bp_filler_model_new();
	bp_filler_model_t *copy = bp_filler_model_new();
	bp_random_t random;
	double before[3] = {0};
	GBytes *bytes;
	gsize size = 0;
	const uint8_t *data;
	int i;

	bp_random_init(&random, SEED);
	for (i = 0; i < 400; i++) {
		GArray *changes =
		    g_array_new(FALSE, FALSE, sizeof(bp_filler_usage_t));
		double loss = 0.2 * (bp_random_unit(&random) - 0.5);
		int k;

		for (k = 0; k < 3; k++) {
			double now = 0.2 * bp_random_unit(&random);
			bp_filler_usage_t change = {images[k], now - before[k]};

			loss += k == 1 ? 5 * change.cpu_share : 0;
			before[k] = now;
			g_array_append_val(changes, change);
		}
		bp_filler_model_add_sample(model, "s", loss, changes);
		g_array_unref(changes);
		if (i % 10 == 9)
			bp_filler_model_fit(model);
	}
	CU_ASSERT_DOUBLE_EQUAL(
	    bp_filler_model_weight(model, "s", "loud"), 5, 0.7);
	CU_ASSERT_TRUE(bp_filler_model_weight(model, "s", "calm") < 0.7);
	CU_ASSERT_TRUE(bp_filler_model_weight(model, "s", "still") < 0.7);
	CU_ASSERT_DOUBLE_EQUAL(bp_filler_model_mean_weight(
				   model, bp_filler_model_index(model, "loud")),
	    bp_filler_model_weight(model, "s", "loud"), 1e-9);
	bytes = bp_filler_model_serialize(model);
	data = g_bytes_get_data(bytes, &size);
	CU_ASSERT_TRUE(bp_filler_model_deserialize(copy, data, size));
	CU_ASSERT_DOUBLE_EQUAL(bp_filler_model_weight(copy, "s", "loud"),
	    bp_filler_model_weight(model, "s", "loud"), 1e-9);
	CU_ASSERT_FALSE(
	    bp_filler_model_deserialize(copy, (const uint8_t *)"\xff\xff", 2));
	g_bytes_unref(bytes);
	bp_filler_model_free(model);
	bp_filler_model_free(copy);
}

typedef struct {
	bp_clock_virtual_t *clock;
	bp_random_t random;
	bp_qstore_t *store;
	bp_qstore_view_t *view;
	bp_record_writer_t *writer;
	uint32_t batches;
	uint32_t collected; /* records of the last append */
	uint32_t next; /* records to store */
	bp_store_outcome_t last;
} writer_fixture_t;

static void
on_collect(GPtrArray *records, void *data)
{
	writer_fixture_t *fixture = data;
	uint32_t i;

	fixture->collected = fixture->next;
	for (i = 0; i < fixture->next; i++)
		g_ptr_array_add(records, bp_store_record_new("k", "v", 1));
	fixture->next = 0;
}

static void
on_done(bp_store_outcome_t outcome, void *data)
{
	writer_fixture_t *fixture = data;

	fixture->batches++;
	fixture->last = outcome;
}

static void
writer_setup(writer_fixture_t *fixture)
{
	bp_record_writer_options_t options = {0};

	memset(fixture, 0, sizeof(*fixture));
	fixture->clock = bp_clock_virtual_new(1000);
	bp_random_init(&fixture->random, SEED);
	fixture->store = bp_qstore_new(fixture->clock, &fixture->random, 1);
	fixture->view = bp_qstore_view(fixture->store);
	options.clock = bp_clock_virtual_clock(fixture->clock);
	options.store = bp_qstore_interface(fixture->view);
	options.topic = "t";
	options.writer = "w";
	options.epoch = 1;
	options.sequence = 10;
	options.collect = on_collect;
	options.done = on_done;
	options.data = fixture;
	fixture->writer = bp_record_writer_new(&options);
}

static void
writer_teardown(writer_fixture_t *fixture)
{
	bp_record_writer_free(fixture->writer);
	bp_qstore_free(fixture->store);
	bp_clock_virtual_free(fixture->clock);
}

/* Requests that arrive together share one append. */
static void
test_record_writer_groups(void)
{
	writer_fixture_t fixture;
	int i;

	writer_setup(&fixture);
	for (i = 0; i < 5; i++) {
		fixture.next++;
		bp_record_writer_request(fixture.writer, true);
	}
	bp_clock_virtual_run_ms(fixture.clock, 100);
	CU_ASSERT_EQUAL(fixture.batches, 1);
	CU_ASSERT_EQUAL(fixture.collected, 5);
	CU_ASSERT_EQUAL(fixture.last, BP_STORE_OK);
	CU_ASSERT_TRUE(bp_record_writer_idle(fixture.writer));
	writer_teardown(&fixture);
}

/* A refusal ends an append, unless an earlier attempt was not answered. */
static void
test_record_writer_never_refuses_what_may_be_done(void)
{
	writer_fixture_t fixture;

	writer_setup(&fixture);
	bp_qstore_set_mode(fixture.view, BP_QSTORE_BUSY);
	fixture.next = 1;
	bp_record_writer_request(fixture.writer, true);
	bp_clock_virtual_run_ms(fixture.clock, 100);
	CU_ASSERT_EQUAL(fixture.batches, 1);
	CU_ASSERT_EQUAL(fixture.last, BP_STORE_REFUSED);
	bp_qstore_set_mode(fixture.view, BP_QSTORE_SILENT);
	fixture.next = 1;
	bp_record_writer_request(fixture.writer, true);
	bp_clock_virtual_run_ms(fixture.clock, 1600);
	bp_qstore_set_mode(fixture.view, BP_QSTORE_BUSY);
	bp_clock_virtual_run_ms(fixture.clock, 3000);
	CU_ASSERT_EQUAL(fixture.batches, 1);
	bp_qstore_set_mode(fixture.view, BP_QSTORE_UP);
	bp_clock_virtual_run_ms(fixture.clock, 3000);
	CU_ASSERT_EQUAL(fixture.batches, 2);
	CU_ASSERT_EQUAL(fixture.last, BP_STORE_OK);
	writer_teardown(&fixture);
}

/* An append whose answer is lost is repeated but written once. */
static void
test_record_writer_repeats_are_one(void)
{
	writer_fixture_t fixture;

	writer_setup(&fixture);
	bp_qstore_set_lost(fixture.store, 100, false);
	fixture.next = 1;
	bp_record_writer_request(fixture.writer, true);
	bp_clock_virtual_run_ms(fixture.clock, 1000);
	bp_qstore_set_lost(fixture.store, 0, false);
	bp_clock_virtual_run_ms(fixture.clock, 2000);
	CU_ASSERT_EQUAL(fixture.batches, 1);
	CU_ASSERT_EQUAL(fixture.last, BP_STORE_OK);
	CU_ASSERT_EQUAL(bp_record_writer_appends(fixture.writer), 2);
	writer_teardown(&fixture);
}

typedef struct {
	bp_sharding_t *sharding;
	uint32_t executors;
	bool decided;
} plan_fixture_t;

static void
on_watch_executors(bool follow, void *data)
{
	plan_fixture_t *fixture = data;
	uint32_t i;

	if (!follow)
		return;
	for (i = 0; i < fixture->executors; i++) {
		bp_executor_info_t info = {0};

		info.zone = i % 2 == 0 ? "za" : "zb";
		info.rack = g_strdup_printf("r%u", i / 8);
		bp_sharding_add_executor(fixture->sharding, &info);
		g_free(info.rack);
	}
	bp_sharding_executors_listed(fixture->sharding);
}

static void
on_plan_ready(void *data)
{
	((plan_fixture_t *)data)->decided = true;
}

static void
plan_start(plan_fixture_t *fixture, writer_fixture_t *store, uint32_t executors,
    bool standby)
{
	bp_sharding_options_t options = {0};

	memset(fixture, 0, sizeof(*fixture));
	fixture->executors = executors;
	options.clock = bp_clock_virtual_clock(store->clock);
	options.store = bp_qstore_interface(store->view);
	options.topic = "plan";
	options.executors_per_shard = 70;
	options.standby = standby;
	options.watch_executors = on_watch_executors;
	options.plan_ready = on_plan_ready;
	options.data = fixture;
	fixture->sharding = bp_sharding_new(&options);
	bp_sharding_start(fixture->sharding);
}

/* All nodes use the plan of the first, whatever executors they list. */
static void
test_one_plan_for_all_nodes(void)
{
	writer_fixture_t store;
	plan_fixture_t first;
	plan_fixture_t second;
	uint32_t i;
	uint32_t counts[8] = {0};

	writer_setup(&store);
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
		    bp_sharding_shard_of_rack(first.sharding, "za", rack);

		CU_ASSERT_EQUAL(shard,
		    bp_sharding_shard_of_rack(second.sharding, "za", rack));
		counts[shard]++;
		g_free(rack);
	}
	/* 60 racks are spread evenly over 8 shards. */
	for (i = 0; i < 8; i++)
		CU_ASSERT_TRUE(counts[i] == 7 || counts[i] == 8);
	bp_sharding_free(first.sharding);
	bp_sharding_free(second.sharding);
	writer_teardown(&store);
}

static uint32_t
shards_of(uint32_t executors)
{
	writer_fixture_t store;
	plan_fixture_t fixture;
	uint32_t count;

	writer_setup(&store);
	plan_start(&fixture, &store, executors, false);
	bp_clock_virtual_run_ms(store.clock, 9000);
	count = fixture.decided ? bp_sharding_count(fixture.sharding) : 0;
	bp_sharding_free(fixture.sharding);
	writer_teardown(&store);
	return count;
}

/* A deployment within the capacity of one owner is not divided; a larger one
 * is, with capacity to spare. */
static void
test_shards_have_spare_capacity(void)
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
	writer_fixture_t store;
	plan_fixture_t standby;
	plan_fixture_t preferred;

	writer_setup(&store);
	plan_start(&standby, &store, 480, true);
	bp_clock_virtual_run_ms(store.clock, 1000);
	plan_start(&preferred, &store, 60, false);
	bp_clock_virtual_run_ms(store.clock, 9000);
	CU_ASSERT_TRUE(standby.decided && preferred.decided);
	CU_ASSERT_EQUAL(bp_sharding_count(standby.sharding), 1);
	bp_sharding_free(standby.sharding);
	bp_sharding_free(preferred.sharding);
	writer_teardown(&store);
}

/* Without other nodes a standby writes the plan itself. */
static void
test_a_standby_plans_alone(void)
{
	writer_fixture_t store;
	plan_fixture_t standby;

	writer_setup(&store);
	plan_start(&standby, &store, 480, true);
	bp_clock_virtual_run_ms(store.clock, 9000);
	CU_ASSERT_TRUE(standby.decided);
	CU_ASSERT_EQUAL(bp_sharding_count(standby.sharding), 8);
	bp_sharding_free(standby.sharding);
	writer_teardown(&store);
}

int
main(void)
{
	CU_TestInfo tests[] = {
	    {"impossible jobs are refused", test_impossible_jobs_are_refused},
	    {"progress survives", test_progress_survives},
	    {"divided progress survives", test_divided_progress_survives},
	    {"failures count once", test_failures_count_once},
	    {"steps open in order", test_steps_open_in_order},
	    {"task names", test_task_names},
	    {"pairs find the disturber", test_filler_model_finds_the_disturber},
	    {"journal groups", test_record_writer_groups},
	    {"journal never refuses what may be done",
		test_record_writer_never_refuses_what_may_be_done},
	    {"journal repeats are one", test_record_writer_repeats_are_one},
	    {"one plan for all nodes", test_one_plan_for_all_nodes},
	    {"shards have room to spare", test_shards_have_spare_capacity},
	    {"a standby leaves the plan to others",
		test_a_standby_leaves_the_plan_to_others},
	    {"a standby plans alone", test_a_standby_plans_alone},
	    CU_TEST_INFO_NULL,
	};

	return bp_test_main("queues/parts", tests);
}
