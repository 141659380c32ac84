#include "cluster.h"

#include <math.h>
#include <stdlib.h>

#define URGENT_PER_S 2.0
/* Demand of the teams besides the first, as a share of all units. */
#define DEMAND 1.0
/* The first team has work for this many seconds on all units at once. */
#define BACKLOG_S 100.0
#define JOB_TASKS 8.0
#define JOB_UNITS 2.2
#define JOB_RUN_S 30.0
#define LATE_MS 60000
#define VM_BACK_MS 40000

static const char rules_text[] = "class batch headroom 10%  # ola\n";

static truth_job_t
make_job(world_t *world, bp_task_class_t klass, uint32_t units)
{
	const deployment_t *dep = world->deployment;
	truth_job_t job = {.klass = klass,
	    .n_tasks = 1,
	    .cpu_milli = dep->cpu_milli / UNITS * units,
	    .memory_mib = dep->memory_mib / UNITS * units / 2,
	    .cpu_factor = 1.0,
	    .team = bp_random_below(&world->arrivals, TEAMS)};

	return job;
}

static uint32_t
batch_units(world_t *world)
{
	uint32_t draw = bp_random_below(&world->arrivals, 100);

	if (draw < 2)
		return LARGE_UNITS;
	return draw < 42 ? 1 : draw < 82 ? 2 : 4;
}

static double
factor(world_t *world, double most)
{
	return pow(most, 2 * bp_random_unit(&world->arrivals) - 1);
}

static void
add_batch(world_t *world, cluster_t *cluster, uint32_t team)
{
	uint32_t units = batch_units(world);
	truth_job_t job = make_job(world, BP_CLASS_BATCH, units);

	job.team = team;
	job.kind = bp_random_below(&world->arrivals, BATCH_KINDS);
	job.n_tasks = 1 + bp_random_below(&world->arrivals, 15);
	job.run_ms = 10000 + bp_random_below(&world->arrivals, 40000);
	job.declared_ms = job.run_ms;
	if (world->condition == COND_WRONG) {
		job.declared_ms =
		    (int64_t)((double)job.run_ms * factor(world, 4.0));
		job.cpu_factor = factor(world, 2.0);
	}
	if (world->condition == COND_NEVER &&
	    bp_random_below(&world->arrivals, 5) == 0)
		job.cpu_milli = world->deployment->cpu_milli + 1000;
	cluster_submit(cluster, world_add_job(world, &job));
}

static void
add_urgent(world_t *world, cluster_t *cluster)
{
	truth_job_t job = make_job(world, BP_CLASS_URGENT, 1);

	job.run_ms = 2000 + bp_random_below(&world->arrivals, 2000);
	job.declared_ms = job.run_ms;
	cluster_submit(cluster, world_add_job(world, &job));
}

static double
jobs_per_s(const world_t *world)
{
	return world->deployment->vms * (double)UNITS /
	    (JOB_TASKS * JOB_UNITS * JOB_RUN_S);
}

/* Publishes the rules and submits the services and the first backlog. */
void
workload_start(world_t *world, cluster_t *cluster)
{
	uint32_t backlog = (uint32_t)(jobs_per_s(world) * BACKLOG_S);
	uint32_t i;

	cluster_rules(cluster, rules_text);
	for (i = 0; i < SERVICE_KINDS; i++) {
		truth_job_t job = make_job(world, BP_CLASS_SERVICE, 1);

		job.kind = i;
		job.n_tasks = world->deployment->vms / 4;
		cluster_submit(cluster, world_add_job(world, &job));
	}
	for (i = 0; i < backlog; i++)
		add_batch(world, cluster, 0);
}

static bool
happens(world_t *world, double per_s)
{
	return bp_random_unit(&world->arrivals) < per_s * TICK_MS / 1000;
}

static void
shift_load(world_t *world)
{
	bool high = world->now_ms >= LATE_MS && world->now_ms < 2 * LATE_MS;
	uint32_t i;

	for (i = 0; i < SERVICE_KINDS; i += 2)
		world->load[i] = high ? 0.75 : 0.3;
}

static void
fail(world_t *world, cluster_t *cluster)
{
	uint32_t per_rack = world->deployment->vms_per_rack;
	uint32_t i;

	if (world->now_ms == LATE_MS) {
		for (i = 3; i < 24; i += 8)
			world_kill_vm(world, i);
	}
	if (world->now_ms == LATE_MS * 3 / 2)
		cluster_kill_node(cluster, 1);
	if (world->now_ms == LATE_MS * 2) {
		for (i = 0; i < per_rack; i++)
			world_kill_vm(world, 2 * per_rack + i);
	}
	for (i = 0; i < world->deployment->vms; i++) {
		truth_vm_t *vm = &world->vms[i];

		if (!vm->alive && world->now_ms - vm->down_ms >= VM_BACK_MS) {
			vm->alive = true;
			vm->next_report_ms = world->now_ms + REPORT_MS;
		}
	}
}

static void
cancel_burst(world_t *world, cluster_t *cluster)
{
	uint32_t i;

	if (world->now_ms != LATE_MS * 3 / 2)
		return;
	for (i = 0; i < world->jobs->len; i++) {
		truth_job_t *job = &g_array_index(world->jobs, truth_job_t, i);

		if (job->klass == BP_CLASS_BATCH && job->team == 0 &&
		    job->done_ms < 0) {
			job->cancelled = true;
			cluster_cancel(cluster, i);
		}
	}
}

static void
make_events(world_t *world, cluster_t *cluster)
{
	switch (world->condition) {
	case COND_SHIFT:
		shift_load(world);
		break;
	case COND_FAIL:
		fail(world, cluster);
		break;
	case COND_BAD_WORKER:
		world->vms[5].bad = world->now_ms >= LATE_MS / 2;
		world->vms[17].bad = world->now_ms >= LATE_MS / 2;
		break;
	case COND_CANCEL:
		cancel_burst(world, cluster);
		break;
	case COND_ZONE:
		if (world->now_ms == ZONE_OUT_MS)
			cluster_zone(cluster, true);
		if (world->now_ms == ZONE_IN_MS)
			cluster_zone(cluster, false);
		break;
	case COND_LOG_DOWN:
		world->log_down =
		    world->now_ms >= LOG_DOWN_MS && world->now_ms < LOG_UP_MS;
		break;
	default:
		break;
	}
}

/* See the header. While the log is down nothing is accepted. */
void
workload_step(world_t *world, cluster_t *cluster)
{
	double rate = jobs_per_s(world) * DEMAND;

	make_events(world, cluster);
	if (world->log_down)
		return;
	if (happens(world, rate))
		add_batch(world, cluster,
		    1 + bp_random_below(&world->arrivals, TEAMS - 1));
	if (happens(world, URGENT_PER_S))
		add_urgent(world, cluster);
}

/* The node through which clients and operators work; it never dies. */
static node_t *
entry_node(cluster_t *cluster)
{
	return &cluster->nodes[0];
}

/* Writes the submission of a job. */
void
cluster_submit(cluster_t *cluster, uint32_t job)
{
	const truth_job_t *truth =
	    &g_array_index(cluster->world->jobs, truth_job_t, job);
	Bp__Log__Entry entry = BP__LOG__ENTRY__INIT;
	Bp__Log__JobSubmit body = BP__LOG__JOB_SUBMIT__INIT;
	Bp__Log__JobSpec spec = BP__LOG__JOB_SPEC__INIT;
	char id[8];
	char team[8];

	g_snprintf(id, sizeof(id), "j%05u", job);
	g_snprintf(team, sizeof(team), "team-%u", truth->team);
	spec.id = id;
	spec.team = team;
	spec.name = truth->klass == BP_CLASS_URGENT
	    ? "urgent"
	    : (char *)kind_name(truth->klass == BP_CLASS_SERVICE, truth->kind);
	spec.klass = (Bp__Log__TaskClass)truth->klass;
	spec.tasks = truth->n_tasks;
	spec.cpu_milli = truth->cpu_milli;
	spec.memory_mib = truth->memory_mib;
	spec.run_ms = (uint64_t)truth->declared_ms;
	body.spec = &spec;
	entry.body_case = BP__LOG__ENTRY__BODY_JOB_SUBMIT;
	entry.job_submit = &body;
	node_add(entry_node(cluster), &entry);
}

/* Writes the cancellation of a job. */
void
cluster_cancel(cluster_t *cluster, uint32_t job)
{
	Bp__Log__Entry entry = BP__LOG__ENTRY__INIT;
	Bp__Log__JobCancel body = BP__LOG__JOB_CANCEL__INIT;
	char id[8];

	g_snprintf(id, sizeof(id), "j%05u", job);
	body.job = id;
	body.by = "ola";
	entry.body_case = BP__LOG__ENTRY__BODY_JOB_CANCEL;
	entry.job_cancel = &body;
	node_add(entry_node(cluster), &entry);
}

/* Takes zone z0 out of service or back in. */
void
cluster_zone(cluster_t *cluster, bool out)
{
	Bp__Log__Entry entry = BP__LOG__ENTRY__INIT;
	Bp__Log__ZoneChange body = BP__LOG__ZONE_CHANGE__INIT;
	const bp_zone_t *zone = bp_state_zone(cluster->nodes[0].state, "z0");

	body.zone = "z0";
	body.out = out;
	body.base_version = zone->version;
	body.author = "ola";
	body.reason = "bench";
	entry.body_case = BP__LOG__ENTRY__BODY_ZONE_CHANGE;
	entry.zone_change = &body;
	node_add(entry_node(cluster), &entry);
	cluster->world->zone_out_ms = out ? cluster->world->now_ms : -1;
}

/* Publishes the first rule file. */
void
cluster_rules(cluster_t *cluster, const char *text)
{
	Bp__Log__Entry entry = BP__LOG__ENTRY__INIT;
	Bp__Log__RulesPublish body = BP__LOG__RULES_PUBLISH__INIT;

	body.text = (char *)text;
	body.author = "ola";
	entry.body_case = BP__LOG__ENTRY__BODY_RULES_PUBLISH;
	entry.rules_publish = &body;
	node_add(entry_node(cluster), &entry);
}

/* One run: same seed, same workload for all policies. */
void
run_once(const deployment_t *deployment, condition_t condition, policy_t policy,
    uint64_t seed, result_t *result)
{
	cluster_t *cluster;
	world_t world;

	world_init(&world, deployment, condition, seed);
	cluster = cluster_new(&world, policy, seed);
	workload_start(&world, cluster);
	while (world.now_ms < RUN_MS) {
		world_advance(&world);
		workload_step(&world, cluster);
		cluster_step(cluster);
	}
	world_measure(&world, result);
	cluster_free(cluster);
	world_clear(&world);
}
