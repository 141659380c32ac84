#include "support/process.h"

#include "bulrushpost/clock.h"

#include <gio/gio.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/prctl.h>
#include <sys/socket.h>

#define POLL_MS 10
#define US_PER_MS 1000
/* Below the range from which systems take ports of outgoing connections. */
#define PORT_LOW 10240
#define PORT_HIGH 32000

struct bp_process {
	GSubprocess *subprocess;
	int pid;
	char *output_path;
	char *error_path;
};

typedef struct {
	bp_process_t *process;
	const char *word;
	uint16_t port;
} port_wait_t;

/* Returns the monotonic time (us) that stand-ins also use. */
int64_t
bp_now_us(void)
{
	return bp_clock_mono_us(bp_clock_system());
}

static gboolean
on_tick(gpointer data)
{
	*(bool *)data = true;
	return G_SOURCE_REMOVE;
}

/* Runs the main loop for one poll interval; events are handled at once. */
static void
run_interval(void)
{
	bool elapsed = false;

	g_timeout_add(POLL_MS, on_tick, &elapsed);
	while (!elapsed)
		g_main_context_iteration(NULL, TRUE);
}

/* Waits at most limit_ms. */
bool
bp_wait_until_ms(bp_condition_t condition, void *data, int64_t limit_ms)
{
	int64_t until_us = bp_now_us() + limit_ms * US_PER_MS;

	while (!condition(data)) {
		if (bp_now_us() >= until_us)
			return false;
		run_interval();
	}
	return true;
}

/* Waits at most BP_WAIT_LIMIT_MS. */
bool
bp_wait_until(bp_condition_t condition, void *data)
{
	return bp_wait_until_ms(condition, data, BP_WAIT_LIMIT_MS);
}

static bool
never(void *data)
{
	(void)data;
	return false;
}

/* Lets time pass, for instance until a lease has surely ended. */
void
bp_run_for_ms(int64_t ms)
{
	bp_wait_until_ms(never, NULL, ms);
}

/* A test that is killed must not leave children behind. */
static void
child_setup(gpointer data)
{
	(void)data;
	prctl(PR_SET_PDEATHSIG, SIGKILL);
}

/* Starts a program with its output in files below BP_PROCESS_LOG_DIR. */
bp_process_t *
bp_process_start(const char *name, const char *const *argv)
{
	GSubprocessLauncher *launcher =
	    g_subprocess_launcher_new(G_SUBPROCESS_FLAGS_NONE);
	bp_process_t *process = g_new0(bp_process_t, 1);
	GError *error = NULL;

	g_mkdir_with_parents(BP_PROCESS_LOG_DIR, 0755);
	process->output_path =
	    g_strdup_printf(BP_PROCESS_LOG_DIR "/%s.out", name);
	process->error_path =
	    g_strdup_printf(BP_PROCESS_LOG_DIR "/%s.err", name);
	remove(process->output_path);
	remove(process->error_path);
	g_subprocess_launcher_set_stdout_file_path(
	    launcher, process->output_path);
	g_subprocess_launcher_set_stderr_file_path(
	    launcher, process->error_path);
	g_subprocess_launcher_set_child_setup(
	    launcher, child_setup, NULL, NULL);
	process->subprocess =
	    g_subprocess_launcher_spawnv(launcher, argv, &error);
	g_object_unref(launcher);
	if (process->subprocess == NULL) {
		printf("cannot start %s: %s\n", argv[0], error->message);
		g_clear_error(&error);
		bp_process_free(process);
		return NULL;
	}
	process->pid = (int)strtol(
	    g_subprocess_get_identifier(process->subprocess), NULL, 10);
	return process;
}

/* Kills the process, also when it is stopped, and waits for its end. */
void
bp_process_free(bp_process_t *process)
{
	if (process == NULL)
		return;
	if (process->subprocess != NULL) {
		g_subprocess_force_exit(process->subprocess);
		g_subprocess_wait(process->subprocess, NULL, NULL);
		g_object_unref(process->subprocess);
	}
	g_free(process->output_path);
	g_free(process->error_path);
	g_free(process);
}

/* Returns the process id. */
int
bp_process_pid(const bp_process_t *process)
{
	return process->pid;
}

/* Tells whether the process has not ended yet. */
bool
bp_process_alive(const bp_process_t *process)
{
	return g_subprocess_get_identifier(process->subprocess) != NULL;
}

/* Sends a signal to this process only. */
void
bp_process_signal(bp_process_t *process, int signal_number)
{
	g_subprocess_send_signal(process->subprocess, signal_number);
}

static bool
has_ended(void *data)
{
	return !bp_process_alive(data);
}

/* Waits for the end of the process by itself. */
int
bp_process_wait(bp_process_t *process)
{
	if (!bp_wait_until(has_ended, process))
		return -1;
	g_subprocess_wait(process->subprocess, NULL, NULL);
	return g_subprocess_get_if_exited(process->subprocess)
	    ? g_subprocess_get_exit_status(process->subprocess)
	    : -1;
}

/* Asks the process to end. */
int
bp_process_stop(bp_process_t *process)
{
	bp_process_signal(process, SIGTERM);
	return bp_process_wait(process);
}

static bool
has_port(void *data)
{
	port_wait_t *wait = data;
	char *text = NULL;
	char **lines;
	guint i;

	if (!g_file_get_contents(wait->process->output_path, &text, NULL, NULL))
		return false;
	lines = g_strsplit(text, "\n", -1);
	/* The last piece may be a line that is not complete yet. */
	for (i = 0; lines[i] != NULL && lines[i + 1] != NULL; i++) {
		if (g_str_has_prefix(lines[i], wait->word) &&
		    lines[i][strlen(wait->word)] == ' ')
			wait->port = (uint16_t)strtoul(
			    lines[i] + strlen(wait->word), NULL, 10);
	}
	g_strfreev(lines);
	g_free(text);
	return wait->port != 0 || !bp_process_alive(wait->process);
}

/* Waits until the process has announced a port. */
uint16_t
bp_process_port(bp_process_t *process, const char *word)
{
	port_wait_t wait = {process, word, 0};

	bp_wait_until(has_port, &wait);
	return wait.port;
}

/* Returns the file with its standard output. */
const char *
bp_process_output_path(const bp_process_t *process)
{
	return process->output_path;
}

/* Returns the file with its standard error. */
const char *
bp_process_error_path(const bp_process_t *process)
{
	return process->error_path;
}

static void
print_error(const bp_process_t *process, const char *name, int status)
{
	char *text = NULL;

	if (g_file_get_contents(process->error_path, &text, NULL, NULL))
		printf(
		    "%s: exit status %d: %s\n", name, status, g_strstrip(text));
	g_free(text);
}

/* Runs a program; output may be NULL and is freed with g_free. */
int
bp_process_run(const char *name, const char *const *argv, char **output)
{
	bp_process_t *process = bp_process_start(name, argv);
	int status;

	if (output != NULL)
		*output = NULL;
	if (process == NULL)
		return -1;
	status = bp_process_wait(process);
	if (status != 0)
		print_error(process, name, status);
	if (output != NULL)
		g_file_get_contents(process->output_path, output, NULL, NULL);
	bp_process_free(process);
	return status;
}

static GSocket *
bind_port(uint16_t port)
{
	GInetAddress *loopback =
	    g_inet_address_new_loopback(G_SOCKET_FAMILY_IPV4);
	GSocketAddress *address = g_inet_socket_address_new(loopback, port);
	GSocket *socket = g_socket_new(G_SOCKET_FAMILY_IPV4,
	    G_SOCKET_TYPE_STREAM, G_SOCKET_PROTOCOL_TCP, NULL);

	/* Without sharing it is bound by one process only; then the node, which
	 * shares, may listen there. */
	if (socket != NULL &&
	    (!g_socket_bind(socket, address, FALSE, NULL) ||
		!g_socket_set_option(
		    socket, SOL_SOCKET, SO_REUSEADDR, 1, NULL)))
		g_clear_object(&socket);
	g_object_unref(address);
	g_object_unref(loopback);
	return socket;
}

/*
 * Returns a port of loopback that only a node of this test can listen on for
 * as long as held lives: a bound socket that does not listen keeps it. A node
 * needs ports that others know before it starts, and again when it restarts.
 */
uint16_t
bp_process_reserve_port(GPtrArray *held)
{
	GSocket *socket;
	uint16_t port;

	do {
		port = (uint16_t)g_random_int_range(PORT_LOW, PORT_HIGH);
		socket = bind_port(port);
	} while (socket == NULL);
	g_ptr_array_add(held, socket);
	return port;
}
