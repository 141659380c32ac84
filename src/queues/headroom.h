#ifndef BP_QUEUES_HEADROOM_H
#define BP_QUEUES_HEADROOM_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/*
 * Admission of long-running jobs. They hold their processors for minutes; once
 * they have all but fragments, short urgent work waits for as long, and so does
 * batch, which runs beside them. For each service the processors that short
 * urgent work has asked for lately are kept from further long-running jobs.
 */
typedef struct bp_headroom bp_headroom_t;

/* What is requested of a service's processors. */
typedef struct {
	uint64_t cpu_milli; /* of its executors */
	uint64_t lasting_milli; /* by long-running tasks that have not ended */
	uint64_t urgent_milli; /* by short urgent tasks that could run */
} bp_headroom_load_t;

bp_headroom_t *bp_headroom_new(void);
/* NULL is allowed. */
void bp_headroom_free(bp_headroom_t *headroom);
/* Notes what short urgent work of a service requests at a time, monotonic. */
void bp_headroom_observe(bp_headroom_t *headroom, const char *service,
    uint64_t urgent_milli, int64_t now_ms);
/*
 * Returns whether a service has processors for a long-running job that requests
 * so many. Without urgent work it always has, and without long-running tasks: a
 * job may be larger than the service.
 */
bool bp_headroom_admits(bp_headroom_t *headroom, const char *service,
    const bp_headroom_load_t *load, uint64_t request_milli, int64_t now_ms);

#endif
