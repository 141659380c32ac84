#include "bulrushpost/node.h"

#include <stdio.h>
#include <string.h>

int
main(int argc, char **argv)
{
	bp_settings_t *settings = NULL;
	bp_error_t err;

	if (argc != 4 || strcmp(argv[1], "serve") != 0 ||
	    strcmp(argv[2], "--settings") != 0) {
		puts("usage: bulrushpost serve --settings FILE");
		return 2;
	}
	if (bp_settings_load(&settings, argv[3], NULL, &err) != BP_OK ||
	    bp_node_run(settings, &err) != BP_OK) {
		fprintf(stderr, "%s\n", err.message);
		bp_settings_free(settings);
		return bp_error_answer(err.kind)->exit_code;
	}
	bp_settings_free(settings);
	return 0;
}
