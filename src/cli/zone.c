#include "cli/cli.h"

#include <json-glib/json-glib.h>
#include <string.h>

/* Looks the zone's version up in the JSON answer of VERB_ZONE_LIST. */
static char *
find_version(const Bp__Peer__Frame *answer, const char *zone)
{
	JsonParser *parser = json_parser_new();
	char *version = NULL;
	JsonObject *root;
	JsonArray *zones;
	guint i;

	if (!json_parser_load_from_data(parser, (const char *)answer->body.data,
		(gssize)answer->body.len, NULL) ||
	    !JSON_NODE_HOLDS_OBJECT(json_parser_get_root(parser)))
		goto out;
	root = json_node_get_object(json_parser_get_root(parser));
	zones = json_object_get_array_member(root, "zones");
	for (i = 0; zones != NULL && i < json_array_get_length(zones); i++) {
		JsonObject *one = json_array_get_object_element(zones, i);

		if (g_strcmp0(
			json_object_get_string_member(one, "zone"), zone) == 0)
			version = g_strdup_printf("%" G_GINT64_FORMAT,
			    json_object_get_int_member(one, "version"));
	}
out:
	g_object_unref(parser);
	return version;
}

/*
 * Without --base the version that the node knows now is used: taking a zone
 * out is urgent, and the log still refuses a change made in between.
 */
static int
read_version(const bp_cli_t *cli, const char *zone, char **out)
{
	Bp__Peer__Frame request = BP__PEER__FRAME__INIT;
	Bp__Peer__Frame *answer = NULL;
	bp_error_t err;
	int code = BP_EXIT_OK;

	request.verb = BP__PEER__VERB__VERB_ZONE_LIST;
	if (bp_cli_ask(cli, bp_cli_node(cli), &request, &answer, &err) != BP_OK)
		return bp_cli_fail(
		    cli, err.kind, BP_OUTCOME_NOT_RUN, err.message);
	if (answer->error != BP_OK)
		code = bp_cli_show(cli, answer);
	else
		*out = find_version(answer, zone);
	if (code == BP_EXIT_OK && *out == NULL)
		*out = g_strdup("0");
	bp__peer__frame__free_unpacked(answer, NULL);
	return code;
}

static int
change(int argc, char **argv, const char *command, const char *about,
    const char *direction)
{
	struct arg_str *zone =
	    arg_str1(NULL, NULL, "ZONE", "name of the availability zone");
	struct arg_str *reason =
	    arg_str0(NULL, "reason", "TEXT", "shown to all who ask why");
	struct arg_str *author =
	    arg_str0(NULL, "author", "NAME", "who decides (standard: user)");
	struct arg_str *base = arg_str0(NULL, "base", "VERSION",
	    "version of the zone's state (standard: the present one)");
	void *const own[] = {zone, reason, author, base};
	Bp__Peer__Frame request = BP__PEER__FRAME__INIT;
	char *version = NULL;
	char *args[5];
	bp_cli_t cli;
	int code = bp_cli_begin(
	    &cli, command, about, argc, argv, own, G_N_ELEMENTS(own), true);

	if (code != BP_CLI_CONTINUE)
		goto out;
	if (base->count > 0)
		version = g_strdup(base->sval[0]);
	else if ((code = read_version(&cli, zone->sval[0], &version)) !=
	    BP_EXIT_OK)
		goto out;
	args[0] = (char *)zone->sval[0];
	args[1] = (char *)direction;
	args[2] = version;
	args[3] = (char *)bp_cli_text(author, g_get_user_name());
	args[4] = (char *)bp_cli_text(reason, "");
	request.verb = BP__PEER__VERB__VERB_ZONE_CHANGE;
	request.args = args;
	request.n_args = G_N_ELEMENTS(args);
	code = bp_cli_run(&cli, &request);
out:
	g_free(version);
	bp_cli_end(&cli);
	return code;
}

/* Takes a zone out of service. */
int
bp_cmd_zone_out(int argc, char **argv)
{
	return change(argc, argv, "bulrushpost zone out",
	    "Takes an availability zone out of service: nothing starts there "
	    "any more, and its tasks are moved.",
	    "out");
}

/* Takes a zone back into service. */
int
bp_cmd_zone_in(int argc, char **argv)
{
	return change(argc, argv, "bulrushpost zone in",
	    "Takes an availability zone back into service.", "in");
}

/* Lists the zones with who took them out and why. */
int
bp_cmd_zone_list(int argc, char **argv)
{
	Bp__Peer__Frame request = BP__PEER__FRAME__INIT;
	bp_cli_t cli;
	int code = bp_cli_begin(&cli, "bulrushpost zone list",
	    "Lists the availability zones, and who took them out and why.",
	    argc, argv, NULL, 0, true);

	request.verb = BP__PEER__VERB__VERB_ZONE_LIST;
	if (code == BP_CLI_CONTINUE)
		code = bp_cli_run(&cli, &request);
	bp_cli_end(&cli);
	return code;
}
