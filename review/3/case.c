/*
 * A job that can never be done: its tasks ask for the largest number that 32
 * bits hold. The owner adds it to what an executor has in use, and the sum
 * wraps round.
 */
#include "standin.h"

#include <string.h>

#define WATCH "000000000000f10" /* and a digit */
#define POISON "000000000000f002"
#define EXECS 24
#define JOBS 20
#define ORDINARY 20 /* of the queue, before the one that cannot be done */
#define WAIT_MS 3000

typedef struct {
	char id[20];
	int64_t accepted_ms;
	int64_t longest_ms;
	bool begun;
} job_t;

static job_t jobs[JOBS];
static int n_jobs;

static void
look(void)
{
	int i;

	for (i = 0; i < n_jobs; i++) {
		job_t *job = &jobs[i];

		if (job->begun || job->accepted_ms == 0)
			continue;
		if (exec_running_of_job(job->id) > 0) {
			job->begun = true;
			note("job %s begins %" G_GINT64_FORMAT
			     " ms after it was accepted",
			    job->id, now_ms() - job->accepted_ms);
			continue;
		}
		job->longest_ms = now_ms() - job->accepted_ms;
	}
}

int
main(int argc, char **argv)
{
	int64_t worst_ms = 0;
	int late = 0;
	int i;
	int k;

	if (argc != 2)
		return 2;
	rig_open(argv[1]);
	configure(7, true);
	for (i = 0; i < EXECS; i++)
		exec_add(i % 2 == 0 ? "gniezno" : "wrzesnia",
		    i % 2 == 0 ? "r1-1" : "r2-1", 16000, 62500, true);
	nodes_start(3);
	/* Two jobs that last, so that each executor has something in use. */
	for (i = 0; i < 2; i++) {
		char *path = g_strdup_printf("/lohu930/" WATCH "%d", i);
		char *body = g_strdup_printf(
		    "{\"task_spec\":\"work=0 cpu=1000 mem=100\",\"steps\":[{"
		    "\"count\":%d,\"cpu\":1000,\"mem_mb\":100,"
		    "\"estimated_ms\":500,\"data_rack\":\"r%d-1\","
		    "\"anti_affinity\":1,\"long_running\":true}]}",
		    EXECS / 2, i + 1);

		if (call_wait(&nodes[0], "POST", path, body, 3000, NULL) != 200)
			rig_fail("a job that lasts is not accepted");
		g_free(path);
		g_free(body);
	}
	pump_ms(3000);
	if (exec_running_of_job(WATCH) != EXECS)
		rig_fail("the tasks that last do not run");
	for (i = 0; i < ORDINARY; i++) {
		char *path = g_strdup_printf("/lohu930/%016x", 0xc000 + i);

		if (call_wait(&nodes[i % n_nodes], "POST", path,
			"{\"task_spec\":\"work=100 cpu=1000 mem=100\",\"steps\":[{"
			"\"count\":2,\"cpu\":1000,\"mem_mb\":100,"
			"\"estimated_ms\":100}]}",
			3000, NULL) != 200)
			rig_fail("an ordinary job is not accepted");
		g_free(path);
	}
	if (trouble &&
	    call_wait(&nodes[1], "POST", "/lohu930/" POISON,
		"{\"task_spec\":\"work=1000 cpu=4294967295 mem=100\",\"steps\":[{"
		"\"count\":36,\"cpu\":4294967295,\"mem_mb\":100,"
		"\"estimated_ms\":1000}]}",
		3000, NULL) != 200)
		rig_fail("the job that can never be done is not accepted");
	for (i = 0; i < JOBS; i++) {
		job_t *job = &jobs[n_jobs++];
		char *path;

		g_snprintf(job->id, sizeof(job->id), "%016x", 0xd000 + i);
		path = g_strdup_printf("/pufi791/%s", job->id);
		if (call_wait(&nodes[i % n_nodes], "POST", path,
			"{\"task_spec\":\"work=500 cpu=1000 mem=100\",\"steps\":[{"
			"\"count\":2,\"cpu\":1000,\"mem_mb\":100,"
			"\"estimated_ms\":500}]}",
			3000, NULL) == 200)
			job->accepted_ms = now_ms();
		g_free(path);
		for (k = 0; k < 50; k++) {
			pump_ms(20);
			look();
		}
	}
	for (k = 0; k < 500; k++) {
		pump_ms(20);
		look();
	}
	for (i = 0; i < JOBS; i++) {
		worst_ms = MAX(worst_ms, jobs[i].longest_ms);
		late += jobs[i].longest_ms > WAIT_MS;
	}
	note("%d of %d batch jobs waited longer than %d ms, the longest %" G_GINT64_FORMAT
	     " ms, beside free executors",
	    late, JOBS, WAIT_MS, worst_ms);
	rig_end(late > 0 ? 1 : 0);
}
