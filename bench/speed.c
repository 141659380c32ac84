#include "decisions.h"

#include <stdio.h>
#include <time.h>

/* The size expected in two years, from design section 1. */
#define VMS 1600
#define NODES 8
#define JOBS 7400
#define SPEED_TEAMS 77
#define STARTS_PER_S 1200
#define ROUND_MS 40
#define ROUNDS 250
#define VMS_PER_RACK 8
#define ZONES 8

typedef struct {
	bp_state_t *state;
	uint64_t offset;
	uint64_t seq[NODES];
} log_t;

static void
apply(log_t *log, uint32_t node, Bp__Log__Entry *entry)
{
	Bp__Log__Record record = BP__LOG__RECORD__INIT;
	char name[8];
	uint8_t *bytes;
	size_t size;

	g_snprintf(name, sizeof(name), "n%u", node);
	record.version = BP_RECORD_VERSION;
	record.node = name;
	record.incarnation = 100 + node;
	record.seq = ++log->seq[node];
	record.time_ms = 1000000;
	record.n_entries = 1;
	record.entries = &entry;
	size = bp__log__record__get_packed_size(&record);
	bytes = g_malloc(size);
	bp__log__record__pack(&record, bytes);
	bp_state_apply(log->state, log->offset++, bytes, size, NULL);
	g_free(bytes);
}

static void
add_vm(log_t *log, uint32_t i)
{
	Bp__Log__Entry entry = BP__LOG__ENTRY__INIT;
	Bp__Log__Claim claim = BP__LOG__CLAIM__INIT;
	Bp__Log__VmUpsert body = BP__LOG__VM_UPSERT__INIT;
	uint32_t rack = i / VMS_PER_RACK;
	char rack_name[16];
	char name[8];

	g_snprintf(rack_name, sizeof(rack_name), "z%u/r%u", rack % ZONES, rack);
	g_snprintf(name, sizeof(name), "v%u", i);
	claim.rack = rack_name;
	entry.body_case = BP__LOG__ENTRY__BODY_CLAIM;
	entry.claim = &claim;
	if (i % VMS_PER_RACK == 0)
		apply(log, rack % NODES, &entry);
	body.vm = name;
	body.rack = rack_name;
	body.epoch = 1;
	body.cpu_milli = 64000;
	body.memory_mib = 250000;
	entry.body_case = BP__LOG__ENTRY__BODY_VM_UPSERT;
	entry.vm_upsert = &body;
	apply(log, rack % NODES, &entry);
}

static void
add_job(log_t *log, uint32_t i, uint32_t tasks, uint32_t cpu_milli)
{
	Bp__Log__Entry entry = BP__LOG__ENTRY__INIT;
	Bp__Log__JobSubmit body = BP__LOG__JOB_SUBMIT__INIT;
	Bp__Log__JobSpec spec = BP__LOG__JOB_SPEC__INIT;
	char id[16];
	char team[16];

	g_snprintf(id, sizeof(id), "j%u", i);
	g_snprintf(team, sizeof(team), "team-%u", i % SPEED_TEAMS);
	spec.id = id;
	spec.name = "mix";
	spec.team = team;
	spec.klass = BP__LOG__TASK_CLASS__CLASS_BATCH;
	spec.tasks = tasks;
	spec.cpu_milli = cpu_milli;
	spec.memory_mib = 1000;
	body.spec = &spec;
	entry.body_case = BP__LOG__ENTRY__BODY_JOB_SUBMIT;
	entry.job_submit = &body;
	apply(log, 0, &entry);
}

static void
apply_plan(log_t *log, uint32_t node, const GArray *plan)
{
	guint i;

	for (i = 0; i < plan->len; i++) {
		const bp_assignment_t *one =
		    &g_array_index(plan, bp_assignment_t, i);
		Bp__Log__Entry entry = BP__LOG__ENTRY__INIT;
		Bp__Log__Assign body = BP__LOG__ASSIGN__INIT;

		body.job = one->job->id;
		body.first_task = one->first_task;
		body.count = one->count;
		body.attempt = one->attempt;
		body.vm = one->vm->name;
		body.epoch = one->epoch;
		entry.body_case = BP__LOG__ENTRY__BODY_ASSIGN;
		entry.assign = &body;
		apply(log, node, &entry);
	}
}

static double
cpu_s(void)
{
	struct timespec ts;

	clock_gettime(CLOCK_THREAD_CPUTIME_ID, &ts);
	return (double)ts.tv_sec + (double)ts.tv_nsec / 1e9;
}

static uint32_t
count_tasks(const GArray *plan)
{
	uint32_t n = 0;
	guint i;

	for (i = 0; i < plan->len; i++)
		n += g_array_index(plan, bp_assignment_t, i).count;
	return n;
}

/*
 * Plans rounds of all nodes on one shared state; what a round plans is
 * applied after all nodes have planned, as if records took one round.
 */
static void
measure(const char *title, uint32_t tasks_per_job, uint32_t cpu_milli)
{
	bp_placement_t *placements[NODES];
	bp_placement_options_t options;
	GArray *plans[NODES];
	log_t log = {bp_state_new(), 0, {0}};
	double planning = 0;
	double applying = 0;
	uint32_t started = 0;
	uint32_t entries = 0;
	uint32_t i;
	int round;

	for (i = 0; i < VMS; i++)
		add_vm(&log, i);
	for (i = 0; i < JOBS; i++)
		add_job(&log, i, tasks_per_job, cpu_milli);
	bp_placement_options_init(&options);
	for (i = 0; i < NODES; i++)
		bp_placement_new(&placements[i], &options, NULL);
	for (round = 0; round < ROUNDS; round++) {
		double before = cpu_s();

		for (i = 0; i < NODES; i++) {
			char name[8];

			g_snprintf(name, sizeof(name), "n%u", i);
			plans[i] =
			    g_array_new(FALSE, FALSE, sizeof(bp_assignment_t));
			bp_placement_plan(plans[i], placements[i], log.state,
			    name, 100 + i,
			    STARTS_PER_S * ROUND_MS / 1000 / NODES,
			    (int64_t)round * ROUND_MS, NULL);
		}
		planning += cpu_s() - before;
		before = cpu_s();
		for (i = 0; i < NODES; i++) {
			started += count_tasks(plans[i]);
			entries += plans[i]->len;
			apply_plan(&log, i, plans[i]);
			g_array_unref(plans[i]);
		}
		applying += cpu_s() - before;
	}
	printf("%-34s %7.0f starts/s, plan %5.2f%% of a core per node, apply "
	       "%5.2f%%, %.1f tasks per entry\n",
	    title, started / (ROUNDS * ROUND_MS / 1000.0),
	    100 * planning / NODES / (ROUNDS * ROUND_MS / 1000.0),
	    100 * applying / (ROUNDS * ROUND_MS / 1000.0),
	    entries > 0 ? (double)started / entries : 0);
	for (i = 0; i < NODES; i++)
		bp_placement_free(placements[i]);
	bp_state_free(log.state);
}

/* Measures the processor time of planning at the expected size. */
int
bench_speed(void)
{
	printf("%u VMs, %u nodes, %u jobs, %u teams, a round each %u ms\n", VMS,
	    NODES, JOBS, SPEED_TEAMS, ROUND_MS);
	measure("jobs of 2 tasks", 2, 1000);
	measure("jobs of 30 tasks", 30, 1000);
	measure("no room for any task", 2, 64001);
	return 0;
}
