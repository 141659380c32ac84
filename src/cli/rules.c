#include "bulrushpost/rules.h"
#include "cli/cli.h"

#include <stdio.h>
#include <string.h>

/* A first check without a node, so that most errors need no connection. */
static int
parse_locally(const bp_cli_t *cli, const char *text, size_t size_bytes)
{
	bp_rules_t *rules = NULL;
	bp_error_t err;

	if (bp_rules_parse(&rules, text, size_bytes, NULL, &err) != BP_OK)
		return bp_cli_fail(
		    cli, err.kind, BP_OUTCOME_NOT_RUN, err.message);
	bp_rules_free(rules);
	return BP_EXIT_OK;
}

static int
send_file(const bp_cli_t *cli, const char *path, Bp__Peer__Frame *request,
    bool offline)
{
	char *text = NULL;
	size_t size_bytes = 0;
	int code = bp_cli_read_file(cli, path, &text, &size_bytes);

	if (code == BP_EXIT_OK)
		code = parse_locally(cli, text, size_bytes);
	if (code == BP_EXIT_OK && offline) {
		puts(bp_cli_wants_json(cli)
			? "{\"ok\":true}"
			: "no problem found; names were not checked");
	} else if (code == BP_EXIT_OK) {
		request->body.data = (uint8_t *)text;
		request->body.len = size_bytes;
		code = bp_cli_run(cli, request);
	}
	g_free(text);
	return code;
}

/* Checks a rule file against the names and jobs that a node knows. */
int
bp_cmd_rules_check(int argc, char **argv)
{
	struct arg_str *path = arg_str1(NULL, NULL, "FILE", "rule file");
	struct arg_lit *offline = arg_lit0(
	    NULL, "offline", "ask no node: names and effects stay unchecked");
	void *const own[] = {path, offline};
	Bp__Peer__Frame request = BP__PEER__FRAME__INIT;
	bp_cli_t cli;
	int code = bp_cli_begin(&cli, "bulrushpost rules check",
	    "Checks a rule file. Warns of rules that no VM can meet and of "
	    "jobs that could not run any more.",
	    argc, argv, own, G_N_ELEMENTS(own), true);

	request.verb = BP__PEER__VERB__VERB_RULES_CHECK;
	if (code == BP_CLI_CONTINUE)
		code = send_file(
		    &cli, path->sval[0], &request, offline->count > 0);
	bp_cli_end(&cli);
	return code;
}

/* Publishes a rule file that was edited from a named version. */
int
bp_cmd_rules_publish(int argc, char **argv)
{
	struct arg_str *path = arg_str1(NULL, NULL, "FILE", "rule file");
	struct arg_str *base = arg_str1(NULL, "base", "VERSION",
	    "version that the file was edited from (0 for the first one)");
	struct arg_str *author =
	    arg_str0(NULL, "author", "NAME", "who publishes (standard: user)");
	void *const own[] = {path, base, author};
	Bp__Peer__Frame request = BP__PEER__FRAME__INIT;
	char *args[2];
	bp_cli_t cli;
	int code = bp_cli_begin(&cli, "bulrushpost rules publish",
	    "Puts a rule file in force. When the version in force is not the "
	    "one it was edited from, the file is refused and the difference "
	    "shown.",
	    argc, argv, own, G_N_ELEMENTS(own), true);

	request.verb = BP__PEER__VERB__VERB_RULES_PUBLISH;
	if (code == BP_CLI_CONTINUE) {
		args[0] = (char *)base->sval[0];
		args[1] = (char *)bp_cli_text(author, g_get_user_name());
		request.args = args;
		request.n_args = G_N_ELEMENTS(args);
		code = send_file(&cli, path->sval[0], &request, false);
	}
	bp_cli_end(&cli);
	return code;
}

/* Standard output gets only the file, so that it can be edited. */
static int
show(const bp_cli_t *cli, const Bp__Peer__Frame *request)
{
	Bp__Peer__Frame *answer = NULL;
	bp_error_t err;
	int code;

	if (bp_cli_ask(cli, bp_cli_node(cli), request, &answer, &err) != BP_OK)
		return bp_cli_fail(
		    cli, err.kind, BP_OUTCOME_NOT_RUN, err.message);
	if (answer->error == BP_OK && answer->n_args > 0 &&
	    !bp_cli_wants_json(cli)) {
		fprintf(stderr, "%s\n", answer->message);
		fputs(answer->args[0], stdout);
		code = BP_EXIT_OK;
	} else {
		code = bp_cli_show(cli, answer);
	}
	bp__peer__frame__free_unpacked(answer, NULL);
	return code;
}

/* Prints the rules in force or those of an earlier version. */
int
bp_cmd_rules_show(int argc, char **argv)
{
	struct arg_str *version =
	    arg_str0(NULL, NULL, "VERSION", "standard: the one in force");
	void *const own[] = {version};
	Bp__Peer__Frame request = BP__PEER__FRAME__INIT;
	char *args[1];
	bp_cli_t cli;
	int code = bp_cli_begin(&cli, "bulrushpost rules show",
	    "Prints a rule file to standard output, its version and author to "
	    "standard error.",
	    argc, argv, own, G_N_ELEMENTS(own), true);

	request.verb = BP__PEER__VERB__VERB_RULES_SHOW;
	if (code == BP_CLI_CONTINUE) {
		args[0] = (char *)bp_cli_text(version, "");
		request.args = args;
		request.n_args = version->count > 0 ? 1 : 0;
		code = show(&cli, &request);
	}
	bp_cli_end(&cli);
	return code;
}

/* Lists the versions with their authors. */
int
bp_cmd_rules_history(int argc, char **argv)
{
	Bp__Peer__Frame request = BP__PEER__FRAME__INIT;
	bp_cli_t cli;
	int code = bp_cli_begin(&cli, "bulrushpost rules history",
	    "Lists the versions of the rules with their authors.", argc, argv,
	    NULL, 0, true);

	request.verb = BP__PEER__VERB__VERB_RULES_HISTORY;
	if (code == BP_CLI_CONTINUE)
		code = bp_cli_run(&cli, &request);
	bp_cli_end(&cli);
	return code;
}
