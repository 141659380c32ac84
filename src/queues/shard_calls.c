#include "queues/shard_private.h"

#include <json-glib/json-glib.h>
#include <string.h>

/* Work is refused once the append in flight is unanswered for so long. */
#define STORE_STALLED_MS 700
/* A submission that is in no append after this time is refused. */
#define SUBMIT_TIMEOUT_MS 500
/*
 * An accepted job must be known 3 s after its acknowledgement (visible_ms of
 * the platform). An epoch verified within this time cannot report such a job as
 * not found, which leaves time for the answer.
 */
#define EPOCH_VERIFIED_MAX_MS 1500
/* Longer than a lease, after which no run of a job is left. */
#define COMPACT_AFTER_MS 20000
/* Time after which a refused long-running job may be handed in again, and the
 * range over which these times are spread. */
#define LASTING_RETRY_MS 5000
#define LASTING_RETRY_SPREAD_MS 2000
#define OLDER_CONFIGURATION "the owner has an earlier configuration"
/* Least interval of counting the memory of all jobs. */
#define JOBS_COUNT_INTERVAL_MS 500

static void
answer_now(bp_shard_done_t done, void *data, bp_error_kind_t kind,
    Bp__Work__JobState state, const char *reason)
{
	bp_shard_answer_t answer = {kind, state, 0, reason, 0};

	done(&answer, data);
}

static void
add_waiter(bp_shard_t *shard, bp_qjob_t *job, bool cancel, bp_shard_done_t done,
    void *data)
{
	bp_qwaiter_t waiter = {done, data, cancel, bp_shard_now_ms(shard)};

	if (job->waiters == NULL)
		job->waiters = g_array_new(FALSE, FALSE, sizeof(bp_qwaiter_t));
	g_array_append_val(job->waiters, waiter);
}

static bool
store_stalled(const bp_shard_t *shard)
{
	int64_t since_ms = bp_record_writer_pending_since_ms(shard->writer);

	return since_ms != 0 &&
	    bp_shard_now_ms(shard) - since_ms > STORE_STALLED_MS;
}

static bp_job_ref_match_t
match_job(
    const bp_shard_t *shard, const bp_qjob_t *job, const Bp__Work__JobRef *call)
{
	Bp__Work__JobRef known;
	bp_job_ref_match_t match;

	bp_job_ref_init(&known, job->spec);
	match = bp_job_ref_match(shard->catalog, &known, call);
	if (match != BP_JOB_REF_SAME)
		bp_log(shard->options.logger, BP_LOG_NOTICE, BP_SHARD_MODULE,
		    "a call names a job of another queue", "job", call->id,
		    "queue", known.queue, "prefix", known.prefix,
		    "called_queue", call->queue, "called_prefix", call->prefix,
		    "undecided", match == BP_JOB_REF_UNDECIDED ? "yes" : "no",
		    NULL);
	return match;
}

/*
 * Finds the job of a call; sets it to NULL if there is none. Returns false if
 * that cannot be told yet.
 */
static bool
find(const bp_shard_t *shard, const Bp__Work__JobRef *call, bp_qjob_t **out)
{
	bp_qjob_t *job = g_hash_table_lookup(shard->jobs, call->id);
	bp_job_ref_match_t match =
	    job != NULL ? match_job(shard, job, call) : BP_JOB_REF_OTHER;

	*out = match == BP_JOB_REF_SAME ? job : NULL;
	return match != BP_JOB_REF_UNDECIDED;
}

/* Returns the state to report: only final states that the store holds. */
static Bp__Work__JobState
reported_state(const bp_qjob_t *job)
{
	if (!bp_qjob_ended(job) || job->stored == job->state)
		return job->state;
	return BP__WORK__JOB_STATE__JOB_RUNNING;
}

static void
resubmit(bp_shard_t *shard, bp_qjob_t *known, const Bp__Work__JobRef *call,
    bp_shard_done_t done, void *data)
{
	bp_job_ref_match_t match = match_job(shard, known, call);

	if (match == BP_JOB_REF_UNDECIDED)
		answer_now(done, data, BP_ESTATE,
		    BP__WORK__JOB_STATE__JOB_QUEUED, OLDER_CONFIGURATION);
	else if (match == BP_JOB_REF_OTHER)
		answer_now(done, data, BP_EINVALID,
		    BP__WORK__JOB_STATE__JOB_QUEUED,
		    "the ID belongs to a job of another queue");
	else if (known->accepted)
		answer_now(done, data, BP_OK, reported_state(known), "");
	else
		add_waiter(shard, known, false, done, data);
}

/*
 * Returns the answer for an unknown job. Another node may have replaced this
 * one while the group still names it as owner, and may have accepted the job:
 * the job is reported as not found only if a recent append or claim has
 * verified the epoch.
 */
static bp_error_kind_t
unknown_job_kind(bp_shard_t *shard)
{
	int64_t verified_ms = MAX(shard->claim_sent_ms,
	    bp_record_writer_last_stored_ms(shard->writer));

	if (bp_shard_membership_valid(shard) &&
	    bp_shard_now_ms(shard) - verified_ms < EPOCH_VERIFIED_MAX_MS)
		return BP_ENOTFOUND;
	shard->epoch_check_wanted = true;
	bp_record_writer_request(shard->writer, true);
	return BP_ESTATE;
}

/*
 * Returns after how many ms the caller is to try again if the job is refused:
 * it comes beyond the rate of its customer, and would wait. Returns 0 if the
 * job is to be accepted, as is any that is due later, when there may be room.
 */
static uint32_t
refuse_beyond_share(bp_shard_t *shard, const bp_qjob_t *job)
{
	int64_t now_ms = bp_shard_now_ms(shard);

	if (!bp_qjob_waits_for_room(job, bp_shard_wall_ms(shard)))
		return 0;
	if (!bp_customer_job_exceeds(job->account, now_ms) ||
	    bp_shard_has_room(shard, job))
		return 0;
	shard->counts_refused++;
	return bp_customer_refuse(job->account, now_ms, &shard->random);
}

/* Adds a new job to the next append, or refuses it. */
static void
accept_or_refuse(
    bp_shard_t *shard, Bp__Work__Job *spec, bp_shard_done_t done, void *data)
{
	bp_shard_answer_t answer = {BP_EOVERLOAD,
	    BP__WORK__JOB_STATE__JOB_QUEUED, 0,
	    "the customer sends far more than its share, and there is no room",
	    0};
	bp_qjob_t *job = bp_qjob_new(spec);

	job->arrived_ms = bp_shard_now_ms(shard);
	job->idle_since_ms = job->arrived_ms;
	job->account =
	    bp_customers_account(shard->customers, job->spec->customer);
	if (!bp_shard_has_headroom(shard, job)) {
		shard->counts_refused_lasting++;
		answer.reason = "long-running jobs have all processors but "
				"those that short urgent work needs";
		answer.retry_after_ms = LASTING_RETRY_MS +
		    bp_random_below(&shard->random, LASTING_RETRY_SPREAD_MS);
	} else {
		answer.retry_after_ms = refuse_beyond_share(shard, job);
	}
	if (answer.retry_after_ms > 0) {
		shard->jobs_bytes -= MIN(shard->jobs_bytes, job->bytes);
		bp_qjob_free(job);
		done(&answer, data);
		return;
	}
	if (bp_qjob_waits_for_room(job, bp_shard_wall_ms(shard)))
		bp_customer_add_waiting_job(job->account);
	g_hash_table_insert(shard->jobs, job->spec->id, job);
	g_ptr_array_add(shard->active_jobs, job);
	g_ptr_array_add(shard->new_jobs, job);
	add_waiter(shard, job, false, done, data);
	bp_record_writer_request(shard->writer, true);
}

/*
 * Returns whether an ended job is needed only for its state: the store holds
 * it, no append refers to it, and its runs have ended or are of no task any
 * more.
 */
static bool
is_compactible(const bp_shard_t *shard, const bp_qjob_t *job)
{
	return shard->reconciled && bp_qjob_ended(job) &&
	    job->stored == job->state && !job->dirty && job->waiters == NULL &&
	    job->n_steps > 0 && !bp_shard_appends_job(shard, job) &&
	    bp_shard_wall_ms(shard) - job->ended_ms > COMPACT_AFTER_MS;
}

/* Counts the memory of all jobs anew, and drops the tasks of ended ones. */
static void
count_jobs(bp_shard_t *shard)
{
	GList *values = g_hash_table_get_values(shard->jobs);
	GList *entry;

	shard->jobs_bytes = 0;
	for (entry = values; entry != NULL; entry = entry->next) {
		bp_qjob_t *job = entry->data;

		if (is_compactible(shard, job)) {
			job = bp_qjob_new_compact(job);
			/* Replaces the key, which is in the old job, too. */
			g_hash_table_replace(shard->jobs, job->spec->id, job);
		}
		shard->jobs_bytes += job->bytes;
	}
	g_list_free(values);
}

/*
 * Returns whether there is memory for a job. Ended jobs are dropped at many
 * places, so that all are counted anew once it seems that there is none.
 */
static bool
has_room(bp_shard_t *shard, const Bp__Work__Job *spec)
{
	uint64_t bytes_max = shard->options.limits.jobs_bytes_max;
	uint64_t bytes = bp_qjob_bytes_of(spec);
	int64_t now_ms = bp_shard_now_ms(shard);

	if (bytes_max == 0)
		return true;
	if (shard->jobs_counted_ms == 0 ||
	    (shard->jobs_bytes + bytes > bytes_max &&
		now_ms - shard->jobs_counted_ms >= JOBS_COUNT_INTERVAL_MS)) {
		count_jobs(shard);
		shard->jobs_counted_ms = MAX(now_ms, 1);
	}
	if (shard->jobs_bytes + bytes > bytes_max) {
		shard->counts_refused_memory++;
		return false;
	}
	shard->jobs_bytes += bytes;
	return true;
}

/* Accepts a job once the store holds it. A repeated ID adds no other job. */
void
bp_shard_submit(
    bp_shard_t *shard, Bp__Work__Job *spec, bp_shard_done_t done, void *data)
{
	bp_qjob_t *job = NULL;
	bp_error_t err = {BP_OK, ""};
	Bp__Work__JobRef call;
	bp_job_ref_match_t cancelled;

	(void)bp_job_ref_resolve(shard->catalog, spec);
	bp_job_ref_init(&call, spec);
	cancelled =
	    bp_cancelled_ids_match(shard->cancelled_ids, shard->catalog, &call);
	if (shard->phase != BP_SHARD_OWNED)
		answer_now(done, data, BP_ESTATE,
		    BP__WORK__JOB_STATE__JOB_QUEUED,
		    "the owner of the shard is changing");
	else if ((job = g_hash_table_lookup(shard->jobs, spec->id)) != NULL)
		resubmit(shard, job, &call, done, data);
	else if (cancelled == BP_JOB_REF_UNDECIDED)
		answer_now(done, data, BP_ESTATE,
		    BP__WORK__JOB_STATE__JOB_QUEUED, OLDER_CONFIGURATION);
	else if (cancelled == BP_JOB_REF_SAME)
		answer_now(done, data, BP_EREFUSED,
		    BP__WORK__JOB_STATE__JOB_CANCELLED,
		    "the job was cancelled before it arrived");
	else if (bp_qjob_validate(spec, &err) != BP_OK)
		answer_now(done, data, BP_EINVALID,
		    BP__WORK__JOB_STATE__JOB_QUEUED, err.message);
	else if (store_stalled(shard))
		answer_now(done, data, BP_ELOGDOWN,
		    BP__WORK__JOB_STATE__JOB_QUEUED,
		    "the store does not answer");
	else if (!has_room(shard, spec))
		answer_now(done, data, BP_EOVERLOAD,
		    BP__WORK__JOB_STATE__JOB_QUEUED,
		    "the owner holds as many jobs as its memory allows");
	else {
		accept_or_refuse(shard, spec, done, data);
		spec = NULL;
	}
	if (spec != NULL)
		bp__work__job__free_unpacked(spec, NULL);
}

/* Reports the state of a job, or BP_ENOTFOUND. */
void
bp_shard_status(
    bp_shard_t *shard, const Bp__Work__JobRef *call, bp_shard_answer_t *out)
{
	bp_qjob_t *job;

	memset(out, 0, sizeof(*out));
	out->reason = "";
	if (shard->phase != BP_SHARD_OWNED) {
		out->kind = BP_ESTATE;
		out->reason = "the owner of the shard is changing";
		return;
	}
	if (!find(shard, call, &job)) {
		out->kind = BP_ESTATE;
		out->reason = OLDER_CONFIGURATION;
	} else if (job == NULL)
		out->kind = unknown_job_kind(shard);
	else if (!job->accepted)
		out->kind = BP_EUNKNOWN;
	else
		out->state = reported_state(job);
}

/*
 * Cancels a job; answers once the store holds the cancellation. An unknown job
 * is not accepted later: its submission may have been delayed on its way.
 */
void
bp_shard_cancel(bp_shard_t *shard, const Bp__Work__JobRef *call,
    bp_shard_done_t done, void *data)
{
	bp_qjob_t *job;

	if (shard->phase != BP_SHARD_OWNED) {
		answer_now(done, data, BP_ESTATE,
		    BP__WORK__JOB_STATE__JOB_QUEUED,
		    "the owner of the shard is changing");
		return;
	}
	if (!find(shard, call, &job)) {
		answer_now(done, data, BP_ESTATE,
		    BP__WORK__JOB_STATE__JOB_QUEUED, OLDER_CONFIGURATION);
		return;
	}
	if (job == NULL) {
		bp_error_kind_t kind = unknown_job_kind(shard);

		if (kind == BP_ENOTFOUND)
			bp_cancelled_ids_add(shard->cancelled_ids,
			    shard->catalog, call, bp_shard_now_ms(shard));
		answer_now(done, data, kind, BP__WORK__JOB_STATE__JOB_QUEUED,
		    "no such job");
		return;
	}
	if (bp_qjob_ended(job) && job->stored == job->state) {
		answer_now(done, data, BP_OK, job->state, "");
		return;
	}
	/* A pending cancel may still be stored; a new one is refused. */
	if (!job->cancelling && store_stalled(shard)) {
		answer_now(done, data, BP_ELOGDOWN, job->state,
		    "the store does not answer");
		return;
	}
	job->cancelling = true;
	add_waiter(shard, job, true, done, data);
	if (job->accepted)
		bp_shard_mark_dirty(shard, job);
	bp_record_writer_request(shard->writer, true);
}

/* Refuses submissions that are in no append after SUBMIT_TIMEOUT_MS. */
void
bp_shard_refuse_overdue(bp_shard_t *shard)
{
	int64_t now_ms = bp_shard_now_ms(shard);
	bp_shard_answer_t answer = {BP_ELOGDOWN,
	    BP__WORK__JOB_STATE__JOB_QUEUED, 0, "the store does not answer", 0};
	guint i;

	for (i = shard->new_jobs->len; i > 0; i--) {
		bp_qjob_t *job = shard->new_jobs->pdata[i - 1];
		const bp_qwaiter_t *first =
		    &g_array_index(job->waiters, bp_qwaiter_t, 0);

		if (now_ms - first->since_ms < SUBMIT_TIMEOUT_MS)
			continue;
		g_ptr_array_remove_index(shard->new_jobs, i - 1);
		g_ptr_array_remove(shard->active_jobs, job);
		bp_shard_answer_waiters(job, false, &answer);
		bp_shard_answer_waiters(job, true, &answer);
		g_hash_table_remove(shard->jobs, job->spec->id);
	}
}

/* Returns the number of accepted jobs of a queue with no task started. */
uint64_t
bp_shard_count_waiting(const bp_shard_t *shard, const Bp__Work__JobRef *queue)
{
	uint64_t waiting = 0;
	guint i;

	for (i = 0; i < shard->active_jobs->len; i++) {
		const bp_qjob_t *job = shard->active_jobs->pdata[i];
		Bp__Work__JobRef known;

		if (!job->accepted || job->started)
			continue;
		bp_job_ref_init(&known, job->spec);
		if (bp_job_ref_in_queue(shard->catalog, &known, queue))
			waiting++;
	}
	return waiting;
}

static char *
finish(JsonBuilder *builder)
{
	JsonNode *root = json_builder_get_root(builder);
	char *text = json_to_string(root, FALSE);

	json_node_unref(root);
	g_object_unref(builder);
	return text;
}

/* See the header. */
void
bp_shard_counts(const bp_shard_t *shard, bp_shard_count_t report, void *data)
{
	uint32_t unstored_execs;
	int64_t unstored_ms = bp_shard_unstored_ends_ms(shard, &unstored_execs);

	report("jobs", g_hash_table_size(shard->jobs), data);
	report("jobs_going", shard->active_jobs->len, data);
	report("jobs_bytes", shard->jobs_bytes, data);
	report("jobs_refused", shard->counts_refused, data);
	report("executors", g_hash_table_size(shard->execs), data);
	report("starts", shard->counts_started, data);
	report("starts_rejected", shard->counts_rejected, data);
	report("starts_unanswered", shard->counts_unanswered, data);
	report("looks", shard->counts_polls, data);
	report("paces", shard->counts_throttles, data);
	report("stops", shard->counts_stopped, data);
	report("stops_interference", shard->counts_moved, data);
	report("rounds", shard->counts_rounds, data);
	report("jobs_refused_lasting", shard->counts_refused_lasting, data);
	report("jobs_refused_memory", shard->counts_refused_memory, data);
	report("executors_examined", shard->counts_examined, data);
	report("executors_compared", shard->counts_compared, data);
	report("steps_offered", shard->counts_offered, data);
	report("rounds_us", (uint64_t)shard->rounds_us, data);
	report("rounds_ordering_us", (uint64_t)shard->ordering_us, data);
	report("rounds_delayed_ms", (uint64_t)shard->rounds_delayed_ms, data);
	report("starts_in_flight", shard->starts_in_flight, data);
	report("starts_limit", bp_shard_starts_limit(shard), data);
	report("ends_done", shard->counts_done, data);
	report("ends_failed", shard->counts_failed, data);
	report("runs_lost", shard->counts_lost_runs, data);
	report("runs_lapsed", shard->counts_lapsed, data);
	report("executors_unstored_ends", unstored_execs, data);
	report("unstored_ends_ms", (uint64_t)unstored_ms, data);
	bp_shard_large_counts(shard, report, data);
	report("appends",
	    shard->writer != NULL ? bp_record_writer_appends(shard->writer) : 0,
	    data);
}

static void
add_count(const char *name, uint64_t value, void *data)
{
	JsonBuilder *builder = data;

	json_builder_set_member_name(builder, name);
	json_builder_add_int_value(builder, (gint64)value);
}

/* See the header. */
char *
bp_shard_describe(const bp_shard_t *shard)
{
	JsonBuilder *builder = json_builder_new();

	json_builder_begin_object(builder);
	add_count("shard", shard->options.number, builder);
	add_count("epoch", shard->epoch, builder);
	bp_shard_counts(shard, add_count, builder);
	json_builder_end_object(builder);
	return finish(builder);
}
