/*
 * A gang that saves its progress. One of its tasks fails once after some work,
 * so that all are started again. Checks GANG, and that the job ends.
 */
#include "standin-3/workers.h"

#include <string.h>

#define NODES 3
#define EXECUTORS 6
#define MEMBERS 3
#define WORK_MS 8000
#define FAIL_AFTER_S 3.4
#define WATCH_S 50
/* Ends later than this after the disruption have none near. */
#define NEAR_S 10
#define ID "9a00000000000001"
#define JOB                                                             \
	"{\"task_spec\":\"mix\",\"steps\":[{\"count\":3,\"cpu\":2000,"      \
	"\"mem_mb\":1000,\"estimated_ms\":8000,\"gang\":true,"           \
	"\"anti_affinity\":1,\"checkpointing\":true}]}"

static void
world(const char *task, worker_task_t *out)
{
	(void)task;
	out->work_ms = WORK_MS;
	out->gang = MEMBERS;
	out->saves = true;
	out->cpu_milli = 2000;
}

static bool
has_completed(scene_t *scene, uint32_t node)
{
	char *text = NULL;
	uint32_t status =
	    scene_call(scene, node, "GET", "/q/" ID, NULL, &text);
	bool completed = status == 200 && strstr(text, "completed") != NULL;

	g_free(text);
	return completed;
}

static uint32_t
count_alone(const workers_t *workers, double after_s)
{
	const GArray *ends = workers_ends(workers);
	uint32_t alone = 0;
	guint i;

	for (i = 0; i < ends->len; i++) {
		const worker_end_t *end =
		    &g_array_index(ends, worker_end_t, i);

		alone += strcmp(end->how, "alone") == 0 && end->at_s > after_s;
	}
	return alone;
}

static int
run(scene_t *scene, workers_t *workers, bool trouble)
{
	double failed_s = 0;
	bool completed = false;
	uint32_t alone;
	uint32_t i;

	if (scene_call(scene, 0, "POST", "/q/" ID, JOB, NULL) != 200)
		return 2;
	bp_run_for_ms((int64_t)(FAIL_AFTER_S * 1000));
	if (workers_running(workers, ID) != MEMBERS)
		return 2;
	failed_s = scene_s(scene);
	if (trouble) {
		scene_note(scene, "an executor fails what it runs");
		(void)workers_fail(
		    workers, (uint32_t)workers_find(workers, ID));
	}
	for (i = 0; i < WATCH_S && !completed; i++) {
		bp_run_for_ms(1000);
		if (i % 4 == 3)
			completed = has_completed(scene, i % NODES);
	}
	alone = count_alone(workers, failed_s + NEAR_S);
	scene_note(scene,
	    "%u runs ended alone later than %d s after the disruption; the job "
	    "%s",
	    alone, NEAR_S,
	    completed ? "has completed" : "has not completed");
	scene_note(scene, alone > 0 ? "the rule was broken: GANG"
				    : "the rule held");
	return alone > 0 ? 1 : 0;
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
