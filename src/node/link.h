#ifndef BP_NODE_LINK_H
#define BP_NODE_LINK_H

#include "bulrushpost/admission.h"
#include "bulrushpost/clock.h"
#include "bulrushpost/error.h"
#include "proto/peer.pb-c.h"

#include <gio/gio.h>
#include <stdbool.h>

/* A TCP connection that carries frames of the control protocol. */
typedef struct bp_link bp_link_t;

typedef struct {
	const bp_clock_t *clock;
	uint32_t idle_ms;
	uint32_t unsent_bytes_max;
	uint32_t stall_ms;
	/* Takes the frame. */
	void (*on_frame)(bp_link_t *link, Bp__Peer__Frame *frame, void *data);
	/* Called once when the link closes other than by bp_link_close. */
	void (*on_closed)(bp_link_t *link, const bp_error_t *err, void *data);
	void *data;
	/* Counts the link as one to the control address; NULL: does not. */
	bp_admission_t *admission;
} bp_link_options_t;

bp_link_t *bp_link_new(
    GSocketConnection *connection, const bp_link_options_t *options);
/* Tells whether the admission, if any, takes the link. */
bool bp_link_admitted(const bp_link_t *link);
/* Sets the memory of the requests on the link that are not answered, and
 * their number; false when the admission has no room for them. */
bool bp_link_set_held(bp_link_t *link, uint64_t bytes, uint32_t requests);
bp_link_t *bp_link_ref(bp_link_t *link);
void bp_link_unref(bp_link_t *link);
/* Closes without a callback; the caller keeps its reference. */
void bp_link_close(bp_link_t *link);
int bp_link_send_packed(
    bp_link_t *link, const uint8_t *body, size_t size_bytes, bp_error_t *err);
int bp_link_send(
    bp_link_t *link, const Bp__Peer__Frame *frame, bp_error_t *err);

#endif
