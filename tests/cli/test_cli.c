#include "cli/cli.h"
#include "support/controlrig.h"
#include "support/runner.h"

#include <glib/gstdio.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

#define ARGS_MAX 16

typedef int (*command_t)(int argc, char **argv);

/*
 * Runs a subcommand in this process, whose main loop also serves the node,
 * and returns its exit code. *out gets what it printed.
 */
static int
run(command_t command, char **out, const char *line)
{
	char *path = g_strdup_printf("%s/bp-cli-%d", g_get_tmp_dir(), getpid());
	FILE *file = g_fopen(path, "w+");
	int saved[] = {dup(STDOUT_FILENO), dup(STDERR_FILENO)};
	char **argv = g_strsplit(line, " ", ARGS_MAX);
	int code;

	fflush(stdout);
	fflush(stderr);
	(void)dup2(fileno(file), STDOUT_FILENO);
	(void)dup2(fileno(file), STDERR_FILENO);
	code = command((int)g_strv_length(argv), argv);
	fflush(stdout);
	fflush(stderr);
	(void)dup2(saved[0], STDOUT_FILENO);
	(void)dup2(saved[1], STDERR_FILENO);
	(void)close(saved[0]);
	(void)close(saved[1]);
	(void)fclose(file);
	*out = NULL;
	(void)g_file_get_contents(path, out, NULL, NULL);
	(void)g_unlink(path);
	g_free(path);
	g_strfreev(argv);
	return code;
}

/* Checks the exit code, and that part was printed. */
static void expect(command_t command, int code, const char *part,
    const char *format, ...) G_GNUC_PRINTF(4, 5);

static void
expect(command_t command, int code, const char *part, const char *format, ...)
{
	va_list args;
	char *line;
	char *out;
	int got;

	va_start(args, format);
	line = g_strdup_vprintf(format, args);
	va_end(args);
	got = run(command, &out, line);
	CU_ASSERT_EQUAL(got, code);
	CU_ASSERT_PTR_NOT_NULL(strstr(out, part));
	if (got != code || strstr(out, part) == NULL)
		g_printerr("%s: exit %d, printed:\n%s\n", line, got, out);
	g_free(out);
	g_free(line);
}

static char *
write_file(const char *name, const char *text)
{
	char *path =
	    g_strdup_printf("%s/bp-cli-%d-%s", g_get_tmp_dir(), getpid(), name);

	CU_ASSERT_TRUE(g_file_set_contents(path, text, -1, NULL));
	return path;
}

/* Guards against wrong exit codes of subcommands, used by scripts. */
static void
test_exit_codes_follow_the_outcome(void)
{
	controlrig_t rig;
	char *good = write_file("good", "team a weight 2 # Ann\n");
	char *bad = write_file("bad", "team a weight 0 # Ann\n");
	const char *node;

	controlrig_init(&rig);
	controlrig_add_vm(&rig);
	node = rig.address;
	expect(
	    bp_cmd_rules_check, 0, "1 rules", "check %s --node %s", good, node);
	expect(bp_cmd_rules_check, 2, "line 1: 0: ", "check %s --offline", bad);
	expect(bp_cmd_rules_check, 2, "No such file",
	    "check /nonexistent --offline");
	expect(bp_cmd_rules_publish, 0, "version 1 is in force",
	    "publish %s --base 0 --author Ann --node %s", good, node);
	expect(bp_cmd_rules_publish, 1, "version 1 by Ann",
	    "publish %s --base 0 --node %s", good, node);
	expect(bp_cmd_rules_publish, 1, "\"difference\"",
	    "publish %s --base 0 --json --node %s", good, node);
	expect(bp_cmd_rules_show, 0, "team a weight 2 # Ann\n",
	    "show --node %s", node);
	expect(bp_cmd_rules_history, 0, "by Ann", "history --node %s", node);
	expect(bp_cmd_zone_out, 0, "out of service",
	    "out zone-1 --reason flood --author Ann --node %s", node);
	expect(bp_cmd_zone_in, 1, "conflict", "in zone-1 --base 0 --node %s",
	    node);
	expect(bp_cmd_zone_list, 0, "flood", "list --node %s", node);
	expect(bp_cmd_job_submit, 0, "job j1 is accepted",
	    "submit --id j1 --team a --name n --cpu 1.5 --memory 1G --node %s",
	    node);
	expect(bp_cmd_job_submit, 1, "never_fits",
	    "submit --team a --name n --cpu 9 --memory 1G --node %s", node);
	expect(bp_cmd_job_submit, 2, "--memory",
	    "submit --team a --name n --cpu 1 --memory 1 --node %s", node);
	expect(bp_cmd_job_submit, 2, "mean batch",
	    "submit --team a --name n --cpu 1 --memory 1G --class btach");
	expect(bp_cmd_job_list, 0, "j1 n, team a", "list --node %s", node);
	expect(bp_cmd_why, 0, "zone", "why j1 --node %s", node);
	expect(bp_cmd_job_cancel, 0, "outcome: not_run",
	    "cancel j1 --by Ann --node %s", node);
	expect(bp_cmd_job_status, 3, "outcome: not_known",
	    "status none --node %s", node);
	expect(bp_cmd_request_status, 3, "outcome: not_known",
	    "status 1-k --service s --node %s", node);
	expect(bp_cmd_request_status, 3, "\"claimed\":false",
	    "status 1-k --service s --json --node %s", node);
	expect(bp_cmd_request_status, 2, "UNIXSECONDS",
	    "status k --service s --node %s", node);
	expect(bp_cmd_request_status, 2, "--service", "status 1-k");
	expect(bp_cmd_request_status, 4, "outcome: not_known",
	    "status 1-k --service s --node 127.0.0.1:1");
	expect(bp_cmd_status, 0, "node node-1", "status --node %s", node);
	expect(bp_cmd_metrics, 0, "bulrushpost_entries_total",
	    "metrics --node %s", node);
	expect(
	    bp_cmd_status, 4, "outcome: not_run", "status --node 127.0.0.1:1");
	expect(bp_cmd_status, 2, "--colour", "status --colour");
	controlrig_clear(&rig);
	(void)g_unlink(good);
	(void)g_unlink(bad);
	g_free(good);
	g_free(bad);
}

/* Guards against a merged timeline that silently omits a node. */
static void
test_timeline_tells_of_missing_nodes(void)
{
	controlrig_t rig;

	controlrig_init(&rig);
	controlrig_add_vm(&rig);
	bp_timeline_add(
	    rig.timeline, "start", "j1", "w1", "zone-1", "sent to the worker");
	/* The node's address in the log, 127.0.0.1:1, has no listener. */
	expect(bp_cmd_timeline, 3, "lacks the events of 127.0.0.1:1",
	    "timeline --job j1 --node %s", rig.address);
	expect(bp_cmd_timeline, 2, "--since", "timeline --since yesterday");
	controlrig_clear(&rig);
}

/* Guards against a settings file whose problems are not all shown. */
static void
test_settings_check_prints_all_problems(void)
{
	char *path = write_file("settings", "node: {name: a, zoen: b}\n");

	expect(bp_cmd_settings_check, 2, "node.zoen", "check %s", path);
	expect(
	    bp_cmd_settings_check, 2, "\"ok\":false", "check %s --json", path);
	expect(bp_cmd_serve, 2, "listen.control", "serve --settings %s", path);
	(void)g_unlink(path);
	g_free(path);
}

/* The exit code of a bad configuration keeps scripts from sending it. */
static void
test_config_check_prints_all_problems(void)
{
	char *old = write_file("old",
	    "{\"version\":6,\"routes\":[],\"services\":[],\"tenants\":["
	    "{\"name\":\"c1\",\"api_keys\":[\"secret-1\"],\"weight\":2}]}");
	char *good = write_file("good",
	    "{\"version\":7,\"routes\":[],\"services\":[],\"tenants\":["
	    "{\"name\":\"c1\",\"api_keys\":[\"secret-2\"],\"weight\":3}]}");
	char *bad = write_file("bad",
	    "{\"version\":7,\"routes\":[{\"name\":\"r\",\"hostname\":\"h\","
	    "\"path_prefix\":\"a\",\"service_name\":\"s\","
	    "\"timeout_ms\":\"9\"}],\"services\":[]}");
	char *broken = write_file("broken", "{\"version\":7,\n,}");

	expect(bp_cmd_config_check, 0, "no problem found", "check %s", good);
	expect(bp_cmd_config_check, 0,
	    "customer c1: weight changed from 2 to 3\n"
	    "customer c1: keys added: 1, removed: 1\n",
	    "check %s --against %s", good, old);
	expect(bp_cmd_config_check, 0,
	    "{\"ok\":true,\"problems\":[],\"differences\":[\"customer c1: "
	    "weight",
	    "check %s --against %s --json", good, old);
	expect(bp_cmd_config_check, 2,
	    "routes[0].timeout_ms: is a text; a whole number is expected\n"
	    "routes[0].path_prefix: does not begin with /: no call matches\n"
	    "routes[0].service_name: no service is named \"s\"\n",
	    "check %s", bad);
	expect(bp_cmd_config_check, 2,
	    "{\"ok\":false,\"problems\":[{\"place\":\"routes[0].timeout_ms\","
	    "\"problem\":\"is a text",
	    "check %s --json", bad);
	expect(bp_cmd_config_check, 2, "version: 6 is not above 7",
	    "check %s --against %s", old, good);
	expect(bp_cmd_config_check, 2, "syntax error in line 1 or later",
	    "check %s", broken);
	expect(bp_cmd_config_check, 2, "syntax error in line 1 or later",
	    "check %s --against %s", good, broken);
	expect(bp_cmd_config_check, 2, "No such file", "check /nonexistent");
	expect(bp_cmd_config_check, 2, "FILE", "check");
	(void)g_unlink(old);
	(void)g_unlink(good);
	(void)g_unlink(bad);
	(void)g_unlink(broken);
	g_free(old);
	g_free(good);
	g_free(bad);
	g_free(broken);
}

/* Guards against a subcommand that lacks the common options. */
static void
test_every_command_has_help_and_version(void)
{
	static const command_t commands[] = {bp_cmd_serve,
	    bp_cmd_settings_check, bp_cmd_config_check, bp_cmd_rules_check,
	    bp_cmd_rules_publish, bp_cmd_rules_show, bp_cmd_rules_history,
	    bp_cmd_zone_out, bp_cmd_zone_in, bp_cmd_zone_list,
	    bp_cmd_job_submit, bp_cmd_job_status, bp_cmd_job_cancel,
	    bp_cmd_job_list, bp_cmd_why, bp_cmd_timeline, bp_cmd_status,
	    bp_cmd_metrics};
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(commands); i++) {
		expect(commands[i], 0, "--json", "x --help");
		expect(
		    commands[i], 0, "bulrushpost " BP_VERSION, "x --version");
	}
}

int
main(void)
{
	CU_TestInfo tests[] = {
	    {"exit codes", test_exit_codes_follow_the_outcome},
	    {"missing nodes", test_timeline_tells_of_missing_nodes},
	    {"settings check", test_settings_check_prints_all_problems},
	    {"config check", test_config_check_prints_all_problems},
	    {"help", test_every_command_has_help_and_version},
	    CU_TEST_INFO_NULL,
	};

	return bp_test_main("cli", tests);
}
