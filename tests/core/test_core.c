#include "bulrushpost/arena.h"
#include "bulrushpost/clock.h"
#include "bulrushpost/error.h"
#include "bulrushpost/hash.h"
#include "bulrushpost/registry.h"
#include "support/runner.h"

#include <string.h>

/* Guards against an error kind without a table row of its own. */
static void
test_error_table_covers_every_kind(void)
{
	int kind;

	for (kind = BP_OK; kind >= BP_EUNKNOWN; kind--)
		CU_ASSERT_EQUAL((int)bp_error_info(kind)->kind, kind);
	CU_ASSERT_EQUAL((int)bp_error_info(-99)->kind, BP_EINTERNAL);
}

/* Guards against "not run" being claimed for kinds without a proof. */
static void
test_unknown_outcomes_are_never_not_run(void)
{
	CU_ASSERT_EQUAL(
	    bp_error_info(BP_EDEADLINE)->outcome, BP_OUTCOME_NOT_KNOWN);
	CU_ASSERT_EQUAL(
	    bp_error_info(BP_ETRUNCATED)->outcome, BP_OUTCOME_NOT_KNOWN);
	CU_ASSERT_EQUAL(
	    bp_error_info(BP_EUNREACHABLE)->outcome, BP_OUTCOME_NOT_KNOWN);
}

/* Guards against overlapping or misaligned allocations. */
static void
test_arena_allocations_are_separate(void)
{
	bp_arena_t *arena = bp_arena_new();
	char *a = bp_arena_strdup(arena, "first");
	char *big = bp_arena_alloc(arena, 10000);
	char *b = bp_arena_printf(arena, "%s-%d", "second", 2);

	memset(big, 'x', 10000);
	CU_ASSERT_STRING_EQUAL(a, "first");
	CU_ASSERT_STRING_EQUAL(b, "second-2");
	CU_ASSERT_EQUAL((uintptr_t)big % 16, 0);
	bp_arena_free(arena);
}

/* Guards against a wall clock step that changes the monotonic time. */
static void
test_virtual_clock_steps_wall_only(void)
{
	bp_clock_virtual_t *virt = bp_clock_virtual_new(5000);
	const bp_clock_t *clock = bp_clock_virtual_clock(virt);

	bp_clock_virtual_step_wall_ms(virt, -3000);
	bp_clock_virtual_advance_us(virt, 1500000);
	CU_ASSERT_EQUAL(bp_clock_mono_ms(clock), 6500);
	CU_ASSERT_EQUAL(bp_clock_wall_ms(clock), 3500);
	bp_clock_virtual_free(virt);
}

/* Guards against two services under one name. */
static void
test_registry_refuses_a_taken_name(void)
{
	bp_registry_t *registry = bp_registry_new();
	int service = 1;
	bp_error_t err;

	CU_ASSERT_EQUAL(
	    bp_registry_add(registry, "scheduler", &service, &err), BP_OK);
	CU_ASSERT_EQUAL(bp_registry_add(registry, "scheduler", &service, &err),
	    BP_ECONFLICT);
	CU_ASSERT_PTR_EQUAL(bp_registry_find(registry, "scheduler"), &service);
	CU_ASSERT_PTR_NULL(bp_registry_find(registry, "gateway"));
	bp_registry_free(registry);
}

/* Guards against a changed hash, which would change all ownership. */
static void
test_hashes_are_stable(void)
{
	CU_ASSERT_EQUAL(bp_hash_crc32("123456789", 9), 0xcbf43926U);
	CU_ASSERT_NOT_EQUAL(bp_hash_text("a", 1), bp_hash_text("a", 2));
	CU_ASSERT_EQUAL(bp_hash_text("rack-1", 7), bp_hash_text("rack-1", 7));
}

int
main(void)
{
	CU_TestInfo tests[] = {
	    {"error table", test_error_table_covers_every_kind},
	    {"unknown outcomes", test_unknown_outcomes_are_never_not_run},
	    {"arena", test_arena_allocations_are_separate},
	    {"virtual clock", test_virtual_clock_steps_wall_only},
	    {"registry", test_registry_refuses_a_taken_name},
	    {"hashes", test_hashes_are_stable},
	    CU_TEST_INFO_NULL,
	};

	return bp_test_main("core", tests);
}
