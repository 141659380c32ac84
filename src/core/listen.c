#include "bulrushpost/listen.h"

static GSocketAddress *
parse(const char *text)
{
	GSocketConnectable *parsed = g_network_address_parse(text, 0, NULL);
	GSocketAddress *address = NULL;

	if (parsed == NULL)
		return NULL;
	address = g_inet_socket_address_new_from_string(
	    g_network_address_get_hostname(G_NETWORK_ADDRESS(parsed)),
	    g_network_address_get_port(G_NETWORK_ADDRESS(parsed)));
	g_object_unref(parsed);
	return address;
}

/* See the header. */
int
bp_listen(GSocket **out, const char *text, uint32_t backlog, bp_error_t *err)
{
	GSocketAddress *address = parse(text);
	GError *error = NULL;
	GSocket *socket;
	int rc = BP_OK;

	*out = NULL;
	if (address == NULL)
		return bp_error_set(
		    err, BP_EINVALID, "%s is not IP:PORT", text);
	socket = g_socket_new(g_socket_address_get_family(address),
	    G_SOCKET_TYPE_STREAM, G_SOCKET_PROTOCOL_TCP, &error);
	if (socket != NULL)
		g_socket_set_listen_backlog(socket, (gint)backlog);
	if (socket == NULL || !g_socket_bind(socket, address, TRUE, &error) ||
	    !g_socket_listen(socket, &error)) {
		rc = bp_error_set(err, BP_EUNREACHABLE,
		    "listening on %s failed: %s", text, error->message);
		g_clear_object(&socket);
	}
	g_clear_error(&error);
	g_object_unref(address);
	*out = socket;
	return rc;
}
