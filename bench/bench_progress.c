#include "bulrushpost/hash.h"
#include "queues/job.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define TASKS 20000
#define ENDS_PER_S 100
/* The owner groups what changes within this time into one append. */
#define APPEND_MS 25
#define MS_PER_S 1000
#define RUN_S 10
#define CHECKPOINT "0123456789abcdef"
#define SEED 20261205
/* What one partition of the platform's store takes. */
#define PARTITION_BYTES_PER_S 20000000
/* Share of it that one job may use. */
#define JOB_SHARE_PERCENT 10

int bp_bench_progress(int argc, char **argv);

static bp_qjob_t *
new_job(void)
{
	Bp__Work__Job *spec = malloc(sizeof(*spec));
	Bp__Work__Step *step = malloc(sizeof(*step));
	bp_qjob_t *job;
	uint32_t i;

	bp__work__job__init(spec);
	bp__work__step__init(step);
	spec->id = strdup("0123456789abcdef");
	spec->queue = strdup("q");
	step->tasks = TASKS;
	step->checkpoints = true;
	spec->steps = calloc(1, sizeof(Bp__Work__Step *));
	spec->steps[spec->n_steps++] = step;
	job = bp_qjob_new(spec);
	for (i = 0; i < TASKS; i++)
		bp_qtask_set_checkpoint(bp_qjob_task(job, 0, 0, i), CHECKPOINT);
	return job;
}

/* Returns the size of the changed parts and takes them as stored. */
static uint64_t
store_changed(bp_qjob_t *job)
{
	uint64_t bytes = 0;
	uint32_t part;

	for (part = 0; part < job->n_parts; part++) {
		GBytes *value;

		if ((job->parts[part] & BP_QPART_CHANGED) == 0)
			continue;
		value = bp_qjob_serialize_part(job, part);
		bytes += g_bytes_get_size(value);
		g_bytes_unref(value);
		job->parts[part] = BP_QPART_STORED;
	}
	return bytes;
}

/* Returns the size of the progress of all tasks. */
static uint64_t
whole_size(const bp_qjob_t *job)
{
	uint64_t bytes = 0;
	uint32_t part;

	for (part = 0; part < job->n_parts; part++) {
		GBytes *value = bp_qjob_serialize_part(job, part);

		bytes += g_bytes_get_size(value);
		g_bytes_unref(value);
	}
	return bytes;
}

/* Prints how many bytes a second a large job writes; with --check returns 1
 * beyond its share of the store. */
int
bp_bench_progress(int argc, char **argv)
{
	bool check = argc > 1 && strcmp(argv[1], "--check") == 0;
	bp_qjob_t *job = new_job();
	bp_random_t random;
	uint64_t divided = 0;
	uint64_t whole = 0;
	uint32_t ends = 0;
	uint32_t append;

	bp_random_init(&random, SEED);
	for (append = 1; append <= RUN_S * MS_PER_S / APPEND_MS; append++) {
		for (; ends < append * APPEND_MS * ENDS_PER_S / MS_PER_S;
		     ends++)
			bp_qtask_mark_changed(bp_qjob_task(
			    job, 0, 0, bp_random_below(&random, TASKS)));
		divided += store_changed(job);
		whole += whole_size(job);
	}
	printf(
	    "progress of a job of %d tasks, %d checkpoints/s stored: %" PRIu64
	    " bytes/s in parts, %" PRIu64 " bytes/s as one record\n",
	    TASKS, ENDS_PER_S, divided / RUN_S, whole / RUN_S);
	bp_qjob_free(job);
	if (!check ||
	    divided / RUN_S <= PARTITION_BYTES_PER_S / 100 * JOB_SHARE_PERCENT)
		return 0;
	printf("FAILED: more than %d%% of a partition\n", JOB_SHARE_PERCENT);
	return 1;
}
