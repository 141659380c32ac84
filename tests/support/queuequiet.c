#include "support/queuequiet.h"

#include "queues/shard_private.h"

#include <string.h>

static char *
executor_leftover(const bp_qexec_t *exec)
{
	const char *id = exec->info->id;

	if (exec->runs->len > 0 && exec->polls_in_flight == 0 &&
	    exec->poll_timer == 0)
		return g_strdup_printf("%s has runs and no poll", id);
	if (exec->runs->len > 0 &&
	    bp_qexec_clock_passed(exec, exec->lease_end_ms))
		return g_strdup_printf("the lease of %s has passed", id);
	if (bp_qexec_has_unstored_ends(exec))
		return g_strdup_printf("run ends of %s are not stored", id);
	if (bp_qexec_has_unacknowledged_ends(exec))
		return g_strdup_printf("ends of %s are not acknowledged", id);
	if (exec->recording || exec->planned_starts > 0)
		return g_strdup_printf("the record of %s is pending", id);
	if (exec->listed && !exec->recorded_in_epoch)
		return g_strdup_printf("%s is not recorded", id);
	return NULL;
}

static char *
executors_leftover(const bp_shard_t *shard)
{
	GHashTableIter iter;
	gpointer value;
	char *left = NULL;

	g_hash_table_iter_init(&iter, shard->execs);
	while (left == NULL && g_hash_table_iter_next(&iter, NULL, &value))
		left = executor_leftover(value);
	return left;
}

static char *
jobs_leftover(const bp_shard_t *shard)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, shard->jobs);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const bp_qjob_t *job = value;

		if (job->waiters != NULL)
			return g_strdup_printf(
			    "a caller waits for job %s", job->spec->id);
		if (job->dirty || job->cancelling)
			return g_strdup_printf(
			    "job %s is not stored", job->spec->id);
		if (bp_qjob_ended(job) && job->stored != job->state)
			return g_strdup_printf(
			    "the end of job %s is not stored", job->spec->id);
	}
	return NULL;
}

static char *
writer_leftover(const bp_shard_t *shard)
{
	if (!shard->reconciled)
		return g_strdup("the takeover has not ended");
	if (shard->new_jobs->len > 0 || shard->dirty_jobs->len > 0 ||
	    shard->owner_record_due)
		return g_strdup("records wait for an append");
	if (g_hash_table_size(shard->deleted_keys) > 0)
		return g_strdup("keys wait for their deletion");
	return NULL;
}

/* Returns whether the store may hold a key. */
static bool
allowed_key(const bp_shard_t *shard, const char *key)
{
	const char *id = key + BP_SHARD_PREFIX_CHARS;
	const bp_qjob_t *job;
	char *name;

	if (g_str_has_prefix(key, BP_SHARD_PREFIX_HOLDER))
		return g_hash_table_contains(shard->execs, id);
	if (!g_str_has_prefix(key, BP_SHARD_PREFIX_JOB) &&
	    !g_str_has_prefix(key, BP_SHARD_PREFIX_PROGRESS) &&
	    !g_str_has_prefix(key, BP_SHARD_PREFIX_PART))
		return true;
	name = g_strndup(id, strcspn(id, "/"));
	job = g_hash_table_lookup(shard->jobs, name);
	g_free(name);
	return job != NULL &&
	    (!bp_qjob_ended(job) ||
		g_str_has_prefix(key, BP_SHARD_PREFIX_PROGRESS));
}

typedef struct {
	const bp_shard_t *shard;
	char *left;
} key_check_t;

static void
check_key(const char *key, void *data)
{
	key_check_t *check = data;

	if (check->left == NULL && !allowed_key(check->shard, key))
		check->left =
		    g_strdup_printf("key %s is left in the store", key);
}

static bool
has_key(bp_qrig_t *rig, const char *prefix, const char *id)
{
	char *key = g_strconcat(prefix, id, NULL);
	bool has = bp_qstore_value(bp_qrig_store(rig), 0, key) != NULL;

	g_free(key);
	return has;
}

/* Returns what the store lacks of what the owner believes. */
static char *
missing_key(bp_qrig_t *rig, const bp_shard_t *shard)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, shard->jobs);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const bp_qjob_t *job = value;
		const char *prefix = bp_qjob_ended(job)
		    ? BP_SHARD_PREFIX_PROGRESS
		    : BP_SHARD_PREFIX_JOB;

		if (!has_key(rig, prefix, job->spec->id))
			return g_strdup_printf(
			    "the store does not hold job %s", job->spec->id);
	}
	g_hash_table_iter_init(&iter, shard->execs);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const bp_qexec_t *exec = value;

		if (exec->recorded_in_epoch &&
		    !has_key(rig, BP_SHARD_PREFIX_HOLDER, exec->info->id))
			return g_strdup_printf(
			    "the store does not hold %s", exec->info->id);
	}
	return NULL;
}

static char *
store_leftover(bp_qrig_t *rig, const bp_shard_t *shard)
{
	key_check_t check = {shard, NULL};

	bp_qstore_each_key(bp_qrig_store(rig), 0, check_key, &check);
	return check.left != NULL ? check.left : missing_key(rig, shard);
}

typedef struct {
	bp_shard_t *shard;
	uint32_t runs;
	char *left;
} run_check_t;

static void
check_running(const char *task, void *data)
{
	run_check_t *check = data;
	const bp_qtask_t *known = bp_shard_find_task(check->shard, task);

	check->runs++;
	if (check->left == NULL && (known == NULL || known->run == NULL))
		check->left =
		    g_strdup_printf("%s runs and the owner has no run", task);
}

/* Compares what runs with what the owner believes. */
static char *
runs_leftover(bp_qrig_t *rig, bp_shard_t *shard)
{
	run_check_t check = {shard, 0, NULL};
	uint32_t known = 0;
	GHashTableIter iter;
	gpointer value;

	bp_qfleet_each_running(bp_qrig_fleet(rig), check_running, &check);
	g_hash_table_iter_init(&iter, shard->execs);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		known += ((const bp_qexec_t *)value)->runs->len;
	if (check.left == NULL && known != check.runs)
		check.left = g_strdup_printf(
		    "the owner has %u runs, executors %u", known, check.runs);
	return check.left;
}

/* See the header. */
char *
bp_queuequiet_leftover(bp_qrig_t *rig)
{
	bp_shard_t *shard = bp_qrig_owner_shard(rig);
	char *left = NULL;

	if (shard == NULL)
		return g_strdup("the shard has no owner");
	if (bp_qfleet_unacknowledged(bp_qrig_fleet(rig)) > 0)
		return g_strdup("executors list ends");
	left = writer_leftover(shard);
	if (left == NULL)
		left = executors_leftover(shard);
	if (left == NULL)
		left = jobs_leftover(shard);
	if (left == NULL)
		left = store_leftover(rig, shard);
	if (left == NULL)
		left = runs_leftover(rig, shard);
	return left;
}
