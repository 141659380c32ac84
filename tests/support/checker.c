#include "support/checker.h"

#include <json-glib/json-glib.h>
#include <stdio.h>
#include <string.h>

typedef struct {
	int64_t time_us;
	char *vm;
	char *task; /* job/task */
	char *job;
	int64_t attempt;
	char *kind;
	char *cause;
	char *checkpoint;
	int64_t size[3]; /* cpu_milli, memory_mib, accelerators */
	guint order; /* as read; keeps equal times stable */
} event_t;

typedef struct {
	char *zone;
	int64_t capacity[3];
	int64_t used[3];
} vm_t;

typedef struct {
	char *zone;
	int64_t out_us;
	int64_t back_us;
} outage_t;

typedef struct {
	char *path;
	char *key;
	int64_t leaving_us;
} execution_t;

/* What became of the starts from one checkpoint. */
typedef struct {
	guint kept; /* runs that were not lost */
} resumption_t;

struct bp_checker {
	GPtrArray *events;
	GHashTable *vms;
	GArray *outages;
	GPtrArray *executions;
	GPtrArray *once;
	GPtrArray *violations;
};

static void
event_free(gpointer data)
{
	event_t *e = data;

	g_free(e->vm);
	g_free(e->task);
	g_free(e->job);
	g_free(e->kind);
	g_free(e->cause);
	g_free(e->checkpoint);
	g_free(e);
}

static void
vm_free(gpointer data)
{
	vm_t *vm = data;

	g_free(vm->zone);
	g_free(vm);
}

static void
outage_clear(gpointer data)
{
	g_free(((outage_t *)data)->zone);
}

static void
execution_free(gpointer data)
{
	execution_t *x = data;

	g_free(x->path);
	g_free(x->key);
	g_free(x);
}

/* Creates a checker that knows nothing yet. */
bp_checker_t *
bp_checker_new(void)
{
	bp_checker_t *c = g_new0(bp_checker_t, 1);

	c->events = g_ptr_array_new_with_free_func(event_free);
	c->vms =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, vm_free);
	c->outages = g_array_new(FALSE, FALSE, sizeof(outage_t));
	g_array_set_clear_func(c->outages, outage_clear);
	c->executions = g_ptr_array_new_with_free_func(execution_free);
	c->once = g_ptr_array_new_with_free_func(g_free);
	c->violations = g_ptr_array_new_with_free_func(g_free);
	return c;
}

/* Frees a checker. NULL is allowed. */
void
bp_checker_free(bp_checker_t *checker)
{
	if (checker == NULL)
		return;
	g_ptr_array_unref(checker->events);
	g_hash_table_unref(checker->vms);
	g_array_unref(checker->outages);
	g_ptr_array_unref(checker->executions);
	g_ptr_array_unref(checker->once);
	g_ptr_array_unref(checker->violations);
	g_free(checker);
}

static int64_t
number(JsonObject *o, const char *name)
{
	return json_object_get_int_member_with_default(o, name, 0);
}

static char *
text(JsonObject *o, const char *name)
{
	return g_strdup(
	    json_object_get_string_member_with_default(o, name, ""));
}

static void
read_size(JsonObject *o, int64_t *size)
{
	size[0] = number(o, "cpu_milli");
	size[1] = number(o, "memory_mib");
	size[2] = number(o, "accelerators");
}

typedef void (*add_t)(bp_checker_t *checker, JsonObject *o);

static bool
add_all(bp_checker_t *checker, const char *json, add_t add)
{
	JsonParser *parser = json_parser_new();
	JsonNode *root = NULL;
	bool ok = false;
	guint i;

	if (json != NULL && json_parser_load_from_data(parser, json, -1, NULL))
		root = json_parser_get_root(parser);
	if (root != NULL && JSON_NODE_HOLDS_ARRAY(root)) {
		JsonArray *array = json_node_get_array(root);

		for (i = 0; i < json_array_get_length(array); i++)
			add(checker, json_array_get_object_element(array, i));
		ok = true;
	}
	g_object_unref(parser);
	return ok;
}

static void
add_vm(bp_checker_t *checker, JsonObject *o)
{
	vm_t *vm = g_new0(vm_t, 1);

	vm->zone = text(o, "zone");
	read_size(o, vm->capacity);
	g_hash_table_replace(checker->vms, text(o, "vm"), vm);
}

static void
add_event(bp_checker_t *checker, JsonObject *o)
{
	event_t *e = g_new0(event_t, 1);

	e->time_us = number(o, "time_us");
	e->vm = text(o, "vm");
	e->job = text(o, "job");
	e->task =
	    g_strdup_printf("%s/%" G_GINT64_FORMAT, e->job, number(o, "task"));
	e->attempt = number(o, "attempt");
	e->kind = text(o, "event");
	e->cause = text(o, "cause");
	e->checkpoint = text(o, "checkpoint");
	e->order = checker->events->len;
	read_size(o, e->size);
	g_ptr_array_add(checker->events, e);
}

static void
add_execution(bp_checker_t *checker, JsonObject *o)
{
	execution_t *x = g_new0(execution_t, 1);

	x->path = text(o, "path");
	x->key = text(o, "key");
	x->leaving_us = number(o, "leaving_us");
	g_ptr_array_add(checker->executions, x);
}

/* Returns false when the text is not a JSON array. */
bool
bp_checker_add_vms(bp_checker_t *checker, const char *json)
{
	return add_all(checker, json, add_vm);
}

/* Returns false when the text is not a JSON array. */
bool
bp_checker_add_worker_history(bp_checker_t *checker, const char *json)
{
	return add_all(checker, json, add_event);
}

/* Returns false when the text is not a JSON array. */
bool
bp_checker_add_executions(bp_checker_t *checker, const char *json)
{
	return add_all(checker, json, add_execution);
}

/* Records that an operator took a zone out of service for a time. */
void
bp_checker_zone_out(
    bp_checker_t *checker, const char *zone, int64_t out_us, int64_t back_us)
{
	outage_t outage = {g_strdup(zone), out_us, back_us};

	g_array_append_val(checker->outages, outage);
}

/* Declares requests below a path as non-idempotent. */
void
bp_checker_once(bp_checker_t *checker, const char *path_prefix)
{
	g_ptr_array_add(checker->once, g_strdup(path_prefix));
}

static void violation(bp_checker_t *checker, const char *format, ...)
    G_GNUC_PRINTF(2, 3);

static void
violation(bp_checker_t *checker, const char *format, ...)
{
	va_list args;

	va_start(args, format);
	g_ptr_array_add(checker->violations, g_strdup_vprintf(format, args));
	va_end(args);
}

/* By time; at the same time an end comes before a start. */
static gint
compare_events(gconstpointer a, gconstpointer b)
{
	const event_t *x = *(const event_t *const *)a;
	const event_t *y = *(const event_t *const *)b;
	int x_start = strcmp(x->kind, "start") == 0;
	int y_start = strcmp(y->kind, "start") == 0;

	if (x->time_us != y->time_us)
		return x->time_us < y->time_us ? -1 : 1;
	if (x_start != y_start)
		return x_start - y_start;
	return x->order < y->order ? -1 : x->order > y->order;
}

static void
change_use(bp_checker_t *checker, const event_t *e, int sign)
{
	static const char *const names[] = {
	    "processors", "memory", "accelerators"};
	vm_t *vm = g_hash_table_lookup(checker->vms, e->vm);
	int i;

	if (vm == NULL)
		violation(checker, "%s is not a known VM", e->vm);
	for (i = 0; vm != NULL && i < 3; i++) {
		vm->used[i] += sign * e->size[i];
		if (sign > 0 && vm->used[i] > vm->capacity[i])
			violation(checker,
			    "%s: %s over capacity by %" G_GINT64_FORMAT
			    " with %s",
			    e->vm, names[i], vm->used[i] - vm->capacity[i],
			    e->task);
	}
}

static void
check_zone(bp_checker_t *checker, const event_t *e)
{
	const vm_t *vm = g_hash_table_lookup(checker->vms, e->vm);
	guint i;

	for (i = 0; vm != NULL && i < checker->outages->len; i++) {
		const outage_t *o =
		    &g_array_index(checker->outages, outage_t, i);

		if (strcmp(o->zone, vm->zone) == 0 &&
		    e->time_us > o->out_us + BP_CHECKER_ZONE_OUT_US &&
		    e->time_us < o->back_us)
			violation(checker,
			    "%s started on %s %" G_GINT64_FORMAT
			    " ms after zone %s was taken out",
			    e->task, e->vm, (e->time_us - o->out_us) / 1000,
			    o->zone);
	}
}

/* running: task -> its start event. */
static void
check_start(bp_checker_t *checker, const event_t *e, GHashTable *running)
{
	const event_t *other = g_hash_table_lookup(running, e->task);

	if (other != NULL)
		violation(checker,
		    "%s attempt %" G_GINT64_FORMAT
		    " started on %s while attempt %" G_GINT64_FORMAT
		    " ran on %s",
		    e->task, e->attempt, e->vm, other->attempt, other->vm);
	check_zone(checker, e);
	change_use(checker, e, 1);
	g_hash_table_insert(running, e->task, (gpointer)e);
}

/* A run that was lost or failed may be started from its checkpoint again. */
static bool
run_kept(const event_t *end)
{
	static const char *const lost[] = {
	    "lease_lapsed", "reboot", "failed", "stopped", NULL};

	return !g_strv_contains(lost, end->cause);
}

static resumption_t *
resumption(GHashTable *checkpoints, const char *id)
{
	resumption_t *r = g_hash_table_lookup(checkpoints, id);

	if (r == NULL) {
		r = g_new0(resumption_t, 1);
		g_hash_table_insert(checkpoints, g_strdup(id), r);
	}
	return r;
}

static void
check_end(bp_checker_t *checker, const event_t *e, GHashTable *running,
    GHashTable *checkpoints)
{
	const event_t *start = g_hash_table_lookup(running, e->task);

	change_use(checker, e, -1);
	if (start != NULL && start->attempt == e->attempt &&
	    strcmp(start->vm, e->vm) == 0) {
		g_hash_table_remove(running, e->task);
		if (start->checkpoint[0] != '\0' && run_kept(e))
			resumption(checkpoints, start->checkpoint)->kept++;
	}
	if (strcmp(e->cause, "checkpointed") == 0)
		resumption(checkpoints, e->checkpoint);
}

/* After a checkpoint the next start of the task must continue from it. */
static void
check_continued(bp_checker_t *checker, const event_t *e, GHashTable *latest)
{
	const char *expected = g_hash_table_lookup(latest, e->task);

	if (strcmp(e->kind, "end") == 0 &&
	    strcmp(e->cause, "checkpointed") == 0)
		g_hash_table_insert(latest, e->task, e->checkpoint);
	else if (strcmp(e->kind, "start") == 0 && expected != NULL &&
	    strcmp(expected, e->checkpoint) != 0)
		violation(checker, "%s started on %s from \"%s\", not \"%s\"",
		    e->task, e->vm, e->checkpoint, expected);
}

static void
check_events(bp_checker_t *checker, GHashTable *checkpoints)
{
	GHashTable *running = g_hash_table_new(g_str_hash, g_str_equal);
	GHashTable *latest = g_hash_table_new(g_str_hash, g_str_equal);
	GHashTableIter iter;
	gpointer value;
	guint i;

	g_ptr_array_sort(checker->events, compare_events);
	for (i = 0; i < checker->events->len; i++) {
		const event_t *e = g_ptr_array_index(checker->events, i);

		check_continued(checker, e, latest);
		if (strcmp(e->kind, "start") == 0)
			check_start(checker, e, running);
		else if (strcmp(e->kind, "end") == 0)
			check_end(checker, e, running, checkpoints);
	}
	g_hash_table_iter_init(&iter, running);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const event_t *start = value;

		if (start->checkpoint[0] != '\0')
			resumption(checkpoints, start->checkpoint)->kept++;
	}
	g_hash_table_unref(running);
	g_hash_table_unref(latest);
}

static void
check_checkpoints(bp_checker_t *checker, GHashTable *checkpoints, bool complete)
{
	GHashTableIter iter;
	gpointer key;
	gpointer value;

	g_hash_table_iter_init(&iter, checkpoints);
	while (g_hash_table_iter_next(&iter, &key, &value)) {
		const resumption_t *r = value;

		if (r->kept > 1 || (complete && r->kept == 0))
			violation(checker, "checkpoint %s resumed %u times",
			    (const char *)key, r->kept);
	}
}

static bool
is_once(const bp_checker_t *checker, const char *path)
{
	guint i;

	for (i = 0; i < checker->once->len; i++) {
		if (g_str_has_prefix(path, g_ptr_array_index(checker->once, i)))
			return true;
	}
	return false;
}

static void
check_repeat(
    bp_checker_t *checker, GHashTable *seen, const char *what, const char *name)
{
	if (!g_hash_table_add(seen, g_strdup_printf("%s %s", what, name)))
		violation(checker, "%s %s executed again", what, name);
}

static void
check_executions(bp_checker_t *checker)
{
	GHashTable *seen =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	guint i;

	for (i = 0; i < checker->executions->len; i++) {
		const execution_t *x =
		    g_ptr_array_index(checker->executions, i);

		if (x->key[0] != '\0')
			check_repeat(checker, seen, "key", x->key);
		if (is_once(checker, x->path))
			check_repeat(checker, seen, "path", x->path);
		if (x->leaving_us > BP_CHECKER_LEAVING_US)
			violation(checker,
			    "%s was sent to an endpoint that had been leaving "
			    "for %" G_GINT64_FORMAT " ms",
			    x->path, x->leaving_us / 1000);
	}
	g_hash_table_unref(seen);
}

/* Checks everything again and returns the number of violations. */
guint
bp_checker_run(bp_checker_t *checker, bool complete)
{
	GHashTable *checkpoints =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	GHashTableIter iter;
	gpointer vm;

	g_ptr_array_set_size(checker->violations, 0);
	g_hash_table_iter_init(&iter, checker->vms);
	while (g_hash_table_iter_next(&iter, NULL, &vm))
		memset(((vm_t *)vm)->used, 0, sizeof(((vm_t *)vm)->used));
	check_events(checker, checkpoints);
	check_checkpoints(checker, checkpoints, complete);
	check_executions(checker);
	g_hash_table_unref(checkpoints);
	return checker->violations->len;
}

/* Returns lines of text (char *), owned by the checker. */
const GPtrArray *
bp_checker_violations(const bp_checker_t *checker)
{
	return checker->violations;
}

/* Prints all violations to standard output. */
void
bp_checker_print(const bp_checker_t *checker)
{
	guint i;

	for (i = 0; i < checker->violations->len; i++)
		printf("VIOLATION %s\n",
		    (const char *)g_ptr_array_index(checker->violations, i));
}

static void
count_end(const event_t *e, GHashTable *done, bp_checker_counts_t *out)
{
	if (strcmp(e->cause, "succeeded") == 0) {
		out->succeeded++;
		out->done += g_hash_table_add(done, e->task);
	}
	out->checkpointed += strcmp(e->cause, "checkpointed") == 0;
	out->lapsed += strcmp(e->cause, "lease_lapsed") == 0;
}

/* Counts the events of one job, or of all jobs when job is NULL. */
void
bp_checker_count(
    const bp_checker_t *checker, const char *job, bp_checker_counts_t *out)
{
	GHashTable *done = g_hash_table_new(g_str_hash, g_str_equal);
	guint i;

	*out = (bp_checker_counts_t){0};
	for (i = 0; i < checker->events->len; i++) {
		const event_t *e = g_ptr_array_index(checker->events, i);

		if (job != NULL && strcmp(e->job, job) != 0)
			continue;
		out->starts += strcmp(e->kind, "start") == 0;
		out->refused += strcmp(e->kind, "refused") == 0;
		if (strcmp(e->kind, "end") == 0)
			count_end(e, done, out);
	}
	g_hash_table_unref(done);
}

/* Counts what executors have started, whatever became of the answers. */
guint
bp_checker_executions(const bp_checker_t *checker, const char *path_prefix)
{
	guint found = 0;
	guint i;

	for (i = 0; i < checker->executions->len; i++) {
		const execution_t *x =
		    g_ptr_array_index(checker->executions, i);

		found += g_str_has_prefix(x->path, path_prefix);
	}
	return found;
}

/* Counts the starts of all jobs. */
guint
bp_checker_starts_in(
    const bp_checker_t *checker, const char *zone, int64_t from_us)
{
	guint starts = 0;
	guint i;

	for (i = 0; i < checker->events->len; i++) {
		const event_t *e = g_ptr_array_index(checker->events, i);
		const vm_t *vm = g_hash_table_lookup(checker->vms, e->vm);

		starts += strcmp(e->kind, "start") == 0 && vm != NULL &&
		    strcmp(vm->zone, zone) == 0 && e->time_us >= from_us;
	}
	return starts;
}
