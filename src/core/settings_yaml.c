#include "core/settings_internal.h"

#include <stdarg.h>
#include <string.h>
#include <yaml.h>

/* Document, section, list: the deepest nesting that a file may have. */
#define MAX_DEPTH 2

typedef struct {
	bp_settings_file_t *file;
	yaml_parser_t yaml;
	char *section; /* NULL at the top level */
	char *key; /* NULL when the next scalar is a key */
	uint32_t key_line;
	bp_settings_item_t *list; /* the open list, owned by file->items */
	unsigned int mappings; /* open ones */
	unsigned int documents;
	unsigned int skip; /* open collections inside a rejected value */
} reader_t;

/* Adds "file:line: key: message" to the problems of the file. */
void
bp_settings_problem(bp_settings_file_t *file, uint32_t line, const char *key,
    const char *format, ...)
{
	va_list args;
	char *message;

	va_start(args, format);
	message = g_strdup_vprintf(format, args);
	va_end(args);
	g_ptr_array_add(file->problems,
	    g_strdup_printf("%s:%u: %s: %s", file->file, line, key, message));
	g_free(message);
}

/* Frees an item; for use as a GDestroyNotify. */
void
bp_settings_item_free(gpointer item)
{
	bp_settings_item_t *self = item;

	g_free(self->path);
	g_free(self->scalar);
	if (self->list != NULL)
		g_ptr_array_unref(self->list);
	g_free(self);
}

/* Returns the item of that path, or NULL when the file has none. */
const bp_settings_item_t *
bp_settings_find(const bp_settings_file_t *file, const char *path)
{
	guint i;

	for (i = 0; i < file->items->len; i++) {
		const bp_settings_item_t *item =
		    g_ptr_array_index(file->items, i);

		if (strcmp(item->path, path) == 0)
			return item;
	}
	return NULL;
}

static char *
path_of(const reader_t *reader)
{
	if (reader->section == NULL)
		return g_strdup(reader->key);
	return g_strdup_printf("%s.%s", reader->section, reader->key);
}

/* Adds an item for the pending key and returns it; NULL when repeated. */
static bp_settings_item_t *
add_item(reader_t *reader)
{
	char *path = path_of(reader);
	const bp_settings_item_t *earlier =
	    bp_settings_find(reader->file, path);
	bp_settings_item_t *item = NULL;

	if (earlier != NULL) {
		bp_settings_problem(reader->file, reader->key_line, path,
		    "already given on line %u; keep one of the two",
		    earlier->line);
		g_free(path);
	} else {
		item = g_new0(bp_settings_item_t, 1);
		item->path = path;
		item->line = reader->key_line;
		g_ptr_array_add(reader->file->items, item);
	}
	g_clear_pointer(&reader->key, g_free);
	return item;
}

static uint32_t
line_of(const yaml_event_t *event)
{
	return (uint32_t)event->start_mark.line + 1;
}

static void
on_scalar(reader_t *reader, const yaml_event_t *event)
{
	const char *value = (const char *)event->data.scalar.value;
	bp_settings_item_t *item;

	/* An escaped NUL byte would silently truncate the value. */
	if (strlen(value) != event->data.scalar.length)
		bp_settings_problem(reader->file, line_of(event), "value",
		    "text without NUL bytes");
	if (reader->list != NULL) {
		g_ptr_array_add(reader->list->list, g_strdup(value));
	} else if (reader->mappings == 0) {
		bp_settings_problem(reader->file, line_of(event), "document",
		    "a mapping of sections such as node: and listen:");
	} else if (reader->key == NULL) {
		reader->key = g_strdup(value);
		reader->key_line = line_of(event);
	} else {
		item = add_item(reader);
		if (item == NULL)
			return;
		item->scalar = g_strdup(value);
		item->quoted =
		    event->data.scalar.style != YAML_PLAIN_SCALAR_STYLE;
	}
}

/* Rejects a misplaced collection and skips its content. */
static void
refuse_collection(reader_t *reader, const yaml_event_t *event)
{
	char *path =
	    reader->key != NULL ? path_of(reader) : g_strdup("document");

	bp_settings_problem(reader->file, line_of(event), path,
	    "a single value or a list of values, not nested further");
	g_free(path);
	g_clear_pointer(&reader->key, g_free);
	reader->skip = 1;
}

static void
on_mapping_start(reader_t *reader, const yaml_event_t *event)
{
	guint i;

	if (reader->list != NULL || reader->mappings == MAX_DEPTH ||
	    (reader->mappings == 1 && reader->key == NULL)) {
		refuse_collection(reader, event);
		return;
	}
	reader->mappings++;
	if (reader->mappings < MAX_DEPTH)
		return;
	for (i = 0; i < reader->file->items->len; i++) {
		const bp_settings_item_t *item =
		    g_ptr_array_index(reader->file->items, i);
		size_t length = strlen(reader->key);

		if (strncmp(item->path, reader->key, length) == 0 &&
		    item->path[length] == '.') {
			bp_settings_problem(reader->file, line_of(event),
			    reader->key,
			    "the section was already begun before line %u; "
			    "keep one of the two",
			    item->line);
			break;
		}
	}
	reader->section = reader->key;
	reader->key = NULL;
}

static void
on_sequence_start(reader_t *reader, const yaml_event_t *event)
{
	if (reader->list != NULL || reader->key == NULL) {
		refuse_collection(reader, event);
		return;
	}
	reader->list = add_item(reader);
	if (reader->list == NULL)
		reader->skip = 1;
	else
		reader->list->list = g_ptr_array_new_with_free_func(g_free);
}

static void
on_mapping_end(reader_t *reader)
{
	g_clear_pointer(&reader->section, g_free);
	g_clear_pointer(&reader->key, g_free);
	reader->mappings--;
}

/* Skips an event inside a rejected value; returns whether it did. */
static bool
skip_event(reader_t *reader, const yaml_event_t *event)
{
	if (reader->skip == 0)
		return false;
	if (event->type == YAML_MAPPING_START_EVENT ||
	    event->type == YAML_SEQUENCE_START_EVENT)
		reader->skip++;
	else if (event->type == YAML_MAPPING_END_EVENT ||
	    event->type == YAML_SEQUENCE_END_EVENT)
		reader->skip--;
	return true;
}

static void
on_event(reader_t *reader, const yaml_event_t *event)
{
	if (skip_event(reader, event))
		return;
	switch (event->type) {
	case YAML_DOCUMENT_START_EVENT:
		if (reader->documents++ == 1)
			bp_settings_problem(reader->file, line_of(event),
			    "document", "only one document in the file");
		break;
	case YAML_ALIAS_EVENT:
		bp_settings_problem(reader->file, line_of(event),
		    reader->key != NULL ? reader->key : "document",
		    "values written out, without aliases");
		if (reader->list == NULL)
			g_clear_pointer(&reader->key, g_free);
		break;
	case YAML_SCALAR_EVENT:
		on_scalar(reader, event);
		break;
	case YAML_MAPPING_START_EVENT:
		on_mapping_start(reader, event);
		break;
	case YAML_MAPPING_END_EVENT:
		on_mapping_end(reader);
		break;
	case YAML_SEQUENCE_START_EVENT:
		on_sequence_start(reader, event);
		break;
	case YAML_SEQUENCE_END_EVENT:
		reader->list = NULL;
		break;
	case YAML_NO_EVENT:
	case YAML_STREAM_START_EVENT:
	case YAML_STREAM_END_EVENT:
	case YAML_DOCUMENT_END_EVENT:
		break;
	}
}

/*
 * Parses the YAML text into the items of the file. Errors of structure
 * (syntax, repeated keys, deeper nesting, aliases) are added to its problems.
 */
void
bp_settings_read_yaml(
    bp_settings_file_t *file, const char *text, size_t size_bytes)
{
	reader_t reader = {.file = file};
	yaml_event_t event;
	bool done = false;

	if (!yaml_parser_initialize(&reader.yaml)) {
		bp_settings_problem(file, 1, "document", "out of memory");
		return;
	}
	yaml_parser_set_input_string(
	    &reader.yaml, (const unsigned char *)text, size_bytes);
	while (!done) {
		if (!yaml_parser_parse(&reader.yaml, &event)) {
			bp_settings_problem(file,
			    (uint32_t)reader.yaml.problem_mark.line + 1,
			    "syntax", "%s",
			    reader.yaml.problem != NULL ? reader.yaml.problem
							: "not YAML");
			break;
		}
		on_event(&reader, &event);
		done = event.type == YAML_STREAM_END_EVENT;
		yaml_event_delete(&event);
	}
	g_free(reader.section);
	g_free(reader.key);
	yaml_parser_delete(&reader.yaml);
}
