#include "queues/shard_private.h"

#include <string.h>

/*
 * A customer's account holds every run that the owner knows until its end is
 * known, and every task that an earlier owner may have started on an executor
 * that is not reconciled yet. Executors' records name the customer and the
 * request of such tasks, because the record of a job that has ended is dropped
 * while its runs may go on.
 */

/* Returns what a task of the step requests. */
bp_customer_size_t
bp_qstep_size(const Bp__Work__Step *spec, bool urgent)
{
	bp_customer_size_t size = {spec->cpu_milli,
	    spec->filler ? 0 : spec->cpu_milli, spec->memory_mib,
	    spec->accelerators, urgent};

	return size;
}

/* Returns whether a job is due and no task of it has started. */
bool
bp_qjob_waits_for_room(const bp_qjob_t *job, int64_t wall_ms)
{
	return !job->started &&
	    bp_qstep_not_before_ms(&job->steps[0]) <= wall_ms;
}

/* Returns whether the cap of its customer lets a waiting task of the step
 * start; all tasks of a gang. */
bool
bp_qstep_within_cap(const bp_qstep_t *step)
{
	bp_customer_size_t size = bp_qstep_size(step->spec, false);

	return bp_customer_may_start(step->job->account, &size,
	    step->spec->gang ? step->spec->tasks : 1);
}

/* Returns whether the customer of a step uses more than its share. */
bool
bp_qstep_over_share(const bp_shard_t *shard, const bp_qstep_t *step)
{
	bp_customer_figures_t figures;

	if (!bp_customers_enabled(shard->customers))
		return false;
	bp_customer_figures(
	    step->job->account, step->job->spec->priority == 0, &figures);
	return figures.used_share > figures.entitled_share;
}

/* Counts the capacity of which shares are parts. The jobs that wait are counted
 * while the ready steps are collected. */
void
bp_shard_update_customers(bp_shard_t *shard)
{
	bp_customer_size_t capacity = {0};
	GHashTableIter iter;
	gpointer value;

	if (!bp_customers_enabled(shard->customers))
		return;
	bp_customers_reset_backlogs(shard->customers);
	g_hash_table_iter_init(&iter, shard->execs);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const bp_qexec_t *exec = value;

		if (!exec->listed)
			continue;
		capacity.reserved_milli += exec->info->cpu_milli;
		capacity.memory_mib += exec->info->memory_mib;
		capacity.accelerators += exec->info->accelerators;
	}
	bp_customers_set_capacity(shard->customers, &capacity);
}

static const bp_qheld_t *
find_held(const bp_qexec_t *exec, const char *name)
{
	guint i;

	for (i = 0; i < exec->held->len; i++) {
		const bp_qheld_t *held = exec->held->pdata[i];

		if (strcmp(held->name, name) == 0)
			return held;
	}
	return NULL;
}

/* Adds a new run to the account of its customer. spec is NULL for an unknown
 * job, whose customer only the executor's record may tell. */
void
bp_qrun_charge(bp_qrun_t *run, const Bp__Work__Step *spec)
{
	bp_shard_t *shard = run->exec->shard;
	const bp_qheld_t *held = NULL;
	const bp_qtask_t *task = run->task;

	if (task == NULL && spec != NULL)
		task = bp_shard_find_task(shard, run->name);
	if (task == NULL)
		held = find_held(run->exec, run->name);
	if (spec != NULL)
		run->size = bp_qstep_size(
		    spec, task != NULL && task->step->job->spec->priority == 0);
	else if (held != NULL)
		run->size = held->size;
	if (task != NULL)
		run->account = task->step->job->account;
	else if (held != NULL)
		run->account = held->account;
	else
		run->account = bp_customers_account(shard->customers, "");
	bp_customer_add(run->account, &run->size);
}

/* Frees an entry; its account is not changed. */
void
bp_qheld_free(gpointer data)
{
	bp_qheld_t *held = data;

	g_free(held->name);
	g_free(held);
}

/* Adds the tasks that an executor's record names to the accounts of their
 * customers. */
void
bp_qexec_load_held(bp_qexec_t *exec, const Bp__Work__Holder *holder)
{
	size_t i;

	for (i = 0; i < holder->n_held; i++) {
		const Bp__Work__Held *stored = holder->held[i];
		bp_qheld_t *held;

		if (stored->task >= holder->n_tasks)
			continue;
		held = g_new0(bp_qheld_t, 1);
		held->name = g_strdup(holder->tasks[stored->task]);
		held->account = bp_customers_account(
		    exec->shard->customers, stored->customer);
		held->size.cpu_milli = stored->cpu_milli;
		held->size.reserved_milli =
		    stored->filler ? 0 : stored->cpu_milli;
		held->size.memory_mib = stored->memory_mib;
		held->size.accelerators = stored->accelerators;
		bp_customer_add(held->account, &held->size);
		g_ptr_array_add(exec->held, held);
	}
}

/* The executor is reconciled: its runs are in the accounts, and it has no
 * others. */
void
bp_qexec_drop_held(bp_qexec_t *exec)
{
	guint i;

	for (i = 0; i < exec->held->len; i++) {
		const bp_qheld_t *held = exec->held->pdata[i];

		bp_customer_remove(held->account, &held->size);
	}
	g_ptr_array_set_size(exec->held, 0);
}

static void
add_stored(Bp__Work__Holder *holder, guint index,
    const bp_customer_account_t *account, const bp_customer_size_t *size)
{
	Bp__Work__Held *stored = g_new(Bp__Work__Held, 1);

	bp__work__held__init(stored);
	stored->task = index;
	stored->customer = (char *)bp_customer_name(account);
	stored->cpu_milli = (uint32_t)size->cpu_milli;
	stored->filler = size->reserved_milli < size->cpu_milli;
	stored->memory_mib = (uint32_t)size->memory_mib;
	stored->accelerators = (uint32_t)size->accelerators;
	holder->held[holder->n_held++] = stored;
}

/* Returns the index of a name, which is appended if it is missing. */
static guint
index_of(GPtrArray *names, const char *name)
{
	guint index;

	if (!g_ptr_array_find_with_equal_func(
		names, name, g_str_equal, &index)) {
		index = names->len;
		g_ptr_array_add(names, g_strdup(name));
	}
	return index;
}

/*
 * Adds the tasks of customers to an executor's record. names holds its runs'
 * tasks first, in their order; those of ended jobs that earlier owners started
 * are appended. Without customers the record is as before.
 */
void
bp_qexec_store_held(
    const bp_qexec_t *exec, GPtrArray *names, Bp__Work__Holder *holder)
{
	guint i;

	holder->held =
	    g_new0(Bp__Work__Held *, exec->runs->len + exec->held->len);
	for (i = 0; i < exec->runs->len; i++) {
		const bp_qrun_t *run = exec->runs->pdata[i];

		if (bp_customer_name(run->account)[0] != '\0')
			add_stored(holder, i, run->account, &run->size);
	}
	for (i = 0; i < exec->held->len; i++) {
		const bp_qheld_t *held = exec->held->pdata[i];

		add_stored(holder, index_of(names, held->name), held->account,
		    &held->size);
	}
}

/* Frees what bp_qexec_store_held() allocated. */
void
bp_qexec_free_stored_held(Bp__Work__Holder *holder)
{
	size_t i;

	for (i = 0; i < holder->n_held; i++)
		g_free(holder->held[i]);
	g_free(holder->held);
}
