#ifndef BULRUSHPOST_PEER_H
#define BULRUSHPOST_PEER_H

#include "bulrushpost/admission.h"
#include "bulrushpost/clock.h"
#include "bulrushpost/error.h"
#include "bulrushpost/logline.h"
#include "proto/peer.pb-c.h"

/* The control protocol between nodes and the command line (design, 6). */
typedef struct bp_peer_server bp_peer_server_t;
typedef struct bp_peer_client bp_peer_client_t;

/* A request that waits for its answer. */
typedef struct bp_peer_request bp_peer_request_t;

/* Must answer the request, now or later. */
typedef void (*bp_peer_handler_t)(bp_peer_request_t *request, void *data);

typedef struct {
	const bp_clock_t *clock;
	bp_logger_t *logger;
	const char *address; /* host:port; port 0 takes a free one */
	uint32_t connections_max;
	uint32_t requests_max; /* unanswered, of one connection */
	uint32_t idle_timeout_ms; /* without a whole frame either way */
	uint32_t unsent_bytes_max; /* answers queued for a slow reader */
	uint32_t write_timeout_ms; /* without progress of a write */
	bp_admission_t *admission; /* of callers; NULL: only the limits above */
	bp_peer_handler_t handler;
	void *data;
} bp_peer_server_options_t;

int bp_peer_server_options_init(bp_peer_server_options_t *options);
int bp_peer_server_new(bp_peer_server_t **out,
    const bp_peer_server_options_t *options, bp_error_t *err);
/* Closes all connections; answers to open requests are dropped. */
void bp_peer_server_free(bp_peer_server_t *server);
uint16_t bp_peer_server_port(const bp_peer_server_t *server);
uint32_t bp_peer_server_connections(const bp_peer_server_t *server);

const Bp__Peer__Frame *bp_peer_request_frame(const bp_peer_request_t *request);
/*
 * Answers a request and frees it. Correlation and verb of the answer are
 * filled in. An answer too large for a frame becomes BP_ETOOLARGE.
 */
void bp_peer_request_answer(
    bp_peer_request_t *request, const Bp__Peer__Frame *answer);

/*
 * answer is NULL exactly when err is set, by the transport:
 * BP_EUNREACHABLE: not connected in time; the request was never sent.
 * BP_EDEADLINE, BP_EUNKNOWN: sent, but no answer came.
 * BP_EMISMATCH: the answer belonged to another request.
 * An error in the answer itself is in answer->error.
 */
typedef void (*bp_peer_done_t)(
    const Bp__Peer__Frame *answer, const bp_error_t *err, void *data);

bp_peer_client_t *bp_peer_client_new(
    const bp_clock_t *clock, bp_logger_t *logger);
/* Drops calls in flight, whose done is not called any more. */
void bp_peer_client_free(bp_peer_client_t *client);
/*
 * Sends a request to a control address; one connection per address is kept.
 * done is called exactly once, never from within this call.
 */
void bp_peer_client_call(bp_peer_client_t *client, const char *address,
    const Bp__Peer__Frame *request, uint32_t timeout_ms, bp_peer_done_t done,
    void *data);
/* Does the same; dropped gets data instead of done if the client is freed. */
void bp_peer_client_call_full(bp_peer_client_t *client, const char *address,
    const Bp__Peer__Frame *request, uint32_t timeout_ms, bp_peer_done_t done,
    void *data, GDestroyNotify dropped);

#endif
