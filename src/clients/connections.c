#include "clients/connections.h"

typedef struct {
	uint64_t number;
	int64_t incarnation; /* 0: none has answered yet */
	bool busy;
} connection_t;

struct bp_connections {
	GHashTable *hosts; /* host to GArray of connection_t, oldest first */
	uint32_t total;
	uint32_t per_host;
};

/* See the header. */
bp_connections_t *
bp_connections_new(uint32_t total, uint32_t per_host)
{
	bp_connections_t *self = g_new0(bp_connections_t, 1);

	self->hosts = g_hash_table_new_full(
	    g_str_hash, g_str_equal, g_free, (GDestroyNotify)g_array_unref);
	self->total = total;
	self->per_host = per_host;
	return self;
}

/* Frees the records. NULL is allowed. */
void
bp_connections_free(bp_connections_t *self)
{
	if (self == NULL)
		return;
	g_hash_table_unref(self->hosts);
	g_free(self);
}

static connection_t *
find(const bp_connections_t *self, const char *host, uint64_t number)
{
	GArray *list = g_hash_table_lookup(self->hosts, host);
	guint i;

	for (i = 0; list != NULL && i < list->len; i++) {
		connection_t *found = &g_array_index(list, connection_t, i);

		if (found->number == number)
			return found;
	}
	return NULL;
}

/*
 * Adds a connection. Its server has no more connections than the limit, so an
 * idle one beyond that has been closed. Servers that are not used any more are
 * forgotten with all others once there are more than connections: a connection
 * that is not known costs one more poll.
 */
static connection_t *
add(bp_connections_t *self, const char *host, uint64_t number)
{
	connection_t added = {number, 0, false};
	GArray *list = g_hash_table_lookup(self->hosts, host);
	guint i;

	if (list == NULL) {
		if (g_hash_table_size(self->hosts) >= self->total)
			g_hash_table_remove_all(self->hosts);
		list = g_array_new(FALSE, FALSE, sizeof(connection_t));
		g_hash_table_insert(self->hosts, g_strdup(host), list);
	}
	for (i = 0; list->len >= self->per_host && i < list->len;) {
		if (g_array_index(list, connection_t, i).busy)
			i++;
		else
			g_array_remove_index(list, i);
	}
	if (list->len >= self->per_host)
		g_array_remove_index(list, 0);
	g_array_append_val(list, added);
	return &g_array_index(list, connection_t, list->len - 1);
}

/* See the header. */
void
bp_connections_confirm(bp_connections_t *self, const char *host,
    uint64_t connection, int64_t incarnation)
{
	connection_t *found = find(self, host, connection);

	if (found == NULL)
		found = add(self, host, connection);
	found->incarnation = incarnation;
}

/* See the header. */
bool
bp_connections_is_confirmed(const bp_connections_t *self, const char *host,
    uint64_t connection, int64_t incarnation)
{
	const connection_t *found = find(self, host, connection);

	return found != NULL && found->incarnation == incarnation;
}

/* See the header. */
void
bp_connections_set_busy(
    bp_connections_t *self, const char *host, uint64_t connection, bool busy)
{
	connection_t *found = find(self, host, connection);

	if (found == NULL && busy)
		found = add(self, host, connection);
	if (found != NULL)
		found->busy = busy;
}

/* See the header. */
bool
bp_connections_may_send(
    const bp_connections_t *self, const char *host, int64_t incarnation)
{
	const GArray *list = g_hash_table_lookup(self->hosts, host);
	uint32_t busy = 0;
	guint i;

	for (i = 0; list != NULL && i < list->len; i++) {
		const connection_t *known =
		    &g_array_index(list, connection_t, i);

		if (!known->busy && known->incarnation == incarnation)
			return true;
		busy += known->busy;
	}
	return busy >= self->per_host;
}
