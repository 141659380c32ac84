#ifndef BP_QUEUES_ESTIMATES_H
#define BP_QUEUES_ESTIMATES_H

#include <glib.h>
#include <stdint.h>

/*
 * How long the steps of each queue's jobs take, as a multiple of what the
 * jobs say of them.
 */
typedef struct bp_estimates bp_estimates_t;

bp_estimates_t *bp_estimates_new(void);
void bp_estimates_free(bp_estimates_t *estimates);
/* A step took so long from its first start to its last end. */
void bp_estimates_note(bp_estimates_t *estimates, const char *queue,
    int64_t expected_ms, int64_t took_ms);
/* A multiple that most steps of the queue keep within. */
double bp_estimates_factor(const bp_estimates_t *estimates, const char *queue);

#endif
