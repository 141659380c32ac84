#include "queues/customers.h"

#include <math.h>
#include <string.h>

#define MS_PER_S 1000.0
/* Jobs that may come at once count as within the rate for this time of it. */
#define BURST_S 2
/*
 * Accepted jobs that wait for longer than this time of the rate are a long
 * backlog. Objectives of batch jobs are of this order, so a job behind such a
 * backlog would end too late.
 */
#define BACKLOG_S 5
/* Backlog below which no job is refused, also with a low weight. */
#define BACKLOG_MIN_JOBS 8
#define RETRY_MIN_MS 1000
#define RETRY_MAX_MS 60000
/* A retry time is drawn from this range around its mean. */
#define RETRY_JITTER_MIN 0.75
#define RETRY_JITTER_RANGE 0.5

struct bp_customers {
	uint32_t shard;
	uint32_t shards;
	bool known; /* a configuration is in force */
	bool enabled; /* and has customers */
	uint32_t mean_weight; /* of its customers */
	bp_customer_size_t capacity;
	GHashTable *accounts; /* name to bp_customer_account_t */
};

struct bp_customer_account {
	bp_customers_t *customers;
	char *name;
	guint index; /* in the order of creation */
	bool listed; /* in the configuration in force */
	bool has_cap; /* as last listed */
	bool is_home; /* its shard takes tasks that are larger than a part */
	uint32_t weight;
	bp_customer_size_t cap; /* as last listed; 0: no limit */
	bp_customer_size_t used;
	bp_customer_size_t urgent; /* the urgent tasks of used */
	uint32_t tasks; /* in used */
	uint32_t waiting_jobs;
	double owed_jobs; /* that may come within the rate now */
	int64_t owed_ms; /* monotonic, when owed_jobs was computed */
	double refused_jobs; /* expected to come again; decays at the rate */
	int64_t refused_ms; /* monotonic, when refused_jobs was computed */
};

static void
free_account(gpointer data)
{
	bp_customer_account_t *account = data;

	g_free(account->name);
	g_free(account);
}

/* Creates accounts for one of so many shards, without a configuration. */
bp_customers_t *
bp_customers_new(uint32_t shard, uint32_t shards)
{
	bp_customers_t *self = g_new0(bp_customers_t, 1);

	self->shard = shard;
	self->shards = MAX(shards, 1);
	self->mean_weight = 1;
	self->accounts =
	    g_hash_table_new_full(g_str_hash, g_str_equal, NULL, free_account);
	return self;
}

/* Frees all accounts. NULL is allowed. */
void
bp_customers_free(bp_customers_t *self)
{
	if (self == NULL)
		return;
	g_hash_table_unref(self->accounts);
	g_free(self);
}

static bool
is_unnamed(const bp_customer_account_t *account)
{
	return account->name[0] == '\0';
}

/*
 * Copies cap and weight. A customer that the configuration no longer names
 * keeps those that it had: its accepted jobs still run.
 */
static void
update_account(bp_customer_account_t *account, const bp_customer_t *customer)
{
	account->listed = customer != NULL;
	if (customer == NULL)
		return;
	account->has_cap = true;
	account->weight = MAX(customer->weight, 1);
	account->cap.cpu_milli = customer->cap_cpu_milli;
	account->cap.memory_mib = customer->cap_memory_mib;
	account->cap.accelerators = customer->cap_accelerators;
}

static uint32_t
mean_weight(const bp_catalog_t *catalog)
{
	uint64_t sum = 0;
	guint i;

	for (i = 0; i < catalog->customers->len; i++) {
		const bp_customer_t *customer = catalog->customers->pdata[i];

		sum += MAX(customer->weight, 1);
	}
	return catalog->customers->len > 0
	    ? (uint32_t)(sum / catalog->customers->len)
	    : 1;
}

/* See the header. Accounts are created for all customers, so that a cap is
 * known after the configuration stops naming its customer. */
void
bp_customers_set_catalog(bp_customers_t *self, const bp_catalog_t *catalog)
{
	GHashTableIter iter;
	gpointer value;
	guint i;

	self->known = catalog != NULL;
	self->enabled = catalog != NULL && catalog->customers->len > 0;
	if (!self->enabled)
		return;
	self->mean_weight = mean_weight(catalog);
	g_hash_table_iter_init(&iter, self->accounts);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		update_account(value, NULL);
	for (i = 0; i < catalog->customers->len; i++) {
		const bp_customer_t *customer = catalog->customers->pdata[i];

		update_account(
		    bp_customers_account(self, customer->name), customer);
	}
}

/* See the header. */
void
bp_customers_set_capacity(
    bp_customers_t *self, const bp_customer_size_t *capacity)
{
	self->capacity = *capacity;
}

/* See the header. */
bool
bp_customers_enabled(const bp_customers_t *self)
{
	return self->enabled;
}

/* See the header. */
bool
bp_customers_limit_starts(const bp_customers_t *self)
{
	return self->enabled || !self->known;
}

/* See the header. */
bp_customer_account_t *
bp_customers_account(bp_customers_t *self, const char *name)
{
	bp_customer_account_t *account =
	    g_hash_table_lookup(self->accounts, name);

	if (account != NULL)
		return account;
	account = g_new0(bp_customer_account_t, 1);
	account->customers = self;
	account->index = g_hash_table_size(self->accounts);
	account->name = g_strdup(name);
	account->is_home = bp_hash_text(name, 0) % self->shards == self->shard;
	account->weight = 1;
	account->owed_ms = -1;
	g_hash_table_insert(self->accounts, account->name, account);
	return account;
}

/* See the header. */
guint
bp_customers_count(const bp_customers_t *self)
{
	return g_hash_table_size(self->accounts);
}

/* Returns the index, which never changes. */
guint
bp_customer_index(const bp_customer_account_t *account)
{
	return account->index;
}

/* Returns the name, "" for the jobs without a customer. */
const char *
bp_customer_name(const bp_customer_account_t *account)
{
	return account->name;
}

static void
add_size(bp_customer_size_t *sum, const bp_customer_size_t *size)
{
	sum->cpu_milli += size->cpu_milli;
	sum->reserved_milli += size->reserved_milli;
	sum->memory_mib += size->memory_mib;
	sum->accelerators += size->accelerators;
}

static void
subtract_size(bp_customer_size_t *sum, const bp_customer_size_t *size)
{
	sum->cpu_milli -= size->cpu_milli;
	sum->reserved_milli -= size->reserved_milli;
	sum->memory_mib -= size->memory_mib;
	sum->accelerators -= size->accelerators;
}

/* See the header. */
void
bp_customer_add(bp_customer_account_t *account, const bp_customer_size_t *size)
{
	account->tasks++;
	add_size(&account->used, size);
	if (size->urgent)
		add_size(&account->urgent, size);
}

/* See the header. */
void
bp_customer_remove(
    bp_customer_account_t *account, const bp_customer_size_t *size)
{
	account->tasks--;
	subtract_size(&account->used, size);
	if (size->urgent)
		subtract_size(&account->urgent, size);
}

/* Returns whether a sum stays within the part of a cap; cap 0 is no limit. */
static bool
fits(uint64_t sum, uint64_t cap, uint32_t parts)
{
	return cap == 0 || sum <= cap / parts;
}

/* Returns whether what is used and so many tasks stay within a part of each
 * cap. */
static bool
fits_all(const bp_customer_account_t *account, const bp_customer_size_t *size,
    uint64_t tasks, uint32_t parts)
{
	const bp_customer_size_t *used = &account->used;
	const bp_customer_size_t *cap = &account->cap;

	return fits(used->cpu_milli + tasks * size->cpu_milli, cap->cpu_milli,
		   parts) &&
	    fits(used->memory_mib + tasks * size->memory_mib, cap->memory_mib,
		parts) &&
	    fits(used->accelerators + tasks * size->accelerators,
		cap->accelerators, parts);
}

/*
 * A task that is larger than a part of the cap, but not than the cap, starts
 * only on the customer's home shard, and only while nothing else of the
 * customer runs there. The sum over all shards is then at most the cap and one
 * task.
 */
bool
bp_customer_may_start(const bp_customer_account_t *account,
    const bp_customer_size_t *size, uint32_t tasks)
{
	const bp_customers_t *customers = account->customers;

	if (is_unnamed(account))
		return true;
	if (!customers->known)
		return false;
	if (!customers->enabled)
		return true;
	/* Its last cap is unknown to an owner that took over later. */
	if (!account->has_cap)
		return account->tasks == 0;
	if (fits_all(account, size, tasks, customers->shards))
		return true;
	return account->is_home && account->tasks == 0 &&
	    fits_all(account, size, tasks, 1);
}

/* See the header. */
bool
bp_customer_over_cap(const bp_customer_account_t *account)
{
	const bp_customer_size_t none = {0};
	uint32_t parts = account->is_home ? 1 : account->customers->shards;

	return account->customers->enabled && account->has_cap &&
	    !is_unnamed(account) && !fits_all(account, &none, 0, parts);
}

static double
part_of(uint64_t used, uint64_t capacity)
{
	return capacity > 0 ? (double)used / (double)capacity : 0;
}

/* Returns the part of the capacity that an account uses, of the resource of
 * which it uses the largest part. */
static double
used_share(const bp_customer_account_t *account, bool urgent)
{
	const bp_customer_size_t *capacity = &account->customers->capacity;
	const bp_customer_size_t *used =
	    urgent ? &account->urgent : &account->used;
	double cpu = part_of(used->reserved_milli, capacity->reserved_milli);
	double memory = part_of(used->memory_mib, capacity->memory_mib);
	double accelerators =
	    part_of(used->accelerators, capacity->accelerators);

	return MAX(MAX(cpu, memory), accelerators);
}

static uint32_t
weight_of(const bp_customer_account_t *account)
{
	return is_unnamed(account) ? account->customers->mean_weight
				   : account->weight;
}

/* See the header. */
double
bp_customer_level(const bp_customer_account_t *account, bool urgent)
{
	return used_share(account, urgent) / weight_of(account);
}

/* See the header. */
guint
bp_customers_next(
    bp_customer_account_t *const *accounts, guint n, bool urgent, double *until)
{
	double lowest = INFINITY;
	guint next = 0;
	guint i;

	*until = INFINITY;
	for (i = 0; i < n; i++) {
		double level = bp_customer_level(accounts[i], urgent);

		if (level < lowest) {
			*until = lowest;
			lowest = level;
			next = i;
		} else {
			*until = MIN(*until, level);
		}
	}
	return next;
}

/* Forgets all backlogs, which are then counted anew. */
void
bp_customers_reset_backlogs(bp_customers_t *self)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, self->accounts);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		((bp_customer_account_t *)value)->waiting_jobs = 0;
}

/* Adds a job to the backlog. */
void
bp_customer_add_waiting_job(bp_customer_account_t *account)
{
	account->waiting_jobs++;
}

/* Returns the jobs a second that a customer may send to this shard. */
static double
rate_of(const bp_customer_account_t *account)
{
	return (double)account->weight / account->customers->shards;
}

/* See the header. The count starts full, also after a takeover. */
bool
bp_customer_job_exceeds(bp_customer_account_t *account, int64_t now_ms)
{
	double rate = rate_of(account);
	double burst = MAX(rate * BURST_S, 1);

	if (!account->customers->enabled || is_unnamed(account))
		return false;
	if (account->owed_ms < 0)
		account->owed_jobs = burst;
	else
		account->owed_jobs = MIN(burst,
		    account->owed_jobs +
			rate * (double)(now_ms - account->owed_ms) / MS_PER_S);
	account->owed_ms = now_ms;
	if (account->owed_jobs >= 1) {
		account->owed_jobs -= 1;
		return false;
	}
	return account->waiting_jobs >= MAX(rate * BACKLOG_S, BACKLOG_MIN_JOBS);
}

/*
 * The time is that at which the customer's turn would come if all jobs refused
 * before came again, one after the other at its rate. It grows with the backlog
 * and with each refusal.
 */
uint32_t
bp_customer_refuse(
    bp_customer_account_t *account, int64_t now_ms, bp_random_t *random)
{
	double rate = rate_of(account);
	double passed_s = (double)(now_ms - account->refused_ms) / MS_PER_S;
	double mean_ms;

	account->refused_jobs =
	    MAX(account->refused_jobs - rate * passed_s, 0) + 1;
	account->refused_ms = now_ms;
	mean_ms =
	    (account->waiting_jobs + account->refused_jobs) / rate * MS_PER_S;
	/* Bounded first, so that the longest times differ, too. */
	mean_ms = MIN(mean_ms, RETRY_MAX_MS);
	mean_ms *=
	    RETRY_JITTER_MIN + RETRY_JITTER_RANGE * bp_random_unit(random);
	return (uint32_t)MAX(mean_ms, RETRY_MIN_MS);
}

/* Sums the weights of the accounts that use something or have waiting jobs. */
static double
active_weights(const bp_customers_t *self)
{
	GHashTableIter iter;
	gpointer value;
	double sum = 0;

	g_hash_table_iter_init(&iter, self->accounts);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const bp_customer_account_t *account = value;

		if (account->tasks > 0 || account->waiting_jobs > 0)
			sum += weight_of(account);
	}
	return sum;
}

/* Reports what an account uses and what it is entitled to; the share is that of
 * its urgent tasks, or of all. */
void
bp_customer_figures(const bp_customer_account_t *account, bool urgent,
    bp_customer_figures_t *out)
{
	const bp_customers_t *customers = account->customers;
	double weights = active_weights(customers);

	memset(out, 0, sizeof(*out));
	out->used = account->used;
	out->part.cpu_milli = account->cap.cpu_milli / customers->shards;
	out->part.memory_mib = account->cap.memory_mib / customers->shards;
	out->part.accelerators = account->cap.accelerators / customers->shards;
	out->weight = weight_of(account);
	out->used_share = used_share(account, urgent);
	out->entitled_share = weights > 0 ? out->weight / weights : 1;
}
