#ifndef BP_TESTS_QUEUEHTTP_H
#define BP_TESTS_QUEUEHTTP_H

#include "support/queuefleet.h"
#include "support/queuestore.h"

/*
 * The users' platform over HTTP on loopback, in real time: the store with
 * the operators' and executors' topics, and executors, each at its own
 * address.
 */
typedef struct bp_queuehttp bp_queuehttp_t;

bp_queuehttp_t *bp_queuehttp_new(uint32_t executors);
void bp_queuehttp_free(bp_queuehttp_t *self);
uint16_t bp_queuehttp_port(const bp_queuehttp_t *self);
/* Puts a configuration with one queue: host "h", this path prefix. */
void bp_queuehttp_configure(
    bp_queuehttp_t *self, uint64_t version, const char *prefix);
/* Of a route: it is named q and the number. */
typedef struct {
	uint32_t number;
	const char *prefix;
} bp_queuehttp_route_t;

/* Puts a configuration with these routes. */
void bp_queuehttp_configure_routes(bp_queuehttp_t *self, uint64_t version,
    const bp_queuehttp_route_t *routes, uint32_t n);
/* Puts one with the queue /q/, which keeps its name, besides. */
void bp_queuehttp_configure_more(
    bp_queuehttp_t *self, uint64_t version, const char *prefix);
/* Puts a configuration with customers, the queue /q/ and the queue /open/,
 * which needs no key. customers is the list in JSON. */
void bp_queuehttp_configure_customers(
    bp_queuehttp_t *self, uint64_t version, const char *customers);
/* Adds an entry of another writer to the executors' list. The key is written
 * as it is in JSON. */
void bp_queuehttp_add_entry(
    bp_queuehttp_t *self, const char *key, const char *value);
/* Adds fields to the limits of later configurations, such as ",\"a\":1". The
 * text has to outlive the platform. */
void bp_queuehttp_set_limits(bp_queuehttp_t *self, const char *limits);
bp_qstore_t *bp_queuehttp_store(bp_queuehttp_t *self);
bp_qfleet_t *bp_queuehttp_fleet(bp_queuehttp_t *self);
/* An executor crashes: its connections end, and it starts again a little later
 * at the same address (bp_qfleet_crash). */
void bp_queuehttp_crash(bp_queuehttp_t *self, uint32_t index);
void bp_queuehttp_set_mode(bp_queuehttp_t *self, bp_qstore_mode_t mode);
/* Sets only whether reads of the operators' topic are answered. */
void bp_queuehttp_set_silent(bp_queuehttp_t *self, bool silent);
/* The name of the customer in the newest record of a job; free it. NULL: no
 * shard has such a record. */
char *bp_queuehttp_customer(bp_queuehttp_t *self, const char *id);

#endif
