#include "bulrushpost/admission.h"

#include <malloc.h>
#include <stdio.h>
#include <string.h>

#define MODULE "limits"
#define MIB ((uint64_t)1024 * 1024)
/* A quarter of the machine's memory is for callers; the rest is for jobs,
 * executors and what the store sends. */
#define MEMORY_PARTS 4
/* Of the account, the part that the control address has for itself. */
#define CONTROL_PARTS 4
/* The callers' addresses have a quarter of the descriptors. The rest is for
 * files, the store, other nodes and executors. */
#define CALLERS_PARTS 4
/* More than are accepted before the first of them is read from. */
#define READY_CONNECTIONS 64
#define METRICS_CONNECTIONS 32
#define CONTROL_CONNECTIONS 256
#define SMALL_PARTS 16
#define CONTROL_DESCRIPTOR_PARTS 8
/* See docs/settings.md: the documented limits of callers, and for bodies and
 * answers the time in which a link of 10 Mbit/s carries several of them. */
#define IDLE_MS 15000
#define HEAD_MS 3000
#define BODY_MS 15000
#define ANSWER_MS 15000
#define CHECK_MS 500
/* A caller that keeps to the time of idle connections may send at its end; the
 * request takes a while to arrive. */
#define IDLE_MARGIN_MS 250
/* A process that was paused does not count the pause as its callers' delay. */
#define CHECK_ELAPSED_MAX_MS (2 * CHECK_MS)
/* libsoup keeps about 9 KB for a connection (measured: 640 cost 6 MB). */
#define CONNECTION_BYTES 12288
/* Memory is given back to the system once so much less is used. */
#define TRIM_BYTES (8 * MIB)
/* At most one line a second for each reason. */
#define LOG_INTERVAL_MS 1000

static const char *const address_names[] = {
    "callers", "ready", "metrics", "control"};
static const char *const age_reasons[] = {"idle too long", "head too slow",
    "body too slow", "served too slowly", "answer not read"};

struct bp_admitted {
	bp_admission_t *admission;
	GList link; /* in the queue of its phase; data is this */
	bp_admission_address_t address;
	bp_admitted_phase_t phase;
	bp_admitted_close_t close;
	bp_admitted_unread_t unread; /* or NULL */
	void *data;
	uint64_t bytes;
	int64_t since_ms; /* of served time */
	bool closing; /* is in no queue and counts for nothing */
};

struct bp_admission {
	bp_admission_options_t options;
	GQueue phases[BP_ADMISSION_ADDRESSES][BP_ADMITTED_PHASES]; /* oldest
								      first */
	uint32_t connections[BP_ADMISSION_ADDRESSES];
	uint64_t bytes;
	uint64_t peak_bytes; /* since memory was last given back */
	bool trim_due; /* at the next check */
	int64_t served_ms; /* time, without that for which this was paused */
	int64_t checked_ms; /* mono */
	GHashTable *logged_ms; /* reason to mono ms + 1 of its last line */
	guint timer;
};

/* See the header. */
void
bp_admission_options_init(
    bp_admission_options_t *options, uint64_t memory_mib, uint32_t descriptors)
{
	size_t i;

	memset(options, 0, sizeof(*options));
	options->clock = bp_clock_system();
	options->bytes_max = memory_mib * MIB / MEMORY_PARTS;
	options->connections_max[BP_ADMISSION_CALLERS] =
	    descriptors / CALLERS_PARTS;
	options->connections_max[BP_ADMISSION_READY] =
	    MIN(descriptors / SMALL_PARTS, READY_CONNECTIONS);
	options->connections_max[BP_ADMISSION_METRICS] =
	    MIN(descriptors / SMALL_PARTS, METRICS_CONNECTIONS);
	options->connections_max[BP_ADMISSION_CONTROL] =
	    MIN(descriptors / CONTROL_DESCRIPTOR_PARTS, CONTROL_CONNECTIONS);
	for (i = 0; i < BP_ADMISSION_ADDRESSES; i++) {
		options->age_max_ms[i][BP_ADMITTED_IDLE] = IDLE_MS;
		options->age_max_ms[i][BP_ADMITTED_HEAD] = HEAD_MS;
		options->age_max_ms[i][BP_ADMITTED_BODY] = BODY_MS;
		options->age_max_ms[i][BP_ADMITTED_ANSWER] = ANSWER_MS;
	}
	/* Other nodes keep their connections; the link closes idle ones. */
	options->age_max_ms[BP_ADMISSION_CONTROL][BP_ADMITTED_IDLE] = 0;
}

static gboolean
on_check(gpointer data)
{
	bp_admission_check(data);
	return G_SOURCE_CONTINUE;
}

static void
collect(bp_metrics_t *metrics, void *data)
{
	const bp_admission_t *admission = data;
	size_t i;

	bp_metric_set(bp_metrics_gauge(metrics, "bp_caller_bytes", NULL),
	    (double)admission->bytes);
	for (i = 0; i < BP_ADMISSION_ADDRESSES; i++)
		bp_metric_set(bp_metrics_gauge(metrics, "bp_caller_connections",
				  "address", address_names[i], NULL),
		    admission->connections[i]);
}

/* The metrics, if any, outlive the admission's last exposition. */
bp_admission_t *
bp_admission_new(const bp_admission_options_t *options)
{
	bp_admission_t *admission = g_new0(bp_admission_t, 1);

	admission->options = *options;
	admission->checked_ms = bp_clock_mono_ms(options->clock);
	admission->logged_ms = g_hash_table_new(g_str_hash, g_str_equal);
	if (!options->manual)
		admission->timer = bp_clock_add_timer(
		    options->clock, CHECK_MS, on_check, admission);
	if (options->metrics != NULL)
		bp_metrics_on_collect(options->metrics, collect, admission);
	return admission;
}

/* See the header. */
void
bp_admission_free(bp_admission_t *admission)
{
	if (admission == NULL)
		return;
	bp_clock_cancel_timer(admission->options.clock, &admission->timer);
	g_hash_table_unref(admission->logged_ms);
	g_free(admission);
}

/* See the header. */
void
bp_admission_set_caller_ages(
    bp_admission_t *admission, uint32_t idle_ms, uint32_t head_ms)
{
	uint32_t *ages_ms = admission->options.age_max_ms[BP_ADMISSION_CALLERS];

	ages_ms[BP_ADMITTED_IDLE] = idle_ms > 0 ? idle_ms : IDLE_MS;
	ages_ms[BP_ADMITTED_HEAD] = head_ms > 0 ? head_ms : HEAD_MS;
}

/* See the header. */
uint64_t
bp_admission_bytes(const bp_admission_t *admission)
{
	return admission->bytes;
}

/* See the header. */
uint32_t
bp_admission_connections(
    const bp_admission_t *admission, bp_admission_address_t address)
{
	return admission->connections[address];
}

/* Counts an event and logs it, seldom. reason is static. */
static void
report(bp_admission_t *admission, bp_admission_address_t address,
    const char *reason)
{
	int64_t now_ms = bp_clock_mono_ms(admission->options.clock);
	gpointer logged = g_hash_table_lookup(admission->logged_ms, reason);

	if (admission->options.metrics != NULL)
		bp_metric_add(
		    bp_metrics_counter(admission->options.metrics,
			"bp_caller_limits", "address", address_names[address],
			"reason", reason, NULL),
		    1);
	if (logged != NULL &&
	    now_ms - ((int64_t)GPOINTER_TO_SIZE(logged) - 1) < LOG_INTERVAL_MS)
		return;
	g_hash_table_insert(admission->logged_ms, (gpointer)reason,
	    GSIZE_TO_POINTER((gsize)now_ms + 1));
	bp_log(admission->options.logger, BP_LOG_NOTICE, MODULE,
	    "caller's connection refused or closed", "address",
	    address_names[address], "reason", reason, NULL);
}

/* The time since the last check counts up to the same bound as there. */
static int64_t
served_ms_now(const bp_admission_t *admission)
{
	int64_t elapsed_ms =
	    bp_clock_mono_ms(admission->options.clock) - admission->checked_ms;

	return admission->served_ms + MIN(elapsed_ms, CHECK_ELAPSED_MAX_MS);
}

static GQueue *
queue_of(bp_admitted_t *admitted)
{
	return &admitted->admission->phases[admitted->address][admitted->phase];
}

/* Takes the connection out of all counts. */
static void
uncount(bp_admitted_t *admitted)
{
	bp_admission_t *admission = admitted->admission;

	g_queue_unlink(queue_of(admitted), &admitted->link);
	admission->connections[admitted->address]--;
	admission->bytes -= admitted->bytes;
	admitted->bytes = 0;
	admitted->closing = true;
}

static void
shut(bp_admitted_t *admitted, const char *reason)
{
	report(admitted->admission, admitted->address, reason);
	uncount(admitted);
	admitted->close(admitted->data);
}

/* Returns the oldest of a phase at an address, but not this one. */
static bp_admitted_t *
oldest_of(bp_admission_t *admission, bp_admission_address_t address,
    bp_admitted_phase_t phase, const bp_admitted_t *except)
{
	GList *link = admission->phases[address][phase].head;

	if (link != NULL && link->data == except)
		link = link->next;
	return link != NULL ? link->data : NULL;
}

static bp_admitted_t *
older(bp_admitted_t *a, bp_admitted_t *b)
{
	if (a == NULL || b == NULL)
		return a != NULL ? a : b;
	return b->since_ms < a->since_ms ? b : a;
}

/* Returns the unfinished one that began first, of an address. */
static bp_admitted_t *
slowest(bp_admission_t *admission, bp_admission_address_t address,
    const bp_admitted_t *except)
{
	bp_admitted_t *found =
	    oldest_of(admission, address, BP_ADMITTED_HEAD, except);

	found = older(
	    found, oldest_of(admission, address, BP_ADMITTED_BODY, except));
	return older(
	    found, oldest_of(admission, address, BP_ADMITTED_ANSWER, except));
}

/*
 * Returns the connection of an address that is idle longest, NULL for none. One
 * whose socket holds bytes sends a request: its time for a head begins.
 */
static bp_admitted_t *
longest_idle(bp_admission_t *admission, bp_admission_address_t address)
{
	bp_admitted_t *idle =
	    oldest_of(admission, address, BP_ADMITTED_IDLE, NULL);

	while (
	    idle != NULL && idle->unread != NULL && idle->unread(idle->data)) {
		bp_admitted_set_phase(idle, BP_ADMITTED_HEAD);
		idle = oldest_of(admission, address, BP_ADMITTED_IDLE, NULL);
	}
	return idle;
}

/* See the header. */
bp_admitted_t *
bp_admission_enter(bp_admission_t *admission, bp_admission_address_t address,
    bp_admitted_close_t close, void *data)
{
	bp_admitted_t *admitted;
	bp_admitted_t *victim;

	if (admission->connections[address] >=
	    admission->options.connections_max[address]) {
		victim = longest_idle(admission, address);
		if (victim == NULL)
			victim = slowest(admission, address, NULL);
		if (victim == NULL) {
			report(admission, address, "connection limit");
			return NULL;
		}
		shut(victim, "connection limit");
	}
	admitted = g_new0(bp_admitted_t, 1);
	admitted->admission = admission;
	admitted->address = address;
	admitted->close = close;
	admitted->data = data;
	admitted->link.data = admitted;
	admitted->since_ms = served_ms_now(admission);
	admission->connections[address]++;
	g_queue_push_tail_link(queue_of(admitted), &admitted->link);
	if (!bp_admitted_set_bytes(admitted, 0)) {
		bp_admitted_leave(admitted);
		return NULL;
	}
	return admitted;
}

/* See the header. */
void
bp_admitted_set_unread(bp_admitted_t *admitted, bp_admitted_unread_t unread)
{
	if (admitted != NULL)
		admitted->unread = unread;
}

/* See the header. */
void
bp_admitted_leave(bp_admitted_t *admitted)
{
	if (admitted == NULL)
		return;
	if (!admitted->closing)
		uncount(admitted);
	g_free(admitted);
}

/* See the header. */
void
bp_admitted_set_phase(bp_admitted_t *admitted, bp_admitted_phase_t phase)
{
	if (admitted == NULL || admitted->closing ||
	    (admitted->phase == phase && phase != BP_ADMITTED_IDLE &&
		admitted->address != BP_ADMISSION_CONTROL))
		return;
	g_queue_unlink(queue_of(admitted), &admitted->link);
	admitted->phase = phase;
	admitted->since_ms = served_ms_now(admitted->admission);
	g_queue_push_tail_link(queue_of(admitted), &admitted->link);
}

/* See the header. */
bool
bp_admitted_closing(const bp_admitted_t *admitted)
{
	return admitted != NULL && admitted->closing;
}

/* See the header. */
bp_admitted_phase_t
bp_admitted_phase(const bp_admitted_t *admitted)
{
	return admitted != NULL ? admitted->phase : BP_ADMITTED_IDLE;
}

/* Returns the unfinished connection that began first, of all addresses. */
static bp_admitted_t *
slowest_of_all(bp_admission_t *admission, const bp_admitted_t *except)
{
	bp_admitted_t *found = NULL;
	size_t i;

	for (i = 0; i < BP_ADMISSION_ADDRESSES; i++)
		found = older(found,
		    slowest(admission, (bp_admission_address_t)i, except));
	return found;
}

static uint64_t
bytes_max(const bp_admitted_t *admitted)
{
	uint64_t all = admitted->admission->options.bytes_max;

	return admitted->address == BP_ADMISSION_CONTROL
	    ? all
	    : all - all / CONTROL_PARTS;
}

/* See the header. */
bool
bp_admitted_set_bytes(bp_admitted_t *admitted, uint64_t bytes)
{
	bp_admission_t *admission;
	bp_admitted_t *victim;

	if (admitted == NULL)
		return true;
	if (admitted->closing)
		return false;
	admission = admitted->admission;
	bytes += CONNECTION_BYTES;
	while (bytes > admitted->bytes &&
	    admission->bytes - admitted->bytes + bytes > bytes_max(admitted)) {
		victim = slowest_of_all(admission, admitted);
		if (victim == NULL) {
			report(admission, admitted->address, "memory limit");
			return false;
		}
		shut(victim, "memory limit");
	}
	admission->bytes = admission->bytes - admitted->bytes + bytes;
	admission->peak_bytes = MAX(admission->peak_bytes, admission->bytes);
	admitted->bytes = bytes;
	return true;
}

/* Returns what was set last. */
uint64_t
bp_admitted_bytes(const bp_admitted_t *admitted)
{
	return admitted != NULL && admitted->bytes > CONNECTION_BYTES
	    ? admitted->bytes - CONNECTION_BYTES
	    : 0;
}

/* See the header. */
void
bp_admitted_refused(bp_admitted_t *admitted, const char *reason)
{
	if (admitted != NULL)
		report(admitted->admission, admitted->address, reason);
}

static bool
is_aged(const bp_admission_t *admission, const bp_admitted_t *admitted,
    uint32_t age_ms)
{
	return admitted != NULL &&
	    admission->served_ms - admitted->since_ms > (int64_t)age_ms;
}

static void
shut_aged(bp_admission_t *admission, bp_admission_address_t address,
    bp_admitted_phase_t phase)
{
	uint32_t age_ms = admission->options.age_max_ms[address][phase];
	bp_admitted_t *oldest = oldest_of(admission, address, phase, NULL);

	if (age_ms == 0)
		return;
	if (phase == BP_ADMITTED_IDLE)
		age_ms += IDLE_MARGIN_MS;
	while (is_aged(admission, oldest, age_ms)) {
		/* Only one that would be closed is asked for unread bytes. */
		if (phase == BP_ADMITTED_IDLE)
			oldest = longest_idle(admission, address);
		if (!is_aged(admission, oldest, age_ms))
			return;
		shut(oldest, age_reasons[phase]);
		oldest = oldest_of(admission, address, phase, NULL);
	}
}

/*
 * The system gets the memory of a burst back, which malloc would keep; once
 * more at the next check, as some of it is freed only after the closing.
 */
static void
trim(bp_admission_t *admission)
{
	bool due = admission->peak_bytes - admission->bytes >= TRIM_BYTES;

	if (due || admission->trim_due)
		(void)malloc_trim(0);
	if (due)
		admission->peak_bytes = admission->bytes;
	admission->trim_due = due;
}

/* See the header. */
void
bp_admission_check(bp_admission_t *admission)
{
	int64_t now_ms = bp_clock_mono_ms(admission->options.clock);
	size_t i;
	size_t k;

	admission->served_ms +=
	    MIN(now_ms - admission->checked_ms, CHECK_ELAPSED_MAX_MS);
	admission->checked_ms = now_ms;
	for (i = 0; i < BP_ADMISSION_ADDRESSES; i++) {
		for (k = 0; k < BP_ADMITTED_PHASES; k++)
			shut_aged(admission, (bp_admission_address_t)i,
			    (bp_admitted_phase_t)k);
	}
	trim(admission);
}
