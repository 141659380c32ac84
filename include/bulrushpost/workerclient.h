#ifndef BULRUSHPOST_WORKERCLIENT_H
#define BULRUSHPOST_WORKERCLIENT_H

#include "bulrushpost/error.h"
#include "proto/worker.pb-c.h"

#include <stdint.h>

/*
 * Asynchronous calls to workers over HTTP; see docs/design.md, section 6.
 * Each callback gets either the response, which is valid only during the
 * callback, or err. Kinds of err:
 *
 * BP_ENOTSENT: nothing was sent (refused, no connection in time);
 * BP_EUNKNOWN: sent, but no complete and valid response arrived in time;
 * BP_EREFUSED: the worker responded with an HTTP status 4xx;
 * BP_EINVALID: the URL is invalid.
 *
 * A callback never runs before the function that starts its call returns.
 */
typedef struct bp_workerclient bp_workerclient_t;

typedef struct {
	uint32_t timeout_ms; /* of one call, including the connection setup */
	uint32_t connections; /* limit for all workers together */
} bp_workerclient_options_t;

typedef void (*bp_worker_nonce_cb_t)(
    const Bp__Worker__NonceAnswer *answer, const bp_error_t *err, void *data);
typedef void (*bp_worker_session_cb_t)(
    const Bp__Worker__SessionAnswer *answer, const bp_error_t *err, void *data);
typedef void (*bp_worker_start_cb_t)(
    const Bp__Worker__StartAnswer *answer, const bp_error_t *err, void *data);
typedef void (*bp_worker_renew_cb_t)(
    const Bp__Worker__RenewAnswer *answer, const bp_error_t *err, void *data);
typedef void (*bp_worker_act_cb_t)(
    const Bp__Worker__ActAnswer *answer, const bp_error_t *err, void *data);

int bp_workerclient_options_init(bp_workerclient_options_t *options);
int bp_workerclient_new(bp_workerclient_t **out,
    const bp_workerclient_options_t *options, bp_error_t *err);
/* Cancels all calls; no callback runs afterwards. */
void bp_workerclient_free(bp_workerclient_t *client);
/* Cancels the calls made with data without running their callbacks. */
void bp_workerclient_cancel(bp_workerclient_t *client, const void *data);

void bp_workerclient_nonce(bp_workerclient_t *client, const char *url,
    const Bp__Worker__NonceRequest *request, bp_worker_nonce_cb_t done,
    void *data);
void bp_workerclient_session(bp_workerclient_t *client, const char *url,
    const Bp__Worker__SessionRequest *request, bp_worker_session_cb_t done,
    void *data);
void bp_workerclient_start(bp_workerclient_t *client, const char *url,
    const Bp__Worker__StartRequest *request, bp_worker_start_cb_t done,
    void *data);
void bp_workerclient_renew(bp_workerclient_t *client, const char *url,
    const Bp__Worker__RenewRequest *request, bp_worker_renew_cb_t done,
    void *data);
void bp_workerclient_act(bp_workerclient_t *client, const char *url,
    const Bp__Worker__ActRequest *request, bp_worker_act_cb_t done, void *data);

#endif
