#ifndef BP_CORE_SETTINGS_INTERNAL_H
#define BP_CORE_SETTINGS_INTERNAL_H

#include "bulrushpost/settings.h"

#define BP_SETTINGS_NAME_MAX_BYTES 128

/* One key of the file with its value; exactly one of scalar, list is set. */
typedef struct {
	char *path; /* section.key, or key at the top level */
	char *scalar;
	bool quoted;
	GPtrArray *list; /* char * */
	uint32_t line;
} bp_settings_item_t;

/* A file being parsed and the problems found in it. */
typedef struct {
	const char *file;
	GPtrArray *items; /* bp_settings_item_t */
	GPtrArray *problems; /* char * */
} bp_settings_file_t;

void bp_settings_problem(bp_settings_file_t *file, uint32_t line,
    const char *key, const char *format, ...) G_GNUC_PRINTF(4, 5);
/* Parses YAML text into items; adds syntax errors to problems. */
void bp_settings_read_yaml(
    bp_settings_file_t *file, const char *text, size_t size_bytes);
void bp_settings_item_free(gpointer item);
const bp_settings_item_t *bp_settings_find(
    const bp_settings_file_t *file, const char *path);
bool bp_settings_is_name(const char *value);
bool bp_settings_is_address(const char *value);
bool bp_settings_is_url(const char *value);

#endif
