#ifndef BP_QUEUES_CALLCOUNTERS_H
#define BP_QUEUES_CALLCOUNTERS_H

#include "bulrushpost/access.h"
#include "bulrushpost/metrics.h"

/* Counters of calls where the configuration has customers. */
typedef struct bp_call_counters bp_call_counters_t;

bp_call_counters_t *bp_call_counters_new(bp_metrics_t *metrics);
void bp_call_counters_free(bp_call_counters_t *counters);
/* Counts a decided call; has_key tells whether it carried a key. NULL counters
 * are allowed. */
void bp_call_counters_count(
    bp_call_counters_t *counters, const bp_access_t *access, bool has_key);

#endif
