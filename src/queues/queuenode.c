#include "queues/queuenode_private.h"

#include <glib-unix.h>
#include <signal.h>
#include <stdio.h>
#include <string.h>

#define MODULE "node"
/* A busy owner takes some hundred decisions a second; this limit keeps logging
 * cheap compared with them. */
#define LOG_LINES_PER_S 100
#define TOPIC "bulrushpost"
#define TOPIC_PLAN "bulrushpost-plan"
/* Interval at which the progress of a drain is checked. */
#define DRAIN_TICK_MS 50
/* Time for which a draining node serves callers: the balancer checks once a
 * second and sends no more callers after two failed checks. */
#define DRAIN_SERVE_MS 2600
/* Time before the platform kills the process at which open calls are answered
 * with what is known of them. */
#define DRAIN_ANSWER_MARGIN_MS 1000
/* Time before the kill at which the drain ends in any case. */
#define DRAIN_END_MARGIN_MS 300
#define MS_PER_S 1000
/* Time-out of a heartbeat. */
#define HEARTBEAT_CALL_TIMEOUT_MS 700
/* A node without a heartbeat for this time does not count as alive. */
#define HEARTBEAT_TIMEOUT_MS 2500
/* Fewest processors, in thousandths, of a preferred owner: an owner of 350
 * executors needs about 0.2 (CAPACITY.md). */
#define OWNER_PROCESSOR_MILLI 200
/* Executors that an owner can handle for each processor (CAPACITY.md). */
#define EXECUTORS_PER_PROCESSOR 1200
#define MILLI 1000
#define MIB (1024 * 1024)
/* A quarter of the machine's memory is for the jobs that an owner holds. */
#define JOBS_PARTS 4
/* Largest number of open requests of a node on one connection. */
#define PEER_REQUESTS_MAX 4096
#define PEER_CONNECTIONS_MAX 256

static void
log_number(const bp_queuenode_t *node, const char *message, const char *key,
    uint64_t value)
{
	char text[32];

	snprintf(text, sizeof(text), "%" G_GUINT64_FORMAT, value);
	bp_log(node->logger, BP_LOG_NOTICE, MODULE, message, key, text, NULL);
}

/* Replaces the configuration in force in all components of the node. */
static void
on_catalog(bp_catalog_t *catalog, void *data)
{
	bp_queuenode_t *node = data;
	bp_catalog_t *previous = node->catalog;

	node->catalog = catalog;
	log_number(node, "configuration in force", "version", catalog->version);
	bp_admission_set_caller_ages(node->admission, catalog->idle_timeout_ms,
	    catalog->header_timeout_ms);
	if (node->shards != NULL) {
		bp_job_router_set_catalog(node->job_router, catalog);
		bp_owned_shards_set_catalog(node->shards, catalog);
	}
	bp_catalog_free(previous);
}

static void
on_catalog_current(int64_t as_of_ms, void *data)
{
	bp_queuenode_t *node = data;

	bp_freshness_update(node->freshness, as_of_ms);
}

/* A caller waits for a configuration that is fresh enough. */
static void
on_refresh_catalog(void *data)
{
	bp_queuenode_t *node = data;

	bp_log(node->logger, BP_LOG_NOTICE, MODULE,
	    "the configuration may be out of date; asking the store", NULL);
	bp_platform_confirm(node->platform);
}

static void
on_zone(const char *zone, bool out, void *data)
{
	bp_queuenode_t *node = data;

	bp_log(node->logger, BP_LOG_NOTICE, MODULE,
	    out ? "zone is out of service" : "zone is back in service", "zone",
	    zone, NULL);
	if (out)
		g_hash_table_add(node->zones_out, g_strdup(zone));
	else
		g_hash_table_remove(node->zones_out, zone);
	if (node->shards != NULL)
		bp_owned_shards_set_zone(node->shards, zone, out);
}

static void
on_executor(bp_executor_info_t *info, void *data)
{
	bp_queuenode_t *node = data;

	bp_sharding_add_executor(node->sharding, info);
	if (node->shards != NULL)
		bp_owned_shards_update_executor(node->shards, info);
	bp_executor_info_free(info);
}

static void
on_executor_gone(const char *id, void *data)
{
	bp_queuenode_t *node = data;

	if (node->shards != NULL)
		bp_owned_shards_remove_executor(node->shards, id);
}

static void
on_executors_listed(void *data)
{
	bp_queuenode_t *node = data;

	bp_sharding_executors_listed(node->sharding);
	if (node->shards != NULL)
		bp_owned_shards_executors_listed(node->shards);
}

/* The set of owned shards changed. There may be no membership yet. */
static void
on_watch_executors(bool follow, void *data)
{
	bp_queuenode_t *node = data;

	bp_platform_follow_executors(node->platform, follow);
	if (node->membership != NULL)
		bp_membership_refresh_owners(node->membership);
}

static bool
is_recent(const bp_queuenode_t *node, int64_t heartbeat_ms)
{
	return heartbeat_ms != 0 &&
	    bp_clock_mono_ms(node->clock) - heartbeat_ms < HEARTBEAT_TIMEOUT_MS;
}

/*
 * An owner that is slow or cannot store is better than none, so it steps down
 * only if a preferred node is alive, and, if it cannot store, one whose appends
 * the store answers: without a claim nobody would renew the leases.
 */
static void
on_unfit(bp_shard_unfit_t why, void *data)
{
	bp_queuenode_t *node = data;
	int64_t heartbeat_ms = why == BP_SHARD_UNFIT_UNSTORED
	    ? node->storing_heartbeat_ms
	    : node->preferred_heartbeat_ms;

	if (why != BP_SHARD_UNFIT_ISOLATED &&
	    (node->standby || !is_recent(node, heartbeat_ms)))
		return;
	bp_membership_step_down(node->membership);
}

static void
on_assigned(const bool *shards, int64_t sent_mono_ms, void *data)
{
	bp_queuenode_t *node = data;

	bp_owned_shards_set_assigned(node->shards, shards, sent_mono_ms);
}

static bool
on_serves(uint32_t shard, void *data)
{
	const bp_queuenode_t *node = data;

	return bp_owned_shards_serves(node->shards, shard);
}

static void
on_heartbeat_answer(
    const Bp__Peer__Frame *answer, const bp_error_t *err, void *data)
{
	const bp_queuenode_heartbeat_t *heartbeat = data;
	bp_queuenode_t *node = heartbeat->node;
	bool owns = answer != NULL && answer->error == BP_OK &&
	    answer->n_args > 0 &&
	    strcmp(answer->args[0], BP_QUEUENODE_OWNS) == 0;

	bp_heartbeats_answered(node->heartbeats, heartbeat->shard, owns);
	if (answer != NULL && answer->error == BP_OK && answer->n_args > 1 &&
	    strcmp(answer->args[1], BP_QUEUENODE_UNANSWERED) == 0)
		bp_append_probe_start(node->append_probe, heartbeat->shard);
	if (owns)
		bp_membership_owner_answered(
		    node->membership, heartbeat->shard);
	else if (answer != NULL ? answer->error == BP_OK
				: err->kind != BP_EDEADLINE)
		bp_membership_refresh_owners(node->membership);
}

/* Returns the owner that is to get heartbeats for a shard of another node. */
static const char *
heartbeat_owner(uint32_t shard, void *data)
{
	bp_queuenode_t *node = data;
	const char *owner;

	if (node->drain_start_ms != 0)
		return NULL;
	if (bp_owned_shards_by_number(node->shards)[shard] != NULL) {
		bp_membership_owner_answered(node->membership, shard);
		return NULL;
	}
	owner = bp_membership_owner(node->membership, shard);
	if (owner == NULL)
		bp_membership_refresh_owners(node->membership);
	return owner;
}

/* Sends a heartbeat to the owner of a shard, which then uses this node as an
 * order proxy. */
static void
send_heartbeat(uint32_t shard, const char *owner, void *data)
{
	bp_queuenode_t *node = data;
	Bp__Peer__Frame frame = BP__PEER__FRAME__INIT;
	char number[16];
	char processor[16];
	char *args[] = {node->settings->listen.control,
	    node->settings->node.zone, number, BP_QUEUENODE_PREFERRED,
	    processor};

	if (node->standby || bp_membership_stepped_down(node->membership))
		args[3] = BP_QUEUENODE_STANDBY;
	else if (bp_append_probe_answered(node->append_probe))
		args[3] = BP_QUEUENODE_STORING;
	frame.verb = BP__PEER__VERB__VERB_QUEUE_HELLO;
	frame.args = args;
	frame.n_args = G_N_ELEMENTS(args);
	snprintf(number, sizeof(number), "%u", shard);
	snprintf(processor, sizeof(processor), "%u", node->processor_milli);
	bp_peer_client_call(node->client, owner, &frame,
	    HEARTBEAT_CALL_TIMEOUT_MS, on_heartbeat_answer,
	    &node->heartbeat_contexts[shard]);
}

/* Closes the connections first: one that stayed open while memory is freed
 * would accept calls that are never read. */
static void
end_drain(bp_queuenode_t *node)
{
	bp_job_router_stop(node->job_router);
	bp_platform_close(node->platform);
	log_number(node, "stopped gracefully", "took_ms",
	    (uint64_t)(bp_clock_mono_ms(node->clock) - node->drain_start_ms));
	g_main_loop_quit(node->loop);
}

/* Runs when all input has been read: ends the drain if no call is open. */
static gboolean
on_drain_idle(void *data)
{
	bp_queuenode_t *node = data;

	node->drain_end_source = 0;
	if (bp_platform_calls(node->platform) == 0)
		end_drain(node);
	return G_SOURCE_REMOVE;
}

static int64_t
drain_limit_ms(const bp_queuenode_t *node, int64_t margin_ms)
{
	return MAX(
	    (int64_t)node->settings->queues.grace_s * MS_PER_S - margin_ms, 0);
}

/*
 * Shards are released first, so that the successor can start. Callers are
 * served through the successor until the balancer sends no more of them. Calls
 * that are still open near the limit are answered with what is known.
 */
static gboolean
on_drain_tick(void *data)
{
	bp_queuenode_t *node = data;
	int64_t elapsed_ms =
	    bp_clock_mono_ms(node->clock) - node->drain_start_ms;
	int64_t answer_limit_ms = drain_limit_ms(node, DRAIN_ANSWER_MARGIN_MS);

	if (elapsed_ms >= answer_limit_ms && !node->drain_expired) {
		/* Sends the answers before time is spent on freeing shards. */
		node->drain_expired = true;
		bp_job_router_stop(node->job_router);
		return G_SOURCE_CONTINUE;
	}
	if (bp_owned_shards_idle(node->shards) || node->drain_expired) {
		bp_owned_shards_drop_all(node->shards);
		bp_membership_leave(node->membership);
	}
	if (elapsed_ms < MIN(DRAIN_SERVE_MS, answer_limit_ms))
		return G_SOURCE_CONTINUE;
	if (elapsed_ms < drain_limit_ms(node, DRAIN_END_MARGIN_MS)) {
		if (node->drain_end_source == 0)
			node->drain_end_source = g_idle_add_full(
			    G_PRIORITY_LOW, on_drain_idle, node, NULL);
		return G_SOURCE_CONTINUE;
	}
	node->drain_timer = 0;
	end_drain(node);
	return G_SOURCE_REMOVE;
}

static gboolean
on_stop(void *data)
{
	bp_queuenode_t *node = data;

	if (node->drain_start_ms != 0)
		return G_SOURCE_CONTINUE;
	bp_log(node->logger, BP_LOG_NOTICE, MODULE, "draining", NULL);
	if (node->shards == NULL) {
		g_main_loop_quit(node->loop);
		return G_SOURCE_CONTINUE;
	}
	node->drain_start_ms = bp_clock_mono_ms(node->clock);
	bp_platform_drain(node->platform);
	bp_owned_shards_release(node->shards);
	node->drain_timer =
	    bp_clock_add_timer(node->clock, DRAIN_TICK_MS, on_drain_tick, node);
	return G_SOURCE_CONTINUE;
}

/* A running node keeps its settings; a restart applies the changed ones. */
static gboolean
on_reload(void *data)
{
	bp_queuenode_t *node = data;

	bp_log(node->logger, BP_LOG_NOTICE, MODULE,
	    "settings changed; they take effect at the next start", NULL);
	return G_SOURCE_CONTINUE;
}

static int
build_server(bp_queuenode_t *node, bp_error_t *err)
{
	bp_peer_server_options_t server;

	(void)bp_peer_server_options_init(&server);
	server.clock = node->clock;
	server.logger = node->logger;
	server.address = node->settings->listen.control;
	server.connections_max = PEER_CONNECTIONS_MAX;
	server.requests_max = PEER_REQUESTS_MAX;
	server.admission = node->admission;
	server.handler = bp_queuenode_serve;
	server.data = node;
	return bp_peer_server_new(&node->server, &server, err);
}

static void
build_order_router(bp_queuenode_t *node)
{
	bp_order_router_options_t router = {0};

	router.clock = node->clock;
	router.logger = node->logger;
	node->incarnation_guard = bp_incarnation_guard_new(
	    node->clock, bp_platform_get_executors(node->platform));
	router.direct = bp_incarnation_guard_interface(node->incarnation_guard);
	router.client = node->client;
	router.address = node->settings->listen.control;
	router.zone = node->settings->node.zone;
	router.processor_milli = node->processor_milli;
	node->order_router = bp_order_router_new(&router);
	node->order_proxy = bp_order_proxy_new(
	    node->clock, node->pauses, router.direct, router.zone);
}

static void
build_shards(bp_queuenode_t *node)
{
	const bp_settings_queues_t *queues = &node->settings->queues;
	bp_owned_shards_options_t options = {0};
	GHashTableIter iter;
	gpointer zone;

	options.clock = node->clock;
	options.logger = node->logger;
	options.timeline = node->timeline;
	options.store = bp_platform_get_store(node->platform);
	options.executors = bp_order_router_interface(node->order_router);
	options.node = node->settings->node.name;
	options.address = node->settings->listen.control;
	options.topic = TOPIC;
	options.sharding = node->sharding;
	options.limits.lease_max_ms = queues->lease_max_ms;
	options.limits.stop_max_ms = queues->stop_max_ms;
	options.limits.start_early_ms = queues->early_ms;
	options.limits.status_keep_s = queues->status_keep_s;
	options.limits.quarantine_failures = queues->quarantine_failures;
	options.limits.large_task_planning = queues->large_task_planning;
	options.limits.urgent_headroom = queues->urgent_headroom;
	options.limits.jobs_bytes_max =
	    (uint64_t)node->settings->limits.memory_mb * MIB / JOBS_PARTS;
	options.watch_executors = on_watch_executors;
	options.ask_owner = bp_queuenode_ask_owner;
	options.unfit = on_unfit;
	options.data = node;
	node->shards = bp_owned_shards_new(&options);
	bp_owned_shards_set_catalog(node->shards, node->catalog);
	g_hash_table_iter_init(&iter, node->zones_out);
	while (g_hash_table_iter_next(&iter, &zone, NULL))
		bp_owned_shards_set_zone(node->shards, zone, true);
}

static void
build_job_router(bp_queuenode_t *node)
{
	bp_membership_options_t membership = {0};
	bp_job_router_options_t router = {0};

	membership.clock = node->clock;
	membership.logger = node->logger;
	membership.store = bp_platform_get_store(node->platform);
	membership.topic = TOPIC;
	membership.address = node->settings->listen.control;
	membership.incarnation =
	    (uint64_t)g_random_int() << 32 | g_random_int();
	membership.shards = bp_sharding_count(node->sharding);
	membership.standby = node->standby;
	membership.assigned = on_assigned;
	membership.serves = on_serves;
	membership.data = node;
	node->membership = bp_membership_new(&membership);
	router.clock = node->clock;
	router.pauses = node->pauses;
	router.logger = node->logger;
	router.client = node->client;
	router.membership = node->membership;
	router.owned = bp_owned_shards_by_number(node->shards);
	router.shards = bp_sharding_count(node->sharding);
	router.address = node->settings->listen.control;
	router.latency = node->latency;
	router.freshness = node->freshness;
	router.counters = node->call_counters;
	node->job_router = bp_job_router_new(&router);
	bp_job_router_set_catalog(node->job_router, node->catalog);
}

/* Starts to send heartbeats to the owners of other shards. */
static void
build_heartbeats(bp_queuenode_t *node)
{
	bp_heartbeats_options_t options = {0};
	uint32_t i;

	options.clock = node->clock;
	options.shards = bp_sharding_count(node->sharding);
	options.owner = heartbeat_owner;
	options.send = send_heartbeat;
	options.data = node;
	node->heartbeat_contexts =
	    g_new0(bp_queuenode_heartbeat_t, options.shards);
	for (i = 0; i < options.shards; i++) {
		node->heartbeat_contexts[i].node = node;
		node->heartbeat_contexts[i].shard = i;
	}
	node->heartbeats = bp_heartbeats_new(&options);
}

/* The shard plan is known: joins the owners and accepts callers. */
static void
on_plan_ready(void *data)
{
	bp_queuenode_t *node = data;
	bp_error_t err = {BP_OK, ""};

	build_shards(node);
	build_job_router(node);
	node->append_probe = bp_append_probe_new(
	    node->clock, bp_platform_get_store(node->platform), TOPIC);
	build_heartbeats(node);
	node->failed = bp_platform_open(node->platform, node->job_router, &err);
	if (node->failed == BP_OK)
		return;
	bp_log(node->logger, BP_LOG_ERR, MODULE, "cannot listen for callers",
	    "reason", err.message, NULL);
	g_main_loop_quit(node->loop);
}

static void
build_sharding(bp_queuenode_t *node)
{
	bp_sharding_options_t options = {0};

	options.clock = node->clock;
	options.logger = node->logger;
	options.store = bp_platform_get_store(node->platform);
	options.topic = TOPIC_PLAN;
	options.shards = node->settings->queues.shards;
	options.executors_per_shard =
	    node->processor_milli * EXECUTORS_PER_PROCESSOR / MILLI;
	options.standby = node->standby;
	options.watch_executors = on_watch_executors;
	options.plan_ready = on_plan_ready;
	options.data = node;
	node->sharding = bp_sharding_new(&options);
}

static int
node_init(bp_queuenode_t *node, bp_error_t *err)
{
	const bp_settings_t *settings = node->settings;
	bp_platform_options_t platform = {0};
	bp_freshness_options_t freshness = {0};
	bp_admission_options_t admission;
	int rc;

	node->loop_clock = bp_clock_loop_new();
	node->clock = bp_clock_loop_clock(node->loop_clock);
	node->processor_milli =
	    settings->node.processor_share_milli * settings->node.processors;
	node->standby = node->processor_milli < OWNER_PROCESSOR_MILLI;
	node->pauses = bp_pause_watch_new(node->clock);
	node->logger = bp_logger_new(
	    node->clock, settings->node.name, settings->log_level);
	bp_logger_set_stdout(node->logger, LOG_LINES_PER_S);
	node->loop = g_main_loop_new(NULL, FALSE);
	node->metrics = bp_metrics_new();
	node->latency = bp_histogram_new(node->metrics, "bp_call_ms");
	node->call_counters = bp_call_counters_new(node->metrics);
	node->timeline = bp_timeline_new(
	    node->clock, settings->node.name, settings->limits.timeline_events);
	bp_admission_options_init(&admission, settings->limits.memory_mb,
	    settings->limits.descriptors);
	admission.clock = node->clock;
	admission.logger = node->logger;
	admission.metrics = node->metrics;
	node->admission = bp_admission_new(&admission);
	platform.admission = node->admission;
	platform.clock = node->clock;
	platform.logger = node->logger;
	platform.settings = settings;
	platform.listener.catalog = on_catalog;
	platform.listener.catalog_current = on_catalog_current;
	platform.listener.zone = on_zone;
	platform.listener.executor = on_executor;
	platform.listener.executor_gone = on_executor_gone;
	platform.listener.executors_listed = on_executors_listed;
	platform.listener.data = node;
	freshness.clock = node->clock;
	freshness.max_age_ms = settings->queues.config_apply_ms;
	freshness.refresh = on_refresh_catalog;
	freshness.data = node;
	node->freshness = bp_freshness_new(&freshness);
	rc = bp_platform_new(&node->platform, &platform, err);
	if (rc != BP_OK)
		return rc;
	node->client = bp_peer_client_new(node->clock, node->logger);
	build_order_router(node);
	build_sharding(node);
	node->zones_out =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	rc = build_server(node, err);
	if (rc != BP_OK)
		return rc;
	bp_metrics_on_collect(node->metrics, bp_queuenode_collect, node);
	if (settings->listen.metrics != NULL)
		rc = bp_metricsserver_new(&node->metrics_server,
		    settings->listen.metrics, node->metrics, node->admission,
		    err);
	return rc;
}

static void
node_clear(bp_queuenode_t *node)
{
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(node->signals); i++)
		g_clear_handle_id(&node->signals[i], g_source_remove);
	bp_clock_cancel_timer(node->clock, &node->drain_timer);
	g_clear_handle_id(&node->drain_end_source, g_source_remove);
	bp_heartbeats_free(node->heartbeats);
	bp_owned_shards_free(node->shards);
	bp_sharding_free(node->sharding);
	g_hash_table_unref(node->zones_out);
	bp_job_router_free(node->job_router);
	bp_metricsserver_free(node->metrics_server);
	bp_membership_free(node->membership);
	bp_peer_client_free(node->client);
	bp_append_probe_free(node->append_probe);
	bp_order_router_free(node->order_router);
	bp_order_proxy_free(node->order_proxy);
	bp_incarnation_guard_free(node->incarnation_guard);
	bp_peer_server_free(node->server);
	bp_platform_free(node->platform);
	bp_admission_free(node->admission);
	bp_freshness_free(node->freshness);
	bp_catalog_free(node->catalog);
	bp_timeline_free(node->timeline);
	bp_histogram_free(node->latency);
	bp_call_counters_free(node->call_counters);
	g_free(node->heartbeat_contexts);
	bp_metrics_free(node->metrics);
	g_main_loop_unref(node->loop);
	bp_logger_free(node->logger);
	bp_pause_watch_free(node->pauses);
	bp_clock_loop_free(node->loop_clock);
}

/* See the header. */
int
bp_queuenode_run(const bp_settings_t *settings, bp_error_t *err)
{
	bp_queuenode_t node = {0};
	int rc;

	node.settings = settings;
	rc = node_init(&node, err);
	if (rc == BP_OK) {
		node.signals[0] = g_unix_signal_add(SIGTERM, on_stop, &node);
		node.signals[1] = g_unix_signal_add(SIGINT, on_stop, &node);
		node.signals[2] = g_unix_signal_add(SIGHUP, on_reload, &node);
		bp_platform_follow(node.platform);
		bp_sharding_start(node.sharding);
		bp_log(node.logger, BP_LOG_NOTICE, MODULE, "started", "version",
		    BP_VERSION, "zone", settings->node.zone, NULL);
		g_main_loop_run(node.loop);
		rc = node.failed;
	}
	node_clear(&node);
	return rc;
}
