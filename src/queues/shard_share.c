#include "queues/shard_private.h"

/* Latency slack (target / tail latency) that fillers must leave: tail latencies
 * of 0.7 of the target. */
#define SLACK_MIN 1.43
/* Slack that is assumed of a serving task before its first sample. */
#define SLACK_ASSUMED 2.5
/* A loss of slack below this counts as none. */
#define SLACK_LOSS_MIN 0.04
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
filler_index_of(bp_shard_t *shard, bp_qstep_t *filler)
{
	if (filler->term == 0)
		filler->term = bp_pairs_term(shard->pairs, filler->spec->image);
	return filler->term;
}

static double
slack_loss(
    const double *weights, uint32_t index, uint32_t cpu_milli, double capacity)
{
	double loss = weights[index] * cpu_milli / capacity;

	return loss < SLACK_LOSS_MIN ? 0 : loss;
}

/* Returns the slack that a serving task loses by one filler at full speed.
 * capacity is the executor's, in milli-processors. */
double
bp_shard_effect(
    bp_shard_t *shard, bp_qstep_t *serving, bp_qstep_t *filler, double capacity)
{
	return slack_loss(weights_of(shard, serving),
	    filler_index_of(shard, filler), filler->spec->cpu_milli, capacity);
}

/* Returns the slack that fillers may take from a serving task. */
double
bp_shard_spare_calm(const bp_qrun_t *serving)
{
	double slack = serving->calm > 0 ? serving->calm : SLACK_ASSUMED;

	return slack - SLACK_MIN;
}

/* Returns the spare slack of a serving run after the executor's fillers. */
static double
spare_slack_left(
    const bp_qexec_t *exec, const bp_qrun_t *serving, double capacity)
{
	double slack = bp_shard_spare_calm(serving);
	guint i;

	for (i = 0; i < exec->runs->len; i++) {
		const bp_qrun_t *run = exec->runs->pdata[i];

		if (run->task == NULL || !run->task->step->spec->filler)
			continue;
		slack -= bp_shard_effect(exec->shard, serving->task->step,
			     run->task->step, capacity) *
		    MIN(run->pace, PACE_FULL) / PACE_FULL;
	}
	return slack;
}

static void
refresh_spare_slack(bp_qexec_t *exec, double capacity)
{
	guint i;

	exec->rooms_stale = false;
	g_array_set_size(exec->rooms, 0);
	for (i = 0; i < exec->runs->len; i++) {
		const bp_qrun_t *run = exec->runs->pdata[i];
		bp_qroom_t entry;

		if (run->task == NULL || run->task->step->spec->target_ms == 0)
			continue;
		entry.weights = weights_of(exec->shard, run->task->step);
		entry.calm = MAX(spare_slack_left(exec, run, capacity), 0);
		g_array_append_val(exec->rooms, entry);
	}
}

/*
 * Returns the share of its full speed that one more filler could have on an
 * executor, 0 to 1.
 */
double
bp_shard_filler_share(bp_qexec_t *exec, bp_qstep_t *step)
{
	double capacity = MAX(exec->info->cpu_milli, 1);
	uint32_t index = filler_index_of(exec->shard, step);
	double share = 1;
	guint i;

	if (exec->rooms_stale)
		refresh_spare_slack(exec, capacity);
	for (i = 0; i < exec->rooms->len; i++) {
		const bp_qroom_t *entry =
		    &g_array_index(exec->rooms, bp_qroom_t, i);
		double loss = slack_loss(
		    entry->weights, index, step->spec->cpu_milli, capacity);

		if (loss > 0)
			share = MIN(share, entry->calm / loss);
	}
	return share;
}
