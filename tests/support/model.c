#include "support/model.h"

static void
keep_kind(const bp_applied_t *applied, void *data)
{
	((bp_model_t *)data)->rc = applied->kind;
}

/* Creates an empty state. */
void
bp_model_init(bp_model_t *model)
{
	model->state = bp_state_new();
	model->offset = 0;
	model->seq = 0;
	model->now_ms = 1000000;
	model->rc = BP_OK;
	bp_state_observe(model->state, keep_kind, model);
}

/* Frees the state. */
void
bp_model_clear(bp_model_t *model)
{
	bp_state_free(model->state);
	model->state = NULL;
}

static int
apply_as(bp_model_t *model, const char *node, Bp__Log__Entry *entry)
{
	Bp__Log__Record record = BP__LOG__RECORD__INIT;
	uint8_t *bytes;
	size_t size;
	int rc;

	record.version = BP_RECORD_VERSION;
	record.node = (char *)node;
	record.incarnation = BP_MODEL_INCARNATION + (uint64_t)node[1];
	record.seq = ++model->seq;
	record.time_ms = (uint64_t)model->now_ms;
	record.n_entries = 1;
	record.entries = &entry;
	size = bp__log__record__get_packed_size(&record);
	bytes = g_malloc(size);
	bp__log__record__pack(&record, bytes);
	rc = bp_state_apply(model->state, model->offset++, bytes, size, NULL);
	g_free(bytes);
	return rc != BP_OK ? rc : model->rc;
}

static void
claim(bp_model_t *model, const char *node, const char *rack)
{
	Bp__Log__Entry entry = BP__LOG__ENTRY__INIT;
	Bp__Log__Claim body = BP__LOG__CLAIM__INIT;
	const bp_rack_t *known = bp_state_rack(model->state, rack);

	if (known != NULL && known->owner != NULL)
		return;
	body.rack = (char *)rack;
	body.epoch = known != NULL ? known->epoch : 0;
	body.ground = known != NULL && known->released
	    ? BP__LOG__CLAIM_GROUND__GROUND_RELEASED
	    : BP__LOG__CLAIM_GROUND__GROUND_UNOWNED;
	entry.body_case = BP__LOG__ENTRY__BODY_CLAIM;
	entry.claim = &body;
	apply_as(model, node, &entry);
}

static bp_vm_t *
add_vm(bp_model_t *model, const char *node, const char *vm, const char *rack,
    const bp_resources_t *capacity)
{
	Bp__Log__Entry entry = BP__LOG__ENTRY__INIT;
	Bp__Log__VmUpsert body = BP__LOG__VM_UPSERT__INIT;

	claim(model, node, rack);
	body.vm = (char *)vm;
	body.rack = (char *)rack;
	body.epoch = bp_state_rack(model->state, rack)->epoch;
	body.cpu_milli = capacity->cpu_milli;
	body.memory_mib = capacity->memory_mib;
	body.accelerators = capacity->accelerators;
	entry.body_case = BP__LOG__ENTRY__BODY_VM_UPSERT;
	entry.vm_upsert = &body;
	apply_as(model, node, &entry);
	return bp_state_vm(model->state, vm);
}

/* Adds a VM to a rack of node n1. */
bp_vm_t *
bp_model_vm(bp_model_t *model, const char *vm, const char *rack,
    uint32_t cpu_milli, uint32_t memory_mib, uint32_t accelerators)
{
	bp_resources_t capacity = {cpu_milli, memory_mib, accelerators};

	return add_vm(model, "n1", vm, rack, &capacity);
}

/* Adds a VM to a rack of the node. */
bp_vm_t *
bp_model_vm_of(bp_model_t *model, const char *node, const char *vm,
    const char *rack, uint32_t cpu_milli, uint32_t memory_mib)
{
	bp_resources_t capacity = {cpu_milli, memory_mib, 0};

	return add_vm(model, node, vm, rack, &capacity);
}

/* Submits a job; its name is its id. */
bp_job_t *
bp_model_job(bp_model_t *model, const char *id, const char *team,
    bp_task_class_t klass, uint32_t tasks, uint32_t cpu_milli,
    uint32_t memory_mib)
{
	Bp__Log__Entry entry = BP__LOG__ENTRY__INIT;
	Bp__Log__JobSubmit body = BP__LOG__JOB_SUBMIT__INIT;
	Bp__Log__JobSpec spec = BP__LOG__JOB_SPEC__INIT;

	spec.id = (char *)id;
	spec.name = (char *)id;
	spec.team = (char *)team;
	spec.klass = (Bp__Log__TaskClass)klass;
	spec.tasks = tasks;
	spec.cpu_milli = cpu_milli;
	spec.memory_mib = memory_mib;
	body.spec = &spec;
	entry.body_case = BP__LOG__ENTRY__BODY_JOB_SUBMIT;
	entry.job_submit = &body;
	apply_as(model, "n1", &entry);
	return bp_state_job(model->state, id);
}

/* Assigns tasks as the owner of the VM's rack. */
int
bp_model_assign(bp_model_t *model, const bp_job_t *job, uint32_t first,
    uint32_t count, const bp_vm_t *vm)
{
	Bp__Log__Entry entry = BP__LOG__ENTRY__INIT;
	Bp__Log__Assign body = BP__LOG__ASSIGN__INIT;

	body.job = job->id;
	body.first_task = first;
	body.count = count;
	body.attempt = job->tasks[first].attempt;
	body.vm = vm->name;
	body.epoch = vm->rack->epoch;
	entry.body_case = BP__LOG__ENTRY__BODY_ASSIGN;
	entry.assign = &body;
	return apply_as(
	    model, vm->rack->owner != NULL ? vm->rack->owner : "n1", &entry);
}

/* Ends the current attempt of an assigned task. */
int
bp_model_end(bp_model_t *model, const bp_job_t *job, uint32_t task,
    Bp__Log__TaskOutcome outcome)
{
	Bp__Log__Entry entry = BP__LOG__ENTRY__INIT;
	Bp__Log__TaskEnd body = BP__LOG__TASK_END__INIT;
	const bp_rack_t *rack = job->tasks[task].vm->rack;

	body.job = job->id;
	body.task = task;
	body.attempt = job->tasks[task].attempt;
	body.outcome = outcome;
	body.epoch = rack->epoch;
	entry.body_case = BP__LOG__ENTRY__BODY_TASK_END;
	entry.task_end = &body;
	return apply_as(model, rack->owner, &entry);
}

/* Publishes a rule file from the version in force. */
int
bp_model_rules(bp_model_t *model, const char *text)
{
	Bp__Log__Entry entry = BP__LOG__ENTRY__INIT;
	Bp__Log__RulesPublish body = BP__LOG__RULES_PUBLISH__INIT;
	const bp_rules_version_t *current = bp_state_rules(model->state);

	body.base_version = current != NULL ? current->version : 0;
	body.text = (char *)text;
	body.author = "ola";
	entry.body_case = BP__LOG__ENTRY__BODY_RULES_PUBLISH;
	entry.rules_publish = &body;
	return apply_as(model, "n1", &entry);
}

/* Takes a zone out of service or back in. */
int
bp_model_zone(bp_model_t *model, const char *zone, bool out)
{
	Bp__Log__Entry entry = BP__LOG__ENTRY__INIT;
	Bp__Log__ZoneChange body = BP__LOG__ZONE_CHANGE__INIT;

	body.zone = (char *)zone;
	body.out = out;
	body.base_version = bp_state_zone(model->state, zone)->version;
	body.author = "ola";
	body.reason = "switch work";
	entry.body_case = BP__LOG__ENTRY__BODY_ZONE_CHANGE;
	entry.zone_change = &body;
	return apply_as(model, "n1", &entry);
}

/* Sets or lifts the hold of a VM. */
int
bp_model_hold(bp_model_t *model, const bp_vm_t *vm, Bp__Log__HoldCause cause)
{
	Bp__Log__Entry entry = BP__LOG__ENTRY__INIT;
	Bp__Log__VmHold body = BP__LOG__VM_HOLD__INIT;

	body.vm = vm->name;
	body.epoch = vm->rack->epoch;
	body.cause = cause;
	body.detail = "5 starts of 2 jobs failed in a row";
	entry.body_case = BP__LOG__ENTRY__BODY_VM_HOLD;
	entry.vm_hold = &body;
	return apply_as(
	    model, vm->rack->owner != NULL ? vm->rack->owner : "n1", &entry);
}

/* Gives up the rack as its owner. */
int
bp_model_release(bp_model_t *model, const char *rack)
{
	Bp__Log__Entry entry = BP__LOG__ENTRY__INIT;
	Bp__Log__Release body = BP__LOG__RELEASE__INIT;
	const bp_rack_t *known = bp_state_rack(model->state, rack);

	body.rack = (char *)rack;
	body.epoch = known->epoch;
	entry.body_case = BP__LOG__ENTRY__BODY_RELEASE;
	entry.release = &body;
	return apply_as(model, known->owner, &entry);
}
