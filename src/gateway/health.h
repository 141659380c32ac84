#ifndef BP_GATEWAY_HEALTH_H
#define BP_GATEWAY_HEALTH_H

#include "bulrushpost/endpoint.h"

/* may_eject is whether the pool allows an ejection. True on ejection. */
bool bp_health_add(
    bp_health_t *health, bp_result_t result, bool may_eject, int64_t now_us);
bool bp_health_may_send(
    bp_health_t *health, uint32_t in_flight, int64_t now_us, bool idempotent);

#endif
