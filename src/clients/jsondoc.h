#ifndef BP_CLIENTS_JSONDOC_H
#define BP_CLIENTS_JSONDOC_H

#include "bulrushpost/error.h"

#include <json-glib/json-glib.h>
#include <stdbool.h>
#include <stdint.h>

/* Strict parsing of small JSON documents from other systems. */
int bp_json_parse(JsonParser **out, const char *text, size_t size_bytes,
    uint32_t max_depth, bp_error_t *err);
int bp_json_parse_all(JsonParser **out, const char *text, size_t size_bytes,
    uint32_t max_depth, bp_error_t *err);
int bp_json_uint(uint64_t *out, JsonObject *object, const char *member,
    uint64_t max, bp_error_t *err);
int bp_json_text(const char **out, JsonObject *object, const char *member,
    size_t max_bytes, bp_error_t *err);

#endif
