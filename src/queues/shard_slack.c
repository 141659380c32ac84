#include "queues/shard_private.h"

/* Latency slack (target / tail latency) that fillers must leave: tail latencies
 * of 0.7 of the target. */
#define SLACK_MIN 1.43
/*
 * Slack that a new filler must be predicted to leave beyond SLACK_MIN.
 * Predictions are off by about as much. Slowing fillers corrects that only
 * after serving tasks were over their targets, and stopping them repeats work.
 */
#define PLACEMENT_MARGIN 0.6
/* Slack that is assumed of a serving task before its first sample; it includes
 * the margin. */
#define SLACK_ASSUMED 2.5
/* A loss of slack below this counts as none. */
#define SLACK_LOSS_MIN 0.04
#define SPEED_FULL 100
/* Shares of its full speed that a filler must be able to have on an executor.
 * A step ends with its slowest filler, and a slowed one takes slack for longer;
 * processors that serving tasks leave would stay unused without the second. */
#define SHARE_FULL 1.0
#define SHARE_SLOW 0.45

static const double *
weights_of(bp_shard_t *shard, bp_qstep_t *serving)
{
	if (serving->interference_weights == NULL)
		serving->interference_weights = bp_filler_model_weights(
		    shard->filler_model, serving->spec->image);
	return serving->interference_weights;
}

/* Returns the index of a filler step's image in the interference model. */
uint32_t
bp_qstep_filler_index(bp_shard_t *shard, bp_qstep_t *filler)
{
	if (filler->filler_index == 0)
		filler->filler_index = bp_filler_model_index(
		    shard->filler_model, filler->spec->image);
	return filler->filler_index;
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
bp_shard_slack_loss(
    bp_shard_t *shard, bp_qstep_t *serving, bp_qstep_t *filler, double capacity)
{
	return slack_loss(weights_of(shard, serving),
	    bp_qstep_filler_index(shard, filler), filler->spec->cpu_milli,
	    capacity);
}

/* Returns the slack that fillers may take from a serving task. */
double
bp_shard_spare_slack(const bp_qrun_t *serving)
{
	double slack =
	    serving->solo_slack > 0 ? serving->solo_slack : SLACK_ASSUMED;

	return slack - SLACK_MIN;
}

/* Returns the slack that one more filler may take from a serving run. */
static double
slack_for_placement(
    const bp_qexec_t *exec, const bp_qrun_t *serving, double capacity)
{
	double slack = bp_shard_spare_slack(serving);
	guint i;

	if (serving->solo_slack > 0)
		slack -= PLACEMENT_MARGIN;
	for (i = 0; i < exec->runs->len; i++) {
		const bp_qrun_t *run = exec->runs->pdata[i];

		if (run->task == NULL || !run->task->step->spec->filler)
			continue;
		slack -= bp_shard_slack_loss(exec->shard, serving->task->step,
			     run->task->step, capacity) *
		    MIN(run->speed_percent, SPEED_FULL) / SPEED_FULL;
	}
	return slack;
}

/* Returns the share of its full speed that a filler must have. */
double
bp_qspeed_share(bp_qspeed_t speed)
{
	return speed == BP_QSPEED_FULL ? SHARE_FULL : SHARE_SLOW;
}

/* Returns the largest request, in milli-processors, of a filler with these
 * weights that leaves a serving task its slack. */
static double
largest_request(
    const bp_qslack_t *entry, uint32_t index, double speed, double capacity)
{
	double weight = entry->weights[index];

	if (weight <= 0)
		return UINT32_MAX;
	return MAX(entry->slack / speed, SLACK_LOSS_MIN) * capacity / weight;
}

static void
refresh_calm_milli(bp_qexec_t *exec, bp_qspeed_t speed, double capacity)
{
	double share = bp_qspeed_share(speed);
	uint32_t i;
	guint k;

	for (i = 1; i < BP_FILLER_WEIGHTS; i++) {
		double largest = UINT32_MAX;

		for (k = 0; k < exec->slacks->len; k++)
			largest = MIN(largest,
			    largest_request(
				&g_array_index(exec->slacks, bp_qslack_t, k), i,
				share, capacity));
		exec->calm_milli[speed][i] = (uint32_t)largest;
	}
}

static void
refresh_spare_slack(bp_qexec_t *exec, double capacity)
{
	guint i;

	exec->slacks_stale = false;
	g_array_set_size(exec->slacks, 0);
	for (i = 0; i < exec->runs->len; i++) {
		const bp_qrun_t *run = exec->runs->pdata[i];
		bp_qslack_t entry;

		if (run->task == NULL || run->task->step->spec->target_ms == 0)
			continue;
		entry.weights = weights_of(exec->shard, run->task->step);
		entry.slack = MAX(slack_for_placement(exec, run, capacity), 0);
		g_array_append_val(exec->slacks, entry);
	}
	refresh_calm_milli(exec, BP_QSPEED_FULL, capacity);
	refresh_calm_milli(exec, BP_QSPEED_SLOW, capacity);
}

/*
 * Returns the share of its full speed that one more filler could have on an
 * executor, 0 to 1.
 */
double
bp_shard_filler_speed(bp_qexec_t *exec, bp_qstep_t *step)
{
	double capacity = MAX(exec->info->cpu_milli, 1);
	uint32_t index = bp_qstep_filler_index(exec->shard, step);
	double share = 1;
	guint i;

	if (exec->slacks_stale)
		refresh_spare_slack(exec, capacity);
	for (i = 0; i < exec->slacks->len; i++) {
		const bp_qslack_t *entry =
		    &g_array_index(exec->slacks, bp_qslack_t, i);
		double loss = slack_loss(
		    entry->weights, index, step->spec->cpu_milli, capacity);

		if (loss > 0)
			share = MIN(share, entry->slack / loss);
	}
	return share;
}

/*
 * Returns the largest request, in milli-processors, at which one more filler of
 * an image could have the share of its full speed on an executor; UINT32_MAX
 * when it disturbs no serving task there.
 */
uint32_t
bp_qexec_calm_milli(bp_qexec_t *exec, uint32_t filler_index, bp_qspeed_t speed)
{
	if (exec->slacks_stale)
		refresh_spare_slack(exec, MAX(exec->info->cpu_milli, 1));
	return exec->calm_milli[speed][filler_index];
}
