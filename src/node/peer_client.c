#include "bulrushpost/peer.h"

#include "bulrushpost/message.h"
#include "node/link.h"

#include <string.h>

#define MODULE "peer"
/* Shorter than the server's limit, so that the client closes first. */
#define IDLE_TIMEOUT_MS 30000
#define WRITE_TIMEOUT_MS 10000
#define UNSENT_BYTES_MAX (8 * 1024 * 1024)
/* A timer later than this shows that the process was delayed. */
#define LATE_TIMER_MS 100
/* Extra time to read what arrived while the process was delayed. */
#define EXTENSION_MS 50
#define US_PER_MS 1000

struct bp_peer_client {
	const bp_clock_t *clock;
	bp_logger_t *logger;
	GSocketClient *connector;
	GHashTable *peers; /* address to peer_t */
	uint64_t next_correlation;
};

/* A control address with its connection and the calls to it. */
typedef struct {
	bp_peer_client_t *client; /* NULL once the client is freed */
	char *address;
	bp_link_t *link; /* NULL unless connected */
	GCancellable *connecting; /* NULL unless connecting */
	GHashTable *calls; /* correlation to call_t */
	GArray *unsent; /* correlations, in order; some may have ended */
	guint sending; /* source that sends them; 0 for none */
	int64_t last_frame_us; /* monotonic time of the last frame */
} peer_t;

typedef struct {
	peer_t *peer;
	const bp_clock_t *clock;
	GBytes *request; /* packed; NULL once sent */
	uint64_t correlation;
	Bp__Peer__Verb verb;
	bool sent;
	int64_t sent_us; /* monotonic */
	int64_t deadline_us; /* monotonic */
	bool extended; /* its deadline was extended once */
	guint timer;
	bp_peer_done_t done;
	void *data;
	GDestroyNotify dropped; /* may be NULL */
} call_t;

static void
call_free(gpointer data)
{
	call_t *call = data;

	bp_clock_cancel_timer(call->clock, &call->timer);
	g_clear_pointer(&call->request, g_bytes_unref);
	g_free(call);
}

/* Frees a call that did not end. */
static void
call_drop(gpointer data)
{
	call_t *call = data;

	if (call->dropped != NULL)
		call->dropped(call->data);
	call_free(call);
}

static void
clear_peer(gpointer data)
{
	peer_t *peer = data;

	g_hash_table_unref(peer->calls);
	g_array_unref(peer->unsent);
	g_clear_object(&peer->connecting);
	bp_link_unref(peer->link);
	g_free(peer->address);
}

static void
peer_unref(gpointer data)
{
	g_rc_box_release_full(data, clear_peer);
}

/* Ends a call; it leaves the table first, as done may start new calls. */
static void
finish(call_t *call, const Bp__Peer__Frame *answer, const bp_error_t *err)
{
	peer_t *peer = call->peer;

	(void)g_rc_box_acquire(peer);
	g_hash_table_steal(peer->calls, &call->correlation);
	call->done(answer, err, call->data);
	call_free(call);
	peer_unref(peer);
}

/* Returns ids, not calls, since done may end other calls. */
static GArray *
correlations_of(const peer_t *peer)
{
	GArray *correlations = g_array_new(FALSE, FALSE, sizeof(uint64_t));
	GHashTableIter iter;
	gpointer key;

	g_hash_table_iter_init(&iter, peer->calls);
	while (g_hash_table_iter_next(&iter, &key, NULL))
		g_array_append_vals(correlations, key, 1);
	return correlations;
}

static call_t *
find_call(const peer_t *peer, const GArray *correlations, guint index)
{
	return g_hash_table_lookup(
	    peer->calls, &g_array_index(correlations, uint64_t, index));
}

/* Ends the calls that were sent as BP_EUNKNOWN, and others, unless they are to
 * wait for the next connection, as BP_EUNREACHABLE. */
static void
finish_calls(peer_t *peer, bool sent_only, const char *reason)
{
	GArray *correlations = correlations_of(peer);
	bp_error_t err;
	guint i;

	(void)g_rc_box_acquire(peer);
	for (i = 0; i < correlations->len && peer->client != NULL; i++) {
		call_t *call = find_call(peer, correlations, i);

		if (call == NULL || (sent_only && !call->sent))
			continue;
		(void)bp_error_set(&err,
		    call->sent ? BP_EUNKNOWN : BP_EUNREACHABLE, "%s: %s",
		    peer->address, reason);
		finish(call, NULL, &err);
	}
	g_array_unref(correlations);
	peer_unref(peer);
}

static void
on_closed(bp_link_t *link, const bp_error_t *err, void *data)
{
	peer_t *peer = data;
	bp_link_t *closed = peer->link;

	peer->link = NULL;
	finish_calls(peer, false, err->message);
	bp_link_unref(closed);
}

static void
on_frame(bp_link_t *link, Bp__Peer__Frame *frame, void *data)
{
	peer_t *peer = data;
	call_t *call = g_hash_table_lookup(peer->calls, &frame->correlation);
	bp_error_t err;

	if (peer->client != NULL)
		peer->last_frame_us = bp_clock_mono_us(peer->client->clock);
	/* Without a call it is a late answer, whose call has timed out. */
	if (call != NULL && frame->answer && frame->verb != call->verb) {
		(void)bp_error_set(&err, BP_EMISMATCH,
		    "%s: an answer to another request was discarded",
		    peer->address);
		finish(call, NULL, &err);
	} else if (call != NULL && frame->answer) {
		finish(call, frame, NULL);
	}
	bp__peer__frame__free_unpacked(frame, NULL);
}

static void
send_call(call_t *call)
{
	GBytes *request = call->request;
	gsize size_bytes = 0;
	const uint8_t *body = g_bytes_get_data(request, &size_bytes);
	bp_error_t err;

	call->request = NULL;
	call->sent = true;
	call->sent_us = bp_clock_mono_us(call->clock);
	if (bp_link_send_packed(call->peer->link, body, size_bytes, &err) ==
	    BP_ETOOLARGE)
		finish(call, NULL, &err);
	g_bytes_unref(request);
}

/* The caller holds a reference to the peer. */
static void
send_waiting(peer_t *peer)
{
	GArray *correlations = peer->unsent;
	guint i;

	peer->unsent = g_array_new(FALSE, FALSE, sizeof(uint64_t));
	for (i = 0; i < correlations->len && peer->client != NULL &&
	     peer->link != NULL;
	     i++) {
		call_t *call = find_call(peer, correlations, i);

		if (call != NULL && !call->sent)
			send_call(call);
	}
	/* If the link broke meanwhile, its remaining calls ended with it. */
	g_array_unref(correlations);
}

static void
on_connected(GObject *source, GAsyncResult *result, gpointer data)
{
	peer_t *peer = data;
	GError *error = NULL;
	GSocketConnection *connection = g_socket_client_connect_finish(
	    G_SOCKET_CLIENT(source), result, &error);

	g_clear_object(&peer->connecting);
	if (peer->client != NULL && connection != NULL) {
		bp_link_options_t options = {peer->client->clock,
		    IDLE_TIMEOUT_MS, UNSENT_BYTES_MAX, WRITE_TIMEOUT_MS,
		    on_frame, on_closed, peer, NULL};

		peer->link = bp_link_new(connection, &options);
		send_waiting(peer);
	} else if (peer->client != NULL) {
		finish_calls(peer, false, error->message);
	}
	g_clear_object(&connection);
	g_clear_error(&error);
	peer_unref(peer);
}

static void
connect_peer(peer_t *peer)
{
	peer->connecting = g_cancellable_new();
	(void)g_rc_box_acquire(peer);
	g_socket_client_connect_to_host_async(peer->client->connector,
	    peer->address, 0, peer->connecting, on_connected, peer);
}

/*
 * A connection may become unresponsive without a reset, while a new one would
 * work. It is closed when no frame has arrived since the timed-out call was
 * sent; calls that were not sent on it use the new one.
 */
static void
close_unresponsive(peer_t *peer, bool sent, int64_t sent_us)
{
	bp_link_t *link = peer->link;

	if (peer->client == NULL)
		return;
	if (link == NULL) {
		if (peer->connecting != NULL)
			g_cancellable_cancel(peer->connecting);
		return;
	}
	if (!sent || peer->last_frame_us >= sent_us)
		return;
	peer->link = NULL;
	bp_link_close(link);
	bp_link_unref(link);
	finish_calls(peer, true, "the connection is unresponsive");
	if (peer->client != NULL && peer->link == NULL &&
	    peer->connecting == NULL && g_hash_table_size(peer->calls) > 0)
		connect_peer(peer);
}

static bool
was_delayed(const call_t *call)
{
	return bp_clock_mono_us(call->clock) - call->deadline_us >
	    LATE_TIMER_MS * US_PER_MS;
}

/*
 * After a pause or under load, timers may fire before the process has read
 * the answers that arrived in time, so a late timer extends the deadline once.
 */
static gboolean
on_timeout(gpointer data)
{
	call_t *call = data;
	peer_t *peer = call->peer;
	bool sent = call->sent;
	int64_t sent_us = call->sent_us;
	bp_error_t err;

	call->timer = 0;
	if (!call->extended && was_delayed(call)) {
		call->extended = true;
		call->timer = bp_clock_add_timer(
		    call->clock, EXTENSION_MS, on_timeout, call);
		return G_SOURCE_REMOVE;
	}
	(void)g_rc_box_acquire(peer);
	(void)bp_error_set(&err, call->sent ? BP_EDEADLINE : BP_EUNREACHABLE,
	    "%s: %s", call->peer->address,
	    call->sent ? "no answer in time" : "no connection in time");
	finish(call, NULL, &err);
	close_unresponsive(peer, sent, sent_us);
	peer_unref(peer);
	return G_SOURCE_REMOVE;
}

/* Creates a client; its first correlation id is random. */
bp_peer_client_t *
bp_peer_client_new(const bp_clock_t *clock, bp_logger_t *logger)
{
	bp_peer_client_t *client = g_new0(bp_peer_client_t, 1);

	client->clock = clock;
	client->logger = logger;
	client->connector = g_socket_client_new();
	g_socket_client_set_enable_proxy(client->connector, FALSE);
	client->peers =
	    g_hash_table_new_full(g_str_hash, g_str_equal, NULL, peer_unref);
	client->next_correlation =
	    ((uint64_t)g_random_int() << 32) | g_random_int();
	return client;
}

/* Frees a client. NULL is allowed. */
void
bp_peer_client_free(bp_peer_client_t *client)
{
	GHashTableIter iter;
	gpointer value;

	if (client == NULL)
		return;
	g_hash_table_iter_init(&iter, client->peers);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		peer_t *peer = value;

		peer->client = NULL;
		g_hash_table_remove_all(peer->calls);
		if (peer->connecting != NULL)
			g_cancellable_cancel(peer->connecting);
		if (peer->link != NULL)
			bp_link_close(peer->link);
	}
	g_hash_table_unref(client->peers);
	g_object_unref(client->connector);
	g_free(client);
}

static peer_t *
find_peer(bp_peer_client_t *client, const char *address)
{
	peer_t *peer = g_hash_table_lookup(client->peers, address);

	if (peer != NULL)
		return peer;
	peer = g_rc_box_new0(peer_t);
	peer->client = client;
	peer->address = g_strdup(address);
	peer->unsent = g_array_new(FALSE, FALSE, sizeof(uint64_t));
	peer->calls =
	    g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, call_drop);
	g_hash_table_insert(client->peers, peer->address, peer);
	return peer;
}

static GBytes *
pack_request(const Bp__Peer__Frame *request, uint64_t correlation)
{
	Bp__Peer__Frame frame = *request;

	frame.correlation = correlation;
	frame.answer = 0;
	return bp_message_pack(&frame.base);
}

static gboolean
on_send_now(gpointer data)
{
	peer_t *peer = data;

	peer->sending = 0;
	if (peer->client != NULL && peer->link != NULL)
		send_waiting(peer);
	peer_unref(peer);
	return G_SOURCE_REMOVE;
}

/* Sending can fail at once, but done must not run within the call. */
static void
schedule_send(peer_t *peer)
{
	if (peer->sending != 0)
		return;
	(void)g_rc_box_acquire(peer);
	peer->sending =
	    g_idle_add_full(G_PRIORITY_DEFAULT, on_send_now, peer, NULL);
}

/* Sends a request; see the header for done and dropped. */
void
bp_peer_client_call_full(bp_peer_client_t *client, const char *address,
    const Bp__Peer__Frame *request, uint32_t timeout_ms, bp_peer_done_t done,
    void *data, GDestroyNotify dropped)
{
	peer_t *peer = find_peer(client, address);
	call_t *call = g_new0(call_t, 1);

	call->peer = peer;
	call->correlation = client->next_correlation++;
	call->verb = request->verb;
	call->request = pack_request(request, call->correlation);
	call->done = done;
	call->data = data;
	call->dropped = dropped;
	call->clock = client->clock;
	call->deadline_us =
	    bp_clock_mono_us(client->clock) + (int64_t)timeout_ms * US_PER_MS;
	call->timer =
	    bp_clock_add_timer(client->clock, timeout_ms, on_timeout, call);
	g_hash_table_insert(peer->calls, &call->correlation, call);
	g_array_append_val(peer->unsent, call->correlation);
	if (peer->link != NULL)
		schedule_send(peer);
	else if (peer->connecting == NULL)
		connect_peer(peer);
}

/* Sends a request; data is not released if the client is freed. */
void
bp_peer_client_call(bp_peer_client_t *client, const char *address,
    const Bp__Peer__Frame *request, uint32_t timeout_ms, bp_peer_done_t done,
    void *data)
{
	bp_peer_client_call_full(
	    client, address, request, timeout_ms, done, data, NULL);
}
