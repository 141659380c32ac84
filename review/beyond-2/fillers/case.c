#include "platform.h"

#include <stdio.h>
#include <string.h>

/*
 * Serving tasks are over their target by their own load, one on each executor;
 * nothing that fills works beside them. Jobs whose tasks fill are handed in.
 */

#define EXECUTORS 6
#define JOBS 2
#define TARGET_MS 50
#define FINISH_MS 14000

static void
on_task(run_t *run)
{
	if (strstr(run->spec, "serves") != NULL)
		run->figure = trouble() ? TARGET_MS * 6 / 5 : TARGET_MS / 2;
	else
		run->figure = 500; /* cpu in use */
}

int
main(void)
{
	const setup_t setup = {EXECUTORS, 16000, 3, 0};
	char *serving = g_strdup_printf(
	    "{\"task_spec\":\"serves ms=1000000 cpu=3000\",\"steps\":[{"
	    "\"count\":%d,\"cpu\":3000,\"mem_mb\":256,\"image\":\"web\","
	    "\"target_ms\":%d,\"anti_affinity\":1,\"long_running\":true}]}",
	    EXECUTORS, TARGET_MS);
	uint32_t lost = 0;
	uint32_t i;

	on_start = on_task;
	platform_start(&setup);
	if (call_node(0, "POST", "/q/00000000000000a1", serving, 3000, NULL) !=
	    200)
		cannot_run("the serving job was not accepted");
	sleep_ms(5000);
	for (i = 0; i < JOBS; i++) {
		char *path = g_strdup_printf("/b/00000000000000b%u", i);

		if (call_node(i, "POST", path,
			"{\"task_spec\":\"fills ms=2000\",\"steps\":[{"
			"\"count\":2,\"cpu\":1000,\"mem_mb\":256,\"image\":"
			"\"batch\",\"fills\":true,\"checkpointing\":true,"
			"\"estimated_ms\":2000}]}",
			3000, NULL) != 200)
			cannot_run("a job was not accepted");
		g_free(path);
	}
	sleep_ms(FINISH_MS + 3000);
	for (i = 0; i < JOBS; i++) {
		char *path = g_strdup_printf("/b/00000000000000b%u", i);
		char *id = g_strdup_printf("00000000000000b%u.", i);
		uint32_t starts = 0;
		guint k;

		(void)call_node(i, "GET", path, NULL, 3000, NULL);
		lock();
		for (k = 0; k < runs->len; k++)
			starts += g_str_has_prefix(
			    ((run_t *)runs->pdata[k])->task, id);
		unlock();
		if (starts == 0) {
			lost++;
			note("LOST: %s was accepted %d s ago and has had "
			     "nothing running",
			    path, (FINISH_MS + 3000) / 1000);
		}
		g_free(path);
		g_free(id);
	}
	for (i = 0; i < EXECUTORS; i++)
		note("executor %u has %u of 16000 free", i, executor_free(i));
	finish(lost > 0 ? 1 : 0);
}
