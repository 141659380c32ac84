#include "bulrushpost/keyclaim.h"

struct bp_keyclaim {
	bp_key_claimer_t claimer; /* first, so that it can be cast back */
	bp_appender_t *appender;
	bp_follower_t *follower;
	uint32_t give_up_ms;
};

typedef struct {
	bp_follower_t *follower;
	bp_claim_done_t done;
	void *data;
} claim_call_t;

static bp_claim_result_t
result_of(const bp_applied_t *applied, const bp_error_t *err)
{
	if (applied == NULL)
		return err != NULL && err->kind == BP_ELOGDOWN
		    ? BP_CLAIM_LOG_UNAVAILABLE
		    : BP_CLAIM_NOT_KNOWN;
	switch (applied->kind) {
	case BP_OK:
		return BP_CLAIM_NOW;
	case BP_ECONFLICT:
		return BP_CLAIM_TAKEN;
	default:
		return BP_CLAIM_LOG_UNAVAILABLE;
	}
}

static void
on_claim(const bp_applied_t *applied, const bp_error_t *err, void *data)
{
	claim_call_t *call = data;
	const char *node = NULL;

	if (applied != NULL && applied->kind == BP_ECONFLICT)
		(void)bp_state_key_claimed(bp_follower_state(call->follower),
		    applied->entry->key_claim->key, &node, NULL, NULL);
	call->done(result_of(applied, err), node, call->data);
	g_free(call);
}

static char *
full_key(const char *service, const char *key)
{
	return g_strdup_printf("%s/%s", service, key);
}

static void
claim(const bp_key_claimer_t *claimer, const char *service, const char *key,
    int64_t issued_s, bp_claim_done_t done, void *data)
{
	const bp_keyclaim_t *self = (const bp_keyclaim_t *)claimer;
	Bp__Log__Entry entry = BP__LOG__ENTRY__INIT;
	Bp__Log__KeyClaim key_claim = BP__LOG__KEY_CLAIM__INIT;
	char *full = full_key(service, key);
	const char *node = NULL;
	claim_call_t *call;

	/* A known claim needs no append. */
	if (bp_state_key_claimed(
		bp_follower_state(self->follower), full, &node, NULL, NULL)) {
		done(BP_CLAIM_TAKEN, node, data);
		g_free(full);
		return;
	}
	call = g_new0(claim_call_t, 1);
	call->follower = self->follower;
	call->done = done;
	call->data = data;
	key_claim.key = full;
	key_claim.issued_s = (uint64_t)issued_s;
	entry.body_case = BP__LOG__ENTRY__BODY_KEY_CLAIM;
	entry.key_claim = &key_claim;
	if (bp_appender_add(self->appender, &entry, self->give_up_ms, on_claim,
		call, NULL) != BP_OK) {
		done(BP_CLAIM_LOG_UNAVAILABLE, NULL, data);
		g_free(call);
	}
	g_free(full);
}

/*
 * Creates the claimer. give_up_ms bounds how long a request waits for the
 * log before it is refused.
 */
bp_keyclaim_t *
bp_keyclaim_new(
    bp_appender_t *appender, bp_follower_t *follower, uint32_t give_up_ms)
{
	bp_keyclaim_t *self = g_new0(bp_keyclaim_t, 1);

	self->claimer.claim = claim;
	self->appender = appender;
	self->follower = follower;
	self->give_up_ms = give_up_ms;
	return self;
}

/* Frees the claimer. NULL is allowed. */
void
bp_keyclaim_free(bp_keyclaim_t *self)
{
	g_free(self);
}

/* Returns the interface for the gateway's options. */
const bp_key_claimer_t *
bp_keyclaim_claimer(const bp_keyclaim_t *self)
{
	return &self->claimer;
}
