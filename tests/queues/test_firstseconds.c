#include "queues/orderrouter.h"
#include "support/queuerig.h"
#include "support/runner.h"

#include <stdio.h>

#define SEED 20261206
#define EXECUTORS 500
#define SETTLE_MS 3000
#define STEP_MS 10
/* In each turn of its event loop an owner sends at most so many orders. */
#define TURN_ORDERS 4
/* All executors are polled within this time. */
#define POLLED_MS 1000

/* Counts the orders that a node sends itself, by virtual ms, and forwards them
 * to the executors. */
typedef struct {
	bp_executors_t interface;
	bp_executors_t *executors;
	const bp_clock_t *clock;
	int64_t turn_ms;
	uint32_t turn_orders;
	uint32_t turn_orders_max;
	GHashTable *polled; /* IDs of executors */
} counter_t;

static void
count_order(counter_t *counter)
{
	int64_t now_ms = bp_clock_mono_ms(counter->clock);

	if (now_ms != counter->turn_ms)
		counter->turn_orders = 0;
	counter->turn_ms = now_ms;
	counter->turn_orders++;
	counter->turn_orders_max =
	    MAX(counter->turn_orders_max, counter->turn_orders);
}

static void
counter_start(bp_executors_t *self, const bp_exec_target_t *target,
    const bp_exec_start_t *start, bp_exec_done_t done, void *data)
{
	counter_t *counter = (counter_t *)self;

	count_order(counter);
	counter->executors->start(
	    counter->executors, target, start, done, data);
}

static void
counter_stop(bp_executors_t *self, const bp_exec_target_t *target,
    const char *task, uint64_t run, bp_exec_done_t done, void *data)
{
	counter_t *counter = (counter_t *)self;

	count_order(counter);
	counter->executors->stop(
	    counter->executors, target, task, run, done, data);
}

static void
counter_poll(bp_executors_t *self, const bp_exec_target_t *target,
    const bp_exec_poll_t *poll, bp_exec_done_t done, void *data)
{
	counter_t *counter = (counter_t *)self;

	count_order(counter);
	g_hash_table_add(counter->polled, g_strdup(target->id));
	counter->executors->poll(counter->executors, target, poll, done, data);
}

static void
counter_forget(bp_executors_t *self, void *data)
{
	counter_t *counter = (counter_t *)self;

	counter->executors->forget(counter->executors, data);
}

static void
counter_init(counter_t *counter, bp_qrig_t *sim)
{
	counter->clock = bp_clock_virtual_clock(bp_qrig_clock(sim));
	counter->executors =
	    bp_qfleet_interface(bp_qfleet_view(bp_qrig_fleet(sim)));
	counter->polled =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	counter->interface.start = counter_start;
	counter->interface.stop = counter_stop;
	counter->interface.poll = counter_poll;
	counter->interface.forget = counter_forget;
}

static void
on_shard_event(bp_shard_t *shard, void *data)
{
	(void)shard;
	(void)data;
}

static bp_shard_t *
new_owner(bp_qrig_t *sim, bp_executors_t *executors)
{
	bp_shard_options_t options = {0};

	options.clock = bp_clock_virtual_clock(bp_qrig_clock(sim));
	options.store = bp_qstore_interface(bp_qstore_view(bp_qrig_store(sim)));
	options.executors = executors;
	options.node = "successor";
	options.address = "successor";
	options.topic = "jobs";
	options.limits.lease_max_ms = 6000;
	options.limits.status_keep_s = 60;
	options.membership_confirmed_ms = bp_clock_mono_ms(options.clock);
	options.lost = on_shard_event;
	options.owned = on_shard_event;
	return bp_shard_new(&options);
}

static void
list_executors(bp_qrig_t *sim, bp_shard_t *shard)
{
	uint32_t i;

	for (i = 0; i < EXECUTORS; i++) {
		bp_executor_info_t *info =
		    bp_qfleet_info(bp_qrig_fleet(sim), i);

		bp_shard_update_executor(shard, info);
		bp_executor_info_free(info);
	}
	bp_shard_executors_listed(shard);
}

static void
run_as_owner(bp_qrig_t *sim, bp_shard_t *shard, int64_t duration_ms)
{
	const bp_clock_t *clock = bp_clock_virtual_clock(bp_qrig_clock(sim));
	int64_t passed_ms;

	for (passed_ms = 0; passed_ms < duration_ms; passed_ms += STEP_MS) {
		bp_qrig_run_ms(sim, STEP_MS);
		(void)bp_shard_confirm_membership(
		    shard, bp_clock_mono_ms(clock));
	}
}

/*
 * Guards against a new owner that knows no other node yet, sends the first
 * polls of all executors in one turn of its event loop, and for seconds reads
 * no answers and stores nothing.
 */
static void
test_a_new_owner_keeps_its_turns_short(void)
{
	bp_qrig_t *sim = bp_qrig_new(SEED, EXECUTORS);
	bp_order_router_options_t options = {0};
	bp_order_router_t *router;
	counter_t counter = {0};
	bp_shard_t *shard;
	uint32_t i;

	bp_qrig_run_ms(sim, SETTLE_MS);
	(void)bp_qrig_submit(sim, EXECUTORS, 0, true);
	bp_qrig_run_ms(sim, SETTLE_MS);
	for (i = 0; i < BP_QRIG_NODES; i++)
		bp_qrig_kill(sim, i);
	counter_init(&counter, sim);
	options.clock = counter.clock;
	options.direct = &counter.interface;
	options.address = "successor";
	options.zone = "za";
	options.processor_milli = 500;
	router = bp_order_router_new(&options);
	shard = new_owner(sim, bp_order_router_interface(router));
	for (i = 0; i < 1000 && !bp_shard_ready(shard); i++)
		run_as_owner(sim, shard, STEP_MS);
	CU_ASSERT_TRUE(bp_shard_ready(shard));
	list_executors(sim, shard);
	run_as_owner(sim, shard, POLLED_MS);
	CU_ASSERT_EQUAL(g_hash_table_size(counter.polled), EXECUTORS);
	CU_ASSERT_TRUE(counter.turn_orders_max <= TURN_ORDERS);
	if (counter.turn_orders_max > TURN_ORDERS)
		printf("  %u orders in one turn\n", counter.turn_orders_max);
	bp_shard_free(shard);
	bp_order_router_free(router);
	g_hash_table_unref(counter.polled);
	CU_ASSERT_EQUAL(bp_qrig_broken(sim), 0);
	bp_qrig_free(sim);
}

int
main(void)
{
	CU_TestInfo tests[] = {
	    {"a new owner keeps its turns short",
		test_a_new_owner_keeps_its_turns_short},
	    CU_TEST_INFO_NULL,
	};

	return bp_test_main("queues/first-seconds", tests);
}
