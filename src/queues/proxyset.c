#include "queues/proxyset.h"

#include "bulrushpost/hash.h"

#include <math.h>
#include <string.h>

/* A node without a heartbeat for this time gets no orders. */
#define HEARTBEAT_TIMEOUT_MS 2500
/* Time for which a node gets no orders after it failed to answer one. */
#define BACKOFF_MS 1500
/* Failures in a row, each of a later call, that are put down to a busy loop:
 * the node may be down, too. */
#define EXCUSED_MAX 3
/* Part of its processors that an owner uses to send orders itself. */
#define OWNER_PROXY_SHARE 0.25
/* Number of upper bits of a hash that make a fraction. */
#define UNIT_BITS 53
#define UNIT_SHIFT (64 - UNIT_BITS)
#define SEED_PROXY 0x636f7572

/* Another node that can send orders. */
typedef struct {
	char *address;
	char *zone;
	uint64_t hash;
	uint32_t processor_milli;
	int64_t last_heartbeat_ms; /* mono */
	int64_t backoff_until_ms; /* mono */
	/* It refused an order or its connections since its last heartbeat. */
	bool refuses;
	/* Number of the last order when a connection failed first; 0: none
	 * failed since the last answer. */
	uint64_t failed_at_call;
	/* Number of the last order when a failure was last put down to this
	 * process. */
	uint64_t excused_at_call;
	uint32_t excused; /* such failures since its last answer */
	bp_proxy_starts_t starts;
} proxy_t;

struct bp_proxy_set {
	bp_proxy_set_options_t options;
	GHashTable *proxies; /* address to proxy_t */
};

static void
proxy_free(gpointer data)
{
	proxy_t *proxy = data;

	g_free(proxy->address);
	g_free(proxy->zone);
	g_free(proxy);
}

/* See the header. */
void
bp_proxy_set_heartbeat(bp_proxy_set_t *set, const char *address,
    const char *zone, uint32_t processor_milli)
{
	proxy_t *proxy = g_hash_table_lookup(set->proxies, address);

	if (proxy == NULL) {
		proxy = g_new0(proxy_t, 1);
		proxy->address = g_strdup(address);
		proxy->zone = g_strdup(zone);
		proxy->hash = bp_hash_text(address, SEED_PROXY);
		g_hash_table_insert(set->proxies, proxy->address, proxy);
	}
	proxy->processor_milli = processor_milli;
	proxy->last_heartbeat_ms = bp_clock_mono_ms(set->options.clock);
	proxy->refuses = false;
}

/* Weighted rendezvous hashing: the highest score wins, and nodes win in
 * proportion to their weight. */
static double
rendezvous_score(uint64_t hash, double weight)
{
	double unit = ((double)(bp_hash_mix(hash) >> UNIT_SHIFT) + 0.5) /
	    (double)(1ULL << UNIT_BITS);

	return -MAX(weight, 1) / log(unit);
}

/* Returns whether a node lives as far as its heartbeats tell. */
static bool
is_alive(const proxy_t *proxy, int64_t now_ms)
{
	return now_ms - proxy->last_heartbeat_ms <= HEARTBEAT_TIMEOUT_MS;
}

/* Returns whether a node gets orders. */
static bool
is_usable(const proxy_t *proxy, int64_t now_ms)
{
	return is_alive(proxy, now_ms) && proxy->backoff_until_ms <= now_ms;
}

/* Returns whether a node gets orders if none is usable. */
static bool
is_last_resort(const proxy_t *proxy, int64_t now_ms)
{
	return is_alive(proxy, now_ms) && !proxy->refuses;
}

static bool
any_usable(const bp_proxy_set_t *set)
{
	int64_t now_ms = bp_clock_mono_ms(set->options.clock);
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, set->proxies);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		if (is_usable(value, now_ms))
			return true;
	}
	return false;
}

/* See the header. */
uint32_t
bp_proxy_set_usable(const bp_proxy_set_t *set)
{
	int64_t now_ms = bp_clock_mono_ms(set->options.clock);
	uint32_t usable = 0;
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, set->proxies);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		usable += is_usable(value, now_ms);
	return usable;
}

/*
 * Returns the address of an executor's proxy, NULL for this node: the highest
 * rendezvous score, weighted by processors, among the usable nodes of the
 * executor's zone, or among all usable nodes if that zone has none. If no node
 * is usable, one that is backed off is better than this node alone: calls also
 * time out because this node is too busy to read their answers, and sending
 * all orders itself would keep it so.
 */
const char *
bp_proxy_set_choose(const bp_proxy_set_t *set, const bp_exec_target_t *target)
{
	bool (*may_send)(const proxy_t *, int64_t) =
	    any_usable(set) ? is_usable : is_last_resort;
	int64_t now_ms = bp_clock_mono_ms(set->options.clock);
	uint64_t executor_hash = bp_hash_text(target->id, SEED_PROXY);
	bool best_in_zone = strcmp(set->options.zone, target->zone) == 0;
	uint64_t own_hash = bp_hash_text(set->options.address, SEED_PROXY);
	double best_score = rendezvous_score(executor_hash ^ own_hash,
	    set->options.processor_milli * OWNER_PROXY_SHARE);
	const char *best_address = NULL;
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, set->proxies);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const proxy_t *proxy = value;
		bool in_zone = strcmp(proxy->zone, target->zone) == 0;
		double score = rendezvous_score(
		    executor_hash ^ proxy->hash, proxy->processor_milli);

		if (!may_send(proxy, now_ms))
			continue;
		if (in_zone == best_in_zone ? score > best_score : in_zone) {
			best_address = proxy->address;
			best_score = score;
			best_in_zone = in_zone;
		}
	}
	return best_address;
}

/*
 * Returns whether the failure of a call may be due to this process. A time-out
 * that was missed here also closes the connection, and the calls that had been
 * sent on it fail although they themselves were not delayed. All calls that
 * were in flight at an excused failure share its excuse.
 */
static bool
is_excused(const bp_proxy_failure_t *failure, proxy_t *proxy)
{
	if (failure->call_number <= proxy->excused_at_call)
		return failure->busy || !failure->timed_out;
	if (!failure->busy || proxy->excused >= EXCUSED_MAX)
		return false;
	proxy->excused++;
	proxy->excused_at_call = failure->calls_sent;
	return true;
}

static void
back_off(const bp_proxy_set_t *set, proxy_t *proxy)
{
	proxy->backoff_until_ms =
	    bp_clock_mono_ms(set->options.clock) + BACKOFF_MS;
}

/* The node backs off, and is no last resort before its next heartbeat. */
static void
refuse(const bp_proxy_set_t *set, proxy_t *proxy)
{
	back_off(set, proxy);
	proxy->refuses = true;
}

/* A broken connection fails all calls on it, which does not prove that the node
 * failed: it backs off only if a call that was sent later fails as well. */
static void
note_connection_failure(const bp_proxy_set_t *set,
    const bp_proxy_failure_t *failure, proxy_t *proxy)
{
	if (proxy->failed_at_call == 0)
		proxy->failed_at_call = failure->calls_sent;
	else if (failure->call_number > proxy->failed_at_call)
		refuse(set, proxy);
}

/* See the header. */
void
bp_proxy_set_answered(bp_proxy_set_t *set, const char *address)
{
	proxy_t *proxy = g_hash_table_lookup(set->proxies, address);

	if (proxy == NULL)
		return;
	proxy->failed_at_call = 0;
	proxy->excused = 0;
}

/* See the header. */
void
bp_proxy_set_refused(bp_proxy_set_t *set, const char *address)
{
	proxy_t *proxy = g_hash_table_lookup(set->proxies, address);

	if (proxy != NULL)
		refuse(set, proxy);
}

/* A node that does not answer in time gets no orders for a while, unless this
 * process was too busy to read the answer. */
void
bp_proxy_set_failed(
    bp_proxy_set_t *set, const char *address, const bp_proxy_failure_t *failure)
{
	proxy_t *proxy = g_hash_table_lookup(set->proxies, address);

	if (proxy == NULL || is_excused(failure, proxy))
		return;
	if (failure->timed_out)
		back_off(set, proxy);
	else
		note_connection_failure(set, failure, proxy);
}

/* See the header. */
void
bp_proxy_set_record_start(bp_proxy_set_t *set, const char *address,
    uint64_t total_ms, uint64_t proxy_ms)
{
	proxy_t *proxy = g_hash_table_lookup(set->proxies, address);

	if (proxy == NULL)
		return;
	proxy->starts.starts++;
	proxy->starts.total_ms += total_ms;
	proxy->starts.proxy_ms += proxy_ms;
}

/* See the header. */
uint32_t
bp_proxy_starts_mean_ms(uint64_t sum_ms, uint32_t starts)
{
	return starts > 0 ? (uint32_t)(sum_ms / starts) : 0;
}

/* See the header. */
const char *
bp_proxy_set_take_starts(
    bp_proxy_set_t *set, bp_proxy_starts_t *sum, bp_proxy_starts_t *slowest)
{
	const char *address = NULL;
	GHashTableIter iter;
	gpointer value;

	memset(sum, 0, sizeof(*sum));
	memset(slowest, 0, sizeof(*slowest));
	g_hash_table_iter_init(&iter, set->proxies);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		proxy_t *proxy = value;
		const bp_proxy_starts_t *starts = &proxy->starts;

		sum->starts += starts->starts;
		sum->total_ms += starts->total_ms;
		sum->proxy_ms += starts->proxy_ms;
		if (address == NULL ||
		    bp_proxy_starts_mean_ms(starts->total_ms, starts->starts) >
			bp_proxy_starts_mean_ms(
			    slowest->total_ms, slowest->starts)) {
			*slowest = *starts;
			address = proxy->address;
		}
		memset(&proxy->starts, 0, sizeof(proxy->starts));
	}
	return address;
}

/* Creates a set without nodes. */
bp_proxy_set_t *
bp_proxy_set_new(const bp_proxy_set_options_t *options)
{
	bp_proxy_set_t *set = g_new0(bp_proxy_set_t, 1);

	set->options = *options;
	set->proxies =
	    g_hash_table_new_full(g_str_hash, g_str_equal, NULL, proxy_free);
	return set;
}

/* See the header. */
void
bp_proxy_set_free(bp_proxy_set_t *set)
{
	if (set == NULL)
		return;
	g_hash_table_unref(set->proxies);
	g_free(set);
}
