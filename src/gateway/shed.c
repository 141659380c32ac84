#include "bulrushpost/shed.h"

#include <glib.h>

#define US_PER_MS 1000.0
/* Assumed mean latency of a request before the first response. */
#define DEFAULT_LATENCY_US 50000.0

static const struct {
	const char *name;
	uint32_t share_percent; /* of the limit that this class may use */
	int64_t max_wait_ms;
} ranks[BP_SHED_RANKS] = {
    {"urgent", 100, 2000},
    {"service", 95, 1000},
    {"batch", 80, 500},
};

/* Returns the rank of a class; the lowest rank is served first. */
uint32_t
bp_shed_rank(bp_task_class_t klass)
{
	switch (klass) {
	case BP_CLASS_URGENT:
		return 0;
	case BP_CLASS_SERVICE:
		return 1;
	case BP_CLASS_BATCH:
		return 2;
	}
	return 1;
}

/* Returns the name of the class of a rank. */
const char *
bp_shed_rank_name(uint32_t rank)
{
	return ranks[rank].name;
}

/* Returns the longest time in ms that a request of a rank is queued. */
int64_t
bp_shed_max_wait_ms(uint32_t rank)
{
	return ranks[rank].max_wait_ms;
}

/*
 * Returns whether a request of the rank may be sent at once. Lower classes
 * leave a part of the limit free as capacity for urgent requests.
 */
bool
bp_shed_may_send(const bp_shed_load_t *load, uint32_t rank)
{
	uint32_t share = load->limit * ranks[rank].share_percent / 100;

	return load->in_flight < MAX(share, 1);
}

static uint32_t
count_queued_ahead(const bp_shed_load_t *load, uint32_t rank)
{
	uint32_t count = 0;
	uint32_t i;

	for (i = 0; i <= rank; i++)
		count += load->queued[i];
	return count;
}

static uint32_t
count_queued(const bp_shed_load_t *load)
{
	return count_queued_ahead(load, BP_SHED_RANKS - 1);
}

static int64_t
expected_wait_ms(const bp_shed_load_t *load, uint32_t rank)
{
	double latency_us =
	    load->latency_us > 0 ? load->latency_us : DEFAULT_LATENCY_US;

	return (int64_t)((count_queued_ahead(load, rank) + 1) * latency_us /
	    MAX(load->limit, 1) / US_PER_MS);
}

/*
 * Decides whether a new request is sent, queued behind the requests of its own
 * and higher classes, or refused because it would wait too long. A lower class
 * waits for all higher ones and is therefore refused first.
 */
bp_shed_verdict_t
bp_shed_decide(
    const bp_shed_load_t *load, uint32_t rank, int64_t left_ms, char *reason)
{
	int64_t max_wait_ms = MIN(ranks[rank].max_wait_ms, left_ms);
	int64_t wait_ms;

	if (count_queued_ahead(load, rank) == 0 && bp_shed_may_send(load, rank))
		return BP_SHED_SEND;
	wait_ms = expected_wait_ms(load, rank);
	if (wait_ms > max_wait_ms) {
		g_snprintf(reason, BP_SHED_REASON_BYTES,
		    "%u of %u places are in use and %u requests are queued "
		    "ahead of this %s request; the expected wait of "
		    "%" G_GINT64_FORMAT " ms exceeds %" G_GINT64_FORMAT " ms",
		    load->in_flight, load->limit,
		    count_queued_ahead(load, rank), ranks[rank].name, wait_ms,
		    max_wait_ms);
		return BP_SHED_REFUSE;
	}
	/* Otherwise the caller displaces a request of a lower class. */
	if (count_queued(load) >= BP_SHED_MAX_QUEUED &&
	    count_queued_ahead(load, rank) == count_queued(load)) {
		g_snprintf(reason, BP_SHED_REASON_BYTES,
		    "%u requests are queued, the limit of this gateway, none "
		    "of a class below %s",
		    count_queued(load), ranks[rank].name);
		return BP_SHED_REFUSE;
	}
	return BP_SHED_QUEUE;
}
