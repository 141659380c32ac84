/* Executors: fences, leases, capacity, run numbers, ends and checkpoints. */
#include "standin.h"

#include <stdlib.h>
#include <string.h>

#define HEARTBEAT_MS 1500
#define TICK_MS 5

exec_t *execs[EXECS_MAX];
int n_execs;
struct exec_hooks hooks;
uint32_t stop_ms = 20;
int64_t max_hold_ms = 10000;
static GHashTable *done_noted; /* task to a set: its end was acknowledged */
static uint64_t lives;

typedef struct {
	exec_t *exec;
	conn_t *conn;
	int64_t until_ms;
} hold_t;

static int64_t
clock_of(const exec_t *exec)
{
	return now_ms() - exec->epoch_ms + 1000;
}

static int64_t
unix_ms(void)
{
	return g_get_real_time() / 1000;
}

void
exec_register(exec_t *exec)
{
	char *value;

	if (!exec->up || !exec->listed)
		return;
	value = g_strdup_printf(
	    "{\"service_name\":\"huvo11a\",\"address\":\"127.0.0.1:%u\","
	    "\"zone\":\"%s\",\"version\":\"v1\",\"slots\":8,\"state\":\"%s\","
	    "\"cold_remaining_ms\":0,\"capacity\":{\"cpu\":%u,\"mem_mb\":%u,"
	    "\"gpu\":0},\"labels\":[\"%s\",\"%s\"],\"clock_ms\":%" G_GINT64_FORMAT
	    ",\"born\":%" G_GINT64_FORMAT ",\"sequence\":%" G_GUINT64_FORMAT
	    "}",
	    exec->port, exec->zone, exec->draining ? "draining" : "ready",
	    exec->cpu, exec->mem, exec->kind, exec->rack, clock_of(exec), exec->born_ms,
	    ++exec->sequence);
	store_put("keyed.servers", exec->id, value);
	g_free(value);
}

static gboolean
on_beat(gpointer data)
{
	exec_register(data);
	return G_SOURCE_CONTINUE;
}

static run_t *
find_run(exec_t *exec, const char *task, uint64_t run)
{
	guint i;

	for (i = 0; i < exec->runs->len; i++) {
		run_t *found = exec->runs->pdata[i];

		if (found->run == run && strcmp(found->task, task) == 0)
			return found;
	}
	return NULL;
}

static void
close_number(exec_t *exec, const char *task, uint64_t run)
{
	uint64_t *highest = g_hash_table_lookup(exec->closed, task);

	if (highest == NULL) {
		highest = g_new0(uint64_t, 1);
		g_hash_table_insert(exec->closed, g_strdup(task), highest);
	}
	*highest = MAX(*highest, run);
}

static void
list_runs(exec_t *exec, conn_t *conn)
{
	GString *text = g_string_new(NULL);
	guint i;

	g_string_printf(text,
	    "{\"clock_ms\":%" G_GINT64_FORMAT ",\"born\":%" G_GINT64_FORMAT
	    ",\"running\":[",
	    clock_of(exec), exec->born_ms);
	for (i = 0; i < exec->runs->len; i++) {
		const run_t *run = exec->runs->pdata[i];
		int64_t age_ms = clock_of(exec) - run->started_ms;
		int64_t percent = run->work_ms > 0
		    ? MIN(age_ms * 100 / run->work_ms, 99)
		    : 100;
		char saved[32] = "";

		if (run->saves && age_ms >= 500)
			g_snprintf(saved, sizeof(saved), "%016" G_GINT64_MODIFIER "x",
			    age_ms / 500 * 500);
		g_string_append_printf(text,
		    "%s[\"%s\",%" G_GUINT64_FORMAT ",\"%s\",%" G_GINT64_FORMAT
		    ",%u]",
		    i > 0 ? "," : "", run->task, run->run, saved, percent,
		    run->cpu);
	}
	g_string_append(text, "],\"ended\":[");
	for (i = 0; i < exec->ends->len && i < 500; i++) {
		const end_t *end = exec->ends->pdata[i];

		g_string_append_printf(text,
		    "%s[%" G_GUINT64_FORMAT ",\"%s\",%" G_GUINT64_FORMAT
		    ",\"%s\",\"%s\"]",
		    i > 0 ? "," : "", end->number, end->task, end->run,
		    end->how, end->saved);
	}
	g_string_append(text, "]}");
	conn_json(conn, 200, "%s", text->str);
	g_string_free(text, TRUE);
}

static void
wake(exec_t *exec)
{
	guint i;

	for (i = exec->waiting->len; i > 0; i--) {
		hold_t *hold = exec->waiting->pdata[i - 1];

		if (!hold->conn->closed && exec->ends->len == 0 &&
		    now_ms() < hold->until_ms)
			continue;
		g_ptr_array_remove_index(exec->waiting, i - 1);
		if (!hold->conn->closed)
			list_runs(exec, hold->conn);
		conn_unref(hold->conn);
		g_free(hold);
	}
}

static void
end_run(exec_t *exec, run_t *run, const char *how)
{
	end_t *end = g_new0(end_t, 1);
	int64_t age_ms = clock_of(exec) - run->started_ms;

	end->number = ++exec->last_end;
	end->task = g_strdup(run->task);
	end->run = run->run;
	end->how = how;
	if (run->saves && strcmp(how, "done") != 0 &&
	    (age_ms >= 500 || strcmp(how, "stopped") == 0))
		g_snprintf(end->saved, sizeof(end->saved),
		    "%016" G_GINT64_MODIFIER "x", MAX(age_ms, 1));
	note("executor %d: %s run %" G_GUINT64_FORMAT " ends %s", exec->index,
	    run->task, run->run, how);
	close_number(exec, run->task, run->run);
	g_ptr_array_add(exec->ends, end);
	g_ptr_array_remove_fast(exec->runs, run);
	g_free(run->task);
	g_free(run);
}

static void
extend(exec_t *exec, int64_t deadline_ms)
{
	exec->lease_ms = MAX(exec->lease_ms,
	    MIN(deadline_ms, clock_of(exec) + max_hold_ms));
}

/* What a task does: how long it works and what it takes, by its job's spec,
 * which carries it: "work=MS cpu=N mem=N saves=1 fails=1"; work 0 lasts. */
static void
read_spec(run_t *run, const char *spec)
{
	const char *found;

	run->work_ms = 1000;
	run->cpu = 1000;
	run->mem = 100;
	if ((found = strstr(spec, "work=")) != NULL)
		run->work_ms = atoll(found + 5);
	if ((found = strstr(spec, "cpu=")) != NULL)
		run->cpu = (uint32_t)strtoul(found + 4, NULL, 10);
	if ((found = strstr(spec, "mem=")) != NULL)
		run->mem = (uint32_t)strtoul(found + 4, NULL, 10);
	run->saves = strstr(spec, "saves=1") != NULL;
	run->fails = strstr(spec, "fails=1") != NULL;
}

static bool
has_room(const exec_t *exec, const run_t *more)
{
	uint64_t cpu = more->cpu;
	uint64_t mem = more->mem;
	guint i;

	for (i = 0; i < exec->runs->len; i++) {
		const run_t *run = exec->runs->pdata[i];

		cpu += run->cpu;
		mem += run->mem;
	}
	return cpu <= exec->cpu && mem <= exec->mem;
}

static void
refuse(exec_t *exec, conn_t *conn, const char *task, uint64_t run,
    const char *reason)
{
	note("executor %d: refuses %s run %" G_GUINT64_FORMAT ": %s",
	    exec->index, task, run, reason);
	conn_json(conn, 409,
	    "{\"clock_ms\":%" G_GINT64_FORMAT ",\"born\":%" G_GINT64_FORMAT
	    ",\"reason\":\"%s\"}",
	    clock_of(exec), exec->born_ms, reason);
}

static void
serve_start(exec_t *exec, conn_t *conn, JsonObject *object)
{
	const char *task = json_object_get_string_member(object, "task");
	uint64_t number = (uint64_t)json_object_get_int_member(object, "run");
	int64_t deadline_ms = json_object_get_int_member(object, "deadline_ms");
	uint64_t *closed = g_hash_table_lookup(exec->closed, task);
	int status = hooks.refuse_start != NULL
	    ? hooks.refuse_start(exec, task, number)
	    : 0;
	run_t more = {0};
	run_t *run;

	if (status != 0) {
		note("executor %d: unhealthy, answers %d to %s run "
		     "%" G_GUINT64_FORMAT " and does nothing",
		    exec->index, status, task, number);
		conn_json(conn, status, "{}");
		return;
	}
	if (closed != NULL && number <= *closed) {
		extend(exec, deadline_ms);
		refuse(exec, conn, task, number, "old");
		return;
	}
	if (find_run(exec, task, number) == NULL) {
		read_spec(&more,
		    json_object_get_string_member(object, "task_spec"));
		if (exec->guards && !has_room(exec, &more)) {
			extend(exec, deadline_ms);
			refuse(exec, conn, task, number, "room");
			return;
		}
		if (MAX(exec->lease_ms, deadline_ms) <= clock_of(exec)) {
			refuse(exec, conn, task, number, "late");
			return;
		}
		run = g_new0(run_t, 1);
		*run = more;
		run->task = g_strdup(task);
		run->run = number;
		run->started_ms = clock_of(exec);
		run->done_ms =
		    run->work_ms > 0 ? run->started_ms + run->work_ms : 0;
		note("executor %d: %s run %" G_GUINT64_FORMAT
		     " starts, token %" G_GUINT64_FORMAT,
		    exec->index, task, number, exec->fence);
		if (!exec->guards && !has_room(exec, run) &&
		    hooks.over_capacity != NULL)
			hooks.over_capacity(exec, run);
		g_ptr_array_add(exec->runs, run);
		if (hooks.started != NULL)
			hooks.started(exec, run);
	}
	extend(exec, deadline_ms);
	if (hooks.reset_after_start != NULL &&
	    hooks.reset_after_start(exec, task, number)) {
		note("executor %d: its connection is reset before the answer",
		    exec->index);
		conn_reset(conn);
		return;
	}
	conn_json(conn, 200,
	    "{\"clock_ms\":%" G_GINT64_FORMAT ",\"born\":%" G_GINT64_FORMAT "}",
	    clock_of(exec), exec->born_ms);
}

static void
serve_stop(exec_t *exec, conn_t *conn, JsonObject *object)
{
	const char *task = json_object_get_string_member(object, "task");
	uint64_t number = (uint64_t)json_object_get_int_member(object, "run");
	run_t *run = find_run(exec, task, number);

	note("executor %d: is told to stop %s run %" G_GUINT64_FORMAT,
	    exec->index, task, number);
	if (run != NULL)
		end_run(exec, run, "stopped");
	close_number(exec, task, number);
	conn_json(conn, 200,
	    "{\"clock_ms\":%" G_GINT64_FORMAT ",\"born\":%" G_GINT64_FORMAT "}",
	    clock_of(exec), exec->born_ms);
	wake(exec);
}

static void
serve_hold(exec_t *exec, conn_t *conn, JsonObject *object)
{
	uint64_t cursor =
	    (uint64_t)json_object_get_int_member(object, "ack_cursor");
	int64_t wait_ms = json_object_has_member(object, "wait_ms")
	    ? json_object_get_int_member(object, "wait_ms")
	    : 0;
	guint i;

	if (json_object_has_member(object, "deadline_ms"))
		extend(exec,
		    json_object_get_int_member(object, "deadline_ms"));
	for (i = exec->ends->len; i > 0; i--) {
		end_t *end = exec->ends->pdata[i - 1];

		if (end->number > cursor)
			continue;
		if (hooks.noted != NULL)
			hooks.noted(exec, end);
		if (strcmp(end->how, "done") == 0)
			g_hash_table_add(done_noted, g_strdup(end->task));
		g_ptr_array_remove_index(exec->ends, i - 1);
		g_free(end->task);
		g_free(end);
	}
	if (exec->ends->len > 0 || wait_ms == 0) {
		list_runs(exec, conn);
	} else {
		hold_t *hold = g_new0(hold_t, 1);

		hold->exec = exec;
		hold->conn = conn_ref(conn);
		hold->until_ms = now_ms() + wait_ms;
		g_ptr_array_add(exec->waiting, hold);
	}
}

static void
serve_order(exec_t *exec, conn_t *conn, JsonObject *object)
{
	uint64_t fence = json_object_has_member(object, "fencing_token")
	    ? (uint64_t)json_object_get_int_member(object, "fencing_token")
	    : 0;

	if (fence < exec->fence) {
		refuse(exec, conn, conn->path, 0, "fence");
		return;
	}
	exec->fence = fence;
	if (strcmp(conn->path, "/v1/run-start") == 0)
		serve_start(exec, conn, object);
	else if (strcmp(conn->path, "/v1/run-stop") == 0)
		serve_stop(exec, conn, object);
	else if (strcmp(conn->path, "/v1/hold") == 0)
		serve_hold(exec, conn, object);
	else
		conn_json(conn, 200, "{\"clock_ms\":%" G_GINT64_FORMAT "}",
		    clock_of(exec));
}

static void
on_exec_call(conn_t *conn, void *data)
{
	exec_t *exec = data;
	JsonParser *parser;

	if (!exec->up) {
		conn_reset(conn);
		return;
	}
	if (conn->instance != NULL && strcmp(conn->instance, exec->id) != 0) {
		conn_json(conn, 421, "{}");
		return;
	}
	parser = json_parser_new();
	if (json_parser_load_from_data(
		parser, conn->body->str, (gssize)conn->body->len, NULL) &&
	    JSON_NODE_HOLDS_OBJECT(json_parser_get_root(parser)))
		serve_order(exec, conn,
		    json_node_get_object(json_parser_get_root(parser)));
	else
		conn_json(conn, 400, "{}");
	g_object_unref(parser);
}

static gboolean
on_exec_tick(gpointer data)
{
	exec_t *exec = data;
	guint i;

	if (!exec->up)
		return G_SOURCE_CONTINUE;
	for (i = exec->runs->len; i > 0; i--) {
		run_t *run = exec->runs->pdata[i - 1];

		if (clock_of(exec) > exec->lease_ms)
			end_run(exec, run, "lapsed");
		else if (run->done_ms > 0 && clock_of(exec) >= run->done_ms)
			end_run(exec, run, run->fails ? "failed" : "done");
	}
	wake(exec);
	return G_SOURCE_CONTINUE;
}

static void
reset_life(exec_t *exec)
{
	exec->born_ms = unix_ms();
	exec->epoch_ms = now_ms();
	exec->fence = 0;
	exec->lease_ms = 0;
	exec->last_end = 0;
	exec->sequence = 0;
	exec->runs = g_ptr_array_new();
	exec->ends = g_ptr_array_new();
	exec->closed = g_hash_table_new(g_str_hash, g_str_equal);
	if (exec->waiting == NULL)
		exec->waiting = g_ptr_array_new();
	exec->up = true;
	exec->listed = true;
	exec->draining = false;
}

void
exec_add(const char *zone, const char *rack, uint32_t cpu, uint32_t mem,
    bool guards)
{
	exec_t *exec = g_new0(exec_t, 1);

	if (done_noted == NULL)
		done_noted = g_hash_table_new(g_str_hash, g_str_equal);
	exec->index = n_execs;
	exec->id = g_strdup_printf("i-%08" G_GINT64_MODIFIER "x", 0x7f3a9100 + ++lives);
	exec->zone = g_strdup(zone);
	exec->rack = g_strdup(rack);
	exec->kind = "a";
	exec->cpu = cpu;
	exec->mem = mem;
	exec->guards = guards;
	reset_life(exec);
	exec->port = serve_http(on_exec_call, exec, &exec->up);
	execs[n_execs++] = exec;
	exec_register(exec);
	(void)g_timeout_add(HEARTBEAT_MS, on_beat, exec);
	(void)g_timeout_add(TICK_MS, on_exec_tick, exec);
}

/* It crashes: what runs there is gone. */
void
exec_kill(exec_t *exec)
{
	note("executor %d: crashes", exec->index);
	exec->up = false;
	reset_conns_of(exec);
	wake(exec);
	g_ptr_array_set_size(exec->runs, 0);
	g_ptr_array_set_size(exec->ends, 0);
}

void
exec_start_again(exec_t *exec)
{
	note("executor %d: starts again", exec->index);
	reset_life(exec);
	exec_register(exec);
}

uint32_t
exec_running(const char *task)
{
	uint32_t count = 0;
	int i;
	guint k;

	for (i = 0; i < n_execs; i++) {
		for (k = 0; execs[i]->up && k < execs[i]->runs->len; k++) {
			run_t *run = execs[i]->runs->pdata[k];

			count += strcmp(run->task, task) == 0;
		}
	}
	return count;
}

uint32_t
exec_running_of_job(const char *job)
{
	uint32_t count = 0;
	int i;
	guint k;

	for (i = 0; i < n_execs; i++) {
		for (k = 0; execs[i]->up && k < execs[i]->runs->len; k++) {
			run_t *run = execs[i]->runs->pdata[k];

			count += g_str_has_prefix(run->task, job);
		}
	}
	return count;
}

/* Whether an end `done` of the task was taken note of. */
bool
exec_has_done(const char *task)
{
	return g_hash_table_contains(done_noted, task);
}
