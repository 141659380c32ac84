#ifndef BP_GATEWAY_HEADERS_H
#define BP_GATEWAY_HEADERS_H

#include <libsoup/soup.h>

#include <stdbool.h>

/* Copies the end-to-end headers and omits hop-by-hop headers. */
void bp_headers_copy(SoupMessageHeaders *to, SoupMessageHeaders *from);
size_t bp_headers_bytes(SoupMessageHeaders *headers);
/* Returns whether the length of the body is unambiguous. */
bool bp_headers_framing_ok(SoupMessageHeaders *headers);

/* Returns whether the peer has closed its side and all bytes were read. */
bool bp_socket_ended(GSocket *socket);

#endif
