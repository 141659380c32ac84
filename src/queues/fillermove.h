#ifndef BP_QUEUES_FILLERMOVE_H
#define BP_QUEUES_FILLERMOVE_H

#include <stdbool.h>
#include <stdint.h>

/* What is known of a slowed filler and of the places that it may move to. */
typedef struct {
	int64_t expected_ms; /* duration of the whole task at full speed */
	uint32_t percent; /* of its work done */
	bool checkpoints; /* a stop saves its work */
	double speed; /* here, 0 to 1 of its full speed; 0: paused */
	int64_t slowed_ms; /* for how long it has had this speed */
	uint32_t samples; /* of tail latency that reflect this speed */
	double free_speed; /* at the best free place elsewhere; 0: none */
	bool goes_first; /* it would get the next place before new jobs */
	uint32_t busy_places; /* of other fillers, elsewhere, at useful speed */
} bp_filler_outlook_t;

typedef enum {
	BP_FILLER_STAYS,
	BP_FILLER_TO_FREE_PLACE,
	BP_FILLER_TO_NEXT_PLACE /* that another filler leaves */
} bp_filler_move_t;

/*
 * Decides whether a slowed filler is likely to end earlier on another executor.
 * It is assumed to stay slowed for as long as it has been so far, and to be at
 * full speed afterwards.
 */
bp_filler_move_t bp_filler_move_decide(const bp_filler_outlook_t *outlook);

#endif
