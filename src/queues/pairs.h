#ifndef BP_QUEUES_PAIRS_H
#define BP_QUEUES_PAIRS_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/*
 * Learns how much filling tasks of one image disturb serving tasks of
 * another. A serving task's calm is its target divided by its tail: load
 * and fillers each take a part of it. For each serving image a least-squares
 * fit explains how calm changes from sample to sample by the fillers' use of
 * the processors; a task's own load changes slowly and cancels out. Old
 * samples fade and weights are never negative.
 */
typedef struct bp_pairs bp_pairs_t;

/* Fillers of one image beside a serving task. */
typedef struct {
	const char *image;
	double amount; /* share of the executor's processors, or its change */
} bp_pairs_filler_t;

bp_pairs_t *bp_pairs_new(void);
void bp_pairs_free(bp_pairs_t *pairs);
/* Takes the loss of calm between two samples and the changed amounts. */
void bp_pairs_learn(
    bp_pairs_t *pairs, const char *serving, double loss, const GArray *changes);
/* Fits the weights to the samples so far and fades those. */
void bp_pairs_fit(bp_pairs_t *pairs);
/*
 * The weights learned so far, serialized, and back; load adds to them and
 * returns false, with nothing added, for bytes that cannot be read.
 */
GBytes *bp_pairs_save(const bp_pairs_t *pairs);
bool bp_pairs_load(bp_pairs_t *pairs, const uint8_t *bytes, size_t size_bytes);
/*
 * The weights of a serving image, by the terms of filling images; they live
 * as long as the table and change with each fit.
 */
const double *bp_pairs_weights(bp_pairs_t *pairs, const char *serving);
uint32_t bp_pairs_term(bp_pairs_t *pairs, const char *filler);
/* Calm that a serving image loses per unit of amount. */
double bp_pairs_weight(
    const bp_pairs_t *pairs, const char *serving, const char *filler);

#endif
