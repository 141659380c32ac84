#include "bulrushpost/reason.h"

#include "bulrushpost/resources.h"

#include <json-glib/json-glib.h>

static const char *
kind_name(bp_reason_kind_t kind)
{
	switch (kind) {
	case BP_REASON_WAITING:
		return "waiting";
	case BP_REASON_READY:
		return "ready";
	case BP_REASON_ASSIGNED:
		return "assigned";
	case BP_REASON_ENDED:
		return "ended";
	case BP_REASON_CANCELLED:
		return "cancelled";
	}
	return "unknown";
}

static void
add_text(JsonBuilder *json, const char *name, const char *value)
{
	json_builder_set_member_name(json, name);
	json_builder_add_string_value(json, value != NULL ? value : "");
}

static void
add_number(JsonBuilder *json, const char *name, int64_t value)
{
	json_builder_set_member_name(json, name);
	json_builder_add_int_value(json, value);
}

static void
add_amount(JsonBuilder *json, const char *name, const bp_resources_t *amount)
{
	if (bp_resources_is_zero(amount))
		return;
	json_builder_set_member_name(json, name);
	json_builder_begin_object(json);
	add_number(json, "cpu_milli", amount->cpu_milli);
	add_number(json, "memory_mib", amount->memory_mib);
	add_number(json, "accelerators", amount->accelerators);
	json_builder_end_object(json);
}

static void
add_zone(JsonBuilder *json, const bp_zone_t *zone)
{
	json_builder_set_member_name(json, "zone");
	json_builder_begin_object(json);
	add_text(json, "name", zone->name);
	add_text(json, "taken_out_by", zone->author);
	add_text(json, "reason", zone->reason);
	add_number(json, "since_ms", zone->time_ms);
	json_builder_end_object(json);
}

static void
add_rule(JsonBuilder *json, const bp_rule_t *rule)
{
	json_builder_set_member_name(json, "rule");
	json_builder_begin_object(json);
	add_number(json, "line", rule->line);
	add_text(json, "text", rule->text);
	add_text(json, "asked_by", rule->requested_by);
	json_builder_end_object(json);
}

static void
add_cause(JsonBuilder *json, const bp_reason_t *reason,
    const bp_reason_cause_t *cause)
{
	const bp_exclusion_t *one = &cause->exclusion;

	json_builder_begin_object(json);
	add_text(json, "cause", bp_cause_name(one->cause));
	if (one->rule != NULL)
		add_rule(json, one->rule);
	if (one->zone != NULL)
		add_zone(json, one->zone);
	if (one->cause == BP_CAUSE_NO_OWNER && one->rack != NULL)
		add_text(json, "rack", one->rack->name);
	if (one->vm != NULL)
		add_text(json, "vm", one->vm->name);
	if (one->cause == BP_CAUSE_VM_HOLD && one->vm != NULL)
		add_text(json, "hold", one->vm->hold_detail);
	if (one->cause == BP_CAUSE_QUOTA)
		add_amount(json, "used", &reason->job->team->used);
	if (one->cause == BP_CAUSE_LOG_UNAVAILABLE)
		add_number(json, "since_ms", reason->input.log_down_since_ms);
	if (one->cause == BP_CAUSE_TURN)
		add_number(json, "jobs_ahead", reason->input.jobs_ahead);
	add_amount(json, "shortfall", &one->shortfall);
	add_number(json, "vms_excluded", cause->n_vms);
	json_builder_end_object(json);
}

/* Returns the explanation as one JSON object; free it with g_free. */
char *
bp_reason_json(const bp_reason_t *reason)
{
	JsonBuilder *json = json_builder_new();
	char *text = bp_reason_text(reason);
	JsonNode *root;
	char *bytes;
	guint i;

	json_builder_begin_object(json);
	add_text(json, "job", reason->job->id);
	add_number(json, "task", reason->task);
	add_text(json, "team", reason->job->team->name);
	add_text(json, "status", kind_name(reason->kind));
	json_builder_set_member_name(json, "causes");
	json_builder_begin_array(json);
	for (i = 0; i < reason->causes->len; i++)
		add_cause(json, reason,
		    &g_array_index(reason->causes, bp_reason_cause_t, i));
	json_builder_end_array(json);
	if (reason->vm != NULL)
		add_text(json, "vm", reason->vm->name);
	add_number(json, "vms", reason->n_vms);
	add_number(json, "vms_without_causes", reason->n_startable);
	add_text(json, "text", text);
	json_builder_end_object(json);
	root = json_builder_get_root(json);
	bytes = json_to_string(root, FALSE);
	json_node_unref(root);
	g_object_unref(json);
	g_free(text);
	return bytes;
}
