#include "standin/server.h"

#include <stdio.h>
#include <string.h>

static const struct {
	const char *name;
	int (*run)(int argc, char **argv);
} commands[] = {
    {"log", standin_log_main},
    {"vmlist", standin_vmlist_main},
    {"worker", standin_worker_main},
    {"executor", standin_executor_main},
};

/* Stand-ins for the platform; the first argument chooses one. */
int
main(int argc, char **argv)
{
	size_t i;

	for (i = 0; argc > 1 && i < G_N_ELEMENTS(commands); i++) {
		if (strcmp(argv[1], commands[i].name) == 0)
			return commands[i].run(argc - 1, argv + 1);
	}
	fputs("usage: standin log|vmlist|worker|executor OPTIONS\n", stderr);
	return 2;
}
