#include "bulrushpost/vmlist.h"

#include "clients/httpcall.h"
#include "clients/vmparse.h"

#include <string.h>

#define MODULE "vmlist"
#define POLL_MS 1000
#define TIMEOUT_MS 1500
/* Longer than leases can be renewed without the log (hold_max, 65 min). */
#define GONE_MS (2U * 3600 * 1000)
/*
 * A lower version is treated as a stale replica, whose list would make new VMs
 * look gone. After this many polls it is accepted as a restarted counter.
 */
#define LOWER_VERSION_POLLS 60U
#define CONNECTIONS 2
#define US_PER_MS 1000

typedef struct {
	bp_vmlist_change_t change;
	void *data;
} change_slot_t;

struct bp_vmlist {
	bp_vmlist_options_t options;
	bp_httpcall_client_t *http;
	char *url;
	char *etag; /* of the current list, NULL before the first */
	GHashTable *vms; /* bp_vmlist_vm_t by name */
	GPtrArray *sorted; /* the same VMs, sorted by name */
	GArray *changes; /* change_slot_t */
	uint64_t version;
	uint32_t lower_version_polls;
	int64_t poll_start_us;
	int64_t fresh_us;
	bool known;
	bool failing;
	guint source;
};

static void poll_list(bp_vmlist_t *list);

/* Sets the defaults; the caller must set clock and url. */
int
bp_vmlist_options_init(bp_vmlist_options_t *options)
{
	*options = (bp_vmlist_options_t){
	    .poll_ms = POLL_MS,
	    .timeout_ms = TIMEOUT_MS,
	    .gone_ms = GONE_MS,
	};
	return BP_OK;
}

/*
 * Creates an empty list, which polls nothing until started. Returns
 * BP_EINVALID without a clock or a valid URL.
 */
int
bp_vmlist_new(
    bp_vmlist_t **out, const bp_vmlist_options_t *options, bp_error_t *err)
{
	bp_vmlist_t *list;

	*out = NULL;
	if (options->clock == NULL || options->url == NULL ||
	    !g_uri_is_valid(options->url, G_URI_FLAGS_NONE, NULL))
		return bp_error_set(err, BP_EINVALID,
		    "the VM list needs a clock and a valid URL");
	list = g_new0(bp_vmlist_t, 1);
	list->options = *options;
	list->url = g_strdup_printf("%s/vms", options->url);
	list->http = bp_httpcall_new(CONNECTIONS, CONNECTIONS);
	list->vms = g_hash_table_new_full(
	    g_str_hash, g_str_equal, NULL, bp_vmlist_vm_free);
	list->sorted = g_ptr_array_new();
	list->changes = g_array_new(FALSE, FALSE, sizeof(change_slot_t));
	*out = list;
	return BP_OK;
}

/*
 * Stops polling and frees the list, which may be NULL. It must not be called
 * from a callback of the list.
 */
void
bp_vmlist_free(bp_vmlist_t *list)
{
	if (list == NULL)
		return;
	bp_httpcall_free(list->http);
	if (list->source != 0)
		g_source_remove(list->source);
	g_hash_table_unref(list->vms);
	g_ptr_array_unref(list->sorted);
	g_array_unref(list->changes);
	g_free(list->url);
	g_free(list->etag);
	g_free(list);
}

/* Adds a callback for changes of the list. */
void
bp_vmlist_on_change(bp_vmlist_t *list, bp_vmlist_change_t change, void *data)
{
	change_slot_t slot = {change, data};

	g_array_append_val(list->changes, slot);
}

/* Removes the callbacks that were added with data. */
void
bp_vmlist_remove_callbacks(bp_vmlist_t *list, const void *data)
{
	guint i;

	for (i = 0; i < list->changes->len; i++) {
		change_slot_t *slot =
		    &g_array_index(list->changes, change_slot_t, i);

		if (slot->data == data)
			slot->change = NULL;
	}
}

static void
notify(bp_vmlist_t *list)
{
	guint i;

	for (i = 0; i < list->changes->len; i++) {
		change_slot_t slot =
		    g_array_index(list->changes, change_slot_t, i);

		if (slot.change != NULL)
			slot.change(list, slot.data);
	}
}

static bool
is_equal(const bp_vmlist_vm_t *a, const bp_vmlist_vm_t *b)
{
	return a->role == b->role && a->state == b->state &&
	    a->cpu_milli == b->cpu_milli && a->memory_mib == b->memory_mib &&
	    a->accelerators == b->accelerators &&
	    strcmp(a->zone, b->zone) == 0 && strcmp(a->rack, b->rack) == 0 &&
	    strcmp(a->url, b->url) == 0 && strcmp(a->service, b->service) == 0;
}

/* Adds state times and VMs that left the list to the new table. */
static bool
merge_previous(bp_vmlist_t *list, GHashTable *fresh, int64_t now_us)
{
	int64_t keep_us = (int64_t)list->options.gone_ms * US_PER_MS;
	bool changed = false;
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, fresh);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		bp_vmlist_vm_t *vm = value;
		const bp_vmlist_vm_t *old =
		    g_hash_table_lookup(list->vms, vm->name);

		vm->since_us = old != NULL && old->state == vm->state
		    ? old->since_us
		    : now_us;
		changed = changed || old == NULL || !is_equal(old, vm);
	}
	g_hash_table_iter_init(&iter, list->vms);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		bp_vmlist_vm_t *vm = value;

		if (g_hash_table_contains(fresh, vm->name))
			continue;
		if (vm->state == BP_VMLIST_GONE &&
		    now_us - vm->since_us > keep_us)
			continue;
		if (vm->state != BP_VMLIST_GONE) {
			vm->state = BP_VMLIST_GONE;
			vm->since_us = now_us;
			changed = true;
		}
		g_hash_table_iter_steal(&iter);
		g_hash_table_insert(fresh, vm->name, vm);
	}
	return changed;
}

static int
compare_names(gconstpointer a, gconstpointer b)
{
	const bp_vmlist_vm_t *x = *(bp_vmlist_vm_t *const *)a;
	const bp_vmlist_vm_t *y = *(bp_vmlist_vm_t *const *)b;

	return strcmp(x->name, y->name);
}

static void
replace_list(bp_vmlist_t *list, GHashTable *fresh)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_unref(list->vms);
	list->vms = fresh;
	g_ptr_array_set_size(list->sorted, 0);
	g_hash_table_iter_init(&iter, fresh);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		g_ptr_array_add(list->sorted, value);
	g_ptr_array_sort(list->sorted, compare_names);
}

static int
check_version(bp_vmlist_t *list, uint64_t version, bp_error_t *err)
{
	if (!list->known || version >= list->version ||
	    list->lower_version_polls >= LOWER_VERSION_POLLS) {
		list->lower_version_polls = 0;
		return BP_OK;
	}
	list->lower_version_polls++;
	return bp_error_set(err, BP_ESTALE,
	    "stale version %" G_GUINT64_FORMAT " after %" G_GUINT64_FORMAT,
	    version, list->version);
}

/*
 * Updates the list from JSON text. Returns BP_EINVALID or BP_ETOOLARGE for an
 * invalid text and BP_ESTALE for a lower version; the list is then unchanged.
 */
int
bp_vmlist_update(
    bp_vmlist_t *list, const char *json, size_t size_bytes, bp_error_t *err)
{
	GHashTable *fresh;
	uint64_t version = 0;
	bool changed;
	int rc;

	rc = bp_vmlist_parse(&version, &fresh, json, size_bytes, err);
	if (rc != BP_OK)
		return rc;
	rc = check_version(list, version, err);
	if (rc != BP_OK) {
		g_hash_table_unref(fresh);
		return rc;
	}
	changed =
	    merge_previous(list, fresh, bp_clock_mono_us(list->options.clock));
	changed = changed || !list->known;
	replace_list(list, fresh);
	list->version = version;
	list->known = true;
	if (changed)
		notify(list);
	return BP_OK;
}

static void
set_etag(bp_vmlist_t *list, SoupMessageHeaders *headers)
{
	const char *etag = soup_message_headers_get_one(headers, "ETag");

	g_free(list->etag);
	list->etag = etag != NULL
	    ? g_strdup(etag)
	    : g_strdup_printf("\"%" G_GUINT64_FORMAT "\"", list->version);
}

static int
handle_response(
    bp_vmlist_t *list, const bp_httpcall_response_t *answer, bp_error_t *err)
{
	int rc;

	if (answer->status == SOUP_STATUS_NOT_MODIFIED && list->known)
		return BP_OK;
	if (answer->status != SOUP_STATUS_OK)
		return bp_error_set(err, BP_EUNREACHABLE,
		    "unexpected HTTP status %u", (unsigned)answer->status);
	rc = bp_vmlist_update(
	    list, (const char *)answer->body, answer->size_bytes, err);
	if (rc == BP_OK)
		set_etag(list, answer->headers);
	return rc;
}

static gboolean
on_timer(void *data)
{
	bp_vmlist_t *list = data;

	list->source = 0;
	poll_list(list);
	return G_SOURCE_REMOVE;
}

static void
on_answer(
    const bp_httpcall_response_t *answer, const bp_error_t *err, void *data)
{
	bp_vmlist_t *list = data;
	bp_error_t failure;
	int rc;

	list->source = g_timeout_add(list->options.poll_ms, on_timer, list);
	if (err != NULL) {
		failure = *err;
		rc = err->kind;
	} else {
		rc = handle_response(list, answer, &failure);
	}
	if (rc == BP_OK)
		list->fresh_us = list->poll_start_us;
	if (rc != BP_OK && !list->failing)
		bp_log(list->options.logger, BP_LOG_WARNING, MODULE,
		    "cannot update the VM list", "reason", failure.message,
		    NULL);
	else if (rc == BP_OK && list->failing)
		bp_log(list->options.logger, BP_LOG_NOTICE, MODULE,
		    "VM list updated again", NULL);
	list->failing = rc != BP_OK;
}

static void
poll_list(bp_vmlist_t *list)
{
	bp_httpcall_request_t request = {
	    .method = "GET",
	    .url = list->url,
	    .if_none_match = list->etag,
	    .max_response_bytes = BP_VMLIST_MAX_BYTES,
	    .timeout_ms = list->options.timeout_ms,
	};

	list->poll_start_us = bp_clock_mono_us(list->options.clock);
	bp_httpcall_start(list->http, &request, on_answer, list, NULL, list);
}

/* Polls at once and then poll_ms after each response or failure. */
void
bp_vmlist_start(bp_vmlist_t *list)
{
	poll_list(list);
}

/* Returns the VM of that name, or NULL. */
const bp_vmlist_vm_t *
bp_vmlist_find(const bp_vmlist_t *list, const char *name)
{
	return g_hash_table_lookup(list->vms, name);
}

/* Calls each for the VMs of a role, in the order of their names. */
void
bp_vmlist_each(const bp_vmlist_t *list, bp_vmlist_role_t role,
    bp_vmlist_each_t each, void *data)
{
	guint i;

	for (i = 0; i < list->sorted->len; i++) {
		const bp_vmlist_vm_t *vm = g_ptr_array_index(list->sorted, i);

		if (vm->role == role)
			each(vm, data);
	}
}

/* Returns whether a list was received at least once. */
bool
bp_vmlist_is_loaded(const bp_vmlist_t *list)
{
	return list->known;
}

/* Returns the version of the current list. */
uint64_t
bp_vmlist_version(const bp_vmlist_t *list)
{
	return list->version;
}

/* Returns the start (monotonic us) of the latest successful poll, or 0. */
int64_t
bp_vmlist_synced_us(const bp_vmlist_t *list)
{
	return list->fresh_us;
}
