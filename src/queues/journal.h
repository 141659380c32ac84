#ifndef BP_QUEUES_JOURNAL_H
#define BP_QUEUES_JOURNAL_H

#include "bulrushpost/clock.h"
#include "bulrushpost/logline.h"
#include "bulrushpost/store.h"

/*
 * Writes the records of one shard: groups them, keeps one append in flight
 * and repeats it with the same sequence number until its outcome is known.
 */
typedef struct bp_journal bp_journal_t;

/* Outcome of an append. BP_STORE_REFUSED: none of its records was written. */
typedef void (*bp_journal_done_t)(bp_store_outcome_t outcome, void *data);

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
	void (*fill)(GPtrArray *records, void *data);
	/* Called once for each append that fill added records to, unless the
	 * writer is freed before. */
	bp_journal_done_t done;
	void *data;
} bp_journal_options_t;

bp_journal_t *bp_journal_new(const bp_journal_options_t *options);
void bp_journal_free(bp_journal_t *journal);
/* Requests an append, soon if it is urgent since a caller waits for it. */
void bp_journal_request(bp_journal_t *journal, bool urgent);
bool bp_journal_idle(const bp_journal_t *journal);
/* Returns when, on the monotonic clock, the append in flight was first sent; 0
 * for none. */
int64_t bp_journal_since_ms(const bp_journal_t *journal);
/* Returns when, on the monotonic clock, the last append that succeeded was
 * first sent; 0 for none. */
int64_t bp_journal_stored_ms(const bp_journal_t *journal);
uint64_t bp_journal_appends(const bp_journal_t *journal);

#endif
