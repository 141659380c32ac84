/* Nodes as processes, the record, the time. */
#include "standin.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#define TEMPLATE "platform/settings.yaml"
#define PROGRAM "target/bulrushpost"
#define LIMIT_MS 115000
#define RESTART_MS 300

node_t nodes[NODES_MAX];
int n_nodes;
bool trouble = true;
char *configuration;
static FILE *record;
static char *folder_tmp;
static int64_t begun_ms;

int64_t
now_ms(void)
{
	return g_get_monotonic_time() / 1000;
}

void
note(const char *format, ...)
{
	va_list args;

	fprintf(record, "%8.3f  ", (double)(now_ms() - begun_ms) / 1000);
	va_start(args, format);
	vfprintf(record, format, args);
	va_end(args);
	fputc('\n', record);
	fflush(record);
}

static gboolean
on_pause(gpointer data)
{
	*(bool *)data = true;
	return G_SOURCE_REMOVE;
}

void
pump_ms(int64_t ms)
{
	(void)pump_until(NULL, NULL, ms);
}

/* Runs the stand-ins until the condition holds; false after ms. */
bool
pump_until(bool (*condition)(void *), void *data, int64_t ms)
{
	int64_t until_ms = now_ms() + ms;

	while (now_ms() < until_ms) {
		bool over = false;
		guint timer;

		if (condition != NULL && condition(data))
			return true;
		if (now_ms() - begun_ms > LIMIT_MS)
			rig_fail("the case takes too long");
		timer = g_timeout_add(5, on_pause, &over);
		while (!over)
			g_main_context_iteration(NULL, TRUE);
		(void)timer;
	}
	return condition != NULL && condition(data);
}

static void
end_processes(void)
{
	int i;

	for (i = 0; i < n_nodes; i++) {
		if (nodes[i].pid <= 0)
			continue;
		kill(nodes[i].pid, SIGCONT);
		kill(nodes[i].pid, SIGKILL);
		(void)waitpid(nodes[i].pid, NULL, 0);
		nodes[i].pid = 0;
		unlink(nodes[i].settings);
		unlink(nodes[i].log);
	}
	if (folder_tmp != NULL)
		rmdir(folder_tmp);
}

void
rig_end(int code)
{
	note("end: %s",
	    code == 0	      ? "the rule held"
		: code == 1 ? "the rule was broken"
			    : "the case could not run");
	printf("%s\n",
	    code == 0	      ? "held"
		: code == 1 ? "BROKEN"
			    : "could not run");
	end_processes();
	exit(code);
}

void
rig_fail(const char *why)
{
	note("cannot run: %s", why);
	rig_end(2);
}

static void
on_signal(int signal)
{
	(void)signal;
	end_processes();
	_exit(2);
}

void
rig_open(const char *folder)
{
	char *path = g_strdup_printf("%s/record.txt", folder);
	char template[] = "/tmp/review-XXXXXX";
	const char *set = getenv("TROUBLE");

	begun_ms = now_ms();
	trouble = set == NULL || strcmp(set, "0") != 0;
	record = fopen(path, "w");
	if (record == NULL) {
		fprintf(stderr, "cannot write %s\n", path);
		exit(2);
	}
	folder_tmp = g_strdup(mkdtemp(template));
	signal(SIGTERM, on_signal);
	signal(SIGINT, on_signal);
	signal(SIGPIPE, SIG_IGN);
	note("begin, with%s the disruption", trouble ? "" : "out");
	store_open();
	g_free(path);
}

/* One service; three queues, like those of the site. */
void
configure(uint64_t version, bool guards)
{
	configuration = g_strdup_printf(
	    "{\"version\":%" G_GUINT64_FORMAT ",\"routes\":["
	    "{\"name\":\"r-wrr6x73\",\"hostname\":\"nony24.example\","
	    "\"path_prefix\":\"/lohu930/\",\"route_type\":\"non_idempotent\","
	    "\"timeout_ms\":3000,\"target_latency_ms\":300,\"priority\":0,"
	    "\"service_name\":\"huvo11a\",\"retry_attempts\":4,"
	    "\"stretch_factor\":1.5},"
	    "{\"name\":\"r-d3zji9n\",\"hostname\":\"nony24.example\","
	    "\"path_prefix\":\"/pufi791/\",\"route_type\":\"non_idempotent\","
	    "\"timeout_ms\":3000,\"target_latency_ms\":1000,\"priority\":2,"
	    "\"service_name\":\"huvo11a\",\"retry_attempts\":3,"
	    "\"stretch_factor\":2.0}],"
	    "\"services\":[{\"name\":\"huvo11a\",\"health_path\":\"/healthz\","
	    "\"max_connections\":64,\"protocol\":\"h1\",\"tls\":false,"
	    "\"cold_start_s\":0.0,\"cold_per_s\":0.0,\"admission_check\":%s,"
	    "\"standby\":false}],"
	    "\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":262144,"
	    "\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}",
	    version, guards ? "true" : "false");
	store_put("keyed.op", "config", configuration);
}

/* Below the ports that outgoing connections get, so that it stays free. */
static uint16_t
free_port(void)
{
	struct sockaddr_in address = {0};
	int tries;

	address.sin_family = AF_INET;
	address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	for (tries = 0; tries < 200; tries++) {
		uint16_t port = (uint16_t)g_random_int_range(15000, 32000);
		int fd = socket(AF_INET, SOCK_STREAM, 0);
		int rc;

		address.sin_port = htons(port);
		rc = bind(fd, (struct sockaddr *)&address, sizeof(address));
		close(fd);
		if (rc == 0)
			return port;
	}
	rig_fail("no free port");
}

static char *
replace(char *text, const char *name, const char *value)
{
	char *mark = g_strdup_printf("{{%s}}", name);
	char **parts = g_strsplit(text, mark, -1);
	char *out = g_strjoinv(value, parts);

	g_strfreev(parts);
	g_free(mark);
	g_free(text);
	return out;
}

/* Fills in the template of the deploy file as the platform would. */
static void
write_settings(node_t *node)
{
	char *text = NULL;
	char *lease = g_strdup_printf("%" G_GINT64_FORMAT, max_hold_ms);
	char *front = g_strdup_printf("127.0.0.1:%u", node->front);
	char *ready = g_strdup_printf("127.0.0.1:%u", node->ready);
	char *control = g_strdup_printf("%u", node->control);
	char *metrics = g_strdup_printf("%u", node->metrics);
	char *address = g_strdup_printf("127.0.0.1:%u", store.port);

	if (!g_file_get_contents(TEMPLATE, &text, NULL, NULL))
		rig_fail("no " TEMPLATE " here");
	text = replace(text, "node_name", node->name);
	text = replace(text, "zone", node->zone);
	text = replace(text, "limits.cpu_share", "0.25");
	text = replace(text, "limits.cores", "1");
	text = replace(text, "listen_addrs.front", front);
	text = replace(text, "listen_addrs.ready", ready);
	text = replace(text, "ip", "127.0.0.1");
	text = replace(text, "internal_ports.0", control);
	text = replace(text, "internal_ports.1", metrics);
	text = replace(text, "platform.address", address);
	text = replace(text, "bounds.max_hold_ms", lease);
	text = replace(text, "bounds.stop_ms", "400");
	text = replace(text, "bounds.early_ms", "250");
	text = replace(text, "bounds.status_s", "120");
	text = replace(text, "bounds.grace_s", "6");
	text = replace(text, "bounds.config_apply_ms", "2000");
	if (!g_file_set_contents(node->settings, text, -1, NULL))
		rig_fail("cannot write settings");
	g_free(text);
	g_free(lease);
	g_free(front);
	g_free(ready);
	g_free(control);
	g_free(metrics);
	g_free(address);
}

void
node_launch(node_t *node)
{
	pid_t pid = fork();

	if (pid < 0)
		rig_fail("cannot start a process");
	if (pid == 0) {
		int fd = open(node->log, O_WRONLY | O_CREAT | O_APPEND, 0644);

		dup2(fd, 1);
		dup2(fd, 2);
		execl(PROGRAM, PROGRAM, "serve", "--settings", node->settings,
		    (char *)NULL);
		_exit(127);
	}
	node->pid = pid;
	node->stopped = false;
	note("%s: started", node->name);
}

/* SIGKILL; the platform starts it again after a short delay. */
void
node_kill(node_t *node)
{
	note("%s: killed", node->name);
	kill(node->pid, SIGKILL);
	(void)waitpid(node->pid, NULL, 0);
	node->pid = 0;
	pump_ms(RESTART_MS);
	node_launch(node);
}

void
nodes_start(int count)
{
	static const char *const zones[] = {"gniezno", "wrzesnia", "koscian"};
	int i;

	for (i = 0; i < count; i++) {
		node_t *node = &nodes[n_nodes++];

		g_snprintf(node->zone, sizeof(node->zone), "%s",
		    zones[i % G_N_ELEMENTS(zones)]);
		g_snprintf(node->name, sizeof(node->name), "edge-%s-%d",
		    node->zone, i / (int)G_N_ELEMENTS(zones) + 1);
		node->front = free_port();
		node->ready = free_port();
		node->control = free_port();
		node->metrics = free_port();
		node->settings =
		    g_strdup_printf("%s/%s.yaml", folder_tmp, node->name);
		node->log = g_strdup_printf("%s/%s.log", folder_tmp, node->name);
		write_settings(node);
		node_launch(node);
	}
	if (!pump_until(nodes_ready, NULL, 20000))
		rig_fail("the nodes did not become ready");
	note("all nodes serve");
}

/* Each node counts a queue's jobs, which needs the owner. */
bool
nodes_ready(void *data)
{
	static int64_t asked_ms;
	int i;

	(void)data;
	if (now_ms() - asked_ms < 200)
		return false;
	for (i = 0; i < n_nodes; i++) {
		if (call_wait(&nodes[i], "GET", "/lohu930/", NULL, 2000,
			NULL) != 200) {
			asked_ms = now_ms();
			return false;
		}
	}
	return true;
}

/* Reads a field of the owner's record: 1: epoch, 3: address. */
static bool
owner_record(uint64_t *epoch, char **address)
{
	GBytes *value = store_value("keyed.bulrushpost", "owner");
	gsize size = 0;
	const uint8_t *at;
	gsize i = 0;

	*epoch = 0;
	*address = NULL;
	if (value == NULL)
		return false;
	at = g_bytes_get_data(value, &size);
	while (i < size) {
		uint8_t tag = at[i++];
		uint64_t number = 0;
		int shift = 0;

		while (i < size) {
			number |= (uint64_t)(at[i] & 127) << shift;
			shift += 7;
			if ((at[i++] & 128) == 0)
				break;
		}
		if ((tag & 7) == 0) {
			*epoch = number;
			continue;
		}
		if (memchr(at + i, ':', MIN(number, size - i)) != NULL) {
			g_free(*address);
			*address = g_strndup((const char *)at + i, number);
		}
		i += number;
	}
	return *address != NULL;
}

node_t *
owner(void)
{
	uint64_t epoch;
	char *address;
	node_t *found = NULL;
	int i;

	if (!owner_record(&epoch, &address))
		return NULL;
	for (i = 0; i < n_nodes; i++) {
		char *own = g_strdup_printf("127.0.0.1:%u", nodes[i].control);

		if (strcmp(own, address) == 0)
			found = &nodes[i];
		g_free(own);
	}
	g_free(address);
	return found;
}

uint64_t
owner_epoch(void)
{
	uint64_t epoch;
	char *address;

	(void)owner_record(&epoch, &address);
	g_free(address);
	return epoch;
}
