#include "queues/membership.h"

#include "bulrushpost/hash.h"
#include "bulrushpost/shard.h"
#include "queues/keptshard.h"

#include <stdio.h>
#include <string.h>

/* A join costs a tenth of a call, and a takeover waits for the next join. */
#define JOIN_INTERVAL_MS 300
/* Shortest interval between reads of the owners, and the regular one. */
#define OWNERS_INTERVAL_MIN_MS 150
#define OWNERS_INTERVAL_MS 4000
/* A standby reads the owners once one was unresponsive for this time. It
 * exceeds the life of a membership, so that preferred nodes join first. */
#define STANDBY_SILENCE_MS (BP_SHARD_MEMBERSHIP_MS + 1500)
/* A standby joins after an owner was unresponsive for this time, even if the
 * store names an owner. */
#define STANDBY_SILENCE_MAX_MS 10000
/* Largest additional delay of a standby, so that not all join at once. */
#define STANDBY_JITTER_MS 2000
#define SEED_JITTER 0x73746279
/* Interval at which a standby that waits for an owner reads the owners. */
#define STANDBY_REFRESH_MS 1000
/* Calls of `held` without any shard before a member leaves: the first starts
 * to release its shards, the second frees those whose records are stored. */
#define RELEASE_TICKS 2
/* A node that stepped down joins again after this time, or earlier under the
 * conditions of a standby. */
#define STEP_DOWN_MS 20000
#define OWNERS_GROUP "owners"
#define MODULE "membership"

struct bp_membership {
	bp_membership_options_t options;
	char *member_name;
	uint64_t generation;
	int64_t join_sent_ms; /* mono */
	bool join_pending;
	bool owners_pending;
	bool left;
	bool leave_pending; /* leaves once the join in flight has ended */
	bool member; /* a standby joins only when a shard lacks an owner */
	uint32_t release_ticks; /* until the member leaves; 0: it stays */
	int64_t stepped_down_until_ms; /* mono; 0: has not stepped down */
	int64_t standby_delay_ms; /* jitter, derived from the member's name */
	int64_t *owner_answered_ms; /* mono, by shard: last response */
	bool refresh_again; /* requested while a query was in flight */
	int64_t owners_asked_ms;
	char **owners; /* addresses by shard, NULL if unknown */
	bool store_confirms; /* the last join succeeded */
	bp_kept_shard_t kept;
	bool kept_confirmed; /* the owners have named this member for it */
	uint64_t kept_count; /* changes after which a shard was kept */
	guint join_timer;
	guint owners_timer;
};

static void
on_left(const bp_store_result_t *result, void *data)
{
	bp_membership_t *self = data;

	if (result->outcome != BP_STORE_OK)
		bp_log(self->options.logger, BP_LOG_NOTICE, MODULE,
		    "the store did not confirm leaving; the membership "
		    "will expire",
		    NULL);
}

static void
leave(bp_membership_t *self)
{
	self->member = false;
	self->kept.active = false;
	self->options.store->leave(self->options.store, OWNERS_GROUP,
	    self->member_name, on_left, self);
}

/* Returns whether this member may own shards. */
static bool
may_own(const bp_membership_t *self)
{
	return !self->left && self->member && self->release_ticks == 0;
}

static bool
serves(const bp_membership_t *self, uint32_t shard)
{
	return self->options.serves != NULL &&
	    self->options.serves(shard, self->options.data);
}

static gboolean on_owners_timer(void *data);

/* Reads the owners at once if the kept shard needs it. */
static void
query_kept_owner(bp_membership_t *self)
{
	if (self->owners_pending ||
	    !bp_kept_shard_query_due(&self->kept,
		bp_clock_mono_ms(self->options.clock), self->owners_asked_ms))
		return;
	bp_clock_cancel_timer(self->options.clock, &self->owners_timer);
	(void)on_owners_timer(self);
}

/* Takes the generation of a join and its assignments, unless a shard that is
 * served but not listed is kept. */
static void
apply_join(bp_membership_t *self, const bp_store_result_t *result)
{
	uint32_t n = self->options.shards;
	bool was_kept = self->kept.active;
	uint32_t number = self->kept.number;
	bool *listed = g_new0(bool, n);
	bool *served = g_new0(bool, n);
	guint i;

	for (i = 0; i < result->assignments->len; i++) {
		uint32_t partition =
		    g_array_index(result->assignments, bp_store_assignment_t, i)
			.partition;

		if (partition < n)
			listed[partition] = true;
	}
	for (i = 0; i < n; i++)
		served[i] = serves(self, i);
	if (bp_kept_shard_joined(&self->kept, listed, served, n,
		result->generation, self->join_sent_ms)) {
		if (!was_kept || self->kept.number != number)
			self->kept_confirmed = false;
		query_kept_owner(self);
	} else {
		self->generation = result->generation;
		self->options.assigned(
		    listed, self->join_sent_ms, self->options.data);
	}
	g_free(listed);
	g_free(served);
}

static void
on_joined(const bp_store_result_t *result, void *data)
{
	bp_membership_t *self = data;

	self->join_pending = false;
	if (self->leave_pending) {
		self->leave_pending = false;
		leave(self);
	}
	if (self->store_confirms != (result->outcome == BP_STORE_OK))
		bp_log(self->options.logger, BP_LOG_NOTICE, MODULE,
		    self->store_confirms
			? "the store does not confirm membership"
			: "the store confirms membership",
		    NULL);
	self->store_confirms = result->outcome == BP_STORE_OK;
	if (may_own(self) && self->store_confirms)
		apply_join(self, result);
}

/* Reports no assigned shards, so that those still owned are released once
 * their records are stored. */
static void
release_all_shards(bp_membership_t *self)
{
	bool *none = g_new0(bool, self->options.shards);

	self->options.assigned(
	    none, bp_clock_mono_ms(self->options.clock), self->options.data);
	g_free(none);
}

/* One tick of releasing: first the shards, finally the membership. */
static void
tick_release(bp_membership_t *self)
{
	release_all_shards(self);
	self->release_ticks--;
	if (self->release_ticks > 0)
		return;
	leave(self);
	bp_membership_refresh_owners(self);
}

/* Returns the longest time since the owner of any shard last responded. */
static int64_t
longest_silence_ms(const bp_membership_t *self)
{
	int64_t now_ms = bp_clock_mono_ms(self->options.clock);
	int64_t longest_ms = 0;
	uint32_t i;

	for (i = 0; i < self->options.shards; i++)
		longest_ms =
		    MAX(longest_ms, now_ms - self->owner_answered_ms[i]);
	return longest_ms;
}

/* An owner that does not reach this node may still renew its membership. */
static void
refresh_as_standby(bp_membership_t *self)
{
	int64_t now_ms = bp_clock_mono_ms(self->options.clock);

	if (now_ms - self->owners_asked_ms >= STANDBY_REFRESH_MS)
		bp_membership_refresh_owners(self);
}

static gboolean
on_join_timer(void *data)
{
	bp_membership_t *self = data;

	if (self->join_pending || self->left)
		return G_SOURCE_CONTINUE;
	if (self->release_ticks > 0) {
		tick_release(self);
		return G_SOURCE_CONTINUE;
	}
	if (self->stepped_down_until_ms != 0 &&
	    bp_clock_mono_ms(self->options.clock) >=
		self->stepped_down_until_ms) {
		self->stepped_down_until_ms = 0;
		self->member = true;
	}
	if (!self->member) {
		/* A shard may be left whose records were not stored before. */
		release_all_shards(self);
		if (longest_silence_ms(self) > STANDBY_SILENCE_MS)
			refresh_as_standby(self);
		return G_SOURCE_CONTINUE;
	}
	self->join_pending = true;
	self->join_sent_ms = bp_clock_mono_ms(self->options.clock);
	self->options.store->join(self->options.store, OWNERS_GROUP,
	    self->member_name, self->options.topic, BP_SHARD_MEMBERSHIP_MS,
	    self->generation, on_joined, self);
	return G_SOURCE_CONTINUE;
}

/* Returns the address part of a member's name, ADDRESS/INCARNATION. */
static char *
address_of_member(const char *member)
{
	const char *slash = strchr(member, '/');

	return slash != NULL ? g_strndup(member, (gsize)(slash - member))
			     : g_strdup(member);
}

static void
schedule_owners_query(bp_membership_t *self, uint32_t delay_ms)
{
	bp_clock_cancel_timer(self->options.clock, &self->owners_timer);
	self->owners_timer = bp_clock_add_timer(
	    self->options.clock, delay_ms, on_owners_timer, self);
}

/*
 * A standby joins once the store knows no owner of a shard. While nobody joins
 * the store may keep naming an owner that has died, so that after a longer
 * time silence alone suffices. Each standby has a delay of its own, since one
 * that joins is enough.
 */
static void
join_if_vacant(bp_membership_t *self, uint32_t assigned)
{
	int64_t needed_ms = assigned < self->options.shards
	    ? STANDBY_SILENCE_MS
	    : STANDBY_SILENCE_MAX_MS;

	if (self->member || self->left ||
	    longest_silence_ms(self) <= needed_ms + self->standby_delay_ms)
		return;
	bp_log(self->options.logger, BP_LOG_NOTICE, MODULE,
	    "a shard has no owner; this node joins", NULL);
	self->stepped_down_until_ms = 0;
	self->member = true;
}

/* Logged once, when the shard begins to be kept. */
static void
log_kept(bp_membership_t *self)
{
	char number[16];

	if (self->kept_confirmed)
		return;
	self->kept_confirmed = true;
	self->kept_count++;
	snprintf(number, sizeof(number), "%u", self->kept.number);
	bp_log(self->options.logger, BP_LOG_NOTICE, MODULE,
	    "the group assigns the shard to another node; its owner keeps it",
	    "shard", number, NULL);
}

static void
confirm_kept_shard(bp_membership_t *self)
{
	bool *shards = g_new0(bool, self->options.shards);

	log_kept(self);
	shards[self->kept.number] = true;
	self->options.assigned(
	    shards, self->kept.confirmed_ms, self->options.data);
	g_free(shards);
}

/*
 * Returns whether the owners name this member for the kept shard and no other
 * one. The store may hold another shard for this member if the answer to a
 * join was lost; nobody would own that one while the earlier generation is
 * named.
 */
static bool
holds_only_kept_shard(
    const bp_membership_t *self, const bp_store_result_t *result)
{
	bool kept = false;
	guint i;

	for (i = 0; i < result->assignments->len; i++) {
		const bp_store_assignment_t *assignment = &g_array_index(
		    result->assignments, bp_store_assignment_t, i);

		if (assignment->member == NULL ||
		    assignment->partition >= self->options.shards ||
		    strcmp(assignment->member, self->member_name) != 0)
			continue;
		if (assignment->partition != self->kept.number)
			return false;
		kept = true;
	}
	return kept;
}

/* A kept shard that the store names for another member, or that is not served
 * any more, is released. */
static void
apply_owners(bp_membership_t *self, bool owned)
{
	uint32_t number = self->kept.number;

	if (!may_own(self))
		return;
	switch (bp_kept_shard_answered(
	    &self->kept, owned && serves(self, number))) {
	case BP_KEPT_SHARD_UNDECIDED:
		break;
	case BP_KEPT_SHARD_CONFIRMED:
		confirm_kept_shard(self);
		break;
	case BP_KEPT_SHARD_REASSIGNED:
		self->generation = self->kept.generation;
		release_all_shards(self);
		break;
	}
}

/* Returns the delay of the next query, after one that has succeeded or not. */
static uint32_t
owners_delay_ms(const bp_membership_t *self, bool succeeded)
{
	int64_t passed_ms =
	    bp_clock_mono_ms(self->options.clock) - self->owners_asked_ms;

	if (!succeeded && self->kept.active)
		return (uint32_t)CLAMP(
		    BP_KEPT_SHARD_QUERY_INTERVAL_MS - passed_ms, 0,
		    BP_KEPT_SHARD_QUERY_INTERVAL_MS);
	return self->refresh_again ? OWNERS_INTERVAL_MIN_MS
				   : OWNERS_INTERVAL_MS;
}

static void
on_owners(const bp_store_result_t *result, void *data)
{
	bp_membership_t *self = data;
	bool succeeded = result->outcome == BP_STORE_OK;
	uint32_t assigned = 0;
	guint i;

	self->owners_pending = false;
	if (succeeded) {
		for (i = 0; i < result->assignments->len; i++) {
			const bp_store_assignment_t *assignment =
			    &g_array_index(
				result->assignments, bp_store_assignment_t, i);

			if (assignment->member == NULL ||
			    assignment->partition >= self->options.shards)
				continue;
			assigned++;
			g_free(self->owners[assignment->partition]);
			self->owners[assignment->partition] =
			    address_of_member(assignment->member);
		}
		join_if_vacant(self, assigned);
	}
	schedule_owners_query(self, owners_delay_ms(self, succeeded));
	self->refresh_again = false;
	/* May request another query, since shards are released. */
	if (succeeded)
		apply_owners(self, holds_only_kept_shard(self, result));
}

static gboolean
on_owners_timer(void *data)
{
	bp_membership_t *self = data;

	self->owners_timer = 0;
	self->owners_pending = true;
	self->owners_asked_ms = bp_clock_mono_ms(self->options.clock);
	bp_kept_shard_query_sent(&self->kept);
	self->options.store->owners(
	    self->options.store, OWNERS_GROUP, on_owners, self);
	return G_SOURCE_REMOVE;
}

/* Creates a membership; unless it is a standby, it joins at once. */
bp_membership_t *
bp_membership_new(const bp_membership_options_t *options)
{
	bp_membership_t *self = g_new0(bp_membership_t, 1);
	uint32_t i;

	self->options = *options;
	self->member_name = g_strdup_printf("%s/%016" G_GINT64_MODIFIER "x",
	    options->address, options->incarnation);
	self->owners = g_new0(char *, options->shards);
	self->owner_answered_ms = g_new0(int64_t, options->shards);
	for (i = 0; i < options->shards; i++)
		self->owner_answered_ms[i] = bp_clock_mono_ms(options->clock);
	self->member = !options->standby;
	self->standby_delay_ms =
	    (int64_t)(bp_hash_text(self->member_name, SEED_JITTER) %
		STANDBY_JITTER_MS);
	self->store_confirms = true;
	self->join_timer = bp_clock_add_timer(
	    self->options.clock, JOIN_INTERVAL_MS, on_join_timer, self);
	(void)on_join_timer(self);
	schedule_owners_query(self, OWNERS_INTERVAL_MIN_MS);
	return self;
}

/* Frees the membership, which then expires at the store. NULL is allowed. */
void
bp_membership_free(bp_membership_t *self)
{
	uint32_t i;

	if (self == NULL)
		return;
	self->options.store->forget(self->options.store, self);
	bp_clock_cancel_timer(self->options.clock, &self->join_timer);
	bp_clock_cancel_timer(self->options.clock, &self->owners_timer);
	for (i = 0; i < self->options.shards; i++)
		g_free(self->owners[i]);
	g_free(self->owners);
	g_free(self->member_name);
	g_free(self->owner_answered_ms);
	g_free(self);
}

/* See the header. */
void
bp_membership_owner_answered(bp_membership_t *self, uint32_t shard)
{
	if (shard < self->options.shards)
		self->owner_answered_ms[shard] =
		    bp_clock_mono_ms(self->options.clock);
}

/* See the header. */
void
bp_membership_yield_to_preferred(bp_membership_t *self)
{
	if (!self->options.standby || !self->member || self->left ||
	    self->release_ticks > 0)
		return;
	bp_log(self->options.logger, BP_LOG_NOTICE, MODULE,
	    "a preferred owner lives; the standby leaves", NULL);
	self->release_ticks = RELEASE_TICKS;
}

/* See the header. */
void
bp_membership_step_down(bp_membership_t *self)
{
	if (!self->member || self->left || self->release_ticks > 0)
		return;
	bp_log(self->options.logger, BP_LOG_NOTICE, MODULE,
	    "gives its shards up for a while", NULL);
	self->release_ticks = RELEASE_TICKS;
	if (!self->options.standby)
		self->stepped_down_until_ms =
		    bp_clock_mono_ms(self->options.clock) + STEP_DOWN_MS;
}

/* See the header. */
bool
bp_membership_stepped_down(const bp_membership_t *self)
{
	return self->stepped_down_until_ms != 0;
}

/* See the header. */
void
bp_membership_leave(bp_membership_t *self)
{
	if (self->left)
		return;
	self->left = true;
	/* A join that arrives after the leave request would add the member
	 * again. */
	if (self->join_pending)
		self->leave_pending = true;
	else
		leave(self);
	bp_membership_refresh_owners(self);
}

/* See the header. */
const char *
bp_membership_owner(const bp_membership_t *self, uint32_t shard)
{
	return shard < self->options.shards ? self->owners[shard] : NULL;
}

/* See the header. */
uint64_t
bp_membership_kept(const bp_membership_t *self)
{
	return self->kept_count;
}

/* See the header. */
void
bp_membership_refresh_owners(bp_membership_t *self)
{
	int64_t passed_ms =
	    bp_clock_mono_ms(self->options.clock) - self->owners_asked_ms;

	if (self->owners_pending) {
		self->refresh_again = true;
		return;
	}
	schedule_owners_query(self,
	    (uint32_t)CLAMP(
		OWNERS_INTERVAL_MIN_MS - passed_ms, 0, OWNERS_INTERVAL_MIN_MS));
}
