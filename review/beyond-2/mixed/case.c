#include "platform.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/*
 * One executor, the only one of its kind, is lost for good. Jobs that need that
 * kind are handed in at that moment; none of their tasks ever starts. Each node
 * is asked how many jobs are pending.
 */

#define JOBS 4
#define VISIBLE_MS 3000
#define OLD_MS 2000 /* so old a count may be */
#define BODY                                                                 \
	"{\"task_spec\":\"ms=300 cpu=1000\",\"steps\":[{\"count\":1,"        \
	"\"cpu\":1000,\"mem_mb\":256,\"estimated_ms\":300,\"requirements\":" \
	"\"b\"}]}"

static uint32_t
not_begun(void)
{
	uint32_t begun = 0;
	uint32_t i;
	guint k;

	lock();
	for (i = 0; i < JOBS; i++) {
		char *id = g_strdup_printf("%016x.", 0xa1 + i);

		for (k = 0; k < runs->len; k++) {
			if (!g_str_has_prefix(
				((run_t *)runs->pdata[k])->task, id))
				continue;
			begun++;
			break;
		}
		g_free(id);
	}
	unlock();
	return JOBS - begun;
}

int
main(void)
{
	const setup_t setup = {8, 16000, 3, 1};
	uint32_t broken = 0;
	uint32_t round;
	uint32_t i;

	platform_start(&setup);
	if (trouble())
		executor_crash(0);
	for (i = 0; i < JOBS; i++) {
		char *path = g_strdup_printf("/q/%016x", 0xa1 + i);

		if (call_node(i % 3, "POST", path, BODY, 3000, NULL) != 200)
			cannot_run("a job was not accepted");
		g_free(path);
	}
	sleep_ms(VISIBLE_MS + OLD_MS + 1000);
	for (round = 0; round < 5; round++) {
		for (i = 0; i < 3; i++) {
			uint32_t waiting = not_begun();
			char *text = NULL;
			const char *count;

			if (call_node(i, "GET", "/q/", NULL, 3000, &text) !=
				200 ||
			    text == NULL)
				continue;
			count = strstr(text, "\"pending\":");
			if (count != NULL &&
			    (uint32_t)atoi(count + strlen("\"pending\":")) * 2 <
				waiting) {
				broken++;
				note("MIXED: %u jobs were accepted over %d ms "
				     "ago and have not begun; node %u: %s",
				    waiting, VISIBLE_MS + OLD_MS, i, text);
			}
			g_free(text);
		}
		sleep_ms(3000);
	}
	for (i = 0; i < JOBS; i++) {
		char *path = g_strdup_printf("/q/%016x", 0xa1 + i);

		(void)call_node(i % 3, "GET", path, NULL, 3000, NULL);
		g_free(path);
	}
	note("%u jobs have not begun", not_begun());
	finish(broken > 0 ? 1 : 0);
}
