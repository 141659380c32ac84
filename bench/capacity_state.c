#include "bulrushpost/placement.h"
#include "capacity.h"

#include <stdio.h>
#include <string.h>

#define VMS 1600
#define STARTS_PER_RECORD 6
#define JOB_TASKS 1000
#define PLAN_ROUNDS 20

static const double sizes_tasks[CAPACITY_SIZES] = {
    1000, 2000, 4000, 8000, 16000};
static const double sizes_vms[CAPACITY_SIZES] = {100, 200, 400, 800, 1600};
static const double sizes_entries[CAPACITY_SIZES] = {1, 2, 6, 20, 60};

static void
start_line(capacity_line_t *line, const char *name, const char *item,
    const char *unit, const double *x)
{
	line->name = name;
	line->item = item;
	line->unit = unit;
	memcpy(line->x, x, sizeof(line->x));
}

static void
fill_running(capacity_log_t *log, uint32_t tasks, uint32_t vms)
{
	uint32_t job;

	capacity_log_vms(log, vms);
	for (job = 0; job < tasks / JOB_TASKS; job++) {
		capacity_log_job(log, job, JOB_TASKS);
		capacity_log_assign(
		    log, job, JOB_TASKS, vms, STARTS_PER_RECORD);
	}
}

static void
measure_tasks(capacity_t *out)
{
	capacity_line_t *memory = &out->lines[LINE_MEMORY_TASK];
	capacity_line_t *snapshot = &out->lines[LINE_SNAPSHOT_TASK];
	capacity_line_t *load = &out->lines[LINE_SNAPSHOT_LOAD];
	capacity_line_t *apply = &out->lines[LINE_APPLY_START];
	int i;

	start_line(
	    memory, "state of a running task", "tasks", "B", sizes_tasks);
	start_line(
	    snapshot, "snapshot of a running task", "tasks", "B", sizes_tasks);
	start_line(load, "loading a snapshot", "tasks", "us CPU", sizes_tasks);
	start_line(apply, "applying a start", "starts", "us CPU", sizes_tasks);
	for (i = 0; i < CAPACITY_SIZES; i++) {
		capacity_log_t log;
		GByteArray *bytes = NULL;
		bp_state_t *loaded = NULL;
		size_t before = capacity_heap_bytes();
		double cpu_us = capacity_cpu_us();

		capacity_log_init(&log);
		fill_running(&log, (uint32_t)sizes_tasks[i], VMS);
		apply->y[i] = capacity_cpu_us() - cpu_us;
		memory->y[i] = (double)(capacity_heap_bytes() - before);
		(void)bp_snapshot_save(&bytes, log.state, NULL);
		snapshot->y[i] = bytes->len;
		cpu_us = capacity_cpu_us();
		(void)bp_snapshot_load(&loaded, bytes->data, bytes->len, NULL);
		load->y[i] = capacity_cpu_us() - cpu_us;
		bp_state_free(loaded);
		g_byte_array_unref(bytes);
		capacity_log_clear(&log);
	}
}

static void
measure_waiting(capacity_t *out)
{
	capacity_line_t *memory = &out->lines[LINE_MEMORY_WAITING];
	int i;

	start_line(
	    memory, "state of a waiting task", "tasks", "B", sizes_tasks);
	for (i = 0; i < CAPACITY_SIZES; i++) {
		capacity_log_t log;
		size_t before = capacity_heap_bytes();
		uint32_t job;

		capacity_log_init(&log);
		for (job = 0; job < sizes_tasks[i] / 10; job++)
			capacity_log_job(&log, job, 10);
		memory->y[i] = (double)(capacity_heap_bytes() - before);
		capacity_log_clear(&log);
	}
}

static void
measure_vms(capacity_t *out)
{
	capacity_line_t *memory = &out->lines[LINE_MEMORY_VM];
	int i;

	start_line(memory, "state of a VM", "VMs", "B", sizes_vms);
	for (i = 0; i < CAPACITY_SIZES; i++) {
		capacity_log_t log;
		size_t before = capacity_heap_bytes();

		capacity_log_init(&log);
		capacity_log_vms(&log, (uint32_t)sizes_vms[i]);
		memory->y[i] = (double)(capacity_heap_bytes() - before);
		capacity_log_clear(&log);
	}
}

static void
add_key(capacity_log_t *log, uint32_t index)
{
	Bp__Log__Entry entry = BP__LOG__ENTRY__INIT;
	Bp__Log__Entry *entries[1] = {&entry};
	Bp__Log__KeyClaim claim = BP__LOG__KEY_CLAIM__INIT;
	char key[64];

	(void)g_snprintf(
	    key, sizeof(key), "dispatch/1800000000-%08x%08x", index, index);
	claim.key = key;
	claim.issued_s = 1800000000;
	entry.body_case = BP__LOG__ENTRY__BODY_KEY_CLAIM;
	entry.key_claim = &claim;
	capacity_log_apply(log, entries, 1);
}

static void
measure_keys(capacity_t *out)
{
	capacity_line_t *memory = &out->lines[LINE_MEMORY_KEY];
	int i;

	start_line(memory, "state of a claimed key", "keys", "B", sizes_tasks);
	for (i = 0; i < CAPACITY_SIZES; i++) {
		capacity_log_t log;
		size_t before = capacity_heap_bytes();
		uint32_t k;

		capacity_log_init(&log);
		for (k = 0; k < sizes_tasks[i]; k++)
			add_key(&log, k);
		memory->y[i] = (double)(capacity_heap_bytes() - before);
		capacity_log_clear(&log);
	}
}

static void
publish(capacity_log_t *log, uint64_t base, uint32_t lines)
{
	Bp__Log__Entry entry = BP__LOG__ENTRY__INIT;
	Bp__Log__Entry *entries[1] = {&entry};
	Bp__Log__RulesPublish body = BP__LOG__RULES_PUBLISH__INIT;
	GString *text = g_string_new(NULL);
	uint32_t i;

	for (i = 0; i < lines; i++)
		g_string_append_printf(text,
		    "team team-%u quota cpu=64 memory=256G accelerators=0 "
		    "# Anna Nowak\n",
		    i);
	body.base_version = base;
	body.text = text->str;
	body.author = (char *)"anna";
	entry.body_case = BP__LOG__ENTRY__BODY_RULES_PUBLISH;
	entry.rules_publish = &body;
	capacity_log_apply(log, entries, 1);
	g_string_free(text, TRUE);
}

static void
measure_rules(capacity_t *out)
{
	static const double sizes[CAPACITY_SIZES] = {10, 40, 77, 150, 300};
	capacity_line_t *memory = &out->lines[LINE_MEMORY_RULES];
	int i;

	start_line(memory, "20 versions of a rule file", "lines", "B", sizes);
	for (i = 0; i < CAPACITY_SIZES; i++) {
		capacity_log_t log;
		size_t before = capacity_heap_bytes();
		uint64_t version;

		capacity_log_init(&log);
		for (version = 0; version < 25; version++)
			publish(&log, version, (uint32_t)sizes[i]);
		memory->y[i] = (double)(capacity_heap_bytes() - before);
		capacity_log_clear(&log);
	}
}

static double
assign_record_bytes(uint32_t entries)
{
	capacity_log_t log;
	size_t before;
	double bytes;

	capacity_log_init(&log);
	log.seq = 100000;
	before = log.bytes;
	capacity_log_assign(&log, 4711, entries, VMS, entries);
	bytes = (double)(log.bytes - before);
	capacity_log_clear(&log);
	return bytes;
}

static double
end_record_bytes(uint32_t count)
{
	Bp__Log__Entry *entries = g_new0(Bp__Log__Entry, count);
	Bp__Log__TaskEnd *ends = g_new0(Bp__Log__TaskEnd, count);
	Bp__Log__Entry **list = g_new0(Bp__Log__Entry *, count);
	capacity_log_t log;
	GByteArray *bytes;
	double size;
	uint32_t i;

	capacity_log_init(&log);
	log.seq = 100000;
	for (i = 0; i < count; i++) {
		bp__log__task_end__init(&ends[i]);
		ends[i].job = (char *)"job-4711";
		ends[i].task = i;
		ends[i].attempt = 1;
		ends[i].outcome = BP__LOG__TASK_OUTCOME__OUTCOME_SUCCEEDED;
		ends[i].epoch = 1;
		bp__log__entry__init(&entries[i]);
		entries[i].body_case = BP__LOG__ENTRY__BODY_TASK_END;
		entries[i].task_end = &ends[i];
		list[i] = &entries[i];
	}
	bytes = capacity_log_pack(&log, list, count);
	size = bytes->len;
	g_byte_array_unref(bytes);
	capacity_log_clear(&log);
	g_free(list);
	g_free(ends);
	g_free(entries);
	return size;
}

static void
measure_records(capacity_t *out)
{
	capacity_line_t *starts = &out->lines[LINE_RECORD_START];
	capacity_line_t *ends = &out->lines[LINE_RECORD_END];
	capacity_log_t log;
	GByteArray *bytes;
	int i;

	start_line(starts, "record of starts", "starts", "B", sizes_entries);
	start_line(ends, "record of ends", "ends", "B", sizes_entries);
	for (i = 0; i < CAPACITY_SIZES; i++) {
		starts->y[i] = assign_record_bytes((uint32_t)sizes_entries[i]);
		ends->y[i] = end_record_bytes((uint32_t)sizes_entries[i]);
	}
	capacity_log_init(&log);
	bytes = capacity_log_pack(&log, NULL, 0);
	out->heartbeat_bytes = bytes->len;
	g_byte_array_unref(bytes);
	capacity_log_clear(&log);
}

/* Time of a plan round for one node that owns all racks. */
static double
plan_us(uint32_t vms, uint32_t *starts)
{
	bp_placement_options_t options;
	bp_placement_t *placement = NULL;
	GArray *plan = g_array_new(FALSE, FALSE, sizeof(bp_assignment_t));
	capacity_log_t log;
	double cpu_us;
	uint32_t i;

	capacity_log_init(&log);
	capacity_log_vms(&log, vms);
	for (i = 0; i < 770; i++)
		capacity_log_job(&log, i, 10);
	(void)bp_placement_options_init(&options);
	(void)bp_placement_new(&placement, &options, NULL);
	cpu_us = capacity_cpu_us();
	for (i = 0; i < PLAN_ROUNDS; i++)
		(void)bp_placement_plan(plan, placement, log.state, "entry-1",
		    0x1234567890abcdefULL, 60, 1000 + i * 40, NULL);
	cpu_us = capacity_cpu_us() - cpu_us;
	*starts = 0;
	for (i = 0; i < plan->len; i++)
		*starts += g_array_index(plan, bp_assignment_t, i).count;
	bp_placement_free(placement);
	g_array_unref(plan);
	capacity_log_clear(&log);
	return cpu_us;
}

static void
measure_plan(capacity_t *out)
{
	capacity_line_t *line = &out->lines[LINE_PLAN_START];
	int i;

	start_line(line, "planning one start", "own VMs", "us CPU", sizes_vms);
	for (i = 0; i < CAPACITY_SIZES; i++) {
		uint32_t starts;
		double us = plan_us((uint32_t)sizes_vms[i], &starts);

		line->y[i] = starts > 0 ? us / starts : 0;
	}
}

/* Measures what the state machine, its records and the plan cost. */
void
capacity_measure_state(capacity_t *out)
{
	int i;

	measure_tasks(out);
	measure_waiting(out);
	measure_vms(out);
	measure_keys(out);
	measure_rules(out);
	measure_records(out);
	measure_plan(out);
	for (i = LINE_MEMORY_TASK; i <= LINE_PLAN_START; i++)
		capacity_fit(&out->lines[i]);
}
