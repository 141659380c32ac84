#include "bulrushpost/registry.h"

struct bp_registry {
	GHashTable *services;
};

/* Creates an empty registry. Free with bp_registry_free. */
bp_registry_t *
bp_registry_new(void)
{
	bp_registry_t *registry = g_new0(bp_registry_t, 1);

	registry->services =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	return registry;
}

/* Frees the registry but none of the services. NULL is allowed. */
void
bp_registry_free(bp_registry_t *registry)
{
	if (registry == NULL)
		return;
	g_hash_table_unref(registry->services);
	g_free(registry);
}

/* Adds a service; returns BP_ECONFLICT if the name is in use. */
int
bp_registry_add(
    bp_registry_t *registry, const char *name, void *service, bp_error_t *err)
{
	if (g_hash_table_contains(registry->services, name))
		return bp_error_set(err, BP_ECONFLICT,
		    "a service named %s is already registered", name);
	g_hash_table_insert(registry->services, g_strdup(name), service);
	return BP_OK;
}

/* Removes a service; returns BP_ENOTFOUND if the name is unknown. */
int
bp_registry_remove(bp_registry_t *registry, const char *name)
{
	return g_hash_table_remove(registry->services, name) ? BP_OK
							     : BP_ENOTFOUND;
}

/* Returns the service of that name, or NULL. */
void *
bp_registry_find(const bp_registry_t *registry, const char *name)
{
	return g_hash_table_lookup(registry->services, name);
}
