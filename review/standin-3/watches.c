/*
 * Watches at night. Jobs with tasks that last run; some are cancelled, and new
 * ones are handed in while the store refuses all calls for a short time. Checks
 * the last part of LOST: a task that lasts is started again.
 */
#include "standin-3/scene.h"

#include <signal.h>
#include <string.h>

#define NODES 3
#define EXECUTORS 6
#define KEPT 6 /* jobs that nobody cancels */
#define CANCELLED 3
#define TASKS 2 /* of each job */
#define NEW_JOBS 15
#define NEW_INTERVAL_MS 100
#define DOWN_MS 1500
#define WATCH_S 30
#define SAMPLE_MS 50
/* LOST: 3 s without a run, from 6 s after the last one, and calm for those 3 s
 * and the 4 s before. */
#define AFTER_RUN_S 6.0
#define AWAY_S 3.0
#define CALM_S 4.0

#define JOB                                                          \
	"{\"task_spec\":\"watch\",\"steps\":[{\"count\":2,\"cpu\":1000," \
	"\"mem_mb\":100,\"long_running\":true}]}"

typedef struct {
	char name[64];
	bool runs;
	double last_run_s; /* when it was seen to run last */
	double longest_s; /* without a run, as LOST counts it */
	double longest_end_s;
} task_t;

typedef struct {
	scene_t scene;
	task_t tasks[KEPT * TASKS];
	double calm_from_s; /* the disruption has ended */
	bool counts;
} night_t;

static void
job_path(char *path, size_t size, char kind, uint32_t index)
{
	snprintf(path, size, "/q/f%c000000000000%02x", kind, index);
}

static void
sample(night_t *night)
{
	bp_qfleet_t *fleet = bp_queuehttp_fleet(night->scene.platform);
	double now_s = scene_s(&night->scene);
	size_t i;

	for (i = 0; i < KEPT * TASKS; i++) {
		task_t *task = &night->tasks[i];
		bool runs = bp_qfleet_running_of(fleet, task->name) > 0;
		double from_s;

		if (runs != task->runs)
			scene_note(&night->scene, "task %s %s", task->name,
			    runs ? "runs" : "does not run any more");
		task->runs = runs;
		if (runs)
			task->last_run_s = now_s;
		from_s = task->last_run_s + AFTER_RUN_S;
		from_s = MAX(from_s, night->calm_from_s + CALM_S);
		if (night->counts && !runs &&
		    now_s - from_s > task->longest_s) {
			task->longest_s = now_s - from_s;
			task->longest_end_s = now_s;
		}
	}
}

static void
pass(night_t *night, double seconds)
{
	double until_s = scene_s(&night->scene) + seconds;

	while (scene_s(&night->scene) < until_s) {
		sample(night);
		bp_run_for_ms(SAMPLE_MS);
	}
}

static bool
hand_in(night_t *night, char kind, uint32_t n)
{
	char path[64];
	uint32_t i;

	for (i = 0; i < n; i++) {
		job_path(path, sizeof(path), kind, i);
		if (scene_call(&night->scene, i % NODES, "POST", path, JOB,
			NULL) != 200)
			return false;
	}
	return true;
}

static bool
all_run(night_t *night)
{
	uint32_t i;

	sample(night);
	for (i = 0; i < KEPT * TASKS; i++) {
		if (!night->tasks[i].runs)
			return false;
	}
	return true;
}

static void
hand_in_beside_cancels(night_t *night, bool trouble)
{
	bp_reply_t *replies[NEW_JOBS];
	char path[64];
	uint32_t i;

	for (i = 0; i < CANCELLED; i++) {
		job_path(path, sizeof(path), 'c', i);
		(void)scene_call(
		    &night->scene, i % NODES, "DELETE", path, NULL, NULL);
	}
	if (trouble) {
		scene_note(&night->scene, "the store answers 503");
		bp_queuehttp_set_mode(night->scene.platform, BP_QSTORE_BUSY);
	}
	for (i = 0; i < NEW_JOBS; i++) {
		job_path(path, sizeof(path), 'd', i);
		replies[i] = scene_send(
		    &night->scene, i % NODES, "POST", path, JOB);
		pass(night, NEW_INTERVAL_MS / 1000.0);
	}
	if (trouble) {
		bp_queuehttp_set_mode(night->scene.platform, BP_QSTORE_UP);
		scene_note(&night->scene, "the store answers again");
	}
	night->calm_from_s = scene_s(&night->scene);
	for (i = 0; i < NEW_JOBS; i++) {
		(void)bp_http_wait(replies[i]);
		scene_note(&night->scene, "POST of new job %u, sent at %.3f s, "
		    "answered at %.3f s: %u %s", i,
		    (double)(replies[i]->sent_us - night->scene.start_us) / 1e6,
		    (double)(replies[i]->done_us - night->scene.start_us) / 1e6,
		    replies[i]->status, replies[i]->body);
		bp_reply_free(replies[i]);
	}
}

static bool
judge(night_t *night)
{
	bool kept = true;
	size_t i;

	for (i = 0; i < KEPT * TASKS; i++) {
		const task_t *task = &night->tasks[i];

		if (task->longest_s < AWAY_S)
			continue;
		kept = false;
		scene_note(&night->scene,
		    "LOST: task %s ran last at %.3f s; at %.3f s it has been "
		    "due again in calm for %.3f s (3 s are allowed)",
		    task->name, task->last_run_s, task->longest_end_s,
		    task->longest_s);
	}
	scene_note(&night->scene, kept ? "the rule held" : "the rule was broken");
	return kept;
}

static int
run(night_t *night, bool trouble)
{
	char path[64];
	uint32_t i;

	for (i = 0; i < KEPT * TASKS; i++)
		snprintf(night->tasks[i].name, sizeof(night->tasks[i].name),
		    "fa000000000000%02x.0.0.%u", i / TASKS, i % TASKS);
	if (!hand_in(night, 'a', KEPT) || !hand_in(night, 'c', CANCELLED))
		return 2;
	pass(night, 6);
	if (!all_run(night))
		return 2;
	hand_in_beside_cancels(night, trouble);
	night->counts = true;
	for (i = 0; i < WATCH_S; i++) {
		pass(night, 1);
		if (i % 5 != 4)
			continue;
		job_path(path, sizeof(path), 'a', i % KEPT);
		(void)scene_call(
		    &night->scene, i % NODES, "GET", path, NULL, NULL);
	}
	return judge(night) ? 0 : 1;
}

int
main(int argc, char **argv)
{
	static night_t night;
	int status = 2;

	if (argc != 2)
		return 2;
	if (scene_open(&night.scene, argv[1], EXECUTORS) &&
	    scene_start_nodes(&night.scene, NODES))
		status = run(&night, scene_trouble());
	scene_end(&night.scene);
	return status;
}
