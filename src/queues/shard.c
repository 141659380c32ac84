#include "queues/shard_private.h"

#include <stdio.h>
#include <string.h>

/* Delay before a round, so that answers that arrive together share one. */
#define ROUND_GAP_MS 4
/* Minimum pause after a round, as a multiple of its duration: rounds take at
 * most a fifth of the owner's time. */
#define ROUND_PAUSE_FACTOR 4
#define US_PER_MS 1000
/* Period of checks of leases, reconciliation, due times and ended jobs. */
#define TICK_MS 100
#define MS_PER_S 1000
/* The filler interference model is fitted every 0.5 s. */
#define FIT_TICKS 5
/* A summary is logged every 2 s. */
#define SUMMARY_TICKS 20

/* Returns the monotonic time in ms. */
int64_t
bp_shard_now_ms(const bp_shard_t *shard)
{
	return bp_clock_mono_ms(shard->options.clock);
}

/* Returns the Unix time in ms, for due times and display only. */
int64_t
bp_shard_wall_ms(const bp_shard_t *shard)
{
	return bp_clock_wall_ms(shard->options.clock);
}

/* Returns whether this node may send orders; see BP_SHARD_ORDER_GRACE_MS. */
bool
bp_shard_may_order(const bp_shard_t *shard)
{
	return shard->phase == BP_SHARD_OWNED &&
	    bp_shard_now_ms(shard) - shard->confirmed_ms <
	    BP_SHARD_ORDER_GRACE_MS;
}

/*
 * Returns whether tasks may be started: only while no other node can own the
 * shard. A new incarnation of an executor knows no epoch and would accept a
 * previous owner's start of a task that a later owner knows to be done.
 */
bool
bp_shard_may_start(const bp_shard_t *shard)
{
	return shard->phase == BP_SHARD_OWNED &&
	    bp_shard_membership_valid(shard);
}

/* Requests that the next append stores the job's progress. */
void
bp_shard_mark_dirty(bp_shard_t *shard, bp_qjob_t *job)
{
	if (!job->dirty) {
		job->dirty = true;
		g_ptr_array_add(shard->dirty_jobs, job);
	}
	if (shard->writer != NULL)
		bp_record_writer_request(shard->writer, false);
}

static gboolean
on_round(void *data)
{
	bp_shard_t *shard = data;
	int64_t start_us = bp_clock_mono_us(shard->options.clock);

	shard->round_timer = 0;
	shard->rounds_delayed_ms +=
	    bp_shard_now_ms(shard) - shard->round_wanted_ms;
	if (bp_shard_may_start(shard))
		bp_shard_run_round(shard);
	shard->round_us = bp_clock_mono_us(shard->options.clock) - start_us;
	shard->rounds_us += shard->round_us;
	shard->counts_rounds++;
	return G_SOURCE_REMOVE;
}

/* Schedules a scheduling round unless one is due already. */
void
bp_shard_plan_round(bp_shard_t *shard, uint32_t delay_ms)
{
	uint32_t pause_ms =
	    (uint32_t)(shard->round_us * ROUND_PAUSE_FACTOR / US_PER_MS);

	if (shard->round_timer != 0 || shard->phase != BP_SHARD_OWNED)
		return;
	shard->round_wanted_ms = bp_shard_now_ms(shard);
	shard->round_timer = bp_clock_add_timer(shard->options.clock,
	    MAX(delay_ms, ROUND_GAP_MS + pause_ms), on_round, shard);
}

static void
stop_runs(bp_shard_t *shard, bp_qjob_t *job)
{
	uint32_t i;
	uint32_t k;

	for (i = 0; i < job->n_steps * job->occurrences; i++) {
		for (k = 0; k < job->steps[i].spec->tasks; k++) {
			bp_qrun_t *run = job->steps[i].tasks[k].run;

			if (run == NULL)
				continue;
			if (run->state == BP_QRUN_PLANNED) {
				bp_qrun_drop_plan(run);
				continue;
			}
			bp_qrun_detach_task(run);
			bp_shard_stop_run(shard, run, "job has ended");
			/* The lease checks repeat a stop that was not sent. */
			run->state = BP_QRUN_STOPPING;
		}
	}
}

/* Sets the final state of a job and stops its runs. */
void
bp_shard_end_job(bp_shard_t *shard, bp_qjob_t *job, Bp__Work__JobState state)
{
	job->state = state;
	job->ended_ms = bp_shard_wall_ms(shard);
	g_ptr_array_remove(shard->active_jobs, job);
	bp_shard_release_job_reservations(shard, job);
	bp_shard_drop_job_rooms(shard, job);
	stop_runs(shard, job);
	bp_qjob_update_work(
	    job, bp_estimates_work(shard->estimates, job->queue_key));
	bp_shard_log_job_end(shard, job);
}

static gboolean
on_lost(void *data)
{
	bp_shard_t *shard = data;

	shard->takeover_timer = 0;
	shard->options.lost(shard, shard->options.data);
	return G_SOURCE_REMOVE;
}

/* A later epoch was seen: no more orders are sent or records stored. */
void
bp_shard_set_lost(bp_shard_t *shard)
{
	if (shard->phase == BP_SHARD_LOST)
		return;
	bp_log(shard->options.logger, BP_LOG_NOTICE, BP_SHARD_MODULE,
	    "the shard has a later owner", NULL);
	shard->phase = BP_SHARD_LOST;
	if (shard->takeover_timer == 0)
		shard->takeover_timer =
		    bp_clock_add_timer(shard->options.clock, 0, on_lost, shard);
}

static void
remove_idle_execs(bp_shard_t *shard)
{
	GList *values = g_hash_table_get_values(shard->execs);
	GList *entry;

	for (entry = values; entry != NULL; entry = entry->next) {
		bp_qexec_t *exec = entry->data;

		if (exec->listed || exec->runs->len > 0 ||
		    exec->polls_in_flight > 0 || exec->orders_in_flight > 0 ||
		    exec->recording || !shard->reconciled)
			continue;
		bp_shard_drop_exec(shard, exec);
		bp_record_writer_request(shard->writer, false);
	}
	g_list_free(values);
}

static void
remove_expired_jobs(bp_shard_t *shard)
{
	int64_t expired_before_ms = bp_shard_wall_ms(shard) -
	    (int64_t)shard->options.limits.status_keep_s * MS_PER_S;
	GList *values = g_hash_table_get_values(shard->jobs);
	GList *entry;

	for (entry = values; entry != NULL; entry = entry->next) {
		bp_qjob_t *job = entry->data;

		if (bp_qjob_ended(job) && job->stored == job->state &&
		    !job->dirty && job->waiters == NULL &&
		    job->ended_ms < expired_before_ms &&
		    !bp_shard_appends_job(shard, job)) {
			bp_shard_drop_job(shard, job);
			bp_record_writer_request(shard->writer, false);
		}
	}
	g_list_free(values);
}

/* See the header. The tick that is due is included. */
int64_t
bp_shard_lateness_ms(const bp_shard_t *shard)
{
	int64_t overdue_ms = bp_shard_now_ms(shard) - shard->tick_due_ms;

	return shard->late_ms + MAX(overdue_ms, 0);
}

/* A late tick shows for how long the event loop was blocked. */
static void
measure_tick_lag(bp_shard_t *shard)
{
	int64_t now_ms = bp_shard_now_ms(shard);

	bp_shard_record_lag(shard, now_ms - shard->tick_due_ms);
	shard->late_ms = bp_shard_lateness_ms(shard);
	shard->tick_due_ms = now_ms + TICK_MS;
}

static gboolean
on_tick(void *data)
{
	bp_shard_t *shard = data;

	measure_tick_lag(shard);
	if (shard->phase == BP_SHARD_READING ||
	    shard->phase == BP_SHARD_CLAIMING)
		bp_shard_check_takeover(shard);
	if (shard->phase != BP_SHARD_OWNED && shard->phase != BP_SHARD_RELEASED)
		return G_SOURCE_CONTINUE;
	bp_shard_refuse_overdue(shard);
	bp_cancelled_ids_expire(shard->cancelled_ids, bp_shard_now_ms(shard));
	if (shard->phase == BP_SHARD_RELEASED)
		return G_SOURCE_CONTINUE;
	bp_shard_check_leases(shard);
	bp_shard_observe_urgent(shard);
	bp_shard_check_fitness(shard);
	bp_shard_ask_predecessors(shard);
	bp_shard_check_reconciliation(shard);
	if (shard->ticks % FIT_TICKS == 0)
		bp_filler_model_fit(shard->filler_model);
	if (++shard->ticks % SUMMARY_TICKS == 0)
		bp_shard_log_summary(shard);
	if (!bp_record_writer_idle(shard->writer))
		return G_SOURCE_CONTINUE;
	if (!shard->reconciled)
		bp_record_writer_request(shard->writer, false);
	remove_idle_execs(shard);
	remove_expired_jobs(shard);
	/* A refused append may have held what nothing else requests again. */
	if (bp_shard_needs_append(shard))
		bp_record_writer_request(shard->writer, false);
	bp_shard_plan_round(shard, 0);
	return G_SOURCE_CONTINUE;
}

/* Creates a shard and starts to take it over. */
bp_shard_t *
bp_shard_new(const bp_shard_options_t *options)
{
	bp_shard_t *shard = g_new0(bp_shard_t, 1);

	shard->options = *options;
	shard->jobs =
	    g_hash_table_new_full(g_str_hash, g_str_equal, NULL, bp_qjob_free);
	shard->execs = g_hash_table_new_full(
	    g_str_hash, g_str_equal, g_free, bp_qexec_free);
	shard->zones_out =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	shard->batch_accepted_ms =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	shard->orders = g_hash_table_new(NULL, NULL);
	shard->polls = g_hash_table_new(NULL, NULL);
	shard->throttles = g_hash_table_new(NULL, NULL);
	shard->customers = bp_customers_new(options->number, options->shards);
	bp_random_init(&shard->random,
	    bp_hash_text(
		options->address, (uint64_t)bp_clock_mono_us(options->clock)));
	shard->estimates = bp_estimates_new();
	if (options->limits.urgent_headroom)
		shard->headroom = bp_headroom_new();
	shard->filler_model = bp_filler_model_new();
	shard->reserved_execs = g_ptr_array_new();
	if (options->limits.large_task_planning)
		shard->large = bp_shard_large_new();
	shard->start_limiters = g_hash_table_new_full(
	    g_str_hash, g_str_equal, NULL, bp_qstart_limiter_free);
	shard->active_jobs = g_ptr_array_new();
	shard->dirty_jobs = g_ptr_array_new();
	shard->new_jobs = g_ptr_array_new();
	shard->predecessors = bp_shard_predecessors_new();
	shard->cancelled_ids = bp_cancelled_ids_new();
	shard->deleted_keys =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	shard->deleting_keys =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	shard->in_flight =
	    g_array_new(FALSE, FALSE, sizeof(bp_qappended_job_t));
	shard->confirmed_ms = options->membership_confirmed_ms;
	shard->takeover_start_ms = bp_shard_now_ms(shard);
	shard->tick_due_ms = bp_shard_now_ms(shard) + TICK_MS;
	shard->tick_timer =
	    bp_clock_add_timer(shard->options.clock, TICK_MS, on_tick, shard);
	bp_shard_start_takeover(shard);
	return shard;
}

/* Answers all pending calls; only a successor knows their outcome. */
static void
answer_pending_calls(bp_shard_t *shard)
{
	bp_shard_answer_t answer = {BP_EUNKNOWN,
	    BP__WORK__JOB_STATE__JOB_QUEUED, 0, "the shard has a later owner",
	    0};
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, shard->jobs);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		bp_shard_answer_waiters(value, false, &answer);
		bp_shard_answer_waiters(value, true, &answer);
	}
}

/* Frees a shard. NULL is allowed. */
void
bp_shard_free(bp_shard_t *shard)
{
	if (shard == NULL)
		return;
	answer_pending_calls(shard);
	bp_shard_stop_takeover(shard);
	bp_shard_cancel_orders(shard);
	bp_shard_cancel_polls(shard);
	bp_shard_cancel_throttles(shard);
	bp_record_writer_free(shard->writer);
	bp_estimates_free(shard->estimates);
	bp_headroom_free(shard->headroom);
	bp_filler_model_free(shard->filler_model);
	bp_clock_cancel_timer(shard->options.clock, &shard->round_timer);
	bp_clock_cancel_timer(shard->options.clock, &shard->tick_timer);
	bp_shard_large_free(shard->large);
	g_hash_table_unref(shard->execs);
	g_hash_table_unref(shard->start_limiters);
	g_hash_table_unref(shard->batch_accepted_ms);
	g_ptr_array_unref(shard->reserved_execs);
	g_hash_table_unref(shard->jobs);
	g_hash_table_unref(shard->zones_out);
	g_hash_table_unref(shard->orders);
	g_hash_table_unref(shard->polls);
	g_hash_table_unref(shard->throttles);
	g_ptr_array_unref(shard->active_jobs);
	g_ptr_array_unref(shard->dirty_jobs);
	g_ptr_array_unref(shard->new_jobs);
	g_ptr_array_unref(shard->predecessors);
	bp_cancelled_ids_free(shard->cancelled_ids);
	g_hash_table_unref(shard->deleted_keys);
	g_hash_table_unref(shard->deleting_keys);
	g_array_unref(shard->in_flight);
	bp_customers_free(shard->customers);
	g_free(shard);
}

/* Returns the shard's number, which is also that of its partition. */
uint32_t
bp_shard_number(const bp_shard_t *shard)
{
	return shard->options.number;
}

/* Returns the epoch that was claimed or is being claimed. */
uint64_t
bp_shard_epoch(const bp_shard_t *shard)
{
	return shard->epoch;
}

/* Returns whether the shard's state is loaded and it accepts calls. */
bool
bp_shard_ready(const bp_shard_t *shard)
{
	return shard->phase == BP_SHARD_OWNED;
}

/* See the header. */
void
bp_shard_release(bp_shard_t *shard)
{
	if (shard->phase == BP_SHARD_READING ||
	    shard->phase == BP_SHARD_CLAIMING)
		bp_shard_stop_takeover(shard);
	if (shard->phase == BP_SHARD_OWNED)
		shard->phase = BP_SHARD_RELEASED;
}

/* Returns whether the shard was released and starts no more tasks. */
bool
bp_shard_released(const bp_shard_t *shard)
{
	return shard->phase == BP_SHARD_RELEASED;
}

/* Returns whether no records are pending. */
bool
bp_shard_idle(const bp_shard_t *shard)
{
	return shard->writer == NULL || shard->phase == BP_SHARD_LOST ||
	    bp_record_writer_idle(shard->writer);
}

/* See the header. */
bool
bp_shard_confirm_membership(bp_shard_t *shard, int64_t sent_mono_ms)
{
	if (!bp_shard_membership_valid(shard))
		return false;
	shard->confirmed_ms = MAX(shard->confirmed_ms, sent_mono_ms);
	return true;
}

/* Returns whether the membership is valid: no other node can own the shard. */
bool
bp_shard_membership_valid(const bp_shard_t *shard)
{
	return bp_shard_now_ms(shard) - shard->confirmed_ms <
	    BP_SHARD_MEMBERSHIP_MS;
}

/* Sets the configuration in force, which must live until the next call. */
void
bp_shard_set_catalog(bp_shard_t *shard, const bp_catalog_t *catalog)
{
	shard->catalog = catalog;
	bp_customers_set_catalog(shard->customers, catalog);
	bp_shard_resolve_queues(shard);
	bp_shard_plan_round(shard, 0);
}

/* Takes a zone out of service, where nothing starts then, or puts it back. */
void
bp_shard_set_zone(bp_shard_t *shard, const char *zone, bool out)
{
	if (out)
		g_hash_table_add(shard->zones_out, g_strdup(zone));
	else
		g_hash_table_remove(shard->zones_out, zone);
	bp_shard_plan_round(shard, 0);
}

static bp_executor_info_t *
copy_info(const bp_executor_info_t *info)
{
	bp_executor_info_t *copy = g_new(bp_executor_info_t, 1);

	*copy = *info;
	copy->id = g_strdup(info->id);
	copy->service = g_strdup(info->service);
	copy->address = g_strdup(info->address);
	copy->zone = g_strdup(info->zone);
	copy->rack = g_strdup(info->rack);
	copy->labels = g_strdupv(info->labels);
	return copy;
}

/* Adds or updates an executor of this shard from its list entry. */
void
bp_shard_update_executor(bp_shard_t *shard, const bp_executor_info_t *info)
{
	bp_qexec_t *exec;

	if (shard->phase != BP_SHARD_OWNED)
		return;
	exec = bp_qexec_get(shard, info->id);
	bp_executor_info_free(exec->info);
	exec->info = copy_info(info);
	exec->listed = true;
	if (info->born_ms != exec->born_ms && exec->born_ms != 0) {
		exec->answered_ms = 0;
		bp_shard_poll(exec, 0);
	}
	if (!exec->answered_this_epoch && exec->polls_in_flight == 0 &&
	    exec->poll_timer == 0)
		bp_shard_poll(exec, 0);
}

/* An executor has left the list; its runs are still managed. */
void
bp_shard_remove_executor(bp_shard_t *shard, const char *id)
{
	bp_qexec_t *exec = g_hash_table_lookup(shard->execs, id);

	if (exec != NULL)
		exec->listed = false;
}

/* See the header. */
void
bp_shard_executors_listed(bp_shard_t *shard)
{
	if (shard->phase != BP_SHARD_OWNED)
		return;
	bp_shard_check_reconciliation(shard);
}
