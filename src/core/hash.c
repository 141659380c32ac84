#include "bulrushpost/hash.h"

#include <string.h>

#define FNV_OFFSET 0xcbf29ce484222325ULL
#define FNV_PRIME 0x100000001b3ULL
#define CRC_POLYNOMIAL 0xedb88320U
#define UNIT_BITS 53

/* Final mixing step of the splitmix64 generator (Steele, Lea, Flood). */
uint64_t
bp_hash_mix(uint64_t value)
{
	value ^= value >> 30;
	value *= 0xbf58476d1ce4e5b9ULL;
	value ^= value >> 27;
	value *= 0x94d049bb133111ebULL;
	return value ^ (value >> 31);
}

/* FNV-1a with a final mix; equal on all nodes, unlike the hash of GLib. */
uint64_t
bp_hash_bytes(const void *data, size_t size_bytes, uint64_t seed)
{
	const unsigned char *p = data;
	uint64_t hash = FNV_OFFSET ^ bp_hash_mix(seed);
	size_t i;

	for (i = 0; i < size_bytes; i++) {
		hash ^= p[i];
		hash *= FNV_PRIME;
	}
	return bp_hash_mix(hash);
}

/* Hashes a string without its terminator. */
uint64_t
bp_hash_text(const char *text, uint64_t seed)
{
	return bp_hash_bytes(text, strlen(text), seed);
}

/* CRC-32 (reflected, polynomial 0xedb88320) of the bytes. */
uint32_t
bp_hash_crc32(const void *data, size_t size_bytes)
{
	const unsigned char *p = data;
	uint32_t crc = 0xffffffffU;
	size_t i;
	int bit;

	for (i = 0; i < size_bytes; i++) {
		crc ^= p[i];
		for (bit = 0; bit < 8; bit++)
			crc = (crc >> 1) ^ ((crc & 1U) ? CRC_POLYNOMIAL : 0U);
	}
	return ~crc;
}

/* Seeds the generator; equal seeds give equal sequences. */
void
bp_random_init(bp_random_t *random, uint64_t seed)
{
	random->state = seed;
}

/* Returns the next 64 random bits (splitmix64). */
uint64_t
bp_random_next(bp_random_t *random)
{
	random->state += 0x9e3779b97f4a7c15ULL;
	return bp_hash_mix(random->state);
}

/* Returns a number in [0, bound); 0 for a bound of 0. */
uint32_t
bp_random_below(bp_random_t *random, uint32_t bound)
{
	if (bound == 0)
		return 0;
	return (uint32_t)(bp_random_next(random) % bound);
}

/* Returns a number in [0, 1). */
double
bp_random_unit(bp_random_t *random)
{
	return (double)(bp_random_next(random) >> (64 - UNIT_BITS)) /
	    (double)(1ULL << UNIT_BITS);
}
