#include "standin/worker_vm.h"

#include <stdlib.h>
#include <string.h>

#define PERMIT_US (2000 * US_PER_MS)
/* Run time of a task on a VM that fails everything. */
#define FAIL_AFTER_MS 10

static int64_t
now_us(const vm_t *vm)
{
	return bp_clock_mono_us(vm->options.clock);
}

static char *
task_key(const Bp__Worker__TaskId *id)
{
	return g_strdup_printf("%s/%u/%u", id->job, id->task, id->attempt);
}

static void
task_free(gpointer data)
{
	vm_task_t *task = data;

	g_free(task->key);
	g_free(task->job);
	g_free(task);
}

static void
ended_free(gpointer data)
{
	bp__worker__ended_task__free_unpacked(data, NULL);
}

/* Frees one Bp__Worker__TaskUsage. */
void
vm_usage_free(gpointer usage)
{
	bp__worker__task_usage__free_unpacked(usage, NULL);
}

static void
note(vm_t *vm, const char *event, const char *cause, uint64_t epoch)
{
	vm_event_t e = {.time_us = now_us(vm),
	    .vm = vm->options.name,
	    .event = event,
	    .cause = cause,
	    .epoch = epoch};

	vm_history_add(vm->options.history, &e);
}

static void
note_task(vm_t *vm, const vm_task_t *task, const char *event, const char *cause,
    int64_t time_us, const char *checkpoint)
{
	vm_event_t e = {.time_us = time_us,
	    .vm = vm->options.name,
	    .job = task->job,
	    .task = task->task,
	    .attempt = task->attempt,
	    .event = event,
	    .cause = cause,
	    .epoch = task->epoch,
	    .checkpoint = (char *)checkpoint,
	    .cpu_milli = task->cpu_milli,
	    .memory_mib = task->memory_mib,
	    .accelerators = task->accelerators};

	vm_history_add(vm->options.history, &e);
}

/* Starts a boot: nothing of an earlier boot is remembered. */
static void
boot(vm_t *vm)
{
	vm->boot_id = bp_random_next(vm->options.random);
	vm->epoch = 0;
	g_free(vm->owner);
	vm->owner = g_strdup("");
	g_array_set_size(vm->nonces, 0);
	g_hash_table_remove_all(vm->started);
	g_ptr_array_set_size(vm->running, 0);
	g_ptr_array_set_size(vm->ended, 0);
	g_ptr_array_set_size(vm->usage, 0);
	g_ptr_array_set_size(vm->reported, 0);
	vm->cpu_used = 0;
	vm->memory_used = 0;
	vm->accelerators_used = 0;
}

/* Creates a VM with nothing running; strings of the options must last. */
vm_t *
vm_new(const vm_options_t *options)
{
	vm_t *vm = g_new0(vm_t, 1);

	vm->options = *options;
	vm->nonces = g_array_new(FALSE, FALSE, sizeof(nonce_t));
	vm->running = g_ptr_array_new_with_free_func(task_free);
	vm->started =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	vm->ended = g_ptr_array_new_with_free_func(ended_free);
	vm->usage = g_ptr_array_new_with_free_func(vm_usage_free);
	vm->reported = g_ptr_array_new_with_free_func(vm_usage_free);
	boot(vm);
	return vm;
}

/* Frees a VM. */
void
vm_free(vm_t *vm)
{
	g_array_unref(vm->nonces);
	g_ptr_array_unref(vm->running);
	g_hash_table_unref(vm->started);
	g_ptr_array_unref(vm->ended);
	g_ptr_array_unref(vm->usage);
	g_ptr_array_unref(vm->reported);
	g_free(vm->owner);
	g_free(vm);
}

/* Ends all tasks at once and forgets session, nonces and ended tasks. */
void
vm_reboot(vm_t *vm)
{
	guint i;

	vm_advance(vm);
	for (i = 0; i < vm->running->len; i++)
		note_task(vm, g_ptr_array_index(vm->running, i), "end",
		    "reboot", now_us(vm), NULL);
	boot(vm);
	note(vm, "boot", "reboot", 0);
}

/* Makes each task started from now on fail. */
void
vm_set_fail_all(vm_t *vm, bool fail_all)
{
	vm->fail_all = fail_all;
}

/* Returns the random number of this boot. */
uint64_t
vm_boot_id(const vm_t *vm)
{
	return vm->boot_id;
}

/* Returns the epoch of the session; 0 before the first one. */
uint64_t
vm_session_epoch(const vm_t *vm)
{
	return vm->epoch;
}

/* Issues a nonce and forgets those that are too old. */
uint64_t
vm_nonce(vm_t *vm)
{
	nonce_t nonce = {bp_random_next(vm->options.random), now_us(vm)};
	guint expired = 0;

	while (expired < vm->nonces->len &&
	    nonce.issued_us -
		    g_array_index(vm->nonces, nonce_t, expired).issued_us >
		PERMIT_US)
		expired++;
	g_array_remove_range(vm->nonces, 0, expired);
	g_array_append_val(vm->nonces, nonce);
	return nonce.value;
}

static bool
nonce_valid(const vm_t *vm, uint64_t value)
{
	guint i;

	for (i = 0; i < vm->nonces->len; i++) {
		const nonce_t *nonce = &g_array_index(vm->nonces, nonce_t, i);

		if (nonce->value == value)
			return now_us(vm) - nonce->issued_us <= PERMIT_US;
	}
	return false;
}

/* Checks the epoch and nonce of a start, renewal or action. */
Bp__Worker__Status
vm_check(const vm_t *vm, uint64_t epoch, uint64_t nonce)
{
	if (epoch == 0 || epoch != vm->epoch)
		return BP__WORKER__STATUS__STATUS_STALE_EPOCH;
	if (!nonce_valid(vm, nonce))
		return BP__WORKER__STATUS__STATUS_NONCE_EXPIRED;
	return BP__WORKER__STATUS__STATUS_OK;
}

/* Returns the work (us at full speed) that the task has done by a time. */
int64_t
vm_task_work_us(const vm_task_t *task, int64_t time_us)
{
	return task->done_us +
	    (time_us - task->at_us) *
	    (PERMILLE - (int64_t)task->throttle_permille) / PERMILLE;
}

/* Returns the time at which the task completes, or INT64_MAX. */
static int64_t
finish_us(const vm_task_t *task)
{
	int64_t rate = PERMILLE - (int64_t)task->throttle_permille;
	int64_t left_us =
	    (int64_t)task->command.run_ms * US_PER_MS - task->done_us;

	if (task->command.run_ms == 0 || rate <= 0)
		return INT64_MAX;
	return task->at_us + MAX(left_us, 0) * PERMILLE / rate;
}

static void
end_task(vm_t *vm, guint index, Bp__Worker__EndCause cause, int64_t at_us)
{
	static const char *const causes[] = {
	    "succeeded", "failed", "stopped", "lease_lapsed", "checkpointed"};
	vm_task_t *task = g_ptr_array_index(vm->running, index);
	Bp__Worker__EndedTask *ended = g_new(Bp__Worker__EndedTask, 1);

	bp__worker__ended_task__init(ended);
	ended->id = vm_task_id_new(task->job, task->task, task->attempt);
	ended->cause = cause;
	ended->detail = g_strdup(causes[cause]);
	if (cause == BP__WORKER__END_CAUSE__END_CHECKPOINTED)
		ended->checkpoint =
		    g_strdup_printf("%s:%s@%" G_GINT64_FORMAT, vm->options.name,
			task->key, vm_task_work_us(task, at_us) / US_PER_MS);
	else
		ended->checkpoint = g_strdup("");
	g_ptr_array_add(vm->ended, ended);
	note_task(vm, task, "end", causes[cause], at_us, ended->checkpoint);
	vm->cpu_used -= task->cpu_milli;
	vm->memory_used -= task->memory_mib;
	vm->accelerators_used -= task->accelerators;
	g_ptr_array_remove_index(vm->running, index);
}

/* Ends the task if one of its limits is reached; returns whether it was. */
static bool
advance_task(vm_t *vm, guint index, int64_t time_us)
{
	const vm_task_t *task = g_ptr_array_index(vm->running, index);
	Bp__Worker__EndCause cause = task->command.fail
	    ? BP__WORKER__END_CAUSE__END_FAILED
	    : BP__WORKER__END_CAUSE__END_SUCCEEDED;
	int64_t at_us = finish_us(task);

	if (task->stop_us != 0 && task->stop_us < at_us) {
		cause = BP__WORKER__END_CAUSE__END_CHECKPOINTED;
		at_us = task->stop_us;
	}
	if (task->lease_until_us < at_us) {
		cause = BP__WORKER__END_CAUSE__END_LEASE_LAPSED;
		at_us = task->lease_until_us;
	}
	if (at_us > time_us)
		return false;
	end_task(vm, index, cause, at_us);
	return true;
}

/*
 * Ends the tasks whose time has come. The recorded time is that of the limit
 * itself, not that of this call: work that is only simulated stops exactly
 * then, however late this process gets a processor.
 */
void
vm_advance(vm_t *vm)
{
	int64_t time_us = now_us(vm);
	guint i = 0;

	while (i < vm->running->len) {
		if (!advance_task(vm, i, time_us))
			i++;
	}
}

/* Fills in what a nonce request is told, except the nonce. */
void
vm_describe(vm_t *vm, Bp__Worker__NonceAnswer *answer)
{
	guint i;

	vm_advance(vm);
	answer->boot_id = vm->boot_id;
	answer->cpu_milli = vm->options.cpu_milli;
	answer->memory_mib = vm->options.memory_mib;
	answer->accelerators = vm->options.accelerators;
	answer->session_epoch = vm->epoch;
	answer->session_owner = g_strdup(vm->owner);
	answer->n_running = vm->running->len;
	answer->running = g_new0(Bp__Worker__TaskId *, vm->running->len + 1);
	for (i = 0; i < vm->running->len; i++) {
		const vm_task_t *t = g_ptr_array_index(vm->running, i);

		answer->running[i] =
		    vm_task_id_new(t->job, t->task, t->attempt);
	}
}

/* Opens a session; a higher epoch replaces the present one at once. */
Bp__Worker__Status
vm_session(vm_t *vm, const Bp__Worker__SessionRequest *request)
{
	if (!nonce_valid(vm, request->nonce)) {
		note(vm, "refused", "session_nonce_expired", request->epoch);
		return BP__WORKER__STATUS__STATUS_NONCE_EXPIRED;
	}
	if (request->epoch == 0 || request->epoch < vm->epoch ||
	    (request->epoch == vm->epoch &&
		strcmp(request->owner, vm->owner) != 0)) {
		note(vm, "refused", "session_stale_epoch", request->epoch);
		return BP__WORKER__STATUS__STATUS_STALE_EPOCH;
	}
	if (request->epoch > vm->epoch)
		note(vm, "session", "opened", request->epoch);
	vm->epoch = request->epoch;
	g_free(vm->owner);
	vm->owner = g_strdup(request->owner);
	return BP__WORKER__STATUS__STATUS_OK;
}

static bool
fits(const vm_t *vm, const Bp__Worker__StartTask *start)
{
	const vm_options_t *o = &vm->options;

	return start->cpu_milli <= o->cpu_milli - vm->cpu_used &&
	    start->memory_mib <= o->memory_mib - vm->memory_used &&
	    start->accelerators <= o->accelerators - vm->accelerators_used;
}

static Bp__Worker__Status
check_start(const vm_t *vm, uint64_t epoch, uint64_t nonce,
    const Bp__Worker__StartTask *start, const char *key)
{
	Bp__Worker__Status status = vm_check(vm, epoch, nonce);
	guint i;

	if (status != BP__WORKER__STATUS__STATUS_OK)
		return status;
	for (i = 0; i < vm->running->len; i++) {
		const vm_task_t *t = g_ptr_array_index(vm->running, i);

		if (strcmp(t->key, key) == 0)
			return BP__WORKER__STATUS__STATUS_ALREADY;
	}
	if (g_hash_table_contains(vm->started, key))
		return BP__WORKER__STATUS__STATUS_ENDED;
	return fits(vm, start) ? BP__WORKER__STATUS__STATUS_OK
			       : BP__WORKER__STATUS__STATUS_NO_CAPACITY;
}

/* A checkpoint id ends in "@" and the work done in ms. */
static int64_t
checkpoint_work_us(const char *checkpoint)
{
	const char *at = strrchr(checkpoint, '@');

	return at != NULL ? strtoll(at + 1, NULL, 10) * US_PER_MS : 0;
}

static vm_task_t *
task_new(const vm_t *vm, uint64_t epoch, const Bp__Worker__StartTask *start)
{
	vm_task_t *task = g_new0(vm_task_t, 1);

	task->key = task_key(start->id);
	task->job = g_strdup(start->id->job);
	task->task = start->id->task;
	task->attempt = start->id->attempt;
	task->epoch = epoch;
	task->klass = start->klass;
	task->cpu_milli = start->cpu_milli;
	task->memory_mib = start->memory_mib;
	task->accelerators = start->accelerators;
	task->at_us = now_us(vm);
	task->done_us = checkpoint_work_us(start->checkpoint);
	task->lease_us = (int64_t)start->lease_ms * US_PER_MS;
	task->lease_until_us = task->at_us + task->lease_us;
	vm_command_parse(&task->command, start);
	if (vm->fail_all) {
		task->command.fail = true;
		task->command.run_ms = FAIL_AFTER_MS;
	}
	return task;
}

/* Starts one task, at most once per attempt and boot. */
Bp__Worker__Status
vm_start(vm_t *vm, uint64_t epoch, uint64_t nonce,
    const Bp__Worker__StartTask *start)
{
	static const char *const causes[] = {"", "already", "stale_epoch",
	    "nonce_expired", "no_capacity", "ended", "unknown_task"};
	char *key = task_key(start->id);
	Bp__Worker__Status status;
	vm_task_t *task;

	vm_advance(vm);
	status = check_start(vm, epoch, nonce, start, key);
	task = task_new(vm, epoch, start);
	if (status != BP__WORKER__STATUS__STATUS_OK) {
		note_task(vm, task, "refused", causes[status], task->at_us,
		    start->checkpoint);
		task_free(task);
		g_free(key);
		return status;
	}
	vm->cpu_used += task->cpu_milli;
	vm->memory_used += task->memory_mib;
	vm->accelerators_used += task->accelerators;
	g_hash_table_add(vm->started, key);
	g_ptr_array_add(vm->running, task);
	note_task(vm, task, "start", "", task->at_us, start->checkpoint);
	return status;
}

/* Throttles or stops one task. */
Bp__Worker__Status
vm_act(
    vm_t *vm, uint64_t epoch, uint64_t nonce, const Bp__Worker__Action *action)
{
	Bp__Worker__Status status = vm_check(vm, epoch, nonce);
	char *key = task_key(action->id);
	vm_task_t *task = NULL;
	guint i;

	vm_advance(vm);
	for (i = 0; i < vm->running->len && task == NULL; i++) {
		vm_task_t *t = g_ptr_array_index(vm->running, i);

		if (strcmp(t->key, key) == 0)
			task = t;
	}
	g_free(key);
	if (status != BP__WORKER__STATUS__STATUS_OK)
		return status;
	if (task == NULL)
		return BP__WORKER__STATUS__STATUS_UNKNOWN_TASK;
	if (action->kind == BP__WORKER__ACTION_KIND__ACTION_STOP) {
		end_task(
		    vm, i - 1, BP__WORKER__END_CAUSE__END_STOPPED, now_us(vm));
	} else if (action->kind ==
	    BP__WORKER__ACTION_KIND__ACTION_CHECKPOINT_STOP) {
		if (task->stop_us == 0)
			task->stop_us = now_us(vm) +
			    (int64_t)vm->options.checkpoint_ms * US_PER_MS;
	} else {
		task->done_us = vm_task_work_us(task, now_us(vm));
		task->at_us = now_us(vm);
		task->throttle_permille =
		    MIN(action->throttle_permille, PERMILLE);
	}
	return status;
}
