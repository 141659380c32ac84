#include "bulrushpost/suggest.h"
#include "bulrushpost/queue.h"
#include "core/settings_internal.h"

#include <stddef.h>
#include <string.h>

#define MILLI 1000
#define HEADROOM_MS 300 /* claim and session after a node's death */
/* A record must hold the largest rule file of 32 KiB. */
#define RECORD_BYTES_MIN 36864
#define SERVICE_GATEWAY "gateway"
#define SERVICE_SCHEDULER "scheduler"
#define SERVICE_QUEUES "queues"

typedef enum {
	TYPE_NAME,
	TYPE_ADDRESS,
	TYPE_ADDRESSES,
	TYPE_URL,
	TYPE_SERVICES,
	TYPE_LEVEL,
	TYPE_ORDER,
	TYPE_NUMBER,
	TYPE_SHARE,
	TYPE_BOOL
} value_type_t;

/* One key of the file. low, high and default_value are for numbers; a BOOL is
 * false by default. */
typedef struct {
	const char *path;
	value_type_t type;
	bool required;
	size_t offset;
	uint32_t low;
	uint32_t high;
	uint32_t default_value;
} setting_t;

#define TEXT(path, type, required, member)                                     \
	{                                                                      \
		path, type, required, offsetof(bp_settings_t, member), 0, 0, 0 \
	}
#define NUMBER(member, low, high, default_value)                              \
	{                                                                     \
#member, TYPE_NUMBER, false, offsetof(bp_settings_t, member), \
		    low, high, default_value                                  \
	}

#define SHARE(member, path)                                                  \
	{                                                                    \
		path, TYPE_SHARE, false, offsetof(bp_settings_t, member), 1, \
		    MILLI, MILLI                                             \
	}

/*
 * The defaults are those of docs/design.md. The ranges exclude values that
 * would break a guarantee given there, such as a zone out of service within
 * 3 s.
 */
static const setting_t rows[] = {
    SHARE(node.processor_share_milli, "node.processor_share"),
    NUMBER(node.processors, 1, 1024, 1),
    TEXT("node.name", TYPE_NAME, true, node.name),
    TEXT("node.zone", TYPE_NAME, true, node.zone),
    TEXT("node.services", TYPE_SERVICES, true, node),
    TEXT("listen.gateway", TYPE_ADDRESS, false, listen.gateway),
    TEXT("listen.control", TYPE_ADDRESS, true, listen.control),
    TEXT("platform.log_url", TYPE_URL, false, platform.log_url),
    TEXT("platform.vm_list_url", TYPE_URL, false, platform.vm_list_url),
    TEXT("platform.store", TYPE_ADDRESS, false, platform.store),
    TEXT("listen.queues", TYPE_ADDRESS, false, listen.queues),
    TEXT("listen.ready", TYPE_ADDRESS, false, listen.ready),
    TEXT("peers", TYPE_ADDRESSES, false, peers),
    TEXT("listen.metrics", TYPE_ADDRESS, false, listen.metrics),
    TEXT("policy.batch_order", TYPE_ORDER, false, policy.batch_order),
    TEXT("log.level", TYPE_LEVEL, false, log_level),
    NUMBER(timing.append_interval_ms, 5, 1000, 40),
    NUMBER(timing.presence_ms, 100, 5000, 1000),
    NUMBER(timing.death_ms, 300, 60000, 3000),
    NUMBER(timing.permit_ms, 100, 2500, 2000),
    NUMBER(timing.renew_ms, 100, 10000, 1500),
    NUMBER(timing.lease_urgent_ms, 1000, 600000, 6000),
    NUMBER(timing.lease_service_ms, 1000, 600000, 20000),
    NUMBER(timing.lease_batch_ms, 1000, 600000, 30000),
    NUMBER(timing.hold_max_s, 1, 86400, 3900),
    NUMBER(timing.snapshot_interval_s, 1, 86400, 900),
    NUMBER(timing.poll_ms, 100, 10000, 1000),
    NUMBER(timing.drain_s, 1, 3600, 60),
    NUMBER(limits.body_bytes, 1024, 16777216, 1048576),
    /* libsoup closes without a response at about 64 KiB of headers. */
    NUMBER(limits.header_bytes, 1024, 61440, 16384),
    NUMBER(limits.record_bytes, RECORD_BYTES_MIN, 65536, 49152),
    NUMBER(limits.pending_jobs, 1, 1000000, 20000),
    NUMBER(limits.job_tasks, 1, 10000, 10000),
    NUMBER(limits.endpoint_in_flight, 1, 1000, 8),
    NUMBER(limits.endpoint_connections, 1, 10000, 60),
    NUMBER(limits.control_connections, 1, 1024, 64),
    NUMBER(limits.timeline_events, 100, 1000000, 20000),
    NUMBER(limits.memory_mb, 64, 1048576, 160),
    NUMBER(limits.descriptors, 512, 1048576, 4100),
    NUMBER(policy.eviction_budget_per_min, 0, 10000, 30),
    NUMBER(policy.slowdown_target_permille, 1001, 10000, 1500),
    NUMBER(policy.batch_wait_max_s, 1, 604800, 3600),
    NUMBER(policy.retry_budget_percent, 0, 100, 10),
    NUMBER(policy.eject_max_percent, 0, 100, 33),
    NUMBER(policy.quarantine_failures, 2, 1000, 5),
    NUMBER(policy.handover_racks, 1, 100, 2),
    NUMBER(policy.rank_delay_ms, 50, 10000, 300),
    NUMBER(queues.shards, 0, 8, 0),
    NUMBER(queues.lease_max_ms, 1000, 600000, 6000),
    NUMBER(queues.stop_max_ms, 1, 60000, 1000),
    NUMBER(queues.early_ms, 0, 60000, 0),
    NUMBER(queues.status_keep_s, 1, 86400, 120),
    NUMBER(queues.quarantine_failures, 2, 1000, 3),
    NUMBER(queues.grace_s, 1, 3600, 6),
    NUMBER(queues.config_apply_ms, 100, 60000, 2000),
    TEXT("queues.large_task_planning", TYPE_BOOL, false,
	queues.large_task_planning),
    TEXT("queues.urgent_headroom", TYPE_BOOL, false, queues.urgent_headroom),
};

static const char *const level_words[] = {
    "err", "warning", "notice", "info", "debug", NULL};
static const char *const service_words[] = {
    SERVICE_GATEWAY, SERVICE_SCHEDULER, SERVICE_QUEUES, NULL};

static void *
member(bp_settings_t *settings, const setting_t *row)
{
	return (char *)settings + row->offset;
}

static bp_settings_t *
new_settings(void)
{
	bp_settings_t *settings = g_new0(bp_settings_t, 1);
	size_t i;

	settings->log_level = BP_LOG_INFO;
	settings->policy.batch_order = BP_ORDER_FIFO;
	settings->peers = g_new0(char *, 1);
	for (i = 0; i < G_N_ELEMENTS(rows); i++) {
		if (rows[i].type == TYPE_NUMBER || rows[i].type == TYPE_SHARE)
			*(uint32_t *)member(settings, &rows[i]) =
			    rows[i].default_value;
	}
	return settings;
}

/* Frees settings. NULL is allowed. */
void
bp_settings_free(bp_settings_t *settings)
{
	if (settings == NULL)
		return;
	g_free(settings->node.name);
	g_free(settings->node.zone);
	g_free(settings->listen.gateway);
	g_free(settings->listen.control);
	g_free(settings->listen.metrics);
	g_free(settings->platform.log_url);
	g_free(settings->platform.vm_list_url);
	g_free(settings->platform.store);
	g_free(settings->listen.queues);
	g_free(settings->listen.ready);
	g_strfreev(settings->peers);
	g_free(settings);
}

static void
store_text(bp_settings_t *settings, const setting_t *row, const char *value)
{
	char **out = member(settings, row);
	size_t length = strlen(value);

	g_free(*out);
	while (row->type == TYPE_URL && length > 0 && value[length - 1] == '/')
		length--;
	*out = g_strndup(value, length);
}

static void
set_number(bp_settings_file_t *file, bp_settings_t *settings,
    const setting_t *row, const bp_settings_item_t *item)
{
	guint64 value = 0;

	if (item->quoted ||
	    !g_ascii_string_to_unsigned(
		item->scalar, 10, row->low, row->high, &value, NULL))
		bp_settings_problem(file, item->line, row->path,
		    "\"%.40s\" is not a whole number from %u to %u (standard "
		    "%u)",
		    item->scalar, row->low, row->high, row->default_value);
	else
		*(uint32_t *)member(settings, row) = (uint32_t)value;
}

/* Parses a share of a processor, written as a decimal fraction. */
static void
set_share(bp_settings_file_t *file, bp_settings_t *settings,
    const setting_t *row, const bp_settings_item_t *item)
{
	char *end = NULL;
	double value = g_ascii_strtod(item->scalar, &end);
	double milli = value * row->default_value;

	if (item->quoted || end == item->scalar || *end != '\0' ||
	    !(milli >= row->low && milli <= row->high))
		bp_settings_problem(file, item->line, row->path,
		    "\"%.40s\" is not a share from 0.001 to 1 (standard 1)",
		    item->scalar);
	else
		*(uint32_t *)member(settings, row) = (uint32_t)(milli + 0.5);
}

static void
set_bool(bp_settings_file_t *file, bp_settings_t *settings,
    const setting_t *row, const bp_settings_item_t *item)
{
	bool value = strcmp(item->scalar, "true") == 0;

	if (item->quoted || (!value && strcmp(item->scalar, "false") != 0))
		bp_settings_problem(file, item->line, row->path,
		    "\"%.40s\" is not true or false (standard false)",
		    item->scalar);
	else
		*(bool *)member(settings, row) = value;
}

static void
set_level(bp_settings_file_t *file, bp_settings_t *settings,
    const bp_settings_item_t *item)
{
	const char *close = bp_suggest(item->scalar, level_words);

	if (bp_log_level_parse(&settings->log_level, item->scalar) != 0)
		bp_settings_problem(file, item->line, item->path,
		    "\"%.40s\" is not one of err, warning, notice, info, "
		    "debug%s%s",
		    item->scalar, close != NULL ? "; did you mean " : "",
		    close != NULL ? close : "");
}

static void
set_order(bp_settings_file_t *file, bp_settings_t *settings,
    const bp_settings_item_t *item)
{
	if (bp_order_parse(&settings->policy.batch_order, item->scalar) !=
	    BP_OK)
		bp_settings_problem(file, item->line, item->path,
		    "\"%.40s\" is not one of fifo, weight_over_cost",
		    item->scalar);
}

static void
set_scalar(bp_settings_file_t *file, bp_settings_t *settings,
    const setting_t *row, const bp_settings_item_t *item)
{
	switch (row->type) {
	case TYPE_NUMBER:
		set_number(file, settings, row, item);
		return;
	case TYPE_SHARE:
		set_share(file, settings, row, item);
		return;
	case TYPE_BOOL:
		set_bool(file, settings, row, item);
		return;
	case TYPE_LEVEL:
		set_level(file, settings, item);
		return;
	case TYPE_ORDER:
		set_order(file, settings, item);
		return;
	case TYPE_NAME:
		if (bp_settings_is_name(item->scalar))
			store_text(settings, row, item->scalar);
		else
			bp_settings_problem(file, item->line, row->path,
			    "a name of 1 to %d bytes without blanks, commas, "
			    "# and /",
			    BP_SETTINGS_NAME_MAX_BYTES);
		return;
	case TYPE_ADDRESS:
		if (bp_settings_is_address(item->scalar))
			store_text(settings, row, item->scalar);
		else
			bp_settings_problem(file, item->line, row->path,
			    "\"%.80s\" is not HOST:PORT, such as "
			    "127.0.0.1:7070",
			    item->scalar);
		return;
	case TYPE_URL:
		if (bp_settings_is_url(item->scalar))
			store_text(settings, row, item->scalar);
		else
			bp_settings_problem(file, item->line, row->path,
			    "\"%.80s\" is not a URL such as "
			    "http://log.internal:8080 without a query",
			    item->scalar);
		return;
	case TYPE_ADDRESSES:
	case TYPE_SERVICES:
		return;
	}
}

static void
set_services(bp_settings_file_t *file, bp_settings_t *settings,
    const bp_settings_item_t *item)
{
	guint i;

	for (i = 0; i < item->list->len; i++) {
		const char *word = g_ptr_array_index(item->list, i);
		const char *close = bp_suggest(word, service_words);
		bool *out = NULL;

		if (strcmp(word, SERVICE_GATEWAY) == 0)
			out = &settings->node.gateway;
		else if (strcmp(word, SERVICE_SCHEDULER) == 0)
			out = &settings->node.scheduler;
		else if (strcmp(word, SERVICE_QUEUES) == 0)
			out = &settings->node.queues;
		if (out == NULL)
			bp_settings_problem(file, item->line, item->path,
			    "\"%.40s\" is none of gateway, scheduler and queues"
			    "%s%s",
			    word, close != NULL ? "; did you mean " : "",
			    close != NULL ? close : "");
		else if (*out)
			bp_settings_problem(file, item->line, item->path,
			    "%s is listed twice", word);
		else
			*out = true;
	}
	if (item->list->len == 0)
		bp_settings_problem(file, item->line, item->path,
		    "a list with gateway, scheduler or both");
}

static void
set_addresses(bp_settings_file_t *file, bp_settings_t *settings,
    const bp_settings_item_t *item)
{
	guint i;

	g_strfreev(settings->peers);
	settings->peers = g_new0(char *, item->list->len + 1);
	for (i = 0; i < item->list->len; i++) {
		const char *value = g_ptr_array_index(item->list, i);

		if (!bp_settings_is_address(value))
			bp_settings_problem(file, item->line, item->path,
			    "\"%.80s\" is not HOST:PORT", value);
		else if (g_strv_contains(
			     (const char *const *)settings->peers, value))
			bp_settings_problem(file, item->line, item->path,
			    "%s is listed twice", value);
		settings->peers[i] = g_strdup(value);
	}
}

static void
set_item(bp_settings_file_t *file, bp_settings_t *settings,
    const setting_t *row, const bp_settings_item_t *item)
{
	bool wants_list =
	    row->type == TYPE_SERVICES || row->type == TYPE_ADDRESSES;

	if (wants_list != (item->list != NULL))
		bp_settings_problem(file, item->line, row->path, "%s",
		    wants_list ? "a list, such as [a, b]"
			       : "a single value, not a list");
	else if (row->type == TYPE_SERVICES)
		set_services(file, settings, item);
	else if (row->type == TYPE_ADDRESSES)
		set_addresses(file, settings, item);
	else
		set_scalar(file, settings, row, item);
}

static void
refuse_unknown(bp_settings_file_t *file, const bp_settings_item_t *item)
{
	const char *known[G_N_ELEMENTS(rows) + 1] = {NULL};
	const char *close;
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(rows); i++)
		known[i] = rows[i].path;
	close = bp_suggest(item->path, known);
	bp_settings_problem(file, item->line, item->path,
	    "there is no such key%s%s; docs/settings.md lists all",
	    close != NULL ? "; did you mean " : "", close != NULL ? close : "");
}

static const setting_t *
find_row(const char *path)
{
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(rows); i++) {
		if (strcmp(rows[i].path, path) == 0)
			return &rows[i];
	}
	return NULL;
}

static uint32_t
line_for(const bp_settings_file_t *file, const char *path)
{
	const bp_settings_item_t *item = bp_settings_find(file, path);

	return item != NULL ? item->line : 1;
}

static void
require_key(bp_settings_file_t *file, const char *key, const char *message)
{
	if (bp_settings_find(file, key) == NULL)
		bp_settings_problem(file, 1, key, "%s", message);
}

/* Each platform has its own clients, so a node serves one of them. */
static void
check_services(bp_settings_file_t *file, const bp_settings_t *settings)
{
	if (!settings->node.queues) {
		require_key(file, "platform.log_url",
		    "this key is missing and has no standard value");
		require_key(file, "platform.vm_list_url",
		    "this key is missing and has no standard value");
		return;
	}
	if (settings->node.gateway || settings->node.scheduler)
		bp_settings_problem(file, line_for(file, "node.services"),
		    "node.services",
		    "queues runs alone, without gateway and scheduler");
	require_key(file, "platform.store",
	    "the queues service needs HOST:PORT of the store");
	require_key(file, "listen.queues",
	    "the queues service needs HOST:PORT to listen on");
}

static void
check_required(bp_settings_file_t *file, const bp_settings_t *settings)
{
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(rows); i++) {
		if (rows[i].required &&
		    bp_settings_find(file, rows[i].path) == NULL)
			bp_settings_problem(file, 1, rows[i].path,
			    "this key is missing and has no standard value");
	}
	if (settings->node.gateway &&
	    bp_settings_find(file, "listen.gateway") == NULL)
		bp_settings_problem(file, line_for(file, "node.services"),
		    "listen.gateway",
		    "the gateway service needs HOST:PORT to listen on");
	check_services(file, settings);
}

static void
check_order(bp_settings_file_t *file, const char *key, uint64_t value,
    uint64_t least, const char *reason)
{
	if (value < least)
		bp_settings_problem(file, line_for(file, key), key,
		    "%" G_GUINT64_FORMAT " is below %" G_GUINT64_FORMAT ": %s",
		    value, least, reason);
}

/* Checks conditions between values; docs/design.md has the reasons. */
static void
check_timing(bp_settings_file_t *file, const bp_settings_timing_t *timing)
{
	uint64_t takeover_ms = (uint64_t)timing->death_ms + HEADROOM_MS;

	check_order(file, "timing.presence_ms", timing->presence_ms,
	    timing->append_interval_ms,
	    "a node would write its heartbeat before its entries");
	check_order(file, "timing.death_ms", timing->death_ms,
	    2 * (uint64_t)timing->presence_ms,
	    "one late heartbeat would count as a death");
	check_order(file, "timing.lease_urgent_ms", timing->lease_urgent_ms,
	    2 * (uint64_t)timing->renew_ms,
	    "one lost renewal would stop running tasks");
	check_order(file, "timing.lease_service_ms", timing->lease_service_ms,
	    MAX(2 * (uint64_t)timing->renew_ms, takeover_ms),
	    "a node's death would stop running services");
	check_order(file, "timing.lease_batch_ms", timing->lease_batch_ms,
	    MAX(2 * (uint64_t)timing->renew_ms, takeover_ms),
	    "a node's death would stop running batch tasks");
}

static int
finish(bp_settings_file_t *file, GPtrArray *problems, bp_error_t *err)
{
	guint i;

	if (file->problems->len == 0)
		return BP_OK;
	bp_error_set(err, BP_EINVALID, "%s",
	    (const char *)g_ptr_array_index(file->problems, 0));
	for (i = 0; problems != NULL && i < file->problems->len; i++)
		g_ptr_array_add(
		    problems, g_strdup(g_ptr_array_index(file->problems, i)));
	return BP_EINVALID;
}

/*
 * Parses settings from YAML text; file is its name in problems. Returns
 * BP_EINVALID when the text has any problem; *out is then NULL.
 */
int
bp_settings_parse(bp_settings_t **out, const char *file, const char *text,
    size_t size_bytes, GPtrArray *problems, bp_error_t *err)
{
	bp_settings_file_t reading = {file,
	    g_ptr_array_new_with_free_func(bp_settings_item_free),
	    g_ptr_array_new_with_free_func(g_free)};
	bp_settings_t *settings = new_settings();
	guint i;
	int rc;

	if (size_bytes > BP_SETTINGS_MAX_BYTES)
		bp_settings_problem(&reading, 1, "document", "at most %d bytes",
		    BP_SETTINGS_MAX_BYTES);
	else
		bp_settings_read_yaml(&reading, text, size_bytes);
	for (i = 0; i < reading.items->len; i++) {
		const bp_settings_item_t *item =
		    g_ptr_array_index(reading.items, i);
		const setting_t *row = find_row(item->path);

		if (row == NULL)
			refuse_unknown(&reading, item);
		else
			set_item(&reading, settings, row, item);
	}
	check_required(&reading, settings);
	check_timing(&reading, &settings->timing);
	rc = finish(&reading, problems, err);
	g_ptr_array_unref(reading.items);
	g_ptr_array_unref(reading.problems);
	if (rc != BP_OK)
		g_clear_pointer(&settings, bp_settings_free);
	*out = settings;
	return rc;
}

/* Loads settings from a file; BP_ENOTFOUND if it cannot be read. */
int
bp_settings_load(
    bp_settings_t **out, const char *path, GPtrArray *problems, bp_error_t *err)
{
	GError *error = NULL;
	char *text = NULL;
	gsize size_bytes = 0;
	int rc;

	*out = NULL;
	if (!g_file_get_contents(path, &text, &size_bytes, &error)) {
		rc = bp_error_set(err, BP_ENOTFOUND, "%s", error->message);
		if (problems != NULL)
			g_ptr_array_add(problems, g_strdup(error->message));
		g_error_free(error);
		return rc;
	}
	rc = bp_settings_parse(out, path, text, size_bytes, problems, err);
	g_free(text);
	return rc;
}
