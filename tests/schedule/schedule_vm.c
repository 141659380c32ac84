#include "schedule/schedule.h"

#include <stdlib.h>
#include <string.h>

#define PERMIT_US 2000000
#define US_PER_MS 1000
#define VM_CPU_MILLI 4000
#define TASK_MAX_MS 15000
#define ZONE_LIMIT_US 3000000
/* Job 5 must not be run again when its end is not known. */
#define NEVER_RERUN_JOB 5

static int
job_index(const char *job)
{
	return job[1] - '0';
}

/* Prepares a worker of zone z1 or z2 with a clock up to 0.5% off. */
void
bp_fake_vm_init(bp_schedule_t *s, int index)
{
	bp_fake_vm_t *vm = &s->vms[index];

	(void)g_snprintf(vm->name, sizeof(vm->name), "vm%d", index);
	vm->boot_id = 1 + (uint64_t)index * 1000;
	vm->tasks = g_array_new(FALSE, TRUE, sizeof(bp_fake_task_t));
	vm->rate = 0.995 + 0.01 * bp_random_unit(&s->random);
}

void
bp_fake_vm_clear(bp_fake_vm_t *vm)
{
	g_array_unref(vm->tasks);
}

/* The worker loses all memory, its tasks included. */
void
bp_fake_vm_reboot(bp_schedule_t *s, bp_fake_vm_t *vm)
{
	(void)s;
	vm->boot_id++;
	vm->epoch = 0;
	vm->n_nonces = 0;
	g_array_set_size(vm->tasks, 0);
}

static int64_t
local_us(const bp_schedule_t *s, const bp_fake_vm_t *vm)
{
	return (int64_t)((double)bp_schedule_now_us(s) * vm->rate);
}

/* Ends tasks that are done or whose lease has expired. */
void
bp_fake_vm_tick(bp_schedule_t *s, bp_fake_vm_t *vm)
{
	int64_t now_us = local_us(s, vm);
	guint i;

	for (i = 0; i < vm->tasks->len; i++) {
		bp_fake_task_t *task =
		    &g_array_index(vm->tasks, bp_fake_task_t, i);

		if (!task->running)
			continue;
		if (now_us >= task->ends_us) {
			task->running = false;
			task->reported = true;
			task->cause = BP__WORKER__END_CAUSE__END_SUCCEEDED;
		} else if (now_us >= task->lease_until_us &&
		    s->options.removed != BP_GUARD_LEASE) {
			task->running = false;
			task->reported = true;
			task->cause = BP__WORKER__END_CAUSE__END_LEASE_LAPSED;
		}
	}
}

static uint64_t
issue_nonce(bp_schedule_t *s, bp_fake_vm_t *vm)
{
	uint32_t slot = vm->n_nonces++ % 64;

	vm->nonces[slot] = bp_random_next(&s->random) | 1;
	vm->nonce_us[slot] = local_us(s, vm);
	return vm->nonces[slot];
}

static bool
nonce_valid(const bp_schedule_t *s, const bp_fake_vm_t *vm, uint64_t nonce)
{
	uint32_t i;

	if (s->options.removed == BP_GUARD_NONCE)
		return true;
	for (i = 0; i < MIN(vm->n_nonces, 64U); i++) {
		if (vm->nonces[i] == nonce)
			return local_us(s, vm) - vm->nonce_us[i] <= PERMIT_US;
	}
	return false;
}

static Bp__Worker__Status
check_request(const bp_schedule_t *s, const bp_fake_vm_t *vm, uint64_t epoch,
    uint64_t nonce)
{
	if (vm->epoch != epoch && s->options.removed != BP_GUARD_EPOCH)
		return BP__WORKER__STATUS__STATUS_STALE_EPOCH;
	if (!nonce_valid(s, vm, nonce))
		return BP__WORKER__STATUS__STATUS_NONCE_EXPIRED;
	return BP__WORKER__STATUS__STATUS_OK;
}

static bp_fake_task_t *
find_task(const bp_fake_vm_t *vm, const Bp__Worker__TaskId *id)
{
	guint i;

	for (i = 0; i < vm->tasks->len; i++) {
		bp_fake_task_t *task =
		    &g_array_index(vm->tasks, bp_fake_task_t, i);

		if (task->task == id->task && task->attempt == id->attempt &&
		    strcmp(task->job, id->job) == 0)
			return task;
	}
	return NULL;
}

/* The outside checks at the moment of a start. */
static void
check_start(bp_schedule_t *s, int vm_index, const Bp__Worker__StartTask *start)
{
	const Bp__Worker__TaskId *id = start->id;
	int job = job_index(id->job);
	int64_t out_us = s->zone_out_us[vm_index % 2];
	uint32_t before = 0;
	uint32_t i;
	int v;

	s->result->starts++;
	for (v = 0; v < BP_SCHEDULE_VMS; v++) {
		bp_fake_vm_tick(s, &s->vms[v]);
		for (i = 0; i < s->vms[v].tasks->len; i++) {
			const bp_fake_task_t *other =
			    &g_array_index(s->vms[v].tasks, bp_fake_task_t, i);

			s->result->two_places += other->running &&
			    other->task == id->task &&
			    strcmp(other->job, id->job) == 0;
		}
	}
	for (i = 0; i < BP_SCHEDULE_ATTEMPTS; i++)
		before += s->started[job][id->task][i];
	/* Resuming from a checkpoint is no second run. */
	s->result->rerun_forbidden += job == NEVER_RERUN_JOB && before > 0 &&
	    start->checkpoint[0] == '\0';
	s->result->attempt_twice += s->started[job][id->task][id->attempt] > 0;
	s->result->ran_though_not_started +=
	    s->refused[job][id->task][id->attempt];
	s->result->zone_late +=
	    out_us != 0 && bp_schedule_now_us(s) - out_us > ZONE_LIMIT_US;
	if (before == 0 && id->task == 0 && job == 0)
		s->result->slowest_urgent_ms =
		    (bp_schedule_now_us(s) - s->submitted_us[job]) / US_PER_MS;
	s->started[job][id->task][id->attempt]++;
}

static uint32_t
used_cpu(const bp_fake_vm_t *vm)
{
	uint32_t used = 0;
	guint i;

	for (i = 0; i < vm->tasks->len; i++) {
		const bp_fake_task_t *task =
		    &g_array_index(vm->tasks, bp_fake_task_t, i);

		used += task->running ? task->cpu_milli : 0;
	}
	return used;
}

static Bp__Worker__Status
start_task(bp_schedule_t *s, bp_fake_vm_t *vm, int vm_index,
    const Bp__Worker__StartTask *start)
{
	bp_fake_task_t *known = find_task(vm, start->id);
	bp_fake_task_t task = {0};

	if (known != NULL)
		return known->running ? BP__WORKER__STATUS__STATUS_ALREADY
				      : BP__WORKER__STATUS__STATUS_ENDED;
	if (used_cpu(vm) + start->cpu_milli > VM_CPU_MILLI) {
		s->result->over_capacity++;
		return BP__WORKER__STATUS__STATUS_NO_CAPACITY;
	}
	check_start(s, vm_index, start);
	g_strlcpy(task.job, start->id->job, sizeof(task.job));
	task.task = start->id->task;
	task.attempt = start->id->attempt;
	task.cpu_milli = start->cpu_milli;
	task.lease_ms = start->lease_ms;
	task.lease_until_us =
	    local_us(s, vm) + (int64_t)start->lease_ms * US_PER_MS;
	task.ends_us = local_us(s, vm) +
	    (int64_t)(300 + bp_schedule_random(s, TASK_MAX_MS)) * US_PER_MS;
	task.running = true;
	g_array_append_val(vm->tasks, task);
	return BP__WORKER__STATUS__STATUS_OK;
}

static GByteArray *
pack(const ProtobufCMessage *message)
{
	GByteArray *bytes = g_byte_array_new();

	g_byte_array_set_size(
	    bytes, (guint)protobuf_c_message_get_packed_size(message));
	protobuf_c_message_pack(message, bytes->data);
	return bytes;
}

static GByteArray *
answer_nonce(bp_schedule_t *s, bp_fake_vm_t *vm)
{
	Bp__Worker__NonceAnswer answer = BP__WORKER__NONCE_ANSWER__INIT;
	Bp__Worker__TaskId *ids = g_new0(Bp__Worker__TaskId, vm->tasks->len);
	GPtrArray *running = g_ptr_array_new();
	GByteArray *bytes;
	guint i;

	for (i = 0; i < vm->tasks->len; i++) {
		bp_fake_task_t *task =
		    &g_array_index(vm->tasks, bp_fake_task_t, i);

		bp__worker__task_id__init(&ids[i]);
		ids[i].job = task->job;
		ids[i].task = task->task;
		ids[i].attempt = task->attempt;
		if (task->running)
			g_ptr_array_add(running, &ids[i]);
	}
	answer.nonce = issue_nonce(s, vm);
	answer.boot_id = vm->boot_id;
	answer.cpu_milli = VM_CPU_MILLI;
	answer.memory_mib = 65536;
	answer.session_epoch = vm->epoch;
	answer.session_owner = vm->owner;
	answer.n_running = running->len;
	answer.running = (Bp__Worker__TaskId **)running->pdata;
	bytes = pack(&answer.base);
	g_ptr_array_unref(running);
	g_free(ids);
	return bytes;
}

static GByteArray *
answer_session(bp_schedule_t *s, bp_fake_vm_t *vm, const GByteArray *in)
{
	Bp__Worker__SessionRequest *request =
	    bp__worker__session_request__unpack(NULL, in->len, in->data);
	Bp__Worker__SessionAnswer answer = BP__WORKER__SESSION_ANSWER__INIT;

	if (request->epoch < vm->epoch)
		answer.status = BP__WORKER__STATUS__STATUS_STALE_EPOCH;
	else if (!nonce_valid(s, vm, request->nonce))
		answer.status = BP__WORKER__STATUS__STATUS_NONCE_EXPIRED;
	else {
		vm->epoch = request->epoch;
		g_strlcpy(vm->owner, request->owner, sizeof(vm->owner));
	}
	answer.nonce = issue_nonce(s, vm);
	answer.boot_id = vm->boot_id;
	answer.session_epoch = vm->epoch;
	bp__worker__session_request__free_unpacked(request, NULL);
	return pack(&answer.base);
}

static GByteArray *
answer_start(bp_schedule_t *s, int index, const GByteArray *in)
{
	bp_fake_vm_t *vm = &s->vms[index];
	Bp__Worker__StartRequest *request =
	    bp__worker__start_request__unpack(NULL, in->len, in->data);
	Bp__Worker__StartAnswer answer = BP__WORKER__START_ANSWER__INIT;
	Bp__Worker__Status *status =
	    g_new0(Bp__Worker__Status, request->n_tasks);
	GByteArray *bytes;
	size_t i;

	for (i = 0; i < request->n_tasks; i++) {
		status[i] =
		    check_request(s, vm, request->epoch, request->nonce);
		if (status[i] == BP__WORKER__STATUS__STATUS_OK)
			status[i] = start_task(s, vm, index, request->tasks[i]);
	}
	answer.n_status = request->n_tasks;
	answer.status = status;
	answer.nonce = issue_nonce(s, vm);
	answer.boot_id = vm->boot_id;
	bytes = pack(&answer.base);
	g_free(status);
	bp__worker__start_request__free_unpacked(request, NULL);
	return bytes;
}

static void
acknowledge(bp_fake_vm_t *vm, const Bp__Worker__RenewRequest *request)
{
	size_t i;

	for (i = 0; i < request->n_ack_ended; i++) {
		bp_fake_task_t *task = find_task(vm, request->ack_ended[i]);

		if (task != NULL)
			task->reported = false;
	}
}

static void
renew_all(const bp_schedule_t *s, bp_fake_vm_t *vm)
{
	guint i;

	for (i = 0; i < vm->tasks->len; i++) {
		bp_fake_task_t *task =
		    &g_array_index(vm->tasks, bp_fake_task_t, i);

		task->lease_until_us =
		    local_us(s, vm) + (int64_t)task->lease_ms * US_PER_MS;
	}
}

static GByteArray *
answer_renew(bp_schedule_t *s, bp_fake_vm_t *vm, const GByteArray *in)
{
	Bp__Worker__RenewRequest *request =
	    bp__worker__renew_request__unpack(NULL, in->len, in->data);
	Bp__Worker__RenewAnswer answer = BP__WORKER__RENEW_ANSWER__INIT;
	guint n = vm->tasks->len;
	Bp__Worker__TaskId *ids = g_new0(Bp__Worker__TaskId, n);
	Bp__Worker__EndedTask *ended = g_new0(Bp__Worker__EndedTask, n);
	GPtrArray *list = g_ptr_array_new();
	GByteArray *bytes;
	guint i;

	answer.status = check_request(s, vm, request->epoch, request->nonce);
	if (answer.status == BP__WORKER__STATUS__STATUS_OK) {
		acknowledge(vm, request);
		renew_all(s, vm);
	}
	for (i = 0; i < n; i++) {
		bp_fake_task_t *task =
		    &g_array_index(vm->tasks, bp_fake_task_t, i);

		if (!task->reported)
			continue;
		bp__worker__task_id__init(&ids[i]);
		ids[i].job = task->job;
		ids[i].task = task->task;
		ids[i].attempt = task->attempt;
		bp__worker__ended_task__init(&ended[i]);
		ended[i].id = &ids[i];
		ended[i].cause = task->cause;
		if (task->cause == BP__WORKER__END_CAUSE__END_CHECKPOINTED)
			ended[i].checkpoint = (char *)"c";
		g_ptr_array_add(list, &ended[i]);
	}
	answer.nonce = issue_nonce(s, vm);
	answer.boot_id = vm->boot_id;
	answer.n_ended = list->len;
	answer.ended = (Bp__Worker__EndedTask **)list->pdata;
	bytes = pack(&answer.base);
	g_ptr_array_unref(list);
	g_free(ended);
	g_free(ids);
	bp__worker__renew_request__free_unpacked(request, NULL);
	return bytes;
}

static GByteArray *
answer_act(bp_schedule_t *s, bp_fake_vm_t *vm, const GByteArray *in)
{
	Bp__Worker__ActRequest *request =
	    bp__worker__act_request__unpack(NULL, in->len, in->data);
	Bp__Worker__ActAnswer answer = BP__WORKER__ACT_ANSWER__INIT;
	Bp__Worker__Status status =
	    check_request(s, vm, request->epoch, request->nonce);
	size_t i;

	for (i = 0;
	     status == BP__WORKER__STATUS__STATUS_OK && i < request->n_actions;
	     i++) {
		const Bp__Worker__Action *action = request->actions[i];
		bp_fake_task_t *task = find_task(vm, action->id);

		if (task == NULL || !task->running ||
		    action->kind == BP__WORKER__ACTION_KIND__ACTION_THROTTLE)
			continue;
		task->running = false;
		task->reported = true;
		task->cause =
		    action->kind == BP__WORKER__ACTION_KIND__ACTION_STOP
		    ? BP__WORKER__END_CAUSE__END_STOPPED
		    : BP__WORKER__END_CAUSE__END_CHECKPOINTED;
	}
	answer.n_status = 1;
	answer.status = &status;
	answer.nonce = issue_nonce(s, vm);
	answer.boot_id = vm->boot_id;
	bp__worker__act_request__free_unpacked(request, NULL);
	return pack(&answer.base);
}

/* Handles one request at the worker and returns its answer. */
GByteArray *
bp_fake_vm_answer(
    bp_schedule_t *s, int index, int kind, const GByteArray *request)
{
	bp_fake_vm_t *vm = &s->vms[index];

	bp_fake_vm_tick(s, vm);
	switch (kind) {
	case CALL_NONCE:
		return answer_nonce(s, vm);
	case CALL_SESSION:
		return answer_session(s, vm, request);
	case CALL_START:
		return answer_start(s, index, request);
	case CALL_RENEW:
		return answer_renew(s, vm, request);
	default:
		return answer_act(s, vm, request);
	}
}
