#include "gateway/headers.h"

#include <errno.h>
#include <string.h>
#include <sys/socket.h>

/* "name: value\r\n" */
#define SEPARATOR_BYTES 4

/*
 * Hop-by-hop headers (RFC 9110, section 7.6.1), and headers that libsoup or the
 * gateway sets itself for each connection.
 */
static const char *const omitted_headers[] = {"connection", "keep-alive",
    "proxy-connection", "proxy-authenticate", "proxy-authorization", "te",
    "trailer", "transfer-encoding", "upgrade", "expect", "host",
    "content-length", "x-request-id", "x-deadline-ms", NULL};

static bool
is_copied(const char *name, const char *connection)
{
	char *lower = g_ascii_strdown(name, -1);
	bool copied = !g_strv_contains(omitted_headers, lower);

	g_free(lower);
	if (copied && connection != NULL)
		copied = !soup_header_contains(connection, name);
	return copied;
}

/* Copies the end-to-end headers and omits hop-by-hop headers. */
void
bp_headers_copy(SoupMessageHeaders *to, SoupMessageHeaders *from)
{
	const char *connection =
	    soup_message_headers_get_list(from, "Connection");
	SoupMessageHeadersIter iter;
	const char *name;
	const char *value;

	soup_message_headers_iter_init(&iter, from);
	while (soup_message_headers_iter_next(&iter, &name, &value)) {
		if (is_copied(name, connection))
			soup_message_headers_append(to, name, value);
	}
}

/* Returns the size in bytes of the headers on the wire. */
size_t
bp_headers_bytes(SoupMessageHeaders *headers)
{
	SoupMessageHeadersIter iter;
	const char *name;
	const char *value;
	size_t bytes = 0;

	soup_message_headers_iter_init(&iter, headers);
	while (soup_message_headers_iter_next(&iter, &name, &value))
		bytes += strlen(name) + strlen(value) + SEPARATOR_BYTES;
	return bytes;
}

/*
 * Returns whether the length of the body is unambiguous. libsoup treats a
 * length that is not a number as an empty body, and the bytes that follow as
 * the next request.
 */
bool
bp_headers_framing_ok(SoupMessageHeaders *headers)
{
	const char *length =
	    soup_message_headers_get_list(headers, "Content-Length");
	const char *transfer_coding =
	    soup_message_headers_get_list(headers, "Transfer-Encoding");

	if (transfer_coding != NULL)
		return length == NULL &&
		    g_ascii_strcasecmp(transfer_coding, "chunked") == 0;
	if (length == NULL)
		return true;
	return length[0] != '\0' && strlen(length) <= 18 &&
	    strspn(length, "0123456789") == strlen(length);
}

/*
 * Returns whether the peer has closed its side of the connection. libsoup
 * treats a close between two chunks as the end of the body. A complete chunked
 * body is therefore recognized by a connection that is still open after it.
 */
bool
bp_socket_ended(GSocket *socket)
{
	char byte;
	ssize_t n;

	if (socket == NULL || g_socket_is_closed(socket))
		return true;
	n = recv(g_socket_get_fd(socket), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
	return n == 0 || (n < 0 && errno != EAGAIN && errno != EINTR);
}
