#ifndef BP_TESTS_LOAD_H
#define BP_TESTS_LOAD_H

#include "support/cluster.h"

/*
 * Requests sent all the time to all nodes in turn: non-idempotent ones,
 * ones with an idempotency key, and idempotent ones.
 */
typedef struct {
	bp_reply_t *reply;
	char *path;
	guint node;
} bp_load_request_t;

typedef struct {
	bp_cluster_t *cluster;
	GPtrArray *requests; /* bp_load_request_t */
	const char *work_ms; /* that executors take */
	guint timer;
} bp_load_t;

bp_load_t *bp_load_new(
    bp_cluster_t *cluster, guint interval_ms, const char *work_ms);
/* Sends nothing more and waits for all replies. */
bool bp_load_stop(bp_load_t *load);
void bp_load_free(bp_load_t *load);
/*
 * Compares what callers were told with what was executed; prints and counts
 * the differences. graceful: no process was killed, so that a request without
 * an answer must not have been executed.
 */
guint bp_load_check(bp_load_t *load, bool graceful);

#endif
