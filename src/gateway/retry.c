#include "bulrushpost/retry.h"

#include "bulrushpost/balancer.h"

#define PERCENT 100.0
/* Lets a gateway with few requests retry at all. */
#define TOKENS_AT_START 10.0
/* Bounds the burst of retries when endpoints fail after a quiet time. */
#define TOKENS_MAX 100.0

/* Starts with a small number of retries allowed. */
void
bp_retry_init(bp_retry_t *retry)
{
	bp_retry_set_budget(retry, BP_RETRY_BUDGET_PERCENT);
}

/*
 * Starts again with a budget in percent of all requests. Without a budget
 * there is no initial allowance either.
 */
void
bp_retry_set_budget(bp_retry_t *retry, uint32_t percent)
{
	retry->tokens = percent > 0 ? TOKENS_AT_START : 0;
	retry->tokens_per_request = percent / PERCENT;
}

/* Earns the budgeted share of a retry for a request, not for its retries. */
void
bp_retry_add_request(bp_retry_t *retry)
{
	retry->tokens += retry->tokens_per_request;
	if (retry->tokens > TOKENS_MAX)
		retry->tokens = TOKENS_MAX;
}

/*
 * Decides whether a failed attempt is followed by another and takes that
 * retry from the budget. Safety comes first: a request that is not
 * idempotent is repeated only when no attempt can have been written.
 */
bp_retry_verdict_t
bp_retry_decide(bp_retry_t *retry, const bp_retry_attempt_t *attempt)
{
	if (attempt->written && !attempt->idempotent)
		return BP_RETRY_UNSAFE;
	if (attempt->attempts >= BP_MAX_ATTEMPTS || attempt->left_ms <= 0)
		return BP_RETRY_EXHAUSTED;
	if (retry->tokens < 1)
		return BP_RETRY_NO_BUDGET;
	retry->tokens -= 1;
	return BP_RETRY_YES;
}

/* Returns why there was no retry, for the reason given to the caller. */
const char *
bp_retry_verdict_text(bp_retry_verdict_t verdict)
{
	switch (verdict) {
	case BP_RETRY_YES:
		return "retried";
	case BP_RETRY_UNSAFE:
		return "not retried because it might run twice";
	case BP_RETRY_EXHAUSTED:
		return "no attempt or time left";
	case BP_RETRY_NO_BUDGET:
		return "the budget for retries is used up";
	}
	return "not retried";
}
