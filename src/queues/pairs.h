#ifndef BP_QUEUES_PAIRS_H
#define BP_QUEUES_PAIRS_H

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
typedef struct bp_pairs bp_pairs_t;

/* Fillers of one image on the executor of a serving task. */
typedef struct {
	const char *image;
	double amount; /* share of the executor's processors, or its change */
} bp_pairs_filler_t;

bp_pairs_t *bp_pairs_new(void);
void bp_pairs_free(bp_pairs_t *pairs);
/* Adds a sample: the loss of slack since the previous one, and the changes of
 * the fillers' amounts, bp_pairs_filler_t. */
void bp_pairs_learn(
    bp_pairs_t *pairs, const char *serving, double loss, const GArray *changes);
/* Fits the weights to the samples so far, then reduces those samples' weight.
 */
void bp_pairs_fit(bp_pairs_t *pairs);
/*
 * Serialize and read the weights. Load sets the weights of the pairs that the
 * bytes contain; it returns false and changes nothing for malformed bytes.
 */
GBytes *bp_pairs_save(const bp_pairs_t *pairs);
bool bp_pairs_load(bp_pairs_t *pairs, const uint8_t *bytes, size_t size_bytes);
/*
 * Returns the weights of a serving image, indexed by the term of the filler
 * image. They are owned by the model and change with each fit.
 */
const double *bp_pairs_weights(bp_pairs_t *pairs, const char *serving);
/* Returns the index of a filler image in the weights; adds it when new. */
uint32_t bp_pairs_term(bp_pairs_t *pairs, const char *filler);
/* Returns the slack that a serving image loses per unit of amount. */
double bp_pairs_weight(
    const bp_pairs_t *pairs, const char *serving, const char *filler);

#endif
