#include "node/control_private.h"

static const char *
entry_name(const Bp__Log__Entry *entry)
{
	switch (entry->body_case) {
	case BP__LOG__ENTRY__BODY_CLAIM:
		return "claim";
	case BP__LOG__ENTRY__BODY_RELEASE:
		return "release";
	case BP__LOG__ENTRY__BODY_VM_UPSERT:
		return "vm";
	case BP__LOG__ENTRY__BODY_VM_HOLD:
		return "hold";
	case BP__LOG__ENTRY__BODY_JOB_SUBMIT:
		return "submit";
	case BP__LOG__ENTRY__BODY_JOB_CANCEL:
		return "cancel";
	case BP__LOG__ENTRY__BODY_ASSIGN:
		return "assign";
	case BP__LOG__ENTRY__BODY_TASK_END:
		return "end";
	case BP__LOG__ENTRY__BODY_RULES_PUBLISH:
		return "rules";
	case BP__LOG__ENTRY__BODY_ZONE_CHANGE:
		return "zone";
	case BP__LOG__ENTRY__BODY_KEY_CLAIM:
		return "key";
	case BP__LOG__ENTRY__BODY_JOB_RESIZE:
		return "resize";
	case BP__LOG__ENTRY__BODY__NOT_SET:
	case _BP__LOG__ENTRY__BODY__CASE_IS_INT_SIZE:
		break;
	}
	return "unknown";
}

static const char *
zone_of(const bp_control_t *control, const char *vm_name)
{
	const bp_vm_t *vm = bp_state_vm(bp_control_state(control), vm_name);

	return vm != NULL ? vm->rack->zone->name : NULL;
}

static const char *
outcome_name(Bp__Log__TaskOutcome outcome)
{
	const ProtobufCEnumValue *value = protobuf_c_enum_descriptor_get_value(
	    &bp__log__task_outcome__descriptor, (int)outcome);

	return value != NULL ? value->name : "OUTCOME_UNKNOWN";
}

static void
add_job_event(bp_timeline_t *timeline, const bp_control_t *control,
    const Bp__Log__Entry *entry, const char *kind, const char *result)
{
	switch (entry->body_case) {
	case BP__LOG__ENTRY__BODY_JOB_SUBMIT:
		if (entry->job_submit->spec != NULL)
			bp_timeline_add(timeline, kind,
			    entry->job_submit->spec->id, NULL, NULL,
			    "team %s, %u tasks, by %s: %s",
			    entry->job_submit->spec->team,
			    entry->job_submit->spec->tasks,
			    entry->job_submit->spec->submitted_by, result);
		return;
	case BP__LOG__ENTRY__BODY_JOB_CANCEL:
		bp_timeline_add(timeline, kind, entry->job_cancel->job, NULL,
		    NULL, "by %s: %s", entry->job_cancel->by, result);
		return;
	case BP__LOG__ENTRY__BODY_ASSIGN:
		bp_timeline_add(timeline, kind, entry->assign->job,
		    entry->assign->vm, zone_of(control, entry->assign->vm),
		    "%u tasks from %u, attempt %u: %s", entry->assign->count,
		    entry->assign->first_task, entry->assign->attempt, result);
		return;
	case BP__LOG__ENTRY__BODY_TASK_END:
		bp_timeline_add(timeline, kind, entry->task_end->job, NULL,
		    NULL, "task %u, attempt %u, %s %s: %s",
		    entry->task_end->task, entry->task_end->attempt,
		    outcome_name(entry->task_end->outcome),
		    entry->task_end->detail, result);
		return;
	default:
		return;
	}
}

static void
add_place_event(bp_timeline_t *timeline, const bp_control_t *control,
    const Bp__Log__Entry *entry, const char *kind, const char *result)
{
	switch (entry->body_case) {
	case BP__LOG__ENTRY__BODY_CLAIM:
		bp_timeline_add(timeline, kind, NULL, NULL, NULL,
		    "rack %s at epoch %" G_GUINT64_FORMAT ": %s",
		    entry->claim->rack, entry->claim->epoch, result);
		return;
	case BP__LOG__ENTRY__BODY_RELEASE:
		bp_timeline_add(timeline, kind, NULL, NULL, NULL,
		    "rack %s at epoch %" G_GUINT64_FORMAT ": %s",
		    entry->release->rack, entry->release->epoch, result);
		return;
	case BP__LOG__ENTRY__BODY_VM_UPSERT:
		bp_timeline_add(timeline, kind, NULL, entry->vm_upsert->vm,
		    entry->vm_upsert->zone, "%s: %s",
		    entry->vm_upsert->gone ? "gone" : "known", result);
		return;
	case BP__LOG__ENTRY__BODY_VM_HOLD:
		bp_timeline_add(timeline, kind, NULL, entry->vm_hold->vm,
		    zone_of(control, entry->vm_hold->vm), "%s %s: %s",
		    entry->vm_hold->cause != 0 ? "held" : "no longer held",
		    entry->vm_hold->detail, result);
		return;
	case BP__LOG__ENTRY__BODY_RULES_PUBLISH:
		bp_timeline_add(timeline, kind, NULL, NULL, NULL,
		    "from version %" G_GUINT64_FORMAT " by %s: %s",
		    entry->rules_publish->base_version,
		    entry->rules_publish->author, result);
		return;
	case BP__LOG__ENTRY__BODY_ZONE_CHANGE:
		bp_timeline_add(timeline, kind, NULL, NULL,
		    entry->zone_change->zone, "%s by %s (%s): %s",
		    entry->zone_change->out ? "out" : "in",
		    entry->zone_change->author, entry->zone_change->reason,
		    result);
		return;
	default:
		return;
	}
}

/*
 * Records one applied entry. Only the writer adds an event, so that the
 * merged timeline of all nodes has each entry once. Key claims are left out:
 * there is one for each request with a key.
 */
void
bp_control_record(bp_control_t *control, const bp_applied_t *applied)
{
	bp_timeline_t *timeline = control->options.timeline;
	const char *kind = entry_name(applied->entry);
	bool effective = applied->kind == BP_OK;

	bp_timeline_advance_offset(timeline, applied->offset);
	if (applied->incarnation != control->options.incarnation)
		return;
	bp_metric_add(
	    bp_metrics_counter(control->options.metrics,
		"bulrushpost_entries_total", "kind", kind, "result",
		effective ? "ok" : bp_error_info(applied->kind)->name, NULL),
	    1);
	add_job_event(timeline, control, applied->entry, kind,
	    effective ? "ok" : applied->message);
	add_place_event(timeline, control, applied->entry, kind,
	    effective ? "ok" : applied->message);
}
