#include "bulrushpost/ownership.h"
#include "support/records.h"
#include "support/runner.h"

#include <string.h>

#define START_MS 1800000000000LL
#define DEATH_MS 3000
#define MS 1000LL

static const char *const racks[] = {
    "z1/r1", "z1/r2", "z2/r1", "z2/r2", "z3/r1", "z3/r2", NULL};

typedef struct {
	bp_records_t records;
	bp_liveness_t *liveness;
	bp_ownership_t *ownership;
	bp_writer_t a;
	bp_writer_t b;
	int64_t now_us;
} fixture_t;

/* Sets up the planner of node a and the log writers of nodes a and b. */
static void
setup(fixture_t *f)
{
	bp_ownership_options_t options;

	memset(f, 0, sizeof(*f));
	f->a.node = "a";
	f->a.incarnation = 1;
	f->b.node = "b";
	f->b.incarnation = 2;
	bp_records_init(&f->records, START_MS);
	f->liveness = bp_liveness_new("a", DEATH_MS);
	(void)bp_ownership_options_init(&options);
	options.node = "a";
	options.incarnation = 1;
	options.liveness = f->liveness;
	f->ownership = bp_ownership_new(&options);
}

static void
teardown(fixture_t *f)
{
	bp_ownership_free(f->ownership);
	bp_liveness_free(f->liveness);
	bp_records_clear(&f->records);
}

/* Advances the time in steps of 500 ms; the given nodes write in each. */
static void
pass(fixture_t *f, int64_t ms, bool write_a, bool write_b, bool current)
{
	int64_t end_us = f->now_us + ms * MS;

	while (f->now_us < end_us) {
		f->now_us += 500 * MS;
		if (write_a)
			(void)bp_records_apply(&f->records, &f->a, NULL);
		if (write_b)
			(void)bp_records_apply(&f->records, &f->b, NULL);
		bp_liveness_update(
		    f->liveness, f->records.state, current, f->now_us);
	}
}

static guint
count_changes(fixture_t *f, bp_ownership_step_kind_t kind, bool draining)
{
	GPtrArray *changes = bp_ownership_plan(
	    f->ownership, f->records.state, racks, draining, f->now_us);
	guint n = 0;
	guint i;

	for (i = 0; i < changes->len; i++) {
		const bp_ownership_step_t *change =
		    g_ptr_array_index(changes, i);

		n += change->kind == kind;
	}
	g_ptr_array_unref(changes);
	return n;
}

static guint
racks_ranked_first(const char *node, const char *other)
{
	guint n = 0;
	guint i;

	for (i = 0; racks[i] != NULL; i++)
		n += bp_ownership_score(racks[i], node) >
		    bp_ownership_score(racks[i], other);
	return n;
}

static void
claim_all(fixture_t *f, bp_writer_t *writer)
{
	guint i;

	for (i = 0; racks[i] != NULL; i++)
		(void)bp_records_claim(&f->records, writer, racks[i], 0, 0);
}

/* Guards against all nodes claiming every unowned rack at the same time. */
static void
test_unowned_racks_are_claimed_by_rank(void)
{
	fixture_t f;

	setup(&f);
	CU_ASSERT_EQUAL(count_changes(&f, BP_OWNERSHIP_CLAIM, false), 0);
	pass(&f, 500, true, true, true);
	CU_ASSERT_EQUAL(count_changes(&f, BP_OWNERSHIP_CLAIM, false),
	    racks_ranked_first("a", "b"));
	pass(&f, 2500, true, true, true);
	CU_ASSERT_EQUAL(count_changes(&f, BP_OWNERSHIP_CLAIM, false), 6);
	teardown(&f);
}

/* Guards against claiming racks of a live node, or never those of a dead. */
static void
test_only_a_dead_owner_is_replaced(void)
{
	fixture_t f;

	setup(&f);
	pass(&f, 500, true, true, true);
	claim_all(&f, &f.b);
	pass(&f, 10000, true, true, true);
	CU_ASSERT_EQUAL(count_changes(&f, BP_OWNERSHIP_CLAIM, false), 0);
	pass(&f, 2500, true, false, true);
	CU_ASSERT_EQUAL(count_changes(&f, BP_OWNERSHIP_CLAIM, false), 0);
	pass(&f, 1000, true, false, true);
	CU_ASSERT_EQUAL(count_changes(&f, BP_OWNERSHIP_CLAIM, false), 6);
	teardown(&f);
}

/* Guards against declaring nodes dead during or right after a log outage. */
static void
test_outage_declares_nobody_dead(void)
{
	fixture_t f;

	setup(&f);
	pass(&f, 500, true, true, true);
	claim_all(&f, &f.b);
	pass(&f, 60000, false, false, false);
	CU_ASSERT_FALSE(bp_liveness_dead(f.liveness, "b", f.now_us));
	pass(&f, 2500, true, false, true);
	CU_ASSERT_FALSE(bp_liveness_dead(f.liveness, "b", f.now_us));
	pass(&f, 1500, true, false, true);
	CU_ASSERT_TRUE(bp_liveness_dead(f.liveness, "b", f.now_us));
	teardown(&f);
}

/* Guards against a node that declares others dead while its own records are
 * not read back. */
static void
test_node_without_own_records_declares_nobody_dead(void)
{
	fixture_t f;

	setup(&f);
	pass(&f, 500, true, true, true);
	pass(&f, 10000, false, false, true);
	CU_ASSERT_FALSE(bp_liveness_dead(f.liveness, "b", f.now_us));
	teardown(&f);
}

/* Guards against a joining node that gets no racks or too many at a time. */
static void
test_handover_to_a_joining_node_is_bounded(void)
{
	fixture_t f;
	guint expected;

	setup(&f);
	pass(&f, 500, true, false, true);
	claim_all(&f, &f.a);
	pass(&f, 500, true, true, true);
	CU_ASSERT_EQUAL(count_changes(&f, BP_OWNERSHIP_RELEASE, false), 0);
	pass(&f, 6000, true, true, true);
	expected = MIN(racks_ranked_first("b", "a"), 2);
	CU_ASSERT_EQUAL(
	    count_changes(&f, BP_OWNERSHIP_RELEASE, false), expected);
	CU_ASSERT_EQUAL(count_changes(&f, BP_OWNERSHIP_RELEASE, true), 6);
	teardown(&f);
}

/* Guards against waiting for a restarted owner, whose process has ended. */
static void
test_new_incarnation_frees_racks(void)
{
	fixture_t f;

	setup(&f);
	pass(&f, 500, true, true, true);
	claim_all(&f, &f.b);
	f.b.incarnation = 3;
	f.b.seq = 0;
	pass(&f, 500, true, true, true);
	CU_ASSERT_EQUAL(count_changes(&f, BP_OWNERSHIP_CLAIM, false),
	    racks_ranked_first("a", "b"));
	teardown(&f);
}

int
main(void)
{
	CU_TestInfo tests[] = {
	    {"free racks", test_unowned_racks_are_claimed_by_rank},
	    {"silent owner", test_only_a_dead_owner_is_replaced},
	    {"outage", test_outage_declares_nobody_dead},
	    {"unheard node",
		test_node_without_own_records_declares_nobody_dead},
	    {"handover", test_handover_to_a_joining_node_is_bounded},
	    {"new incarnation", test_new_incarnation_frees_racks},
	    CU_TEST_INFO_NULL,
	};

	return bp_test_main("ownership", tests);
}
