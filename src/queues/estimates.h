#ifndef BP_QUEUES_ESTIMATES_H
#define BP_QUEUES_ESTIMATES_H

#include <glib.h>
#include <stdint.h>

/*
 * Durations of the steps of each queue's jobs, as a multiple of the durations
 * that the jobs declare.
 */
typedef struct bp_estimates bp_estimates_t;

bp_estimates_t *bp_estimates_new(void);
void bp_estimates_free(bp_estimates_t *estimates);
/* Adds a step that took took_ms from its first start to its last end. */
void bp_estimates_note(bp_estimates_t *estimates, const char *queue,
    int64_t expected_ms, int64_t took_ms);
/* Returns a multiple that most steps of the queue do not exceed. */
double bp_estimates_factor(const bp_estimates_t *estimates, const char *queue);

#endif
