#ifndef BP_CLIENTS_CHUNKSET_H
#define BP_CLIENTS_CHUNKSET_H

#include "bulrushpost/error.h"

#include <glib.h>
#include <stdint.h>

/* Reassembles snapshots from chunks that arrive in any order. */
typedef struct bp_chunkset bp_chunkset_t;

bp_chunkset_t *bp_chunkset_new(void);
void bp_chunkset_free(bp_chunkset_t *set);
int bp_chunkset_add(bp_chunkset_t *set, const uint8_t *bytes, size_t size_bytes,
    bp_error_t *err);
GByteArray *bp_chunkset_take(bp_chunkset_t *set, uint64_t *next_offset);

/* Identity of one chunk without its body. */
typedef struct {
	uint64_t next_offset;
	uint32_t part;
	uint32_t parts;
} bp_chunk_id_t;

int bp_chunk_decode_id(bp_chunk_id_t *out, const uint8_t *bytes,
    size_t size_bytes, bp_error_t *err);
GByteArray *bp_chunk_encode(
    const bp_chunk_id_t *id, const uint8_t *body, size_t size_bytes);

#endif
