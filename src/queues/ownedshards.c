#include "queues/ownedshards.h"

#include <string.h>

/* Delay before a shard that was lost to a later epoch is claimed again. */
#define CLAIM_BACKOFF_MS 1000

struct bp_owned_shards {
	bp_owned_shards_options_t options;
	bp_shard_t **owned;
	uint32_t count; /* of shards */
	int64_t *backoff_until_ms; /* mono, by shard */
	/* Mono, by shard: when this process last stopped owning it. */
	int64_t *stopped_ms;
	const bp_catalog_t *catalog;
	GHashTable *zones_out; /* set of zones that are out of service */
	bool released;
};

/* Creates an empty set. */
bp_owned_shards_t *
bp_owned_shards_new(const bp_owned_shards_options_t *options)
{
	bp_owned_shards_t *self = g_new0(bp_owned_shards_t, 1);
	int64_t now_ms = bp_clock_mono_ms(options->clock);
	uint32_t i;

	self->options = *options;
	self->count = bp_sharding_count(options->sharding);
	self->owned =
	    g_new0(bp_shard_t *, bp_sharding_count(options->sharding));
	self->backoff_until_ms =
	    g_new0(int64_t, bp_sharding_count(options->sharding));
	self->stopped_ms =
	    g_new0(int64_t, bp_sharding_count(options->sharding));
	for (i = 0; i < self->count; i++)
		self->stopped_ms[i] = now_ms;
	self->zones_out =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	return self;
}

/* Frees the set; pending calls are answered with an unknown outcome. */
void
bp_owned_shards_free(bp_owned_shards_t *self)
{
	uint32_t i;

	if (self == NULL)
		return;
	for (i = 0; i < self->count; i++)
		bp_shard_free(self->owned[i]);
	g_hash_table_unref(self->zones_out);
	g_free(self->owned);
	g_free(self->backoff_until_ms);
	g_free(self->stopped_ms);
	g_free(self);
}

/* See the header. */
bp_shard_t *const *
bp_owned_shards_by_number(const bp_owned_shards_t *self)
{
	return self->owned;
}

static void
release_now(bp_owned_shards_t *self, uint32_t number)
{
	bp_shard_t *shard = self->owned[number];
	bool owner = false;
	uint32_t i;

	self->owned[number] = NULL;
	bp_shard_free(shard);
	self->stopped_ms[number] = bp_clock_mono_ms(self->options.clock);
	for (i = 0; i < self->count; i++)
		owner = owner || self->owned[i] != NULL;
	self->options.watch_executors(owner, self->options.data);
}

static void
on_lost(bp_shard_t *shard, void *data)
{
	bp_owned_shards_t *self = data;
	uint32_t number = bp_shard_number(shard);

	self->backoff_until_ms[number] =
	    bp_clock_mono_ms(self->options.clock) + CLAIM_BACKOFF_MS;
	release_now(self, number);
}

/* A new owner needs the complete list of executors. */
static void
on_owned(bp_shard_t *shard, void *data)
{
	bp_owned_shards_t *self = data;

	(void)shard;
	self->options.watch_executors(true, self->options.data);
}

/* An earlier owner at this address was this process, or one that has ended. */
static void
on_ask_owner(bp_shard_t *shard, const char *address, void *data)
{
	bp_owned_shards_t *self = data;
	uint32_t number = bp_shard_number(shard);

	if (strcmp(address, self->options.address) == 0)
		bp_shard_owner_stopped(
		    shard, address, self->stopped_ms[number]);
	else if (self->options.ask_owner != NULL)
		self->options.ask_owner(
		    address, number, bp_shard_epoch(shard), self->options.data);
}

/* See the header. */
bool
bp_owned_shards_serves(const bp_owned_shards_t *self, uint32_t number)
{
	const bp_shard_t *shard = self->owned[number];

	return shard != NULL && !self->released && bp_shard_ready(shard) &&
	    bp_shard_membership_valid(shard);
}

/* See the header. */
bool
bp_owned_shards_stopped(
    const bp_owned_shards_t *self, uint32_t number, int64_t *stopped_ms)
{
	if (self->owned[number] != NULL)
		return false;
	*stopped_ms = self->stopped_ms[number];
	return true;
}

/* See the header. */
void
bp_owned_shards_owner_stopped(bp_owned_shards_t *self, const char *address,
    uint32_t number, uint64_t epoch, int64_t stopped_ms)
{
	bp_shard_t *shard = self->owned[number];

	if (shard != NULL && bp_shard_epoch(shard) == epoch)
		bp_shard_owner_stopped(shard, address, stopped_ms);
}

static void
on_unfit(bp_shard_t *shard, bp_shard_unfit_t why, void *data)
{
	bp_owned_shards_t *self = data;

	(void)shard;
	self->options.unfit(why, self->options.data);
}

static void
acquire(bp_owned_shards_t *self, uint32_t number, int64_t sent_mono_ms)
{
	const bp_owned_shards_options_t *from = &self->options;
	bp_shard_options_t options = {0};
	GHashTableIter iter;
	gpointer zone;

	options.clock = from->clock;
	options.logger = from->logger;
	options.timeline = from->timeline;
	options.store = from->store;
	options.executors = from->executors;
	options.node = from->node;
	options.address = from->address;
	options.topic = from->topic;
	options.number = number;
	options.shards = self->count;
	options.limits = from->limits;
	options.membership_confirmed_ms = sent_mono_ms;
	options.ask_owner = on_ask_owner;
	options.lost = on_lost;
	options.owned = on_owned;
	options.unfit = on_unfit;
	options.data = self;
	self->owned[number] = bp_shard_new(&options);
	bp_shard_set_catalog(self->owned[number], self->catalog);
	g_hash_table_iter_init(&iter, self->zones_out);
	while (g_hash_table_iter_next(&iter, &zone, NULL))
		bp_shard_set_zone(self->owned[number], zone, true);
}

/* The membership had expired in between, so the state may be out of date. */
static void
reacquire(bp_owned_shards_t *self, uint32_t number)
{
	bp_log(self->options.logger, BP_LOG_NOTICE, "shards",
	    "membership had expired; the shard is taken over again", NULL);
	bp_shard_release(self->owned[number]);
	if (bp_shard_idle(self->owned[number]))
		release_now(self, number);
}

/* See the header. */
void
bp_owned_shards_set_assigned(
    bp_owned_shards_t *self, const bool *shards, int64_t sent_mono_ms)
{
	int64_t now_ms = bp_clock_mono_ms(self->options.clock);
	uint32_t i;

	for (i = 0; i < self->count; i++) {
		bp_shard_t *shard = self->owned[i];

		if (!shards[i]) {
			if (shard != NULL)
				bp_shard_release(shard);
			if (shard != NULL && bp_shard_idle(shard))
				release_now(self, i);
		} else if (shard != NULL && bp_shard_released(shard)) {
			/* Assigned elsewhere and back: is taken over again. */
			if (bp_shard_idle(shard))
				release_now(self, i);
		} else if (shard != NULL) {
			if (!bp_shard_confirm_membership(shard, sent_mono_ms))
				reacquire(self, i);
		} else if (now_ms >= self->backoff_until_ms[i] &&
		    now_ms - sent_mono_ms < BP_SHARD_MEMBERSHIP_MS &&
		    !self->released) {
			acquire(self, i, sent_mono_ms);
		}
	}
}

/* See the header. */
void
bp_owned_shards_release(bp_owned_shards_t *self)
{
	uint32_t i;

	self->released = true;
	for (i = 0; i < self->count; i++) {
		if (self->owned[i] != NULL)
			bp_shard_release(self->owned[i]);
	}
}

/* Returns whether no shard has records left to store. */
bool
bp_owned_shards_idle(const bp_owned_shards_t *self)
{
	uint32_t i;

	for (i = 0; i < self->count; i++) {
		if (self->owned[i] != NULL && !bp_shard_idle(self->owned[i]))
			return false;
	}
	return true;
}

/* Frees all shards at once. */
void
bp_owned_shards_drop_all(bp_owned_shards_t *self)
{
	uint32_t i;

	for (i = 0; i < self->count; i++) {
		if (self->owned[i] != NULL)
			release_now(self, i);
	}
}

/* See the header. */
void
bp_owned_shards_set_catalog(
    bp_owned_shards_t *self, const bp_catalog_t *catalog)
{
	uint32_t i;

	self->catalog = catalog;
	for (i = 0; i < self->count; i++) {
		if (self->owned[i] != NULL)
			bp_shard_set_catalog(self->owned[i], catalog);
	}
}

/* Takes a zone out of service, so that nothing starts there, or back in. */
void
bp_owned_shards_set_zone(bp_owned_shards_t *self, const char *zone, bool out)
{
	uint32_t i;

	if (out)
		g_hash_table_add(self->zones_out, g_strdup(zone));
	else
		g_hash_table_remove(self->zones_out, zone);
	for (i = 0; i < self->count; i++) {
		if (self->owned[i] != NULL)
			bp_shard_set_zone(self->owned[i], zone, out);
	}
}

/* Forwards an entry of the executors' list to the shard of its rack. */
void
bp_owned_shards_update_executor(
    bp_owned_shards_t *self, const bp_executor_info_t *info)
{
	uint32_t number = bp_sharding_shard_of_rack(
	    self->options.sharding, info->zone, info->rack);

	if (self->owned[number] != NULL)
		bp_shard_update_executor(self->owned[number], info);
}

/* Forwards that an executor left the list. */
void
bp_owned_shards_remove_executor(bp_owned_shards_t *self, const char *id)
{
	uint32_t i;

	for (i = 0; i < self->count; i++) {
		if (self->owned[i] != NULL)
			bp_shard_remove_executor(self->owned[i], id);
	}
}

/* Forwards that the list of executors is complete. */
void
bp_owned_shards_executors_listed(bp_owned_shards_t *self)
{
	uint32_t i;

	for (i = 0; i < self->count; i++) {
		if (self->owned[i] != NULL)
			bp_shard_executors_listed(self->owned[i]);
	}
}
