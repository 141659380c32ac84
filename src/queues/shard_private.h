#ifndef BP_QUEUES_SHARD_PRIVATE_H
#define BP_QUEUES_SHARD_PRIVATE_H

#include "bulrushpost/limiter.h"
#include "bulrushpost/shard.h"
#include "queues/batchorder.h"
#include "queues/cancelledids.h"
#include "queues/customers.h"
#include "queues/estimates.h"
#include "queues/headroom.h"
#include "queues/job.h"
#include "queues/jobref.h"
#include "queues/jobwork.h"
#include "queues/recordwriter.h"
#include "queues/fillermodel.h"
#include "queues/roomplan.h"

#include <math.h>

#define BP_SHARD_MODULE "shard"
/* Longest lease that an owner grants; executors allow longer ones. */
#define BP_SHARD_LEASE_MS 6000
/* A poll is answered after this time at the latest, also without an end. */
#define BP_SHARD_POLL_WAIT_MS 1500
/* Orders are sent for at most this long after a confirmed membership. */
#define BP_SHARD_ORDER_GRACE_MS 4000
/* Time from sending a start to the deadline that it carries. */
#define BP_SHARD_START_WINDOW_MS 1500
/* An executor whose clock may be further ahead is polled before a start. */
#define BP_SHARD_CLOCK_LAG_MS (BP_SHARD_START_WINDOW_MS / 2)
/* A start is not sent with less of its window left; a poll is on its way. */
#define BP_SHARD_START_LAG_MAX_MS (BP_SHARD_START_WINDOW_MS * 4 / 5)
/* Lateness of this node's event loop within an order that may have cost the
 * answer. */
#define BP_SHARD_BUSY_MS 300
/* Orders in a row that are excused by it: an executor may be down, too. */
#define BP_SHARD_EXCUSED_MAX 3
/* Keys of a shard's records (docs/platform.md); an ID follows a prefix. */
#define BP_SHARD_KEY_OWNER "owner"
#define BP_SHARD_KEY_FILLER_MODEL "pairs"
#define BP_SHARD_KEY_WORKS "works"
#define BP_SHARD_PREFIX_JOB "j/"
#define BP_SHARD_PREFIX_PROGRESS "p/"
#define BP_SHARD_PREFIX_PART "q/" /* followed by ID/part */
#define BP_SHARD_PREFIX_HOLDER "x/"
#define BP_SHARD_PREFIX_CHARS 2
/* Run numbers reserved for each epoch. */
#define BP_SHARD_RUNS_PER_EPOCH 1000

typedef struct bp_qexec bp_qexec_t;

/*
 * Start limiter of one order proxy. Each proxy has a limit of its own, so that
 * a slow one delays no others. Lives as long as the shard.
 */
typedef struct {
	char *proxy; /* the proxy node; "" for this one */
	bp_limiter_t limit; /* of in_flight */
	uint32_t in_flight; /* starts planned or sent */
	uint32_t executors; /* eligible for work in the last round */
	double latency_us; /* of starts; moving average */
} bp_qstart_limiter_t;

typedef enum {
	BP_QRUN_PLANNED, /* the start is sent once the store holds it */
	BP_QRUN_STARTING, /* the start is unanswered */
	BP_QRUN_RUNNING,
	BP_QRUN_STOPPING, /* a stop was sent or is pending */
} bp_qrun_state_t;

/* Speed limit of a filler before this owner has set one: an earlier owner's
 * limit stays in force, and an order without an answer may be. */
#define BP_QRUN_SPEED_UNKNOWN UINT32_MAX

/* A run of a task that exists or may exist on an executor. */
struct bp_qrun {
	bp_qexec_t *exec;
	bp_qstart_limiter_t *start_limiter; /* that its start counts against */
	bp_qtask_t *task; /* NULL once the task no longer needs this run */
	char *name; /* of the task */
	uint64_t number;
	int64_t born_ms; /* incarnation of its executor, when it was planned */
	bp_qrun_state_t state;
	uint32_t cpu_milli;
	uint32_t memory_mib;
	uint32_t accelerators;
	bp_customer_account_t *account;
	bp_customer_size_t size; /* that it has in the account */
	uint32_t orders_in_flight; /* the run is freed after the last */
	bool removed;
	bool in_append; /* BP_QRUN_PLANNED: part of the append in flight */
	bool stop_answered;
	bool size_unknown; /* its job is unknown, and so are its resources */
	uint64_t answered_seq; /* shard's event count at the last answer */
	bool lease_expired; /* kept until a stop is answered */
	int64_t started_ms; /* monotonic */
	bool resumed; /* from a checkpoint */
	int64_t stop_sent_ms; /* monotonic, 0 for never */
	uint32_t percent; /* of its work, as last reported */
	int64_t paused_ms; /* monotonic, since when */
	uint32_t speed_percent; /* limit; 0: paused; BP_QRUN_SPEED_UNKNOWN */
	int64_t speed_since_ms; /* monotonic, of the limit */
	int64_t slowed_ms; /* lost to earlier limits */
	bool adopted; /* started by an earlier owner */
	int64_t adopted_ms; /* monotonic, from an earlier epoch; 0: its limit is
			     * not that of an earlier owner */
	int64_t progress_ms; /* monotonic, when percent last changed */
	int64_t measured; /* tail latency or CPU in use, as last reported */
	double solo_slack; /* learned, without fillers; serving tasks */
	double last_slack; /* at the last sample, 0 for none */
};

/* Latency slack of a serving run that the fillers beside it leave. */
typedef struct {
	const double *weights; /* of its image; see bp_filler_model_weights() */
	double slack;
} bp_qslack_t;

/* Share of its full speed that a filler must have where it is placed. */
typedef enum {
	BP_QSPEED_FULL,
	BP_QSPEED_SLOW, /* its step has waited */
	BP_QSPEEDS
} bp_qspeed_t;

/* A customer's task that may run on an executor which is not reconciled. */
typedef struct {
	char *name; /* of the task */
	bp_customer_account_t *account;
	bp_customer_size_t size;
} bp_qheld_t;
/* An executor that is reserved for a large task from a time on. */
typedef struct {
	bp_qexec_t *exec;
	bp_qstep_t *step;
	bp_room_reservation_t limit; /* indexes are those of the last plan */
	bool kept; /* by the plan that is being applied */
} bp_qroom_t;

/* Planning of large tasks; see shard_largetasks.c. */
typedef struct bp_shard_large bp_shard_large_t;

/* The owner's view of an executor. */
struct bp_qexec {
	bp_shard_t *shard;
	bp_qstart_limiter_t *start_limiter; /* NULL before the first poll */
	bp_executor_info_t *info;
	bool listed; /* in the executor list */
	bool recorded_in_epoch; /* its stored record lets this epoch use it */
	bool stored; /* the store holds a record of it by any epoch */
	int64_t earlier_wait_ms; /* lease wait that earlier owners stored */
	int64_t wait_stored_ms; /* monotonic, when the wait was last stored */
	int64_t ordered_ms; /* monotonic, of the last start or lease */
	bool has_recorded_tasks;
	bool wait_recorded; /* its record holds a wait, so it gets no lease */
	bool recording; /* its record is in the append in flight */
	bp_qrejections_t rejections;
	bool unstorable; /* the store rejects its record for good */
	bool answered_this_epoch; /* a poll */
	bool reconciled; /* earlier owners' starts are known */
	uint32_t unconfirmed_starts; /* whose lease has expired */
	uint32_t unknown_size_runs;
	uint32_t planned_starts; /* that no stored record names yet */
	GPtrArray *possible_tasks; /* bp_qtask_t; until reconciled */
	GPtrArray *held; /* bp_qheld_t; until reconciled */
	bool unresponsive; /* the last poll got no answer */
	int64_t unresponsive_ms; /* monotonic, since when */
	uint32_t excused_polls; /* without answer while this node was busy */
	uint32_t
	    excused_starts; /* the same of starts, since one was answered */
	int64_t start_excused_ms; /* monotonic, of the last of them */
	int64_t born_ms; /* Unix, start of its incarnation */
	uint32_t lives; /* restarts that this owner has seen */
	int64_t clock_ms; /* its clock at its last answer */
	uint64_t answer_event; /* shard's event count at that answer */
	int64_t clock_at_ms; /* monotonic, when that answer arrived */
	int64_t lease_end_ms; /* its clock; latest deadline ever sent */
	int64_t answered_ms; /* monotonic, of the last answered poll */
	uint64_t ends_seen; /* number of the last end that was processed */
	uint64_t ends_storing; /* of the last end that the append covers */
	uint64_t ends_stored; /* of the last end that the store covers */
	uint64_t ends_acked; /* of the last end that it has forgotten */
	int64_t unstored_ms; /* monotonic, since when ends_seen exceeds it */
	GPtrArray *runs; /* bp_qrun_t */
	/* Sums of what its runs request, which may be up to UINT32_MAX each. */
	uint64_t cpu_used;
	uint64_t memory_used;
	uint64_t accelerators_used;
	uint32_t gang_members_placed; /* of the gang that is being placed */
	uint32_t polls_in_flight;
	uint32_t orders_in_flight; /* of its runs */
	uint32_t failures; /* consecutive */
	int64_t failed_ms; /* monotonic, of the last failure */
	int64_t probed_ms; /* monotonic, last probe in quarantine */
	int64_t backoff_until_ms; /* monotonic */
	const char *backoff_reason; /* static */
	/* Job of the start that it refused last as malformed, to be compared
	 * only; NULL: it has carried out another since. */
	const void *refused_job;
	const bp_qstep_t *reserved_for; /* urgent step */
	int64_t reserved_until_ms; /* monotonic */
	bp_qroom_t *room; /* reservation for a large task; NULL */
	int64_t sampled_ms; /* monotonic, of the last tail latency sample */
	uint64_t filler_milli; /* CPU that its fillers request */
	uint32_t serving; /* runs with a tail latency target */
	GArray *slacks; /* bp_qslack_t for each serving run */
	bool slacks_stale; /* slacks must be computed again before use */
	/* Largest request that has the share of its speed, in milli-processors;
	 * by bp_qspeed_t and filler index. Valid unless slacks_stale. */
	uint32_t calm_milli[BP_QSPEEDS][BP_FILLER_WEIGHTS];
	GArray *filler_usage; /* bp_filler_usage_t of the last sample */
	uint32_t consecutive_overruns; /* samples near or above a target */
	guint poll_timer;
};

/* A reason why tasks wait. */
typedef struct {
	const char *name; /* static */
	uint32_t amount; /* of executors or tasks that it concerns */
} bp_qwait_cause_t;

/* A caller whose answer depends on a pending append. */
typedef struct {
	bp_shard_done_t done;
	void *data;
	bool cancel;
	int64_t since_ms; /* monotonic */
} bp_qwaiter_t;

/* A job with a record in the append in flight. */
typedef struct {
	bp_qjob_t *job;
	Bp__Work__JobState state; /* that the append stores */
	bool first_record; /* the job is stored for the first time */
	bool cancel; /* the append stores its cancellation */
	bool partial; /* only some parts of its progress; the rest follows */
} bp_qappended_job_t;

/* Counts at the last summary, which logs the difference. */
typedef struct {
	uint64_t started;
	uint64_t done;
	uint64_t failed;
	uint64_t lapsed;
	uint64_t stopped;
	uint64_t moved;
	uint64_t rounds;
	uint64_t offered;
	uint64_t examined;
	uint64_t compared;
	int64_t rounds_us;
	int64_t ordering_us;
	int64_t delayed_ms;
	uint64_t batch_starts[BP_OUTLOOKS];
} bp_qsummary_counts_t;

typedef enum {
	BP_SHARD_READING, /* listing the records of the partition */
	BP_SHARD_CLAIMING, /* appending the owner record */
	BP_SHARD_OWNED,
	BP_SHARD_RELEASED, /* writes pending records, starts nothing */
	BP_SHARD_LOST
} bp_shard_phase_t;

struct bp_shard {
	bp_shard_options_t options;
	bp_shard_phase_t phase;
	uint64_t epoch;
	bool claim_forced; /* the claim is unconditional */
	bool claimed; /* the forced claim succeeded; reading later records */
	uint64_t claim_sequence; /* of the append that claims the epoch */
	uint64_t end_offset; /* of the records read so far */
	uint64_t claim_end; /* of the partition, after the forced claim */
	GHashTable *loaded_records; /* key to bp_store_record_t */
	char *page_key; /* last key listed; the next page follows it */
	GHashTable *jobs; /* ID to bp_qjob_t */
	GPtrArray *active_jobs; /* bp_qjob_t */
	GPtrArray *dirty_jobs; /* bp_qjob_t with progress to store */
	GPtrArray *new_jobs; /* bp_qjob_t, not stored yet */
	uint64_t jobs_bytes; /* estimate; grows until the next count */
	int64_t jobs_counted_ms; /* of jobs_bytes; 0: never */
	uint64_t counts_refused_memory; /* submissions, for lack of memory */
	bp_cancelled_ids_t *cancelled_ids; /* of jobs that were not known */
	GArray *in_flight; /* bp_qappended_job_t of the append in flight */
	bool append_alone; /* each append holds the records of one job */
	bool exec_alone; /* or of one executor */
	bool probe_due; /* the next append shows whether the store takes any */
	uint64_t stored_appends;
	GHashTable *deleted_keys; /* to delete; set of char * */
	GHashTable *deleting_keys; /* the same, by the append in flight */
	GHashTable *execs; /* ID to bp_qexec_t */
	GPtrArray *reserved_execs; /* bp_qexec_t with reserved capacity */
	bp_shard_large_t *large; /* NULL unless large tasks are planned */
	GHashTable *zones_out;
	/* Service to int64_t, monotonic: its latest acceptance of a job with
	 * fillers, which may have ended. */
	GHashTable *batch_accepted_ms;
	const bp_catalog_t *catalog; /* owned by the node */
	bp_customers_t *customers;
	bp_random_t random; /* for retry times */
	bp_record_writer_t *writer;
	bp_estimates_t *estimates;
	bp_headroom_t *headroom; /* NULL unless urgent work has one */
	bp_filler_model_t *filler_model;
	int64_t learned_stored_ms; /* monotonic, the model and the works */
	GHashTable *orders; /* contexts of orders in flight */
	GHashTable *polls; /* contexts of polls in flight */
	GHashTable *throttles; /* contexts of throttle orders in flight */
	int64_t owned_ms; /* monotonic, when the epoch was claimed */
	GPtrArray *predecessors; /* earlier owners; see shard_predecessors.c */
	bool predecessors_known; /* the list is complete */
	bool orders_stopped; /* no earlier owner sends orders any more */
	int64_t orders_stopped_ms; /* monotonic, since when */
	int64_t asked_ms; /* monotonic, when earlier owners were last asked */
	bool owner_record_due; /* the next append holds the owner record */
	bool owner_record_in_flight;
	int64_t takeover_start_ms; /* monotonic */
	int64_t claim_sent_ms; /* monotonic */
	bool epoch_check_wanted; /* append a record to verify the epoch */
	int64_t confirmed_ms; /* monotonic, of the last confirmed membership */
	int64_t isolated_ms; /* monotonic, start of a likely isolation */
	uint32_t late_ticks; /* consecutive */
	bool unfit_reported[BP_SHARD_UNFIT_KINDS];
	int64_t unstored_reported_ms; /* mono, 0: never */
	bool reconciled;
	uint32_t starts_in_flight;
	int64_t urgent_blocked_ms; /* monotonic, last time by start limits */
	GHashTable *start_limiters; /* proxy node to bp_qstart_limiter_t */
	guint round_timer;
	guint filler_cursor; /* executor that the next filler examines first */
	int64_t round_us; /* duration of the last round */
	uint64_t events; /* polls sent and orders answered; orders them */
	guint tick_timer;
	uint32_t ticks;
	guint takeover_timer;
	uint64_t counts_started;
	uint64_t counts_rejected;
	uint64_t counts_unanswered;
	uint64_t counts_polls;
	uint64_t counts_done;
	uint64_t counts_failed;
	uint64_t counts_lost_runs;
	uint64_t counts_lapsed; /* runs that executors ended with their lease */
	uint64_t counts_throttles;
	uint64_t counts_stopped; /* runs ordered to stop */
	uint64_t counts_moved; /* of these, because of interference */
	uint64_t counts_rounds;
	uint64_t counts_offered; /* steps that rounds tried to place */
	uint64_t counts_refused; /* jobs of customers beyond their share */
	uint64_t counts_refused_lasting; /* long-running jobs */
	uint64_t counts_examined; /* executors checked for tasks */
	uint64_t counts_compared; /* the same, only with their limits */
	uint64_t counts_batch_starts[BP_OUTLOOKS];
	/* Ready batch tasks in the last round, of jobs that have begun and of
	 * others. */
	uint32_t ready_begun[BP_OUTLOOKS];
	uint32_t ready_new[BP_OUTLOOKS];
	int64_t rounds_us; /* total time spent in rounds */
	int64_t ordering_us; /* of it, for the order of the steps */
	int64_t round_wanted_ms; /* monotonic, request of the next round */
	int64_t rounds_delayed_ms; /* total, from requests to their rounds */
	int64_t tick_due_ms; /* monotonic, due time of the next tick */
	int64_t late_ms; /* sum of the lateness of all ticks */
	int64_t lag_ms; /* worst tick delay since the last summary */
	bp_qsummary_counts_t last_summary;
};

/* shard.c */
int64_t bp_shard_now_ms(const bp_shard_t *shard);
int64_t bp_shard_wall_ms(const bp_shard_t *shard);
bool bp_shard_may_order(const bp_shard_t *shard);
bool bp_shard_may_start(const bp_shard_t *shard);
/* Returns by how much ticks have been late in total. */
int64_t bp_shard_lateness_ms(const bp_shard_t *shard);
void bp_shard_mark_dirty(bp_shard_t *shard, bp_qjob_t *job);
void bp_shard_plan_round(bp_shard_t *shard, uint32_t delay_ms);
void bp_shard_end_job(
    bp_shard_t *shard, bp_qjob_t *job, Bp__Work__JobState state);
void bp_shard_set_lost(bp_shard_t *shard);

/* shard_reconcile.c */
int64_t bp_qexec_lease_wait_ms(const bp_qexec_t *exec);
bool bp_qexec_wait_record_due(const bp_qexec_t *exec);
void bp_shard_check_reconciliation(bp_shard_t *shard);

/* shard_predecessors.c */
GPtrArray *bp_shard_predecessors_new(void);
void bp_shard_load_predecessors(
    bp_shard_t *shard, const Bp__Work__Owner *previous);
void bp_shard_store_predecessors(
    const bp_shard_t *shard, Bp__Work__Owner *owner);
void bp_shard_ask_predecessors(bp_shard_t *shard);

/* shard_summary.c */
void bp_shard_log_summary(bp_shard_t *shard);

/* shard_calls.c */
void bp_shard_refuse_overdue(bp_shard_t *shard);

/* shard_takeover.c */
void bp_shard_start_takeover(bp_shard_t *shard);
void bp_shard_stop_takeover(bp_shard_t *shard);

/* shard_records.c */
void bp_shard_collect_records(GPtrArray *records, void *data);
void bp_shard_append_done(bp_store_outcome_t outcome, void *data);
void bp_shard_answer_waiters(
    bp_qjob_t *job, bool cancels, const bp_shard_answer_t *answer);
bp_store_record_t *bp_shard_owner_record(const bp_shard_t *shard);
void bp_shard_drop_job(bp_shard_t *shard, bp_qjob_t *job);
/* Returns whether the append in flight refers to a job. */
bool bp_shard_appends_job(const bp_shard_t *shard, const bp_qjob_t *job);
void bp_shard_drop_exec(bp_shard_t *shard, bp_qexec_t *exec);
/* Has an append remove a key. Takes ownership of key. */
void bp_shard_delete_key(bp_shard_t *shard, char *key);
/* Returns whether an append is needed, whether or not one was requested. */
bool bp_shard_needs_append(const bp_shard_t *shard);

/* shard_runends.c */
bool bp_qexec_has_unstored_ends(const bp_qexec_t *exec);
bool bp_qexec_has_unacknowledged_ends(const bp_qexec_t *exec);
void bp_shard_cover_ends(bp_shard_t *shard);
void bp_qexec_ends_appended(bp_qexec_t *exec, bool stored);
int64_t bp_shard_unstored_ends_ms(const bp_shard_t *shard, uint32_t *execs);

/* shard_parts.c */
bool bp_qjob_add_parts(
    GPtrArray *records, bp_qjob_t *job, gsize *bytes, gsize max_bytes);
void bp_qjob_remove_parts(GPtrArray *records, bp_qjob_t *job);
void bp_qjob_parts_done(bp_qjob_t *job, bool stored);
void bp_shard_load_part(bp_shard_t *shard, const bp_store_record_t *record);

/* shard_rejections.c */
void bp_shard_job_rejected(bp_shard_t *shard, const bp_qappended_job_t *sent);
void bp_shard_append_rejected(bp_shard_t *shard, const GArray *batch);

/* shard_load.c */
uint64_t bp_shard_load_owner(bp_shard_t *shard);
void bp_shard_load(bp_shard_t *shard);

/* shard_headroom.c */
void bp_shard_observe_urgent(bp_shard_t *shard);
/* Returns whether a new job may be accepted with regard to the processors that
 * short urgent work needs. */
bool bp_shard_has_headroom(bp_shard_t *shard, const bp_qjob_t *job);

/* shard_customers.c */
bp_customer_size_t bp_qstep_size(const Bp__Work__Step *spec, bool urgent);
bool bp_qjob_waits_for_room(const bp_qjob_t *job, int64_t wall_ms);
bool bp_qstep_within_cap(const bp_qstep_t *step);
bool bp_qstep_over_share(const bp_shard_t *shard, const bp_qstep_t *step);
void bp_shard_update_customers(bp_shard_t *shard);
void bp_qrun_charge(bp_qrun_t *run, const Bp__Work__Step *spec);
void bp_qheld_free(gpointer held);
void bp_qexec_load_held(bp_qexec_t *exec, const Bp__Work__Holder *holder);
void bp_qexec_drop_held(bp_qexec_t *exec);
void bp_qexec_store_held(
    const bp_qexec_t *exec, GPtrArray *names, Bp__Work__Holder *holder);
void bp_qexec_free_stored_held(Bp__Work__Holder *holder);

/* shard_execs.c */
bp_qexec_t *bp_qexec_get(bp_shard_t *shard, const char *id);
void bp_qexec_free(gpointer exec);
int64_t bp_qexec_clock_ms(const bp_qexec_t *exec);
bool bp_qexec_has_unconfirmed_start(const bp_qexec_t *exec);
bool bp_qexec_clock_passed(const bp_qexec_t *exec, int64_t clock_ms);
int64_t bp_qexec_clock_lag_ms(const bp_qexec_t *exec);
bp_qrun_t *bp_qrun_new(bp_qexec_t *exec, bp_qtask_t *task,
    const Bp__Work__Step *spec, const char *name, uint64_t number);
void bp_qrun_detach_task(bp_qrun_t *run);
void bp_qrun_remove(bp_qrun_t *run);
void bp_qrun_ref_order(bp_qrun_t *run);
void bp_qrun_unref_order(bp_qrun_t *run);
void bp_qrun_drop_plan(bp_qrun_t *run);
void bp_qexec_reconcile(bp_qexec_t *exec);
void bp_qexec_back_off(
    bp_qexec_t *exec, const char *reason, uint32_t backoff_ms);

/* shard_orders.c */
/* The executor in the incarnation that answered last; 0 before its answer. */
bp_exec_target_t bp_qexec_target(const bp_qexec_t *exec);
void bp_shard_send_start(bp_shard_t *shard, bp_qrun_t *run);
void bp_shard_start_task(
    bp_shard_t *shard, bp_qtask_t *task, bp_qexec_t *exec, uint64_t number);
void bp_shard_stop_run(bp_shard_t *shard, bp_qrun_t *run, const char *reason);
uint64_t bp_shard_next_run(const bp_shard_t *shard, const bp_qtask_t *task);
void bp_shard_cancel_orders(bp_shard_t *shard);

/* shard_startlimits.c */
void bp_qstart_limiter_free(gpointer limiter);
void bp_qexec_set_start_limiter(bp_qexec_t *exec);
void bp_shard_divide_start_limits(bp_shard_t *shard, const GPtrArray *execs);
uint32_t bp_shard_starts_limit(const bp_shard_t *shard);
bool bp_qstart_limiter_full(const bp_qstart_limiter_t *limiter, bool yields);
void bp_qrun_acquire_start(bp_qrun_t *run);
void bp_qrun_release_start(bp_qrun_t *run);
void bp_qrun_record_start_latency(
    const bp_qrun_t *run, int64_t latency_ms, bool answered);

/* shard_pollresults.c */
bp_qtask_t *bp_shard_find_task(const bp_shard_t *shard, const char *name);
void bp_shard_apply_poll(
    bp_qexec_t *exec, const bp_exec_result_t *result, uint64_t poll_event);

/* shard_reservations.c */
void bp_shard_reserve_executors(bp_shard_t *shard, const bp_qstep_t *step,
    const GPtrArray *execs, const char *service);
bool bp_qstep_ignores_reservations(
    const bp_shard_t *shard, const bp_qstep_t *step);
bool bp_qexec_reserved_from(const bp_qexec_t *exec, const bp_qstep_t *step);
void bp_shard_release_expired_reservations(bp_shard_t *shard);
void bp_shard_release_step_reservations(
    bp_shard_t *shard, const bp_qstep_t *step);
void bp_shard_release_job_reservations(bp_shard_t *shard, const bp_qjob_t *job);
void bp_qexec_release_reservation(bp_qexec_t *exec);

/* shard_largetasks.c; without planning these do nothing */
bp_shard_large_t *bp_shard_large_new(void);
void bp_shard_large_free(bp_shard_large_t *large);
void bp_shard_plan_large(
    bp_shard_t *shard, const GArray *steps, const GPtrArray *execs);
bool bp_qstep_is_large(
    const bp_shard_t *shard, const bp_qstep_t *step, const char *service);
bool bp_qstep_is_planned(
    const bp_shard_t *shard, const bp_qstep_t *step, const char *service);
bool bp_qexec_reserved_for_large(const bp_qexec_t *exec, bp_qstep_t *step);
int64_t bp_qstep_late_ms(const bp_shard_t *shard, bp_qstep_t *step);
void bp_qexec_large_started(bp_qexec_t *exec, bp_qstep_t *step);
void bp_qrun_learn_duration(const bp_qrun_t *run);
double bp_qexec_lasting_score(
    const bp_qexec_t *exec, const Bp__Work__Step *spec);
/* Returns the earliest reservation for a step; NULL for none. */
const bp_qroom_t *bp_qstep_room(
    const bp_shard_t *shard, const bp_qstep_t *step);
void bp_qexec_drop_room(bp_qexec_t *exec);
void bp_shard_drop_step_rooms(bp_shard_t *shard, const bp_qstep_t *step);
void bp_shard_drop_job_rooms(bp_shard_t *shard, const bp_qjob_t *job);
/* Receives one counter. */
void bp_shard_large_counts(
    const bp_shard_t *shard, bp_shard_count_t report, void *data);

/* shard_jobtimes.c */
void bp_qstep_note_ready(bp_qstep_t *step, int64_t now_ms);
void bp_qrun_set_speed(bp_qrun_t *run, uint32_t percent);
void bp_qrun_note_done(bp_qrun_t *run);
void bp_qstep_note_end(bp_qstep_t *step, int64_t now_ms);
void bp_shard_log_job_end(const bp_shard_t *shard, const bp_qjob_t *job);

/* shard_leases.c */
void bp_shard_check_leases(bp_shard_t *shard);

/* shard_fitness.c */
void bp_shard_record_lag(bp_shard_t *shard, int64_t lag_ms);
void bp_shard_check_fitness(bp_shard_t *shard);
void bp_shard_check_takeover(bp_shard_t *shard);

/* shard_polls.c */
void bp_shard_poll(bp_qexec_t *exec, uint32_t wait_ms);
void bp_shard_schedule_poll(bp_qexec_t *exec, uint32_t delay_ms);
void bp_shard_cancel_polls(bp_shard_t *shard);

/* shard_score.c */
bool bp_qstep_shares_processors(const bp_qstep_t *step);
bool bp_qstep_accepts_slow_placement(
    const bp_shard_t *shard, const bp_qstep_t *step);
/* Returns whether an executor has capacity for so many tasks of the size; tasks
 * that fill take no processors. */
bool bp_qexec_has_capacity(
    const bp_qexec_t *exec, const Bp__Work__Step *spec, uint32_t tasks);
const char *bp_qexec_reject_reason(
    bp_qexec_t *exec, bp_qstep_t *step, const char *service);
double bp_qexec_score(
    bp_qexec_t *exec, const bp_qtask_t *task, const char *rack);
int64_t bp_qexec_filler_room_milli(const bp_qexec_t *exec, bool shared);
int64_t bp_qexec_filler_limit_milli(
    bp_qexec_t *exec, uint32_t filler_index, bp_qspeed_t speed);
bp_qspeed_t bp_qstep_speed_wanted(
    const bp_shard_t *shard, const bp_qstep_t *step);

/* shard_fillerplaces.c */
typedef struct bp_qplaces bp_qplaces_t;
bp_qplaces_t *bp_qplaces_new(bp_shard_t *shard, guint cursor);
void bp_qplaces_free(bp_qplaces_t *places);
void bp_qplaces_set_yields(bp_qplaces_t *places, bool yields);
guint bp_qplaces_cursor(const bp_qplaces_t *places);
bool bp_qplaces_all_closed(const bp_qplaces_t *places);
void bp_qplaces_add(bp_qplaces_t *places, bp_qexec_t *exec);
bp_qexec_t *bp_qplaces_choose(bp_qplaces_t *places, const bp_qtask_t *task,
    const char *service, const char *rack, const char **reason);

/* shard_priority.c */
/* An entry of the order in which steps are placed. */
typedef struct {
	bp_qstep_t *step;
	/* That starts one task; BP_BATCH_CLAIM_NONE: the step's regular turn,
	 * for all of its tasks. */
	bp_batch_claim_t claim;
} bp_qready_t;
GArray *bp_shard_ready_steps(bp_shard_t *shard, bp_batch_order_t *order);

/* shard_turns.c */
typedef struct bp_qturns bp_qturns_t;
bp_qturns_t *bp_qturns_new(const bp_shard_t *shard, const GArray *steps);
void bp_qturns_free(bp_qturns_t *turns);
const bp_qready_t *bp_qturns_next(
    bp_qturns_t *turns, double *until, uint32_t *from);
void bp_qturns_placed(
    bp_qturns_t *turns, bool started, bool yields, uint32_t from);

/* shard_queues.c */
void bp_shard_resolve_queues(bp_shard_t *shard);
const char *bp_shard_service_of(const bp_shard_t *shard, const bp_qjob_t *job);
const char *bp_shard_queue_of(const bp_shard_t *shard, const bp_qjob_t *job);

/* shard_refusals.c */
bool bp_qstep_awaits_retry(const bp_qstep_t *step, int64_t now_ms);
void bp_qstep_note_retry(bp_qstep_t *step, int64_t now_ms);
void bp_qrun_note_malformed(const bp_qrun_t *run);
void bp_qrun_note_accepted(const bp_qrun_t *run);

/* shard_rounds.c */
/* Returns whether a task of a step that comes first in the job could start. */
bool bp_shard_has_room(bp_shard_t *shard, const bp_qjob_t *job);
void bp_shard_run_round(bp_shard_t *shard);
/*
 * Returns whether a planned run that has a task may still start on its
 * executor. Members of a gang start only together.
 */
bool bp_qrun_may_start(const bp_qrun_t *run);
void bp_qwait_causes_add(GPtrArray *causes, const char *name, uint32_t amount);
GPtrArray *bp_shard_wait_causes(bp_shard_t *shard, bp_qstep_t *step);

/* shard_slack.c */
double bp_shard_slack_loss(bp_shard_t *shard, bp_qstep_t *serving,
    bp_qstep_t *filler, double capacity);
double bp_shard_spare_slack(const bp_qrun_t *serving);
double bp_shard_filler_speed(bp_qexec_t *exec, bp_qstep_t *step);
uint32_t bp_qstep_filler_index(bp_shard_t *shard, bp_qstep_t *step);
double bp_qspeed_share(bp_qspeed_t speed);
uint32_t bp_qexec_calm_milli(
    bp_qexec_t *exec, uint32_t filler_index, bp_qspeed_t speed);

/* shard_throttle.c */
void bp_shard_throttle_fillers(bp_qexec_t *exec);
void bp_shard_move_paused(bp_qexec_t *exec);
void bp_shard_cancel_throttles(bp_shard_t *shard);

#endif
