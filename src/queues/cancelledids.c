#include "queues/cancelledids.h"

#include "bulrushpost/message.h"

/* Time for which an ID is kept, ten times the usual deadline of a caller. */
#define KEEP_MS 30000
#define IDS_MAX 10000

typedef struct {
	Bp__Work__JobRef *job;
	int64_t added_ms; /* mono */
} entry_t;

struct bp_cancelled_ids {
	GHashTable *jobs; /* ID to GPtrArray of entry_t, of several queues */
	GQueue order; /* entry_t, the oldest first */
};

static void
free_entries(gpointer entries)
{
	g_ptr_array_unref(entries);
}

static void
free_entry(gpointer data)
{
	entry_t *entry = data;

	bp__work__job_ref__free_unpacked(entry->job, NULL);
	g_free(entry);
}

/* See the header. */
bp_cancelled_ids_t *
bp_cancelled_ids_new(void)
{
	bp_cancelled_ids_t *ids = g_new0(bp_cancelled_ids_t, 1);

	ids->jobs = g_hash_table_new_full(
	    g_str_hash, g_str_equal, g_free, free_entries);
	g_queue_init(&ids->order);
	return ids;
}

/* See the header. */
void
bp_cancelled_ids_free(bp_cancelled_ids_t *ids)
{
	if (ids == NULL)
		return;
	g_hash_table_unref(ids->jobs);
	g_queue_clear_full(&ids->order, free_entry);
	g_free(ids);
}

static void
drop_oldest(bp_cancelled_ids_t *ids)
{
	entry_t *entry = g_queue_pop_head(&ids->order);
	GPtrArray *entries = g_hash_table_lookup(ids->jobs, entry->job->id);

	(void)g_ptr_array_remove(entries, entry);
	if (entries->len == 0)
		g_hash_table_remove(ids->jobs, entry->job->id);
	free_entry(entry);
}

/* Returns the entries of an ID; adds a list for a new one. */
static GPtrArray *
entries_of(bp_cancelled_ids_t *ids, const char *id)
{
	GPtrArray *entries = g_hash_table_lookup(ids->jobs, id);

	if (entries == NULL) {
		entries = g_ptr_array_new();
		g_hash_table_insert(ids->jobs, g_strdup(id), entries);
	}
	return entries;
}

/* See the header. */
void
bp_cancelled_ids_add(bp_cancelled_ids_t *ids, const bp_catalog_t *catalog,
    const Bp__Work__JobRef *job, int64_t now_ms)
{
	entry_t *entry;

	if (bp_cancelled_ids_match(ids, catalog, job) == BP_JOB_REF_SAME)
		return;
	if (g_queue_get_length(&ids->order) >= IDS_MAX)
		drop_oldest(ids);
	entry = g_new(entry_t, 1);
	entry->job = bp_message_copy(&job->base);
	entry->added_ms = now_ms;
	g_ptr_array_add(entries_of(ids, job->id), entry);
	g_queue_push_tail(&ids->order, entry);
}

/* See the header. */
bp_job_ref_match_t
bp_cancelled_ids_match(const bp_cancelled_ids_t *ids,
    const bp_catalog_t *catalog, const Bp__Work__JobRef *call)
{
	const GPtrArray *entries = g_hash_table_lookup(ids->jobs, call->id);
	bp_job_ref_match_t match = BP_JOB_REF_OTHER;
	guint i;

	for (i = 0;
	     entries != NULL && i < entries->len && match != BP_JOB_REF_SAME;
	     i++) {
		const entry_t *entry = entries->pdata[i];
		bp_job_ref_match_t found =
		    bp_job_ref_match(catalog, entry->job, call);

		if (found != BP_JOB_REF_OTHER)
			match = found;
	}
	return match;
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
