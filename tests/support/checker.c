#include "support/checker_private.h"

#include <json-glib/json-glib.h>
#include <stdio.h>
#include <string.h>

static void
event_free(gpointer data)
{
	bp_checker_event_t *e = data;

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
	bp_checker_vm_t *vm = data;

	g_free(vm->zone);
	g_free(vm);
}

static void
outage_clear(gpointer data)
{
	g_free(((bp_checker_outage_t *)data)->zone);
}

static void
execution_free(gpointer data)
{
	bp_checker_execution_t *x = data;

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
	c->outages = g_array_new(FALSE, FALSE, sizeof(bp_checker_outage_t));
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
	bp_checker_vm_t *vm = g_new0(bp_checker_vm_t, 1);

	vm->zone = text(o, "zone");
	read_size(o, vm->capacity);
	g_hash_table_replace(checker->vms, text(o, "vm"), vm);
}

static void
add_event(bp_checker_t *checker, JsonObject *o)
{
	bp_checker_event_t *e = g_new0(bp_checker_event_t, 1);

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
	bp_checker_execution_t *x = g_new0(bp_checker_execution_t, 1);

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
	bp_checker_outage_t outage = {g_strdup(zone), out_us, back_us};

	g_array_append_val(checker->outages, outage);
}

/* Declares requests below a path as non-idempotent. */
void
bp_checker_once(bp_checker_t *checker, const char *path_prefix)
{
	g_ptr_array_add(checker->once, g_strdup(path_prefix));
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
count_end(
    const bp_checker_event_t *e, GHashTable *done, bp_checker_counts_t *out)
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
		const bp_checker_event_t *e =
		    g_ptr_array_index(checker->events, i);

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
		const bp_checker_execution_t *x =
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
		const bp_checker_event_t *e =
		    g_ptr_array_index(checker->events, i);
		const bp_checker_vm_t *vm =
		    g_hash_table_lookup(checker->vms, e->vm);

		starts += strcmp(e->kind, "start") == 0 && vm != NULL &&
		    strcmp(vm->zone, zone) == 0 && e->time_us >= from_us;
	}
	return starts;
}
