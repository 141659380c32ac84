#include "decisions.h"

#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define BURST_EVERY_MS 30000
#define BURST_MS 10000
#define CHECKPOINT_MS 2000
#define LOAD_BASE 0.3
#define LOAD_EFFECT 0.15
#define CONTENTION_EFFECT 2.0
#define BAD_START_MS 1000
/* Marks a task that counted as done, whatever runs again after a loss. */
#define COUNTED (-1e15)

static const char *const service_names[SERVICE_KINDS] = {
    "svc-0", "svc-1", "svc-2", "svc-3", "svc-4", "svc-5", "svc-6", "svc-7"};
static const char *const batch_names[BATCH_KINDS] = {"mix-0", "mix-1", "mix-2",
    "mix-3", "mix-4", "mix-5", "mix-6", "mix-7", "mix-8", "mix-9"};

/* Returns the number in the id of a job or the name of a VM. */
uint32_t
index_of(const char *id)
{
	return (uint32_t)strtoul(id + 1, NULL, 10);
}

/* Returns the job name of a kind. */
const char *
kind_name(bool service, uint32_t kind)
{
	return service ? service_names[kind] : batch_names[kind];
}

/* Frees one report. */
void
report_free(void *report)
{
	report_t *one = report;

	g_free(one->victims);
	g_free(one->suspects);
	g_free(one->jobs);
	g_free(one);
}

static void
init_vm(world_t *world, uint32_t i)
{
	const deployment_t *dep = world->deployment;
	truth_vm_t *vm = &world->vms[i];
	uint32_t rack = i / dep->vms_per_rack;

	vm->zone = rack % dep->zones;
	g_snprintf(vm->name, sizeof(vm->name), "v%04u", i);
	g_snprintf(vm->rack, sizeof(vm->rack), "z%u/r%02u", vm->zone, rack);
	vm->alive = true;
	vm->runs = g_array_new(FALSE, FALSE, sizeof(run_t));
	vm->ended = g_array_new(FALSE, FALSE, sizeof(ended_t));
	vm->reports = g_ptr_array_new_with_free_func(report_free);
	vm->next_report_ms = bp_random_below(&world->random, REPORT_MS);
}

/* Three pairs of ten times eight kinds disturb each other. */
static void
init_effects(world_t *world)
{
	uint32_t i;

	for (i = 0; i < SERVICE_KINDS; i++)
		world->load[i] = LOAD_BASE;
	if (world->condition != COND_PAIRS)
		return;
	for (i = 0; i < 3; i++)
		world->effect[1 +
		    bp_random_below(&world->random, BATCH_KINDS - 1)]
			     [bp_random_below(&world->random, SERVICE_KINDS)] =
		    1.0 + bp_random_unit(&world->random);
}

/* Sets up idle VMs. */
void
world_init(world_t *world, const deployment_t *deployment,
    condition_t condition, uint64_t seed)
{
	uint32_t i;

	memset(world, 0, sizeof(*world));
	world->deployment = deployment;
	world->condition = condition;
	bp_random_init(&world->random, seed);
	bp_random_init(&world->arrivals, bp_hash_mix(seed));
	world->vms = g_new0(truth_vm_t, deployment->vms);
	for (i = 0; i < deployment->vms; i++)
		init_vm(world, i);
	world->jobs = g_array_new(FALSE, TRUE, sizeof(truth_job_t));
	world->slowdowns = g_array_new(FALSE, FALSE, sizeof(double));
	world->zone_out_ms = -1;
	init_effects(world);
}

/* Frees everything. */
void
world_clear(world_t *world)
{
	uint32_t i;

	for (i = 0; i < world->deployment->vms; i++) {
		g_array_unref(world->vms[i].runs);
		g_array_unref(world->vms[i].ended);
		g_ptr_array_unref(world->vms[i].reports);
	}
	for (i = 0; i < world->jobs->len; i++) {
		truth_job_t *job = &g_array_index(world->jobs, truth_job_t, i);

		g_free(job->left_ms);
		g_free(job->first_start_ms);
		g_free(job->running);
	}
	g_free(world->vms);
	g_array_unref(world->jobs);
	g_array_unref(world->slowdowns);
}

/* Adds a job and returns its index, from which its id is made. */
uint32_t
world_add_job(world_t *world, const truth_job_t *job)
{
	truth_job_t copy = *job;
	uint32_t i;

	copy.submit_ms = world->now_ms;
	copy.done_ms = -1;
	copy.left_ms = g_new(double, job->n_tasks);
	copy.first_start_ms = g_new(int64_t, job->n_tasks);
	copy.running = g_new0(uint8_t, job->n_tasks);
	for (i = 0; i < job->n_tasks; i++) {
		copy.left_ms[i] = (double)job->run_ms;
		copy.first_start_ms[i] = -1;
	}
	g_array_append_val(world->jobs, copy);
	return world->jobs->len - 1;
}

static truth_job_t *
job_at(const world_t *world, uint32_t job)
{
	return &g_array_index(world->jobs, truth_job_t, job);
}

static void
remove_run(
    world_t *world, truth_vm_t *vm, guint index, Bp__Log__TaskOutcome outcome)
{
	run_t run = g_array_index(vm->runs, run_t, index);
	truth_job_t *job = job_at(world, run.job);
	ended_t ended = {run.job, run.task, run.attempt, outcome};

	g_array_remove_index_fast(vm->runs, index);
	vm->used_cpu -= job->cpu_milli;
	vm->used_memory -= job->memory_mib;
	job->running[run.task] = 0;
	if (outcome != BP__LOG__TASK_OUTCOME__OUTCOME_LOST)
		g_array_append_val(vm->ended, ended);
	if (outcome == BP__LOG__TASK_OUTCOME__OUTCOME_LOST)
		job->left_ms[run.task] = (double)job->run_ms;
	if (outcome != BP__LOG__TASK_OUTCOME__OUTCOME_SUCCEEDED ||
	    job->left_ms[run.task] <= COUNTED)
		return;
	job->left_ms[run.task] = COUNTED;
	job->n_done++;
	if (job->n_done == job->n_tasks)
		job->done_ms = world->now_ms;
}

static void
note_start(
    world_t *world, const truth_vm_t *vm, truth_job_t *job, uint32_t task)
{
	if (job->running[task] != 0)
		world->twice++;
	if (vm->used_cpu > world->deployment->cpu_milli ||
	    vm->used_memory > world->deployment->memory_mib)
		world->overcommit++;
	if (job->first_start_ms[task] < 0)
		job->first_start_ms[task] = world->now_ms;
	if (vm->zone == 0 && world->zone_out_ms >= 0)
		world->zone_late_ms = MAX(
		    world->zone_late_ms, world->now_ms - world->zone_out_ms);
}

/* Starts a task; a VM that is down or bad does not run it. */
void
world_start(world_t *world, uint32_t vm_index, uint32_t job_index,
    uint32_t task, uint32_t attempt)
{
	truth_vm_t *vm = &world->vms[vm_index];
	truth_job_t *job = job_at(world, job_index);
	run_t run = {job_index, task, attempt, 1.0, -1};

	if (!vm->alive)
		return;
	vm->used_cpu += job->cpu_milli;
	vm->used_memory += job->memory_mib;
	note_start(world, vm, job, task);
	job->running[task] = 1;
	if (vm->bad)
		run.stop_ms = world->now_ms + BAD_START_MS;
	g_array_append_val(vm->runs, run);
}

/* Carries out an act of the eviction on a task. */
void
world_act(world_t *world, uint32_t vm_index, const bp_mitigation_t *act)
{
	truth_vm_t *vm = &world->vms[vm_index];
	uint32_t job = index_of(act->job);
	guint i;

	for (i = 0; i < vm->runs->len; i++) {
		run_t *run = &g_array_index(vm->runs, run_t, i);

		if (run->job != job || run->task != act->task ||
		    run->attempt != act->attempt)
			continue;
		if (act->kind == BP_MITIGATION_THROTTLE)
			run->speed = act->throttle_permille / 1000.0;
		else if (run->stop_ms < 0)
			run->stop_ms = world->now_ms + CHECKPOINT_MS;
	}
}

/* Ends all tasks of a VM without a report. */
void
world_kill_vm(world_t *world, uint32_t vm_index)
{
	truth_vm_t *vm = &world->vms[vm_index];

	vm->alive = false;
	vm->down_ms = world->now_ms;
	while (vm->runs->len > 0)
		remove_run(world, vm, 0, BP__LOG__TASK_OUTCOME__OUTCOME_LOST);
	g_array_set_size(vm->ended, 0);
	g_ptr_array_set_size(vm->reports, 0);
}

static double
contention(const world_t *world, const truth_vm_t *vm)
{
	double used = 0;
	guint i;

	for (i = 0; i < vm->runs->len; i++) {
		const run_t *run = &g_array_index(vm->runs, run_t, i);
		const truth_job_t *job = job_at(world, run->job);

		used += job->cpu_milli * job->cpu_factor * run->speed;
	}
	return MAX(used / world->deployment->cpu_milli, 1.0);
}

static double
disturbance(const world_t *world, const truth_vm_t *vm, uint32_t service)
{
	bool burst = world->condition == COND_BURST &&
	    world->now_ms % BURST_EVERY_MS < BURST_MS;
	double sum = 0;
	guint i;

	for (i = 0; i < vm->runs->len; i++) {
		const run_t *run = &g_array_index(vm->runs, run_t, i);
		const truth_job_t *job = job_at(world, run->job);

		if (job->klass != BP_CLASS_BATCH)
			continue;
		sum += run->speed * world->effect[job->kind][service];
		if (burst && job->kind == NOISY_KIND)
			sum += run->speed;
	}
	return sum;
}

static double
slowdown(world_t *world, const truth_vm_t *vm, uint32_t service)
{
	double load = world->load[service];
	double noise = 0.1 * (bp_random_unit(&world->random) - 0.5);

	return 1.0 + LOAD_EFFECT * load / (1.0 - load) + noise +
	    disturbance(world, vm, service) +
	    CONTENTION_EFFECT * (contention(world, vm) - 1.0);
}

/* A team's share counts what its tasks of all classes hold. */
static void
count_work(world_t *world, const truth_job_t *job, double done_ms)
{
	double done = done_ms * job->cpu_milli / 1e6;

	if (world->now_ms < WARM_MS)
		return;
	world->team_work[job->team] += TICK_MS * job->cpu_milli / 1e6;
	if (job->klass != BP_CLASS_BATCH)
		return;
	world->work += done;
	if (world->now_ms >= ZONE_OUT_MS && world->now_ms < ZONE_WINDOW_END_MS)
		world->zone_work += done;
}

static void
advance_run(world_t *world, truth_vm_t *vm, guint i, double share)
{
	run_t *run = &g_array_index(vm->runs, run_t, i);
	truth_job_t *job = job_at(world, run->job);
	double done_ms = TICK_MS * run->speed * share;

	if (run->stop_ms >= 0 && world->now_ms >= run->stop_ms) {
		if (vm->bad) {
			remove_run(world, vm, i,
			    BP__LOG__TASK_OUTCOME__OUTCOME_FAILED);
			return;
		}
		if (job->klass == BP_CLASS_BATCH)
			world->evictions++;
		remove_run(
		    world, vm, i, BP__LOG__TASK_OUTCOME__OUTCOME_EVICTED);
		return;
	}
	count_work(world, job, vm->bad ? 0 : done_ms);
	if (job->klass == BP_CLASS_SERVICE || vm->bad)
		return;
	job->left_ms[run->task] -= done_ms;
	if (job->left_ms[run->task] <= 0)
		remove_run(
		    world, vm, i, BP__LOG__TASK_OUTCOME__OUTCOME_SUCCEEDED);
}

static void
sample(world_t *world, const truth_vm_t *vm)
{
	guint i;

	for (i = 0; i < vm->runs->len; i++) {
		const truth_job_t *job =
		    job_at(world, g_array_index(vm->runs, run_t, i).job);
		double value;

		if (job->klass != BP_CLASS_SERVICE)
			continue;
		value = slowdown(world, vm, job->kind);
		g_array_append_val(world->slowdowns, value);
	}
}

static void
add_to_report(
    world_t *world, const truth_vm_t *vm, report_t *report, const run_t *run)
{
	const truth_job_t *job = job_at(world, run->job);
	bp_service_sample_t *victim = &report->victims[report->body.n_services];
	bp_batch_sample_t *suspect =
	    &report->suspects[report->body.n_batch_tasks];
	char *id = report->jobs[report->body.n_batch_tasks];

	if (job->klass == BP_CLASS_SERVICE) {
		victim->service = kind_name(true, job->kind);
		victim->slowdown = slowdown(world, vm, job->kind);
		victim->load = world->load[job->kind];
		report->body.n_services++;
	} else if (job->klass == BP_CLASS_BATCH) {
		g_snprintf(id, sizeof(report->jobs[0]), "j%05u", run->job);
		suspect->job = id;
		suspect->kind = kind_name(false, job->kind);
		suspect->task = run->task;
		suspect->attempt = run->attempt;
		report->body.n_batch_tasks++;
	}
}

static void
make_report(world_t *world, truth_vm_t *vm)
{
	report_t *report = g_new0(report_t, 1);
	guint n = MAX(vm->runs->len, 1);
	guint i;

	report->victims = g_new0(bp_service_sample_t, n + 1);
	report->suspects = g_new0(bp_batch_sample_t, n + 1);
	report->jobs = g_malloc0((n + 1) * sizeof(report->jobs[0]));
	report->body.vm = vm->name;
	report->body.at_ms = world->now_ms;
	report->body.services = report->victims;
	report->body.batch_tasks = report->suspects;
	for (i = 0; i < vm->runs->len; i++)
		add_to_report(
		    world, vm, report, &g_array_index(vm->runs, run_t, i));
	g_ptr_array_add(vm->reports, report);
}

static void
advance_vm(world_t *world, truth_vm_t *vm)
{
	double share = 1.0 / contention(world, vm);
	guint i;

	for (i = vm->runs->len; i > 0; i--)
		advance_run(world, vm, i - 1, share);
	if (world->now_ms >= vm->next_report_ms) {
		vm->next_report_ms += REPORT_MS;
		make_report(world, vm);
	}
	if (world->now_ms >= WARM_MS && world->now_ms % 1000 == 0)
		sample(world, vm);
}

/* Lets one tick pass on all VMs. */
void
world_advance(world_t *world)
{
	uint32_t i;

	world->now_ms += TICK_MS;
	for (i = 0; i < world->deployment->vms; i++) {
		if (world->vms[i].alive)
			advance_vm(world, &world->vms[i]);
	}
}
