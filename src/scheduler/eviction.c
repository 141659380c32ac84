#include "scheduler/eviction_private.h"

#include <string.h>

#define FULL_SPEED_PERMILLE 1000U
#define MS_PER_MIN 60000
/* Least slowdown that a confirmed cause adds. */
#define CAUSE_MIN_SLOWDOWN 0.1
/* Standard deviations subtracted from an estimate to confirm a cause. */
#define CAUSE_CONFIDENCE_SD 2.0
/* State of VMs without a report for this long is removed. */
#define VM_KEEP_MS (5 * MS_PER_MIN)

typedef enum { LEVEL_FULL, LEVEL_THROTTLED, LEVEL_CHECKPOINT } level_t;

/* Mitigation state of a batch task. */
typedef struct {
	char *job;
	uint32_t task;
	uint32_t attempt;
	level_t level;
	int64_t since_ms; /* start of the level */
	bool seen; /* in the current report */
} mitigation_state_t;

typedef struct {
	GPtrArray *mitigations; /* mitigation_state_t */
	uint32_t high_reports; /* consecutive reports */
	int64_t recovered_since_ms; /* -1 while above the lower threshold */
	int64_t mitigated_ms; /* time of the last mitigation */
	int64_t report_ms;
} vm_state_t;

struct bp_eviction {
	bp_eviction_options_t options;
	GHashTable *vms; /* name -> vm_state_t */
	bp_drain_t *drain;
	double tokens;
	int64_t tokens_ms;
};

/* One report being processed. */
typedef struct {
	bp_eviction_t *self;
	const bp_interference_t *interference;
	const bp_vm_report_t *report;
	const bp_victim_t *worst; /* NULL without services */
	vm_state_t *vm;
	int64_t now_ms;
	GArray *acts;
} report_context_t;

/* Sets the defaults. step_ms is longer than the lag of the reports. */
int
bp_eviction_options_init(bp_eviction_options_t *options)
{
	options->breach = 1.5;
	options->calm = 1.2;
	options->breach_reports = 2;
	options->step_ms = 6000;
	options->calm_ms = 30000;
	options->throttle_permille = 300;
	options->throttle_max_ms = 2 * MS_PER_MIN;
	options->stop_ms = 30000;
	options->evictions_per_min = 6;
	options->drain_per_min = 120;
	return 0;
}

static void
mitigation_state_free(void *data)
{
	g_free(((mitigation_state_t *)data)->job);
	g_free(data);
}

static void
vm_state_free(void *data)
{
	g_ptr_array_unref(((vm_state_t *)data)->mitigations);
	g_free(data);
}

/* Creates the eviction policy of one node. Free with bp_eviction_free. */
bp_eviction_t *
bp_eviction_new(const bp_eviction_options_t *options)
{
	bp_eviction_t *self = g_new0(bp_eviction_t, 1);

	self->options = *options;
	self->vms = g_hash_table_new_full(
	    g_str_hash, g_str_equal, g_free, vm_state_free);
	self->drain = bp_drain_new();
	self->tokens = options->evictions_per_min;
	return self;
}

/* Frees the eviction policy. NULL is allowed. */
void
bp_eviction_free(bp_eviction_t *eviction)
{
	if (eviction == NULL)
		return;
	g_hash_table_unref(eviction->vms);
	bp_drain_free(eviction->drain);
	g_free(eviction);
}

/* Refills a token bucket to at most the capacity most. */
void
bp_tokens_refill(double *tokens, int64_t *at_ms, uint32_t per_min, double most,
    int64_t now_ms)
{
	if (now_ms > *at_ms)
		*tokens += (double)(now_ms - *at_ms) * per_min / MS_PER_MIN;
	*tokens = MIN(*tokens, most);
	*at_ms = now_ms;
}

/* Takes one token; returns false if there is none. */
bool
bp_tokens_take(double *tokens)
{
	if (*tokens < 1)
		return false;
	*tokens -= 1;
	return true;
}

static gboolean
vm_state_expired(gpointer key, gpointer value, gpointer data)
{
	(void)key;
	return *(int64_t *)data - ((vm_state_t *)value)->report_ms > VM_KEEP_MS;
}

static vm_state_t *
vm_of(bp_eviction_t *self, const char *name, int64_t now_ms)
{
	vm_state_t *vm = g_hash_table_lookup(self->vms, name);

	if (vm != NULL)
		return vm;
	g_hash_table_foreach_remove(self->vms, vm_state_expired, &now_ms);
	vm = g_new0(vm_state_t, 1);
	vm->mitigations = g_ptr_array_new_with_free_func(mitigation_state_free);
	vm->recovered_since_ms = -1;
	vm->mitigated_ms = INT64_MIN / 2;
	g_hash_table_insert(self->vms, g_strdup(name), vm);
	return vm;
}

static mitigation_state_t *
mitigation_of(vm_state_t *vm, const bp_suspect_t *task)
{
	mitigation_state_t *state;
	guint i;

	for (i = 0; i < vm->mitigations->len; i++) {
		state = g_ptr_array_index(vm->mitigations, i);
		if (state->task == task->task &&
		    state->attempt == task->attempt &&
		    strcmp(state->job, task->job) == 0)
			return state;
	}
	state = g_new0(mitigation_state_t, 1);
	state->job = g_strdup(task->job);
	state->task = task->task;
	state->attempt = task->attempt;
	g_ptr_array_add(vm->mitigations, state);
	return state;
}

/* Removes the state of tasks that are no longer on the VM. */
static void
match_mitigations(vm_state_t *vm, const bp_vm_report_t *report)
{
	mitigation_state_t *state;
	guint i;

	for (i = 0; i < vm->mitigations->len; i++)
		((mitigation_state_t *)g_ptr_array_index(vm->mitigations, i))
		    ->seen = false;
	for (i = 0; i < report->n_suspects; i++)
		mitigation_of(vm, &report->suspects[i])->seen = true;
	i = 0;
	while (i < vm->mitigations->len) {
		state = g_ptr_array_index(vm->mitigations, i);
		if (state->seen)
			i++;
		else
			g_ptr_array_remove_index_fast(vm->mitigations, i);
	}
}

/*
 * Returns the share of full speed at which a task ran at at_ms, the time that
 * the report is about.
 */
static double
weight_at(
    const bp_eviction_t *self, const mitigation_state_t *state, int64_t at_ms)
{
	bool slow = state->level != LEVEL_FULL;

	if (at_ms < state->since_ms && state->level != LEVEL_CHECKPOINT)
		slow = !slow;
	return slow
	    ? (double)self->options.throttle_permille / FULL_SPEED_PERMILLE
	    : 1.0;
}

static void
learn(const report_context_t *context, bp_interference_t *interference)
{
	const bp_vm_report_t *report = context->report;
	bp_neighbour_t *colocated =
	    g_new(bp_neighbour_t, MAX(report->n_suspects, (size_t)1));
	size_t i;

	for (i = 0; i < report->n_suspects; i++) {
		colocated[i].kind = report->suspects[i].kind;
		colocated[i].weight = weight_at(context->self,
		    mitigation_of(context->vm, &report->suspects[i]),
		    report->at_ms);
	}
	for (i = 0; i < report->n_victims; i++)
		bp_interference_report(interference, report->victims[i].service,
		    report->victims[i].slowdown, report->victims[i].load,
		    colocated, report->n_suspects, report->at_ms);
	g_free(colocated);
}

static const bp_victim_t *
worst_service(const bp_vm_report_t *report)
{
	const bp_victim_t *worst = NULL;
	size_t i;

	for (i = 0; i < report->n_victims; i++) {
		if (worst == NULL ||
		    report->victims[i].slowdown > worst->slowdown)
			worst = &report->victims[i];
	}
	return worst;
}

/* Between the two thresholds a VM counts as neither slow nor recovered. */
static void
update_hysteresis(report_context_t *context)
{
	const bp_eviction_options_t *options = &context->self->options;
	vm_state_t *vm = context->vm;
	double slowdown =
	    context->worst != NULL ? context->worst->slowdown : 1.0;

	vm->high_reports =
	    slowdown >= options->breach ? vm->high_reports + 1 : 0;
	if (slowdown > options->calm)
		vm->recovered_since_ms = -1;
	else if (vm->recovered_since_ms < 0)
		vm->recovered_since_ms = context->now_ms;
}

static bp_estimate_t
effect_of(const report_context_t *context, const bp_suspect_t *task)
{
	bp_estimate_t none = {0, 0};

	if (context->worst == NULL)
		return none;
	return bp_interference_estimate(
	    context->interference, task->kind, context->worst->service);
}

static bool
is_proven(const report_context_t *context, const bp_suspect_t *task)
{
	bp_estimate_t estimate = effect_of(context, task);

	return estimate.mean - CAUSE_CONFIDENCE_SD * estimate.sd >=
	    CAUSE_MIN_SLOWDOWN;
}

static void
add_mitigation(report_context_t *context, const bp_suspect_t *task,
    bp_act_kind_t kind, uint32_t throttle_permille)
{
	bp_act_t mitigation = {.kind = kind,
	    .job = task->job,
	    .task = task->task,
	    .attempt = task->attempt,
	    .throttle_permille = throttle_permille};

	if (context->worst != NULL) {
		mitigation.service = context->worst->service;
		mitigation.slowdown = context->worst->slowdown;
	}
	g_array_append_val(context->acts, mitigation);
}

static void
set_level(report_context_t *context, mitigation_state_t *state, level_t level)
{
	state->level = level;
	state->since_ms = context->now_ms;
	context->vm->mitigated_ms = context->now_ms;
}

static bool
checkpoint(report_context_t *context, const bp_suspect_t *task,
    mitigation_state_t *state)
{
	if (!bp_tokens_take(&context->self->tokens))
		return false;
	add_mitigation(context, task, BP_ACT_CHECKPOINT_STOP, 0);
	set_level(context, state, LEVEL_CHECKPOINT);
	return true;
}

/*
 * Returns the batch task at a level with the highest upper bound of its
 * effect (mean plus one standard deviation). Of equal means the least certain
 * comes first, since throttling it shows whether it is the cause.
 */
static const bp_suspect_t *
most_likely_cause(
    const report_context_t *context, level_t level, bool proven_only)
{
	const bp_vm_report_t *report = context->report;
	const bp_suspect_t *best = NULL;
	double highest = 0;
	size_t i;

	for (i = 0; i < report->n_suspects; i++) {
		const bp_suspect_t *task = &report->suspects[i];
		bp_estimate_t estimate = effect_of(context, task);
		double possible = estimate.mean + estimate.sd;

		if (mitigation_of(context->vm, task)->level != level ||
		    (proven_only && !is_proven(context, task)))
			continue;
		if (best == NULL || possible > highest) {
			best = task;
			highest = possible;
		}
	}
	return best;
}

/*
 * Applies one mitigation to a slow service: throttles a confirmed cause, else
 * moves a confirmed cause that is throttled already, else throttles the most
 * likely cause. Only a confirmed cause is stopped; if all tasks are throttled
 * and the service stays slow, the cause is not on this VM.
 */
static void
mitigate(report_context_t *context)
{
	const bp_suspect_t *task = most_likely_cause(context, LEVEL_FULL, true);

	if (task == NULL) {
		task = most_likely_cause(context, LEVEL_THROTTLED, true);
		if (task != NULL &&
		    checkpoint(context, task, mitigation_of(context->vm, task)))
			return;
		task = most_likely_cause(context, LEVEL_FULL, false);
	}
	if (task == NULL)
		return;
	add_mitigation(context, task, BP_ACT_THROTTLE,
	    context->self->options.throttle_permille);
	set_level(context, mitigation_of(context->vm, task), LEVEL_THROTTLED);
}

/*
 * Lifts one throttle after the service has recovered, of the least likely
 * cause first. A confirmed cause would interfere again at once; it is moved
 * instead.
 */
static void
lift_throttle(report_context_t *context)
{
	const bp_vm_report_t *report = context->report;
	const bp_suspect_t *least = NULL;
	double lowest = 0;
	size_t i;

	for (i = 0; i < report->n_suspects; i++) {
		const bp_suspect_t *task = &report->suspects[i];
		double mean =
		    context->worst != NULL ? effect_of(context, task).mean : 0;

		if (mitigation_of(context->vm, task)->level !=
			LEVEL_THROTTLED ||
		    (context->worst != NULL && is_proven(context, task)))
			continue;
		if (least == NULL || mean < lowest) {
			least = task;
			lowest = mean;
		}
	}
	if (least == NULL)
		return;
	add_mitigation(context, least, BP_ACT_THROTTLE, FULL_SPEED_PERMILLE);
	set_level(context, mitigation_of(context->vm, least), LEVEL_FULL);
	context->vm->recovered_since_ms = context->now_ms;
}

/*
 * Moves confirmed causes throttled for throttle_max_ms, and stops tasks whose
 * checkpoint takes longer than stop_ms.
 */
static void
check_timeouts(report_context_t *context)
{
	const bp_eviction_options_t *options = &context->self->options;
	const bp_vm_report_t *report = context->report;
	size_t i;

	for (i = 0; i < report->n_suspects; i++) {
		const bp_suspect_t *task = &report->suspects[i];
		mitigation_state_t *state = mitigation_of(context->vm, task);
		int64_t age_ms = context->now_ms - state->since_ms;

		if (state->level == LEVEL_CHECKPOINT &&
		    age_ms >= (int64_t)options->stop_ms) {
			add_mitigation(context, task, BP_ACT_STOP, 0);
			state->since_ms = context->now_ms;
		}
		if (state->level == LEVEL_THROTTLED && context->worst != NULL &&
		    age_ms >= (int64_t)options->throttle_max_ms &&
		    is_proven(context, task))
			(void)checkpoint(context, task, state);
	}
}

/* See the header. */
void
bp_eviction_report(bp_eviction_t *eviction, bp_interference_t *interference,
    const bp_vm_report_t *report, int64_t now_ms, GArray *acts)
{
	const bp_eviction_options_t *options = &eviction->options;
	report_context_t context = {.self = eviction,
	    .interference = interference,
	    .report = report,
	    .worst = worst_service(report),
	    .vm = vm_of(eviction, report->vm, now_ms),
	    .now_ms = now_ms,
	    .acts = acts};

	bp_tokens_refill(&eviction->tokens, &eviction->tokens_ms,
	    options->evictions_per_min, options->evictions_per_min, now_ms);
	context.vm->report_ms = now_ms;
	match_mitigations(context.vm, report);
	learn(&context, interference);
	update_hysteresis(&context);
	check_timeouts(&context);
	if (context.worst != NULL &&
	    context.vm->high_reports >= options->breach_reports &&
	    now_ms - context.vm->mitigated_ms >= (int64_t)options->step_ms)
		mitigate(&context);
	else if (context.vm->recovered_since_ms >= 0 &&
	    now_ms - context.vm->recovered_since_ms >=
		(int64_t)options->calm_ms)
		lift_throttle(&context);
}

/* See the header. */
void
bp_eviction_drain(bp_eviction_t *eviction, const bp_state_t *state,
    const char *node, uint64_t incarnation, int64_t now_ms, GArray *acts)
{
	bp_drain_step(eviction->drain, &eviction->options, state, node,
	    incarnation, now_ms, acts);
}

/* See the header. Failures of one job alone do not prove a faulty worker. */
bool
bp_eviction_quarantine_due(const bp_vm_t *vm, uint32_t failures)
{
	return vm->hold == BP__LOG__HOLD_CAUSE__HOLD_NONE &&
	    vm->failed_streak >= failures && vm->failed_several;
}
