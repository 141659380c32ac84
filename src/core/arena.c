#include "bulrushpost/arena.h"

#include <stdarg.h>
#include <stdint.h>
#include <string.h>

#define BLOCK_BYTES 4096
#define ALIGN_BYTES 16

typedef struct block {
	struct block *next;
	size_t used_bytes;
	size_t size_bytes;
	_Alignas(ALIGN_BYTES) unsigned char data[];
} block_t;

struct bp_arena {
	block_t *head;
	size_t total_bytes;
};

/* Creates an empty arena. Free with bp_arena_free. */
bp_arena_t *
bp_arena_new(void)
{
	return g_new0(bp_arena_t, 1);
}

/* Frees the arena and everything allocated from it. NULL is allowed. */
void
bp_arena_free(bp_arena_t *arena)
{
	block_t *block;

	if (arena == NULL)
		return;
	while ((block = arena->head) != NULL) {
		arena->head = block->next;
		g_free(block);
	}
	g_free(arena);
}

static block_t *
add_block(bp_arena_t *arena, size_t bytes)
{
	size_t size_bytes = MAX(bytes, (size_t)BLOCK_BYTES);
	block_t *block = g_malloc(sizeof(*block) + size_bytes);

	block->next = arena->head;
	block->used_bytes = 0;
	block->size_bytes = size_bytes;
	arena->head = block;
	return block;
}

/* Returns zeroed memory, aligned for any type, that the arena owns. */
void *
bp_arena_alloc(bp_arena_t *arena, size_t bytes)
{
	size_t rounded = (bytes + ALIGN_BYTES - 1) & ~(size_t)(ALIGN_BYTES - 1);
	block_t *block = arena->head;
	void *memory;

	if (block == NULL || block->size_bytes - block->used_bytes < rounded)
		block = add_block(arena, rounded);
	memory = block->data + block->used_bytes;
	block->used_bytes += rounded;
	arena->total_bytes += rounded;
	memset(memory, 0, rounded);
	return memory;
}

/* Copies a string, or returns NULL for NULL. */
char *
bp_arena_strdup(bp_arena_t *arena, const char *text)
{
	size_t bytes;
	char *copy;

	if (text == NULL)
		return NULL;
	bytes = strlen(text) + 1;
	copy = bp_arena_alloc(arena, bytes);
	memcpy(copy, text, bytes);
	return copy;
}

/* Formats a string into the arena. */
char *
bp_arena_printf(bp_arena_t *arena, const char *format, ...)
{
	va_list args;
	char *formatted;
	char *copy;

	va_start(args, format);
	formatted = g_strdup_vprintf(format, args);
	va_end(args);
	copy = bp_arena_strdup(arena, formatted);
	g_free(formatted);
	return copy;
}

/* Returns the number of bytes allocated so far. */
size_t
bp_arena_bytes(const bp_arena_t *arena)
{
	return arena->total_bytes;
}
