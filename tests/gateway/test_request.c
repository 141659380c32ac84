#include "bulrushpost/retry.h"
#include "bulrushpost/shed.h"
#include "gateway/keytable.h"
#include "gateway/request.h"
#include "support/runner.h"

#include <stdio.h>
#include <string.h>

#define NOW_MS ((int64_t)1800000000 * 1000)

static int
check_key(int64_t age_s)
{
	char key[64];
	int64_t issued_s;

	snprintf(
	    key, sizeof(key), "%lld-abc", (long long)(NOW_MS / 1000 - age_s));
	return bp_request_check_key(&issued_s, key, NOW_MS, NULL);
}

/* Guards against a key dated too far in the past or in the future. */
static void
test_age_of_keys(void)
{
	const char *bad[] = {"", "-", "abc", "12", "12-", "-12-a", "12-a b",
	    "12-\x80", "1800000000000000000-a", " 1800000000-a"};
	int64_t issued_s;
	size_t i;

	CU_ASSERT_EQUAL(check_key(0), BP_OK);
	CU_ASSERT_EQUAL(check_key(600), BP_OK);
	CU_ASSERT_EQUAL(check_key(601), BP_EEXPIRED);
	CU_ASSERT_EQUAL(check_key(-120), BP_OK);
	CU_ASSERT_EQUAL(check_key(-121), BP_EINVALID);
	for (i = 0; i < G_N_ELEMENTS(bad); i++)
		CU_ASSERT_EQUAL(
		    bp_request_check_key(&issued_s, bad[i], NOW_MS, NULL),
		    BP_EINVALID);
}

typedef struct {
	const char *method;
	const char *path;
	const char *klass;
	const char *deadline_ms;
	const char *idempotent;
	int rc;
	bp_task_class_t expected_class;
	bool expected_idempotent;
	int64_t expected_remaining_ms;
} header_case_t;

/* Guards against treating a request as idempotent that is not declared so. */
static void
test_headers_are_read(void)
{
	static const header_case_t cases[] = {
	    {"GET", "/s/x/y", NULL, NULL, NULL, BP_OK, BP_CLASS_SERVICE, true,
		30000},
	    {"PUT", "/s", NULL, NULL, NULL, BP_OK, BP_CLASS_SERVICE, false,
		30000},
	    {"POST", "/s", "batch", "250", "yes", BP_OK, BP_CLASS_BATCH, true,
		250},
	    {"GET", "/s", "urgent", NULL, "no", BP_OK, BP_CLASS_URGENT, false,
		30000},
	    {"GET", "/", NULL, NULL, NULL, BP_EINVALID, 0, false, 0},
	    {"GET", "/%00", NULL, NULL, NULL, BP_EINVALID, 0, false, 0},
	    {"TRACE", "/s", NULL, NULL, NULL, BP_EINVALID, 0, false, 0},
	    {"GET", "/s", "best", NULL, NULL, BP_EINVALID, 0, false, 0},
	    {"GET", "/s", NULL, "-1", NULL, BP_EINVALID, 0, false, 0},
	    {"GET", "/s", NULL, "0", NULL, BP_EDEADLINE, 0, false, 0},
	    {"GET", "/s", NULL, NULL, "maybe", BP_EINVALID, 0, false, 0},
	};
	bp_arena_t *arena = bp_arena_new();
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(cases); i++) {
		const header_case_t *c = &cases[i];
		bp_request_source_t source = {c->method, c->path, c->klass,
		    c->deadline_ms, c->idempotent, NULL};
		bp_request_t r;

		memset(&r, 0, sizeof(r));
		CU_ASSERT_EQUAL(
		    bp_request_parse(&r, arena, &source, 30000, 5000, NULL),
		    c->rc);
		if (c->rc != BP_OK)
			continue;
		CU_ASSERT_STRING_EQUAL(r.service, "s");
		CU_ASSERT_EQUAL(r.klass, c->expected_class);
		CU_ASSERT_EQUAL(r.idempotent, c->expected_idempotent);
		CU_ASSERT_EQUAL(
		    bp_request_left_ms(&r, 5000), c->expected_remaining_ms);
	}
	bp_arena_free(arena);
}

/* Guards against unsafe retries, and retries that amplify an overload. */
static void
test_retries_are_safe_and_few(void)
{
	bp_retry_attempt_t attempt = {.attempts = 1, .left_ms = 100};
	bp_retry_t retry;
	int granted = 0;
	int i;

	bp_retry_init(&retry);
	attempt.written = true;
	CU_ASSERT_EQUAL(bp_retry_decide(&retry, &attempt), BP_RETRY_UNSAFE);
	attempt.written = false;
	CU_ASSERT_EQUAL(bp_retry_decide(&retry, &attempt), BP_RETRY_YES);
	attempt.written = true;
	attempt.idempotent = true;
	attempt.attempts = 3;
	CU_ASSERT_EQUAL(bp_retry_decide(&retry, &attempt), BP_RETRY_EXHAUSTED);
	attempt.attempts = 1;
	for (i = 0; i < 10000; i++) {
		bp_retry_add_request(&retry);
		granted += bp_retry_decide(&retry, &attempt) == BP_RETRY_YES;
	}
	CU_ASSERT_TRUE(granted <= 1010 && granted >= 990);
	bp_retry_set_budget(&retry, 50);
	for (granted = 0, i = 0; i < 1000; i++) {
		bp_retry_add_request(&retry);
		granted += bp_retry_decide(&retry, &attempt) == BP_RETRY_YES;
	}
	CU_ASSERT_TRUE(granted <= 510 && granted >= 490);
	bp_retry_set_budget(&retry, 0);
	bp_retry_add_request(&retry);
	CU_ASSERT_EQUAL(bp_retry_decide(&retry, &attempt), BP_RETRY_NO_BUDGET);
	attempt.left_ms = 0;
	CU_ASSERT_EQUAL(bp_retry_decide(&retry, &attempt), BP_RETRY_EXHAUSTED);
}

/* Guards against shedding a higher class while a lower one is served. */
static void
test_lower_classes_are_shed_first(void)
{
	char reason[BP_SHED_REASON_BYTES] = "";
	bp_shed_load_t load = {.limit = 100, .latency_us = 50000};
	uint32_t n;

	load.in_flight = 85;
	CU_ASSERT_EQUAL(bp_shed_decide(&load, 0, 9000, reason), BP_SHED_SEND);
	CU_ASSERT_EQUAL(bp_shed_decide(&load, 1, 9000, reason), BP_SHED_SEND);
	CU_ASSERT_EQUAL(bp_shed_decide(&load, 2, 9000, reason), BP_SHED_QUEUE);
	load.in_flight = 100;
	CU_ASSERT_EQUAL(bp_shed_decide(&load, 0, 9000, reason), BP_SHED_QUEUE);
	for (n = 0; n < 6000; n += 50) {
		load.queued[1] = n;
		CU_ASSERT_TRUE(bp_shed_decide(&load, 1, 9000, reason) <=
		    bp_shed_decide(&load, 2, 9000, reason));
		CU_ASSERT_EQUAL(
		    bp_shed_decide(&load, 0, 9000, reason), BP_SHED_QUEUE);
	}
	CU_ASSERT_EQUAL(bp_shed_decide(&load, 1, 9000, reason), BP_SHED_REFUSE);
	CU_ASSERT_PTR_NOT_NULL(strstr(reason, "100 of 100 places"));
	/* A request that would miss its deadline in the queue is refused. */
	load.queued[1] = 0;
	load.queued[0] = 30;
	CU_ASSERT_EQUAL(bp_shed_decide(&load, 0, 10, reason), BP_SHED_REFUSE);
	CU_ASSERT_EQUAL(bp_shed_decide(&load, 0, 100, reason), BP_SHED_QUEUE);
}

/* Guards against an outcome that is removed early or never. */
static void
test_outcomes_of_keys_are_kept(void)
{
	bp_keytable_t *table = bp_keytable_new();
	const bp_key_entry_t *entry;
	char key[16];
	int i;

	bp_keytable_begin(table, "s", "1-a", 0);
	CU_ASSERT_TRUE(bp_keytable_find(table, "s", "1-a", 1)->in_flight);
	bp_keytable_end(table, "s", "1-a", BP_OUTCOME_RAN, 201);
	entry = bp_keytable_find(table, "s", "1-a", 15 * 60 * 1000 - 1);
	CU_ASSERT_TRUE(entry != NULL && !entry->in_flight &&
	    entry->outcome == BP_OUTCOME_RAN && entry->http_status == 201);
	CU_ASSERT_PTR_NULL(bp_keytable_find(table, "t", "1-a", 1));
	CU_ASSERT_PTR_NULL(bp_keytable_find(table, "s", "1-a", 15 * 60 * 1000));
	for (i = 0; i < 50001; i++) {
		snprintf(key, sizeof(key), "%d-a", i);
		bp_keytable_begin(table, "s", key, 0);
	}
	CU_ASSERT_PTR_NULL(bp_keytable_find(table, "s", "0-a", 1));
	CU_ASSERT_PTR_NOT_NULL(bp_keytable_find(table, "s", "1-a", 1));
	bp_keytable_drop(table, "s", "1-a");
	CU_ASSERT_PTR_NULL(bp_keytable_find(table, "s", "1-a", 1));
	bp_keytable_unref(table);
}

int
main(void)
{
	CU_TestInfo tests[] = {
	    {"keys", test_age_of_keys},
	    {"headers", test_headers_are_read},
	    {"retries", test_retries_are_safe_and_few},
	    {"shedding", test_lower_classes_are_shed_first},
	    {"key outcomes", test_outcomes_of_keys_are_kept},
	    CU_TEST_INFO_NULL,
	};

	return bp_test_main("gateway-request", tests);
}
