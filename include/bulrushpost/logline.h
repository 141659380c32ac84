#ifndef BULRUSHPOST_LOGLINE_H
#define BULRUSHPOST_LOGLINE_H

#include "bulrushpost/clock.h"

#include <glib.h>

#include <stddef.h>
#include <stdint.h>

/* Severities of syslog, most severe first. */
typedef enum {
	BP_LOG_ERR = 3,
	BP_LOG_WARNING = 4,
	BP_LOG_NOTICE = 5,
	BP_LOG_INFO = 6,
	BP_LOG_DEBUG = 7
} bp_log_level_t;

typedef struct bp_logger bp_logger_t;

bp_logger_t *bp_logger_new(
    const bp_clock_t *clock, const char *process, bp_log_level_t level);
void bp_logger_free(bp_logger_t *logger);
/*
 * Redirects the logger to standard output. It never blocks and writes at most
 * lines_per_s lines per second on average; a later line reports how many were
 * dropped.
 */
void bp_logger_set_stdout(bp_logger_t *logger, uint32_t lines_per_s);
int bp_log_level_parse(bp_log_level_t *out, const char *name);

/* Fields are pairs of const char * (key, value), ended by NULL. */
void bp_log(bp_logger_t *logger, bp_log_level_t level, const char *module,
    const char *message, ...) G_GNUC_NULL_TERMINATED;

#endif
