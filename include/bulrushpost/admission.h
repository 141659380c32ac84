#ifndef BULRUSHPOST_ADMISSION_H
#define BULRUSHPOST_ADMISSION_H

#include "bulrushpost/clock.h"
#include "bulrushpost/logline.h"
#include "bulrushpost/metrics.h"

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/*
 * Decides which connections of callers a process keeps: one account of the
 * memory that they cause, bounds on their number and on the age of what they
 * have not finished.
 */
typedef struct bp_admission bp_admission_t;
/* One connection. */
typedef struct bp_admitted bp_admitted_t;

/* Addresses that a process listens on, each with a bound of its own. */
typedef enum {
	BP_ADMISSION_CALLERS,
	BP_ADMISSION_READY,
	BP_ADMISSION_METRICS,
	BP_ADMISSION_CONTROL,
	BP_ADMISSION_ADDRESSES
} bp_admission_address_t;

/* What a connection does; all but BP_ADMITTED_SERVED may be closed. */
typedef enum {
	BP_ADMITTED_IDLE,
	BP_ADMITTED_HEAD, /* a part of a head has arrived */
	BP_ADMITTED_BODY, /* a part of a body or frame has arrived */
	BP_ADMITTED_SERVED, /* the request waits for this process */
	BP_ADMITTED_ANSWER, /* the answer has not been read */
	BP_ADMITTED_PHASES
} bp_admitted_phase_t;

typedef struct {
	const bp_clock_t *clock;
	bp_logger_t *logger; /* or NULL */
	bp_metrics_t *metrics; /* or NULL */
	uint64_t bytes_max;
	uint32_t connections_max[BP_ADMISSION_ADDRESSES];
	uint32_t age_max_ms[BP_ADMISSION_ADDRESSES]
			   [BP_ADMITTED_PHASES]; /* 0: none */
	bool manual; /* no timer: bp_admission_check is called by the owner */
} bp_admission_options_t;

/* Closes the connection; must not call the admission. */
typedef void (*bp_admitted_close_t)(void *data);

/* Tells whether bytes that were not read wait in the connection's socket. */
typedef bool (*bp_admitted_unread_t)(void *data);

/* Sets the bounds for a machine of this memory and number of descriptors. */
void bp_admission_options_init(
    bp_admission_options_t *options, uint64_t memory_mib, uint32_t descriptors);
bp_admission_t *bp_admission_new(const bp_admission_options_t *options);
/* All connections have left. NULL is allowed. */
void bp_admission_free(bp_admission_t *admission);
/* Sets the ages of idle connections and heads at the callers' address, of open
 * connections too; 0 for the default. */
void bp_admission_set_caller_ages(
    bp_admission_t *admission, uint32_t idle_ms, uint32_t head_ms);
/* Closes what is too old. */
void bp_admission_check(bp_admission_t *admission);
uint64_t bp_admission_bytes(const bp_admission_t *admission);
uint32_t bp_admission_connections(
    const bp_admission_t *admission, bp_admission_address_t address);

/*
 * A new connection. At the bound of its address the one idle longest is
 * closed, or the unfinished one that began first; NULL when there is none.
 */
bp_admitted_t *bp_admission_enter(bp_admission_t *admission,
    bp_admission_address_t address, bp_admitted_close_t close, void *data);
/* The functions below allow NULL, for a connection that is not counted. */
/* An idle connection with unread bytes is not closed but has begun a head. */
void bp_admitted_set_unread(
    bp_admitted_t *admitted, bp_admitted_unread_t unread);
void bp_admitted_leave(bp_admitted_t *admitted);
/* The age of a phase begins with it; that of BP_ADMITTED_IDLE, and of all at
 * the control address, with each call. */
void bp_admitted_set_phase(bp_admitted_t *admitted, bp_admitted_phase_t phase);
/* Tells whether the admission closes the connection. */
bool bp_admitted_closing(const bp_admitted_t *admitted);
bp_admitted_phase_t bp_admitted_phase(const bp_admitted_t *admitted);
/*
 * Sets the memory that the connection causes. At the bound of the account,
 * other connections are closed; false when that did not suffice: nothing is
 * changed then, and the caller refuses what the memory was for.
 */
bool bp_admitted_set_bytes(bp_admitted_t *admitted, uint64_t bytes);
uint64_t bp_admitted_bytes(const bp_admitted_t *admitted);
/* The connection broke a limit that its owner watches; counts it. */
void bp_admitted_refused(bp_admitted_t *admitted, const char *reason);

#endif
