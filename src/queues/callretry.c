#include "queues/callretry.h"

#include <string.h>

/* An owner that has not answered for this long is taken as stalled. It answers
 * within 0.5 s even beside a slow store. */
#define SILENCE_MS 700
/* Interval of the calls that are still sent to a stalled owner, to learn that
 * it is back. */
#define PROBE_INTERVAL_MS 250
/* One call in so many may be repeated after an unknown outcome. */
#define REPEAT_PARTS 10
#define REPEATS_SAVED_MAX 10
#define REPEATS_AT_START 3
/* Delays before the second and the third attempt, and the later ones. */
#define DELAY_MIN_MS 60
#define DELAY_MAX_MS 240

/* What is known about the owner of a shard. */
typedef struct {
	char *address; /* NULL: no call was sent */
	bool waiting; /* nothing was answered since since_ms */
	int64_t since_ms; /* mono, first call without an answer */
	int64_t sent_ms; /* mono, last call */
} owner_t;

struct bp_call_retry {
	const bp_clock_t *clock;
	owner_t *owners; /* by shard */
	uint32_t shards;
	uint32_t saved; /* calls that count towards repeats */
};

/* The clock has to outlive the decisions. */
bp_call_retry_t *
bp_call_retry_new(const bp_clock_t *clock, uint32_t shards)
{
	bp_call_retry_t *retry = g_new0(bp_call_retry_t, 1);

	retry->clock = clock;
	retry->owners = g_new0(owner_t, shards);
	retry->shards = shards;
	retry->saved = REPEATS_AT_START * REPEAT_PARTS;
	return retry;
}

/* See the header. */
void
bp_call_retry_free(bp_call_retry_t *retry)
{
	uint32_t i;

	if (retry == NULL)
		return;
	for (i = 0; i < retry->shards; i++)
		g_free(retry->owners[i].address);
	g_free(retry->owners);
	g_free(retry);
}

static bool
is_stalled(const owner_t *owner, int64_t now_ms)
{
	return owner->waiting && now_ms - owner->since_ms >= SILENCE_MS;
}

/* A new owner starts without the silence of its predecessor. */
static void
set_address(owner_t *owner, const char *address)
{
	if (owner->address != NULL && strcmp(owner->address, address) == 0)
		return;
	g_free(owner->address);
	owner->address = g_strdup(address);
	owner->waiting = false;
}

static bool
may_send(
    bp_call_retry_t *retry, const owner_t *owner, bp_call_retry_kind_t kind)
{
	int64_t now_ms = bp_clock_mono_ms(retry->clock);
	bool stalled = is_stalled(owner, now_ms);
	bool probe = now_ms - owner->sent_ms >= PROBE_INTERVAL_MS;

	switch (kind) {
	case BP_CALL_RETRY_NEW:
		retry->saved =
		    MIN(retry->saved + 1, REPEATS_SAVED_MAX * REPEAT_PARTS);
		return !stalled || probe;
	case BP_CALL_RETRY_WAITED:
		return !stalled;
	case BP_CALL_RETRY_REPEATED:
		if ((stalled && !probe) || retry->saved < REPEAT_PARTS)
			return false;
		retry->saved -= REPEAT_PARTS;
		return true;
	}
	return false;
}

/* See the header. */
bool
bp_call_retry_send(bp_call_retry_t *retry, uint32_t shard, const char *address,
    bp_call_retry_kind_t kind)
{
	owner_t *owner = &retry->owners[shard];

	set_address(owner, address);
	if (!may_send(retry, owner, kind))
		return false;
	owner->sent_ms = bp_clock_mono_ms(retry->clock);
	if (!owner->waiting)
		owner->since_ms = owner->sent_ms;
	owner->waiting = true;
	return true;
}

/* See the header. */
void
bp_call_retry_answered(
    bp_call_retry_t *retry, uint32_t shard, const char *address)
{
	owner_t *owner = &retry->owners[shard];

	if (owner->address != NULL && strcmp(owner->address, address) == 0)
		owner->waiting = false;
}

/* See the header. */
uint32_t
bp_call_retry_delay_ms(uint32_t attempt)
{
	uint32_t delay_ms = DELAY_MIN_MS;

	for (; attempt > 1 && delay_ms < DELAY_MAX_MS; attempt--)
		delay_ms *= 2;
	return MIN(delay_ms, DELAY_MAX_MS);
}
