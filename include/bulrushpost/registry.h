#ifndef BULRUSHPOST_REGISTRY_H
#define BULRUSHPOST_REGISTRY_H

#include "bulrushpost/error.h"

/*
 * A registry of services: each registers an interface under a name, by which
 * others find it. The caller casts the interface to its type.
 */
typedef struct bp_registry bp_registry_t;

bp_registry_t *bp_registry_new(void);
void bp_registry_free(bp_registry_t *registry);
int bp_registry_add(
    bp_registry_t *registry, const char *name, void *service, bp_error_t *err);
int bp_registry_remove(bp_registry_t *registry, const char *name);
void *bp_registry_find(const bp_registry_t *registry, const char *name);

#endif
