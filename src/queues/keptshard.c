#include "queues/keptshard.h"

#include "bulrushpost/shard.h"

/* A confirmation of this age is renewed. That leaves time for a query without
 * an answer (1.5 s) and another one before the membership expires. */
#define RENEWAL_AGE_MS (BP_SHARD_MEMBERSHIP_MS / 5)

/*
 * Returns whether exactly one shard is served and none is listed, and sets
 * *number to it. A member can give its surplus up only by taking the new
 * generation, with which it loses all that is not listed. So a member that is
 * listed for some keeps these, and one with several of which none is listed
 * keeps none.
 */
static bool
find_single(
    const bool *listed, const bool *served, uint32_t n, uint32_t *number)
{
	uint32_t count = 0;
	uint32_t i;

	for (i = 0; i < n; i++) {
		if (listed[i])
			return false;
		if (!served[i])
			continue;
		count++;
		*number = i;
	}
	return count == 1;
}

/* See the header. */
bool
bp_kept_shard_joined(bp_kept_shard_t *self, const bool *listed,
    const bool *served, uint32_t n, uint64_t generation, int64_t sent_mono_ms)
{
	uint32_t number = 0;
	bool kept = find_single(listed, served, n, &number);

	if (!kept || !self->active || number != self->number)
		self->queried = false;
	self->active = kept;
	self->number = number;
	self->generation = generation;
	self->joined_ms = sent_mono_ms;
	if (!kept) {
		self->confirmed_generation = generation;
		self->confirmed_ms = sent_mono_ms;
	}
	return kept;
}

/* See the header. */
bool
bp_kept_shard_query_due(
    const bp_kept_shard_t *self, int64_t now_mono_ms, int64_t queried_mono_ms)
{
	return self->active &&
	    now_mono_ms - queried_mono_ms >= BP_KEPT_SHARD_QUERY_INTERVAL_MS &&
	    (self->generation != self->confirmed_generation ||
		now_mono_ms - self->confirmed_ms >= RENEWAL_AGE_MS);
}

/* See the header. */
void
bp_kept_shard_query_sent(bp_kept_shard_t *self)
{
	self->queried = self->active;
	self->query_generation = self->generation;
	self->query_joined_ms = self->joined_ms;
}

/* See the header. */
bp_kept_shard_verdict_t
bp_kept_shard_answered(bp_kept_shard_t *self, bool owned)
{
	if (!self->active || !self->queried)
		return BP_KEPT_SHARD_UNDECIDED;
	if (!owned) {
		self->active = false;
		return BP_KEPT_SHARD_REASSIGNED;
	}
	self->confirmed_generation = self->query_generation;
	self->confirmed_ms = self->query_joined_ms;
	return BP_KEPT_SHARD_CONFIRMED;
}
