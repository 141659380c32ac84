#ifndef BP_TESTS_QUEUESTORE_H
#define BP_TESTS_QUEUESTORE_H

#include "bulrushpost/clock.h"
#include "bulrushpost/hash.h"
#include "bulrushpost/store.h"

/*
 * A store in memory under a virtual clock: compacted partitions with epochs
 * and sequence numbers, and groups that assign partitions. Each node has a
 * view of its own, which faults can cut off.
 */
typedef struct bp_qstore bp_qstore_t;
typedef struct bp_qstore_view bp_qstore_view_t;

typedef enum {
	BP_QSTORE_UP,
	BP_QSTORE_BUSY, /* refuses; nothing is done */
	BP_QSTORE_SILENT, /* no answer, nothing is done */
	BP_QSTORE_SILENT_APPENDS /* the same for appends only */
} bp_qstore_mode_t;

bp_qstore_t *bp_qstore_new(
    bp_clock_virtual_t *clock, bp_random_t *random, uint32_t partitions);
void bp_qstore_free(bp_qstore_t *store);
bp_qstore_view_t *bp_qstore_view(bp_qstore_t *store);
bp_store_t *bp_qstore_interface(bp_qstore_view_t *view);

void bp_qstore_set_mode(bp_qstore_view_t *view, bp_qstore_mode_t mode);
/* The node stands still: answers wait until it goes on. */
void bp_qstore_set_frozen(bp_qstore_view_t *view, bool frozen);
void bp_qstore_set_delay_ms(bp_qstore_t *store, uint32_t delay_ms);
/* Share of appends, in percent, without answer; late: done 1 to 6 s later. */
void bp_qstore_set_lost(bp_qstore_t *store, uint32_t percent, bool late);
/* Rejects each append with a value for such a key, for good; NULL for none.
 * key_part is static. */
void bp_qstore_set_rejected(bp_qstore_t *store, const char *key_part);
/* Share of joins and of reads of the owners, in percent, without answer; half
 * of them take effect 1 to 6 s later. */
void bp_qstore_set_group_lost(bp_qstore_t *store, uint32_t percent);
/* Each change of a group's members assigns all partitions anew, as the
 * platform's store does, instead of as few as possible. */
void bp_qstore_set_shuffled(bp_qstore_t *store, bool shuffled);
/* Reassigns all partitions at once, without any request. */
void bp_qstore_rebalance(bp_qstore_t *store);
/* The member that a partition is assigned to, though another one may hold it;
 * NULL for none. */
const char *bp_qstore_wanted(const bp_qstore_t *store, uint32_t partition);
uint64_t bp_qstore_appends(const bp_qstore_t *store);
uint64_t bp_qstore_listings(const bp_qstore_t *store);
uint64_t bp_qstore_owner_reads(const bp_qstore_t *store);
/* Visits the keys that have a value. */
void bp_qstore_each_key(const bp_qstore_t *store, uint32_t partition,
    void (*visit)(const char *key, void *data), void *data);
/* The newest value of a key, NULL for none; lives until the next append. */
GBytes *bp_qstore_value(
    const bp_qstore_t *store, uint32_t partition, const char *key);

#endif
