#ifndef BULRUSHPOST_FRAME_H
#define BULRUSHPOST_FRAME_H

#include "bulrushpost/error.h"

#include <stddef.h>

/* A frame of a TCP stream: a 4-byte big-endian length, then the body. */
#define BP_FRAME_HEADER_BYTES 4
#define BP_FRAME_MAX_BYTES (1024 * 1024)

/* Decodes frames from a byte stream received in arbitrary pieces. */
typedef struct bp_frame_decoder bp_frame_decoder_t;

int bp_frame_append(
    GByteArray *out, const uint8_t *body, size_t size_bytes, bp_error_t *err);

bp_frame_decoder_t *bp_frame_decoder_new(void);
void bp_frame_decoder_free(bp_frame_decoder_t *decoder);
void bp_frame_decoder_push(
    bp_frame_decoder_t *decoder, const uint8_t *bytes, size_t size_bytes);
int bp_frame_decoder_next(bp_frame_decoder_t *decoder, const uint8_t **body,
    size_t *size_bytes, bp_error_t *err);
/* Frees the room of large frames once all were returned; bodies become
 * invalid. */
void bp_frame_decoder_trim(bp_frame_decoder_t *decoder);
size_t bp_frame_decoder_pending(const bp_frame_decoder_t *decoder);

#endif
