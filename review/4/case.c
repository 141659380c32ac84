/*
 * Executors crash and start again under their ids as lives of another kind,
 * while tasks wait for a label that only their earlier lives had.
 */
#include "standin.h"

#include <string.h>

#define JOB "000000000000e001"
#define EXECS 48
#define OF_KIND_A 6
#define TASKS 30
#define DOWN_MS 1000
#define APART_MS 370

static int wrong;

static void
started(exec_t *exec, const run_t *run)
{
	if (strcmp(exec->kind, "a") == 0)
		return;
	note("ROUTE: %s requires label a; executor %d, whose labels are %s and "
	     "%s, is told to start it %" G_GINT64_FORMAT " ms after its start",
	    run->task, exec->index, exec->kind, exec->rack,
	    g_get_real_time() / 1000 - exec->born_ms);
	wrong++;
}

int
main(int argc, char **argv)
{
	int i;

	if (argc != 2)
		return 2;
	rig_open(argv[1]);
	configure(7, true);
	for (i = 0; i < EXECS; i++) {
		char *rack = g_strdup_printf("r%d-%d", i % 2 + 1, i / 8);

		exec_add(i % 2 == 0 ? "gniezno" : "wrzesnia", rack, 16000,
		    62500, true);
		if (i >= OF_KIND_A) {
			execs[i]->kind = "b";
			exec_register(execs[i]);
		}
		g_free(rack);
	}
	hooks.started = started;
	nodes_start(3);
	pump_ms(3000);
	if (call_wait(&nodes[0], "POST", "/pufi791/" JOB,
		"{\"task_spec\":\"work=5000 cpu=3000 mem=3000\",\"steps\":[{"
		"\"count\":30,\"cpu\":3000,\"mem_mb\":3000,\"estimated_ms\":5000,"
		"\"requirements\":\"a\"}]}",
		3000, NULL) != 200)
		rig_fail("the job is not accepted");
	pump_ms(1500);
	note("%u of %d tasks run", exec_running_of_job(JOB), TASKS);
	if (exec_running_of_job(JOB) != TASKS)
		rig_fail("not all tasks run");
	if (trouble) {
		for (i = 0; i < OF_KIND_A; i++)
			exec_kill(execs[i]);
		pump_ms(DOWN_MS);
		/* Each takes its own time to start. */
		for (i = 0; i < OF_KIND_A; i++) {
			execs[i]->kind = "b";
			exec_start_again(execs[i]);
			pump_ms(APART_MS);
		}
	}
	pump_ms(10000);
	note("%d starts without the label", wrong);
	rig_end(wrong > 0 ? 1 : 0);
}
