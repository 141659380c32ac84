#ifndef BP_CLIENTS_HTTPCALL_H
#define BP_CLIENTS_HTTPCALL_H

#include "bulrushpost/error.h"

#include <libsoup/soup.h>

/* Asynchronous HTTP calls with a time limit and a size limit. */
typedef struct bp_http bp_httpcall_client_t;

typedef struct {
	const char *method;
	const char *url;
	const char *content_type; /* of body */
	GBytes *body; /* NULL for none */
	const char *if_none_match; /* NULL for none */
	const char *header; /* name of one more header; NULL for none */
	const char *header_value;
	size_t max_response_bytes; /* limit of the response body */
	uint32_t timeout_ms;
	int priority; /* GLib priority of its main loop sources */
	/* Send only over a connection that bp_httpcall_confirm() has recorded
	 * for this incarnation of the server; 0: any connection. */
	int64_t incarnation;
} bp_httpcall_request_t;

/* Valid during the callback only. */
typedef struct {
	uint32_t status;
	SoupMessageHeaders *headers;
	const uint8_t *body;
	size_t size_bytes;
	uint64_t connection; /* unique in the process */
} bp_httpcall_response_t;

/*
 * Exactly one of answer and err is set. Kinds of err: BP_ENOTSENT (provably
 * not sent), BP_EUNKNOWN (sent, no response), BP_ETRUNCATED (incomplete
 * response), BP_ETOOLARGE (oversized response), BP_EINVALID (invalid URL),
 * BP_EMISMATCH (not sent: no connection of the request's incarnation).
 */
typedef void (*bp_httpcall_done_t)(
    const bp_httpcall_response_t *answer, const bp_error_t *err, void *data);

bp_httpcall_client_t *bp_httpcall_new(
    uint32_t connections, uint32_t connections_per_host);
void bp_httpcall_free(bp_httpcall_client_t *http);
void bp_httpcall_start(bp_httpcall_client_t *http,
    const bp_httpcall_request_t *request, bp_httpcall_done_t done, void *data,
    GDestroyNotify free_data, const void *owner);
/*
 * Records that an incarnation of the server has answered on a connection. A
 * connection does not outlive the process that accepted it, so whatever is sent
 * over it later reaches this incarnation or nothing.
 */
void bp_httpcall_confirm(bp_httpcall_client_t *http, const char *url,
    uint64_t connection, int64_t incarnation);
void bp_httpcall_cancel(bp_httpcall_client_t *http, const void *owner);

#endif
