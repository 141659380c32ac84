/*
 * Jobs that only one executor may run, while it is unhealthy and refuses all
 * starts. Checks the part of MIXED on `pending`.
 */
#include "standin-3/workers.h"

#include <stdlib.h>
#include <string.h>

#define NODES 3
#define EXECUTORS 12
#define JOBS 6
#define UNHEALTHY_S 6.4
/* visible_ms + 2 s, after which jobs that haven't begun must be counted. */
#define COUNTED_AFTER_S 5.0
#define MARGIN_S 0.2
#define JOB                                                     \
	"{\"task_spec\":\"t\",\"steps\":[{\"count\":2,\"cpu\":1000,"    \
	"\"mem_mb\":100,\"estimated_ms\":500,\"requirements\":\"b\"}]}"

static void
world(const char *task, worker_task_t *out)
{
	(void)task;
	out->work_ms = 500;
	out->cpu_milli = 1000;
}

/* Returns the count that a node gives, -1 for none. */
static int
ask_pending(scene_t *scene, uint32_t node)
{
	char *text = NULL;
	uint32_t status = scene_call(scene, node, "GET", "/q/", NULL, &text);
	const char *found =
	    status == 200 ? strstr(text, "\"pending\":") : NULL;
	int pending = found != NULL ? atoi(found + strlen("\"pending\":")) : -1;

	g_free(text);
	return pending;
}

static int
run(scene_t *scene, workers_t *workers, bool trouble)
{
	double begin_s;
	double accepted_s;
	uint32_t low = 0;
	uint32_t i;
	char path[32];

	bp_run_for_ms(3000);
	begin_s = scene_s(scene);
	workers_set_unhealthy(workers, 0, trouble);
	scene_note(scene, trouble ? "executor 0 is unhealthy" : "no trouble");
	for (i = 0; i < JOBS; i++) {
		snprintf(path, sizeof(path), "/q/1a%014x", i + 1);
		if (scene_call(scene, i % NODES, "POST", path, JOB, NULL) != 200)
			return 2;
	}
	accepted_s = scene_s(scene);
	bp_run_for_ms(
	    (int64_t)((COUNTED_AFTER_S + MARGIN_S) * 1000));
	for (i = 0; i < NODES; i++) {
		int pending = ask_pending(scene, i);
		uint32_t waiting = workers_begun(workers) ? 0 : JOBS;

		if (pending >= 0 && (uint32_t)pending * 2 < waiting) {
			low++;
			scene_note(scene,
			    "MIXED: node %u counts %d of %u jobs that were "
			    "accepted more than %.1f s before and haven't begun",
			    i, pending, waiting, scene_s(scene) - accepted_s);
		}
	}
	snprintf(path, sizeof(path), "/q/1a%014x", 1);
	(void)scene_call(scene, 0, "GET", path, NULL, NULL);
	while (scene_s(scene) < begin_s + UNHEALTHY_S)
		bp_run_for_ms(50);
	workers_set_unhealthy(workers, 0, false);
	scene_note(scene, "executor 0 is well");
	bp_run_for_ms(5000);
	for (i = 0; i < JOBS; i++) {
		snprintf(path, sizeof(path), "/q/1a%014x", i + 1);
		(void)scene_call(scene, i % NODES, "GET", path, NULL, NULL);
	}
	scene_note(scene, low > 0 ? "the rule was broken: MIXED"
				  : "the rule held");
	return low > 0 ? 1 : 0;
}

int
main(int argc, char **argv)
{
	static scene_t scene;
	workers_t *workers;
	int status = 2;

	if (argc != 2)
		return 2;
	if (scene_open(&scene, argv[1], 0)) {
		workers = workers_new(&scene, EXECUTORS, world);
		workers_register(workers);
		if (scene_start_nodes(&scene, NODES))
			status = run(&scene, workers, scene_trouble());
		workers_free(workers);
	}
	scene_end(&scene);
	return status;
}
