#ifndef BP_QUEUES_QUEUENODE_PRIVATE_H
#define BP_QUEUES_QUEUENODE_PRIVATE_H

#include "bulrushpost/platform.h"
#include "bulrushpost/queuenode.h"
#include "node/metricsserver.h"
#include "queues/appendprobe.h"
#include "queues/freshness.h"
#include "queues/heartbeats.h"
#include "queues/incarnationguard.h"
#include "queues/orderproxy.h"
#include "queues/jobrouter.h"
#include "queues/orderrouter.h"
#include "queues/sharding.h"
#include "queues/ownedshards.h"

/* Arguments of the heartbeat frame: the kind of the sender's membership, and,
 * in the answer, whether the answering node owns the shard, and that the
 * sender is to probe the store. */
#define BP_QUEUENODE_PREFERRED "preferred"
/* A preferred node whose append was answered lately. */
#define BP_QUEUENODE_STORING "storing"
#define BP_QUEUENODE_STANDBY "standby"
#define BP_QUEUENODE_OWNS "owner"
#define BP_QUEUENODE_OWNS_NOT ""
#define BP_QUEUENODE_UNANSWERED "unanswered"
/* In the answer of an earlier owner: it sends no orders any more. */
#define BP_QUEUENODE_STOPPED "stopped"

typedef struct bp_queuenode bp_queuenode_t;

/* Context of the heartbeats that this node sends to the owner of one shard. */
typedef struct {
	bp_queuenode_t *node;
	uint32_t shard;
} bp_queuenode_heartbeat_t;

/* A node that runs the service queues. */
struct bp_queuenode {
	const bp_settings_t *settings;
	bp_clock_loop_t *loop_clock;
	const bp_clock_t *clock; /* of loop_clock */
	bp_pause_watch_t *pauses; /* of this process */
	GMainLoop *loop;
	bp_logger_t *logger;
	bp_metrics_t *metrics;
	bp_timeline_t *timeline;
	bp_metricsserver_t *metrics_server;
	bp_admission_t *admission; /* of the callers at all addresses */
	bp_histogram_t *latency; /* of served calls */
	bp_platform_t *platform;
	bp_peer_client_t *client;
	bp_peer_server_t *server;
	bp_membership_t *membership;
	bp_append_probe_t *append_probe;
	bp_incarnation_guard_t *incarnation_guard; /* all orders pass it */
	bp_order_router_t *order_router; /* for this node's shards */
	bp_order_proxy_t *order_proxy; /* for the orders of other owners */
	bp_job_router_t *job_router;
	bp_catalog_t *catalog;
	bp_freshness_t *freshness; /* freshness of the catalog */
	bp_call_counters_t *call_counters;
	bp_sharding_t *sharding;
	GHashTable *zones_out; /* set of zones that are out of service */
	bp_owned_shards_t *shards; /* NULL until the plan is known */
	int failed; /* error that ends the node */
	int64_t drain_start_ms; /* mono; 0 while serving */
	bool drain_expired; /* the drain has reached its limit */
	int64_t preferred_heartbeat_ms; /* mono, last heartbeat of a preferred
					   node */
	int64_t storing_heartbeat_ms; /* the same of one whose appends the store
					 answers */
	int64_t probe_asked_ms; /* mono, when a sender of heartbeats was last
				   asked to probe the store */
	guint drain_timer;
	guint drain_end_source; /* idle source, 0 for none */
	bp_heartbeats_t *heartbeats; /* NULL until the plan is known */
	bp_queuenode_heartbeat_t *heartbeat_contexts; /* by shard */
	uint32_t processor_milli; /* processors of this node, in thousandths */
	bool standby; /* too small to be a preferred owner */
	guint signals[3];
};

/* queuenode_verbs.c: answers a request on the control address. */
void bp_queuenode_serve(bp_peer_request_t *request, void *data);
/* queuenode_metrics.c: sets the gauges; data is the node. */
void bp_queuenode_collect(bp_metrics_t *metrics, void *data);

/* Asks the node at the address whether it may still send orders as an owner of
 * the shard before the epoch; data is the bp_queuenode_t. */
void bp_queuenode_ask_owner(
    const char *address, uint32_t number, uint64_t epoch, void *data);
/* Answers that question of another node. */
void bp_queuenode_serve_owner(bp_queuenode_t *node, bp_peer_request_t *request);

#endif
