#include "queues/fillermodel.h"

#include "bulrushpost/message.h"
#include "proto/work.pb-c.h"

#include <string.h>

/* Weight that is assumed of a pair, and the evidence that it counts as. */
#define WEIGHT_ASSUMED 1.5
#define WEIGHT_EVIDENCE 0.05
/* Factor for the evidence at each fit; it halves in about 35 fits. */
#define EVIDENCE_DECAY 0.98
#define COLUMNS BP_FILLER_WEIGHTS

/* Normal equations of one serving image; index 0 stays unused. */
typedef struct {
	double products[COLUMNS][COLUMNS];
	double targets[COLUMNS];
	double weights[COLUMNS];
	double assumed[COLUMNS]; /* weights before any sample */
} fit_t;

struct bp_filler_model {
	GHashTable *servings; /* image to fit_t */
	GHashTable *fillers; /* image to index in the weights */
	double means[COLUMNS]; /* of the weights of all servings */
};

/* Creates a model in which every pair has the same weight. */
bp_filler_model_t *
bp_filler_model_new(void)
{
	bp_filler_model_t *model = g_new0(bp_filler_model_t, 1);
	uint32_t i;

	for (i = 0; i < COLUMNS; i++)
		model->means[i] = WEIGHT_ASSUMED;
	model->servings =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	model->fillers =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	return model;
}

/* Frees a model. NULL is allowed. */
void
bp_filler_model_free(bp_filler_model_t *model)
{
	if (model == NULL)
		return;
	g_hash_table_unref(model->servings);
	g_hash_table_unref(model->fillers);
	g_free(model);
}

static fit_t *
get_fit(bp_filler_model_t *model, const char *image)
{
	fit_t *fit = g_hash_table_lookup(model->servings, image);
	uint32_t i;

	if (fit != NULL)
		return fit;
	fit = g_new0(fit_t, 1);
	for (i = 0; i < COLUMNS; i++)
		fit->weights[i] = fit->assumed[i] = WEIGHT_ASSUMED;
	g_hash_table_insert(model->servings, g_strdup(image), fit);
	return fit;
}

/* Returns the index of a filler image, 0 when it is unknown. */
static uint32_t
find_filler_index(const bp_filler_model_t *model, const char *image)
{
	return GPOINTER_TO_UINT(g_hash_table_lookup(model->fillers, image));
}

static uint32_t
get_filler_index(bp_filler_model_t *model, const char *image)
{
	uint32_t index = find_filler_index(model, image);

	if (index != 0)
		return index;
	index =
	    MIN(g_hash_table_size(model->fillers) + 1, BP_FILLER_IMAGES_MAX);
	g_hash_table_insert(
	    model->fillers, g_strdup(image), GUINT_TO_POINTER(index));
	return index;
}

/* See the header. */
void
bp_filler_model_add_sample(bp_filler_model_t *model, const char *serving,
    double loss, const GArray *changes)
{
	fit_t *fit = get_fit(model, serving);
	double row[COLUMNS] = {0};
	uint32_t n;
	uint32_t i;
	uint32_t k;

	for (i = 0; i < changes->len; i++) {
		const bp_filler_usage_t *change =
		    &g_array_index(changes, bp_filler_usage_t, i);

		row[get_filler_index(model, change->image)] +=
		    change->cpu_share;
	}
	n = MIN(g_hash_table_size(model->fillers) + 1, COLUMNS);
	for (i = 1; i < n; i++) {
		if (row[i] == 0)
			continue;
		for (k = 1; k < n; k++)
			fit->products[i][k] += row[i] * row[k];
		fit->targets[i] += row[i] * loss;
	}
}

/* Does one sweep of coordinate descent with weights of at least 0. */
static void
descend(fit_t *fit, uint32_t n)
{
	uint32_t i;
	uint32_t k;

	for (i = 1; i < n; i++) {
		double diagonal = fit->products[i][i] + WEIGHT_EVIDENCE;
		double residual =
		    fit->targets[i] + WEIGHT_EVIDENCE * fit->assumed[i];

		for (k = 1; k < n; k++) {
			if (k != i)
				residual -=
				    fit->products[i][k] * fit->weights[k];
		}
		fit->weights[i] = MAX(residual / diagonal, 0);
	}
}

static void
update_means(bp_filler_model_t *model)
{
	guint servings = g_hash_table_size(model->servings);
	double sums[COLUMNS] = {0};
	GHashTableIter iter;
	gpointer value;
	uint32_t i;

	if (servings == 0)
		return;
	g_hash_table_iter_init(&iter, model->servings);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		for (i = 1; i < COLUMNS; i++)
			sums[i] += ((const fit_t *)value)->weights[i];
	}
	for (i = 1; i < COLUMNS; i++)
		model->means[i] = sums[i] / servings;
}

/* See the header. */
double
bp_filler_model_mean_weight(const bp_filler_model_t *model, uint32_t index)
{
	return model->means[index];
}

/* See the header. Weights change little between fits: a few sweeps suffice. */
void
bp_filler_model_fit(bp_filler_model_t *model)
{
	uint32_t n = MIN(g_hash_table_size(model->fillers) + 1, COLUMNS);
	GHashTableIter iter;
	gpointer value;
	uint32_t i;
	uint32_t k;

	g_hash_table_iter_init(&iter, model->servings);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		fit_t *fit = value;

		for (i = 0; i < 4; i++)
			descend(fit, n);
		for (i = 0; i < n; i++) {
			for (k = 0; k < n; k++)
				fit->products[i][k] *= EVIDENCE_DECAY;
			fit->targets[i] *= EVIDENCE_DECAY;
		}
	}
	update_means(model);
}

/* See the header. */
const double *
bp_filler_model_weights(bp_filler_model_t *model, const char *serving)
{
	return get_fit(model, serving)->weights;
}

/* See the header. */
uint32_t
bp_filler_model_index(bp_filler_model_t *model, const char *filler)
{
	return get_filler_index(model, filler);
}

/* See the header. */
double
bp_filler_model_weight(
    const bp_filler_model_t *model, const char *serving, const char *filler)
{
	const fit_t *fit = g_hash_table_lookup(model->servings, serving);
	uint32_t index = find_filler_index(model, filler);

	return fit == NULL || index == 0 ? WEIGHT_ASSUMED : fit->weights[index];
}

static void
add_pair(Bp__Work__Pairs *out, const char *serving, const char *filler,
    double weight)
{
	Bp__Work__Pair *pair = g_new(Bp__Work__Pair, 1);

	bp__work__pair__init(pair);
	pair->serving = (char *)serving;
	pair->filler = (char *)filler;
	pair->weight = weight;
	out->pairs[out->n_pairs++] = pair;
}

/* See the header. */
GBytes *
bp_filler_model_serialize(const bp_filler_model_t *model)
{
	Bp__Work__Pairs out = BP__WORK__PAIRS__INIT;
	GHashTableIter servings;
	GHashTableIter fillers;
	gpointer serving;
	gpointer filler;
	gpointer fit;
	gpointer term;
	GBytes *bytes;
	size_t i;

	out.pairs = g_new(Bp__Work__Pair *,
	    g_hash_table_size(model->servings) *
		    g_hash_table_size(model->fillers) +
		1);
	g_hash_table_iter_init(&servings, model->servings);
	while (g_hash_table_iter_next(&servings, &serving, &fit)) {
		g_hash_table_iter_init(&fillers, model->fillers);
		while (g_hash_table_iter_next(&fillers, &filler, &term))
			add_pair(&out, serving, filler,
			    ((fit_t *)fit)->weights[GPOINTER_TO_UINT(term)]);
	}
	bytes = bp_message_pack(&out.base);
	for (i = 0; i < out.n_pairs; i++)
		g_free(out.pairs[i]);
	g_free(out.pairs);
	return bytes;
}

/* See the header. */
bool
bp_filler_model_deserialize(
    bp_filler_model_t *model, const uint8_t *bytes, size_t size_bytes)
{
	Bp__Work__Pairs *in = bp__work__pairs__unpack(NULL, size_bytes, bytes);
	size_t i;

	if (in == NULL)
		return false;
	for (i = 0; i < in->n_pairs; i++) {
		const Bp__Work__Pair *pair = in->pairs[i];
		fit_t *fit = get_fit(model, pair->serving);
		uint32_t index = get_filler_index(model, pair->filler);

		fit->weights[index] = MAX(pair->weight, 0);
		fit->assumed[index] = fit->weights[index];
	}
	bp__work__pairs__free_unpacked(in, NULL);
	return true;
}
