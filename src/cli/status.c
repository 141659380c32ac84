#include "cli/cli.h"

/* Prints the state of a node and what it knows of the cluster. */
int
bp_cmd_status(int argc, char **argv)
{
	Bp__Peer__Frame request = BP__PEER__FRAME__INIT;
	bp_cli_t cli;
	int code = bp_cli_begin(&cli, "bulrushpost status",
	    "Prints the state of a node and what it knows of the cluster.",
	    argc, argv, NULL, 0, true);

	request.verb = BP__PEER__VERB__VERB_STATUS;
	if (code == BP_CLI_CONTINUE)
		code = bp_cli_run(&cli, &request);
	bp_cli_end(&cli);
	return code;
}
