#ifndef BP_QUEUES_CUSTOMERS_H
#define BP_QUEUES_CUSTOMERS_H

#include "bulrushpost/catalog.h"
#include "bulrushpost/hash.h"

#include <glib.h>
#include <stdbool.h>

/*
 * Accounts of the customers whose jobs a shard holds: what their tasks use or
 * may use, whether another task may start, who goes next, and whose new jobs
 * are refused. Decisions and their reasons: docs/decisions/customer-shares.md.
 */
typedef struct bp_customers bp_customers_t;
typedef struct bp_customer_account bp_customer_account_t;

/* Resources that a task requests, or the sums of many tasks. */
typedef struct {
	uint64_t cpu_milli; /* counts against the cap */
	uint64_t reserved_milli; /* counts against the share; fillers: 0 */
	uint64_t memory_mib;
	uint64_t accelerators;
	bool urgent; /* of one task: its job has the first priority */
} bp_customer_size_t;

/* Figures of an account for operators. */
typedef struct {
	bp_customer_size_t used;
	bp_customer_size_t part; /* of the cap, for this shard; 0: no limit */
	uint32_t weight;
	double used_share; /* of the capacity, by the scarcest resource */
	double entitled_share; /* among the customers with work */
} bp_customer_figures_t;

bp_customers_t *bp_customers_new(uint32_t shard, uint32_t shards);
void bp_customers_free(bp_customers_t *self);
/* Copies caps and weights; NULL for a configuration that is not known yet. */
void bp_customers_set_catalog(
    bp_customers_t *self, const bp_catalog_t *catalog);
/* Sets the capacity of the executors, of which shares are parts. */
void bp_customers_set_capacity(
    bp_customers_t *self, const bp_customer_size_t *capacity);
/* Returns whether the configuration in force has customers. */
bool bp_customers_enabled(const bp_customers_t *self);
/* Returns whether any start may be limited: the configuration has customers, or
 * is not known. */
bool bp_customers_limit_starts(const bp_customers_t *self);
/* Returns the account of a name, which lives as long as self. "" is the account
 * of the jobs without a customer. */
bp_customer_account_t *bp_customers_account(
    bp_customers_t *self, const char *name);

/* Returns the number of accounts, whose indexes are below it. */
guint bp_customers_count(const bp_customers_t *self);
guint bp_customer_index(const bp_customer_account_t *account);
const char *bp_customer_name(const bp_customer_account_t *account);
/* Adds, or removes, a task that runs or may run. */
void bp_customer_add(
    bp_customer_account_t *account, const bp_customer_size_t *size);
void bp_customer_remove(
    bp_customer_account_t *account, const bp_customer_size_t *size);
/* Returns whether the cap admits so many more tasks of the size. */
bool bp_customer_may_start(const bp_customer_account_t *account,
    const bp_customer_size_t *size, uint32_t tasks);
/* Returns whether more is in use than the cap in force admits. */
bool bp_customer_over_cap(const bp_customer_account_t *account);

/* Returns the use of an account divided by its weight; the lowest goes next.
 * Among urgent work only the use by urgent tasks counts. */
double bp_customer_level(const bp_customer_account_t *account, bool urgent);
/*
 * Returns the index of the account that goes next, the first of equals. *until
 * is the level up to which it goes on: that of the account after it.
 */
guint bp_customers_next(bp_customer_account_t *const *accounts, guint n,
    bool urgent, double *until);

/* Sets the number of jobs that wait for their first start. */
void bp_customers_reset_backlogs(bp_customers_t *self);
void bp_customer_add_waiting_job(bp_customer_account_t *account);
/*
 * Counts a new job against the rate of its customer. Returns whether the job
 * may be refused if there is no room for it: it comes beyond the rate, and the
 * customer has a long backlog.
 */
bool bp_customer_job_exceeds(bp_customer_account_t *account, int64_t now_ms);
/* Records a refusal; returns after how many ms to try again. */
uint32_t bp_customer_refuse(
    bp_customer_account_t *account, int64_t now_ms, bp_random_t *random);

void bp_customer_figures(const bp_customer_account_t *account, bool urgent,
    bp_customer_figures_t *out);

#endif
