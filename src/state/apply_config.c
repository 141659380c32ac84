#include "state/private.h"

#include <string.h>

static char **
zone_names(const bp_state_t *state)
{
	GPtrArray *names = g_ptr_array_new();
	GHashTableIter iter;
	gpointer key;

	g_hash_table_iter_init(&iter, state->zones);
	while (g_hash_table_iter_next(&iter, &key, NULL))
		g_ptr_array_add(names, g_strdup(key));
	g_ptr_array_add(names, NULL);
	return (char **)g_ptr_array_free(names, FALSE);
}

/*
 * Puts a rule file in force if it was edited from the version in force. If
 * two operators edit the same version, the later entry fails.
 */
int
bp_apply_rules_publish(bp_apply_t *ctx, const Bp__Log__RulesPublish *publish)
{
	const bp_rules_version_t *current = bp_state_rules(ctx->state);
	uint64_t in_force = current != NULL ? current->version : 0;
	bp_rules_known_names_t names = {0};
	bp_rules_version_t *version;
	bp_rules_t *rules = NULL;
	char **zones;
	int rc;

	if (publish->base_version != in_force)
		return bp_error_set(ctx->err, BP_ECONFLICT,
		    "edited from version %" G_GUINT64_FORMAT
		    ", but version %" G_GUINT64_FORMAT " by %s is in force",
		    publish->base_version, in_force,
		    current != NULL ? current->author : "nobody");
	zones = zone_names(ctx->state);
	names.zones = (const char *const *)zones;
	rc = bp_rules_parse(
	    &rules, publish->text, strlen(publish->text), &names, ctx->err);
	g_strfreev(zones);
	if (rc != BP_OK)
		return rc;
	version = g_new0(bp_rules_version_t, 1);
	version->version = in_force + 1;
	version->text = g_strdup(publish->text);
	version->author = g_strdup(publish->author);
	version->offset = ctx->offset;
	version->time_ms = (int64_t)ctx->record->time_ms;
	version->rules = rules;
	bp_state_activate_rules(ctx->state, version);
	return BP_OK;
}

/* Takes an availability zone out of service or returns it to service. */
int
bp_apply_zone_change(bp_apply_t *ctx, const Bp__Log__ZoneChange *change)
{
	bp_zone_t *zone = bp_state_zone(ctx->state, change->zone);

	if (zone == NULL)
		return bp_error_set(ctx->err, BP_ENOTFOUND,
		    "no availability zone is named %s", change->zone);
	if (zone->version != change->base_version)
		return bp_error_set(ctx->err, BP_ECONFLICT,
		    "%s took zone %s %s first (\"%s\"); it is at version "
		    "%" G_GUINT64_FORMAT ", the change was made from "
		    "%" G_GUINT64_FORMAT,
		    zone->author, zone->name,
		    zone->out_of_service ? "out" : "in", zone->reason,
		    zone->version, change->base_version);
	zone->out_of_service = change->out;
	zone->version++;
	zone->offset = ctx->offset;
	zone->time_ms = (int64_t)ctx->record->time_ms;
	g_free(zone->author);
	zone->author = g_strdup(change->author);
	g_free(zone->reason);
	zone->reason = g_strdup(change->reason);
	return BP_OK;
}

/* Claims an idempotency key for the writer; only the first claim succeeds. */
int
bp_apply_key_claim(bp_apply_t *ctx, const Bp__Log__KeyClaim *claim)
{
	const char *node;
	bp_key_claim_t *key;

	if (claim->key[0] == '\0')
		return bp_error_set(ctx->err, BP_EINVALID, "empty key");
	if (claim->issued_s < ctx->state->key_horizon_s)
		return bp_error_set(ctx->err, BP_EEXPIRED,
		    "the key was issued too long ago to be told from a "
		    "repeat");
	if (bp_state_key_claimed(ctx->state, claim->key, &node, NULL, NULL))
		return bp_error_set(ctx->err, BP_ECONFLICT,
		    "the key was claimed before by node %s", node);
	key = g_new0(bp_key_claim_t, 1);
	key->node = g_strdup(ctx->record->node);
	key->incarnation = ctx->record->incarnation;
	key->seq = ctx->record->seq;
	key->issued_s = claim->issued_s;
	g_hash_table_insert(ctx->state->keys, g_strdup(claim->key), key);
	return BP_OK;
}
