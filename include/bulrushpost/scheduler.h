#ifndef BULRUSHPOST_SCHEDULER_H
#define BULRUSHPOST_SCHEDULER_H

#include "bulrushpost/appender.h"
#include "bulrushpost/settings.h"
#include "bulrushpost/timeline.h"
#include "bulrushpost/vmlist.h"
#include "bulrushpost/workerclient.h"

/* The service that owns racks, places tasks and controls the workers. */
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
	/* Tasks, since the start. */
	uint64_t assigned; /* the assign entry was valid */
	uint64_t assign_lost; /* the assign entry had no effect */
	uint64_t started;
	uint64_t not_started;
	uint64_t ended;
	uint64_t lost;
	uint64_t evicted;
	uint64_t throttled;
	/* Now. */
	uint32_t racks;
	uint32_t sessions; /* open */
	uint32_t unreachable; /* VMs of owned racks without an open session */
} bp_scheduler_counters_t;

typedef void (*bp_scheduler_drained_t)(bp_scheduler_t *scheduler, void *data);

int bp_scheduler_new(bp_scheduler_t **out,
    const bp_scheduler_options_t *options, bp_error_t *err);
void bp_scheduler_free(bp_scheduler_t *scheduler);
void bp_scheduler_start(bp_scheduler_t *scheduler);
/* Runs one scheduling round; called by a timer after bp_scheduler_start. */
void bp_scheduler_round(bp_scheduler_t *scheduler);
/* Waits for pending starts, releases all racks, then calls done once. */
void bp_scheduler_drain(
    bp_scheduler_t *scheduler, bp_scheduler_drained_t done, void *data);
void bp_scheduler_counters(
    const bp_scheduler_t *scheduler, bp_scheduler_counters_t *out);
/* Tells whether this node has an open session on a VM that answers. */
bool bp_scheduler_reachable(const bp_vm_t *vm, void *scheduler);
/* Jobs that used up the last round's budget before this one; 0 if none. */
uint32_t bp_scheduler_ahead(const bp_scheduler_t *scheduler, const char *job);

/* Tells whether the job was recently passed over to protect services. */
bool bp_scheduler_avoids(const bp_scheduler_t *scheduler, const char *job);

#endif
