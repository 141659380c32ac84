#include "capacity.h"

#include <gio/gio.h>
#include <json-glib/json-glib.h>
#include <libsoup/soup.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#define SETTLE_S 8
#define MEASURE_S 6
/* Positions in /proc/PID/stat after the name, and in /proc/PID/statm. */
#define STAT_USER 11
#define STAT_SYSTEM 12
#define STATM_RESIDENT 1
#define STANDIN "build/standin"
#define BINARY "build/bulrushpost"

typedef struct {
	GSubprocess *process;
	guint port;
} child_t;

static const double sizes[CAPACITY_SIZES] = {0, 25, 50, 100, 200};

/* Starts a stand-in and reads the port that it prints. */
static bool
start_standin(child_t *child, const char *const *argv)
{
	GDataInputStream *lines;
	char *line;

	child->process =
	    g_subprocess_newv(argv, G_SUBPROCESS_FLAGS_STDOUT_PIPE, NULL);
	if (child->process == NULL)
		return false;
	lines = g_data_input_stream_new(
	    g_subprocess_get_stdout_pipe(child->process));
	line = g_data_input_stream_read_line(lines, NULL, NULL, NULL);
	child->port = line != NULL && g_str_has_prefix(line, "LISTENING ")
	    ? (guint)strtoul(line + strlen("LISTENING "), NULL, 10)
	    : 0;
	g_free(line);
	g_object_unref(lines);
	return child->port != 0;
}

static void
stop(child_t *child)
{
	if (child->process == NULL)
		return;
	g_subprocess_send_signal(child->process, 15);
	(void)g_subprocess_wait(child->process, NULL, NULL);
	g_clear_object(&child->process);
}

static char *
list_of_workers(guint port, uint32_t count)
{
	GString *json = g_string_new("{\"vms\":[");
	uint32_t i;

	for (i = 0; i < count; i++)
		g_string_append_printf(json,
		    "%s{\"name\":\"w-%u\",\"role\":\"worker\",\"state\":"
		    "\"live\",\"zone\":\"z%u\",\"rack\":\"r%u\",\"url\":"
		    "\"http://127.0.0.1:%u/w/w-%u\",\"service\":\"\","
		    "\"cpu_milli\":64000,\"memory_mib\":250000,"
		    "\"accelerators\":0}",
		    i > 0 ? "," : "", i, i / 8 % 4, i / 8, port, i);
	g_string_append(json, "]}");
	return g_string_free(json, FALSE);
}

static bool
put_list(guint vmlist_port, const char *json)
{
	SoupSession *session = soup_session_new();
	char *url =
	    g_strdup_printf("http://127.0.0.1:%u/admin/vms", vmlist_port);
	SoupMessage *message = soup_message_new("PUT", url);
	GBytes *body = g_bytes_new(json, strlen(json));
	GBytes *answer;
	bool ok;

	soup_message_set_request_body_from_bytes(
	    message, "application/json", body);
	answer = soup_session_send_and_read(session, message, NULL, NULL);
	ok = answer != NULL && soup_message_get_status(message) == 200;
	g_clear_pointer(&answer, g_bytes_unref);
	g_bytes_unref(body);
	g_object_unref(message);
	g_object_unref(session);
	g_free(url);
	return ok;
}

static char *
write_settings(guint log_port, guint vmlist_port)
{
	char *path = g_strdup("build/capacity-node.yaml");
	char *text = g_strdup_printf("node:\n  name: n0\n  zone: z0\n"
				     "  services: [scheduler]\n"
				     "listen:\n  control: 127.0.0.1:%u\n"
				     "platform:\n"
				     "  log_url: http://127.0.0.1:%u\n"
				     "  vm_list_url: http://127.0.0.1:%u\n"
				     "log:\n  level: warning\n",
	    20000 + (guint)getpid() % 10000, log_port, vmlist_port);

	(void)g_file_set_contents(path, text, -1, NULL);
	g_free(text);
	return path;
}

/* Returns field number n (from 0) of a file of fields, after a mark. */
static double
read_field(const char *pid, const char *file, char mark, int n)
{
	char *path = g_strdup_printf("/proc/%s/%s", pid, file);
	char *text = NULL;
	char **fields;
	const char *start;
	double value = 0;

	if (g_file_get_contents(path, &text, NULL, NULL)) {
		start = mark != '\0' ? strrchr(text, mark) : text;
		start = start != NULL && mark != '\0' ? start + 2 : start;
		fields = g_strsplit(start != NULL ? start : "", " ", 0);
		if ((guint)n < g_strv_length(fields))
			value = g_ascii_strtod(fields[n], NULL);
		g_strfreev(fields);
	}
	g_free(text);
	g_free(path);
	return value;
}

/* Processor time of a process in clock ticks. */
static double
process_ticks(const char *pid)
{
	return read_field(pid, "stat", ')', STAT_USER) +
	    read_field(pid, "stat", ')', STAT_SYSTEM);
}

static double
resident_bytes(const char *pid)
{
	return read_field(pid, "statm", '\0', STATM_RESIDENT) *
	    (double)sysconf(_SC_PAGESIZE);
}

static void
sample(child_t *node, double *cpu_percent, double *memory)
{
	const char *pid = g_subprocess_get_identifier(node->process);
	double before;

	g_usleep(SETTLE_S * G_USEC_PER_SEC);
	before = process_ticks(pid);
	g_usleep(MEASURE_S * G_USEC_PER_SEC);
	*cpu_percent = (process_ticks(pid) - before) * 100.0 /
	    (double)sysconf(_SC_CLK_TCK) / MEASURE_S;
	*memory = resident_bytes(pid);
}

static int
measure_one(uint32_t workers, double *cpu_percent, double *memory)
{
	char count[16];
	const char *log_argv[] = {STANDIN, "log", "--port", "0", NULL};
	const char *list_argv[] = {STANDIN, "vmlist", "--port", "0", NULL};
	const char *worker_argv[] = {STANDIN, "worker", "--port", "0", "--vms",
	    count, "--prefix", "w", NULL};
	const char *node_argv[] = {BINARY, "serve", "--settings", NULL, NULL};
	child_t log = {0};
	child_t list = {0};
	child_t worker = {0};
	child_t node = {0};
	char *json = NULL;
	char *path = NULL;
	int rc = -1;

	(void)g_snprintf(count, sizeof(count), "%u", MAX(workers, 1));
	if (!start_standin(&log, log_argv) ||
	    !start_standin(&list, list_argv) ||
	    !start_standin(&worker, worker_argv))
		goto out;
	json = list_of_workers(worker.port, workers);
	path = write_settings(log.port, list.port);
	node_argv[3] = path;
	if (!put_list(list.port, json))
		goto out;
	node.process =
	    g_subprocess_newv(node_argv, G_SUBPROCESS_FLAGS_NONE, NULL);
	if (node.process == NULL)
		goto out;
	sample(&node, cpu_percent, memory);
	rc = 0;

out:
	stop(&node);
	stop(&worker);
	stop(&list);
	stop(&log);
	g_free(json);
	g_free(path);
	return rc;
}

/* Measures a real node that drives idle workers of a stand-in. */
int
capacity_measure_nodes(capacity_t *out)
{
	capacity_line_t *cpu = &out->lines[LINE_NODE_CPU];
	capacity_line_t *memory = &out->lines[LINE_NODE_MEMORY];
	int i;

	cpu->name = "node process, idle workers";
	cpu->item = "own VMs";
	cpu->unit = "% of a core";
	memory->name = "resident memory of the node process";
	memory->item = "own VMs";
	memory->unit = "B";
	for (i = 0; i < CAPACITY_SIZES; i++) {
		cpu->x[i] = memory->x[i] = sizes[i];
		if (measure_one(
			(uint32_t)sizes[i], &cpu->y[i], &memory->y[i]) != 0)
			return -1;
	}
	capacity_fit(cpu);
	capacity_fit(memory);
	return 0;
}
