#include "state/private.h"

#include <string.h>

static int
apply_entry(bp_apply_t *ctx, const Bp__Log__Entry *entry)
{
	switch (entry->body_case) {
	case BP__LOG__ENTRY__BODY_CLAIM:
		return bp_apply_claim(ctx, entry->claim);
	case BP__LOG__ENTRY__BODY_RELEASE:
		return bp_apply_release(ctx, entry->release);
	case BP__LOG__ENTRY__BODY_VM_UPSERT:
		return bp_apply_vm_upsert(ctx, entry->vm_upsert);
	case BP__LOG__ENTRY__BODY_VM_HOLD:
		return bp_apply_vm_hold(ctx, entry->vm_hold);
	case BP__LOG__ENTRY__BODY_JOB_SUBMIT:
		return bp_apply_job_submit(ctx, entry->job_submit);
	case BP__LOG__ENTRY__BODY_JOB_CANCEL:
		return bp_apply_job_cancel(ctx, entry->job_cancel);
	case BP__LOG__ENTRY__BODY_ASSIGN:
		return bp_apply_assign(ctx, entry->assign);
	case BP__LOG__ENTRY__BODY_TASK_END:
		return bp_apply_task_end(ctx, entry->task_end);
	case BP__LOG__ENTRY__BODY_RULES_PUBLISH:
		return bp_apply_rules_publish(ctx, entry->rules_publish);
	case BP__LOG__ENTRY__BODY_ZONE_CHANGE:
		return bp_apply_zone_change(ctx, entry->zone_change);
	case BP__LOG__ENTRY__BODY_JOB_RESIZE:
		return bp_apply_job_resize(ctx, entry->job_resize);
	case BP__LOG__ENTRY__BODY_KEY_CLAIM:
		return bp_apply_key_claim(ctx, entry->key_claim);
	case BP__LOG__ENTRY__BODY__NOT_SET:
	case _BP__LOG__ENTRY__BODY__CASE_IS_INT_SIZE:
		break;
	}
	return bp_error_set(ctx->err, BP_EINVALID, "entry of unknown kind");
}

static void
notify(bp_state_t *state, const bp_applied_t *applied)
{
	guint i;

	for (i = 0; i < state->observers->len; i++) {
		bp_observer_slot_t slot =
		    g_array_index(state->observers, bp_observer_slot_t, i);

		slot.observer(applied, slot.data);
	}
}

static void
apply_entries(bp_state_t *state, const Bp__Log__Record *record, uint64_t offset)
{
	bp_error_t err;
	bp_apply_t ctx = {state, record, offset, &err};
	size_t i;

	for (i = 0; i < record->n_entries; i++) {
		bp_applied_t applied = {0};

		bp_error_clear(&err);
		applied.kind = apply_entry(&ctx, record->entries[i]);
		applied.entry = record->entries[i];
		applied.node = record->node;
		applied.incarnation = record->incarnation;
		applied.seq = record->seq;
		applied.offset = offset;
		applied.index = (uint32_t)i;
		applied.message = err.message;
		notify(state, &applied);
	}
}

/*
 * Updates the node from its newest incarnation only: a late record of an
 * earlier incarnation must not restore the old address.
 */
static void
update_node(bp_state_t *state, const Bp__Log__Record *record, uint64_t offset,
    bool new_incarnation)
{
	bp_node_t *node = bp_state_node(state, record->node);

	if (node == NULL) {
		node = g_new0(bp_node_t, 1);
		node->name = g_strdup(record->node);
		g_hash_table_insert(state->nodes, node->name, node);
	} else if (!new_incarnation &&
	    node->incarnation != record->incarnation) {
		return;
	}
	g_free(node->zone);
	g_free(node->address);
	node->zone = g_strdup(record->zone);
	node->address = g_strdup(record->address);
	node->incarnation = record->incarnation;
	node->seq = record->seq;
	node->draining = record->draining;
	node->last_offset = offset;
	node->time_ms = (int64_t)record->time_ms;
	if (record->zone[0] != '\0')
		bp_state_add_zone(state, record->zone);
}

/* Returns false if the sequence number is not above the last one applied. */
static bool
accept_sequence(
    bp_state_t *state, const Bp__Log__Record *record, uint64_t offset)
{
	gint64 key = (gint64)record->incarnation;
	bp_incarnation_t *entry =
	    g_hash_table_lookup(state->incarnations, &key);
	bool is_new = entry == NULL;

	if (!is_new && record->seq <= entry->seq)
		return false;
	if (is_new) {
		entry = g_new0(bp_incarnation_t, 1);
		entry->node = g_strdup(record->node);
		g_hash_table_insert(
		    state->incarnations, g_memdup2(&key, sizeof(key)), entry);
	}
	entry->seq = record->seq;
	entry->last_offset = offset;
	update_node(state, record, offset, is_new);
	return true;
}

/*
 * Applies the record at the given offset. Offsets must be given in order; a
 * record below the next offset is ignored. Returns BP_ESTATE for a gap and
 * BP_EVERSION for a record of a later version; both leave the state unchanged.
 * A record that cannot be decoded is skipped, with the same result on every
 * node.
 */
int
bp_state_apply(bp_state_t *state, uint64_t offset, const uint8_t *bytes,
    size_t size_bytes, bp_error_t *err)
{
	Bp__Log__Record *record;

	if (offset < state->next_offset)
		return BP_OK;
	if (offset > state->next_offset)
		return bp_error_set(err, BP_ESTATE,
		    "record %" G_GUINT64_FORMAT " follows %" G_GUINT64_FORMAT,
		    offset, state->next_offset);
	record = bp__log__record__unpack(NULL, size_bytes, bytes);
	if (record != NULL && record->version > BP_RECORD_VERSION) {
		(void)bp_error_set(err, BP_EVERSION,
		    "record %" G_GUINT64_FORMAT
		    " has version %u, this release knows %u",
		    offset, record->version, BP_RECORD_VERSION);
		bp__log__record__free_unpacked(record, NULL);
		return BP_EVERSION;
	}
	state->next_offset = offset + 1;
	if (record != NULL && record->version != 0 && record->node[0] != '\0') {
		state->now_ms = MAX(state->now_ms, (int64_t)record->time_ms);
		if (accept_sequence(state, record, offset))
			apply_entries(state, record, offset);
		bp_state_prune(state);
	}
	if (record != NULL)
		bp__log__record__free_unpacked(record, NULL);
	return BP_OK;
}
