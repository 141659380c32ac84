#include "bulrushpost/catalog.h"
#include "bulrushpost/executors.h"
#include "bulrushpost/store.h"

#include <string.h>

/* Largest body of a call, in bytes, unless the configuration sets another. */
#define DEFAULT_BODY_BYTES_MAX 262144

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

/* Creates an empty configuration of version 0. */
bp_catalog_t *
bp_catalog_new(void)
{
	bp_catalog_t *catalog = g_new0(bp_catalog_t, 1);

	catalog->routes = g_ptr_array_new_with_free_func(free_route);
	catalog->pools = g_ptr_array_new_with_free_func(free_pool);
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
	g_free(catalog);
}

/* Returns the route of a host with the longest prefix of path, or NULL. */
const bp_queue_route_t *
bp_catalog_route(
    const bp_catalog_t *catalog, const char *host, const char *path)
{
	const bp_queue_route_t *best = NULL;
	guint i;

	for (i = 0; i < catalog->routes->len; i++) {
		const bp_queue_route_t *route = catalog->routes->pdata[i];

		if (g_ascii_strcasecmp(route->host, host) != 0 ||
		    !g_str_has_prefix(path, route->prefix))
			continue;
		if (best == NULL ||
		    strlen(route->prefix) > strlen(best->prefix))
			best = route;
	}
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
