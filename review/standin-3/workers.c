#include "standin-3/workers.h"

#include <json-glib/json-glib.h>
#include <libsoup/soup.h>
#include <stdlib.h>
#include <string.h>

#define STEP_MS 10
#define HOLD_MAX_MS 6000 /* max_hold_ms */
#define STOP_MS 150 /* at most stop_ms */
#define GANG_WAIT_MS 3000 /* gang_wait_ms */
#define CHECKPOINT_MS 1000 /* checkpoint_s */
#define RESTORE_MS 250 /* restore_ms */
#define CPU_MILLI 64000
#define ENDED_ROWS_MAX 500

typedef struct {
	char *task;
	uint64_t run;
	worker_task_t about;
	char *carried; /* last_checkpoint of its start, "" for none */
	char *saved; /* "" for none */
	int64_t arrived_ms;
	int64_t works_from_ms; /* -1: waits for its gang */
	int64_t before_ms; /* work that the checkpoint holds */
	int64_t stop_at_ms; /* 0: no stop */
} run_t;

typedef struct {
	uint64_t number;
	char *task;
	uint64_t run;
	const char *how;
	char *saved;
	bool lapsed; /* the lease lapsed before it was taken note of */
} end_t;

typedef struct {
	workers_t *workers;
	uint32_t index;
	SoupServer *server;
	uint16_t port;
	char *id;
	int64_t born_ms;
	int64_t start_us;
	uint64_t fence;
	int64_t lease_end_ms; /* 0 before the first */
	GPtrArray *running; /* run_t */
	GPtrArray *ended; /* end_t */
	uint64_t last_number;
	GHashTable *highest; /* task to the highest run stopped or ended */
	GPtrArray *waiting; /* hold_t */
	bool cut;
	bool unhealthy;
} worker_t;

/* A hold that waits for an end. */
typedef struct {
	worker_t *worker;
	SoupServerMessage *message;
	int64_t until_ms;
} hold_t;

struct workers {
	scene_t *scene;
	worker_world_t world;
	GPtrArray *list; /* worker_t */
	GArray *ends; /* worker_end_t */
	GHashTable *noted; /* tasks whose done end was taken note of */
	GHashTable *done; /* tasks of which a run has ended done */
	const char *(*check)(const char *task);
	uint32_t late_percent;
	uint32_t broken;
	bool begun; /* a run */
	guint timer;
};

static int64_t
clock_ms(const worker_t *worker)
{
	return (bp_now_us() - worker->start_us) / 1000;
}

static int64_t
work_done_ms(const worker_t *worker, const run_t *run)
{
	if (run->works_from_ms < 0 || clock_ms(worker) < run->works_from_ms)
		return run->before_ms;
	return run->before_ms + clock_ms(worker) - run->works_from_ms;
}

/* The value holds the work done and the member that saved it. */
static void
save(const worker_t *worker, run_t *run)
{
	g_free(run->saved);
	run->saved = g_strdup_printf("%08x%08x",
	    (unsigned)work_done_ms(worker, run), g_str_hash(run->task));
}

static void
answer(SoupServerMessage *message, guint status, GString *text)
{
	gsize size = text->len;

	soup_server_message_set_status(message, status, NULL);
	soup_server_message_set_response(message, "application/json",
	    SOUP_MEMORY_TAKE, g_string_free(text, FALSE), size);
}

static GString *
body_of(const worker_t *worker)
{
	GString *text = g_string_new(NULL);

	g_string_append_printf(text,
	    "{\"clock_ms\":%" G_GINT64_FORMAT ",\"born\":%" G_GINT64_FORMAT,
	    clock_ms(worker), worker->born_ms);
	return text;
}

static void
answer_lists(worker_t *worker, SoupServerMessage *message)
{
	GString *text = body_of(worker);
	guint i;

	g_string_append(text, ",\"running\":[");
	for (i = 0; i < worker->running->len; i++) {
		const run_t *run = worker->running->pdata[i];
		int64_t work_ms = run->about.work_ms;
		int percent = work_ms > 0
		    ? (int)(work_done_ms(worker, run) * 100 / work_ms)
		    : 100;

		g_string_append_printf(text,
		    "%s[\"%s\",%" G_GUINT64_FORMAT ",\"%s\",%d,%u]",
		    i > 0 ? "," : "", run->task, run->run, run->saved,
		    MIN(percent, 100), run->about.cpu_milli);
	}
	g_string_append(text, "],\"ended\":[");
	for (i = 0; i < MIN(worker->ended->len, ENDED_ROWS_MAX); i++) {
		const end_t *end = worker->ended->pdata[i];

		g_string_append_printf(text,
		    "%s[%" G_GUINT64_FORMAT ",\"%s\",%" G_GUINT64_FORMAT
		    ",\"%s\",\"%s\"]",
		    i > 0 ? "," : "", end->number, end->task, end->run,
		    end->how, end->saved);
	}
	g_string_append(text, "]}");
	answer(message, 200, text);
}

static void
answer_reason(worker_t *worker, SoupServerMessage *message, const char *reason)
{
	GString *text = body_of(worker);

	if (reason != NULL)
		g_string_append_printf(text, ",\"reason\":\"%s\"", reason);
	g_string_append(text, "}");
	answer(message, reason != NULL ? 409 : 200, text);
}

static void
end_hold(hold_t *hold)
{
	answer_lists(hold->worker, hold->message);
	soup_server_message_unpause(hold->message);
	g_object_unref(hold->message);
	g_ptr_array_remove(hold->worker->waiting, hold);
	g_free(hold);
}

static void
raise_highest(worker_t *worker, const char *task, uint64_t run)
{
	uint64_t *known = g_hash_table_lookup(worker->highest, task);

	if (known == NULL) {
		known = g_new0(uint64_t, 1);
		g_hash_table_insert(worker->highest, g_strdup(task), known);
	}
	*known = MAX(*known, run);
}

static uint64_t
highest_of(const worker_t *worker, const char *task)
{
	const uint64_t *known = g_hash_table_lookup(worker->highest, task);

	return known != NULL ? *known : 0;
}

static void
end_run(worker_t *worker, run_t *run, const char *how)
{
	workers_t *workers = worker->workers;
	end_t *end = g_new0(end_t, 1);
	worker_end_t seen = {scene_s(workers->scene), how,
	    g_intern_string(run->task), run->run};

	end->number = ++worker->last_number;
	end->task = run->task;
	end->run = run->run;
	end->how = how;
	end->saved = run->saved;
	if (strcmp(how, "done") == 0)
		g_hash_table_add(workers->done, g_strdup(run->task));
	raise_highest(worker, run->task, run->run);
	g_ptr_array_add(worker->ended, end);
	g_array_append_val(workers->ends, seen);
	scene_note(workers->scene,
	    "executor %u: run %" G_GUINT64_FORMAT " of %s ends %s, saved \"%s\"",
	    worker->index, run->run, run->task, how, run->saved);
	g_ptr_array_remove(worker->running, run);
	g_free(run->carried);
	g_free(run);
}

/* The name of a task without its index. */
static size_t
step_length(const char *task)
{
	return (size_t)(strrchr(task, '.') - task);
}

static bool
same_gang(const run_t *a, const run_t *b)
{
	size_t length = step_length(a->task);

	return b->about.gang > 0 && a->run == b->run &&
	    step_length(b->task) == length &&
	    strncmp(a->task, b->task, length) == 0;
}

/* Calls visit for all members of a run's gang that are present. */
static uint32_t
each_member(workers_t *workers, const run_t *run,
    void (*visit)(worker_t *worker, run_t *member, const void *data),
    const void *data)
{
	uint32_t members = 0;
	guint i;
	guint k;

	for (i = 0; i < workers->list->len; i++) {
		worker_t *worker = workers->list->pdata[i];

		for (k = worker->running->len; k > 0; k--) {
			run_t *member = worker->running->pdata[k - 1];

			if (!same_gang(run, member))
				continue;
			members++;
			if (visit != NULL)
				visit(worker, member, data);
		}
	}
	return members;
}

static void
begin(worker_t *worker, run_t *run, const void *data)
{
	const char *value = data;

	run->works_from_ms = clock_ms(worker);
	if (value[0] == '\0')
		return;
	run->works_from_ms += RESTORE_MS;
	run->before_ms =
	    (int64_t)(g_ascii_strtoull(value, NULL, 16) >> 32);
}

static void
end_as(worker_t *worker, run_t *run, const void *data)
{
	end_run(worker, run, data);
}

/* Ends all members of a run's gang that are present; run may be one of them. */
static void
end_gang(workers_t *workers, const run_t *run, const char *how)
{
	run_t any = *run;

	any.task = g_strdup(run->task);
	each_member(workers, &any, end_as, how);
	g_free(any.task);
}

/* All members of a gang carry the same value, or they cannot begin. */
static bool
same_values(workers_t *workers, const run_t *run)
{
	guint i;
	guint k;

	for (i = 0; i < workers->list->len; i++) {
		const worker_t *worker = workers->list->pdata[i];

		for (k = 0; k < worker->running->len; k++) {
			const run_t *member = worker->running->pdata[k];

			if (same_gang(run, member) &&
			    strcmp(member->carried, run->carried) != 0)
				return false;
		}
	}
	return true;
}

static void
start_gang_if_present(workers_t *workers, run_t *run)
{
	if (each_member(workers, run, NULL, NULL) < run->about.gang)
		return;
	if (!same_values(workers, run)) {
		scene_note(workers->scene,
		    "all members of run %" G_GUINT64_FORMAT " of the gang are "
		    "present, and carry different values of last_checkpoint",
		    run->run);
		return;
	}
	scene_note(workers->scene,
	    "all members of run %" G_GUINT64_FORMAT " of the gang are present",
	    run->run);
	each_member(workers, run, begin, run->carried);
}

static uint64_t
cpu_used(const worker_t *worker)
{
	uint64_t used = 0;
	guint i;

	for (i = 0; i < worker->running->len; i++)
		used += ((run_t *)worker->running->pdata[i])->about.cpu_milli;
	return used;
}

static run_t *
find_run(const worker_t *worker, const char *task, uint64_t number)
{
	guint i;

	for (i = 0; i < worker->running->len; i++) {
		run_t *run = worker->running->pdata[i];

		if (run->run == number && strcmp(run->task, task) == 0)
			return run;
	}
	return NULL;
}

static int64_t
number_of(JsonObject *body, const char *name)
{
	return json_object_has_member(body, name)
	    ? json_object_get_int_member(body, name)
	    : 0;
}

static const char *
text_of(JsonObject *body, const char *name)
{
	return json_object_has_member(body, name)
	    ? json_object_get_string_member(body, name)
	    : "";
}

static void
take_deadline(worker_t *worker, int64_t deadline_ms)
{
	worker->lease_end_ms = MAX(worker->lease_end_ms,
	    MIN(deadline_ms, clock_ms(worker) + HOLD_MAX_MS));
}

static void
report(worker_t *worker, const char *task, uint64_t number, const char *what)
{
	worker->workers->broken++;
	scene_note(worker->workers->scene,
	    "BROKEN: executor %u: run %" G_GUINT64_FORMAT " of %s: %s",
	    worker->index, number, task, what);
}

static void
check_start(worker_t *worker, const char *task, uint64_t number)
{
	workers_t *workers = worker->workers;
	const char *why =
	    workers->check != NULL ? workers->check(task) : NULL;
	guint i;
	guint k;

	if (why != NULL)
		report(worker, task, number, why);
	if (g_hash_table_contains(workers->noted, task))
		report(worker, task, number, "its end was taken note of");
	for (i = 0; i < workers->list->len; i++) {
		const worker_t *other = workers->list->pdata[i];

		for (k = 0; k < other->running->len; k++) {
			if (strcmp(((run_t *)other->running->pdata[k])->task,
				task) == 0)
				report(worker, task, number, "runs twice");
		}
	}
	if (workers->check != NULL && strcmp(task + 16, ".0.1.0") == 0) {
		for (i = 0; i < 3; i++) {
			char *name = g_strdup_printf("%.16s.0.0.%u", task, i);

			if (!g_hash_table_contains(workers->done, name))
				report(worker, task, number, "before its time");
			g_free(name);
		}
	}
}

static const char *
start(worker_t *worker, JsonObject *body)
{
	workers_t *workers = worker->workers;
	const char *task = text_of(body, "task");
	uint64_t number = (uint64_t)number_of(body, "run");
	worker_task_t about = {0};
	run_t *run;

	if (find_run(worker, task, number) != NULL)
		return NULL;
	workers->world(task, &about);
	take_deadline(worker, number_of(body, "deadline_ms"));
	if (number <= highest_of(worker, task))
		return "old";
	if (clock_ms(worker) > worker->lease_end_ms)
		return "late";
	if (cpu_used(worker) + about.cpu_milli > CPU_MILLI)
		return "room";
	check_start(worker, task, number);
	run = g_new0(run_t, 1);
	run->task = g_strdup(task);
	run->run = number;
	run->about = about;
	run->carried = g_strdup(text_of(body, "last_checkpoint"));
	run->saved = g_strdup(run->carried);
	run->arrived_ms = clock_ms(worker);
	run->works_from_ms = -1;
	g_ptr_array_add(worker->running, run);
	workers->begun = true;
	scene_note(workers->scene,
	    "executor %u: starts run %" G_GUINT64_FORMAT
	    " of %s, last_checkpoint \"%s\"",
	    worker->index, number, task, run->carried);
	if (about.gang > 0)
		start_gang_if_present(workers, run);
	else
		begin(worker, run, run->carried);
	return NULL;
}

static void
stop(worker_t *worker, JsonObject *body)
{
	const char *task = text_of(body, "task");
	uint64_t number = (uint64_t)number_of(body, "run");
	run_t *run = find_run(worker, task, number);

	raise_highest(worker, task, number);
	if (run != NULL && run->stop_at_ms == 0)
		run->stop_at_ms = clock_ms(worker) + STOP_MS;
}

static void
end_free(gpointer data)
{
	end_t *end = data;

	g_free(end->task);
	g_free(end->saved);
	g_free(end);
}

static void
hold(worker_t *worker, JsonObject *body, SoupServerMessage *message)
{
	uint64_t cursor = (uint64_t)number_of(body, "ack_cursor");
	int64_t wait_ms = number_of(body, "wait_ms");
	hold_t *waits;

	if (json_object_has_member(body, "deadline_ms"))
		take_deadline(worker, number_of(body, "deadline_ms"));
	while (worker->ended->len > 0 &&
	    ((end_t *)worker->ended->pdata[0])->number <= cursor) {
		const end_t *end = worker->ended->pdata[0];

		if (strcmp(end->how, "done") == 0 && !end->lapsed)
			g_hash_table_add(
			    worker->workers->noted, g_strdup(end->task));
		g_ptr_array_remove_index(worker->ended, 0);
	}
	if (wait_ms == 0 || worker->ended->len > 0) {
		answer_lists(worker, message);
		return;
	}
	waits = g_new0(hold_t, 1);
	waits->worker = worker;
	waits->message = g_object_ref(message);
	waits->until_ms = clock_ms(worker) + wait_ms;
	g_ptr_array_add(worker->waiting, waits);
	soup_server_message_pause(message);
}

/* An order that is carried out late. */
typedef struct {
	worker_t *worker;
	SoupServerMessage *message;
	JsonParser *parser;
	bool starts;
	uint64_t fence;
} late_t;

static gboolean
on_late(gpointer data)
{
	late_t *late = data;
	worker_t *worker = late->worker;
	JsonObject *body =
	    json_node_get_object(json_parser_get_root(late->parser));

	if (late->fence >= worker->fence && !worker->cut) {
		worker->fence = late->fence;
		if (late->starts)
			(void)start(worker, body);
		else
			stop(worker, body);
	}
	soup_server_message_unpause(late->message);
	g_object_unref(late->message);
	g_object_unref(late->parser);
	g_free(late);
	return G_SOURCE_REMOVE;
}

static gboolean
on_unanswered(gpointer data)
{
	SoupServerMessage *message = data;

	soup_server_message_unpause(message);
	g_object_unref(message);
	return G_SOURCE_REMOVE;
}

static void
on_request(SoupServer *server, SoupServerMessage *message, const char *path,
    GHashTable *query, void *data)
{
	worker_t *worker = data;
	SoupMessageBody *sent = soup_server_message_get_request_body(message);
	JsonParser *parser = json_parser_new();
	JsonObject *body;
	uint64_t fence;

	(void)server;
	(void)query;
	if (!json_parser_load_from_data(
		parser, sent->data, (gssize)sent->length, NULL)) {
		answer(message, 400, g_string_new("{}"));
		g_object_unref(parser);
		return;
	}
	body = json_node_get_object(json_parser_get_root(parser));
	fence = (uint64_t)number_of(body, "fencing_token");
	if (worker->cut) {
		soup_server_message_set_status(message, 500, NULL);
		soup_server_message_pause(message);
		(void)g_timeout_add(
		    20000, on_unanswered, g_object_ref(message));
		g_object_unref(parser);
		return;
	}
	if (strcmp(path, "/v1/hold") != 0 &&
	    (uint32_t)g_random_int_range(0, 100) <
		worker->workers->late_percent) {
		late_t *late = g_new0(late_t, 1);

		late->worker = worker;
		late->message = g_object_ref(message);
		late->parser = parser;
		late->starts = strcmp(path, "/v1/run-start") == 0;
		late->fence = fence;
		soup_server_message_set_status(message, 500, NULL);
		soup_server_message_pause(message);
		(void)g_timeout_add((guint)g_random_int_range(2000, 12000),
		    on_late, late);
		return;
	}
	if (worker->unhealthy && strcmp(path, "/v1/run-start") == 0) {
		GString *text = body_of(worker);

		scene_note(worker->workers->scene,
		    "executor %u: refuses the start of %s with 503",
		    worker->index, text_of(body, "task"));
		g_string_append(text, "}");
		answer(message, 503, text);
	} else if (fence < worker->fence) {
		answer_reason(worker, message, "fence");
	} else {
		worker->fence = fence;
		if (strcmp(path, "/v1/run-start") == 0) {
			answer_reason(worker, message, start(worker, body));
		} else if (strcmp(path, "/v1/run-stop") == 0) {
			stop(worker, body);
			answer_reason(worker, message, NULL);
		} else if (strcmp(path, "/v1/hold") == 0) {
			hold(worker, body, message);
		} else {
			answer_reason(worker, message, NULL);
		}
	}
	g_object_unref(parser);
}

/* Ends what is over. Returns whether something ended. */
static bool
advance_run(worker_t *worker, run_t *run, bool lapsed)
{
	int64_t now_ms = clock_ms(worker);
	const char *how = NULL;

	if (run->about.saves && run->works_from_ms >= 0 &&
	    work_done_ms(worker, run) > 0 &&
	    (now_ms - run->works_from_ms) / CHECKPOINT_MS !=
		(now_ms - STEP_MS - run->works_from_ms) / CHECKPOINT_MS)
		save(worker, run);
	if (lapsed)
		how = "lapsed";
	else if (run->stop_at_ms != 0 && now_ms >= run->stop_at_ms)
		how = "stopped";
	else if (run->works_from_ms < 0 && run->about.gang > 0 &&
	    now_ms - run->arrived_ms >= GANG_WAIT_MS)
		how = "alone";
	else if (run->about.work_ms >= 0 && run->works_from_ms >= 0 &&
	    work_done_ms(worker, run) >= run->about.work_ms)
		how = "done";
	if (how == NULL)
		return false;
	if (strcmp(how, "stopped") == 0 && run->about.saves &&
	    run->works_from_ms >= 0)
		save(worker, run);
	if (run->about.gang > 0 && strcmp(how, "done") == 0)
		end_gang(worker->workers, run, "done");
	else
		end_run(worker, run, how);
	return true;
}

static gboolean
on_step(gpointer data)
{
	workers_t *workers = data;
	guint i;
	guint k;

	for (i = 0; i < workers->list->len; i++) {
		worker_t *worker = workers->list->pdata[i];
		bool lapsed = worker->lease_end_ms != 0 &&
		    clock_ms(worker) > worker->lease_end_ms;

		for (k = 0; lapsed && k < worker->ended->len; k++)
			((end_t *)worker->ended->pdata[k])->lapsed = true;
		for (k = worker->running->len; k > 0;
		     k = MIN(k - 1, worker->running->len))
			(void)advance_run(
			    worker, worker->running->pdata[k - 1], lapsed);
	}
	for (i = 0; i < workers->list->len; i++) {
		worker_t *worker = workers->list->pdata[i];

		for (k = worker->cut ? 0 : worker->waiting->len; k > 0; k--) {
			hold_t *waits = worker->waiting->pdata[k - 1];

			if (worker->ended->len > 0 ||
			    clock_ms(worker) >= waits->until_ms)
				end_hold(waits);
		}
	}
	return G_SOURCE_CONTINUE;
}

static worker_t *
worker_new(workers_t *workers, uint32_t index)
{
	worker_t *worker = g_new0(worker_t, 1);
	GSList *uris;

	worker->workers = workers;
	worker->index = index;
	worker->id = g_strdup_printf("w-%u", index);
	worker->born_ms = g_get_real_time() / 1000;
	worker->start_us = bp_now_us();
	worker->running = g_ptr_array_new();
	worker->ended = g_ptr_array_new_with_free_func(end_free);
	worker->waiting = g_ptr_array_new();
	worker->highest =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	worker->server = g_object_new(SOUP_TYPE_SERVER, NULL);
	soup_server_add_handler(worker->server, NULL, on_request, worker, NULL);
	if (!soup_server_listen_local(
		worker->server, 0, SOUP_SERVER_LISTEN_IPV4_ONLY, NULL))
		abort();
	uris = soup_server_get_uris(worker->server);
	worker->port = (uint16_t)g_uri_get_port(uris->data);
	g_slist_free_full(uris, (GDestroyNotify)g_uri_unref);
	return worker;
}

/* See the header. */
workers_t *
workers_new(scene_t *scene, uint32_t n, worker_world_t world)
{
	workers_t *workers = g_new0(workers_t, 1);
	uint32_t i;

	workers->scene = scene;
	workers->world = world;
	workers->list = g_ptr_array_new();
	workers->noted =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	workers->done =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	workers->ends = g_array_new(FALSE, FALSE, sizeof(worker_end_t));
	for (i = 0; i < n; i++)
		g_ptr_array_add(workers->list, worker_new(workers, i));
	workers->timer = g_timeout_add(STEP_MS, on_step, workers);
	return workers;
}

/* See the header. */
void
workers_register(workers_t *workers)
{
	guint i;

	for (i = 0; i < workers->list->len; i++) {
		const worker_t *worker = workers->list->pdata[i];
		char *entry = g_strdup_printf(
		    "{\"service_name\":\"pool\",\"address\":\"127.0.0.1:%u\","
		    "\"zone\":\"z%u\",\"version\":\"v1\",\"slots\":8,"
		    "\"state\":\"ready\",\"capacity\":{\"cpu\":%u,"
		    "\"mem_mb\":250000,\"gpu\":0},\"labels\":[\"%s\",\"r%u\"],"
		    "\"clock_ms\":%" G_GINT64_FORMAT
		    ",\"sequence\":1,\"born\":%" G_GINT64_FORMAT "}",
		    worker->port, i % 3, CPU_MILLI, i == 0 ? "b" : "a", i % 3,
		    clock_ms(worker),
		    worker->born_ms);

		bp_queuehttp_add_entry(
		    workers->scene->platform, worker->id, entry);
		g_free(entry);
	}
}

/* The process ends soon after; its connections end with it. */
void
workers_free(workers_t *workers)
{
	g_source_remove(workers->timer);
}

/* See the header. */
uint32_t
workers_fail(workers_t *workers, uint32_t index)
{
	worker_t *worker = workers->list->pdata[index];
	uint32_t failed = 0;

	while (worker->running->len > 0) {
		run_t *run = worker->running->pdata[0];
		run_t gang = *run;

		gang.task = g_strdup(run->task);
		end_run(worker, run, "failed");
		failed++;
		if (gang.about.gang > 0)
			end_gang(workers, &gang, "broken");
		g_free(gang.task);
	}
	return failed;
}

/* See the header. */
int
workers_find(const workers_t *workers, const char *job)
{
	guint i;
	guint k;

	for (i = 0; i < workers->list->len; i++) {
		const worker_t *worker = workers->list->pdata[i];

		for (k = 0; k < worker->running->len; k++) {
			const run_t *run = worker->running->pdata[k];

			if (g_str_has_prefix(run->task, job))
				return (int)i;
		}
	}
	return -1;
}

/* See the header. */
uint32_t
workers_running(const workers_t *workers, const char *job)
{
	uint32_t running = 0;
	guint i;
	guint k;

	for (i = 0; i < workers->list->len; i++) {
		const worker_t *worker = workers->list->pdata[i];

		for (k = 0; k < worker->running->len; k++)
			running += g_str_has_prefix(
			    ((run_t *)worker->running->pdata[k])->task, job);
	}
	return running;
}

/* See the header. */
const GArray *
workers_ends(const workers_t *workers)
{
	return workers->ends;
}

/* See the header. */
void
workers_set_check(workers_t *workers, const char *(*check)(const char *task))
{
	workers->check = check;
}

/* See the header. */
void
workers_set_late(workers_t *workers, uint32_t percent)
{
	workers->late_percent = percent;
}

/* See the header. */
void
workers_set_cut(workers_t *workers, uint32_t index, bool cut)
{
	((worker_t *)workers->list->pdata[index])->cut = cut;
}

/* See the header. */
uint32_t
workers_broken(const workers_t *workers)
{
	return workers->broken;
}

/* See the header. */
void
workers_set_unhealthy(workers_t *workers, uint32_t index, bool unhealthy)
{
	((worker_t *)workers->list->pdata[index])->unhealthy = unhealthy;
}

/* See the header. */
bool
workers_begun(const workers_t *workers)
{
	return workers->begun;
}
