#include "support/logrig.h"

#include "clients/chunkset.h"

#include <CUnit/CUnit.h>
#include <string.h>

void
logrig_init(logrig_t *rig, const bp_clock_t *clock, uint32_t wait_ms)
{
	bp_logclient_options_t client;
	bp_follower_options_t follower;
	bp_appender_options_t appender;

	rig->clock = clock != NULL ? clock : bp_clock_system();
	rig->log = fakelog_new();
	bp_logclient_options_init(&client);
	client.url = fakelog_url(rig->log);
	CU_ASSERT_EQUAL_FATAL(
	    bp_logclient_new(&rig->client, &client, NULL), BP_OK);
	bp_follower_options_init(&follower);
	follower.clock = rig->clock;
	follower.log = rig->client;
	follower.wait_ms = wait_ms;
	follower.retry_ms = 20;
	CU_ASSERT_EQUAL_FATAL(
	    bp_follower_new(&rig->follower, &follower, NULL), BP_OK);
	bp_appender_options_init(&appender);
	appender.clock = rig->clock;
	appender.log = rig->client;
	appender.follower = rig->follower;
	appender.node = "node-1";
	appender.zone = "zone-1";
	appender.address = "127.0.0.1:1";
	appender.incarnation = RIG_INCARNATION;
	appender.batch_ms = 5;
	CU_ASSERT_EQUAL_FATAL(
	    bp_appender_new(&rig->appender, &appender, NULL), BP_OK);
}

void
logrig_clear(logrig_t *rig)
{
	bp_appender_free(rig->appender);
	bp_follower_free(rig->follower);
	bp_logclient_free(rig->client);
	fakelog_free(rig->log);
}

void
logrig_start(logrig_t *rig)
{
	bp_follower_start(rig->follower);
	bp_appender_start(rig->appender);
}

typedef struct {
	logrig_t *rig;
	bp_follower_status_t status;
	uint64_t next_offset;
} expectation_t;

static bool
has_status(void *data)
{
	expectation_t *expected = data;

	return bp_follower_status(expected->rig->follower) == expected->status;
}

bool
logrig_wait_status(logrig_t *rig, bp_follower_status_t status)
{
	expectation_t expected = {rig, status, 0};

	return wait_until(has_status, &expected, RIG_LIMIT_MS);
}

static bool
has_offset(void *data)
{
	expectation_t *expected = data;

	return bp_state_next_offset(bp_follower_state(
		   expected->rig->follower)) >= expected->next_offset;
}

bool
logrig_wait_offset(logrig_t *rig, uint64_t next_offset)
{
	expectation_t expected = {rig, BP_FOLLOWER_CURRENT, next_offset};

	return wait_until(has_offset, &expected, RIG_LIMIT_MS);
}

static bool
is_reported(void *data)
{
	return ((outcome_t *)data)->calls > 0;
}

bool
logrig_wait_outcome(outcome_t *outcome)
{
	return wait_until(is_reported, outcome, RIG_LIMIT_MS);
}

static void
on_done(const bp_applied_t *applied, const bp_error_t *err, void *data)
{
	outcome_t *outcome = data;

	outcome->calls++;
	outcome->applied = applied != NULL;
	outcome->kind = applied != NULL ? applied->kind : (int)err->kind;
}

static void
fill_submit(Bp__Log__Entry *entry, Bp__Log__JobSubmit *submit,
    Bp__Log__JobSpec *spec, const char *job)
{
	bp__log__entry__init(entry);
	bp__log__job_submit__init(submit);
	bp__log__job_spec__init(spec);
	spec->id = (char *)(uintptr_t)job;
	spec->team = "team-1";
	spec->name = "rebuild";
	spec->klass = BP__LOG__TASK_CLASS__CLASS_BATCH;
	spec->tasks = 1;
	spec->cpu_milli = 1000;
	spec->memory_mib = 100;
	spec->weight = 1;
	submit->spec = spec;
	entry->body_case = BP__LOG__ENTRY__BODY_JOB_SUBMIT;
	entry->job_submit = submit;
}

int
logrig_submit(
    logrig_t *rig, const char *job, uint32_t give_up_ms, outcome_t *outcome)
{
	Bp__Log__Entry entry;
	Bp__Log__JobSubmit submit;
	Bp__Log__JobSpec spec;

	*outcome = (outcome_t){0};
	fill_submit(&entry, &submit, &spec, job);
	return bp_appender_add(
	    rig->appender, &entry, give_up_ms, on_done, outcome, NULL);
}

static void
put_record(logrig_t *rig, Bp__Log__Record *record)
{
	uint8_t bytes[1024];
	size_t size = bp__log__record__get_packed_size(record);

	g_assert_cmpuint(size, <=, sizeof(bytes));
	bp__log__record__pack(record, bytes);
	fakelog_put(rig->log, BP_STREAM, bytes, size);
}

void
logrig_put_job(logrig_t *rig, const char *job, uint64_t seq)
{
	Bp__Log__Record record = BP__LOG__RECORD__INIT;
	Bp__Log__Entry entry;
	Bp__Log__Entry *entries[] = {&entry};
	Bp__Log__JobSubmit submit;
	Bp__Log__JobSpec spec;

	fill_submit(&entry, &submit, &spec, job);
	record.version = BP_RECORD_VERSION;
	record.node = "node-2";
	record.incarnation = 5;
	record.seq = seq;
	record.zone = "zone-2";
	record.n_entries = 1;
	record.entries = entries;
	put_record(rig, &record);
}

void
logrig_put_key(logrig_t *rig, const char *node, const char *address,
    const char *key, uint64_t seq)
{
	Bp__Log__Record record = BP__LOG__RECORD__INIT;
	Bp__Log__Entry entry = BP__LOG__ENTRY__INIT;
	Bp__Log__Entry *entries[] = {&entry};
	Bp__Log__KeyClaim claim = BP__LOG__KEY_CLAIM__INIT;

	claim.key = (char *)key;
	claim.issued_s = (uint64_t)(g_get_real_time() / G_USEC_PER_SEC);
	entry.body_case = BP__LOG__ENTRY__BODY_KEY_CLAIM;
	entry.key_claim = &claim;
	record.version = BP_RECORD_VERSION;
	record.node = (char *)node;
	record.incarnation = 8;
	record.seq = seq;
	record.zone = "zone-2";
	record.address = (char *)address;
	record.n_entries = 1;
	record.entries = entries;
	put_record(rig, &record);
}

void
logrig_put_clock(logrig_t *rig, int64_t ahead_s)
{
	Bp__Log__Record record = BP__LOG__RECORD__INIT;

	record.version = BP_RECORD_VERSION;
	record.node = "node-3";
	record.incarnation = 9;
	record.seq = 1;
	record.zone = "zone-2";
	record.time_ms = (uint64_t)(g_get_real_time() / 1000 + ahead_s * 1000);
	put_record(rig, &record);
}

void
logrig_put_version(logrig_t *rig, uint32_t version)
{
	Bp__Log__Record record = BP__LOG__RECORD__INIT;

	record.version = version;
	record.node = "node-2";
	record.incarnation = 6;
	record.seq = 1;
	put_record(rig, &record);
}

void
logrig_put_snapshot(
    logrig_t *rig, const bp_state_t *state, uint32_t parts, uint32_t missing)
{
	GByteArray *bytes;
	bp_chunk_id_t id = {bp_state_next_offset(state), 0, parts};
	size_t step;

	CU_ASSERT_EQUAL_FATAL(bp_snapshot_save(&bytes, state, NULL), BP_OK);
	step = bytes->len / parts;
	for (id.part = 0; id.part < parts - missing; id.part++) {
		size_t start = id.part * step;
		GByteArray *chunk = bp_chunk_encode(&id, bytes->data + start,
		    id.part + 1 == parts ? bytes->len - start : step);

		fakelog_put(
		    rig->log, BP_SNAPSHOT_STREAM, chunk->data, chunk->len);
		g_byte_array_unref(chunk);
	}
	g_byte_array_unref(bytes);
}
