#include "node/control_private.h"

#include <string.h>

#define TASKS_SHOWN_MAX 1000

static const char *
job_state(const bp_job_t *job)
{
	if (job->n_ended == job->n_tasks)
		return job->cancelled ? "cancelled" : "ended";
	if (job->cancelled)
		return "cancelling";
	return job->n_assigned > 0 ? "running" : "waiting";
}

/* An assign entry sets the epoch, which is never 0 and is kept afterwards. */
static bool
was_assigned(const bp_task_t *task)
{
	return task->epoch != 0 || task->attempt > 1 ||
	    task->state == BP_TASK_ASSIGNED;
}

static bool
has_run(const bp_task_t *task)
{
	return task->outcome == BP__LOG__TASK_OUTCOME__OUTCOME_SUCCEEDED ||
	    task->outcome == BP__LOG__TASK_OUTCOME__OUTCOME_FAILED ||
	    task->outcome == BP__LOG__TASK_OUTCOME__OUTCOME_EVICTED;
}

/*
 * Returns "not run" only when all tasks have ended without any valid assign
 * entry, since a start may follow each of those, and "ran" when the end of an
 * attempt proves it.
 */
bp_outcome_t
bp_control_job_outcome(const bp_job_t *job)
{
	bool assigned = false;
	uint32_t i;

	for (i = 0; i < job->n_tasks; i++) {
		if (has_run(&job->tasks[i]))
			return BP_OUTCOME_RAN;
		assigned = assigned || was_assigned(&job->tasks[i]);
	}
	if (job->n_ended == job->n_tasks && !assigned)
		return BP_OUTCOME_NOT_RUN;
	return BP_OUTCOME_NOT_KNOWN;
}

static void
put_job(JsonBuilder *json, const bp_job_t *job)
{
	bp_control_put_text(json, "id", job->id);
	bp_control_put_text(json, "name", job->name);
	bp_control_put_text(json, "team", job->team->name);
	bp_control_put_text(json, "class", bp_task_class_name(job->klass));
	bp_control_put_text(json, "state", job_state(job));
	bp_control_put_text(
	    json, "outcome", bp_outcome_name(bp_control_job_outcome(job)));
	bp_control_put_number(json, "tasks", job->n_tasks);
	bp_control_put_number(json, "waiting", job->n_waiting);
	bp_control_put_number(json, "assigned", job->n_assigned);
	bp_control_put_number(json, "ended", job->n_ended);
	bp_control_put_number(json, "submit_ms", job->submit_ms);
	bp_control_put_text(json, "submitted_by", job->submitted_by);
	if (job->cancelled)
		bp_control_put_text(json, "cancelled_by", job->cancelled_by);
}

static const char *
task_state(const bp_task_t *task)
{
	const ProtobufCEnumValue *value;

	if (task->state == BP_TASK_WAITING)
		return "waiting";
	if (task->state == BP_TASK_ASSIGNED)
		return "assigned";
	value = protobuf_c_enum_descriptor_get_value(
	    &bp__log__task_outcome__descriptor, task->outcome);
	return value != NULL ? value->name : "ended";
}

static void
put_tasks(JsonBuilder *json, const bp_job_t *job)
{
	uint32_t i;

	json_builder_set_member_name(json, "task_list");
	json_builder_begin_array(json);
	for (i = 0; i < MIN(job->n_tasks, (uint32_t)TASKS_SHOWN_MAX); i++) {
		const bp_task_t *task = &job->tasks[i];

		json_builder_begin_object(json);
		bp_control_put_number(json, "task", i);
		bp_control_put_text(json, "state", task_state(task));
		bp_control_put_number(json, "attempt", task->attempt);
		bp_control_put_text(
		    json, "vm", task->vm != NULL ? task->vm->name : "");
		bp_control_put_number(json, "since_ms", task->since_ms);
		json_builder_end_object(json);
	}
	json_builder_end_array(json);
}

static char *
job_line(const bp_job_t *job)
{
	return g_strdup_printf("%s %s, team %s, %s, %s: %u waiting, %u "
			       "assigned, %u ended of %u",
	    job->id, job->name, job->team->name, bp_task_class_name(job->klass),
	    job_state(job), job->n_waiting, job->n_assigned, job->n_ended,
	    job->n_tasks);
}

static void
reply_job(bp_peer_request_t *request, const bp_job_t *job, const char *before)
{
	bp_outcome_t outcome = bp_control_job_outcome(job);
	JsonBuilder *json = json_builder_new();
	char *line = job_line(job);
	char *message = g_strdup_printf(
	    "%s%s\noutcome: %s", before, line, bp_outcome_name(outcome));
	char *body;

	json_builder_begin_object(json);
	put_job(json, job);
	put_tasks(json, job);
	body = bp_control_finish_json(json);
	bp_control_reply(request, BP_OK, outcome, message, body);
	g_free(body);
	g_free(message);
	g_free(line);
}

/*
 * VERB_JOB_STATUS: arg id. The outcome of an unknown id is not known: its
 * submission may still be in flight, or the job ended hours ago.
 */
void
bp_control_job_status(bp_control_t *control, bp_peer_request_t *request)
{
	const char *id = bp_control_arg(request, 0);
	const bp_job_t *job = bp_state_job(bp_control_state(control), id);
	char *message;

	if (bp_control_refuse_unknown_state(control, request))
		return;
	if (job != NULL) {
		reply_job(request, job, "");
		return;
	}
	message = g_strdup_printf("no job has id %.128s up to offset "
				  "%" G_GUINT64_FORMAT,
	    id, bp_state_next_offset(bp_control_state(control)));
	bp_control_reply(
	    request, BP_ENOTFOUND, BP_OUTCOME_NOT_KNOWN, message, NULL);
	g_free(message);
}

static void
on_cancelled(const bp_applied_t *applied, const bp_error_t *err, void *data)
{
	bp_control_call_t *call = data;
	const bp_job_t *job;

	if (bp_control_failed(call, applied, err))
		return;
	job = bp_state_job(bp_control_state(call->control), call->name);
	reply_job(call->request, job, "cancelled: ");
	bp_control_call_free(call);
}

/* VERB_JOB_CANCEL: args id and by. The outcome is that of the job. */
void
bp_control_job_cancel(bp_control_t *control, bp_peer_request_t *request)
{
	Bp__Log__Entry entry = BP__LOG__ENTRY__INIT;
	Bp__Log__JobCancel cancel = BP__LOG__JOB_CANCEL__INIT;

	if (bp_control_refuse_unknown_state(control, request))
		return;
	cancel.job = (char *)bp_control_arg(request, 0);
	cancel.by = (char *)bp_control_arg(request, 1);
	if (cancel.job[0] == '\0' || cancel.by[0] == '\0' ||
	    strlen(cancel.by) > BP_CONTROL_NAME_MAX_BYTES) {
		bp_control_refuse(request, BP_EINVALID,
		    "a job id and a name of at most %d bytes are needed",
		    BP_CONTROL_NAME_MAX_BYTES);
		return;
	}
	entry.body_case = BP__LOG__ENTRY__BODY_JOB_CANCEL;
	entry.job_cancel = &cancel;
	bp_control_append(
	    control, request, &entry, cancel.job, NULL, on_cancelled);
}

static gint
compare_newest(gconstpointer a, gconstpointer b)
{
	const bp_job_t *x = a;
	const bp_job_t *y = b;

	if (x->submit_offset != y->submit_offset)
		return x->submit_offset > y->submit_offset ? -1 : 1;
	return strcmp(x->id, y->id);
}

static bool
passes(const bp_job_t *job, const char *filter)
{
	const char *value = strchr(filter, '=');

	if (value == NULL || value[1] == '\0')
		return true;
	if (g_str_has_prefix(filter, "team="))
		return strcmp(job->team->name, value + 1) == 0;
	if (g_str_has_prefix(filter, "state="))
		return strcmp(job_state(job), value + 1) == 0;
	return false;
}

static bool
passes_all(const bp_job_t *job, const Bp__Peer__Frame *frame)
{
	size_t i;

	for (i = 0; i < frame->n_args; i++) {
		if (!passes(job, frame->args[i]))
			return false;
	}
	return true;
}

/* Upper estimate of what a job adds to the answer's text and JSON. */
static size_t
job_bytes(const bp_job_t *job)
{
	return 512 +
	    3 *
	    (strlen(job->id) + strlen(job->name) + strlen(job->team->name) +
		strlen(job->submitted_by));
}

/* VERB_JOB_LIST: args team=NAME and state=STATE; the newest jobs first. */
void
bp_control_job_list(bp_control_t *control, bp_peer_request_t *request)
{
	const Bp__Peer__Frame *frame = bp_peer_request_frame(request);
	GList *jobs = g_list_sort(
	    g_hash_table_get_values(bp_state_jobs(bp_control_state(control))),
	    compare_newest);
	JsonBuilder *json = json_builder_new();
	GString *text = g_string_new(NULL);
	size_t bytes = 0;
	uint32_t left_out = 0;
	GList *item;
	char *body;

	json_builder_begin_object(json);
	json_builder_set_member_name(json, "jobs");
	json_builder_begin_array(json);
	for (item = jobs; item != NULL; item = item->next) {
		const bp_job_t *job = item->data;
		char *line;

		if (!passes_all(job, frame))
			continue;
		bytes += job_bytes(job);
		if (bytes > BP_CONTROL_LIST_BYTES) {
			left_out++;
			continue;
		}
		line = job_line(job);
		json_builder_begin_object(json);
		put_job(json, job);
		json_builder_end_object(json);
		g_string_append_printf(
		    text, "%s%s", text->len > 0 ? "\n" : "", line);
		g_free(line);
	}
	json_builder_end_array(json);
	bp_control_put_number(json, "left_out", left_out);
	if (left_out > 0)
		g_string_append_printf(
		    text, "\n%u older jobs were left out", left_out);
	if (text->len == 0)
		g_string_append(text, "no such jobs");
	body = bp_control_finish_json(json);
	bp_control_reply(request, BP_OK, BP_OUTCOME_RAN, text->str, body);
	g_free(body);
	g_string_free(text, TRUE);
	g_list_free(jobs);
}
