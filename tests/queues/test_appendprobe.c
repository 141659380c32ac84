#include "queues/appendprobe.h"
#include "support/queuestore.h"
#include "support/runner.h"

#define START_MS 1000000
#define ANSWER_MS 100
#define NO_ANSWER_MS 2000
#define EXPIRED_MS 2000

typedef struct {
	bp_clock_virtual_t *clock;
	bp_random_t random;
	bp_qstore_t *store;
	bp_qstore_view_t *view;
	bp_append_probe_t *probe;
} fixture_t;

static fixture_t *
fixture_new(void)
{
	fixture_t *fixture = g_new0(fixture_t, 1);

	fixture->clock = bp_clock_virtual_new(START_MS);
	bp_random_init(&fixture->random, 1);
	fixture->store = bp_qstore_new(fixture->clock, &fixture->random, 1);
	fixture->view = bp_qstore_view(fixture->store);
	fixture->probe =
	    bp_append_probe_new(bp_clock_virtual_clock(fixture->clock),
		bp_qstore_interface(fixture->view), "jobs");
	return fixture;
}

static void
fixture_free(fixture_t *fixture)
{
	bp_append_probe_free(fixture->probe);
	bp_qstore_free(fixture->store);
	bp_clock_virtual_free(fixture->clock);
	g_free(fixture);
}

static void
on_claimed(const bp_store_result_t *result, void *data)
{
	CU_ASSERT_EQUAL(result->outcome, BP_STORE_OK);
	*(bool *)data = true;
}

/* Appends one record as the owner of an epoch. */
static bool
append_as_owner(fixture_t *fixture, uint64_t epoch, uint64_t sequence)
{
	GPtrArray *records =
	    g_ptr_array_new_with_free_func(bp_store_record_free);
	bp_store_append_t append = {.topic = "jobs",
	    .writer = "jobs",
	    .epoch = epoch,
	    .sequence = sequence,
	    .records = records};
	bp_store_t *store = bp_qstore_interface(fixture->view);
	bool done = false;

	g_ptr_array_add(records, bp_store_record_new("k", "v", 1));
	store->append(store, &append, on_claimed, &done);
	bp_clock_virtual_run_ms(fixture->clock, ANSWER_MS);
	g_ptr_array_unref(records);
	return done;
}

/* Guards against a probe that fences an owner or takes its sequence number, and
 * one whose answer counts for good. */
static void
test_a_probe_changes_nothing(void)
{
	fixture_t *fixture = fixture_new();

	CU_ASSERT_TRUE(append_as_owner(fixture, 1, 7));
	CU_ASSERT_FALSE(bp_append_probe_answered(fixture->probe));
	bp_append_probe_start(fixture->probe, 0);
	bp_clock_virtual_run_ms(fixture->clock, ANSWER_MS);
	CU_ASSERT_TRUE(bp_append_probe_answered(fixture->probe));
	CU_ASSERT_TRUE(append_as_owner(fixture, 1, 8));
	bp_clock_virtual_run_ms(fixture->clock, EXPIRED_MS);
	CU_ASSERT_FALSE(bp_append_probe_answered(fixture->probe));
	fixture_free(fixture);
}

/* Guards against a probe of a shard that has not had an owner, which must be
 * able to claim it afterwards. */
static void
test_a_new_shard_can_be_claimed(void)
{
	fixture_t *fixture = fixture_new();

	bp_append_probe_start(fixture->probe, 0);
	bp_clock_virtual_run_ms(fixture->clock, ANSWER_MS);
	CU_ASSERT_TRUE(bp_append_probe_answered(fixture->probe));
	CU_ASSERT_TRUE(append_as_owner(fixture, 1, 7));
	fixture_free(fixture);
}

/* Guards against a node that is taken for one that can store because the store
 * refuses its appends, and against more than one probe in flight. */
static void
test_only_answers_count(void)
{
	static const bp_qstore_mode_t modes[] = {
	    BP_QSTORE_BUSY, BP_QSTORE_SILENT, BP_QSTORE_SILENT_APPENDS};
	fixture_t *fixture = fixture_new();
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(modes); i++) {
		uint64_t appends = bp_qstore_appends(fixture->store);

		bp_qstore_set_mode(fixture->view, modes[i]);
		bp_append_probe_start(fixture->probe, 0);
		bp_append_probe_start(fixture->probe, 0);
		CU_ASSERT_EQUAL(bp_qstore_appends(fixture->store), appends + 1);
		bp_clock_virtual_run_ms(fixture->clock, NO_ANSWER_MS);
		CU_ASSERT_FALSE(bp_append_probe_answered(fixture->probe));
	}
	bp_qstore_set_mode(fixture->view, BP_QSTORE_UP);
	bp_append_probe_start(fixture->probe, 0);
	bp_clock_virtual_run_ms(fixture->clock, ANSWER_MS);
	CU_ASSERT_TRUE(bp_append_probe_answered(fixture->probe));
	fixture_free(fixture);
}

int
main(void)
{
	CU_TestInfo tests[] = {
	    {"a probe changes nothing", test_a_probe_changes_nothing},
	    {"a new shard can be claimed", test_a_new_shard_can_be_claimed},
	    {"only answers count", test_only_answers_count},
	    CU_TEST_INFO_NULL,
	};

	return bp_test_main("queues/append-probe", tests);
}
