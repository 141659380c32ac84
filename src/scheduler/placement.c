#include "scheduler/placement_private.h"

#include "bulrushpost/resources.h"

#include <string.h>

#define RANK_WAIT_MS 300U
/* A larger turn writes fewer records, a smaller one is fairer to teams. */
#define TURN_TASKS 16U
#define RETURN_RAMP_MS (60U * 1000)
/* Consecutive batch tasks share a rank, so that one entry assigns several. */
#define BATCH_BLOCK_TASKS 8U
/* Waiting tasks examined per turn, including those of other owners. */
#define SCAN_TASKS_MAX 512U
/* Delay before a batch job for which no VM was found is tried again. */
#define NO_VM_RETRY_MS 250
/*
 * Lifetime of the order of batch jobs: sorting 7,400 waiting jobs costs more
 * than the rest of a scheduling round.
 */
#define BATCH_ORDER_KEEP_MS 200
/*
 * bp_placement_avoids reports a job for this long after the last round in
 * which it fitted only on VMs where it would slow services down.
 */
#define INTERFERENCE_REPORT_MS 2000
/* Histories of jobs not seen for this long are removed. */
#define HISTORY_KEEP_MS 10000

/* Sets the defaults, which are explained at the constants above. */
int
bp_placement_options_init(bp_placement_options_t *options)
{
	memset(options, 0, sizeof(*options));
	options->rank_wait_ms = RANK_WAIT_MS;
	options->turn_tasks = TURN_TASKS;
	options->return_ramp_ms = RETURN_RAMP_MS;
	return bp_queue_options_init(&options->queue);
}

/* Creates a planner for one node. Free with bp_placement_free. */
int
bp_placement_new(bp_placement_t **out, const bp_placement_options_t *options,
    bp_error_t *err)
{
	bp_placement_t *placement;

	if (options->turn_tasks == 0)
		return bp_error_set(
		    err, BP_EINVALID, "turn_tasks must be at least 1");
	placement = g_new0(bp_placement_t, 1);
	placement->options = *options;
	placement->queue = bp_queue_new(&options->queue);
	placement->reservations = bp_reservations_new();
	placement->flights = g_ptr_array_new_with_free_func(bp_flight_free);
	placement->kept = g_ptr_array_new_with_free_func(bp_flight_free);
	placement->considered = g_ptr_array_new();
	placement->tracks = g_hash_table_new_full(NULL, NULL, NULL, g_free);
	*out = placement;
	return BP_OK;
}

/* Frees the planner. NULL is allowed. */
void
bp_placement_free(bp_placement_t *placement)
{
	if (placement == NULL)
		return;
	bp_queue_free(placement->queue);
	bp_reservations_free(placement->reservations);
	g_ptr_array_unref(placement->flights);
	g_ptr_array_unref(placement->kept);
	g_ptr_array_unref(placement->considered);
	g_hash_table_unref(placement->tracks);
	g_free(placement);
}

static bp_track_t *
history_of(bp_placement_t *placement, const bp_job_t *job)
{
	bp_track_t *history = g_hash_table_lookup(placement->tracks, job);

	if (history != NULL)
		return history;
	history = g_new0(bp_track_t, 1);
	history->seen_ms = INT64_MIN / 2;
	history->avoided_ms = INT64_MIN / 2;
	g_hash_table_insert(placement->tracks, (gpointer)job, history);
	return history;
}

static gboolean
history_expired(gpointer key, gpointer value, gpointer data)
{
	const bp_track_t *history = value;

	(void)key;
	return *(int64_t *)data - history->seen_ms > HISTORY_KEEP_MS &&
	    *(int64_t *)data > history->blocked_until_ms;
}

/*
 * Returns the highest rank allowed to place the job now. The delay counts
 * from the last progress of the job, not from its submission: otherwise all
 * nodes would compete at once for each job that waited for capacity.
 */
static uint32_t
allowed_rank(bp_round_t *round, const bp_job_t *job, bp_track_t *history)
{
	uint32_t wait_ms = MAX(round->placement->options.rank_wait_ms, 1U);

	if (history->n_waiting != job->n_waiting ||
	    round->now_ms - history->seen_ms > (int64_t)wait_ms)
		history->progress_ms = round->now_ms;
	history->n_waiting = job->n_waiting;
	history->seen_ms = round->now_ms;
	return (uint32_t)((round->now_ms - history->progress_ms) / wait_ms);
}

static uint32_t
task_block(const bp_job_t *job, uint32_t task)
{
	return job->klass == BP_CLASS_BATCH ? task / BATCH_BLOCK_TASKS : task;
}

/*
 * Adds count tasks of one attempt on a VM to the plan. Returns false if the
 * remaining budget is smaller.
 */
bool
bp_emit(bp_round_t *round, bp_job_t *job, bp_vm_t *vm, uint32_t first_task,
    uint32_t count)
{
	bp_assignment_t assignment = {job, vm, first_task, count,
	    job->tasks[first_task].attempt, vm->rack->epoch};

	if (round->budget_tasks < count)
		return false;
	round->budget_tasks -= count;
	g_array_append_val(round->out, assignment);
	bp_reservations_add(round->placement->reservations, job, vm, count);
	bp_flights_add(round->placement, &assignment);
	bp_queue_charge(round->placement->queue, job, count);
	return true;
}

/* Returns the tasks of a job that this node may place in one turn, sorted. */
static GArray *
tasks_for_turn(bp_round_t *round, const bp_job_t *job, uint32_t allowed)
{
	GArray *tasks = g_array_new(FALSE, FALSE, sizeof(uint32_t));
	uint64_t hash = bp_owner_job_hash(job);
	uint32_t max_tasks =
	    MIN(round->placement->options.turn_tasks, round->budget_tasks);
	uint32_t block = UINT32_MAX;
	uint32_t scanned = 0;
	bool ranked = false;
	uint32_t i;

	for (i = job->first_waiting; i < job->n_tasks &&
	     tasks->len < max_tasks && scanned < SCAN_TASKS_MAX;
	     i++) {
		if (job->tasks[i].state != BP_TASK_WAITING)
			continue;
		scanned++;
		if (task_block(job, i) != block) {
			block = task_block(job, i);
			ranked = bp_owner_rank(round, hash, block) <= allowed;
		}
		if (ranked && !bp_flights_hold(round->placement, job, i))
			g_array_append_val(tasks, i);
	}
	return tasks;
}

/* Counts consecutive tasks of the same attempt, starting at index from. */
static uint32_t
run_length(const bp_job_t *job, const GArray *tasks, guint from)
{
	uint32_t first = g_array_index(tasks, uint32_t, from);
	uint32_t length = 1;
	uint32_t next;

	while (from + length < tasks->len) {
		next = g_array_index(tasks, uint32_t, from + length);
		if (next != first + length ||
		    job->tasks[next].attempt != job->tasks[first].attempt)
			break;
		length++;
	}
	return length;
}

/* Returns how many of the tasks fit on the VM, at least one. */
static uint32_t
fit_count(bp_round_t *round, const bp_constraints_t *constraints,
    const bp_vm_t *vm, uint32_t max_tasks)
{
	const bp_job_t *job = constraints->job;
	bp_reservations_t *reservations = round->placement->reservations;
	bp_resources_t limit = bp_constraints_limit(constraints, vm);
	bp_resources_t reserved = bp_reservations_vm(reservations, vm);
	bp_resources_t used = bp_resources_sum(&vm->used, &reserved);
	bp_resources_t room = bp_resources_excess(&limit, &used);
	bp_resources_t need;
	uint32_t count = 1;
	guint i;

	/* Quotas, rules that count tasks and custom scores vary by task. */
	if (job->klass != BP_CLASS_BATCH || job->team->quota != NULL ||
	    round->placement->options.score != NULL)
		return 1;
	for (i = 0; i < constraints->rules->len; i++) {
		const bp_rule_t *rule =
		    g_ptr_array_index(constraints->rules, i);

		if (rule->kind == BP_RULE_SPREAD || rule->kind == BP_RULE_APART)
			return 1;
	}
	while (count < max_tasks) {
		need = bp_resources_times(&job->size, count + 1);
		if (!bp_resources_fit(&need, &room))
			break;
		count++;
	}
	return count;
}

/* Merges the last two assignments if their tasks are consecutive. */
static void
merge_last_assignment(bp_round_t *round)
{
	GArray *out = round->out;
	GPtrArray *flights = round->placement->flights;
	bp_assignment_t *previous;
	bp_assignment_t *last;

	if (out->len < 2)
		return;
	previous = &g_array_index(out, bp_assignment_t, out->len - 2);
	last = &g_array_index(out, bp_assignment_t, out->len - 1);
	if (previous->job != last->job || previous->vm != last->vm ||
	    previous->attempt != last->attempt ||
	    previous->first_task + previous->count != last->first_task)
		return;
	previous->count += last->count;
	((bp_flight_t *)g_ptr_array_index(flights, flights->len - 2))->count =
	    previous->count;
	g_ptr_array_remove_index(flights, flights->len - 1);
	g_array_set_size(out, out->len - 1);
}

/* Places tasks on the VMs with the best scores; returns the number placed. */
static uint32_t
place_tasks(bp_round_t *round, const bp_constraints_t *constraints,
    GArray *candidates, const GArray *tasks, bp_spread_t *spread)
{
	bp_job_t *job = (bp_job_t *)constraints->job;
	uint32_t placed = 0;
	uint32_t count;
	int best;

	while (placed < tasks->len) {
		bp_vm_t *vm;

		best = bp_candidates_best(candidates);
		if (best < 0)
			break;
		vm = g_array_index(candidates, bp_candidate_t, best).vm;
		if (bp_constraints_check(constraints, vm,
			round->placement->reservations, NULL, NULL) != 0) {
			g_array_remove_index(candidates, (guint)best);
			continue;
		}
		count = fit_count(
		    round, constraints, vm, run_length(job, tasks, placed));
		if (!bp_emit(round, job, vm,
			g_array_index(tasks, uint32_t, placed), count))
			break;
		merge_last_assignment(round);
		placed += count;
		bp_spread_add(spread, vm, count);
		bp_services_add(round,
		    &g_array_index(candidates, bp_candidate_t, best), job,
		    count);
		if (job->klass != BP_CLASS_BATCH ||
		    round->placement->options.score != NULL)
			bp_candidates_rescore(round, candidates, job, spread);
	}
	return placed;
}

/* Marks the owners with capacity for the job; only these are ranked. */
static void
mark_owners_with_capacity(
    bp_round_t *round, const bp_constraints_t *constraints)
{
	bp_owner_t *owner;
	guint i;

	for (i = 0; i < round->owners->len; i++) {
		owner = &g_array_index(round->owners, bp_owner_t, i);
		owner->has_room = owner == round->own ||
		    bp_owner_eligible(round, owner, constraints);
	}
}

static void
handle_no_vm(bp_round_t *round, const bp_job_t *job, bp_track_t *history)
{
	if (job->klass != BP_CLASS_BATCH)
		return;
	history->blocked_until_ms = round->now_ms + NO_VM_RETRY_MS;
	if (bp_queue_overdue(round->placement->queue, round->state, job))
		bp_kept_add(round, job);
}

/* Places one turn of a job; returns true if it can use another this round. */
static bool
place_job(
    bp_round_t *round, const bp_constraints_t *constraints, bp_track_t *history)
{
	bp_job_t *job = (bp_job_t *)constraints->job;
	GArray *candidates;
	bp_spread_t spread;
	uint32_t allowed;
	uint32_t placed;
	GArray *tasks;
	bool interference;
	bool more_turns;

	if (!bp_owner_eligible(round, round->own, constraints)) {
		handle_no_vm(round, job, history);
		return false;
	}
	allowed = allowed_rank(round, job, history);
	mark_owners_with_capacity(round, constraints);
	tasks = tasks_for_turn(round, job, allowed);
	if (tasks->len == 0) {
		g_array_unref(tasks);
		return false;
	}
	bp_spread_init(&spread, round, job);
	candidates = bp_candidates(round, constraints, &spread, &interference);
	if (interference && candidates->len == 0)
		history->avoided_ms = round->now_ms;
	placed = place_tasks(round, constraints, candidates, tasks, &spread);
	more_turns = placed == tasks->len &&
	    placed == round->placement->options.turn_tasks;
	g_array_unref(candidates);
	bp_spread_clear(&spread);
	g_array_unref(tasks);
	return more_turns;
}

static void
place_turn(bp_round_t *round, bp_job_t *job)
{
	bp_constraints_t constraints;
	bp_track_t *history;

	history = history_of(round->placement, job);
	if (job->klass == BP_CLASS_BATCH &&
	    round->now_ms < history->blocked_until_ms)
		return;
	bp_constraints_init(&constraints, round->state, job);
	if (place_job(round, &constraints, history))
		bp_queue_put_back(round->placement->queue, job);
	bp_constraints_clear(&constraints);
}

/* Excludes most jobs that cannot be placed before the queue is sorted. */
static bool
may_have_capacity(const bp_job_t *job, void *data)
{
	const bp_round_t *round = data;

	return !bp_owner_is_full(round->own, job) ||
	    bp_queue_overdue(round->placement->queue, round->state, job);
}

/* Batch jobs are sorted again when all were considered or the order is old. */
static void
load_queue(bp_round_t *round)
{
	bp_placement_t *placement = round->placement;
	bool keep = placement->left > 0 &&
	    round->now_ms - placement->ordered_ms < BATCH_ORDER_KEEP_MS;

	if (!keep) {
		placement->ordered_ms = round->now_ms;
		g_ptr_array_set_size(placement->considered, 0);
	}
	bp_queue_load(
	    placement->queue, round->state, keep, may_have_capacity, round);
}

static void
place_all(bp_round_t *round)
{
	bp_placement_t *placement = round->placement;
	bp_job_t *job;

	placement->most_free = round->own->most_free;
	placement->most_free_batch = round->own->most_free_batch;
	load_queue(round);
	bp_kept_load(round);
	while (round->budget_tasks > 0 &&
	    (job = bp_queue_next(placement->queue)) != NULL) {
		g_ptr_array_add(placement->considered, job);
		place_turn(round, job);
	}
	placement->left = bp_queue_left(placement->queue);
}

/*
 * Removes old histories, and all of them when the state was replaced: they
 * are keyed by the address of the job, which a new state may reuse.
 */
static void
prune_histories(
    bp_placement_t *placement, const bp_state_t *state, int64_t now_ms)
{
	if (placement->state != state)
		g_hash_table_remove_all(placement->tracks);
	if (now_ms - placement->forgot_ms < HISTORY_KEEP_MS)
		return;
	placement->forgot_ms = now_ms;
	g_hash_table_foreach_remove(
	    placement->tracks, history_expired, &now_ms);
}

/* See the header. The order of the result is the order of the queue. */
int
bp_placement_plan(GArray *out, bp_placement_t *placement,
    const bp_state_t *state, const char *node, uint64_t incarnation,
    uint32_t budget_tasks, int64_t now_ms, bp_error_t *err)
{
	bp_round_t round = {.placement = placement,
	    .state = state,
	    .out = out,
	    .budget_tasks = budget_tasks,
	    .now_ms = now_ms,
	    .state_now_ms = bp_state_now_ms(state)};

	(void)err;
	prune_histories(placement, state, now_ms);
	placement->state = state;
	bp_flights_load(&round);
	if (!bp_owners_load(&round, node, incarnation)) {
		placement->left = 0;
	} else {
		bp_services_load(&round);
		place_all(&round);
		g_array_unref(round.services);
	}
	bp_owners_clear(&round);
	return BP_OK;
}

/*
 * Drops a pending assignment whose log entry had no effect, so that its
 * tasks are planned again.
 */
void
bp_placement_settled(
    bp_placement_t *placement, const char *job, uint32_t first_task)
{
	const bp_flight_t *pending;
	guint i;

	for (i = 0; i < placement->flights->len; i++) {
		pending = g_ptr_array_index(placement->flights, i);
		if (pending->first_task == first_task &&
		    strcmp(pending->job, job) == 0) {
			g_ptr_array_remove_index_fast(placement->flights, i);
			return;
		}
	}
}

/* Returns the number of pending assignments. */
size_t
bp_placement_in_flight(const bp_placement_t *placement)
{
	return placement->flights->len;
}

/* See the header. */
uint32_t
bp_placement_ahead(const bp_placement_t *placement, const char *job)
{
	const bp_job_t *found;

	if (placement->left == 0)
		return 0;
	found = bp_state_job(placement->state, job);
	if (found == NULL || found->n_waiting == 0 ||
	    !bp_resources_fit(&found->size,
		found->klass == BP_CLASS_BATCH ? &placement->most_free_batch
					       : &placement->most_free) ||
	    g_ptr_array_find(placement->considered, found, NULL))
		return 0;
	return placement->considered->len;
}

/* See the header. */
bool
bp_placement_avoids(
    const bp_placement_t *placement, const char *job, int64_t now_ms)
{
	const bp_job_t *found;
	const bp_track_t *history;

	if (placement->state == NULL)
		return false;
	found = bp_state_job(placement->state, job);
	history = g_hash_table_lookup(placement->tracks, found);
	return history != NULL &&
	    now_ms - history->avoided_ms < INTERFERENCE_REPORT_MS;
}
