#include "support/queuerig.h"

#include "queues/appendprobe.h"
#include "queues/job.h"
#include "queues/membership.h"
#include "queues/ownedshards.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* More than the jobs of the tests with this rig take, but for test_joblimit. */
#define JOBS_BYTES_MAX ((uint64_t)64 * 1024 * 1024)
#define LIST_PERIOD_MS 400
#define HEARTBEAT_PERIOD_MS 700
#define FROZEN_STEP_MS 20
#define QUESTION_MS 10
#define QUEUE "q"
#define TASK_CPU 4000

typedef struct rig_node rig_node_t;

/* The clock of a node that may stand still: its timers then wait. */
typedef struct {
	bp_clock_t clock;
	rig_node_t *node;
} node_clock_t;

struct rig_node {
	bp_qrig_t *rig;
	node_clock_t clock;
	GHashTable *timers; /* ids in use to wrapped_t */
	guint last_timer;
	bp_qstore_view_t *store;
	bp_qfleet_view_t *fleet;
	bp_membership_t *membership;
	bp_append_probe_t *append_probe;
	bp_owned_shards_t *shards;
	bp_catalog_t *catalog;
	char address[32];
	bool alive;
	bool frozen;
	bool follows;
	bool list_whole; /* the next list is told from the start */
};

typedef struct {
	char *id;
	uint32_t tasks;
	int64_t task_ms;
	bool lasting;
	bp_qrig_told_t told; /* the most that a caller knows */
	uint32_t attempts; /* calls that handed the job in */
	uint32_t refusals; /* of these */
	bp_qrig_told_t cancel_told;
	int64_t cancelled_ms;
	uint32_t retry_after_ms;
	int64_t submitted_ms;
	int64_t *first_start_ms; /* by task of the first step; 0: none yet */
	bp_qrig_shape_t shape;
} caller_t;

#define CUSTOMERS_MAX 24
/* Starts that were sent under an earlier configuration arrive within it. */
#define OLD_CAP_MS 500

/* The caps that a start is checked against. */
typedef struct {
	bp_qrig_customer_t customer;
	uint32_t old_cap_cpu_milli;
	int64_t changed_ms;
} limit_t;

struct bp_qrig {
	bp_clock_virtual_t *clock;
	bp_random_t random;
	bp_qstore_t *store;
	bp_qfleet_t *fleet;
	rig_node_t nodes[BP_QRIG_NODES];
	GPtrArray *callers; /* caller_t */
	bp_qrig_shape_t shape; /* of later jobs */
	limit_t limits[CUSTOMERS_MAX];
	uint32_t n_limits;
	GHashTable *by_id;
	GHashTable *zones_out;
	bp_sharding_t *sharding;
	uint64_t incarnations;
	bool large_task_planning;
	bool urgent_headroom;
	uint64_t starts_digest;
	bp_logger_t *loggers[BP_QRIG_NODES]; /* NULL unless RIG_LOG is set */
	uint32_t broken;
	char *first_broken;
	guint timer;
	guint heartbeat_timer;
};

static void
report(bp_qrig_t *rig, const char *rule, const char *id)
{
	rig->broken++;
	if (rig->first_broken == NULL)
		rig->first_broken = g_strdup_printf("%s: %s at %d ms", rule, id,
		    (int)bp_clock_mono_ms(bp_clock_virtual_clock(rig->clock)));
}

typedef struct {
	rig_node_t *node;
	guint id;
	guint inner;
	uint32_t delay_ms;
	GSourceFunc call;
	void *data;
} wrapped_t;

static const bp_clock_t *
base(const rig_node_t *node)
{
	return bp_clock_virtual_clock(node->rig->clock);
}

static int
node_mono(const bp_clock_t *clock, struct timespec *out)
{
	const bp_clock_t *from = base(((const node_clock_t *)clock)->node);

	return from->mono(from, out);
}

static int
node_wall(const bp_clock_t *clock, struct timespec *out)
{
	const bp_clock_t *from = base(((const node_clock_t *)clock)->node);

	return from->wall(from, out);
}

static gboolean
on_wrapped(gpointer data)
{
	wrapped_t *timer = data;
	rig_node_t *node = timer->node;
	guint id = timer->id;

	if (node->frozen) {
		timer->inner = bp_clock_add_timer(
		    base(node), FROZEN_STEP_MS, on_wrapped, timer);
		return G_SOURCE_REMOVE;
	}
	timer->inner = 0;
	if (timer->call(timer->data) == G_SOURCE_CONTINUE &&
	    g_hash_table_contains(node->timers, GUINT_TO_POINTER(id)))
		timer->inner = bp_clock_add_timer(
		    base(node), timer->delay_ms, on_wrapped, timer);
	else
		g_hash_table_remove(node->timers, GUINT_TO_POINTER(id));
	return G_SOURCE_REMOVE;
}

static guint
node_after(
    const bp_clock_t *clock, uint32_t delay_ms, GSourceFunc call, void *data)
{
	rig_node_t *node = ((const node_clock_t *)clock)->node;
	wrapped_t *timer = g_new0(wrapped_t, 1);

	timer->node = node;
	timer->id = ++node->last_timer;
	timer->delay_ms = MAX(delay_ms, 1);
	timer->call = call;
	timer->data = data;
	g_hash_table_insert(node->timers, GUINT_TO_POINTER(timer->id), timer);
	timer->inner =
	    bp_clock_add_timer(base(node), delay_ms, on_wrapped, timer);
	return timer->id;
}

static void
node_cancel(const bp_clock_t *clock, guint id)
{
	rig_node_t *node = ((const node_clock_t *)clock)->node;
	wrapped_t *timer =
	    g_hash_table_lookup(node->timers, GUINT_TO_POINTER(id));

	if (timer == NULL)
		return;
	bp_clock_cancel_timer(base(node), &timer->inner);
	g_hash_table_remove(node->timers, GUINT_TO_POINTER(id));
}

static void
on_follow(bool follow, void *data)
{
	rig_node_t *node = data;

	node->follows = follow;
	node->list_whole = follow;
}

static void
on_unfit(bp_shard_unfit_t why, void *data)
{
	rig_node_t *node = data;
	bool others = false;
	uint32_t i;

	for (i = 0; i < BP_QRIG_NODES; i++) {
		const rig_node_t *other = &node->rig->nodes[i];

		others = others ||
		    (other != node && other->alive &&
			!bp_membership_stepped_down(other->membership) &&
			(why != BP_SHARD_UNFIT_UNSTORED ||
			    bp_append_probe_answered(other->append_probe)));
	}
	if (why == BP_SHARD_UNFIT_ISOLATED || others)
		bp_membership_step_down(node->membership);
}

static void
on_held(const bool *shards, int64_t sent_mono_ms, void *data)
{
	rig_node_t *node = data;

	bp_owned_shards_set_assigned(node->shards, shards, sent_mono_ms);
}

static bool
on_serves(uint32_t shard, void *data)
{
	const rig_node_t *node = data;

	return bp_owned_shards_serves(node->shards, shard);
}

/* One route to the pool of all executors. */
static bp_catalog_t *
new_catalog(void)
{
	bp_catalog_t *catalog = bp_catalog_new();
	bp_queue_route_t *route = g_new0(bp_queue_route_t, 1);

	route->name = g_strdup(QUEUE);
	route->host = g_strdup("h");
	route->prefix = g_strdup("/q/");
	route->service = g_strdup("pool");
	route->attempts = BP_QFLEET_ATTEMPTS;
	g_ptr_array_add(catalog->routes, route);
	catalog->version = 1;
	return catalog;
}

static bp_logger_t *
rig_logger(const rig_node_t *node)
{
	return node->rig->loggers[node - node->rig->nodes];
}

/* A question to an earlier owner, on its way. */
typedef struct {
	rig_node_t *from;
	bp_owned_shards_t *shards; /* that ask */
	char *address;
	uint64_t epoch;
} question_t;

/* A node that is dead or stands still does not answer. */
static gboolean
on_question(gpointer data)
{
	question_t *question = data;
	rig_node_t *from = question->from;
	bp_qrig_t *rig = from->rig;
	int64_t stopped_ms = 0;
	uint32_t i;

	for (i = 0; i < BP_QRIG_NODES; i++) {
		const rig_node_t *node = &rig->nodes[i];

		if (strcmp(node->address, question->address) != 0 ||
		    !node->alive || node->frozen)
			continue;
		if (from->shards == question->shards && !from->frozen &&
		    bp_owned_shards_stopped(node->shards, 0, &stopped_ms))
			bp_owned_shards_owner_stopped(from->shards,
			    question->address, 0, question->epoch, stopped_ms);
	}
	g_free(question->address);
	g_free(question);
	return G_SOURCE_REMOVE;
}

static void
on_ask_owner(const char *address, uint32_t number, uint64_t epoch, void *data)
{
	rig_node_t *node = data;
	question_t *question = g_new0(question_t, 1);

	(void)number;
	question->from = node;
	question->shards = node->shards;
	question->address = g_strdup(address);
	question->epoch = epoch;
	bp_clock_add_timer(base(node), QUESTION_MS, on_question, question);
}

static void
build_shards(rig_node_t *node)
{
	bp_owned_shards_options_t options = {0};
	GHashTableIter iter;
	gpointer zone;

	options.clock = &node->clock.clock;
	options.logger = rig_logger(node);
	options.store = bp_qstore_interface(node->store);
	options.executors = bp_qfleet_interface(node->fleet);
	options.node = node->address;
	options.address = node->address;
	options.topic = "jobs";
	options.sharding = node->rig->sharding;
	options.limits.lease_max_ms = 6000;
	options.limits.stop_max_ms = 200;
	options.limits.status_keep_s = 3600;
	options.limits.quarantine_failures = 3;
	options.limits.large_task_planning = node->rig->large_task_planning;
	options.limits.urgent_headroom = node->rig->urgent_headroom;
	options.limits.jobs_bytes_max = JOBS_BYTES_MAX;
	options.watch_executors = on_follow;
	options.ask_owner = on_ask_owner;
	options.unfit = on_unfit;
	options.data = node;
	node->shards = bp_owned_shards_new(&options);
	bp_owned_shards_set_catalog(node->shards, node->catalog);
	g_hash_table_iter_init(&iter, node->rig->zones_out);
	while (g_hash_table_iter_next(&iter, &zone, NULL))
		bp_owned_shards_set_zone(node->shards, zone, true);
}

/* See the header. */
void
bp_qrig_restart(bp_qrig_t *rig, uint32_t index)
{
	rig_node_t *node = &rig->nodes[index];
	bp_membership_options_t options = {0};

	if (node->alive)
		return;
	node->alive = true;
	node->frozen = false;
	node->follows = false;
	node->store = bp_qstore_view(rig->store);
	node->fleet = bp_qfleet_view(rig->fleet);
	build_shards(node);
	options.clock = &node->clock.clock;
	options.store = bp_qstore_interface(node->store);
	options.topic = "jobs";
	options.address = node->address;
	options.incarnation = ++rig->incarnations;
	options.shards = 1;
	options.assigned = on_held;
	options.serves = on_serves;
	options.data = node;
	node->membership = bp_membership_new(&options);
	node->append_probe =
	    bp_append_probe_new(options.clock, options.store, options.topic);
}

/* See the header. */
void
bp_qrig_leave(bp_qrig_t *rig, uint32_t index)
{
	rig_node_t *node = &rig->nodes[index];

	if (!node->alive)
		return;
	bp_owned_shards_release(node->shards);
	bp_membership_leave(node->membership);
}

/* What the node had sent may still take effect. */
void
bp_qrig_kill(bp_qrig_t *rig, uint32_t index)
{
	rig_node_t *node = &rig->nodes[index];

	if (!node->alive)
		return;
	bp_membership_free(node->membership);
	bp_append_probe_free(node->append_probe);
	bp_owned_shards_free(node->shards);
	node->membership = NULL;
	node->append_probe = NULL;
	node->shards = NULL;
	node->alive = false;
	node->follows = false;
}

/* See the header. */
void
bp_qrig_freeze(bp_qrig_t *rig, uint32_t index, bool frozen)
{
	rig_node_t *node = &rig->nodes[index];

	if (!node->alive)
		return;
	node->frozen = frozen;
	bp_qstore_set_frozen(node->store, frozen);
	bp_qfleet_set_frozen(node->fleet, frozen);
}

/* See the header. */
void
bp_qrig_cut_executors(bp_qrig_t *rig, uint32_t index, bool cut)
{
	if (rig->nodes[index].alive)
		bp_qfleet_set_view_cut(rig->nodes[index].fleet, cut);
}

/* See the header. */
void
bp_qrig_store_mode(bp_qrig_t *rig, uint32_t index, bp_qstore_mode_t mode)
{
	if (rig->nodes[index].alive)
		bp_qstore_set_mode(rig->nodes[index].store, mode);
}

/* See the header. */
void
bp_qrig_store_mode_all(bp_qrig_t *rig, bp_qstore_mode_t mode)
{
	uint32_t i;

	for (i = 0; i < BP_QRIG_NODES; i++)
		bp_qrig_store_mode(rig, i, mode);
}

static bool
owns(const rig_node_t *node)
{
	return node->alive &&
	    bp_owned_shards_by_number(node->shards)[0] != NULL &&
	    bp_shard_ready(bp_owned_shards_by_number(node->shards)[0]);
}

/* Other nodes learn from the answers to their heartbeats that the store does
 * not answer a node's appends. */
static void
probe_appends(bp_qrig_t *rig, const rig_node_t *asking)
{
	const bp_shard_t *shard = asking->alive && !asking->frozen
	    ? bp_owned_shards_by_number(asking->shards)[0]
	    : NULL;
	uint32_t i;

	if (shard == NULL || !bp_shard_store_unanswered(shard))
		return;
	for (i = 0; i < BP_QRIG_NODES; i++) {
		rig_node_t *node = &rig->nodes[i];

		if (node != asking && node->alive && !node->frozen)
			bp_append_probe_start(node->append_probe, 0);
	}
}

/* Nodes send heartbeats to the owner; one that stands still answers in a
 * moment. */
static gboolean
on_heartbeat(gpointer data)
{
	bp_qrig_t *rig = data;
	bool owned = false;
	uint32_t i;

	for (i = 0; i < BP_QRIG_NODES; i++)
		owned = owned || owns(&rig->nodes[i]);
	for (i = 0; i < BP_QRIG_NODES; i++)
		probe_appends(rig, &rig->nodes[i]);
	for (i = 0; owned && i < BP_QRIG_NODES; i++) {
		if (rig->nodes[i].alive)
			bp_membership_owner_answered(
			    rig->nodes[i].membership, 0);
	}
	return G_SOURCE_CONTINUE;
}

static gboolean
on_list(gpointer data)
{
	bp_qrig_t *rig = data;
	uint32_t n;
	uint32_t i;

	for (n = 0; n < BP_QRIG_NODES; n++) {
		rig_node_t *node = &rig->nodes[n];
		bool whole = node->list_whole;

		if (!node->alive || node->frozen || !node->follows)
			continue;
		for (i = 0; i < bp_qfleet_size(rig->fleet); i++) {
			bp_executor_info_t *info =
			    bp_qfleet_info(rig->fleet, i);

			if (bp_qfleet_is_listed(rig->fleet, i))
				bp_owned_shards_update_executor(
				    node->shards, info);
			else
				bp_owned_shards_remove_executor(
				    node->shards, info->id);
			bp_executor_info_free(info);
		}
		node->list_whole = false;
		if (whole)
			bp_owned_shards_executors_listed(node->shards);
	}
	return G_SOURCE_CONTINUE;
}

static caller_t *
find(const bp_qrig_t *rig, const char *id)
{
	return g_hash_table_lookup(rig->by_id, id);
}

static caller_t *
caller_of_task(const bp_qrig_t *rig, const char *task, uint32_t *step)
{
	uint32_t occurrence;
	uint32_t index;
	caller_t *caller;
	char *id = NULL;

	if (!bp_qtask_parse(task, &id, &occurrence, step, &index))
		return NULL;
	caller = find(rig, id);
	g_free(id);
	return caller;
}

static int64_t
rig_now_ms(const bp_qrig_t *rig)
{
	return bp_clock_mono_ms(bp_clock_virtual_clock(rig->clock));
}

static void
note_start(bp_qrig_t *rig, const char *task, uint64_t run)
{
	uint32_t occurrence;
	uint32_t step;
	uint32_t index;
	char *id = NULL;
	const caller_t *caller;

	rig->starts_digest = rig->starts_digest * 31 +
	    bp_hash_text(task, run + (uint64_t)rig_now_ms(rig));
	if (!bp_qtask_parse(task, &id, &occurrence, &step, &index))
		return;
	caller = find(rig, id);
	g_free(id);
	if (caller != NULL && step == 0 && index < caller->tasks &&
	    caller->first_start_ms[index] == 0)
		caller->first_start_ms[index] = rig_now_ms(rig);
}

/* One run in six fails by its own fault. */
static int64_t
world_duration(const char *task, uint64_t run, void *data)
{
	bp_qrig_t *rig = data;
	uint32_t step;
	const caller_t *caller = caller_of_task(rig, task, &step);
	bool fails = bp_hash_text(task, run) % 6 == 0;

	note_start(rig, task, run);
	if (caller != NULL && caller->shape.fails_after_ms > 0)
		return -(int64_t)caller->shape.fails_after_ms;
	if (caller == NULL || caller->lasting)
		return 1000000;
	if (caller->shape.reliable)
		return caller->task_ms;
	return fails ? -caller->task_ms : caller->task_ms;
}

static bool
world_lasts(const char *task, void *data)
{
	uint32_t step;
	const caller_t *caller = caller_of_task(data, task, &step);

	return caller != NULL && caller->lasting;
}

static uint32_t
cpu_of(const caller_t *caller)
{
	return caller->shape.cpu_milli > 0 ? caller->shape.cpu_milli : TASK_CPU;
}

static uint32_t
world_cpu(const char *task, void *data)
{
	uint32_t step;
	const caller_t *caller = caller_of_task(data, task, &step);

	if (caller == NULL)
		return TASK_CPU;
	/* Fillers use what others leave; executors do not count them. */
	return caller->shape.filler ? 0 : cpu_of(caller);
}

typedef struct {
	const bp_qrig_t *rig;
	const char *customer;
	uint32_t sum_milli;
} customer_sum_t;

static void
add_running(const char *task, void *data)
{
	customer_sum_t *sum = data;
	uint32_t step;
	const caller_t *caller = caller_of_task(sum->rig, task, &step);

	if (caller != NULL &&
	    g_strcmp0(caller->shape.customer, sum->customer) == 0)
		sum->sum_milli += cpu_of(caller);
}

/* See the header. */
uint32_t
bp_qrig_customer_milli(bp_qrig_t *rig, const char *customer)
{
	customer_sum_t sum = {rig, customer, 0};

	bp_qfleet_each_running(rig->fleet, add_running, &sum);
	return sum.sum_milli;
}

/* Tells whether a start brings a customer above its cap. */
static bool
exceeds_cap(bp_qrig_t *rig, const caller_t *caller)
{
	uint32_t i;

	for (i = 0; i < rig->n_limits; i++) {
		const limit_t *limit = &rig->limits[i];
		const bp_qrig_customer_t *customer = &limit->customer;
		uint32_t cap = customer->cap_cpu_milli;

		if (g_strcmp0(customer->name, caller->shape.customer) != 0)
			continue;
		if (bp_clock_mono_ms(bp_clock_virtual_clock(rig->clock)) -
			limit->changed_ms <
		    OLD_CAP_MS)
			cap = MAX(cap, limit->old_cap_cpu_milli);
		return cap > 0 &&
		    bp_qrig_customer_milli(rig, customer->name) +
			cpu_of(caller) >
		    cap;
	}
	return false;
}

static const char *
world_forbidden(const char *task, void *data)
{
	bp_qrig_t *rig = data;
	uint32_t step;
	const caller_t *caller = caller_of_task(rig, task, &step);
	uint32_t i;

	if (caller == NULL)
		return "nobody asked for it";
	if (caller->refusals == caller->attempts)
		return "a refused job starts";
	if (exceeds_cap(rig, caller))
		return "starts above the cap of its customer";
	for (i = 0; step == 1 && i < caller->tasks; i++) {
		char *first = g_strdup_printf("%s.0.0.%u", caller->id, i);
		bool done = bp_qfleet_has_done(rig->fleet, first);

		g_free(first);
		if (!done)
			return "starts before the step it depends on has ended";
	}
	return NULL;
}

static void
caller_free(gpointer data)
{
	g_free(((caller_t *)data)->id);
	g_free(((caller_t *)data)->first_start_ms);
	g_free(data);
}

static void
init_node(bp_qrig_t *rig, uint32_t index)
{
	rig_node_t *node = &rig->nodes[index];

	node->rig = rig;
	node->clock.node = node;
	node->clock.clock.mono = node_mono;
	node->clock.clock.wall = node_wall;
	node->clock.clock.add_timer = node_after;
	node->clock.clock.cancel_timer = node_cancel;
	node->timers = g_hash_table_new_full(NULL, NULL, NULL, g_free);
	node->catalog = new_catalog();
	snprintf(node->address, sizeof(node->address), "10.1.0.%u:7000", index);
	if (getenv("RIG_LOG") != NULL)
		rig->loggers[index] = bp_logger_new(
		    &node->clock.clock, node->address, BP_LOG_INFO);
}

static uint32_t
old_cap(const bp_qrig_t *rig, const char *name)
{
	uint32_t i;

	for (i = 0; i < rig->n_limits; i++) {
		if (strcmp(rig->limits[i].customer.name, name) == 0)
			return rig->limits[i].customer.cap_cpu_milli;
	}
	return 0;
}

static void
set_node_customers(rig_node_t *node)
{
	bp_qrig_t *rig = node->rig;
	bp_catalog_t *before = node->catalog;
	uint32_t i;

	node->catalog = new_catalog();
	node->catalog->version = before->version + 1;
	for (i = 0; i < rig->n_limits; i++) {
		bp_customer_t *customer = bp_customer_new();

		customer->name = g_strdup(rig->limits[i].customer.name);
		customer->weight = rig->limits[i].customer.weight;
		customer->cap_cpu_milli = rig->limits[i].customer.cap_cpu_milli;
		g_ptr_array_add(node->catalog->customers, customer);
	}
	if (node->alive)
		bp_owned_shards_set_catalog(node->shards, node->catalog);
	bp_catalog_free(before);
}

/* See the header. */
void
bp_qrig_set_customers(
    bp_qrig_t *rig, const bp_qrig_customer_t *customers, uint32_t n)
{
	limit_t limits[CUSTOMERS_MAX];
	uint32_t i;

	memset(limits, 0, sizeof(limits));
	for (i = 0; i < n; i++) {
		limits[i].customer = customers[i];
		limits[i].old_cap_cpu_milli = old_cap(rig, customers[i].name);
		limits[i].changed_ms =
		    bp_clock_mono_ms(bp_clock_virtual_clock(rig->clock));
	}
	memcpy(rig->limits, limits, sizeof(limits));
	rig->n_limits = n;
	for (i = 0; i < BP_QRIG_NODES; i++)
		set_node_customers(&rig->nodes[i]);
}

static bp_sharding_t *
new_sharding(const bp_qrig_t *rig)
{
	bp_sharding_options_t options = {0};

	options.clock = bp_clock_virtual_clock(rig->clock);
	options.shards = 1;
	return bp_sharding_new(&options);
}

static bp_qrig_t *
new_rig(uint64_t seed, uint32_t executors, bool large_task_planning,
    bool urgent_headroom)
{
	bp_qrig_t *rig = g_new0(bp_qrig_t, 1);
	bp_qfleet_world_t world = {
	    world_duration, world_forbidden, world_cpu, rig};
	uint32_t i;

	rig->large_task_planning = large_task_planning;
	rig->urgent_headroom = urgent_headroom;
	rig->clock = bp_clock_virtual_new(1000000);
	bp_random_init(&rig->random, seed);
	rig->sharding = new_sharding(rig);
	rig->store = bp_qstore_new(rig->clock, &rig->random, 1);
	rig->fleet = bp_qfleet_new(rig->clock, &rig->random, executors, &world);
	bp_qfleet_set_lasts(rig->fleet, world_lasts);
	rig->callers = g_ptr_array_new_with_free_func(caller_free);
	rig->by_id = g_hash_table_new(g_str_hash, g_str_equal);
	rig->zones_out =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	for (i = 0; i < BP_QRIG_NODES; i++) {
		init_node(rig, i);
		bp_qrig_restart(rig, i);
	}
	rig->timer = bp_clock_add_timer(
	    bp_clock_virtual_clock(rig->clock), LIST_PERIOD_MS, on_list, rig);
	rig->heartbeat_timer =
	    bp_clock_add_timer(bp_clock_virtual_clock(rig->clock),
		HEARTBEAT_PERIOD_MS, on_heartbeat, rig);
	return rig;
}

/* Starts all nodes. */
bp_qrig_t *
bp_qrig_new(uint64_t seed, uint32_t executors)
{
	return new_rig(seed, executors, false, false);
}

/* See the header. */
bp_qrig_t *
bp_qrig_new_planning(uint64_t seed, uint32_t executors)
{
	return new_rig(seed, executors, true, false);
}

/* See the header. */
bp_qrig_t *
bp_qrig_new_headroom(uint64_t seed, uint32_t executors)
{
	return new_rig(seed, executors, false, true);
}

/* Stops all nodes. */
void
bp_qrig_free(bp_qrig_t *rig)
{
	uint32_t i;

	for (i = 0; i < BP_QRIG_NODES; i++) {
		bp_qrig_kill(rig, i);
		bp_catalog_free(rig->nodes[i].catalog);
		bp_logger_free(rig->loggers[i]);
	}
	bp_clock_cancel_timer(bp_clock_virtual_clock(rig->clock), &rig->timer);
	bp_clock_cancel_timer(
	    bp_clock_virtual_clock(rig->clock), &rig->heartbeat_timer);
	bp_qfleet_free(rig->fleet);
	bp_qstore_free(rig->store);
	for (i = 0; i < BP_QRIG_NODES; i++)
		g_hash_table_unref(rig->nodes[i].timers);
	g_ptr_array_unref(rig->callers);
	g_hash_table_unref(rig->by_id);
	g_hash_table_unref(rig->zones_out);
	g_free(rig->first_broken);
	bp_sharding_free(rig->sharding);
	bp_clock_virtual_free(rig->clock);
	g_free(rig);
}

/* Returns the store. */
bp_qstore_t *
bp_qrig_store(bp_qrig_t *rig)
{
	return rig->store;
}

/* Returns the executors. */
bp_qfleet_t *
bp_qrig_fleet(bp_qrig_t *rig)
{
	return rig->fleet;
}

/* Returns the generator that all chance comes from. */
bp_random_t *
bp_qrig_random(bp_qrig_t *rig)
{
	return &rig->random;
}

/* Returns the clock. */
bp_clock_virtual_t *
bp_qrig_clock(bp_qrig_t *rig)
{
	return rig->clock;
}

/* Lets time pass. */
void
bp_qrig_run_ms(bp_qrig_t *rig, int64_t duration_ms)
{
	bp_clock_virtual_run_ms(rig->clock, duration_ms);
}

/* See the header. */
int
bp_qrig_owner(const bp_qrig_t *rig)
{
	int i;

	for (i = 0; i < BP_QRIG_NODES; i++) {
		const rig_node_t *node = &rig->nodes[i];

		if (node->alive && !node->frozen &&
		    bp_owned_shards_by_number(node->shards)[0] != NULL &&
		    bp_shard_ready(bp_owned_shards_by_number(node->shards)[0]))
			return i;
	}
	return -1;
}

/* See the header. */
bp_shard_t *
bp_qrig_owner_shard(const bp_qrig_t *rig)
{
	int owner = bp_qrig_owner(rig);

	return owner < 0
	    ? NULL
	    : bp_owned_shards_by_number(rig->nodes[owner].shards)[0];
}

static bp_qrig_told_t
told_of(bp_error_kind_t kind)
{
	switch (kind) {
	case BP_OK:
		return BP_QRIG_ACCEPTED;
	case BP_ELOGDOWN:
	case BP_ESTATE:
	case BP_EINVALID:
	case BP_EREFUSED:
	case BP_EOVERLOAD:
		return BP_QRIG_REFUSED;
	default:
		return BP_QRIG_UNKNOWN;
	}
}

static void
on_submitted(const bp_shard_answer_t *answer, void *data)
{
	caller_t *caller = data;
	bp_qrig_told_t told = told_of(answer->kind);

	caller->refusals += told == BP_QRIG_REFUSED;
	caller->retry_after_ms = answer->retry_after_ms;
	if (caller->told != BP_QRIG_ACCEPTED)
		caller->told = told;
}

static Bp__Work__Step *
new_step(const caller_t *caller, bool second)
{
	Bp__Work__Step *step = malloc(sizeof(*step));

	bp__work__step__init(step);
	step->tasks = caller->tasks;
	step->cpu_milli = cpu_of(caller);
	step->memory_mib =
	    caller->shape.memory_mib > 0 ? caller->shape.memory_mib : 100;
	step->expected_ms = caller->shape.declared_ms > 0
	    ? caller->shape.declared_ms
	    : (uint32_t)caller->task_ms;
	step->checkpoints = caller->shape.checkpoints;
	step->lasting = caller->lasting;
	step->spread_max = caller->shape.spread_max;
	step->accelerators = caller->shape.accelerators;
	step->gang = caller->shape.gang;
	step->filler = caller->shape.filler;
	step->target_ms = caller->shape.target_ms;
	if (caller->shape.label != NULL)
		step->label = strdup(caller->shape.label);
	if (caller->shape.image != NULL)
		step->image = strdup(caller->shape.image);
	if (second) {
		step->after = calloc(1, sizeof(*step->after));
		step->n_after = 1;
	}
	return step;
}

static Bp__Work__Job *
new_job(const bp_qrig_t *rig, const caller_t *caller)
{
	Bp__Work__Job *job = malloc(sizeof(*job));
	const char *service = caller->shape.service;
	size_t steps = caller->lasting || caller->shape.single ? 1 : 2;
	size_t i;

	bp__work__job__init(job);
	job->id = strdup(caller->id);
	job->queue = strdup(service != NULL ? service : QUEUE);
	job->service = strdup(service != NULL ? service : "pool");
	job->payload = strdup("work");
	if (caller->shape.customer != NULL)
		job->customer = strdup(caller->shape.customer);
	job->priority = caller->shape.priority;
	job->attempts = BP_QFLEET_ATTEMPTS;
	job->stretch_permille = 2000;
	job->accepted_ms = bp_clock_wall_ms(bp_clock_virtual_clock(rig->clock));
	if (caller->shape.due_after_ms > 0) {
		job->times = 1;
		job->first_ms = job->accepted_ms + caller->shape.due_after_ms;
	}
	job->steps = calloc(steps, sizeof(Bp__Work__Step *));
	for (i = 0; i < steps; i++)
		job->steps[job->n_steps++] = new_step(caller, i == 1);
	return job;
}

static void
hand_in(bp_qrig_t *rig, caller_t *caller)
{
	bp_shard_t *shard = bp_qrig_owner_shard(rig);

	if (shard == NULL) {
		if (caller->told == BP_QRIG_OPEN)
			caller->told = BP_QRIG_REFUSED;
		return;
	}
	caller->attempts++;
	caller->submitted_ms = rig_now_ms(rig);
	bp_shard_submit(shard, new_job(rig, caller), on_submitted, caller);
}

/* See the header. */
const char *
bp_qrig_prepare(bp_qrig_t *rig, uint32_t tasks, int64_t task_ms, bool lasting)
{
	caller_t *caller = g_new0(caller_t, 1);

	caller->id = g_strdup_printf("%016x", rig->callers->len + 1);
	caller->tasks = tasks;
	caller->first_start_ms = g_new0(int64_t, tasks + 1);
	caller->task_ms = task_ms;
	caller->lasting = lasting;
	caller->shape = rig->shape;
	g_ptr_array_add(rig->callers, caller);
	g_hash_table_insert(rig->by_id, caller->id, caller);
	return caller->id;
}

/* See the header. */
const char *
bp_qrig_submit(bp_qrig_t *rig, uint32_t tasks, int64_t task_ms, bool lasting)
{
	const char *id = bp_qrig_prepare(rig, tasks, task_ms, lasting);

	hand_in(rig, find(rig, id));
	return id;
}

/* See the header. */
void
bp_qrig_set_shape(bp_qrig_t *rig, const bp_qrig_shape_t *shape)
{
	rig->shape = *shape;
}

/* See the header. */
void
bp_qrig_resubmit(bp_qrig_t *rig, const char *id)
{
	hand_in(rig, find(rig, id));
}

static void
on_cancelled(const bp_shard_answer_t *answer, void *data)
{
	caller_t *caller = data;

	if (caller->cancel_told != BP_QRIG_ACCEPTED)
		caller->cancel_told = told_of(answer->kind);
}

static Bp__Work__JobRef
refer(const char *id)
{
	Bp__Work__JobRef ref = BP__WORK__JOB_REF__INIT;

	ref.queue = (char *)QUEUE;
	ref.id = (char *)id;
	return ref;
}

/* See the header. */
void
bp_qrig_cancel(bp_qrig_t *rig, const char *id)
{
	bp_shard_t *shard = bp_qrig_owner_shard(rig);
	caller_t *caller = find(rig, id);
	Bp__Work__JobRef call = refer(id);

	if (shard == NULL)
		caller->cancel_told = BP_QRIG_REFUSED;
	else
		bp_shard_cancel(shard, &call, on_cancelled, caller);
}

/* See the header. */
bp_qrig_told_t
bp_qrig_told(const bp_qrig_t *rig, const char *id)
{
	return find(rig, id)->told;
}

/* See the header. */
uint32_t
bp_qrig_retry_after_ms(const bp_qrig_t *rig, const char *id)
{
	return find(rig, id)->retry_after_ms;
}

/* See the header. */
bp_qrig_told_t
bp_qrig_cancel_told(const bp_qrig_t *rig, const char *id)
{
	return find(rig, id)->cancel_told;
}

/* See the header. */
int
bp_qrig_status(bp_qrig_t *rig, const char *id, Bp__Work__JobState *state)
{
	bp_shard_t *shard = bp_qrig_owner_shard(rig);
	Bp__Work__JobRef call = refer(id);
	bp_shard_answer_t answer;

	if (shard == NULL)
		return BP_ESTATE;
	bp_shard_status(shard, &call, &answer);
	*state = answer.state;
	return answer.kind;
}

/* See the header. */
char *
bp_qrig_why(bp_qrig_t *rig, const char *id)
{
	bp_shard_t *shard = bp_qrig_owner_shard(rig);

	return shard != NULL ? bp_shard_why(shard, id) : NULL;
}

typedef struct {
	const char *name;
	uint64_t value;
} wanted_count_t;

static void
on_count(const char *name, uint64_t value, void *data)
{
	wanted_count_t *wanted = data;

	if (strcmp(wanted->name, name) == 0)
		wanted->value = value;
}

/* See the header. */
uint64_t
bp_qrig_count(bp_qrig_t *rig, const char *name)
{
	const bp_shard_t *shard = bp_qrig_owner_shard(rig);
	wanted_count_t wanted = {name, 0};

	if (shard != NULL)
		bp_shard_counts(shard, on_count, &wanted);
	return wanted.value;
}

/* See the header. */
int64_t
bp_qrig_wait_ms(const bp_qrig_t *rig, const char *id, uint32_t index)
{
	const caller_t *caller = find(rig, id);

	return caller->first_start_ms[index] == 0
	    ? -1
	    : caller->first_start_ms[index] - caller->submitted_ms;
}

/* See the header. */
uint64_t
bp_qrig_starts_digest(const bp_qrig_t *rig)
{
	return rig->starts_digest;
}

/* See the header. */
uint32_t
bp_qrig_unfinished(bp_qrig_t *rig, bool lasting)
{
	uint32_t unfinished = 0;
	guint i;

	for (i = 0; i < rig->callers->len; i++) {
		const caller_t *caller = rig->callers->pdata[i];
		Bp__Work__JobState state = BP__WORK__JOB_STATE__JOB_QUEUED;
		int kind;

		if (caller->lasting != lasting ||
		    caller->told != BP_QRIG_ACCEPTED)
			continue;
		kind = bp_qrig_status(rig, caller->id, &state);
		if (kind == BP_ENOTFOUND)
			report(rig, "an accepted job is not known", caller->id);
		if (kind != BP_OK || state < BP__WORK__JOB_STATE__JOB_COMPLETED)
			unfinished++;
	}
	return unfinished;
}

/* See the header. */
uint32_t
bp_qrig_away(const bp_qrig_t *rig)
{
	uint32_t away = 0;
	guint i;
	uint32_t k;

	for (i = 0; i < rig->callers->len; i++) {
		const caller_t *caller = rig->callers->pdata[i];

		if (!caller->lasting || caller->told != BP_QRIG_ACCEPTED ||
		    caller->cancel_told != BP_QRIG_OPEN)
			continue;
		for (k = 0; k < caller->tasks; k++) {
			char *task =
			    g_strdup_printf("%s.0.0.%u", caller->id, k);

			away += bp_qfleet_running_of(rig->fleet, task) == 0;
			g_free(task);
		}
	}
	return away;
}

/* See the header. */
void
bp_qrig_set_zone(bp_qrig_t *rig, const char *zone, bool out)
{
	uint32_t i;

	if (out)
		g_hash_table_add(rig->zones_out, g_strdup(zone));
	else
		g_hash_table_remove(rig->zones_out, zone);
	for (i = 0; i < BP_QRIG_NODES; i++) {
		if (rig->nodes[i].alive)
			bp_owned_shards_set_zone(
			    rig->nodes[i].shards, zone, out);
	}
}

/* Returns how often a rule was broken, by any party. */
uint32_t
bp_qrig_broken(const bp_qrig_t *rig)
{
	return rig->broken + bp_qfleet_broken(rig->fleet);
}

/* Returns the first broken rule, "" for none. */
const char *
bp_qrig_first_broken(const bp_qrig_t *rig)
{
	const char *fleet = bp_qfleet_first_broken(rig->fleet);

	if (rig->first_broken != NULL)
		return rig->first_broken;
	return fleet != NULL ? fleet : "";
}
