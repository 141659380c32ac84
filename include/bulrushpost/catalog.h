#ifndef BULRUSHPOST_CATALOG_H
#define BULRUSHPOST_CATALOG_H

#include "bulrushpost/error.h"
#include "bulrushpost/executors.h"

#include <stdbool.h>

/* Hexadecimal digits of the IDs that callers choose for jobs. */
#define BP_CATALOG_JOB_ID_DIGITS 16

/* A queue and its route: calls with this host and path prefix belong to it. */
typedef struct {
	char *name;
	char *host;
	char *prefix;
	char *service; /* pool of executors that run its tasks */
	uint32_t priority; /* 0 is the highest */
	uint32_t attempts; /* failures of a task that end its job */
	uint32_t stretch_permille; /* of the critical path, in the objective */
	uint32_t objective_ms; /* constant part of the objective */
	uint32_t timeout_ms;
	bool advised; /* executors have to be allowed one by one */
	bool is_public; /* calls need no key of a customer */
} bp_queue_route_t;

/* A customer. Its caps limit what its tasks request over all executors; 0 is
 * no limit. */
typedef struct {
	char *name;
	GPtrArray *keys; /* char *; never logged */
	uint32_t weight; /* share at full load, and jobs a second */
	uint32_t cap_cpu_milli;
	uint32_t cap_memory_mib;
	uint32_t cap_accelerators;
} bp_customer_t;

/* A pool of executors. */
typedef struct {
	char *name;
	bool guards; /* executors reject tasks that do not fit */
	bool standby; /* the machines are switched off */
} bp_pool_t;

/* One complete version of the operators' configuration. */
typedef struct {
	uint64_t version;
	GPtrArray *routes; /* bp_queue_route_t */
	GPtrArray *pools; /* bp_pool_t */
	GPtrArray *customers; /* bp_customer_t */
	/* Calls need a customer's key. Also set if no row of the customers'
	 * list could be read, so that a wrong list opens no queue. */
	bool requires_keys;
	struct bp_key_index *key_index; /* NULL before bp_catalog_index_keys */
	uint32_t body_bytes; /* largest body of a call, in bytes */
	/* Further limits of calls; 0 if the configuration has none. */
	uint32_t header_bytes;
	uint32_t header_timeout_ms;
	uint32_t idle_timeout_ms;
} bp_catalog_t;

bp_catalog_t *bp_catalog_new(void);
void bp_catalog_free(bp_catalog_t *catalog);
/* Returns the ID in the path of a job, which are its last digits; NULL if it
 * does not end in an ID of this form. */
const char *bp_catalog_job_id(const char *path);
/* Returns the route of a host with the longest prefix of path, or NULL. If path
 * is a prefix and the ID of a job, the route has that prefix. */
const bp_queue_route_t *bp_catalog_route(
    const bp_catalog_t *catalog, const char *host, const char *path);
const bp_queue_route_t *bp_catalog_queue(
    const bp_catalog_t *catalog, const char *name);
bp_customer_t *bp_customer_new(void);
/* Returns the customer of a name, NULL for none. */
const bp_customer_t *bp_catalog_customer(
    const bp_catalog_t *catalog, const char *name);
/* Prepares the look-up of keys; called once, after the last customer was
 * added. */
void bp_catalog_index_keys(bp_catalog_t *catalog);
/* Returns the customer of a key, NULL for none. The time that it takes does not
 * depend on the keys of the customers. */
const bp_customer_t *bp_catalog_customer_of_key(
    const bp_catalog_t *catalog, const char *key);

/* Callbacks of the feed of configuration, zones and executors. Each may be
 * NULL. */
typedef struct {
	/* A new configuration, which the callback owns. */
	void (*catalog)(bp_catalog_t *catalog, void *data);
	/* All configurations accepted up to as_of_ms, on the monotonic clock,
	 * have been reported. */
	void (*catalog_current)(int64_t as_of_ms, void *data);
	/* A zone is out of service, or back in. */
	void (*zone)(const char *zone, bool out, void *data);
	/* A new or changed executor; the callback owns info. */
	void (*executor)(bp_executor_info_t *info, void *data);
	void (*executor_gone)(const char *id, void *data);
	/* Every executor that was listed when reading began was reported. */
	void (*executors_listed)(void *data);
	void *data;
} bp_feed_listener_t;

#endif
