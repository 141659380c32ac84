#include "queues/sharding.h"

#include "bulrushpost/message.h"
#include "bulrushpost/hash.h"
#include "proto/work.pb-c.h"

#include <stdio.h>
#include <string.h>

#define KEY_PLAN "plan"
#define MODULE "sharding"
/* Delay before the plan is read again, after a failure or a write. */
#define RETRY_MS 150
/* Number of partitions that the platform's topics have. */
#define SHARDS_MAX 8
/* Part of an owner's capacity that a shard gets if there are several. */
#define SPLIT_LOAD_PERCENT 40
/* Executors of a new deployment register within some seconds: the list is read
 * again until it has stopped growing or the longest wait has passed. */
#define LIST_INTERVAL_MS 1200
#define LIST_WAIT_MAX_MS 4500
/* Additional wait of a standby, in which others may write the plan. */
#define STANDBY_EXTRA_WAIT_MS 3000
#define SEED_JOB 0x6a6f62
#define SEED_RACK 0x7261636b

struct bp_sharding {
	bp_sharding_options_t options;
	GHashTable *racks; /* "zone/rack" to its shard */
	GPtrArray *rack_keys; /* "zone/rack" of the listed executors */
	uint32_t executor_count; /* in the list that is being read */
	uint32_t previous_executor_count; /* in the list read before */
	uint32_t count; /* of shards */
	int64_t listing_since_ms; /* mono; 0 unless a plan is being made */
	uint64_t end_offset;
	bool plan_ready;
	guint timer;
};

static void read_plan(bp_sharding_t *self);

static char *
rack_key(const char *zone, const char *rack)
{
	return g_strconcat(zone, "/", rack, NULL);
}

static gboolean
on_retry(void *data)
{
	bp_sharding_t *self = data;

	self->timer = 0;
	read_plan(self);
	return G_SOURCE_REMOVE;
}

static void
retry_after(bp_sharding_t *self, uint32_t delay_ms)
{
	if (self->timer == 0)
		self->timer = bp_clock_after(
		    self->options.clock, delay_ms, on_retry, self);
}

static void
retry(bp_sharding_t *self)
{
	retry_after(self, RETRY_MS);
}

static void
apply_plan(bp_sharding_t *self, const bp_store_record_t *record)
{
	gsize size = 0;
	const uint8_t *bytes = g_bytes_get_data(record->value, &size);
	Bp__Work__Plan *plan = bp__work__plan__unpack(NULL, size, bytes);
	char text[32];
	size_t i;

	if (plan == NULL || plan->shards == 0 || plan->shards > SHARDS_MAX) {
		bp_log(self->options.logger, BP_LOG_ERR, MODULE,
		    "cannot decode the shard plan; reading it again", NULL);
		retry(self);
		return;
	}
	for (i = 0; i < plan->n_racks; i++)
		g_hash_table_replace(self->racks,
		    rack_key(plan->racks[i]->zone, plan->racks[i]->rack),
		    GUINT_TO_POINTER(plan->racks[i]->shard % plan->shards));
	self->count = plan->shards;
	self->plan_ready = true;
	snprintf(text, sizeof(text), "%u", self->count);
	bp_log(self->options.logger, BP_LOG_NOTICE, MODULE,
	    "shard plan is known", "shards", text, NULL);
	bp__work__plan__free_unpacked(plan, NULL);
	if (self->listing_since_ms != 0)
		self->options.follow(false, self->options.data);
	self->options.decided(self->options.data);
}

static const bp_store_record_t *
find_plan(const GPtrArray *records)
{
	guint i;

	for (i = 0; i < records->len; i++) {
		const bp_store_record_t *record = records->pdata[i];

		if (strcmp(record->key, KEY_PLAN) == 0 && record->value != NULL)
			return record;
	}
	return NULL;
}

static void
on_plan(const bp_store_result_t *result, void *data)
{
	bp_sharding_t *self = data;
	const bp_store_record_t *record;

	if (result->outcome != BP_STORE_OK) {
		retry(self);
		return;
	}
	record = find_plan(result->records);
	if (record != NULL) {
		apply_plan(self, record);
		return;
	}
	self->end_offset = result->end_offset;
	if (self->listing_since_ms == 0)
		self->listing_since_ms = bp_clock_mono_ms(self->options.clock);
	self->executor_count = 0;
	g_ptr_array_set_size(self->rack_keys, 0);
	self->options.follow(true, self->options.data);
}

static void
read_plan(bp_sharding_t *self)
{
	self->options.store->newest(
	    self->options.store, self->options.topic, 0, NULL, on_plan, self);
}

static gint
compare_names(gconstpointer a, gconstpointer b)
{
	return strcmp(*(const char *const *)a, *(const char *const *)b);
}

/*
 * Returns the number of shards for the listed executors. A deployment within
 * the capacity of one owner is not divided, since a single owner sees all free
 * capacity. Beyond that each shard gets SPLIT_LOAD_PERCENT of an owner's
 * capacity: jobs are distributed by hash, hence unevenly, and an owner that
 * starts more than it can delays all of its jobs.
 */
static uint32_t
shards_for(const bp_sharding_t *self)
{
	uint64_t capacity = self->options.executors_per_shard;
	uint64_t executors_per_split_shard =
	    MAX(capacity * SPLIT_LOAD_PERCENT / 100, 1);

	if (self->executor_count <= capacity)
		return 1;
	return (uint32_t)MIN(
	    (self->executor_count + executors_per_split_shard - 1) /
		executors_per_split_shard,
	    SHARDS_MAX);
}

/* Assigns the racks, sorted by zone and name, to the shards round-robin. */
static bp_store_record_t *
make_plan(bp_sharding_t *self)
{
	Bp__Work__Plan plan = BP__WORK__PLAN__INIT;
	bp_store_record_t *record;
	GBytes *bytes;
	guint i;

	plan.shards =
	    self->options.shards != 0 ? self->options.shards : shards_for(self);
	g_ptr_array_sort(self->rack_keys, compare_names);
	plan.racks = g_new0(Bp__Work__RackShard *, self->rack_keys->len + 1);
	for (i = 0; i < self->rack_keys->len; i++) {
		const char *name = self->rack_keys->pdata[i];
		const char *slash = strchr(name, '/');
		Bp__Work__RackShard *rack = g_new(Bp__Work__RackShard, 1);

		bp__work__rack_shard__init(rack);
		rack->zone = g_strndup(name, (gsize)(slash - name));
		rack->rack = g_strdup(slash + 1);
		rack->shard = i % plan.shards;
		plan.racks[plan.n_racks++] = rack;
	}
	bytes = bp_message_pack(&plan.base);
	record = bp_store_record_new_bytes(KEY_PLAN, bytes);
	for (i = 0; i < plan.n_racks; i++) {
		g_free(plan.racks[i]->zone);
		g_free(plan.racks[i]->rack);
		g_free(plan.racks[i]);
	}
	g_free(plan.racks);
	g_bytes_unref(bytes);
	return record;
}

/* Another node may have written first, so the plan is read back in any case. */
static void
on_written(const bp_store_result_t *result, void *data)
{
	(void)result;
	retry(data);
}

static void
write_plan(bp_sharding_t *self)
{
	GPtrArray *records =
	    g_ptr_array_new_with_free_func(bp_store_record_free);
	bp_store_append_t append = {0};

	g_ptr_array_add(records, make_plan(self));
	append.topic = self->options.topic;
	append.writer = self->options.topic;
	append.epoch = 1;
	append.sequence = g_random_int();
	append.conditional = true;
	append.end_offset = self->end_offset;
	append.records = records;
	self->options.store->append(
	    self->options.store, &append, on_written, self);
	g_ptr_array_unref(records);
}

/* Records the rack of a listed executor. Ignored unless a plan is made. */
void
bp_sharding_executor(bp_sharding_t *self, const bp_executor_info_t *info)
{
	char *key;

	if (self->plan_ready || self->listing_since_ms == 0)
		return;
	self->executor_count++;
	key = rack_key(info->zone, info->rack);
	if (g_ptr_array_find_with_equal_func(
		self->rack_keys, key, g_str_equal, NULL))
		g_free(key);
	else
		g_ptr_array_add(self->rack_keys, key);
}

/* The list is complete: writes the plan, or reads the list again later if it
 * is still growing. */
void
bp_sharding_executors_listed(bp_sharding_t *self)
{
	int64_t waited_ms;
	int64_t standby_ms = self->options.standby
	    ? LIST_WAIT_MAX_MS + STANDBY_EXTRA_WAIT_MS
	    : 0;
	bool still_growing;

	if (self->plan_ready || self->listing_since_ms == 0)
		return;
	waited_ms =
	    bp_clock_mono_ms(self->options.clock) - self->listing_since_ms;
	still_growing = self->executor_count == 0 ||
	    self->executor_count != self->previous_executor_count;
	self->previous_executor_count = self->executor_count;
	if ((still_growing && waited_ms < LIST_WAIT_MAX_MS) ||
	    waited_ms < standby_ms)
		retry_after(self, LIST_INTERVAL_MS);
	else
		write_plan(self);
}

/* Creates a sharding whose plan is unknown, unless it has no store. */
bp_sharding_t *
bp_sharding_new(const bp_sharding_options_t *options)
{
	bp_sharding_t *self = g_new0(bp_sharding_t, 1);

	self->options = *options;
	self->racks =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	self->rack_keys = g_ptr_array_new_with_free_func(g_free);
	self->options.executors_per_shard =
	    MAX(options->executors_per_shard, 1);
	self->count = MAX(options->shards, 1);
	self->plan_ready = options->store == NULL;
	return self;
}

/* Frees a sharding. NULL is allowed. */
void
bp_sharding_free(bp_sharding_t *self)
{
	if (self == NULL)
		return;
	if (self->options.store != NULL)
		self->options.store->forget(self->options.store, self);
	bp_clock_cancel(self->options.clock, &self->timer);
	g_hash_table_unref(self->racks);
	g_ptr_array_unref(self->rack_keys);
	g_free(self);
}

/* See the header. */
void
bp_sharding_start(bp_sharding_t *self)
{
	read_plan(self);
}

/* See the header. */
bool
bp_sharding_decided(const bp_sharding_t *self)
{
	return self->plan_ready;
}

/* Returns the number of shards. */
uint32_t
bp_sharding_count(const bp_sharding_t *self)
{
	return self->count;
}

static uint32_t
rack_by_hash(const char *zone, const char *rack, uint32_t shards)
{
	return (uint32_t)(bp_hash_text(rack, bp_hash_text(zone, SEED_RACK)) %
	    MAX(shards, 1));
}

/* Returns the shard of a rack, by hash if the plan does not contain it. */
uint32_t
bp_sharding_of_rack(
    const bp_sharding_t *self, const char *zone, const char *rack)
{
	char *key = rack_key(zone, rack);
	gpointer value;
	bool planned =
	    g_hash_table_lookup_extended(self->racks, key, NULL, &value);

	g_free(key);
	return planned ? GPOINTER_TO_UINT(value)
		       : rack_by_hash(zone, rack, self->count);
}

/* See the header. */
uint32_t
bp_sharding_of_job(const char *id, uint32_t shards)
{
	return (uint32_t)(bp_hash_text(id, SEED_JOB) % MAX(shards, 1));
}
