#include "node/control_private.h"

#include <string.h>

#define REASON_MAX_BYTES 512

static gint
compare_zones(gconstpointer a, gconstpointer b)
{
	return strcmp(
	    ((const bp_zone_t *)a)->name, ((const bp_zone_t *)b)->name);
}

static uint32_t
count_tasks(const bp_state_t *state, const bp_zone_t *zone)
{
	uint32_t tasks = 0;
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, bp_state_vms(state));
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const bp_vm_t *vm = value;

		if (vm->rack->zone == zone)
			tasks += vm->tasks->len;
	}
	return tasks;
}

static void
put_zone(const bp_state_t *state, const bp_zone_t *zone, JsonBuilder *json,
    GString *text)
{
	uint32_t tasks = count_tasks(state, zone);

	json_builder_begin_object(json);
	bp_control_put_text(json, "zone", zone->name);
	bp_control_put_flag(json, "out", zone->out_of_service);
	bp_control_put_number(json, "version", (int64_t)zone->version);
	bp_control_put_text(json, "author", zone->author);
	bp_control_put_text(json, "reason", zone->reason);
	bp_control_put_number(json, "since_ms", zone->time_ms);
	bp_control_put_number(json, "tasks", tasks);
	json_builder_end_object(json);
	g_string_append_printf(text, "%szone %s: %s, %u tasks",
	    text->len > 0 ? "\n" : "", zone->name,
	    zone->out_of_service ? "out" : "in", tasks);
	if (zone->version == 0)
		return;
	g_string_append_printf(text,
	    ", version %" G_GUINT64_FORMAT " by %s at ", zone->version,
	    zone->author);
	bp_control_append_time(text, zone->time_ms);
	if (zone->reason != NULL && zone->reason[0] != '\0')
		g_string_append_printf(text, ": %s", zone->reason);
}

/* VERB_ZONE_LIST. */
void
bp_control_zone_list(bp_control_t *control, bp_peer_request_t *request)
{
	const bp_state_t *state = bp_control_state(control);
	JsonBuilder *json = json_builder_new();
	GString *text = g_string_new(NULL);
	GList *zones = g_list_sort(
	    g_hash_table_get_values(bp_state_zones(state)), compare_zones);
	GList *item;
	char *body;

	json_builder_begin_object(json);
	json_builder_set_member_name(json, "zones");
	json_builder_begin_array(json);
	for (item = zones; item != NULL; item = item->next)
		put_zone(state, item->data, json, text);
	json_builder_end_array(json);
	body = bp_control_finish_json(json);
	if (text->len == 0)
		g_string_append(text, "no zone is known yet");
	bp_control_reply(request, BP_OK, BP_OUTCOME_RAN, text->str, body);
	g_free(body);
	g_string_free(text, TRUE);
	g_list_free(zones);
}

static void
on_changed(const bp_applied_t *applied, const bp_error_t *err, void *data)
{
	bp_control_call_t *call = data;
	const bp_zone_t *zone;
	JsonBuilder *json;
	char *message;
	char *body;

	if (bp_control_failed(call, applied, err))
		return;
	zone = bp_state_zone(bp_control_state(call->control), call->name);
	message = g_strdup_printf("zone %s is %s at version %" G_GUINT64_FORMAT,
	    call->name, zone->out_of_service ? "out of service" : "in service",
	    zone->version);
	json = json_builder_new();
	json_builder_begin_object(json);
	bp_control_put_text(json, "zone", call->name);
	bp_control_put_flag(json, "out", zone->out_of_service);
	bp_control_put_number(json, "version", (int64_t)zone->version);
	bp_control_put_number(json, "offset", (int64_t)applied->offset);
	body = bp_control_finish_json(json);
	bp_control_reply(call->request, BP_OK, BP_OUTCOME_RAN, message, body);
	g_free(body);
	g_free(message);
	bp_control_call_free(call);
}

static bool
check_change(
    const bp_control_t *control, bp_peer_request_t *request, guint64 *base)
{
	const char *name = bp_control_arg(request, 0);
	const char *direction = bp_control_arg(request, 1);

	if (strcmp(direction, "out") != 0 && strcmp(direction, "in") != 0)
		bp_control_refuse(request, BP_EINVALID,
		    "%.40s: a zone is taken out or in", direction);
	else if (!g_ascii_string_to_unsigned(
		     bp_control_arg(request, 2), 10, 0, G_MAXINT64, base, NULL))
		bp_control_refuse(
		    request, BP_EINVALID, "the base version is a whole number");
	else if (bp_control_arg(request, 3)[0] == '\0' ||
	    strlen(bp_control_arg(request, 3)) > BP_CONTROL_NAME_MAX_BYTES)
		bp_control_refuse(request, BP_EINVALID,
		    "the author is a name of 1 to %d bytes",
		    BP_CONTROL_NAME_MAX_BYTES);
	else if (strlen(bp_control_arg(request, 4)) > REASON_MAX_BYTES)
		bp_control_refuse(request, BP_EINVALID,
		    "the reason has at most %d bytes", REASON_MAX_BYTES);
	else if (bp_state_zone(bp_control_state(control), name) == NULL)
		bp_control_refuse(request, BP_ENOTFOUND,
		    "no availability zone is named %.80s", name);
	else
		return true;
	return false;
}

/* VERB_ZONE_CHANGE: args zone, out|in, base version, author, reason. */
void
bp_control_zone_change(bp_control_t *control, bp_peer_request_t *request)
{
	Bp__Log__Entry entry = BP__LOG__ENTRY__INIT;
	Bp__Log__ZoneChange change = BP__LOG__ZONE_CHANGE__INIT;
	guint64 base = 0;

	if (bp_control_refuse_unknown_state(control, request) ||
	    !check_change(control, request, &base))
		return;
	change.zone = (char *)bp_control_arg(request, 0);
	change.out = strcmp(bp_control_arg(request, 1), "out") == 0;
	change.base_version = base;
	change.author = (char *)bp_control_arg(request, 3);
	change.reason = (char *)bp_control_arg(request, 4);
	entry.body_case = BP__LOG__ENTRY__BODY_ZONE_CHANGE;
	entry.zone_change = &change;
	bp_control_append(
	    control, request, &entry, change.zone, NULL, on_changed);
}
