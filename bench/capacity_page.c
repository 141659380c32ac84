#include "capacity.h"

#include <stdio.h>

/* The size expected in two years. */
#define VMS 1600.0
#define RACKS 200.0
#define TASKS 16100.0
#define NODES 8.0
#define STARTS_PER_S 1200.0
#define JOBS_PER_DAY 7400.0
#define CONFIG_PER_DAY 970.0
#define KEYS_KEPT 20000.0
#define WAITING 10000.0
#define RULE_LINES 200.0
/* Stated limits. */
#define CORE_PERCENT 2.2
#define MEMORY_BYTES 64e6
#define WIRE_BYTES_PER_S 2000.0
#define APPENDS_PER_S 300.0
#define URGENT_S 9.4
#define CONFIG_S 9.0
/* Settings. */
#define RENEW_URGENT_S 1.5
#define RENEW_S 5.0
/* Share of the VMs on which an urgent task runs. */
#define URGENT_SHARE 0.1
#define RECORDS_PER_S 25.0
#define CHUNK_BYTES (48.0 * 1024)
#define PERMIT_S 2.0
#define LEASE_URGENT_S 6.0
#define RANK_S 0.3
#define POLL_S 0.5
#define S_PER_DAY 86400.0
#define KIB 1024.0

typedef struct {
	const char *name;
	double vms;
	double nodes;
	double tasks;
	double starts_per_s;
} size_row_t;

static const size_row_t rows[] = {
    {"Granite Comb today", 70, 6, 700, 20},
    {"Zielona Komora today", 50, 6, 250, 10},
    {"two years", VMS, NODES, TASKS, STARTS_PER_S},
};

static double
at(const capacity_t *c, capacity_line_id_t id, double x)
{
	return c->lines[id].intercept + c->lines[id].slope * x;
}

/* Of one VM: a quarter of its shortest lease, at most 5 s. */
static double
renewals_per_s(void)
{
	return URGENT_SHARE / RENEW_URGENT_S + (1 - URGENT_SHARE) / RENEW_S;
}

static double
renew_bytes_per_s(const capacity_t *c, double vms, double tasks_per_vm)
{
	return vms * renewals_per_s() *
	    (at(c, LINE_RENEW_REQUEST, tasks_per_vm) +
		at(c, LINE_RENEW_ANSWER, tasks_per_vm));
}

static double
read_bytes_idle(const capacity_t *c, double nodes)
{
	double reads = MIN(nodes, 1.0 / POLL_S * nodes);

	return reads * c->lines[LINE_READ_BYTES].intercept +
	    nodes * (c->heartbeat_bytes + c->lines[LINE_READ_BYTES].slope);
}

static double
read_bytes_starts(const capacity_t *c, double starts_per_s)
{
	return starts_per_s *
	    (c->lines[LINE_RECORD_START].slope +
		c->lines[LINE_RECORD_END].slope);
}

static double
node_cpu_idle(const capacity_t *c, double vms)
{
	return at(c, LINE_NODE_CPU, vms);
}

/* Every node applies all starts and ends and plans its share of starts. */
static double
node_cpu_starts(
    const capacity_t *c, double starts_per_s, double nodes, double own_vms)
{
	double apply = 2 * starts_per_s * c->lines[LINE_APPLY_START].slope;
	double plan = starts_per_s / nodes * at(c, LINE_PLAN_START, own_vms);

	return (apply + plan) / 1e6 * 100;
}

static double
state_bytes(const capacity_t *c, const size_row_t *row)
{
	return c->lines[LINE_MEMORY_TASK].slope * row->tasks +
	    c->lines[LINE_MEMORY_VM].slope * row->vms +
	    c->lines[LINE_MEMORY_WAITING].slope * WAITING +
	    c->lines[LINE_MEMORY_KEY].slope * KEYS_KEPT +
	    at(c, LINE_MEMORY_RULES, RULE_LINES);
}

static double
node_memory(const capacity_t *c, const size_row_t *row)
{
	return at(c, LINE_NODE_MEMORY, row->vms / row->nodes) +
	    state_bytes(c, row);
}

static double
snapshot_bytes(const capacity_t *c, double tasks)
{
	return at(c, LINE_SNAPSHOT_TASK, tasks);
}

static const char *
verdict(bool fits)
{
	return fits ? "fits" : "**does not fit**";
}

static void
print_limit(const char *what, const char *limit, const char *value, bool fits,
    const char *mechanism)
{
	printf("| %s | %s | %s | %s | %s |\n", what, limit, value,
	    verdict(fits), mechanism);
}

static char *
text(const char *format, double value)
{
	static char buffers[8][64];
	static int next;
	char *out = buffers[next++ % 8];

#pragma GCC diagnostic push
#pragma GCC diagnostic ignored "-Wformat-nonliteral"
	(void)g_snprintf(out, sizeof(buffers[0]), format, value);
#pragma GCC diagnostic pop
	return out;
}

static void
print_node_limits(const capacity_t *c)
{
	const size_row_t *two = &rows[2];
	double vms = two->vms / two->nodes;
	double cpu = node_cpu_idle(c, vms);
	double peak = cpu + node_cpu_starts(c, STARTS_PER_S, NODES, vms);
	double wire =
	    renew_bytes_per_s(c, vms, TASKS / VMS) + read_bytes_idle(c, NODES);

	print_limit("node, processor time, no starts", "2.2% of a core",
	    text("%.1f%%", cpu), cpu <= CORE_PERCENT,
	    "one renewal per VM and 5 s, 1.5 s with urgent tasks, over HTTP. "
	    "To fit with a margin: frames in place of HTTP; the worker's "
	    "protocol is the platform's, so this needs its agreement");
	print_limit("node, processor time, 1,200 starts/s", "2.2% of a core",
	    text("%.1f%%", peak), peak <= CORE_PERCENT,
	    "as above; starting tasks is the node's work, not control, and "
	    "the peak lasts seconds");
	print_limit("node, memory", "64 MB",
	    text("%.1f MB", node_memory(c, two) / 1e6),
	    node_memory(c, two) <= MEMORY_BYTES,
	    "state machine in memory, ended jobs kept 6 h, keys 15 min");
	print_limit("node, control bytes", "2 KB/s",
	    text("%.1f KB/s", wire / 1000), wire <= WIRE_BYTES_PER_S,
	    "HTTP headers are most of it. To fit: frames of about 60 B in "
	    "place of HTTP and a relay for each rack; not built, because "
	    "nothing of ours may run on the workers and today's sites need a "
	    "twentieth of it");
}

static void
print_worker_limits(const capacity_t *c)
{
	double wire = renew_bytes_per_s(c, 1, TASKS / VMS) / renewals_per_s() /
	    RENEW_URGENT_S;
	double cpu =
	    at(c, LINE_RENEW_CPU, TASKS / VMS) / RENEW_URGENT_S / 1e6 * 100;

	print_limit("worker VM, control bytes", "2 KB/s",
	    text("%.2f KB/s", wire / 1000), wire <= WIRE_BYTES_PER_S,
	    "one message renews all leases of the VM");
	print_limit("worker VM, processor time for control", "2.2% of a core",
	    text("at most %.3f%%", cpu), cpu <= CORE_PERCENT,
	    "the measured figure holds both ends");
}

static void
print_log_limits(const capacity_t *c)
{
	double appends = NODES * RECORDS_PER_S;
	double entries = STARTS_PER_S / appends;
	double record = c->lines[LINE_RECORD_START].intercept +
	    entries *
		(c->lines[LINE_RECORD_START].slope +
		    c->lines[LINE_RECORD_END].slope);

	print_limit("log service, appends", "several hundred/s",
	    text("at most %.0f/s", appends), appends <= APPENDS_PER_S,
	    "a node appends one record per 40 ms, whatever it holds");
	print_limit("record at 1,200 starts and ends/s", "48 KiB",
	    text("%.0f B", record), record <= CHUNK_BYTES, "batching");
	print_limit("configuration in force everywhere", "9 s",
	    text("%.1f s", PERMIT_S + POLL_S + 0.3),
	    PERMIT_S + POLL_S + 0.3 <= CONFIG_S,
	    "every start needs a read of the head that is younger than 2 s; "
	    "970 changes a day are one append in 89 s; holds while a log "
	    "round trip stays below 6 s");
	print_limit("urgent work starts", "9.4 s",
	    text("%.1f s", 7 * RANK_S + 4 * 0.1 + 0.2),
	    7 * RANK_S + 4 * 0.1 + 0.2 <= URGENT_S,
	    "two log round trips and the longest rank delay (7 x 300 ms); "
	    "holds while a log round trip stays below 3.5 s");
}

static void
print_event_limits(const capacity_t *c)
{
	double bytes = snapshot_bytes(c, TASKS);
	double load_s = at(c, LINE_SNAPSHOT_LOAD, TASKS) / 1e6;
	double again = (PERMIT_S + LEASE_URGENT_S) * 1.01 + 0.6;

	print_limit("fresh node: snapshot to load", "-",
	    text("%.0f KB", bytes / 1000), true,
	    text("%.2f s of processor time", load_s));
	print_limit("snapshot: appends", "several hundred/s",
	    text("%.0f in all", bytes / CHUNK_BYTES + 1), true,
	    "chunks one after the other, every 15 min or 20,000 records");
	print_limit("urgent task of a dead VM starts again", "9.4 s",
	    text("%.1f s", again), again <= URGENT_S,
	    "permit and lease must run out first");
	print_limit("zone lost at the peak, log round trip 2 s", "9.4 s",
	    text("%.1f s", again + 4 * 2.0), again + 4 * 2.0 <= URGENT_S,
	    "400 VMs and 4,025 tasks: 8,050 entries go into 5 records a node. "
	    "To "
	    "fit: end and assign in one entry saves a round trip, leases of 2 "
	    "s "
	    "need a faster renewal; not built, since renewal traffic grows "
	    "with it");
	print_limit("other region cut off for an hour", "9.4 s",
	    "no start there", false,
	    "running work goes on there; starts need the log. To fit: a log "
	    "and "
	    "a state machine per region; not built, the platform gives one "
	    "log");
}

static void
print_lines(const capacity_t *c)
{
	int i;

	printf("\n## Measured slopes\n\n"
	       "Five sizes each; the residual is the largest relative "
	       "distance from the line.\n\n"
	       "| quantity | sizes | slope | intercept | residual |\n"
	       "|---|---|---|---|---|\n");
	for (i = 0; i < LINES; i++) {
		const capacity_line_t *line = &c->lines[i];

		printf("| %s | %.0f to %.0f %s | %.4g %s | %.4g %s | "
		       "%.0f%% |\n",
		    line->name, line->x[0], line->x[CAPACITY_SIZES - 1],
		    line->item, line->slope, line->unit, line->intercept,
		    line->unit, line->residual * 100);
	}
	printf(
	    "\nAn empty record (heartbeat) has %.0f B.\n", c->heartbeat_bytes);
}

static void
print_roles(const capacity_t *c)
{
	size_t i;

	printf("\n## Roles today and in two years\n\n"
	       "| size | role | state | messages/s | bytes/s | processor | "
	       "memory |\n|---|---|---|---|---|---|---|\n");
	for (i = 0; i < G_N_ELEMENTS(rows); i++) {
		const size_row_t *row = &rows[i];
		double vms = row->vms / row->nodes;
		double per_vm = row->tasks / row->vms;

		printf("| %s | node | %.2f MB | %.0f renewals, %.0f reads | "
		       "%.1f KB | %.1f%% idle, %.1f%% at %.0f starts/s | "
		       "%.1f MB |\n",
		    row->name, state_bytes(c, row) / 1e6,
		    vms * renewals_per_s(), row->nodes,
		    (renew_bytes_per_s(c, vms, per_vm) +
			read_bytes_idle(c, row->nodes)) /
			1000,
		    node_cpu_idle(c, vms),
		    node_cpu_idle(c, vms) +
			node_cpu_starts(c, row->starts_per_s, row->nodes, vms),
		    row->starts_per_s, node_memory(c, row) / 1e6);
		printf("| %s | worker VM | leases of %.0f tasks | %.1f | "
		       "%.2f KB | %.3f%% | kept by the platform |\n",
		    row->name, per_vm, renewals_per_s(),
		    renew_bytes_per_s(c, 1, per_vm) / 1000,
		    at(c, LINE_RENEW_CPU, per_vm) * renewals_per_s() / 1e6 *
			100);
		printf("| %s | log service | stream and snapshots | at most "
		       "%.0f appends, %.0f reads | %.1f KB to a node at %.0f "
		       "starts/s | - | - |\n",
		    row->name, row->nodes * RECORDS_PER_S,
		    row->nodes * row->nodes,
		    (read_bytes_idle(c, row->nodes) +
			read_bytes_starts(c, row->starts_per_s)) /
			1000,
		    row->starts_per_s);
	}
	printf("\nExecutors carry no control load: the gateway only sends "
	       "requests to them.\n");
}

static void
print_formulas(void)
{
	printf(
	    "\n## Formulas\n\n"
	    "- renewals of a node = VMs / nodes x (0.1 / 1.5 s + 0.9 / 5 s): "
	    "a tenth of the VMs run an urgent task; bytes = renewals x "
	    "(request + report of its tasks)\n"
	    "- reads of a node = one per record of any node, at least 2/s; "
	    "bytes = reads x overhead + records\n"
	    "- processor time = intercept + slope x own VMs + starts x (2 x "
	    "apply + plan / nodes)\n"
	    "- memory = process + state (running and waiting tasks, VMs, keys, "
	    "20 rule files)\n"
	    "- a fresh node loads the newest snapshot and at most 20,000 "
	    "records after it\n\n"
	    "Assumptions: 10,000 tasks wait and 20,000 keys are claimed within "
	    "15 "
	    "minutes; 300 appends a second stand for \"several hundred\"; a "
	    "log "
	    "round trip takes 0.1 s where none is named. 12 VM failures and 88 "
	    "restarts or replacements a day cost 100 sessions and holds, less "
	    "than "
	    "one entry a minute; a lost rack ends 8 VMs x 10 tasks, 160 "
	    "entries.\n"
	    "\n## Where the lines end\n\n"
	    "- A spread rule over zones looks at all tasks of the job for each "
	    "candidate VM; jobs of thousands of tasks with such a rule cost "
	    "more than the line says.\n"
	    "- `why` checks all VMs for one job; it is not part of the lines.\n"
	    "- Every node reads every record, so bytes grow with nodes x "
	    "starts; beyond about 16 nodes the stream should be split by "
	    "region.\n"
	    "- Residuals above 20%% come from the resolution of processor time "
	    "(10 ms) and from doubling hash tables.\n");
}

/* Prints the whole page in Markdown. */
void
capacity_print_page(const capacity_t *c, const char *commit)
{
	printf("# Capacity\n\nWritten by `scripts/bench capacity` from slopes "
	       "measured on one machine at commit %s. Times are those of this "
	       "machine; bytes and counts hold anywhere.\n\n"
	       "## Against the limits, in two years\n\n"
	       "1,600 workers on 8 nodes, 16,100 tasks running, 1,200 starts "
	       "a second at the peak.\n\n"
	       "| what | limit | worked out | verdict | mechanism |\n"
	       "|---|---|---|---|---|\n",
	    commit);
	print_node_limits(c);
	print_worker_limits(c);
	print_log_limits(c);
	print_event_limits(c);
	print_roles(c);
	print_lines(c);
	print_formulas();
}
