#include "bulrushpost/ownership.h"

#include "bulrushpost/hash.h"

#include <string.h>

#define US_PER_MS 1000
#define HANDOVER_RACKS_DEFAULT 2
#define RANK_WAIT_MS_DEFAULT 2000
#define SETTLE_MS_DEFAULT 5000

struct bp_ownership {
	char *node;
	uint64_t incarnation;
	const bp_liveness_t *liveness;
	uint32_t handover_racks;
	uint32_t rank_wait_ms;
	uint32_t settle_ms;
	GHashTable *claimable_since; /* rack name to int64_t, monotonic us */
};

/* Fills the options with their defaults. */
int
bp_ownership_options_init(bp_ownership_options_t *options)
{
	memset(options, 0, sizeof(*options));
	options->handover_racks = HANDOVER_RACKS_DEFAULT;
	options->rank_wait_ms = RANK_WAIT_MS_DEFAULT;
	options->settle_ms = SETTLE_MS_DEFAULT;
	return BP_OK;
}

/* Creates the planner of one node; the options' strings are copied. */
bp_ownership_t *
bp_ownership_new(const bp_ownership_options_t *options)
{
	bp_ownership_t *ownership = g_new0(bp_ownership_t, 1);

	ownership->node = g_strdup(options->node);
	ownership->incarnation = options->incarnation;
	ownership->liveness = options->liveness;
	ownership->handover_racks = options->handover_racks;
	ownership->rank_wait_ms = options->rank_wait_ms;
	ownership->settle_ms = options->settle_ms;
	ownership->claimable_since =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	return ownership;
}

/* Frees the planner. NULL is allowed. */
void
bp_ownership_free(bp_ownership_t *ownership)
{
	if (ownership == NULL)
		return;
	g_hash_table_unref(ownership->claimable_since);
	g_free(ownership->node);
	g_free(ownership);
}

/* Rendezvous score: the node with the highest score should own the rack. */
uint64_t
bp_ownership_score(const char *rack, const char *node)
{
	return bp_hash_text(rack, bp_hash_text(node, 0));
}

static void
free_change(void *data)
{
	bp_ownership_step_t *change = data;

	if (change->kind == BP_OWNERSHIP_RELEASE)
		g_free(change->as.successor);
	g_free(change->rack);
	g_free(change);
}

static bool
is_usable(const bp_ownership_t *self, const bp_node_t *node, int64_t now_us)
{
	return !node->draining &&
	    !bp_liveness_dead(self->liveness, node->name, now_us);
}

/*
 * Returns the number of usable nodes with a higher score than this node, and
 * the best usable node in *best (NULL if there is none).
 */
static uint32_t
rank_of_self(const bp_ownership_t *self, const bp_state_t *state,
    const char *rack, int64_t now_us, const bp_node_t **best)
{
	uint64_t own = bp_ownership_score(rack, self->node);
	uint64_t best_score = 0;
	uint32_t rank = 0;
	GHashTableIter iter;
	gpointer value;

	*best = NULL;
	g_hash_table_iter_init(&iter, bp_state_nodes(state));
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const bp_node_t *node = value;
		uint64_t score = bp_ownership_score(rack, node->name);

		if (!is_usable(self, node, now_us))
			continue;
		if (score > own)
			rank++;
		if (*best == NULL || score > best_score) {
			*best = node;
			best_score = score;
		}
	}
	return rank;
}

static bool
is_own(const bp_ownership_t *self, const bp_rack_t *rack)
{
	return rack->owner != NULL && strcmp(rack->owner, self->node) == 0 &&
	    rack->owner_incarnation == self->incarnation;
}

/* Tells whether a rack may be claimed, and why. */
static bool
claimable(const bp_ownership_t *self, const bp_state_t *state,
    const bp_rack_t *rack, int64_t now_us, Bp__Log__ClaimGround *ground)
{
	const bp_node_t *owner;

	if (rack == NULL || (rack->owner == NULL && !rack->released)) {
		*ground = BP__LOG__CLAIM_GROUND__GROUND_UNOWNED;
		return true;
	}
	if (rack->released) {
		*ground = BP__LOG__CLAIM_GROUND__GROUND_RELEASED;
		return true;
	}
	*ground = BP__LOG__CLAIM_GROUND__GROUND_OWNER_DEAD;
	owner = bp_state_node(state, rack->owner);
	/* A newer incarnation of the owner means that its process ended. */
	if (owner == NULL || owner->incarnation != rack->owner_incarnation)
		return true;
	return bp_liveness_dead(self->liveness, rack->owner, now_us);
}

static int64_t
unowned_ms(bp_ownership_t *self, const char *rack, int64_t now_us)
{
	int64_t *since_us = g_hash_table_lookup(self->claimable_since, rack);

	if (since_us == NULL) {
		since_us = g_new(int64_t, 1);
		*since_us = now_us;
		g_hash_table_insert(
		    self->claimable_since, g_strdup(rack), since_us);
	}
	return (now_us - *since_us) / US_PER_MS;
}

static void
add_claim(GPtrArray *steps, const char *rack, uint64_t epoch,
    Bp__Log__ClaimGround ground)
{
	bp_ownership_step_t *change = g_new0(bp_ownership_step_t, 1);

	change->kind = BP_OWNERSHIP_CLAIM;
	change->rack = g_strdup(rack);
	change->epoch = epoch;
	change->as.ground = ground;
	g_ptr_array_add(steps, change);
}

static void
add_release(GPtrArray *steps, const bp_rack_t *rack, const char *successor)
{
	bp_ownership_step_t *change = g_new0(bp_ownership_step_t, 1);

	change->kind = BP_OWNERSHIP_RELEASE;
	change->rack = g_strdup(rack->name);
	change->epoch = rack->epoch;
	change->as.successor = g_strdup(successor);
	g_ptr_array_add(steps, change);
}

static void
plan_claim(bp_ownership_t *self, const bp_state_t *state, const char *name,
    const bp_rack_t *rack, Bp__Log__ClaimGround ground, int64_t now_us,
    GPtrArray *steps)
{
	const bp_node_t *best;
	uint32_t rank = rank_of_self(self, state, name, now_us, &best);

	/* Nodes of lower rank wait, so that normally only one claims. */
	if (unowned_ms(self, name, now_us) < (int64_t)rank * self->rank_wait_ms)
		return;
	add_claim(steps, name, rack != NULL ? rack->epoch : 0, ground);
}

static void
plan_release(bp_ownership_t *self, const bp_state_t *state,
    const bp_rack_t *rack, bool draining, int64_t now_us, uint32_t *handovers,
    GPtrArray *steps)
{
	const bp_node_t *best;

	(void)rank_of_self(self, state, rack->name, now_us, &best);
	if (draining) {
		add_release(steps, rack, best != NULL ? best->name : NULL);
		return;
	}
	if (best == NULL || strcmp(best->name, self->node) == 0)
		return;
	if (*handovers >= self->handover_racks ||
	    bp_liveness_age_ms(self->liveness, best->name, now_us) <
		(int64_t)self->settle_ms)
		return;
	(*handovers)++;
	add_release(steps, rack, best->name);
}

static void
plan_rack(bp_ownership_t *self, const bp_state_t *state, const char *name,
    bool draining, int64_t now_us, uint32_t *handovers, GPtrArray *steps)
{
	const bp_rack_t *rack = bp_state_rack(state, name);
	Bp__Log__ClaimGround ground;

	if (rack != NULL && is_own(self, rack)) {
		g_hash_table_remove(self->claimable_since, name);
		plan_release(
		    self, state, rack, draining, now_us, handovers, steps);
		return;
	}
	if (!claimable(self, state, rack, now_us, &ground)) {
		g_hash_table_remove(self->claimable_since, name);
		return;
	}
	if (!draining)
		plan_claim(self, state, name, rack, ground, now_us, steps);
}

/* See the header. The caller skips racks with a change in flight. */
GPtrArray *
bp_ownership_plan(bp_ownership_t *ownership, const bp_state_t *state,
    const char *const *racks, bool draining, int64_t now_us)
{
	GPtrArray *steps = g_ptr_array_new_with_free_func(free_change);
	uint32_t handovers = 0;
	GHashTableIter iter;
	gpointer key;
	size_t i;

	/* A node has no rank before it has read its own first record. */
	if (bp_state_node(state, ownership->node) == NULL)
		return steps;
	g_hash_table_iter_init(&iter, bp_state_racks(state));
	while (g_hash_table_iter_next(&iter, &key, NULL))
		plan_rack(
		    ownership, state, key, draining, now_us, &handovers, steps);
	for (i = 0; racks != NULL && racks[i] != NULL; i++) {
		if (bp_state_rack(state, racks[i]) == NULL)
			plan_rack(ownership, state, racks[i], draining, now_us,
			    &handovers, steps);
	}
	return steps;
}
