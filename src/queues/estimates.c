#include "queues/estimates.h"

#include "bulrushpost/message.h"
#include "proto/work.pb-c.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>

/* Factor of a queue without samples: its declared durations are used. */
#define FACTOR_DEFAULT 1.0
/* Weights of one step in the smoothed mean and deviation, as in RFC 6298. */
#define MEAN_RATE 0.125
#define DEVIATION_RATE 0.25
/* Steps over which the mean of their work is taken. */
#define WORK_SAMPLES 64
/* Bound of one sample: a step that stalled says nothing about others. */
#define SAMPLE_MAX 4.0
/* Latest runs of one image from which quantiles are taken. */
#define RUN_SAMPLES 64
/* Fewer runs than this say too little about a quantile of 90%. */
#define RUN_SAMPLES_MIN 10
/* The sorted samples are used until so many more have arrived. */
#define RUNS_PER_SORT 8
/* Bound of one run's multiple; jobs that declare 1 ms exist. */
#define RUN_RATIO_MAX 1000.0
/* Images with samples of their own; callers choose the names of images. */
#define IMAGES_MAX 512
/* Multiples of the declared duration before there are samples: the declared
 * duration is a rough estimate of the middle. */
#define COLD_MEDIAN 1.0
#define COLD_TAIL 2.0
#define MEDIAN_PERCENT 50
#define PERCENT 100

typedef struct {
	double mean;
	double deviation;
} ratio_t;

/* Work of the steps of a queue as a multiple of what they declare. */
typedef struct {
	double mean;
	uint32_t samples;
} work_t;

/* Multiples of the declared duration that the latest runs took. */
typedef struct {
	float latest[RUN_SAMPLES]; /* a ring */
	float sorted[RUN_SAMPLES];
	uint32_t at; /* of the next sample in the ring */
	uint32_t count;
	uint32_t n_sorted;
	uint32_t unsorted; /* samples since the last sort */
} runs_t;

struct bp_estimates {
	GHashTable *queues; /* name to ratio_t */
	GHashTable *works; /* queue to work_t */
	GHashTable *queue_runs; /* name to runs_t */
	GHashTable *image_runs; /* queue, line feed and image to runs_t */
};

/* Creates a table without samples. */
bp_estimates_t *
bp_estimates_new(void)
{
	bp_estimates_t *estimates = g_new0(bp_estimates_t, 1);

	estimates->queues =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	estimates->works =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	estimates->queue_runs =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	estimates->image_runs =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	return estimates;
}

/* Frees a table. NULL is allowed. */
void
bp_estimates_free(bp_estimates_t *estimates)
{
	if (estimates == NULL)
		return;
	g_hash_table_unref(estimates->queues);
	g_hash_table_unref(estimates->works);
	g_hash_table_unref(estimates->queue_runs);
	g_hash_table_unref(estimates->image_runs);
	g_free(estimates);
}

/* See the header. */
void
bp_estimates_add_sample(bp_estimates_t *estimates, const char *queue,
    int64_t work_ms, int64_t took_ms)
{
	ratio_t *ratio = g_hash_table_lookup(estimates->queues, queue);
	double sample = (double)took_ms / (double)MAX(work_ms, 1);
	double error;

	sample = CLAMP(sample, 0, SAMPLE_MAX);
	if (ratio == NULL) {
		ratio = g_new0(ratio_t, 1);
		ratio->mean = sample;
		g_hash_table_insert(estimates->queues, g_strdup(queue), ratio);
		return;
	}
	error = sample - ratio->mean;
	ratio->deviation += DEVIATION_RATE * (ABS(error) - ratio->deviation);
	ratio->mean += MEAN_RATE * error;
}

/* See the header. */
double
bp_estimates_factor(const bp_estimates_t *estimates, const char *queue)
{
	const ratio_t *ratio = g_hash_table_lookup(estimates->queues, queue);

	return ratio == NULL ? FACTOR_DEFAULT : ratio->mean + ratio->deviation;
}

/* See the header. */
void
bp_estimates_add_work(bp_estimates_t *estimates, const char *queue,
    int64_t expected_ms, int64_t work_ms)
{
	work_t *work = g_hash_table_lookup(estimates->works, queue);
	double sample = (double)work_ms / (double)MAX(expected_ms, 1);

	sample = CLAMP(sample, 0, SAMPLE_MAX);
	if (work == NULL) {
		work = g_new0(work_t, 1);
		g_hash_table_insert(estimates->works, g_strdup(queue), work);
	}
	work->samples = MIN(work->samples + 1, WORK_SAMPLES);
	work->mean += (sample - work->mean) / work->samples;
}

/* See the header. */
double
bp_estimates_work(const bp_estimates_t *estimates, const char *queue)
{
	const work_t *work = g_hash_table_lookup(estimates->works, queue);

	return work == NULL ? FACTOR_DEFAULT : work->mean;
}

/* See the header. */
GBytes *
bp_estimates_serialize_works(const bp_estimates_t *estimates)
{
	guint n = g_hash_table_size(estimates->works);
	Bp__Work__QueueWork *rows = g_new(Bp__Work__QueueWork, n);
	Bp__Work__QueueWorks out = BP__WORK__QUEUE_WORKS__INIT;
	GHashTableIter iter;
	gpointer queue;
	gpointer value;
	GBytes *bytes;

	out.queues = g_new(Bp__Work__QueueWork *, n);
	g_hash_table_iter_init(&iter, estimates->works);
	while (g_hash_table_iter_next(&iter, &queue, &value)) {
		const work_t *work = value;
		Bp__Work__QueueWork *row = &rows[out.n_queues];

		bp__work__queue_work__init(row);
		row->queue = queue;
		row->work = work->mean;
		row->steps = work->samples;
		out.queues[out.n_queues++] = row;
	}
	bytes = bp_message_pack(&out.base);
	g_free(out.queues);
	g_free(rows);
	return bytes;
}

/* See the header. */
bool
bp_estimates_deserialize_works(
    bp_estimates_t *estimates, const uint8_t *bytes, size_t size_bytes)
{
	Bp__Work__QueueWorks *in =
	    bp__work__queue_works__unpack(NULL, size_bytes, bytes);
	size_t i;

	if (in == NULL)
		return false;
	for (i = 0; i < in->n_queues; i++) {
		const Bp__Work__QueueWork *row = in->queues[i];
		work_t *work;

		if (!isfinite(row->work))
			continue;
		work = g_new0(work_t, 1);
		work->mean = CLAMP(row->work, 0, SAMPLE_MAX);
		work->samples = MIN(row->steps, WORK_SAMPLES);
		g_hash_table_replace(
		    estimates->works, g_strdup(row->queue), work);
	}
	bp__work__queue_works__free_unpacked(in, NULL);
	return true;
}

/* See the header. */
void
bp_estimates_rename_work(
    bp_estimates_t *estimates, const char *queue, const char *name)
{
	work_t *work = g_hash_table_lookup(estimates->works, queue);
	work_t *renamed;

	if (work == NULL || g_hash_table_contains(estimates->works, name))
		return;
	renamed = g_new(work_t, 1);
	*renamed = *work;
	g_hash_table_insert(estimates->works, g_strdup(name), renamed);
	g_hash_table_remove(estimates->works, queue);
}

/* See the header. */
void
bp_estimates_describe(const bp_estimates_t *estimates, GString *out)
{
	GList *names = g_list_sort(g_hash_table_get_keys(estimates->queues),
	    (GCompareFunc)(void (*)(void))strcmp);
	GList *name;

	for (name = names; name != NULL; name = name->next)
		g_string_append_printf(out, "%s%s=%.2f/%.2f",
		    out->len > 0 ? " " : "", (const char *)name->data,
		    bp_estimates_factor(estimates, name->data),
		    bp_estimates_work(estimates, name->data));
	g_list_free(names);
}

static int
compare_ratios(const void *a, const void *b)
{
	float x = *(const float *)a;
	float y = *(const float *)b;

	return (x > y) - (x < y);
}

static void
add_ratio(runs_t *runs, float ratio)
{
	runs->latest[runs->at] = ratio;
	runs->at = (runs->at + 1) % RUN_SAMPLES;
	runs->count = MIN(runs->count + 1, RUN_SAMPLES);
	runs->unsorted++;
}

/* Returns the samples of a name; adds the name if there are fewer than max. */
static runs_t *
get_runs(GHashTable *table, const char *name, guint max)
{
	runs_t *runs = g_hash_table_lookup(table, name);

	if (runs == NULL && g_hash_table_size(table) < max) {
		runs = g_new0(runs_t, 1);
		g_hash_table_insert(table, g_strdup(name), runs);
	}
	return runs;
}

/* See the header. */
void
bp_estimates_add_run(bp_estimates_t *estimates, const char *queue,
    const char *image, int64_t expected_ms, int64_t took_ms)
{
	double ratio = (double)took_ms / (double)MAX(expected_ms, 1);
	char *key = g_strconcat(queue, "\n", image, NULL);
	runs_t *of_queue = get_runs(estimates->queue_runs, queue, G_MAXUINT);
	runs_t *of_image = get_runs(estimates->image_runs, key, IMAGES_MAX);

	ratio = CLAMP(ratio, 0, RUN_RATIO_MAX);
	add_ratio(of_queue, (float)ratio);
	if (of_image != NULL)
		add_ratio(of_image, (float)ratio);
	g_free(key);
}

/* Returns the multiple that a share of the samples does not exceed; 0 when
 * there are too few. */
static double
quantile(runs_t *runs, uint32_t percent)
{
	uint32_t rank;

	if (runs == NULL || runs->count < RUN_SAMPLES_MIN)
		return 0;
	if (runs->n_sorted < RUN_SAMPLES_MIN ||
	    runs->unsorted >= RUNS_PER_SORT) {
		memcpy(runs->sorted, runs->latest,
		    runs->count * sizeof(runs->latest[0]));
		qsort(runs->sorted, runs->count, sizeof(runs->sorted[0]),
		    compare_ratios);
		runs->n_sorted = runs->count;
		runs->unsorted = 0;
	}
	rank = (runs->n_sorted * percent + PERCENT - 1) / PERCENT;
	return runs->sorted[CLAMP(rank, 1, runs->n_sorted) - 1];
}

/* See the header. */
int64_t
bp_estimates_run_ms(bp_estimates_t *estimates, const char *queue,
    const char *image, int64_t expected_ms, uint32_t percent)
{
	char *key = g_strconcat(queue, "\n", image, NULL);
	double ratio =
	    quantile(g_hash_table_lookup(estimates->image_runs, key), percent);

	if (ratio <= 0)
		ratio = quantile(
		    g_hash_table_lookup(estimates->queue_runs, queue), percent);
	if (ratio <= 0)
		ratio = percent > MEDIAN_PERCENT ? COLD_TAIL : COLD_MEDIAN;
	g_free(key);
	return (int64_t)((double)expected_ms * ratio);
}
