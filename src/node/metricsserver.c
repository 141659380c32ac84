#include "node/metricsserver.h"

#include "bulrushpost/listen.h"

#include <libsoup/soup.h>
#include <string.h>

#define LISTEN_BACKLOG 16

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
	bp_metricsserver_t *self = g_new0(bp_metricsserver_t, 1);
	GSocket *socket = NULL;
	GError *error = NULL;
	int rc = bp_listen(&socket, address, LISTEN_BACKLOG, err);

	self->metrics = metrics;
	self->soup = g_object_new(SOUP_TYPE_SERVER, NULL);
	soup_server_add_handler(self->soup, NULL, on_request, self, NULL);
	if (rc != BP_OK)
		goto out;
	if (!soup_server_listen_socket(self->soup, socket, 0, &error)) {
		rc = bp_error_set(err, BP_EINVALID, "listen.metrics: %s: %s",
		    address, error->message);
		goto out;
	}
	*out = self;
	self = NULL;

out:
	bp_metricsserver_free(self);
	g_clear_error(&error);
	g_clear_object(&socket);
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
