#define _GNU_SOURCE

#include "platform.h"

#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <json-glib/json-glib.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <time.h>
#include <unistd.h>

#define PARTS 8
#define NODES_MAX 8
#define HEARTBEAT_MS 1500
#define HOLD_MAX_MS 10000
#define STOP_MS 50
#define SERVICE "pool"

act_t (*on_call)(const seen_t *call);
void (*on_start)(run_t *run);
bool (*on_run)(run_t *run);
GPtrArray *runs;

static GMutex mutex;
static GCond changed;
static FILE *record;
static int64_t begin_ms;

/* ---- time and the record ---- */

int64_t
now_ms(void)
{
	struct timespec ts;

	clock_gettime(CLOCK_MONOTONIC, &ts);
	return (int64_t)ts.tv_sec * 1000 + ts.tv_nsec / 1000000;
}

int64_t
wall_ms(void)
{
	return g_get_real_time() / 1000;
}

void
sleep_ms(int64_t ms)
{
	g_usleep((gulong)ms * 1000);
}

void
note(const char *format, ...)
{
	va_list args;

	va_start(args, format);
	fprintf(record, "%8.3f ", (double)(now_ms() - begin_ms) / 1000);
	vfprintf(record, format, args);
	fputc('\n', record);
	fflush(record);
	va_end(args);
}

bool
trouble(void)
{
	return g_strcmp0(g_getenv("TROUBLE"), "0") != 0;
}

void
lock(void)
{
	g_mutex_lock(&mutex);
}

void
unlock(void)
{
	g_mutex_unlock(&mutex);
}

static bool
wait_until_ms(int64_t until_ms)
{
	int64_t left_ms = until_ms - now_ms();

	if (left_ms <= 0)
		return false;
	(void)g_cond_wait_until(
	    &changed, &mutex, g_get_monotonic_time() + left_ms * 1000);
	return true;
}

/* ---- HTTP ---- */

typedef struct {
	int fd;
	int executor; /* -1: the store */
	uint16_t peer_port;
	uint64_t number;
} conn_t;

static GPtrArray *connections; /* conn_t, open */
static uint64_t last_connection;
static uint64_t silent_until; /* number of the last silent connection */

typedef struct {
	int status;
	GString *body;
	const char *type;
} answer_t;

typedef struct {
	char *method;
	char *path;
	char *query;
	char *expect; /* the header of the incarnation */
	char *body;
	size_t body_bytes;
} request_t;

static int
listen_on(uint16_t *port)
{
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	struct sockaddr_in at = {.sin_family = AF_INET,
	    .sin_port = htons(*port),
	    .sin_addr.s_addr = htonl(INADDR_LOOPBACK)};
	socklen_t size = sizeof(at);
	int one = 1;

	setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
	if (bind(fd, (struct sockaddr *)&at, sizeof(at)) != 0 ||
	    listen(fd, 256) != 0 ||
	    getsockname(fd, (struct sockaddr *)&at, &size) != 0)
		cannot_run("a port cannot be opened");
	*port = ntohs(at.sin_port);
	return fd;
}

static bool
read_more(int fd, GString *in)
{
	char bytes[16384];
	ssize_t n = read(fd, bytes, sizeof(bytes));

	if (n <= 0)
		return false;
	g_string_append_len(in, bytes, n);
	return true;
}

static char *
header(const char *head, const char *name)
{
	char **lines = g_strsplit(head, "\r\n", -1);
	char *found = NULL;
	size_t i;

	for (i = 1; lines[i] != NULL; i++) {
		char *colon = strchr(lines[i], ':');

		if (colon == NULL)
			continue;
		*colon = '\0';
		if (g_ascii_strcasecmp(lines[i], name) == 0)
			found = g_strdup(g_strstrip(colon + 1));
	}
	g_strfreev(lines);
	return found;
}

static bool
read_request(int fd, GString *in, request_t *out)
{
	char *end;
	char *head;
	char **words;
	char *length;
	char *mark;
	size_t head_bytes;

	memset(out, 0, sizeof(*out));
	while ((end = strstr(in->str, "\r\n\r\n")) == NULL) {
		if (!read_more(fd, in))
			return false;
	}
	head_bytes = (size_t)(end - in->str) + 4;
	head = g_strndup(in->str, head_bytes);
	length = header(head, "Content-Length");
	out->body_bytes = length != NULL ? strtoul(length, NULL, 10) : 0;
	out->expect = header(head, "X-Bulrushpost-Expect-Instance");
	words = g_strsplit(head, " ", 3);
	out->method = g_strdup(words[0]);
	out->path = g_strdup(words[1] != NULL ? words[1] : "");
	mark = strchr(out->path, '?');
	out->query = g_strdup(mark != NULL ? mark + 1 : "");
	if (mark != NULL)
		*mark = '\0';
	g_strfreev(words);
	g_free(length);
	g_free(head);
	while (in->len < head_bytes + out->body_bytes) {
		if (!read_more(fd, in))
			return false;
	}
	out->body = g_malloc(out->body_bytes + 1);
	memcpy(out->body, in->str + head_bytes, out->body_bytes);
	out->body[out->body_bytes] = '\0';
	g_string_erase(in, 0, (gssize)(head_bytes + out->body_bytes));
	return true;
}

static void
clear_request(request_t *request)
{
	g_free(request->method);
	g_free(request->path);
	g_free(request->query);
	g_free(request->expect);
	g_free(request->body);
}

static bool
write_all(int fd, const char *bytes, size_t size)
{
	while (size > 0) {
		ssize_t n = send(fd, bytes, size, MSG_NOSIGNAL);

		if (n <= 0)
			return false;
		bytes += n;
		size -= (size_t)n;
	}
	return true;
}

static bool
write_answer(int fd, const answer_t *answer)
{
	GString *out = g_string_new(NULL);
	bool good;

	g_string_append_printf(out,
	    "HTTP/1.1 %d X\r\nContent-Type: %s\r\nContent-Length: %zu\r\n\r\n",
	    answer->status, answer->type, (size_t)answer->body->len);
	g_string_append_len(out, answer->body->str, (gssize)answer->body->len);
	good = write_all(fd, out->str, out->len);
	g_string_free(out, TRUE);
	return good;
}

static void
reset(int fd)
{
	struct linger now = {1, 0};

	setsockopt(fd, SOL_SOCKET, SO_LINGER, &now, sizeof(now));
	close(fd);
}

static char *
param(const char *query, const char *name)
{
	char **parts = g_strsplit(query, "&", -1);
	size_t bytes = strlen(name);
	char *found = NULL;
	size_t i;

	for (i = 0; parts[i] != NULL; i++) {
		if (strncmp(parts[i], name, bytes) == 0 &&
		    parts[i][bytes] == '=')
			found =
			    g_uri_unescape_string(parts[i] + bytes + 1, NULL);
	}
	g_strfreev(parts);
	return found;
}

static uint64_t
param_number(const char *query, const char *name, uint64_t missing)
{
	char *text = param(query, name);
	uint64_t value =
	    text != NULL ? g_ascii_strtoull(text, NULL, 10) : missing;

	g_free(text);
	return value;
}

/* ---- the store ---- */

typedef struct {
	char *key;
	GBytes *value; /* NULL: removed */
	uint64_t offset;
} item_t;

typedef struct {
	uint64_t sequence;
	uint64_t offset;
	uint64_t end;
} repeat_t;

typedef struct {
	GPtrArray *log; /* item_t */
	GHashTable *newest; /* key to item_t */
	bool written; /* by a producer */
	uint64_t epoch;
	GArray *repeats; /* repeat_t, the last five */
} part_t;

static GHashTable *parts; /* "topic/part" to part_t */

static part_t *
part_of(const char *topic, uint64_t number)
{
	char *name = g_strdup_printf("%s/%u", topic, (unsigned)number);
	part_t *part = g_hash_table_lookup(parts, name);

	if (part != NULL) {
		g_free(name);
		return part;
	}
	part = g_new0(part_t, 1);
	part->log = g_ptr_array_new();
	part->newest = g_hash_table_new(g_str_hash, g_str_equal);
	part->repeats = g_array_new(FALSE, FALSE, sizeof(repeat_t));
	g_hash_table_insert(parts, name, part);
	return part;
}

static void
put(part_t *part, const char *key, size_t key_bytes, const void *value,
    size_t value_bytes)
{
	item_t *item = g_new0(item_t, 1);

	item->key = g_strndup(key, key_bytes);
	item->value = value_bytes > 0 ? g_bytes_new(value, value_bytes) : NULL;
	item->offset = part->log->len;
	g_ptr_array_add(part->log, item);
	if (item->value != NULL)
		g_hash_table_replace(part->newest, item->key, item);
	else
		g_hash_table_remove(part->newest, item->key);
	g_cond_broadcast(&changed);
}

static void
say(answer_t *answer, int status, const char *format, ...)
{
	va_list args;

	va_start(args, format);
	answer->status = status;
	g_string_append_vprintf(answer->body, format, args);
	va_end(args);
}

static uint32_t
be32(const uint8_t *at)
{
	return (uint32_t)at[0] << 24 | (uint32_t)at[1] << 16 |
	    (uint32_t)at[2] << 8 | at[3];
}

static void
add_be(GString *out, uint64_t value, int bytes)
{
	int i;

	for (i = bytes - 1; i >= 0; i--)
		g_string_append_c(out, (char)(value >> (8 * i)));
}

/* Returns whether the append is to be carried out. */
static bool
admit(part_t *part, const request_t *request, answer_t *answer)
{
	char *producer = param(request->query, "producer");
	uint64_t epoch = param_number(request->query, "epoch", 0);
	uint64_t sequence = param_number(request->query, "sequence", 0);
	char *at = param(request->query, "at");
	bool good = false;
	guint i;

	if (producer != NULL && part->written && epoch < part->epoch) {
		say(answer, 409, "{\"reason\":\"fenced\"}");
		goto done;
	}
	if (producer != NULL && part->written && epoch == part->epoch &&
	    part->repeats->len > 0) {
		const repeat_t *last = &g_array_index(
		    part->repeats, repeat_t, part->repeats->len - 1);

		for (i = 0; i < part->repeats->len; i++) {
			const repeat_t *known =
			    &g_array_index(part->repeats, repeat_t, i);

			if (known->sequence != sequence)
				continue;
			note("store: append with sequence %u again: its first "
			     "answer",
			    (unsigned)sequence);
			say(answer, 200, "{\"offset\":%u,\"end_offset\":%u}",
			    (unsigned)known->offset, (unsigned)known->end);
			goto done;
		}
		if (sequence != last->sequence + 1) {
			say(answer, 409, "{\"reason\":\"seq\",\"sequence\":%u}",
			    (unsigned)last->sequence + 1);
			goto done;
		}
	}
	if (at != NULL && g_ascii_strtoull(at, NULL, 10) != part->log->len) {
		say(answer, 412, "{\"end_offset\":%u}", part->log->len);
		goto done;
	}
	good = true;
done:
	g_free(producer);
	g_free(at);
	return good;
}

static void
append(const request_t *request, answer_t *answer)
{
	char *topic = param(request->query, "topic");
	part_t *part = part_of(topic, param_number(request->query, "part", 0));
	uint64_t epoch = param_number(request->query, "epoch", 0);
	repeat_t repeat = {
	    param_number(request->query, "sequence", 0), part->log->len, 0};
	const uint8_t *at = (const uint8_t *)request->body;
	size_t left = request->body_bytes;

	g_free(topic);
	if (!admit(part, request, answer))
		return;
	while (left >= 4 && be32(at) <= left - 4) {
		uint32_t size = be32(at);
		uint8_t key = size > 0 ? at[4] : 0;

		put(part, (const char *)at + 5, key, at + 5 + key,
		    size - 1 - key);
		at += 4 + size;
		left -= 4 + size;
	}
	if (strstr(request->query, "producer=") != NULL) {
		if (!part->written || epoch != part->epoch)
			g_array_set_size(part->repeats, 0);
		part->written = true;
		part->epoch = epoch;
		repeat.end = part->log->len;
		if (request->body_bytes > 0)
			g_array_append_val(part->repeats, repeat);
		if (part->repeats->len > 5)
			g_array_remove_index(part->repeats, 0);
	}
	say(answer, 200, "{\"offset\":%u,\"end_offset\":%u}",
	    (unsigned)repeat.offset, part->log->len);
}

static void
read_log(const request_t *request, answer_t *answer)
{
	char *topic = param(request->query, "topic");
	part_t *part = part_of(topic, param_number(request->query, "part", 0));
	uint64_t from = param_number(request->query, "from", 0);
	int64_t until_ms =
	    now_ms() + (int64_t)param_number(request->query, "wait_ms", 0);
	uint64_t i;

	g_free(topic);
	while (from >= part->log->len && wait_until_ms(until_ms))
		continue;
	answer->status = 200;
	answer->type = "application/octet-stream";
	add_be(answer->body, part->log->len, 8);
	add_be(answer->body, 0, 8);
	for (i = from; i < part->log->len && answer->body->len < 900000; i++) {
		const item_t *item = part->log->pdata[i];
		gsize size = 0;
		const char *value = item->value != NULL
		    ? g_bytes_get_data(item->value, &size)
		    : "";

		add_be(answer->body, 1 + strlen(item->key) + size, 4);
		add_be(answer->body, strlen(item->key), 1);
		g_string_append(answer->body, item->key);
		g_string_append_len(answer->body, value, (gssize)size);
	}
}

static gint
compare_keys(gconstpointer a, gconstpointer b)
{
	return strcmp((*(item_t *const *)a)->key, (*(item_t *const *)b)->key);
}

static void
newest(const request_t *request, answer_t *answer)
{
	char *topic = param(request->query, "topic");
	char *after = param(request->query, "depends_on");
	part_t *part = part_of(topic, param_number(request->query, "part", 0));
	GPtrArray *items = g_ptr_array_new();
	GHashTableIter iter;
	gpointer value;
	uint32_t added = 0;
	bool more = false;
	guint i;

	g_hash_table_iter_init(&iter, part->newest);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		g_ptr_array_add(items, value);
	g_ptr_array_sort(items, compare_keys);
	say(answer, 200, "{\"items\":[");
	for (i = 0; i < items->len; i++) {
		const item_t *item = items->pdata[i];
		gsize size = 0;
		const void *bytes = g_bytes_get_data(item->value, &size);
		char *text;

		if (after != NULL && strcmp(item->key, after) <= 0)
			continue;
		if (added == 500 || answer->body->len > 1000000) {
			more = true;
			break;
		}
		text = g_base64_encode(bytes, size);
		say(answer, 200,
		    "%s{\"key\":\"%s\",\"value\":\"%s\",\"offset\":%u}",
		    added++ > 0 ? "," : "", item->key, text,
		    (unsigned)item->offset);
		g_free(text);
	}
	say(answer, 200, "],\"has_more\":%s,\"end_offset\":%u}",
	    more ? "true" : "false", part->log->len);
	g_ptr_array_unref(items);
	g_free(topic);
	g_free(after);
}

/* The group: partitions go to the members evenly, and as few as possible move.
 */
typedef struct {
	char *name;
	int64_t until_ms;
	uint64_t generation; /* of its last join */
} member_t;

static GPtrArray *members; /* member_t, by the time of joining */
static char *wanted[PARTS];
static char *holder[PARTS];
static uint64_t generation = 1;
static char *group_topic;

static member_t *
member_of(const char *name)
{
	guint i;

	for (i = 0; i < members->len; i++) {
		member_t *member = members->pdata[i];

		if (strcmp(member->name, name) == 0)
			return member;
	}
	return NULL;
}

static uint32_t
wanted_by(const char *name)
{
	uint32_t count = 0;
	uint32_t i;

	for (i = 0; i < PARTS; i++)
		count += g_strcmp0(wanted[i], name) == 0;
	return count;
}

static void
deal(void)
{
	uint32_t most;
	uint32_t i;
	guint k;

	generation++;
	if (members->len == 0) {
		for (i = 0; i < PARTS; i++)
			g_clear_pointer(&wanted[i], g_free);
		return;
	}
	most = (PARTS + members->len - 1) / members->len;
	for (i = 0; i < PARTS; i++) {
		if (wanted[i] != NULL &&
		    (member_of(wanted[i]) == NULL ||
			wanted_by(wanted[i]) > most))
			g_clear_pointer(&wanted[i], g_free);
	}
	for (i = 0; i < PARTS; i++) {
		const char *least = NULL;

		for (k = 0; k < members->len && wanted[i] == NULL; k++) {
			const char *name =
			    ((member_t *)members->pdata[k])->name;

			if (least == NULL || wanted_by(name) < wanted_by(least))
				least = name;
		}
		if (wanted[i] == NULL)
			wanted[i] = g_strdup(least);
	}
}

static void
drop_member(member_t *member)
{
	uint32_t i;

	for (i = 0; i < PARTS; i++) {
		if (g_strcmp0(holder[i], member->name) == 0)
			g_clear_pointer(&holder[i], g_free);
	}
	g_ptr_array_remove(members, member);
	g_free(member->name);
	g_free(member);
	deal();
}

static void
expire_members(void)
{
	guint i;

	for (i = members->len; i > 0; i--) {
		member_t *member = members->pdata[i - 1];

		if (member->until_ms <= now_ms())
			drop_member(member);
	}
}

static void
join_group(const request_t *request, answer_t *answer)
{
	JsonParser *parser = json_parser_new();
	JsonObject *body;
	const char *name;
	member_t *member;
	uint32_t added = 0;
	uint32_t i;

	if (!json_parser_load_from_data(parser, request->body, -1, NULL)) {
		say(answer, 400, "{}");
		return;
	}
	body = json_node_get_object(json_parser_get_root(parser));
	name = json_object_get_string_member(body, "member");
	if (group_topic == NULL)
		group_topic = g_strdup(json_array_get_string_element(
		    json_object_get_array_member(body, "topics"), 0));
	expire_members();
	member = member_of(name);
	if (member == NULL) {
		member = g_new0(member_t, 1);
		member->name = g_strdup(name);
		g_ptr_array_add(members, member);
		deal();
	}
	member->until_ms =
	    now_ms() + json_object_get_int_member(body, "ttl_ms");
	member->generation =
	    (uint64_t)json_object_get_int_member(body, "generation");
	say(answer, 200, "{\"generation\":%u,\"ttl_ms\":2500,\"parts\":[",
	    (unsigned)generation);
	for (i = 0; i < PARTS; i++) {
		/* It gives up what is not its own once it knows that. */
		if (g_strcmp0(holder[i], name) == 0 &&
		    g_strcmp0(wanted[i], name) != 0 &&
		    member->generation >= generation)
			g_clear_pointer(&holder[i], g_free);
		if (holder[i] == NULL && g_strcmp0(wanted[i], name) == 0)
			holder[i] = g_strdup(name);
		if (g_strcmp0(holder[i], name) == 0 &&
		    g_strcmp0(wanted[i], name) == 0)
			say(answer, 200, "%s[\"%s\",%u,0]",
			    added++ > 0 ? "," : "", group_topic, i);
	}
	say(answer, 200, "]}");
	g_object_unref(parser);
}

static void
leave_group(const request_t *request, answer_t *answer)
{
	JsonParser *parser = json_parser_new();
	member_t *member = NULL;

	if (json_parser_load_from_data(parser, request->body, -1, NULL))
		member = member_of(json_object_get_string_member(
		    json_node_get_object(json_parser_get_root(parser)),
		    "member"));
	if (member != NULL)
		drop_member(member);
	say(answer, 200, "{}");
	g_object_unref(parser);
}

static void
owners(answer_t *answer)
{
	uint32_t added = 0;
	uint32_t i;

	expire_members();
	say(answer, 200, "{\"parts\":[");
	for (i = 0; i < PARTS; i++) {
		if (holder[i] != NULL)
			say(answer, 200, "%s[\"%s\",%u,\"%s\",0]",
			    added++ > 0 ? "," : "", group_topic, i, holder[i]);
	}
	say(answer, 200, "]}");
}

static void
serve_store(const request_t *request, answer_t *answer)
{
	if (strcmp(request->path, "/v1/log-append") == 0)
		append(request, answer);
	else if (strcmp(request->path, "/v1/log-read") == 0)
		read_log(request, answer);
	else if (strcmp(request->path, "/v1/log-newest") == 0)
		newest(request, answer);
	else if (strcmp(request->path, "/v1/log-join") == 0)
		join_group(request, answer);
	else if (strcmp(request->path, "/v1/log-leave") == 0)
		leave_group(request, answer);
	else if (strcmp(request->path, "/v1/log-owners") == 0)
		owners(answer);
	else
		say(answer, 404, "{}");
}

bool
store_has(const char *key)
{
	GHashTableIter iter;
	gpointer name;
	gpointer value;
	bool found = false;

	lock();
	g_hash_table_iter_init(&iter, parts);
	while (g_hash_table_iter_next(&iter, &name, &value)) {
		found = found ||
		    g_hash_table_contains(((part_t *)value)->newest, key);
	}
	unlock();
	return found;
}

/* ---- executors ---- */

typedef struct {
	uint16_t port;
	char id[32];
	int64_t born;
	int64_t begun_ms; /* monotonic; its clock begins at 1,000 */
	uint64_t fence;
	int64_t deadline_ms; /* its clock */
	uint64_t ends; /* number of the last end */
	uint64_t acked;
	uint64_t sequence;
	bool down;
	int64_t down_ms; /* monotonic, since when; 0: its entry is removed */
} exec_t;

static exec_t execs[EXECS_MAX];
static uint32_t n_execs;
static uint32_t exec_cpu;
static uint32_t exec_others;

static int64_t
exec_clock(const exec_t *exec)
{
	return now_ms() - exec->begun_ms + 1000;
}

void
end_run(run_t *run, const char *how)
{
	exec_t *exec = &execs[run->executor];

	run->end_ms = now_ms();
	g_strlcpy(run->how, how, sizeof(run->how));
	run->number = ++exec->ends;
	note("executor %u: %s run %u ended %s", run->executor, run->task,
	    (unsigned)run->run, how);
	g_cond_broadcast(&changed);
}

static bool
is_here(const run_t *run, const exec_t *exec)
{
	return run->executor == (uint32_t)(exec - execs) &&
	    run->born == exec->born;
}

/* Ends what has worked long enough, or whose lease has expired. */
static void
advance(exec_t *exec)
{
	int64_t now = now_ms();
	guint i;

	for (i = 0; i < runs->len; i++) {
		run_t *run = runs->pdata[i];

		if (!is_here(run, exec) || run->end_ms != 0)
			continue;
		if (on_run != NULL && on_run(run))
			continue;
		if (now - run->start_ms >= run->work_ms)
			end_run(run, run->fails ? "failed" : "done");
		else if (exec_clock(exec) > exec->deadline_ms)
			end_run(run, "lapsed");
	}
}

static int64_t
number_of(JsonObject *body, const char *name)
{
	return json_object_has_member(body, name)
	    ? json_object_get_int_member(body, name)
	    : 0;
}

static void
refuse(const exec_t *exec, answer_t *answer, const char *reason)
{
	say(answer, 409,
	    "{\"clock_ms\":%d,\"born\":%" G_GINT64_FORMAT ",\"reason\":\"%s\"}",
	    (int)exec_clock(exec), exec->born, reason);
}

static void
accept_answer(const exec_t *exec, answer_t *answer)
{
	say(answer, 200, "{\"clock_ms\":%d,\"born\":%" G_GINT64_FORMAT "}",
	    (int)exec_clock(exec), exec->born);
}

static void
extend(exec_t *exec, int64_t deadline_ms)
{
	deadline_ms = MIN(deadline_ms, exec_clock(exec) + HOLD_MAX_MS);
	exec->deadline_ms = MAX(exec->deadline_ms, deadline_ms);
}

static run_t *
find_run(const exec_t *exec, const char *task, uint64_t number)
{
	guint i;

	for (i = 0; i < runs->len; i++) {
		run_t *run = runs->pdata[i];

		if (is_here(run, exec) && run->run == number &&
		    strcmp(run->task, task) == 0)
			return run;
	}
	return NULL;
}

/* Highest run of a task that was stopped or has ended here. */
static GHashTable *barred; /* "executor/born/task" to the run */

static char *
bar_key(const exec_t *exec, const char *task)
{
	return g_strdup_printf("%u/%" G_GINT64_FORMAT "/%s",
	    (unsigned)(exec - execs), exec->born, task);
}

static void
bar(const exec_t *exec, const char *task, uint64_t number)
{
	char *key = bar_key(exec, task);
	uint64_t *known = g_hash_table_lookup(barred, key);

	if (known != NULL) {
		*known = MAX(*known, number);
		g_free(key);
		return;
	}
	known = g_new(uint64_t, 1);
	*known = number;
	g_hash_table_insert(barred, key, known);
}

static bool
is_barred(const exec_t *exec, const char *task, uint64_t number)
{
	char *key = bar_key(exec, task);
	const uint64_t *known = g_hash_table_lookup(barred, key);
	guint i;

	g_free(key);
	if (known != NULL && number <= *known)
		return true;
	for (i = 0; i < runs->len; i++) {
		const run_t *run = runs->pdata[i];

		if (is_here(run, exec) && run->end_ms != 0 &&
		    number <= run->run && strcmp(run->task, task) == 0)
			return true;
	}
	return false;
}

static uint32_t
used_cpu(const exec_t *exec)
{
	int64_t used = 0;
	guint i;

	for (i = 0; i < runs->len; i++) {
		const run_t *run = runs->pdata[i];

		if (is_here(run, exec) && run->end_ms == 0)
			used += run->cpu;
	}
	return (uint32_t)used;
}

static void
start_run(exec_t *exec, JsonObject *body, answer_t *answer)
{
	const char *task = json_object_get_string_member(body, "task");
	uint64_t number = (uint64_t)number_of(body, "run");
	const char *spec = json_object_has_member(body, "task_spec")
	    ? json_object_get_string_member(body, "task_spec")
	    : "";
	const char *ms = strstr(spec, "ms=");
	const char *cpu = strstr(spec, "cpu=");
	run_t *run;

	if (find_run(exec, task, number) != NULL &&
	    find_run(exec, task, number)->end_ms == 0) {
		extend(exec, number_of(body, "deadline_ms"));
		accept_answer(exec, answer);
		return;
	}
	if (is_barred(exec, task, number)) {
		extend(exec, number_of(body, "deadline_ms"));
		refuse(exec, answer, "old");
		return;
	}
	if (MIN(number_of(body, "deadline_ms"),
		exec_clock(exec) + HOLD_MAX_MS) < exec_clock(exec) &&
	    exec->deadline_ms < exec_clock(exec)) {
		refuse(exec, answer, "late");
		return;
	}
	extend(exec, number_of(body, "deadline_ms"));
	if (cpu != NULL && used_cpu(exec) + atoi(cpu + 4) > exec_cpu) {
		refuse(exec, answer, "room");
		return;
	}
	run = g_new0(run_t, 1);
	run->task = g_strdup(task);
	run->run = number;
	run->executor = (uint32_t)(exec - execs);
	run->born = exec->born;
	run->start_ms = now_ms();
	run->spec = g_strdup(spec);
	run->checkpoint =
	    g_strdup(json_object_has_member(body, "last_checkpoint")
		    ? json_object_get_string_member(body, "last_checkpoint")
		    : "");
	run->work_ms = ms != NULL ? atoi(ms + 3) : 500;
	run->cpu = cpu != NULL ? atoi(cpu + 4) : 0;
	if (on_start != NULL)
		on_start(run);
	g_ptr_array_add(runs, run);
	note("executor %u: %s run %u starts, fence %u%s%s", run->executor, task,
	    (unsigned)number, (unsigned)exec->fence,
	    run->checkpoint[0] != '\0' ? ", from " : "", run->checkpoint);
	accept_answer(exec, answer);
	g_cond_broadcast(&changed);
}

static void
stop_run(exec_t *exec, JsonObject *body, answer_t *answer)
{
	const char *task = json_object_get_string_member(body, "task");
	uint64_t number = (uint64_t)number_of(body, "run");
	run_t *run = find_run(exec, task, number);

	if (run != NULL && run->end_ms == 0)
		end_run(run, "stopped");
	bar(exec, task, number);
	accept_answer(exec, answer);
}

static bool
has_news(const exec_t *exec, uint64_t seen)
{
	return exec->ends > seen;
}

static gint
compare_numbers(gconstpointer a, gconstpointer b)
{
	const run_t *x = *(run_t *const *)a;
	const run_t *y = *(run_t *const *)b;

	return (x->number > y->number) - (x->number < y->number);
}

static void
list(exec_t *exec, answer_t *answer)
{
	GPtrArray *ended = g_ptr_array_new();
	uint32_t added = 0;
	guint i;

	say(answer, 200,
	    "{\"clock_ms\":%d,\"born\":%" G_GINT64_FORMAT ",\"running\":[",
	    (int)exec_clock(exec), exec->born);
	for (i = 0; i < runs->len; i++) {
		const run_t *run = runs->pdata[i];

		if (is_here(run, exec) && run->end_ms == 0)
			say(answer, 200, "%s[\"%s\",%u,\"%s\",%d,%d]",
			    added++ > 0 ? "," : "", run->task,
			    (unsigned)run->run, run->checkpoint,
			    (int)MIN(99,
				(now_ms() - run->start_ms) * 100 /
				    MAX(run->work_ms, 1)),
			    (int)run->figure);
	}
	say(answer, 200, "],\"ended\":[");
	for (i = 0; i < runs->len; i++) {
		if (is_here(runs->pdata[i], exec) &&
		    ((run_t *)runs->pdata[i])->number > exec->acked)
			g_ptr_array_add(ended, runs->pdata[i]);
	}
	g_ptr_array_sort(ended, compare_numbers);
	for (i = 0; i < MIN(ended->len, 500); i++) {
		const run_t *run = ended->pdata[i];

		say(answer, 200, "%s[%u,\"%s\",%u,\"%s\",\"%s\"]",
		    i > 0 ? "," : "", (unsigned)run->number, run->task,
		    (unsigned)run->run, run->how, run->checkpoint);
	}
	g_ptr_array_unref(ended);
	say(answer, 200, "]}");
}

static void
hold(exec_t *exec, JsonObject *body, answer_t *answer)
{
	uint64_t cursor = (uint64_t)number_of(body, "ack_cursor");
	int64_t until_ms = now_ms() + MIN(number_of(body, "wait_ms"), 2000);
	int64_t born = exec->born;
	uint64_t seen = exec->ends;
	guint i;

	exec->acked = MAX(exec->acked, MIN(cursor, exec->ends));
	for (i = 0; i < runs->len; i++) {
		run_t *run = runs->pdata[i];

		if (is_here(run, exec) && run->end_ms != 0 &&
		    run->number <= exec->acked && !run->noted) {
			run->noted = true;
			note("executor %u: end of %s run %u is taken note of",
			    run->executor, run->task, (unsigned)run->run);
		}
	}
	if (number_of(body, "deadline_ms") > 0)
		extend(exec, number_of(body, "deadline_ms"));
	while (exec->born == born && exec->acked >= seen &&
	    !has_news(exec, seen) && wait_until_ms(until_ms))
		advance(exec);
	list(exec, answer);
}

static void
serve_executor(exec_t *exec, const request_t *request, answer_t *answer)
{
	JsonParser *parser = json_parser_new();
	JsonObject *body;
	uint64_t fence;

	advance(exec);
	if (strcmp(request->path, "/healthz") == 0) {
		say(answer, 200, "{}");
		goto done;
	}
	if (g_strcmp0(request->expect, exec->id) != 0 &&
	    request->expect != NULL) {
		say(answer, 421, "{}");
		goto done;
	}
	if (!json_parser_load_from_data(parser, request->body, -1, NULL)) {
		say(answer, 400, "{}");
		goto done;
	}
	body = json_node_get_object(json_parser_get_root(parser));
	fence = (uint64_t)number_of(body, "fencing_token");
	if (fence < exec->fence) {
		refuse(exec, answer, "fence");
		goto done;
	}
	exec->fence = fence;
	if (strcmp(request->path, "/v1/run-start") == 0)
		start_run(exec, body, answer);
	else if (strcmp(request->path, "/v1/run-stop") == 0)
		stop_run(exec, body, answer);
	else if (strcmp(request->path, "/v1/hold") == 0)
		hold(exec, body, answer);
	else
		accept_answer(exec, answer);
done:
	g_object_unref(parser);
}

static void
beat(exec_t *exec)
{
	uint32_t index = (uint32_t)(exec - execs);
	char *entry = g_strdup_printf(
	    "{\"service_name\":\"" SERVICE "\",\"address\":\"127.0.0.1:%u\","
	    "\"zone\":\"z%u\",\"version\":\"v1\",\"slots\":8,\"state\":"
	    "\"ready\","
	    "\"cold_remaining_ms\":0,\"capacity\":{\"cpu\":%u,\"mem_mb\":64000,"
	    "\"gpu\":0},\"labels\":[\"%s\",\"r%u\"],\"clock_ms\":%d,\"born\":"
	    "%" G_GINT64_FORMAT ",\"sequence\":%u}",
	    exec->port, index % 3, exec_cpu, index < exec_others ? "b" : "a",
	    index / 2, (int)exec_clock(exec), exec->born,
	    (unsigned)++exec->sequence);

	put(part_of("keyed.servers", 0), exec->id, strlen(exec->id), entry,
	    strlen(entry));
	g_free(entry);
}

/* The entry of an executor is removed after three heartbeats of silence. */
static void
expire_entry(exec_t *exec)
{
	if (exec->down_ms == 0 || now_ms() - exec->down_ms < 3 * HEARTBEAT_MS)
		return;
	exec->down_ms = 0;
	put(part_of("keyed.servers", 0), exec->id, strlen(exec->id), "", 0);
	note("the entry of executor %u is removed", (unsigned)(exec - execs));
}

static gpointer
run_executors(gpointer data)
{
	int64_t beat_ms = 0;
	uint32_t i;

	(void)data;
	for (;;) {
		lock();
		for (i = 0; i < n_execs; i++) {
			if (execs[i].down) {
				expire_entry(&execs[i]);
				continue;
			}
			advance(&execs[i]);
			if (now_ms() - beat_ms >= HEARTBEAT_MS)
				beat(&execs[i]);
		}
		if (now_ms() - beat_ms >= HEARTBEAT_MS)
			beat_ms = now_ms();
		unlock();
		sleep_ms(5);
	}
	return NULL;
}

void
silence_connections(void)
{
	lock();
	silent_until = last_connection;
	note("all open connections to the store and the executors go silent");
	unlock();
}

void
executor_crash(uint32_t index)
{
	exec_t *exec = &execs[index];
	guint i;

	lock();
	exec->down = true;
	exec->down_ms = now_ms();
	for (i = 0; i < runs->len; i++) {
		run_t *run = runs->pdata[i];

		if (!is_here(run, exec) || run->end_ms != 0)
			continue;
		run->end_ms = now_ms();
		g_strlcpy(run->how, "crashed", sizeof(run->how));
		note("executor %u: %s run %u ends with it", index, run->task,
		    (unsigned)run->run);
	}
	/* Connections end with the process that accepted them. */
	for (i = 0; i < connections->len; i++) {
		const conn_t *conn = connections->pdata[i];

		if (conn->executor == (int)index)
			(void)shutdown(conn->fd, SHUT_RDWR);
	}
	note("executor %u crashes", index);
	g_cond_broadcast(&changed);
	unlock();
}

void
executor_start(uint32_t index, int64_t clock_off_ms)
{
	exec_t *exec = &execs[index];

	lock();
	exec->born = wall_ms() + clock_off_ms;
	exec->begun_ms = now_ms();
	exec->fence = exec->ends = exec->acked = exec->sequence = 0;
	exec->deadline_ms = 0;
	exec->down = false;
	note("executor %u starts again, born %" G_GINT64_FORMAT, index,
	    exec->born);
	beat(exec);
	unlock();
}

uint32_t
executor_free(uint32_t index)
{
	const exec_t *exec = &execs[index];
	uint32_t left;

	lock();
	left = exec->down ? 0 : exec_cpu - MIN(used_cpu(exec), exec_cpu);
	unlock();
	return left;
}

void
list_put(const char *id, const char *entry)
{
	lock();
	put(part_of("keyed.servers", 0), id, strlen(id), entry, strlen(entry));
	unlock();
}

uint32_t
count_doubles(char **first)
{
	uint32_t count = 0;
	guint i;
	guint k;

	for (i = 0; i < runs->len; i++) {
		const run_t *a = runs->pdata[i];

		for (k = 0; k < runs->len; k++) {
			const run_t *b = runs->pdata[k];
			bool overlap;
			bool again;

			if (i == k || strcmp(a->task, b->task) != 0 ||
			    b->start_ms < a->start_ms)
				continue;
			overlap = a->end_ms == 0 || a->end_ms > b->start_ms;
			again = strcmp(a->how, "done") == 0 && a->noted &&
			    b->start_ms >= a->end_ms;
			if (!overlap && !again)
				continue;
			if (count++ == 0 && first != NULL)
				*first = g_strdup_printf(
				    "%s: run %u on executor %u %s run %u on "
				    "executor %u",
				    a->task, (unsigned)b->run, b->executor,
				    overlap ? "while" : "after the done end of",
				    (unsigned)a->run, a->executor);
		}
	}
	return count;
}

/* ---- connections ---- */

static gpointer
serve_connection(gpointer data)
{
	conn_t *conn = data;
	GString *in = g_string_new(NULL);
	request_t request;
	bool open = true;
	bool reset_it = false;

	while (open && read_request(conn->fd, in, &request)) {
		seen_t seen = {request.method, request.path, request.query,
		    request.body, request.body_bytes, conn->executor,
		    conn->peer_port, conn->number};
		answer_t answer = {500, g_string_new(NULL), "application/json"};
		act_t act;

		if (conn->executor < 0 &&
		    strcmp(request.path, "/v1/log-append") == 0)
			sleep_ms(4);
		lock();
		act = conn->number <= silent_until ? ACT_SILENT
		    : on_call != NULL		   ? on_call(&seen)
						   : ACT_SERVE;
		if (act == ACT_SERVE || act == ACT_RESET_DONE ||
		    act == ACT_CLOSE_DONE || act == ACT_SILENT_DONE) {
			if (conn->executor < 0)
				serve_store(&request, &answer);
			else
				serve_executor(
				    &execs[conn->executor], &request, &answer);
		}
		if (conn->number <= silent_until)
			act = ACT_SILENT;
		unlock();
		switch (act) {
		case ACT_REFUSE:
			g_string_assign(answer.body, "{}");
			answer.status = 503;
			open = write_answer(conn->fd, &answer);
			break;
		case ACT_SERVE:
			open = write_answer(conn->fd, &answer);
			break;
		case ACT_CLOSE_DONE:
			open = false;
			break;
		case ACT_RESET:
		case ACT_RESET_DONE:
			reset_it = true;
			open = false;
			break;
		case ACT_SILENT:
		case ACT_SILENT_DONE:
			while (read_more(conn->fd, in))
				g_string_truncate(in, 0);
			open = false;
			break;
		}
		g_string_free(answer.body, TRUE);
		clear_request(&request);
	}
	lock();
	g_ptr_array_remove_fast(connections, conn);
	unlock();
	if (reset_it)
		reset(conn->fd);
	else
		close(conn->fd);
	g_string_free(in, TRUE);
	g_free(conn);
	return NULL;
}

typedef struct {
	int fd;
	int executor;
} listener_t;

static gpointer
accept_all(gpointer data)
{
	listener_t *listener = data;

	for (;;) {
		struct sockaddr_in from;
		socklen_t size = sizeof(from);
		int fd = accept4(listener->fd, (struct sockaddr *)&from, &size,
		    SOCK_CLOEXEC);
		conn_t *conn;
		int one = 1;

		if (fd < 0)
			continue;
		setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
		conn = g_new0(conn_t, 1);
		conn->fd = fd;
		conn->executor = listener->executor;
		conn->peer_port = ntohs(from.sin_port);
		lock();
		if (conn->executor >= 0 && execs[conn->executor].down) {
			unlock();
			reset(fd);
			g_free(conn);
			continue;
		}
		conn->number = ++last_connection;
		g_ptr_array_add(connections, conn);
		unlock();
		g_thread_unref(g_thread_new("c", serve_connection, conn));
	}
	return NULL;
}

static void
serve_on(uint16_t *port, int executor)
{
	listener_t *listener = g_new0(listener_t, 1);

	listener->fd = listen_on(port);
	listener->executor = executor;
	g_thread_unref(g_thread_new("l", accept_all, listener));
}

/* ---- nodes ---- */

typedef struct {
	pid_t pid;
	uint16_t front;
	uint16_t ready;
	uint16_t control;
	uint16_t metrics;
	char *settings;
	char *log;
} node_t;

static node_t nodes[NODES_MAX];
static uint32_t n_nodes;
static char *folder;
static uint16_t store_port;

static uint16_t
free_port(void)
{
	static uint16_t next;
	uint16_t port;
	int fd;

	if (next == 0)
		next = (uint16_t)(20000 + g_random_int_range(0, 10000));
	for (;;) {
		struct sockaddr_in at = {.sin_family = AF_INET,
		    .sin_port = htons(++next),
		    .sin_addr.s_addr = htonl(INADDR_LOOPBACK)};

		fd = socket(AF_INET, SOCK_STREAM, 0);
		port = next;
		if (bind(fd, (struct sockaddr *)&at, sizeof(at)) == 0) {
			close(fd);
			return port;
		}
		close(fd);
	}
}

/* As platform/settings.yaml is filled in for a small deployment. */
static void
write_settings(uint32_t index)
{
	node_t *node = &nodes[index];
	char *text = g_strdup_printf(
	    "node:\n  name: edge-%u\n  zone: z%u\n  services: [queues]\n"
	    "  processor_share: 0.25\n  processors: 1\n"
	    "listen:\n  queues: 127.0.0.1:%u\n  ready: 127.0.0.1:%u\n"
	    "  control: 127.0.0.1:%u\n  metrics: 127.0.0.1:%u\n"
	    "platform:\n  store: 127.0.0.1:%u\n"
	    "queues:\n  lease_max_ms: 10000\n  stop_max_ms: 400\n"
	    "  early_ms: 250\n  status_keep_s: 120\n  grace_s: 6\n"
	    "  config_apply_ms: 2000\n  urgent_headroom: true\n"
	    "log:\n  level: info\n",
	    index, index % 3, node->front, node->ready, node->control,
	    node->metrics, store_port);

	node->settings = g_strdup_printf("%s/node-%u.yaml", folder, index);
	node->log = g_strdup_printf("%s/node-%u.log", folder, index);
	if (!g_file_set_contents(node->settings, text, -1, NULL))
		cannot_run("the settings cannot be written");
	g_free(text);
}

void
node_start(uint32_t index)
{
	node_t *node = &nodes[index];
	pid_t parent = getpid();
	pid_t pid = fork();

	if (pid == 0) {
		int fd = open(node->log, O_WRONLY | O_CREAT | O_APPEND, 0644);

		prctl(PR_SET_PDEATHSIG, SIGKILL);
		if (getppid() != parent)
			_exit(1);
		dup2(fd, 1);
		dup2(fd, 2);
		execl("target/bulrushpost", "target/bulrushpost", "serve",
		    "--settings", node->settings, (char *)NULL);
		_exit(127);
	}
	node->pid = pid;
	note("node %u starts", index);
}

void
node_signal(uint32_t index, int signal)
{
	if (nodes[index].pid > 0)
		kill(nodes[index].pid, signal);
	note("node %u gets signal %d", index, signal);
}

bool
node_runs(uint32_t index)
{
	node_t *node = &nodes[index];
	int status;

	if (node->pid <= 0)
		return false;
	if (waitpid(node->pid, &status, WNOHANG) == node->pid) {
		note("node %u has ended, status %d", index, status);
		node->pid = 0;
	}
	return node->pid > 0;
}

void
node_wait(uint32_t index, int64_t ms)
{
	int64_t until_ms = now_ms() + ms;

	while (node_runs(index) && now_ms() < until_ms)
		sleep_ms(20);
	if (!node_runs(index))
		return;
	node_signal(index, SIGKILL);
	while (node_runs(index))
		sleep_ms(5);
}

pid_t
node_pid(uint32_t index)
{
	return nodes[index].pid;
}

uint16_t
node_port(uint32_t index)
{
	return nodes[index].front;
}

static int
call_port(uint16_t port, const char *method, const char *path, const char *body,
    int64_t timeout_ms, char **answer)
{
	struct sockaddr_in at = {.sin_family = AF_INET,
	    .sin_port = htons(port),
	    .sin_addr.s_addr = htonl(INADDR_LOOPBACK)};
	int64_t until_ms = now_ms() + timeout_ms;
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	GString *text = g_string_new(NULL);
	GString *in = g_string_new(NULL);
	int status = 0;
	char *end;

	if (answer != NULL)
		*answer = NULL;
	g_string_printf(text,
	    "%s %s HTTP/1.1\r\nHost: h\r\nContent-Type: application/json\r\n"
	    "X-Bulrushpost-Deadline-Ms: %d\r\nContent-Length: %zu\r\n\r\n%s",
	    method, path, (int)timeout_ms, body != NULL ? strlen(body) : 0,
	    body != NULL ? body : "");
	if (connect(fd, (struct sockaddr *)&at, sizeof(at)) != 0 ||
	    !write_all(fd, text->str, text->len))
		goto done;
	for (;;) {
		struct pollfd one = {fd, POLLIN, 0};
		int64_t left_ms = until_ms - now_ms();
		char *length;

		if (left_ms <= 0 || poll(&one, 1, (int)left_ms) <= 0 ||
		    !read_more(fd, in))
			goto done;
		end = strstr(in->str, "\r\n\r\n");
		if (end == NULL)
			continue;
		length = header(in->str, "Content-Length");
		if (length != NULL &&
		    in->len < (size_t)(end - in->str) + 4 +
			    strtoul(length, NULL, 10)) {
			g_free(length);
			continue;
		}
		g_free(length);
		break;
	}
	status = atoi(in->str + strlen("HTTP/1.1 "));
	if (answer != NULL)
		*answer = g_strdup(end + 4);
done:
	close(fd);
	g_string_free(text, TRUE);
	g_string_free(in, TRUE);
	return status;
}

int
call_node(uint32_t node, const char *method, const char *path, const char *body,
    int64_t timeout_ms, char **answer)
{
	char *text = NULL;
	int status =
	    call_port(nodes[node].front, method, path, body, timeout_ms, &text);

	note("caller: %s %s at node %u: %d %s", method, path, node, status,
	    text != NULL ? text : "");
	if (answer != NULL)
		*answer = text;
	else
		g_free(text);
	return status;
}

bool
node_ready(uint32_t index)
{
	return call_port(nodes[index].ready, "GET", "/v1/readyz", NULL, 1000,
		   NULL) == 200;
}

bool
wait_ready(int64_t ms)
{
	int64_t until_ms = now_ms() + ms;
	uint32_t i;

	for (i = 0; i < n_nodes; i++) {
		while (!node_ready(i)) {
			if (now_ms() > until_ms)
				return false;
			sleep_ms(50);
		}
	}
	while (owner_of_jobs() < 0) {
		if (now_ms() > until_ms)
			return false;
		sleep_ms(50);
	}
	sleep_ms(1500);
	return true;
}

int
owner_of_jobs(void)
{
	int found = -1;
	uint32_t i;

	lock();
	expire_members();
	for (i = 0; i < n_nodes && holder[0] != NULL; i++) {
		char *address =
		    g_strdup_printf("127.0.0.1:%u/", nodes[i].control);

		if (g_str_has_prefix(holder[0], address))
			found = (int)i;
		g_free(address);
	}
	unlock();
	return found;
}

void
operator_put(const char *key, const char *value)
{
	lock();
	put(part_of("keyed.op", 0), key, strlen(key),
	    value != NULL ? value : "", value != NULL ? strlen(value) : 0);
	unlock();
	note("operator: %s %s", key, value != NULL ? value : "is removed");
}

static void
add_route(GString *text, const char *name, const char *prefix,
    uint32_t priority, uint32_t target_ms)
{
	g_string_append_printf(text,
	    "%s{\"name\":\"%s\",\"hostname\":\"h\",\"path_prefix\":\"%s\","
	    "\"route_type\":\"non_idempotent\",\"timeout_ms\":3000,"
	    "\"target_latency_ms\":%u,\"priority\":%u,\"service_name\":"
	    "\"" SERVICE "\",\"retry_attempts\":4,\"stretch_factor\":1.5}",
	    text->len > 0 ? "," : "", name, prefix, target_ms, priority);
}

void
configure_route(uint64_t version, const char *route)
{
	GString *routes = g_string_new(NULL);
	char *text;

	add_route(routes, route, "/q/", 0, 300);
	add_route(routes, "r-b", "/b/", 2, 1000);
	text = g_strdup_printf(
	    "{\"version\":%u,\"routes\":[%s],\"services\":[{\"name\":"
	    "\"" SERVICE "\",\"health_path\":\"/healthz\","
	    "\"max_connections\":64,\"protocol\":\"h1\",\"tls\":false,"
	    "\"cold_start_s\":0.0,\"cold_per_s\":0.0,\"admission_check\":"
	    "true,\"standby\":false}],\"limits\":{\"max_header_bytes\":16384,"
	    "\"max_body_bytes\":262144,\"header_timeout_ms\":3000,"
	    "\"idle_timeout_ms\":15000}}",
	    (unsigned)version, routes->str);
	operator_put("config", text);
	g_string_free(routes, TRUE);
	g_free(text);
}

void
platform_start(const setup_t *setup)
{
	const char *path = g_getenv("RECORD");
	uint32_t i;

	begin_ms = now_ms();
	record = fopen(path != NULL ? path : "record.txt", "w");
	if (record == NULL || access("target/bulrushpost", X_OK) != 0) {
		fprintf(stderr, "target/bulrushpost or RECORD is missing\n");
		exit(2);
	}
	signal(SIGPIPE, SIG_IGN);
	folder = g_dir_make_tmp("review-XXXXXX", NULL);
	if (folder == NULL)
		exit(2);
	fprintf(stderr, "logs of the nodes: %s\n", folder);
	parts = g_hash_table_new(g_str_hash, g_str_equal);
	barred = g_hash_table_new(g_str_hash, g_str_equal);
	members = g_ptr_array_new();
	runs = g_ptr_array_new();
	connections = g_ptr_array_new();
	exec_cpu = setup->cpu;
	exec_others = setup->others;
	n_execs = setup->executors;
	for (i = 0; i < n_execs; i++) {
		g_snprintf(
		    execs[i].id, sizeof(execs[i].id), "i-%08x", 0x7f3a0000 + i);
		execs[i].born = wall_ms() - 60000;
		execs[i].begun_ms = now_ms() - 60000;
		serve_on(&execs[i].port, (int)i);
	}
	serve_on(&store_port, -1);
	configure_route(3, "r-q");
	g_thread_unref(g_thread_new("e", run_executors, NULL));
	n_nodes = setup->nodes;
	for (i = 0; i < n_nodes; i++) {
		nodes[i].front = free_port();
		nodes[i].ready = free_port();
		nodes[i].control = free_port();
		nodes[i].metrics = free_port();
		write_settings(i);
		node_start(i);
	}
	if (!wait_ready(20000))
		cannot_run("the nodes are not ready");
	note("ready; node %d owns the jobs", owner_of_jobs());
}

void
finish(int code)
{
	uint32_t i;

	on_call = NULL;
	for (i = 0; i < n_nodes; i++) {
		if (node_runs(i)) {
			kill(nodes[i].pid, SIGCONT);
			kill(nodes[i].pid, SIGKILL);
			(void)waitpid(nodes[i].pid, NULL, 0);
		}
	}
	note("exit code %d", code);
	if (g_getenv("KEEP_LOGS") == NULL && folder != NULL) {
		for (i = 0; i < n_nodes; i++) {
			(void)unlink(nodes[i].settings);
			(void)unlink(nodes[i].log);
		}
		(void)rmdir(folder);
	}
	fclose(record);
	_exit(code);
}

void
cannot_run(const char *why)
{
	fprintf(stderr, "cannot run: %s\n", why);
	if (record != NULL)
		note("cannot run: %s", why);
	finish(2);
}
