#include "queues/heartbeats.h"

/* Shortest time between heartbeats for one shard. */
#define TICK_MS 150
/* Two heartbeats may be lost before a node counts as unresponsive. */
#define INTERVAL_MS 700
/* The same until the owner has said that it owns the shard: a successor needs
 * this node as an order proxy from its first order on. */
#define UNCONFIRMED_INTERVAL_MS 300

typedef struct {
	char *owner; /* that got the last heartbeat, NULL for none */
	int64_t sent_ms; /* mono */
	bool confirmed; /* that node owns the shard */
} target_t;

struct bp_heartbeats {
	bp_heartbeats_options_t options;
	target_t *targets; /* by shard */
	guint timer;
};

static bool
is_due(const target_t *target, const char *owner, int64_t now_ms)
{
	if (g_strcmp0(target->owner, owner) != 0)
		return true;
	return now_ms - target->sent_ms >=
	    (target->confirmed ? INTERVAL_MS : UNCONFIRMED_INTERVAL_MS);
}

static gboolean
on_tick(void *data)
{
	bp_heartbeats_t *heartbeats = data;
	const bp_heartbeats_options_t *options = &heartbeats->options;
	int64_t now_ms = bp_clock_mono_ms(options->clock);
	uint32_t i;

	for (i = 0; i < options->shards; i++) {
		target_t *target = &heartbeats->targets[i];
		const char *owner = options->owner(i, options->data);

		if (owner == NULL || !is_due(target, owner, now_ms))
			continue;
		if (g_strcmp0(target->owner, owner) != 0) {
			g_free(target->owner);
			target->owner = g_strdup(owner);
			target->confirmed = false;
		}
		target->sent_ms = now_ms;
		options->send(i, target->owner, options->data);
	}
	return G_SOURCE_CONTINUE;
}

/* Creates the timing of heartbeats; the first are sent after a tick. */
bp_heartbeats_t *
bp_heartbeats_new(const bp_heartbeats_options_t *options)
{
	bp_heartbeats_t *heartbeats = g_new0(bp_heartbeats_t, 1);

	heartbeats->options = *options;
	heartbeats->targets = g_new0(target_t, options->shards);
	heartbeats->timer =
	    bp_clock_add_timer(options->clock, TICK_MS, on_tick, heartbeats);
	return heartbeats;
}

/* Frees the timing. NULL is allowed. */
void
bp_heartbeats_free(bp_heartbeats_t *heartbeats)
{
	uint32_t i;

	if (heartbeats == NULL)
		return;
	bp_clock_cancel_timer(heartbeats->options.clock, &heartbeats->timer);
	for (i = 0; i < heartbeats->options.shards; i++)
		g_free(heartbeats->targets[i].owner);
	g_free(heartbeats->targets);
	g_free(heartbeats);
}

/* See the header. */
void
bp_heartbeats_answered(bp_heartbeats_t *heartbeats, uint32_t shard, bool owns)
{
	heartbeats->targets[shard].confirmed = owns;
}
