#include "queues/shard_private.h"

/* Greatest latency slack taken from a sample; shorter tail latencies carry no
 * more information. */
#define SLACK_MAX 8.0
/* Tail latency, as a share of its target, above which all fillers of the
 * executor are slowed immediately. */
#define OVERRUN_SHARE 0.95
#define SPEED_FULL 100
#define PERCENT 100
/* Fillers that interfere with a serving task are paused when its tail latency
 * was near its target in this number of consecutive samples; it must not stay
 * above the target for about 4 s. */
#define OVERRUNS_TO_PAUSE 4
/* All others of the executor are, too, after one more: the model may be wrong
 * about them. */
#define OVERRUNS_TO_PAUSE_ALL 5
/* A filler that was paused for this long is moved to another executor. */
#define MOVE_AFTER_PAUSED_MS 500
/* Without checkpoints it is moved only before this share of its work. */
#define MOVE_PERCENT_MAX 15
/* Weight of one sample in the smoothed slack of a serving task. */
#define SLACK_RATE 0.5
/* Samples further apart than this are not compared. */
#define SAMPLE_GAP_MAX_MS 900
/* Tail latencies cover half a second; more frequent samples add nothing. */
#define SAMPLE_PERIOD_MS 250
/* Smaller changes of a speed limit are not worth an order. */
#define SPEED_CHANGE_MIN 10
/* Below this a filler is paused: it would hardly advance. */
#define SPEED_MIN 15
/* An adopted filler that uses this share of its processors is not slowed. */
#define FULL_SPEED_USE_PERCENT 90
/* Time after which a measured CPU use reflects the last speed limit. */
#define USE_SETTLED_MS 1000

/* A throttle order in flight. */
typedef struct {
	bp_shard_t *shard;
	bp_qrun_t *run;
} throttle_t;

static void
on_throttled(const bp_exec_result_t *result, void *data)
{
	throttle_t *throttle = data;

	g_hash_table_remove(throttle->shard->throttles, throttle);
	if (result->outcome != BP_EXEC_OK)
		bp_qrun_set_speed(throttle->run, BP_QRUN_SPEED_UNKNOWN);
	bp_qrun_unref_order(throttle->run);
	g_free(throttle);
}

/*
 * Tells whether an adopted filler is to have full speed and uses as much. Most
 * fillers do at a takeover, and each order would delay first polls.
 */
static bool
has_full_speed(bp_shard_t *shard, bp_qrun_t *run, uint32_t percent)
{
	int64_t cpu_milli = run->task->step->spec->cpu_milli;

	if (run->speed_percent != BP_QRUN_SPEED_UNKNOWN ||
	    run->adopted_ms == 0 || percent != SPEED_FULL ||
	    run->measured * PERCENT < cpu_milli * FULL_SPEED_USE_PERCENT)
		return false;
	if (bp_shard_now_ms(shard) - run->adopted_ms >= USE_SETTLED_MS)
		run->speed_percent = SPEED_FULL;
	return true;
}

/* Returns whether a speed limit differs enough from the one in force. */
static bool
is_worth_an_order(const bp_qrun_t *run, uint32_t percent)
{
	uint32_t change = run->speed_percent > percent
	    ? run->speed_percent - percent
	    : percent - run->speed_percent;

	if (run->speed_percent == BP_QRUN_SPEED_UNKNOWN)
		return true;
	return change >= SPEED_CHANGE_MIN ||
	    (change > 0 && (percent == 0 || percent == SPEED_FULL));
}

static void
set_speed(bp_qexec_t *exec, bp_qrun_t *run, uint32_t percent)
{
	bp_shard_t *shard = exec->shard;
	bp_exec_target_t target = bp_qexec_target(exec);
	throttle_t *throttle;

	if (run->orders_in_flight > 0 || run->state != BP_QRUN_RUNNING ||
	    !bp_shard_may_order(shard))
		return;
	if (has_full_speed(shard, run, percent) ||
	    !is_worth_an_order(run, percent))
		return;
	throttle = g_new0(throttle_t, 1);
	throttle->shard = shard;
	throttle->run = run;
	if (percent == 0)
		run->paused_ms = bp_shard_now_ms(shard);
	bp_qrun_set_speed(run, percent);
	run->adopted_ms = 0;
	exec->slacks_stale = true;
	bp_qrun_ref_order(run);
	shard->counts_throttles++;
	g_hash_table_add(shard->throttles, throttle);
	shard->options.executors->throttle(shard->options.executors, &target,
	    run->name, run->number, percent, on_throttled, throttle);
}

static bool
is_filler(const bp_qrun_t *run)
{
	return run->task != NULL && run->task->step->spec->filler;
}

static bool
is_serving(const bp_qrun_t *run)
{
	return run->task != NULL && run->task->step->spec->target_ms > 0;
}

/* Returns the fillers of an executor with the processors that they use. */
static GArray *
cpu_shares_of(const bp_qexec_t *exec)
{
	GArray *cpu_shares =
	    g_array_new(FALSE, FALSE, sizeof(bp_filler_usage_t));
	double capacity = MAX(exec->info->cpu_milli, 1);
	guint i;

	for (i = 0; i < exec->runs->len; i++) {
		const bp_qrun_t *run = exec->runs->pdata[i];
		bp_filler_usage_t filler;

		if (!is_filler(run))
			continue;
		filler.image = run->task->step->spec->image;
		filler.cpu_share =
		    CLAMP((double)run->measured / capacity, 0, 1);
		g_array_append_val(cpu_shares, filler);
	}
	return cpu_shares;
}

/* Returns the share of full speed for the fillers that interfere with the same
 * serving tasks as this one. */
static double
common_speed_share(bp_shard_t *shard, const bp_qexec_t *exec,
    const bp_qrun_t *filler, const double *losses)
{
	double capacity = MAX(exec->info->cpu_milli, 1);
	double share = 1;
	guint i;

	for (i = 0; i < exec->runs->len; i++) {
		const bp_qrun_t *run = exec->runs->pdata[i];

		if (!is_serving(run) ||
		    bp_shard_slack_loss(shard, run->task->step,
			filler->task->step, capacity) <= 0)
			continue;
		share =
		    MIN(share, MAX(bp_shard_spare_slack(run), 0) / losses[i]);
	}
	return share;
}

/* Adds the slack that a filler at full speed takes from each serving task. */
static void
add_slack_losses(bp_shard_t *shard, const bp_qexec_t *exec,
    const bp_qrun_t *filler, double *losses)
{
	double capacity = MAX(exec->info->cpu_milli, 1);
	guint i;

	for (i = 0; i < exec->runs->len; i++) {
		const bp_qrun_t *run = exec->runs->pdata[i];

		if (is_serving(run))
			losses[i] += bp_shard_slack_loss(shard, run->task->step,
			    filler->task->step, capacity);
	}
}

/* Returns the changes of CPU shares since the last sample of the executor. */
static GArray *
changes_of(const bp_qexec_t *exec, const GArray *cpu_shares)
{
	GArray *changes = g_array_new(FALSE, FALSE, sizeof(bp_filler_usage_t));
	guint i;

	g_array_append_vals(changes, cpu_shares->data, cpu_shares->len);
	for (i = 0; i < exec->filler_usage->len; i++) {
		bp_filler_usage_t before =
		    g_array_index(exec->filler_usage, bp_filler_usage_t, i);

		before.cpu_share = -before.cpu_share;
		g_array_append_val(changes, before);
	}
	return changes;
}

/* Keeps CPU shares until the next sample; images are interned because jobs may
 * be freed before. */
static void
keep_cpu_shares(bp_qexec_t *exec, const GArray *cpu_shares)
{
	guint i;

	g_array_set_size(exec->filler_usage, 0);
	for (i = 0; i < cpu_shares->len; i++) {
		bp_filler_usage_t copy =
		    g_array_index(cpu_shares, bp_filler_usage_t, i);

		copy.image = g_intern_string(copy.image);
		g_array_append_val(exec->filler_usage, copy);
	}
}

/* Returns the slack that a serving task would have without its fillers. */
static double
slack_alone(bp_shard_t *shard, const bp_qrun_t *run, double slack,
    const GArray *cpu_shares)
{
	const char *image = run->task->step->spec->image;
	guint i;

	for (i = 0; i < cpu_shares->len; i++) {
		const bp_filler_usage_t *filler =
		    &g_array_index(cpu_shares, bp_filler_usage_t, i);

		slack += filler->cpu_share *
		    bp_filler_model_weight(
			shard->filler_model, image, filler->image);
	}
	return slack;
}

/* Updates the interference model from the tail latencies of a poll. Returns the
 * largest tail latency as a share of its target. */
static double
learn(bp_qexec_t *exec, bool compare)
{
	GArray *cpu_shares = cpu_shares_of(exec);
	GArray *changes = changes_of(exec, cpu_shares);
	double worst = 0;
	guint i;

	for (i = 0; i < exec->runs->len; i++) {
		bp_qrun_t *run = exec->runs->pdata[i];
		const Bp__Work__Step *spec;
		double slack;
		double alone;

		if (!is_serving(run) || run->measured <= 0)
			continue;
		spec = run->task->step->spec;
		slack = MIN((double)spec->target_ms / run->measured, SLACK_MAX);
		if (compare && run->last_slack > 0)
			bp_filler_model_add_sample(exec->shard->filler_model,
			    spec->image, run->last_slack - slack, changes);
		run->last_slack = slack;
		alone = slack_alone(exec->shard, run, slack, cpu_shares);
		run->solo_slack = run->solo_slack > 0
		    ? run->solo_slack + SLACK_RATE * (alone - run->solo_slack)
		    : alone;
		worst = MAX(worst, 1 / slack);
	}
	keep_cpu_shares(exec, cpu_shares);
	g_array_unref(cpu_shares);
	g_array_unref(changes);
	return worst;
}

/* Tells whether a filler interferes with a serving task whose tail latency is
 * near its target. */
static bool
interferes_with_overrun(const bp_qexec_t *exec, const bp_qrun_t *filler)
{
	double capacity = MAX(exec->info->cpu_milli, 1);
	guint i;

	for (i = 0; i < exec->runs->len; i++) {
		const bp_qrun_t *run = exec->runs->pdata[i];

		if (is_serving(run) &&
		    (double)run->measured >
			OVERRUN_SHARE * run->task->step->spec->target_ms &&
		    bp_shard_slack_loss(exec->shard, run->task->step,
			filler->task->step, capacity) > 0)
			return true;
	}
	return false;
}

/*
 * Reduces a predicted speed limit when measured latencies contradict it: a tail
 * latency near its target halves the fillers that interfere with its task, one
 * that stays there pauses them, and at last all fillers.
 */
static uint32_t
limit_by_overruns(
    const bp_qexec_t *exec, const bp_qrun_t *run, uint32_t percent)
{
	bool interferes = exec->consecutive_overruns > 0 &&
	    interferes_with_overrun(exec, run);

	if (exec->consecutive_overruns >= OVERRUNS_TO_PAUSE_ALL ||
	    (interferes && exec->consecutive_overruns >= OVERRUNS_TO_PAUSE))
		return 0;
	if (interferes)
		percent = MIN(percent, MIN(run->speed_percent, SPEED_FULL) / 2);
	return percent < SPEED_MIN ? 0 : percent;
}

/*
 * Throttles the fillers of an executor. Those that interfere with the same
 * serving tasks get the same speed, as far as the predicted tail latencies
 * allow: a step ends with its slowest task, so one paused filler would delay
 * all the others.
 */
void
bp_shard_throttle_fillers(bp_qexec_t *exec)
{
	int64_t now_ms = bp_shard_now_ms(exec->shard);
	double *losses;
	double worst;
	guint i;

	if (now_ms - exec->sampled_ms < SAMPLE_PERIOD_MS)
		return;
	worst = learn(exec, now_ms - exec->sampled_ms < SAMPLE_GAP_MAX_MS);
	exec->sampled_ms = now_ms;
	exec->slacks_stale = true;
	exec->consecutive_overruns =
	    worst > OVERRUN_SHARE ? exec->consecutive_overruns + 1 : 0;
	losses = g_new0(double, exec->runs->len + 1);
	for (i = 0; i < exec->runs->len; i++) {
		const bp_qrun_t *run = exec->runs->pdata[i];

		if (is_filler(run))
			add_slack_losses(exec->shard, exec, run, losses);
	}
	for (i = 0; i < exec->runs->len; i++) {
		bp_qrun_t *run = exec->runs->pdata[i];
		double share;

		if (!is_filler(run))
			continue;
		share = common_speed_share(exec->shard, exec, run, losses);
		set_speed(exec, run,
		    limit_by_overruns(
			exec, run, (uint32_t)(share * SPEED_FULL)));
	}
	g_free(losses);
}

/* Stops paused fillers, to restart them elsewhere, when little work is lost. */
void
bp_shard_move_paused(bp_qexec_t *exec)
{
	int64_t now_ms = bp_shard_now_ms(exec->shard);
	guint i;

	for (i = 0; i < exec->runs->len; i++) {
		bp_qrun_t *run = exec->runs->pdata[i];

		if (!is_filler(run) || run->speed_percent != 0 ||
		    run->state != BP_QRUN_RUNNING ||
		    now_ms - run->paused_ms < MOVE_AFTER_PAUSED_MS)
			continue;
		if (run->task->step->spec->checkpoints ||
		    run->percent < MOVE_PERCENT_MAX) {
			run->task->last_failed_executor = exec;
			exec->shard->counts_moved++;
			run->task->step->job->times.moves++;
			bp_shard_stop_run(
			    exec->shard, run, "paused because of interference");
		}
	}
}

/* Abandons all throttle orders in flight. */
void
bp_shard_cancel_throttles(bp_shard_t *shard)
{
	GList *throttles = g_hash_table_get_keys(shard->throttles);
	GList *node;

	for (node = throttles; node != NULL; node = node->next) {
		throttle_t *throttle = node->data;

		shard->options.executors->forget(
		    shard->options.executors, throttle);
		bp_qrun_unref_order(throttle->run);
		g_free(throttle);
	}
	g_hash_table_remove_all(shard->throttles);
	g_list_free(throttles);
}
