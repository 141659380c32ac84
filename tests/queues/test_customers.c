#include "queues/customers.h"
#include "support/runner.h"

#include <stdio.h>

#define SEED 20261206
#define SHARDS 4

static const bp_customer_size_t one_core = {
    .cpu_milli = 1000, .reserved_milli = 1000, .memory_mib = 100};

static bp_catalog_t *
new_catalog(void)
{
	bp_catalog_t *catalog = bp_catalog_new();

	catalog->version = 1;
	return catalog;
}

static bp_customer_t *
add_customer(bp_catalog_t *catalog, const char *name, uint32_t weight)
{
	bp_customer_t *customer = bp_customer_new();

	customer->name = g_strdup(name);
	customer->weight = weight;
	g_ptr_array_add(catalog->customers, customer);
	return customer;
}

/* Starts tasks of one core until the cap admits no more. */
static uint32_t
start_all(bp_customer_account_t *account)
{
	uint32_t started = 0;

	while (started < 100 && bp_customer_may_start(account, &one_core, 1)) {
		bp_customer_add(account, &one_core);
		started++;
	}
	return started;
}

/* Guards against a resource that the cap does not limit, and against a 0 that
 * is taken for a limit. */
static void
test_each_resource_is_capped(void)
{
	bp_catalog_t *catalog = new_catalog();
	bp_customers_t *customers = bp_customers_new(0, 1);
	bp_customer_size_t size = one_core;
	bp_customer_account_t *account;

	add_customer(catalog, "cpu", 1)->cap_cpu_milli = 3999;
	add_customer(catalog, "memory", 1)->cap_memory_mib = 500;
	add_customer(catalog, "gpu", 1)->cap_accelerators = 2;
	(void)add_customer(catalog, "free", 1);
	bp_customers_set_catalog(customers, catalog);
	CU_ASSERT_EQUAL(start_all(bp_customers_account(customers, "cpu")), 3);
	CU_ASSERT_EQUAL(
	    start_all(bp_customers_account(customers, "memory")), 5);
	CU_ASSERT_EQUAL(
	    start_all(bp_customers_account(customers, "free")), 100);
	account = bp_customers_account(customers, "gpu");
	size.accelerators = 1;
	CU_ASSERT_TRUE(bp_customer_may_start(account, &size, 2));
	CU_ASSERT_FALSE(bp_customer_may_start(account, &size, 3));
	CU_ASSERT_TRUE(bp_customer_may_start(account, &one_core, 50));
	bp_customers_free(customers);
	bp_catalog_free(catalog);
}

/* Guards against sums that wrap around, which would admit any gang. */
static void
test_large_requests_do_not_wrap(void)
{
	bp_catalog_t *catalog = new_catalog();
	bp_customers_t *customers = bp_customers_new(0, 1);
	bp_customer_size_t size = {.cpu_milli = UINT32_MAX};

	add_customer(catalog, "a", 1)->cap_cpu_milli = 1000;
	bp_customers_set_catalog(customers, catalog);
	CU_ASSERT_FALSE(bp_customer_may_start(
	    bp_customers_account(customers, "a"), &size, UINT32_MAX));
	bp_customers_free(customers);
	bp_catalog_free(catalog);
}

/* Starts what each shard's part of a cap admits; returns the sum. */
static uint32_t
start_on_all_shards(const bp_catalog_t *catalog, uint32_t most_on_one)
{
	uint32_t sum = 0;
	uint32_t i;

	for (i = 0; i < SHARDS; i++) {
		bp_customers_t *customers = bp_customers_new(i, SHARDS);
		uint32_t started;

		bp_customers_set_catalog(customers, catalog);
		started = start_all(bp_customers_account(customers, "a"));
		CU_ASSERT_TRUE(started <= most_on_one);
		sum += started;
		bp_customers_free(customers);
	}
	return sum;
}

/*
 * Guards against owners that together start more than the cap, and against a
 * cap of which no owner's part is large enough for any task.
 */
static void
test_parts_of_a_cap(void)
{
	bp_catalog_t *catalog = new_catalog();
	bp_customer_t *customer = add_customer(catalog, "a", 1);

	customer->cap_cpu_milli = 11000;
	CU_ASSERT_EQUAL(start_on_all_shards(catalog, 2), 2 * SHARDS);
	customer->cap_cpu_milli = 3000;
	CU_ASSERT_EQUAL(start_on_all_shards(catalog, 1), 1);
	customer->cap_cpu_milli = 999;
	CU_ASSERT_EQUAL(start_on_all_shards(catalog, 0), 0);
	bp_catalog_free(catalog);
}

/* Guards against starts before the caps are known, and against limits where no
 * customer is configured or none sent the job. */
static void
test_what_the_configuration_says(void)
{
	bp_catalog_t *none = new_catalog();
	bp_catalog_t *some = new_catalog();
	bp_customers_t *customers = bp_customers_new(0, 1);
	bp_customer_account_t *named = bp_customers_account(customers, "a");
	bp_customer_account_t *unnamed = bp_customers_account(customers, "");

	CU_ASSERT_FALSE(bp_customer_may_start(named, &one_core, 1));
	CU_ASSERT_TRUE(bp_customer_may_start(unnamed, &one_core, 1));
	bp_customers_set_catalog(customers, none);
	CU_ASSERT_FALSE(bp_customers_enabled(customers));
	CU_ASSERT_TRUE(bp_customer_may_start(named, &one_core, 100));
	add_customer(some, "b", 1)->cap_cpu_milli = 1000;
	bp_customers_set_catalog(customers, some);
	CU_ASSERT_TRUE(bp_customers_enabled(customers));
	CU_ASSERT_TRUE(bp_customer_may_start(unnamed, &one_core, 100));
	bp_customers_free(customers);
	bp_catalog_free(none);
	bp_catalog_free(some);
}

/* A customer that is not configured any more keeps its last cap; one that this
 * owner never saw configured runs one task at a time. */
static void
test_customers_that_are_not_configured(void)
{
	bp_catalog_t *catalog = new_catalog();
	bp_catalog_t *later = new_catalog();
	bp_customers_t *customers = bp_customers_new(0, 1);

	add_customer(catalog, "a", 1)->cap_cpu_milli = 3000;
	(void)add_customer(later, "b", 1);
	bp_customers_set_catalog(customers, catalog);
	bp_customers_set_catalog(customers, later);
	CU_ASSERT_EQUAL(start_all(bp_customers_account(customers, "a")), 3);
	CU_ASSERT_EQUAL(start_all(bp_customers_account(customers, "c")), 1);
	bp_customers_free(customers);
	bp_catalog_free(catalog);
	bp_catalog_free(later);
}

/* Guards against plans that start although their cap was lowered meanwhile. */
static void
test_a_lowered_cap_is_noticed(void)
{
	bp_catalog_t *catalog = new_catalog();
	bp_customers_t *customers = bp_customers_new(0, 1);
	bp_customer_account_t *account = bp_customers_account(customers, "a");
	bp_customer_t *customer = add_customer(catalog, "a", 1);

	customer->cap_cpu_milli = 3000;
	bp_customers_set_catalog(customers, catalog);
	(void)start_all(account);
	CU_ASSERT_FALSE(bp_customer_over_cap(account));
	customer->cap_cpu_milli = 2000;
	bp_customers_set_catalog(customers, catalog);
	CU_ASSERT_TRUE(bp_customer_over_cap(account));
	bp_customer_remove(account, &one_core);
	CU_ASSERT_FALSE(bp_customer_over_cap(account));
	CU_ASSERT_FALSE(bp_customer_may_start(account, &one_core, 1));
	bp_customers_free(customers);
	bp_catalog_free(catalog);
}

/* Guards against shares that do not follow the weights. */
static void
test_turns_follow_the_weights(void)
{
	const bp_customer_size_t capacity = {
	    .reserved_milli = 400000, .memory_mib = 1000000};
	bp_catalog_t *catalog = new_catalog();
	bp_customers_t *customers = bp_customers_new(0, 1);
	bp_customer_account_t *accounts[2];
	uint32_t started[2] = {0, 0};
	double until;
	uint32_t i;

	(void)add_customer(catalog, "a", 1);
	(void)add_customer(catalog, "b", 3);
	bp_customers_set_catalog(customers, catalog);
	bp_customers_set_capacity(customers, &capacity);
	accounts[0] = bp_customers_account(customers, "a");
	accounts[1] = bp_customers_account(customers, "b");
	for (i = 0; i < 400; i++) {
		guint next = bp_customers_next(accounts, 2, false, &until);

		bp_customer_add(accounts[next], &one_core);
		started[next]++;
	}
	CU_ASSERT_EQUAL(started[0], 100);
	CU_ASSERT_EQUAL(started[1], 300);
	CU_ASSERT_EQUAL(bp_customers_next(accounts, 1, false, &until), 0);
	CU_ASSERT_TRUE(until > 1e300);
	bp_customers_free(customers);
	bp_catalog_free(catalog);
}

/* The resource of which a customer uses the largest part decides: guards
 * against one that takes all memory with few processors. */
static void
test_the_scarcest_resource_decides(void)
{
	const bp_customer_size_t capacity = {
	    .reserved_milli = 100000, .memory_mib = 100000, .accelerators = 4};
	const bp_customer_size_t large = {
	    .cpu_milli = 1000, .reserved_milli = 1000, .memory_mib = 50000};
	const bp_customer_size_t gpu = {.accelerators = 3};
	const bp_customer_size_t filler = {.cpu_milli = 90000};
	bp_customers_t *customers = bp_customers_new(0, 1);
	bp_customer_account_t *memory = bp_customers_account(customers, "m");
	bp_customer_account_t *accelerators =
	    bp_customers_account(customers, "g");
	bp_customer_account_t *fills = bp_customers_account(customers, "f");

	bp_customers_set_capacity(customers, &capacity);
	bp_customer_add(memory, &large);
	bp_customer_add(accelerators, &gpu);
	bp_customer_add(fills, &filler);
	CU_ASSERT_DOUBLE_EQUAL(bp_customer_level(memory, false), 0.5, 1e-9);
	CU_ASSERT_DOUBLE_EQUAL(
	    bp_customer_level(accelerators, false), 0.75, 1e-9);
	CU_ASSERT_DOUBLE_EQUAL(bp_customer_level(fills, false), 0, 1e-9);
	bp_customers_free(customers);
}

/* Guards against urgent work that goes last because of its customer's batch
 * work, and against batch work that ignores the urgent use. */
static void
test_batch_use_counts_among_batch_only(void)
{
	const bp_customer_size_t capacity = {.reserved_milli = 10000};
	bp_customer_size_t urgent = one_core;
	bp_customers_t *customers = bp_customers_new(0, 1);
	bp_customer_account_t *account = bp_customers_account(customers, "a");

	urgent.urgent = true;
	bp_customers_set_capacity(customers, &capacity);
	bp_customer_add(account, &one_core);
	bp_customer_add(account, &one_core);
	bp_customer_add(account, &urgent);
	CU_ASSERT_DOUBLE_EQUAL(bp_customer_level(account, true), 0.1, 1e-9);
	CU_ASSERT_DOUBLE_EQUAL(bp_customer_level(account, false), 0.3, 1e-9);
	bp_customer_remove(account, &one_core);
	bp_customer_remove(account, &urgent);
	CU_ASSERT_DOUBLE_EQUAL(bp_customer_level(account, true), 0, 1e-9);
	CU_ASSERT_DOUBLE_EQUAL(bp_customer_level(account, false), 0.1, 1e-9);
	bp_customers_free(customers);
}

/* Sends jobs at a rate for 10 s; returns how many exceed. */
static uint32_t
send_jobs(bp_customer_account_t *account, uint32_t jobs_a_second)
{
	uint32_t exceeding = 0;
	uint32_t i;

	for (i = 0; i < jobs_a_second * 10; i++) {
		if (bp_customer_job_exceeds(account, i * 1000 / jobs_a_second))
			exceeding++;
		else
			bp_customer_add_waiting_job(account);
	}
	return exceeding;
}

/*
 * Guards against refusals of a customer that keeps to its rate, whatever waits,
 * and against a customer far above it that is never refused.
 */
static void
test_only_jobs_beyond_the_rate_exceed(void)
{
	bp_catalog_t *catalog = new_catalog();
	bp_customers_t *customers = bp_customers_new(0, 1);
	bp_customer_account_t *within = bp_customers_account(customers, "in");
	bp_customer_account_t *beyond = bp_customers_account(customers, "out");
	uint32_t exceeding;

	(void)add_customer(catalog, "in", 10);
	(void)add_customer(catalog, "out", 10);
	bp_customers_set_catalog(customers, catalog);
	CU_ASSERT_EQUAL(send_jobs(within, 10), 0);
	exceeding = send_jobs(beyond, 50);
	/* Of 500: 120 are owed, and some more until the backlog is long. */
	CU_ASSERT_TRUE(exceeding >= 340);
	CU_ASSERT_TRUE(exceeding <= 380);
	CU_ASSERT_EQUAL(send_jobs(bp_customers_account(customers, ""), 500), 0);
	bp_customers_free(customers);
	bp_catalog_free(catalog);
}

/* Guards against refused callers that all come again at once or too soon. */
static void
test_retry_times_grow_and_differ(void)
{
	bp_customers_t *customers = bp_customers_new(0, 1);
	bp_customer_account_t *account = bp_customers_account(customers, "a");
	bp_random_t random;
	uint32_t first;
	uint32_t last = 0;
	uint32_t equal = 0;
	uint32_t i;

	bp_random_init(&random, SEED);
	first = bp_customer_refuse(account, 1000, &random);
	CU_ASSERT_TRUE(first >= 1000);
	CU_ASSERT_TRUE(first <= 2000);
	for (i = 0; i < 30; i++) {
		uint32_t next = bp_customer_refuse(account, 1000, &random);

		equal += next == last;
		last = next;
	}
	CU_ASSERT_TRUE(last >= 20000);
	CU_ASSERT_TRUE(last <= 75000);
	CU_ASSERT_EQUAL(equal, 0);
	/* Once the refused callers have had time to come again. */
	CU_ASSERT_TRUE(bp_customer_refuse(account, 100000, &random) <= 2000);
	bp_customers_free(customers);
}

int
main(void)
{
	CU_TestInfo tests[] = {
	    {"each resource is capped", test_each_resource_is_capped},
	    {"large requests do not wrap", test_large_requests_do_not_wrap},
	    {"parts of a cap", test_parts_of_a_cap},
	    {"what the configuration says", test_what_the_configuration_says},
	    {"customers that are not configured",
		test_customers_that_are_not_configured},
	    {"a lowered cap is noticed", test_a_lowered_cap_is_noticed},
	    {"turns follow the weights", test_turns_follow_the_weights},
	    {"the scarcest resource decides",
		test_the_scarcest_resource_decides},
	    {"batch use counts among batch only",
		test_batch_use_counts_among_batch_only},
	    {"only jobs beyond the rate exceed",
		test_only_jobs_beyond_the_rate_exceed},
	    {"retry times grow and differ", test_retry_times_grow_and_differ},
	    CU_TEST_INFO_NULL,
	};

	return bp_test_main("queues/customers", tests);
}
