#ifndef BP_QUEUES_CALLRETRY_H
#define BP_QUEUES_CALLRETRY_H

#include "bulrushpost/clock.h"

#include <stdbool.h>
#include <stdint.h>

/*
 * Decides whether a call is sent to the owner of its shard: keeps calls from
 * an owner that has stopped answering, and bounds the repeats of calls that
 * may have been taken to a part of all calls. Does no input or output.
 */
typedef struct bp_call_retry bp_call_retry_t;

typedef enum {
	BP_CALL_RETRY_NEW, /* was not sent yet */
	BP_CALL_RETRY_WAITED, /* waits for an owner; no attempt was taken */
	BP_CALL_RETRY_REPEATED /* an earlier attempt may have been taken */
} bp_call_retry_kind_t;

bp_call_retry_t *bp_call_retry_new(const bp_clock_t *clock, uint32_t shards);
/* NULL is allowed. */
void bp_call_retry_free(bp_call_retry_t *retry);
/* Returns whether to send a call to the owner at address, and counts it as
 * sent if so. */
bool bp_call_retry_send(bp_call_retry_t *retry, uint32_t shard,
    const char *address, bp_call_retry_kind_t kind);
/* The owner at address answered a call. */
void bp_call_retry_answered(
    bp_call_retry_t *retry, uint32_t shard, const char *address);
/* Returns the delay before attempt number attempt + 1, of a call that was
 * attempted so often. */
uint32_t bp_call_retry_delay_ms(uint32_t attempt);

#endif
