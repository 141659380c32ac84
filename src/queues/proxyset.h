#ifndef BP_QUEUES_PROXYSET_H
#define BP_QUEUES_PROXYSET_H

#include "bulrushpost/clock.h"
#include "bulrushpost/executors.h"

/*
 * The nodes that can send an owner's orders, as their heartbeats and the
 * outcome of orders show them. Chooses the proxy of each executor; sends
 * nothing.
 */
typedef struct bp_proxy_set bp_proxy_set_t;

typedef struct {
	const bp_clock_t *clock;
	const char *address; /* of this node's control protocol */
	const char *zone;
	uint32_t processor_milli; /* processors of this node, in thousandths */
} bp_proxy_set_options_t;

/* Starts that a proxy, or all, answered since the last summary. */
typedef struct {
	uint32_t starts;
	uint64_t total_ms; /* sum of the times from sending to the answer */
	uint64_t proxy_ms; /* the part of total_ms spent at the proxy */
} bp_proxy_starts_t;

/* An order that a proxy did not answer. */
typedef struct {
	uint64_t call_number; /* of all orders through proxies, from 1 */
	uint64_t calls_sent; /* number of the last one */
	bool timed_out; /* false: its connection failed */
	bool busy; /* this process may have been too busy to read the answer */
} bp_proxy_failure_t;

bp_proxy_set_t *bp_proxy_set_new(const bp_proxy_set_options_t *options);
/* NULL is allowed. */
void bp_proxy_set_free(bp_proxy_set_t *set);
/* Records a heartbeat of a node, which has so many processors, in
 * thousandths. */
void bp_proxy_set_heartbeat(bp_proxy_set_t *set, const char *address,
    const char *zone, uint32_t processor_milli);
/* Returns the address of an executor's proxy, NULL for this node. */
const char *bp_proxy_set_choose(
    const bp_proxy_set_t *set, const bp_exec_target_t *target);
/* Returns the number of nodes that currently get orders. */
uint32_t bp_proxy_set_usable(const bp_proxy_set_t *set);

/* The node carried an order out. */
void bp_proxy_set_answered(bp_proxy_set_t *set, const char *address);
/* The node answered an order with an error. */
void bp_proxy_set_refused(bp_proxy_set_t *set, const char *address);
/* The node did not answer an order. */
void bp_proxy_set_failed(bp_proxy_set_t *set, const char *address,
    const bp_proxy_failure_t *failure);

/* Records an answered start: the time from sending it, and that at the
 * proxy. */
void bp_proxy_set_record_start(bp_proxy_set_t *set, const char *address,
    uint64_t total_ms, uint64_t proxy_ms);
/* Sets the sum of all starts since the last call, and those of the slowest
 * proxy. Returns its address, NULL for none, valid until the set is freed. */
const char *bp_proxy_set_take_starts(
    bp_proxy_set_t *set, bp_proxy_starts_t *sum, bp_proxy_starts_t *slowest);
/* Returns a sum of times for each start, in ms. */
uint32_t bp_proxy_starts_mean_ms(uint64_t sum_ms, uint32_t starts);

#endif
