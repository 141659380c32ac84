#ifndef BP_QUEUES_PAIRS_H
#define BP_QUEUES_PAIRS_H

#include <glib.h>
#include <stdint.h>

/*
 * Learns how much filling tasks of one image disturb serving tasks of
 * another, from measured tails. A tail is taken as
 * base x (1 + load + sum of weight x amount), where an amount is the share
 * of the executor's processors that the fillers of an image use.
 */
typedef struct bp_pairs bp_pairs_t;

/* Fillers of one image beside a serving task. */
typedef struct {
	const char *image;
	double amount; /* share of the executor's processors, 0 to 1 */
} bp_pairs_filler_t;

bp_pairs_t *bp_pairs_new(void);
void bp_pairs_free(bp_pairs_t *pairs);
/*
 * Learns from one measured tail; load is the task's own share, kept by the
 * caller between samples and updated here.
 */
void bp_pairs_learn(bp_pairs_t *pairs, const char *serving, double tail_ms,
    uint32_t target_ms, const GArray *fillers, double *load);
/* Weight of a pair, as added share of the base per unit of amount. */
double bp_pairs_weight(
    bp_pairs_t *pairs, const char *serving, const char *filler);
/* Base tail of an image as a share of a target. */
double bp_pairs_base(
    bp_pairs_t *pairs, const char *serving, uint32_t target_ms);

#endif
