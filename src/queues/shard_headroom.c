#include "queues/shard_private.h"

#include <string.h>

/* Returns the processors that the tasks of a step request that run, may run or
 * could start now. */
static uint64_t
requested_milli(const bp_qstep_t *step, int64_t wall_ms)
{
	uint32_t tasks = step->remaining_tasks;

	if (!bp_qstep_ready(step, wall_ms))
		tasks -= step->waiting_tasks;
	return (uint64_t)tasks * step->spec->cpu_milli;
}

/* Adds what a job requests to the load of its service. */
static void
add_job(bp_headroom_load_t *load, const bp_qjob_t *job, int64_t wall_ms)
{
	uint32_t i;

	for (i = 0; i < job->n_steps * job->occurrences; i++) {
		const bp_qstep_t *step = &job->steps[i];

		if (step->spec->lasting)
			load->lasting_milli += requested_milli(step, wall_ms);
		else if (job->spec->priority == 0 && !step->spec->filler)
			load->urgent_milli += requested_milli(step, wall_ms);
	}
}

/* Returns the load of a service; its processors are those of executors that may
 * get work for longer. */
static bp_headroom_load_t
load_of(const bp_shard_t *shard, const char *service)
{
	int64_t wall_ms = bp_shard_wall_ms(shard);
	bp_headroom_load_t load = {0};
	GHashTableIter iter;
	gpointer value;
	guint i;

	for (i = 0; i < shard->active_jobs->len; i++) {
		const bp_qjob_t *job = shard->active_jobs->pdata[i];

		if (strcmp(bp_shard_service_of(shard, job), service) == 0)
			add_job(&load, job, wall_ms);
	}
	g_hash_table_iter_init(&iter, shard->execs);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const bp_qexec_t *exec = value;

		if (exec->listed && !exec->info->draining &&
		    !g_hash_table_contains(
			shard->zones_out, exec->info->zone) &&
		    strcmp(exec->info->service, service) == 0)
			load.cpu_milli += exec->info->cpu_milli;
	}
	return load;
}

/* Notes what the short urgent work of each service requests now. Nothing
 * happens without a headroom. */
void
bp_shard_observe_urgent(bp_shard_t *shard)
{
	int64_t wall_ms = bp_shard_wall_ms(shard);
	GHashTable *loads;
	GHashTableIter iter;
	gpointer service;
	gpointer load;
	guint i;

	if (shard->headroom == NULL)
		return;
	loads = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, g_free);
	for (i = 0; i < shard->active_jobs->len; i++) {
		const bp_qjob_t *job = shard->active_jobs->pdata[i];

		if (job->spec->priority != 0)
			continue;
		service = (gpointer)bp_shard_service_of(shard, job);
		load = g_hash_table_lookup(loads, service);
		if (load == NULL) {
			load = g_new0(bp_headroom_load_t, 1);
			g_hash_table_insert(loads, service, load);
		}
		add_job(load, job, wall_ms);
	}
	g_hash_table_iter_init(&iter, loads);
	while (g_hash_table_iter_next(&iter, &service, &load))
		bp_headroom_observe(shard->headroom, service,
		    ((const bp_headroom_load_t *)load)->urgent_milli,
		    bp_shard_now_ms(shard));
	g_hash_table_unref(loads);
}

static uint64_t
lasting_milli(const bp_qjob_t *job)
{
	bp_headroom_load_t load = {0};

	add_job(&load, job, INT64_MAX);
	return load.lasting_milli;
}

/* See the header. A new owner may not know all executors yet. */
bool
bp_shard_has_headroom(bp_shard_t *shard, const bp_qjob_t *job)
{
	uint64_t request = lasting_milli(job);
	const char *service = bp_shard_service_of(shard, job);
	bp_headroom_load_t load;

	if (shard->headroom == NULL || request == 0 || !shard->reconciled)
		return true;
	load = load_of(shard, service);
	return bp_headroom_admits(
	    shard->headroom, service, &load, request, bp_shard_now_ms(shard));
}
