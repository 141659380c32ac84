#ifndef BP_QUEUES_ESTIMATES_H
#define BP_QUEUES_ESTIMATES_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/*
 * What is learned of each queue, under a key of the caller's: the work of its
 * jobs' steps and the durations of single runs as a multiple of the durations
 * that the jobs declare, and how long steps take as a multiple of their work.
 */
typedef struct bp_estimates bp_estimates_t;

bp_estimates_t *bp_estimates_new(void);
void bp_estimates_free(bp_estimates_t *estimates);
/* Adds a step that took took_ms from its first start to its last end, and that
 * would have taken work_ms without delays. */
void bp_estimates_add_sample(bp_estimates_t *estimates, const char *queue,
    int64_t work_ms, int64_t took_ms);
/* Returns a multiple that most steps of the queue do not exceed. */
double bp_estimates_factor(const bp_estimates_t *estimates, const char *queue);
/* Adds a step whose longest run took work_ms without delays. */
void bp_estimates_add_work(bp_estimates_t *estimates, const char *queue,
    int64_t expected_ms, int64_t work_ms);
/* Returns the mean work of the queue's steps as a multiple of what they
 * declare; 1 before the first sample. */
double bp_estimates_work(const bp_estimates_t *estimates, const char *queue);
/* Serialize and read the work of all queues; what was read counts like samples
 * of this owner. Returns whether the bytes are well-formed. */
GBytes *bp_estimates_serialize_works(const bp_estimates_t *estimates);
bool bp_estimates_deserialize_works(
    bp_estimates_t *estimates, const uint8_t *bytes, size_t size_bytes);
/* Moves the work of a queue to another name, unless that has some. */
void bp_estimates_rename_work(
    bp_estimates_t *estimates, const char *queue, const char *name);
/* Appends the factors of all queues to a log line, by name. */
void bp_estimates_describe(const bp_estimates_t *estimates, GString *out);

/* Adds a run that ended well and took took_ms from its start order to its
 * reported end. */
void bp_estimates_add_run(bp_estimates_t *estimates, const char *queue,
    const char *image, int64_t expected_ms, int64_t took_ms);
/*
 * Returns a duration that this share of the runs of the queue and image does
 * not exceed, in percent of all runs. Before there are enough samples of the
 * image it is that of the queue, then a multiple of the declared duration.
 */
int64_t bp_estimates_run_ms(bp_estimates_t *estimates, const char *queue,
    const char *image, int64_t expected_ms, uint32_t percent);

#endif
