#include "queues/estimates.h"

/* Before anything is known of a queue, estimates are taken as they are. */
#define FACTOR_UNKNOWN 1.0
/* Weight of one step in the smoothed mean and deviation (RFC 6298 has 1/8
 * and 1/4). */
#define MEAN_RATE 0.125
#define DEVIATION_RATE 0.25
/* One step that stood still for long is no measure of others. */
#define FACTOR_MAX 4.0

typedef struct {
	double mean;
	double deviation;
} ratio_t;

struct bp_estimates {
	GHashTable *queues; /* name to ratio_t */
};

/* Creates a table that knows no queue. */
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
	double seen = (double)took_ms / (double)MAX(expected_ms, 1);
	double off;

	seen = CLAMP(seen, 0, FACTOR_MAX);
	if (ratio == NULL) {
		ratio = g_new0(ratio_t, 1);
		ratio->mean = seen;
		g_hash_table_insert(estimates->queues, g_strdup(queue), ratio);
		return;
	}
	off = seen - ratio->mean;
	ratio->deviation += DEVIATION_RATE * (ABS(off) - ratio->deviation);
	ratio->mean += MEAN_RATE * off;
}

/* See the header. */
double
bp_estimates_factor(const bp_estimates_t *estimates, const char *queue)
{
	const ratio_t *ratio = g_hash_table_lookup(estimates->queues, queue);

	return ratio == NULL ? FACTOR_UNKNOWN : ratio->mean + ratio->deviation;
}
