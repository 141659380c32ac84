#include "node/control_private.h"

#include <string.h>

#define MODULE "control"

static void
dispatch(bp_control_t *control, bp_peer_request_t *request)
{
	switch (bp_peer_request_frame(request)->verb) {
	case BP__PEER__VERB__VERB_STATE:
		bp_control_snapshot(control, request);
		return;
	case BP__PEER__VERB__VERB_STATUS:
		bp_control_status(control, request);
		return;
	case BP__PEER__VERB__VERB_WHY:
		bp_control_why(control, request);
		return;
	case BP__PEER__VERB__VERB_TIMELINE:
		bp_control_timeline(control, request);
		return;
	case BP__PEER__VERB__VERB_METRICS:
		bp_control_metrics(control, request);
		return;
	case BP__PEER__VERB__VERB_RULES_SHOW:
		bp_control_rules_show(control, request);
		return;
	case BP__PEER__VERB__VERB_RULES_HISTORY:
		bp_control_rules_history(control, request);
		return;
	case BP__PEER__VERB__VERB_RULES_CHECK:
		bp_control_rules_check(control, request);
		return;
	case BP__PEER__VERB__VERB_RULES_PUBLISH:
		bp_control_rules_publish(control, request);
		return;
	case BP__PEER__VERB__VERB_ZONE_LIST:
		bp_control_zone_list(control, request);
		return;
	case BP__PEER__VERB__VERB_ZONE_CHANGE:
		bp_control_zone_change(control, request);
		return;
	case BP__PEER__VERB__VERB_JOB_SUBMIT:
		bp_control_job_submit(control, request);
		return;
	case BP__PEER__VERB__VERB_JOB_STATUS:
		bp_control_job_status(control, request);
		return;
	case BP__PEER__VERB__VERB_JOB_CANCEL:
		bp_control_job_cancel(control, request);
		return;
	case BP__PEER__VERB__VERB_JOB_LIST:
		bp_control_job_list(control, request);
		return;
	case BP__PEER__VERB__VERB_KEY_OUTCOME:
		bp_control_key_outcome(control, request);
		return;
	case BP__PEER__VERB__VERB_QUEUE_SUBMIT:
	case BP__PEER__VERB__VERB_QUEUE_STATUS:
	case BP__PEER__VERB__VERB_QUEUE_CANCEL:
	case BP__PEER__VERB__VERB_QUEUE_COUNT:
	case BP__PEER__VERB__VERB_QUEUE_ORDER:
	case BP__PEER__VERB__VERB_QUEUE_HELLO:
	case BP__PEER__VERB__VERB_QUEUE_OWNER:
		/* Nodes with the service queues answer these. */
	case BP__PEER__VERB__VERB_UNSPECIFIED:
	case _BP__PEER__VERB_IS_INT_SIZE:
		break;
	}
	bp_control_refuse(request, BP_EINVALID,
	    "verb %d is not known to this release",
	    (int)bp_peer_request_frame(request)->verb);
}

/* Arguments are stored in the log and printed, so each must be plain UTF-8. */
static bool
is_plain(const char *text)
{
	const char *p;

	if (!g_utf8_validate(text, -1, NULL))
		return false;
	for (p = text; *p != '\0'; p++) {
		if ((unsigned char)*p < ' ' || *p == 0x7f)
			return false;
	}
	return true;
}

static void
on_request(bp_peer_request_t *request, void *data)
{
	bp_control_t *control = data;
	const Bp__Peer__Frame *frame = bp_peer_request_frame(request);
	size_t i;

	for (i = 0; i < frame->n_args; i++) {
		if (!is_plain(frame->args[i])) {
			bp_control_refuse(request, BP_EINVALID,
			    "argument %zu is not UTF-8 text without control "
			    "characters",
			    i + 1);
			return;
		}
	}
	dispatch(control, request);
}

static void
on_applied(const bp_applied_t *applied, void *data)
{
	bp_control_record(data, applied);
}

static void
on_progress(bp_follower_t *follower, void *data)
{
	bp_control_t *control = data;

	bp_liveness_update(control->liveness, bp_control_state(control),
	    bp_follower_status(follower) == BP_FOLLOWER_CURRENT,
	    bp_clock_mono_us(control->options.clock));
}

/* Returns the state that the follower has now. */
bp_state_t *
bp_control_state(const bp_control_t *control)
{
	return bp_follower_state(control->options.follower);
}

/* Creates the service; see the header. */
int
bp_control_new(
    bp_control_t **out, const bp_control_options_t *options, bp_error_t *err)
{
	bp_control_t *control = g_new0(bp_control_t, 1);
	const bp_settings_t *settings = options->settings;
	bp_peer_server_options_t server;
	int rc;

	*out = NULL;
	control->options = *options;
	(void)bp_peer_server_options_init(&server);
	server.clock = options->clock;
	server.logger = options->logger;
	server.address = settings->listen.control;
	server.connections_max = settings->limits.control_connections;
	server.admission = options->admission;
	server.handler = on_request;
	server.data = control;
	rc = bp_peer_server_new(&control->server, &server, err);
	if (rc != BP_OK) {
		g_free(control);
		return rc;
	}
	control->client = bp_peer_client_new(options->clock, options->logger);
	control->liveness =
	    bp_liveness_new(settings->node.name, settings->timing.death_ms);
	bp_follower_observe(options->follower, on_applied, control);
	bp_follower_on_progress(options->follower, on_progress, control);
	*out = control;
	return BP_OK;
}

/* Frees the service. NULL is allowed. */
void
bp_control_free(bp_control_t *control)
{
	if (control == NULL)
		return;
	bp_follower_remove_observers(control->options.follower, control);
	/* Ends open queries to other nodes and answers their requests. */
	bp_peer_client_free(control->client);
	bp_peer_server_free(control->server);
	bp_liveness_free(control->liveness);
	if (control->snapshot != NULL)
		g_byte_array_unref(control->snapshot);
	g_free(control);
}

/* Returns the port that the service listens on. */
uint16_t
bp_control_port(const bp_control_t *control)
{
	return bp_peer_server_port(control->server);
}

/* See the header. */
void
bp_control_set_draining(bp_control_t *control, bool draining)
{
	control->draining = draining;
}
