#include "queues/shard_private.h"

#include <string.h>

/*
 * The progress of a job of many tasks is divided: each part has a record of its
 * own, which is written when one of its tasks has changed. Parts are
 * independent of each other, and the executors' ends are acknowledged only once
 * all of them are stored, so a successor may find some older than others.
 */

static void
add_part_record(
    GPtrArray *records, const bp_qjob_t *job, uint32_t part, GBytes *value)
{
	char *key =
	    g_strdup_printf(BP_SHARD_PREFIX_PART "%s/%u", job->spec->id, part);

	g_ptr_array_add(records, bp_store_record_new_bytes(key, value));
	g_free(key);
}

/*
 * Adds the changed parts of a job to an append of at most max_bytes. Returns
 * whether none is left.
 */
bool
bp_qjob_add_parts(
    GPtrArray *records, bp_qjob_t *job, gsize *bytes, gsize max_bytes)
{
	uint32_t part;

	for (part = 0; part < job->n_parts; part++) {
		GBytes *value;

		if ((job->parts[part] & BP_QPART_CHANGED) == 0)
			continue;
		if (*bytes >= max_bytes)
			return false;
		value = bp_qjob_serialize_part(job, part);
		*bytes += g_bytes_get_size(value);
		add_part_record(records, job, part, value);
		g_bytes_unref(value);
		job->parts[part] &= (uint8_t)~BP_QPART_CHANGED;
		job->parts[part] |= BP_QPART_IN_APPEND;
	}
	return true;
}

/* Adds the removal of all parts that the store may hold. */
void
bp_qjob_remove_parts(GPtrArray *records, bp_qjob_t *job)
{
	uint32_t part;

	for (part = 0; part < job->n_parts; part++) {
		if (job->parts[part] == 0)
			continue;
		add_part_record(records, job, part, NULL);
		job->parts[part] |= BP_QPART_IN_APPEND;
	}
}

/* Handles the outcome of the append that held parts of the job. */
void
bp_qjob_parts_done(bp_qjob_t *job, bool stored)
{
	uint32_t part;

	for (part = 0; part < job->n_parts; part++) {
		if ((job->parts[part] & BP_QPART_IN_APPEND) == 0)
			continue;
		job->parts[part] &= (uint8_t)~BP_QPART_IN_APPEND;
		job->parts[part] |= stored ? BP_QPART_STORED : BP_QPART_CHANGED;
	}
}

/* Loads a part of a job; that of a job which is gone or has ended is removed
 * with the next append. */
void
bp_shard_load_part(bp_shard_t *shard, const bp_store_record_t *record)
{
	const char *slash = strrchr(record->key, '/');
	const char *id = record->key + BP_SHARD_PREFIX_CHARS;
	bp_error_t err = {BP_OK, ""};
	guint64 part = 0;
	gsize size = 0;
	const uint8_t *bytes = g_bytes_get_data(record->value, &size);
	char *name = slash > id ? g_strndup(id, (gsize)(slash - id)) : NULL;
	bp_qjob_t *job =
	    name != NULL ? g_hash_table_lookup(shard->jobs, name) : NULL;

	g_free(name);
	if (job == NULL || bp_qjob_ended(job)) {
		bp_shard_delete_key(shard, g_strdup(record->key));
		return;
	}
	if (!g_ascii_string_to_unsigned(
		slash + 1, 10, 0, UINT32_MAX, &part, NULL) ||
	    bp_qjob_load_part(job, (uint32_t)part, bytes, size, &err) != BP_OK)
		bp_log(shard->options.logger, BP_LOG_ERR, BP_SHARD_MODULE,
		    "cannot load a stored part of a job's progress", "key",
		    record->key, "reason", err.message, NULL);
}
