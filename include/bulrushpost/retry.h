#ifndef BULRUSHPOST_RETRY_H
#define BULRUSHPOST_RETRY_H

#include <stdbool.h>
#include <stdint.h>

/* Default budget, in percent of all requests. */
#define BP_RETRY_BUDGET_PERCENT 10

/* Token bucket that limits retries to a share of requests. */
typedef struct {
	double tokens;
	double tokens_per_request;
} bp_retry_t;

/* A failed attempt and the state of its request. */
typedef struct {
	bool idempotent;
	bool written; /* an attempt may have reached an executor */
	uint32_t attempts; /* so far */
	int64_t left_ms; /* remaining time to the deadline */
} bp_retry_attempt_t;

typedef enum {
	BP_RETRY_YES,
	BP_RETRY_UNSAFE, /* it might run twice */
	BP_RETRY_EXHAUSTED, /* attempts or time used up */
	BP_RETRY_NO_BUDGET
} bp_retry_verdict_t;

void bp_retry_init(bp_retry_t *retry);
void bp_retry_set_budget(bp_retry_t *retry, uint32_t percent);
void bp_retry_add_request(bp_retry_t *retry);
bp_retry_verdict_t bp_retry_decide(
    bp_retry_t *retry, const bp_retry_attempt_t *attempt);
const char *bp_retry_verdict_text(bp_retry_verdict_t verdict);

#endif
