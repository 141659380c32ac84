#ifndef BULRUSHPOST_STORE_H
#define BULRUSHPOST_STORE_H

#include "bulrushpost/error.h"

#include <stdbool.h>

/* What became of a call to the store. */
typedef enum {
	BP_STORE_OK,
	BP_STORE_FENCED, /* a later epoch writes there */
	BP_STORE_MOVED, /* the condition on the end does not hold */
	BP_STORE_SEQUENCE, /* not the sequence number that follows */
	BP_STORE_REFUSED, /* nothing was done; it may be repeated */
	BP_STORE_DROPPED, /* the records were deleted; list the keys anew */
	BP_STORE_UNKNOWN /* no answer: done, not done or done later */
} bp_store_outcome_t;

/* A record of a compacted topic; size 0 drops the key. */
typedef struct {
	char *key;
	GBytes *value; /* NULL drops the key */
	uint64_t offset; /* of records read */
} bp_store_record_t;

typedef struct {
	const char *topic;
	uint32_t partition;
	const char *writer;
	uint64_t epoch;
	uint64_t sequence;
	bool conditional; /* only if the partition ends at end_offset */
	uint64_t end_offset;
	const GPtrArray *records; /* bp_store_record_t */
} bp_store_append_t;

/* One partition of a group and the member that holds it. */
typedef struct {
	uint32_t partition;
	char *member;
} bp_store_holding_t;

/* Valid during the callback. */
typedef struct {
	bp_store_outcome_t outcome;
	uint64_t end_offset;
	uint64_t generation; /* of a group */
	bool more; /* further pages of keys, or records, follow */
	const GPtrArray *records; /* bp_store_record_t, of reads */
	const GArray *holdings; /* bp_store_holding_t, of groups */
} bp_store_result_t;

typedef void (*bp_store_done_t)(const bp_store_result_t *result, void *data);

/*
 * The append-only store with compacted topics and groups that deal out
 * partitions. done is called once, later, and not after forget().
 */
typedef struct bp_store bp_store_t;
struct bp_store {
	void (*append)(bp_store_t *store, const bp_store_append_t *append,
	    bp_store_done_t done, void *data);
	/* The newest record of each key after a key (NULL: from the start). */
	void (*newest)(bp_store_t *store, const char *topic, uint32_t partition,
	    const char *after, bp_store_done_t done, void *data);
	/*
	 * Records from an offset on, in order, as many as one answer holds;
	 * end_offset is that after the last of them.
	 */
	void (*read)(bp_store_t *store, const char *topic, uint32_t partition,
	    uint64_t from, bp_store_done_t done, void *data);
	/* Joins, or stays in, the group that deals out a topic. */
	void (*join)(bp_store_t *store, const char *group, const char *member,
	    const char *topic, uint32_t ttl_ms, uint64_t generation,
	    bp_store_done_t done, void *data);
	void (*leave)(bp_store_t *store, const char *group, const char *member,
	    bp_store_done_t done, void *data);
	void (*owners)(bp_store_t *store, const char *group,
	    bp_store_done_t done, void *data);
	/* Drops calls whose data is this pointer. */
	void (*forget)(bp_store_t *store, void *data);
};

bp_store_record_t *bp_store_record_new(
    const char *key, const void *value, size_t size_bytes);
bp_store_record_t *bp_store_record_new_bytes(const char *key, GBytes *value);
void bp_store_record_free(gpointer record);

#endif
