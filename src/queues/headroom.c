#include "queues/headroom.h"

#include <math.h>

/* Time in which the remembered peak of urgent work halves. */
#define PEAK_HALF_LIFE_MS 20000.0
/* Processors that packing leaves in pieces that are too small, in percent. */
#define FRAGMENTS_PERCENT 6
/* Most that is kept for urgent work, in percent: what waits after an outage
 * says little about what comes. */
#define KEPT_PERCENT_MAX 25
#define PERCENT 100

/* Greatest request of short urgent work, as of a time. */
typedef struct {
	double milli;
	int64_t at_ms; /* monotonic */
} peak_t;

struct bp_headroom {
	GHashTable *peaks; /* service to peak_t */
};

/* Creates a record without urgent work. */
bp_headroom_t *
bp_headroom_new(void)
{
	bp_headroom_t *headroom = g_new0(bp_headroom_t, 1);

	headroom->peaks =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	return headroom;
}

/* See the header. */
void
bp_headroom_free(bp_headroom_t *headroom)
{
	if (headroom == NULL)
		return;
	g_hash_table_unref(headroom->peaks);
	g_free(headroom);
}

/* Returns the remembered peak of a service at a time. */
static double
peak_at(const bp_headroom_t *headroom, const char *service, int64_t now_ms)
{
	const peak_t *peak = g_hash_table_lookup(headroom->peaks, service);

	if (peak == NULL)
		return 0;
	return peak->milli *
	    exp2(-(double)MAX(now_ms - peak->at_ms, 0) / PEAK_HALF_LIFE_MS);
}

/* See the header. */
void
bp_headroom_observe(bp_headroom_t *headroom, const char *service,
    uint64_t urgent_milli, int64_t now_ms)
{
	peak_t *peak;

	if ((double)urgent_milli < peak_at(headroom, service, now_ms))
		return;
	peak = g_new(peak_t, 1);
	peak->milli = (double)urgent_milli;
	peak->at_ms = now_ms;
	g_hash_table_replace(headroom->peaks, g_strdup(service), peak);
}

/* See the header. */
bool
bp_headroom_admits(bp_headroom_t *headroom, const char *service,
    const bp_headroom_load_t *load, uint64_t request_milli, int64_t now_ms)
{
	double kept;

	bp_headroom_observe(headroom, service, load->urgent_milli, now_ms);
	kept = peak_at(headroom, service, now_ms);
	if (load->lasting_milli == 0 || kept < 1)
		return true;
	kept = MIN(kept, (double)load->cpu_milli * KEPT_PERCENT_MAX / PERCENT);
	kept += (double)load->cpu_milli * FRAGMENTS_PERCENT / PERCENT;
	return (double)(load->lasting_milli + request_milli) + kept <=
	    (double)load->cpu_milli;
}
