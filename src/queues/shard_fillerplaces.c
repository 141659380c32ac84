#include "queues/shard_private.h"

#include <string.h>

/*
 * Executors that may take fillers within one round. Fillers are most of all
 * waiting tasks, and most of them find no place while a site is full. Each
 * executor is therefore reduced to what it could take at most: processors,
 * memory and, for each kind of filler, the processors at which serving tasks
 * would be slowed down. Only executors within these limits are checked in full,
 * so that the cost of a round follows the executors and the starts, not the
 * steps that wait. Capacity only shrinks during a round: limits that are out of
 * date are too high, and the full check corrects them.
 */

/* Executors that are scored for one filler. Fillers are most of all starts;
 * scoring every executor for each of them would cost too much. */
#define CHOICES 48
/* Below all limits, which are negative where more is in use than exists. */
#define OTHER_SERVICE INT64_MIN

/* An executor. */
typedef struct {
	bp_qexec_t *exec;
	guint service; /* index in the services */
	int64_t room_milli; /* largest request that finds unused processors */
	int64_t memory_mib; /* not in use */
	bool closed; /* its start limit is reached */
} place_t;

/* Fillers that find the same limits on every executor. */
typedef struct {
	guint service; /* index in the services */
	uint32_t filler_index; /* of the image */
	bp_qspeed_t speed; /* that it must have */
	bool shares; /* processors that other fillers use are accepted */
	/* Largest request, by place; OTHER_SERVICE where there is none. */
	int64_t *limits_milli;
	int64_t limit_max_milli; /* at least the largest limit */
	int64_t room_max_milli; /* the same without regard to interference */
} kind_t;

struct bp_qplaces {
	bp_shard_t *shard;
	GArray *places; /* place_t */
	GArray *kinds; /* kind_t */
	GPtrArray *services; /* their names */
	guint open; /* places that are not closed */
	guint cursor; /* place at which the next search begins */
	bool yields; /* fillers may use only a part of each start limit */
};

/* A search for the executor of one task. */
typedef struct {
	const bp_qtask_t *task;
	const char *service;
	const char *rack; /* preferred; "" for none */
	bp_qexec_t *best;
	double best_score;
	guint fit; /* executors that could take the task */
	bool at_start_limit; /* one could but for its start limit */
	bool interferes; /* one could but for its serving tasks */
	const char *refusal; /* by the last full check; NULL: none */
	int64_t limit_max_milli; /* of the kind, by the places seen */
} search_t;

static void
clear_kind(gpointer data)
{
	g_free(((kind_t *)data)->limits_milli);
}

/* Creates an empty set for one round; searches begin at the cursor. */
bp_qplaces_t *
bp_qplaces_new(bp_shard_t *shard, guint cursor)
{
	bp_qplaces_t *places = g_new0(bp_qplaces_t, 1);

	places->shard = shard;
	places->cursor = cursor;
	places->places = g_array_new(FALSE, FALSE, sizeof(place_t));
	places->kinds = g_array_new(FALSE, FALSE, sizeof(kind_t));
	g_array_set_clear_func(places->kinds, clear_kind);
	places->services = g_ptr_array_new();
	return places;
}

/* Frees a set. */
void
bp_qplaces_free(bp_qplaces_t *places)
{
	g_array_unref(places->places);
	g_array_unref(places->kinds);
	g_ptr_array_unref(places->services);
	g_free(places);
}

/* Sets whether fillers leave a part of each start limit to other work. */
void
bp_qplaces_set_yields(bp_qplaces_t *places, bool yields)
{
	places->yields = yields;
}

/* Returns the index at which the next search begins. */
guint
bp_qplaces_cursor(const bp_qplaces_t *places)
{
	return places->cursor;
}

/* Returns whether no executor is left whose start limit is not reached. */
bool
bp_qplaces_all_closed(const bp_qplaces_t *places)
{
	return places->open == 0 && places->places->len > 0;
}

static void
measure_place(place_t *place)
{
	const bp_qexec_t *exec = place->exec;

	place->room_milli = bp_qexec_filler_room_milli(exec, false);
	place->memory_mib =
	    (int64_t)exec->info->memory_mib - (int64_t)exec->memory_used;
}

static guint
service_index(bp_qplaces_t *places, const char *service)
{
	guint i;

	for (i = 0; i < places->services->len; i++) {
		if (strcmp(places->services->pdata[i], service) == 0)
			return i;
	}
	g_ptr_array_add(places->services, (gpointer)service);
	return i;
}

/* Adds an executor that may get work. All are added before the first search. */
void
bp_qplaces_add(bp_qplaces_t *places, bp_qexec_t *exec)
{
	place_t place = {.exec = exec,
	    .service = service_index(places, exec->info->service)};

	measure_place(&place);
	g_array_append_val(places->places, place);
	places->open++;
}

/* Returns the largest request of a kind that an executor could take. */
static int64_t
limit_milli(const kind_t *kind, const place_t *place)
{
	bp_qexec_t *exec = place->exec;

	if (place->service != kind->service)
		return OTHER_SERVICE;
	if (kind->shares)
		return bp_qexec_filler_room_milli(exec, true);
	return MIN(place->room_milli,
	    bp_qexec_filler_limit_milli(exec, kind->filler_index, kind->speed));
}

static void
measure_kind(const bp_qplaces_t *places, kind_t *kind)
{
	guint i;

	kind->limits_milli = g_new(int64_t, places->places->len);
	kind->limit_max_milli = OTHER_SERVICE;
	for (i = 0; i < places->places->len; i++) {
		const place_t *place =
		    &g_array_index(places->places, place_t, i);

		kind->limits_milli[i] = limit_milli(kind, place);
		if (kind->limits_milli[i] == OTHER_SERVICE)
			continue;
		kind->limit_max_milli =
		    MAX(kind->limit_max_milli, kind->limits_milli[i]);
		kind->room_max_milli =
		    MAX(kind->room_max_milli, place->room_milli);
	}
	places->shard->counts_compared += places->places->len;
}

/* Returns the kind of a step's tasks. */
static kind_t *
get_kind(bp_qplaces_t *places, bp_qstep_t *step, const char *service)
{
	kind_t kind = {.service = service_index(places, service),
	    .filler_index = bp_qstep_filler_index(places->shard, step),
	    .speed = bp_qstep_speed_wanted(places->shard, step),
	    .shares = bp_qstep_shares_processors(step)};
	guint i;

	for (i = 0; i < places->kinds->len; i++) {
		kind_t *known = &g_array_index(places->kinds, kind_t, i);

		if (known->filler_index == kind.filler_index &&
		    known->service == kind.service &&
		    known->speed == kind.speed && known->shares == kind.shares)
			return known;
	}
	measure_kind(places, &kind);
	g_array_append_val(places->kinds, kind);
	return &g_array_index(places->kinds, kind_t, places->kinds->len - 1);
}

/* Checks a place within the limits in full. */
static void
check_place(
    bp_qplaces_t *places, const kind_t *kind, guint index, search_t *search)
{
	place_t *place = &g_array_index(places->places, place_t, index);
	bp_qexec_t *exec = place->exec;
	const char *refusal;
	double score;

	if (!place->closed &&
	    bp_qstart_limiter_full(exec->start_limiter, places->yields)) {
		place->closed = true;
		places->open--;
	}
	if (place->closed) {
		search->at_start_limit = true;
		return;
	}
	places->shard->counts_examined++;
	refusal =
	    bp_qexec_reject_reason(exec, search->task->step, search->service);
	if (refusal != NULL) {
		search->refusal = refusal;
		measure_place(place);
		kind->limits_milli[index] = limit_milli(kind, place);
		return;
	}
	search->fit++;
	score = bp_qexec_score(exec, search->task, search->rack);
	if (search->best == NULL || score < search->best_score) {
		search->best = exec;
		search->best_score = score;
	}
}

/* Looks at one place. */
static void
visit(bp_qplaces_t *places, const kind_t *kind, guint index, search_t *search)
{
	const Bp__Work__Step *spec = search->task->step->spec;
	const place_t *place = &g_array_index(places->places, place_t, index);

	if (kind->limits_milli[index] == OTHER_SERVICE)
		return;
	if (place->memory_mib >= spec->memory_mib) {
		if (kind->limits_milli[index] >= spec->cpu_milli)
			check_place(places, kind, index, search);
		else if (place->room_milli >= spec->cpu_milli)
			search->interferes = true;
	}
	search->limit_max_milli =
	    MAX(search->limit_max_milli, kind->limits_milli[index]);
}

/* Returns why no place was found: that of all places when none was visited,
 * as the request is above all limits. */
static const char *
wait_reason(const kind_t *kind, const search_t *search, int64_t cpu_milli)
{
	if (kind->limit_max_milli == OTHER_SERVICE)
		return "service";
	if (search->at_start_limit)
		return "turn";
	if (search->refusal != NULL)
		return search->refusal;
	return search->interferes ||
		(kind->limit_max_milli < cpu_milli &&
		    kind->room_max_milli >= cpu_milli)
	    ? "disturbs"
	    : "no_capacity";
}

/*
 * Returns the best of some executors that can take a filler; NULL, with a
 * static reason, when none can take it now. service is that of the step's
 * queue.
 */
bp_qexec_t *
bp_qplaces_choose(bp_qplaces_t *places, const bp_qtask_t *task,
    const char *service, const char *rack, const char **reason)
{
	search_t search = {.task = task,
	    .service = service,
	    .rack = rack,
	    .limit_max_milli = OTHER_SERVICE};
	int64_t cpu_milli = task->step->spec->cpu_milli;
	guint n = places->places->len;
	guint seen = 0;
	kind_t *kind;

	*reason = "no_executor";
	if (n == 0)
		return NULL;
	kind = get_kind(places, task->step, service);
	while (kind->limit_max_milli >= cpu_milli && seen < n &&
	    search.fit < CHOICES)
		visit(places, kind, (places->cursor + seen++) % n, &search);
	places->shard->counts_compared += seen;
	places->cursor = (places->cursor + seen) % n;
	if (search.best == NULL)
		*reason = wait_reason(kind, &search, cpu_milli);
	if (seen == n)
		kind->limit_max_milli = search.limit_max_milli;
	return search.best;
}
