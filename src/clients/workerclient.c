#include "bulrushpost/workerclient.h"

#include "clients/httpcall.h"

#include <stdbool.h>

#define TIMEOUT_MS 1500
/* One for each of 1,600 workers and for workers being replaced. */
#define CONNECTIONS 2000
#define CONNECTIONS_PER_WORKER 2
/* Limit of a response; a renew response may hold about 10,000 tasks. */
#define RESPONSE_MAX_BYTES (1024U * 1024)
#define STATUS_CLIENT_ERROR 400
#define STATUS_SERVER_ERROR 500

struct bp_workerclient {
	bp_httpcall_client_t *http;
	uint32_t timeout_ms;
};

typedef union {
	bp_worker_nonce_cb_t nonce;
	bp_worker_session_cb_t session;
	bp_worker_start_cb_t start;
	bp_worker_renew_cb_t renew;
	bp_worker_act_cb_t act;
} done_t;

typedef enum {
	KIND_NONCE,
	KIND_SESSION,
	KIND_START,
	KIND_RENEW,
	KIND_ACT
} kind_t;

static const struct {
	const char *path;
	const ProtobufCMessageDescriptor *answer;
} kinds[] = {
    [KIND_NONCE] = {"nonce", &bp__worker__nonce_answer__descriptor},
    [KIND_SESSION] = {"session", &bp__worker__session_answer__descriptor},
    [KIND_START] = {"start", &bp__worker__start_answer__descriptor},
    [KIND_RENEW] = {"renew", &bp__worker__renew_answer__descriptor},
    [KIND_ACT] = {"act", &bp__worker__act_answer__descriptor},
};

typedef struct {
	kind_t kind;
	size_t items; /* number of statuses expected in the response */
	done_t done;
	void *data;
} worker_call_t;

/* Sets the defaults. */
int
bp_workerclient_options_init(bp_workerclient_options_t *options)
{
	*options = (bp_workerclient_options_t){
	    .timeout_ms = TIMEOUT_MS,
	    .connections = CONNECTIONS,
	};
	return BP_OK;
}

/* Creates a client. Returns BP_EINVALID for a limit of 0. */
int
bp_workerclient_new(bp_workerclient_t **out,
    const bp_workerclient_options_t *options, bp_error_t *err)
{
	bp_workerclient_t *client;

	*out = NULL;
	if (options->timeout_ms == 0 || options->connections == 0)
		return bp_error_set(err, BP_EINVALID,
		    "timeout_ms and connections must not be 0");
	client = g_new0(bp_workerclient_t, 1);
	client->http =
	    bp_httpcall_new(options->connections, CONNECTIONS_PER_WORKER);
	client->timeout_ms = options->timeout_ms;
	*out = client;
	return BP_OK;
}

/* Cancels all calls and frees the client, which may be NULL. */
void
bp_workerclient_free(bp_workerclient_t *client)
{
	if (client == NULL)
		return;
	bp_httpcall_free(client->http);
	g_free(client);
}

/* Cancels the calls made with data without running their callbacks. */
void
bp_workerclient_cancel(bp_workerclient_t *client, const void *data)
{
	bp_httpcall_cancel(client->http, data);
}

static void
deliver(const worker_call_t *call, const ProtobufCMessage *answer,
    const bp_error_t *err)
{
	const void *message = answer;

	switch (call->kind) {
	case KIND_NONCE:
		call->done.nonce(message, err, call->data);
		break;
	case KIND_SESSION:
		call->done.session(message, err, call->data);
		break;
	case KIND_START:
		call->done.start(message, err, call->data);
		break;
	case KIND_RENEW:
		call->done.renew(message, err, call->data);
		break;
	case KIND_ACT:
		call->done.act(message, err, call->data);
		break;
	}
}

static int
check_status(uint32_t status, bp_error_t *err)
{
	if (status == SOUP_STATUS_OK)
		return BP_OK;
	return bp_error_set(err,
	    status >= STATUS_CLIENT_ERROR && status < STATUS_SERVER_ERROR
		? BP_EREFUSED
		: BP_EUNKNOWN,
	    "the worker responded with HTTP status %u", (unsigned)status);
}

/* A valid response has one status for each item of the request. */
static bool
has_all_statuses(const worker_call_t *call, const ProtobufCMessage *answer)
{
	const void *message = answer;

	switch (call->kind) {
	case KIND_START:
		return ((const Bp__Worker__StartAnswer *)message)->n_status ==
		    call->items;
	case KIND_ACT:
		return ((const Bp__Worker__ActAnswer *)message)->n_status ==
		    call->items;
	case KIND_NONCE:
	case KIND_SESSION:
	case KIND_RENEW:
		break;
	}
	return true;
}

/* The worker may have carried out a request whose response is unusable. */
static void
on_answer(
    const bp_httpcall_response_t *answer, const bp_error_t *err, void *data)
{
	worker_call_t *call = data;
	ProtobufCMessage *message = NULL;
	bp_error_t failure;

	bp_error_clear(&failure);
	if (err != NULL) {
		failure = *err;
		if (err->kind == BP_ETRUNCATED || err->kind == BP_ETOOLARGE)
			failure.kind = BP_EUNKNOWN;
	} else if (check_status(answer->status, &failure) == BP_OK) {
		message = protobuf_c_message_unpack(kinds[call->kind].answer,
		    NULL, answer->size_bytes, answer->body);
		if (message == NULL || !has_all_statuses(call, message))
			bp_error_set(&failure, BP_EUNKNOWN,
			    "the response of the worker is invalid");
	}
	if (failure.kind == BP_OK)
		deliver(call, message, NULL);
	else
		deliver(call, NULL, &failure);
	if (message != NULL)
		protobuf_c_message_free_unpacked(message, NULL);
}

static void
call_worker(bp_workerclient_t *client, const char *url,
    const ProtobufCMessage *request, kind_t kind, size_t items, done_t done,
    void *data)
{
	worker_call_t *call = g_new0(worker_call_t, 1);
	size_t size_bytes = protobuf_c_message_get_packed_size(request);
	uint8_t *body = g_malloc(size_bytes);
	char *full_url = g_strdup_printf("%s/v1/%s", url, kinds[kind].path);
	bp_httpcall_request_t http_request = {
	    .method = "POST",
	    .url = full_url,
	    .content_type = "application/x-protobuf",
	    .max_response_bytes = RESPONSE_MAX_BYTES,
	    .timeout_ms = client->timeout_ms,
	};

	protobuf_c_message_pack(request, body);
	http_request.body = g_bytes_new_take(body, size_bytes);
	call->kind = kind;
	call->items = items;
	call->done = done;
	call->data = data;
	bp_httpcall_start(
	    client->http, &http_request, on_answer, call, g_free, data);
	g_bytes_unref(http_request.body);
	g_free(full_url);
}

/* Requests a nonce and the running tasks of a worker. */
void
bp_workerclient_nonce(bp_workerclient_t *client, const char *url,
    const Bp__Worker__NonceRequest *request, bp_worker_nonce_cb_t done,
    void *data)
{
	call_worker(client, url, &request->base, KIND_NONCE, 0,
	    (done_t){.nonce = done}, data);
}

/* Opens a session with an epoch. */
void
bp_workerclient_session(bp_workerclient_t *client, const char *url,
    const Bp__Worker__SessionRequest *request, bp_worker_session_cb_t done,
    void *data)
{
	call_worker(client, url, &request->base, KIND_SESSION, 0,
	    (done_t){.session = done}, data);
}

/* Starts tasks; the response has one status per task. */
void
bp_workerclient_start(bp_workerclient_t *client, const char *url,
    const Bp__Worker__StartRequest *request, bp_worker_start_cb_t done,
    void *data)
{
	call_worker(client, url, &request->base, KIND_START, request->n_tasks,
	    (done_t){.start = done}, data);
}

/* Renews the leases of all tasks of the session. */
void
bp_workerclient_renew(bp_workerclient_t *client, const char *url,
    const Bp__Worker__RenewRequest *request, bp_worker_renew_cb_t done,
    void *data)
{
	call_worker(client, url, &request->base, KIND_RENEW, 0,
	    (done_t){.renew = done}, data);
}

/* Throttles or stops tasks; the response has one status per action. */
void
bp_workerclient_act(bp_workerclient_t *client, const char *url,
    const Bp__Worker__ActRequest *request, bp_worker_act_cb_t done, void *data)
{
	call_worker(client, url, &request->base, KIND_ACT, request->n_actions,
	    (done_t){.act = done}, data);
}
