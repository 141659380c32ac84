#include "support/records.h"

#include <string.h>

static void
keep_result(const bp_applied_t *applied, void *data)
{
	bp_records_t *records = data;

	records->last_kind = applied->kind;
	g_strlcpy(records->last_message, applied->message,
	    sizeof(records->last_message));
}

/* Starts with an empty state at the given record time. */
void
bp_records_init(bp_records_t *records, int64_t time_ms)
{
	memset(records, 0, sizeof(*records));
	records->state = bp_state_new();
	records->time_ms = time_ms;
	bp_state_observe(records->state, keep_result, records);
}

/* Frees the state. */
void
bp_records_clear(bp_records_t *records)
{
	bp_state_free(records->state);
	records->state = NULL;
}

/* Serializes a record with one entry, or none for NULL. */
GByteArray *
bp_records_pack(
    const bp_records_t *records, bp_writer_t *writer, Bp__Log__Entry *entry)
{
	Bp__Log__Record record = BP__LOG__RECORD__INIT;
	GByteArray *bytes = g_byte_array_new();

	record.version = BP_RECORD_VERSION;
	record.node = (char *)writer->node;
	record.incarnation = writer->incarnation;
	record.seq = ++writer->seq;
	record.time_ms = (uint64_t)records->time_ms;
	record.zone = (char *)"z1";
	record.address = (char *)"127.0.0.1:1";
	record.n_entries = entry != NULL ? 1 : 0;
	record.entries = &entry;
	g_byte_array_set_size(
	    bytes, (guint)bp__log__record__get_packed_size(&record));
	bp__log__record__pack(&record, bytes->data);
	return bytes;
}

/* See the header. BP_EUNKNOWN when the record itself had no effect. */
int
bp_records_apply(
    bp_records_t *records, bp_writer_t *writer, Bp__Log__Entry *entry)
{
	GByteArray *bytes = bp_records_pack(records, writer, entry);

	records->last_kind = BP_EUNKNOWN;
	(void)bp_state_apply(
	    records->state, records->offset++, bytes->data, bytes->len, NULL);
	g_byte_array_unref(bytes);
	return records->last_kind;
}

/* Each of the following applies one entry; see bp_records_apply. */
int
bp_records_claim(bp_records_t *records, bp_writer_t *writer, const char *rack,
    uint64_t epoch, Bp__Log__ClaimGround ground)
{
	Bp__Log__Entry entry = BP__LOG__ENTRY__INIT;
	Bp__Log__Claim claim = BP__LOG__CLAIM__INIT;

	claim.rack = (char *)rack;
	claim.epoch = epoch;
	claim.ground = ground;
	entry.body_case = BP__LOG__ENTRY__BODY_CLAIM;
	entry.claim = &claim;
	return bp_records_apply(records, writer, &entry);
}

int
bp_records_release(bp_records_t *records, bp_writer_t *writer, const char *rack,
    uint64_t epoch)
{
	Bp__Log__Entry entry = BP__LOG__ENTRY__INIT;
	Bp__Log__Release release = BP__LOG__RELEASE__INIT;

	release.rack = (char *)rack;
	release.epoch = epoch;
	entry.body_case = BP__LOG__ENTRY__BODY_RELEASE;
	entry.release = &release;
	return bp_records_apply(records, writer, &entry);
}

int
bp_records_vm(bp_records_t *records, bp_writer_t *writer, const char *vm,
    const char *rack, uint64_t epoch, uint32_t cpu_milli)
{
	Bp__Log__Entry entry = BP__LOG__ENTRY__INIT;
	Bp__Log__VmUpsert upsert = BP__LOG__VM_UPSERT__INIT;

	upsert.vm = (char *)vm;
	upsert.rack = (char *)rack;
	upsert.epoch = epoch;
	upsert.cpu_milli = cpu_milli;
	upsert.memory_mib = 64 * 1024;
	entry.body_case = BP__LOG__ENTRY__BODY_VM_UPSERT;
	entry.vm_upsert = &upsert;
	return bp_records_apply(records, writer, &entry);
}

int
bp_records_submit(bp_records_t *records, bp_writer_t *writer, const char *job,
    const char *team, uint32_t tasks, uint32_t cpu_milli)
{
	Bp__Log__Entry entry = BP__LOG__ENTRY__INIT;
	Bp__Log__JobSubmit submit = BP__LOG__JOB_SUBMIT__INIT;
	Bp__Log__JobSpec spec = BP__LOG__JOB_SPEC__INIT;

	spec.id = (char *)job;
	spec.team = (char *)team;
	spec.name = (char *)job;
	spec.klass = BP__LOG__TASK_CLASS__CLASS_BATCH;
	spec.tasks = tasks;
	spec.cpu_milli = cpu_milli;
	spec.memory_mib = 512;
	submit.spec = &spec;
	entry.body_case = BP__LOG__ENTRY__BODY_JOB_SUBMIT;
	entry.job_submit = &submit;
	return bp_records_apply(records, writer, &entry);
}

int
bp_records_assign(bp_records_t *records, bp_writer_t *writer, const char *job,
    uint32_t first, uint32_t count, uint32_t attempt, const char *vm,
    uint64_t epoch)
{
	Bp__Log__Entry entry = BP__LOG__ENTRY__INIT;
	Bp__Log__Assign assign = BP__LOG__ASSIGN__INIT;

	assign.job = (char *)job;
	assign.first_task = first;
	assign.count = count;
	assign.attempt = attempt;
	assign.vm = (char *)vm;
	assign.epoch = epoch;
	entry.body_case = BP__LOG__ENTRY__BODY_ASSIGN;
	entry.assign = &assign;
	return bp_records_apply(records, writer, &entry);
}

int
bp_records_end(bp_records_t *records, bp_writer_t *writer, const char *job,
    uint32_t task, uint32_t attempt, Bp__Log__TaskOutcome outcome,
    uint64_t epoch)
{
	Bp__Log__Entry entry = BP__LOG__ENTRY__INIT;
	Bp__Log__TaskEnd end = BP__LOG__TASK_END__INIT;

	end.job = (char *)job;
	end.task = task;
	end.attempt = attempt;
	end.outcome = outcome;
	end.epoch = epoch;
	if (outcome == BP__LOG__TASK_OUTCOME__OUTCOME_EVICTED)
		end.checkpoint = (char *)"checkpoint-1";
	entry.body_case = BP__LOG__ENTRY__BODY_TASK_END;
	entry.task_end = &end;
	return bp_records_apply(records, writer, &entry);
}

int
bp_records_cancel(bp_records_t *records, bp_writer_t *writer, const char *job)
{
	Bp__Log__Entry entry = BP__LOG__ENTRY__INIT;
	Bp__Log__JobCancel cancel = BP__LOG__JOB_CANCEL__INIT;

	cancel.job = (char *)job;
	cancel.by = (char *)"steward";
	entry.body_case = BP__LOG__ENTRY__BODY_JOB_CANCEL;
	entry.job_cancel = &cancel;
	return bp_records_apply(records, writer, &entry);
}

int
bp_records_zone(bp_records_t *records, bp_writer_t *writer, const char *zone,
    bool out, uint64_t base)
{
	Bp__Log__Entry entry = BP__LOG__ENTRY__INIT;
	Bp__Log__ZoneChange change = BP__LOG__ZONE_CHANGE__INIT;

	change.zone = (char *)zone;
	change.out = out;
	change.base_version = base;
	change.author = (char *)writer->node;
	change.reason = (char *)"maintenance";
	entry.body_case = BP__LOG__ENTRY__BODY_ZONE_CHANGE;
	entry.zone_change = &change;
	return bp_records_apply(records, writer, &entry);
}

int
bp_records_rules(bp_records_t *records, bp_writer_t *writer, const char *text,
    uint64_t base, const char *author)
{
	Bp__Log__Entry entry = BP__LOG__ENTRY__INIT;
	Bp__Log__RulesPublish publish = BP__LOG__RULES_PUBLISH__INIT;

	publish.base_version = base;
	publish.text = (char *)text;
	publish.author = (char *)author;
	entry.body_case = BP__LOG__ENTRY__BODY_RULES_PUBLISH;
	entry.rules_publish = &publish;
	return bp_records_apply(records, writer, &entry);
}

int
bp_records_key(bp_records_t *records, bp_writer_t *writer, const char *key,
    uint64_t issued_s)
{
	Bp__Log__Entry entry = BP__LOG__ENTRY__INIT;
	Bp__Log__KeyClaim claim = BP__LOG__KEY_CLAIM__INIT;

	claim.key = (char *)key;
	claim.issued_s = issued_s;
	entry.body_case = BP__LOG__ENTRY__BODY_KEY_CLAIM;
	entry.key_claim = &claim;
	return bp_records_apply(records, writer, &entry);
}
