#include "gateway/exchange.h"

#include <string.h>

#define DEFAULT_DEADLINE_MS 30000
#define DEFAULT_BODY_BYTES (1024 * 1024)
#define DEFAULT_HEADER_BYTES (16 * 1024)
#define HEALTH_PATH "/healthz"
/* With the 10 of libsoup, connections are reset in a burst of callers. */
#define LISTEN_BACKLOG 1024
/* A caller that stalls or disappears would otherwise keep its connection. */
#define CALLER_TIMEOUT_S 75

/*
 * Sets the defaults: loopback, any port, a single gateway, a deadline of 30 s,
 * bodies of 1 MiB, headers of 16 KiB, 8 requests in flight per endpoint.
 */
int
bp_gateway_options_init(bp_gateway_options_t *options)
{
	memset(options, 0, sizeof(*options));
	options->clock = bp_clock_system();
	options->node = "gateway";
	options->zone = "";
	options->address = "127.0.0.1";
	options->gateways = 1;
	options->default_deadline_ms = DEFAULT_DEADLINE_MS;
	options->body_bytes = DEFAULT_BODY_BYTES;
	options->header_bytes = DEFAULT_HEADER_BYTES;
	options->endpoint_in_flight = BP_EXECUTOR_SLOTS;
	options->endpoint_connections = BP_EXECUTOR_CONNECTIONS;
	options->retry_budget_percent = BP_RETRY_BUDGET_PERCENT;
	options->eject_max_percent = BP_EJECT_MAX_PERCENT;
	return BP_OK;
}

static void
service_free(gpointer data)
{
	bp_service_t *service = data;

	bp_pool_free(service->pool);
	g_free(service->name);
	g_free(service);
}

static const char *
get_not_ready_reason(const bp_gateway_t *gateway)
{
	if (gateway->draining)
		return "draining: this gateway finishes its requests and exits";
	if (!gateway->ready)
		return "starting: the endpoints are not known yet";
	return NULL;
}

static bool
is_health_check(SoupServerMessage *message)
{
	const char *path = g_uri_get_path(soup_server_message_get_uri(message));

	return strcmp(path, HEALTH_PATH) == 0;
}

static void
on_headers(SoupServer *server, SoupServerMessage *message, const char *path,
    GHashTable *query, gpointer data)
{
	bp_gateway_t *gateway = data;

	if (is_health_check(message))
		bp_answer_health(message, get_not_ready_reason(gateway));
	else
		bp_exchange_headers(gateway, message);
}

static void
on_body(SoupServer *server, SoupServerMessage *message, const char *path,
    GHashTable *query, gpointer data)
{
	bp_gateway_t *gateway = data;
	bp_exchange_t *exchange =
	    g_hash_table_lookup(gateway->exchanges, message);

	if (exchange != NULL)
		bp_exchange_body(exchange);
}

/* Emitted when a connection is accepted and for each further request on it. */
static void
on_request_started(
    SoupServer *server, SoupServerMessage *message, gpointer data)
{
	GSocket *socket = soup_server_message_get_socket(message);

	bp_answer_set_default(message);
	if (socket != NULL)
		g_socket_set_timeout(socket, CALLER_TIMEOUT_S);
}

static GSocket *
new_listener(GSocketAddress *address, GError **error)
{
	GSocket *socket = g_socket_new(g_socket_address_get_family(address),
	    G_SOCKET_TYPE_STREAM, G_SOCKET_PROTOCOL_TCP, error);

	if (socket == NULL)
		return NULL;
	g_socket_set_listen_backlog(socket, LISTEN_BACKLOG);
	if (g_socket_bind(socket, address, TRUE, error) &&
	    g_socket_listen(socket, error))
		return socket;
	g_object_unref(socket);
	return NULL;
}

static int
start_listening(bp_gateway_t *gateway, bp_error_t *err)
{
	const bp_gateway_options_t *options = &gateway->options;
	GSocketAddress *address = g_inet_socket_address_new_from_string(
	    options->address, options->port);
	GSocket *socket = NULL;
	GError *error = NULL;
	GSList *uris;
	int rc = BP_OK;

	if (address == NULL)
		return bp_error_set(err, BP_EINVALID,
		    "the listen address %s is not an IP address",
		    options->address);
	socket = new_listener(address, &error);
	if (socket == NULL ||
	    !soup_server_listen_socket(gateway->server, socket, 0, &error)) {
		rc = bp_error_set(err, BP_EUNREACHABLE,
		    "listening on %s port %u failed: %s", options->address,
		    options->port, error->message);
		g_error_free(error);
		goto out;
	}
	uris = soup_server_get_uris(gateway->server);
	gateway->port = (uint16_t)g_uri_get_port(uris->data);
	g_slist_free_full(uris, (GDestroyNotify)g_uri_unref);
out:
	g_clear_object(&socket);
	g_object_unref(address);
	return rc;
}

static void
copy_options(bp_gateway_t *gateway, const bp_gateway_options_t *options)
{
	gateway->options = *options;
	gateway->options.node = g_strdup(options->node);
	gateway->options.zone = g_strdup(options->zone);
	gateway->options.address = g_strdup(options->address);
	gateway->options.gateways = MAX(options->gateways, 1);
	if (gateway->options.seed == 0)
		gateway->options.seed =
		    ((uint64_t)g_random_int() << 32) | g_random_int();
}

/* Paths stay encoded: a decoded line break could inject headers upstream. */
static void
start_server(bp_gateway_t *gateway)
{
	gateway->server = soup_server_new("raw-paths", TRUE, NULL);
	g_signal_connect(gateway->server, "request-started",
	    G_CALLBACK(on_request_started), gateway);
	soup_server_add_early_handler(
	    gateway->server, NULL, on_headers, gateway, NULL);
	soup_server_add_handler(gateway->server, NULL, on_body, gateway, NULL);
}

/*
 * Creates a gateway and starts to listen. Errors: BP_EINVALID for an address
 * that is not valid, BP_EUNREACHABLE if listening fails.
 */
int
bp_gateway_new(
    bp_gateway_t **out, const bp_gateway_options_t *options, bp_error_t *err)
{
	bp_gateway_t *gateway = g_new0(bp_gateway_t, 1);
	uint64_t id_seed;
	int rc;

	copy_options(gateway, options);
	gateway->services =
	    g_hash_table_new_full(g_str_hash, g_str_equal, NULL, service_free);
	gateway->exchanges = g_hash_table_new(NULL, NULL);
	gateway->keys = bp_keytable_new();
	bp_balancer_init(
	    &gateway->balancer, gateway->options.zone, gateway->options.seed);
	bp_retry_set_budget(
	    &gateway->retry, gateway->options.retry_budget_percent);
	/* Ids must differ from those of an earlier process of this node. */
	id_seed = bp_random_next(&gateway->balancer.random) ^
	    (uint64_t)bp_clock_wall_ms(gateway->options.clock);
	gateway->id_prefix = g_strdup_printf(
	    "%s-%016" G_GINT64_MODIFIER "x", gateway->options.node, id_seed);
	/* Node names are UTF-8, but header values must be ASCII. */
	g_strcanon(gateway->id_prefix,
	    G_CSET_a_2_z G_CSET_A_2_Z G_CSET_DIGITS "-._", '-');
	gateway->upstream = bp_upstream_new(
	    gateway->options.gateways, gateway->options.endpoint_connections);
	start_server(gateway);
	rc = start_listening(gateway, err);
	if (rc != BP_OK) {
		bp_gateway_free(gateway);
		return rc;
	}
	*out = gateway;
	return BP_OK;
}

static void
end_all_exchanges(bp_gateway_t *gateway)
{
	GList *exchanges = g_hash_table_get_values(gateway->exchanges);
	GList *link;

	gateway->drained = NULL;
	for (link = exchanges; link != NULL; link = link->next)
		bp_exchange_end(link->data);
	g_list_free(exchanges);
}

/* Closes all connections and frees the gateway. NULL is allowed. */
void
bp_gateway_free(bp_gateway_t *gateway)
{
	if (gateway == NULL)
		return;
	end_all_exchanges(gateway);
	if (gateway->queue_timer != 0)
		g_source_remove(gateway->queue_timer);
	soup_server_disconnect(gateway->server);
	g_signal_handlers_disconnect_by_data(gateway->server, gateway);
	g_object_unref(gateway->server);
	bp_upstream_unref(gateway->upstream);
	g_hash_table_destroy(gateway->exchanges);
	g_hash_table_destroy(gateway->services);
	bp_keytable_unref(gateway->keys);
	bp_balancer_clear(&gateway->balancer);
	g_free(gateway->id_prefix);
	g_free((char *)gateway->options.node);
	g_free((char *)gateway->options.zone);
	g_free((char *)gateway->options.address);
	g_free(gateway);
}

/* Returns the port on which the gateway listens. */
uint16_t
bp_gateway_port(const bp_gateway_t *gateway)
{
	return gateway->port;
}

/*
 * Sets the number of gateways that share the endpoints. The limit of
 * connections is fixed for each session, so that a new session is created;
 * requests in flight finish on the previous one.
 */
void
bp_gateway_set_gateways(bp_gateway_t *gateway, uint32_t gateways)
{
	GHashTableIter iter;
	gpointer value;

	gateways = MAX(gateways, 1);
	if (gateways == gateway->options.gateways)
		return;
	gateway->options.gateways = gateways;
	bp_upstream_unref(gateway->upstream);
	gateway->upstream =
	    bp_upstream_new(gateways, gateway->options.endpoint_connections);
	g_hash_table_iter_init(&iter, gateway->services);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		bp_pool_set_gateways(((bp_service_t *)value)->pool, gateways);
}

static bp_service_t *
get_service(bp_gateway_t *gateway, const char *name)
{
	bp_service_t *service = g_hash_table_lookup(gateway->services, name);
	uint32_t rank;

	if (service != NULL)
		return service;
	service = g_new0(bp_service_t, 1);
	service->name = g_strdup(name);
	service->pool = bp_pool_new(gateway->options.gateways);
	bp_pool_set_limits(service->pool, gateway->options.endpoint_in_flight,
	    gateway->options.endpoint_connections,
	    gateway->options.eject_max_percent);
	for (rank = 0; rank < BP_SHED_RANKS; rank++)
		g_queue_init(&service->queues[rank]);
	g_hash_table_insert(gateway->services, service->name, service);
	return service;
}

static int
check_endpoint(const bp_gateway_endpoint_t *endpoint, bp_error_t *err)
{
	GUri *uri;
	bool valid;

	if (endpoint->name == NULL || endpoint->url == NULL ||
	    endpoint->service == NULL)
		return bp_error_set(err, BP_EINVALID,
		    "an endpoint lacks a name, url or service");
	uri = g_uri_parse(endpoint->url, SOUP_HTTP_URI_FLAGS, NULL);
	valid = uri != NULL && g_strcmp0(g_uri_get_scheme(uri), "http") == 0 &&
	    g_uri_get_host(uri) != NULL && g_uri_get_host(uri)[0] != '\0';
	if (uri != NULL)
		g_uri_unref(uri);
	if (valid)
		return BP_OK;
	return bp_error_set(err, BP_EINVALID,
	    "the url %s of endpoint %s is not http://host:port", endpoint->url,
	    endpoint->name);
}

static void
remove_missing(bp_gateway_t *gateway, GHashTable *current)
{
	GHashTableIter iter;
	gpointer value;
	size_t i;

	g_hash_table_iter_init(&iter, gateway->services);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		bp_service_t *service = value;

		for (i = bp_pool_size(service->pool); i-- > 0;) {
			bp_endpoint_t *endpoint = bp_pool_at(service->pool, i);

			if (!g_hash_table_contains(current, endpoint))
				bp_pool_remove(service->pool, endpoint);
		}
		bp_dispatch_pump(gateway, service);
	}
}

/*
 * Replaces the endpoints. Invalid ones are skipped, and the first of them is
 * reported (BP_EINVALID). The others still take effect, since otherwise a
 * leaving endpoint would keep getting requests.
 */
int
bp_gateway_set_endpoints(bp_gateway_t *gateway,
    const bp_gateway_endpoint_t *endpoints, size_t count, bp_error_t *err)
{
	GHashTable *current = g_hash_table_new(NULL, NULL);
	int rc = BP_OK;
	size_t i;

	for (i = 0; i < count; i++) {
		const bp_gateway_endpoint_t *endpoint = &endpoints[i];
		bp_service_t *service;

		if (check_endpoint(endpoint, rc == BP_OK ? err : NULL) !=
		    BP_OK) {
			rc = BP_EINVALID;
			continue;
		}
		service = get_service(gateway, endpoint->service);
		g_hash_table_add(current,
		    bp_pool_upsert(service->pool, endpoint->name, endpoint->url,
			endpoint->zone, endpoint->leaving, endpoint->zone_out));
	}
	remove_missing(gateway, current);
	gateway->ready = true;
	g_hash_table_destroy(current);
	return rc;
}

static void
check_drained(bp_gateway_t *gateway)
{
	bp_gateway_drained_t drained = gateway->drained;

	if (drained == NULL || g_hash_table_size(gateway->exchanges) > 0)
		return;
	gateway->drained = NULL;
	drained(gateway, gateway->drained_data);
}

/* Called by each exchange at its end; may complete a drain. */
void
bp_gateway_exchange_ended(bp_gateway_t *gateway)
{
	check_drained(gateway);
}

/* Refuses new requests and calls done once nothing is in flight. */
void
bp_gateway_drain(bp_gateway_t *gateway, bp_gateway_drained_t done, void *data)
{
	gateway->draining = true;
	gateway->drained = done;
	gateway->drained_data = data;
	bp_log(gateway->options.logger, BP_LOG_NOTICE, "gateway",
	    "draining started", NULL);
	check_drained(gateway);
}

/* Copies the counters and fills in the current gauges. */
void
bp_gateway_counters(const bp_gateway_t *gateway, bp_gateway_counters_t *out)
{
	GHashTableIter iter;
	gpointer value;

	*out = gateway->counters;
	out->in_flight = g_hash_table_size(gateway->exchanges);
	g_hash_table_iter_init(&iter, gateway->services);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const bp_pool_t *pool = ((bp_service_t *)value)->pool;

		out->endpoints += (uint32_t)bp_pool_size(pool);
		out->endpoints_ejected += bp_pool_ejected(pool);
		out->ejections += pool->ejections;
	}
}
