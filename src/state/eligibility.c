#include "bulrushpost/constraints.h"
#include "bulrushpost/resources.h"

/* Stores the details of a cause; for rules the first one found. */
static void
keep_facts(const bp_exclusion_t *exclusion, void *data)
{
	bp_eligibility_facts_t *facts = data;

	if (exclusion->cause == BP_CAUSE_RULE && facts->rule == NULL)
		facts->rule = exclusion->rule;
	if (exclusion->cause == BP_CAUSE_QUOTA)
		facts->quota = exclusion->rule;
	if (exclusion->cause == BP_CAUSE_HEADROOM && facts->headroom == NULL)
		facts->headroom = exclusion->rule;
	if (exclusion->zone != NULL)
		facts->zone = exclusion->zone;
	if (exclusion->vm != NULL)
		facts->vm = exclusion->vm;
	if (bp_resources_is_zero(&facts->shortfall))
		facts->shortfall = exclusion->shortfall;
}

/*
 * See the header. facts->shortfall is the first one found: capacity before
 * quota before headroom.
 */
uint32_t
bp_eligibility_check(const bp_state_t *state, const bp_job_t *job,
    const bp_vm_t *vm, bp_eligibility_facts_t *facts)
{
	bp_eligibility_facts_t none = {0};
	bp_constraints_t constraints;
	uint32_t causes;

	bp_constraints_init(&constraints, state, job);
	causes =
	    bp_constraints_check(&constraints, vm, NULL, keep_facts, &none);
	bp_constraints_clear(&constraints);
	if (facts != NULL)
		*facts = none;
	return causes;
}

/* Returns the name of a cause as shown in reasons. */
const char *
bp_cause_name(bp_cause_t cause)
{
	switch (cause) {
	case BP_CAUSE_NEVER_FITS:
		return "never_fits";
	case BP_CAUSE_NO_CAPACITY:
		return "no_capacity";
	case BP_CAUSE_QUOTA:
		return "quota";
	case BP_CAUSE_RULE:
		return "rule";
	case BP_CAUSE_ZONE_OUT:
		return "zone_out";
	case BP_CAUSE_TURN:
		return "turn";
	case BP_CAUSE_VM_HOLD:
		return "vm_hold";
	case BP_CAUSE_HEADROOM:
		return "headroom";
	case BP_CAUSE_NO_OWNER:
		return "no_owner";
	case BP_CAUSE_VM_UNREACHABLE:
		return "vm_unreachable";
	case BP_CAUSE_LOG_UNAVAILABLE:
		return "log_unavailable";
	case BP_CAUSE_STATE_UNKNOWN:
		return "state_unknown";
	case BP_CAUSE_LOG_VERSION:
		return "log_version_unknown";
	case BP_CAUSE_DRAINING:
		return "draining";
	case BP_CAUSE_STARTING:
		return "starting";
	}
	return "unknown";
}
