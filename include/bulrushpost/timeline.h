#ifndef BULRUSHPOST_TIMELINE_H
#define BULRUSHPOST_TIMELINE_H

#include "bulrushpost/clock.h"
#include "bulrushpost/error.h"

#include <stdbool.h>

/*
 * The events of one process, in a ring buffer. The Lamport time of an
 * event is the offset of the last log record that the process had read,
 * shifted left by BP_TIMELINE_OFFSET_SHIFT, plus a counter. A record's
 * offset exceeds every offset its writer had read before, so this respects
 * causality between processes, which only share the log.
 */
#define BP_TIMELINE_OFFSET_SHIFT 20

typedef struct bp_timeline bp_timeline_t;

typedef struct {
	char *process;
	uint64_t seq;
	int64_t wall_ms;
	uint64_t lamport;
	char *kind;
	char *job; /* this and the next two: "" when none */
	char *vm;
	char *zone;
	char *text;
} bp_event_t;

/* Selects events; NULL and 0 select all. */
typedef struct {
	const char *job;
	const char *vm;
	const char *zone;
	int64_t since_ms;
	int64_t until_ms;
} bp_timeline_filter_t;

bp_timeline_t *bp_timeline_new(
    const bp_clock_t *clock, const char *process, uint32_t capacity);
void bp_timeline_free(bp_timeline_t *timeline);
/* Records that the log record at this offset has been read. */
void bp_timeline_advance_offset(bp_timeline_t *timeline, uint64_t offset);
/* job, vm and zone may be NULL. */
void bp_timeline_add(bp_timeline_t *timeline, const char *kind, const char *job,
    const char *vm, const char *zone, const char *format, ...)
    G_GNUC_PRINTF(6, 7);
uint64_t bp_timeline_dropped(const bp_timeline_t *timeline);

/*
 * Parses filters written as key=value with the keys job, vm, zone, since_ms
 * and until_ms; out refers to the strings of args.
 */
int bp_timeline_filter_parse(bp_timeline_filter_t *out, char *const *args,
    size_t n_args, bp_error_t *err);
bool bp_timeline_filter_matches(
    const bp_timeline_filter_t *filter, const bp_event_t *event);
/* Returns the newest matching events that fit, as JSON, oldest first. */
char *bp_timeline_lines(const bp_timeline_t *timeline,
    const bp_timeline_filter_t *filter, size_t max_bytes);

void bp_event_free(gpointer event);
char *bp_event_json(const bp_event_t *event);
/* Adds the events of JSON lines (bp_event_t, to be freed) to events. */
int bp_timeline_read_lines(
    GPtrArray *events, const char *lines, size_t size_bytes, bp_error_t *err);
/* Sorts events of several processes into one causal order. */
void bp_timeline_merge(GPtrArray *events);

#endif
