#include "capacity.h"

#include <stdio.h>
#include <string.h>

int bp_bench_capacity(int argc, char **argv);

/*
 * Upper limits of counted slopes. Each follows from a stated limit at the
 * size of two years, not from a measured figure.
 */
typedef struct {
	capacity_line_id_t line;
	double limit;
	const char *from;
} bound_t;

static const bound_t bounds[] = {
    /* Half of 64 MB for 16,100 running tasks. */
    {LINE_MEMORY_TASK, 32e6 / 16100, "64 MB a node, half of it for tasks"},
    /* An eighth of 64 MB for 10,000 waiting tasks. */
    {LINE_MEMORY_WAITING, 8e6 / 10000, "64 MB a node, an eighth for waiters"},
    {LINE_MEMORY_VM, 8e6 / 1600, "64 MB a node, an eighth for VMs"},
    {LINE_MEMORY_KEY, 8e6 / 20000, "64 MB a node, an eighth for keys"},
    /* A record of 40 ms at 1,200 starts and ends a second on one node. */
    {LINE_RECORD_START, 48.0 * 1024 / 48 / 2, "48 KiB a record"},
    {LINE_RECORD_END, 48.0 * 1024 / 48 / 2, "48 KiB a record"},
    /* A worker VM with 40 tasks, one renewal in 1.5 s, 2 KB/s. */
    {LINE_RENEW_ANSWER, 2000 * 1.5 / 40, "2 KB/s a worker VM"},
    /* A snapshot within 100 appends of 48 KiB. */
    {LINE_SNAPSHOT_TASK, 100 * 48.0 * 1024 / 16100, "100 appends"},
};

static int
check_bounds(const capacity_t *c)
{
	int failed = 0;
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(bounds); i++) {
		const bound_t *bound = &bounds[i];
		const capacity_line_t *line = &c->lines[bound->line];
		bool ok = line->slope <= bound->limit;

		printf("%s %s: %.1f %s an item, limit %.1f (%s)\n",
		    ok ? "ok" : "FAILED", line->name, line->slope, line->unit,
		    bound->limit, bound->from);
		failed += !ok;
	}
	return failed;
}

/*
 * "capacity COMMIT" prints the page, with real node processes; "capacity
 * --check" checks the bounds of the counted slopes.
 */
int
bp_bench_capacity(int argc, char **argv)
{
	capacity_t *c = g_new0(capacity_t, 1);
	bool check = argc >= 2 && strcmp(argv[1], "--check") == 0;
	int rc = 0;

	capacity_measure_state(c);
	capacity_measure_wire(c);
	if (check) {
		rc = check_bounds(c) > 0;
	} else if (capacity_measure_nodes(c) != 0) {
		fprintf(stderr, "bench: the node processes did not start\n");
		rc = 1;
	} else {
		capacity_print_page(c, argc >= 2 ? argv[1] : "unknown");
	}
	g_free(c);
	return rc;
}
