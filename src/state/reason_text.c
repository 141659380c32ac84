#include "bulrushpost/reason.h"

#include "bulrushpost/resources.h"

#define MS_PER_S 1000
#define CPU_MILLI 1000.0
#define MIB_PER_GIB 1024.0

static void
append_time(GString *text, int64_t wall_ms)
{
	GDateTime *time = g_date_time_new_from_unix_utc(wall_ms / MS_PER_S);
	char *formatted = time != NULL
	    ? g_date_time_format(time, "%Y-%m-%d %H:%M:%S UTC")
	    : g_strdup("an unknown time");

	g_string_append(text, formatted);
	g_free(formatted);
	if (time != NULL)
		g_date_time_unref(time);
}

static void
append_amount(GString *text, const bp_resources_t *amount)
{
	const char *comma = "";

	if (amount->cpu_milli > 0) {
		g_string_append_printf(
		    text, "%.4g processors", amount->cpu_milli / CPU_MILLI);
		comma = ", ";
	}
	if (amount->memory_mib > 0) {
		g_string_append_printf(text, "%s%.4g GiB of memory", comma,
		    amount->memory_mib / MIB_PER_GIB);
		comma = ", ";
	}
	if (amount->accelerators > 0)
		g_string_append_printf(
		    text, "%s%u accelerators", comma, amount->accelerators);
}

static void
append_rule(GString *text, const bp_rule_t *rule)
{
	g_string_append_printf(text, "rule line %u \"%s\", asked for by %s",
	    rule->line, rule->text, rule->requested_by);
}

static const char *
hold_text(Bp__Log__HoldCause hold)
{
	switch (hold) {
	case BP__LOG__HOLD_CAUSE__HOLD_QUARANTINED:
		return "quarantined";
	case BP__LOG__HOLD_CAUSE__HOLD_INTERFERENCE:
		return "closed to new work because a service on it is slow";
	case BP__LOG__HOLD_CAUSE__HOLD_UNREACHABLE:
		return "held as unreachable";
	case BP__LOG__HOLD_CAUSE__HOLD_LEAVING:
		return "leaving";
	default:
		return "held";
	}
}

static void
append_quota(GString *text, const bp_job_t *job, const bp_exclusion_t *one)
{
	g_string_append_printf(
	    text, "team %s has used its quota: in use ", job->team->name);
	append_amount(text, &job->team->used);
	if (bp_resources_is_zero(&job->team->used))
		g_string_append(text, "nothing");
	g_string_append(text, "; one more task exceeds it by ");
	append_amount(text, &one->shortfall);
	g_string_append(text, " (");
	append_rule(text, one->rule);
	g_string_append_c(text, ')');
}

static void
append_zone(GString *text, const bp_zone_t *zone)
{
	g_string_append_printf(text,
	    "availability zone %s was taken out of service by %s (\"%s\") at ",
	    zone->name, zone->author, zone->reason);
	append_time(text, zone->time_ms);
}

static void
append_missing(GString *text, const char *what, const bp_exclusion_t *one)
{
	g_string_append_printf(text, "VM %s %s ", one->vm->name, what);
	append_amount(text, &one->shortfall);
}

static void
append_hold(GString *text, const bp_vm_t *vm)
{
	g_string_append_printf(
	    text, "VM %s is %s", vm->name, hold_text(vm->hold));
	if (vm->hold_detail != NULL && vm->hold_detail[0] != '\0')
		g_string_append_printf(text, " (%s)", vm->hold_detail);
}

static void
append_owner(GString *text, const bp_rack_t *rack)
{
	if (rack == NULL)
		g_string_append(text, "no VM is known yet");
	else
		g_string_append_printf(text,
		    "no node owns rack %s now; another node claims it within "
		    "seconds",
		    rack->name);
}

static void
append_log(GString *text, const bp_reason_input_t *input)
{
	g_string_append(text, "the log service cannot be reached");
	if (input->log_down_since_ms > 0) {
		g_string_append(text, " since ");
		append_time(text, input->log_down_since_ms);
	}
	g_string_append(
	    text, "; running work goes on, nothing new starts until it is");
}

static void
append_turn(GString *text, const bp_reason_input_t *input)
{
	g_string_append(text, "it is not its turn: ");
	if (input->disturbs) {
		g_string_append(text,
		    "on every VM with room it would slow down a service; other "
		    "jobs come first there, until it has waited long enough");
		return;
	}
	if (input->jobs_ahead > 0)
		g_string_append_printf(text, "%u jobs", input->jobs_ahead);
	else
		g_string_append(text, "other jobs");
	g_string_append(
	    text, " come first by class, share of their team and waiting time");
}

static void
append_cause(
    GString *text, const bp_reason_t *reason, const bp_exclusion_t *one)
{
	switch (one->cause) {
	case BP_CAUSE_NEVER_FITS:
		append_missing(text, "is too small by", one);
		break;
	case BP_CAUSE_NO_CAPACITY:
		append_missing(text, "lacks", one);
		break;
	case BP_CAUSE_HEADROOM:
		append_missing(
		    text, "would keep too little free for other work, by", one);
		g_string_append(text, " (");
		append_rule(text, one->rule);
		g_string_append_c(text, ')');
		break;
	case BP_CAUSE_QUOTA:
		append_quota(text, reason->job, one);
		break;
	case BP_CAUSE_RULE:
		append_rule(text, one->rule);
		break;
	case BP_CAUSE_ZONE_OUT:
		append_zone(text, one->zone);
		break;
	case BP_CAUSE_VM_HOLD:
		append_hold(text, one->vm);
		break;
	case BP_CAUSE_NO_OWNER:
		append_owner(text, one->rack);
		break;
	case BP_CAUSE_VM_UNREACHABLE:
		g_string_append_printf(
		    text, "VM %s cannot be reached", one->vm->name);
		break;
	case BP_CAUSE_TURN:
		append_turn(text, &reason->input);
		break;
	case BP_CAUSE_LOG_UNAVAILABLE:
		append_log(text, &reason->input);
		break;
	case BP_CAUSE_STATE_UNKNOWN:
		g_string_append(text,
		    "this node found no snapshot that fits the log and does "
		    "not know the state; ask another node");
		break;
	case BP_CAUSE_LOG_VERSION:
		g_string_append(text,
		    "the log holds records of a newer release; upgrade this "
		    "node");
		break;
	case BP_CAUSE_DRAINING:
		g_string_append(
		    text, "this node is stopping; another node takes over");
		break;
	case BP_CAUSE_STARTING:
		g_string_append(
		    text, "this node is starting and still reads the log");
		break;
	}
}

static void
append_summary(GString *text, const bp_reason_t *reason)
{
	const char *separator = ": ";
	int bit;

	if (reason->vm != NULL)
		g_string_append_printf(text,
		    "Without %s it could start on %u of %u VMs, for example "
		    "%s.\n",
		    reason->causes->len > 1 ? "these causes" : "this cause",
		    reason->n_startable, reason->n_vms, reason->vm->name);
	if (reason->n_vms == 0)
		return;
	g_string_append_printf(text, "VMs that cannot take it now, by cause");
	for (bit = 0; bit < BP_CAUSES; bit++) {
		if (reason->by_cause[bit] == 0)
			continue;
		g_string_append_printf(text, "%s%s %u", separator,
		    bp_cause_name((bp_cause_t)(1U << bit)),
		    reason->by_cause[bit]);
		separator = ", ";
	}
	g_string_append(text, separator[0] == ':' ? ": none.\n" : ".\n");
}

static void
append_waiting(GString *text, const bp_reason_t *reason)
{
	guint i;

	g_string_append(text, " waits because\n");
	for (i = 0; i < reason->causes->len; i++) {
		const bp_reason_cause_t *cause =
		    &g_array_index(reason->causes, bp_reason_cause_t, i);

		g_string_append_printf(
		    text, "  %s: ", bp_cause_name(cause->exclusion.cause));
		append_cause(text, reason, &cause->exclusion);
		g_string_append(text, "\n");
	}
	append_summary(text, reason);
}

/* Returns the explanation as several lines of text; free with g_free. */
char *
bp_reason_text(const bp_reason_t *reason)
{
	const bp_job_t *job = reason->job;
	const bp_task_t *task = &job->tasks[reason->task];
	GString *text = g_string_new(NULL);

	g_string_append_printf(text, "Task %u of job %s (%s, team %s)",
	    reason->task, job->id, bp_task_class_name(job->klass),
	    job->team->name);
	switch (reason->kind) {
	case BP_REASON_WAITING:
		append_waiting(text, reason);
		return g_string_free(text, FALSE);
	case BP_REASON_READY:
		g_string_append_printf(text,
		    " waits for nothing; %u VMs can take it and it starts "
		    "within seconds",
		    reason->n_startable);
		break;
	case BP_REASON_ASSIGNED:
		g_string_append_printf(text,
		    " is assigned to VM %s, attempt %u, since ",
		    reason->vm->name, task->attempt);
		append_time(text, task->since_ms);
		break;
	case BP_REASON_ENDED:
		g_string_append(text, " ended at ");
		append_time(text, task->since_ms);
		break;
	case BP_REASON_CANCELLED:
		g_string_append_printf(text, " was cancelled by %s",
		    job->cancelled_by != NULL ? job->cancelled_by : "somebody");
		break;
	}
	g_string_append(text, ".\n");
	return g_string_free(text, FALSE);
}
