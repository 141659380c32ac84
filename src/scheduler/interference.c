#include "bulrushpost/interference.h"

#include <glib.h>
#include <math.h>
#include <string.h>

/* Relative standard deviation of a report; its noise is at least a tenth. */
#define NOISE 0.15
#define PRIOR 0.7
#define HALF_LIFE_MS (20U * 60 * 1000)
#define KINDS_MAX 48U
/* The first inputs of each model: a constant and the service's own load. */
#define INPUT_BASE 0
#define INPUT_LOAD 1
#define INPUTS_OWN 2
/* The first inputs drift faster than the effects of co-located tasks. */
#define OWN_INPUT_DRIFT 10.0
/* Higher loads are cut: queues grow without bound and explain little. */
#define LOAD_MAX 0.95
/* Larger slowdowns are cut, or one report would outweigh all others. */
#define EXCESS_MAX 4.0
/* Bound of the filter's innovation, in standard deviations. */
#define INNOVATION_MAX 3.0
/* Standard deviations subtracted for the lower bound of an effect. */
#define CONFIDENCE_SD 1.0

typedef struct {
	GPtrArray *kinds; /* char *, at the input's index less INPUTS_OWN */
	GArray *seen_ms; /* int64_t: last report of each kind */
	double *mean;
	double *cov; /* size x size, row by row */
	double *gain; /* scratch */
	uint32_t size;
	int64_t at_ms;
} model_t;

struct bp_interference {
	bp_interference_options_t options;
	GHashTable *models; /* service -> model_t */
};

/* Sets the defaults, which are explained at the constants above. */
int
bp_interference_options_init(bp_interference_options_t *options)
{
	options->noise = NOISE;
	options->prior = PRIOR;
	options->forget_ms = HALF_LIFE_MS;
	options->kinds_max = KINDS_MAX;
	return 0;
}

static void
model_free(void *data)
{
	model_t *model = data;

	g_ptr_array_unref(model->kinds);
	g_array_unref(model->seen_ms);
	g_free(model->mean);
	g_free(model->cov);
	g_free(model->gain);
	g_free(model);
}

/* Creates estimates without any data. Free with bp_interference_free. */
bp_interference_t *
bp_interference_new(const bp_interference_options_t *options)
{
	bp_interference_t *self = g_new0(bp_interference_t, 1);

	self->options = *options;
	self->models =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, model_free);
	return self;
}

/* Frees the estimates. NULL is allowed. */
void
bp_interference_free(bp_interference_t *interference)
{
	if (interference == NULL)
		return;
	g_hash_table_unref(interference->models);
	g_free(interference);
}

static double *
cell(const model_t *model, uint32_t row, uint32_t column)
{
	return &model->cov[(size_t)row * model->size + column];
}

static void
reset_input(model_t *model, uint32_t input, double prior)
{
	uint32_t i;

	model->mean[input] = 0;
	for (i = 0; i < model->size; i++) {
		*cell(model, input, i) = 0;
		*cell(model, i, input) = 0;
	}
	*cell(model, input, input) = prior * prior;
}

static void
add_input(model_t *model, double prior)
{
	uint32_t old = model->size;
	double *cov = model->cov;
	uint32_t i;

	model->size = old + 1;
	model->mean = g_renew(double, model->mean, model->size);
	model->gain = g_renew(double, model->gain, model->size);
	model->cov = g_new0(double, (size_t)model->size * model->size);
	for (i = 0; i < old; i++)
		memcpy(cell(model, i, 0), &cov[(size_t)i * old],
		    old * sizeof(double));
	g_free(cov);
	reset_input(model, old, prior);
}

static model_t *
model_of(bp_interference_t *self, const char *service, int64_t at_ms)
{
	model_t *model = g_hash_table_lookup(self->models, service);
	int i;

	if (model != NULL)
		return model;
	model = g_new0(model_t, 1);
	model->kinds = g_ptr_array_new_with_free_func(g_free);
	model->seen_ms = g_array_new(FALSE, FALSE, sizeof(int64_t));
	model->at_ms = at_ms;
	for (i = 0; i < INPUTS_OWN; i++)
		add_input(model, self->options.prior);
	g_hash_table_insert(self->models, g_strdup(service), model);
	return model;
}

static int
find_kind(const model_t *model, const char *kind)
{
	guint i;

	for (i = 0; i < model->kinds->len; i++) {
		if (strcmp(g_ptr_array_index(model->kinds, i), kind) == 0)
			return (int)i;
	}
	return -1;
}

static guint
oldest_kind(const model_t *model)
{
	guint oldest = 0;
	guint i;

	for (i = 1; i < model->seen_ms->len; i++) {
		if (g_array_index(model->seen_ms, int64_t, i) <
		    g_array_index(model->seen_ms, int64_t, oldest))
			oldest = i;
	}
	return oldest;
}

/* Returns the input of a kind; a new kind may replace the least recent. */
static uint32_t
input_of(
    bp_interference_t *self, model_t *model, const char *kind, int64_t at_ms)
{
	int known = find_kind(model, kind);
	guint i = (guint)known;

	if (known < 0 && model->kinds->len >= self->options.kinds_max) {
		i = oldest_kind(model);
		g_free(model->kinds->pdata[i]);
		model->kinds->pdata[i] = g_strdup(kind);
		reset_input(model, i + INPUTS_OWN, self->options.prior);
	} else if (known < 0) {
		i = model->kinds->len;
		g_ptr_array_add(model->kinds, g_strdup(kind));
		g_array_set_size(model->seen_ms, i + 1);
		add_input(model, self->options.prior);
	}
	g_array_index(model->seen_ms, int64_t, i) = at_ms;
	return i + INPUTS_OWN;
}

/*
 * Adds process noise, so that variances return to the prior. The increment
 * shrinks as a variance approaches the prior; clamping the variance instead
 * would leave an invalid covariance matrix.
 */
static void
forget(const bp_interference_t *self, model_t *model, int64_t at_ms)
{
	double prior = self->options.prior * self->options.prior;
	double step = (double)MAX(at_ms - model->at_ms, (int64_t)0) /
	    MAX(self->options.forget_ms, 1U);
	uint32_t i;

	if (at_ms <= model->at_ms)
		return;
	model->at_ms = at_ms;
	for (i = 0; i < model->size; i++) {
		double *variance = cell(model, i, i);
		double rate = i < INPUTS_OWN ? OWN_INPUT_DRIFT : 1.0;

		if (*variance < prior)
			*variance +=
			    (prior - *variance) * MIN(rate * step * 0.5, 1.0);
	}
}

/* gain = covariance * inputs; returns the variance of the prediction. */
static double
project(model_t *model, const double *inputs)
{
	double variance = 0;
	uint32_t i;
	uint32_t j;

	for (i = 0; i < model->size; i++) {
		model->gain[i] = 0;
		for (j = 0; j < model->size; j++)
			model->gain[i] += *cell(model, i, j) * inputs[j];
		variance += inputs[i] * model->gain[i];
	}
	return variance;
}

/* Kalman filter update with a scalar measurement. */
static void
update(const bp_interference_t *self, model_t *model, const double *inputs,
    double excess)
{
	double noise = self->options.noise * (1.0 + excess);
	double predicted = 0;
	double innovation;
	double total;
	uint32_t i;
	uint32_t j;

	for (i = 0; i < model->size; i++)
		predicted += model->mean[i] * inputs[i];
	total = project(model, inputs) + noise * noise;
	innovation = excess - predicted;
	innovation = CLAMP(innovation, -INNOVATION_MAX * sqrt(total),
	    INNOVATION_MAX * sqrt(total));
	for (i = 0; i < model->size; i++) {
		model->mean[i] += model->gain[i] * innovation / total;
		for (j = 0; j < model->size; j++)
			*cell(model, i, j) -=
			    model->gain[i] * model->gain[j] / total;
	}
}

/* See the header. The weights of tasks of one kind are added. */
void
bp_interference_report(bp_interference_t *interference, const char *service,
    double slowdown, double load, const bp_neighbour_t *neighbours,
    size_t n_neighbours, int64_t at_ms)
{
	model_t *model = model_of(interference, service, at_ms);
	double own = CLAMP(load, 0, LOAD_MAX);
	double *inputs;
	size_t i;

	for (i = 0; i < n_neighbours; i++)
		(void)input_of(interference, model, neighbours[i].kind, at_ms);
	forget(interference, model, at_ms);
	inputs = g_new0(double, MAX(model->size, (uint32_t)INPUTS_OWN));
	inputs[INPUT_BASE] = 1.0;
	inputs[INPUT_LOAD] = own / (1.0 - own);
	for (i = 0; i < n_neighbours; i++) {
		int kind = find_kind(model, neighbours[i].kind);

		if (kind >= 0)
			inputs[kind + INPUTS_OWN] += neighbours[i].weight;
	}
	update(
	    interference, model, inputs, CLAMP(slowdown - 1.0, 0, EXCESS_MAX));
	g_free(inputs);
}

/* See the header. */
bp_estimate_t
bp_interference_estimate(const bp_interference_t *interference,
    const char *kind, const char *service)
{
	const model_t *model =
	    g_hash_table_lookup(interference->models, service);
	bp_estimate_t estimate = {0, interference->options.prior};
	int known = model != NULL ? find_kind(model, kind) : -1;
	uint32_t input;

	if (known < 0)
		return estimate;
	input = (uint32_t)known + INPUTS_OWN;
	estimate.mean = model->mean[input];
	estimate.sd = sqrt(MAX(*cell(model, input, input), 0));
	return estimate;
}

/* See the header: the mean less one standard deviation, at least 0. */
double
bp_interference_expected(const bp_interference_t *interference,
    const char *kind, const char *service)
{
	bp_estimate_t estimate =
	    bp_interference_estimate(interference, kind, service);

	return MAX(estimate.mean - CONFIDENCE_SD * estimate.sd, 0);
}
