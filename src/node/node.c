#include "bulrushpost/node.h"

#include "bulrushpost/appender.h"
#include "bulrushpost/control.h"
#include "bulrushpost/gateway.h"
#include "bulrushpost/keyclaim.h"
#include "bulrushpost/registry.h"
#include "bulrushpost/scheduler.h"
#include "bulrushpost/snapshotwriter.h"
#include "node/bootstrap.h"
#include "node/counters.h"
#include "node/endpoints.h"
#include "node/metricsserver.h"

#include <glib-unix.h>
#include <gio/gio.h>
#include <signal.h>
#include <string.h>

#define KEY_GIVE_UP_MS 1500
#define MS_PER_S 1000

/* All services of one process, in the order in which they are built. */
typedef struct {
	const bp_settings_t *settings;
	const bp_clock_t *clock;
	uint64_t incarnation;
	GMainLoop *loop;
	bp_logger_t *logger;
	bp_registry_t *registry;
	bp_logclient_t *log;
	bp_follower_t *follower;
	bp_appender_t *appender;
	bp_snapshotwriter_t *snapshots;
	bp_vmlist_t *vmlist;
	bp_workerclient_t *workers;
	bp_scheduler_t *scheduler;
	bp_keyclaim_t *keyclaim;
	bp_gateway_t *gateway;
	bp_endpoints_t *endpoints;
	bp_metrics_t *metrics;
	bp_timeline_t *timeline;
	bp_control_t *control;
	bp_bootstrap_t *bootstrap;
	bp_counters_t counters;
	bp_metricsserver_t *metrics_server;
	bp_admission_t *admission; /* of the metrics' and control callers */
	uint32_t draining; /* services that still drain */
	bool stopping;
	guint signal_term;
	guint signal_int;
	guint drain_timer;
} node_t;

static int
random_incarnation(uint64_t *out, bp_error_t *err)
{
	GInputStream *stream;
	GFile *file = g_file_new_for_path("/dev/urandom");
	gsize read = 0;

	stream = G_INPUT_STREAM(g_file_read(file, NULL, NULL));
	if (stream != NULL) {
		(void)g_input_stream_read_all(
		    stream, out, sizeof(*out), &read, NULL, NULL);
		g_object_unref(stream);
	}
	g_object_unref(file);
	if (read != sizeof(*out) || *out == 0)
		return bp_error_set(
		    err, BP_EINTERNAL, "no random numbers available");
	return BP_OK;
}

static int
build_log(node_t *node, bp_error_t *err)
{
	const bp_settings_t *settings = node->settings;
	bp_logclient_options_t log;
	bp_follower_options_t follower;
	bp_appender_options_t appender;
	int rc;

	(void)bp_logclient_options_init(&log);
	log.url = settings->platform.log_url;
	rc = bp_logclient_new(&node->log, &log, err);
	if (rc != BP_OK)
		return rc;
	(void)bp_follower_options_init(&follower);
	follower.clock = node->clock;
	follower.logger = node->logger;
	follower.log = node->log;
	rc = bp_follower_new(&node->follower, &follower, err);
	if (rc != BP_OK)
		return rc;
	(void)bp_appender_options_init(&appender);
	appender.clock = node->clock;
	appender.logger = node->logger;
	appender.log = node->log;
	appender.follower = node->follower;
	appender.node = settings->node.name;
	appender.zone = settings->node.zone;
	appender.address = settings->listen.control;
	appender.incarnation = node->incarnation;
	appender.batch_ms = settings->timing.append_interval_ms;
	appender.heartbeat_ms = settings->timing.presence_ms;
	appender.record_bytes = settings->limits.record_bytes;
	return bp_appender_new(&node->appender, &appender, err);
}

static int
build_platform(node_t *node, bp_error_t *err)
{
	const bp_settings_t *settings = node->settings;
	bp_snapshotwriter_options_t snapshots;
	bp_vmlist_options_t vmlist;
	bp_workerclient_options_t workers;
	int rc;

	(void)bp_snapshotwriter_options_init(&snapshots);
	snapshots.clock = node->clock;
	snapshots.logger = node->logger;
	snapshots.log = node->log;
	snapshots.follower = node->follower;
	snapshots.node = settings->node.name;
	snapshots.interval_ms = settings->timing.snapshot_interval_s * MS_PER_S;
	rc = bp_snapshotwriter_new(&node->snapshots, &snapshots, err);
	if (rc != BP_OK)
		return rc;
	(void)bp_vmlist_options_init(&vmlist);
	vmlist.clock = node->clock;
	vmlist.logger = node->logger;
	vmlist.url = settings->platform.vm_list_url;
	vmlist.poll_ms = settings->timing.poll_ms;
	rc = bp_vmlist_new(&node->vmlist, &vmlist, err);
	if (rc != BP_OK)
		return rc;
	(void)bp_workerclient_options_init(&workers);
	return bp_workerclient_new(&node->workers, &workers, err);
}

static int
build_scheduler(node_t *node, bp_error_t *err)
{
	bp_scheduler_options_t options = {0};
	int rc;

	if (!node->settings->node.scheduler)
		return BP_OK;
	options.clock = node->clock;
	options.logger = node->logger;
	options.follower = node->follower;
	options.appender = node->appender;
	options.client = node->workers;
	options.vmlist = node->vmlist;
	options.settings = node->settings;
	options.timeline = node->timeline;
	options.incarnation = node->incarnation;
	rc = bp_scheduler_new(&node->scheduler, &options, err);
	if (rc != BP_OK)
		return rc;
	return bp_registry_add(
	    node->registry, "scheduler", node->scheduler, err);
}

static int
build_gateway(node_t *node, bp_error_t *err)
{
	bp_gateway_options_t options;
	bp_keyclaim_options_t keyclaim = {
	    .clock = node->clock,
	    .logger = node->logger,
	    .appender = node->appender,
	    .follower = node->follower,
	    .node = node->settings->node.name,
	    .timeout_ms = KEY_GIVE_UP_MS,
	};
	GSocketConnectable *address;
	int rc;

	if (!node->settings->node.gateway)
		return BP_OK;
	address =
	    g_network_address_parse(node->settings->listen.gateway, 0, NULL);
	if (address == NULL)
		return bp_error_set(err, BP_EINVALID, "cannot listen on %s",
		    node->settings->listen.gateway);
	node->keyclaim = bp_keyclaim_new(&keyclaim);
	(void)bp_gateway_options_init(&options);
	options.clock = node->clock;
	options.logger = node->logger;
	options.claimer = bp_keyclaim_claimer(node->keyclaim);
	options.timeline = node->timeline;
	options.node = node->settings->node.name;
	options.zone = node->settings->node.zone;
	options.address =
	    g_network_address_get_hostname(G_NETWORK_ADDRESS(address));
	options.port = g_network_address_get_port(G_NETWORK_ADDRESS(address));
	options.body_bytes = node->settings->limits.body_bytes;
	options.header_bytes = node->settings->limits.header_bytes;
	options.endpoint_in_flight = node->settings->limits.endpoint_in_flight;
	options.endpoint_connections =
	    node->settings->limits.endpoint_connections;
	options.retry_budget_percent =
	    node->settings->policy.retry_budget_percent;
	options.eject_max_percent = node->settings->policy.eject_max_percent;
	rc = bp_gateway_new(&node->gateway, &options, err);
	g_object_unref(address);
	if (rc != BP_OK)
		return rc;
	node->endpoints = bp_endpoints_new(
	    node->gateway, node->vmlist, node->follower, node->logger);
	return bp_registry_add(node->registry, "gateway", node->gateway, err);
}

static int
build_control(node_t *node, bp_error_t *err)
{
	bp_control_options_t options = {0};
	bp_admission_options_t admission;
	int rc;

	bp_admission_options_init(&admission, node->settings->limits.memory_mb,
	    node->settings->limits.descriptors);
	admission.clock = node->clock;
	admission.logger = node->logger;
	admission.metrics = node->metrics;
	admission.connections_max[BP_ADMISSION_CONTROL] =
	    node->settings->limits.control_connections;
	node->admission = bp_admission_new(&admission);
	options.clock = node->clock;
	options.logger = node->logger;
	options.follower = node->follower;
	options.appender = node->appender;
	options.scheduler = node->scheduler;
	options.gateway = node->gateway;
	options.metrics = node->metrics;
	options.timeline = node->timeline;
	options.settings = node->settings;
	options.incarnation = node->incarnation;
	options.admission = node->admission;
	rc = bp_control_new(&node->control, &options, err);
	if (rc != BP_OK)
		return rc;
	node->bootstrap = bp_bootstrap_new(
	    node->clock, node->logger, node->follower, node->settings);
	node->counters.gateway = node->gateway;
	node->counters.scheduler = node->scheduler;
	node->counters.appender = node->appender;
	node->counters.follower = node->follower;
	bp_counters_register(&node->counters, node->metrics);
	if (node->settings->listen.metrics != NULL) {
		rc = bp_metricsserver_new(&node->metrics_server,
		    node->settings->listen.metrics, node->metrics,
		    node->admission, err);
		if (rc != BP_OK)
			return rc;
	}
	return bp_registry_add(node->registry, "control", node->control, err);
}

static int
build(node_t *node, bp_error_t *err)
{
	int rc = random_incarnation(&node->incarnation, err);

	if (rc != BP_OK)
		return rc;
	node->clock = bp_clock_system();
	node->logger = bp_logger_new(
	    node->clock, node->settings->node.name, node->settings->log_level);
	node->registry = bp_registry_new();
	node->loop = g_main_loop_new(NULL, FALSE);
	node->metrics = bp_metrics_new();
	node->timeline = bp_timeline_new(node->clock, node->settings->node.name,
	    node->settings->limits.timeline_events);
	rc = build_log(node, err);
	if (rc == BP_OK)
		rc = build_platform(node, err);
	if (rc == BP_OK)
		rc = build_scheduler(node, err);
	if (rc == BP_OK)
		rc = build_gateway(node, err);
	if (rc == BP_OK)
		rc = build_control(node, err);
	return rc;
}

/*
 * The appender is freed before the scheduler, control and the key claimer,
 * since its completions refer to them.
 */
static void
teardown(node_t *node)
{
	if (node->signal_term != 0)
		g_source_remove(node->signal_term);
	if (node->signal_int != 0)
		g_source_remove(node->signal_int);
	if (node->drain_timer != 0)
		g_source_remove(node->drain_timer);
	bp_metricsserver_free(node->metrics_server);
	bp_bootstrap_free(node->bootstrap);
	bp_endpoints_free(node->endpoints);
	bp_gateway_free(node->gateway);
	bp_snapshotwriter_free(node->snapshots);
	bp_appender_free(node->appender);
	bp_control_free(node->control);
	bp_scheduler_free(node->scheduler);
	bp_keyclaim_free(node->keyclaim);
	bp_workerclient_free(node->workers);
	bp_vmlist_free(node->vmlist);
	bp_follower_free(node->follower);
	bp_logclient_free(node->log);
	bp_registry_free(node->registry);
	bp_admission_free(node->admission);
	bp_timeline_free(node->timeline);
	bp_metrics_free(node->metrics);
	if (node->loop != NULL)
		g_main_loop_unref(node->loop);
	bp_logger_free(node->logger);
}

static void
service_drained(node_t *node)
{
	node->draining--;
	if (node->draining > 0)
		return;
	bp_log(node->logger, BP_LOG_NOTICE, "node", "stopped gracefully", NULL);
	g_main_loop_quit(node->loop);
}

static void
on_gateway_drained(bp_gateway_t *gateway, void *data)
{
	(void)gateway;
	service_drained(data);
}

static void
on_scheduler_drained(bp_scheduler_t *scheduler, void *data)
{
	(void)scheduler;
	service_drained(data);
}

static gboolean
on_drain_limit(void *data)
{
	node_t *node = data;

	node->drain_timer = 0;
	bp_log(node->logger, BP_LOG_WARNING, "node",
	    "the graceful stop timed out", NULL);
	g_main_loop_quit(node->loop);
	return G_SOURCE_REMOVE;
}

/*
 * The extra unit keeps a service that drains at once from ending the loop
 * before the others are notified.
 */
static gboolean
on_signal(void *data)
{
	node_t *node = data;

	if (node->stopping)
		return G_SOURCE_CONTINUE;
	node->stopping = true;
	bp_log(node->logger, BP_LOG_NOTICE, "node", "draining", NULL);
	bp_appender_set_draining(node->appender, true);
	bp_control_set_draining(node->control, true);
	node->drain_timer = g_timeout_add_seconds(
	    node->settings->timing.drain_s, on_drain_limit, node);
	node->draining = 1;
	if (node->gateway != NULL) {
		node->draining++;
		bp_gateway_drain(node->gateway, on_gateway_drained, node);
	}
	if (node->scheduler != NULL) {
		node->draining++;
		bp_scheduler_drain(node->scheduler, on_scheduler_drained, node);
	}
	service_drained(node);
	return G_SOURCE_CONTINUE;
}

static void
start(node_t *node)
{
	node->signal_term = g_unix_signal_add(SIGTERM, on_signal, node);
	node->signal_int = g_unix_signal_add(SIGINT, on_signal, node);
	bp_vmlist_start(node->vmlist);
	if (node->scheduler != NULL)
		bp_scheduler_start(node->scheduler);
	bp_follower_start(node->follower);
	bp_appender_start(node->appender);
	bp_snapshotwriter_start(node->snapshots);
	bp_log(node->logger, BP_LOG_NOTICE, "node", "started", "version",
	    BP_VERSION, "zone", node->settings->node.zone, NULL);
}

/* See the header. Returns when the node has stopped. */
int
bp_node_run(const bp_settings_t *settings, bp_error_t *err)
{
	node_t node = {0};
	int rc;

	node.settings = settings;
	rc = build(&node, err);
	if (rc == BP_OK) {
		start(&node);
		g_main_loop_run(node.loop);
	}
	teardown(&node);
	return rc;
}
