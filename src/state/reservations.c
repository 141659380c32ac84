#include "bulrushpost/reservations.h"

#include "bulrushpost/resources.h"

typedef struct {
	bp_resources_t used;
	GArray *list; /* bp_reservation_t */
} reserved_total_t;

struct bp_reservations {
	GHashTable *vms; /* const bp_vm_t * -> reserved_total_t */
	GHashTable *jobs; /* const bp_job_t * -> reserved_total_t */
	GHashTable *teams; /* const bp_team_t * -> reserved_total_t, no list */
};

static void
total_free(void *data)
{
	reserved_total_t *total = data;

	if (total->list != NULL)
		g_array_unref(total->list);
	g_free(total);
}

static GHashTable *
new_table(void)
{
	return g_hash_table_new_full(NULL, NULL, NULL, total_free);
}

/* Creates an empty set. Free with bp_reservations_free. */
bp_reservations_t *
bp_reservations_new(void)
{
	bp_reservations_t *self = g_new0(bp_reservations_t, 1);

	self->vms = new_table();
	self->jobs = new_table();
	self->teams = new_table();
	return self;
}

/* Frees the set. NULL is allowed. */
void
bp_reservations_free(bp_reservations_t *reservations)
{
	if (reservations == NULL)
		return;
	g_hash_table_unref(reservations->vms);
	g_hash_table_unref(reservations->jobs);
	g_hash_table_unref(reservations->teams);
	g_free(reservations);
}

/* Removes all reservations. */
void
bp_reservations_clear(bp_reservations_t *reservations)
{
	g_hash_table_remove_all(reservations->vms);
	g_hash_table_remove_all(reservations->jobs);
	g_hash_table_remove_all(reservations->teams);
}

static reserved_total_t *
get_total(GHashTable *table, const void *key)
{
	reserved_total_t *total = g_hash_table_lookup(table, key);

	if (total == NULL) {
		total = g_new0(reserved_total_t, 1);
		g_hash_table_insert(table, (void *)key, total);
	}
	return total;
}

static void
add_to_total(reserved_total_t *total, const bp_reservation_t *one,
    const bp_resources_t *amount, bool listed)
{
	total->used = bp_resources_sum(&total->used, amount);
	if (!listed)
		return;
	if (total->list == NULL)
		total->list =
		    g_array_new(FALSE, FALSE, sizeof(bp_reservation_t));
	g_array_append_val(total->list, *one);
}

/* Reserves capacity for count tasks of the job on the VM. */
void
bp_reservations_add(bp_reservations_t *reservations, const bp_job_t *job,
    const bp_vm_t *vm, uint32_t count)
{
	bp_reservation_t one = {job, vm, count};
	bp_resources_t amount = bp_resources_multiply(&job->size, count);

	add_to_total(get_total(reservations->vms, vm), &one, &amount, true);
	add_to_total(get_total(reservations->jobs, job), &one, &amount, true);
	add_to_total(
	    get_total(reservations->teams, job->team), &one, &amount, false);
}

/* Returns the amounts reserved on the VM. */
bp_resources_t
bp_reservations_vm_total(
    const bp_reservations_t *reservations, const bp_vm_t *vm)
{
	bp_resources_t none = {0, 0, 0};
	const reserved_total_t *total = reservations == NULL
	    ? NULL
	    : g_hash_table_lookup(reservations->vms, vm);

	return total == NULL ? none : total->used;
}

/* Returns the amounts reserved for the jobs of the team. */
bp_resources_t
bp_reservations_team_total(
    const bp_reservations_t *reservations, const bp_team_t *team)
{
	bp_resources_t none = {0, 0, 0};
	const reserved_total_t *total = reservations == NULL
	    ? NULL
	    : g_hash_table_lookup(reservations->teams, team);

	return total == NULL ? none : total->used;
}

/* Returns the reservations on the VM. */
const GArray *
bp_reservations_for_vm(const bp_reservations_t *reservations, const bp_vm_t *vm)
{
	const reserved_total_t *total = reservations == NULL
	    ? NULL
	    : g_hash_table_lookup(reservations->vms, vm);

	return total == NULL ? NULL : total->list;
}

/* Returns the reservations for tasks of the job. */
const GArray *
bp_reservations_for_job(
    const bp_reservations_t *reservations, const bp_job_t *job)
{
	const reserved_total_t *total = reservations == NULL
	    ? NULL
	    : g_hash_table_lookup(reservations->jobs, job);

	return total == NULL ? NULL : total->list;
}
