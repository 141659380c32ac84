#include "clients/snapshotloader.h"

#include "clients/chunkset.h"

#define MODULE "snapshotloader"
/* Limit of chunks per read; 64 records of maximum size are 4 MiB. */
#define WINDOW_CHUNKS 64U
/* Limits restarts after chunks expire while the stream is being read. */
#define RESTARTS_MAX 3U

/*
 * Reads the stream backwards in windows, so that time and memory do not grow
 * with the number of retained snapshots.
 */
struct bp_snapshotloader {
	bp_logclient_t *log;
	bp_logger_t *logger;
	bp_snapshotloader_done_t done;
	void *data;
	bp_chunkset_t *chunks;
	uint64_t first;
	uint64_t window_start;
	uint64_t window_end;
	uint64_t at;
	uint32_t restarts;
};

static void next_window(bp_snapshotloader_t *loader, uint64_t end);
static void read_bounds(bp_snapshotloader_t *loader);

/* Creates an idle loader. The caller frees it with bp_snapshotloader_free. */
bp_snapshotloader_t *
bp_snapshotloader_new(bp_logclient_t *log, bp_logger_t *logger,
    bp_snapshotloader_done_t done, void *data)
{
	bp_snapshotloader_t *loader = g_new0(bp_snapshotloader_t, 1);

	loader->log = log;
	loader->logger = logger;
	loader->done = done;
	loader->data = data;
	return loader;
}

/* Stops loading; done does not run. */
void
bp_snapshotloader_cancel(bp_snapshotloader_t *loader)
{
	bp_logclient_cancel(loader->log, loader);
	bp_chunkset_free(loader->chunks);
	loader->chunks = NULL;
}

/* Frees the loader, which may be NULL; done does not run. */
void
bp_snapshotloader_free(bp_snapshotloader_t *loader)
{
	if (loader == NULL)
		return;
	bp_snapshotloader_cancel(loader);
	g_free(loader);
}

static void
finish(bp_snapshotloader_t *loader, bp_state_t *state, const bp_error_t *err)
{
	bp_chunkset_free(loader->chunks);
	loader->chunks = NULL;
	loader->done(state, err, loader->data);
}

static void
skip(bp_snapshotloader_t *loader, const char *what, const bp_error_t *err)
{
	bp_log(loader->logger, BP_LOG_WARNING, MODULE, what, "reason",
	    err->message, NULL);
}

static bp_state_t *
load(bp_snapshotloader_t *loader, const GByteArray *bytes, uint64_t next_offset)
{
	bp_state_t *state;
	bp_error_t err;

	if (bp_snapshot_load(&state, bytes->data, bytes->len, &err) != BP_OK) {
		skip(loader, "snapshot not usable", &err);
		return NULL;
	}
	if (bp_state_next_offset(state) == next_offset)
		return state;
	bp_error_set(&err, BP_EINVALID,
	    "chunks of offset %" G_GUINT64_FORMAT " contain another snapshot",
	    next_offset);
	skip(loader, "snapshot not usable", &err);
	bp_state_free(state);
	return NULL;
}

static void
end_window(bp_snapshotloader_t *loader)
{
	bp_state_t *state = NULL;
	GByteArray *bytes;
	uint64_t next_offset;

	while (state == NULL &&
	    (bytes = bp_chunkset_take(loader->chunks, &next_offset)) != NULL) {
		state = load(loader, bytes, next_offset);
		g_byte_array_unref(bytes);
	}
	if (state != NULL)
		finish(loader, state, NULL);
	else
		next_window(loader, loader->window_start);
}

static void
restart(bp_snapshotloader_t *loader, const bp_error_t *err)
{
	loader->restarts++;
	if (loader->restarts <= RESTARTS_MAX)
		read_bounds(loader);
	else
		finish(loader, NULL, err);
}

static void on_chunks(
    const bp_log_batch_t *batch, const bp_error_t *err, void *data);

static void
read_chunks(bp_snapshotloader_t *loader)
{
	bp_logclient_read(loader->log, BP_SNAPSHOT_STREAM, loader->at,
	    (uint32_t)(loader->window_end - loader->at), 0, on_chunks, loader);
}

static void
on_chunks(const bp_log_batch_t *batch, const bp_error_t *err, void *data)
{
	bp_snapshotloader_t *loader = data;
	bp_error_t failure;
	size_t i;

	if (err != NULL && err->kind == BP_EEXPIRED) {
		restart(loader, err);
		return;
	}
	if (err == NULL && batch->count == 0) {
		bp_error_set(
		    &failure, BP_EMISMATCH, "no chunks below the head");
		err = &failure;
	}
	if (err != NULL) {
		finish(loader, NULL, err);
		return;
	}
	for (i = 0; i < batch->count; i++) {
		const bp_log_record_t *record = &batch->records[i];

		if (bp_chunkset_add(loader->chunks, record->bytes,
			record->size_bytes, &failure) != BP_OK)
			skip(loader, "chunk not usable", &failure);
	}
	loader->at += batch->count;
	if (loader->at < loader->window_end)
		read_chunks(loader);
	else
		end_window(loader);
}

static void
next_window(bp_snapshotloader_t *loader, uint64_t end)
{
	if (end <= loader->first) {
		finish(loader, NULL, NULL);
		return;
	}
	loader->window_end = end;
	loader->window_start = end - MIN(end - loader->first, WINDOW_CHUNKS);
	loader->at = loader->window_start;
	read_chunks(loader);
}

static void
on_bounds(const bp_log_batch_t *batch, const bp_error_t *err, void *data)
{
	bp_snapshotloader_t *loader = data;

	if (batch == NULL) {
		finish(loader, NULL, err);
		return;
	}
	loader->first = batch->first_offset;
	next_window(loader, batch->head_offset);
}

/* Offset 0 has usually expired; the response then holds the bounds only. */
static void
read_bounds(bp_snapshotloader_t *loader)
{
	bp_chunkset_free(loader->chunks);
	loader->chunks = bp_chunkset_new();
	bp_logclient_read(
	    loader->log, BP_SNAPSHOT_STREAM, 0, 1, 0, on_bounds, loader);
}

/* Starts loading; done runs once from the main loop unless cancelled. */
void
bp_snapshotloader_start(bp_snapshotloader_t *loader)
{
	bp_snapshotloader_cancel(loader);
	loader->restarts = 0;
	read_bounds(loader);
}
