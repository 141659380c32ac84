#include "bulrushpost/retry.h"

#include "bulrushpost/balancer.h"

#define PERCENT 100.0
/* Allows retries on a gateway that has seen few requests. */
#define INITIAL_TOKENS 10.0
/* Bounds a burst of retries when endpoints fail after a quiet period. */
#define MAX_TOKENS 100.0

/* Initializes the budget with the default percentage. */
void
bp_retry_init(bp_retry_t *retry)
{
	bp_retry_set_budget(retry, BP_RETRY_BUDGET_PERCENT);
}

/*
 * Resets the budget to a percentage of all requests. At 0 percent there is no
 * initial allowance either.
 */
void
bp_retry_set_budget(bp_retry_t *retry, uint32_t percent)
{
	retry->tokens = percent > 0 ? INITIAL_TOKENS : 0;
	retry->tokens_per_request = percent / PERCENT;
}

/* Credits one new request; its retries earn nothing. */
void
bp_retry_add_request(bp_retry_t *retry)
{
	retry->tokens += retry->tokens_per_request;
	if (retry->tokens > MAX_TOKENS)
		retry->tokens = MAX_TOKENS;
}

/*
 * Decides whether a failed attempt is retried and, if so, takes one token from
 * the budget. A request that is not idempotent is retried only if no attempt
 * can have been written, since it might run twice otherwise.
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

/* Describes a decision, for the reason in the error response. */
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
		return "the retry budget is used up";
	}
	return "not retried";
}
