#ifndef BP_TESTS_CLUSTER_H
#define BP_TESTS_CLUSTER_H

#include "support/checker.h"
#include "support/http.h"
#include "support/process.h"

/*
 * Real nodes between stand-ins of the platform, all on loopback. Zones are
 * named z0, z1, ...; worker VMs z0-w-0, ...; nodes n0, n1, ... (node i is in
 * zone i modulo the number of zones). Each zone has one service, "book".
 */
typedef struct {
	const char *name; /* prefix of log files */
	guint zones;
	guint nodes;
	guint workers; /* in each zone */
	guint workers_per_rack;
	guint executors; /* in each zone */
	guint cpu_milli; /* of each worker */
	guint log_appends_per_s; /* 0 for no limit */
} bp_cluster_options_t;

typedef struct {
	bp_process_t *process;
	char *zone;
	char *url; /* of the first port */
	char *admin_url;
	uint16_t port;
} bp_cluster_server_t;

typedef struct {
	bp_process_t *process; /* NULL when it has been ended */
	char *name;
	char *zone;
	char *gateway_url;
	char *control; /* host:port */
	char *settings_path;
	guint starts;
} bp_cluster_node_t;

typedef struct {
	char *zone;
	int64_t out_us; /* after the change was accepted */
	int64_t back_us; /* before it was taken back; INT64_MAX until then */
} bp_cluster_outage_t;

typedef struct {
	bp_cluster_options_t options;
	bp_http_t *http;
	bp_cluster_server_t log;
	bp_cluster_server_t vmlist;
	GPtrArray *workers; /* bp_cluster_server_t, one for each zone */
	GPtrArray *executors; /* bp_cluster_server_t, one for each zone */
	GPtrArray *nodes; /* bp_cluster_node_t */
	GPtrArray *held; /* sockets that keep the ports of nodes */
	GHashTable *states; /* VM name -> "leaving" or "gone" */
	GArray *outages; /* bp_cluster_outage_t */
	bp_checker_t *checker;
} bp_cluster_t;

void bp_cluster_options_init(bp_cluster_options_t *options);
/*
 * Starts everything and waits until all gateways are ready and have passed a
 * request to /book/ready; else NULL.
 */
bp_cluster_t *bp_cluster_new(const bp_cluster_options_t *options);
void bp_cluster_free(bp_cluster_t *cluster);
bp_cluster_node_t *bp_cluster_node(bp_cluster_t *cluster, guint index);
bool bp_cluster_start_node(bp_cluster_t *cluster, guint index);
/* Waits until /healthz of all running nodes answers 200. */
bool bp_cluster_nodes_ready(bp_cluster_t *cluster);

/* state is "live", "leaving" or "gone"; see GET /vms. */
void bp_cluster_set_vm_state(
    bp_cluster_t *cluster, const char *vm, const char *state);
void bp_cluster_log_faults(bp_cluster_t *cluster, const char *json);
/* Faults of one worker VM or executor; see tests/standin. */
void bp_cluster_vm_fault(bp_cluster_t *cluster, const char *json);
void bp_cluster_executor_fault(
    bp_cluster_t *cluster, guint zone, guint index, const char *members);

/* Runs bulrushpost ARGS...; returns its exit status. output may be NULL. */
int bp_cluster_cli(
    bp_cluster_t *cluster, char **output, ...) G_GNUC_NULL_TERMINATED;
/* Submits a job through a node and returns its id, or NULL. */
char *bp_cluster_submit(bp_cluster_t *cluster, guint node, const char *klass,
    guint tasks, guint cpu_milli, const char *command);
/*
 * Takes a zone out of service or back in; returns whether it was accepted.
 * The checker is told when a zone was out.
 */
bool bp_cluster_zone(
    bp_cluster_t *cluster, guint node, const char *zone, bool out);
/* Asks a node why a job waits; the text is freed with g_free. */
bool bp_cluster_why(
    bp_cluster_t *cluster, guint node, const char *job, char **output);
/* Sends a request to /book/PATH of a node; header may be NULL. */
bp_reply_t *bp_cluster_request(bp_cluster_t *cluster, guint node,
    const char *method, const char *path, const char *header,
    const char *value);

/* Reads all histories into a new checker, which the cluster owns. */
bp_checker_t *bp_cluster_read(bp_cluster_t *cluster);
/* Reads, checks and prints what is wrong; returns the number of faults. */
guint bp_cluster_check(bp_cluster_t *cluster, bool complete);
void bp_cluster_counts(
    bp_cluster_t *cluster, const char *job, bp_checker_counts_t *out);
bool bp_cluster_wait_starts(
    bp_cluster_t *cluster, const char *job, guint starts);
/* Waits until requests below /book/PREFIX were executed so many times. */
bool bp_cluster_wait_executions(
    bp_cluster_t *cluster, const char *prefix, guint executions);
bool bp_cluster_wait_succeeded(
    bp_cluster_t *cluster, const char *job, guint succeeded);
/* Waits until another node than this one holds the session of a VM. */
bool bp_cluster_wait_owner_not(
    bp_cluster_t *cluster, const char *vm, int owner);
/* Index of the node that holds the session of a worker VM, or -1. */
int bp_cluster_owner(bp_cluster_t *cluster, const char *vm);

#endif
