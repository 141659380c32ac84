#include "bulrushpost/resources.h"

static uint32_t
add(uint32_t a, uint32_t b)
{
	return a > UINT32_MAX - b ? UINT32_MAX : a + b;
}

static uint32_t
excess(uint32_t a, uint32_t b)
{
	return a > b ? a - b : 0;
}

static uint32_t
times(uint32_t a, uint32_t factor)
{
	uint64_t product = (uint64_t)a * factor;

	return product > UINT32_MAX ? UINT32_MAX : (uint32_t)product;
}

/* Returns whether all amounts are zero. */
bool
bp_resources_is_zero(const bp_resources_t *amount)
{
	return amount->cpu_milli == 0 && amount->memory_mib == 0 &&
	    amount->accelerators == 0;
}

/* Returns whether size is at most room in every resource. */
bool
bp_resources_fit(const bp_resources_t *size, const bp_resources_t *room)
{
	return size->cpu_milli <= room->cpu_milli &&
	    size->memory_mib <= room->memory_mib &&
	    size->accelerators <= room->accelerators;
}

/* Returns a + b, saturated at the largest value. */
bp_resources_t
bp_resources_sum(const bp_resources_t *a, const bp_resources_t *b)
{
	bp_resources_t sum = {add(a->cpu_milli, b->cpu_milli),
	    add(a->memory_mib, b->memory_mib),
	    add(a->accelerators, b->accelerators)};

	return sum;
}

/* Returns a - b for each resource, or 0 where b is larger. */
bp_resources_t
bp_resources_excess(const bp_resources_t *a, const bp_resources_t *b)
{
	bp_resources_t rest = {excess(a->cpu_milli, b->cpu_milli),
	    excess(a->memory_mib, b->memory_mib),
	    excess(a->accelerators, b->accelerators)};

	return rest;
}

/* Returns a * factor, saturated at the largest value. */
bp_resources_t
bp_resources_multiply(const bp_resources_t *a, uint32_t factor)
{
	bp_resources_t product = {times(a->cpu_milli, factor),
	    times(a->memory_mib, factor), times(a->accelerators, factor)};

	return product;
}

static double
share(uint32_t part, uint32_t whole)
{
	return whole == 0 ? 0 : (double)part / whole;
}

/*
 * Returns the dominant share: the largest quotient of part and whole over the
 * resources. A resource that is 0 in whole counts as 0.
 */
double
bp_resources_dominant_share(
    const bp_resources_t *part, const bp_resources_t *whole)
{
	double cpu = share(part->cpu_milli, whole->cpu_milli);
	double memory = share(part->memory_mib, whole->memory_mib);
	double accelerators = share(part->accelerators, whole->accelerators);
	double largest = cpu > memory ? cpu : memory;

	return largest > accelerators ? largest : accelerators;
}
