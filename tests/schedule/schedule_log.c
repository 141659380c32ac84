#include "schedule/schedule.h"

#include <stdlib.h>
#include <string.h>

#define READ_GAP_US 60000
#define RETRY_US 200000
#define BATCH_US 40000
#define DELAY_MAX_US 25000
#define SLOW_MAX_US 4000000
#define US_PER_MS 1000

typedef struct {
	GByteArray *bytes;
	bp_append_done_t done;
	void *data;
	int64_t give_up_us;
} pending_t;

typedef struct {
	bp_state_observer_t observer;
	void *data;
} observer_t;

typedef struct {
	bp_follower_progress_t progress;
	void *data;
} progress_t;

static bp_fake_node_t *
follower_node(const bp_follower_t *follower)
{
	return (bp_fake_node_t *)(uintptr_t)follower;
}

static void
free_pending(void *data)
{
	pending_t *pending = data;

	g_byte_array_unref(pending->bytes);
	g_free(pending);
}

static bool
log_reachable(const bp_fake_node_t *node)
{
	int64_t now_us = bp_schedule_now_us(node->schedule);

	return node->schedule->log_down_until_us <= now_us &&
	    node->log_cut_until_us <= now_us;
}

static void
report(pending_t *pending, const bp_applied_t *applied, int kind)
{
	bp_error_t err;

	if (pending->done == NULL)
		return;
	(void)bp_error_set(&err, kind, "entry not read back");
	pending->done(applied, applied == NULL ? &err : NULL, pending->data);
	pending->done = NULL;
}

/* One way to or from the log service; seconds while it is slow. */
static int64_t
log_delay_us(bp_schedule_t *s)
{
	return bp_schedule_random(s,
	    s->log_slow_until_us > bp_schedule_now_us(s) ? SLOW_MAX_US
							 : DELAY_MAX_US);
}

/* Settles own entries as they are applied, then tells the observers. */
static void
on_applied(const bp_applied_t *applied, void *data)
{
	bp_fake_node_t *node = data;
	guint i;

	for (i = 0; i < node->observers->len; i++) {
		observer_t slot = g_array_index(node->observers, observer_t, i);

		slot.observer(applied, slot.data);
	}
	if (applied->incarnation == node->incarnation &&
	    applied->seq == node->flight_seq && node->flight != NULL &&
	    applied->index < node->flight->len)
		report(g_ptr_array_index(node->flight, applied->index), applied,
		    BP_OK);
}

static void
end_flight(bp_fake_node_t *node)
{
	if (node->flight == NULL ||
	    bp_state_seq(node->state, node->incarnation) < node->flight_seq)
		return;
	g_clear_pointer(&node->flight, g_ptr_array_unref);
	g_clear_pointer(&node->record, g_byte_array_unref);
}

static void
tell_progress(bp_fake_node_t *node)
{
	guint i;

	for (i = 0; i < node->progress->len; i++) {
		progress_t slot = g_array_index(node->progress, progress_t, i);

		slot.progress((bp_follower_t *)(void *)node, slot.data);
	}
}

typedef struct {
	int64_t began_us;
	uint64_t head; /* of the log when the service answered; 0 on failure */
	bool failed;
	bp_fake_node_t *node;
	uint64_t incarnation;
} read_t;

static void
on_read_done(bp_schedule_t *s, bp_event_item_t *item)
{
	bp_fake_node_t *node = &s->nodes[item->node];
	read_t *read = item->data;
	uint64_t offset;

	node->reading = false;
	node->status =
	    read->failed ? BP_FOLLOWER_LOG_DOWN : BP_FOLLOWER_CURRENT;
	for (offset = bp_state_next_offset(node->state);
	     !read->failed && offset < read->head; offset++) {
		const GByteArray *record = g_ptr_array_index(s->log, offset);

		(void)bp_state_apply(
		    node->state, offset, record->data, record->len, NULL);
	}
	if (!read->failed)
		node->fresh_us = read->began_us;
	end_flight(node);
	g_free(read);
	tell_progress(node);
	if (node->poked)
		bp_fake_log_read(node);
}

static void
on_read_served(bp_schedule_t *s, bp_event_item_t *item)
{
	read_t *read = item->data;

	read->failed = !log_reachable(read->node);
	read->head = s->log->len;
	bp_schedule_post(s, log_delay_us(s), read->node, read->incarnation,
	    on_read_done, read, g_free);
}

/* Starts a read of the log up to its head. */
void
bp_fake_log_read(bp_fake_node_t *node)
{
	bp_schedule_t *s = node->schedule;
	read_t *read;

	if (node->reading) {
		node->poked = true;
		return;
	}
	node->reading = true;
	node->poked = false;
	read = g_new0(read_t, 1);
	read->began_us = bp_schedule_now_us(s);
	read->node = node;
	read->incarnation = node->incarnation;
	bp_schedule_post(
	    s, log_delay_us(s), NULL, 0, on_read_served, read, g_free);
}

/*
 * Notes the zone changes that take effect, judged without the state machine:
 * a change counts when it was made from the version in force. A repeated
 * record carries an old version.
 */
static void
note_record(bp_schedule_t *s, const GByteArray *bytes)
{
	Bp__Log__Record *record =
	    bp__log__record__unpack(NULL, bytes->len, bytes->data);
	size_t i;

	for (i = 0; i < record->n_entries; i++) {
		const Bp__Log__ZoneChange *change =
		    record->entries[i]->zone_change;

		if (record->entries[i]->body_case !=
			BP__LOG__ENTRY__BODY_ZONE_CHANGE ||
		    change->base_version != s->zone_version)
			continue;
		s->zone_version++;
		s->zone_out_us[0] = change->out ? bp_schedule_now_us(s) : 0;
	}
	bp__log__record__free_unpacked(record, NULL);
}

typedef struct {
	GByteArray *bytes;
	bp_fake_node_t *node;
	uint64_t incarnation;
} append_t;

static void
drop_append(void *data)
{
	append_t *append = data;

	g_byte_array_unref(append->bytes);
	g_free(append);
}

static void
on_append_answer(bp_schedule_t *s, bp_event_item_t *item)
{
	bp_fake_log_read(&s->nodes[item->node]);
	(void)item;
}

static void
on_append_served(bp_schedule_t *s, bp_event_item_t *item)
{
	append_t *append = item->data;
	bp_fake_node_t *node = append->node;
	bool lost =
	    s->options.faults && !s->healed && bp_schedule_random(s, 30) == 0;

	if (!log_reachable(node)) {
		g_byte_array_unref(append->bytes);
	} else {
		g_ptr_array_add(s->log, append->bytes);
		note_record(s, append->bytes);
		if (!lost)
			bp_schedule_post(s, log_delay_us(s), node,
			    append->incarnation, on_append_answer, NULL, NULL);
	}
	g_free(append);
}

static void
send_record(bp_fake_node_t *node)
{
	bp_schedule_t *s = node->schedule;
	append_t *append = g_new0(append_t, 1);
	bool late =
	    s->options.faults && !s->healed && bp_schedule_random(s, 40) == 0;

	append->bytes = g_byte_array_ref(node->record);
	append->node = node;
	append->incarnation = node->incarnation;
	node->last_append_us = bp_schedule_now_us(s);
	/* A late append reaches the log although the node may have ended. */
	bp_schedule_post(s,
	    late ? bp_schedule_random(s, SLOW_MAX_US) : log_delay_us(s), NULL,
	    0, on_append_served, append, drop_append);
}

static void
drop_expired(bp_fake_node_t *node)
{
	guint i = 0;

	while (i < node->entries->len) {
		pending_t *pending = g_ptr_array_index(node->entries, i);

		if (pending->give_up_us > bp_schedule_now_us(node->schedule)) {
			i++;
			continue;
		}
		report(pending, NULL, BP_ELOGDOWN);
		g_ptr_array_remove_index(node->entries, i);
	}
}

static void
build_record(bp_fake_node_t *node)
{
	Bp__Log__Record record = BP__LOG__RECORD__INIT;
	GPtrArray *entries = g_ptr_array_new();
	guint i;

	node->flight = node->entries;
	node->entries = g_ptr_array_new_with_free_func(free_pending);
	for (i = 0; i < node->flight->len; i++) {
		const pending_t *pending = g_ptr_array_index(node->flight, i);

		g_ptr_array_add(entries,
		    bp__log__entry__unpack(
			NULL, pending->bytes->len, pending->bytes->data));
	}
	node->flight_seq = ++node->seq;
	record.version = BP_RECORD_VERSION;
	record.node = node->name;
	record.incarnation = node->incarnation;
	record.seq = node->flight_seq;
	record.time_ms = (uint64_t)bp_clock_wall_ms(node->schedule->clock);
	record.zone = (char *)(node->index % 2 == 0 ? "z1" : "z2");
	record.n_entries = entries->len;
	record.entries = (Bp__Log__Entry **)entries->pdata;
	node->record = g_byte_array_new();
	g_byte_array_set_size(
	    node->record, (guint)bp__log__record__get_packed_size(&record));
	bp__log__record__pack(&record, node->record->data);
	for (i = 0; i < entries->len; i++)
		bp__log__entry__free_unpacked(
		    g_ptr_array_index(entries, i), NULL);
	g_ptr_array_unref(entries);
}

/* The appender's timer: sends, repeats, or shows presence. */
void
bp_fake_log_append(bp_fake_node_t *node)
{
	int64_t silent_us =
	    bp_schedule_now_us(node->schedule) - node->last_append_us;

	drop_expired(node);
	if (node->flight != NULL) {
		if (silent_us > RETRY_US)
			send_record(node);
		return;
	}
	if (node->entries->len == 0 && silent_us < 1000 * US_PER_MS)
		return;
	build_record(node);
	send_record(node);
}

void
bp_fake_log_submit(bp_fake_node_t *node, const Bp__Log__Entry *entry)
{
	(void)bp_appender_add(
	    (bp_appender_t *)(void *)node, entry, 60000, NULL, NULL, NULL);
}

void
bp_fake_log_reset(bp_fake_node_t *node)
{
	g_clear_pointer(&node->flight, g_ptr_array_unref);
	g_clear_pointer(&node->record, g_byte_array_unref);
	g_clear_pointer(&node->entries, g_ptr_array_unref);
	g_clear_pointer(&node->observers, g_array_unref);
	g_clear_pointer(&node->progress, g_array_unref);
	bp_state_free(node->state);
	node->entries = g_ptr_array_new_with_free_func(free_pending);
	node->observers = g_array_new(FALSE, FALSE, sizeof(observer_t));
	node->progress = g_array_new(FALSE, FALSE, sizeof(progress_t));
	node->state = bp_state_new();
	bp_state_observe(node->state, on_applied, node);
	node->status = BP_FOLLOWER_STARTING;
	node->fresh_us = 0;
	node->reading = false;
	node->poked = false;
	node->seq = 0;
}

int
bp_appender_add(bp_appender_t *appender, const Bp__Log__Entry *entry,
    uint32_t give_up_ms, bp_append_done_t done, void *data, bp_error_t *err)
{
	bp_fake_node_t *node = (bp_fake_node_t *)(void *)appender;
	pending_t *pending = g_new0(pending_t, 1);

	(void)err;
	pending->bytes = g_byte_array_new();
	g_byte_array_set_size(
	    pending->bytes, (guint)bp__log__entry__get_packed_size(entry));
	bp__log__entry__pack(entry, pending->bytes->data);
	pending->done = done;
	pending->data = data;
	pending->give_up_us = bp_schedule_now_us(node->schedule) +
	    (int64_t)give_up_ms * US_PER_MS;
	g_ptr_array_add(node->entries, pending);
	return BP_OK;
}

bp_state_t *
bp_follower_state(const bp_follower_t *follower)
{
	return follower_node(follower)->state;
}

void
bp_follower_observe(
    bp_follower_t *follower, bp_state_observer_t observer, void *data)
{
	observer_t slot = {observer, data};

	g_array_append_val(follower_node(follower)->observers, slot);
}

void
bp_follower_on_progress(
    bp_follower_t *follower, bp_follower_progress_t progress, void *data)
{
	progress_t slot = {progress, data};

	g_array_append_val(follower_node(follower)->progress, slot);
}

void
bp_follower_remove_observers(bp_follower_t *follower, const void *data)
{
	(void)data;
	g_array_set_size(follower_node(follower)->observers, 0);
	g_array_set_size(follower_node(follower)->progress, 0);
}

bp_follower_status_t
bp_follower_status(const bp_follower_t *follower)
{
	return follower_node(follower)->status;
}

int64_t
bp_follower_synced_us(const bp_follower_t *follower)
{
	return follower_node(follower)->fresh_us;
}

void
bp_follower_read_now(bp_follower_t *follower)
{
	bp_fake_log_read(follower_node(follower));
}
