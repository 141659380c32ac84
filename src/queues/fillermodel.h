#ifndef BP_QUEUES_FILLERMODEL_H
#define BP_QUEUES_FILLERMODEL_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/*
 * Model of how much fillers of one image interfere with serving tasks of
 * another. The latency slack of a serving task is its target divided by its
 * tail latency; its own load and the fillers each reduce it. For each serving
 * image a least-squares fit explains the change of slack between samples by the
 * change of the fillers' CPU use; the task's own load changes slowly and
 * cancels out. Old samples lose weight exponentially, and weights are never
 * negative.
 */
typedef struct bp_filler_model bp_filler_model_t;

/* Filler images with a weight of their own; later ones share the last index. */
#define BP_FILLER_IMAGES_MAX 24
/* Length of a serving image's weights; index 0 stays unused. */
#define BP_FILLER_WEIGHTS (BP_FILLER_IMAGES_MAX + 1)

/* Fillers of one image on the executor of a serving task. */
typedef struct {
	const char *image;
	double cpu_share; /* of the executor's processors, or its change */
} bp_filler_usage_t;

bp_filler_model_t *bp_filler_model_new(void);
void bp_filler_model_free(bp_filler_model_t *model);
/* Adds a sample: the loss of slack since the previous one, and the changes of
 * the fillers' amounts, bp_filler_usage_t. */
void bp_filler_model_add_sample(bp_filler_model_t *model, const char *serving,
    double loss, const GArray *changes);
/* Fits the weights to the samples so far, then reduces those samples' weight.
 */
void bp_filler_model_fit(bp_filler_model_t *model);
/*
 * Serialize and read the weights. Load sets the weights of the pairs that the
 * bytes contain; it returns false and changes nothing for malformed bytes.
 */
GBytes *bp_filler_model_serialize(const bp_filler_model_t *model);
bool bp_filler_model_deserialize(
    bp_filler_model_t *model, const uint8_t *bytes, size_t size_bytes);
/*
 * Returns the weights of a serving image, indexed by the term of the filler
 * image. They are owned by the model and change with each fit.
 */
const double *bp_filler_model_weights(
    bp_filler_model_t *model, const char *serving);
/* Returns the index of a filler image in the weights; adds it when new. */
uint32_t bp_filler_model_index(bp_filler_model_t *model, const char *filler);
/*
 * Returns the mean weight of a filler image, by its index, over the serving
 * images, as of the last fit. A pair without samples counts with what is
 * assumed of it.
 */
double bp_filler_model_mean_weight(
    const bp_filler_model_t *model, uint32_t index);
/* Returns the slack that a serving image loses per unit of amount. */
double bp_filler_model_weight(
    const bp_filler_model_t *model, const char *serving, const char *filler);

#endif
