#include "bulrushpost/follower.h"

#include "clients/snapshotloader.h"

#define MODULE "follower"
#define LONG_POLL_MS 500
#define READ_RETRY_MS 250
/* Pause between attempts to load a snapshot; each may read megabytes. */
#define SNAPSHOT_RETRY_MS 5000
/* Limit of records per read; 128 records of maximum size are 8 MiB. */
#define READ_MAX_RECORDS 128

/*
 * Minimum interval between the starts of reads at the head. 8 nodes write up
 * to 200 records/s; one read per record would cost more than the records.
 */
#define MIN_READ_INTERVAL_MS 25
#define US_PER_MS 1000

typedef enum {
	PHASE_NEW,
	PHASE_IDLE,
	PHASE_LOADING,
	PHASE_READING,
	PHASE_APPLYING,
	PHASE_THROTTLED,
	PHASE_PAUSED,
	PHASE_STOPPED
} phase_t;

typedef struct {
	bp_state_observer_t observer; /* NULL once removed */
	void *data;
} observer_slot_t;

typedef struct {
	bp_follower_progress_t progress; /* NULL once removed */
	void *data;
} progress_slot_t;

struct bp_follower {
	bp_follower_options_t options;
	bp_state_t *state;
	bp_snapshotloader_t *loader;
	GArray *observers; /* observer_slot_t */
	GArray *progress; /* progress_slot_t */
	bp_follower_status_t status;
	phase_t phase;
	uint32_t read_wait_ms;
	int64_t read_start_us;
	int64_t fresh_us;
	int64_t down_since_ms;
	uint64_t generation;
	bool read_requested;
	bool must_load;
	bool just_loaded; /* no read succeeded since the last load */
	guint retry_source; /* in PHASE_THROTTLED and PHASE_PAUSED */
};

static void load_or_read(bp_follower_t *follower, uint32_t wait_ms);

/* Sets the defaults; the caller must set clock and log. */
int
bp_follower_options_init(bp_follower_options_t *options)
{
	*options = (bp_follower_options_t){
	    .wait_ms = LONG_POLL_MS,
	    .retry_ms = READ_RETRY_MS,
	};
	return BP_OK;
}

static void
on_applied(const bp_applied_t *applied, void *data)
{
	bp_follower_t *follower = data;
	guint i;

	for (i = 0; i < follower->observers->len; i++) {
		observer_slot_t slot =
		    g_array_index(follower->observers, observer_slot_t, i);

		if (slot.observer != NULL)
			slot.observer(applied, slot.data);
	}
}

static void
replace_state(bp_follower_t *follower, bp_state_t *state)
{
	bp_state_free(follower->state);
	follower->state = state;
	follower->generation++;
	bp_state_observe(state, on_applied, follower);
}

static void
notify(bp_follower_t *follower)
{
	guint i;

	for (i = 0; i < follower->progress->len; i++) {
		progress_slot_t slot =
		    g_array_index(follower->progress, progress_slot_t, i);

		if (slot.progress != NULL)
			slot.progress(follower, slot.data);
	}
}

static void
set_status(bp_follower_t *follower, bp_follower_status_t status,
    const char *message, const char *reason)
{
	if (follower->status == status)
		return;
	follower->status = status;
	bp_log(follower->options.logger,
	    status == BP_FOLLOWER_CURRENT ? BP_LOG_NOTICE : BP_LOG_WARNING,
	    MODULE, message, "reason", reason, NULL);
}

static gboolean
on_retry(void *data)
{
	bp_follower_t *follower = data;

	follower->retry_source = 0;
	load_or_read(follower, 0);
	return G_SOURCE_REMOVE;
}

static void
pause_reading(bp_follower_t *follower, uint32_t pause_ms)
{
	follower->phase = PHASE_PAUSED;
	follower->retry_source = g_timeout_add(pause_ms, on_retry, follower);
	notify(follower);
}

static void
read_failed(bp_follower_t *follower, const bp_error_t *err)
{
	if (follower->down_since_ms == 0)
		follower->down_since_ms =
		    bp_clock_wall_ms(follower->options.clock);
	set_status(follower, BP_FOLLOWER_LOG_DOWN, "cannot read the log",
	    err->message);
	pause_reading(follower, follower->options.retry_ms);
}

static void
read_expired(bp_follower_t *follower, const bp_error_t *err)
{
	bool loaded = follower->just_loaded;

	follower->must_load = true;
	follower->just_loaded = false;
	follower->down_since_ms = 0;
	if (!loaded) {
		load_or_read(follower, 0);
		return;
	}
	set_status(follower, BP_FOLLOWER_STATE_UNKNOWN,
	    "no snapshot reaches the oldest retained record", err->message);
	pause_reading(follower, SNAPSHOT_RETRY_MS);
}

static int
apply(bp_follower_t *follower, const bp_log_batch_t *batch, bp_error_t *err)
{
	int rc = BP_OK;
	size_t i;

	follower->phase = PHASE_APPLYING;
	for (i = 0; i < batch->count && rc == BP_OK; i++) {
		const bp_log_record_t *record = &batch->records[i];

		rc = bp_state_apply(follower->state, record->offset,
		    record->bytes, record->size_bytes, err);
	}
	if (rc == BP_OK && batch->count == 0 &&
	    bp_state_next_offset(follower->state) != batch->head_offset)
		rc = bp_error_set(
		    err, BP_EMISMATCH, "no records below the head");
	return rc;
}

static void
stop_at_unknown_version(bp_follower_t *follower, const bp_error_t *err)
{
	set_status(follower, BP_FOLLOWER_VERSION_UNKNOWN,
	    "stopped at a record of an unknown version", err->message);
	follower->phase = PHASE_STOPPED;
	notify(follower);
}

static gboolean
on_paced(void *data)
{
	bp_follower_t *follower = data;

	follower->retry_source = 0;
	load_or_read(follower, follower->options.wait_ms);
	return G_SOURCE_REMOVE;
}

/*
 * Starts the next long poll after the minimum read interval, which
 * bp_follower_read_now cuts short.
 */
static void
throttle_reads(bp_follower_t *follower)
{
	int64_t elapsed_ms = (bp_clock_mono_us(follower->options.clock) -
				 follower->read_start_us) /
	    US_PER_MS;

	if (elapsed_ms >= MIN_READ_INTERVAL_MS) {
		load_or_read(follower, follower->options.wait_ms);
		return;
	}
	follower->phase = PHASE_THROTTLED;
	follower->retry_source = g_timeout_add(
	    (guint)(MIN_READ_INTERVAL_MS - elapsed_ms), on_paced, follower);
}

static void
on_read(const bp_log_batch_t *batch, const bp_error_t *err, void *data)
{
	bp_follower_t *follower = data;
	bp_error_t failure;
	bool at_head;
	int rc;

	if (err != NULL && err->kind == BP_EEXPIRED) {
		read_expired(follower, err);
		return;
	}
	if (err != NULL) {
		read_failed(follower, err);
		return;
	}
	rc = apply(follower, batch, &failure);
	if (rc == BP_EVERSION) {
		stop_at_unknown_version(follower, &failure);
		return;
	}
	if (rc != BP_OK) {
		read_failed(follower, &failure);
		return;
	}
	follower->phase = PHASE_IDLE;
	follower->just_loaded = false;
	at_head = bp_state_next_offset(follower->state) == batch->head_offset;
	if (at_head) {
		follower->fresh_us = follower->read_start_us;
		follower->down_since_ms = 0;
		set_status(follower, BP_FOLLOWER_CURRENT,
		    "caught up with the log", "");
	}
	notify(follower);
	if (at_head && !follower->read_requested)
		throttle_reads(follower);
	else
		load_or_read(follower, 0);
}

static void
start_read(bp_follower_t *follower, uint32_t wait_ms)
{
	follower->phase = PHASE_READING;
	follower->read_requested = false;
	follower->read_wait_ms = wait_ms;
	follower->read_start_us = bp_clock_mono_us(follower->options.clock);
	bp_logclient_read(follower->options.log, BP_STREAM,
	    bp_state_next_offset(follower->state), READ_MAX_RECORDS, wait_ms,
	    on_read, follower);
}

static void
load_or_read(bp_follower_t *follower, uint32_t wait_ms)
{
	if (follower->must_load) {
		follower->phase = PHASE_LOADING;
		bp_snapshotloader_start(follower->loader);
		return;
	}
	start_read(follower, wait_ms);
}

static void
on_loaded(bp_state_t *state, const bp_error_t *err, void *data)
{
	bp_follower_t *follower = data;

	if (err != NULL) {
		read_failed(follower, err);
		return;
	}
	follower->must_load = false;
	follower->just_loaded = true;
	if (state != NULL &&
	    bp_state_next_offset(state) >
		bp_state_next_offset(follower->state)) {
		bp_log(follower->options.logger, BP_LOG_NOTICE, MODULE,
		    "snapshot loaded", NULL);
		replace_state(follower, state);
	} else {
		bp_state_free(state);
	}
	start_read(follower, 0);
}

/*
 * Creates a follower with an empty state, which reads nothing until started.
 * Returns BP_EINVALID without a clock or a log.
 */
int
bp_follower_new(
    bp_follower_t **out, const bp_follower_options_t *options, bp_error_t *err)
{
	bp_follower_t *follower;

	*out = NULL;
	if (options->clock == NULL || options->log == NULL)
		return bp_error_set(
		    err, BP_EINVALID, "the follower needs a clock and a log");
	follower = g_new0(bp_follower_t, 1);
	follower->options = *options;
	follower->observers =
	    g_array_new(FALSE, FALSE, sizeof(observer_slot_t));
	follower->progress = g_array_new(FALSE, FALSE, sizeof(progress_slot_t));
	follower->loader = bp_snapshotloader_new(
	    options->log, options->logger, on_loaded, follower);
	follower->must_load = true;
	replace_state(follower, bp_state_new());
	*out = follower;
	return BP_OK;
}

/*
 * Stops reading and frees the follower and its state; no callback runs
 * afterwards. It must not be called from a callback of the follower.
 */
void
bp_follower_free(bp_follower_t *follower)
{
	if (follower == NULL)
		return;
	bp_snapshotloader_free(follower->loader);
	bp_logclient_cancel(follower->options.log, follower);
	if (follower->retry_source != 0)
		g_source_remove(follower->retry_source);
	bp_state_free(follower->state);
	g_array_unref(follower->observers);
	g_array_unref(follower->progress);
	g_free(follower);
}

/* Loads the newest snapshot and then reads the log. */
void
bp_follower_start(bp_follower_t *follower)
{
	if (follower->phase == PHASE_NEW)
		load_or_read(follower, 0);
}

/* Returns the state, owned by the follower until a snapshot replaces it. */
bp_state_t *
bp_follower_state(const bp_follower_t *follower)
{
	return follower->state;
}

/* Returns a number that changes whenever the state is replaced. */
uint64_t
bp_follower_generation(const bp_follower_t *follower)
{
	return follower->generation;
}

/* Adds an observer of entries, which is kept when the state is replaced. */
void
bp_follower_observe(
    bp_follower_t *follower, bp_state_observer_t observer, void *data)
{
	observer_slot_t slot = {observer, data};

	g_array_append_val(follower->observers, slot);
}

/* Adds a callback for completed reads and changes of status. */
void
bp_follower_on_progress(
    bp_follower_t *follower, bp_follower_progress_t progress, void *data)
{
	progress_slot_t slot = {progress, data};

	g_array_append_val(follower->progress, slot);
}

/* Removes the observers and progress callbacks that were added with data. */
void
bp_follower_remove_observers(bp_follower_t *follower, const void *data)
{
	guint i;

	for (i = 0; i < follower->observers->len; i++) {
		observer_slot_t *slot =
		    &g_array_index(follower->observers, observer_slot_t, i);

		if (slot->data == data)
			slot->observer = NULL;
	}
	for (i = 0; i < follower->progress->len; i++) {
		progress_slot_t *slot =
		    &g_array_index(follower->progress, progress_slot_t, i);

		if (slot->data == data)
			slot->progress = NULL;
	}
}

/* Returns whether the state is up to date, or why it is not. */
bp_follower_status_t
bp_follower_status(const bp_follower_t *follower)
{
	return follower->status;
}

/*
 * Returns the start time (monotonic us) of the latest read that reached the
 * head, or 0 if there was none.
 */
int64_t
bp_follower_synced_us(const bp_follower_t *follower)
{
	return follower->fresh_us;
}

/* Returns the wall time (ms) since which reads fail, or 0 if they succeed. */
int64_t
bp_follower_down_since_ms(const bp_follower_t *follower)
{
	return follower->down_since_ms;
}

/*
 * Requests a read without long polling. It replaces a long poll at once, or
 * follows the read in flight. The pause after a failed read is not shortened,
 * so that callers cannot flood a log that is down.
 */
void
bp_follower_read_now(bp_follower_t *follower)
{
	if (follower->phase == PHASE_THROTTLED) {
		g_source_remove(follower->retry_source);
		follower->retry_source = 0;
		start_read(follower, 0);
	} else if (follower->phase == PHASE_READING &&
	    follower->read_wait_ms > 0) {
		bp_logclient_cancel(follower->options.log, follower);
		start_read(follower, 0);
	} else {
		follower->read_requested = true;
	}
}

static void
resume_after_snapshot(bp_follower_t *follower)
{
	follower->must_load = false;
	follower->just_loaded = false;
	if (follower->phase != PHASE_LOADING &&
	    follower->phase != PHASE_READING)
		return;
	bp_snapshotloader_cancel(follower->loader);
	bp_logclient_cancel(follower->options.log, follower);
	start_read(follower, 0);
}

/*
 * Replaces the state by the snapshot of a peer if that has a higher offset.
 * The new state serves explanations and routing; status and time of the latest
 * read still depend on the log alone. Returns BP_ESTALE if the snapshot is not
 * newer, BP_EVERSION after a record of an unknown version, BP_ESTATE if called
 * from an observer, or the error of loading the snapshot.
 */
int
bp_follower_install_snapshot(bp_follower_t *follower, const uint8_t *snapshot,
    size_t size_bytes, bp_error_t *err)
{
	bp_state_t *state;
	int rc;

	if (follower->phase == PHASE_APPLYING)
		return bp_error_set(
		    err, BP_ESTATE, "records are being applied");
	if (follower->phase == PHASE_STOPPED)
		return bp_error_set(err, BP_EVERSION,
		    "a record of an unknown version was read");
	rc = bp_snapshot_load(&state, snapshot, size_bytes, err);
	if (rc != BP_OK)
		return rc;
	if (bp_state_next_offset(state) <=
	    bp_state_next_offset(follower->state)) {
		bp_state_free(state);
		return bp_error_set(
		    err, BP_ESTALE, "the state of the peer is not newer");
	}
	replace_state(follower, state);
	resume_after_snapshot(follower);
	return BP_OK;
}
