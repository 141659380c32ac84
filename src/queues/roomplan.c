#include "queues/roomplan.h"

#include <string.h>

/* Times that differ by less are taken as equal: estimates are no better. */
#define TIME_STEP_MS 200
/* An executor that is held for less urgent work is taken only if it is free so
 * much earlier than others. */
#define TAKE_OVER_MS 400
/* The same for an executor on which the last reservation was missed: what kept
 * the task out there may last. */
#define MISSED_PENALTY_MS 1000

/* A possible place of a task. */
typedef struct {
	uint32_t exec;
	int64_t at_ms;
	uint64_t left_cpu_milli; /* beside the task */
	uint64_t moved_cpu_milli; /* of runs that are stopped for it */
} place_t;

/* State of one plan. */
typedef struct {
	bp_room_model_t *model;
	bp_room_plan_t *plan;
	bool *taken; /* by executor */
	bool *held; /* by executor, before the plan */
	uint32_t *placed; /* tasks by step */
	uint32_t reserved; /* reservations for the priority being planned */
	GArray *places; /* place_t */
} planner_t;

/* Initializes an empty model. */
void
bp_room_model_init(bp_room_model_t *model)
{
	memset(model, 0, sizeof(*model));
	model->execs = g_array_new(FALSE, FALSE, sizeof(bp_room_exec_t));
	model->runs = g_array_new(FALSE, FALSE, sizeof(bp_room_run_t));
	model->steps = g_array_new(FALSE, FALSE, sizeof(bp_room_step_t));
	model->held = g_array_new(FALSE, FALSE, sizeof(bp_room_reservation_t));
}

/* Empties a model and keeps its memory and limits. */
void
bp_room_model_reset(bp_room_model_t *model)
{
	g_array_set_size(model->execs, 0);
	g_array_set_size(model->runs, 0);
	g_array_set_size(model->steps, 0);
	g_array_set_size(model->held, 0);
}

/* Frees the contents of a model. */
void
bp_room_model_clear(bp_room_model_t *model)
{
	g_array_unref(model->execs);
	g_array_unref(model->runs);
	g_array_unref(model->steps);
	g_array_unref(model->held);
}

/* Initializes an empty plan. */
void
bp_room_plan_init(bp_room_plan_t *plan)
{
	memset(plan, 0, sizeof(*plan));
	plan->reservations =
	    g_array_new(FALSE, FALSE, sizeof(bp_room_reservation_t));
	plan->moves = g_array_new(FALSE, FALSE, sizeof(uint32_t));
}

/* Frees the contents of a plan. */
void
bp_room_plan_clear(bp_room_plan_t *plan)
{
	g_array_unref(plan->reservations);
	g_array_unref(plan->moves);
}

/* Returns whether a size fits into a capacity in every dimension. */
bool
bp_room_size_fits(const bp_room_size_t *size, const bp_room_size_t *capacity)
{
	return size->cpu_milli <= capacity->cpu_milli &&
	    size->memory_mib <= capacity->memory_mib &&
	    size->accelerators <= capacity->accelerators;
}

static uint32_t
add_capped(uint32_t a, uint32_t b)
{
	return a > UINT32_MAX - b ? UINT32_MAX : a + b;
}

static void
add_size(bp_room_size_t *to, const bp_room_size_t *size)
{
	to->cpu_milli = add_capped(to->cpu_milli, size->cpu_milli);
	to->memory_mib = add_capped(to->memory_mib, size->memory_mib);
	to->accelerators = add_capped(to->accelerators, size->accelerators);
}

/* Subtracts a size, down to zero in each dimension. */
static void
subtract_size(bp_room_size_t *from, const bp_room_size_t *size)
{
	from->cpu_milli -= MIN(from->cpu_milli, size->cpu_milli);
	from->memory_mib -= MIN(from->memory_mib, size->memory_mib);
	from->accelerators -= MIN(from->accelerators, size->accelerators);
}

static bp_room_exec_t *
exec_at(const bp_room_model_t *model, uint32_t index)
{
	return &g_array_index(model->execs, bp_room_exec_t, index);
}

static bp_room_run_t *
run_at(const bp_room_model_t *model, uint32_t index)
{
	return &g_array_index(model->runs, bp_room_run_t, index);
}

static bp_room_step_t *
step_at(const bp_room_model_t *model, uint32_t index)
{
	return &g_array_index(model->steps, bp_room_step_t, index);
}

/* Sorts the runs of an executor by their late ends; there are few of them. */
static void
sort_runs(bp_room_model_t *model, const bp_room_exec_t *exec)
{
	bp_room_run_t *runs;
	uint32_t i;

	if (exec->n_runs < 2)
		return;
	runs = run_at(model, exec->first_run);
	for (i = 1; i < exec->n_runs; i++) {
		bp_room_run_t run = runs[i];
		uint32_t k = i;

		for (; k > 0 && runs[k - 1].late_ms > run.late_ms; k--)
			runs[k] = runs[k - 1];
		runs[k] = run;
	}
}

static bool
may_host(const bp_room_model_t *model, const bp_room_exec_t *exec,
    const bp_room_step_t *step)
{
	uint32_t here = 0;
	uint32_t i;

	if (!bp_room_size_fits(&step->size, &exec->total) ||
	    strcmp(exec->service, step->service) != 0)
		return false;
	if (step->label[0] != '\0' &&
	    !g_strv_contains((const char *const *)exec->labels, step->label))
		return false;
	if (step->spread_max == 0)
		return true;
	for (i = 0; i < exec->n_runs; i++)
		here += run_at(model, exec->first_run + i)->step == step->step;
	return here < step->spread_max;
}

/* Tells whether a run may be stopped for a step: never more urgent work. */
static bool
may_move(const bp_room_run_t *run, const bp_room_step_t *step)
{
	return run->movable && run->priority >= step->priority &&
	    run->step != step->step;
}

/* Returns when a task of the step fits on the executor without stopping runs;
 * BP_ROOM_NEVER if that is after the horizon. */
static int64_t
free_at(const bp_room_model_t *model, const bp_room_exec_t *exec,
    const bp_room_step_t *step)
{
	bp_room_size_t free = exec->free;
	int64_t last_ms = model->now_ms + model->horizon_ms;
	uint32_t i;

	if (bp_room_size_fits(&step->size, &free))
		return model->now_ms;
	for (i = 0; i < exec->n_runs; i++) {
		const bp_room_run_t *run = run_at(model, exec->first_run + i);

		if (run->late_ms > last_ms)
			return BP_ROOM_NEVER;
		add_size(&free, &run->size);
		if (bp_room_size_fits(&step->size, &free))
			return MAX(run->late_ms, model->now_ms);
	}
	return BP_ROOM_NEVER;
}

/* Tells whether stopping a run helps: it takes what the task misses. */
static bool
helps(const bp_room_run_t *run, const bp_room_size_t *free,
    const bp_room_size_t *size)
{
	return (run->size.cpu_milli > 0 && free->cpu_milli < size->cpu_milli) ||
	    (run->size.memory_mib > 0 && free->memory_mib < size->memory_mib) ||
	    (run->size.accelerators > 0 &&
		free->accelerators < size->accelerators);
}

/*
 * Returns whether a task fits once movable runs are stopped and the runs that
 * end meanwhile have ended. Adds the runs to moves (NULL: none) and their
 * processors to cost.
 */
static bool
fits_after_moves(const bp_room_model_t *model, const bp_room_exec_t *exec,
    const bp_room_step_t *step, GArray *moves, uint64_t *cost)
{
	bp_room_size_t free = exec->free;
	int64_t stopped_ms = model->now_ms + model->stop_ms;
	uint32_t i;

	for (i = 0; i < exec->n_runs; i++) {
		const bp_room_run_t *run = run_at(model, exec->first_run + i);

		if (run->late_ms <= stopped_ms)
			add_size(&free, &run->size);
	}
	/* The runs that would end last are stopped first. */
	for (i = exec->n_runs; i > 0; i--) {
		uint32_t index = exec->first_run + i - 1;
		const bp_room_run_t *run = run_at(model, index);

		if (bp_room_size_fits(&step->size, &free))
			break;
		if (run->late_ms <= stopped_ms || !may_move(run, step) ||
		    !helps(run, &free, &step->size))
			continue;
		add_size(&free, &run->size);
		*cost += run->size.cpu_milli + 1;
		if (moves != NULL)
			g_array_append_val(moves, index);
	}
	return bp_room_size_fits(&step->size, &free);
}

/* Returns what stays free beside a task that starts at a time, if the runs
 * that may still run then do. */
static bp_room_size_t
room_beside(const bp_room_model_t *model, const bp_room_exec_t *exec,
    const bp_room_step_t *step, int64_t at_ms)
{
	bp_room_size_t free = exec->free;
	uint32_t i;

	for (i = 0; i < exec->n_runs; i++) {
		const bp_room_run_t *run = run_at(model, exec->first_run + i);

		if (run->late_ms <= at_ms)
			add_size(&free, &run->size);
	}
	subtract_size(&free, &step->size);
	return free;
}

static void
add_reservation(planner_t *planner, uint32_t exec, uint32_t step, int64_t at_ms,
    const bp_room_reservation_t *held)
{
	const bp_room_model_t *model = planner->model;
	bp_room_reservation_t reservation = {.exec = exec,
	    .step = step,
	    .at_ms = at_ms,
	    .strict =
		held != NULL ? held->strict : step_at(model, step)->missed > 0,
	    .held = held != NULL};

	reservation.beside = room_beside(
	    model, exec_at(model, exec), step_at(model, step), at_ms);
	planner->taken[exec] = true;
	planner->placed[step]++;
	planner->reserved++;
	g_array_append_val(planner->plan->reservations, reservation);
}

static bool
is_full(const planner_t *planner)
{
	return planner->reserved >= planner->model->reservations_max;
}

/* Takes the capacity that a moved run needs from another executor. Returns
 * false when none has it: a run that is stopped for a while only wastes its
 * work. */
static bool
take_other_place(planner_t *planner, uint32_t from, const bp_room_run_t *run)
{
	const bp_room_model_t *model = planner->model;
	uint32_t i;

	for (i = 0; i < model->execs->len; i++) {
		bp_room_exec_t *exec = exec_at(model, i);

		if (i == from || planner->taken[i] ||
		    strcmp(exec->service, exec_at(model, from)->service) != 0 ||
		    !bp_room_size_fits(&run->size, &exec->free))
			continue;
		subtract_size(&exec->free, &run->size);
		return true;
	}
	return false;
}

/* Adds the runs to stop so that a task fits on an executor, unless they have no
 * other place or are more than the plan may still move. */
static bool
move_for(planner_t *planner, uint32_t exec, const bp_room_step_t *step)
{
	const bp_room_model_t *model = planner->model;
	GArray *moves = planner->plan->moves;
	guint before = moves->len;
	uint64_t cost = 0;
	bool fits =
	    fits_after_moves(model, exec_at(model, exec), step, moves, &cost) &&
	    moves->len <= model->moves_max;
	guint i;

	for (i = before; fits && i < moves->len; i++)
		fits = take_other_place(planner, exec,
		    run_at(model, g_array_index(moves, uint32_t, i)));
	if (!fits)
		g_array_set_size(moves, before);
	return fits;
}

/*
 * Keeps a reservation at its time or an earlier one. Its time is never moved
 * back: small tasks admitted until a time that recedes would keep the large
 * one out for good.
 */
static void
keep_held(planner_t *planner, const bp_room_reservation_t *held)
{
	bp_room_model_t *model = planner->model;
	bp_room_step_t *step = step_at(model, held->step);
	int64_t at_ms;

	if (held->exec == BP_ROOM_NONE || planner->taken[held->exec] ||
	    !may_host(model, exec_at(model, held->exec), step)) {
		planner->plan->lost++;
		return;
	}
	if (planner->placed[held->step] >= step->tasks || is_full(planner))
		return;
	if (model->now_ms > held->at_ms + model->grace_ms) {
		planner->plan->missed++;
		step->missed++;
		step->missed_on = exec_at(model, held->exec)->data;
		return;
	}
	at_ms = free_at(model, exec_at(model, held->exec), step);
	if (at_ms > model->now_ms &&
	    model->now_ms + model->stop_ms >= held->at_ms &&
	    move_for(planner, held->exec, step))
		at_ms = MIN(at_ms, model->now_ms + model->stop_ms);
	if (at_ms == BP_ROOM_NEVER) {
		planner->plan->lost++;
		return;
	}
	add_reservation(
	    planner, held->exec, held->step, MIN(at_ms, held->at_ms), held);
}

static gint
compare_places(gconstpointer a, gconstpointer b)
{
	const place_t *x = a;
	const place_t *y = b;
	int64_t x_step = x->at_ms / TIME_STEP_MS;
	int64_t y_step = y->at_ms / TIME_STEP_MS;

	if (x->moved_cpu_milli != y->moved_cpu_milli)
		return x->moved_cpu_milli < y->moved_cpu_milli ? -1 : 1;
	if (x_step != y_step)
		return x_step < y_step ? -1 : 1;
	if (x->left_cpu_milli != y->left_cpu_milli)
		return x->left_cpu_milli < y->left_cpu_milli ? -1 : 1;
	return (x->exec > y->exec) - (x->exec < y->exec);
}

/* Returns by how much earlier than others an executor has to be free. */
static int64_t
penalty_ms(const planner_t *planner, uint32_t exec, const bp_room_step_t *step)
{
	bool missed = step->missed > 0 &&
	    exec_at(planner->model, exec)->data == step->missed_on;

	return (planner->held[exec] ? TAKE_OVER_MS : 0) +
	    (missed ? MISSED_PENALTY_MS : 0);
}

/* Collects the executors where a task of the step can start in time; with
 * moving, those where runs have to be stopped for it. */
static void
find_places(planner_t *planner, const bp_room_step_t *step, bool moving)
{
	const bp_room_model_t *model = planner->model;
	uint32_t i;

	g_array_set_size(planner->places, 0);
	for (i = 0; i < model->execs->len; i++) {
		const bp_room_exec_t *exec = exec_at(model, i);
		place_t place = {i, 0, 0, 0};

		if (planner->taken[i] || !may_host(model, exec, step))
			continue;
		if (moving) {
			if (!fits_after_moves(model, exec, step, NULL,
				&place.moved_cpu_milli))
				continue;
			place.at_ms = model->now_ms + model->stop_ms;
		} else {
			place.at_ms = free_at(model, exec, step);
		}
		if (place.at_ms > step->latest_ms ||
		    place.at_ms == BP_ROOM_NEVER)
			continue;
		place.left_cpu_milli =
		    exec->total.cpu_milli - step->size.cpu_milli;
		place.at_ms += penalty_ms(planner, i, step);
		g_array_append_val(planner->places, place);
	}
	g_array_sort(planner->places, compare_places);
}

/* Reserves places for the tasks of a step that have none. */
static void
reserve_step(planner_t *planner, uint32_t index, bool moving)
{
	const bp_room_model_t *model = planner->model;
	const bp_room_step_t *step = step_at(model, index);
	guint i;

	if (planner->placed[index] >= step->tasks || is_full(planner))
		return;
	find_places(planner, step, moving);
	for (i = 0; i < planner->places->len && !is_full(planner) &&
	     planner->placed[index] < step->tasks;
	     i++) {
		const place_t *place =
		    &g_array_index(planner->places, place_t, i);
		int64_t at_ms = place->at_ms;

		if (moving && !move_for(planner, place->exec, step))
			continue;
		at_ms -= penalty_ms(planner, place->exec, step);
		add_reservation(planner, place->exec, index, at_ms, NULL);
	}
}

/* Plans the steps of one priority; reservations that are held come first. */
static void
plan_priority(planner_t *planner, uint32_t priority)
{
	const bp_room_model_t *model = planner->model;
	uint32_t i;

	planner->reserved = 0;
	for (i = 0; i < model->held->len; i++) {
		const bp_room_reservation_t *held =
		    &g_array_index(model->held, bp_room_reservation_t, i);

		if (step_at(model, held->step)->priority == priority)
			keep_held(planner, held);
	}
	for (i = 0; i < model->steps->len; i++) {
		const bp_room_step_t *step = step_at(model, i);

		if (step->priority != priority)
			continue;
		reserve_step(planner, i, false);
		if (model->now_ms - step->since_ms >= model->move_after_ms &&
		    model->moves_max > 0)
			reserve_step(planner, i, true);
	}
}

/* Returns the lowest priority above a bound; UINT32_MAX for none. */
static uint32_t
next_priority(const bp_room_model_t *model, int64_t above)
{
	uint32_t next = UINT32_MAX;
	uint32_t i;

	for (i = 0; i < model->steps->len; i++) {
		uint32_t priority = step_at(model, i)->priority;

		if ((int64_t)priority > above)
			next = MIN(next, priority);
	}
	return next;
}

/* See the header. */
void
bp_room_plan_make(bp_room_plan_t *plan, bp_room_model_t *model)
{
	planner_t planner = {.model = model, .plan = plan};
	uint32_t priority;
	uint32_t i;

	g_array_set_size(plan->reservations, 0);
	g_array_set_size(plan->moves, 0);
	plan->missed = 0;
	plan->lost = 0;
	planner.taken = g_new0(bool, model->execs->len + 1);
	planner.held = g_new0(bool, model->execs->len + 1);
	planner.placed = g_new0(uint32_t, model->steps->len + 1);
	planner.places = g_array_new(FALSE, FALSE, sizeof(place_t));
	for (i = 0; i < model->execs->len; i++)
		sort_runs(model, exec_at(model, i));
	for (i = 0; i < model->held->len; i++) {
		uint32_t exec =
		    g_array_index(model->held, bp_room_reservation_t, i).exec;

		if (exec != BP_ROOM_NONE)
			planner.held[exec] = true;
	}
	for (priority = next_priority(model, -1); priority != UINT32_MAX;
	     priority = next_priority(model, priority))
		plan_priority(&planner, priority);
	g_array_unref(planner.places);
	g_free(planner.placed);
	g_free(planner.held);
	g_free(planner.taken);
}

/* See the header. */
bp_room_admission_t
bp_room_admit(const bp_room_reservation_t *reservation,
    const bp_room_size_t *size, int64_t certain_end_ms, bool movable)
{
	if (bp_room_size_fits(size, &reservation->beside))
		return BP_ROOM_BESIDE;
	if (reservation->strict)
		return BP_ROOM_REFUSED;
	if (certain_end_ms <= reservation->at_ms)
		return BP_ROOM_ENDS_BEFORE;
	return movable ? BP_ROOM_MOVABLE : BP_ROOM_REFUSED;
}
