#include "queues/shard_private.h"

/* Calm (target / tail) that fillers must leave: tails of 0.7 the target. */
#define CALM_MIN 1.43
/* Calm that is assumed of a serving task before its first sample. */
#define CALM_PRIOR 2.5
/* A loss of calm below this is taken for none. */
#define EFFECT_NONE 0.04
#define PACE_FULL 100

static const double *
weights_of(bp_shard_t *shard, bp_qstep_t *serving)
{
	if (serving->weights == NULL)
		serving->weights =
		    bp_pairs_weights(shard->pairs, serving->spec->image);
	return serving->weights;
}

static uint32_t
term_of(bp_shard_t *shard, bp_qstep_t *filler)
{
	if (filler->term == 0)
		filler->term = bp_pairs_term(shard->pairs, filler->spec->image);
	return filler->term;
}

static double
loss_by(
    const double *weights, uint32_t term, uint32_t cpu_milli, double capacity)
{
	double loss = weights[term] * cpu_milli / capacity;

	return loss < EFFECT_NONE ? 0 : loss;
}

/* Calm that a serving task loses by one filler at full pace. */
double
bp_shard_effect(
    bp_shard_t *shard, bp_qstep_t *serving, bp_qstep_t *filler, double capacity)
{
	return loss_by(weights_of(shard, serving), term_of(shard, filler),
	    filler->spec->cpu_milli, capacity);
}

/* Calm that fillers may take from a serving task. */
double
bp_shard_spare_calm(const bp_qrun_t *serving)
{
	double calm = serving->calm > 0 ? serving->calm : CALM_PRIOR;

	return calm - CALM_MIN;
}

/* Calm of a serving run that the fillers beside it leave now. */
static double
calm_left(const bp_qexec_t *exec, const bp_qrun_t *serving, double capacity)
{
	double calm = bp_shard_spare_calm(serving);
	guint i;

	for (i = 0; i < exec->runs->len; i++) {
		const bp_qrun_t *run = exec->runs->pdata[i];

		if (run->task == NULL || !run->task->step->spec->filler)
			continue;
		calm -= bp_shard_effect(exec->shard, serving->task->step,
			    run->task->step, capacity) *
		    MIN(run->pace, PACE_FULL) / PACE_FULL;
	}
	return calm;
}

static void
refresh_rooms(bp_qexec_t *exec, double capacity)
{
	guint i;

	exec->rooms_stale = false;
	g_array_set_size(exec->rooms, 0);
	for (i = 0; i < exec->runs->len; i++) {
		const bp_qrun_t *run = exec->runs->pdata[i];
		bp_qroom_t room;

		if (run->task == NULL || run->task->step->spec->target_ms == 0)
			continue;
		room.weights = weights_of(exec->shard, run->task->step);
		room.calm = MAX(calm_left(exec, run, capacity), 0);
		g_array_append_val(exec->rooms, room);
	}
}

/*
 * Returns the share of its full pace that one more filler could have on an
 * executor, 0 to 1.
 */
double
bp_shard_filler_share(bp_qexec_t *exec, bp_qstep_t *step)
{
	double capacity = MAX(exec->info->cpu_milli, 1);
	uint32_t term = term_of(exec->shard, step);
	double share = 1;
	guint i;

	if (exec->rooms_stale)
		refresh_rooms(exec, capacity);
	for (i = 0; i < exec->rooms->len; i++) {
		const bp_qroom_t *room =
		    &g_array_index(exec->rooms, bp_qroom_t, i);
		double grows = loss_by(
		    room->weights, term, step->spec->cpu_milli, capacity);

		if (grows > 0)
			share = MIN(share, room->calm / grows);
	}
	return share;
}
