/*
 * A job that is due each 90 days, four times. The first time is now.
 */
#include "standin.h"

#include <stdlib.h>
#include <string.h>

#define JOB "000000000000e101"
#define DAY_MS (24LL * 3600 * 1000)
#define EARLY_MS 250

static int64_t first_ms;
static int64_t interval_ms;
static int early;

static int64_t
unix_ms(void)
{
	return g_get_real_time() / 1000;
}

static void
started(exec_t *exec, const run_t *run)
{
	int64_t k = atoll(run->task + strlen(JOB) + 1);
	int64_t left_ms = first_ms + k * interval_ms - unix_ms();

	if (left_ms <= EARLY_MS)
		return;
	note("ORDER: executor %d is told to start %s %" G_GINT64_FORMAT
	     " days before its time",
	    exec->index, run->task, (gint64)(left_ms / DAY_MS));
	early++;
}

int
main(int argc, char **argv)
{
	char *body;
	int i;

	if (argc != 2)
		return 2;
	rig_open(argv[1]);
	configure(7, true);
	for (i = 0; i < 6; i++)
		exec_add(i % 2 == 0 ? "gniezno" : "wrzesnia",
		    i % 2 == 0 ? "r1-1" : "r2-1", 16000, 62500, true);
	hooks.started = started;
	nodes_start(3);
	first_ms = unix_ms() + 1000;
	interval_ms = (trouble ? 90 : 30) * DAY_MS;
	body = g_strdup_printf(
	    "{\"task_spec\":\"work=500 cpu=1000 mem=100\",\"first_run_ms\":"
	    "%" G_GINT64_FORMAT ",\"interval_ms\":%" G_GINT64_FORMAT
	    ",\"repeat_count\":4,\"steps\":[{\"count\":2,\"cpu\":1000,"
	    "\"mem_mb\":100,\"estimated_ms\":500}]}",
	    first_ms, interval_ms);
	if (call_wait(&nodes[0], "POST", "/pufi791/" JOB, body, 3000, NULL) !=
	    200)
		rig_fail("the job is not accepted");
	pump_ms(8000);
	(void)call_wait(&nodes[1], "GET", "/pufi791/" JOB, NULL, 3000, NULL);
	note("%d starts before their time", early);
	rig_end(early > 0 ? 1 : 0);
}
