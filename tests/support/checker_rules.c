#include "support/checker_private.h"

#include <stdarg.h>
#include <string.h>

/* What became of the starts from one checkpoint. */
typedef struct {
	guint kept; /* runs that were not lost */
} resumption_t;

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
	const bp_checker_event_t *x = *(const bp_checker_event_t *const *)a;
	const bp_checker_event_t *y = *(const bp_checker_event_t *const *)b;
	int x_start = strcmp(x->kind, "start") == 0;
	int y_start = strcmp(y->kind, "start") == 0;

	if (x->time_us != y->time_us)
		return x->time_us < y->time_us ? -1 : 1;
	if (x_start != y_start)
		return x_start - y_start;
	return x->order < y->order ? -1 : x->order > y->order;
}

static void
change_use(bp_checker_t *checker, const bp_checker_event_t *e, int sign)
{
	static const char *const names[] = {
	    "processors", "memory", "accelerators"};
	bp_checker_vm_t *vm = g_hash_table_lookup(checker->vms, e->vm);
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
check_zone(bp_checker_t *checker, const bp_checker_event_t *e)
{
	const bp_checker_vm_t *vm = g_hash_table_lookup(checker->vms, e->vm);
	guint i;

	for (i = 0; vm != NULL && i < checker->outages->len; i++) {
		const bp_checker_outage_t *o =
		    &g_array_index(checker->outages, bp_checker_outage_t, i);

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
check_start(
    bp_checker_t *checker, const bp_checker_event_t *e, GHashTable *running)
{
	const bp_checker_event_t *other = g_hash_table_lookup(running, e->task);

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
run_kept(const bp_checker_event_t *end)
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
check_end(bp_checker_t *checker, const bp_checker_event_t *e,
    GHashTable *running, GHashTable *checkpoints)
{
	const bp_checker_event_t *start = g_hash_table_lookup(running, e->task);

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
check_continued(
    bp_checker_t *checker, const bp_checker_event_t *e, GHashTable *latest)
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
		const bp_checker_event_t *e =
		    g_ptr_array_index(checker->events, i);

		check_continued(checker, e, latest);
		if (strcmp(e->kind, "start") == 0)
			check_start(checker, e, running);
		else if (strcmp(e->kind, "end") == 0)
			check_end(checker, e, running, checkpoints);
	}
	g_hash_table_iter_init(&iter, running);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const bp_checker_event_t *start = value;

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
		const bp_checker_execution_t *x =
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
		memset(((bp_checker_vm_t *)vm)->used, 0,
		    sizeof(((bp_checker_vm_t *)vm)->used));
	check_events(checker, checkpoints);
	check_checkpoints(checker, checkpoints, complete);
	check_executions(checker);
	g_hash_table_unref(checkpoints);
	return checker->violations->len;
}
