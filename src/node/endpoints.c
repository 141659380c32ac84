#include "node/endpoints.h"

#define REFRESH_MS 250
#define PRESENT_MS 10000

struct bp_endpoints {
	bp_gateway_t *gateway;
	bp_vmlist_t *vmlist;
	bp_follower_t *follower;
	bp_logger_t *logger;
	guint timer;
	bool had_endpoints;
};

typedef struct {
	const bp_state_t *state;
	GArray *found; /* bp_gateway_endpoint_t */
} collect_t;

static void
collect(const bp_vmlist_vm_t *vm, void *data)
{
	collect_t *self = data;
	bp_gateway_endpoint_t endpoint = {0};
	const bp_zone_t *zone = bp_state_zone(self->state, vm->zone);

	if (vm->state == BP_VMLIST_GONE)
		return;
	endpoint.name = vm->name;
	endpoint.url = vm->url;
	endpoint.service = vm->service;
	endpoint.zone = vm->zone;
	endpoint.leaving = vm->state == BP_VMLIST_LEAVING;
	endpoint.zone_out = zone != NULL && zone->out_of_service;
	g_array_append_val(self->found, endpoint);
}

/* An estimate that serves to share connections, so clocks may differ. */
static bool
is_present(const bp_state_t *state, const bp_node_t *node)
{
	return !node->draining &&
	    bp_state_now_ms(state) - node->time_ms < PRESENT_MS;
}

static uint32_t
count_gateways(const bp_state_t *state)
{
	GHashTableIter iter;
	gpointer value;
	uint32_t n = 0;

	g_hash_table_iter_init(&iter, bp_state_nodes(state));
	while (g_hash_table_iter_next(&iter, NULL, &value))
		n += is_present(state, value) ? 1 : 0;
	return MAX(n, 1);
}

/* A zone change reaches the gateway within REFRESH_MS of being read. */
static gboolean
refresh(void *data)
{
	bp_endpoints_t *self = data;
	collect_t found = {bp_follower_state(self->follower),
	    g_array_new(FALSE, TRUE, sizeof(bp_gateway_endpoint_t))};
	bp_error_t err;

	/* Without a list, and without the zones that are out, the gateway
	 * is not ready. */
	if (!bp_vmlist_is_loaded(self->vmlist) ||
	    bp_follower_status(self->follower) == BP_FOLLOWER_STARTING) {
		g_array_unref(found.found);
		return G_SOURCE_CONTINUE;
	}
	bp_vmlist_each(self->vmlist, BP_ROLE_EXECUTOR, collect, &found);
	/* If all endpoints vanish at once, the list is taken as faulty. */
	if (found.found->len == 0 && self->had_endpoints) {
		g_array_unref(found.found);
		return G_SOURCE_CONTINUE;
	}
	self->had_endpoints = found.found->len > 0;
	if (bp_gateway_set_endpoints(self->gateway,
		(bp_gateway_endpoint_t *)(void *)found.found->data,
		found.found->len, &err) != BP_OK)
		bp_log(self->logger, BP_LOG_WARNING, "endpoints",
		    "the endpoint set was refused", "error", err.message, NULL);
	bp_gateway_set_gateways(self->gateway, count_gateways(found.state));
	g_array_unref(found.found);
	return G_SOURCE_CONTINUE;
}

/* Starts to refresh the gateway's endpoints. */
bp_endpoints_t *
bp_endpoints_new(bp_gateway_t *gateway, bp_vmlist_t *vmlist,
    bp_follower_t *follower, bp_logger_t *logger)
{
	bp_endpoints_t *self = g_new0(bp_endpoints_t, 1);

	self->gateway = gateway;
	self->vmlist = vmlist;
	self->follower = follower;
	self->logger = logger;
	self->timer = g_timeout_add(REFRESH_MS, refresh, self);
	return self;
}

/* Stops refreshing. NULL is allowed. */
void
bp_endpoints_free(bp_endpoints_t *self)
{
	if (self == NULL)
		return;
	g_source_remove(self->timer);
	g_free(self);
}
