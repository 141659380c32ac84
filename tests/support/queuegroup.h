#ifndef BP_TESTS_QUEUEGROUP_H
#define BP_TESTS_QUEUEGROUP_H

#include "bulrushpost/clock.h"
#include "bulrushpost/hash.h"

#include <stdbool.h>

/*
 * A group of the store in memory, which assigns its partitions evenly at each
 * change of its live members. A partition moves once its holder joins with the
 * generation of that change or a later one, leaves or expires.
 */
typedef struct bp_qgroup bp_qgroup_t;

bp_qgroup_t *bp_qgroup_new(
    const bp_clock_t *clock, bp_random_t *random, uint32_t partitions);
void bp_qgroup_free(bp_qgroup_t *group);
/* Joins or renews a member that names the last generation it was told, and
 * returns the present one. */
uint64_t bp_qgroup_join(
    bp_qgroup_t *group, const char *name, uint32_t ttl_ms, uint64_t generation);
void bp_qgroup_leave(bp_qgroup_t *group, const char *name);
/* Each change assigns all partitions anew, as the platform's store does,
 * instead of as few as possible. */
void bp_qgroup_set_shuffled(bp_qgroup_t *group, bool shuffled);
/* Reassigns all partitions at once, without waiting for their holders. */
void bp_qgroup_rebalance(bp_qgroup_t *group);
/* Returns whether a partition is listed for the member. */
bool bp_qgroup_listed(
    const bp_qgroup_t *group, uint32_t partition, const char *name);
/* Returns the member that holds a partition, NULL for none. */
const char *bp_qgroup_holder(bp_qgroup_t *group, uint32_t partition);
/* Returns the member that a partition is assigned to, though another one may
 * hold it; NULL for none. */
const char *bp_qgroup_wanted(const bp_qgroup_t *group, uint32_t partition);

#endif
