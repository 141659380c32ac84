#ifndef BP_TESTS_QUEUEQUIET_H
#define BP_TESTS_QUEUEQUIET_H

#include "support/queuerig.h"

/*
 * Checks that an owner without callers and faults has nothing left over: each
 * executor with runs is polled and holds a valid lease, all run ends are stored
 * and acknowledged, no caller waits, the store holds what the owner believes,
 * and the executors run what the owner believes. Call it once all waits of
 * docs/invariants.md are over. Returns what is left, to be freed; NULL for
 * nothing.
 */
char *bp_queuequiet_leftover(bp_qrig_t *rig);

#endif
