#include "queues/fillermove.h"

/* Time from a stop to the work of the next run: the orders to stop and to
 * start, the record of the start and restore_ms of the executors. */
#define RESTART_MS 550
/* Samples that must show that the filler is still to be slowed: the first one
 * after a takeover reflects a load that nobody has reacted to. */
#define SAMPLES_MIN 1
#define PERCENT 100

static double
remaining_ms(const bp_filler_outlook_t *outlook)
{
	uint32_t percent =
	    outlook->percent < PERCENT ? outlook->percent : PERCENT;

	return (double)outlook->expected_ms * (PERCENT - percent) / PERCENT;
}

static double
time_here_ms(const bp_filler_outlook_t *outlook)
{
	double slow_ms = (double)outlook->slowed_ms;
	double left_ms = remaining_ms(outlook) - slow_ms * outlook->speed;

	return left_ms > 0 ? slow_ms + left_ms
			   : remaining_ms(outlook) / outlook->speed;
}

/* Returns the time until a filler with this speed and wait for a place ends. */
static double
time_elsewhere_ms(
    const bp_filler_outlook_t *outlook, double queue_ms, double speed)
{
	double work_ms = outlook->checkpoints ? remaining_ms(outlook)
					      : (double)outlook->expected_ms;

	return RESTART_MS + queue_ms + work_ms / speed;
}

/* See the header. */
bp_filler_move_t
bp_filler_move_decide(const bp_filler_outlook_t *outlook)
{
	double here_ms;
	double queue_ms;

	if (outlook->samples < SAMPLES_MIN || outlook->speed >= 1)
		return BP_FILLER_STAYS;
	here_ms = time_here_ms(outlook);
	if (outlook->free_speed > 0 &&
	    time_elsewhere_ms(outlook, 0, outlook->free_speed) < here_ms)
		return BP_FILLER_TO_FREE_PLACE;
	if (!outlook->goes_first || outlook->busy_places == 0)
		return BP_FILLER_STAYS;
	queue_ms = (double)outlook->expected_ms / outlook->busy_places;
	return time_elsewhere_ms(outlook, queue_ms, 1) < here_ms
	    ? BP_FILLER_TO_NEXT_PLACE
	    : BP_FILLER_STAYS;
}
