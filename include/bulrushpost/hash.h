#ifndef BULRUSHPOST_HASH_H
#define BULRUSHPOST_HASH_H

#include <stddef.h>
#include <stdint.h>

uint64_t bp_hash_bytes(const void *data, size_t size_bytes, uint64_t seed);
uint64_t bp_hash_text(const char *text, uint64_t seed);
uint64_t bp_hash_mix(uint64_t value);
uint32_t bp_hash_crc32(const void *data, size_t size_bytes);

/* A small deterministic random generator for seeded decisions and tests. */
typedef struct {
	uint64_t state;
} bp_random_t;

void bp_random_init(bp_random_t *random, uint64_t seed);
uint64_t bp_random_next(bp_random_t *random);
uint32_t bp_random_below(bp_random_t *random, uint32_t bound);
double bp_random_unit(bp_random_t *random);

#endif
