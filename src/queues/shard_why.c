#include "queues/shard_private.h"

#include <inttypes.h>
#include <json-glib/json-glib.h>
#include <string.h>

/* Text of each reason for operators; docs/OPERATIONS.md has a row for each. */
static const struct {
	const char *name;
	const char *text;
} reasons[] = {
    {"running", "runs"},
    {"done", "is done"},
    {"in_doubt", "may be running: an order got no answer; stopping the run"},
    {"census",
	"may be running: the shard has a new owner, which an executor has not "
	"answered yet"},
    {"cancelling", "waits until its cancellation is stored"},
    {"not_due", "waits for its start time"},
    {"dependency", "waits for an earlier step"},
    {"store_unavailable",
	"waits: the store does not confirm that this node owns the shard"},
    {"no_executor", "waits: no executor of the queue's service is listed"},
    {"no_capacity", "waits for free capacity"},
    {"reserved_for_large",
	"waits: capacity is reserved for a large task until its time"},
    {"kept", "waits: capacity is reserved for a longer waiting urgent task"},
    {"label", "waits for an executor with the required label"},
    {"spread", "waits: executors with capacity run too many of its step"},
    {"disturbs", "waits: it would interfere too much with serving tasks"},
    {"headroom", "waits: batch leaves the remaining capacity to urgent work"},
    {"zone_out", "waits: the zone is out of service"},
    {"draining", "waits: the executor is draining or not listed"},
    {"not_recorded",
	"waits: the store has not recorded yet that the executor is used"},
    {"executor_silent", "waits: the executor does not answer"},
    {"restarted",
	"waits: the executor has restarted, and its entry in the list is not "
	"of this life"},
    {"quarantined", "waits: runs fail repeatedly on the executor"},
    {"no_room", "waits: the executor refused a start for lack of capacity"},
    {"unhealthy", "waits: the executor refuses orders or is unreachable"},
    {"no_answer", "waits: the executor did not answer an order"},
    {"other_life", "waits: another executor answers at the address"},
    {"invalid", "waits: the executor rejected a start as malformed"},
    {"turn", "may be placed in one of the next scheduling rounds"},
};

static const char *
text_of(const char *name)
{
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(reasons); i++) {
		if (strcmp(reasons[i].name, name) == 0)
			return reasons[i].text;
	}
	return name;
}

/* Returns the cause that excludes most executors; "turn" when one could take
 * the task. */
static const char *
main_cause(const GPtrArray *causes)
{
	const bp_qwait_cause_t *most = NULL;
	guint i;

	for (i = 0; i < causes->len; i++) {
		const bp_qwait_cause_t *cause = causes->pdata[i];

		if (strcmp(cause->name, "turn") == 0)
			return "turn";
		if (most == NULL || cause->amount > most->amount)
			most = cause;
	}
	return most != NULL ? most->name : "no_executor";
}

static const char *
task_reason(
    const bp_shard_t *shard, const bp_qtask_t *task, const GPtrArray *causes)
{
	bp_qstep_t *step = task->step;

	switch (task->state) {
	case BP_QTASK_RECONCILING:
		return "census";
	case BP_QTASK_PLACED:
		if (task->run->state == BP_QRUN_PLANNED)
			return "turn";
		return task->run->state == BP_QRUN_STOPPING ? "in_doubt"
							    : "running";
	case BP_QTASK_DONE:
		return "done";
	case BP_QTASK_WAITING:
		break;
	}
	if (step->job->cancelling)
		return "cancelling";
	if (bp_qstep_not_before_ms(step) > bp_shard_wall_ms(shard))
		return "not_due";
	if (!bp_qstep_ready(step, INT64_MAX))
		return "dependency";
	if (!bp_shard_may_start(shard))
		return "store_unavailable";
	if (step->rooms > 0)
		return "reserved_for_large";
	if (step->reason != NULL && strcmp(step->reason, "headroom") == 0)
		return "headroom";
	return main_cause(causes);
}

static void
add_causes(JsonBuilder *builder, const GPtrArray *causes)
{
	guint i;

	json_builder_set_member_name(builder, "executors");
	json_builder_begin_object(builder);
	for (i = 0; i < causes->len; i++) {
		const bp_qwait_cause_t *cause = causes->pdata[i];

		json_builder_set_member_name(builder, cause->name);
		json_builder_add_int_value(builder, cause->amount);
	}
	json_builder_end_object(builder);
}

/* Adds the reservation of a large step: the executor, and the time (Unix ms) by
 * which it has enough capacity. */
static void
add_room(JsonBuilder *builder, const bp_shard_t *shard, const bp_qstep_t *step)
{
	const bp_qroom_t *room = bp_qstep_room(shard, step);

	if (room == NULL)
		return;
	json_builder_set_member_name(builder, "reserved_executor");
	json_builder_add_string_value(builder, room->exec->info->id);
	json_builder_set_member_name(builder, "expected_ms");
	json_builder_add_int_value(builder,
	    room->limit.at_ms - bp_shard_now_ms(shard) +
		bp_shard_wall_ms(shard));
}

static void
add_tasks(JsonBuilder *builder, bp_shard_t *shard, bp_qstep_t *step)
{
	GPtrArray *causes = bp_shard_wait_causes(shard, step);
	uint32_t k;

	for (k = 0; k < step->spec->tasks; k++) {
		const bp_qtask_t *task = &step->tasks[k];
		char *name = bp_qtask_name(task);

		json_builder_begin_object(builder);
		json_builder_set_member_name(builder, "task");
		json_builder_add_string_value(builder, name);
		json_builder_set_member_name(builder, "reason");
		json_builder_add_string_value(
		    builder, task_reason(shard, task, causes));
		if (task->state == BP_QTASK_WAITING) {
			add_causes(builder, causes);
			add_room(builder, shard, step);
		}
		json_builder_set_member_name(builder, "failures");
		json_builder_add_int_value(builder, bp_qtask_failures(task));
		if (task->run != NULL) {
			json_builder_set_member_name(builder, "executor");
			json_builder_add_string_value(
			    builder, task->run->exec->info->id);
		}
		json_builder_end_object(builder);
		g_free(name);
	}
	g_ptr_array_unref(causes);
}

static char *
finish(JsonBuilder *builder)
{
	JsonNode *root = json_builder_get_root(builder);
	char *text = json_to_string(root, FALSE);

	json_node_unref(root);
	g_object_unref(builder);
	return text;
}

/* See the header. */
char *
bp_shard_why(bp_shard_t *shard, const char *id)
{
	bp_qjob_t *job = g_hash_table_lookup(shard->jobs, id);
	JsonBuilder *builder;
	uint32_t i;

	if (job == NULL)
		return NULL;
	builder = json_builder_new();
	json_builder_begin_object(builder);
	json_builder_set_member_name(builder, "job");
	json_builder_add_string_value(builder, id);
	json_builder_set_member_name(builder, "queue");
	json_builder_add_string_value(builder, job->spec->queue);
	json_builder_set_member_name(builder, "priority");
	json_builder_add_int_value(builder, job->spec->priority);
	json_builder_set_member_name(builder, "tasks");
	json_builder_begin_array(builder);
	for (i = 0; i < job->n_steps * job->occurrences; i++)
		add_tasks(builder, shard, &job->steps[i]);
	json_builder_end_array(builder);
	json_builder_end_object(builder);
	return finish(builder);
}

/* Adds one line for the tasks of a step with the same reason. */
static void
add_line(GString *text, bp_qstep_t *step, const char *reason, uint32_t tasks,
    const GPtrArray *causes)
{
	guint i;

	g_string_append_printf(text, "\nstep %u", step->number);
	if (step->job->occurrences > 1)
		g_string_append_printf(
		    text, " of occurrence %u", step->occurrence);
	g_string_append_printf(text, ": %u of %u tasks: %s (%s)", tasks,
	    step->spec->tasks, text_of(reason), reason);
	if (strcmp(reason, "running") == 0 || strcmp(reason, "done") == 0)
		return;
	for (i = 0; i < causes->len; i++) {
		const bp_qwait_cause_t *cause = causes->pdata[i];

		g_string_append_printf(text, "%s%s on %u executors",
		    i == 0 ? "; " : ", ", cause->name, cause->amount);
	}
}

/* Adds the reservation of a large step to its line. */
static void
add_room_text(GString *text, const bp_shard_t *shard, const bp_qstep_t *step)
{
	const bp_qroom_t *room = bp_qstep_room(shard, step);

	if (room != NULL)
		g_string_append_printf(text,
		    "; executor %s is reserved for it, expected in %" PRId64
		    " ms",
		    room->exec->info->id,
		    MAX(room->limit.at_ms - bp_shard_now_ms(shard), 0));
}

static void
add_step_lines(GString *text, bp_shard_t *shard, bp_qstep_t *step)
{
	GPtrArray *causes = bp_shard_wait_causes(shard, step);
	size_t i;
	uint32_t k;

	for (i = 0; i < G_N_ELEMENTS(reasons); i++) {
		uint32_t tasks = 0;

		for (k = 0; k < step->spec->tasks; k++)
			tasks += strcmp(reasons[i].name,
				     task_reason(
					 shard, &step->tasks[k], causes)) == 0;
		if (tasks == 0)
			continue;
		add_line(text, step, reasons[i].name, tasks, causes);
		if (strcmp(reasons[i].name, "reserved_for_large") == 0)
			add_room_text(text, shard, step);
	}
	g_ptr_array_unref(causes);
}

/* See the header. */
char *
bp_shard_why_text(bp_shard_t *shard, const char *id)
{
	const bp_qjob_t *job = g_hash_table_lookup(shard->jobs, id);
	GString *text;
	uint32_t i;

	if (job == NULL)
		return NULL;
	text = g_string_new(NULL);
	g_string_append_printf(text, "job %s of queue %s, priority %u", id,
	    job->spec->queue, job->spec->priority);
	if (!job->accepted)
		g_string_append(text, ", not accepted yet");
	if (bp_qjob_ended(job)) {
		g_string_append(text, ", has ended");
		return g_string_free(text, FALSE);
	}
	for (i = 0; i < job->n_steps * job->occurrences; i++)
		add_step_lines(text, shard, &job->steps[i]);
	return g_string_free(text, FALSE);
}
