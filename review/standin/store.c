/*
 * The platform's store: a log with compacted topics, producers with epochs and
 * sequence numbers, and groups. An append is applied when it arrives and
 * answered after 4 ms.
 */
#include "standin.h"

#include <stdlib.h>
#include <string.h>

#define APPEND_MS 4
#define PARTITIONS 8
#define REPEATS 5
#define PAGE 500
#define REQUEST_BYTES (2 * 1024 * 1024)

typedef struct {
	uint64_t epoch;
	uint64_t sequence;
	bool written;
	struct {
		uint64_t sequence;
		uint64_t offset;
		uint64_t end;
	} last[REPEATS];
	int n_last;
} prod_t;

typedef struct {
	char *name;
	int64_t seen_ms;
	int64_t ttl_ms;
	uint64_t generation; /* that its last join named */
} member_t;

typedef struct {
	uint64_t generation;
	GPtrArray *members;
	char *topic;
	char *owner[PARTITIONS];
	char *target[PARTITIONS];
} group_t;

store_t store;

static void
free_rec(gpointer data)
{
	rec_t *rec = data;

	g_free(rec->key);
	if (rec->value != NULL)
		g_bytes_unref(rec->value);
	g_free(rec);
}

static part_t *
get_part(const char *topic, const char *number)
{
	char *name = g_strdup_printf("%s/%s", topic, number);
	part_t *part = g_hash_table_lookup(store.parts, name);

	if (part == NULL) {
		part = g_new0(part_t, 1);
		part->log = g_ptr_array_new_with_free_func(free_rec);
		part->newest = g_hash_table_new(g_str_hash, g_str_equal);
		part->producers = g_hash_table_new_full(
		    g_str_hash, g_str_equal, g_free, g_free);
		g_hash_table_insert(store.parts, name, part);
	} else {
		g_free(name);
	}
	return part;
}

static void
add_record(part_t *part, const char *key, const void *value, size_t size)
{
	rec_t *rec = g_new0(rec_t, 1);

	rec->key = g_strdup(key);
	rec->offset = part->log->len;
	if (size > 0)
		rec->value = g_bytes_new(value, size);
	g_ptr_array_add(part->log, rec);
	g_hash_table_remove(part->newest, key);
	if (rec->value != NULL)
		g_hash_table_insert(part->newest, rec->key, rec);
}

typedef struct {
	conn_t *conn;
	uint32_t from;
	part_t *part;
	int64_t until_ms;
	char *text;
	int status;
} later_t;

static GPtrArray *readers; /* later_t: reads that wait */

static char *
param(const char *query, const char *name)
{
	char **pairs = g_strsplit(query, "&", -1);
	char *found = NULL;
	size_t i;

	for (i = 0; pairs[i] != NULL && found == NULL; i++) {
		size_t length = strlen(name);

		if (strncmp(pairs[i], name, length) == 0 &&
		    pairs[i][length] == '=')
			found = g_uri_unescape_string(
			    pairs[i] + length + 1, NULL);
	}
	g_strfreev(pairs);
	return found;
}

static uint64_t
number(const char *query, const char *name, uint64_t missing)
{
	char *text = param(query, name);
	uint64_t value = text != NULL ? strtoull(text, NULL, 10) : missing;

	g_free(text);
	return value;
}

static void
put64(GByteArray *out, uint64_t value)
{
	uint8_t bytes[8];
	int i;

	for (i = 0; i < 8; i++)
		bytes[i] = (uint8_t)(value >> (56 - 8 * i));
	g_byte_array_append(out, bytes, 8);
}

static void
answer_read(conn_t *conn, part_t *part, uint64_t from)
{
	GByteArray *out = g_byte_array_new();
	uint64_t i;

	put64(out, part->log->len);
	put64(out, 0);
	for (i = from; i < part->log->len && out->len < 1024 * 1024; i++) {
		const rec_t *rec = part->log->pdata[i];
		gsize size = 0;
		const void *value = rec->value != NULL
		    ? g_bytes_get_data(rec->value, &size)
		    : NULL;
		uint8_t key_size = (uint8_t)strlen(rec->key);
		uint32_t total = (uint32_t)(1 + key_size + size);
		uint8_t length[4] = {(uint8_t)(total >> 24),
		    (uint8_t)(total >> 16), (uint8_t)(total >> 8),
		    (uint8_t)total};

		g_byte_array_append(out, length, 4);
		g_byte_array_append(out, &key_size, 1);
		g_byte_array_append(out, (const uint8_t *)rec->key, key_size);
		if (size > 0)
			g_byte_array_append(out, value, (guint)size);
	}
	conn_answer(
	    conn, 200, "application/octet-stream", out->data, out->len);
	g_byte_array_unref(out);
}

static void
wake_readers(void)
{
	guint i;

	for (i = readers->len; i > 0; i--) {
		later_t *later = readers->pdata[i - 1];

		if (!later->conn->closed &&
		    later->part->log->len <= later->from &&
		    now_ms() < later->until_ms)
			continue;
		g_ptr_array_remove_index(readers, i - 1);
		if (!later->conn->closed)
			answer_read(later->conn, later->part, later->from);
		conn_unref(later->conn);
		g_free(later);
	}
}

static gboolean
on_tick(gpointer data)
{
	(void)data;
	wake_readers();
	return G_SOURCE_CONTINUE;
}

static gboolean
on_answer_due(gpointer data)
{
	later_t *later = data;

	conn_json(later->conn, later->status, "%s", later->text);
	conn_unref(later->conn);
	g_free(later->text);
	g_free(later);
	return G_SOURCE_REMOVE;
}

static void
answer_later(conn_t *conn, int status, char *text)
{
	later_t *later = g_new0(later_t, 1);

	later->conn = conn_ref(conn);
	later->status = status;
	later->text = text;
	(void)g_timeout_add(APPEND_MS, on_answer_due, later);
}

static bool
records_fit(const uint8_t *body, size_t size)
{
	size_t at = 0;

	while (at + 4 <= size) {
		size_t length = (size_t)body[at] << 24 |
		    (size_t)body[at + 1] << 16 | (size_t)body[at + 2] << 8 |
		    body[at + 3];

		if (length > store.record_bytes || at + 4 + length > size)
			return false;
		at += 4 + length;
	}
	return at == size && size <= REQUEST_BYTES;
}

static void
apply_records(part_t *part, const uint8_t *body, size_t size)
{
	size_t at = 0;

	while (at + 4 <= size) {
		size_t length = (size_t)body[at] << 24 |
		    (size_t)body[at + 1] << 16 | (size_t)body[at + 2] << 8 |
		    body[at + 3];
		size_t key_size = length > 0 ? body[at + 4] : 0;
		char *key =
		    g_strndup((const char *)body + at + 5, key_size);

		add_record(part, key, body + at + 5 + key_size,
		    length - 1 - key_size);
		g_free(key);
		at += 4 + length;
	}
}

/* The order of checks: epoch, repeat, sequence number, condition. */
static void
serve_append(conn_t *conn, const char *topic, part_t *part)
{
	char *name = param(conn->query, "producer");
	uint64_t epoch = number(conn->query, "epoch", 0);
	uint64_t sequence = number(conn->query, "sequence", 0);
	char *at = param(conn->query, "at");
	prod_t *prod = NULL;
	uint64_t offset = part->log->len;
	int i;

	if (name != NULL) {
		prod = g_hash_table_lookup(part->producers, name);
		if (prod == NULL) {
			prod = g_new0(prod_t, 1);
			g_hash_table_insert(
			    part->producers, g_strdup(name), prod);
		}
	}
	if (!records_fit((uint8_t *)conn->body->str, conn->body->len)) {
		note("store: an append to %s has a record or a body over the "
		     "limit: 400",
		    topic);
		answer_later(conn, 400, g_strdup("{}"));
		goto out;
	}
	if (prod != NULL && epoch < prod->epoch) {
		answer_later(conn, 409, g_strdup("{\"reason\":\"fenced\"}"));
		goto out;
	}
	if (prod != NULL && prod->written && epoch == prod->epoch) {
		for (i = 0; i < prod->n_last; i++) {
			if (prod->last[i].sequence != sequence)
				continue;
			note("store: append to %s, epoch %" G_GUINT64_FORMAT
			     ", sequence %" G_GUINT64_FORMAT
			     ": a repeat, gets its first answer again",
			    topic, epoch, sequence);
			answer_later(conn, 200,
			    g_strdup_printf(
				"{\"offset\":%" G_GUINT64_FORMAT
				",\"end_offset\":%" G_GUINT64_FORMAT "}",
				prod->last[i].offset, prod->last[i].end));
			goto out;
		}
		if (sequence != prod->sequence + 1) {
			answer_later(conn, 409,
			    g_strdup_printf("{\"reason\":\"seq\",\"sequence\":"
					    "%" G_GUINT64_FORMAT "}",
				prod->sequence + 1));
			goto out;
		}
	}
	if (at != NULL && strtoull(at, NULL, 10) != part->log->len) {
		answer_later(conn, 412,
		    g_strdup_printf("{\"end_offset\":%u}", part->log->len));
		goto out;
	}
	apply_records(part, (uint8_t *)conn->body->str, conn->body->len);
	if (prod != NULL) {
		if (epoch > prod->epoch || !prod->written)
			prod->n_last = 0;
		prod->epoch = epoch;
		prod->sequence = sequence;
		prod->written = true;
		if (prod->n_last == REPEATS)
			memmove(&prod->last[0], &prod->last[1],
			    sizeof(prod->last[0]) * (REPEATS - 1));
		else
			prod->n_last++;
		prod->last[prod->n_last - 1].sequence = sequence;
		prod->last[prod->n_last - 1].offset = offset;
		prod->last[prod->n_last - 1].end = part->log->len;
	}
	wake_readers();
	if (store.reset_after != NULL &&
	    store.reset_after(topic, (uint8_t *)conn->body->str,
		conn->body->len, store.data))
		conn_reset(conn);
	else
		answer_later(conn, 200,
		    g_strdup_printf("{\"offset\":%" G_GUINT64_FORMAT
				    ",\"end_offset\":%u}",
			offset, part->log->len));
out:
	g_free(name);
	g_free(at);
}

static gint
compare(gconstpointer a, gconstpointer b)
{
	return strcmp(*(const char *const *)a, *(const char *const *)b);
}

static void
serve_newest(conn_t *conn, part_t *part)
{
	char *after = param(conn->query, "depends_on");
	GPtrArray *keys = g_ptr_array_new();
	GString *text = g_string_new("{\"items\":[");
	GHashTableIter iter;
	gpointer key;
	guint i;
	guint listed = 0;
	bool more = false;

	g_hash_table_iter_init(&iter, part->newest);
	while (g_hash_table_iter_next(&iter, &key, NULL))
		g_ptr_array_add(keys, key);
	g_ptr_array_sort(keys, compare);
	for (i = 0; i < keys->len; i++) {
		const rec_t *rec =
		    g_hash_table_lookup(part->newest, keys->pdata[i]);
		gsize size = 0;
		const guchar *bytes = g_bytes_get_data(rec->value, &size);
		char *value;

		if (after != NULL && strcmp(rec->key, after) <= 0)
			continue;
		if (listed == PAGE || text->len > 1024 * 1024) {
			more = true;
			break;
		}
		value = g_base64_encode(bytes, size);
		g_string_append_printf(text,
		    "%s{\"key\":\"%s\",\"value\":\"%s\",\"offset\":%" G_GUINT64_FORMAT
		    "}",
		    listed > 0 ? "," : "", rec->key, value, rec->offset);
		g_free(value);
		listed++;
	}
	g_string_append_printf(text, "],\"has_more\":%s,\"end_offset\":%u}",
	    more ? "true" : "false", part->log->len);
	conn_json(conn, 200, "%s", text->str);
	g_string_free(text, TRUE);
	g_ptr_array_unref(keys);
	g_free(after);
}

static member_t *
find_member(group_t *group, const char *name)
{
	guint i;

	for (i = 0; i < group->members->len; i++) {
		member_t *member = group->members->pdata[i];

		if (strcmp(member->name, name) == 0)
			return member;
	}
	return NULL;
}

/* Distributes partitions evenly; owners keep theirs within their share. */
static void
distribute(group_t *group)
{
	guint n = group->members->len;
	guint counts[64] = {0};
	guint share = n > 0 ? (PARTITIONS + n - 1) / n : 0;
	guint i;
	guint k;

	group->generation++;
	for (i = 0; i < PARTITIONS; i++) {
		g_free(group->target[i]);
		group->target[i] = NULL;
		for (k = 0; k < n && group->owner[i] != NULL; k++) {
			member_t *member = group->members->pdata[k];

			if (strcmp(member->name, group->owner[i]) == 0 &&
			    counts[k] < share) {
				group->target[i] = g_strdup(member->name);
				counts[k]++;
			}
		}
	}
	for (i = 0; i < PARTITIONS; i++) {
		guint least = 0;

		if (group->target[i] != NULL || n == 0)
			continue;
		for (k = 1; k < n; k++) {
			if (counts[k] < counts[least])
				least = k;
		}
		counts[least]++;
		group->target[i] = g_strdup(
		    ((member_t *)group->members->pdata[least])->name);
	}
}

static void
remove_member(group_t *group, member_t *member)
{
	guint i;

	for (i = 0; i < PARTITIONS; i++) {
		if (g_strcmp0(group->owner[i], member->name) == 0)
			g_clear_pointer(&group->owner[i], g_free);
	}
	g_ptr_array_remove(group->members, member);
	g_free(member->name);
	g_free(member);
	distribute(group);
}

static void
expire(group_t *group)
{
	guint i;

	for (i = group->members->len; i > 0; i--) {
		member_t *member = group->members->pdata[i - 1];

		if (now_ms() - member->seen_ms > member->ttl_ms)
			remove_member(group, member);
	}
}

static group_t *
get_group(const char *name)
{
	group_t *group = g_hash_table_lookup(store.groups, name);

	if (group == NULL) {
		group = g_new0(group_t, 1);
		group->members = g_ptr_array_new();
		g_hash_table_insert(store.groups, g_strdup(name), group);
	}
	expire(group);
	return group;
}

static void
serve_join(conn_t *conn, JsonObject *object)
{
	group_t *group =
	    get_group(json_object_get_string_member(object, "group"));
	const char *name = json_object_get_string_member(object, "member");
	uint64_t generation =
	    (uint64_t)json_object_get_int_member(object, "generation");
	member_t *member = find_member(group, name);
	GString *text = g_string_new(NULL);
	bool first = true;
	guint i;

	if (group->topic == NULL)
		group->topic = g_strdup(json_array_get_string_element(
		    json_object_get_array_member(object, "topics"), 0));
	if (member == NULL) {
		member = g_new0(member_t, 1);
		member->name = g_strdup(name);
		g_ptr_array_add(group->members, member);
		distribute(group);
	}
	member->seen_ms = now_ms();
	member->ttl_ms = json_object_get_int_member(object, "ttl_ms");
	for (i = 0; i < PARTITIONS; i++) {
		/* One that is no longer listed is free once its owner has
		 * joined with this generation. */
		if (g_strcmp0(group->owner[i], name) == 0 &&
		    g_strcmp0(group->target[i], name) != 0 &&
		    generation >= group->generation)
			g_clear_pointer(&group->owner[i], g_free);
		if (group->owner[i] == NULL &&
		    g_strcmp0(group->target[i], name) == 0)
			group->owner[i] = g_strdup(name);
	}
	g_string_printf(text,
	    "{\"generation\":%" G_GUINT64_FORMAT ",\"ttl_ms\":%" G_GINT64_FORMAT
	    ",\"parts\":[",
	    group->generation, member->ttl_ms);
	for (i = 0; i < PARTITIONS; i++) {
		if (g_strcmp0(group->owner[i], name) != 0 ||
		    g_strcmp0(group->target[i], name) != 0)
			continue;
		g_string_append_printf(text, "%s[\"%s\",%u,0]",
		    first ? "" : ",", group->topic, i);
		first = false;
	}
	g_string_append(text, "]}");
	conn_json(conn, 200, "%s", text->str);
	g_string_free(text, TRUE);
}

static void
serve_leave(conn_t *conn, JsonObject *object)
{
	group_t *group =
	    get_group(json_object_get_string_member(object, "group"));
	member_t *member = find_member(
	    group, json_object_get_string_member(object, "member"));

	if (member != NULL)
		remove_member(group, member);
	conn_json(conn, 200, "{}");
}

static void
serve_owners(conn_t *conn)
{
	char *name = param(conn->query, "group");
	group_t *group = get_group(name != NULL ? name : "");
	GString *text = g_string_new("{\"parts\":[");
	bool first = true;
	guint i;

	for (i = 0; i < PARTITIONS; i++) {
		if (group->owner[i] == NULL)
			continue;
		g_string_append_printf(text, "%s[\"%s\",%u,\"%s\",0]",
		    first ? "" : ",", group->topic, i, group->owner[i]);
		first = false;
	}
	g_string_append(text, "]}");
	conn_json(conn, 200, "%s", text->str);
	g_string_free(text, TRUE);
	g_free(name);
}

static void
serve_body(conn_t *conn, void (*serve)(conn_t *, JsonObject *))
{
	JsonParser *parser = json_parser_new();

	if (json_parser_load_from_data(
		parser, conn->body->str, (gssize)conn->body->len, NULL) &&
	    JSON_NODE_HOLDS_OBJECT(json_parser_get_root(parser)))
		serve(conn, json_node_get_object(json_parser_get_root(parser)));
	else
		conn_json(conn, 400, "{}");
	g_object_unref(parser);
}

static void
on_store_call(conn_t *conn, void *data)
{
	char *topic = param(conn->query, "topic");
	char *number_text = param(conn->query, "part");
	part_t *part = get_part(topic != NULL ? topic : "",
	    number_text != NULL ? number_text : "0");
	int status = store.refuse != NULL
	    ? store.refuse(conn->path, topic, store.data)
	    : 0;

	(void)data;
	if (status < 0)
		conn_reset(conn);
	else if (status != 0)
		conn_json(conn, status, "{}");
	else if (strcmp(conn->path, "/v1/log-append") == 0)
		serve_append(conn, topic != NULL ? topic : "", part);
	else if (strcmp(conn->path, "/v1/log-newest") == 0)
		serve_newest(conn, part);
	else if (strcmp(conn->path, "/v1/log-join") == 0)
		serve_body(conn, serve_join);
	else if (strcmp(conn->path, "/v1/log-leave") == 0)
		serve_body(conn, serve_leave);
	else if (strcmp(conn->path, "/v1/log-owners") == 0)
		serve_owners(conn);
	else if (strcmp(conn->path, "/v1/log-read") == 0) {
		uint64_t from = number(conn->query, "from", 0);
		uint64_t wait_ms = number(conn->query, "wait_ms", 0);

		if (part->log->len > from || wait_ms == 0) {
			answer_read(conn, part, from);
		} else {
			later_t *later = g_new0(later_t, 1);

			later->conn = conn_ref(conn);
			later->part = part;
			later->from = (uint32_t)from;
			later->until_ms = now_ms() + (int64_t)wait_ms;
			g_ptr_array_add(readers, later);
		}
	} else
		conn_json(conn, 404, "{}");
	g_free(topic);
	g_free(number_text);
}

void
store_open(void)
{
	store.parts = g_hash_table_new(g_str_hash, g_str_equal);
	store.groups = g_hash_table_new(g_str_hash, g_str_equal);
	store.record_bytes = 262144;
	readers = g_ptr_array_new();
	store.port = serve_http(on_store_call, NULL, NULL);
	(void)g_timeout_add(5, on_tick, NULL);
}

/* Writes a record of the operator or of an executor; NULL drops the key. */
void
store_put(const char *topic, const char *key, const char *value)
{
	add_record(get_part(topic, "0"), key, value,
	    value != NULL ? strlen(value) : 0);
	wake_readers();
}

GBytes *
store_value(const char *topic, const char *key)
{
	const rec_t *rec =
	    g_hash_table_lookup(get_part(topic, "0")->newest, key);

	return rec != NULL ? rec->value : NULL;
}
