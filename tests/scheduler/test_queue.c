#include "bulrushpost/queue.h"
#include "support/model.h"
#include "support/runner.h"

#include <string.h>

static bp_model_t model;
static bp_queue_options_t options;

static void
setup(const char *rules)
{
	bp_model_init(&model);
	bp_model_vm(&model, "a1", "za/r1", 64000, 64000, 0);
	CU_ASSERT_EQUAL(bp_model_rules(&model, rules), BP_OK);
	bp_queue_options_init(&options);
}

static bp_job_t *
add(const char *id, const char *team, bp_task_class_t klass, uint32_t tasks)
{
	return bp_model_job(&model, id, team, klass, tasks, 1000, 1000);
}

/* Drains the queue and compares the ids of the jobs, joined by spaces. */
static void
expect(const char *ids)
{
	bp_queue_t *queue = bp_queue_new(&options);
	GString *seen = g_string_new(NULL);
	bp_job_t *job;

	bp_queue_load(queue, model.state, false, NULL, NULL);
	while ((job = bp_queue_next(queue)) != NULL) {
		g_string_append_printf(
		    seen, "%s%s", seen->len > 0 ? " " : "", job->id);
		bp_queue_charge(queue, job, job->n_waiting);
	}
	CU_ASSERT_EQUAL(bp_queue_left(queue), 0);
	CU_ASSERT_STRING_EQUAL(seen->str, ids);
	g_string_free(seen, TRUE);
	bp_queue_free(queue);
}

/* Guards against batch or service jobs considered before urgent ones. */
static void
test_classes_in_order(void)
{
	setup("# empty\n");
	add("b", "t1", BP_CLASS_BATCH, 1);
	add("s", "t2", BP_CLASS_SERVICE, 1);
	add("u", "t3", BP_CLASS_URGENT, 1);
	expect("u s b");
	bp_model_clear(&model);
}

/* Guards against a team that gets more than its weighted share. */
static void
test_weighted_share_between_teams(void)
{
	setup("team t2 weight 3  # ola\n");
	add("a1", "t1", BP_CLASS_BATCH, 4);
	add("a2", "t1", BP_CLASS_BATCH, 4);
	add("b1", "t2", BP_CLASS_BATCH, 4);
	add("b2", "t2", BP_CLASS_BATCH, 4);
	add("b3", "t2", BP_CLASS_BATCH, 4);
	add("b4", "t2", BP_CLASS_BATCH, 4);
	expect("a1 b1 b2 b3 a2 b4");
	bp_model_clear(&model);
}

/* Guards against computing the dominant share from one resource only. */
static void
test_share_is_dominant(void)
{
	setup("# empty\n");
	bp_model_job(&model, "a1", "t1", BP_CLASS_BATCH, 1, 1000, 9000);
	bp_model_job(&model, "a2", "t1", BP_CLASS_BATCH, 1, 1000, 9000);
	bp_model_job(&model, "b1", "t2", BP_CLASS_BATCH, 1, 4000, 1000);
	bp_model_job(&model, "b2", "t2", BP_CLASS_BATCH, 1, 4000, 1000);
	bp_model_job(&model, "b3", "t2", BP_CLASS_BATCH, 1, 4000, 1000);
	expect("a1 b1 b2 b3 a2");
	bp_model_clear(&model);
}

/* Guards against cheap jobs that starve an expensive one. */
static void
test_weight_over_cost_with_bound(void)
{
	setup("# empty\n");
	options.order = BP_ORDER_WEIGHT_OVER_COST;
	add("large", "t1", BP_CLASS_BATCH, 9);
	model.now_ms += 1000;
	add("small", "t1", BP_CLASS_BATCH, 1);
	add("medium", "t1", BP_CLASS_BATCH, 3);
	expect("small medium large");
	options.wait_bound_ms = 500;
	expect("large small medium");
	options.order = BP_ORDER_FIFO;
	expect("large small medium");
	bp_model_clear(&model);
}

/* Guards against jobs lost, repeated or reordered by a requeue. */
static void
test_put_back_keeps_the_job_first(void)
{
	bp_queue_t *queue;
	bp_job_t *job;

	setup("# empty\n");
	add("a1", "t1", BP_CLASS_BATCH, 9);
	add("a2", "t1", BP_CLASS_BATCH, 1);
	add("b1", "t2", BP_CLASS_BATCH, 1);
	queue = bp_queue_new(&options);
	bp_queue_load(queue, model.state, false, NULL, NULL);
	job = bp_queue_next(queue);
	CU_ASSERT_STRING_EQUAL(job->id, "a1");
	bp_queue_charge(queue, job, 4);
	bp_queue_put_back(queue, job);
	CU_ASSERT_EQUAL(bp_queue_left(queue), 3);
	CU_ASSERT_STRING_EQUAL(bp_queue_next(queue)->id, "b1");
	CU_ASSERT_STRING_EQUAL(bp_queue_next(queue)->id, "a1");
	CU_ASSERT_STRING_EQUAL(bp_queue_next(queue)->id, "a2");
	CU_ASSERT_PTR_NULL(bp_queue_next(queue));
	bp_queue_free(queue);
	bp_model_clear(&model);
}

/* Guards against batch jobs lost, repeated or too early in a kept order. */
static void
test_kept_batch_goes_on(void)
{
	bp_queue_t *queue;
	bp_job_t *job;

	setup("# empty\n");
	add("a1", "t1", BP_CLASS_BATCH, 9);
	add("a2", "t1", BP_CLASS_BATCH, 1);
	job = add("a3", "t1", BP_CLASS_BATCH, 1);
	queue = bp_queue_new(&options);
	bp_queue_load(queue, model.state, false, NULL, NULL);
	bp_queue_put_back(queue, bp_queue_next(queue));
	add("u", "t2", BP_CLASS_URGENT, 1);
	add("a4", "t1", BP_CLASS_BATCH, 1);
	bp_model_assign(&model, job, 0, 1, bp_state_vm(model.state, "a1"));
	bp_queue_load(queue, model.state, true, NULL, NULL);
	CU_ASSERT_STRING_EQUAL(bp_queue_next(queue)->id, "u");
	CU_ASSERT_STRING_EQUAL(bp_queue_next(queue)->id, "a1");
	CU_ASSERT_STRING_EQUAL(bp_queue_next(queue)->id, "a2");
	CU_ASSERT_PTR_NULL(bp_queue_next(queue));
	bp_queue_load(queue, model.state, false, NULL, NULL);
	CU_ASSERT_EQUAL(bp_queue_left(queue), 4);
	bp_queue_free(queue);
	bp_model_clear(&model);
}

int
main(void)
{
	CU_TestInfo tests[] = {
	    {"classes in order", test_classes_in_order},
	    {"weighted share", test_weighted_share_between_teams},
	    {"share is dominant", test_share_is_dominant},
	    {"weight over cost", test_weight_over_cost_with_bound},
	    {"kept batch goes on", test_kept_batch_goes_on},
	    {"put back", test_put_back_keeps_the_job_first},
	    CU_TEST_INFO_NULL,
	};

	return bp_test_main("queue", tests);
}
