#include "bulrushpost/suggest.h"
#include "cli/cli.h"

#include <stdio.h>
#include <string.h>

typedef struct {
	const char *words; /* one or two */
	const char *about;
	int (*run)(int argc, char **argv);
} command_t;

static const command_t commands[] = {
    {"serve", "run a node", bp_cmd_serve},
    {"settings check", "check a settings file", bp_cmd_settings_check},
    {"config check", "check an operators' configuration", bp_cmd_config_check},
    {"rules check", "check a rule file and warn of its effects",
	bp_cmd_rules_check},
    {"rules publish", "put a rule file in force", bp_cmd_rules_publish},
    {"rules show", "print the rules in force or an earlier version",
	bp_cmd_rules_show},
    {"rules history", "list the versions of the rules", bp_cmd_rules_history},
    {"zone out", "take an availability zone out of service", bp_cmd_zone_out},
    {"zone in", "take an availability zone back into service", bp_cmd_zone_in},
    {"zone list", "list the availability zones", bp_cmd_zone_list},
    {"job submit", "submit a job", bp_cmd_job_submit},
    {"job status", "print what became of a job", bp_cmd_job_status},
    {"job cancel", "cancel a job", bp_cmd_job_cancel},
    {"job list", "list the jobs", bp_cmd_job_list},
    {"request status", "print what became of a request with a key",
	bp_cmd_request_status},
    {"why", "explain why a job does not run", bp_cmd_why},
    {"timeline", "merge the timelines of all nodes", bp_cmd_timeline},
    {"status", "print the state of a node and of the cluster", bp_cmd_status},
    {"metrics", "print the counters and gauges of a node", bp_cmd_metrics},
};

static void
print_usage(FILE *out)
{
	size_t i;

	fputs("Usage: bulrushpost COMMAND [OPTIONS]\n\n", out);
	for (i = 0; i < G_N_ELEMENTS(commands); i++)
		fprintf(
		    out, "  %-16s %s\n", commands[i].words, commands[i].about);
	fputs("\nCOMMAND --help describes the options. --version prints the "
	      "version.\n",
	    out);
}

static int
refuse(const char *given)
{
	const char *known[G_N_ELEMENTS(commands) + 1] = {NULL};
	const char *close;
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(commands); i++)
		known[i] = commands[i].words;
	close = bp_suggest(given, known);
	fprintf(stderr, "bulrushpost: %s is not a command%s%s%s\n", given,
	    close != NULL ? "; did you mean " : "", close != NULL ? close : "",
	    close != NULL ? "?" : "");
	print_usage(stderr);
	return BP_EXIT_USAGE;
}

int
main(int argc, char **argv)
{
	char *two;
	size_t i;
	int code = -1;

	if (argc < 2) {
		print_usage(stderr);
		return BP_EXIT_USAGE;
	}
	if (strcmp(argv[1], "--help") == 0) {
		print_usage(stdout);
		return BP_EXIT_OK;
	}
	if (strcmp(argv[1], "--version") == 0) {
		puts("bulrushpost " BP_VERSION);
		return BP_EXIT_OK;
	}
	two = argc > 2 ? g_strdup_printf("%s %s", argv[1], argv[2])
		       : g_strdup(argv[1]);
	for (i = 0; i < G_N_ELEMENTS(commands) && code < 0; i++) {
		if (strcmp(commands[i].words, argv[1]) == 0)
			code = commands[i].run(argc - 1, argv + 1);
		else if (strcmp(commands[i].words, two) == 0)
			code = commands[i].run(argc - 2, argv + 2);
	}
	if (code < 0)
		code = refuse(two);
	g_free(two);
	return code;
}
