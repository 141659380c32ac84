#include "gateway/keytable.h"

#include <glib.h>

/* The time for which the log accepts claims of a key. */
#define ENTRY_LIFETIME_MS (15 * 60 * 1000)
/* About 8 MB; the outcome of a removed entry is reported as not known. */
#define MAX_ENTRIES 50000

struct bp_keytable {
	GHashTable *entries; /* name to bp_key_entry_t */
	GQueue *order; /* bp_key_entry_t, oldest first */
	uint32_t refs;
};

static void
entry_free(gpointer data)
{
	bp_key_entry_t *entry = data;

	g_free(entry->name);
	g_free(entry);
}

/* Creates an empty table. Release with bp_keytable_unref. */
bp_keytable_t *
bp_keytable_new(void)
{
	bp_keytable_t *table = g_new0(bp_keytable_t, 1);

	table->entries =
	    g_hash_table_new_full(g_str_hash, g_str_equal, NULL, entry_free);
	table->order = g_queue_new();
	table->refs = 1;
	return table;
}

/* Takes a reference, for a claim that may outlive the gateway. */
bp_keytable_t *
bp_keytable_ref(bp_keytable_t *table)
{
	table->refs++;
	return table;
}

/* Drops a reference and frees the table with the last one. */
void
bp_keytable_unref(bp_keytable_t *table)
{
	if (--table->refs > 0)
		return;
	g_queue_free(table->order);
	g_hash_table_destroy(table->entries);
	g_free(table);
}

/* Returns a unique name of service and key: a key contains no line break. */
static char *
entry_name(const char *service, const char *key)
{
	return g_strdup_printf("%s\n%s", service, key);
}

static void
remove_expired(bp_keytable_t *table, int64_t now_ms)
{
	bp_key_entry_t *oldest;

	while ((oldest = g_queue_peek_head(table->order)) != NULL &&
	    (oldest->expires_ms <= now_ms ||
		g_hash_table_size(table->entries) > MAX_ENTRIES)) {
		g_queue_pop_head(table->order);
		g_hash_table_remove(table->entries, oldest->name);
	}
}

static bp_key_entry_t *
find_entry(bp_keytable_t *table, const char *service, const char *key)
{
	char *name = entry_name(service, key);
	bp_key_entry_t *entry = g_hash_table_lookup(table->entries, name);

	g_free(name);
	return entry;
}

/* Returns the entry of a key, valid until the next call, or NULL. */
const bp_key_entry_t *
bp_keytable_find(
    bp_keytable_t *table, const char *service, const char *key, int64_t now_ms)
{
	remove_expired(table, now_ms);
	return find_entry(table, service, key);
}

/* Records that a request with the key is in flight. */
void
bp_keytable_begin(
    bp_keytable_t *table, const char *service, const char *key, int64_t now_ms)
{
	bp_key_entry_t *entry = g_new0(bp_key_entry_t, 1);

	bp_keytable_drop(table, service, key);
	entry->name = entry_name(service, key);
	entry->expires_ms = now_ms + ENTRY_LIFETIME_MS;
	entry->in_flight = true;
	g_hash_table_insert(table->entries, entry->name, entry);
	g_queue_push_tail(table->order, entry);
	entry->link = table->order->tail;
	remove_expired(table, now_ms);
}

/* Records the outcome of a request; no effect without an entry. */
void
bp_keytable_end(bp_keytable_t *table, const char *service, const char *key,
    bp_outcome_t outcome, uint32_t http_status)
{
	bp_key_entry_t *entry = find_entry(table, service, key);

	if (entry == NULL)
		return;
	entry->in_flight = false;
	entry->outcome = outcome;
	entry->http_status = http_status;
}

/* Removes an entry; no effect without one. */
void
bp_keytable_drop(bp_keytable_t *table, const char *service, const char *key)
{
	bp_key_entry_t *entry = find_entry(table, service, key);

	if (entry == NULL)
		return;
	g_queue_delete_link(table->order, entry->link);
	g_hash_table_remove(table->entries, entry->name);
}
