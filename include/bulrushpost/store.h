#ifndef BULRUSHPOST_STORE_H
#define BULRUSHPOST_STORE_H

#include "bulrushpost/error.h"

#include <stdbool.h>

/* Outcome of a call to the store. */
typedef enum {
	BP_STORE_OK,
	BP_STORE_FENCED, /* a writer with a later epoch has taken over */
	BP_STORE_CONFLICT, /* the partition does not end at end_offset */
	BP_STORE_BAD_SEQUENCE, /* not the next sequence number */
	BP_STORE_REFUSED, /* nothing was done; the call may be repeated */
	BP_STORE_REJECTED, /* nothing was done, nor will it be for these records
			    */
	BP_STORE_TRUNCATED, /* the records were deleted; list the keys again */
	BP_STORE_UNKNOWN /* no answer: may take effect, also later */
} bp_store_outcome_t;

/* A record of a compacted topic. */
typedef struct {
	char *key;
	GBytes *value; /* NULL deletes the key */
	uint64_t offset; /* set in records that were read */
} bp_store_record_t;

typedef struct {
	const char *topic;
	uint32_t partition;
	const char *writer;
	uint64_t epoch;
	uint64_t sequence;
	bool conditional; /* appends only if the partition ends at end_offset */
	uint64_t end_offset;
	const GPtrArray *records; /* bp_store_record_t */
} bp_store_append_t;

/* A partition and the group member that it is assigned to. */
typedef struct {
	uint32_t partition;
	char *member; /* NULL if it is not assigned */
} bp_store_assignment_t;

/* Valid during the callback. */
typedef struct {
	bp_store_outcome_t outcome;
	uint64_t end_offset;
	uint64_t generation; /* of a group */
	bool more; /* more pages of keys or records follow */
	const GPtrArray *records; /* bp_store_record_t, set by reads */
	const GArray
	    *assignments; /* bp_store_assignment_t, set by group calls */
} bp_store_result_t;

typedef void (*bp_store_done_t)(const bp_store_result_t *result, void *data);

/*
 * The append-only store with compacted topics, and with groups that assign
 * partitions to their members. done is called once, after the call has
 * returned and not after forget().
 */
typedef struct bp_store bp_store_t;
struct bp_store {
	void (*append)(bp_store_t *store, const bp_store_append_t *append,
	    bp_store_done_t done, void *data);
	/* Reads the newest record of each key that follows the key after, NULL
	 * for the first page. */
	void (*newest)(bp_store_t *store, const char *topic, uint32_t partition,
	    const char *after, bp_store_done_t done, void *data);
	/*
	 * Reads records from an offset on, in order, as many as fit an answer;
	 * its end_offset is the offset after the last of them.
	 */
	void (*read)(bp_store_t *store, const char *topic, uint32_t partition,
	    uint64_t from, bp_store_done_t done, void *data);
	/* Joins the group that assigns a topic's partitions, or renews the
	 * membership, which lasts for ttl_ms. */
	void (*join)(bp_store_t *store, const char *group, const char *member,
	    const char *topic, uint32_t ttl_ms, uint64_t generation,
	    bp_store_done_t done, void *data);
	void (*leave)(bp_store_t *store, const char *group, const char *member,
	    bp_store_done_t done, void *data);
	/* Reads the assignments of a group. */
	void (*owners)(bp_store_t *store, const char *group,
	    bp_store_done_t done, void *data);
	/* Cancels the pending callbacks whose data is this pointer. */
	void (*forget)(bp_store_t *store, void *data);
};

bp_store_record_t *bp_store_record_new(
    const char *key, const void *value, size_t size_bytes);
bp_store_record_t *bp_store_record_new_bytes(const char *key, GBytes *value);
void bp_store_record_free(gpointer record);

#endif
