#include "bulrushpost/catalog.h"
#include "bulrushpost/executors.h"
#include "bulrushpost/store.h"
#include "queues/keyindex.h"

#include <gio/gio.h>
#include <string.h>

/* Largest body of a call, in bytes, unless the configuration sets another. */
#define DEFAULT_BODY_BYTES_MAX 262144

/* Limits of an executor's entry; store keys have at most 255 bytes. */
#define NAME_BYTES_MAX 128
#define LABELS_MAX 64

/* Creates a record with copies of key and value; size 0 means no value. */
bp_store_record_t *
bp_store_record_new(const char *key, const void *value, size_t size_bytes)
{
	bp_store_record_t *record = g_new0(bp_store_record_t, 1);

	record->key = g_strdup(key);
	if (size_bytes > 0)
		record->value = g_bytes_new(value, size_bytes);
	return record;
}

/* Creates a record that references value; NULL and empty mean no value. */
bp_store_record_t *
bp_store_record_new_bytes(const char *key, GBytes *value)
{
	bp_store_record_t *record = bp_store_record_new(key, NULL, 0);

	if (value != NULL && g_bytes_get_size(value) > 0)
		record->value = g_bytes_ref(value);
	return record;
}

/* Frees a record. */
void
bp_store_record_free(gpointer data)
{
	bp_store_record_t *record = data;

	g_free(record->key);
	g_clear_pointer(&record->value, g_bytes_unref);
	g_free(record);
}

static bool
is_graphic(const char *text)
{
	const char *p;

	for (p = text; *p != '\0'; p++) {
		if (!g_ascii_isgraph(*p))
			return false;
	}
	return true;
}

static int
check_name(const char *field, const char *name, bool required, bp_error_t *err)
{
	size_t size_bytes = strlen(name);
	const char *p;

	if (size_bytes > NAME_BYTES_MAX || (required && size_bytes == 0))
		return bp_error_set(err, BP_EINVALID,
		    "%s has %zu bytes; %d to %d are expected", field,
		    size_bytes, required ? 1 : 0, NAME_BYTES_MAX);
	for (p = name; *p != '\0'; p++) {
		if (g_ascii_iscntrl(*p))
			return bp_error_set(err, BP_EINVALID,
			    "%s has a control character", field);
	}
	return BP_OK;
}

/* Accepts IP:PORT with a port above 0; IPv6 addresses need brackets. */
static bool
is_ip_and_port(const char *address)
{
	const char *colon = strrchr(address, ':');
	GInetAddress *parsed = NULL;
	char *host;
	size_t size_bytes;
	bool bracketed;

	if (colon == NULL ||
	    !g_ascii_string_to_unsigned(
		colon + 1, 10, 1, UINT16_MAX, NULL, NULL))
		return false;
	size_bytes = (size_t)(colon - address);
	bracketed = size_bytes > 2 && address[0] == '[' && colon[-1] == ']';
	host = bracketed ? g_strndup(address + 1, size_bytes - 2)
			 : g_strndup(address, size_bytes);
	parsed = g_inet_address_new_from_string(host);
	g_free(host);
	if (parsed == NULL)
		return false;
	bracketed = bracketed ==
	    (g_inet_address_get_family(parsed) == G_SOCKET_FAMILY_IPV6);
	g_object_unref(parsed);
	return bracketed;
}

static int
check_labels(const bp_executor_info_t *info, bp_error_t *err)
{
	guint i;

	if (g_strv_length(info->labels) > LABELS_MAX)
		return bp_error_set(err, BP_EINVALID,
		    "%u labels; at most %d are expected",
		    g_strv_length(info->labels), LABELS_MAX);
	for (i = 0; info->labels[i] != NULL; i++) {
		if (check_name("a label", info->labels[i], false, err) != BP_OK)
			return BP_EINVALID;
	}
	return check_name("rack", info->rack, false, err);
}

/*
 * The list may hold entries of other writers. An ID becomes part of a store key
 * and of a header, a rack part of the shard plan, an address part of a URL.
 */
int
bp_executor_info_check(const bp_executor_info_t *info, bp_error_t *err)
{
	int rc = check_name("id", info->id, true, err);

	if (rc == BP_OK && !is_graphic(info->id))
		rc = bp_error_set(err, BP_EINVALID,
		    "id has a character that is not printable ASCII");
	if (rc == BP_OK)
		rc = check_name("service", info->service, true, err);
	if (rc == BP_OK)
		rc = check_name("zone", info->zone, true, err);
	if (rc == BP_OK)
		rc = check_labels(info, err);
	if (rc == BP_OK && !is_ip_and_port(info->address))
		rc = bp_error_set(err, BP_EINVALID,
		    "address \"%.60s\" is not an IP address and a port from "
		    "1 to %d",
		    info->address, UINT16_MAX);
	if (rc == BP_OK && info->born_ms <= 0)
		rc = bp_error_set(err, BP_EINVALID,
		    "the time of the start is missing or not above 0");
	return rc;
}

/* Frees an executor's list entry. NULL is allowed. */
void
bp_executor_info_free(gpointer data)
{
	bp_executor_info_t *info = data;

	if (info == NULL)
		return;
	g_free(info->id);
	g_free(info->service);
	g_free(info->address);
	g_free(info->zone);
	g_free(info->rack);
	g_strfreev(info->labels);
	g_free(info);
}

static void
free_route(gpointer data)
{
	bp_queue_route_t *route = data;

	g_free(route->name);
	g_free(route->host);
	g_free(route->prefix);
	g_free(route->service);
	g_free(route);
}

static void
free_pool(gpointer data)
{
	g_free(((bp_pool_t *)data)->name);
	g_free(data);
}

static void
free_customer(gpointer data)
{
	bp_customer_t *customer = data;

	g_free(customer->name);
	g_ptr_array_unref(customer->keys);
	g_free(customer);
}

/* Creates a customer without a name, keys and caps. */
bp_customer_t *
bp_customer_new(void)
{
	bp_customer_t *customer = g_new0(bp_customer_t, 1);

	customer->keys = g_ptr_array_new_with_free_func(g_free);
	return customer;
}

/* Creates an empty configuration of version 0. */
bp_catalog_t *
bp_catalog_new(void)
{
	bp_catalog_t *catalog = g_new0(bp_catalog_t, 1);

	catalog->routes = g_ptr_array_new_with_free_func(free_route);
	catalog->pools = g_ptr_array_new_with_free_func(free_pool);
	catalog->customers = g_ptr_array_new_with_free_func(free_customer);
	catalog->body_bytes = DEFAULT_BODY_BYTES_MAX;
	return catalog;
}

/* Frees a configuration. NULL is allowed. */
void
bp_catalog_free(bp_catalog_t *catalog)
{
	if (catalog == NULL)
		return;
	g_ptr_array_unref(catalog->routes);
	g_ptr_array_unref(catalog->pools);
	g_ptr_array_unref(catalog->customers);
	bp_key_index_free(catalog->key_index);
	g_free(catalog);
}

static bool
are_hex_digits(const char *text)
{
	for (; *text != '\0'; text++) {
		if (!g_ascii_isxdigit(*text))
			return false;
	}
	return true;
}

/* See the header. */
const char *
bp_catalog_job_id(const char *path)
{
	size_t bytes = strlen(path);

	if (bytes < BP_CATALOG_JOB_ID_DIGITS)
		return NULL;
	path += bytes - BP_CATALOG_JOB_ID_DIGITS;
	return are_hex_digits(path) ? path : NULL;
}

/* See the header. */
const bp_queue_route_t *
bp_catalog_route(
    const bp_catalog_t *catalog, const char *host, const char *path)
{
	const char *id = bp_catalog_job_id(path);
	const bp_queue_route_t *best = NULL;
	const bp_queue_route_t *of_job = NULL;
	guint i;

	for (i = 0; i < catalog->routes->len; i++) {
		const bp_queue_route_t *route = catalog->routes->pdata[i];

		if (g_ascii_strcasecmp(route->host, host) != 0 ||
		    !g_str_has_prefix(path, route->prefix))
			continue;
		if (best == NULL ||
		    strlen(route->prefix) > strlen(best->prefix))
			best = route;
		if (of_job == NULL && path + strlen(route->prefix) == id)
			of_job = route;
	}
	/* A prefix that ends within an ID takes no job from its queue. */
	if (of_job != NULL && path[strlen(best->prefix)] != '\0')
		return of_job;
	return best;
}

/* Returns the route of a queue by its name, or NULL. */
const bp_queue_route_t *
bp_catalog_queue(const bp_catalog_t *catalog, const char *name)
{
	guint i;

	for (i = 0; i < catalog->routes->len; i++) {
		const bp_queue_route_t *route = catalog->routes->pdata[i];

		if (strcmp(route->name, name) == 0)
			return route;
	}
	return NULL;
}

/* See the header. */
const bp_customer_t *
bp_catalog_customer(const bp_catalog_t *catalog, const char *name)
{
	guint i;

	for (i = 0; i < catalog->customers->len; i++) {
		const bp_customer_t *customer = catalog->customers->pdata[i];

		if (strcmp(customer->name, name) == 0)
			return customer;
	}
	return NULL;
}

/* See the header. An empty key is no key. */
void
bp_catalog_index_keys(bp_catalog_t *catalog)
{
	guint i;
	guint k;

	bp_key_index_free(catalog->key_index);
	catalog->key_index = bp_key_index_new();
	for (i = 0; i < catalog->customers->len; i++) {
		const bp_customer_t *customer = catalog->customers->pdata[i];

		for (k = 0; k < customer->keys->len; k++) {
			const char *key = customer->keys->pdata[k];

			if (key[0] != '\0')
				bp_key_index_add(
				    catalog->key_index, key, customer);
		}
	}
}

/* See the header. */
const bp_customer_t *
bp_catalog_customer_of_key(const bp_catalog_t *catalog, const char *key)
{
	return catalog->key_index != NULL
	    ? bp_key_index_find(catalog->key_index, key)
	    : NULL;
}
