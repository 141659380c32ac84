#include "queues/pairs.h"

/* What is assumed of a pair that was never measured. */
#define WEIGHT_PRIOR 2.0
#define WEIGHT_MAX 40.0
/* A target is commonly five times the tail of an undisturbed task. */
#define BASE_SHARE_PRIOR 0.2
/* Step sizes of learning: weights, the task's own load, the base. */
#define RATE_WEIGHT 0.25
#define RATE_LOAD 0.2
#define RATE_BASE 0.05
/* Keeps small amounts from moving weights far. */
#define AMOUNT_FLOOR 0.01
/* Fillers below this amount count as none for learning the base. */
#define AMOUNT_NONE 0.005
#define LOAD_MAX 6.0

typedef struct {
	double tail_ms;
	GHashTable *weights; /* filler image to double */
} serving_t;

struct bp_pairs {
	GHashTable *servings; /* image to serving_t */
};

static void
serving_free(gpointer data)
{
	serving_t *serving = data;

	g_hash_table_unref(serving->weights);
	g_free(serving);
}

/* Creates a table in which every pair has the same weight. */
bp_pairs_t *
bp_pairs_new(void)
{
	bp_pairs_t *pairs = g_new0(bp_pairs_t, 1);

	pairs->servings = g_hash_table_new_full(
	    g_str_hash, g_str_equal, g_free, serving_free);
	return pairs;
}

/* Frees a table. NULL is allowed. */
void
bp_pairs_free(bp_pairs_t *pairs)
{
	if (pairs == NULL)
		return;
	g_hash_table_unref(pairs->servings);
	g_free(pairs);
}

static serving_t *
find_serving(bp_pairs_t *pairs, const char *image)
{
	serving_t *serving = g_hash_table_lookup(pairs->servings, image);

	if (serving != NULL)
		return serving;
	serving = g_new0(serving_t, 1);
	serving->weights =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	g_hash_table_insert(pairs->servings, g_strdup(image), serving);
	return serving;
}

static double *
find_weight(serving_t *serving, const char *filler)
{
	double *weight = g_hash_table_lookup(serving->weights, filler);

	if (weight != NULL)
		return weight;
	weight = g_new(double, 1);
	*weight = WEIGHT_PRIOR;
	g_hash_table_insert(serving->weights, g_strdup(filler), weight);
	return weight;
}

/* See the header. */
double
bp_pairs_weight(bp_pairs_t *pairs, const char *serving, const char *filler)
{
	return *find_weight(find_serving(pairs, serving), filler);
}

/* See the header. */
double
bp_pairs_base(bp_pairs_t *pairs, const char *serving, uint32_t target_ms)
{
	serving_t *found = find_serving(pairs, serving);

	if (found->tail_ms <= 0 || target_ms == 0)
		return BASE_SHARE_PRIOR;
	return found->tail_ms / target_ms;
}

/* See the header. */
void
bp_pairs_learn(bp_pairs_t *pairs, const char *image, double tail_ms,
    uint32_t target_ms, const GArray *fillers, double *load)
{
	serving_t *serving = find_serving(pairs, image);
	double predicted = 1 + *load;
	double norm = AMOUNT_FLOOR;
	double sum = 0;
	double error;
	guint i;

	if (tail_ms <= 0)
		return;
	for (i = 0; i < fillers->len; i++)
		sum += g_array_index(fillers, bp_pairs_filler_t, i).amount;
	if (serving->tail_ms <= 0)
		serving->tail_ms = target_ms * BASE_SHARE_PRIOR;
	if (sum < AMOUNT_NONE)
		serving->tail_ms +=
		    RATE_BASE * (tail_ms - serving->tail_ms);
	for (i = 0; i < fillers->len; i++) {
		const bp_pairs_filler_t *filler =
		    &g_array_index(fillers, bp_pairs_filler_t, i);

		predicted +=
		    *find_weight(serving, filler->image) * filler->amount;
		norm += filler->amount * filler->amount;
	}
	error = tail_ms / serving->tail_ms - predicted;
	for (i = 0; i < fillers->len; i++) {
		const bp_pairs_filler_t *filler =
		    &g_array_index(fillers, bp_pairs_filler_t, i);
		double *weight = find_weight(serving, filler->image);

		*weight = CLAMP(
		    *weight + RATE_WEIGHT * error * filler->amount / norm, 0,
		    WEIGHT_MAX);
	}
	*load = CLAMP(*load + RATE_LOAD * error, -1, LOAD_MAX);
}
