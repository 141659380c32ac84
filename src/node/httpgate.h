#ifndef BP_NODE_HTTPGATE_H
#define BP_NODE_HTTPGATE_H

#include "bulrushpost/admission.h"
#include "bulrushpost/error.h"

#include <libsoup/soup.h>

/*
 * Accepts the connections of a SoupServer and counts what they send, since
 * libsoup bounds neither their number nor the age of a head, and keeps idle
 * ones for ever.
 */
typedef struct bp_httpgate bp_httpgate_t;

typedef struct {
	SoupServer *server;
	const char *address; /* IP:PORT */
	uint32_t backlog;
	bp_admission_t *admission; /* NULL: nothing is bounded */
	bp_admission_address_t kind;
	/* Bodies are dropped, and their connection closed beyond a bound; the
	 * answer needs no time. Otherwise the owner sets the phases. */
	bool no_bodies;
} bp_httpgate_options_t;

/* Listens when it returns 0. */
int bp_httpgate_new(
    bp_httpgate_t **out, const bp_httpgate_options_t *options, bp_error_t *err);
/* Stops listening; the server closes its connections. NULL is allowed. */
void bp_httpgate_free(bp_httpgate_t *gate);

/* Of the connection of a message; NULL when it is not counted. */
bp_admitted_t *bp_httpgate_admitted(SoupServerMessage *message);
/*
 * Keeps a piece of the body of the present request, if there is memory for
 * it; it is dropped at once when the connection is closed, as libsoup notices
 * that only later. false: nothing more is kept.
 */
bool bp_httpgate_keep(SoupServerMessage *message, GBytes *piece);
/* What was kept, NULL for nothing. */
const GByteArray *bp_httpgate_kept(SoupServerMessage *message);
void bp_httpgate_drop(SoupServerMessage *message);
/* NULL when the connection is closed. */
GSocket *bp_httpgate_socket(SoupServerMessage *message);

#endif
