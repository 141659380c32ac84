#include "queues/shard_private.h"

#include <string.h>

/* Runs on one executor: its record, which names them, fits the store. */
#define RUNS_MAX 1200
/* Scores are in thousandths of the executor's processors, plus penalties. */
#define SCALE 1000.0
#define PENALTY_FAILED_ON 1500.0
#define PENALTY_OTHER_RACK 4000.0
#define PENALTY_SERVING 3000.0
#define PENALTY_OTHER_IMAGE 1200.0
/* Executors that are reserved for a large task of another step are used last.
 */
#define PENALTY_RESERVED 2000.0
/* Executors that are reserved for the step are used first. */
#define BONUS_RESERVED 8000.0
/* Share of other images that is assumed of an executor without serving
 * tasks. */
#define EMPTY_OTHER_SHARE 0.4
/* Share of their requested processors that serving tasks use. */
#define SERVING_USE_PERCENT 55
/* Consecutive samples with a tail latency near its target after which an
 * executor takes no more fillers. */
#define OVERRUNS_TO_CLOSE 2
/* Time after which a step accepts slow placements. */
#define SLOW_PLACEMENT_AFTER_MS 1000
/* Multiple of the unused processors that fillers may ask for where one of them
 * belongs to a job that has nothing running since the traffic has ended. */
#define FILLER_SHARING 2
/* Share of full speed that such a filler leaves to all on its executor once
 * they are throttled. */
#define FILLER_SPEED_MIN_SHARED 0.2

/* Tells whether a task that a claim of its job is about to start may share
 * processors with other fillers. */
bool
bp_qstep_shares_processors(const bp_qstep_t *step)
{
	return step->claim != BP_BATCH_CLAIM_NONE && step->shares_processors;
}

/*
 * Returns the largest request of one more filler, in milli-processors, that
 * finds unused processors: more fillers than that would only slow each other
 * down. Serving tasks leave about half of the processors that they request.
 * Once the traffic has ended, a job that has waited with nothing running is not
 * to wait for other fillers to end, as a slow task is better for it than none;
 * it shares processors with them.
 */
int64_t
bp_qexec_filler_room_milli(const bp_qexec_t *exec, bool shared)
{
	uint64_t busy = exec->serving > 0
	    ? exec->cpu_used * SERVING_USE_PERCENT / 100
	    : exec->cpu_used;
	int64_t room = (int64_t)exec->info->cpu_milli - (int64_t)busy;

	return room * (shared ? FILLER_SHARING : 1) -
	    (int64_t)exec->filler_milli;
}

/* Tells whether one more filler finds processors. */
static bool
fillers_fit(const bp_qexec_t *exec, const bp_qstep_t *step)
{
	return bp_qexec_filler_room_milli(
		   exec, bp_qstep_shares_processors(step)) >=
	    (int64_t)step->spec->cpu_milli;
}

/* Tells whether a step was unplaced so long that a slow placement is better
 * than none. */
bool
bp_qstep_accepts_slow_placement(const bp_shard_t *shard, const bp_qstep_t *step)
{
	return bp_qstep_shares_processors(step) ||
	    (step->unplaced_ms != 0 &&
		bp_shard_now_ms(shard) - step->unplaced_ms >=
		    SLOW_PLACEMENT_AFTER_MS);
}

/* Returns the slack that the fillers of an executor and one more of the step
 * would take from a serving run at full speed; 0 when the one more takes none.
 */
static double
slack_loss_with(bp_qexec_t *exec, bp_qstep_t *serving, bp_qstep_t *step)
{
	double capacity = MAX(exec->info->cpu_milli, 1);
	double loss = bp_shard_slack_loss(exec->shard, serving, step, capacity);
	guint i;

	for (i = 0; loss > 0 && i < exec->runs->len; i++) {
		const bp_qrun_t *run = exec->runs->pdata[i];

		if (run->task != NULL && run->task->step->spec->filler)
			loss += bp_shard_slack_loss(
			    exec->shard, serving, run->task->step, capacity);
	}
	return loss;
}

/* Returns the share of full speed to which the fillers of an executor and one
 * more of the step would be throttled, 0 to 1. */
static double
throttled_speed(bp_qexec_t *exec, bp_qstep_t *step)
{
	double share = 1;
	guint i;

	for (i = 0; i < exec->runs->len; i++) {
		const bp_qrun_t *run = exec->runs->pdata[i];
		double loss;

		if (run->task == NULL || run->task->step->spec->target_ms == 0)
			continue;
		loss = slack_loss_with(exec, run->task->step, step);
		if (loss > 0)
			share = MIN(
			    share, MAX(bp_shard_spare_slack(run), 0) / loss);
	}
	return share;
}

/* Returns the speed that a filler of the step must be able to have. */
bp_qspeed_t
bp_qstep_speed_wanted(const bp_shard_t *shard, const bp_qstep_t *step)
{
	return bp_qstep_accepts_slow_placement(shard, step) ? BP_QSPEED_SLOW
							    : BP_QSPEED_FULL;
}

/* Tells whether tail latencies are near their targets for so long that an
 * executor takes no fillers. */
static bool
is_overrun(const bp_qexec_t *exec)
{
	return exec->consecutive_overruns >= OVERRUNS_TO_CLOSE;
}

/*
 * Returns the largest request of one more filler of an image, in
 * milli-processors, that would not be too slow beside the serving tasks of an
 * executor.
 */
int64_t
bp_qexec_filler_limit_milli(
    bp_qexec_t *exec, uint32_t filler_index, bp_qspeed_t speed)
{
	if (is_overrun(exec))
		return 0;
	return bp_qexec_calm_milli(exec, filler_index, speed);
}

/* Tells whether a filler of the step would be too slow on an executor beside
 * its serving tasks. One that shares processors may slow other fillers too. */
static bool
disturbs(bp_qexec_t *exec, bp_qstep_t *step)
{
	if (bp_shard_filler_speed(exec, step) >=
	    bp_qspeed_share(bp_qstep_speed_wanted(exec->shard, step)))
		return false;
	return !bp_qstep_shares_processors(step) ||
	    exec->consecutive_overruns > 0 ||
	    throttled_speed(exec, step) < FILLER_SPEED_MIN_SHARED;
}

/* See the header. */
bool
bp_qexec_has_capacity(
    const bp_qexec_t *exec, const Bp__Work__Step *spec, uint32_t tasks)
{
	const bp_executor_info_t *info = exec->info;
	uint64_t cpu = spec->filler ? 0 : spec->cpu_milli;
	uint64_t memory = spec->memory_mib;
	uint64_t accelerators = spec->accelerators;

	return exec->cpu_used + cpu * tasks <= info->cpu_milli &&
	    exec->memory_used + memory * tasks <= info->memory_mib &&
	    exec->accelerators_used + accelerators * tasks <=
	    info->accelerators;
}

/*
 * Returns why an executor cannot take a task of the step, a static string, or
 * NULL when it can. service is that of the step's queue.
 */
const char *
bp_qexec_reject_reason(bp_qexec_t *exec, bp_qstep_t *step, const char *service)
{
	const Bp__Work__Step *spec = step->spec;
	uint32_t here = exec->gang_members_placed;
	guint i;

	if (strcmp(exec->info->service, service) != 0)
		return "service";
	if (spec->label[0] != '\0' &&
	    !g_strv_contains(
		(const char *const *)exec->info->labels, spec->label))
		return "label";
	if (step->refused_by == exec)
		return "invalid";
	if (exec->runs->len >= RUNS_MAX ||
	    !bp_qexec_has_capacity(exec, spec, 1))
		return "no_capacity";
	if (bp_qexec_reserved_from(exec, step))
		return "kept";
	if (bp_qexec_reserved_for_large(exec, step))
		return "reserved_for_large";
	if (spec->filler && !fillers_fit(exec, step))
		return "no_capacity";
	if (spec->filler && (is_overrun(exec) || disturbs(exec, step)))
		return "disturbs";
	if (spec->spread_max == 0)
		return NULL;
	for (i = 0; i < exec->runs->len; i++) {
		const bp_qrun_t *run = exec->runs->pdata[i];

		if (run->task != NULL && run->task->step == step)
			here++;
	}
	return here >= spec->spread_max ? "spread" : NULL;
}

/* Scores an executor for a filler; executors whose serving tasks it would slow
 * down come later. */
static double
filler_score(bp_qexec_t *exec, bp_qstep_t *step)
{
	double score = SCALE * (double)(exec->filler_milli + exec->cpu_used) /
	    MAX(exec->info->cpu_milli, 1);

	return exec->serving > 0
	    ? score + PENALTY_SERVING * (1 - bp_shard_filler_speed(exec, step))
	    : score;
}

/*
 * Returns the share of an executor's serving tasks that run another image.
 * Serving tasks of one image are packed together, so that most fillers can be
 * placed where they interfere with no serving task.
 */
static double
other_images_share(const bp_qexec_t *exec, const Bp__Work__Step *spec)
{
	uint32_t serving = 0;
	uint32_t others = 0;
	guint i;

	for (i = 0; i < exec->runs->len; i++) {
		const bp_qrun_t *run = exec->runs->pdata[i];
		const Bp__Work__Step *other;

		if (run->task == NULL)
			continue;
		other = run->task->step->spec;
		if (other->target_ms == 0)
			continue;
		serving++;
		others += strcmp(other->image, spec->image) != 0;
	}
	return serving == 0 ? EMPTY_OTHER_SHARE : (double)others / serving;
}

/* Returns how well an executor suits a task; the lowest score is best. */
double
bp_qexec_score(bp_qexec_t *exec, const bp_qtask_t *task, const char *rack)
{
	const Bp__Work__Step *spec = task->step->spec;
	double free_cpu = (double)exec->info->cpu_milli -
	    (double)exec->cpu_used - spec->cpu_milli;
	double score;

	if (spec->filler)
		score = filler_score(exec, task->step);
	else if (spec->lasting && exec->shard->large != NULL)
		score = SCALE * bp_qexec_lasting_score(exec, spec);
	else
		score = SCALE * free_cpu / MAX(exec->info->cpu_milli, 1);
	if (spec->target_ms > 0)
		score += PENALTY_OTHER_IMAGE * other_images_share(exec, spec);
	if (exec->room != NULL && exec->room->step != task->step)
		score += PENALTY_RESERVED;
	if (exec->reserved_for == task->step ||
	    (exec->room != NULL && exec->room->step == task->step))
		score -= BONUS_RESERVED;
	if (task->last_failed_executor == exec)
		score += PENALTY_FAILED_ON;
	if (rack[0] != '\0' && strcmp(exec->info->rack, rack) != 0)
		score += PENALTY_OTHER_RACK;
	return score;
}
