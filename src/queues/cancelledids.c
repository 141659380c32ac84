#include "queues/cancelledids.h"

/* Time for which an ID is kept, ten times the usual deadline of a caller. */
#define KEEP_MS 30000
#define IDS_MAX 10000

typedef struct {
	char *key; /* owned by the set */
	int64_t added_ms; /* mono */
} entry_t;

struct bp_cancelled_ids {
	GHashTable *keys; /* set of queue and ID */
	GQueue order; /* entry_t, the oldest first */
};

static char *
key_of(const char *queue, const char *id)
{
	return g_strconcat(queue, "/", id, NULL);
}

/* See the header. */
bp_cancelled_ids_t *
bp_cancelled_ids_new(void)
{
	bp_cancelled_ids_t *ids = g_new0(bp_cancelled_ids_t, 1);

	ids->keys =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	g_queue_init(&ids->order);
	return ids;
}

/* See the header. */
void
bp_cancelled_ids_free(bp_cancelled_ids_t *ids)
{
	if (ids == NULL)
		return;
	g_queue_clear_full(&ids->order, g_free);
	g_hash_table_unref(ids->keys);
	g_free(ids);
}

static void
drop_oldest(bp_cancelled_ids_t *ids)
{
	entry_t *entry = g_queue_pop_head(&ids->order);

	g_hash_table_remove(ids->keys, entry->key);
	g_free(entry);
}

/* See the header. */
void
bp_cancelled_ids_add(
    bp_cancelled_ids_t *ids, const char *queue, const char *id, int64_t now_ms)
{
	char *key = key_of(queue, id);
	entry_t *entry;

	if (g_hash_table_contains(ids->keys, key)) {
		g_free(key);
		return;
	}
	if (g_queue_get_length(&ids->order) >= IDS_MAX)
		drop_oldest(ids);
	g_hash_table_add(ids->keys, key);
	entry = g_new(entry_t, 1);
	entry->key = key;
	entry->added_ms = now_ms;
	g_queue_push_tail(&ids->order, entry);
}

/* See the header. */
bool
bp_cancelled_ids_contains(
    const bp_cancelled_ids_t *ids, const char *queue, const char *id)
{
	char *key = key_of(queue, id);
	bool found = g_hash_table_contains(ids->keys, key);

	g_free(key);
	return found;
}

/* See the header. */
void
bp_cancelled_ids_expire(bp_cancelled_ids_t *ids, int64_t now_ms)
{
	const entry_t *oldest;

	while ((oldest = g_queue_peek_head(&ids->order)) != NULL &&
	    now_ms - oldest->added_ms >= KEEP_MS)
		drop_oldest(ids);
}

/* See the header. */
uint32_t
bp_cancelled_ids_count(const bp_cancelled_ids_t *ids)
{
	return g_queue_get_length((GQueue *)&ids->order);
}
