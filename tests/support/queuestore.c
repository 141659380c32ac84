#include "support/queuestore.h"
#include "support/queuegroup.h"

#include <string.h>

/* As the platform's store: of one append. */
#define APPEND_BYTES_MAX (2 * 1024 * 1024)
#define RECORD_BYTES_MAX (256 * 1024)
#define DELAY_MS 4
#define NO_ANSWER_MS 1500
#define FROZEN_STEP_MS 20
#define PAGE 500

typedef struct {
	GHashTable *newest; /* key to bp_store_record_t */
	GPtrArray *log; /* bp_store_record_t, all; the index is the offset */
	uint64_t end;
	uint64_t epoch;
	uint64_t sequence; /* of the last append of this epoch */
	bool written; /* by this epoch */
	uint64_t last_end; /* end after the last append */
} part_t;

struct bp_qstore {
	bp_clock_virtual_t *clock;
	bp_random_t *random;
	uint32_t n_parts;
	part_t *parts;
	bp_qgroup_t *group;
	uint32_t delay_ms;
	const char *rejected; /* part of a key; NULL for none */
	uint32_t lost_percent;
	bool lost_late;
	uint32_t group_lost_percent;
	uint64_t appends;
	uint64_t listings;
	uint64_t owner_reads;
	GPtrArray *views;
};

struct bp_qstore_view {
	bp_store_t interface;
	bp_qstore_t *store;
	bp_qstore_mode_t mode;
	bool frozen;
	GHashTable *calls; /* call_t */
};

typedef enum { APPEND, NEWEST, READ, JOIN, LEAVE, OWNERS } kind_t;

typedef struct {
	bp_qstore_view_t *view;
	kind_t kind;
	uint32_t partition;
	uint64_t epoch;
	uint64_t sequence;
	bool conditional;
	uint64_t end_offset;
	uint64_t generation;
	uint32_t ttl_ms;
	char *text; /* key to continue after, or the member */
	GPtrArray *records;
	GArray *assignments;
	bp_store_result_t result;
	bp_store_done_t done;
	void *data;
	bool forgotten;
} call_t;

static const bp_clock_t *
clock_of(const bp_qstore_t *store)
{
	return bp_clock_virtual_clock(store->clock);
}

static void
assignment_clear(gpointer data)
{
	g_free(((bp_store_assignment_t *)data)->member);
}

static void
call_free(call_t *call)
{
	g_hash_table_remove(call->view->calls, call);
	if (call->records != NULL)
		g_ptr_array_unref(call->records);
	if (call->assignments != NULL)
		g_array_unref(call->assignments);
	g_free(call->text);
	g_free(call);
}

static bp_store_record_t *
copy_record(const bp_store_record_t *record)
{
	bp_store_record_t *copy = g_new0(bp_store_record_t, 1);

	copy->key = g_strdup(record->key);
	copy->offset = record->offset;
	if (record->value != NULL)
		copy->value = g_bytes_ref(record->value);
	return copy;
}

/* The order of checks is that of the platform's pages: fence, then repeat. */
static gsize
size_of(const GPtrArray *records)
{
	gsize bytes = 0;
	guint i;

	for (i = 0; i < records->len; i++) {
		const bp_store_record_t *record = records->pdata[i];

		bytes += strlen(record->key);
		if (record->value != NULL)
			bytes += g_bytes_get_size(record->value);
	}
	return bytes;
}

/* A record that is too large, or of the rejected key, is never taken. */
static bool
is_rejected(const call_t *call)
{
	const char *rejected = call->view->store->rejected;
	guint i;

	for (i = 0; i < call->records->len; i++) {
		const bp_store_record_t *record = call->records->pdata[i];

		if (record->value != NULL &&
		    (g_bytes_get_size(record->value) + strlen(record->key) >=
			    RECORD_BYTES_MAX ||
			(rejected != NULL &&
			    strstr(record->key, rejected) != NULL)))
			return true;
	}
	return false;
}

static void
apply_append(call_t *call)
{
	part_t *part = &call->view->store->parts[call->partition];
	guint i;

	if (is_rejected(call)) {
		call->result.outcome = BP_STORE_REJECTED;
		return;
	}
	if (size_of(call->records) > APPEND_BYTES_MAX) {
		call->result.outcome = BP_STORE_REFUSED;
		return;
	}
	if (call->epoch < part->epoch) {
		call->result.outcome = BP_STORE_FENCED;
		return;
	}
	if (call->epoch == part->epoch && part->written) {
		if (call->sequence == part->sequence) {
			call->result.outcome = BP_STORE_OK;
			call->result.end_offset = part->last_end;
			return;
		}
		if (call->sequence != part->sequence + 1) {
			call->result.outcome = BP_STORE_BAD_SEQUENCE;
			return;
		}
	}
	if (call->conditional && call->end_offset != part->end) {
		call->result.outcome = BP_STORE_CONFLICT;
		call->result.end_offset = part->end;
		return;
	}
	for (i = 0; i < call->records->len; i++) {
		bp_store_record_t *copy = copy_record(call->records->pdata[i]);

		copy->offset = part->end++;
		g_ptr_array_add(part->log, copy_record(copy));
		if (copy->value == NULL) {
			g_hash_table_remove(part->newest, copy->key);
			bp_store_record_free(copy);
		} else {
			g_hash_table_replace(part->newest, copy->key, copy);
		}
	}
	part->epoch = call->epoch;
	part->sequence = call->sequence;
	part->written = true;
	part->last_end = part->end;
	call->result.outcome = BP_STORE_OK;
	call->result.end_offset = part->end;
}

static gint
compare_keys(gconstpointer a, gconstpointer b)
{
	return strcmp(*(const char *const *)a, *(const char *const *)b);
}

static GPtrArray *
sorted_keys(GHashTable *table)
{
	GPtrArray *keys = g_ptr_array_new();
	GHashTableIter iter;
	gpointer key;

	g_hash_table_iter_init(&iter, table);
	while (g_hash_table_iter_next(&iter, &key, NULL))
		g_ptr_array_add(keys, key);
	g_ptr_array_sort(keys, compare_keys);
	return keys;
}

static void
apply_newest(call_t *call)
{
	part_t *part = &call->view->store->parts[call->partition];
	GPtrArray *keys = sorted_keys(part->newest);
	guint i;

	call->records = g_ptr_array_new_with_free_func(bp_store_record_free);
	for (i = 0; i < keys->len; i++) {
		const char *key = keys->pdata[i];

		if (call->text != NULL && strcmp(key, call->text) <= 0)
			continue;
		if (call->records->len == PAGE) {
			call->result.more = true;
			break;
		}
		g_ptr_array_add(call->records,
		    copy_record(g_hash_table_lookup(part->newest, key)));
	}
	g_ptr_array_unref(keys);
	call->result.outcome = BP_STORE_OK;
	call->result.end_offset = part->end;
}

static void
apply_read(call_t *call)
{
	part_t *part = &call->view->store->parts[call->partition];
	uint64_t at = call->end_offset;

	call->records = g_ptr_array_new_with_free_func(bp_store_record_free);
	while (at < part->end && call->records->len < PAGE)
		g_ptr_array_add(
		    call->records, copy_record(part->log->pdata[at++]));
	call->result.outcome = BP_STORE_OK;
	call->result.end_offset = at;
}

static void
add_assignment(call_t *call, uint32_t partition, const char *member)
{
	bp_store_assignment_t assignment = {partition, g_strdup(member)};

	g_array_append_val(call->assignments, assignment);
}

static void
new_assignments(call_t *call)
{
	call->assignments =
	    g_array_new(FALSE, TRUE, sizeof(bp_store_assignment_t));
	g_array_set_clear_func(call->assignments, assignment_clear);
}

static void
apply_join(call_t *call)
{
	bp_qstore_t *store = call->view->store;
	uint32_t i;

	call->result.generation = bp_qgroup_join(
	    store->group, call->text, call->ttl_ms, call->generation);
	new_assignments(call);
	for (i = 0; i < store->n_parts; i++) {
		if (bp_qgroup_listed(store->group, i, call->text))
			add_assignment(call, i, NULL);
	}
	call->result.outcome = BP_STORE_OK;
}

static void
apply_owners(call_t *call)
{
	bp_qstore_t *store = call->view->store;
	uint32_t i;

	new_assignments(call);
	for (i = 0; i < store->n_parts; i++) {
		const char *holder = bp_qgroup_holder(store->group, i);

		if (holder != NULL)
			add_assignment(call, i, holder);
	}
	call->result.outcome = BP_STORE_OK;
}

static void
apply(call_t *call)
{
	switch (call->kind) {
	case APPEND:
		apply_append(call);
		break;
	case NEWEST:
		apply_newest(call);
		break;
	case READ:
		apply_read(call);
		break;
	case JOIN:
		apply_join(call);
		break;
	case LEAVE:
		bp_qgroup_leave(call->view->store->group, call->text);
		call->result.outcome = BP_STORE_OK;
		break;
	case OWNERS:
		apply_owners(call);
		break;
	}
}

static gboolean
on_answer(gpointer data)
{
	call_t *call = data;

	if (call->view->frozen && !call->forgotten) {
		bp_clock_add_timer(clock_of(call->view->store), FROZEN_STEP_MS,
		    on_answer, call);
		return G_SOURCE_REMOVE;
	}
	call->result.records =
	    call->kind == NEWEST || call->kind == READ ? call->records : NULL;
	call->result.assignments = call->assignments;
	if (!call->forgotten)
		call->done(&call->result, call->data);
	call_free(call);
	return G_SOURCE_REMOVE;
}

static gboolean
on_late(gpointer data)
{
	call_t *call = data;

	apply(call);
	call_free(call);
	return G_SOURCE_REMOVE;
}

static gboolean
on_silence(gpointer data)
{
	call_t *call = data;

	call->result.outcome = BP_STORE_UNKNOWN;
	return on_answer(call);
}

/* The call takes effect later, when the caller has given it up. */
static void
lose_late(const call_t *call)
{
	bp_qstore_t *store = call->view->store;
	call_t *late = g_new0(call_t, 1);

	*late = *call;
	late->records =
	    call->records != NULL ? g_ptr_array_ref(call->records) : NULL;
	late->text = g_strdup(call->text);
	late->forgotten = true;
	g_hash_table_add(call->view->calls, late);
	bp_clock_add_timer(clock_of(store),
	    1000 + bp_random_below(store->random, 5000), on_late, late);
}

static bool
is_lost(const call_t *call)
{
	const bp_qstore_t *store = call->view->store;
	bool group = call->kind == JOIN || call->kind == OWNERS;

	if (group && store->group_lost_percent > 0)
		return bp_random_below(store->random, 100) <
		    store->group_lost_percent;
	return call->kind == APPEND &&
	    bp_random_below(store->random, 100) < store->lost_percent;
}

static bool
takes_effect_late(const call_t *call)
{
	const bp_qstore_t *store = call->view->store;

	return call->kind == APPEND ? store->lost_late
				    : bp_random_below(store->random, 2) == 0;
}

static gboolean
on_arrival(gpointer data)
{
	call_t *call = data;
	bp_qstore_t *store = call->view->store;
	bool lost = is_lost(call);

	switch (call->view->mode) {
	case BP_QSTORE_BUSY:
		call->result.outcome = BP_STORE_REFUSED;
		return on_answer(call);
	case BP_QSTORE_SILENT:
		bp_clock_add_timer(
		    clock_of(store), NO_ANSWER_MS, on_silence, call);
		return G_SOURCE_REMOVE;
	case BP_QSTORE_SILENT_APPENDS:
		if (call->kind != APPEND)
			break;
		bp_clock_add_timer(
		    clock_of(store), NO_ANSWER_MS, on_silence, call);
		return G_SOURCE_REMOVE;
	case BP_QSTORE_UP:
		break;
	}
	if (lost) {
		if (takes_effect_late(call))
			lose_late(call);
		else
			apply(call);
		bp_clock_add_timer(
		    clock_of(store), NO_ANSWER_MS, on_silence, call);
		return G_SOURCE_REMOVE;
	}
	apply(call);
	return on_answer(call);
}

static call_t *
new_call(bp_store_t *interface, kind_t kind, bp_store_done_t done, void *data)
{
	bp_qstore_view_t *view = (bp_qstore_view_t *)interface;
	call_t *call = g_new0(call_t, 1);

	call->view = view;
	call->kind = kind;
	call->done = done;
	call->data = data;
	g_hash_table_add(view->calls, call);
	bp_clock_add_timer(clock_of(view->store),
	    view->store->delay_ms +
		bp_random_below(view->store->random, DELAY_MS),
	    on_arrival, call);
	return call;
}

static void
store_append(bp_store_t *interface, const bp_store_append_t *append,
    bp_store_done_t done, void *data)
{
	call_t *call = new_call(interface, APPEND, done, data);
	guint i;

	call->view->store->appends++;
	call->partition = append->partition;
	call->epoch = append->epoch;
	call->sequence = append->sequence;
	call->conditional = append->conditional;
	call->end_offset = append->end_offset;
	call->records = g_ptr_array_new_with_free_func(bp_store_record_free);
	for (i = 0; i < append->records->len; i++)
		g_ptr_array_add(
		    call->records, copy_record(append->records->pdata[i]));
}

static void
store_newest(bp_store_t *interface, const char *topic, uint32_t partition,
    const char *after, bp_store_done_t done, void *data)
{
	call_t *call = new_call(interface, NEWEST, done, data);

	(void)topic;
	call->view->store->listings++;
	call->partition = partition;
	call->text = g_strdup(after);
}

static void
store_read(bp_store_t *interface, const char *topic, uint32_t partition,
    uint64_t from, bp_store_done_t done, void *data)
{
	call_t *call = new_call(interface, READ, done, data);

	(void)topic;
	call->partition = partition;
	call->end_offset = from;
}

static void
store_join(bp_store_t *interface, const char *group, const char *member,
    const char *topic, uint32_t ttl_ms, uint64_t generation,
    bp_store_done_t done, void *data)
{
	call_t *call = new_call(interface, JOIN, done, data);

	(void)group;
	(void)topic;
	call->text = g_strdup(member);
	call->ttl_ms = ttl_ms;
	call->generation = generation;
}

static void
store_leave(bp_store_t *interface, const char *group, const char *member,
    bp_store_done_t done, void *data)
{
	call_t *call = new_call(interface, LEAVE, done, data);

	(void)group;
	call->text = g_strdup(member);
}

static void
store_owners(
    bp_store_t *interface, const char *group, bp_store_done_t done, void *data)
{
	call_t *call = new_call(interface, OWNERS, done, data);

	(void)group;
	call->view->store->owner_reads++;
}

static void
store_forget(bp_store_t *interface, void *data)
{
	bp_qstore_view_t *view = (bp_qstore_view_t *)interface;
	GHashTableIter iter;
	gpointer key;

	g_hash_table_iter_init(&iter, view->calls);
	while (g_hash_table_iter_next(&iter, &key, NULL)) {
		if (((call_t *)key)->data == data)
			((call_t *)key)->forgotten = true;
	}
}

static void
view_free(gpointer data)
{
	bp_qstore_view_t *view = data;
	GList *calls = g_hash_table_get_keys(view->calls);

	g_list_free_full(calls, (GDestroyNotify)call_free);
	g_hash_table_unref(view->calls);
	g_free(view);
}

/* Creates an empty store that answers in 4 to 8 ms. */
bp_qstore_t *
bp_qstore_new(
    bp_clock_virtual_t *clock, bp_random_t *random, uint32_t partitions)
{
	bp_qstore_t *store = g_new0(bp_qstore_t, 1);
	uint32_t i;

	store->clock = clock;
	store->random = random;
	store->n_parts = partitions;
	store->delay_ms = DELAY_MS;
	store->parts = g_new0(part_t, partitions);
	for (i = 0; i < partitions; i++) {
		store->parts[i].newest = g_hash_table_new_full(
		    g_str_hash, g_str_equal, NULL, bp_store_record_free);
		store->parts[i].log =
		    g_ptr_array_new_with_free_func(bp_store_record_free);
	}
	store->group = bp_qgroup_new(clock_of(store), random, partitions);
	store->views = g_ptr_array_new_with_free_func(view_free);
	return store;
}

/* Frees the store, its views and the calls in flight. */
void
bp_qstore_free(bp_qstore_t *store)
{
	uint32_t i;

	g_ptr_array_unref(store->views);
	for (i = 0; i < store->n_parts; i++) {
		g_hash_table_unref(store->parts[i].newest);
		g_ptr_array_unref(store->parts[i].log);
	}
	g_free(store->parts);
	bp_qgroup_free(store->group);
	g_free(store);
}

/* Adds the view of one node. */
bp_qstore_view_t *
bp_qstore_view(bp_qstore_t *store)
{
	bp_qstore_view_t *view = g_new0(bp_qstore_view_t, 1);

	view->store = store;
	view->calls = g_hash_table_new(NULL, NULL);
	view->interface.append = store_append;
	view->interface.newest = store_newest;
	view->interface.read = store_read;
	view->interface.join = store_join;
	view->interface.leave = store_leave;
	view->interface.owners = store_owners;
	view->interface.forget = store_forget;
	g_ptr_array_add(store->views, view);
	return view;
}

/* Returns the interface of a view. */
bp_store_t *
bp_qstore_interface(bp_qstore_view_t *view)
{
	return &view->interface;
}

/* See the header. */
void
bp_qstore_set_mode(bp_qstore_view_t *view, bp_qstore_mode_t mode)
{
	view->mode = mode;
}

/* See the header. */
void
bp_qstore_set_frozen(bp_qstore_view_t *view, bool frozen)
{
	view->frozen = frozen;
}

/* See the header. */
void
bp_qstore_set_delay_ms(bp_qstore_t *store, uint32_t delay_ms)
{
	store->delay_ms = delay_ms;
}

/* See the header. */
void
bp_qstore_set_lost(bp_qstore_t *store, uint32_t percent, bool late)
{
	store->lost_percent = percent;
	store->lost_late = late;
}

/* See the header. */
void
bp_qstore_set_shuffled(bp_qstore_t *store, bool shuffled)
{
	bp_qgroup_set_shuffled(store->group, shuffled);
}

/* See the header. */
void
bp_qstore_set_group_lost(bp_qstore_t *store, uint32_t percent)
{
	store->group_lost_percent = percent;
}

/* See the header. */
void
bp_qstore_rebalance(bp_qstore_t *store)
{
	bp_qgroup_rebalance(store->group);
}

/* Returns how many pages of keys were asked for. */
uint64_t
bp_qstore_listings(const bp_qstore_t *store)
{
	return store->listings;
}

/* See the header. */
const char *
bp_qstore_wanted(const bp_qstore_t *store, uint32_t partition)
{
	return bp_qgroup_wanted(store->group, partition);
}

/* Returns how often the owners were asked for. */
uint64_t
bp_qstore_owner_reads(const bp_qstore_t *store)
{
	return store->owner_reads;
}

/* Returns the number of appends that were sent. */
uint64_t
bp_qstore_appends(const bp_qstore_t *store)
{
	return store->appends;
}

/* See the header. */
void
bp_qstore_each_key(const bp_qstore_t *store, uint32_t partition,
    void (*visit)(const char *key, void *data), void *data)
{
	GHashTableIter iter;
	gpointer key;

	g_hash_table_iter_init(&iter, store->parts[partition].newest);
	while (g_hash_table_iter_next(&iter, &key, NULL))
		visit(key, data);
}

/* See the header. */
GBytes *
bp_qstore_value(const bp_qstore_t *store, uint32_t partition, const char *key)
{
	const bp_store_record_t *record =
	    g_hash_table_lookup(store->parts[partition].newest, key);

	return record != NULL ? record->value : NULL;
}

/* See the header. */
void
bp_qstore_set_rejected(bp_qstore_t *store, const char *key_part)
{
	store->rejected = key_part;
}
