#include "bulrushpost/amount.h"

#include <glib.h>
#include <string.h>

#define MILLI_DIGITS 3
#define MIB_PER_GIB 1024

/*
 * Parses a decimal number with up to decimals digits after the point and
 * scales it by 10^decimals. Returns false for other text or on overflow.
 */
bool
bp_amount_read_number(
    const char *word, size_t length, unsigned int decimals, uint32_t *out)
{
	uint64_t value = 0;
	unsigned int after = 0;
	bool point = false;
	size_t i;

	for (i = 0; i < length; i++) {
		if (word[i] == '.' && !point && decimals > 0 && i > 0) {
			point = true;
			continue;
		}
		if (!g_ascii_isdigit(word[i]) || (point && after == decimals))
			return false;
		value = value * 10 + (uint64_t)(word[i] - '0');
		after += point ? 1 : 0;
		if (value > UINT32_MAX)
			return false;
	}
	if (length == 0 || (point && after == 0))
		return false;
	for (; after < decimals; after++)
		value *= 10;
	*out = (uint32_t)value;
	return value <= UINT32_MAX;
}

/* Parses a number of processors with at most three decimals. */
bool
bp_amount_read_cpu(const char *word, uint32_t *cpu_milli)
{
	return bp_amount_read_number(
	    word, strlen(word), MILLI_DIGITS, cpu_milli);
}

/* Parses an integer with the suffix M (MiB) or G (GiB). */
bool
bp_amount_read_memory(const char *word, uint32_t *memory_mib)
{
	size_t length = strlen(word);
	uint64_t scaled;

	if (length < 2 ||
	    !bp_amount_read_number(word, length - 1, 0, memory_mib))
		return false;
	if (word[length - 1] == 'M')
		return true;
	if (word[length - 1] != 'G')
		return false;
	scaled = (uint64_t)*memory_mib * MIB_PER_GIB;
	*memory_mib = (uint32_t)scaled;
	return scaled <= UINT32_MAX;
}
