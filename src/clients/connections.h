#ifndef BP_CLIENTS_CONNECTIONS_H
#define BP_CLIENTS_CONNECTIONS_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/*
 * Which incarnation of its server has answered on each connection of an HTTP
 * client. Connections are known by the number that the HTTP library gives them;
 * the library does not tell when it closes one.
 */
typedef struct bp_connections bp_connections_t;

/* per_host is the most connections that the client has with one server, total
 * the most with all of them. */
bp_connections_t *bp_connections_new(uint32_t total, uint32_t per_host);
void bp_connections_free(bp_connections_t *self);
/* Records that an incarnation has answered on a connection. */
void bp_connections_confirm(bp_connections_t *self, const char *host,
    uint64_t connection, int64_t incarnation);
/* Returns whether the incarnation has answered on the connection. */
bool bp_connections_is_confirmed(const bp_connections_t *self, const char *host,
    uint64_t connection, int64_t incarnation);
/* A request is on its way over the connection, or has ended. */
void bp_connections_set_busy(
    bp_connections_t *self, const char *host, uint64_t connection, bool busy);
/*
 * Returns whether a request for the incarnation is likely to get a connection
 * on which it has answered: an idle one, or, with all connections in use, the
 * next one to become idle.
 */
bool bp_connections_may_send(
    const bp_connections_t *self, const char *host, int64_t incarnation);

#endif
