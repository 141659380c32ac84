#ifndef BP_QUEUES_CANCELLEDIDS_H
#define BP_QUEUES_CANCELLEDIDS_H

#include "queues/jobref.h"

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
/* Adds the ID of a cancelled job; when there are too many, the oldest one is
 * dropped. now_ms is on the monotonic clock. */
void bp_cancelled_ids_add(bp_cancelled_ids_t *ids, const bp_catalog_t *catalog,
    const Bp__Work__JobRef *job, int64_t now_ms);
/* Returns whether a submission is that of a cancelled job. */
bp_job_ref_match_t bp_cancelled_ids_match(const bp_cancelled_ids_t *ids,
    const bp_catalog_t *catalog, const Bp__Work__JobRef *call);
/* Drops the IDs that were added too long ago. */
void bp_cancelled_ids_expire(bp_cancelled_ids_t *ids, int64_t now_ms);
uint32_t bp_cancelled_ids_count(const bp_cancelled_ids_t *ids);

#endif
