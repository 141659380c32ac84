#include "cli/cli.h"

/* Prints the counters and gauges of a node. */
int
bp_cmd_metrics(int argc, char **argv)
{
	Bp__Peer__Frame request = BP__PEER__FRAME__INIT;
	bp_cli_t cli;
	int code = bp_cli_begin(&cli, "bulrushpost metrics",
	    "Prints the counters and gauges of a node, one a line.", argc, argv,
	    NULL, 0, true);

	request.verb = BP__PEER__VERB__VERB_METRICS;
	if (code == BP_CLI_CONTINUE)
		code = bp_cli_run(&cli, &request);
	bp_cli_end(&cli);
	return code;
}
