#include "bulrushpost/snapshotwriter.h"

#include "clients/chunkset.h"
#include "clients/snapshotplan.h"

#include <string.h>

#define MODULE "snapshotwriter"
#define INTERVAL_MS (15U * 60 * 1000)
#define RECORDS 20000U
#define RANK_WAIT_MS 10000U
#define CHUNK_BYTES (48U * 1024)
/* 20 chunks/s leave most of the log's append rate limit to records. */
#define CHUNK_PAUSE_MS 50
#define CHUNK_RETRY_MS 500
#define CHUNK_ATTEMPTS 60U
/* Polls without a new chunk until another node's snapshot counts as stopped. */
#define FOREIGN_POLLS 2
#define FOREIGN_READ_MAX 8U
#define US_PER_MS 1000

struct bp_snapshotwriter {
	bp_snapshotwriter_options_t options;
	char *node;
	bp_snapshotplan_t *plan;
	uint64_t known_head; /* latest head of the snapshot stream */
	uint64_t written;
	int64_t foreign_chunk_us; /* when another node's chunk was last seen */
	bool polling;
	GByteArray *bytes; /* the snapshot being written, or NULL */
	bp_chunk_id_t chunk; /* the next one to write */
	uint64_t last_offset; /* of the previous chunk, if part > 0 */
	uint32_t attempts;
	guint poll_source;
	guint chunk_source;
};

static void append_chunk(bp_snapshotwriter_t *writer);

/* Sets the defaults; the caller must set clock, log, follower and node. */
int
bp_snapshotwriter_options_init(bp_snapshotwriter_options_t *options)
{
	*options = (bp_snapshotwriter_options_t){
	    .interval_ms = INTERVAL_MS,
	    .records = RECORDS,
	    .rank_delay_ms = RANK_WAIT_MS,
	    .poll_ms = RANK_WAIT_MS,
	    .chunk_bytes = CHUNK_BYTES,
	};
	return BP_OK;
}

static int64_t
now_us(const bp_snapshotwriter_t *writer)
{
	return bp_clock_mono_us(writer->options.clock);
}

static void
stop_writing(bp_snapshotwriter_t *writer, const char *message)
{
	char *offset =
	    g_strdup_printf("%" G_GUINT64_FORMAT, writer->chunk.next_offset);

	bp_log(writer->options.logger, BP_LOG_NOTICE, MODULE, message, "offset",
	    offset, NULL);
	g_free(offset);
	g_clear_pointer(&writer->bytes, g_byte_array_unref);
	if (writer->chunk_source != 0)
		g_source_remove(writer->chunk_source);
	writer->chunk_source = 0;
}

static gboolean
on_chunk_due(void *data)
{
	bp_snapshotwriter_t *writer = data;

	writer->chunk_source = 0;
	append_chunk(writer);
	return G_SOURCE_REMOVE;
}

static void
arm_chunk(bp_snapshotwriter_t *writer, uint32_t delay_ms)
{
	writer->chunk_source = g_timeout_add(delay_ms, on_chunk_due, writer);
}

/*
 * If two nodes write snapshots concurrently, the one further ahead continues.
 * Both writers see the same chunks, so exactly one of them stops.
 */
static bool
is_ahead(const bp_snapshotwriter_t *writer, const bp_chunk_id_t *foreign)
{
	if (foreign->next_offset != writer->chunk.next_offset)
		return foreign->next_offset > writer->chunk.next_offset;
	return foreign->part >= writer->chunk.part;
}

static void
note_chunk(bp_snapshotwriter_t *writer, const bp_log_record_t *record)
{
	bp_chunk_id_t id;

	if (bp_chunk_decode_id(&id, record->bytes, record->size_bytes, NULL) !=
	    BP_OK)
		return;
	if (id.part + 1 == id.parts)
		bp_snapshotplan_completed(
		    writer->plan, id.next_offset, now_us(writer));
	else
		writer->foreign_chunk_us = now_us(writer);
	if (writer->bytes != NULL && is_ahead(writer, &id))
		stop_writing(
		    writer, "stopped: another node is writing a snapshot");
}

static void
next_chunk(bp_snapshotwriter_t *writer)
{
	writer->chunk.part++;
	writer->attempts = 0;
	if (writer->chunk.part < writer->chunk.parts) {
		arm_chunk(writer, CHUNK_PAUSE_MS);
		return;
	}
	writer->written++;
	bp_snapshotplan_completed(
	    writer->plan, writer->chunk.next_offset, now_us(writer));
	stop_writing(writer, "snapshot written");
}

static void
on_foreign(const bp_log_batch_t *batch, const bp_error_t *err, void *data)
{
	bp_snapshotwriter_t *writer = data;
	size_t i;

	for (i = 0; err == NULL && i < batch->count; i++) {
		if (batch->records[i].offset < writer->last_offset &&
		    writer->bytes != NULL)
			note_chunk(writer, &batch->records[i]);
	}
	if (writer->bytes != NULL)
		next_chunk(writer);
}

static void
on_appended(uint64_t offset, const bp_error_t *err, void *data)
{
	bp_snapshotwriter_t *writer = data;
	uint64_t expected = writer->last_offset + 1;
	bool first = writer->chunk.part == 0;

	if (err != NULL) {
		writer->attempts++;
		if (writer->attempts >= CHUNK_ATTEMPTS)
			stop_writing(writer,
			    "snapshot abandoned: too many failed appends");
		else
			arm_chunk(writer, CHUNK_RETRY_MS);
		return;
	}
	writer->last_offset = offset;
	writer->known_head = offset + 1;
	if (first || offset <= expected) {
		next_chunk(writer);
		return;
	}
	bp_logclient_read(writer->options.log, BP_SNAPSHOT_STREAM, expected,
	    (uint32_t)MIN(offset - expected, FOREIGN_READ_MAX), 0, on_foreign,
	    writer);
}

/* Readers ignore chunks that are repeated after a lost response. */
static void
append_chunk(bp_snapshotwriter_t *writer)
{
	size_t start = (size_t)writer->chunk.part * writer->options.chunk_bytes;
	size_t size_bytes = MIN(
	    writer->bytes->len - start, (size_t)writer->options.chunk_bytes);
	GByteArray *chunk = bp_chunk_encode(
	    &writer->chunk, writer->bytes->data + start, size_bytes);

	bp_logclient_append(writer->options.log, BP_SNAPSHOT_STREAM,
	    chunk->data, chunk->len, on_appended, writer);
	g_byte_array_unref(chunk);
}

static void
start_writing(bp_snapshotwriter_t *writer)
{
	const bp_state_t *state = bp_follower_state(writer->options.follower);
	uint32_t chunk_bytes = writer->options.chunk_bytes;
	bp_error_t err;

	if (bp_snapshot_save(&writer->bytes, state, &err) != BP_OK) {
		bp_log(writer->options.logger, BP_LOG_ERR, MODULE,
		    "cannot encode the snapshot", "reason", err.message, NULL);
		writer->bytes = NULL;
		return;
	}
	writer->chunk.next_offset = bp_state_next_offset(state);
	writer->chunk.part = 0;
	writer->chunk.parts =
	    MAX((writer->bytes->len + chunk_bytes - 1) / chunk_bytes, 1);
	writer->attempts = 0;
	append_chunk(writer);
}

static bool
is_foreign_active(const bp_snapshotwriter_t *writer)
{
	int64_t quiet_us =
	    (int64_t)writer->options.poll_ms * FOREIGN_POLLS * US_PER_MS;

	return writer->foreign_chunk_us != 0 &&
	    now_us(writer) - writer->foreign_chunk_us < quiet_us;
}

static void
consider(bp_snapshotwriter_t *writer)
{
	bp_follower_t *follower = writer->options.follower;

	if (writer->bytes != NULL ||
	    bp_follower_status(follower) != BP_FOLLOWER_CURRENT)
		return;
	if (bp_snapshotplan_should_write(
		writer->plan, bp_follower_state(follower), now_us(writer)) &&
	    !is_foreign_active(writer))
		start_writing(writer);
}

static void
on_last_chunk(const bp_log_batch_t *batch, const bp_error_t *err, void *data)
{
	bp_snapshotwriter_t *writer = data;

	writer->polling = false;
	if (err != NULL)
		return;
	if (batch->count == 1) {
		writer->known_head =
		    MAX(writer->known_head, batch->records[0].offset + 1);
		note_chunk(writer, &batch->records[0]);
	}
	consider(writer);
}

/* Chunks of a snapshot are written in order, so the last one suffices. */
static void
on_bounds(const bp_log_batch_t *batch, const bp_error_t *err, void *data)
{
	bp_snapshotwriter_t *writer = data;

	if (batch != NULL && batch->count == 1 &&
	    batch->records[0].offset + 1 == batch->head_offset) {
		on_last_chunk(batch, NULL, writer);
		return;
	}
	if (batch != NULL && batch->head_offset > writer->known_head &&
	    batch->head_offset > batch->first_offset) {
		bp_logclient_read(writer->options.log, BP_SNAPSHOT_STREAM,
		    batch->head_offset - 1, 1, 0, on_last_chunk, writer);
		return;
	}
	writer->polling = false;
	if (batch == NULL)
		return;
	consider(writer);
}

/*
 * Reads from the latest known head, so that a poll without news transfers
 * headers only.
 */
static gboolean
on_poll(void *data)
{
	bp_snapshotwriter_t *writer = data;

	bp_snapshotplan_update_liveness(writer->plan,
	    bp_follower_state(writer->options.follower), now_us(writer));
	if (writer->polling || writer->bytes != NULL)
		return G_SOURCE_CONTINUE;
	writer->polling = true;
	bp_logclient_read(writer->options.log, BP_SNAPSHOT_STREAM,
	    writer->known_head, 1, 0, on_bounds, writer);
	return G_SOURCE_CONTINUE;
}

/*
 * Creates a writer, which is idle until started. Returns BP_EINVALID for
 * missing or invalid options.
 */
int
bp_snapshotwriter_new(bp_snapshotwriter_t **out,
    const bp_snapshotwriter_options_t *options, bp_error_t *err)
{
	bp_snapshotwriter_t *writer;

	*out = NULL;
	if (options->clock == NULL || options->log == NULL ||
	    options->follower == NULL || options->node == NULL)
		return bp_error_set(err, BP_EINVALID,
		    "the snapshot writer needs a clock, log, follower and "
		    "node");
	if (options->chunk_bytes == 0 || options->chunk_bytes > CHUNK_BYTES ||
	    options->poll_ms == 0)
		return bp_error_set(err, BP_EINVALID,
		    "chunk_bytes must be from 1 to %u and poll_ms not 0",
		    CHUNK_BYTES);
	writer = g_new0(bp_snapshotwriter_t, 1);
	writer->options = *options;
	writer->node = g_strdup(options->node);
	writer->plan = bp_snapshotplan_new(writer->node, options->interval_ms,
	    options->records, options->rank_delay_ms);
	*out = writer;
	return BP_OK;
}

/* Stops writing and frees the writer, which may be NULL. */
void
bp_snapshotwriter_free(bp_snapshotwriter_t *writer)
{
	if (writer == NULL)
		return;
	bp_logclient_cancel(writer->options.log, writer);
	if (writer->poll_source != 0)
		g_source_remove(writer->poll_source);
	if (writer->chunk_source != 0)
		g_source_remove(writer->chunk_source);
	g_clear_pointer(&writer->bytes, g_byte_array_unref);
	bp_snapshotplan_free(writer->plan);
	g_free(writer->node);
	g_free(writer);
}

/* Starts polling the snapshot stream every poll_ms. */
void
bp_snapshotwriter_start(bp_snapshotwriter_t *writer)
{
	if (writer->poll_source != 0)
		return;
	bp_snapshotplan_start(writer->plan, now_us(writer));
	writer->poll_source =
	    g_timeout_add(writer->options.poll_ms, on_poll, writer);
}

/* Returns the number of snapshots that this node completed. */
uint64_t
bp_snapshotwriter_written(const bp_snapshotwriter_t *writer)
{
	return writer->written;
}

/* Returns the offset of the newest complete snapshot seen, or 0. */
uint64_t
bp_snapshotwriter_newest(const bp_snapshotwriter_t *writer)
{
	return bp_snapshotplan_newest(writer->plan);
}
