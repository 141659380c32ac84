#include "support/checker.h"
#include "support/runner.h"

#include <stdarg.h>
#include <string.h>

#define VMS                                                  \
	"[{\"vm\":\"a\",\"zone\":\"z1\",\"cpu_milli\":1000," \
	"\"memory_mib\":100,\"accelerators\":1},"            \
	"{\"vm\":\"b\",\"zone\":\"z2\",\"cpu_milli\":1000,"  \
	"\"memory_mib\":100,\"accelerators\":1}]"

/* One event: time (ms), VM, task, attempt, kind, cause, checkpoint. */
static char *
event(int time_ms, const char *vm, int task, int attempt, const char *kind,
    const char *cause, const char *checkpoint)
{
	return g_strdup_printf(
	    "{\"time_us\":%d000,\"vm\":\"%s\",\"job\":\"j\",\"task\":%d,"
	    "\"attempt\":%d,\"event\":\"%s\",\"cause\":\"%s\","
	    "\"checkpoint\":\"%s\",\"cpu_milli\":600,\"memory_mib\":10}",
	    time_ms, vm, task, attempt, kind, cause, checkpoint);
}

/* Builds a checker from events (char *, freed here), ended by NULL. */
static bp_checker_t *
checker_of(char *first, ...)
{
	bp_checker_t *checker = bp_checker_new();
	GString *json = g_string_new("[");
	char *next = first;
	va_list args;

	va_start(args, first);
	while (next != NULL) {
		if (json->len > 1)
			g_string_append_c(json, ',');
		g_string_append(json, next);
		g_free(next);
		next = va_arg(args, char *);
	}
	va_end(args);
	g_string_append_c(json, ']');
	CU_ASSERT_TRUE_FATAL(bp_checker_add_vms(checker, VMS));
	CU_ASSERT_TRUE_FATAL(bp_checker_add_worker_history(checker, json->str));
	g_string_free(json, TRUE);
	return checker;
}

/* Runs the checker, compares the first violation and frees the checker. */
static void
expect(bp_checker_t *checker, bool complete, const char *part)
{
	guint n = bp_checker_run(checker, complete);

	if (part == NULL) {
		CU_ASSERT_EQUAL(n, 0);
		bp_checker_print(checker);
	} else {
		CU_ASSERT_EQUAL_FATAL(n, 1);
		CU_ASSERT_PTR_NOT_NULL(
		    strstr(g_ptr_array_index(bp_checker_violations(checker), 0),
			part));
	}
	bp_checker_free(checker);
}

/* Guards against false alarms: one eviction with one resumption is right. */
static void
test_correct_history_passes(void)
{
	bp_checker_t *c = checker_of(event(10, "a", 0, 1, "start", "", ""),
	    event(10, "b", 1, 1, "start", "", ""),
	    event(50, "a", 0, 1, "end", "checkpointed", "k"),
	    event(50, "a", 0, 2, "start", "", "k"),
	    event(60, "a", 0, 2, "end", "lease_lapsed", ""),
	    event(70, "b", 0, 9, "refused", "no_capacity", "k"),
	    event(90, "b", 1, 1, "end", "succeeded", ""),
	    event(90, "b", 0, 3, "start", "", "k"),
	    event(95, "b", 0, 3, "end", "succeeded", ""), NULL);

	bp_checker_zone_out(c, "z1", 51 * 1000, INT64_MAX);
	expect(c, true, NULL);
}

/* Guards against a checker that misses a task in two places. */
static void
test_two_places_found(void)
{
	expect(checker_of(event(10, "a", 0, 1, "start", "", ""),
		   event(20, "b", 0, 2, "start", "", ""),
		   event(30, "a", 0, 1, "end", "succeeded", ""), NULL),
	    false, "while attempt 1 ran on a");
	expect(checker_of(event(10, "a", 0, 1, "start", "", ""),
		   event(20, "b", 0, 1, "start", "", ""), NULL),
	    false, "while attempt 1 ran on a");
}

/* Guards against a checker that misses an over-committed VM. */
static void
test_capacity_found(void)
{
	expect(checker_of(event(10, "a", 0, 1, "start", "", ""),
		   event(20, "a", 1, 1, "start", "", ""), NULL),
	    false, "processors over capacity by 200");
}

/* Guards against a checker that misses a start in a zone taken out. */
static void
test_zone_out_found(void)
{
	bp_checker_t *c = checker_of(event(2999, "a", 0, 1, "start", "", ""),
	    event(3000, "a", 0, 1, "end", "succeeded", ""),
	    event(3001, "a", 1, 1, "start", "", ""),
	    event(3002, "a", 1, 1, "end", "succeeded", ""),
	    event(9000, "a", 2, 1, "start", "", ""), NULL);

	bp_checker_zone_out(c, "z1", 0, 9000 * 1000);
	expect(c, false, "3001 ms after zone z1 was taken out");
}

/* Guards against a checker that misses work resumed never or twice. */
static void
test_resumption_found(void)
{
	expect(checker_of(event(10, "a", 0, 1, "start", "", ""),
		   event(20, "a", 0, 1, "end", "checkpointed", "k"), NULL),
	    true, "checkpoint k resumed 0 times");
	expect(checker_of(event(10, "a", 0, 1, "start", "", ""),
		   event(20, "a", 0, 1, "end", "checkpointed", "k"),
		   event(30, "a", 0, 2, "start", "", "k"),
		   event(40, "a", 0, 2, "end", "succeeded", ""),
		   event(50, "b", 0, 3, "start", "", "k"), NULL),
	    true, "checkpoint k resumed 2 times");
	expect(checker_of(event(10, "a", 0, 1, "start", "", ""),
		   event(20, "a", 0, 1, "end", "checkpointed", "k"),
		   event(30, "b", 0, 2, "start", "", ""), NULL),
	    false, "from \"\", not \"k\"");
}

static void
expect_executions(const char *json, const char *part)
{
	bp_checker_t *c = bp_checker_new();

	bp_checker_once(c, "/once/");
	CU_ASSERT_TRUE_FATAL(bp_checker_add_executions(c, json));
	expect(c, true, part);
}

/* Guards against a checker that misses a second or a late execution. */
static void
test_executions_found(void)
{
	expect_executions("[{\"path\":\"/p\",\"key\":\"1-k\"},"
			  "{\"path\":\"/p\",\"key\":\"\"},"
			  "{\"path\":\"/once/1\",\"leaving_us\":4000000}]",
	    NULL);
	expect_executions("[{\"path\":\"/p\",\"key\":\"1-k\"},"
			  "{\"path\":\"/q\",\"key\":\"1-k\"}]",
	    "key 1-k executed again");
	expect_executions("[{\"path\":\"/once/1\"},{\"path\":\"/once/1\"}]",
	    "path /once/1 executed again");
	expect_executions("[{\"path\":\"/p\",\"leaving_us\":6000000}]",
	    "had been leaving for 6000 ms");
}

int
main(void)
{
	CU_TestInfo tests[] = {
	    {"correct history passes", test_correct_history_passes},
	    {"two places found", test_two_places_found},
	    {"capacity found", test_capacity_found},
	    {"zone out found", test_zone_out_found},
	    {"resumption found", test_resumption_found},
	    {"executions found", test_executions_found},
	    CU_TEST_INFO_NULL,
	};

	return bp_test_main("support/checker", tests);
}
