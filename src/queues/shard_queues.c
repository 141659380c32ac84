#include "queues/shard_private.h"

#include <stdio.h>

/*
 * The queues of jobs under the configuration in force, see jobref.h.
 */

static void
log_resolved(const bp_shard_t *shard, uint32_t jobs)
{
	char jobs_text[16];
	char version[32];

	snprintf(jobs_text, sizeof(jobs_text), "%u", jobs);
	snprintf(version, sizeof(version), "%" G_GUINT64_FORMAT,
	    shard->catalog->version);
	bp_log(shard->options.logger, BP_LOG_NOTICE, BP_SHARD_MODULE,
	    "gave jobs of an earlier release the prefix of their queue", "jobs",
	    jobs_text, "version", version, NULL);
}

/* Earlier releases keep the work of a queue under its name. */
static void
resolve_works(bp_shard_t *shard)
{
	guint i;

	for (i = 0; shard->catalog != NULL && i < shard->catalog->routes->len;
	     i++) {
		const bp_queue_route_t *route =
		    shard->catalog->routes->pdata[i];
		Bp__Work__JobRef *ref = bp_job_ref_new(route, "", 0);
		char *key = bp_job_ref_queue_key(ref);

		bp_estimates_rename_work(shard->estimates, route->name, key);
		g_free(key);
		bp__work__job_ref__free_unpacked(ref, NULL);
	}
}

/*
 * Gives jobs that an earlier release accepted, and the work that it learned,
 * the host and prefix of their queue, and stores both: a later version may
 * change the queue's name.
 */
void
bp_shard_resolve_queues(bp_shard_t *shard)
{
	GHashTableIter iter;
	gpointer value;
	uint32_t resolved = 0;

	if (shard->phase != BP_SHARD_OWNED)
		return;
	resolve_works(shard);
	g_hash_table_iter_init(&iter, shard->jobs);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		bp_qjob_t *job = value;

		if (!job->accepted ||
		    !bp_job_ref_resolve(shard->catalog, job->spec))
			continue;
		job->resolved = true;
		bp_qjob_update_queue_key(job);
		bp_shard_mark_dirty(shard, job);
		resolved++;
	}
	if (resolved > 0)
		log_resolved(shard, resolved);
}

static const bp_queue_route_t *
route_of(const bp_shard_t *shard, const bp_qjob_t *job)
{
	Bp__Work__JobRef known;

	bp_job_ref_init(&known, job->spec);
	return bp_job_ref_route(shard->catalog, &known);
}

/* Returns the current service of the job's queue, whose executors run its
 * tasks; the service at the job's acceptance when the queue was removed. */
const char *
bp_shard_service_of(const bp_shard_t *shard, const bp_qjob_t *job)
{
	const bp_queue_route_t *route = route_of(shard, job);

	return route != NULL ? route->service : job->spec->service;
}

/* Returns the current name of the job's queue; its name at the job's acceptance
 * when the queue was removed. */
const char *
bp_shard_queue_of(const bp_shard_t *shard, const bp_qjob_t *job)
{
	const bp_queue_route_t *route = route_of(shard, job);

	return route != NULL ? route->name : job->spec->queue;
}
