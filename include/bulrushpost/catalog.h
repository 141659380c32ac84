#ifndef BULRUSHPOST_CATALOG_H
#define BULRUSHPOST_CATALOG_H

#include "bulrushpost/error.h"
#include "bulrushpost/executors.h"

#include <stdbool.h>

/* A route: calls with this host and path prefix belong to the queue. */
typedef struct {
	char *name;
	char *host;
	char *prefix;
	char *service; /* pool of executors that run its tasks */
	uint32_t priority; /* 0 goes first */
	uint32_t attempts; /* failures of a task that end its job */
	uint32_t stretch_permille; /* of the longest chain, for the objective */
	uint32_t objective_ms; /* added to the stretched chain */
	uint32_t timeout_ms;
	bool advised; /* executors must be allowed one by one */
} bp_queue_route_t;

/* A pool of executors. */
typedef struct {
	char *name;
	bool guards; /* executors reject what does not fit */
	bool standby; /* machines are off */
} bp_pool_t;

/* The operators' configuration, whole and of one version. */
typedef struct {
	uint64_t version;
	GPtrArray *routes; /* bp_queue_route_t */
	GPtrArray *pools; /* bp_pool_t */
	uint32_t body_bytes; /* largest body of a call */
} bp_catalog_t;

bp_catalog_t *bp_catalog_new(void);
void bp_catalog_free(bp_catalog_t *catalog);
const bp_queue_route_t *bp_catalog_route(
    const bp_catalog_t *catalog, const char *host, const char *path);
const bp_queue_route_t *bp_catalog_queue(
    const bp_catalog_t *catalog, const char *name);

/* What a feed tells its listener; members may be NULL. */
typedef struct {
	void (*catalog)(bp_catalog_t *catalog, void *data); /* takes it */
	/* All configurations accepted until as_of_ms (mono) were told. */
	void (*catalog_current)(int64_t as_of_ms, void *data);
	void (*zone)(const char *zone, bool out, void *data);
	void (*executor)(bp_executor_info_t *info, void *data); /* takes it */
	void (*executor_gone)(const char *id, void *data);
	/* Everything that the list held when the reading began was told. */
	void (*executors_listed)(void *data);
	void *data;
} bp_feed_listener_t;

#endif
