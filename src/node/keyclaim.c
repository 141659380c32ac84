#include "bulrushpost/keyclaim.h"

#include "node/keyask.h"

#include <string.h>

struct bp_keyclaim {
	bp_key_claimer_t claimer; /* first, so that it can be cast back */
	bp_keyclaim_options_t options;
	bp_peer_client_t *client;
};

/* A claim in flight, or a query about a claim of another node. */
typedef struct {
	const bp_keyclaim_t *keyclaim;
	bp_claim_done_t done;
	void *data;
} claim_call_t;

static void
finish(
    claim_call_t *call, bp_claim_result_t result, const bp_key_holder_t *holder)
{
	call->done(result, holder, call->data);
	g_free(call);
}

static void
on_holder(const bp_key_holder_t *holder, void *data)
{
	finish(data, BP_CLAIM_CONFLICT, holder);
}

/*
 * A key of this node needs no query: its gateway has been asked before, and
 * the records of an earlier process of this node are lost.
 */
static void
finish_taken(claim_call_t *call, const char *full, const char *node)
{
	const bp_keyclaim_t *self = call->keyclaim;
	bp_key_holder_t holder = {
	    .node = node, .outcome = BP_OUTCOME_NOT_KNOWN};

	if (strcmp(node, self->options.node) == 0)
		finish(call, BP_CLAIM_CONFLICT, &holder);
	else
		bp_keyask(self->client,
		    bp_follower_state(self->options.follower), node, full,
		    on_holder, call);
}

static bp_claim_result_t
result_of(const bp_applied_t *applied, const bp_error_t *err)
{
	if (applied == NULL)
		return err != NULL && err->kind == BP_ELOGDOWN
		    ? BP_CLAIM_LOG_UNAVAILABLE
		    : BP_CLAIM_UNKNOWN;
	switch (applied->kind) {
	case BP_OK:
		return BP_CLAIM_ACQUIRED;
	case BP_EEXPIRED:
		return BP_CLAIM_EXPIRED;
	default:
		return BP_CLAIM_LOG_UNAVAILABLE;
	}
}

static void
on_claim(const bp_applied_t *applied, const bp_error_t *err, void *data)
{
	claim_call_t *call = data;
	const char *node = NULL;
	const char *full;

	if (applied == NULL || applied->kind != BP_ECONFLICT) {
		finish(call, result_of(applied, err), NULL);
		return;
	}
	full = applied->entry->key_claim->key;
	(void)bp_state_key_claimed(
	    bp_follower_state(call->keyclaim->options.follower), full, &node,
	    NULL, NULL);
	if (node != NULL)
		finish_taken(call, full, node);
	else
		finish(call, BP_CLAIM_CONFLICT, NULL);
}

static void
append_claim(claim_call_t *call, char *full, int64_t issued_s)
{
	const bp_keyclaim_options_t *options = &call->keyclaim->options;
	Bp__Log__Entry entry = BP__LOG__ENTRY__INIT;
	Bp__Log__KeyClaim key_claim = BP__LOG__KEY_CLAIM__INIT;

	key_claim.key = full;
	key_claim.issued_s = (uint64_t)issued_s;
	entry.body_case = BP__LOG__ENTRY__BODY_KEY_CLAIM;
	entry.key_claim = &key_claim;
	if (bp_appender_add(options->appender, &entry, options->timeout_ms,
		on_claim, call, NULL) != BP_OK)
		finish(call, BP_CLAIM_LOG_UNAVAILABLE, NULL);
}

static void
claim(const bp_key_claimer_t *claimer, const char *service, const char *key,
    int64_t issued_s, bp_claim_done_t done, void *data)
{
	const bp_keyclaim_t *self = (const bp_keyclaim_t *)claimer;
	char *full = g_strdup_printf("%s/%s", service, key);
	claim_call_t *call = g_new0(claim_call_t, 1);
	const char *node = NULL;

	call->keyclaim = self;
	call->done = done;
	call->data = data;
	/* A known claim needs no append. */
	if (bp_state_key_claimed(bp_follower_state(self->options.follower),
		full, &node, NULL, NULL))
		finish_taken(call, full, node);
	else
		append_claim(call, full, issued_s);
	g_free(full);
}

/* Creates the claimer; options are copied, but not what they point to. */
bp_keyclaim_t *
bp_keyclaim_new(const bp_keyclaim_options_t *options)
{
	bp_keyclaim_t *self = g_new0(bp_keyclaim_t, 1);

	self->claimer.claim = claim;
	self->options = *options;
	self->client = bp_peer_client_new(options->clock, options->logger);
	return self;
}

/* Frees the claimer; open queries end as not known. NULL is allowed. */
void
bp_keyclaim_free(bp_keyclaim_t *self)
{
	if (self == NULL)
		return;
	bp_peer_client_free(self->client);
	g_free(self);
}

/* Returns the interface for the gateway's options. */
const bp_key_claimer_t *
bp_keyclaim_claimer(const bp_keyclaim_t *self)
{
	return &self->claimer;
}
