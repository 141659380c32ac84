#include "bulrushpost/node.h"
#include "bulrushpost/queuenode.h"
#include "bulrushpost/settings.h"
#include "cli/cli.h"

#include <stdio.h>

static int
serve(const bp_cli_t *cli, const char *path)
{
	GPtrArray *problems = g_ptr_array_new_with_free_func(g_free);
	bp_settings_t *settings = NULL;
	bp_error_t err = {BP_OK, ""};
	int code = BP_EXIT_OK;
	guint i;
	int rc;

	rc = bp_settings_load(&settings, path, problems, &err);
	for (i = 0; i < problems->len; i++)
		fprintf(stderr, "%s\n",
		    (const char *)g_ptr_array_index(problems, i));
	g_ptr_array_unref(problems);
	if (rc != BP_OK)
		return BP_EXIT_USAGE;
	rc = settings->node.queues ? bp_queuenode_run(settings, &err)
				   : bp_node_run(settings, &err);
	if (rc != BP_OK)
		code =
		    bp_cli_fail(cli, err.kind, BP_OUTCOME_NOT_RUN, err.message);
	bp_settings_free(settings);
	return code;
}

/* Runs a node until a signal stops it. */
int
bp_cmd_serve(int argc, char **argv)
{
	struct arg_str *path =
	    arg_str1(NULL, "settings", "FILE", "settings file (YAML)");
	void *const own[] = {path};
	bp_cli_t cli;
	int code = bp_cli_begin(&cli, "bulrushpost serve",
	    "Runs a node until SIGTERM or SIGINT, then stops it gracefully.",
	    argc, argv, own, G_N_ELEMENTS(own), false);

	if (code == BP_CLI_CONTINUE)
		code = serve(&cli, path->sval[0]);
	bp_cli_end(&cli);
	return code;
}
