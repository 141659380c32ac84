#include "bulrushpost/liveness.h"

#define US_PER_MS 1000
/* Most time since an own record was read back to declare others dead. */
#define OWN_RECORD_MAX_AGE_MS 2000

typedef struct {
	uint64_t last_offset;
	uint64_t incarnation;
	int64_t last_record_us;
	int64_t first_seen_us;
} node_activity_t;

struct bp_liveness {
	char *self;
	uint32_t death_ms;
	GHashTable *nodes; /* name to node_activity_t */
	bool current;
	int64_t current_since_us;
};

/*
 * Creates the failure detector. self is the name of this node, which is
 * copied; another node is considered dead after death_ms without a record.
 */
bp_liveness_t *
bp_liveness_new(const char *self, uint32_t death_ms)
{
	bp_liveness_t *liveness = g_new0(bp_liveness_t, 1);

	liveness->self = g_strdup(self);
	liveness->death_ms = death_ms;
	liveness->nodes =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	return liveness;
}

/* Frees the failure detector. NULL is allowed. */
void
bp_liveness_free(bp_liveness_t *liveness)
{
	if (liveness == NULL)
		return;
	g_hash_table_unref(liveness->nodes);
	g_free(liveness->self);
	g_free(liveness);
}

static void
update_node(bp_liveness_t *liveness, const bp_node_t *node, int64_t now_us)
{
	node_activity_t *activity =
	    g_hash_table_lookup(liveness->nodes, node->name);

	if (activity == NULL) {
		activity = g_new0(node_activity_t, 1);
		g_hash_table_insert(
		    liveness->nodes, g_strdup(node->name), activity);
		activity->first_seen_us = now_us;
		activity->last_record_us = now_us;
	} else if (activity->last_offset != node->last_offset) {
		activity->last_record_us = now_us;
	}
	if (activity->incarnation != node->incarnation)
		activity->first_seen_us = now_us;
	activity->incarnation = node->incarnation;
	activity->last_offset = node->last_offset;
}

/*
 * Records which nodes wrote to the log. Time without a record counts only
 * from when reads became current: after an outage every node gets a full
 * death_ms to write its next record.
 */
void
bp_liveness_update(bp_liveness_t *liveness, const bp_state_t *state,
    bool current, int64_t now_us)
{
	GHashTableIter iter;
	gpointer value;

	if (current && !liveness->current)
		liveness->current_since_us = now_us;
	liveness->current = current;
	g_hash_table_iter_init(&iter, bp_state_nodes(state));
	while (g_hash_table_iter_next(&iter, NULL, &value))
		update_node(liveness, value, now_us);
}

static bool
has_no_records(const bp_liveness_t *liveness, const node_activity_t *activity,
    int64_t now_us, int64_t limit_ms)
{
	int64_t since_us =
	    MAX(activity->last_record_us, liveness->current_since_us);

	return now_us - since_us > limit_ms * US_PER_MS;
}

/* See the header. */
bool
bp_liveness_dead(
    const bp_liveness_t *liveness, const char *node, int64_t now_us)
{
	const node_activity_t *activity =
	    g_hash_table_lookup(liveness->nodes, node);
	const node_activity_t *own =
	    g_hash_table_lookup(liveness->nodes, liveness->self);

	if (activity == NULL || own == NULL || !liveness->current)
		return false;
	if (now_us - own->last_record_us > OWN_RECORD_MAX_AGE_MS * US_PER_MS)
		return false;
	return has_no_records(liveness, activity, now_us, liveness->death_ms);
}

/* See the header. */
int64_t
bp_liveness_age_ms(
    const bp_liveness_t *liveness, const char *node, int64_t now_us)
{
	const node_activity_t *activity =
	    g_hash_table_lookup(liveness->nodes, node);

	return activity != NULL ? (now_us - activity->first_seen_us) / US_PER_MS
				: 0;
}
