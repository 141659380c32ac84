#include "support/shardsim.h"

#include "support/runner.h"

#include <stdlib.h>
#include <string.h>

#define START_MS 1000000
#define STEP_MS 10

static void
record(bp_executors_t *self, const bp_exec_target_t *target,
    bp_sim_order_kind_t kind, const char *task, uint64_t run,
    bp_exec_done_t done, void *data)
{
	bp_shardsim_t *sim = (bp_shardsim_t *)self;
	bp_sim_order_t *order = &sim->orders[sim->n_orders];

	if (sim->n_orders == BP_SHARDSIM_ORDERS_MAX) {
		CU_FAIL("too many orders");
		return;
	}
	sim->n_orders++;
	order->executor = g_strdup(target->id);
	order->kind = kind;
	order->task = g_strdup(task);
	order->run = run;
	order->done = done;
	order->data = data;
}

static void
sim_start(bp_executors_t *self, const bp_exec_target_t *target,
    const bp_exec_start_t *start, bp_exec_done_t done, void *data)
{
	record(self, target, BP_SIM_START, start->task, start->run, done, data);
}

static void
sim_stop(bp_executors_t *self, const bp_exec_target_t *target, const char *task,
    uint64_t run, bp_exec_done_t done, void *data)
{
	record(self, target, BP_SIM_STOP, task, run, done, data);
}

static void
sim_poll(bp_executors_t *self, const bp_exec_target_t *target,
    const bp_exec_poll_t *poll, bp_exec_done_t done, void *data)
{
	bp_shardsim_t *sim = (bp_shardsim_t *)self;
	uint32_t index = sim->n_orders;

	record(self, target, BP_SIM_POLL, NULL, 0, done, data);
	if (sim->n_orders > index)
		sim->orders[index].wait_ms = poll->wait_ms;
}

static void
sim_throttle(bp_executors_t *self, const bp_exec_target_t *target,
    const char *task, uint64_t run, uint32_t percent, bp_exec_done_t done,
    void *data)
{
	bp_shardsim_t *sim = (bp_shardsim_t *)self;
	uint32_t index = sim->n_orders;

	record(self, target, BP_SIM_THROTTLE, task, run, done, data);
	if (sim->n_orders > index)
		sim->orders[index].percent = percent;
}

static void
sim_forget(bp_executors_t *self, void *data)
{
	(void)self;
	(void)data;
}

static void
on_event(bp_shard_t *shard, void *data)
{
	(void)shard;
	(void)data;
}

/* See the header. */
void
bp_shardsim_run_ms(bp_shardsim_t *sim, int64_t duration_ms)
{
	const bp_clock_t *clock = bp_clock_virtual_clock(sim->clock);
	int64_t passed_ms;

	for (passed_ms = 0; passed_ms < duration_ms; passed_ms += STEP_MS) {
		bp_clock_virtual_run_ms(sim->clock, STEP_MS);
		(void)bp_shard_confirm_membership(
		    sim->shard, bp_clock_mono_ms(clock));
	}
}

/* See the header. */
bp_sim_order_t *
bp_shardsim_open_order(
    bp_shardsim_t *sim, bp_sim_order_kind_t kind, const char *task)
{
	uint32_t i;

	for (i = 0; i < sim->n_orders; i++) {
		bp_sim_order_t *order = &sim->orders[i];

		if (order->kind == kind && !order->answered &&
		    (task == NULL || g_strcmp0(order->task, task) == 0))
			return order;
	}
	return NULL;
}

static int64_t
born_of(const bp_sim_order_t *order)
{
	return order->born_ms != 0 ? order->born_ms : 1;
}

static void
deliver(bp_sim_order_t *order, bp_exec_outcome_t outcome, int64_t clock_ms,
    const bp_sim_order_t *running)
{
	GArray *rows = g_array_new(FALSE, TRUE, sizeof(bp_exec_running_t));
	GArray *ends = g_array_new(FALSE, TRUE, sizeof(bp_exec_ended_t));
	bp_exec_result_t result = {
	    outcome, clock_ms, born_of(order), NULL, NULL, false};

	if (running != NULL) {
		bp_exec_running_t row = {
		    running->task, running->run, "", 50, 0};

		g_array_append_val(rows, row);
	}
	if (order->kind == BP_SIM_POLL) {
		result.running = rows;
		result.ended = ends;
	}
	order->answered = true;
	order->done(&result, order->data);
	g_array_unref(rows);
	g_array_unref(ends);
}

/* See the header. */
void
bp_shardsim_answer(bp_sim_order_t *order, bp_exec_outcome_t outcome,
    int64_t clock_ms, const bp_sim_order_t *running)
{
	CU_ASSERT_PTR_NOT_NULL(order);
	if (order != NULL)
		deliver(order, outcome, clock_ms, running);
}

/* See the header. */
bp_sim_order_t *
bp_shardsim_open_order_to(
    bp_shardsim_t *sim, bp_sim_order_kind_t kind, const char *executor)
{
	uint32_t i;

	for (i = 0; i < sim->n_orders; i++) {
		bp_sim_order_t *order = &sim->orders[i];

		if (order->kind == kind && !order->answered &&
		    g_strcmp0(order->executor, executor) == 0)
			return order;
	}
	return NULL;
}

/* See the header. */
void
bp_shardsim_answer_lists(
    bp_sim_order_t *poll, int64_t clock_ms, GArray *running, GArray *ended)
{
	bp_exec_result_t result = {BP_EXEC_OK, clock_ms,
	    poll != NULL ? born_of(poll) : 0, running, ended, false};

	CU_ASSERT_PTR_NOT_NULL(poll);
	if (poll != NULL) {
		poll->answered = true;
		poll->done(&result, poll->data);
	}
}

/* See the header. */
void
bp_shardsim_answer_poll(bp_sim_order_t *poll, int64_t clock_ms, GArray *running)
{
	GArray *ended = g_array_new(FALSE, TRUE, sizeof(bp_exec_ended_t));

	bp_shardsim_answer_lists(poll, clock_ms, running, ended);
	g_array_unref(ended);
}

/* See the header. */
void
bp_shardsim_list_born(bp_shardsim_t *sim, const char *executor, int64_t born_ms)
{
	char *labels[] = {NULL};
	bp_executor_info_t info = {(char *)executor, "pool", "10.0.0.1:80",
	    "za", "r1", labels, 16000, 64000, 0, false, born_ms};

	bp_shard_update_executor(sim->shard, &info);
}

static void
list_executor(bp_shardsim_t *sim, const char *id)
{
	bp_shardsim_list_born(sim, id, 1);
}

static void
start_shard(bp_shardsim_t *sim, const char *node)
{
	bp_shard_options_t options = {0};

	options.clock = bp_clock_virtual_clock(sim->clock);
	options.store = bp_qstore_interface(bp_qstore_view(sim->store));
	options.executors = &sim->interface;
	options.node = node;
	options.address = "10.0.0.9:7000";
	options.topic = "jobs";
	options.limits.lease_max_ms = 6000;
	options.limits.status_keep_s = 3600;
	options.limits.quarantine_failures = 3;
	options.membership_confirmed_ms = bp_clock_mono_ms(options.clock);
	options.lost = on_event;
	options.owned = on_event;
	sim->shard = bp_shard_new(&options);
	bp_shardsim_run_ms(sim, 500);
	list_executor(sim, "i-1");
}

/* See the header. */
bp_shardsim_t *
bp_shardsim_new(void)
{
	bp_shardsim_t *sim = g_new0(bp_shardsim_t, 1);

	sim->interface.start = sim_start;
	sim->interface.stop = sim_stop;
	sim->interface.poll = sim_poll;
	sim->interface.throttle = sim_throttle;
	sim->interface.forget = sim_forget;
	sim->clock = bp_clock_virtual_new(START_MS);
	bp_random_init(&sim->random, 1);
	sim->store = bp_qstore_new(sim->clock, &sim->random, 1);
	start_shard(sim, "n");
	bp_shardsim_answer(bp_shardsim_open_order(sim, BP_SIM_POLL, NULL),
	    BP_EXEC_OK, 1000, NULL);
	bp_shardsim_run_ms(sim, 100);
	return sim;
}

/* See the header. */
void
bp_shardsim_list(bp_shardsim_t *sim, const char *executor)
{
	list_executor(sim, executor);
	bp_shardsim_answer(
	    bp_shardsim_open_order_to(sim, BP_SIM_POLL, executor), BP_EXEC_OK,
	    1000, NULL);
	bp_shardsim_run_ms(sim, 100);
}

/* See the header. */
void
bp_shardsim_take_over(bp_shardsim_t *sim)
{
	uint32_t i;

	bp_shard_free(sim->shard);
	for (i = 0; i < sim->n_orders; i++)
		sim->orders[i].answered = true;
	start_shard(sim, "m");
}

/* See the header. */
void
bp_shardsim_free(bp_shardsim_t *sim)
{
	uint32_t i;

	bp_shard_free(sim->shard);
	bp_qstore_free(sim->store);
	bp_clock_virtual_free(sim->clock);
	for (i = 0; i < sim->n_orders; i++) {
		g_free(sim->orders[i].executor);
		g_free(sim->orders[i].task);
	}
	g_free(sim);
}

static void
on_submitted(const bp_shard_answer_t *told, void *data)
{
	(void)data;
	CU_ASSERT_EQUAL(told->kind, BP_OK);
}

/* See the header. */
Bp__Work__Step *
bp_shardsim_step(uint32_t tasks, uint32_t cpu_milli)
{
	Bp__Work__Step *step = malloc(sizeof(*step));

	bp__work__step__init(step);
	step->tasks = tasks;
	step->cpu_milli = cpu_milli;
	step->memory_mib = 100;
	step->expected_ms = 5000;
	return step;
}

/* See the header. */
void
bp_shardsim_submit_step(
    bp_shardsim_t *sim, const char *id, Bp__Work__Step *step)
{
	Bp__Work__Job *job = malloc(sizeof(*job));

	bp__work__job__init(job);
	job->id = strdup(id);
	job->queue = strdup("q");
	job->service = strdup("pool");
	job->payload = strdup("work");
	job->attempts = 3;
	job->stretch_permille = 2000;
	job->accepted_ms = START_MS;
	job->steps = calloc(1, sizeof(Bp__Work__Step *));
	job->steps[job->n_steps++] = step;
	bp_shard_submit(sim->shard, job, on_submitted, NULL);
}

/* See the header. */
void
bp_shardsim_submit(bp_shardsim_t *sim, const char *id)
{
	bp_shardsim_submit_step(sim, id, bp_shardsim_step(1, 1000));
}
