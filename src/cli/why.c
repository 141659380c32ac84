#include "cli/cli.h"

/* Explains why a job, or one task of it, does not run. */
int
bp_cmd_why(int argc, char **argv)
{
	struct arg_str *id = arg_str1(NULL, NULL, "ID", "job id or request id");
	struct arg_str *task = arg_str0(NULL, "task", "N",
	    "index of the task (standard: the first one that waits)");
	void *const own[] = {id, task};
	Bp__Peer__Frame request = BP__PEER__FRAME__INIT;
	char *args[2];
	bp_cli_t cli;
	int code = bp_cli_begin(&cli, "bulrushpost why",
	    "Explains in plain words what a job waits for.", argc, argv, own,
	    G_N_ELEMENTS(own), true);

	request.verb = BP__PEER__VERB__VERB_WHY;
	if (code == BP_CLI_CONTINUE) {
		args[0] = (char *)id->sval[0];
		args[1] = (char *)bp_cli_text(task, "");
		request.args = args;
		request.n_args = task->count > 0 ? 2 : 1;
		code = bp_cli_run(&cli, &request);
	}
	bp_cli_end(&cli);
	return code;
}
