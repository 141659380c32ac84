#ifndef BULRUSHPOST_SETTINGS_H
#define BULRUSHPOST_SETTINGS_H

#include "bulrushpost/error.h"
#include "bulrushpost/logline.h"
#include "bulrushpost/queue.h"

#include <stdbool.h>
#include <stdint.h>

#define BP_SETTINGS_MAX_BYTES (64 * 1024)

typedef struct {
	char *name;
	char *zone;
	bool gateway; /* node.services lists gateway */
	bool scheduler; /* node.services lists scheduler */
	bool queues; /* node.services lists queues */
	uint32_t processor_share_milli; /* of each processor, for this node */
	uint32_t processors; /* cores, or how many times as fast as one */
} bp_settings_node_t;

typedef struct {
	char *gateway; /* host:port; NULL without the gateway service */
	char *control; /* host:port */
	char *metrics; /* host:port; NULL for none */
	char *queues; /* host:port; NULL without the queues service */
	char *ready; /* host:port of the load balancer's check; or NULL */
} bp_settings_listen_t;

typedef struct {
	char *log_url; /* NULL with the queues service */
	char *vm_list_url; /* NULL with the queues service */
	char *store; /* host:port; NULL without the queues service */
} bp_settings_platform_t;

typedef struct {
	uint32_t append_interval_ms;
	uint32_t presence_ms;
	uint32_t death_ms;
	uint32_t permit_ms;
	uint32_t renew_ms;
	uint32_t lease_urgent_ms;
	uint32_t lease_service_ms;
	uint32_t lease_batch_ms;
	uint32_t hold_max_s;
	uint32_t snapshot_interval_s;
	uint32_t poll_ms;
	uint32_t drain_s; /* upper limit of a graceful stop */
} bp_settings_timing_t;

typedef struct {
	uint32_t body_bytes;
	uint32_t header_bytes;
	uint32_t record_bytes;
	uint32_t pending_jobs;
	uint32_t job_tasks;
	uint32_t endpoint_in_flight;
	uint32_t endpoint_connections; /* of one executor, by all gateways */
	uint32_t control_connections;
	uint32_t timeline_events;
	uint32_t memory_mb; /* of the machine */
	uint32_t descriptors; /* that the process may open */
} bp_settings_limits_t;

typedef struct {
	uint32_t eviction_budget_per_min;
	uint32_t slowdown_target_permille; /* 1000 is no slowdown */
	uint32_t batch_wait_max_s;
	uint32_t retry_budget_percent;
	uint32_t eject_max_percent;
	uint32_t quarantine_failures;
	uint32_t handover_racks;
	uint32_t rank_delay_ms;
	bp_order_t batch_order;
} bp_settings_policy_t;

/* Limits of the queues, given by executors and operators. */
typedef struct {
	uint32_t shards;
	uint32_t lease_max_ms;
	uint32_t stop_max_ms;
	uint32_t early_ms;
	uint32_t status_keep_s;
	uint32_t quarantine_failures;
	uint32_t grace_s;
	uint32_t config_apply_ms;
	bool large_task_planning; /* reserve capacity for large tasks */
	bool urgent_headroom; /* long-running jobs leave room to urgent ones */
} bp_settings_queues_t;

typedef struct {
	bp_settings_node_t node;
	bp_settings_listen_t listen;
	bp_settings_platform_t platform;
	char **peers; /* control addresses, NULL-terminated, never NULL */
	bp_log_level_t log_level;
	bp_settings_timing_t timing;
	bp_settings_limits_t limits;
	bp_settings_policy_t policy;
	bp_settings_queues_t queues;
} bp_settings_t;

/*
 * Both set out only if the file has no problem. Each problem is added to
 * problems (char *, freed by the array; may be NULL) as
 * "file:line: key: what is expected"; err holds the first one.
 */
int bp_settings_load(bp_settings_t **out, const char *path, GPtrArray *problems,
    bp_error_t *err);
int bp_settings_parse(bp_settings_t **out, const char *file, const char *text,
    size_t size_bytes, GPtrArray *problems, bp_error_t *err);
void bp_settings_free(bp_settings_t *settings);

#endif
