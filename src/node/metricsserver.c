#include "node/metricsserver.h"

#include <libsoup/soup.h>
#include <string.h>

struct bp_metricsserver {
	SoupServer *soup;
	bp_metrics_t *metrics;
};

static void
on_request(SoupServer *soup, SoupServerMessage *message, const char *path,
    GHashTable *query, void *data)
{
	bp_metricsserver_t *self = data;
	char *text;

	(void)soup;
	(void)query;
	if (strcmp(path, "/metrics") != 0) {
		soup_server_message_set_status(
		    message, SOUP_STATUS_NOT_FOUND, NULL);
		return;
	}
	if (strcmp(soup_server_message_get_method(message), "GET") != 0) {
		soup_server_message_set_status(
		    message, SOUP_STATUS_METHOD_NOT_ALLOWED, NULL);
		return;
	}
	text = bp_metrics_text(self->metrics);
	soup_server_message_set_status(message, SOUP_STATUS_OK, NULL);
	soup_server_message_set_response(message, "text/plain; version=0.0.4",
	    SOUP_MEMORY_TAKE, text, strlen(text));
}

/* Listens when it returns 0; BP_EINVALID when the address cannot be used. */
int
bp_metricsserver_new(bp_metricsserver_t **out, const char *address,
    bp_metrics_t *metrics, bp_error_t *err)
{
	GSocketConnectable *parsed = g_network_address_parse(address, 0, NULL);
	GSocketAddress *socket_address = NULL;
	bp_metricsserver_t *self = g_new0(bp_metricsserver_t, 1);
	GError *error = NULL;
	int rc = BP_OK;

	self->metrics = metrics;
	self->soup = g_object_new(SOUP_TYPE_SERVER, NULL);
	soup_server_add_handler(self->soup, NULL, on_request, self, NULL);
	if (parsed != NULL)
		socket_address = g_inet_socket_address_new_from_string(
		    g_network_address_get_hostname(G_NETWORK_ADDRESS(parsed)),
		    g_network_address_get_port(G_NETWORK_ADDRESS(parsed)));
	if (socket_address == NULL) {
		rc = bp_error_set(err, BP_EINVALID,
		    "listen.metrics: %s is not IP:PORT", address);
		goto out;
	}
	if (!soup_server_listen(self->soup, socket_address, 0, &error)) {
		rc = bp_error_set(err, BP_EINVALID, "listen.metrics: %s: %s",
		    address, error->message);
		goto out;
	}
	*out = self;
	self = NULL;

out:
	bp_metricsserver_free(self);
	g_clear_error(&error);
	g_clear_object(&socket_address);
	g_clear_object(&parsed);
	return rc;
}

/* Stops listening. NULL is allowed. */
void
bp_metricsserver_free(bp_metricsserver_t *self)
{
	if (self == NULL)
		return;
	soup_server_disconnect(self->soup);
	g_object_unref(self->soup);
	g_free(self);
}
