#include "bulrushpost/timeline.h"

#include <stdarg.h>
#include <string.h>

struct bp_timeline {
	const bp_clock_t *clock;
	char *process;
	bp_event_t **ring;
	uint32_t capacity;
	uint64_t count; /* events added so far; the next one goes to
			   count % capacity */
	uint64_t lamport;
};

/* Frees an event; for use as a GDestroyNotify. NULL is allowed. */
void
bp_event_free(gpointer event)
{
	bp_event_t *self = event;

	if (self == NULL)
		return;
	g_free(self->process);
	g_free(self->kind);
	g_free(self->job);
	g_free(self->vm);
	g_free(self->zone);
	g_free(self->text);
	g_free(self);
}

/* Creates an empty timeline that keeps the newest capacity events. */
bp_timeline_t *
bp_timeline_new(const bp_clock_t *clock, const char *process, uint32_t capacity)
{
	bp_timeline_t *timeline = g_new0(bp_timeline_t, 1);

	timeline->clock = clock;
	timeline->process = g_strdup(process);
	timeline->capacity = MAX(capacity, 1U);
	timeline->ring = g_new0(bp_event_t *, timeline->capacity);
	return timeline;
}

/* Frees a timeline. NULL is allowed. */
void
bp_timeline_free(bp_timeline_t *timeline)
{
	uint32_t i;

	if (timeline == NULL)
		return;
	for (i = 0; i < timeline->capacity; i++)
		bp_event_free(timeline->ring[i]);
	g_free(timeline->ring);
	g_free(timeline->process);
	g_free(timeline);
}

/* Advances the Lamport time to that of a log record; never decreases it. */
void
bp_timeline_advance_offset(bp_timeline_t *timeline, uint64_t offset)
{
	uint64_t at = (offset + 1) << BP_TIMELINE_OFFSET_SHIFT;

	timeline->lamport = MAX(timeline->lamport, at);
}

static char *
copy_or_empty(const char *text)
{
	return g_strdup(text != NULL ? text : "");
}

/* Adds an event; the oldest one is dropped when the ring is full. */
void
bp_timeline_add(bp_timeline_t *timeline, const char *kind, const char *job,
    const char *vm, const char *zone, const char *format, ...)
{
	bp_event_t *event = g_new0(bp_event_t, 1);
	uint64_t slot = timeline->count % timeline->capacity;
	va_list args;

	event->process = g_strdup(timeline->process);
	event->seq = ++timeline->count;
	event->wall_ms = bp_clock_wall_ms(timeline->clock);
	event->lamport = ++timeline->lamport;
	event->kind = g_strdup(kind);
	event->job = copy_or_empty(job);
	event->vm = copy_or_empty(vm);
	event->zone = copy_or_empty(zone);
	va_start(args, format);
	event->text = g_strdup_vprintf(format, args);
	va_end(args);
	bp_event_free(timeline->ring[slot]);
	timeline->ring[slot] = event;
}

/* Returns the number of events dropped from the ring. */
uint64_t
bp_timeline_dropped(const bp_timeline_t *timeline)
{
	return timeline->count > timeline->capacity
	    ? timeline->count - timeline->capacity
	    : 0;
}

static int
read_time(const char *arg, const char *value, int64_t *out, bp_error_t *err)
{
	guint64 parsed = 0;

	if (!g_ascii_string_to_unsigned(
		value, 10, 0, G_MAXINT64, &parsed, NULL))
		return bp_error_set(err, BP_EINVALID,
		    "%.80s: a time in milliseconds since 1970", arg);
	*out = (int64_t)parsed;
	return BP_OK;
}

/* See the header. Returns BP_EINVALID for anything else. */
int
bp_timeline_filter_parse(bp_timeline_filter_t *out, char *const *args,
    size_t n_args, bp_error_t *err)
{
	size_t i;
	int rc = BP_OK;

	memset(out, 0, sizeof(*out));
	for (i = 0; i < n_args && rc == BP_OK; i++) {
		const char *arg = args[i];

		if (g_str_has_prefix(arg, "job="))
			out->job = arg + strlen("job=");
		else if (g_str_has_prefix(arg, "vm="))
			out->vm = arg + strlen("vm=");
		else if (g_str_has_prefix(arg, "zone="))
			out->zone = arg + strlen("zone=");
		else if (g_str_has_prefix(arg, "since_ms="))
			rc = read_time(arg, arg + strlen("since_ms="),
			    &out->since_ms, err);
		else if (g_str_has_prefix(arg, "until_ms="))
			rc = read_time(arg, arg + strlen("until_ms="),
			    &out->until_ms, err);
		else
			rc = bp_error_set(err, BP_EINVALID,
			    "%.80s: a filter is job=, vm=, zone=, since_ms= "
			    "or until_ms=",
			    arg);
	}
	return rc;
}

/* Returns whether an event matches all fields of the filter. */
bool
bp_timeline_filter_matches(
    const bp_timeline_filter_t *filter, const bp_event_t *event)
{
	if (filter->job != NULL && strcmp(filter->job, event->job) != 0)
		return false;
	if (filter->vm != NULL && strcmp(filter->vm, event->vm) != 0)
		return false;
	if (filter->zone != NULL && strcmp(filter->zone, event->zone) != 0)
		return false;
	if (filter->since_ms != 0 && event->wall_ms < filter->since_ms)
		return false;
	return filter->until_ms == 0 || event->wall_ms <= filter->until_ms;
}

/* See the header. Each line ends in a newline. Free with g_free. */
char *
bp_timeline_lines(const bp_timeline_t *timeline,
    const bp_timeline_filter_t *filter, size_t max_bytes)
{
	uint64_t first = bp_timeline_dropped(timeline);
	GPtrArray *lines = g_ptr_array_new_with_free_func(g_free);
	GString *text = g_string_new(NULL);
	size_t total = 0;
	uint64_t i;
	guint j;

	for (i = timeline->count; i > first; i--) {
		const bp_event_t *event =
		    timeline->ring[(i - 1) % timeline->capacity];
		char *line;

		if (!bp_timeline_filter_matches(filter, event))
			continue;
		line = bp_event_json(event);
		total += strlen(line) + 1;
		if (total > max_bytes) {
			g_free(line);
			break;
		}
		g_ptr_array_add(lines, line);
	}
	for (j = lines->len; j > 0; j--) {
		g_string_append(text, g_ptr_array_index(lines, j - 1));
		g_string_append_c(text, '\n');
	}
	g_ptr_array_unref(lines);
	return g_string_free(text, FALSE);
}
