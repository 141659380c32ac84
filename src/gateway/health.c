#include "gateway/health.h"

#define US_PER_S 1000000
#define EJECT_AFTER_FAILURES 3
#define HEALTHY_AFTER_SUCCESSES 3
#define INITIAL_EJECTION_US (2 * (int64_t)US_PER_S)
#define MAX_EJECTION_US (60 * (int64_t)US_PER_S)
/* A service may have no idempotent requests to use as probes. */
#define PROBE_NON_IDEMPOTENT_AFTER_US (10 * (int64_t)US_PER_S)

static void
eject(bp_health_t *health, int64_t now_us)
{
	int64_t ejection_us = INITIAL_EJECTION_US;
	uint32_t i;

	for (i = 0; i < health->ejections && ejection_us < MAX_EJECTION_US; i++)
		ejection_us *= 2;
	health->ejections++;
	health->state = BP_HEALTH_EJECTED;
	health->until_us = now_us + MIN(ejection_us, MAX_EJECTION_US);
	health->successes_in_row = 0;
}

static void
add_success(bp_health_t *health)
{
	health->failures_in_row = 0;
	health->successes_in_row++;
	if (health->state == BP_HEALTH_LIVE ||
	    health->successes_in_row < HEALTHY_AFTER_SUCCESSES)
		return;
	health->state = BP_HEALTH_LIVE;
	health->ejections = 0;
}

/*
 * Updates health with the result of an attempt and returns whether the endpoint
 * was ejected. A single refused connection is sufficient; other failures must
 * be EJECT_AFTER_FAILURES consecutive ones. A failed probe always ejects again,
 * since the endpoint still counts as ejected on probation.
 */
bool
bp_health_add(
    bp_health_t *health, bp_result_t result, bool may_eject, int64_t now_us)
{
	if (result == BP_RESULT_ABANDONED)
		return false;
	if (result == BP_RESULT_OK) {
		add_success(health);
		return false;
	}
	health->successes_in_row = 0;
	health->failures_in_row++;
	if (health->state == BP_HEALTH_EJECTED)
		return false;
	if (health->state == BP_HEALTH_LIVE) {
		if (!may_eject)
			return false;
		if (result != BP_RESULT_REFUSED &&
		    health->failures_in_row < EJECT_AFTER_FAILURES)
			return false;
	}
	eject(health, now_us);
	return true;
}

/*
 * Returns whether the health of an endpoint allows another request, and starts
 * the probation once the ejection is over. A probe may fail after it was
 * written; requests that are not idempotent are therefore used as probes only
 * some time later.
 */
bool
bp_health_may_send(
    bp_health_t *health, uint32_t in_flight, int64_t now_us, bool idempotent)
{
	if (health->state == BP_HEALTH_EJECTED) {
		if (now_us < health->until_us)
			return false;
		health->state = BP_HEALTH_PROBATION;
	}
	if (health->state == BP_HEALTH_LIVE)
		return true;
	if (in_flight > 0)
		return false;
	return idempotent ||
	    now_us - health->until_us >= PROBE_NON_IDEMPOTENT_AFTER_US;
}
