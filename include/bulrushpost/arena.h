#ifndef BULRUSHPOST_ARENA_H
#define BULRUSHPOST_ARENA_H

#include <glib.h>
#include <stddef.h>

/* Memory of one request: many allocations that are freed together. */
typedef struct bp_arena bp_arena_t;

bp_arena_t *bp_arena_new(void);
void bp_arena_free(bp_arena_t *arena);
void *bp_arena_alloc(bp_arena_t *arena, size_t bytes);
char *bp_arena_strdup(bp_arena_t *arena, const char *text);
char *bp_arena_printf(bp_arena_t *arena, const char *format, ...)
    G_GNUC_PRINTF(2, 3);
size_t bp_arena_bytes(const bp_arena_t *arena);

#endif
