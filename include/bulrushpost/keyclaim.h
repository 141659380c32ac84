#ifndef BULRUSHPOST_KEYCLAIM_H
#define BULRUSHPOST_KEYCLAIM_H

#include "bulrushpost/appender.h"
#include "bulrushpost/gateway.h"

/* Claims idempotency keys in the log for the gateway. */
typedef struct bp_keyclaim bp_keyclaim_t;

typedef struct {
	const bp_clock_t *clock;
	bp_logger_t *logger;
	bp_appender_t *appender;
	bp_follower_t *follower;
	const char *node; /* own name; not copied */
	uint32_t timeout_ms; /* a claim waits at most this long for the log */
} bp_keyclaim_options_t;

bp_keyclaim_t *bp_keyclaim_new(const bp_keyclaim_options_t *options);
/* Free the appender first. Open queries to other nodes end here. */
void bp_keyclaim_free(bp_keyclaim_t *keyclaim);
const bp_key_claimer_t *bp_keyclaim_claimer(const bp_keyclaim_t *keyclaim);

#endif
