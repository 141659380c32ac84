#ifndef BULRUSHPOST_FOLLOWER_H
#define BULRUSHPOST_FOLLOWER_H

#include "bulrushpost/clock.h"
#include "bulrushpost/logclient.h"
#include "bulrushpost/logline.h"
#include "bulrushpost/state.h"

/* Reads the log in order and applies every record to the state. */
typedef struct bp_follower bp_follower_t;

typedef enum {
	BP_FOLLOWER_STARTING, /* no snapshot or head read yet */
	BP_FOLLOWER_CURRENT, /* the last read reached the head */
	BP_FOLLOWER_LOG_DOWN, /* the last read failed */
	BP_FOLLOWER_STATE_UNKNOWN, /* no snapshot covers the expired records */
	BP_FOLLOWER_VERSION_UNKNOWN /* stopped at an unknown record version */
} bp_follower_status_t;

typedef struct {
	const bp_clock_t *clock;
	bp_logger_t *logger;
	bp_logclient_t *log;
	uint32_t wait_ms; /* of a long poll */
	uint32_t retry_ms; /* pause after a failed read */
} bp_follower_options_t;

int bp_follower_options_init(bp_follower_options_t *options);
int bp_follower_new(
    bp_follower_t **out, const bp_follower_options_t *options, bp_error_t *err);
void bp_follower_free(bp_follower_t *follower);
void bp_follower_start(bp_follower_t *follower);

/* Owned by the follower; loading a snapshot replaces it. */
bp_state_t *bp_follower_state(const bp_follower_t *follower);
/* Changes whenever the state is replaced. */
uint64_t bp_follower_generation(const bp_follower_t *follower);
void bp_follower_observe(
    bp_follower_t *follower, bp_state_observer_t observer, void *data);
/* Called after each completed read and each change of status. */
typedef void (*bp_follower_progress_t)(bp_follower_t *follower, void *data);
void bp_follower_on_progress(
    bp_follower_t *follower, bp_follower_progress_t progress, void *data);

/* Removes the observers and progress callbacks that were added with data. */
void bp_follower_remove_observers(bp_follower_t *follower, const void *data);

bp_follower_status_t bp_follower_status(const bp_follower_t *follower);
/* Monotonic start time (us) of the latest read to the head, or 0. */
int64_t bp_follower_synced_us(const bp_follower_t *follower);
/* Wall time (ms) since which reads fail, or 0 if they succeed. */
int64_t bp_follower_down_since_ms(const bp_follower_t *follower);
/* Requests a read to the head without long polling. */
void bp_follower_read_now(bp_follower_t *follower);
/* Replaces the state by the snapshot of a peer if that is newer. */
int bp_follower_install_snapshot(bp_follower_t *follower,
    const uint8_t *snapshot, size_t size_bytes, bp_error_t *err);

#endif
