#include "node/metricsserver.h"

#include "node/httpgate.h"

#include <libsoup/soup.h>
#include <string.h>

/* A shorter one leaves callers connected that the kernel has dropped. */
#define LISTEN_BACKLOG 128

struct bp_metricsserver {
	SoupServer *soup;
	bp_httpgate_t *gate;
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
	if (!bp_admitted_set_bytes(
		bp_httpgate_admitted(message), strlen(text))) {
		soup_server_message_set_status(
		    message, SOUP_STATUS_SERVICE_UNAVAILABLE, NULL);
		g_free(text);
		return;
	}
	soup_server_message_set_status(message, SOUP_STATUS_OK, NULL);
	soup_server_message_set_response(message, "text/plain; version=0.0.4",
	    SOUP_MEMORY_TAKE, text, strlen(text));
}

/* Listens when it returns 0; BP_EINVALID when the address cannot be used. */
int
bp_metricsserver_new(bp_metricsserver_t **out, const char *address,
    bp_metrics_t *metrics, bp_admission_t *admission, bp_error_t *err)
{
	bp_metricsserver_t *self = g_new0(bp_metricsserver_t, 1);
	bp_httpgate_options_t options = {NULL, address, LISTEN_BACKLOG,
	    admission, BP_ADMISSION_METRICS, true};
	int rc;

	self->metrics = metrics;
	self->soup = g_object_new(SOUP_TYPE_SERVER, NULL);
	soup_server_add_handler(self->soup, NULL, on_request, self, NULL);
	options.server = self->soup;
	rc = bp_httpgate_new(&self->gate, &options, err);
	if (rc == BP_OK)
		*out = self;
	else
		bp_metricsserver_free(self);
	return rc;
}

/* Stops listening. NULL is allowed. */
void
bp_metricsserver_free(bp_metricsserver_t *self)
{
	if (self == NULL)
		return;
	bp_httpgate_free(self->gate);
	soup_server_disconnect(self->soup);
	g_object_unref(self->soup);
	g_free(self);
}
