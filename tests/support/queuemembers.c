#include "support/queuemembers.h"

#include "bulrushpost/shard.h"

#include <stdio.h>

#define START_MS 1000000

static int64_t
now_ms(const bp_qmembers_t *self)
{
	return bp_clock_mono_ms(bp_clock_virtual_clock(self->clock));
}

/* See the header. */
bool
bp_qmember_valid(const bp_qmember_t *member, uint32_t shard)
{
	return member->owned[shard] &&
	    now_ms(member->members) - member->confirmed_ms[shard] <
	    BP_SHARD_MEMBERSHIP_MS;
}

/* A reassignment at once may end a membership that was confirmed before. */
static void
count_overlaps(const bp_qmember_t *member, uint32_t shard)
{
	bp_qmembers_t *self = member->members;
	uint32_t i;

	for (i = 0; i < BP_QMEMBERS; i++) {
		const bp_qmember_t *other = &self->members[i];

		if (other == member || !bp_qmember_valid(other, shard))
			continue;
		if (MIN(member->confirmed_ms[shard],
			other->confirmed_ms[shard]) > self->rebalanced_ms)
			self->overlaps++;
	}
}

/* Owns and releases shards as bp_owned_shards_set_assigned() does. */
static void
on_assigned(const bool *shards, int64_t sent_mono_ms, void *data)
{
	bp_qmember_t *member = data;
	uint32_t i;

	member->confirmation_age_ms = now_ms(member->members) - sent_mono_ms;
	for (i = 0; i < member->members->shards; i++) {
		/* Pending records are still stored. */
		if (shards[i] && member->draining)
			continue;
		if (!shards[i] ||
		    (member->owned[i] && !bp_qmember_valid(member, i))) {
			member->owned[i] = false;
			continue;
		}
		if (!member->owned[i]) {
			if (now_ms(member->members) - sent_mono_ms >=
			    BP_SHARD_MEMBERSHIP_MS)
				continue;
			member->owned[i] = true;
			member->confirmed_ms[i] = sent_mono_ms;
			member->members->acquired++;
		}
		member->confirmed_ms[i] =
		    MAX(member->confirmed_ms[i], sent_mono_ms);
		count_overlaps(member, i);
	}
}

static bool
serves(uint32_t shard, void *data)
{
	const bp_qmember_t *member = data;

	return !member->draining && bp_qmember_valid(member, shard);
}

/* Creates a group of which no member has started. */
bp_qmembers_t *
bp_qmembers_new(uint64_t seed, uint32_t shards)
{
	bp_qmembers_t *self = g_new0(bp_qmembers_t, 1);

	self->clock = bp_clock_virtual_new(START_MS);
	bp_random_init(&self->random, seed);
	self->shards = shards;
	self->store = bp_qstore_new(self->clock, &self->random, shards);
	bp_qstore_set_shuffled(self->store, true);
	return self;
}

/* See the header. */
void
bp_qmembers_start(bp_qmembers_t *self, uint32_t index)
{
	bp_qmember_t *member = &self->members[index];
	bp_membership_options_t options = {0};

	if (member->membership != NULL)
		return;
	member->members = self;
	member->draining = false;
	member->view = bp_qstore_view(self->store);
	snprintf(
	    member->address, sizeof(member->address), "10.0.0.%u:7000", index);
	options.clock = bp_clock_virtual_clock(self->clock);
	options.store = bp_qstore_interface(member->view);
	options.topic = "jobs";
	options.address = member->address;
	options.incarnation = ++self->incarnations;
	options.shards = self->shards;
	options.assigned = on_assigned;
	options.serves = serves;
	options.data = member;
	member->membership = bp_membership_new(&options);
}

/* See the header. */
void
bp_qmembers_stop(bp_qmembers_t *self, uint32_t index)
{
	bp_qmember_t *member = &self->members[index];
	uint32_t i;

	bp_membership_free(member->membership);
	member->membership = NULL;
	for (i = 0; i < BP_QMEMBERS_SHARDS_MAX; i++)
		member->owned[i] = false;
}

/* Frees the store and its members. */
void
bp_qmembers_free(bp_qmembers_t *self)
{
	uint32_t i;

	for (i = 0; i < BP_QMEMBERS; i++)
		bp_qmembers_stop(self, i);
	bp_qstore_free(self->store);
	bp_clock_virtual_free(self->clock);
	g_free(self);
}

/* See the header. */
void
bp_qmembers_start_all(bp_qmembers_t *self)
{
	uint32_t i;

	for (i = 0; i < BP_QMEMBERS; i++)
		bp_qmembers_start(self, i);
}

/* See the header. */
void
bp_qmembers_rebalance(bp_qmembers_t *self)
{
	bp_qstore_rebalance(self->store);
	self->rebalanced_ms = now_ms(self);
}

/* See the header. */
void
bp_qmembers_run_ms(bp_qmembers_t *self, int64_t duration_ms)
{
	bp_clock_virtual_run_ms(self->clock, duration_ms);
}

/* See the header. */
int
bp_qmembers_owner(const bp_qmembers_t *self, uint32_t shard)
{
	uint32_t i;

	for (i = 0; i < BP_QMEMBERS; i++) {
		if (self->members[i].membership != NULL &&
		    bp_qmember_valid(&self->members[i], shard))
			return (int)i;
	}
	return -1;
}
