#include "queues/shard_private.h"

#include <string.h>

/* A score is a share of the executor's processors, plus these. */
#define SCALE 1000.0
#define PENALTY_FAILED_ON 1500.0
#define PENALTY_OTHER_RACK 4000.0
#define PENALTY_SERVING 3000.0
#define PENALTY_OTHER_IMAGE 1200.0
/* Room that was kept for the step is used first. */
#define PREFER_KEPT 8000.0
/* An executor without serving tasks, as a share of other images. */
#define EMPTY_IS_OTHER 0.4
/* Share of their reserved processors that serving tasks use. */
#define SERVING_USE_PERCENT 55
/* A filler is not placed where it could not have this share of its pace, */
#define FILLER_SHARE_MIN 0.7
/* nor, once its step has found no place for PATIENCE_MS, this one: what is
 * left beside serving tasks would stay unused. */
#define FILLER_SHARE_LEAST 0.3
#define PATIENCE_MS 1000

/*
 * More fillers than the processors that others leave would only slow each
 * other down; serving tasks leave about half of what they reserve.
 */
static bool
fillers_fit(const bp_qexec_t *exec, const Bp__Work__Step *spec)
{
	uint64_t busy = exec->serving > 0
	    ? (uint64_t)exec->cpu_used * SERVING_USE_PERCENT / 100
	    : exec->cpu_used;

	return busy + exec->filler_milli + spec->cpu_milli <=
	    exec->info->cpu_milli;
}

/* Tells whether the step has waited so long that a slow place is better. */
bool
bp_qstep_takes_slow_place(const bp_shard_t *shard, const bp_qstep_t *step)
{
	return step->wanting_ms != 0 &&
	    bp_shard_now_ms(shard) - step->wanting_ms >= PATIENCE_MS;
}

/* Share of its pace that a filler must have where it is placed. */
static double
least_share(const bp_shard_t *shard, const bp_qstep_t *step)
{
	return bp_qstep_takes_slow_place(shard, step) ? FILLER_SHARE_LEAST
						      : FILLER_SHARE_MIN;
}

/*
 * Returns why an executor cannot take a task of the step, a static text, or
 * NULL when it can; service is that of the step's queue.
 */
const char *
bp_qexec_obstacle(bp_qexec_t *exec, bp_qstep_t *step, const char *service)
{
	const Bp__Work__Step *spec = step->spec;
	uint32_t cpu = spec->filler ? 0 : spec->cpu_milli;
	uint32_t here = exec->reserved;
	guint i;

	if (strcmp(exec->info->service, service) != 0)
		return "service";
	if (spec->label[0] != '\0' &&
	    !g_strv_contains(
		(const char *const *)exec->info->labels, spec->label))
		return "label";
	if (exec->cpu_used + cpu > exec->info->cpu_milli ||
	    exec->memory_used + spec->memory_mib > exec->info->memory_mib ||
	    exec->accelerators_used + spec->accelerators >
		exec->info->accelerators)
		return "no_capacity";
	if (bp_qexec_kept_from(exec, step))
		return "kept";
	if (spec->filler && !fillers_fit(exec, spec))
		return "no_capacity";
	if (spec->filler &&
	    (exec->alarms >= 2 ||
		bp_shard_filler_share(exec, step) <
		    least_share(exec->shard, step)))
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

/* Serving tasks suffer from fillers, so those go elsewhere first. */
static double
filler_score(bp_qexec_t *exec, bp_qstep_t *step)
{
	double score = SCALE * (exec->filler_milli + exec->cpu_used) /
	    MAX(exec->info->cpu_milli, 1);

	return exec->serving > 0
	    ? score + PENALTY_SERVING * (1 - bp_shard_filler_share(exec, step))
	    : score;
}

/*
 * Share of the serving tasks there that run another image. Serving tasks of
 * one image stand together, so that most fillers find a place where they
 * disturb nobody.
 */
static double
other_images(const bp_qexec_t *exec, const Bp__Work__Step *spec)
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
	return serving == 0 ? EMPTY_IS_OTHER : (double)others / serving;
}

/* Returns how well an executor suits a task; lower is better. */
double
bp_qexec_score(bp_qexec_t *exec, const bp_qtask_t *task, const char *rack)
{
	const Bp__Work__Step *spec = task->step->spec;
	double free_cpu =
	    (double)exec->info->cpu_milli - exec->cpu_used - spec->cpu_milli;
	double score;

	if (spec->filler)
		score = filler_score(exec, task->step);
	else
		score = SCALE * free_cpu / MAX(exec->info->cpu_milli, 1);
	if (spec->target_ms > 0)
		score += PENALTY_OTHER_IMAGE * other_images(exec, spec);
	if (exec->kept_for == task->step)
		score -= PREFER_KEPT;
	if (task->failed_on == exec)
		score += PENALTY_FAILED_ON;
	if (rack[0] != '\0' && strcmp(exec->info->rack, rack) != 0)
		score += PENALTY_OTHER_RACK;
	return score;
}
