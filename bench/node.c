#include "cluster.h"

#include <stdlib.h>
#include <string.h>

#define QUARANTINE_FAILURES 5
#define DEATH_MS 3000
/* Tasks assigned until then may have met a VM that was down. */
#define UNREACHABLE_MS 3500
/* permit + lease of each class, from design section 4 */
#define LOST_URGENT_MS 8100
#define LOST_SERVICE_MS 22200
#define LOST_BATCH_MS 32300

/* Claims a rack whose owner is gone. */
void
node_claim(node_t *node, const char *rack, uint64_t epoch)
{
	Bp__Log__Entry entry = BP__LOG__ENTRY__INIT;
	Bp__Log__Claim body = BP__LOG__CLAIM__INIT;

	body.rack = (char *)rack;
	body.epoch = epoch;
	body.ground = epoch == 0 ? BP__LOG__CLAIM_GROUND__GROUND_UNOWNED
				 : BP__LOG__CLAIM_GROUND__GROUND_OWNER_DEAD;
	entry.body_case = BP__LOG__ENTRY__BODY_CLAIM;
	entry.claim = &body;
	node_add(node, &entry);
}

/* Makes a VM known; its rack is at epoch 1. */
void
node_upsert(node_t *node, const truth_vm_t *vm, const deployment_t *deployment)
{
	Bp__Log__Entry entry = BP__LOG__ENTRY__INIT;
	Bp__Log__VmUpsert body = BP__LOG__VM_UPSERT__INIT;

	body.vm = (char *)vm->name;
	body.rack = (char *)vm->rack;
	body.epoch = 1;
	body.cpu_milli = deployment->cpu_milli;
	body.memory_mib = deployment->memory_mib;
	entry.body_case = BP__LOG__ENTRY__BODY_VM_UPSERT;
	entry.vm_upsert = &body;
	node_add(node, &entry);
}

/* Writes one planned assignment. */
void
node_assign(node_t *node, const bp_assignment_t *assignment)
{
	Bp__Log__Entry entry = BP__LOG__ENTRY__INIT;
	Bp__Log__Assign body = BP__LOG__ASSIGN__INIT;

	body.job = assignment->job->id;
	body.first_task = assignment->first_task;
	body.count = assignment->count;
	body.attempt = assignment->attempt;
	body.vm = assignment->vm->name;
	body.epoch = assignment->epoch;
	entry.body_case = BP__LOG__ENTRY__BODY_ASSIGN;
	entry.assign = &body;
	node_add(node, &entry);
}

static void
write_end(node_t *node, const char *job, uint32_t task, uint32_t attempt,
    Bp__Log__TaskOutcome outcome, const bp_rack_t *rack)
{
	Bp__Log__Entry entry = BP__LOG__ENTRY__INIT;
	Bp__Log__TaskEnd body = BP__LOG__TASK_END__INIT;

	body.job = (char *)job;
	body.task = task;
	body.attempt = attempt;
	body.outcome = outcome;
	body.epoch = rack->epoch;
	entry.body_case = BP__LOG__ENTRY__BODY_TASK_END;
	entry.task_end = &body;
	node_add(node, &entry);
}

static void
write_hold(node_t *node, const bp_vm_t *vm)
{
	Bp__Log__Entry entry = BP__LOG__ENTRY__INIT;
	Bp__Log__VmHold body = BP__LOG__VM_HOLD__INIT;

	body.vm = vm->name;
	body.epoch = vm->rack->epoch;
	body.cause = BP__LOG__HOLD_CAUSE__HOLD_QUARANTINED;
	entry.body_case = BP__LOG__ENTRY__BODY_VM_HOLD;
	entry.vm_hold = &body;
	node_add(node, &entry);
}

static int64_t
lost_after_ms(const bp_job_t *job)
{
	switch (job->klass) {
	case BP_CLASS_URGENT:
		return LOST_URGENT_MS;
	case BP_CLASS_SERVICE:
		return LOST_SERVICE_MS;
	case BP_CLASS_BATCH:
		return LOST_BATCH_MS;
	}
	return LOST_BATCH_MS;
}

/* Ends the tasks of a VM that is down once their leases have expired. */
static void
end_lost(node_t *node, const bp_vm_t *vm, const truth_vm_t *truth)
{
	int64_t age_ms = node->cluster->world->now_ms - truth->down_ms;
	guint i;

	for (i = 0; i < vm->tasks->len; i++) {
		const bp_task_ref_t *ref =
		    &g_array_index(vm->tasks, bp_task_ref_t, i);
		uint32_t attempt = ref->job->tasks[ref->task].attempt;
		char *key;

		if (age_ms < lost_after_ms(ref->job) ||
		    ref->job->tasks[ref->task].since_ms - TIME_BASE_MS >
			truth->down_ms + UNREACHABLE_MS)
			continue;
		key = g_strdup_printf("%s/%u/%u/%lu", ref->job->id, ref->task,
		    attempt, (unsigned long)vm->rack->epoch);
		if (g_hash_table_add(node->lost, key))
			write_end(node, ref->job->id, ref->task, attempt,
			    BP__LOG__TASK_OUTCOME__OUTCOME_LOST, vm->rack);
	}
}

static void
report_ends(node_t *node, const bp_vm_t *vm, truth_vm_t *truth)
{
	guint i;

	for (i = 0; i < truth->ended->len; i++) {
		const ended_t *ended = &g_array_index(truth->ended, ended_t, i);
		char id[8];

		g_snprintf(id, sizeof(id), "j%05u", ended->job);
		write_end(node, id, ended->task, ended->attempt, ended->outcome,
		    vm->rack);
	}
	g_array_set_size(truth->ended, 0);
}

static void
carry_out(world_t *world, uint32_t vm, GArray *acts)
{
	guint i;

	for (i = 0; i < acts->len; i++)
		world_act(world, vm, &g_array_index(acts, bp_mitigation_t, i));
}

/* Takes the reports that have arrived by now. */
static void
take_reports(node_t *node, uint32_t index, truth_vm_t *truth)
{
	world_t *world = node->cluster->world;
	GArray *acts = g_array_new(FALSE, FALSE, sizeof(bp_mitigation_t));

	while (truth->reports->len > 0) {
		const report_t *report = g_ptr_array_index(truth->reports, 0);

		if (report->body.at_ms + REPORT_LAG_MS > world->now_ms)
			break;
		if (node->guard) {
			g_array_set_size(acts, 0);
			bp_eviction_report(node->eviction, node->interference,
			    &report->body, world->now_ms, acts);
			carry_out(world, index, acts);
		}
		g_ptr_array_remove_index(truth->reports, 0);
	}
	g_array_unref(acts);
}

static bool
owns(const node_t *node, const bp_rack_t *rack)
{
	return rack->owner != NULL &&
	    rack->owner_incarnation == node->incarnation;
}

static void
protect_vm(node_t *node, uint32_t index)
{
	world_t *world = node->cluster->world;
	truth_vm_t *truth = &world->vms[index];
	const bp_vm_t *vm = bp_state_vm(node->state, truth->name);
	char *key;

	if (vm == NULL || !owns(node, vm->rack))
		return;
	if (truth->down_ms > 0)
		end_lost(node, vm, truth);
	if (!truth->alive)
		return;
	if (world->now_ms == truth->next_report_ms - REPORT_MS ||
	    world->now_ms % REPORT_MS < TICK_MS)
		report_ends(node, vm, truth);
	take_reports(node, index, truth);
	if (!node->quarantine ||
	    !bp_eviction_quarantine_due(vm, QUARANTINE_FAILURES))
		return;
	key = g_strdup_printf("hold/%s", vm->name);
	if (g_hash_table_add(node->lost, key))
		write_hold(node, vm);
}

static void
drain(node_t *node)
{
	world_t *world = node->cluster->world;
	GArray *acts = g_array_new(FALSE, FALSE, sizeof(bp_mitigation_t));
	guint i;

	bp_eviction_drain(node->eviction, node->state, node->name,
	    node->incarnation, world->now_ms, acts);
	for (i = 0; i < acts->len; i++) {
		const bp_mitigation_t *act =
		    &g_array_index(acts, bp_mitigation_t, i);
		const bp_job_t *job = bp_state_job(node->state, act->job);

		world_act(world, index_of(job->tasks[act->task].vm->name), act);
	}
	g_array_unref(acts);
}

/* Reports ends, learns from reports, throttles, evicts and drains. */
void
node_protect(node_t *node)
{
	uint32_t i;

	for (i = 0; i < node->cluster->world->deployment->vms; i++)
		protect_vm(node, i);
	drain(node);
}

static bool
is_first(const node_t *node, const bp_rack_t *rack)
{
	const cluster_t *cluster = node->cluster;
	uint64_t own = bp_hash_text(rack->name, node->incarnation);
	uint32_t i;

	for (i = 0; i < cluster->world->deployment->nodes; i++) {
		const node_t *other = &cluster->nodes[i];

		if (other->alive && other != node &&
		    bp_hash_text(rack->name, other->incarnation) > own)
			return false;
	}
	return true;
}

/* Claims racks of nodes that have been dead for 3 s. */
void
node_take_over(node_t *node)
{
	const cluster_t *cluster = node->cluster;
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, bp_state_racks(node->state));
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const bp_rack_t *rack = value;
		const node_t *owner;
		char *key;

		if (rack->owner == NULL)
			continue;
		owner = &cluster->nodes[rack->owner_incarnation - 100];
		if (owner->alive ||
		    cluster->world->now_ms - owner->dead_ms < DEATH_MS ||
		    !is_first(node, rack))
			continue;
		key = g_strdup_printf(
		    "%s/%lu", rack->name, (unsigned long)rack->epoch);
		if (g_hash_table_add(node->lost, key))
			node_claim(node, rack->name, rack->epoch);
	}
}
