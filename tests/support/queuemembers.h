#ifndef BP_TESTS_QUEUEMEMBERS_H
#define BP_TESTS_QUEUEMEMBERS_H

#include "queues/membership.h"
#include "support/queuestore.h"

#define BP_QMEMBERS_SHARDS_MAX 4
#define BP_QMEMBERS 5

typedef struct bp_qmembers bp_qmembers_t;

/* A member and the shards that it owns by what its membership reports. */
typedef struct {
	bp_qmembers_t *members;
	bp_qstore_view_t *view;
	bp_membership_t *membership; /* NULL while the member is dead */
	char address[32];
	bool draining;
	bool owned[BP_QMEMBERS_SHARDS_MAX];
	int64_t confirmed_ms[BP_QMEMBERS_SHARDS_MAX];
	/* Since the last confirmed join was sent, when it was confirmed. */
	int64_t confirmation_age_ms;
} bp_qmember_t;

/* Members of a group on a store in memory, which own shards as nodes do. */
struct bp_qmembers {
	bp_clock_virtual_t *clock;
	bp_random_t random;
	bp_qstore_t *store;
	uint32_t shards;
	uint64_t incarnations;
	uint32_t acquired; /* shards that any member took over */
	int64_t rebalanced_ms;
	uint32_t overlaps; /* confirmed memberships of two owners */
	bp_qmember_t members[BP_QMEMBERS];
};

bp_qmembers_t *bp_qmembers_new(uint64_t seed, uint32_t shards);
void bp_qmembers_free(bp_qmembers_t *members);
/* Starts a member that is dead, as a new incarnation. */
void bp_qmembers_start(bp_qmembers_t *members, uint32_t index);
void bp_qmembers_start_all(bp_qmembers_t *members);
/* The member dies: it sends nothing any more. */
void bp_qmembers_stop(bp_qmembers_t *members, uint32_t index);
void bp_qmembers_rebalance(bp_qmembers_t *members);
void bp_qmembers_run_ms(bp_qmembers_t *members, int64_t duration_ms);
/* Returns whether a member owns a shard and its membership is valid. */
bool bp_qmember_valid(const bp_qmember_t *member, uint32_t shard);
/* Returns the member whose membership for a shard is valid, -1 for none. */
int bp_qmembers_owner(const bp_qmembers_t *members, uint32_t shard);

#endif
