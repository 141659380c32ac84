#include "state/private.h"

#define MS_PER_S 1000
/* A claim of a key that was issued longer ago is rejected. */
#define KEY_CLAIM_S (15ULL * 60)
/*
 * Claimed keys are retained this much longer than claims are accepted. An
 * unclaimed key in that age range can never be claimed.
 */
#define KEY_PROOF_S (5ULL * 60)

/* Tells whether a key is claimed and by which record; outputs may be NULL. */
bool
bp_state_key_claimed(const bp_state_t *state, const char *key,
    const char **node, uint64_t *incarnation, uint64_t *seq)
{
	const bp_key_claim_t *claim = g_hash_table_lookup(state->keys, key);

	if (claim == NULL)
		return false;
	if (node != NULL)
		*node = claim->node;
	if (incarnation != NULL)
		*incarnation = claim->incarnation;
	if (seq != NULL)
		*seq = claim->seq;
	return true;
}

/*
 * Returns true if no record has claimed the key and none can claim it later:
 * claims of its age are rejected, and claimed keys of its age are still
 * retained. The result stays valid if the state is behind the log, since the
 * claim horizon never moves back.
 */
bool
bp_state_key_never_claimed(
    const bp_state_t *state, const char *key, uint64_t issued_s)
{
	return issued_s < state->key_horizon_s &&
	    issued_s >= state->key_retention_s &&
	    !g_hash_table_contains(state->keys, key);
}

static gboolean
is_old_key(gpointer key, gpointer value, gpointer data)
{
	const bp_state_t *state = data;

	(void)key;
	return ((const bp_key_claim_t *)value)->issued_s <
	    state->key_retention_s;
}

/* Advances the claim horizon and removes expired keys. */
void
bp_state_prune_keys(bp_state_t *state)
{
	uint64_t now_s = (uint64_t)(state->now_ms / MS_PER_S);

	if (now_s > KEY_CLAIM_S)
		state->key_horizon_s =
		    MAX(state->key_horizon_s, now_s - KEY_CLAIM_S);
	if (state->key_horizon_s > KEY_PROOF_S)
		state->key_retention_s = MAX(
		    state->key_retention_s, state->key_horizon_s - KEY_PROOF_S);
	g_hash_table_foreach_remove(state->keys, is_old_key, state);
}
