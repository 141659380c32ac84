#ifndef BP_GATEWAY_HEADERS_H
#define BP_GATEWAY_HEADERS_H

#include <libsoup/soup.h>

#include <stdbool.h>

/* Copies the end-to-end headers and leaves out those of one connection. */
void bp_headers_copy(SoupMessageHeaders *to, SoupMessageHeaders *from);
size_t bp_headers_bytes(SoupMessageHeaders *headers);
/* Whether the length of the body is stated in one unambiguous way. */
bool bp_headers_framing_ok(SoupMessageHeaders *headers);

/* Whether the peer has closed its side and nothing is left to read. */
bool bp_socket_ended(GSocket *socket);

#endif
