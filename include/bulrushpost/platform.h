#ifndef BULRUSHPOST_PLATFORM_H
#define BULRUSHPOST_PLATFORM_H

#include "bulrushpost/admission.h"
#include "bulrushpost/catalog.h"
#include "bulrushpost/clock.h"
#include "bulrushpost/configcheck.h"
#include "bulrushpost/logline.h"
#include "bulrushpost/jobrouter.h"
#include "bulrushpost/settings.h"
#include "bulrushpost/store.h"

/* All that the users' platform is to a node; implemented in platform/. */
typedef struct bp_platform bp_platform_t;

typedef struct {
	const bp_clock_t *clock;
	bp_logger_t *logger;
	const bp_settings_t *settings;
	bp_admission_t *admission; /* of callers; outlives the platform */
	bp_feed_listener_t listener;
} bp_platform_options_t;

int bp_platform_new(
    bp_platform_t **out, const bp_platform_options_t *options, bp_error_t *err);
void bp_platform_free(bp_platform_t *platform);
bp_store_t *bp_platform_get_store(bp_platform_t *platform);
bp_executors_t *bp_platform_get_executors(bp_platform_t *platform);
/* Reads operators' commands from now on. */
void bp_platform_follow(bp_platform_t *platform);
/* Reads at once what operators have written by now. */
void bp_platform_confirm(bp_platform_t *platform);
/* Reads the executors' list, whole, from now on; or ends that. */
void bp_platform_follow_executors(bp_platform_t *platform, bool follow);
/* Listens for callers and passes their calls to the job router. */
int bp_platform_open(
    bp_platform_t *platform, bp_job_router_t *router, bp_error_t *err);
/* The balancer is told to send no more callers. */
void bp_platform_drain(bp_platform_t *platform);
/* Calls that were read and not answered. */
uint32_t bp_platform_calls(const bp_platform_t *platform);
/* Closes the callers' connections. */
void bp_platform_close(bp_platform_t *platform);

/*
 * Reads an operators' configuration as nodes do and appends the problems of its
 * fields (bp_config_problem_t). BP_EINVALID if it cannot be read at all.
 */
int bp_platform_read_configuration(bp_catalog_t **out, GPtrArray *problems,
    const char *text, size_t size_bytes, bp_error_t *err);
/* The path of a place in the text of a configuration; free it. */
char *bp_platform_place(const bp_config_place_t *place);

#endif
