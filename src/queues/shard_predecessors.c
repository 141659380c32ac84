#include "queues/shard_private.h"

#include <string.h>

/* Period of asking earlier owners that have not answered. */
#define ASK_PERIOD_MS 300

typedef struct {
	char *address;
	bool stopped; /* it sends no more orders */
} predecessor_t;

static void
predecessor_free(gpointer data)
{
	predecessor_t *predecessor = data;

	g_free(predecessor->address);
	g_free(predecessor);
}

/* Creates the empty list of earlier owners. */
GPtrArray *
bp_shard_predecessors_new(void)
{
	return g_ptr_array_new_with_free_func(predecessor_free);
}

static predecessor_t *
find(const bp_shard_t *shard, const char *address)
{
	guint i;

	for (i = 0; i < shard->predecessors->len; i++) {
		predecessor_t *predecessor = shard->predecessors->pdata[i];

		if (strcmp(predecessor->address, address) == 0)
			return predecessor;
	}
	return NULL;
}

static void
add(bp_shard_t *shard, const char *address)
{
	predecessor_t *predecessor;

	if (find(shard, address) != NULL)
		return;
	predecessor = g_new0(predecessor_t, 1);
	predecessor->address = g_strdup(address);
	g_ptr_array_add(shard->predecessors, predecessor);
}

/*
 * Reads from the record of the previous owner which earlier owners may still
 * send orders. The record of an earlier release does not say so.
 */
void
bp_shard_load_predecessors(bp_shard_t *shard, const Bp__Work__Owner *previous)
{
	size_t i;

	g_ptr_array_set_size(shard->predecessors, 0);
	shard->orders_stopped = false;
	shard->orders_stopped_ms = 0;
	shard->predecessors_known = previous == NULL || previous->earlier_known;
	if (previous == NULL)
		return;
	add(shard, previous->address);
	for (i = 0; i < previous->n_earlier; i++)
		add(shard, previous->earlier[i]);
}

/* Adds the earlier owners that may still send orders to an owner record, which
 * borrows the addresses. Free earlier with g_free. */
void
bp_shard_store_predecessors(const bp_shard_t *shard, Bp__Work__Owner *owner)
{
	guint i;

	owner->earlier_known =
	    shard->orders_stopped || shard->predecessors_known;
	owner->earlier = g_new0(char *, shard->predecessors->len);
	for (i = 0; i < shard->predecessors->len; i++) {
		const predecessor_t *predecessor =
		    shard->predecessors->pdata[i];

		if (!shard->orders_stopped && !predecessor->stopped)
			owner->earlier[owner->n_earlier++] =
			    predecessor->address;
	}
}

static void
set_orders_stopped(bp_shard_t *shard, const char *proof)
{
	shard->orders_stopped = true;
	bp_log(shard->options.logger, BP_LOG_NOTICE, BP_SHARD_MODULE,
	    "earlier owners send no more orders", "proof", proof, NULL);
	/* Stored for the successor, which then asks only this owner; without
	 * earlier owners the claim says it. */
	shard->owner_record_due =
	    !shard->predecessors_known || shard->predecessors->len > 0;
	if (shard->owner_record_due)
		bp_record_writer_request(shard->writer, false);
	bp_shard_check_reconciliation(shard);
}

static bool
all_stopped(const bp_shard_t *shard)
{
	guint i;

	for (i = 0; i < shard->predecessors->len; i++) {
		const predecessor_t *predecessor =
		    shard->predecessors->pdata[i];

		if (!predecessor->stopped)
			return false;
	}
	return shard->predecessors_known;
}

/* See the header. */
void
bp_shard_owner_stopped(
    bp_shard_t *shard, const char *address, int64_t stopped_ms)
{
	predecessor_t *predecessor = find(shard, address);

	if (shard->phase != BP_SHARD_OWNED || shard->orders_stopped ||
	    predecessor == NULL || predecessor->stopped)
		return;
	predecessor->stopped = true;
	shard->orders_stopped_ms = MAX(shard->orders_stopped_ms, stopped_ms);
	if (all_stopped(shard))
		set_orders_stopped(shard, "their nodes say so");
}

/*
 * Asks the nodes of earlier owners whether they may still send orders, until
 * all have stopped or the order grace has passed.
 */
void
bp_shard_ask_predecessors(bp_shard_t *shard)
{
	int64_t now_ms = bp_shard_now_ms(shard);
	guint i;

	if (shard->orders_stopped || shard->phase != BP_SHARD_OWNED)
		return;
	if (now_ms - shard->owned_ms >= BP_SHARD_ORDER_GRACE_MS) {
		shard->orders_stopped_ms =
		    shard->owned_ms + BP_SHARD_ORDER_GRACE_MS;
		set_orders_stopped(shard, "the order grace has passed");
		return;
	}
	if (all_stopped(shard)) {
		shard->orders_stopped_ms = shard->owned_ms;
		set_orders_stopped(shard, "there were none");
		return;
	}
	if (shard->options.ask_owner == NULL ||
	    (shard->asked_ms != 0 && now_ms - shard->asked_ms < ASK_PERIOD_MS))
		return;
	shard->asked_ms = now_ms;
	for (i = 0; i < shard->predecessors->len; i++) {
		const predecessor_t *predecessor =
		    shard->predecessors->pdata[i];

		if (!predecessor->stopped)
			shard->options.ask_owner(
			    shard, predecessor->address, shard->options.data);
	}
}
