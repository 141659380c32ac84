#include "queues/shard_private.h"

#include <inttypes.h>
#include <json-glib/json-glib.h>
#include <string.h>

#define PERCENT 100.0

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
    {"invalid",
	"waits: an executor rejected a start as malformed; its step is tried "
	"again at growing intervals"},
    {"customer_cap", "waits: its customer's running tasks are at their cap"},
    {"customer_share",
	"waits: its customer uses more than its share of a full site"},
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

static bool
is_lack_of_room(const char *cause)
{
	return strcmp(cause, "no_capacity") == 0 ||
	    strcmp(cause, "headroom") == 0;
}

static const char *
task_reason(
    const bp_shard_t *shard, const bp_qtask_t *task, const GPtrArray *causes)
{
	bp_qstep_t *step = task->step;
	const char *cause;

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
	if (!bp_qstep_within_cap(step))
		return "customer_cap";
	if (step->refused)
		return "invalid";
	if (step->rooms > 0)
		return "reserved_for_large";
	if (step->reason != NULL && strcmp(step->reason, "headroom") == 0)
		cause = "headroom";
	else
		cause = main_cause(causes);
	/* Others go first only where there is not room for all. */
	if (is_lack_of_room(cause) && bp_qstep_over_share(shard, step))
		return "customer_share";
	return cause;
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

static void
add_size(
    JsonBuilder *builder, const char *member, const bp_customer_size_t *size)
{
	json_builder_set_member_name(builder, member);
	json_builder_begin_object(builder);
	json_builder_set_member_name(builder, "cpu_milli");
	json_builder_add_int_value(builder, (gint64)size->cpu_milli);
	json_builder_set_member_name(builder, "memory_mib");
	json_builder_add_int_value(builder, (gint64)size->memory_mib);
	json_builder_set_member_name(builder, "accelerators");
	json_builder_add_int_value(builder, (gint64)size->accelerators);
	json_builder_end_object(builder);
}

/* Adds what the job's customer uses and may use on this shard. */
static void
add_customer(
    JsonBuilder *builder, const bp_shard_t *shard, const bp_qjob_t *job)
{
	bp_customer_figures_t figures;

	if (!bp_customers_enabled(shard->customers) ||
	    bp_customer_name(job->account)[0] == '\0')
		return;
	bp_customer_figures(job->account, job->spec->priority == 0, &figures);
	json_builder_set_member_name(builder, "customer");
	json_builder_begin_object(builder);
	json_builder_set_member_name(builder, "name");
	json_builder_add_string_value(builder, bp_customer_name(job->account));
	add_size(builder, "in_use", &figures.used);
	add_size(builder, "cap", &figures.part);
	json_builder_set_member_name(builder, "share_percent");
	json_builder_add_double_value(builder, figures.used_share * PERCENT);
	json_builder_set_member_name(builder, "entitled_percent");
	json_builder_add_double_value(
	    builder, figures.entitled_share * PERCENT);
	json_builder_end_object(builder);
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
	json_builder_add_string_value(builder, bp_shard_queue_of(shard, job));
	json_builder_set_member_name(builder, "priority");
	json_builder_add_int_value(builder, job->spec->priority);
	add_customer(builder, shard, job);
	json_builder_set_member_name(builder, "tasks");
	json_builder_begin_array(builder);
	for (i = 0; i < job->n_steps * job->occurrences; i++)
		add_tasks(builder, shard, &job->steps[i]);
	json_builder_end_array(builder);
	json_builder_end_object(builder);
	return finish(builder);
}

/* Adds the customer's use and cap on this shard to a line. */
static void
add_cap_text(GString *text, const bp_qjob_t *job)
{
	bp_customer_figures_t figures;

	bp_customer_figures(job->account, job->spec->priority == 0, &figures);
	g_string_append_printf(text,
	    "; customer %s uses %" G_GUINT64_FORMAT " of %" G_GUINT64_FORMAT
	    " milli-CPUs, %" G_GUINT64_FORMAT " of %" G_GUINT64_FORMAT
	    " MiB, %" G_GUINT64_FORMAT " of %" G_GUINT64_FORMAT
	    " accelerators (0: no cap)",
	    bp_customer_name(job->account), figures.used.cpu_milli,
	    figures.part.cpu_milli, figures.used.memory_mib,
	    figures.part.memory_mib, figures.used.accelerators,
	    figures.part.accelerators);
}

/* Adds the customer's use and share of the site to a line. */
static void
add_share_text(GString *text, const bp_qjob_t *job)
{
	bp_customer_figures_t figures;

	bp_customer_figures(job->account, job->spec->priority == 0, &figures);
	g_string_append_printf(text,
	    "; customer %s uses %.1f%% of the site, its share by weight is "
	    "%.1f%%",
	    bp_customer_name(job->account), figures.used_share * PERCENT,
	    figures.entitled_share * PERCENT);
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
	if (strcmp(reason, "customer_cap") == 0)
		add_cap_text(text, step->job);
	if (strcmp(reason, "customer_share") == 0)
		add_share_text(text, step->job);
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
	    bp_shard_queue_of(shard, job), job->spec->priority);
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
