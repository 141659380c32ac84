#include "node/control_private.h"

#include "bulrushpost/reason.h"

#include <string.h>

#define COMMAND_MAX_BYTES 4096
#define WEIGHT_MAX 1000
#define RUN_MAX_MS (366ULL * 24 * 3600 * 1000)

/* Team and job names occur in rule files, where these are separators. */
static bool
is_rule_name(const char *name)
{
	const char *p;

	if (name[0] == '\0' || strlen(name) > BP_CONTROL_NAME_MAX_BYTES ||
	    !g_utf8_validate(name, -1, NULL))
		return false;
	for (p = name; *p != '\0'; p++) {
		if ((unsigned char)*p <= ' ' || *p == 0x7f ||
		    strchr(",#", *p) != NULL)
			return false;
	}
	return true;
}

static bool
is_text(const char *text, size_t max_bytes)
{
	return strlen(text) <= max_bytes && g_utf8_validate(text, -1, NULL);
}

static int
check_amounts(const Bp__Log__JobSpec *spec, uint32_t tasks_max, bp_error_t *err)
{
	if (spec->klass < BP__LOG__TASK_CLASS__CLASS_SERVICE ||
	    spec->klass > BP__LOG__TASK_CLASS__CLASS_BATCH)
		return bp_error_set(
		    err, BP_EINVALID, "class: service, urgent or batch");
	if (spec->tasks == 0 || spec->tasks > tasks_max)
		return bp_error_set(err, BP_EINVALID,
		    "tasks: %u, where 1 to %u are allowed", spec->tasks,
		    tasks_max);
	if (spec->cpu_milli == 0)
		return bp_error_set(
		    err, BP_EINVALID, "cpu: more than 0 processors for a task");
	if (spec->memory_mib == 0)
		return bp_error_set(
		    err, BP_EINVALID, "memory: more than 0 MiB for a task");
	if (spec->weight > WEIGHT_MAX)
		return bp_error_set(err, BP_EINVALID,
		    "weight: %u, where at most %d is allowed", spec->weight,
		    WEIGHT_MAX);
	if (spec->run_ms > RUN_MAX_MS)
		return bp_error_set(
		    err, BP_EINVALID, "run time: at most 366 days");
	return BP_OK;
}

static int
check_spec(const Bp__Log__JobSpec *spec, uint32_t tasks_max, bp_error_t *err)
{
	if (!is_rule_name(spec->id))
		return bp_error_set(err, BP_EINVALID,
		    "id: 1 to %d bytes of UTF-8 without blanks, commas and #",
		    BP_CONTROL_NAME_MAX_BYTES);
	if (!is_rule_name(spec->team))
		return bp_error_set(err, BP_EINVALID,
		    "team: 1 to %d bytes of UTF-8 without blanks, commas and "
		    "#",
		    BP_CONTROL_NAME_MAX_BYTES);
	if (!is_rule_name(spec->name))
		return bp_error_set(err, BP_EINVALID,
		    "name: 1 to %d bytes of UTF-8 without blanks, commas and "
		    "#",
		    BP_CONTROL_NAME_MAX_BYTES);
	if (!is_text(spec->command, COMMAND_MAX_BYTES))
		return bp_error_set(err, BP_EINVALID,
		    "command: at most %d bytes of UTF-8", COMMAND_MAX_BYTES);
	if (!is_text(spec->submitted_by, BP_CONTROL_NAME_MAX_BYTES))
		return bp_error_set(err, BP_EINVALID,
		    "submitted by: at most %d bytes of UTF-8",
		    BP_CONTROL_NAME_MAX_BYTES);
	return check_amounts(spec, tasks_max, err);
}

static int
check_fits(
    const bp_state_t *state, const Bp__Log__JobSpec *spec, bp_error_t *err)
{
	bp_job_t job = {0};

	job.size.cpu_milli = spec->cpu_milli;
	job.size.memory_mib = spec->memory_mib;
	job.size.accelerators = spec->accelerators;
	return bp_reason_check_size(state, &job, err);
}

/* A submission repeated after a lost answer refers to the same job. */
static bool
is_same(const bp_job_t *job, const Bp__Log__JobSpec *spec)
{
	return strcmp(job->team->name, spec->team) == 0 &&
	    strcmp(job->name, spec->name) == 0 &&
	    strcmp(job->command, spec->command) == 0 &&
	    (int)job->klass == (int)spec->klass &&
	    job->n_tasks == spec->tasks &&
	    job->declared_size.cpu_milli == spec->cpu_milli &&
	    job->declared_size.memory_mib == spec->memory_mib &&
	    job->declared_size.accelerators == spec->accelerators &&
	    job->run_ms == spec->run_ms &&
	    job->never_rerun == (spec->never_rerun != 0);
}

static void
reply_accepted(bp_peer_request_t *request, const char *id, const char *what,
    uint64_t offset)
{
	JsonBuilder *json = json_builder_new();
	char *message = g_strdup_printf("job %s %s", id, what);
	char *body;

	json_builder_begin_object(json);
	bp_control_put_text(json, "id", id);
	bp_control_put_number(json, "offset", (int64_t)offset);
	body = bp_control_finish_json(json);
	bp_control_reply_arg(request, message, body, id);
	g_free(body);
	g_free(message);
}

static void
on_submitted(const bp_applied_t *applied, const bp_error_t *err, void *data)
{
	bp_control_call_t *call = data;
	const bp_job_t *job;

	if (applied == NULL && err->kind == BP_EUNKNOWN) {
		char *message =
		    g_strdup_printf("%s; ask for the status of job %s",
			err->message, call->name);

		bp_control_reply(call->request, BP_EUNKNOWN,
		    BP_OUTCOME_NOT_KNOWN, message, NULL);
		g_free(message);
		bp_control_call_free(call);
		return;
	}
	if (bp_control_failed(call, applied, err))
		return;
	job = bp_state_job(bp_control_state(call->control), call->name);
	reply_accepted(
	    call->request, call->name, "is accepted", job->submit_offset);
	bp_control_call_free(call);
}

static void
append(
    bp_control_t *control, bp_peer_request_t *request, Bp__Log__JobSpec *spec)
{
	Bp__Log__Entry entry = BP__LOG__ENTRY__INIT;
	Bp__Log__JobSubmit submit = BP__LOG__JOB_SUBMIT__INIT;

	submit.spec = spec;
	entry.body_case = BP__LOG__ENTRY__BODY_JOB_SUBMIT;
	entry.job_submit = &submit;
	bp_control_append(
	    control, request, &entry, spec->id, NULL, on_submitted);
}

static void
submit(
    bp_control_t *control, bp_peer_request_t *request, Bp__Log__JobSpec *spec)
{
	const bp_settings_limits_t *limits = &control->options.settings->limits;
	const bp_state_t *state = bp_control_state(control);
	const bp_job_t *known = bp_state_job(state, spec->id);
	bp_error_t err;

	if (check_spec(spec, limits->job_tasks, &err) != BP_OK) {
		bp_control_reply_error(request, &err, BP_OUTCOME_NOT_RUN);
	} else if (known != NULL && is_same(known, spec)) {
		reply_accepted(request, spec->id, "was accepted before",
		    known->submit_offset);
	} else if (known != NULL) {
		bp_control_refuse(
		    request, BP_ECONFLICT, "another job has id %s", spec->id);
	} else if (check_fits(state, spec, &err) != BP_OK) {
		bp_control_reply_error(request, &err, BP_OUTCOME_NOT_RUN);
	} else if (bp_state_waiting(state)->len >= limits->pending_jobs) {
		bp_control_refuse(request, BP_EOVERLOAD,
		    "%u jobs wait already, the limit of this node",
		    bp_state_waiting(state)->len);
	} else if (control->draining) {
		bp_control_refuse(
		    request, BP_EDRAINING, "this node is draining");
	} else {
		append(control, request, spec);
	}
}

/* VERB_JOB_SUBMIT: body is a JobSpec; the answer's arg is the job id. */
void
bp_control_job_submit(bp_control_t *control, bp_peer_request_t *request)
{
	const ProtobufCBinaryData *body = &bp_peer_request_frame(request)->body;
	Bp__Log__JobSpec *spec;
	char *given;
	char *made;

	if (bp_control_refuse_unknown_state(control, request))
		return;
	spec = bp__log__job_spec__unpack(NULL, body->len, body->data);
	if (spec == NULL) {
		bp_control_refuse(
		    request, BP_EINVALID, "the body is not a job");
		return;
	}
	made = g_uuid_string_random();
	given = spec->id;
	if (given[0] == '\0')
		spec->id = made;
	submit(control, request, spec);
	spec->id = given;
	g_free(made);
	bp__log__job_spec__free_unpacked(spec, NULL);
}
