#include "scheduler/private.h"

#define US_PER_MS 1000
#define ASSIGN_APPEND_TIMEOUT_MS 5000
/* Task budget of a scheduling round: 2,000 starts per second and node. */
#define TASKS_PER_ROUND 200

typedef struct {
	bp_scheduler_t *scheduler;
	char *job;
	uint32_t first_task;
	uint32_t count;
} assign_call_t;

static void
on_assign(const bp_applied_t *applied, const bp_error_t *err, void *data)
{
	assign_call_t *call = data;

	(void)err;
	if (applied == NULL || applied->kind != BP_OK) {
		call->scheduler->counters.assign_lost += call->count;
		bp_placement_settled(
		    call->scheduler->placement, call->job, call->first_task);
	}
	g_free(call->job);
	g_free(call);
}

static void
append_assignment(bp_scheduler_t *self, const bp_assignment_t *assignment)
{
	Bp__Log__Entry entry = BP__LOG__ENTRY__INIT;
	Bp__Log__Assign assign = BP__LOG__ASSIGN__INIT;
	assign_call_t *call = g_new0(assign_call_t, 1);

	assign.job = assignment->job->id;
	assign.first_task = assignment->first_task;
	assign.count = assignment->count;
	assign.attempt = assignment->attempt;
	assign.vm = assignment->vm->name;
	assign.epoch = assignment->epoch;
	entry.body_case = BP__LOG__ENTRY__BODY_ASSIGN;
	entry.assign = &assign;
	call->scheduler = self;
	call->job = g_strdup(assignment->job->id);
	call->first_task = assignment->first_task;
	call->count = assignment->count;
	if (bp_appender_add(self->options.appender, &entry,
		ASSIGN_APPEND_TIMEOUT_MS, on_assign, call, NULL) != BP_OK)
		on_assign(NULL, NULL, call);
}

/* Runs placement for one round and appends its assign entries. */
void
bp_assign_round(bp_scheduler_t *self)
{
	GArray *plan = g_array_new(FALSE, FALSE, sizeof(bp_assignment_t));
	bp_error_t err;
	guint i;

	if (bp_placement_plan(plan, self->placement,
		bp_follower_state(self->options.follower),
		self->settings->node.name, self->options.incarnation,
		TASKS_PER_ROUND, bp_scheduler_now_us(self) / US_PER_MS,
		&err) != BP_OK)
		bp_log(self->options.logger, BP_LOG_WARNING, "scheduler",
		    "placement failed", "error", err.message, NULL);
	for (i = 0; i < plan->len; i++)
		append_assignment(
		    self, &g_array_index(plan, bp_assignment_t, i));
	g_array_unref(plan);
}
