#include "queues/shard_private.h"

/* Fillers slow down when a tail reaches this share of its target. */
#define SLOW_PERCENT 85
/* Fillers speed up again below this share. */
#define RECOVER_PERCENT 65
#define STEP_UP_PERCENT 15
#define PACE_FULL 100
#define PACE_MIN 10

typedef struct {
	bp_shard_t *shard;
	bp_qrun_t *run;
} pace_t;

static void
on_paced(const bp_exec_result_t *result, void *data)
{
	pace_t *pace = data;

	g_hash_table_remove(pace->shard->paces, pace);
	if (result->outcome != BP_EXEC_OK)
		pace->run->pace = PACE_FULL + 1; /* not known: told again */
	bp_qrun_unref_order(pace->run);
	g_free(pace);
}

static void
tell_pace(bp_qexec_t *exec, bp_qrun_t *run, uint32_t percent)
{
	bp_shard_t *shard = exec->shard;
	bp_exec_target_t target = {exec->info->address, exec->info->id,
	    exec->info->zone, shard->epoch};
	pace_t *pace;

	if (run->pace == percent || run->orders > 0 ||
	    run->state != BP_QRUN_RUNNING || !bp_shard_may_order(shard))
		return;
	pace = g_new0(pace_t, 1);
	pace->shard = shard;
	pace->run = run;
	run->pace = percent;
	run->orders++;
	g_hash_table_add(shard->paces, pace);
	shard->options.executors->pace(shard->options.executors, &target,
	    run->name, run->number, percent, on_paced, pace);
}

/* Returns the worst measured tail as a share of its target, in percent. */
static int64_t
worst_tail_percent(const bp_qexec_t *exec, bool *serves)
{
	int64_t worst = 0;
	guint i;

	*serves = false;
	for (i = 0; i < exec->runs->len; i++) {
		const bp_qrun_t *run = exec->runs->pdata[i];
		uint32_t target_ms =
		    run->task != NULL ? run->task->step->spec->target_ms : 0;

		if (target_ms == 0)
			continue;
		*serves = true;
		worst = MAX(worst, run->figure * 100 / target_ms);
	}
	return worst;
}

/* Paces the fillers of an executor by the tails of its serving tasks. */
void
bp_shard_pace(bp_qexec_t *exec)
{
	bool serves;
	int64_t worst = worst_tail_percent(exec, &serves);
	guint i;

	for (i = 0; i < exec->runs->len; i++) {
		bp_qrun_t *run = exec->runs->pdata[i];
		uint32_t pace = MIN(run->pace, PACE_FULL);

		if (run->task == NULL || !run->task->step->spec->filler)
			continue;
		if (worst >= SLOW_PERCENT)
			pace = pace / 2 < PACE_MIN ? 0 : pace / 2;
		else if (worst < RECOVER_PERCENT || !serves)
			pace = MIN(pace + STEP_UP_PERCENT, PACE_FULL);
		tell_pace(exec, run, pace);
	}
}

/* Drops all pace orders in flight. */
void
bp_shard_forget_paces(bp_shard_t *shard)
{
	GList *paces = g_hash_table_get_keys(shard->paces);
	GList *node;

	for (node = paces; node != NULL; node = node->next) {
		pace_t *pace = node->data;

		shard->options.executors->forget(
		    shard->options.executors, pace);
		bp_qrun_unref_order(pace->run);
		g_free(pace);
	}
	g_hash_table_remove_all(shard->paces);
	g_list_free(paces);
}
