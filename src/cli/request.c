#include "cli/cli.h"

/* The query itself always succeeds; the exit code is the outcome. */
static int
show(const bp_cli_t *cli, const Bp__Peer__Frame *answer)
{
	int code = bp_cli_show(cli, answer);

	if (answer->error != BP_OK)
		return code;
	switch (answer->outcome) {
	case BP_OUTCOME_RAN:
		return BP_EXIT_OK;
	case BP_OUTCOME_NOT_RUN:
		return BP_EXIT_REFUSED;
	default:
		return BP_EXIT_NOT_KNOWN;
	}
}

static int
ask(const bp_cli_t *cli, const char *service, const char *key)
{
	char *args[] = {g_strdup_printf("%s/%s", service, key)};
	Bp__Peer__Frame request = BP__PEER__FRAME__INIT;
	Bp__Peer__Frame *answer = NULL;
	bp_error_t err;
	int code;

	request.verb = BP__PEER__VERB__VERB_KEY_OUTCOME;
	request.args = args;
	request.n_args = G_N_ELEMENTS(args);
	if (bp_cli_ask(cli, bp_cli_node(cli), &request, &answer, &err) ==
	    BP_OK) {
		code = show(cli, answer);
		bp__peer__frame__free_unpacked(answer, NULL);
	} else {
		/* The outcome is that of the caller's request. */
		code = bp_cli_fail(
		    cli, err.kind, BP_OUTCOME_NOT_KNOWN, err.message);
	}
	g_free(args[0]);
	return code;
}

/* Prints the outcome of a request with an idempotency key. */
int
bp_cmd_request_status(int argc, char **argv)
{
	struct arg_str *key =
	    arg_str1(NULL, NULL, "KEY", "idempotency key, UNIXSECONDS-TEXT");
	struct arg_str *service = arg_str1(NULL, "service", "NAME",
	    "service, the first segment of the request's path");
	void *const own[] = {key, service};
	bp_cli_t cli;
	int code = bp_cli_begin(&cli, "bulrushpost request status",
	    "Prints whether the request with an idempotency key ran. Exit "
	    "code 0: it ran, 1: it was not run, 3: not known.",
	    argc, argv, own, G_N_ELEMENTS(own), true);

	if (code == BP_CLI_CONTINUE)
		code = ask(&cli, service->sval[0], key->sval[0]);
	bp_cli_end(&cli);
	return code;
}
