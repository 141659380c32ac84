#include "node/link.h"

#include "bulrushpost/frame.h"
#include "bulrushpost/message.h"

#include <netinet/in.h>
#include <netinet/tcp.h>

#define READ_BYTES 16384
/* Room that a link keeps for what it sends. */
#define KEPT_BYTES 65536
/*
 * The priority of reading: a source of a lower priority would wait for a main
 * loop iteration with nothing to read, which a busy node may not reach for
 * long.
 */
#define FLUSH_PRIORITY G_PRIORITY_DEFAULT
/* Number of checks for a timeout within the length of that timeout. */
#define TICKS_PER_TIMEOUT 4

struct bp_link {
	GSocketConnection *connection;
	GSocket *socket; /* of the connection */
	GSource *reader;
	GSource *writer; /* waits until writable; NULL if not blocked */
	guint flush; /* source that writes the queued frames; 0 for none */
	bp_frame_decoder_t *decoder;
	bp_link_options_t options;
	GByteArray *unsent;
	size_t written; /* of unsent */
	int64_t active_ms; /* last whole frame in either direction */
	int64_t progress_ms; /* last progress of a write */
	guint tick;
	bool closed;
	bp_admitted_t *admitted; /* NULL when it is not counted */
	uint64_t held_bytes; /* of unanswered requests */
	uint32_t held_requests;
	uint8_t buffer[READ_BYTES];
};

static void flush(bp_link_t *link);

/* Takes a reference. */
bp_link_t *
bp_link_ref(bp_link_t *link)
{
	return g_rc_box_acquire(link);
}

static void
drop_source(GSource **source)
{
	if (*source == NULL)
		return;
	g_source_destroy(*source);
	g_clear_pointer(source, g_source_unref);
}

static void
clear_link(gpointer data)
{
	bp_link_t *link = data;

	bp_link_close(link);
	g_object_unref(link->connection);
	bp_frame_decoder_free(link->decoder);
	g_byte_array_unref(link->unsent);
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
 * closed with the last reference.
 */
void
bp_link_close(bp_link_t *link)
{
	if (link->closed)
		return;
	link->closed = true;
	bp_clock_cancel_timer(link->options.clock, &link->tick);
	g_clear_handle_id(&link->flush, g_source_remove);
	drop_source(&link->reader);
	drop_source(&link->writer);
	bp_admitted_leave(link->admitted);
	link->admitted = NULL;
	g_socket_shutdown(link->socket, TRUE, TRUE, NULL);
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

/*
 * Called by the admission, for a link that is not being read from or sent to
 * at the time. Its memory is freed at once; the next event of the socket ends
 * it.
 */
static void
on_shut(void *data)
{
	bp_link_t *link = data;

	g_byte_array_unref(link->unsent);
	link->unsent = g_byte_array_new();
	link->written = 0;
	bp_frame_decoder_free(link->decoder);
	link->decoder = bp_frame_decoder_new();
	(void)g_socket_shutdown(link->socket, TRUE, TRUE, NULL);
}

/* A byte array's capacity is a power of two. */
static uint64_t
capacity_of(uint64_t size_bytes)
{
	uint64_t capacity = size_bytes > 0 ? 1 : 0;

	while (capacity < size_bytes)
		capacity *= 2;
	return capacity;
}

/* Counts what the peer has begun and not read; false when there is no room. */
static bool
count(bp_link_t *link, size_t more_bytes)
{
	uint64_t unread = link->unsent->len > link->written || more_bytes > 0
	    ? capacity_of(link->unsent->len + more_bytes)
	    : 0;
	size_t partial = bp_frame_decoder_pending(link->decoder);

	if (link->admitted == NULL)
		return true;
	if (unread > 0)
		bp_admitted_set_phase(link->admitted, BP_ADMITTED_ANSWER);
	else if (link->held_requests > 0)
		bp_admitted_set_phase(link->admitted, BP_ADMITTED_SERVED);
	else if (partial == 0)
		bp_admitted_set_phase(link->admitted, BP_ADMITTED_IDLE);
	else if (bp_admitted_phase(link->admitted) != BP_ADMITTED_BODY)
		bp_admitted_set_phase(link->admitted, BP_ADMITTED_BODY);
	return bp_admitted_set_bytes(
	    link->admitted, link->held_bytes + unread + capacity_of(partial));
}

/* See the header. */
bool
bp_link_set_held(bp_link_t *link, uint64_t bytes, uint32_t requests)
{
	link->held_bytes = bytes;
	link->held_requests = requests;
	return link->closed || count(link, 0);
}

/* See the header. */
bool
bp_link_admitted(const bp_link_t *link)
{
	return link->options.admission == NULL || link->admitted != NULL;
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

	if (link->unsent->len > 0 &&
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
	/* The age of the next frame begins now. */
	bp_admitted_set_phase(link->admitted, BP_ADMITTED_IDLE);
	link->options.on_frame(link, frame, link->options.data);
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

/* Reads once; the source fires again for the remaining bytes. */
static gboolean
on_readable(GSocket *socket, GIOCondition condition, gpointer data)
{
	bp_link_t *link = data;
	GError *error = NULL;
	gssize n = g_socket_receive_with_blocking(
	    socket, (gchar *)link->buffer, READ_BYTES, FALSE, NULL, &error);

	(void)condition;
	if (n < 0 &&
	    g_error_matches(error, G_IO_ERROR, G_IO_ERROR_WOULD_BLOCK)) {
		g_error_free(error);
		return G_SOURCE_CONTINUE;
	}
	g_clear_error(&error);
	bp_link_ref(link);
	if (bp_admitted_closing(link->admitted)) {
		fail_with(link, BP_EOVERLOAD, "a limit on callers was reached");
	} else if (n <= 0) {
		fail_with(link, BP_EUNKNOWN, "the peer closed the connection");
	} else {
		bp_frame_decoder_push(link->decoder, link->buffer, (size_t)n);
		take_frames(link);
		bp_frame_decoder_trim(link->decoder);
		if (!link->closed && !count(link, 0))
			fail_with(link, BP_EOVERLOAD,
			    "no memory for an unfinished frame");
	}
	bp_link_unref(link);
	return G_SOURCE_CONTINUE;
}

static gboolean
on_writable(GSocket *socket, GIOCondition condition, gpointer data)
{
	bp_link_t *link = data;

	(void)socket;
	(void)condition;
	bp_link_ref(link);
	flush(link);
	bp_link_unref(link);
	return G_SOURCE_CONTINUE;
}

static void
wait_until_writable(bp_link_t *link)
{
	if (link->writer != NULL)
		return;
	link->writer = g_socket_create_source(link->socket, G_IO_OUT, NULL);
	g_source_set_callback(
	    link->writer, G_SOURCE_FUNC(on_writable), link, NULL);
	(void)g_source_attach(link->writer, NULL);
}

/* Writes until all is sent or the connection takes no more. */
static void
flush(bp_link_t *link)
{
	GError *error = NULL;

	while (!link->closed && link->written < link->unsent->len) {
		gssize n = g_socket_send_with_blocking(link->socket,
		    (const gchar *)link->unsent->data + link->written,
		    link->unsent->len - link->written, FALSE, NULL, &error);

		if (n < 0 &&
		    g_error_matches(
			error, G_IO_ERROR, G_IO_ERROR_WOULD_BLOCK)) {
			g_error_free(error);
			wait_until_writable(link);
			return;
		}
		g_clear_error(&error);
		if (n < 0) {
			fail_with(
			    link, BP_EUNKNOWN, "the connection is broken");
			return;
		}
		link->written += (size_t)n;
		link->progress_ms = now_ms(link);
		(void)count(link, 0);
	}
	if (link->unsent->len > KEPT_BYTES) {
		g_byte_array_unref(link->unsent);
		link->unsent = g_byte_array_new();
	}
	g_byte_array_set_size(link->unsent, 0);
	link->written = 0;
	drop_source(&link->writer);
	if (!link->closed)
		(void)count(link, 0);
}

static gboolean
on_flush(gpointer data)
{
	bp_link_t *link = data;

	link->flush = 0;
	bp_link_ref(link);
	flush(link);
	bp_link_unref(link);
	return G_SOURCE_REMOVE;
}

/* Frames of one main loop iteration are written together in the next. */
static void
schedule_flush(bp_link_t *link)
{
	if (link->flush == 0 && link->writer == NULL)
		link->flush =
		    g_idle_add_full(FLUSH_PRIORITY, on_flush, link, NULL);
}

/*
 * Queues a packed frame. Returns BP_ETOOLARGE for one over the frame limit
 * and BP_EUNREACHABLE when the link is closed or its peer reads too slowly;
 * the frame was then not queued.
 */
int
bp_link_send_packed(
    bp_link_t *link, const uint8_t *body, size_t size_bytes, bp_error_t *err)
{
	if (link->closed)
		return bp_error_set(
		    err, BP_EUNREACHABLE, "the connection is closed");
	if (size_bytes > BP_FRAME_MAX_BYTES)
		return bp_error_set(err, BP_ETOOLARGE,
		    "%zu bytes do not fit a frame", size_bytes);
	if (link->unsent->len - link->written + size_bytes >
	    link->options.unsent_bytes_max) {
		fail_with(link, BP_EOVERLOAD, "the peer reads too slowly");
		return bp_error_set(
		    err, BP_EUNREACHABLE, "the peer reads too slowly");
	}
	if (!count(link, size_bytes)) {
		fail_with(link, BP_EOVERLOAD, "no memory for unread answers");
		return bp_error_set(
		    err, BP_EUNREACHABLE, "no memory for unread answers");
	}
	link->active_ms = now_ms(link);
	if (link->unsent->len == 0)
		link->progress_ms = link->active_ms;
	schedule_flush(link);
	return bp_frame_append(link->unsent, body, size_bytes, err);
}

/* Queues a frame; see bp_link_send_packed. */
int
bp_link_send(bp_link_t *link, const Bp__Peer__Frame *frame, bp_error_t *err)
{
	GBytes *bytes = bp_message_pack(&frame->base);
	gsize size_bytes = 0;
	const uint8_t *body = g_bytes_get_data(bytes, &size_bytes);
	int rc = bp_link_send_packed(link, body, size_bytes, err);

	g_bytes_unref(bytes);
	return rc;
}

/* Creates a link with one reference and starts to read from it. */
bp_link_t *
bp_link_new(GSocketConnection *connection, const bp_link_options_t *options)
{
	bp_link_t *link = g_rc_box_new0(bp_link_t);
	uint32_t shortest = MIN(options->idle_ms, options->stall_ms);

	link->connection = g_object_ref(connection);
	link->socket = g_socket_connection_get_socket(connection);
	link->decoder = bp_frame_decoder_new();
	link->options = *options;
	link->unsent = g_byte_array_new();
	link->active_ms = now_ms(link);
	/* Frames are small and complete; Nagle's algorithm would delay them. */
	(void)g_socket_set_option(
	    link->socket, IPPROTO_TCP, TCP_NODELAY, 1, NULL);
	link->tick = bp_clock_add_timer(link->options.clock,
	    MAX(shortest / TICKS_PER_TIMEOUT, 1), on_tick, link);
	link->reader = g_socket_create_source(link->socket, G_IO_IN, NULL);
	g_source_set_callback(
	    link->reader, G_SOURCE_FUNC(on_readable), link, NULL);
	(void)g_source_attach(link->reader, NULL);
	if (options->admission != NULL)
		link->admitted = bp_admission_enter(
		    options->admission, BP_ADMISSION_CONTROL, on_shut, link);
	return link;
}
