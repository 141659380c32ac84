#include "support/queuefleet.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define LATENCY_MS 1
#define ORDER_TIMEOUT_MS 900
#define FROZEN_STEP_MS 20
#define STOP_MS 150
#define LEASE_MAX_MS 6000
#define CPU_MILLI 16000
#define ACCELERATORS 2
#define RACK_SIZE 3
/* A process needs some time to start again. */
#define REBIRTH_MS 500
#define PROXIES 10
/* An end counts as taken note of once the cursor has reached it. */

typedef struct {
	char *task;
	uint64_t run;
	int64_t ends_ms; /* on the executor's clock */
	bp_end_kind_t how;
	uint32_t cpu_milli;
} run_t;

typedef struct {
	uint64_t number;
	char *task;
	uint64_t run;
	bp_end_kind_t how;
	bool expired_since; /* the lease ran out before it was acknowledged */
} end_t;

typedef struct {
	bp_qfleet_t *fleet;
	uint32_t index;
	uint32_t incarnation;
	int64_t born_ms;
	uint64_t fence;
	int64_t lease_end_ms; /* on its clock; 0 before the first */
	GPtrArray *running; /* run_t */
	GPtrArray *ended; /* end_t, not acknowledged */
	GHashTable *highest; /* task to highest run stopped or ended */
	uint64_t last_number;
	bool cut;
	bool dead; /* between two lives */
	bool failing;
	bool draining;
	bool unlisted;
	const char *service; /* static */
	const char *kind; /* static, a label */
	const char *next_kind; /* of its later lives */
	uint32_t losing; /* answers that will be lost */
	uint32_t slow_ms; /* until a start is answered */
	GPtrArray *waiting; /* call_t of polls that wait */
} exec_t;

struct bp_qfleet {
	const char *checkpoint; /* static */
	bp_clock_virtual_t *clock;
	bp_random_t *random;
	bp_qfleet_world_t world;
	bool (*lasts)(const char *task, void *data); /* NULL: none does */
	GPtrArray *execs;
	GPtrArray *views;
	GHashTable *starts; /* task to count */
	GHashTable *failed; /* task to its failed runs that were noted */
	GHashTable *done; /* tasks of which a run has ended done */
	GHashTable *noted; /* tasks whose done end was taken note of */
	uint32_t late_percent;
	uint32_t jitter_ms;
	char proxy_address[16]; /* last answer of the interface */
	bool hold_orders; /* all starts and stops are carried out late */
	uint32_t n_starts;
	uint32_t lapses;
	uint32_t broken;
	char *first_broken;
	guint timer;
};

struct bp_qfleet_view {
	bp_executors_t interface;
	bp_qfleet_t *fleet;
	bool frozen;
	bool cut; /* reaches no executor */
	GHashTable *calls;
};

typedef enum { START, STOP, POLL, THROTTLE } kind_t;

typedef struct {
	bp_qfleet_view_t *view;
	kind_t kind;
	exec_t *exec;
	uint64_t fence;
	char *task;
	uint64_t run;
	int64_t deadline_ms;
	uint64_t cursor;
	uint32_t wait_ms;
	bp_exec_done_t done;
	void *data;
	int64_t born_ms; /* incarnation that the order is for; 0: any */
	uint32_t incarnation; /* of the executor, for orders carried out late */
	bool forgotten;
	bool answered;
	bp_exec_result_t result;
	GArray *running;
	GArray *ended;
	guint timer;
} call_t;

static const bp_clock_t *
clock_of(const bp_qfleet_t *fleet)
{
	return bp_clock_virtual_clock(fleet->clock);
}

static int64_t
exec_ms(const exec_t *exec)
{
	return bp_clock_mono_ms(clock_of(exec->fleet)) - exec->born_ms;
}

static void
report(bp_qfleet_t *fleet, const char *rule, const char *task)
{
	fleet->broken++;
	if (fleet->first_broken == NULL)
		fleet->first_broken = g_strdup_printf("%s: %s at %d ms", rule,
		    task, (int)bp_clock_mono_ms(clock_of(fleet)));
}

static void
run_free(gpointer data)
{
	g_free(((run_t *)data)->task);
	g_free(data);
}

static void
end_free(gpointer data)
{
	g_free(((end_t *)data)->task);
	g_free(data);
}

static uint64_t
highest_of(const exec_t *exec, const char *task)
{
	return (uint64_t)(gsize)g_hash_table_lookup(exec->highest, task);
}

static void
raise_highest(exec_t *exec, const char *task, uint64_t run)
{
	if (run > highest_of(exec, task))
		g_hash_table_replace(
		    exec->highest, g_strdup(task), GSIZE_TO_POINTER(run));
}

static void answer_waiting(exec_t *exec);

/* Prints what executors do when RIG_LOG is set. */
static void
trace(const exec_t *exec, const char *what, const char *task, uint64_t run)
{
	if (getenv("RIG_LOG") != NULL)
		fprintf(stderr,
		    "%d executor %u life %u: %s %s run %" G_GUINT64_FORMAT "\n",
		    (int)bp_clock_mono_ms(clock_of(exec->fleet)), exec->index,
		    exec->incarnation, what, task, run);
}

static void
add_end(exec_t *exec, guint index, bp_end_kind_t how)
{
	run_t *run = exec->running->pdata[index];
	end_t *end = g_new0(end_t, 1);

	end->number = ++exec->last_number;
	end->task = g_strdup(run->task);
	end->run = run->run;
	end->how = how;
	exec->fleet->lapses += how == BP_END_LEASE_EXPIRED;
	if (how == BP_END_DONE)
		g_hash_table_add(exec->fleet->done, g_strdup(run->task));
	raise_highest(exec, run->task, run->run);
	trace(exec,
	    how == BP_END_DONE		      ? "done"
		: how == BP_END_FAILED	      ? "failed"
		: how == BP_END_LEASE_EXPIRED ? "lapsed"
					      : "stopped",
	    run->task, run->run);
	g_ptr_array_add(exec->ended, end);
	g_ptr_array_remove_index(exec->running, index);
}

/* Ends what is over; an expired lease kills everything. */
static void
advance(exec_t *exec)
{
	int64_t now_ms = exec_ms(exec);
	bool expired = exec->lease_end_ms > 0 && now_ms > exec->lease_end_ms;
	guint before = exec->ended->len;
	guint i;

	for (i = exec->running->len; i > 0; i--) {
		run_t *run = exec->running->pdata[i - 1];

		if (now_ms >= run->ends_ms)
			add_end(exec, i - 1, run->how);
		else if (expired)
			add_end(exec, i - 1, BP_END_LEASE_EXPIRED);
	}
	for (i = 0; expired && i < exec->ended->len; i++)
		((end_t *)exec->ended->pdata[i])->expired_since = true;
	if (exec->ended->len > before)
		answer_waiting(exec);
}

static gboolean
on_step(gpointer data)
{
	bp_qfleet_t *fleet = data;
	guint i;

	for (i = 0; i < fleet->execs->len; i++)
		advance(fleet->execs->pdata[i]);
	return G_SOURCE_CONTINUE;
}

static bool
runs_elsewhere(bp_qfleet_t *fleet, const char *task)
{
	guint i;
	guint k;

	for (i = 0; i < fleet->execs->len; i++) {
		exec_t *exec = fleet->execs->pdata[i];

		advance(exec);
		for (k = 0; k < exec->running->len; k++) {
			const run_t *run = exec->running->pdata[k];

			if (strcmp(run->task, task) == 0)
				return true;
		}
	}
	return false;
}

static uint32_t
failures_of(const bp_qfleet_t *fleet, const char *task)
{
	return GPOINTER_TO_UINT(g_hash_table_lookup(fleet->failed, task));
}

/* Tells whether the attempts of a task have a bound. */
static bool
is_bounded(const bp_qfleet_t *fleet, const char *task)
{
	return fleet->lasts == NULL || !fleet->lasts(task, fleet->world.data);
}

static void
check_start(exec_t *exec, const char *task, uint32_t cpu_milli)
{
	bp_qfleet_t *fleet = exec->fleet;
	const char *why = fleet->world.forbidden(task, fleet->world.data);
	uint64_t used = cpu_milli;
	guint i;

	if (why != NULL)
		report(fleet, why, task);
	if (runs_elsewhere(fleet, task))
		report(fleet, "runs twice", task);
	if (is_bounded(fleet, task) &&
	    failures_of(fleet, task) >= BP_QFLEET_ATTEMPTS)
		report(fleet, "starts after its last attempt failed", task);
	if (g_hash_table_contains(fleet->noted, task))
		report(fleet, "starts after its end was noted", task);
	for (i = 0; i < exec->running->len; i++)
		used += ((run_t *)exec->running->pdata[i])->cpu_milli;
	if (used > CPU_MILLI)
		report(fleet, "over capacity", task);
}

static void
apply_start(call_t *call)
{
	exec_t *exec = call->exec;
	bp_qfleet_t *fleet = exec->fleet;
	int64_t duration_ms =
	    fleet->world.duration_ms(call->task, call->run, fleet->world.data);
	run_t *run;
	guint i;

	exec->lease_end_ms = MAX(exec->lease_end_ms,
	    MIN(call->deadline_ms, exec_ms(exec) + LEASE_MAX_MS));
	for (i = 0; i < exec->running->len; i++) {
		run = exec->running->pdata[i];
		if (run->run == call->run && strcmp(run->task, call->task) == 0)
			return;
	}
	if (call->run <= highest_of(exec, call->task)) {
		call->result.outcome = BP_EXEC_STALE_RUN;
		return;
	}
	/* Polls may have prolonged the executor's deadline since. */
	if (exec_ms(exec) > exec->lease_end_ms) {
		call->result.outcome = BP_EXEC_EXPIRED;
		return;
	}
	run = g_new0(run_t, 1);
	run->task = g_strdup(call->task);
	run->run = call->run;
	run->how =
	    duration_ms < 0 || exec->failing ? BP_END_FAILED : BP_END_DONE;
	run->ends_ms = exec_ms(exec) + (exec->failing ? 30 : ABS(duration_ms));
	run->cpu_milli = fleet->world.cpu_milli(call->task, fleet->world.data);
	check_start(exec, call->task, run->cpu_milli);
	trace(exec, "start", call->task, call->run);
	g_ptr_array_add(exec->running, run);
	fleet->n_starts++;
	g_hash_table_replace(fleet->starts, g_strdup(call->task),
	    GUINT_TO_POINTER(bp_qfleet_starts_of(fleet, call->task) + 1));
}

static void
apply_stop(call_t *call)
{
	exec_t *exec = call->exec;
	guint i;

	raise_highest(exec, call->task, call->run);
	for (i = 0; i < exec->running->len; i++) {
		run_t *run = exec->running->pdata[i];

		if (run->run == call->run &&
		    strcmp(run->task, call->task) == 0 &&
		    run->ends_ms > exec_ms(exec) + STOP_MS) {
			run->ends_ms = exec_ms(exec) + STOP_MS;
			run->how = BP_END_STOPPED;
		}
	}
}

static void
apply_poll(call_t *call)
{
	exec_t *exec = call->exec;

	if (call->deadline_ms > 0)
		exec->lease_end_ms = MAX(exec->lease_end_ms,
		    MIN(call->deadline_ms, exec_ms(exec) + LEASE_MAX_MS));
	while (exec->ended->len > 0) {
		const end_t *end = exec->ended->pdata[0];

		if (end->number > call->cursor)
			break;
		trace(exec, "noted", end->task, call->fence);
		if (end->how == BP_END_FAILED && !end->expired_since)
			g_hash_table_replace(exec->fleet->failed,
			    g_strdup(end->task),
			    GUINT_TO_POINTER(
				failures_of(exec->fleet, end->task) + 1));
		if (end->how == BP_END_DONE && !end->expired_since)
			g_hash_table_add(
			    exec->fleet->noted, g_strdup(end->task));
		g_ptr_array_remove_index(exec->ended, 0);
	}
}

static void
fill_lists(call_t *call)
{
	exec_t *exec = call->exec;
	guint i;

	call->running = g_array_new(FALSE, TRUE, sizeof(bp_exec_running_t));
	call->ended = g_array_new(FALSE, TRUE, sizeof(bp_exec_ended_t));
	for (i = 0; i < exec->running->len; i++) {
		const run_t *run = exec->running->pdata[i];
		bp_exec_running_t row = {g_intern_string(run->task), run->run,
		    exec->fleet->checkpoint, 50, 0};

		g_array_append_val(call->running, row);
	}
	for (i = 0; i < exec->ended->len; i++) {
		const end_t *end = exec->ended->pdata[i];
		bp_exec_ended_t row = {end->number, g_intern_string(end->task),
		    end->run, end->how, exec->fleet->checkpoint};

		g_array_append_val(call->ended, row);
	}
	call->result.running = call->running;
	call->result.ended = call->ended;
}

static void
call_free(call_t *call)
{
	guint timer = call->timer;

	g_hash_table_remove(call->view->calls, call);
	if (call->exec != NULL)
		g_ptr_array_remove(call->exec->waiting, call);
	bp_clock_cancel_timer(clock_of(call->view->fleet), &timer);
	if (call->running != NULL)
		g_array_unref(call->running);
	if (call->ended != NULL)
		g_array_unref(call->ended);
	g_free(call->task);
	g_free(call);
}

static uint32_t
jitter_of(bp_qfleet_t *fleet)
{
	return fleet->jitter_ms > 0
	    ? bp_random_below(fleet->random, fleet->jitter_ms)
	    : 0;
}

static gboolean
on_answer(gpointer data)
{
	call_t *call = data;

	call->timer = 0;
	if (call->view->frozen && !call->forgotten) {
		call->timer = bp_clock_add_timer(clock_of(call->view->fleet),
		    FROZEN_STEP_MS, on_answer, call);
		return G_SOURCE_REMOVE;
	}
	if (!call->forgotten)
		call->done(&call->result, call->data);
	call_free(call);
	return G_SOURCE_REMOVE;
}

static void
send_answer(call_t *call)
{
	exec_t *exec = call->exec;

	g_ptr_array_remove(exec->waiting, call);
	bp_clock_cancel_timer(clock_of(call->view->fleet), &call->timer);
	if (call->answered)
		return;
	call->answered = true;
	if (exec->cut || exec->dead || call->view->cut || exec->losing > 0) {
		exec->losing -= exec->losing > 0;
		call->result.outcome = BP_EXEC_UNKNOWN;
		call->timer = bp_clock_add_timer(
		    clock_of(exec->fleet), ORDER_TIMEOUT_MS, on_answer, call);
		return;
	}
	call->result.clock_ms = exec_ms(exec);
	call->result.born_ms = exec->born_ms;
	if (call->kind == POLL && call->result.outcome == BP_EXEC_OK)
		fill_lists(call);
	call->timer = bp_clock_add_timer(clock_of(exec->fleet),
	    LATENCY_MS + jitter_of(exec->fleet) +
		(call->kind == START ? exec->slow_ms : 0),
	    on_answer, call);
}

static gboolean
on_waited(gpointer data)
{
	call_t *call = data;

	call->timer = 0;
	send_answer(call);
	return G_SOURCE_REMOVE;
}

static void
answer_waiting(exec_t *exec)
{
	while (exec->waiting->len > 0)
		send_answer(exec->waiting->pdata[exec->waiting->len - 1]);
}

static void
apply(call_t *call)
{
	exec_t *exec = call->exec;

	advance(exec);
	call->result.outcome = BP_EXEC_OK;
	if (call->fence < exec->fence) {
		call->result.outcome = BP_EXEC_FENCED;
		return;
	}
	exec->fence = call->fence;
	switch (call->kind) {
	case START:
		apply_start(call);
		break;
	case STOP:
		apply_stop(call);
		break;
	case POLL:
		apply_poll(call);
		break;
	case THROTTLE:
		break;
	}
}

static gboolean
on_late(gpointer data)
{
	call_t *call = data;

	call->timer = 0;
	/* The executor holds the order back, so it dies with that incarnation.
	 */
	if (!call->exec->cut && !call->exec->dead &&
	    call->incarnation == call->exec->incarnation)
		apply(call);
	call_free(call);
	return G_SOURCE_REMOVE;
}

static bool
is_late(const call_t *call)
{
	bp_qfleet_t *fleet = call->exec->fleet;

	if (fleet->hold_orders && (call->kind == START || call->kind == STOP))
		return true;
	return bp_random_below(fleet->random, 100) < fleet->late_percent;
}

static gboolean
on_arrival(gpointer data)
{
	call_t *call = data;
	exec_t *exec = call->exec;
	bp_qfleet_t *fleet = exec->fleet;

	call->timer = 0;
	if (exec->cut || exec->dead || call->view->cut) {
		send_answer(call);
		return G_SOURCE_REMOVE;
	}
	/* Its sender has no connection to the incarnation that is meant. */
	if (call->born_ms != 0 && call->born_ms != exec->born_ms) {
		call->result.outcome = BP_EXEC_OTHER_INCARNATION;
		send_answer(call);
		return G_SOURCE_REMOVE;
	}
	if (is_late(call)) {
		call_t *late = g_new0(call_t, 1);

		*late = *call;
		late->task = g_strdup(call->task);
		late->incarnation = exec->incarnation;
		late->forgotten = true;
		g_hash_table_add(call->view->calls, late);
		late->timer = bp_clock_add_timer(clock_of(fleet),
		    2000 + bp_random_below(fleet->random, 10000), on_late,
		    late);
		call->answered = true;
		call->result.outcome = BP_EXEC_UNKNOWN;
		call->timer = bp_clock_add_timer(
		    clock_of(fleet), ORDER_TIMEOUT_MS, on_answer, call);
		return G_SOURCE_REMOVE;
	}
	apply(call);
	if (call->kind == POLL && call->result.outcome == BP_EXEC_OK &&
	    exec->ended->len == 0 && call->wait_ms > 0) {
		g_ptr_array_add(exec->waiting, call);
		call->timer = bp_clock_add_timer(
		    clock_of(fleet), call->wait_ms, on_waited, call);
	} else {
		send_answer(call);
	}
	return G_SOURCE_REMOVE;
}

static char *
address_of(const exec_t *exec)
{
	return g_strdup_printf("10.0.0.%u:80", exec->index);
}

static char *
id_of(const exec_t *exec)
{
	return g_strdup_printf("i-%u", exec->index);
}

static call_t *
new_call(bp_executors_t *interface, kind_t kind, const bp_exec_target_t *target,
    bp_exec_done_t done, void *data)
{
	bp_qfleet_view_t *view = (bp_qfleet_view_t *)interface;
	call_t *call = g_new0(call_t, 1);
	guint64 index = 0;

	(void)g_ascii_string_to_unsigned(
	    target->id + 2, 10, 0, view->fleet->execs->len - 1, &index, NULL);
	call->view = view;
	call->kind = kind;
	call->exec = view->fleet->execs->pdata[index];
	call->fence = target->fence;
	call->born_ms = target->born_ms;
	call->done = done;
	call->data = data;
	g_hash_table_add(view->calls, call);
	call->timer = bp_clock_add_timer(clock_of(view->fleet),
	    LATENCY_MS + bp_random_below(view->fleet->random, 4) +
		jitter_of(view->fleet),
	    on_arrival, call);
	return call;
}

static void
fleet_start(bp_executors_t *interface, const bp_exec_target_t *target,
    const bp_exec_start_t *start, bp_exec_done_t done, void *data)
{
	call_t *call = new_call(interface, START, target, done, data);

	call->task = g_strdup(start->task);
	call->run = start->run;
	call->deadline_ms = start->deadline_ms;
}

static void
fleet_stop(bp_executors_t *interface, const bp_exec_target_t *target,
    const char *task, uint64_t run, bp_exec_done_t done, void *data)
{
	call_t *call = new_call(interface, STOP, target, done, data);

	call->task = g_strdup(task);
	call->run = run;
}

static void
fleet_poll(bp_executors_t *interface, const bp_exec_target_t *target,
    const bp_exec_poll_t *poll, bp_exec_done_t done, void *data)
{
	call_t *call = new_call(interface, POLL, target, done, data);

	call->deadline_ms = poll->deadline_ms;
	call->cursor = poll->cursor;
	call->wait_ms = poll->wait_ms;
}

static void
fleet_throttle(bp_executors_t *interface, const bp_exec_target_t *target,
    const char *task, uint64_t run, uint32_t percent, bp_exec_done_t done,
    void *data)
{
	(void)task;
	(void)run;
	(void)percent;
	(void)new_call(interface, THROTTLE, target, done, data);
}

static const char *
fleet_proxy_address(bp_executors_t *interface, const bp_exec_target_t *target)
{
	bp_qfleet_t *fleet = ((bp_qfleet_view_t *)interface)->fleet;
	guint64 index = 0;

	(void)g_ascii_string_to_unsigned(
	    target->id + 2, 10, 0, fleet->execs->len - 1, &index, NULL);
	snprintf(fleet->proxy_address, sizeof(fleet->proxy_address), "c%u",
	    bp_qfleet_proxy_of((uint32_t)index));
	return fleet->proxy_address;
}

static void
fleet_forget(bp_executors_t *interface, void *data)
{
	bp_qfleet_view_t *view = (bp_qfleet_view_t *)interface;
	GHashTableIter iter;
	gpointer key;

	g_hash_table_iter_init(&iter, view->calls);
	while (g_hash_table_iter_next(&iter, &key, NULL)) {
		if (((call_t *)key)->data == data)
			((call_t *)key)->forgotten = true;
	}
}

static void
exec_reset(exec_t *exec)
{
	g_ptr_array_set_size(exec->running, 0);
	g_ptr_array_set_size(exec->ended, 0);
	g_hash_table_remove_all(exec->highest);
	exec->fence = 0;
	exec->lease_end_ms = 0;
	exec->last_number = 0;
	exec->incarnation++;
	exec->born_ms = bp_clock_mono_ms(clock_of(exec->fleet));
}

static void
exec_free(gpointer data)
{
	exec_t *exec = data;

	g_ptr_array_unref(exec->running);
	g_ptr_array_unref(exec->ended);
	g_ptr_array_unref(exec->waiting);
	g_hash_table_unref(exec->highest);
	g_free(exec);
}

static void
view_free(gpointer data)
{
	bp_qfleet_view_t *view = data;
	GList *calls = g_hash_table_get_keys(view->calls);

	g_list_free_full(calls, (GDestroyNotify)call_free);
	g_hash_table_unref(view->calls);
	g_free(view);
}

/* Creates executors of 16 cores, three to a rack, in two zones. */
bp_qfleet_t *
bp_qfleet_new(bp_clock_virtual_t *clock, bp_random_t *random,
    uint32_t executors, const bp_qfleet_world_t *world)
{
	bp_qfleet_t *fleet = g_new0(bp_qfleet_t, 1);
	uint32_t i;

	fleet->checkpoint = "";
	fleet->clock = clock;
	fleet->random = random;
	fleet->world = *world;
	fleet->execs = g_ptr_array_new_with_free_func(exec_free);
	fleet->views = g_ptr_array_new_with_free_func(view_free);
	fleet->starts =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	fleet->failed =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	fleet->done =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	fleet->noted =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	for (i = 0; i < executors; i++) {
		exec_t *exec = g_new0(exec_t, 1);

		exec->fleet = fleet;
		exec->index = i;
		exec->service = "pool";
		exec->kind = i == 0 ? "first" : "other";
		exec->next_kind = exec->kind;
		exec->running = g_ptr_array_new_with_free_func(run_free);
		exec->ended = g_ptr_array_new_with_free_func(end_free);
		exec->waiting = g_ptr_array_new();
		exec->highest = g_hash_table_new_full(
		    g_str_hash, g_str_equal, g_free, NULL);
		exec_reset(exec);
		g_ptr_array_add(fleet->execs, exec);
	}
	fleet->timer = bp_clock_add_timer(clock_of(fleet), 10, on_step, fleet);
	return fleet;
}

/* See the header. */
void
bp_qfleet_set_lasts(
    bp_qfleet_t *fleet, bool (*lasts)(const char *task, void *data))
{
	fleet->lasts = lasts;
}

/* Frees the executors and the calls in flight. */
void
bp_qfleet_free(bp_qfleet_t *fleet)
{
	bp_clock_cancel_timer(clock_of(fleet), &fleet->timer);
	g_ptr_array_unref(fleet->views);
	g_ptr_array_unref(fleet->execs);
	g_hash_table_unref(fleet->starts);
	g_hash_table_unref(fleet->failed);
	g_hash_table_unref(fleet->done);
	g_hash_table_unref(fleet->noted);
	g_free(fleet->first_broken);
	g_free(fleet);
}

/* Adds the view of one node. */
bp_qfleet_view_t *
bp_qfleet_view(bp_qfleet_t *fleet)
{
	bp_qfleet_view_t *view = g_new0(bp_qfleet_view_t, 1);

	view->fleet = fleet;
	view->calls = g_hash_table_new(NULL, NULL);
	view->interface.start = fleet_start;
	view->interface.stop = fleet_stop;
	view->interface.poll = fleet_poll;
	view->interface.throttle = fleet_throttle;
	view->interface.proxy_address = fleet_proxy_address;
	view->interface.forget = fleet_forget;
	g_ptr_array_add(fleet->views, view);
	return view;
}

/* Returns the interface of a view. */
bp_executors_t *
bp_qfleet_interface(bp_qfleet_view_t *view)
{
	return &view->interface;
}

/* The node stands still: answers wait until it goes on. */
void
bp_qfleet_set_frozen(bp_qfleet_view_t *view, bool frozen)
{
	view->frozen = frozen;
}

/* See the header. */
void
bp_qfleet_set_view_cut(bp_qfleet_view_t *view, bool cut)
{
	view->cut = cut;
}

/* Returns the number of executors. */
uint32_t
bp_qfleet_size(const bp_qfleet_t *fleet)
{
	return fleet->execs->len;
}

/* See the header. */
bp_executor_info_t *
bp_qfleet_info(const bp_qfleet_t *fleet, uint32_t index)
{
	const exec_t *exec = fleet->execs->pdata[index];
	bp_executor_info_t *info = g_new0(bp_executor_info_t, 1);

	info->id = id_of(exec);
	info->address = address_of(exec);
	info->service = g_strdup(exec->service);
	info->zone = g_strdup(index % 2 == 0 ? "za" : "zb");
	info->rack = g_strdup_printf("r%u", index / RACK_SIZE);
	info->labels =
	    g_strdupv((char *[]){(char *)exec->kind, info->rack, NULL});
	info->accelerators = ACCELERATORS;
	info->draining = exec->draining;
	info->cpu_milli = CPU_MILLI;
	info->memory_mib = 64000;
	info->born_ms = exec->born_ms;
	return info;
}

/* Lists the executor as leaving, or not. */
void
bp_qfleet_set_draining(bp_qfleet_t *fleet, uint32_t index, bool draining)
{
	((exec_t *)fleet->execs->pdata[index])->draining = draining;
}

/* See the header. */
void
bp_qfleet_set_cut(bp_qfleet_t *fleet, uint32_t index, bool cut)
{
	((exec_t *)fleet->execs->pdata[index])->cut = cut;
}

/* See the header. */
void
bp_qfleet_lose_answers(bp_qfleet_t *fleet, uint32_t index, uint32_t answers)
{
	((exec_t *)fleet->execs->pdata[index])->losing = answers;
}

static gboolean
on_reborn(gpointer data)
{
	exec_t *exec = data;

	exec_reset(exec);
	exec->kind = exec->next_kind;
	exec->dead = false;
	return G_SOURCE_REMOVE;
}

/* All that runs there ends unseen; a new life begins a little later. */
void
bp_qfleet_crash(bp_qfleet_t *fleet, uint32_t index)
{
	exec_t *exec = fleet->execs->pdata[index];

	if (exec->dead)
		return;
	exec->dead = true;
	g_ptr_array_set_size(exec->running, 0);
	g_ptr_array_set_size(exec->ended, 0);
	bp_clock_add_timer(clock_of(fleet), REBIRTH_MS, on_reborn, exec);
}

/* See the header. */
void
bp_qfleet_set_kind(bp_qfleet_t *fleet, uint32_t index, const char *kind)
{
	((exec_t *)fleet->execs->pdata[index])->next_kind = kind;
}

/* See the header. */
void
bp_qfleet_set_listed(bp_qfleet_t *fleet, uint32_t index, bool listed)
{
	((exec_t *)fleet->execs->pdata[index])->unlisted = !listed;
}

/* See the header. */
bool
bp_qfleet_is_listed(const bp_qfleet_t *fleet, uint32_t index)
{
	return !((const exec_t *)fleet->execs->pdata[index])->unlisted;
}

/* Lists the executor in a pool of another name, which is static. */
void
bp_qfleet_set_service(bp_qfleet_t *fleet, uint32_t index, const char *service)
{
	((exec_t *)fleet->execs->pdata[index])->service = service;
}

/* Everything that starts there fails at once. */
void
bp_qfleet_set_failing(bp_qfleet_t *fleet, uint32_t index, bool failing)
{
	((exec_t *)fleet->execs->pdata[index])->failing = failing;
}

/* See the header. */
void
bp_qfleet_set_late(bp_qfleet_t *fleet, uint32_t percent)
{
	fleet->late_percent = percent;
}

/* See the header. */
void
bp_qfleet_set_jitter_ms(bp_qfleet_t *fleet, uint32_t jitter_ms)
{
	fleet->jitter_ms = jitter_ms;
}

/* See the header. */
uint32_t
bp_qfleet_proxy_of(uint32_t index)
{
	return index % PROXIES;
}

/* See the header. */
void
bp_qfleet_set_slow_ms(bp_qfleet_t *fleet, uint32_t index, uint32_t slow_ms)
{
	((exec_t *)fleet->execs->pdata[index])->slow_ms = slow_ms;
}

/* Leaves starts and stops, but not polls, unanswered until seconds later. */
void
bp_qfleet_set_hold_orders(bp_qfleet_t *fleet, bool hold)
{
	fleet->hold_orders = hold;
}

/* Returns the number of starts that were carried out. */
uint32_t
bp_qfleet_starts(const bp_qfleet_t *fleet)
{
	return fleet->n_starts;
}

/* Returns how often a task was started. */
uint32_t
bp_qfleet_starts_of(const bp_qfleet_t *fleet, const char *task)
{
	return GPOINTER_TO_UINT(g_hash_table_lookup(fleet->starts, task));
}

/* Returns on how many executors a task runs now. */
uint32_t
bp_qfleet_running_of(const bp_qfleet_t *fleet, const char *task)
{
	uint32_t running = 0;
	guint i;
	guint k;

	for (i = 0; i < fleet->execs->len; i++) {
		const exec_t *exec = fleet->execs->pdata[i];

		for (k = 0; k < exec->running->len; k++)
			running +=
			    strcmp(((run_t *)exec->running->pdata[k])->task,
				task) == 0;
	}
	return running;
}

/* See the header. */
void
bp_qfleet_each_running(const bp_qfleet_t *fleet,
    void (*visit)(const char *task, void *data), void *data)
{
	guint i;
	guint k;

	for (i = 0; i < fleet->execs->len; i++) {
		const exec_t *exec = fleet->execs->pdata[i];

		for (k = 0; k < exec->running->len; k++)
			visit(((run_t *)exec->running->pdata[k])->task, data);
	}
}

/* See the header. */
uint32_t
bp_qfleet_free_milli(const bp_qfleet_t *fleet, uint32_t index)
{
	const exec_t *exec = fleet->execs->pdata[index];
	uint32_t used = 0;
	guint i;

	if (exec->cut || exec->dead || exec->draining || exec->unlisted)
		return 0;
	for (i = 0; i < exec->running->len; i++)
		used += ((run_t *)exec->running->pdata[i])->cpu_milli;
	return CPU_MILLI - MIN(used, CPU_MILLI);
}

/* See the header. */
uint32_t
bp_qfleet_running_on(const bp_qfleet_t *fleet, uint32_t index, const char *job)
{
	const exec_t *exec = fleet->execs->pdata[index];
	uint32_t running = 0;
	guint i;

	for (i = 0; i < exec->running->len; i++) {
		const run_t *run = exec->running->pdata[i];

		running += g_str_has_prefix(run->task, job);
	}
	return running;
}

/* See the header. */
uint32_t
bp_qfleet_lapses(const bp_qfleet_t *fleet)
{
	return fleet->lapses;
}

/* See the header. */
uint32_t
bp_qfleet_unacknowledged(const bp_qfleet_t *fleet)
{
	uint32_t ends = 0;
	guint i;

	for (i = 0; i < fleet->execs->len; i++) {
		const exec_t *exec = fleet->execs->pdata[i];

		ends += exec->unlisted ? 0 : exec->ended->len;
	}
	return ends;
}

/* Returns how often a rule was broken. */
uint32_t
bp_qfleet_broken(const bp_qfleet_t *fleet)
{
	return fleet->broken;
}

/* Returns the first broken rule, NULL for none. */
const char *
bp_qfleet_first_broken(const bp_qfleet_t *fleet)
{
	return fleet->first_broken;
}

/* Tells whether a run of the task has ended done. */
bool
bp_qfleet_has_done(const bp_qfleet_t *fleet, const char *task)
{
	return g_hash_table_contains(fleet->done, task);
}

/* See the header. */
void
bp_qfleet_set_checkpoint(bp_qfleet_t *fleet, const char *checkpoint)
{
	fleet->checkpoint = checkpoint;
}
