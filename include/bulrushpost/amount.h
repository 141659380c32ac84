#ifndef BULRUSHPOST_AMOUNT_H
#define BULRUSHPOST_AMOUNT_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* Amounts of resources as operators write them. */
bool bp_amount_read_number(
    const char *word, size_t length, unsigned int decimals, uint32_t *out);
bool bp_amount_read_cpu(const char *word, uint32_t *cpu_milli);
bool bp_amount_read_memory(const char *word, uint32_t *memory_mib);

#endif
