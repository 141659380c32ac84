#ifndef BULRUSHPOST_SCHEDULER_H
#define BULRUSHPOST_SCHEDULER_H

#include "bulrushpost/appender.h"
#include "bulrushpost/settings.h"
#include "bulrushpost/timeline.h"
#include "bulrushpost/vmlist.h"
#include "bulrushpost/workerclient.h"

/* The service that owns racks, places tasks and drives the workers. */
typedef struct bp_scheduler bp_scheduler_t;

typedef struct {
	const bp_clock_t *clock;
	bp_logger_t *logger;
	bp_follower_t *follower;
	bp_appender_t *appender;
	bp_workerclient_t *client;
	bp_vmlist_t *vmlist;
	bp_timeline_t *timeline; /* may be NULL */
	const bp_settings_t *settings;
	uint64_t incarnation;
} bp_scheduler_options_t;

typedef struct {
	uint64_t assigned; /* tasks whose assign entry was valid */
	uint64_t assign_lost; /* tasks whose assign entry had no effect */
	uint64_t started;
	uint64_t not_started;
	uint64_t ended;
	uint64_t lost;
	uint64_t evicted;
	uint64_t throttled;
	uint32_t racks; /* now */
	uint32_t sessions; /* now, open */
	uint32_t unreachable; /* now, VMs of own racks without an answer */
} bp_scheduler_counters_t;

typedef void (*bp_scheduler_drained_t)(bp_scheduler_t *scheduler, void *data);

int bp_scheduler_new(bp_scheduler_t **out,
    const bp_scheduler_options_t *options, bp_error_t *err);
void bp_scheduler_free(bp_scheduler_t *scheduler);
void bp_scheduler_start(bp_scheduler_t *scheduler);
/* One round of decisions; runs on a timer after bp_scheduler_start. */
void bp_scheduler_round(bp_scheduler_t *scheduler);
/* Finishes pending starts, releases all racks, then calls done once. */
void bp_scheduler_drain(
    bp_scheduler_t *scheduler, bp_scheduler_drained_t done, void *data);
void bp_scheduler_counters(
    const bp_scheduler_t *scheduler, bp_scheduler_counters_t *out);
/* Tells whether this node has a session on the VM that answers. */
bool bp_scheduler_reachable(const bp_vm_t *vm, void *scheduler);
/* Jobs that took the turn of this one in the last round; 0 when none. */
uint32_t bp_scheduler_ahead(const bp_scheduler_t *scheduler, const char *job);

/* Tells whether the job was passed over lately to protect services. */
bool bp_scheduler_avoids(const bp_scheduler_t *scheduler, const char *job);

#endif
