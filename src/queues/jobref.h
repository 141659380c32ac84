#ifndef BP_QUEUES_JOBREF_H
#define BP_QUEUES_JOBREF_H

#include "bulrushpost/catalog.h"
#include "proto/work.pb-c.h"

/*
 * References to jobs and queues, and what they refer to under the configuration
 * in force. A queue is the host and the path prefix of its route, whose name
 * may change; a job is its queue and its ID. See
 * docs/decisions/queue-identity.md.
 */

typedef enum {
	BP_JOB_REF_SAME,
	BP_JOB_REF_OTHER, /* a job of another queue with the same ID */
	/* The call was routed by a later configuration than the one in force
	 * here, which is needed to tell. */
	BP_JOB_REF_UNDECIDED
} bp_job_ref_match_t;

/* Points a reference at the texts of a job, which must outlive it. */
void bp_job_ref_init(Bp__Work__JobRef *ref, const Bp__Work__Job *job);
/* Creates a reference to a job, or to a queue with an empty ID, of a call that
 * the configuration of this version has routed. Free it with
 * bp__work__job_ref__free_unpacked(). */
Bp__Work__JobRef *bp_job_ref_new(
    const bp_queue_route_t *route, const char *id, uint64_t version);
/* Returns whether a reference tells host and prefix; those of earlier releases
 * do not. */
bool bp_job_ref_has_address(const Bp__Work__JobRef *ref);
/* Returns whether a call is for a known job, which has the same ID. catalog may
 * be NULL. */
bp_job_ref_match_t bp_job_ref_match(const bp_catalog_t *catalog,
    const Bp__Work__JobRef *known, const Bp__Work__JobRef *call);
/* Returns whether a known job belongs to the queue of a call. */
bool bp_job_ref_in_queue(const bp_catalog_t *catalog,
    const Bp__Work__JobRef *known, const Bp__Work__JobRef *call);
/* Returns a text that is the same for all jobs of a queue, to be freed: host
 * and prefix, or the name if these are not known. */
char *bp_job_ref_queue_key(const Bp__Work__JobRef *ref);
/* Returns the route in force of a job's queue: that of its host and prefix,
 * else the one of its name. NULL if the queue was removed. */
const bp_queue_route_t *bp_job_ref_route(
    const bp_catalog_t *catalog, const Bp__Work__JobRef *known);
/* Sets host and prefix of a job without them. Returns false, and changes
 * nothing, if it has them or if prefix is empty. */
bool bp_job_ref_set_address(
    Bp__Work__Job *job, const char *host, const char *prefix);
/* The same with the route in force that has the name of the job's queue, for a
 * job that an earlier release accepted. */
bool bp_job_ref_resolve(const bp_catalog_t *catalog, Bp__Work__Job *job);

#endif
