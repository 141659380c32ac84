#include "queues/desk_private.h"

#include <stdlib.h>
#include <string.h>

static void
start_call(bp_queuedesk_t *desk, bp_deskcall_kind_t kind, const char *queue,
    const char *id, Bp__Work__Job *job, uint32_t deadline_ms,
    bp_desk_done_t done, void *data)
{
	bp_deskcall_t *call =
	    bp_deskcall_new(desk, kind, queue, id, done, data);

	call->job = job;
	call->deadline_ms = bp_desk_due_ms(desk, deadline_ms);
	bp_deskcall_try(call);
}

/* See the header. */
void
bp_queuedesk_submit(bp_queuedesk_t *desk, const bp_queue_route_t *route,
    const char *id, Bp__Work__Job *job, uint32_t deadline_ms,
    bp_desk_done_t done, void *data)
{
	free(job->id == protobuf_c_empty_string ? NULL : job->id);
	job->id = strdup(id);
	job->queue = strdup(route->name);
	job->service = strdup(route->service);
	job->priority = route->priority;
	job->attempts = MAX(route->attempts, 1);
	job->stretch_permille = route->stretch_permille;
	job->objective_ms = route->objective_ms;
	job->accepted_ms = bp_clock_wall_ms(desk->options.clock);
	start_call(desk, BP_DESKCALL_SUBMIT, route->name, id, job, deadline_ms,
	    done, data);
}

/* See the header. */
void
bp_queuedesk_status(bp_queuedesk_t *desk, const bp_queue_route_t *route,
    const char *id, uint32_t deadline_ms, bp_desk_done_t done, void *data)
{
	start_call(desk, BP_DESKCALL_STATUS, route->name, id, NULL, deadline_ms,
	    done, data);
}

/* See the header. */
void
bp_queuedesk_cancel(bp_queuedesk_t *desk, const bp_queue_route_t *route,
    const char *id, uint32_t deadline_ms, bp_desk_done_t done, void *data)
{
	start_call(desk, BP_DESKCALL_CANCEL, route->name, id, NULL, deadline_ms,
	    done, data);
}

/* A count of waiting jobs, which asks the shards one after the other. */
typedef struct {
	bp_queuedesk_t *desk;
	char *queue;
	uint32_t next_shard;
	int64_t deadline_ms;
	uint64_t waiting;
	bp_desk_done_t done;
	void *data;
} waiting_count_t;

static void count_next(waiting_count_t *count);

static void
on_counted(const bp_desk_answer_t *answer, void *data)
{
	waiting_count_t *count = data;
	bp_desk_answer_t sum = *answer;

	count->waiting += answer->waiting;
	sum.waiting = count->waiting;
	count->next_shard++;
	if (answer->outcome == BP_DESK_OK &&
	    count->next_shard < count->desk->options.shards) {
		count_next(count);
		return;
	}
	count->done(&sum, count->data);
	g_free(count->queue);
	g_free(count);
}

static void
count_next(waiting_count_t *count)
{
	bp_deskcall_t *call = bp_deskcall_new(count->desk, BP_DESKCALL_COUNT,
	    count->queue, "", on_counted, count);

	call->shard = count->next_shard;
	call->deadline_ms = count->deadline_ms;
	bp_deskcall_try(call);
}

/* See the header. */
void
bp_queuedesk_count(bp_queuedesk_t *desk, const bp_queue_route_t *route,
    uint32_t deadline_ms, bp_desk_done_t done, void *data)
{
	waiting_count_t *count = g_new0(waiting_count_t, 1);

	count->desk = desk;
	count->queue = g_strdup(route->name);
	count->deadline_ms = bp_desk_due_ms(desk, deadline_ms);
	count->done = done;
	count->data = data;
	count_next(count);
}

/* Creates a job router without a configuration. */
bp_queuedesk_t *
bp_queuedesk_new(const bp_queuedesk_options_t *options)
{
	bp_queuedesk_t *desk = g_new0(bp_queuedesk_t, 1);

	desk->options = *options;
	desk->calls = g_hash_table_new(NULL, NULL);
	return desk;
}

/* See the header. An attempt in flight may still take effect. */
void
bp_queuedesk_stop(bp_queuedesk_t *desk)
{
	GList *calls;
	GList *node;

	desk->stopped = true;
	bp_confirm_give_up(desk->options.confirm);
	calls = g_hash_table_get_keys(desk->calls);
	for (node = calls; node != NULL; node = node->next) {
		bp_deskcall_t *call = node->data;

		call->uncertain = call->uncertain || call->trying;
		bp_deskcall_give_up(call, BP_DESK_STOPS);
	}
	g_list_free(calls);
}

/* Stops and frees the job router. NULL is allowed. */
void
bp_queuedesk_free(bp_queuedesk_t *desk)
{
	if (desk == NULL)
		return;
	bp_queuedesk_stop(desk);
	g_hash_table_unref(desk->calls);
	g_free(desk);
}

/* See the header. */
void
bp_queuedesk_set_catalog(bp_queuedesk_t *desk, const bp_catalog_t *catalog)
{
	desk->catalog = catalog;
}

/* See the header. */
const bp_catalog_t *
bp_queuedesk_catalog(const bp_queuedesk_t *desk)
{
	return desk->catalog;
}

/* See the header. */
bool
bp_queuedesk_ready(const bp_queuedesk_t *desk)
{
	return desk->catalog != NULL;
}

/* See the header. */
void
bp_queuedesk_confirm(
    bp_queuedesk_t *desk, void (*done)(bool confirmed, void *data), void *data)
{
	if (desk->stopped)
		done(false, data);
	else
		bp_confirm_run(desk->options.confirm, done, data);
}

/* Returns the number of calls without an answer. */
uint32_t
bp_queuedesk_open(const bp_queuedesk_t *desk)
{
	return g_hash_table_size(desk->calls);
}

/* Returns the options that the job router was created with. */
const bp_queuedesk_options_t *
bp_queuedesk_options(const bp_queuedesk_t *desk)
{
	return &desk->options;
}
