#include "clients/snapshotplan.h"

#include "bulrushpost/hash.h"

#include <string.h>

/* A node without records for this long is dead (docs/design.md, 2). */
#define LIVENESS_WINDOW_US 3000000LL
#define US_PER_MS 1000

struct bp_snapshotplan {
	const char *node;
	int64_t interval_us;
	uint64_t records;
	int64_t rank_wait_us;
	uint64_t newest; /* offset of the newest complete snapshot */
	int64_t newest_us; /* when its completion was first seen */
	int64_t due_us; /* when the next one became due, 0 if it is not */
	/* Log offsets; a node without records since the older is dead. */
	uint64_t older_window_offset;
	uint64_t newer_window_offset;
	int64_t window_start_us;
};

/*
 * Creates a plan for a node; node must outlive it. The caller frees it with
 * bp_snapshotplan_free.
 */
bp_snapshotplan_t *
bp_snapshotplan_new(const char *node, uint32_t interval_ms, uint32_t records,
    uint32_t rank_wait_ms)
{
	bp_snapshotplan_t *plan = g_new0(bp_snapshotplan_t, 1);

	plan->node = node;
	plan->interval_us = (int64_t)interval_ms * US_PER_MS;
	plan->records = records;
	plan->rank_wait_us = (int64_t)rank_wait_ms * US_PER_MS;
	return plan;
}

void
bp_snapshotplan_free(bp_snapshotplan_t *plan)
{
	g_free(plan);
}

/*
 * Measures the age of the newest snapshot from now on. Its real age is unknown
 * after a start, because the wall clock is not trusted.
 */
void
bp_snapshotplan_start(bp_snapshotplan_t *plan, int64_t now_us)
{
	plan->newest_us = now_us;
	plan->window_start_us = now_us;
}

/* Updates the offsets by which dead nodes are detected. */
void
bp_snapshotplan_update_liveness(
    bp_snapshotplan_t *plan, const bp_state_t *state, int64_t now_us)
{
	if (now_us - plan->window_start_us < LIVENESS_WINDOW_US)
		return;
	plan->older_window_offset = plan->newer_window_offset;
	plan->newer_window_offset = bp_state_next_offset(state);
	plan->window_start_us = now_us;
}

/* Records a complete snapshot; ignored unless it is the newest. */
void
bp_snapshotplan_completed(
    bp_snapshotplan_t *plan, uint64_t next_offset, int64_t now_us)
{
	if (next_offset <= plan->newest)
		return;
	plan->newest = next_offset;
	plan->newest_us = now_us;
	plan->due_us = 0;
}

/* Returns the offset of the newest complete snapshot, or 0. */
uint64_t
bp_snapshotplan_newest(const bp_snapshotplan_t *plan)
{
	return plan->newest;
}

static bool
is_candidate(const bp_snapshotplan_t *plan, const bp_node_t *node)
{
	return !node->draining &&
	    node->last_offset >= plan->older_window_offset;
}

/*
 * Returns how many candidates rank before this node, or UINT32_MAX if it is no
 * candidate. Ranks are hashed with the offset of the previous snapshot, which
 * is known to all nodes that read the stream.
 */
static uint32_t
rank(const bp_snapshotplan_t *plan, const bp_state_t *state)
{
	const bp_node_t *self = bp_state_node(state, plan->node);
	uint64_t own = bp_hash_text(plan->node, plan->newest);
	GHashTableIter iter;
	gpointer value;
	uint32_t before = 0;

	if (self == NULL || !is_candidate(plan, self))
		return UINT32_MAX;
	g_hash_table_iter_init(&iter, bp_state_nodes(state));
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const bp_node_t *node = value;
		uint64_t hash = bp_hash_text(node->name, plan->newest);

		if (!is_candidate(plan, node) || node == self)
			continue;
		if (hash > own ||
		    (hash == own && strcmp(node->name, plan->node) < 0))
			before++;
	}
	return before;
}

/* Returns whether a snapshot is due and the delay of this node is over. */
bool
bp_snapshotplan_should_write(
    bp_snapshotplan_t *plan, const bp_state_t *state, int64_t now_us)
{
	uint64_t next_offset = bp_state_next_offset(state);
	uint32_t before;

	if (next_offset <= plan->newest ||
	    (now_us - plan->newest_us < plan->interval_us &&
		next_offset - plan->newest < plan->records)) {
		plan->due_us = 0;
		return false;
	}
	if (plan->due_us == 0)
		plan->due_us = now_us;
	before = rank(plan, state);
	return before != UINT32_MAX &&
	    now_us - plan->due_us >= before * plan->rank_wait_us;
}
