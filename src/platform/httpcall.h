#ifndef BP_PLATFORM_HTTPCALL_H
#define BP_PLATFORM_HTTPCALL_H

#include "bulrushpost/error.h"

#include <libsoup/soup.h>

/* Asynchronous HTTP calls with a time limit and a size limit. */
typedef struct bp_http bp_http_t;

typedef struct {
	const char *method;
	const char *url;
	const char *content_type; /* of body */
	GBytes *body; /* NULL for none */
	const char *if_none_match; /* NULL for none */
	size_t answer_bytes; /* a larger answer is an error */
	uint32_t timeout_ms;
} bp_http_request_t;

/* Valid during the callback only. */
typedef struct {
	uint32_t status;
	SoupMessageHeaders *headers;
	const uint8_t *body;
	size_t size_bytes;
} bp_http_answer_t;

/*
 * Exactly one of answer and err is set. Kinds of err: BP_ENOTSENT (proven),
 * BP_EUNKNOWN (sent, no answer), BP_ETRUNCATED, BP_ETOOLARGE, BP_EINVALID.
 */
typedef void (*bp_http_done_t)(
    const bp_http_answer_t *answer, const bp_error_t *err, void *data);

bp_http_t *bp_http_new(uint32_t connections, uint32_t connections_per_host);
void bp_http_free(bp_http_t *http);
void bp_http_call(bp_http_t *http, const bp_http_request_t *request,
    bp_http_done_t done, void *data, GDestroyNotify free_data,
    const void *owner);
void bp_http_cancel(bp_http_t *http, const void *owner);

#endif
