#include "standin/server.h"
#include "standin/worker.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define US_PER_MS 1000
#define DEFAULT_RUN_MS 1000
#define DEFAULT_LOAD_PERMILLE 500

static void
event_clear(gpointer data)
{
	vm_event_t *event = data;

	g_free(event->job);
	g_free(event->checkpoint);
}

/* Prepares an empty history. */
void
vm_history_init(vm_history_t *history, bool print_starts)
{
	history->events = g_array_new(FALSE, FALSE, sizeof(vm_event_t));
	g_array_set_clear_func(history->events, event_clear);
	history->print_starts = print_starts;
}

/* Frees all events. */
void
vm_history_clear(vm_history_t *history)
{
	g_array_unref(history->events);
}

/* Adds a copy of an event. */
void
vm_history_add(vm_history_t *history, const vm_event_t *event)
{
	vm_event_t copy = *event;

	copy.job = g_strdup(event->job != NULL ? event->job : "");
	copy.checkpoint =
	    g_strdup(event->checkpoint != NULL ? event->checkpoint : "");
	g_array_append_val(history->events, copy);
	if (!history->print_starts || strcmp(event->event, "start") != 0)
		return;
	printf("START %s %s %u %u epoch=%" G_GUINT64_FORMAT
	       " time_ms=%" G_GINT64_FORMAT "\n",
	    event->vm, copy.job, event->task, event->attempt, event->epoch,
	    event->time_us / US_PER_MS);
	fflush(stdout);
}

/* Adds the events from the given index on as objects of an open array. */
void
vm_history_build(
    const vm_history_t *history, uint32_t from, JsonBuilder *builder)
{
	guint i;

	for (i = from; i < history->events->len; i++) {
		const vm_event_t *e =
		    &g_array_index(history->events, vm_event_t, i);

		json_builder_begin_object(builder);
		standin_build_int(builder, "time_us", e->time_us);
		standin_build_text(builder, "vm", e->vm);
		standin_build_text(builder, "job", e->job);
		standin_build_int(builder, "task", e->task);
		standin_build_int(builder, "attempt", e->attempt);
		standin_build_text(builder, "event", e->event);
		standin_build_text(builder, "cause", e->cause);
		standin_build_int(builder, "epoch", (int64_t)e->epoch);
		standin_build_text(builder, "checkpoint", e->checkpoint);
		standin_build_int(builder, "cpu_milli", e->cpu_milli);
		standin_build_int(builder, "memory_mib", e->memory_mib);
		standin_build_int(builder, "accelerators", e->accelerators);
		json_builder_end_object(builder);
	}
}

static uint32_t
parse_number(const char *text)
{
	return (uint32_t)strtoul(text, NULL, 10);
}

static void
parse_word(vm_command_t *out, const char *word)
{
	const char *value = strchr(word, '=');

	if (value == NULL)
		return;
	value++;
	if (g_str_has_prefix(word, "run_ms="))
		out->run_ms = parse_number(value);
	else if (g_str_has_prefix(word, "exit="))
		out->fail = strcmp(value, "fail") == 0;
	else if (g_str_has_prefix(word, "slowdown="))
		out->slowdown_permille = parse_number(value);
	else if (g_str_has_prefix(word, "load="))
		out->load_permille = parse_number(value);
	else if (g_str_has_prefix(word, "cpu="))
		out->cpu_milli = parse_number(value);
	else if (g_str_has_prefix(word, "mem="))
		out->memory_mib = parse_number(value);
}

/*
 * Reads how a task behaves from its command: run_ms= (0 without end, the
 * default of services; 1,000 ms otherwise), exit=fail, slowdown= (permille
 * that it adds to every service on its VM), load= (permille), and cpu=
 * (milli) and mem= (MiB) as used. Other words are ignored.
 */
void
vm_command_parse(vm_command_t *out, const Bp__Worker__StartTask *start)
{
	char **words = g_strsplit(start->command, " ", -1);
	guint i;

	*out = (vm_command_t){
	    .run_ms = start->klass == 1 ? 0 : DEFAULT_RUN_MS,
	    .load_permille = DEFAULT_LOAD_PERMILLE,
	    .cpu_milli = start->cpu_milli,
	    .memory_mib = start->memory_mib,
	};
	for (i = 0; words[i] != NULL; i++)
		parse_word(out, words[i]);
	g_strfreev(words);
}
