#ifndef BP_QUEUES_CANCELLEDIDS_H
#define BP_QUEUES_CANCELLEDIDS_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/*
 * IDs of jobs that were cancelled before they were known. A submission that
 * was delayed on its way and arrives after the cancel is recognized by them.
 * Bounded in time and number.
 */
typedef struct bp_cancelled_ids bp_cancelled_ids_t;

bp_cancelled_ids_t *bp_cancelled_ids_new(void);
/* NULL is allowed. */
void bp_cancelled_ids_free(bp_cancelled_ids_t *ids);
/* Adds an ID; when there are too many, the oldest one is dropped. now_ms is on
 * the monotonic clock. */
void bp_cancelled_ids_add(
    bp_cancelled_ids_t *ids, const char *queue, const char *id, int64_t now_ms);
bool bp_cancelled_ids_contains(
    const bp_cancelled_ids_t *ids, const char *queue, const char *id);
/* Drops the IDs that were added too long ago. */
void bp_cancelled_ids_expire(bp_cancelled_ids_t *ids, int64_t now_ms);
uint32_t bp_cancelled_ids_count(const bp_cancelled_ids_t *ids);

#endif
