#include "queues/estimates.h"

/* Factor of a queue without samples: its declared durations are used. */
#define FACTOR_DEFAULT 1.0
/* Weights of one step in the smoothed mean and deviation, as in RFC 6298. */
#define MEAN_RATE 0.125
#define DEVIATION_RATE 0.25
/* Bound of one sample: a step that stalled says nothing about others. */
#define SAMPLE_MAX 4.0

typedef struct {
	double mean;
	double deviation;
} ratio_t;

struct bp_estimates {
	GHashTable *queues; /* name to ratio_t */
};

/* Creates a table without samples. */
bp_estimates_t *
bp_estimates_new(void)
{
	bp_estimates_t *estimates = g_new0(bp_estimates_t, 1);

	estimates->queues =
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
	g_free(estimates);
}

/* See the header. */
void
bp_estimates_note(bp_estimates_t *estimates, const char *queue,
    int64_t expected_ms, int64_t took_ms)
{
	ratio_t *ratio = g_hash_table_lookup(estimates->queues, queue);
	double sample = (double)took_ms / (double)MAX(expected_ms, 1);
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
