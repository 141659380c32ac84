#ifndef BP_QUEUES_KEPTSHARD_H
#define BP_QUEUES_KEPTSHARD_H

#include <stdbool.h>
#include <stdint.h>

/* Shortest interval between queries of the owners for a kept shard. */
#define BP_KEPT_SHARD_QUERY_INTERVAL_MS 300

/*
 * The shard that a member goes on owning although the group has assigned it to
 * another one. The store moves it only once the member joins with the
 * generation of that change, so the member names its earlier generation for as
 * long as the store's list of owners has its name.
 */
typedef struct {
	bool active; /* the last join did not list the shard */
	bool queried; /* the owners were queried since it became active */
	uint32_t number;
	uint64_t generation; /* of the last join */
	int64_t joined_ms; /* mono, when the last join was sent */
	uint64_t confirmed_generation;
	int64_t
	    confirmed_ms; /* mono, sending time of the join confirmed last */
	/* The last join before the query in flight. */
	uint64_t query_generation;
	int64_t query_joined_ms;
} bp_kept_shard_t;

/* What an answer to a query of the owners means for the shard. */
typedef enum {
	BP_KEPT_SHARD_UNDECIDED,
	BP_KEPT_SHARD_CONFIRMED, /* by the join sent at confirmed_ms */
	BP_KEPT_SHARD_REASSIGNED
} bp_kept_shard_verdict_t;

/*
 * Records a successful join. Of n shards, listed tells which the store listed
 * and served which this member serves. Returns whether one is kept: it is
 * neither confirmed nor released until the owners are known, and the next join
 * names the earlier generation.
 */
bool bp_kept_shard_joined(bp_kept_shard_t *self, const bool *listed,
    const bool *served, uint32_t n, uint64_t generation, int64_t sent_mono_ms);
/* Returns whether the owners have to be queried, last at queried_mono_ms. */
bool bp_kept_shard_query_due(
    const bp_kept_shard_t *self, int64_t now_mono_ms, int64_t queried_mono_ms);
/* Records that a query of the owners is sent. */
void bp_kept_shard_query_sent(bp_kept_shard_t *self);
/* Records the answer: owned tells whether it named this very member. */
bp_kept_shard_verdict_t bp_kept_shard_answered(
    bp_kept_shard_t *self, bool owned);

#endif
