#include "queues/jobrouter_private.h"

#include "bulrushpost/message.h"

#include <stdlib.h>
#include <string.h>

static void
start_call(bp_job_router_t *router, bp_job_call_kind_t kind,
    Bp__Work__JobRef *ref, Bp__Work__Job *job, uint32_t deadline_ms,
    bp_job_router_done_t done, void *data)
{
	bp_job_call_t *call = bp_job_call_new(router, kind, ref, done, data);

	call->job = job;
	call->deadline_ms =
	    bp_job_router_answer_deadline_ms(router, deadline_ms);
	bp_job_call_try(call);
}

/* Returns a reference that the caller frees. */
static Bp__Work__JobRef *
refer(const bp_job_router_t *router, const bp_queue_route_t *route,
    const char *id)
{
	return bp_job_ref_new(
	    route, id, router->catalog != NULL ? router->catalog->version : 0);
}

/* See the header. */
void
bp_job_router_submit(bp_job_router_t *router, const bp_queue_route_t *route,
    const char *customer, const char *id, Bp__Work__Job *job,
    uint32_t deadline_ms, bp_job_router_done_t done, void *data)
{
	Bp__Work__JobRef *ref = refer(router, route, id);

	free(job->id == protobuf_c_empty_string ? NULL : job->id);
	job->id = strdup(id);
	job->customer = strdup(customer);
	job->queue = strdup(route->name);
	(void)bp_job_ref_set_address(job, ref->host, ref->prefix);
	job->config_version = ref->config_version;
	job->service = strdup(route->service);
	job->priority = route->priority;
	job->attempts = MAX(route->attempts, 1);
	job->stretch_permille = route->stretch_permille;
	job->objective_ms = route->objective_ms;
	job->accepted_ms = bp_clock_wall_ms(router->options.clock);
	start_call(
	    router, BP_JOB_CALL_SUBMIT, ref, job, deadline_ms, done, data);
}

/* See the header. */
void
bp_job_router_status(bp_job_router_t *router, const bp_queue_route_t *route,
    const char *id, uint32_t deadline_ms, bp_job_router_done_t done, void *data)
{
	start_call(router, BP_JOB_CALL_STATUS, refer(router, route, id), NULL,
	    deadline_ms, done, data);
}

/* See the header. */
void
bp_job_router_cancel(bp_job_router_t *router, const bp_queue_route_t *route,
    const char *id, uint32_t deadline_ms, bp_job_router_done_t done, void *data)
{
	start_call(router, BP_JOB_CALL_CANCEL, refer(router, route, id), NULL,
	    deadline_ms, done, data);
}

/* A count of waiting jobs, which asks the shards one after the other. */
typedef struct {
	bp_job_router_t *router;
	Bp__Work__JobRef *queue;
	uint32_t next_shard;
	int64_t deadline_ms;
	uint64_t waiting;
	bp_job_router_done_t done;
	void *data;
} waiting_count_t;

static void count_next(waiting_count_t *count);

static void
on_counted(const bp_job_router_answer_t *answer, void *data)
{
	waiting_count_t *count = data;
	bp_job_router_answer_t sum = *answer;

	count->waiting += answer->waiting;
	sum.waiting = count->waiting;
	count->next_shard++;
	if (answer->outcome == BP_JOB_ROUTER_OK &&
	    count->next_shard < count->router->options.shards) {
		count_next(count);
		return;
	}
	count->done(&sum, count->data);
	bp__work__job_ref__free_unpacked(count->queue, NULL);
	g_free(count);
}

static void
count_next(waiting_count_t *count)
{
	bp_job_call_t *call = bp_job_call_new(count->router, BP_JOB_CALL_COUNT,
	    bp_message_copy(&count->queue->base), on_counted, count);

	call->shard = count->next_shard;
	call->deadline_ms = count->deadline_ms;
	bp_job_call_try(call);
}

/* See the header. */
void
bp_job_router_count(bp_job_router_t *router, const bp_queue_route_t *route,
    uint32_t deadline_ms, bp_job_router_done_t done, void *data)
{
	waiting_count_t *count = g_new0(waiting_count_t, 1);

	count->router = router;
	count->queue = refer(router, route, "");
	count->deadline_ms =
	    bp_job_router_answer_deadline_ms(router, deadline_ms);
	count->done = done;
	count->data = data;
	count_next(count);
}

/* Creates a job router without a configuration. */
bp_job_router_t *
bp_job_router_new(const bp_job_router_options_t *options)
{
	bp_job_router_t *router = g_new0(bp_job_router_t, 1);

	router->options = *options;
	router->calls = g_hash_table_new(NULL, NULL);
	router->retry = bp_call_retry_new(options->clock, options->shards);
	return router;
}

/* See the header. An attempt in flight may still take effect. */
void
bp_job_router_stop(bp_job_router_t *router)
{
	GList *calls;
	GList *node;

	router->stopped = true;
	bp_freshness_cancel(router->options.freshness);
	calls = g_hash_table_get_keys(router->calls);
	for (node = calls; node != NULL; node = node->next) {
		bp_job_call_t *call = node->data;

		bp_job_call_fail(call, BP_JOB_ROUTER_STOPPING);
	}
	g_list_free(calls);
}

/* Stops and frees the job router. NULL is allowed. */
void
bp_job_router_free(bp_job_router_t *router)
{
	if (router == NULL)
		return;
	bp_job_router_stop(router);
	g_hash_table_unref(router->calls);
	bp_call_retry_free(router->retry);
	g_free(router);
}

/* See the header. */
void
bp_job_router_set_catalog(bp_job_router_t *router, const bp_catalog_t *catalog)
{
	router->catalog = catalog;
}

/* See the header. */
const bp_catalog_t *
bp_job_router_catalog(const bp_job_router_t *router)
{
	return router->catalog;
}

/* See the header. */
bool
bp_job_router_ready(const bp_job_router_t *router)
{
	return router->catalog != NULL;
}

/* See the header. */
void
bp_job_router_check_catalog(bp_job_router_t *router,
    void (*done)(bool confirmed, void *data), void *data)
{
	if (router->stopped)
		done(false, data);
	else
		bp_freshness_check(router->options.freshness, done, data);
}

/* A call that waits until the freshness of the configuration is known. */
typedef struct {
	bp_job_router_t *router;
	char *host;
	char *path;
	char *key; /* NULL for none */
	bp_job_router_admitted_t done;
	void *data;
} admission_t;

static void
on_checked(bool confirmed, void *data)
{
	admission_t *admission = data;
	const bp_job_router_t *router = admission->router;
	const bp_catalog_t *catalog = router->catalog;
	bp_access_t access = bp_access_decide(catalog, confirmed,
	    catalog != NULL
		? bp_catalog_route(catalog, admission->host, admission->path)
		: NULL,
	    admission->key);

	if (router->stopped && access.verdict == BP_ACCESS_UNCONFIRMED)
		access.reason = BP_JOB_ROUTER_STOPPING;
	if (catalog != NULL && catalog->requires_keys)
		bp_call_counters_count(
		    router->options.counters, &access, admission->key != NULL);
	admission->done(&access, admission->data);
	g_free(admission->host);
	g_free(admission->path);
	g_free(admission->key);
	g_free(admission);
}

/* See the header. */
void
bp_job_router_admit(bp_job_router_t *router, const char *host, const char *path,
    const char *key, bp_job_router_admitted_t done, void *data)
{
	admission_t *admission = g_new0(admission_t, 1);

	admission->router = router;
	admission->host = g_strdup(host);
	admission->path = g_strdup(path);
	admission->key = g_strdup(key);
	admission->done = done;
	admission->data = data;
	bp_job_router_check_catalog(router, on_checked, admission);
}

/* Returns the number of calls without an answer. */
uint32_t
bp_job_router_open_calls(const bp_job_router_t *router)
{
	return g_hash_table_size(router->calls);
}

/* Returns the options that the job router was created with. */
const bp_job_router_options_t *
bp_job_router_options(const bp_job_router_t *router)
{
	return &router->options;
}
