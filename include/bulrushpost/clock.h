#ifndef BULRUSHPOST_CLOCK_H
#define BULRUSHPOST_CLOCK_H

#include <stdint.h>
#include <time.h>

/*
 * A source of time. mono has no defined origin and counts suspended time;
 * only differences are meaningful. wall is for display and record headers.
 */
typedef struct bp_clock {
	int (*mono)(const struct bp_clock *clock, struct timespec *out);
	int (*wall)(const struct bp_clock *clock, struct timespec *out);
} bp_clock_t;

typedef struct bp_clock_virtual bp_clock_virtual_t;

const bp_clock_t *bp_clock_system(void);
int64_t bp_clock_mono_ms(const bp_clock_t *clock);
int64_t bp_clock_mono_us(const bp_clock_t *clock);
int64_t bp_clock_wall_ms(const bp_clock_t *clock);

bp_clock_virtual_t *bp_clock_virtual_new(int64_t start_ms);
void bp_clock_virtual_free(bp_clock_virtual_t *clock);
const bp_clock_t *bp_clock_virtual_clock(const bp_clock_virtual_t *clock);
void bp_clock_virtual_advance_us(bp_clock_virtual_t *clock, int64_t delta_us);
void bp_clock_virtual_step_wall_ms(bp_clock_virtual_t *clock, int64_t delta_ms);

#endif
