/*
 * A job of many tasks that make checkpoints. Its progress, one record, outgrows
 * what the store takes in one record, and nothing of any job is stored any more.
 */
#include "standin.h"

#include <string.h>

#define LARGE "000000000000c001"
#define WATCH "000000000000c002"
#define TASKS 12500
#define WATCHERS 12
#define WATCH_MS 70000
#define STEP_MS 250
/* A task that lasts: from 6 s after its last run, for 3 s. */
#define AWAY_MS (6000 + 3000)

static int64_t ran_ms[WATCHERS];
static int64_t longest_ms;

static void
look(void)
{
	int i;

	for (i = 0; i < WATCHERS; i++) {
		char *task = g_strdup_printf(WATCH ".0.0.%d", i);

		if (exec_running(task) > 0 || ran_ms[i] == 0)
			ran_ms[i] = now_ms();
		longest_ms = MAX(longest_ms, now_ms() - ran_ms[i]);
		g_free(task);
	}
}

static int
hand_in(int n)
{
	char *path = g_strdup_printf("/lohu930/%016x", 0xd000 + n);
	int status = call_wait(&nodes[n % n_nodes], "POST", path,
	    "{\"task_spec\":\"work=500 cpu=1000 mem=100\",\"steps\":[{\"count\":2,"
	    "\"cpu\":1000,\"mem_mb\":100,\"estimated_ms\":500}]}",
	    3000, NULL);

	g_free(path);
	return status;
}

int
main(int argc, char **argv)
{
	int accepted = 0;
	int refused = 0;
	int i;
	int64_t until_ms;
	char *body;

	if (argc != 2)
		return 2;
	rig_open(argv[1]);
	configure(7, true);
	for (i = 0; i < 24; i++)
		exec_add(i % 2 == 0 ? "gniezno" : "wrzesnia",
		    i % 2 == 0 ? "r1-1" : "r2-1", 16000, 62500, true);
	nodes_start(3);
	body = g_strdup_printf(
	    "{\"task_spec\":\"work=0 cpu=1000 mem=1000\",\"steps\":[{"
	    "\"count\":%d,\"cpu\":1000,\"mem_mb\":1000,\"estimated_ms\":500,"
	    "\"long_running\":true}]}",
	    WATCHERS);
	if (call_wait(&nodes[0], "POST", "/lohu930/" WATCH, body, 3000, NULL) !=
	    200)
		rig_fail("the job that lasts is not accepted");
	g_free(body);
	pump_ms(2000);
	if (exec_running_of_job(WATCH) != WATCHERS)
		rig_fail("the tasks that last do not run");
	body = g_strdup_printf(
	    "{\"task_spec\":\"work=35000 cpu=20 mem=20 saves=1\",\"steps\":[{"
	    "\"count\":%d,\"cpu\":20,\"mem_mb\":20,\"estimated_ms\":35000,"
	    "\"checkpointing\":true}]}",
	    TASKS);
	if (trouble &&
	    call_wait(&nodes[1], "POST", "/pufi791/" LARGE, body, 3000, NULL) !=
		200)
		rig_fail("the large job is not accepted");
	g_free(body);
	until_ms = now_ms() + WATCH_MS;
	for (i = 0; now_ms() < until_ms; i++) {
		look();
		if (i % 4 == 0) {
			int status = hand_in(i / 4);

			accepted += status == 200;
			refused += status != 200;
			note("run: %u tasks of the large job, %u of %d that last",
			    exec_running_of_job(LARGE),
			    exec_running_of_job(WATCH), WATCHERS);
		}
		pump_ms(STEP_MS);
	}
	note("small jobs: %d accepted, %d refused; a task that lasts had no run "
	     "for %" G_GINT64_FORMAT " ms on end",
	    accepted, refused, longest_ms);
	rig_end(longest_ms > AWAY_MS ? 1 : 0);
}
