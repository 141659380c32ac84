#ifndef BULRUSHPOST_VMLIST_H
#define BULRUSHPOST_VMLIST_H

#include "bulrushpost/clock.h"
#include "bulrushpost/error.h"
#include "bulrushpost/logline.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/*
 * The platform's list of VMs, polled over HTTP. The list may be out of date;
 * the latest one is kept while the service is down.
 */
typedef struct bp_vmlist bp_vmlist_t;

typedef enum {
	BP_ROLE_WORKER,
	BP_ROLE_EXECUTOR,
	BP_ROLE_ENTRY
} bp_vmlist_role_t;

typedef enum {
	BP_VMLIST_LIVE,
	BP_VMLIST_LEAVING,
	BP_VMLIST_GONE /* no longer listed; retained for gone_ms */
} bp_vmlist_state_t;

/* One VM; valid until the next change of the list. */
typedef struct {
	char *name;
	bp_vmlist_role_t role;
	bp_vmlist_state_t state;
	int64_t since_us; /* monotonic time of the change to state */
	char *zone;
	char *rack;
	char *url; /* empty when the VM has none */
	char *service; /* empty unless an executor */
	uint32_t cpu_milli;
	uint32_t memory_mib;
	uint32_t accelerators;
} bp_vmlist_vm_t;

typedef struct {
	const bp_clock_t *clock;
	bp_logger_t *logger;
	const char *url; /* of the service, without /vms */
	uint32_t poll_ms;
	uint32_t timeout_ms;
	uint32_t gone_ms; /* retention of VMs that left the list */
} bp_vmlist_options_t;

/* Called after each poll that changed at least one VM. */
typedef void (*bp_vmlist_change_t)(bp_vmlist_t *list, void *data);
typedef void (*bp_vmlist_each_t)(const bp_vmlist_vm_t *vm, void *data);

int bp_vmlist_options_init(bp_vmlist_options_t *options);
int bp_vmlist_new(
    bp_vmlist_t **out, const bp_vmlist_options_t *options, bp_error_t *err);
/* Cancels all calls; no callback runs afterwards. */
void bp_vmlist_free(bp_vmlist_t *list);
void bp_vmlist_start(bp_vmlist_t *list);
void bp_vmlist_on_change(
    bp_vmlist_t *list, bp_vmlist_change_t change, void *data);

/* Removes the callbacks that were added with data. */
void bp_vmlist_remove_callbacks(bp_vmlist_t *list, const void *data);

/* Returns NULL if the VM was never listed or is no longer retained. */
const bp_vmlist_vm_t *bp_vmlist_find(const bp_vmlist_t *list, const char *name);
/* Calls each for the live, leaving and gone VMs of a role, sorted by name. */
void bp_vmlist_each(const bp_vmlist_t *list, bp_vmlist_role_t role,
    bp_vmlist_each_t each, void *data);
/* Whether a list was received; before that a missing VM proves nothing. */
bool bp_vmlist_is_loaded(const bp_vmlist_t *list);
uint64_t bp_vmlist_version(const bp_vmlist_t *list);
/* Monotonic start time (us) of the latest successful poll, or 0. */
int64_t bp_vmlist_synced_us(const bp_vmlist_t *list);

/* Updates the list from the JSON text of a response. */
int bp_vmlist_update(
    bp_vmlist_t *list, const char *json, size_t size_bytes, bp_error_t *err);

#endif
