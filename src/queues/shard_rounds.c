#include "queues/shard_private.h"

#include <string.h>

/* Share of a service's processors that batch work leaves to urgent work. */
#define HEADROOM_PERCENT 6
/* Time after an urgent step waited for a start limiter during which fillers
 * may use only a part of each limit. */
#define FILLER_YIELD_MS 1000
/* Backoff reason of executors on which runs fail repeatedly. */
#define QUARANTINED "quarantined"
/* Least time between trials of a quarantined executor with long-running
 * tasks. */
#define TRIAL_PERIOD_MS 1000
/* Least time between checks whether start limits block a step. */
#define START_LIMITS_CHECK_MS 500

/* Processors of the executors of a service that may get work. */
typedef struct {
	const char *service;
	uint64_t cpu_milli;
	uint64_t cpu_used;
} pool_t;

typedef struct {
	bp_shard_t *shard;
	int64_t now_ms;
	GPtrArray *execs; /* bp_qexec_t that may get work at all */
	GPtrArray *quarantined; /* bp_qexec_t, otherwise fit for work */
	bp_qplaces_t *places; /* for fillers */
	GArray *pools; /* pool_t */
	const char *service; /* of the step's queue */
	bool needs_spare; /* only executors with capacity for two such tasks */
	bool reruns_only; /* only tasks that have run before */
	bool refused_for_large; /* the last choice, by a large reservation */
	GArray *unplaced; /* unplaced_t */
	guint execs_total; /* of execs, before removals at start limits */
	bool limited; /* starts, by caps of customers */
	double until; /* level of its customer at which a step yields */
	bool yielded; /* the step placed last has */
	uint32_t from; /* first task of the step to look at */
	bool one_task; /* place only one task of the step */
	bp_batch_order_t *batch_order;
} round_t;

/* What a step accepts; each value includes those before it. */
typedef enum {
	PLACEMENT_USUAL,
	/* Executors that are closed to others of its kind: slow ones, and those
	 * reserved for urgent work. */
	PLACEMENT_ANY,
	PLACEMENT_SHARED /* processors that other fillers use */
} placement_t;

/* A request that no executor could take in this round, with the reason. */
typedef struct {
	const char *service;
	const Bp__Work__Step *spec;
	const char *reason; /* static */
	placement_t accepted; /* by the step */
	/* Duration of its runs when a reservation for a large task kept it out:
	 * shorter ones may be admitted. 0: none did. */
	int64_t refused_late_ms;
} unplaced_t;

/* Returns the preferred rack of a step: that of its data or of its running
 * tasks; "" for none. */
static const char *
wanted_rack(const bp_qstep_t *step)
{
	uint32_t i;

	if (step->spec->data_rack[0] != '\0')
		return step->spec->data_rack;
	for (i = 0; step->spec->same_rack && i < step->spec->tasks; i++) {
		if (step->tasks[i].run != NULL)
			return step->tasks[i].run->exec->info->rack;
	}
	return "";
}

/*
 * Tells whether a request asks for no less than one that could not be placed.
 * Free capacity only shrinks during a round, so it cannot be placed either.
 */
static bool
asks_no_less(const Bp__Work__Step *spec, const Bp__Work__Step *unplaced)
{
	if (spec->filler != unplaced->filler ||
	    spec->cpu_milli < unplaced->cpu_milli ||
	    spec->memory_mib < unplaced->memory_mib ||
	    spec->accelerators < unplaced->accelerators)
		return false;
	if (spec->filler && strcmp(spec->image, unplaced->image) != 0)
		return false;
	return unplaced->label[0] == '\0' ||
	    strcmp(spec->label, unplaced->label) == 0;
}

/* Tells whether a step's executors are chosen by their limits for fillers. */
static bool
has_places(const bp_qstep_t *step)
{
	return step->spec->filler && !step->spec->lasting;
}

/* Returns what a step accepts after the time that it has waited. */
static placement_t
accepted_placement(const round_t *round, const bp_qstep_t *step)
{
	bool any = step->spec->filler
	    ? bp_qstep_accepts_slow_placement(round->shard, step)
	    : bp_qstep_ignores_reservations(round->shard, step);

	if (bp_qstep_shares_processors(step))
		return PLACEMENT_SHARED;
	return any ? PLACEMENT_ANY : PLACEMENT_USUAL;
}

/* Returns why an earlier request that was no larger could not be placed; NULL
 * when there was none. */
static const char *
known_reason(const round_t *round, bp_qstep_t *step)
{
	guint i;

	if (step->rooms > 0)
		return NULL;
	for (i = 0; i < round->unplaced->len; i++) {
		const unplaced_t *entry =
		    &g_array_index(round->unplaced, unplaced_t, i);

		if (strcmp(entry->service, round->service) != 0 ||
		    !asks_no_less(step->spec, entry->spec))
			continue;
		if (entry->refused_late_ms > 0 &&
		    bp_qstep_late_ms(round->shard, step) <
			entry->refused_late_ms)
			continue;
		if (entry->accepted >= accepted_placement(round, step))
			return entry->reason;
	}
	return NULL;
}

/*
 * Records that a step could not be placed. Steps with a limit on their tasks
 * per executor are left out: that limit says nothing about other steps. So are
 * fillers whose limits on all executors are known.
 */
static void
add_unplaced(round_t *round, bp_qstep_t *step)
{
	unplaced_t entry = {round->service, step->spec, step->reason,
	    accepted_placement(round, step),
	    round->refused_for_large ? bp_qstep_late_ms(round->shard, step)
				     : 0};

	if (has_places(step) && !round->refused_for_large)
		return;
	if (step->spec->spread_max == 0 && step->reason != NULL)
		g_array_append_val(round->unplaced, entry);
}

/*
 * Returns the next executor of a round's list, NULL for none. Executors whose
 * start limit is reached are removed from the list: starts in flight only
 * increase during a round.
 */
static bp_qexec_t *
next_exec(GPtrArray *execs, guint *at)
{
	while (execs->len > 0) {
		bp_qexec_t *exec;

		if (*at >= execs->len)
			*at = 0;
		exec = execs->pdata[*at];
		if (!bp_qstart_limiter_full(exec->start_limiter, false)) {
			(*at)++;
			return exec;
		}
		g_ptr_array_remove_index_fast(execs, *at);
	}
	return NULL;
}

/*
 * Returns a quarantined executor for a long-running task that has waited and
 * that no other executor can take, NULL for none. The attempts of long-running
 * tasks are not limited, so a failure there does not end the job.
 */
static bp_qexec_t *
choose_quarantined(const round_t *round, const bp_qtask_t *task)
{
	guint i;

	if (!task->step->spec->lasting ||
	    !bp_qstep_ignores_reservations(round->shard, task->step))
		return NULL;
	for (i = 0; i < round->quarantined->len; i++) {
		bp_qexec_t *exec = round->quarantined->pdata[i];

		if ((exec->probed_ms != round->now_ms &&
			round->now_ms - exec->probed_ms < TRIAL_PERIOD_MS) ||
		    (exec->start_limiter->executors > 0 &&
			bp_qstart_limiter_full(exec->start_limiter, false)) ||
		    bp_qexec_reject_reason(exec, task->step, round->service) !=
			NULL)
			continue;
		exec->probed_ms = round->now_ms;
		return exec;
	}
	return NULL;
}

/* Returns the best of all executors for a task; NULL, with a reason, when none
 * can take it now. */
static bp_qexec_t *
choose_of_all(round_t *round, const bp_qtask_t *task, const char *rack,
    const char **reason)
{
	guint at = 0;
	bp_qexec_t *best = NULL;
	double best_score = 0;
	GPtrArray *execs = round->execs;
	guint seen;

	*reason = execs->len == 0 ? "no_executor" : "service";
	for (seen = 0; seen < execs->len; seen++) {
		bp_qexec_t *exec = next_exec(execs, &at);
		const char *why;
		double score;

		if (exec == NULL)
			break;
		why = bp_qexec_reject_reason(exec, task->step, round->service);
		if (why == NULL && round->needs_spare &&
		    !bp_qexec_has_capacity(exec, task->step->spec, 2))
			why = "no_capacity";
		if (why != NULL) {
			if (strcmp(why, "service") != 0)
				*reason = why;
			if (strcmp(why, "reserved_for_large") == 0)
				round->refused_for_large = true;
			continue;
		}
		score = bp_qexec_score(exec, task, rack);
		if (best == NULL || score < best_score) {
			best = exec;
			best_score = score;
		}
	}
	round->shard->counts_examined += seen;
	if (best == NULL && execs->len * 2 < round->execs_total)
		*reason = "turn";
	return best;
}

/*
 * Returns an executor for a task; NULL, with a reason, when none can take it
 * now.
 */
static bp_qexec_t *
choose(round_t *round, const bp_qtask_t *task, const char *rack,
    const char **reason)
{
	bp_qexec_t *best;

	round->refused_for_large = false;
	if (has_places(task->step)) {
		best = bp_qplaces_choose(
		    round->places, task, round->service, rack, reason);
		round->refused_for_large =
		    best == NULL && strcmp(*reason, "reserved_for_large") == 0;
		return best;
	}
	best = choose_of_all(round, task, rack, reason);
	return best != NULL || round->needs_spare
	    ? best
	    : choose_quarantined(round, task);
}

/* Takes, or gives back, the capacity for a gang member that is being placed. */
static void
reserve(bp_qexec_t *exec, const Bp__Work__Step *spec, bool take)
{
	if (take) {
		exec->gang_members_placed++;
		exec->cpu_used += spec->cpu_milli;
		exec->memory_used += spec->memory_mib;
		exec->accelerators_used += spec->accelerators;
	} else {
		exec->gang_members_placed--;
		exec->cpu_used -= spec->cpu_milli;
		exec->memory_used -= spec->memory_mib;
		exec->accelerators_used -= spec->accelerators;
	}
}

/*
 * Plans the starts of all members of a gang with one run number, or of none.
 * Capacity is reserved until the last member is placed.
 */
static void
place_gang(round_t *round, bp_qstep_t *step)
{
	bp_shard_t *shard = round->shard;
	bp_qexec_t **plan = g_new0(bp_qexec_t *, step->spec->tasks);
	const char *rack = step->spec->data_rack;
	uint64_t number = 0;
	uint32_t i;
	uint32_t planned;

	for (i = 0; i < step->spec->tasks; i++)
		number = MAX(number, bp_shard_next_run(shard, &step->tasks[i]));
	for (planned = 0; planned < step->spec->tasks; planned++) {
		bp_qtask_t *task = &step->tasks[planned];

		plan[planned] = choose(round, task, rack, &step->reason);
		if (plan[planned] == NULL)
			break;
		if (step->spec->same_rack && rack[0] == '\0')
			rack = plan[planned]->info->rack;
		reserve(plan[planned], step->spec, true);
	}
	for (i = 0; i < planned; i++)
		reserve(plan[i], step->spec, false);
	if (planned == step->spec->tasks) {
		step->reason = NULL;
		for (i = 0; i < planned; i++)
			bp_shard_start_task(
			    shard, &step->tasks[i], plan[i], number);
	}
	g_free(plan);
}

static pool_t *
get_pool(round_t *round, const char *service)
{
	pool_t pool = {service, 0, 0};
	guint i;

	for (i = 0; i < round->pools->len; i++) {
		pool_t *known = &g_array_index(round->pools, pool_t, i);

		if (strcmp(known->service, service) == 0)
			return known;
	}
	g_array_append_val(round->pools, pool);
	return &g_array_index(round->pools, pool_t, round->pools->len - 1);
}

/* Adds to the processors of a service, and to those in use. */
static void
count_cpu(
    round_t *round, const char *service, uint64_t cpu_milli, uint64_t cpu_used)
{
	pool_t *pool = get_pool(round, service);

	pool->cpu_milli += cpu_milli;
	pool->cpu_used += cpu_used;
}

/*
 * Tells whether a step leaves enough capacity to urgent work that may arrive,
 * which would otherwise wait for the end of a batch task. Fillers reserve no
 * processors, and long-running tasks are to run wherever there is capacity.
 */
static bool
leaves_headroom(round_t *round, const bp_qjob_t *job,
    const Bp__Work__Step *spec, bool reserved)
{
	const pool_t *pool;
	uint32_t percent = HEADROOM_PERCENT;

	if (job->spec->priority == 0 || spec->filler || spec->lasting)
		return true;
	/* Small batch tasks would use up the headroom's bound while the
	 * executor of a reservation empties. */
	if (reserved)
		percent = HEADROOM_PERCENT / 2;
	pool = get_pool(round, round->service);
	return (pool->cpu_used + spec->cpu_milli) * 100 <=
	    pool->cpu_milli * (100 - percent);
}

/* Returns why an executor gets no work at all; NULL when it may get some. */
static const char *
exclusion_reason(const bp_qexec_t *exec, int64_t now_ms)
{
	if (g_hash_table_contains(exec->shard->zones_out, exec->info->zone))
		return "zone_out";
	if (!exec->listed || exec->info->draining)
		return "draining";
	if (exec->unresponsive)
		return "executor_silent";
	if (!exec->answered_this_epoch || exec->clock_at_ms == 0)
		return "census";
	/* Service, zone, labels and capacity may be those of another life. */
	if (exec->info->born_ms != exec->born_ms)
		return "restarted";
	if (!exec->recorded_in_epoch || exec->unstorable)
		return "not_recorded";
	if (bp_qexec_has_unconfirmed_start(exec))
		return "no_answer";
	/* A run of an ended job takes unknown capacity until it has stopped. */
	if (exec->unknown_size_runs > 0)
		return "no_capacity";
	/* Last, so that a quarantined executor has no other reason against it.
	 */
	return exec->backoff_until_ms > now_ms ? exec->backoff_reason : NULL;
}

/* Tells whether only a start limit keeps a step's tasks from an executor with
 * capacity for two of them. */
static bool
blocked_by_start_limit(const round_t *round, bp_qstep_t *step)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, round->shard->execs);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		bp_qexec_t *exec = value;

		if (exec->start_limiter != NULL &&
		    bp_qstart_limiter_full(exec->start_limiter, false) &&
		    exclusion_reason(exec, round->now_ms) == NULL &&
		    bp_qexec_has_capacity(exec, step->spec, 2) &&
		    bp_qexec_reject_reason(exec, step, round->service) == NULL)
			return true;
	}
	return false;
}

static void
check_start_limit(const round_t *round, bp_qstep_t *step)
{
	if (!bp_qstep_ignores_reservations(round->shard, step) ||
	    round->execs->len == round->execs_total ||
	    round->now_ms - step->start_limits_checked_ms <
		START_LIMITS_CHECK_MS)
		return;
	step->start_limits_checked_ms = round->now_ms;
	step->blocked_by_start_limits = blocked_by_start_limit(round, step);
}

/* Records since when a step cannot be placed; reserves executors for it when
 * it is urgent. */
static void
note_unplaced(round_t *round, bp_qstep_t *step)
{
	if (step->unplaced_ms == 0)
		step->unplaced_ms = round->now_ms;
	check_start_limit(round, step);
	if (step->job->spec->priority != 0 || step->spec->lasting ||
	    step->spec->filler)
		return;
	if (g_strcmp0(step->reason, "turn") == 0)
		round->shard->urgent_blocked_ms = round->now_ms;
	if (bp_qstep_is_planned(round->shard, step, round->service))
		return;
	bp_shard_reserve_executors(
	    round->shard, step, round->execs, round->service);
}

/* A step that waits only for the cap of its customer holds no executors. */
static void
wait_for_cap(const round_t *round, bp_qstep_t *step)
{
	step->reason = "customer_cap";
	step->unplaced_ms = 0;
	step->blocked_by_start_limits = false;
	bp_shard_release_step_reservations(round->shard, step);
}

/* Returns whether the customer of a step with tasks left has caught up with the
 * one after it, whose turn it then is. */
static bool
yields(round_t *round, const bp_qstep_t *step)
{
	round->yielded = step->waiting_tasks > 0 && round->until < INFINITY &&
	    bp_customer_level(step->job->account,
		step->job->spec->priority == 0) > round->until;
	return round->yielded;
}

static void
place_step(round_t *round, bp_qstep_t *step)
{
	bp_shard_t *shard = round->shard;
	bool blocked = has_places(step)
	    ? bp_qplaces_all_closed(round->places)
	    : round->execs_total > 0 && round->execs->len == 0;
	const char *reason = blocked ? "turn" : known_reason(round, step);
	bool skipped = round->reruns_only && round->from > 0;
	uint32_t i;

	if (bp_qstep_awaits_retry(step, round->now_ms))
		return;
	if (round->limited && !bp_qstep_within_cap(step)) {
		wait_for_cap(round, step);
		return;
	}
	if (reason != NULL) {
		step->reason = reason;
		note_unplaced(round, step);
		return;
	}
	if (step->spec->gang) {
		if (step->refused)
			bp_qstep_note_retry(step, round->now_ms);
		/* A gang may need all executors. */
		step->refused_by = NULL;
		if (step->waiting_tasks == step->spec->tasks)
			place_gang(round, step);
		return;
	}
	for (i = round->from; i < step->spec->tasks; i++) {
		bp_qtask_t *task = &step->tasks[i];
		bp_qexec_t *exec;

		if (task->state != BP_QTASK_WAITING)
			continue;
		if (round->reruns_only && task->last_run == 0) {
			skipped = true;
			continue;
		}
		if (round->limited && !bp_qstep_within_cap(step)) {
			wait_for_cap(round, step);
			return;
		}
		if (!leaves_headroom(
			round, step->job, step->spec, step->rooms > 0)) {
			step->reason = "headroom";
			if (step->unplaced_ms == 0 &&
			    bp_qstep_is_large(shard, step, round->service))
				step->unplaced_ms = round->now_ms;
			return;
		}
		exec = choose(round, task, wanted_rack(step), &step->reason);
		if (exec == NULL && step->refused_by != NULL) {
			/* No other executor can take it now. */
			step->refused_by = NULL;
			return;
		}
		if (exec == NULL) {
			add_unplaced(round, step);
			note_unplaced(round, step);
			return;
		}
		step->reason = NULL;
		if (!step->spec->filler)
			count_cpu(
			    round, round->service, 0, step->spec->cpu_milli);
		if (exec->reserved_for == step)
			bp_qexec_release_reservation(exec);
		bp_shard_start_task(
		    shard, task, exec, bp_shard_next_run(shard, task));
		if (step->refused) {
			bp_qstep_note_retry(step, round->now_ms);
			return;
		}
		if (round->one_task && step->waiting_tasks > 0)
			return;
		if (yields(round, step)) {
			round->from = i + 1;
			return;
		}
	}
	if (skipped)
		return;
	step->unplaced_ms = 0;
	step->blocked_by_start_limits = false;
	bp_shard_release_step_reservations(shard, step);
	bp_shard_drop_step_rooms(shard, step);
}

/* Tells whether a planned run could still be placed on its executor. */
static bool
is_still_allowed(const bp_qrun_t *run)
{
	const bp_qexec_t *exec = run->exec;
	const char *why = exclusion_reason(exec, bp_shard_now_ms(exec->shard));

	/* Its labels, zone and capacity may differ from those planned with. */
	if (run->born_ms != exec->born_ms)
		return false;
	/* A cap may have been lowered, or runs of earlier owners found. */
	if (bp_customer_over_cap(run->account))
		return false;
	if (why != NULL &&
	    (!run->task->step->spec->lasting || strcmp(why, QUARANTINED) != 0))
		return false;
	return strcmp(exec->info->service,
		   bp_shard_service_of(exec->shard, run->task->step->job)) == 0;
}

/* See the header. */
bool
bp_qrun_may_start(const bp_qrun_t *run)
{
	const bp_qstep_t *step = run->task->step;
	uint32_t i;

	if (!step->spec->gang)
		return is_still_allowed(run);
	for (i = 0; i < step->spec->tasks; i++) {
		const bp_qrun_t *member = step->tasks[i].run;

		if (member == NULL || member->number != run->number)
			return false;
		if (member->state == BP_QRUN_PLANNED &&
		    !is_still_allowed(member))
			return false;
	}
	return true;
}

static void
add_executors(round_t *round)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, round->shard->execs);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		bp_qexec_t *exec = value;
		const char *why = exclusion_reason(exec, round->now_ms);

		if (why != NULL && strcmp(why, QUARANTINED) != 0)
			continue;
		if (exec->start_limiter == NULL)
			bp_qexec_set_start_limiter(exec);
		if (why != NULL) {
			g_ptr_array_add(round->quarantined, value);
			continue;
		}
		g_ptr_array_add(round->execs, value);
		bp_qplaces_add(round->places, exec);
		count_cpu(round, exec->info->service, exec->info->cpu_milli,
		    exec->cpu_used);
	}
	round->execs_total = round->execs->len;
	bp_shard_divide_start_limits(round->shard, round->execs);
}

/* Tells whether urgent and long-running work uses less than half of the
 * processors of the round's service. */
static bool
is_half_empty(round_t *round)
{
	const pool_t *pool = get_pool(round, round->service);

	return pool->cpu_used * 2 < pool->cpu_milli;
}

/* Tells whether a step may use its claim now. */
static bool
may_use_claim(round_t *round, const bp_qready_t *ready)
{
	if (bp_qjob_placed_tasks(ready->step->job) > 0)
		return false;
	switch (ready->claim) {
	case BP_BATCH_CLAIM_FIRST:
	case BP_BATCH_CLAIM_FIRST_OR_LATE:
		return bp_batch_order_may_go_first(
		    round->batch_order, round->service);
	case BP_BATCH_CLAIM_LATE:
		return is_half_empty(round);
	case BP_BATCH_CLAIM_NONE:
		break;
	}
	return false;
}

/* Places one task of a step with a claim, if its job has nothing running. */
static void
place_claim(round_t *round, const bp_qready_t *ready)
{
	bp_qstep_t *step = ready->step;

	if (!may_use_claim(round, ready))
		return;
	step->claim = ready->claim;
	step->shares_processors =
	    step->shares_processors && is_half_empty(round);
	step->job->claim_tried_ms = round->now_ms;
	round->one_task = true;
	place_step(round, step);
	round->one_task = false;
	step->claim = BP_BATCH_CLAIM_NONE;
	if (ready->claim != BP_BATCH_CLAIM_LATE &&
	    bp_qjob_placed_tasks(step->job) > 0) {
		step->job->claimed = true;
		bp_batch_order_went_first(round->batch_order, round->service);
	}
}

/* Places steps in the turns of their customers. */
static void
place_in_turns(round_t *round, const GArray *steps)
{
	bp_qturns_t *turns = bp_qturns_new(round->shard, steps);
	const bp_qready_t *ready;

	while ((ready = bp_qturns_next(turns, &round->until, &round->from)) !=
	    NULL) {
		bp_qstep_t *step = ready->step;
		uint32_t waiting = step->waiting_tasks;

		if (waiting == 0)
			continue;
		if (!bp_shard_may_start(round->shard))
			break;
		round->service = bp_shard_service_of(round->shard, step->job);
		round->yielded = false;
		if (ready->claim != BP_BATCH_CLAIM_NONE)
			place_claim(round, ready);
		else
			place_step(round, step);
		bp_qturns_placed(turns, step->waiting_tasks < waiting,
		    round->yielded, round->from);
	}
	bp_qturns_free(turns);
}

static void
place_selected(round_t *round, const GArray *steps)
{
	GArray *selected = g_array_new(FALSE, FALSE, sizeof(bp_qready_t));
	guint i;

	for (i = 0; i < steps->len; i++) {
		const bp_qready_t *ready =
		    &g_array_index(steps, bp_qready_t, i);
		bp_qstep_t *step = ready->step;

		if (step->waiting_tasks > 0 &&
		    (round->reruns_only
			    ? bp_qstep_ignores_reservations(round->shard, step)
			    : step->blocked_by_start_limits))
			g_array_append_vals(selected, ready, 1);
	}
	place_in_turns(round, selected);
	g_array_unref(selected);
	g_array_set_size(round->unplaced, 0);
}

/*
 * Places long-running tasks that have waited before all others. Those that ran
 * before come first: they take no more capacity from short work than they had.
 * When more urgent work arrives than can be started, capacity stays free, and
 * tasks that start for the first time would wait for as long as that work
 * arrives. They are placed early as well, but only on executors with capacity
 * for two of them: less than that may just be what a short task that ended has
 * freed for the next one.
 */
static void
place_long_running(round_t *round, const GArray *steps)
{
	round->reruns_only = true;
	place_selected(round, steps);
	round->reruns_only = false;
	round->needs_spare = true;
	place_selected(round, steps);
	round->needs_spare = false;
}

static void
place_steps(round_t *round, const GArray *steps)
{
	bp_shard_release_expired_reservations(round->shard);
	bp_qplaces_set_yields(round->places,
	    round->shard->urgent_blocked_ms != 0 &&
		round->now_ms - round->shard->urgent_blocked_ms <
		    FILLER_YIELD_MS);
	add_executors(round);
	bp_shard_plan_large(round->shard, steps, round->execs);
	place_long_running(round, steps);
	place_in_turns(round, steps);
}

static bool
has_label(const bp_executor_info_t *info, const char *label)
{
	return label[0] == '\0' ||
	    g_strv_contains((const gchar *const *)info->labels, label);
}

/* Returns whether an executor may get a task of a step now. */
static bool
takes_task(
    const round_t *round, const bp_qexec_t *exec, const Bp__Work__Step *spec)
{
	return exclusion_reason(exec, round->now_ms) == NULL &&
	    strcmp(exec->info->service, round->service) == 0 &&
	    has_label(exec->info, spec->label) &&
	    bp_qexec_has_capacity(exec, spec, 1);
}

/* Returns whether a service has room for a task of a step. */
static bool
has_room_for(round_t *round, const bp_qjob_t *job, const Bp__Work__Step *spec)
{
	GHashTableIter iter;
	gpointer value;
	bool found = false;

	g_hash_table_iter_init(&iter, round->shard->execs);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const bp_qexec_t *exec = value;

		if (exclusion_reason(exec, round->now_ms) == NULL)
			count_cpu(round, exec->info->service,
			    exec->info->cpu_milli, exec->cpu_used);
		found = found || takes_task(round, exec, spec);
	}
	found = found && leaves_headroom(round, job, spec, false);
	g_array_set_size(round->pools, 0);
	return found;
}

/* See the header. */
bool
bp_shard_has_room(bp_shard_t *shard, const bp_qjob_t *job)
{
	round_t round = {
	    .shard = shard,
	    .now_ms = bp_shard_now_ms(shard),
	    .service = bp_shard_service_of(shard, job),
	    .pools = g_array_new(FALSE, FALSE, sizeof(pool_t)),
	};
	bool found = false;
	size_t i;

	for (i = 0; i < job->spec->n_steps && !found; i++)
		found = job->spec->steps[i]->n_after == 0 &&
		    has_room_for(&round, job, job->spec->steps[i]);
	g_array_unref(round.pools);
	return found;
}

/* Places waiting tasks, in the order of bp_shard_ready_steps and the turns of
 * the customers. */
void
bp_shard_run_round(bp_shard_t *shard)
{
	round_t round = {
	    .shard = shard,
	    .now_ms = bp_shard_now_ms(shard),
	    .execs = g_ptr_array_new(),
	    .quarantined = g_ptr_array_new(),
	    .places = bp_qplaces_new(shard, shard->filler_cursor),
	    .pools = g_array_new(FALSE, FALSE, sizeof(pool_t)),
	    .unplaced = g_array_new(FALSE, FALSE, sizeof(unplaced_t)),
	    .limited = bp_customers_limit_starts(shard->customers),
	    .batch_order = bp_batch_order_new(),
	};
	int64_t start_us = bp_clock_mono_us(shard->options.clock);
	GArray *steps;

	bp_shard_update_customers(shard);
	steps = bp_shard_ready_steps(shard, round.batch_order);
	shard->ordering_us += bp_clock_mono_us(shard->options.clock) - start_us;
	shard->counts_offered += steps->len;
	if (steps->len > 0)
		place_steps(&round, steps);
	shard->filler_cursor = bp_qplaces_cursor(round.places);
	bp_batch_order_free(round.batch_order);
	g_array_unref(steps);
	g_array_unref(round.unplaced);
	g_array_unref(round.pools);
	g_ptr_array_unref(round.quarantined);
	bp_qplaces_free(round.places);
	g_ptr_array_unref(round.execs);
}

/* Adds to the amount of a cause in a list of bp_qwait_cause_t. name is static.
 */
void
bp_qwait_causes_add(GPtrArray *causes, const char *name, uint32_t amount)
{
	bp_qwait_cause_t *cause;
	guint i;

	for (i = 0; i < causes->len; i++) {
		cause = causes->pdata[i];
		if (strcmp(cause->name, name) == 0) {
			cause->amount += amount;
			return;
		}
	}
	cause = g_new0(bp_qwait_cause_t, 1);
	cause->name = name;
	cause->amount = amount;
	g_ptr_array_add(causes, cause);
}

/*
 * Returns why executors cannot take a waiting task of the step, by the checks
 * that placement uses: a list of bp_qwait_cause_t, which the caller unrefs.
 * Each executor counts once, as "turn" when it could take the task; executors
 * of other services are left out.
 */
GPtrArray *
bp_shard_wait_causes(bp_shard_t *shard, bp_qstep_t *step)
{
	round_t round = {
	    .shard = shard,
	    .now_ms = bp_shard_now_ms(shard),
	    .service = bp_shard_service_of(shard, step->job),
	};
	GPtrArray *causes = g_ptr_array_new_with_free_func(g_free);
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, shard->execs);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		bp_qexec_t *exec = value;
		const char *why = exclusion_reason(exec, round.now_ms);

		if (why == NULL)
			why = bp_qexec_reject_reason(exec, step, round.service);
		if (why != NULL && strcmp(why, "service") == 0)
			continue;
		bp_qwait_causes_add(causes, why != NULL ? why : "turn", 1);
	}
	return causes;
}
