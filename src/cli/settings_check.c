#include "bulrushpost/settings.h"
#include "cli/cli.h"

#include <json-glib/json-glib.h>
#include <stdio.h>

static void
print_json(const GPtrArray *problems)
{
	JsonArray *list = json_array_new();
	JsonObject *object = json_object_new();
	JsonNode *node = json_node_new(JSON_NODE_OBJECT);
	char *text;
	guint i;

	for (i = 0; i < problems->len; i++)
		json_array_add_string_element(
		    list, g_ptr_array_index(problems, i));
	json_object_set_boolean_member(object, "ok", problems->len == 0);
	json_object_set_array_member(object, "problems", list);
	json_node_take_object(node, object);
	text = json_to_string(node, FALSE);
	puts(text);
	g_free(text);
	json_node_unref(node);
}

static int
check(const bp_cli_t *cli, const char *path)
{
	GPtrArray *problems = g_ptr_array_new_with_free_func(g_free);
	bp_settings_t *settings = NULL;
	bp_error_t err = {BP_OK, ""};
	int rc = bp_settings_load(&settings, path, problems, &err);
	guint i;

	if (bp_cli_wants_json(cli))
		print_json(problems);
	for (i = 0; i < problems->len && !bp_cli_wants_json(cli); i++)
		fprintf(stderr, "%s\n",
		    (const char *)g_ptr_array_index(problems, i));
	if (rc == BP_OK && !bp_cli_wants_json(cli))
		printf("%s: no problem found\n", path);
	g_ptr_array_unref(problems);
	bp_settings_free(settings);
	return rc == BP_OK ? BP_EXIT_OK : BP_EXIT_USAGE;
}

/* Checks a settings file without starting anything. */
int
bp_cmd_settings_check(int argc, char **argv)
{
	struct arg_str *path =
	    arg_str1(NULL, NULL, "FILE", "settings file (YAML)");
	void *const own[] = {path};
	bp_cli_t cli;
	int code = bp_cli_begin(&cli, "bulrushpost settings check",
	    "Checks a settings file and prints all its problems.", argc, argv,
	    own, G_N_ELEMENTS(own), false);

	if (code == BP_CLI_CONTINUE)
		code = check(&cli, path->sval[0]);
	bp_cli_end(&cli);
	return code;
}
