#include "bulrushpost/timeline.h"
#include "cli/cli.h"

#include <json-glib/json-glib.h>
#include <stdio.h>
#include <string.h>

#define MS_PER_S 1000
#define US_PER_MS 1000
#define MS_PER_MIN (60 * MS_PER_S)
#define MS_PER_H (60 * MS_PER_MIN)

/* Reads an ISO 8601 time, or N followed by s, m or h for that long ago. */
static bool
read_time(const char *text, int64_t *out)
{
	GDateTime *time = g_date_time_new_from_iso8601(text, NULL);
	int64_t now_ms = g_get_real_time() / US_PER_MS;
	gchar *end = NULL;
	guint64 amount;

	if (time != NULL) {
		*out = g_date_time_to_unix(time) * MS_PER_S +
		    g_date_time_get_microsecond(time) / US_PER_MS;
		g_date_time_unref(time);
		return true;
	}
	if (!g_ascii_isdigit(text[0]))
		return false;
	amount = g_ascii_strtoull(text, &end, 10);
	if (amount > G_MAXINT32 || strlen(end) != 1)
		return false;
	switch (*end) {
	case 's':
		*out = now_ms - (int64_t)amount * MS_PER_S;
		return true;
	case 'm':
		*out = now_ms - (int64_t)amount * MS_PER_MIN;
		return true;
	case 'h':
		*out = now_ms - (int64_t)amount * MS_PER_H;
		return true;
	default:
		return false;
	}
}

/* Adds key=value; returns false for a time that cannot be read. */
static bool
add_filter(
    GPtrArray *args, const char *key, const struct arg_str *option, bool time)
{
	int64_t ms = 0;

	if (option->count == 0)
		return true;
	if (time && !read_time(option->sval[0], &ms))
		return false;
	g_ptr_array_add(args,
	    time ? g_strdup_printf("%s=%" G_GINT64_FORMAT, key, ms)
		 : g_strdup_printf("%s=%s", key, option->sval[0]));
	return true;
}

/* Addresses of the live nodes in the answer of VERB_STATUS. */
static GPtrArray *
read_addresses(const Bp__Peer__Frame *status)
{
	GPtrArray *addresses = g_ptr_array_new_with_free_func(g_free);
	JsonParser *parser = json_parser_new();
	JsonArray *nodes = NULL;
	JsonNode *root = NULL;
	guint i;

	if (json_parser_load_from_data(parser, (const char *)status->body.data,
		(gssize)status->body.len, NULL))
		root = json_parser_get_root(parser);
	if (root != NULL && JSON_NODE_HOLDS_OBJECT(root))
		nodes = json_object_get_array_member(
		    json_node_get_object(root), "nodes");
	for (i = 0; nodes != NULL && i < json_array_get_length(nodes); i++) {
		JsonObject *node = json_array_get_object_element(nodes, i);

		if (json_object_get_boolean_member(node, "live"))
			g_ptr_array_add(addresses,
			    g_strdup(json_object_get_string_member(
				node, "address")));
	}
	g_object_unref(parser);
	return addresses;
}

static int
ask_one(const bp_cli_t *cli, const char *address, GPtrArray *args,
    GPtrArray *events)
{
	Bp__Peer__Frame request = BP__PEER__FRAME__INIT;
	Bp__Peer__Frame *answer = NULL;
	bp_error_t err;
	int rc;

	request.verb = BP__PEER__VERB__VERB_TIMELINE;
	request.args = (char **)args->pdata;
	request.n_args = args->len;
	rc = bp_cli_ask(cli, address, &request, &answer, &err);
	if (rc == BP_OK && answer->error != BP_OK)
		rc = bp_error_set(&err, (bp_error_kind_t)answer->error, "%s",
		    answer->message);
	if (rc == BP_OK)
		rc = bp_timeline_read_lines(events,
		    (const char *)answer->body.data, answer->body.len, &err);
	if (rc == BP_OK && answer->message[0] != '\0')
		fprintf(stderr, "%s: %s\n", address, answer->message);
	if (rc != BP_OK)
		fprintf(stderr, "the timeline lacks the events of %s: %s\n",
		    address, err.message);
	if (answer != NULL)
		bp__peer__frame__free_unpacked(answer, NULL);
	return rc;
}

static void
print_event(const bp_event_t *event)
{
	GDateTime *at =
	    g_date_time_new_from_unix_utc(event->wall_ms / MS_PER_S);
	char *stamp = at != NULL ? g_date_time_format(at, "%Y-%m-%dT%H:%M:%S")
				 : g_strdup("?");

	printf("%s.%03dZ %s %s", stamp, (int)(event->wall_ms % MS_PER_S),
	    event->process, event->kind);
	if (event->job[0] != '\0')
		printf(" job=%s", event->job);
	if (event->vm[0] != '\0')
		printf(" vm=%s", event->vm);
	if (event->zone[0] != '\0')
		printf(" zone=%s", event->zone);
	printf(" %s\n", event->text);
	g_free(stamp);
	if (at != NULL)
		g_date_time_unref(at);
}

static void
print_events(const bp_cli_t *cli, const GPtrArray *events)
{
	guint i;

	for (i = 0; i < events->len; i++) {
		const bp_event_t *event = g_ptr_array_index(events, i);
		char *line;

		if (!bp_cli_wants_json(cli)) {
			print_event(event);
			continue;
		}
		line = bp_event_json(event);
		puts(line);
		g_free(line);
	}
}

static int
run(const bp_cli_t *cli, GPtrArray *args)
{
	Bp__Peer__Frame request = BP__PEER__FRAME__INIT;
	Bp__Peer__Frame *status = NULL;
	GPtrArray *events;
	GPtrArray *addresses;
	bp_error_t err;
	int code = BP_EXIT_OK;
	guint i;

	request.verb = BP__PEER__VERB__VERB_STATUS;
	if (bp_cli_ask(cli, bp_cli_node(cli), &request, &status, &err) != BP_OK)
		return bp_cli_fail(
		    cli, err.kind, BP_OUTCOME_NOT_RUN, err.message);
	addresses = read_addresses(status);
	bp__peer__frame__free_unpacked(status, NULL);
	if (addresses->len == 0)
		g_ptr_array_add(addresses, g_strdup(bp_cli_node(cli)));
	events = g_ptr_array_new_with_free_func(bp_event_free);
	for (i = 0; i < addresses->len; i++) {
		if (ask_one(cli, g_ptr_array_index(addresses, i), args,
			events) != BP_OK)
			code = BP_EXIT_NOT_KNOWN;
	}
	bp_timeline_merge(events);
	print_events(cli, events);
	g_ptr_array_unref(events);
	g_ptr_array_unref(addresses);
	return code;
}

/* Merges the timelines of all live nodes; exits with 3 if one is missing. */
int
bp_cmd_timeline(int argc, char **argv)
{
	struct arg_str *job = arg_str0(NULL, "job", "ID", "of one job");
	struct arg_str *vm = arg_str0(NULL, "vm", "NAME", "of one VM");
	struct arg_str *zone = arg_str0(NULL, "zone", "NAME", "of one zone");
	struct arg_str *since = arg_str0(NULL, "since", "TIME",
	    "not before: ISO 8601 with zone, or 30s, 10m, 2h ago");
	struct arg_str *until =
	    arg_str0(NULL, "until", "TIME", "not after; as --since");
	void *const own[] = {job, vm, zone, since, until};
	GPtrArray *args = g_ptr_array_new_with_free_func(g_free);
	bp_cli_t cli;
	int code = bp_cli_begin(&cli, "bulrushpost timeline",
	    "Merges the timelines of all live nodes in causal order.", argc,
	    argv, own, G_N_ELEMENTS(own), true);

	if (code == BP_CLI_CONTINUE) {
		if (add_filter(args, "job", job, false) &&
		    add_filter(args, "vm", vm, false) &&
		    add_filter(args, "zone", zone, false) &&
		    add_filter(args, "since_ms", since, true) &&
		    add_filter(args, "until_ms", until, true))
			code = run(&cli, args);
		else
			code = bp_cli_fail(&cli, BP_EINVALID,
			    BP_OUTCOME_NOT_RUN,
			    "--since and --until take an ISO 8601 time with "
			    "zone, or 30s, 10m, 2h ago");
	}
	g_ptr_array_unref(args);
	bp_cli_end(&cli);
	return code;
}
