#include "node/bootstrap.h"

#include <string.h>

#define CHECK_MS 2000
#define FETCH_TIMEOUT_MS 3000

struct bp_bootstrap {
	bp_logger_t *logger;
	bp_follower_t *follower;
	const bp_settings_t *settings;
	bp_peer_client_t *client;
	guint timer;
	guint next_peer;
	bool fetching;
};

static void
on_fetched(const uint8_t *snapshot, size_t size_bytes, const bp_error_t *err,
    void *data)
{
	bp_bootstrap_t *self = data;
	bp_error_t refused;

	self->fetching = false;
	if (snapshot == NULL) {
		bp_log(self->logger, BP_LOG_INFO, "bootstrap",
		    "fetching the state from a peer failed", "error",
		    err->message, NULL);
		return;
	}
	if (bp_follower_install_snapshot(
		self->follower, snapshot, size_bytes, &refused) == BP_OK)
		bp_log(self->logger, BP_LOG_NOTICE, "bootstrap",
		    "adopted the state of a peer", NULL);
}

/* Peers named in the settings come first, then those known from the log. */
static char *
choose_peer(bp_bootstrap_t *self)
{
	GPtrArray *addresses = g_ptr_array_new();
	GHashTableIter iter;
	gpointer value;
	char *chosen = NULL;
	guint i;

	for (i = 0; self->settings->peers[i] != NULL; i++)
		g_ptr_array_add(addresses, self->settings->peers[i]);
	g_hash_table_iter_init(
	    &iter, bp_state_nodes(bp_follower_state(self->follower)));
	while (g_hash_table_iter_next(&iter, NULL, &value))
		g_ptr_array_add(addresses, ((bp_node_t *)value)->address);
	if (addresses->len > 0)
		chosen = g_strdup(g_ptr_array_index(
		    addresses, self->next_peer++ % addresses->len));
	g_ptr_array_unref(addresses);
	if (chosen != NULL &&
	    strcmp(chosen, self->settings->listen.control) == 0)
		g_clear_pointer(&chosen, g_free);
	return chosen;
}

static gboolean
check(void *data)
{
	bp_bootstrap_t *self = data;
	bp_follower_status_t status = bp_follower_status(self->follower);
	char *peer;

	if (self->fetching || status == BP_FOLLOWER_CURRENT ||
	    status == BP_FOLLOWER_VERSION_UNKNOWN)
		return G_SOURCE_CONTINUE;
	peer = choose_peer(self);
	if (peer == NULL)
		return G_SOURCE_CONTINUE;
	self->fetching = true;
	bp_control_fetch_state(
	    self->client, peer, FETCH_TIMEOUT_MS, on_fetched, self);
	g_free(peer);
	return G_SOURCE_CONTINUE;
}

/* Starts to watch the follower. */
bp_bootstrap_t *
bp_bootstrap_new(const bp_clock_t *clock, bp_logger_t *logger,
    bp_follower_t *follower, const bp_settings_t *settings)
{
	bp_bootstrap_t *self = g_new0(bp_bootstrap_t, 1);

	self->logger = logger;
	self->follower = follower;
	self->settings = settings;
	self->client = bp_peer_client_new(clock, logger);
	self->timer = g_timeout_add(CHECK_MS, check, self);
	return self;
}

/* Drops a fetch in flight. NULL is allowed. */
void
bp_bootstrap_free(bp_bootstrap_t *self)
{
	if (self == NULL)
		return;
	g_source_remove(self->timer);
	bp_peer_client_free(self->client);
	g_free(self);
}
