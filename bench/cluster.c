#include "cluster.h"

#include <stdlib.h>
#include <string.h>

#define LAG_MIN_MS 60
#define LAG_SPREAD_MS 80
#define WAIT_BOUND_MS 60000
#define ROUND_TASKS 64
/* Planning in every second tick halves the time of the bench. */
#define PLAN_TICKS 2

/* Adds one entry to the record that the node is collecting. */
void
node_add(node_t *node, Bp__Log__Entry *entry)
{
	Bp__Log__Record record = BP__LOG__RECORD__INIT;
	size_t size;

	/* Concatenated messages merge, so entries can be packed singly. */
	record.n_entries = 1;
	record.entries = &entry;
	size = bp__log__record__get_packed_size(&record);
	g_byte_array_set_size(node->body, node->body->len + (guint)size);
	bp__log__record__pack(
	    &record, node->body->data + node->body->len - size);
}

static void
flush(cluster_t *cluster, node_t *node)
{
	Bp__Log__Record record = BP__LOG__RECORD__INIT;
	stored_t stored = {cluster->world->now_ms, NULL};
	size_t size;
	uint8_t *bytes;

	if (node->body->len == 0)
		return;
	record.version = BP_RECORD_VERSION;
	record.node = node->name;
	record.incarnation = node->incarnation;
	record.seq = ++node->seq;
	record.time_ms = (uint64_t)(TIME_BASE_MS + cluster->world->now_ms);
	size = bp__log__record__get_packed_size(&record);
	bytes = g_malloc(size + node->body->len);
	bp__log__record__pack(&record, bytes);
	memcpy(bytes + size, node->body->data, node->body->len);
	stored.bytes = g_bytes_new_take(bytes, size + node->body->len);
	g_byte_array_set_size(node->body, 0);
	g_array_append_val(cluster->log, stored);
}

static void
on_assign(node_t *node, const bp_applied_t *applied)
{
	const Bp__Log__Assign *assign = applied->entry->assign;
	world_t *world = node->cluster->world;
	uint32_t i;

	world->entries++;
	if (applied->kind != BP_OK) {
		world->lost++;
		bp_placement_assignment_rejected(
		    node->placement, assign->job, assign->first_task);
		return;
	}
	for (i = 0; i < assign->count && node->alive; i++)
		world_start(world, index_of(assign->vm), index_of(assign->job),
		    assign->first_task + i, assign->attempt);
}

/* An end that was written at an old epoch must be written again. */
static void
on_end(node_t *node, const bp_applied_t *applied)
{
	const Bp__Log__TaskEnd *end = applied->entry->task_end;
	const bp_job_t *job = bp_state_job(node->state, end->job);
	const bp_task_t *task = &job->tasks[end->task];
	ended_t again = {
	    index_of(end->job), end->task, end->attempt, end->outcome};

	if (applied->kind == BP_OK || task->state != BP_TASK_ASSIGNED ||
	    task->attempt != end->attempt)
		return;
	g_array_append_val(
	    node->cluster->world->vms[index_of(task->vm->name)].ended, again);
}

static void
on_applied(const bp_applied_t *applied, void *data)
{
	node_t *node = data;

	if (applied->incarnation != node->incarnation)
		return;
	if (applied->entry->body_case == BP__LOG__ENTRY__BODY_ASSIGN)
		on_assign(node, applied);
	if (applied->entry->body_case == BP__LOG__ENTRY__BODY_TASK_END)
		on_end(node, applied);
}

static void
read_log(cluster_t *cluster, node_t *node)
{
	while (node->applied < cluster->log->len) {
		const stored_t *stored =
		    &g_array_index(cluster->log, stored_t, node->applied);
		gsize size;
		const uint8_t *bytes = g_bytes_get_data(stored->bytes, &size);

		if (stored->at_ms + node->lag_ms > cluster->world->now_ms)
			return;
		bp_state_apply(node->state, node->applied, bytes, size, NULL);
		node->applied++;
	}
}

static bool
reachable(const bp_vm_t *vm, void *data)
{
	const world_t *world = ((node_t *)data)->cluster->world;
	const truth_vm_t *truth = &world->vms[index_of(vm->name)];

	return truth->alive || world->now_ms - truth->down_ms < 3000;
}

static double
learned_effect(node_t *node, const bp_job_t *batch, const bp_job_t *service)
{
	return bp_interference_lower_bound(
	    node->interference, batch->name, service->name);
}

static double
true_effect(node_t *node, const bp_job_t *batch, const bp_job_t *service)
{
	const world_t *world = node->cluster->world;
	const truth_job_t *b =
	    &g_array_index(world->jobs, truth_job_t, index_of(batch->id));
	const truth_job_t *s =
	    &g_array_index(world->jobs, truth_job_t, index_of(service->id));
	double burst =
	    world->condition == COND_BURST && b->kind == NOISY_KIND ? 0.3 : 0;

	return world->effect[b->kind][s->kind] + burst;
}

static double
penalty(const bp_job_t *job, const bp_vm_t *vm, void *data)
{
	node_t *node = data;
	bool perfect = node->cluster->policy == POLICY_PERFECT;
	double sum = 0;
	guint i;

	if (job->klass == BP_CLASS_URGENT)
		return 0;
	for (i = 0; i < vm->tasks->len; i++) {
		const bp_job_t *other =
		    g_array_index(vm->tasks, bp_task_ref_t, i).job;
		const bp_job_t *batch =
		    job->klass == BP_CLASS_BATCH ? job : other;
		const bp_job_t *service =
		    job->klass == BP_CLASS_BATCH ? other : job;

		if (batch->klass != BP_CLASS_BATCH ||
		    service->klass != BP_CLASS_SERVICE)
			continue;
		sum += perfect ? true_effect(node, batch, service)
			       : learned_effect(node, batch, service);
	}
	return sum;
}

static uint64_t
true_run_ms(const bp_job_t *job, void *data)
{
	const world_t *world = ((node_t *)data)->cluster->world;

	return (uint64_t)g_array_index(
	    world->jobs, truth_job_t, index_of(job->id))
	    .run_ms;
}

static double
first_fit(const bp_job_t *job, const bp_vm_t *vm, double load, void *data)
{
	(void)job;
	(void)load;
	(void)data;
	return index_of(vm->name);
}

static double
random_choice(const bp_job_t *job, const bp_vm_t *vm, double load, void *data)
{
	(void)job;
	(void)vm;
	(void)load;
	return bp_random_unit(&((node_t *)data)->random);
}

static double
least_loaded(const bp_job_t *job, const bp_vm_t *vm, double load, void *data)
{
	(void)job;
	(void)vm;
	(void)data;
	return load;
}

static bool
is_simple(policy_t policy)
{
	return policy == POLICY_FIRST_FIT || policy == POLICY_RANDOM ||
	    policy == POLICY_LEAST_LOADED;
}

static void
set_policy(node_t *node, policy_t policy, bp_placement_options_t *options)
{
	bp_placement_options_init(options);
	options->queue.wait_bound_ms = WAIT_BOUND_MS;
	options->reachable = reachable;
	options->data = node;
	options->queue.data = node;
	node->guard = policy == POLICY_FULL || policy == POLICY_SLOPE ||
	    policy == POLICY_FIFO;
	node->quarantine = !is_simple(policy);
	if (node->guard || policy == POLICY_PERFECT)
		options->penalty = penalty;
	if (policy == POLICY_FIRST_FIT)
		options->score = first_fit;
	if (policy == POLICY_RANDOM)
		options->score = random_choice;
	if (policy == POLICY_LEAST_LOADED)
		options->score = least_loaded;
	if (policy == POLICY_FIFO)
		options->queue.order = BP_ORDER_GLOBAL_FIFO;
	if (policy == POLICY_SLOPE || policy == POLICY_PERFECT)
		options->queue.order = BP_ORDER_WEIGHT_OVER_COST;
	if (policy == POLICY_PERFECT)
		options->queue.expected_run_ms = true_run_ms;
}

static void
init_node(cluster_t *cluster, uint32_t i, bp_random_t *random)
{
	node_t *node = &cluster->nodes[i];
	bp_placement_options_t placement;
	bp_interference_options_t learning;
	bp_eviction_options_t eviction;

	g_snprintf(node->name, sizeof(node->name), "n%u", i);
	node->cluster = cluster;
	node->incarnation = 100 + i;
	node->alive = true;
	bp_random_init(&node->random, bp_random_next(random));
	node->lag_ms = LAG_MIN_MS + bp_random_below(random, LAG_SPREAD_MS);
	if (cluster->policy == POLICY_PERFECT)
		node->lag_ms = 0;
	node->state = bp_state_new();
	node->body = g_byte_array_new();
	node->lost =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	bp_state_observe(node->state, on_applied, node);
	set_policy(node, cluster->policy, &placement);
	bp_placement_new(&node->placement, &placement, NULL);
	bp_interference_options_init(&learning);
	node->interference = bp_interference_new(&learning);
	bp_eviction_options_init(&eviction);
	node->eviction = bp_eviction_new(&eviction);
}

static void
claim_racks(cluster_t *cluster)
{
	const world_t *world = cluster->world;
	uint32_t per_rack = world->deployment->vms_per_rack;
	uint32_t i;

	for (i = 0; i < world->deployment->vms; i += per_rack)
		node_claim(
		    &cluster->nodes[i / per_rack % world->deployment->nodes],
		    world->vms[i].rack, 0);
}

static void
add_vms(cluster_t *cluster)
{
	const world_t *world = cluster->world;
	uint32_t per_rack = world->deployment->vms_per_rack;
	uint32_t i;

	for (i = 0; i < world->deployment->vms; i++)
		node_upsert(
		    &cluster->nodes[i / per_rack % world->deployment->nodes],
		    &world->vms[i], world->deployment);
}

static void
settle(cluster_t *cluster)
{
	uint32_t i;

	for (i = 0; i < cluster->world->deployment->nodes; i++)
		flush(cluster, &cluster->nodes[i]);
	for (i = 0; i < cluster->world->deployment->nodes; i++) {
		int64_t lag_ms = cluster->nodes[i].lag_ms;

		cluster->nodes[i].lag_ms = 0;
		read_log(cluster, &cluster->nodes[i]);
		cluster->nodes[i].lag_ms = lag_ms;
	}
}

/* Creates the nodes, each with its own late copy of the state. */
cluster_t *
cluster_new(world_t *world, policy_t policy, uint64_t seed)
{
	cluster_t *cluster = g_new0(cluster_t, 1);
	bp_random_t random;
	uint32_t i;

	cluster->world = world;
	cluster->policy = policy;
	cluster->log = g_array_new(FALSE, FALSE, sizeof(stored_t));
	cluster->nodes = g_new0(node_t, world->deployment->nodes);
	bp_random_init(&random, seed);
	for (i = 0; i < world->deployment->nodes; i++)
		init_node(cluster, i, &random);
	claim_racks(cluster);
	settle(cluster);
	add_vms(cluster);
	settle(cluster);
	return cluster;
}

/* Frees the nodes. */
void
cluster_free(cluster_t *cluster)
{
	uint32_t i;

	for (i = 0; i < cluster->log->len; i++)
		g_bytes_unref(g_array_index(cluster->log, stored_t, i).bytes);
	for (i = 0; i < cluster->world->deployment->nodes; i++) {
		node_t *node = &cluster->nodes[i];

		bp_placement_free(node->placement);
		bp_eviction_free(node->eviction);
		bp_interference_free(node->interference);
		bp_state_free(node->state);
		g_byte_array_unref(node->body);
		g_hash_table_unref(node->lost);
	}
	g_array_unref(cluster->log);
	g_free(cluster->nodes);
	g_free(cluster);
}

static void
plan(cluster_t *cluster, node_t *node)
{
	GArray *out = g_array_new(FALSE, FALSE, sizeof(bp_assignment_t));
	guint i;

	bp_placement_plan(out, node->placement, node->state, node->name,
	    node->incarnation, ROUND_TASKS, cluster->world->now_ms, NULL);
	for (i = 0; i < out->len; i++)
		node_assign(node, &g_array_index(out, bp_assignment_t, i));
	g_array_unref(out);
}

/* One tick of all live nodes; the order of their records rotates. */
void
cluster_step(cluster_t *cluster)
{
	uint32_t n = cluster->world->deployment->nodes;
	uint32_t i;

	for (i = 0; i < n; i++) {
		uint32_t index = (i + cluster->turn) % n;
		node_t *node = &cluster->nodes[index];

		if (!node->alive)
			continue;
		if (!cluster->world->log_down)
			read_log(cluster, node);
		node_protect(node);
		if (cluster->world->log_down)
			continue;
		node_take_over(node);
		if ((cluster->turn + index) % PLAN_TICKS == 0)
			plan(cluster, node);
		flush(cluster, node);
	}
	cluster->turn++;
}

/* Stops a node for good; the others take its racks after 3 s. */
void
cluster_kill_node(cluster_t *cluster, uint32_t node)
{
	cluster->nodes[node].alive = false;
	cluster->nodes[node].dead_ms = cluster->world->now_ms;
}
