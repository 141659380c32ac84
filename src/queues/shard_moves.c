#include "queues/fillermove.h"
#include "queues/shard_private.h"

/* Executors that are examined for a place for one filler. */
#define CHOICES 16
/* Share of full speed that makes a place worth a restart. */
#define USEFUL_PERCENT 45
#define PERCENT 100

static bool
is_paused_filler(const bp_qrun_t *run)
{
	return run->task != NULL && run->task->step->spec->filler &&
	    run->state == BP_QRUN_RUNNING && run->speed_percent == 0;
}

/* Returns whether an executor may get starts at all. */
static bool
takes_starts(const bp_qexec_t *exec)
{
	return exec->listed && !exec->info->draining && !exec->unresponsive &&
	    exec->answered_this_epoch && exec->recorded_in_epoch &&
	    exec->unknown_size_runs == 0 &&
	    !bp_qexec_has_unconfirmed_start(exec) &&
	    exec->backoff_until_ms <= bp_shard_now_ms(exec->shard) &&
	    !g_hash_table_contains(exec->shard->zones_out, exec->info->zone);
}

/* Returns whether a filler runs at a useful speed. Where no limit of this owner
 * is in force, the processors that it uses show its speed. */
static bool
is_at_useful_speed(const bp_qrun_t *run)
{
	int64_t cpu_milli = run->task->step->spec->cpu_milli;

	if (run->speed_percent != BP_QRUN_SPEED_UNKNOWN)
		return run->speed_percent >= USEFUL_PERCENT;
	return run->measured * PERCENT >= cpu_milli * USEFUL_PERCENT;
}

/* Returns the fillers of an executor that run at a useful speed. */
static uint32_t
count_busy_places(const bp_qexec_t *exec)
{
	uint32_t places = 0;
	guint i;

	for (i = 0; i < exec->runs->len; i++) {
		const bp_qrun_t *run = exec->runs->pdata[i];

		places += run->task != NULL && run->task->step->spec->filler &&
		    run->state == BP_QRUN_RUNNING && is_at_useful_speed(run);
	}
	return places;
}

static GPtrArray *
list_execs(const bp_shard_t *shard)
{
	GPtrArray *execs = g_ptr_array_new();
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, shard->execs);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		g_ptr_array_add(execs, value);
	return execs;
}

/* Looks at some executors for a free place, and counts the places in use. */
static void
examine_places(
    bp_shard_t *shard, const bp_qrun_t *run, bp_filler_outlook_t *outlook)
{
	GPtrArray *execs = list_execs(shard);
	const char *service = bp_shard_service_of(shard, run->task->step->job);
	bp_qstep_t *step = run->task->step;
	guint at = (guint)(bp_random_unit(&shard->random) * execs->len);
	guint i;

	for (i = 0; i < MIN(execs->len, CHOICES); i++) {
		bp_qexec_t *exec = execs->pdata[(at + i) % execs->len];

		if (exec == run->exec || !takes_starts(exec))
			continue;
		outlook->busy_places += count_busy_places(exec);
		if (bp_qexec_reject_reason(exec, step, service) == NULL)
			outlook->free_speed = MAX(outlook->free_speed,
			    bp_shard_filler_speed(exec, step));
	}
	g_ptr_array_unref(execs);
}

/* Returns whether the tasks of a step go before those of new batch jobs; see
 * bp_shard_ready_steps(). */
static bool
goes_first(bp_shard_t *shard, const bp_qstep_t *step)
{
	const bp_qjob_t *job = step->job;
	double factor = bp_estimates_factor(shard->estimates, job->spec->queue);

	return job->spec->times > 0 ||
	    bp_shard_wall_ms(shard) +
		(int64_t)((double)job->critical_paths_ms[step->number] *
		    factor) <=
	    job->due_ms;
}

static bp_filler_outlook_t
outlook_of(const bp_qrun_t *run)
{
	bp_shard_t *shard = run->exec->shard;
	const Bp__Work__Step *spec = run->task->step->spec;
	bp_filler_outlook_t outlook = {
	    .expected_ms = spec->expected_ms,
	    .percent = run->percent,
	    .checkpoints = spec->checkpoints,
	    .slowed_ms = bp_shard_now_ms(shard) - run->paused_ms,
	    .samples = run->samples_paused,
	    .goes_first = goes_first(shard, run->task->step),
	};

	return outlook;
}

/* Returns whether a filler would move to an idle executor. */
static bool
may_move(bp_filler_outlook_t outlook)
{
	outlook.free_speed = 1;
	return bp_filler_move_decide(&outlook) != BP_FILLER_STAYS;
}

/* Returns why a filler is stopped, a static string; NULL when it stays. */
static const char *
reason_of(bp_filler_move_t move)
{
	switch (move) {
	case BP_FILLER_STAYS:
		return NULL;
	case BP_FILLER_TO_FREE_PLACE:
		return "paused because of interference, place free elsewhere";
	case BP_FILLER_TO_NEXT_PLACE:
		return "paused because of interference, next in turn elsewhere";
	}
	return NULL;
}

/*
 * Stops a paused filler, to restart it elsewhere, when it is likely to end
 * earlier there. After each sample only one: the others may have what it leaves
 * of the slack. Looking for places takes time, so that each sample is used
 * once.
 */
void
bp_shard_move_paused(bp_qexec_t *exec)
{
	bool examined = false;
	guint i;

	if (exec->moves_sampled_ms == exec->sampled_ms)
		return;
	for (i = 0; i < exec->runs->len; i++) {
		bp_qrun_t *run = exec->runs->pdata[i];
		bp_filler_outlook_t outlook;
		const char *reason;

		if (!is_paused_filler(run))
			continue;
		outlook = outlook_of(run);
		if (!may_move(outlook))
			continue;
		examined = true;
		examine_places(exec->shard, run, &outlook);
		reason = reason_of(bp_filler_move_decide(&outlook));
		if (reason != NULL) {
			run->task->last_failed_executor = exec;
			bp_shard_stop_run(exec->shard, run, reason);
			break;
		}
	}
	if (examined)
		exec->moves_sampled_ms = exec->sampled_ms;
}
