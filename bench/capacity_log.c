#include "capacity.h"

#include <malloc.h>
#include <stdio.h>
#include <sys/resource.h>

#define VMS_PER_RACK 8
#define ZONES 4
#define TIME_MS 1800000000000ULL
#define VM_CPU_MILLI 64000
#define VM_MEMORY_MIB 256000

/* Least squares; the residual is the largest relative distance. */
void
capacity_fit(capacity_line_t *line)
{
	double sx = 0;
	double sy = 0;
	double sxx = 0;
	double sxy = 0;
	int i;

	for (i = 0; i < CAPACITY_SIZES; i++) {
		sx += line->x[i];
		sy += line->y[i];
		sxx += line->x[i] * line->x[i];
		sxy += line->x[i] * line->y[i];
	}
	line->slope =
	    (CAPACITY_SIZES * sxy - sx * sy) / (CAPACITY_SIZES * sxx - sx * sx);
	line->intercept = (sy - line->slope * sx) / CAPACITY_SIZES;
	line->residual = 0;
	for (i = 0; i < CAPACITY_SIZES; i++) {
		double fit = line->intercept + line->slope * line->x[i];
		double off = line->y[i] != 0
		    ? ABS(line->y[i] - fit) / ABS(line->y[i])
		    : 0;

		line->residual = MAX(line->residual, off);
	}
}

/* Returns the processor time of this process, system time included. */
double
capacity_cpu_us(void)
{
	struct rusage usage;

	(void)getrusage(RUSAGE_SELF, &usage);
	return (double)(usage.ru_utime.tv_sec + usage.ru_stime.tv_sec) * 1e6 +
	    (double)(usage.ru_utime.tv_usec + usage.ru_stime.tv_usec);
}

/* Returns the bytes that the allocator has handed out. */
size_t
capacity_heap_bytes(void)
{
	struct mallinfo2 info = mallinfo2();

	return info.uordblks + info.hblkhd;
}

void
capacity_log_init(capacity_log_t *log)
{
	log->state = bp_state_new();
	log->offset = 0;
	log->seq = 0;
	log->bytes = 0;
}

void
capacity_log_clear(capacity_log_t *log)
{
	bp_state_free(log->state);
	log->state = NULL;
}

/* Serializes the next record of the node. */
GByteArray *
capacity_log_pack(capacity_log_t *log, Bp__Log__Entry **entries, size_t count)
{
	Bp__Log__Record record = BP__LOG__RECORD__INIT;
	GByteArray *bytes = g_byte_array_new();

	record.version = BP_RECORD_VERSION;
	record.node = (char *)"entry-1";
	record.incarnation = 0x1234567890abcdefULL;
	record.seq = ++log->seq;
	record.time_ms = TIME_MS;
	record.zone = (char *)"zone-1";
	record.address = (char *)"10.20.30.40:7070";
	record.n_entries = count;
	record.entries = entries;
	g_byte_array_set_size(
	    bytes, (guint)bp__log__record__get_packed_size(&record));
	bp__log__record__pack(&record, bytes->data);
	return bytes;
}

void
capacity_log_apply(capacity_log_t *log, Bp__Log__Entry **entries, size_t count)
{
	GByteArray *bytes = capacity_log_pack(log, entries, count);

	(void)bp_state_apply(
	    log->state, log->offset++, bytes->data, bytes->len, NULL);
	log->bytes += bytes->len;
	g_byte_array_unref(bytes);
}

static void
add_rack(capacity_log_t *log, const char *name)
{
	Bp__Log__Entry entry = BP__LOG__ENTRY__INIT;
	Bp__Log__Entry *entries[1] = {&entry};
	Bp__Log__Claim claim = BP__LOG__CLAIM__INIT;

	claim.rack = (char *)name;
	entry.body_case = BP__LOG__ENTRY__BODY_CLAIM;
	entry.claim = &claim;
	capacity_log_apply(log, entries, 1);
}

/* Adds racks with 8 VMs each, in 4 zones. */
void
capacity_log_vms(capacity_log_t *log, uint32_t count)
{
	uint32_t i;

	for (i = 0; i < count; i++) {
		Bp__Log__Entry entry = BP__LOG__ENTRY__INIT;
		Bp__Log__Entry *entries[1] = {&entry};
		Bp__Log__VmUpsert upsert = BP__LOG__VM_UPSERT__INIT;
		uint32_t rack = i / VMS_PER_RACK;
		char rack_name[32];
		char name[32];

		(void)g_snprintf(rack_name, sizeof(rack_name),
		    "zone-%u/rack-%u", rack % ZONES, rack);
		(void)g_snprintf(name, sizeof(name), "worker-%u", i);
		if (i % VMS_PER_RACK == 0)
			add_rack(log, rack_name);
		upsert.vm = name;
		upsert.rack = rack_name;
		upsert.epoch = 1;
		upsert.cpu_milli = VM_CPU_MILLI;
		upsert.memory_mib = VM_MEMORY_MIB;
		entry.body_case = BP__LOG__ENTRY__BODY_VM_UPSERT;
		entry.vm_upsert = &upsert;
		capacity_log_apply(log, entries, 1);
	}
}

/* Submits a batch job of small tasks for one of 77 teams. */
void
capacity_log_job(capacity_log_t *log, uint32_t index, uint32_t tasks)
{
	Bp__Log__Entry entry = BP__LOG__ENTRY__INIT;
	Bp__Log__Entry *entries[1] = {&entry};
	Bp__Log__JobSubmit submit = BP__LOG__JOB_SUBMIT__INIT;
	Bp__Log__JobSpec spec = BP__LOG__JOB_SPEC__INIT;
	char id[32];
	char team[32];

	(void)g_snprintf(id, sizeof(id), "job-%u", index);
	(void)g_snprintf(team, sizeof(team), "team-%u", index % 77);
	spec.id = id;
	spec.team = team;
	spec.name = (char *)"roster-rebuild";
	spec.klass = BP__LOG__TASK_CLASS__CLASS_BATCH;
	spec.tasks = tasks;
	spec.cpu_milli = 500;
	spec.memory_mib = 1000;
	spec.command = (char *)"rebuild --region new-england";
	spec.submitted_by = (char *)"roster";
	submit.spec = &spec;
	entry.body_case = BP__LOG__ENTRY__BODY_JOB_SUBMIT;
	entry.job_submit = &submit;
	capacity_log_apply(log, entries, 1);
}

void
capacity_log_assign(capacity_log_t *log, uint32_t job, uint32_t tasks,
    uint32_t vms, uint32_t starts_per_record)
{
	Bp__Log__Entry *entries = g_new0(Bp__Log__Entry, starts_per_record);
	Bp__Log__Assign *assigns = g_new0(Bp__Log__Assign, starts_per_record);
	Bp__Log__Entry **list = g_new0(Bp__Log__Entry *, starts_per_record);
	char(*names)[32] = g_malloc0(starts_per_record * 32UL);
	char id[32];
	uint32_t done = 0;
	uint32_t n;

	(void)g_snprintf(id, sizeof(id), "job-%u", job);
	while (done < tasks) {
		for (n = 0; n < starts_per_record && done < tasks; n++) {
			(void)g_snprintf(names[n], sizeof(names[n]),
			    "worker-%u", done % vms);
			bp__log__assign__init(&assigns[n]);
			assigns[n].job = id;
			assigns[n].first_task = done++;
			assigns[n].count = 1;
			assigns[n].attempt = 1;
			assigns[n].vm = names[n];
			assigns[n].epoch = 1;
			bp__log__entry__init(&entries[n]);
			entries[n].body_case = BP__LOG__ENTRY__BODY_ASSIGN;
			entries[n].assign = &assigns[n];
			list[n] = &entries[n];
		}
		capacity_log_apply(log, list, n);
	}
	g_free(names);
	g_free(list);
	g_free(assigns);
	g_free(entries);
}
