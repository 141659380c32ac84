#include "queues/appendprobe.h"

/* An answer counts for this time. It exceeds the interval of heartbeats, which
 * tell the owner of it. */
#define ANSWER_VALID_MS 2000

struct bp_append_probe {
	const bp_clock_t *clock;
	bp_store_t *store;
	char *topic;
	bool pending;
	int64_t answered_ms; /* mono, 0: never */
};

/* Creates a probe of the shards in a topic, which sends nothing yet. */
bp_append_probe_t *
bp_append_probe_new(
    const bp_clock_t *clock, bp_store_t *store, const char *topic)
{
	bp_append_probe_t *self = g_new0(bp_append_probe_t, 1);

	self->clock = clock;
	self->store = store;
	self->topic = g_strdup(topic);
	return self;
}

/* Frees the probe. NULL is allowed. */
void
bp_append_probe_free(bp_append_probe_t *self)
{
	if (self == NULL)
		return;
	self->store->forget(self->store, self);
	g_free(self->topic);
	g_free(self);
}

static void
on_answer(const bp_store_result_t *result, void *data)
{
	bp_append_probe_t *self = data;

	self->pending = false;
	switch (result->outcome) {
	case BP_STORE_OK:
	case BP_STORE_FENCED:
	case BP_STORE_BAD_SEQUENCE:
	case BP_STORE_CONFLICT:
		self->answered_ms = bp_clock_mono_ms(self->clock);
		break;
	case BP_STORE_TRUNCATED:
	case BP_STORE_REFUSED:
	case BP_STORE_REJECTED:
	case BP_STORE_UNKNOWN:
		break;
	}
}

/*
 * See the header. The append holds no record and names epoch 0, which the store
 * fences as soon as the shard has had an owner.
 */
void
bp_append_probe_start(bp_append_probe_t *self, uint32_t shard)
{
	GPtrArray *records;
	bp_store_append_t append = {0};

	if (self->pending)
		return;
	self->pending = true;
	records = g_ptr_array_new();
	append.topic = self->topic;
	append.partition = shard;
	append.writer = self->topic;
	append.conditional = true;
	append.records = records;
	self->store->append(self->store, &append, on_answer, self);
	g_ptr_array_unref(records);
}

/* See the header. */
bool
bp_append_probe_answered(const bp_append_probe_t *self)
{
	return self->answered_ms != 0 &&
	    bp_clock_mono_ms(self->clock) - self->answered_ms < ANSWER_VALID_MS;
}
