#include "bulrushpost/logclient.h"

#include "clients/httpcall.h"
#include "clients/logdecode.h"

#define TIMEOUT_MS 1500
#define APPEND_RESPONSE_MAX_BYTES 4096
/* One append, one long poll, one snapshot read, and cancelled calls. */
#define CONNECTIONS 8
#define STATUS_TOO_MANY_REQUESTS 429 /* not defined by libsoup */

struct bp_logclient {
	bp_httpcall_client_t *http;
	char *url;
	uint32_t timeout_ms;
};

typedef struct {
	bp_append_cb_t done;
	void *data;
} append_call_t;

typedef struct {
	bp_read_cb_t done;
	void *data;
	uint64_t from;
	uint32_t max;
} read_call_t;

/* Sets the defaults; the caller must set the URL. */
int
bp_logclient_options_init(bp_logclient_options_t *options)
{
	*options = (bp_logclient_options_t){.timeout_ms = TIMEOUT_MS};
	return BP_OK;
}

/* Creates a client. Returns BP_EINVALID for an invalid URL. */
int
bp_logclient_new(bp_logclient_t **out, const bp_logclient_options_t *options,
    bp_error_t *err)
{
	bp_logclient_t *client;

	*out = NULL;
	if (options->url == NULL ||
	    !g_uri_is_valid(options->url, G_URI_FLAGS_NONE, NULL))
		return bp_error_set(
		    err, BP_EINVALID, "invalid URL of the log service");
	client = g_new0(bp_logclient_t, 1);
	client->http = bp_httpcall_new(CONNECTIONS, CONNECTIONS);
	client->url = g_strdup(options->url);
	client->timeout_ms = options->timeout_ms;
	*out = client;
	return BP_OK;
}

/* Cancels all calls and frees the client, which may be NULL. */
void
bp_logclient_free(bp_logclient_t *client)
{
	if (client == NULL)
		return;
	bp_httpcall_free(client->http);
	g_free(client->url);
	g_free(client);
}

/* Cancels the calls made with data without running their callbacks. */
void
bp_logclient_cancel(bp_logclient_t *client, const void *data)
{
	bp_httpcall_cancel(client->http, data);
}

/* Maps HTTP statuses of the log service to error kinds. */
static int
check_status(uint32_t status, bp_error_t *err)
{
	switch (status) {
	case SOUP_STATUS_OK:
		return BP_OK;
	case SOUP_STATUS_GONE:
		return bp_error_set(err, BP_EEXPIRED,
		    "the offset is below the oldest retained record");
	case SOUP_STATUS_REQUEST_ENTITY_TOO_LARGE:
		return bp_error_set(
		    err, BP_ETOOLARGE, "the record is too large");
	case STATUS_TOO_MANY_REQUESTS:
		return bp_error_set(
		    err, BP_EOVERLOAD, "the append rate limit is exceeded");
	case SOUP_STATUS_SERVICE_UNAVAILABLE:
		return bp_error_set(err, BP_ELOGDOWN, "the log is down");
	default:
		return bp_error_set(err, BP_EMISMATCH,
		    "unexpected HTTP status %u", (unsigned)status);
	}
}

static void
on_appended(
    const bp_httpcall_response_t *answer, const bp_error_t *err, void *data)
{
	append_call_t *call = data;
	bp_error_t failure;
	uint64_t offset = 0;

	bp_error_clear(&failure);
	if (err != NULL)
		failure = *err;
	else if (check_status(answer->status, &failure) == BP_OK)
		(void)bp_log_decode_append(
		    &offset, answer->body, answer->size_bytes, &failure);
	call->done(offset, failure.kind == BP_OK ? NULL : &failure, call->data);
}

/*
 * Appends one record to a stream. Kinds of err: BP_ENOTSENT (provably not
 * sent), BP_EOVERLOAD (429), BP_ELOGDOWN (503), BP_ETOOLARGE (413). With any
 * other kind the record may have been appended.
 */
void
bp_logclient_append(bp_logclient_t *client, const char *stream,
    const uint8_t *record, size_t size_bytes, bp_append_cb_t done, void *data)
{
	append_call_t *call = g_new0(append_call_t, 1);
	char *url =
	    g_strdup_printf("%s/streams/%s/records", client->url, stream);
	bp_httpcall_request_t request = {
	    .method = "POST",
	    .url = url,
	    .content_type = "application/octet-stream",
	    .body = g_bytes_new(record, size_bytes),
	    .max_response_bytes = APPEND_RESPONSE_MAX_BYTES,
	    .timeout_ms = client->timeout_ms,
	};

	call->done = done;
	call->data = data;
	bp_httpcall_start(
	    client->http, &request, on_appended, call, g_free, data);
	g_bytes_unref(request.body);
	g_free(url);
}

static int
decode_read(bp_log_batch_t *batch, const read_call_t *call,
    const bp_httpcall_response_t *answer, bp_error_t *err)
{
	int rc = check_status(answer->status, err);

	if (rc != BP_OK && rc != BP_EEXPIRED)
		return rc;
	if (bp_log_decode_bounds(batch,
		soup_message_headers_get_one(answer->headers, "X-Log-First"),
		soup_message_headers_get_one(answer->headers, "X-Log-Head"),
		err) != BP_OK)
		return BP_EMISMATCH;
	if (rc != BP_OK)
		return rc;
	return bp_log_decode_records(batch, call->from, call->max, answer->body,
	    answer->size_bytes, err);
}

static void
on_records(
    const bp_httpcall_response_t *answer, const bp_error_t *err, void *data)
{
	read_call_t *call = data;
	bp_log_batch_t batch = {0};
	bp_error_t failure;
	int rc;

	bp_error_clear(&failure);
	if (err != NULL) {
		failure = *err;
		rc = err->kind;
	} else {
		rc = decode_read(&batch, call, answer, &failure);
	}
	call->done(rc == BP_OK || rc == BP_EEXPIRED ? &batch : NULL,
	    rc == BP_OK ? NULL : &failure, call->data);
	g_free(batch.records);
}

/*
 * Reads up to max records starting at an offset and waits up to wait_ms for
 * the first one. With BP_EEXPIRED the callback also gets a batch, which holds
 * the bounds of the log only.
 */
void
bp_logclient_read(bp_logclient_t *client, const char *stream, uint64_t from,
    uint32_t max, uint32_t wait_ms, bp_read_cb_t done, void *data)
{
	read_call_t *call = g_new0(read_call_t, 1);
	char *url =
	    g_strdup_printf("%s/streams/%s/records?from=%" G_GUINT64_FORMAT
			    "&max=%u&wait_ms=%u",
		client->url, stream, from, (unsigned)max, (unsigned)wait_ms);
	bp_httpcall_request_t request = {
	    .method = "GET",
	    .url = url,
	    .max_response_bytes =
		(size_t)max * (BP_LOG_RECORD_MAX_BYTES + BP_LOG_FRAME_BYTES),
	    .timeout_ms = client->timeout_ms + wait_ms,
	};

	call->done = done;
	call->data = data;
	call->from = from;
	call->max = max;
	bp_httpcall_start(
	    client->http, &request, on_records, call, g_free, data);
	g_free(url);
}
