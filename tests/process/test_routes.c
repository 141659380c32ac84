#include "proto/work.pb-c.h"
#include "support/queuenodes.h"
#include "support/runner.h"

#include <signal.h>

/* In the stand-in, tasks last whose ID begins with f. */
#define JOB_ID "f0000000000000a1"
#define JOB "/q/" JOB_ID
#define OTHER_JOB "/other/f0000000000000b1"
/* Runs of BP_JOB_LASTING. */
#define LASTING_RUNS 2
/* Time in which a task that is not cancelled starts again. */
#define STOPPED_MS 1000

static void
count_run(const char *task, void *data)
{
	uint32_t *runs = data;

	*runs += g_str_has_prefix(task, JOB_ID);
}

static uint32_t
count_runs(const bp_queuenodes_t *fixture)
{
	uint32_t runs = 0;

	bp_qfleet_each_running(
	    bp_queuehttp_fleet(fixture->platform), count_run, &runs);
	return runs;
}

static bool
has_all_runs(void *data)
{
	return count_runs(data) == LASTING_RUNS;
}

static bool
has_no_runs(void *data)
{
	return count_runs(data) == 0;
}

/* Returns the status of a single call; 0 for no answer. */
static uint32_t
call_once(bp_queuenodes_t *fixture, uint32_t node, const char *method,
    const char *path, const char *body)
{
	bp_queuenodes_ask_t ask = {
	    fixture, node, method, path, body, 200, NULL, 0};

	(void)bp_queuenodes_asked(&ask);
	return ask.seen;
}

/* Starts the nodes and a job whose tasks last. */
static void
setup_with_job(bp_queuenodes_t *fixture, const char *name)
{
	bp_queuenodes_setup(fixture, name);
	CU_ASSERT_TRUE(bp_queuenodes_expect(
	    fixture, 0, "POST", JOB, BP_JOB_LASTING, 200, NULL));
	CU_ASSERT_TRUE(bp_wait_until(has_all_runs, fixture));
}

/* Puts a configuration and waits until all nodes serve a path of it. */
static void
configure(bp_queuenodes_t *fixture, uint64_t version,
    const bp_queuehttp_route_t *routes, uint32_t n, const char *path)
{
	uint32_t i;

	bp_queuehttp_configure_routes(fixture->platform, version, routes, n);
	for (i = 0; i < BP_QUEUENODES; i++)
		CU_ASSERT_TRUE(bp_queuenodes_expect(
		    fixture, i, "GET", path, NULL, 200, NULL));
}

static void
check_runs_end(bp_queuenodes_t *fixture)
{
	CU_ASSERT_TRUE(bp_wait_until(has_no_runs, fixture));
	bp_run_for_ms(STOPPED_MS);
	CU_ASSERT_EQUAL(count_runs(fixture), 0);
}

/* Every node knows the job by its path, and its cancel ends its runs. */
static void
check_job_is_served(bp_queuenodes_t *fixture)
{
	uint32_t i;

	for (i = 0; i < BP_QUEUENODES; i++)
		CU_ASSERT_EQUAL(call_once(fixture, i, "GET", JOB, NULL), 200);
	CU_ASSERT_EQUAL(
	    call_once(fixture, 1, "POST", JOB, BP_JOB_LASTING), 200);
	CU_ASSERT_EQUAL(count_runs(fixture), LASTING_RUNS);
	CU_ASSERT_EQUAL(call_once(fixture, 2, "DELETE", JOB, NULL), 200);
	check_runs_end(fixture);
}

/* Guards against accepted jobs that are answered 410 and cannot be cancelled
 * after a route was replaced by one of another name. */
static void
test_a_renamed_route_keeps_its_jobs(void)
{
	const bp_queuehttp_route_t renamed[] = {{9, "/q/"}, {10, "/new/"}};
	bp_queuenodes_t fixture;

	setup_with_job(&fixture, "routes-renamed");
	configure(&fixture, 9, renamed, G_N_ELEMENTS(renamed), "/new/");
	check_job_is_served(&fixture);
	bp_queuenodes_teardown(&fixture);
}

/* The same when the route was missing in between. */
static void
test_a_route_that_returns_keeps_its_jobs(void)
{
	const bp_queuehttp_route_t removed[] = {{10, "/new/"}};
	const bp_queuehttp_route_t returned[] = {{9, "/q/"}, {11, "/newer/"}};
	bp_queuenodes_t fixture;

	setup_with_job(&fixture, "routes-return");
	configure(&fixture, 9, removed, G_N_ELEMENTS(removed), "/new/");
	CU_ASSERT_EQUAL(call_once(&fixture, 0, "GET", JOB, NULL), 404);
	CU_ASSERT_EQUAL(call_once(&fixture, 0, "DELETE", JOB, NULL), 404);
	configure(&fixture, 12, returned, G_N_ELEMENTS(returned), "/newer/");
	check_job_is_served(&fixture);
	bp_queuenodes_teardown(&fixture);
}

/* The same when all nodes are replaced after the change: the successors know
 * the job by its records alone. */
static void
test_successors_serve_a_renamed_route(void)
{
	const bp_queuehttp_route_t renamed[] = {{9, "/q/"}, {10, "/new/"}};
	bp_queuenodes_t fixture;
	uint32_t i;

	setup_with_job(&fixture, "routes-successors");
	configure(&fixture, 9, renamed, G_N_ELEMENTS(renamed), "/new/");
	for (i = 0; i < BP_QUEUENODES; i++) {
		bp_process_signal(fixture.nodes[i], SIGKILL);
		(void)bp_process_wait(fixture.nodes[i]);
		bp_process_free(fixture.nodes[i]);
		bp_queuenodes_start(&fixture, i);
		CU_ASSERT_TRUE(bp_queuenodes_expect(
		    &fixture, i, "GET", JOB, NULL, 200, NULL));
	}
	check_job_is_served(&fixture);
	bp_queuenodes_teardown(&fixture);
}

/* Guards against a job that is told to, and cancelled by, the callers of
 * another queue once two routes have exchanged their names. */
static void
test_exchanged_names_exchange_no_jobs(void)
{
	const bp_queuehttp_route_t before[] = {{3, "/q/"}, {4, "/other/"}};
	const bp_queuehttp_route_t after[] = {
	    {4, "/q/"}, {3, "/other/"}, {10, "/new/"}};
	const char *foreign = "/other/" JOB_ID;
	bp_queuenodes_t fixture;

	setup_with_job(&fixture, "routes-exchanged");
	configure(&fixture, 5, before, G_N_ELEMENTS(before), "/other/");
	CU_ASSERT_TRUE(bp_queuenodes_expect(
	    &fixture, 0, "POST", OTHER_JOB, BP_JOB_LASTING, 200, NULL));
	configure(&fixture, 9, after, G_N_ELEMENTS(after), "/new/");
	CU_ASSERT_EQUAL(call_once(&fixture, 0, "GET", foreign, NULL), 410);
	CU_ASSERT_EQUAL(call_once(&fixture, 1, "DELETE", foreign, NULL), 410);
	CU_ASSERT_EQUAL(
	    call_once(&fixture, 2, "POST", foreign, BP_JOB_LASTING), 400);
	CU_ASSERT_EQUAL(call_once(&fixture, 1, "GET", OTHER_JOB, NULL), 200);
	check_job_is_served(&fixture);
	bp_queuenodes_teardown(&fixture);
}

/* A queue whose prefix changes, and whose old one no route has, keeps its
 * jobs: they are reached by its new prefix. */
static void
test_a_moved_route_keeps_its_jobs(void)
{
	const bp_queuehttp_route_t moved[] = {{3, "/moved/"}};
	const char *path = "/moved/" JOB_ID;
	bp_queuenodes_t fixture;

	setup_with_job(&fixture, "routes-moved");
	configure(&fixture, 9, moved, G_N_ELEMENTS(moved), "/moved/");
	CU_ASSERT_EQUAL(call_once(&fixture, 0, "GET", JOB, NULL), 404);
	CU_ASSERT_EQUAL(call_once(&fixture, 0, "GET", path, NULL), 200);
	CU_ASSERT_EQUAL(call_once(&fixture, 1, "DELETE", path, NULL), 200);
	check_runs_end(&fixture);
	bp_queuenodes_teardown(&fixture);
}

/* Guards against jobs that are answered 410, and cannot be cancelled, after a
 * route was added whose prefix ends within their IDs. */
static void
test_a_longer_prefix_takes_no_jobs(void)
{
	const bp_queuehttp_route_t beside[] = {{3, "/q/"}, {9, "/q/f0"}};
	const bp_queuehttp_route_t alone[] = {{9, "/q/f0"}, {10, "/new/"}};
	bp_queuenodes_t fixture;

	setup_with_job(&fixture, "routes-longer");
	configure(&fixture, 9, beside, G_N_ELEMENTS(beside), "/q/f0");
	CU_ASSERT_EQUAL(call_once(&fixture, 0, "GET", JOB, NULL), 200);
	configure(&fixture, 10, alone, G_N_ELEMENTS(alone), "/new/");
	CU_ASSERT_EQUAL(call_once(&fixture, 1, "GET", JOB, NULL), 404);
	CU_ASSERT_EQUAL(call_once(&fixture, 2, "DELETE", JOB, NULL), 404);
	configure(&fixture, 11, beside, G_N_ELEMENTS(beside), "/q/");
	check_job_is_served(&fixture);
	bp_queuenodes_teardown(&fixture);
}

/* Learned work is stored at most once in this time, beside other records. */
#define LEARNED_MS 3000
/* Steps of two jobs of BP_JOB. */
#define STEPS_OF_TWO_JOBS 4

/* Returns whether the store has the work of one queue, from so many steps. */
static bool
has_work_of_one_queue(void *data)
{
	const bp_queuenodes_t *fixture = data;
	GBytes *value =
	    bp_qstore_value(bp_queuehttp_store(fixture->platform), 0, "works");
	Bp__Work__QueueWorks *works = value != NULL
	    ? bp__work__queue_works__unpack(
		  NULL, g_bytes_get_size(value), g_bytes_get_data(value, NULL))
	    : NULL;
	bool good = works != NULL && works->n_queues == 1 &&
	    works->queues[0]->steps == STEPS_OF_TWO_JOBS;

	if (works != NULL)
		bp__work__queue_works__free_unpacked(works, NULL);
	return good;
}

/* Guards against learned work that is lost with the name of a route. */
static void
test_learned_work_outlives_a_name(void)
{
	const bp_queuehttp_route_t renamed[] = {{9, "/q/"}, {10, "/new/"}};
	bp_queuenodes_t fixture;

	bp_queuenodes_setup(&fixture, "routes-work");
	CU_ASSERT_TRUE(bp_queuenodes_expect(
	    &fixture, 0, "POST", "/q/00000000000000c1", BP_JOB, 200, NULL));
	CU_ASSERT_TRUE(bp_queuenodes_expect(
	    &fixture, 0, "GET", "/q/00000000000000c1", NULL, 200, "completed"));
	configure(&fixture, 9, renamed, G_N_ELEMENTS(renamed), "/new/");
	CU_ASSERT_TRUE(bp_queuenodes_expect(
	    &fixture, 1, "POST", "/q/00000000000000c2", BP_JOB, 200, NULL));
	CU_ASSERT_TRUE(bp_queuenodes_expect(
	    &fixture, 1, "GET", "/q/00000000000000c2", NULL, 200, "completed"));
	bp_run_for_ms(LEARNED_MS);
	CU_ASSERT_TRUE(bp_queuenodes_expect(
	    &fixture, 2, "POST", JOB, BP_JOB_LASTING, 200, NULL));
	CU_ASSERT_TRUE(bp_wait_until(has_work_of_one_queue, &fixture));
	bp_queuenodes_teardown(&fixture);
}

int
main(void)
{
	CU_TestInfo tests[] = {
	    {"a renamed route keeps its jobs",
		test_a_renamed_route_keeps_its_jobs},
	    {"a route that returns keeps its jobs",
		test_a_route_that_returns_keeps_its_jobs},
	    {"successors serve a renamed route",
		test_successors_serve_a_renamed_route},
	    {"exchanged names exchange no jobs",
		test_exchanged_names_exchange_no_jobs},
	    {"a moved route keeps its jobs", test_a_moved_route_keeps_its_jobs},
	    {"a longer prefix takes no jobs",
		test_a_longer_prefix_takes_no_jobs},
	    {"learned work outlives a name", test_learned_work_outlives_a_name},
	    CU_TEST_INFO_NULL,
	};

	return bp_test_main("process/routes", tests);
}
