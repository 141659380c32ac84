#ifndef BP_QUEUES_PAIRS_H
#define BP_QUEUES_PAIRS_H

#include <glib.h>
#include <stdint.h>

/*
 * Learns how much filling tasks of one image disturb serving tasks of
 * another, from measured tails: for each serving image a least-squares fit
 * of tail / target = base + sum of weight x amount over the filler images,
 * in which old samples fade and weights are never negative.
 */
typedef struct bp_pairs bp_pairs_t;

/* Fillers of one image beside a serving task. */
typedef struct {
	const char *image;
	double amount; /* share of the executor's processors, 0 to 1 */
} bp_pairs_filler_t;

bp_pairs_t *bp_pairs_new(void);
void bp_pairs_free(bp_pairs_t *pairs);
/* Takes one measured tail, as a share of its target. */
void bp_pairs_learn(bp_pairs_t *pairs, const char *serving, double tail_share,
    const GArray *fillers);
/* Fits the weights to the samples so far and fades those. */
void bp_pairs_fit(bp_pairs_t *pairs);
/* Share of the target that the tail grows per unit of amount. */
double bp_pairs_weight(
    const bp_pairs_t *pairs, const char *serving, const char *filler);
/* Tail without fillers as a share of the target. */
double bp_pairs_base(const bp_pairs_t *pairs, const char *serving);

#endif
