#include "bulrushpost/platform.h"
#include "cli/cli.h"

#include <json-glib/json-glib.h>
#include <stdio.h>

/* What a check found; differences is NULL without a version in force. */
typedef struct {
	GPtrArray *problems; /* bp_config_problem_t */
	GPtrArray *differences; /* char * */
	uint64_t version;
	uint64_t version_in_force;
} result_t;

static void
print_json(const result_t *result)
{
	JsonArray *problems = json_array_new();
	JsonArray *differences = json_array_new();
	JsonObject *object = json_object_new();
	JsonNode *node = json_node_new(JSON_NODE_OBJECT);
	char *text;
	guint i;

	for (i = 0; i < result->problems->len; i++) {
		const bp_config_problem_t *problem = result->problems->pdata[i];
		JsonObject *row = json_object_new();

		json_object_set_string_member(row, "place", problem->place);
		json_object_set_string_member(row, "problem", problem->text);
		json_array_add_object_element(problems, row);
	}
	json_object_set_boolean_member(
	    object, "ok", result->problems->len == 0);
	json_object_set_array_member(object, "problems", problems);
	for (i = 0; result->differences != NULL && i < result->differences->len;
	     i++)
		json_array_add_string_element(
		    differences, result->differences->pdata[i]);
	if (result->differences != NULL)
		json_object_set_array_member(
		    object, "differences", json_array_ref(differences));
	json_array_unref(differences);
	json_node_take_object(node, object);
	text = json_to_string(node, FALSE);
	puts(text);
	g_free(text);
	json_node_unref(node);
}

static void
print_lines(const result_t *result, const char *path)
{
	guint i;

	for (i = 0; i < result->problems->len; i++) {
		const bp_config_problem_t *problem = result->problems->pdata[i];

		fprintf(stderr, "%s: %s\n", problem->place, problem->text);
	}
	if (result->differences != NULL)
		printf("version %" G_GUINT64_FORMAT
		       " differs from %" G_GUINT64_FORMAT ": %u\n",
		    result->version, result->version_in_force,
		    result->differences->len);
	for (i = 0; result->differences != NULL && i < result->differences->len;
	     i++)
		printf("%s\n", (const char *)result->differences->pdata[i]);
	if (result->problems->len == 0)
		printf("%s: no problem found\n", path);
}

/* Reads a configuration file; prints why it cannot. */
static int
read_catalog(const bp_cli_t *cli, const char *path, bp_catalog_t **out,
    GPtrArray *problems)
{
	char *text = NULL;
	size_t size_bytes = 0;
	bp_error_t err = {BP_OK, ""};
	int code = bp_cli_read_file(cli, path, &text, &size_bytes);

	if (code == BP_EXIT_OK &&
	    bp_platform_read_configuration(
		out, problems, text, size_bytes, &err) != BP_OK) {
		char *message = g_strdup_printf("%s: %s", path, err.message);

		code = bp_cli_fail(cli, err.kind, BP_OUTCOME_NOT_RUN, message);
		g_free(message);
	}
	g_free(text);
	return code;
}

static void
check_rules(
    result_t *result, const bp_catalog_t *catalog, const bp_catalog_t *in_force)
{
	GPtrArray *findings = bp_config_check(catalog, in_force);
	guint i;

	for (i = 0; i < findings->len; i++) {
		const bp_config_finding_t *finding = findings->pdata[i];

		bp_config_problem_add(result->problems,
		    bp_platform_place(&finding->place),
		    g_strdup(finding->text));
	}
	g_ptr_array_unref(findings);
	result->version = catalog->version;
	if (in_force == NULL)
		return;
	result->version_in_force = in_force->version;
	result->differences = bp_config_differences(in_force, catalog);
}

static int
check(const bp_cli_t *cli, const char *path, const char *against)
{
	result_t result = {bp_config_problems_new(), NULL, 0, 0};
	GPtrArray *ignored = bp_config_problems_new();
	bp_catalog_t *catalog = NULL;
	bp_catalog_t *in_force = NULL;
	int code = read_catalog(cli, path, &catalog, result.problems);

	/* The problems of the version in force are not those of the file. */
	if (code == BP_EXIT_OK && against != NULL)
		code = read_catalog(cli, against, &in_force, ignored);
	if (code == BP_EXIT_OK) {
		check_rules(&result, catalog, in_force);
		if (bp_cli_wants_json(cli))
			print_json(&result);
		else
			print_lines(&result, path);
		code = result.problems->len == 0 ? BP_EXIT_OK : BP_EXIT_USAGE;
	}
	bp_catalog_free(in_force);
	bp_catalog_free(catalog);
	g_ptr_array_unref(ignored);
	g_ptr_array_unref(result.problems);
	g_clear_pointer(&result.differences, g_ptr_array_unref);
	return code;
}

/* Checks an operators' configuration before it is sent to the nodes. */
int
bp_cmd_config_check(int argc, char **argv)
{
	struct arg_str *path =
	    arg_str1(NULL, NULL, "FILE", "operators' configuration (JSON)");
	struct arg_str *against = arg_str0(NULL, "against", "VERSION-FILE",
	    "configuration in force: print the differences from it");
	void *const own[] = {path, against};
	bp_cli_t cli;
	int code = bp_cli_begin(&cli, "bulrushpost config check",
	    "Checks an operators' configuration and prints all its problems. "
	    "Nothing is sent; keys are never printed.",
	    argc, argv, own, G_N_ELEMENTS(own), false);

	if (code == BP_CLI_CONTINUE)
		code = check(&cli, path->sval[0], bp_cli_text(against, NULL));
	bp_cli_end(&cli);
	return code;
}
