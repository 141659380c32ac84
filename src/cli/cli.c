#include "cli/cli.h"

#include "bulrushpost/message.h"
#include "bulrushpost/peer.h"

#include <json-glib/json-glib.h>
#include <stdio.h>
#include <string.h>

#define DEFAULT_NODE "127.0.0.1:7070"
#define DEFAULT_TIMEOUT_MS 10000
#define ERRORS_MAX 20

static void
add(bp_cli_t *cli, void *option)
{
	g_assert(cli->n_table < BP_CLI_OPTIONS_MAX);
	cli->table[cli->n_table++] = option;
}

static void
build_table(bp_cli_t *cli, void *const *own, int n_own, bool asks_node)
{
	int i;

	for (i = 0; i < n_own; i++)
		add(cli, own[i]);
	if (asks_node) {
		cli->node = arg_str0(NULL, "node", "HOST:PORT",
		    "control address of a node (standard " DEFAULT_NODE
		    ", or the variable BULRUSHPOST_NODE)");
		cli->timeout_ms = arg_int0(NULL, "timeout-ms", "N",
		    "how long to wait for the answer (standard 10000)");
		add(cli, cli->node);
		add(cli, cli->timeout_ms);
	}
	cli->json = arg_lit0(NULL, "json", "print JSON");
	cli->help = arg_lit0(NULL, "help", "print this help and exit");
	cli->version = arg_lit0(NULL, "version", "print the version and exit");
	cli->end = arg_end(ERRORS_MAX);
	add(cli, cli->json);
	add(cli, cli->help);
	add(cli, cli->version);
	add(cli, cli->end);
}

static void
print_help(bp_cli_t *cli, const char *about)
{
	printf("Usage: %s", cli->command);
	arg_print_syntaxv(stdout, cli->table, "\n");
	printf("%s\n\n", about);
	arg_print_glossary(stdout, cli->table, "  %-26s %s\n");
	puts("\nExit codes: 0 ok, 1 refused (not run), 2 usage or bad file, "
	     "3 not known, 4 unreachable.");
}

/* See the header. */
int
bp_cli_begin(bp_cli_t *cli, const char *command, const char *about, int argc,
    char **argv, void *const *own, int n_own, bool asks_node)
{
	int errors;

	memset(cli, 0, sizeof(*cli));
	cli->command = command;
	build_table(cli, own, n_own, asks_node);
	if (arg_nullcheck(cli->table) != 0) {
		fputs("out of memory\n", stderr);
		return BP_EXIT_NOT_KNOWN;
	}
	errors = arg_parse(argc, argv, cli->table);
	if (cli->help->count > 0) {
		print_help(cli, about);
		return BP_EXIT_OK;
	}
	if (cli->version->count > 0) {
		puts("bulrushpost " BP_VERSION);
		return BP_EXIT_OK;
	}
	if (errors == 0)
		return BP_CLI_CONTINUE;
	arg_print_errors(stderr, cli->end, command);
	fprintf(stderr, "Usage: %s", command);
	arg_print_syntaxv(stderr, cli->table, "\n");
	return BP_EXIT_USAGE;
}

/* Frees the options, the command's own ones too. */
void
bp_cli_end(bp_cli_t *cli)
{
	arg_freetable(cli->table, (size_t)cli->n_table);
}

/* Returns whether --json was given. */
bool
bp_cli_wants_json(const bp_cli_t *cli)
{
	return cli->json->count > 0;
}

/* See the header. */
const char *
bp_cli_text(const struct arg_str *option, const char *other)
{
	return option->count > 0 ? option->sval[0] : other;
}

/* Returns the control address to ask. */
const char *
bp_cli_node(const bp_cli_t *cli)
{
	const char *from_environment = g_getenv("BULRUSHPOST_NODE");

	return bp_cli_text(cli->node,
	    from_environment != NULL ? from_environment : DEFAULT_NODE);
}

static void
print_json_error(
    const bp_error_info_t *answer, bp_outcome_t outcome, const char *message)
{
	JsonObject *object = json_object_new();
	JsonNode *node = json_node_new(JSON_NODE_OBJECT);
	char *text;

	json_object_set_string_member(object, "error", answer->name);
	json_object_set_string_member(
	    object, "outcome", bp_outcome_name(outcome));
	json_object_set_string_member(object, "message", message);
	json_object_set_string_member(object, "advice", answer->advice);
	json_node_take_object(node, object);
	text = json_to_string(node, FALSE);
	puts(text);
	g_free(text);
	json_node_unref(node);
}

/* See the header. */
int
bp_cli_fail(
    const bp_cli_t *cli, int kind, bp_outcome_t outcome, const char *message)
{
	const bp_error_info_t *answer = bp_error_info(kind);

	if (bp_cli_wants_json(cli))
		print_json_error(answer, outcome, message);
	else
		fprintf(stderr, "%s: %s: %s\noutcome: %s; %s\n", cli->command,
		    answer->name, message, bp_outcome_name(outcome),
		    answer->advice);
	return answer->exit_code;
}

/* Reads a file, or standard input for "-"; prints why it cannot. */
int
bp_cli_read_file(
    const bp_cli_t *cli, const char *path, char **out, size_t *size_bytes)
{
	GError *error = NULL;
	const char *name = strcmp(path, "-") == 0 ? "/dev/stdin" : path;

	if (g_file_get_contents(name, out, size_bytes, &error))
		return BP_EXIT_OK;
	(void)bp_cli_fail(cli, BP_EINVALID, BP_OUTCOME_NOT_RUN, error->message);
	g_error_free(error);
	return BP_EXIT_USAGE;
}

/* A call that the main loop waits for. */
typedef struct {
	GMainLoop *loop;
	Bp__Peer__Frame *answer;
	bp_error_t err;
} wait_t;

static void
on_answer(const Bp__Peer__Frame *answer, const bp_error_t *err, void *data)
{
	wait_t *wait = data;

	if (err != NULL)
		wait->err = *err;
	else
		wait->answer = bp_message_copy(&answer->base);
	g_main_loop_quit(wait->loop);
}

/* See the header. */
int
bp_cli_ask(const bp_cli_t *cli, const char *address,
    const Bp__Peer__Frame *request, Bp__Peer__Frame **answer, bp_error_t *err)
{
	wait_t wait = {g_main_loop_new(NULL, FALSE), NULL, {BP_OK, ""}};
	bp_peer_client_t *client = bp_peer_client_new(bp_clock_system(), NULL);
	int timeout_ms = cli->timeout_ms->count > 0 ? cli->timeout_ms->ival[0]
						    : DEFAULT_TIMEOUT_MS;

	bp_peer_client_call(client, address, request,
	    (uint32_t)MAX(timeout_ms, 1), on_answer, &wait);
	g_main_loop_run(wait.loop);
	bp_peer_client_free(client);
	g_main_loop_unref(wait.loop);
	*answer = wait.answer;
	*err = wait.err;
	return wait.answer != NULL ? BP_OK : (int)wait.err.kind;
}

/* Exit code 1 guarantees that nothing was run, so it must be certain. */
static int
exit_code(const Bp__Peer__Frame *answer)
{
	int code = bp_error_info(answer->error)->exit_code;

	return code == BP_EXIT_REFUSED && answer->outcome != BP_OUTCOME_NOT_RUN
	    ? BP_EXIT_NOT_KNOWN
	    : code;
}

/* Prints an answer; returns its exit code. */
int
bp_cli_show(const bp_cli_t *cli, const Bp__Peer__Frame *answer)
{
	bool as_json = bp_cli_wants_json(cli) && answer->body.len > 0;

	if (as_json)
		printf("%.*s\n", (int)answer->body.len,
		    (const char *)answer->body.data);
	else if (answer->error != BP_OK)
		(void)bp_cli_fail(cli, answer->error,
		    (bp_outcome_t)answer->outcome, answer->message);
	else
		printf("%s%s", answer->message,
		    g_str_has_suffix(answer->message, "\n") ? "" : "\n");
	return exit_code(answer);
}

/* See the header. */
int
bp_cli_run(const bp_cli_t *cli, const Bp__Peer__Frame *request)
{
	Bp__Peer__Frame *answer = NULL;
	bp_error_t err;
	int code;

	if (bp_cli_ask(cli, bp_cli_node(cli), request, &answer, &err) !=
	    BP_OK) {
		/* Only a request that was never sent has certainly not run. */
		bool unsent =
		    err.kind == BP_EUNREACHABLE || err.kind == BP_ETOOLARGE;

		return bp_cli_fail(cli, err.kind,
		    unsent ? BP_OUTCOME_NOT_RUN : BP_OUTCOME_NOT_KNOWN,
		    err.message);
	}
	code = bp_cli_show(cli, answer);
	bp__peer__frame__free_unpacked(answer, NULL);
	return code;
}
