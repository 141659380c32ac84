#ifndef BULRUSHPOST_RESOURCES_H
#define BULRUSHPOST_RESOURCES_H

#include "bulrushpost/rules.h"

bool bp_resources_is_zero(const bp_resources_t *amount);
bool bp_resources_fit(const bp_resources_t *size, const bp_resources_t *room);
bp_resources_t bp_resources_sum(
    const bp_resources_t *a, const bp_resources_t *b);
bp_resources_t bp_resources_excess(
    const bp_resources_t *a, const bp_resources_t *b);
bp_resources_t bp_resources_multiply(const bp_resources_t *a, uint32_t factor);
double bp_resources_dominant_share(
    const bp_resources_t *part, const bp_resources_t *whole);

#endif
