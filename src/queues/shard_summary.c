#include "queues/shard_private.h"

#include <stdio.h>
#include <string.h>

#define US_PER_MS 1000
#define MILLI 1000
#define SPEED_FULL 100

/* Sums that one log line shows. */
typedef struct {
	uint64_t cpu_milli;
	uint64_t used_milli;
	uint32_t fillers;
	uint32_t speed_percent; /* speed limits of the fillers in percent, added
				   up */
	uint32_t serving;
	uint32_t over_target; /* serving tasks over their target */
	uint32_t waiting;
	uint32_t ready; /* waiting, in ready steps */
	uint32_t urgent; /* ready, of the first priority */
	GPtrArray *causes; /* bp_qwait_cause_t, of the ready tasks */
	GPtrArray *urgent_causes; /* the same, of the first priority */
} summary_t;

static void
add_exec(summary_t *sum, const bp_qexec_t *exec)
{
	guint i;

	sum->cpu_milli += exec->info->cpu_milli;
	sum->used_milli += exec->cpu_used;
	for (i = 0; i < exec->runs->len; i++) {
		const bp_qrun_t *run = exec->runs->pdata[i];
		const Bp__Work__Step *spec;

		if (run->task == NULL)
			continue;
		spec = run->task->step->spec;
		sum->fillers += spec->filler;
		sum->speed_percent +=
		    spec->filler ? MIN(run->speed_percent, SPEED_FULL) : 0;
		sum->serving += spec->target_ms > 0;
		sum->over_target +=
		    spec->target_ms > 0 && run->measured > spec->target_ms;
	}
}

/* Returns why a ready step waits. Reasons of the last round are valid only
 * while rounds may start tasks. */
static const char *
wait_reason(const bp_shard_t *shard, const bp_qstep_t *step)
{
	if (!bp_shard_may_start(shard))
		return "store_unavailable";
	return step->reason != NULL ? step->reason : "turn";
}

static void
add_job(summary_t *sum, const bp_shard_t *shard, const bp_qjob_t *job)
{
	int64_t wall_ms = bp_shard_wall_ms(shard);
	uint32_t i;

	for (i = 0; i < job->n_steps * job->occurrences; i++) {
		const bp_qstep_t *step = &job->steps[i];

		sum->waiting += step->waiting_tasks;
		if (!bp_qstep_ready(step, wall_ms))
			continue;
		sum->ready += step->waiting_tasks;
		if (step->waiting_tasks == 0)
			continue;
		bp_qwait_causes_add(
		    sum->causes, wait_reason(shard, step), step->waiting_tasks);
		if (job->spec->priority != 0)
			continue;
		sum->urgent += step->waiting_tasks;
		bp_qwait_causes_add(sum->urgent_causes,
		    wait_reason(shard, step), step->waiting_tasks);
	}
}

/* Logs the number of tasks that wait for each reason. */
static void
log_causes(
    const bp_shard_t *shard, const char *message, const GPtrArray *causes)
{
	GString *text = g_string_new("");
	guint i;

	for (i = 0; i < causes->len; i++) {
		const bp_qwait_cause_t *cause = causes->pdata[i];

		g_string_append_printf(text, "%s%s=%u", i > 0 ? " " : "",
		    cause->name, cause->amount);
	}
	if (causes->len > 0)
		bp_log(shard->options.logger, BP_LOG_INFO, BP_SHARD_MODULE,
		    message, "reasons", text->str, NULL);
	g_string_free(text, TRUE);
}

static bp_qsummary_counts_t
current_counts(const bp_shard_t *shard)
{
	bp_qsummary_counts_t counts = {.started = shard->counts_started,
	    .done = shard->counts_done,
	    .failed = shard->counts_failed,
	    .lapsed = shard->counts_lapsed,
	    .stopped = shard->counts_stopped,
	    .moved = shard->counts_moved,
	    .rounds = shard->counts_rounds,
	    .offered = shard->counts_offered,
	    .examined = shard->counts_examined,
	    .compared = shard->counts_compared,
	    .rounds_us = shard->rounds_us,
	    .ordering_us = shard->ordering_us,
	    .delayed_ms = shard->rounds_delayed_ms};

	memcpy(counts.batch_starts, shard->counts_batch_starts,
	    sizeof(counts.batch_starts));
	return counts;
}

/* Logs the ready batch tasks of the last round by the outlook of their jobs,
 * and the starts of batch tasks since the last summary in the same way. */
static void
log_batch(const bp_shard_t *shard, const bp_qsummary_counts_t *now)
{
	static const bp_outlook_t outlooks[] = {
	    BP_OUTLOOK_IN_TIME, BP_OUTLOOK_LATE, BP_OUTLOOK_NONE};
	static const char *const names[] = {"in_time", "late", "no_value"};
	GString *text = g_string_new("");
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(outlooks); i++) {
		bp_outlook_t outlook = outlooks[i];

		g_string_append_printf(text, "%s%s=%u+%u started=%u",
		    i > 0 ? " " : "", names[i], shard->ready_begun[outlook],
		    shard->ready_new[outlook],
		    (unsigned)(now->batch_starts[outlook] -
			shard->last_summary.batch_starts[outlook]));
	}
	bp_log(shard->options.logger, BP_LOG_INFO, BP_SHARD_MODULE,
	    "ready batch tasks", "outlook", text->str, NULL);
	g_string_free(text, TRUE);
}

/* Logs how long the steps of each queue take, as a multiple of what their jobs
 * declare. */
static void
log_factors(const bp_shard_t *shard)
{
	GString *text = g_string_new("");

	bp_estimates_describe(shard->estimates, text);
	if (text->len > 0)
		bp_log(shard->options.logger, BP_LOG_INFO, BP_SHARD_MODULE,
		    "durations of steps", "factors", text->str, NULL);
	g_string_free(text, TRUE);
}

/* Logs what rounds have cost since the last summary: the steps that they tried
 * to place, the executors that they looked at, and how long a round was held
 * back on average. */
static void
log_rounds(const bp_shard_t *shard, const bp_qsummary_counts_t *now)
{
	const bp_qsummary_counts_t *before = &shard->last_summary;
	uint64_t rounds = now->rounds - before->rounds;
	char text[192];

	if (rounds == 0)
		return;
	snprintf(text, sizeof(text),
	    "rounds=%u steps=%u examined=%u compared=%u ordering_ms=%u "
	    "mean_delay_ms=%u",
	    (unsigned)rounds, (unsigned)(now->offered - before->offered),
	    (unsigned)(now->examined - before->examined),
	    (unsigned)(now->compared - before->compared),
	    (unsigned)((now->ordering_us - before->ordering_us) / US_PER_MS),
	    (unsigned)((uint64_t)(now->delayed_ms - before->delayed_ms) /
		rounds));
	bp_log(shard->options.logger, BP_LOG_INFO, BP_SHARD_MODULE,
	    "cost of rounds", "state", text, NULL);
}

/* Logs the shard's work since the last summary and the latest delay of a
 * tick. */
static void
log_work(bp_shard_t *shard)
{
	const bp_qsummary_counts_t *before = &shard->last_summary;
	bp_qsummary_counts_t now = current_counts(shard);
	uint32_t unstored_execs;
	int64_t unstored_ms = bp_shard_unstored_ends_ms(shard, &unstored_execs);
	char text[256];

	snprintf(text, sizeof(text),
	    "started=%u done=%u failed=%u lapsed=%u stopped=%u moved=%u "
	    "rounds=%u rounds_ms=%u lag_ms=%u unstored_ends=%u "
	    "unstored_ends_ms=%u",
	    (unsigned)(now.started - before->started),
	    (unsigned)(now.done - before->done),
	    (unsigned)(now.failed - before->failed),
	    (unsigned)(now.lapsed - before->lapsed),
	    (unsigned)(now.stopped - before->stopped),
	    (unsigned)(now.moved - before->moved),
	    (unsigned)(now.rounds - before->rounds),
	    (unsigned)((now.rounds_us - before->rounds_us) / US_PER_MS),
	    (unsigned)MAX(shard->lag_ms, 0), unstored_execs,
	    (unsigned)unstored_ms);
	bp_log(shard->options.logger, BP_LOG_INFO, BP_SHARD_MODULE, "work done",
	    "state", text, NULL);
	log_rounds(shard, &now);
	log_batch(shard, &now);
	log_factors(shard);
	shard->last_summary = now;
	shard->lag_ms = 0;
}

/* Logs the state of the shard, why tasks wait, and the work since the last
 * summary. */
void
bp_shard_log_summary(bp_shard_t *shard)
{
	summary_t sum = {.causes = g_ptr_array_new_with_free_func(g_free),
	    .urgent_causes = g_ptr_array_new_with_free_func(g_free)};
	GHashTableIter iter;
	gpointer value;
	char text[256];
	guint i;

	g_hash_table_iter_init(&iter, shard->execs);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		add_exec(&sum, value);
	for (i = 0; i < shard->active_jobs->len; i++)
		add_job(&sum, shard, shard->active_jobs->pdata[i]);
	snprintf(text, sizeof(text),
	    "jobs=%u waiting=%u ready=%u urgent=%u cores=%u/%u fillers=%u "
	    "pace=%u%% serving=%u over=%u starts=%u/%u",
	    shard->active_jobs->len, sum.waiting, sum.ready, sum.urgent,
	    (unsigned)(sum.used_milli / MILLI),
	    (unsigned)(sum.cpu_milli / MILLI), sum.fillers,
	    sum.fillers > 0 ? sum.speed_percent / sum.fillers : 0, sum.serving,
	    sum.over_target, shard->starts_in_flight,
	    bp_shard_starts_limit(shard));
	bp_log(shard->options.logger, BP_LOG_INFO, BP_SHARD_MODULE, "summary",
	    "state", text, NULL);
	log_causes(shard, "ready tasks wait", sum.causes);
	log_causes(shard, "urgent tasks wait", sum.urgent_causes);
	log_work(shard);
	g_ptr_array_unref(sum.causes);
	g_ptr_array_unref(sum.urgent_causes);
}
