#include "queues/shard_private.h"

#include <stdio.h>
#include <string.h>

/*
 * Plans where and when large tasks start: builds the model of roomplan.h from
 * the shard, and applies the plan. Reservations are in memory only; a new owner
 * plans anew.
 */

/* Least time between two plans; a plan costs about as much as a round. */
#define PLAN_PERIOD_MS 250
/* Large steps in one plan, in the order of placement. */
#define STEPS_MAX 24
/* At most one in this number of executors is reserved at a time, for each
 * priority: reserved executors stand partly empty. */
#define EXECS_PER_ROOM 12
#define ROOMS_MAX 64
/* Executors are reserved for a step that was unplaced for this time; most find
 * a place sooner. */
#define RESERVE_AFTER_MS 150
/* Time in which at least one plan has considered a step. */
#define PLANS_FIRST_MS (RESERVE_AFTER_MS + 2 * PLAN_PERIOD_MS)
/* Tasks of at least this part of the largest executor are large. */
#define LARGE_PART 4
/* No reservation is made for a time further ahead. */
#define HORIZON_MS 6000
/* A reservation is missed so long after its time: ends are reported late. */
#define GRACE_MS 400
/* Certainty with which ends are estimated, in percent of the runs. */
#define LATE_PERCENT 90
#define MEDIAN_PERCENT 50
/* Time from a decision to the start of the run. */
#define START_MS 50
/* A run past its late end is expected to take this part of its age longer. */
#define OVERDUE_PART 4
/* Estimates of a step are computed again after this time. */
#define ESTIMATE_KEEP_MS 1000
/* Runs are stopped for a large task that waited so long, at most so many in
 * one plan. */
#define MOVE_AFTER_MS 1000
#define MOVES_MAX 4
/* Least time between log lines about plans. */
#define LOG_PERIOD_MS 1000

/* The largest executor of a service, by each kind of capacity. */
typedef struct {
	char *service;
	uint32_t cpu_milli;
	uint32_t memory_mib;
} largest_t;

/* Counts since the start of the shard. */
typedef struct {
	uint64_t made; /* reservations */
	uint64_t kept; /* the task started on the executor */
	uint64_t missed; /* its time passed without a start */
	uint64_t dropped; /* not needed, or the executor was lost */
	uint64_t admitted; /* tasks beside a reservation that binds them */
	uint64_t moved; /* runs stopped for a large task */
	uint64_t plans;
	uint64_t plans_us;
} counts_t;

struct bp_shard_large {
	GPtrArray *rooms; /* bp_qroom_t */
	GArray *largest; /* largest_t, of the last plan */
	bp_room_model_t model;
	bp_room_plan_t plan;
	int64_t planned_ms; /* monotonic */
	int64_t logged_ms; /* monotonic */
	counts_t counts;
	counts_t logged; /* counts at the last log line */
};

static void
clear_largest(gpointer largest)
{
	g_free(((largest_t *)largest)->service);
}

/* Creates the state of a shard that plans large tasks. */
bp_shard_large_t *
bp_shard_large_new(void)
{
	bp_shard_large_t *large = g_new0(bp_shard_large_t, 1);

	large->rooms = g_ptr_array_new();
	large->largest = g_array_new(FALSE, TRUE, sizeof(largest_t));
	g_array_set_clear_func(large->largest, clear_largest);
	bp_room_model_init(&large->model);
	bp_room_plan_init(&large->plan);
	return large;
}

/* Removes a reservation. */
static void
remove_room(bp_shard_large_t *large, bp_qroom_t *room)
{
	room->exec->room = NULL;
	room->step->rooms--;
	g_ptr_array_remove_fast(large->rooms, room);
	g_free(room);
}

static void
drop_room(bp_shard_large_t *large, bp_qroom_t *room)
{
	large->counts.dropped++;
	remove_room(large, room);
}

/* Frees the state; executors and steps must still exist. NULL is allowed. */
void
bp_shard_large_free(bp_shard_large_t *large)
{
	if (large == NULL)
		return;
	while (large->rooms->len > 0)
		remove_room(large, large->rooms->pdata[0]);
	g_ptr_array_unref(large->rooms);
	g_array_unref(large->largest);
	bp_room_model_clear(&large->model);
	bp_room_plan_clear(&large->plan);
	g_free(large);
}

/* Drops the reservation of an executor. */
void
bp_qexec_drop_room(bp_qexec_t *exec)
{
	if (exec->room != NULL)
		drop_room(exec->shard->large, exec->room);
}

/* Drops the reservations for a step. */
void
bp_shard_drop_step_rooms(bp_shard_t *shard, const bp_qstep_t *step)
{
	guint i;

	if (shard->large == NULL || step->rooms == 0)
		return;
	for (i = shard->large->rooms->len; i > 0; i--) {
		bp_qroom_t *room = shard->large->rooms->pdata[i - 1];

		if (room->step == step)
			drop_room(shard->large, room);
	}
}

/* Drops the reservations for the steps of a job. */
void
bp_shard_drop_job_rooms(bp_shard_t *shard, const bp_qjob_t *job)
{
	guint i;

	if (shard->large == NULL)
		return;
	for (i = shard->large->rooms->len; i > 0; i--) {
		bp_qroom_t *room = shard->large->rooms->pdata[i - 1];

		if (room->step->job == job)
			drop_room(shard->large, room);
	}
}

/* See the header. */
const bp_qroom_t *
bp_qstep_room(const bp_shard_t *shard, const bp_qstep_t *step)
{
	const bp_qroom_t *first = NULL;
	guint i;

	if (shard->large == NULL || step->rooms == 0)
		return NULL;
	for (i = 0; i < shard->large->rooms->len; i++) {
		const bp_qroom_t *room = shard->large->rooms->pdata[i];

		if (room->step == step &&
		    (first == NULL || room->limit.at_ms < first->limit.at_ms))
			first = room;
	}
	return first;
}

/* Learns from a run that ended well. */
void
bp_qrun_learn_duration(const bp_qrun_t *run)
{
	bp_shard_t *shard = run->exec->shard;
	const bp_qstep_t *step;

	if (shard->large == NULL || run->task == NULL)
		return;
	step = run->task->step;
	if (!step->spec->lasting)
		bp_estimates_add_run(shard->estimates, step->job->queue_key,
		    step->spec->image, step->spec->expected_ms,
		    bp_shard_now_ms(shard) - run->started_ms);
}

static void
estimate(const bp_shard_t *shard, bp_qstep_t *step)
{
	const Bp__Work__Step *spec = step->spec;
	const char *queue = step->job->queue_key;
	int64_t now_ms = bp_shard_now_ms(shard);

	if (step->estimated_ms != 0 &&
	    now_ms - step->estimated_ms < ESTIMATE_KEEP_MS)
		return;
	step->median_ms = bp_estimates_run_ms(shard->estimates, queue,
	    spec->image, spec->expected_ms, MEDIAN_PERCENT);
	step->late_ms = bp_estimates_run_ms(shard->estimates, queue,
	    spec->image, spec->expected_ms, LATE_PERCENT);
	step->estimated_ms = now_ms;
}

/* Returns the duration that runs of a step do not exceed, with the certainty
 * that plans use. */
int64_t
bp_qstep_late_ms(const bp_shard_t *shard, bp_qstep_t *step)
{
	if (step->spec->lasting)
		return BP_ROOM_NEVER / 2;
	estimate(shard, step);
	return step->late_ms;
}

static uint32_t
free_of(uint32_t total, uint64_t used)
{
	return used < total ? total - (uint32_t)used : 0;
}

static bp_room_size_t
size_of(const Bp__Work__Step *spec)
{
	bp_room_size_t size = {spec->filler ? 0 : spec->cpu_milli,
	    spec->memory_mib, spec->accelerators};

	return size;
}

/* Tells whether runs of a step may be stopped for a large task: once, and not
 * if they are urgent. */
static bool
is_movable(const bp_qstep_t *step)
{
	return step->spec->checkpoints && !step->spec->lasting &&
	    !step->spec->gang && step->job->spec->priority > 0 && !step->moved;
}

static bp_room_admission_t
admission(const bp_qexec_t *exec, bp_qstep_t *step)
{
	bp_room_size_t size = size_of(step->spec);

	return bp_room_admit(&exec->room->limit, &size,
	    bp_shard_now_ms(exec->shard) + START_MS +
		bp_qstep_late_ms(exec->shard, step),
	    is_movable(step));
}

/*
 * Tells whether the reservation of an executor binds a step. Those for less
 * urgent work never do: an urgent task is not delayed by one for batch work.
 */
static bool
is_bound(const bp_qexec_t *exec, const bp_qstep_t *step)
{
	return exec->room != NULL && exec->room->step != step &&
	    exec->room->step->job->spec->priority <=
	    step->job->spec->priority &&
	    !bp_qstep_ignores_reservations(exec->shard, step);
}

/* Tells whether a reservation for a large task keeps a step's tasks from an
 * executor. */
bool
bp_qexec_reserved_for_large(const bp_qexec_t *exec, bp_qstep_t *step)
{
	return is_bound(exec, step) && admission(exec, step) == BP_ROOM_REFUSED;
}

/* Notes that a task of the step is about to start on an executor. */
void
bp_qexec_large_started(bp_qexec_t *exec, bp_qstep_t *step)
{
	bp_shard_large_t *large = exec->shard->large;

	if (large == NULL)
		return;
	if (exec->room != NULL && exec->room->step == step) {
		large->counts.kept++;
		remove_room(large, exec->room);
		return;
	}
	if (exec->room != NULL) {
		bp_room_size_t *beside = &exec->room->limit.beside;
		bp_room_admission_t how = admission(exec, step);

		large->counts.admitted += is_bound(exec, step);
		if (how != BP_ROOM_ENDS_BEFORE) {
			bp_room_size_t size = size_of(step->spec);

			beside->cpu_milli -=
			    MIN(beside->cpu_milli, size.cpu_milli);
			beside->memory_mib -=
			    MIN(beside->memory_mib, size.memory_mib);
			beside->accelerators -=
			    MIN(beside->accelerators, size.accelerators);
		}
	}
	/* The last waiting task needs no reservation elsewhere any more. */
	if (step->rooms > 0 && step->rooms >= step->waiting_tasks)
		drop_room(
		    large, (bp_qroom_t *)bp_qstep_room(exec->shard, step));
}

/*
 * Returns the share of an executor that stays free of long-running work beside
 * one more such task. Those with the least are used first, so that others keep
 * gaps for large tasks; short runs do not count, as they end soon.
 */
double
bp_qexec_lasting_score(const bp_qexec_t *exec, const Bp__Work__Step *spec)
{
	double cpu = (double)exec->info->cpu_milli - spec->cpu_milli;
	double memory = (double)exec->info->memory_mib - spec->memory_mib;
	guint i;

	for (i = 0; i < exec->runs->len; i++) {
		const bp_qrun_t *run = exec->runs->pdata[i];

		if (run->task == NULL || !run->task->step->spec->lasting)
			continue;
		cpu -= run->cpu_milli;
		memory -= run->memory_mib;
	}
	return (cpu / MAX(exec->info->cpu_milli, 1) +
		   memory / MAX(exec->info->memory_mib, 1)) /
	    2;
}

static largest_t *
find_largest(const bp_shard_large_t *large, const char *service)
{
	guint i;

	for (i = 0; i < large->largest->len; i++) {
		largest_t *largest =
		    &g_array_index(large->largest, largest_t, i);

		if (strcmp(largest->service, service) == 0)
			return largest;
	}
	return NULL;
}

static void
measure_largest(bp_shard_large_t *large, const GPtrArray *execs)
{
	guint i;

	g_array_set_size(large->largest, 0);
	for (i = 0; i < execs->len; i++) {
		const bp_qexec_t *exec = execs->pdata[i];
		largest_t *largest = find_largest(large, exec->info->service);

		if (largest == NULL) {
			largest_t added = {g_strdup(exec->info->service), 0, 0};

			g_array_append_val(large->largest, added);
			largest = &g_array_index(
			    large->largest, largest_t, large->largest->len - 1);
		}
		largest->cpu_milli =
		    MAX(largest->cpu_milli, exec->info->cpu_milli);
		largest->memory_mib =
		    MAX(largest->memory_mib, exec->info->memory_mib);
	}
}

/* Tells whether tasks of a step are large for its service. Fillers take no
 * processors, and members of a gang are placed at once. */
bool
bp_qstep_is_large(
    const bp_shard_t *shard, const bp_qstep_t *step, const char *service)
{
	const Bp__Work__Step *spec = step->spec;
	const largest_t *largest;

	if (shard->large == NULL || spec->filler || spec->gang)
		return false;
	largest = find_largest(shard->large, service);
	return largest != NULL &&
	    ((uint64_t)spec->cpu_milli * LARGE_PART >= largest->cpu_milli ||
		(uint64_t)spec->memory_mib * LARGE_PART >= largest->memory_mib);
}

/* Tells whether plans take the place of other reservations for a step. Those
 * are made for large urgent steps only if plans have found no place in time. */
bool
bp_qstep_is_planned(
    const bp_shard_t *shard, const bp_qstep_t *step, const char *service)
{
	return bp_qstep_is_large(shard, step, service) &&
	    (step->rooms > 0 ||
		bp_shard_now_ms(shard) - step->unplaced_ms < PLANS_FIRST_MS);
}

/* Returns the latest monotonic start with which the job can meet its objective;
 * BP_ROOM_NEVER for none. Capacity that is held for late jobs would make others
 * late. */
static int64_t
latest_start_ms(const bp_shard_t *shard, const bp_qstep_t *step)
{
	const bp_qjob_t *job = step->job;

	if (step->spec->lasting || job->spec->times > 0)
		return BP_ROOM_NEVER;
	return bp_shard_now_ms(shard) - bp_shard_wall_ms(shard) + job->due_ms -
	    job->critical_paths_ms[step->number];
}

static bool
has_waited(const bp_room_model_t *model, const bp_qstep_t *step)
{
	return step->unplaced_ms != 0 &&
	    model->now_ms - step->unplaced_ms >= RESERVE_AFTER_MS;
}

static void
add_steps(bp_shard_t *shard, const GArray *steps)
{
	bp_room_model_t *model = &shard->large->model;
	guint i;

	for (i = 0; i < steps->len && model->steps->len < STEPS_MAX; i++) {
		bp_qstep_t *step = g_array_index(steps, bp_qready_t, i).step;
		const char *service;
		bp_room_step_t added = {0};

		if (step->waiting_tasks == 0 ||
		    (step->rooms == 0 && !has_waited(model, step)))
			continue;
		service = bp_shard_service_of(shard, step->job);
		if (!bp_qstep_is_large(shard, step, service))
			continue;
		added.size = size_of(step->spec);
		added.tasks = step->waiting_tasks;
		added.priority = step->job->spec->priority;
		added.spread_max = step->spec->spread_max;
		added.service = service;
		added.label = step->spec->label;
		added.step = step;
		added.since_ms =
		    step->unplaced_ms != 0 ? step->unplaced_ms : model->now_ms;
		added.latest_ms = latest_start_ms(shard, step);
		added.missed = step->rooms_missed;
		added.missed_on = step->missed_on;
		added.data = step;
		g_array_append_val(model->steps, added);
	}
}

/*
 * Estimates the end of a run from its age. Reported progress is not used: it is
 * as old as the last poll, and executors round it differently.
 */
static void
add_ends(const bp_qrun_t *run, bp_room_run_t *added, int64_t now_ms)
{
	bp_qstep_t *step = run->task->step;
	int64_t age_ms = now_ms - run->started_ms;
	int64_t least_ms = now_ms + age_ms / OVERDUE_PART;

	estimate(run->exec->shard, step);
	added->end_ms = run->started_ms + step->median_ms;
	added->late_ms = run->started_ms + step->late_ms;
	if (added->late_ms < now_ms)
		added->late_ms = least_ms;
	added->end_ms = CLAMP(added->end_ms, now_ms, added->late_ms);
}

static void
add_run(bp_shard_t *shard, bp_qrun_t *run)
{
	bp_room_model_t *model = &shard->large->model;
	bp_room_run_t added = {
	    .size = {run->cpu_milli, run->memory_mib, run->accelerators},
	    .data = run};

	if (run->task == NULL || run->state == BP_QRUN_STOPPING) {
		added.end_ms = model->now_ms + model->stop_ms;
		added.late_ms = added.end_ms;
	} else if (run->task->step->spec->lasting) {
		added.end_ms = BP_ROOM_NEVER;
		added.late_ms = BP_ROOM_NEVER;
	} else {
		add_ends(run, &added, model->now_ms);
	}
	if (run->task != NULL) {
		added.step = run->task->step;
		added.priority = run->task->step->job->spec->priority;
		added.movable = run->state == BP_QRUN_RUNNING &&
		    is_movable(run->task->step);
	}
	g_array_append_val(model->runs, added);
}

static bool
is_service_needed(const bp_room_model_t *model, const char *service)
{
	guint i;

	for (i = 0; i < model->steps->len; i++) {
		if (strcmp(
			g_array_index(model->steps, bp_room_step_t, i).service,
			service) == 0)
			return true;
	}
	return false;
}

static void
add_execs(bp_shard_t *shard, const GPtrArray *execs)
{
	bp_room_model_t *model = &shard->large->model;
	guint i;
	guint k;

	for (i = 0; i < execs->len; i++) {
		bp_qexec_t *exec = execs->pdata[i];
		const bp_executor_info_t *info = exec->info;
		bp_room_exec_t added = {.service = info->service,
		    .labels = info->labels,
		    .total = {info->cpu_milli, info->memory_mib,
			info->accelerators},
		    .free = {free_of(info->cpu_milli, exec->cpu_used),
			free_of(info->memory_mib, exec->memory_used),
			free_of(info->accelerators, exec->accelerators_used)},
		    .first_run = model->runs->len,
		    .n_runs = exec->runs->len,
		    .data = exec};

		if (exec->reserved_for != NULL ||
		    !is_service_needed(model, info->service))
			continue;
		for (k = 0; k < exec->runs->len; k++)
			add_run(shard, exec->runs->pdata[k]);
		if (exec->room != NULL)
			exec->room->limit.exec = model->execs->len;
		g_array_append_val(model->execs, added);
	}
}

/* Returns the index of a step in the model; BP_ROOM_NONE for none. */
static uint32_t
model_index(const bp_room_model_t *model, const bp_qstep_t *step)
{
	guint i;

	for (i = 0; i < model->steps->len; i++) {
		if (g_array_index(model->steps, bp_room_step_t, i).step == step)
			return i;
	}
	return BP_ROOM_NONE;
}

/* Adds the reservations that exist; those of steps that the plan does not
 * consider any more are dropped. */
static void
add_held(bp_shard_large_t *large)
{
	guint i;

	for (i = large->rooms->len; i > 0; i--) {
		bp_qroom_t *room = large->rooms->pdata[i - 1];

		room->kept = false;
		room->limit.step = model_index(&large->model, room->step);
		if (room->limit.step == BP_ROOM_NONE)
			drop_room(large, room);
		else
			g_array_append_val(large->model.held, room->limit);
	}
}

static void
build_model(bp_shard_t *shard, const GArray *steps, const GPtrArray *execs)
{
	bp_shard_large_t *large = shard->large;
	bp_room_model_t *model = &large->model;
	guint i;

	bp_room_model_reset(model);
	model->now_ms = bp_shard_now_ms(shard);
	model->horizon_ms = HORIZON_MS;
	model->grace_ms = GRACE_MS;
	model->stop_ms = shard->options.limits.stop_max_ms;
	model->move_after_ms = MOVE_AFTER_MS;
	model->moves_max = MOVES_MAX;
	model->reservations_max =
	    CLAMP(execs->len / EXECS_PER_ROOM, 1, ROOMS_MAX);
	for (i = 0; i < large->rooms->len; i++)
		((bp_qroom_t *)large->rooms->pdata[i])->limit.exec =
		    BP_ROOM_NONE;
	add_steps(shard, steps);
	if (model->steps->len > 0)
		add_execs(shard, execs);
	add_held(large);
}

static void
apply_reservation(
    bp_shard_large_t *large, const bp_room_reservation_t *reservation)
{
	bp_room_model_t *model = &large->model;
	bp_qexec_t *exec =
	    g_array_index(model->execs, bp_room_exec_t, reservation->exec).data;
	bp_qstep_t *step =
	    g_array_index(model->steps, bp_room_step_t, reservation->step).data;
	bp_qroom_t *room = exec->room;

	if (room != NULL && (room->step != step || !reservation->held)) {
		drop_room(large, room);
		room = NULL;
	}
	if (room == NULL) {
		room = g_new0(bp_qroom_t, 1);
		room->exec = exec;
		room->step = step;
		exec->room = room;
		step->rooms++;
		g_ptr_array_add(large->rooms, room);
		large->counts.made++;
	}
	room->limit = *reservation;
	room->kept = true;
}

/* Stops the runs that the plan moves; their tasks start elsewhere. */
static void
apply_moves(bp_shard_t *shard)
{
	bp_shard_large_t *large = shard->large;
	guint i;

	for (i = 0; i < large->plan.moves->len; i++) {
		uint32_t index = g_array_index(large->plan.moves, uint32_t, i);
		bp_qrun_t *run =
		    g_array_index(large->model.runs, bp_room_run_t, index).data;

		run->task->last_failed_executor = run->exec;
		run->task->step->moved = true;
		large->counts.moved++;
		bp_shard_stop_run(shard, run, "moved for a large task");
	}
}

static void
apply_plan(bp_shard_t *shard)
{
	bp_shard_large_t *large = shard->large;
	guint i;

	for (i = 0; i < large->model.steps->len; i++) {
		const bp_room_step_t *planned =
		    &g_array_index(large->model.steps, bp_room_step_t, i);
		bp_qstep_t *step = planned->data;

		step->rooms_missed = planned->missed;
		step->missed_on = planned->missed_on;
	}
	for (i = 0; i < large->plan.reservations->len; i++)
		apply_reservation(large,
		    &g_array_index(
			large->plan.reservations, bp_room_reservation_t, i));
	large->counts.missed += large->plan.missed;
	for (i = large->rooms->len; i > 0; i--) {
		bp_qroom_t *room = large->rooms->pdata[i - 1];

		if (!room->kept)
			drop_room(large, room);
	}
	large->counts.dropped -= MIN(large->plan.missed, large->counts.dropped);
	apply_moves(shard);
}

/* Logs the decisions since the last line, with the first reservation as an
 * example; at most one line in LOG_PERIOD_MS. */
static void
log_plans(bp_shard_t *shard)
{
	bp_shard_large_t *large = shard->large;
	const counts_t *now = &large->counts;
	const counts_t *before = &large->logged;
	const bp_qroom_t *room =
	    large->rooms->len > 0 ? large->rooms->pdata[0] : NULL;
	char text[192];
	char at[32] = "";

	if (large->model.now_ms - large->logged_ms < LOG_PERIOD_MS ||
	    (now->made == before->made && now->kept == before->kept &&
		now->missed == before->missed && now->moved == before->moved))
		return;
	snprintf(text, sizeof(text),
	    "made=%u kept=%u missed=%u admitted=%u moved=%u open=%u steps=%u "
	    "plans_us=%u",
	    (unsigned)(now->made - before->made),
	    (unsigned)(now->kept - before->kept),
	    (unsigned)(now->missed - before->missed),
	    (unsigned)(now->admitted - before->admitted),
	    (unsigned)(now->moved - before->moved), large->rooms->len,
	    large->model.steps->len,
	    (unsigned)(now->plans_us - before->plans_us));
	if (room != NULL)
		snprintf(at, sizeof(at), "%d",
		    (int)(room->limit.at_ms - large->model.now_ms));
	bp_log(shard->options.logger, BP_LOG_INFO, BP_SHARD_MODULE,
	    "large tasks planned", "state", text, "job",
	    room != NULL ? room->step->job->spec->id : "", "executor",
	    room != NULL ? room->exec->info->id : "", "in_ms", at, NULL);
	large->logged = *now;
	large->logged_ms = large->model.now_ms;
}

/*
 * Makes a new plan when the last one is old enough. steps are those of the
 * round in the order of placement, execs those that may get work.
 */
void
bp_shard_plan_large(
    bp_shard_t *shard, const GArray *steps, const GPtrArray *execs)
{
	bp_shard_large_t *large = shard->large;
	int64_t now_ms = bp_shard_now_ms(shard);
	int64_t start_us;

	if (large == NULL ||
	    (large->planned_ms != 0 &&
		now_ms - large->planned_ms < PLAN_PERIOD_MS))
		return;
	large->planned_ms = now_ms;
	start_us = bp_clock_mono_us(shard->options.clock);
	measure_largest(large, execs);
	build_model(shard, steps, execs);
	if (large->model.steps->len > 0) {
		bp_room_plan_make(&large->plan, &large->model);
		apply_plan(shard);
		large->counts.plans++;
	}
	large->counts.plans_us +=
	    (uint64_t)(bp_clock_mono_us(shard->options.clock) - start_us);
	log_plans(shard);
}

/* See the header. */
void
bp_shard_large_counts(
    const bp_shard_t *shard, bp_shard_count_t report, void *data)
{
	const bp_shard_large_t *large = shard->large;

	if (large == NULL)
		return;
	report("large_reserved", large->rooms->len, data);
	report("large_reservations_made", large->counts.made, data);
	report("large_reservations_kept", large->counts.kept, data);
	report("large_reservations_missed", large->counts.missed, data);
	report("large_reservations_dropped", large->counts.dropped, data);
	report("large_gap_admissions", large->counts.admitted, data);
	report("large_tasks_moved", large->counts.moved, data);
	report("large_plans", large->counts.plans, data);
	report("large_plans_us", large->counts.plans_us, data);
}
