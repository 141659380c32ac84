#include "support/crowd.h"

#include "support/process.h"

#include <arpa/inet.h>
#include <errno.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define READ_BYTES 65536
#define CONNECTED_AT_ONCE 100
#define CYCLE_MS 2

typedef struct {
	int fd;
	bool closed;
	size_t sent;
	int64_t next_us; /* of the next piece */
} member_t;

struct bp_crowd {
	bp_crowd_options_t options;
	member_t *members;
	GByteArray *bytes; /* that each connection sends */
};

static void
append(GByteArray *out, const char *text, size_t size_bytes)
{
	if (text != NULL)
		g_byte_array_append(out, (const guint8 *)text,
		    (guint)(size_bytes > 0 ? size_bytes : strlen(text)));
}

/* Without blocking: a listener that accepts nothing must not stop the test. */
static void
open_member(member_t *member, uint16_t port)
{
	struct sockaddr_in address = {0};
	int on = 1;

	address.sin_family = AF_INET;
	address.sin_port = htons(port);
	address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	member->fd =
	    socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
	(void)setsockopt(member->fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
	member->closed = connect(member->fd, (const struct sockaddr *)&address,
			     sizeof(address)) != 0 &&
	    errno != EINPROGRESS;
}

/* Opens the connections, so many at once as a listener's backlog takes. */
bp_crowd_t *
bp_crowd_new(const bp_crowd_options_t *options)
{
	bp_crowd_t *crowd = g_new0(bp_crowd_t, 1);
	size_t i;

	crowd->options = *options;
	crowd->bytes = g_byte_array_new();
	append(crowd->bytes, options->head, options->head_bytes);
	for (i = 0; i < options->units; i++)
		append(crowd->bytes, options->unit, options->unit_bytes);
	append(crowd->bytes, options->tail, 0);
	crowd->members = g_new0(member_t, options->connections);
	for (i = 0; i < options->connections; i++) {
		open_member(&crowd->members[i], options->port);
		if (i % CONNECTED_AT_ONCE == CONNECTED_AT_ONCE - 1)
			bp_run_for_ms(CYCLE_MS);
	}
	return crowd;
}

/* See the header. */
void
bp_crowd_free(bp_crowd_t *crowd)
{
	uint32_t i;

	if (crowd == NULL)
		return;
	for (i = 0; i < crowd->options.connections; i++)
		(void)close(crowd->members[i].fd);
	g_byte_array_unref(crowd->bytes);
	g_free(crowd->members);
	g_free(crowd);
}

static void
read_member(bp_crowd_t *crowd, member_t *member)
{
	static char bytes[READ_BYTES];
	struct pollfd state = {member->fd, POLLOUT, 0};
	ssize_t n = 1;

	if (poll(&state, 1, 0) == 0)
		return;
	if ((state.revents & (POLLERR | POLLHUP)) != 0) {
		member->closed = true;
		return;
	}
	if (!crowd->options.reads) {
		/* An end or a reset behind unread answers is seen by poll. */
		state.events = POLLRDHUP;
		if (poll(&state, 1, 0) > 0)
			member->closed = true;
		return;
	}
	while (n > 0) {
		n = recv(member->fd, bytes, sizeof(bytes), MSG_DONTWAIT);
		if (n == 0 || (n < 0 && errno != EAGAIN))
			member->closed = true;
	}
}

/* Returns whether something was sent. */
static bool
send_member(bp_crowd_t *crowd, member_t *member)
{
	size_t left = crowd->bytes->len - member->sent;
	size_t piece = crowd->options.piece_bytes;
	int64_t now_us = bp_now_us();
	ssize_t n;

	if (left == 0 || now_us < member->next_us)
		return false;
	n = send(member->fd, crowd->bytes->data + member->sent,
	    piece > 0 ? MIN(piece, left) : left, MSG_NOSIGNAL | MSG_DONTWAIT);
	if (n < 0 && errno != EAGAIN && errno != ENOTCONN)
		member->closed = true;
	if (n <= 0)
		return false;
	member->sent += (size_t)n;
	member->next_us = now_us + crowd->options.interval_ms * 1000;
	return true;
}

/* Returns whether something was sent; left tells whether something remains. */
static bool
send_all(bp_crowd_t *crowd, bool *left)
{
	bool sent = false;
	uint32_t i;

	*left = false;
	for (i = 0; i < crowd->options.connections; i++) {
		member_t *member = &crowd->members[i];

		if (member->closed)
			continue;
		read_member(crowd, member);
		if (member->closed)
			continue;
		sent = send_member(crowd, member) || sent;
		if (member->sent < crowd->bytes->len)
			*left = true;
	}
	return sent;
}

/* See the header. */
void
bp_crowd_send(bp_crowd_t *crowd, int64_t stall_ms)
{
	int64_t progress_us = bp_now_us();
	bool left = true;

	while (left && bp_now_us() - progress_us < stall_ms * 1000) {
		if (send_all(crowd, &left))
			progress_us = bp_now_us();
		bp_run_for_ms(CYCLE_MS);
	}
}

/* See the header. */
void
bp_crowd_pump(bp_crowd_t *crowd)
{
	bool left = false;

	(void)send_all(crowd, &left);
}

/* Returns the number of connections that the other side has not closed. */
uint32_t
bp_crowd_open(const bp_crowd_t *crowd)
{
	uint32_t count = 0;
	uint32_t i;

	for (i = 0; i < crowd->options.connections; i++)
		count += crowd->members[i].closed ? 0 : 1;
	return count;
}

static uint64_t
status_kb(int pid, const char *key)
{
	char *path = g_strdup_printf("/proc/%d/status", pid);
	char *text = NULL;
	const char *line;
	uint64_t kb = UINT64_MAX;

	if (g_file_get_contents(path, &text, NULL, NULL)) {
		line = strstr(text, key);
		if (line != NULL)
			kb = g_ascii_strtoull(line + strlen(key), NULL, 10);
	}
	g_free(text);
	g_free(path);
	return kb;
}

/* Returns UINT64_MAX when the process has ended. */
uint64_t
bp_process_peak_kb(int pid)
{
	return status_kb(pid, "VmHWM:");
}

/* Returns UINT64_MAX when the process has ended. */
uint64_t
bp_process_resident_kb(int pid)
{
	return status_kb(pid, "VmRSS:");
}

/* Returns UINT32_MAX when the process has ended. */
uint32_t
bp_process_descriptors(int pid)
{
	char *path = g_strdup_printf("/proc/%d/fd", pid);
	GDir *dir = g_dir_open(path, 0, NULL);
	uint32_t count = dir != NULL ? 0 : UINT32_MAX;

	while (dir != NULL && g_dir_read_name(dir) != NULL)
		count++;
	if (dir != NULL)
		g_dir_close(dir);
	g_free(path);
	return count;
}
