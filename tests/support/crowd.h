#ifndef BP_TESTS_CROWD_H
#define BP_TESTS_CROWD_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/*
 * Connections to one port of loopback that all send the same bytes, as fast as
 * they are taken or in pieces, and keep their connections open.
 */
typedef struct bp_crowd bp_crowd_t;

typedef struct {
	uint16_t port;
	uint32_t connections;
	const char *head; /* sent first */
	size_t head_bytes; /* 0: up to its end as a text */
	const char *unit; /* repeated behind the head; may be NULL */
	size_t unit_bytes; /* 0: up to its end as a text */
	size_t units; /* how often */
	const char *tail; /* sent last; may be NULL */
	size_t piece_bytes; /* most bytes of one send; 0: no limit */
	int64_t interval_ms; /* between the pieces of a connection */
	bool reads; /* reads and drops what arrives */
} bp_crowd_options_t;

bp_crowd_t *bp_crowd_new(const bp_crowd_options_t *options);
/* Closes the connections. NULL is allowed. */
void bp_crowd_free(bp_crowd_t *crowd);
/* Sends until each connection has sent all, is closed, or took nothing for
 * stall_ms. */
void bp_crowd_send(bp_crowd_t *crowd, int64_t stall_ms);
/* Sends once on each connection that takes something. */
void bp_crowd_pump(bp_crowd_t *crowd);
uint32_t bp_crowd_open(const bp_crowd_t *crowd);

/* Figures of a process, from /proc: kilobytes, and open descriptors. */
uint64_t bp_process_peak_kb(int pid);
uint64_t bp_process_resident_kb(int pid);
uint32_t bp_process_descriptors(int pid);

#endif
