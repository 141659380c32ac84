#ifndef BP_CLI_CLI_H
#define BP_CLI_CLI_H

#include "bulrushpost/error.h"
#include "proto/peer.pb-c.h"

#include <argtable2.h>
#include <glib.h>
#include <stdbool.h>

/* Exit codes (docs/design.md, section 10). */
#define BP_EXIT_OK 0
#define BP_EXIT_REFUSED 1
#define BP_EXIT_USAGE 2
#define BP_EXIT_NOT_KNOWN 3
#define BP_EXIT_UNREACHABLE 4
/* Returned by bp_cli_begin if the command is to continue. */
#define BP_CLI_CONTINUE (-1)

#define BP_CLI_OPTIONS_MAX 24

/* Options of one subcommand, parsed. */
typedef struct {
	const char *command;
	struct arg_lit *help;
	struct arg_lit *version;
	struct arg_lit *json;
	struct arg_str *node; /* NULL in commands without a node */
	struct arg_int *timeout_ms;
	struct arg_end *end;
	void *table[BP_CLI_OPTIONS_MAX];
	int n_table;
} bp_cli_t;

/*
 * Parses the options of a command: those in own, and the common ones. The
 * result is BP_CLI_CONTINUE or an exit code; bp_cli_end follows either way.
 */
int bp_cli_begin(bp_cli_t *cli, const char *command, const char *about,
    int argc, char **argv, void *const *own, int n_own, bool asks_node);
void bp_cli_end(bp_cli_t *cli);
bool bp_cli_wants_json(const bp_cli_t *cli);
const char *bp_cli_node(const bp_cli_t *cli);
/* The value of an option, or other when it was not given. */
const char *bp_cli_text(const struct arg_str *option, const char *other);

/* Prints an error to standard error; returns its exit code. */
int bp_cli_fail(
    const bp_cli_t *cli, int kind, bp_outcome_t outcome, const char *message);
int bp_cli_read_file(
    const bp_cli_t *cli, const char *path, char **out, size_t *size_bytes);

/*
 * Sends a request to a node and waits. *answer is to be freed with
 * bp__peer__frame__free_unpacked; NULL when err is set. Returns BP_OK or the
 * kind of err; an error in the answer itself is in (*answer)->error.
 */
int bp_cli_ask(const bp_cli_t *cli, const char *address,
    const Bp__Peer__Frame *request, Bp__Peer__Frame **answer, bp_error_t *err);
/* Sends to the node, prints the answer, returns the exit code. */
int bp_cli_run(const bp_cli_t *cli, const Bp__Peer__Frame *request);
int bp_cli_show(const bp_cli_t *cli, const Bp__Peer__Frame *answer);

/* Each takes the arguments after its own words; argv[0] is the last word. */
int bp_cmd_serve(int argc, char **argv);
int bp_cmd_settings_check(int argc, char **argv);
int bp_cmd_config_check(int argc, char **argv);
int bp_cmd_rules_check(int argc, char **argv);
int bp_cmd_rules_publish(int argc, char **argv);
int bp_cmd_rules_show(int argc, char **argv);
int bp_cmd_rules_history(int argc, char **argv);
int bp_cmd_zone_out(int argc, char **argv);
int bp_cmd_zone_in(int argc, char **argv);
int bp_cmd_zone_list(int argc, char **argv);
int bp_cmd_job_submit(int argc, char **argv);
int bp_cmd_job_status(int argc, char **argv);
int bp_cmd_job_cancel(int argc, char **argv);
int bp_cmd_job_list(int argc, char **argv);
int bp_cmd_request_status(int argc, char **argv);
int bp_cmd_why(int argc, char **argv);
int bp_cmd_timeline(int argc, char **argv);
int bp_cmd_status(int argc, char **argv);
int bp_cmd_metrics(int argc, char **argv);

#endif
