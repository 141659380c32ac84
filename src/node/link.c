#include "node/link.h"

#include "bulrushpost/frame.h"

#include <netinet/in.h>
#include <netinet/tcp.h>

#define READ_BYTES 16384
/* Timeouts are checked this often in their own length. */
#define TICKS_PER_TIMEOUT 4

struct bp_link {
	GSocketConnection *connection;
	GCancellable *cancel;
	bp_frame_decoder_t *decoder;
	bp_link_options_t options;
	GByteArray *writing; /* handed to the stream */
	size_t written; /* of writing */
	GByteArray *queued; /* behind writing */
	int64_t active_ms; /* last whole frame in either direction */
	int64_t progress_ms; /* last progress of a write */
	guint tick;
	bool write_busy;
	bool closed;
	uint8_t buffer[READ_BYTES];
};

static void start_read(bp_link_t *link);
static void start_write(bp_link_t *link);

/* Takes a reference. */
bp_link_t *
bp_link_ref(bp_link_t *link)
{
	return g_rc_box_acquire(link);
}

static void
clear_link(gpointer data)
{
	bp_link_t *link = data;

	bp_link_close(link);
	g_object_unref(link->connection);
	g_object_unref(link->cancel);
	bp_frame_decoder_free(link->decoder);
	g_byte_array_unref(link->writing);
	g_byte_array_unref(link->queued);
}

/* Drops a reference; the last one frees the link. NULL is allowed. */
void
bp_link_unref(bp_link_t *link)
{
	if (link != NULL)
		g_rc_box_release_full(link, clear_link);
}

/*
 * Closes the link without a callback. The socket is shut down at once and
 * closed with the last reference: pending operations still poll it.
 */
void
bp_link_close(bp_link_t *link)
{
	if (link->closed)
		return;
	link->closed = true;
	g_clear_handle_id(&link->tick, g_source_remove);
	g_cancellable_cancel(link->cancel);
	g_socket_shutdown(
	    g_socket_connection_get_socket(link->connection), TRUE, TRUE, NULL);
}

static void
fail(bp_link_t *link, const bp_error_t *err)
{
	if (link->closed)
		return;
	bp_link_ref(link);
	bp_link_close(link);
	link->options.on_closed(link, err, link->options.data);
	bp_link_unref(link);
}

static void
fail_with(bp_link_t *link, bp_error_kind_t kind, const char *message)
{
	bp_error_t err;

	(void)bp_error_set(&err, kind, "%s", message);
	fail(link, &err);
}

static int64_t
now_ms(const bp_link_t *link)
{
	return bp_clock_mono_ms(link->options.clock);
}

static gboolean
on_tick(gpointer data)
{
	bp_link_t *link = data;
	int64_t now = now_ms(link);

	if (link->write_busy &&
	    now - link->progress_ms > (int64_t)link->options.stall_ms) {
		link->tick = 0;
		fail_with(link, BP_EOVERLOAD, "the peer reads too slowly");
		return G_SOURCE_REMOVE;
	}
	if (now - link->active_ms > (int64_t)link->options.idle_ms) {
		link->tick = 0;
		fail_with(link, BP_EDEADLINE, "no frame for too long");
		return G_SOURCE_REMOVE;
	}
	return G_SOURCE_CONTINUE;
}

static void
on_body(bp_link_t *link, const uint8_t *body, size_t size_bytes)
{
	Bp__Peer__Frame *frame =
	    bp__peer__frame__unpack(NULL, size_bytes, body);

	if (frame == NULL) {
		fail_with(link, BP_EINVALID, "a frame is not a peer message");
		return;
	}
	link->active_ms = now_ms(link);
	link->options.on_frame(link, frame, link->options.data);
	bp__peer__frame__free_unpacked(frame, NULL);
}

static void
take_frames(bp_link_t *link)
{
	bp_error_t err;
	const uint8_t *body;
	size_t size_bytes;
	int rc = 0;

	while (!link->closed &&
	    (rc = bp_frame_decoder_next(
		 link->decoder, &body, &size_bytes, &err)) == 1)
		on_body(link, body, size_bytes);
	if (!link->closed && rc < 0)
		fail(link, &err);
}

static void
on_read(GObject *source, GAsyncResult *result, gpointer data)
{
	bp_link_t *link = data;
	gssize n =
	    g_input_stream_read_finish(G_INPUT_STREAM(source), result, NULL);

	if (!link->closed && n <= 0) {
		fail_with(link, BP_EUNKNOWN, "the peer closed the connection");
	} else if (!link->closed) {
		bp_frame_decoder_push(link->decoder, link->buffer, (size_t)n);
		take_frames(link);
	}
	if (!link->closed)
		start_read(link);
	bp_link_unref(link);
}

static void
start_read(bp_link_t *link)
{
	GInputStream *stream =
	    g_io_stream_get_input_stream(G_IO_STREAM(link->connection));

	g_input_stream_read_async(stream, link->buffer, READ_BYTES,
	    G_PRIORITY_DEFAULT, link->cancel, on_read, bp_link_ref(link));
}

static void
on_written(GObject *source, GAsyncResult *result, gpointer data)
{
	bp_link_t *link = data;
	gssize n =
	    g_output_stream_write_finish(G_OUTPUT_STREAM(source), result, NULL);

	link->write_busy = false;
	if (!link->closed && n < 0) {
		fail_with(link, BP_EUNKNOWN, "the connection is broken");
	} else if (!link->closed) {
		link->written += (size_t)n;
		link->progress_ms = now_ms(link);
		start_write(link);
	}
	bp_link_unref(link);
}

static void
start_write(bp_link_t *link)
{
	GOutputStream *stream =
	    g_io_stream_get_output_stream(G_IO_STREAM(link->connection));
	GByteArray *empty = link->writing;

	if (link->write_busy)
		return;
	if (link->written == link->writing->len) {
		g_byte_array_set_size(empty, 0);
		link->writing = link->queued;
		link->queued = empty;
		link->written = 0;
	}
	if (link->writing->len == 0)
		return;
	link->write_busy = true;
	g_output_stream_write_async(stream, link->writing->data + link->written,
	    link->writing->len - link->written, G_PRIORITY_DEFAULT,
	    link->cancel, on_written, bp_link_ref(link));
}

/*
 * Queues a frame. Returns BP_ETOOLARGE for one over the frame limit and
 * BP_EUNREACHABLE when the link is closed or its peer reads too slowly; the
 * frame was then not queued.
 */
int
bp_link_send(bp_link_t *link, const Bp__Peer__Frame *frame, bp_error_t *err)
{
	size_t size_bytes = bp__peer__frame__get_packed_size(frame);
	uint8_t *body;
	int rc;

	if (link->closed)
		return bp_error_set(
		    err, BP_EUNREACHABLE, "the connection is closed");
	if (size_bytes > BP_FRAME_MAX_BYTES)
		return bp_error_set(err, BP_ETOOLARGE,
		    "%zu bytes do not fit a frame", size_bytes);
	if (link->queued->len + link->writing->len - link->written +
		size_bytes >
	    link->options.unsent_bytes_max) {
		fail_with(link, BP_EOVERLOAD, "the peer reads too slowly");
		return bp_error_set(
		    err, BP_EUNREACHABLE, "the peer reads too slowly");
	}
	body = g_malloc(MAX(size_bytes, 1));
	(void)bp__peer__frame__pack(frame, body);
	rc = bp_frame_append(link->queued, body, size_bytes, err);
	g_free(body);
	link->active_ms = now_ms(link);
	if (!link->write_busy)
		link->progress_ms = link->active_ms;
	start_write(link);
	return rc;
}

/* Creates a link with one reference and starts to read from it. */
bp_link_t *
bp_link_new(GSocketConnection *connection, const bp_link_options_t *options)
{
	bp_link_t *link = g_rc_box_new0(bp_link_t);
	uint32_t shortest = MIN(options->idle_ms, options->stall_ms);

	link->connection = g_object_ref(connection);
	link->cancel = g_cancellable_new();
	link->decoder = bp_frame_decoder_new();
	link->options = *options;
	link->writing = g_byte_array_new();
	link->queued = g_byte_array_new();
	link->active_ms = now_ms(link);
	/* Frames are small and complete; waiting to join them adds delay. */
	(void)g_socket_set_option(g_socket_connection_get_socket(connection),
	    IPPROTO_TCP, TCP_NODELAY, 1, NULL);
	link->tick =
	    g_timeout_add(MAX(shortest / TICKS_PER_TIMEOUT, 1), on_tick, link);
	start_read(link);
	return link;
}
