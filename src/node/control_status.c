#include "node/control_private.h"

#include "bulrushpost/gateway.h"
#include "bulrushpost/reason.h"

#include <string.h>

#define PARTS_BYTES (512 * 1024)

static const char *
log_status(const bp_control_t *control)
{
	switch (bp_follower_status(control->options.follower)) {
	case BP_FOLLOWER_STARTING:
		return "starting";
	case BP_FOLLOWER_CURRENT:
		return "current";
	case BP_FOLLOWER_LOG_DOWN:
		return "log_unavailable";
	case BP_FOLLOWER_STATE_UNKNOWN:
		return "state_unknown";
	case BP_FOLLOWER_VERSION_UNKNOWN:
		return "log_version_unknown";
	}
	return "state_unknown";
}

static gint
compare_nodes(gconstpointer a, gconstpointer b)
{
	return strcmp(
	    ((const bp_node_t *)a)->name, ((const bp_node_t *)b)->name);
}

static void
put_nodes(const bp_control_t *control, JsonBuilder *json, GString *text)
{
	GList *nodes =
	    g_hash_table_get_values(bp_state_nodes(bp_control_state(control)));
	int64_t now_us = bp_clock_mono_us(control->options.clock);
	GList *item;

	nodes = g_list_sort(nodes, compare_nodes);
	json_builder_set_member_name(json, "nodes");
	json_builder_begin_array(json);
	for (item = nodes; item != NULL; item = item->next) {
		const bp_node_t *node = item->data;
		bool live =
		    !bp_liveness_is_dead(control->liveness, node->name, now_us);

		json_builder_begin_object(json);
		bp_control_put_text(json, "node", node->name);
		bp_control_put_text(json, "zone", node->zone);
		bp_control_put_text(json, "address", node->address);
		bp_control_put_flag(json, "live", live);
		bp_control_put_flag(json, "draining", node->draining);
		bp_control_put_number(
		    json, "last_offset", (int64_t)node->last_offset);
		json_builder_end_object(json);
		g_string_append_printf(text, "\nnode %s zone %s at %s: %s%s",
		    node->name, node->zone, node->address,
		    live ? "live" : "dead", node->draining ? ", draining" : "");
	}
	json_builder_end_array(json);
	g_list_free(nodes);
}

typedef struct {
	uint32_t vms;
	uint32_t held;
	uint32_t racks;
	uint32_t racks_unowned;
	uint32_t racks_own;
	uint32_t jobs;
	uint32_t tasks_waiting;
	uint32_t tasks_assigned;
	uint32_t zones_out;
} totals_t;

static void
count_racks(const bp_control_t *control, totals_t *totals)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(
	    &iter, bp_state_racks(bp_control_state(control)));
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const bp_rack_t *rack = value;

		totals->racks++;
		if (rack->owner == NULL || rack->released)
			totals->racks_unowned++;
		else if (rack->owner_incarnation ==
		    control->options.incarnation)
			totals->racks_own++;
	}
}

static void
count(const bp_control_t *control, totals_t *totals)
{
	const bp_state_t *state = bp_control_state(control);
	GHashTableIter iter;
	gpointer value;

	count_racks(control, totals);
	g_hash_table_iter_init(&iter, bp_state_vms(state));
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const bp_vm_t *vm = value;

		totals->vms += vm->gone ? 0 : 1;
		totals->held += vm->hold != 0 ? 1 : 0;
	}
	g_hash_table_iter_init(&iter, bp_state_jobs(state));
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const bp_job_t *job = value;

		totals->jobs += job->n_ended < job->n_tasks ? 1 : 0;
		totals->tasks_waiting += job->n_waiting;
		totals->tasks_assigned += job->n_assigned;
	}
	g_hash_table_iter_init(&iter, bp_state_zones(state));
	while (g_hash_table_iter_next(&iter, NULL, &value))
		totals->zones_out +=
		    ((const bp_zone_t *)value)->out_of_service ? 1 : 0;
}

static void
put_totals(const bp_control_t *control, JsonBuilder *json, GString *text)
{
	const bp_rules_version_t *rules =
	    bp_state_rules(bp_control_state(control));
	totals_t totals = {0};

	count(control, &totals);
	bp_control_put_number(json, "vms", totals.vms);
	bp_control_put_number(json, "vms_held", totals.held);
	bp_control_put_number(json, "racks", totals.racks);
	bp_control_put_number(json, "racks_unowned", totals.racks_unowned);
	bp_control_put_number(json, "racks_own", totals.racks_own);
	bp_control_put_number(json, "jobs", totals.jobs);
	bp_control_put_number(json, "tasks_waiting", totals.tasks_waiting);
	bp_control_put_number(json, "tasks_assigned", totals.tasks_assigned);
	bp_control_put_number(json, "zones_out", totals.zones_out);
	bp_control_put_number(
	    json, "rules_version", rules != NULL ? (int64_t)rules->version : 0);
	g_string_append_printf(text,
	    "\nVMs: %u, %u held\nracks: %u, %u without an owner, %u owned by "
	    "this node\njobs: %u, tasks waiting %u, assigned %u\nzones out: "
	    "%u\nrules: version %" G_GUINT64_FORMAT,
	    totals.vms, totals.held, totals.racks, totals.racks_unowned,
	    totals.racks_own, totals.jobs, totals.tasks_waiting,
	    totals.tasks_assigned, totals.zones_out,
	    rules != NULL ? rules->version : 0);
}

/* VERB_STATUS: this node and what it knows of the cluster. */
void
bp_control_status(bp_control_t *control, bp_peer_request_t *request)
{
	const bp_control_options_t *options = &control->options;
	const bp_settings_t *settings = options->settings;
	int64_t down_ms = bp_follower_down_since_ms(options->follower);
	uint64_t next = bp_state_next_offset(bp_control_state(control));
	JsonBuilder *json = json_builder_new();
	GString *text = g_string_new(NULL);
	char *body;

	g_string_append_printf(text,
	    "node %s in zone %s, version %s%s\nlog: %s, next offset "
	    "%" G_GUINT64_FORMAT,
	    settings->node.name, settings->node.zone, BP_VERSION,
	    control->draining ? ", draining" : "", log_status(control), next);
	if (down_ms != 0) {
		g_string_append(text, ", down since ");
		bp_control_append_time(text, down_ms);
	}
	json_builder_begin_object(json);
	bp_control_put_text(json, "node", settings->node.name);
	bp_control_put_text(json, "zone", settings->node.zone);
	bp_control_put_text(json, "version", BP_VERSION);
	bp_control_put_flag(json, "draining", control->draining);
	bp_control_put_text(json, "log", log_status(control));
	bp_control_put_number(json, "log_down_since_ms", down_ms);
	bp_control_put_number(json, "next_offset", (int64_t)next);
	bp_control_put_number(json, "round_trip_ms",
	    bp_appender_round_trip_ms(options->appender));
	put_totals(control, json, text);
	put_nodes(control, json, text);
	body = bp_control_finish_json(json);
	bp_control_reply(request, BP_OK, BP_OUTCOME_RAN, text->str, body);
	g_free(body);
	g_string_free(text, TRUE);
}

/* VERB_METRICS: the message is the text; the body holds it as JSON. */
void
bp_control_metrics(bp_control_t *control, bp_peer_request_t *request)
{
	char *text = bp_metrics_text(control->options.metrics);
	JsonBuilder *json = json_builder_new();
	char *body;

	json_builder_begin_object(json);
	bp_control_put_text(json, "metrics", text);
	body = bp_control_finish_json(json);
	bp_control_reply(request, BP_OK, BP_OUTCOME_RAN, text, body);
	g_free(body);
	g_free(text);
}

/* VERB_TIMELINE: the newest matching events of this process. */
void
bp_control_timeline(bp_control_t *control, bp_peer_request_t *request)
{
	const Bp__Peer__Frame *frame = bp_peer_request_frame(request);
	bp_timeline_t *timeline = control->options.timeline;
	uint64_t dropped = bp_timeline_dropped(timeline);
	bp_timeline_filter_t filter;
	bp_error_t err;
	char *lines;
	char *message;

	if (bp_timeline_filter_parse(
		&filter, frame->args, frame->n_args, &err) != BP_OK) {
		bp_control_reply_error(request, &err, BP_OUTCOME_NOT_RUN);
		return;
	}
	lines = bp_timeline_lines(timeline, &filter, BP_CONTROL_LIST_BYTES);
	message = dropped == 0
	    ? g_strdup("")
	    : g_strdup_printf(
		  "%" G_GUINT64_FORMAT " earlier events were dropped", dropped);
	bp_control_reply(request, BP_OK, BP_OUTCOME_RAN, message, lines);
	g_free(message);
	g_free(lines);
}

/* Only the owner of a rack has sessions with its VMs. */
static bool
is_reachable(const bp_vm_t *vm, void *data)
{
	const bp_control_t *control = data;

	if (control->options.scheduler == NULL ||
	    vm->rack->owner_incarnation != control->options.incarnation)
		return true;
	return bp_scheduler_reachable(vm, (void *)control->options.scheduler);
}

static void
fill_input(bp_control_t *control, const char *job, bp_reason_input_t *input)
{
	const bp_control_options_t *options = &control->options;
	bp_follower_status_t status = bp_follower_status(options->follower);

	memset(input, 0, sizeof(*input));
	input->node = options->settings->node.name;
	input->log_unavailable = status == BP_FOLLOWER_LOG_DOWN;
	input->log_down_since_ms = bp_follower_down_since_ms(options->follower);
	input->state_unknown = status == BP_FOLLOWER_STATE_UNKNOWN;
	input->log_version_unknown = status == BP_FOLLOWER_VERSION_UNKNOWN;
	input->starting = status == BP_FOLLOWER_STARTING;
	input->draining = control->draining;
	if (options->scheduler != NULL) {
		input->jobs_ahead =
		    bp_scheduler_jobs_ahead(options->scheduler, job);
		input->disturbs = bp_scheduler_blocked_by_interference(
		    options->scheduler, job);
	}
	input->turn = input->jobs_ahead > 0;
	input->reachable = is_reachable;
	input->data = control;
}

/* Keeps the events whose text ends with the caller's own request id. */
static void
keep_caller_id(GPtrArray *events, const char *id)
{
	char *suffix = g_strconcat(BP_CALLER_ID_PREFIX, id, NULL);
	guint i;

	for (i = events->len; i-- > 0;) {
		const bp_event_t *event = g_ptr_array_index(events, i);

		if (!g_str_has_suffix(event->text, suffix))
			g_ptr_array_remove_index(events, i);
	}
	g_free(suffix);
}

/* Events with this id, else those with this id as the caller's own. */
static GPtrArray *
request_events(const bp_control_t *control, const char *id)
{
	bp_timeline_filter_t filters[] = {{.job = id}, {.job = NULL}};
	GPtrArray *events = g_ptr_array_new_with_free_func(bp_event_free);
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(filters) && events->len == 0; i++) {
		char *lines = bp_timeline_lines(control->options.timeline,
		    &filters[i], BP_CONTROL_LIST_BYTES);

		(void)bp_timeline_read_lines(
		    events, lines, strlen(lines), NULL);
		g_free(lines);
		if (filters[i].job == NULL)
			keep_caller_id(events, id);
	}
	return events;
}

/* A gateway request has no job; it is explained by its events. */
static void
explain_request(
    bp_control_t *control, bp_peer_request_t *request, const char *id)
{
	GPtrArray *events = request_events(control, id);
	GString *text = g_string_new(NULL);
	JsonBuilder *json = json_builder_new();
	GPtrArray *texts = g_ptr_array_new();
	char *body;
	guint i;

	for (i = 0; i < events->len; i++) {
		const bp_event_t *event = g_ptr_array_index(events, i);

		g_string_append_printf(text, "%s%s: %s", i > 0 ? "\n" : "",
		    event->kind, event->text);
		g_ptr_array_add(texts, event->text);
	}
	json_builder_begin_object(json);
	bp_control_put_text(json, "id", id);
	bp_control_put_texts(json, "events", texts);
	body = bp_control_finish_json(json);
	if (events->len > 0)
		bp_control_reply(
		    request, BP_OK, BP_OUTCOME_RAN, text->str, body);
	else
		bp_control_reply(request, BP_ENOTFOUND, BP_OUTCOME_NOT_KNOWN,
		    "this node knows no job of that id, and no request that "
		    "did not go well; a request is known to the node that "
		    "took it",
		    NULL);
	g_free(body);
	g_ptr_array_unref(texts);
	g_string_free(text, TRUE);
	g_ptr_array_unref(events);
}

/* VERB_WHY: what a job, one of its tasks or a request waits for. */
void
bp_control_why(bp_control_t *control, bp_peer_request_t *request)
{
	const char *id = bp_control_arg(request, 0);
	const char *index = bp_control_arg(request, 1);
	const bp_job_t *job = bp_state_job(bp_control_state(control), id);
	bp_reason_input_t input;
	bp_reason_t *reason = NULL;
	guint64 task = 0;
	bp_error_t err;
	char *text;
	char *body;

	if (job == NULL) {
		explain_request(control, request, id);
		return;
	}
	if (index[0] == '\0')
		task = job->n_waiting > 0 ? job->first_waiting : 0;
	else if (!g_ascii_string_to_unsigned(
		     index, 10, 0, G_MAXUINT32, &task, NULL)) {
		bp_control_refuse(request, BP_EINVALID,
		    "%.40s: the index of a task is a whole number", index);
		return;
	}
	fill_input(control, id, &input);
	if (bp_reason_explain(&reason, bp_control_state(control), id,
		(uint32_t)task, &input, &err) != BP_OK) {
		bp_control_reply_error(request, &err, BP_OUTCOME_NOT_RUN);
		return;
	}
	text = bp_reason_text(reason);
	body = bp_reason_json(reason);
	bp_control_reply(request, BP_OK, BP_OUTCOME_RAN, text, body);
	g_free(text);
	g_free(body);
	bp_reason_free(reason);
}

static bool
refresh_snapshot(bp_control_t *control, bp_peer_request_t *request)
{
	bp_error_t err;

	g_clear_pointer(&control->snapshot, g_byte_array_unref);
	if (bp_snapshot_save(
		&control->snapshot, bp_control_state(control), &err) != BP_OK) {
		bp_control_reply_error(request, &err, BP_OUTCOME_NOT_RUN);
		return false;
	}
	control->snapshot_offset =
	    bp_state_next_offset(bp_control_state(control));
	return true;
}

/*
 * VERB_STATE: args are the first byte wanted and, unless it is 0, the offset
 * of the state being fetched. The answer holds that offset and the total
 * size, because a state of the expected size does not fit one frame.
 */
void
bp_control_snapshot(bp_control_t *control, bp_peer_request_t *request)
{
	Bp__Peer__Frame answer = BP__PEER__FRAME__INIT;
	guint64 start = g_ascii_strtoull(bp_control_arg(request, 0), NULL, 10);
	guint64 offset = g_ascii_strtoull(bp_control_arg(request, 1), NULL, 10);
	char *args[2];

	if (bp_control_refuse_unknown_state(control, request))
		return;
	if (start == 0 && !refresh_snapshot(control, request))
		return;
	if (control->snapshot == NULL || start > control->snapshot->len ||
	    (start > 0 && offset != control->snapshot_offset)) {
		bp_control_refuse(request, BP_ESTALE,
		    "the state has changed since its first part; start again");
		return;
	}
	args[0] =
	    g_strdup_printf("%" G_GUINT64_FORMAT, control->snapshot_offset);
	args[1] = g_strdup_printf("%u", control->snapshot->len);
	answer.args = args;
	answer.n_args = G_N_ELEMENTS(args);
	answer.outcome = BP_OUTCOME_RAN;
	answer.body.data = control->snapshot->data + start;
	answer.body.len =
	    MIN((guint64)PARTS_BYTES, control->snapshot->len - start);
	bp_peer_request_answer(request, &answer);
	if (start + PARTS_BYTES >= control->snapshot->len)
		g_clear_pointer(&control->snapshot, g_byte_array_unref);
	g_free(args[0]);
	g_free(args[1]);
}
