#ifndef BULRUSHPOST_CONTROL_H
#define BULRUSHPOST_CONTROL_H

#include "bulrushpost/admission.h"
#include "bulrushpost/appender.h"
#include "bulrushpost/follower.h"
#include "bulrushpost/gateway.h"
#include "bulrushpost/metrics.h"
#include "bulrushpost/peer.h"
#include "bulrushpost/scheduler.h"
#include "bulrushpost/settings.h"
#include "bulrushpost/timeline.h"

/*
 * The service that answers the verbs of proto/peer.proto. It also records
 * the entries of this node in the timeline when they are read back.
 */
typedef struct bp_control bp_control_t;

typedef struct {
	const bp_clock_t *clock;
	bp_logger_t *logger;
	bp_follower_t *follower;
	bp_appender_t *appender;
	const bp_scheduler_t *scheduler; /* NULL without that service */
	bp_gateway_t *gateway; /* NULL without that service */
	bp_metrics_t *metrics;
	bp_timeline_t *timeline;
	const bp_settings_t *settings;
	uint64_t incarnation;
	bp_admission_t *admission; /* of callers; or NULL */
} bp_control_options_t;

/* Listens on settings->listen.control when it returns 0. */
int bp_control_new(
    bp_control_t **out, const bp_control_options_t *options, bp_error_t *err);
/* The appender is freed first, as its completions refer to the service. */
void bp_control_free(bp_control_t *control);
uint16_t bp_control_port(const bp_control_t *control);
/* Explanations report this node as draining from now on. */
void bp_control_set_draining(bp_control_t *control, bool draining);

/*
 * Fetches the serialized state of a peer in parts that fit a frame.
 * snapshot is NULL exactly when err is set; done is called once, and not
 * after the client was freed.
 */
typedef void (*bp_state_fetched_t)(const uint8_t *snapshot, size_t size_bytes,
    const bp_error_t *err, void *data);
void bp_control_fetch_state(bp_peer_client_t *client, const char *address,
    uint32_t timeout_ms, bp_state_fetched_t done, void *data);

#endif
