#include "clients/chunkset.h"

#include "bulrushpost/hash.h"
#include "bulrushpost/state.h"

#define PARTS_MAX 1024U
/* Half of the memory that the control functions of a node may use. */
#define SET_MAX_BYTES (32U * 1024 * 1024)

typedef struct {
	uint64_t next_offset;
	uint32_t parts;
	uint32_t present;
	size_t size_bytes;
	GBytes **bodies; /* parts entries, NULL while missing */
} partial_snapshot_t;

struct bp_chunkset {
	GPtrArray *partials; /* partial_t */
	size_t size_bytes;
};

static void
free_partial_snapshot(void *data)
{
	partial_snapshot_t *partial = data;
	uint32_t i;

	for (i = 0; i < partial->parts; i++) {
		if (partial->bodies[i] != NULL)
			g_bytes_unref(partial->bodies[i]);
	}
	g_free(partial->bodies);
	g_free(partial);
}

/* Creates an empty set. Free with bp_chunkset_free. */
bp_chunkset_t *
bp_chunkset_new(void)
{
	bp_chunkset_t *set = g_new0(bp_chunkset_t, 1);

	set->partials = g_ptr_array_new_with_free_func(free_partial_snapshot);
	return set;
}

/* Frees the set, which may be NULL. */
void
bp_chunkset_free(bp_chunkset_t *set)
{
	if (set == NULL)
		return;
	g_ptr_array_unref(set->partials);
	g_free(set);
}

static int
check_chunk(const Bp__Log__SnapshotChunk *chunk, bp_error_t *err)
{
	if (chunk->version != BP_RECORD_VERSION)
		return bp_error_set(err, BP_EVERSION,
		    "the chunk has version %u, this release supports %d",
		    chunk->version, BP_RECORD_VERSION);
	if (chunk->parts == 0 || chunk->parts > PARTS_MAX ||
	    chunk->part >= chunk->parts)
		return bp_error_set(err, BP_EINVALID,
		    "invalid part number %u of %u", chunk->part, chunk->parts);
	if (bp_hash_crc32(chunk->body.data, chunk->body.len) != chunk->crc)
		return bp_error_set(err, BP_EINVALID,
		    "part %u of %u has a wrong CRC", chunk->part, chunk->parts);
	return BP_OK;
}

static int
decode_chunk(Bp__Log__SnapshotChunk **out, const uint8_t *bytes,
    size_t size_bytes, bp_error_t *err)
{
	Bp__Log__SnapshotChunk *chunk =
	    bp__log__snapshot_chunk__unpack(NULL, size_bytes, bytes);
	int rc;

	*out = NULL;
	if (chunk == NULL) {
		(void)bp_error_set(
		    err, BP_EINVALID, "the chunk cannot be decoded");
		return BP_EINVALID;
	}
	rc = check_chunk(chunk, err);
	if (rc == BP_OK)
		*out = chunk;
	else
		bp__log__snapshot_chunk__free_unpacked(chunk, NULL);
	return rc;
}

static partial_snapshot_t *
find_partial(bp_chunkset_t *set, const Bp__Log__SnapshotChunk *chunk)
{
	partial_snapshot_t *partial;
	guint i;

	for (i = 0; i < set->partials->len; i++) {
		partial = g_ptr_array_index(set->partials, i);
		if (partial->next_offset == chunk->next_offset &&
		    partial->parts == chunk->parts)
			return partial;
	}
	partial = g_new0(partial_snapshot_t, 1);
	partial->next_offset = chunk->next_offset;
	partial->parts = chunk->parts;
	partial->bodies = g_new0(GBytes *, chunk->parts);
	g_ptr_array_add(set->partials, partial);
	return partial;
}

static void
drop_oldest(bp_chunkset_t *set)
{
	partial_snapshot_t *oldest = g_ptr_array_index(set->partials, 0);
	guint i;

	for (i = 1; i < set->partials->len; i++) {
		partial_snapshot_t *partial =
		    g_ptr_array_index(set->partials, i);

		if (partial->next_offset < oldest->next_offset)
			oldest = partial;
	}
	set->size_bytes -= oldest->size_bytes;
	g_ptr_array_remove_fast(set->partials, oldest);
}

/*
 * Adds a chunk; a duplicate is ignored. Returns BP_EINVALID for a corrupt
 * chunk and BP_EVERSION for an unknown version. The chunks of the oldest
 * snapshots are dropped while the set exceeds its size limit.
 */
int
bp_chunkset_add(bp_chunkset_t *set, const uint8_t *bytes, size_t size_bytes,
    bp_error_t *err)
{
	Bp__Log__SnapshotChunk *chunk;
	partial_snapshot_t *partial;
	int rc = decode_chunk(&chunk, bytes, size_bytes, err);

	if (rc != BP_OK)
		return rc;
	partial = find_partial(set, chunk);
	if (partial->bodies[chunk->part] == NULL) {
		partial->bodies[chunk->part] =
		    g_bytes_new(chunk->body.data, chunk->body.len);
		partial->present++;
		partial->size_bytes += chunk->body.len;
		set->size_bytes += chunk->body.len;
	}
	bp__log__snapshot_chunk__free_unpacked(chunk, NULL);
	while (set->size_bytes > SET_MAX_BYTES)
		drop_oldest(set);
	return BP_OK;
}

static GByteArray *
join(const partial_snapshot_t *partial)
{
	GByteArray *bytes = g_byte_array_sized_new((guint)partial->size_bytes);
	uint32_t i;

	for (i = 0; i < partial->parts; i++) {
		gsize size_bytes;
		const void *body =
		    g_bytes_get_data(partial->bodies[i], &size_bytes);

		g_byte_array_append(bytes, body, (guint)size_bytes);
	}
	return bytes;
}

/*
 * Removes the newest complete snapshot from the set and returns it, or NULL.
 * The caller frees it with g_byte_array_unref.
 */
GByteArray *
bp_chunkset_take(bp_chunkset_t *set, uint64_t *next_offset)
{
	partial_snapshot_t *newest = NULL;
	GByteArray *bytes;
	guint i;

	for (i = 0; i < set->partials->len; i++) {
		partial_snapshot_t *partial =
		    g_ptr_array_index(set->partials, i);

		if (partial->present == partial->parts &&
		    (newest == NULL ||
			partial->next_offset > newest->next_offset))
			newest = partial;
	}
	if (newest == NULL)
		return NULL;
	*next_offset = newest->next_offset;
	bytes = join(newest);
	set->size_bytes -= newest->size_bytes;
	g_ptr_array_remove_fast(set->partials, newest);
	return bytes;
}

/* Decodes the identity of a chunk. Errors are those of bp_chunkset_add. */
int
bp_chunk_decode_id(bp_chunk_id_t *out, const uint8_t *bytes, size_t size_bytes,
    bp_error_t *err)
{
	Bp__Log__SnapshotChunk *chunk;
	int rc = decode_chunk(&chunk, bytes, size_bytes, err);

	if (rc != BP_OK)
		return rc;
	out->next_offset = chunk->next_offset;
	out->part = chunk->part;
	out->parts = chunk->parts;
	bp__log__snapshot_chunk__free_unpacked(chunk, NULL);
	return BP_OK;
}

/*
 * Encodes a chunk with a CRC of its body. The caller frees it with
 * g_byte_array_unref.
 */
GByteArray *
bp_chunk_encode(const bp_chunk_id_t *id, const uint8_t *body, size_t size_bytes)
{
	Bp__Log__SnapshotChunk chunk = BP__LOG__SNAPSHOT_CHUNK__INIT;
	GByteArray *bytes = g_byte_array_new();

	chunk.version = BP_RECORD_VERSION;
	chunk.next_offset = id->next_offset;
	chunk.part = id->part;
	chunk.parts = id->parts;
	chunk.crc = bp_hash_crc32(body, size_bytes);
	chunk.body.data = (uint8_t *)(uintptr_t)body;
	chunk.body.len = size_bytes;
	g_byte_array_set_size(
	    bytes, (guint)bp__log__snapshot_chunk__get_packed_size(&chunk));
	bp__log__snapshot_chunk__pack(&chunk, bytes->data);
	return bytes;
}
