#ifndef BP_QUEUES_RECORDWRITER_H
#define BP_QUEUES_RECORDWRITER_H

#include "bulrushpost/clock.h"
#include "bulrushpost/logline.h"
#include "bulrushpost/store.h"

/*
 * Writes the records of one shard: groups them, keeps one append in flight
 * and repeats it with the same sequence number until its outcome is known.
 */
typedef struct bp_record_writer bp_record_writer_t;

/* Outcome of an append. BP_STORE_REFUSED: none of its records was written. */
typedef void (*bp_record_writer_done_t)(bp_store_outcome_t outcome, void *data);

typedef struct {
	const bp_clock_t *clock;
	bp_logger_t *logger;
	bp_store_t *store;
	const char *topic;
	uint32_t partition;
	const char *writer;
	uint64_t epoch;
	uint64_t sequence; /* of the first append */
	/* Adds the records to store (bp_store_record_t) to an append, which
	 * owns them. */
	void (*collect)(GPtrArray *records, void *data);
	/* Called once for each append that fill added records to, unless the
	 * writer is freed before. */
	bp_record_writer_done_t done;
	void *data;
} bp_record_writer_options_t;

bp_record_writer_t *bp_record_writer_new(
    const bp_record_writer_options_t *options);
void bp_record_writer_free(bp_record_writer_t *writer);
/* Requests an append, soon if it is urgent since a caller waits for it. */
void bp_record_writer_request(bp_record_writer_t *writer, bool urgent);
bool bp_record_writer_idle(const bp_record_writer_t *writer);
/* Returns when, on the monotonic clock, the append in flight was first sent; 0
 * for none. */
int64_t bp_record_writer_pending_since_ms(const bp_record_writer_t *writer);
/* Returns how often the append in flight was sent. */
uint32_t bp_record_writer_attempts(const bp_record_writer_t *writer);
/* Returns when, on the monotonic clock, the last append that succeeded was
 * first sent; 0 for none. */
int64_t bp_record_writer_last_stored_ms(const bp_record_writer_t *writer);
uint64_t bp_record_writer_appends(const bp_record_writer_t *writer);

#endif
