#include "queues/shard_private.h"

#include <string.h>

/*
 * On a fully used shard small tasks take all capacity as soon as it becomes
 * free, and an urgent task that needs more would wait for as long as they
 * arrive. Executors that have enough capacity once their short runs have ended
 * are reserved for it.
 */

/* Executors are reserved for a step that was unplaced for this time. */
#define RESERVE_AFTER_MS 150
/* Length of a reservation; short tasks end within it. */
#define RESERVATION_MS 1500
/* At most one in this number of executors is reserved at a time. */
#define EXECS_PER_RESERVATION 24
/* Time after which an unplaced long-running step ignores reservations. */
#define IGNORE_RESERVATIONS_AFTER_MS 1000

static bool
is_short(const bp_qrun_t *run)
{
	return run->task != NULL && !run->task->step->spec->lasting;
}

/* Returns the processors of an executor that a sum of requests leaves free. */
static uint32_t
free_cpu_of(const bp_qexec_t *exec, uint64_t used)
{
	return used < exec->info->cpu_milli
	    ? exec->info->cpu_milli - (uint32_t)used
	    : 0;
}

/* Returns the processors that are free once the short runs have ended. */
static uint32_t
cpu_after_short_runs(const bp_qexec_t *exec)
{
	uint64_t used = exec->cpu_used;
	guint i;

	for (i = 0; i < exec->runs->len; i++) {
		const bp_qrun_t *run = exec->runs->pdata[i];

		if (is_short(run))
			used -= run->cpu_milli;
	}
	return free_cpu_of(exec, used);
}

static bool
can_be_reserved(
    const bp_qexec_t *exec, const bp_qstep_t *step, const char *service)
{
	const Bp__Work__Step *spec = step->spec;

	if (exec->reserved_for != NULL ||
	    strcmp(exec->info->service, service) != 0 ||
	    cpu_after_short_runs(exec) < spec->cpu_milli)
		return false;
	return spec->label[0] == '\0' ||
	    g_strv_contains(
		(const char *const *)exec->info->labels, spec->label);
}

/* Returns the executor with the most free processors among those that will have
 * enough for the step; NULL for none. */
static bp_qexec_t *
find(const bp_qstep_t *step, const GPtrArray *execs, const char *service)
{
	bp_qexec_t *best = NULL;
	uint32_t best_free = 0;
	guint i;

	for (i = 0; i < execs->len; i++) {
		bp_qexec_t *exec = execs->pdata[i];
		uint32_t free_cpu = free_cpu_of(exec, exec->cpu_used);

		if ((best == NULL || free_cpu > best_free) &&
		    can_be_reserved(exec, step, service)) {
			best = exec;
			best_free = free_cpu;
		}
	}
	return best;
}

static uint32_t
reservations_of(const bp_shard_t *shard, const bp_qstep_t *step)
{
	uint32_t count = 0;
	guint i;

	for (i = 0; i < shard->reserved_execs->len; i++)
		count += ((bp_qexec_t *)shard->reserved_execs->pdata[i])
			     ->reserved_for == step;
	return count;
}

static bool
may_reserve_more(const bp_shard_t *shard)
{
	return (shard->reserved_execs->len + 1) * EXECS_PER_RESERVATION <=
	    g_hash_table_size(shard->execs);
}

/* Releases a reservation for smaller tasks in favor of this step: small tasks
 * find capacity without one. Returns false when there is none. */
static bool
take_reservation(bp_shard_t *shard, const bp_qstep_t *step)
{
	guint i;

	for (i = 0; i < shard->reserved_execs->len; i++) {
		bp_qexec_t *exec = shard->reserved_execs->pdata[i];

		if (exec->reserved_for->spec->cpu_milli <
		    step->spec->cpu_milli) {
			bp_qexec_release_reservation(exec);
			return true;
		}
	}
	return false;
}

/* Reserves executors for an unplaced urgent step once it has waited. */
void
bp_shard_reserve_executors(bp_shard_t *shard, const bp_qstep_t *step,
    const GPtrArray *execs, const char *service)
{
	int64_t now_ms = bp_shard_now_ms(shard);
	uint32_t missing = step->waiting_tasks;

	if (step->unplaced_ms == 0 ||
	    now_ms - step->unplaced_ms < RESERVE_AFTER_MS)
		return;
	missing -= MIN(missing, reservations_of(shard, step));
	while (missing-- > 0 &&
	    (may_reserve_more(shard) || take_reservation(shard, step))) {
		bp_qexec_t *exec = find(step, execs, service);

		if (exec == NULL)
			return;
		exec->reserved_for = step;
		exec->reserved_until_ms = now_ms + RESERVATION_MS;
		g_ptr_array_add(shard->reserved_execs, exec);
	}
}

/* Tells whether a step is long-running and has waited too long to respect
 * reservations. */
bool
bp_qstep_ignores_reservations(const bp_shard_t *shard, const bp_qstep_t *step)
{
	return step->spec->lasting && step->unplaced_ms != 0 &&
	    bp_shard_now_ms(shard) - step->unplaced_ms >=
	    IGNORE_RESERVATIONS_AFTER_MS;
}

/* Tells whether an executor is reserved for another step; fillers, which take
 * no processors, may use it nevertheless. */
bool
bp_qexec_reserved_from(const bp_qexec_t *exec, const bp_qstep_t *step)
{
	if (exec->reserved_for == NULL || exec->reserved_for == step ||
	    step->spec->filler)
		return false;
	return !bp_qstep_ignores_reservations(exec->shard, step);
}

/* Releases the reservation of an executor; nothing happens without one. */
void
bp_qexec_release_reservation(bp_qexec_t *exec)
{
	if (exec->reserved_for == NULL)
		return;
	exec->reserved_for = NULL;
	g_ptr_array_remove_fast(exec->shard->reserved_execs, exec);
}

/* Releases the reservations that have expired. */
void
bp_shard_release_expired_reservations(bp_shard_t *shard)
{
	int64_t now_ms = bp_shard_now_ms(shard);
	guint i;

	for (i = shard->reserved_execs->len; i > 0; i--) {
		bp_qexec_t *exec = shard->reserved_execs->pdata[i - 1];

		if (exec->reserved_until_ms <= now_ms)
			bp_qexec_release_reservation(exec);
	}
}

/* Releases the reservations for a step. */
void
bp_shard_release_step_reservations(bp_shard_t *shard, const bp_qstep_t *step)
{
	guint i;

	for (i = shard->reserved_execs->len; i > 0; i--) {
		bp_qexec_t *exec = shard->reserved_execs->pdata[i - 1];

		if (exec->reserved_for == step)
			bp_qexec_release_reservation(exec);
	}
}

/* Releases the reservations for the steps of a job. */
void
bp_shard_release_job_reservations(bp_shard_t *shard, const bp_qjob_t *job)
{
	guint i;

	for (i = shard->reserved_execs->len; i > 0; i--) {
		bp_qexec_t *exec = shard->reserved_execs->pdata[i - 1];

		if (exec->reserved_for->job == job)
			bp_qexec_release_reservation(exec);
	}
}
