#include "bulrushpost/amount.h"

#include "bulrushpost/message.h"
#include "bulrushpost/suggest.h"
#include "cli/cli.h"
#include "proto/log.pb-c.h"

#include <string.h>

#define MS_PER_S 1000
#define WEIGHT_STANDARD 1

/* The options of job submit. */
typedef struct {
	struct arg_str *team;
	struct arg_str *name;
	struct arg_str *klass;
	struct arg_str *cpu;
	struct arg_str *memory;
	struct arg_int *accelerators;
	struct arg_int *tasks;
	struct arg_int *run_s;
	struct arg_int *weight;
	struct arg_lit *never_rerun;
	struct arg_str *command;
	struct arg_str *id;
	struct arg_str *by;
} submit_t;

static int
usage(const bp_cli_t *cli, const char *message)
{
	return bp_cli_fail(cli, BP_EINVALID, BP_OUTCOME_NOT_RUN, message);
}

static int
read_class(const bp_cli_t *cli, const char *word, Bp__Log__TaskClass *out)
{
	static const char *const words[] = {"service", "urgent", "batch", NULL};
	const char *close = bp_suggest(word, words);
	char *message;
	int code;
	int i;

	for (i = 0; words[i] != NULL; i++) {
		if (strcmp(words[i], word) == 0) {
			*out = (Bp__Log__TaskClass)(i +
			    BP__LOG__TASK_CLASS__CLASS_SERVICE);
			return BP_EXIT_OK;
		}
	}
	message = g_strdup_printf("--class %.40s: service, urgent or batch%s%s",
	    word, close != NULL ? "; did you mean " : "",
	    close != NULL ? close : "");
	code = usage(cli, message);
	g_free(message);
	return code;
}

static uint32_t
count_of(const struct arg_int *option, int standard)
{
	return (uint32_t)(option->count > 0 ? option->ival[0] : standard);
}

static bool
is_negative(const struct arg_int *option)
{
	return option->count > 0 && option->ival[0] < 0;
}

static int
fill_spec(const bp_cli_t *cli, const submit_t *options, Bp__Log__JobSpec *spec)
{
	int code =
	    read_class(cli, bp_cli_text(options->klass, "batch"), &spec->klass);

	if (code != BP_EXIT_OK)
		return code;
	if (!bp_amount_read_cpu(options->cpu->sval[0], &spec->cpu_milli))
		return usage(cli,
		    "--cpu: processors of one task, with at most three "
		    "decimals");
	if (!bp_amount_read_memory(options->memory->sval[0], &spec->memory_mib))
		return usage(cli,
		    "--memory: memory of one task with suffix M (MiB) or G "
		    "(GiB)");
	if (is_negative(options->accelerators) || is_negative(options->tasks) ||
	    is_negative(options->run_s) || is_negative(options->weight))
		return usage(cli, "numbers may not be negative");
	spec->team = (char *)options->team->sval[0];
	spec->name = (char *)options->name->sval[0];
	spec->accelerators = count_of(options->accelerators, 0);
	spec->tasks = count_of(options->tasks, 1);
	spec->run_ms = (uint64_t)count_of(options->run_s, 0) * MS_PER_S;
	spec->weight = count_of(options->weight, WEIGHT_STANDARD);
	spec->never_rerun = options->never_rerun->count > 0;
	spec->command = (char *)bp_cli_text(options->command, "");
	spec->submitted_by =
	    (char *)bp_cli_text(options->by, g_get_user_name());
	return BP_EXIT_OK;
}

/* The client chooses the id, so it is known even if the answer is lost. */
static int
submit(const bp_cli_t *cli, const submit_t *options)
{
	Bp__Peer__Frame request = BP__PEER__FRAME__INIT;
	Bp__Log__JobSpec spec = BP__LOG__JOB_SPEC__INIT;
	char *made = g_uuid_string_random();
	GBytes *bytes;
	int code = fill_spec(cli, options, &spec);

	if (code == BP_EXIT_OK) {
		spec.id = (char *)bp_cli_text(options->id, made);
		request.verb = BP__PEER__VERB__VERB_JOB_SUBMIT;
		bytes = bp_message_pack(&spec.base);
		bp_message_refer(&request.body, bytes);
		code = bp_cli_run(cli, &request);
		if (code == BP_EXIT_NOT_KNOWN && !bp_cli_wants_json(cli))
			fprintf(stderr,
			    "ask again with: bulrushpost job status %s\n",
			    spec.id);
		g_bytes_unref(bytes);
	}
	g_free(made);
	return code;
}

/* Submits a job. */
int
bp_cmd_job_submit(int argc, char **argv)
{
	submit_t options = {
	    arg_str1(NULL, "team", "NAME", "team that the job belongs to"),
	    arg_str1(NULL, "name", "NAME", "name that rules refer to"),
	    arg_str0(
		NULL, "class", "CLASS", "service, urgent or batch (standard)"),
	    arg_str1(NULL, "cpu", "N", "processors of one task"),
	    arg_str1(NULL, "memory", "N", "memory of one task, as 512M or 2G"),
	    arg_int0(NULL, "accelerators", "N", "accelerators of one task"),
	    arg_int0(NULL, "tasks", "N", "number of tasks (standard 1)"),
	    arg_int0(NULL, "run-s", "N", "expected run time in seconds"),
	    arg_int0(NULL, "weight", "N", "weight within the team"),
	    arg_lit0(NULL, "never-rerun",
		"do not run a task again whose end is not known"),
	    arg_str0(NULL, "command", "TEXT", "what the worker runs"),
	    arg_str0(NULL, "id", "ID", "job id (standard: a random one)"),
	    arg_str0(NULL, "by", "NAME", "who submits (standard: user)")};
	void *const own[] = {options.team, options.name, options.klass,
	    options.cpu, options.memory, options.accelerators, options.tasks,
	    options.run_s, options.weight, options.never_rerun, options.command,
	    options.id, options.by};
	bp_cli_t cli;
	int code = bp_cli_begin(&cli, "bulrushpost job submit",
	    "Submits a job. It is accepted once it is in the log.", argc, argv,
	    own, G_N_ELEMENTS(own), true);

	if (code == BP_CLI_CONTINUE)
		code = submit(&cli, &options);
	bp_cli_end(&cli);
	return code;
}

/* Prints the state and outcome of a job. */
int
bp_cmd_job_status(int argc, char **argv)
{
	struct arg_str *id = arg_str1(NULL, NULL, "ID", "job id");
	void *const own[] = {id};
	Bp__Peer__Frame request = BP__PEER__FRAME__INIT;
	char *args[1];
	bp_cli_t cli;
	int code = bp_cli_begin(&cli, "bulrushpost job status",
	    "Prints the state of a job and whether it ran.", argc, argv, own,
	    G_N_ELEMENTS(own), true);

	request.verb = BP__PEER__VERB__VERB_JOB_STATUS;
	if (code == BP_CLI_CONTINUE) {
		args[0] = (char *)id->sval[0];
		request.args = args;
		request.n_args = G_N_ELEMENTS(args);
		code = bp_cli_run(&cli, &request);
	}
	bp_cli_end(&cli);
	return code;
}

/* Cancels a job. */
int
bp_cmd_job_cancel(int argc, char **argv)
{
	struct arg_str *id = arg_str1(NULL, NULL, "ID", "job id");
	struct arg_str *by =
	    arg_str0(NULL, "by", "NAME", "who cancels (standard: user)");
	void *const own[] = {id, by};
	Bp__Peer__Frame request = BP__PEER__FRAME__INIT;
	char *args[2];
	bp_cli_t cli;
	int code = bp_cli_begin(&cli, "bulrushpost job cancel",
	    "Cancels a job: waiting tasks end at once, running ones are "
	    "stopped.",
	    argc, argv, own, G_N_ELEMENTS(own), true);

	request.verb = BP__PEER__VERB__VERB_JOB_CANCEL;
	if (code == BP_CLI_CONTINUE) {
		args[0] = (char *)id->sval[0];
		args[1] = (char *)bp_cli_text(by, g_get_user_name());
		request.args = args;
		request.n_args = G_N_ELEMENTS(args);
		code = bp_cli_run(&cli, &request);
	}
	bp_cli_end(&cli);
	return code;
}

/* Lists jobs. */
int
bp_cmd_job_list(int argc, char **argv)
{
	struct arg_str *team = arg_str0(NULL, "team", "NAME", "of one team");
	struct arg_str *state = arg_str0(
	    NULL, "state", "STATE", "waiting, running, ended or cancelled");
	void *const own[] = {team, state};
	Bp__Peer__Frame request = BP__PEER__FRAME__INIT;
	char *args[2];
	bp_cli_t cli;
	int code = bp_cli_begin(&cli, "bulrushpost job list",
	    "Lists the jobs, the newest first.", argc, argv, own,
	    G_N_ELEMENTS(own), true);

	request.verb = BP__PEER__VERB__VERB_JOB_LIST;
	if (code == BP_CLI_CONTINUE) {
		args[0] = g_strconcat("team=", bp_cli_text(team, ""), NULL);
		args[1] = g_strconcat("state=", bp_cli_text(state, ""), NULL);
		request.args = args;
		request.n_args = G_N_ELEMENTS(args);
		code = bp_cli_run(&cli, &request);
		g_free(args[0]);
		g_free(args[1]);
	}
	bp_cli_end(&cli);
	return code;
}
