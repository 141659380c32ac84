#include "queues/jobref.h"
#include "support/runner.h"
#include "support/shardsim.h"

#include <stdlib.h>
#include <string.h>

#define HOST "h"
#define ID "00000000000000a1"
#define OTHER_ID "00000000000000b1"
#define STEP_MS 100

/* A route of a configuration; service NULL: "pool". */
typedef struct {
	const char *name;
	const char *prefix;
	const char *service;
} route_t;

static bp_catalog_t *
new_catalog(uint64_t version, const route_t *routes, size_t n)
{
	bp_catalog_t *catalog = bp_catalog_new();
	size_t i;

	catalog->version = version;
	for (i = 0; i < n; i++) {
		const char *service = routes[i].service;
		bp_queue_route_t *route = g_new0(bp_queue_route_t, 1);

		route->name = g_strdup(routes[i].name);
		/* Hosts are compared without regard to case. */
		route->host = g_strdup("H");
		route->prefix = g_strdup(routes[i].prefix);
		route->service = g_strdup(service != NULL ? service : "pool");
		g_ptr_array_add(catalog->routes, route);
	}
	return catalog;
}

/* A shard under a configuration of one route, which ends with the shard. */
typedef struct {
	bp_shardsim_t *sim;
	bp_catalog_t *catalog;
} fixture_t;

static void
configure(fixture_t *fixture, uint64_t version, const route_t *routes, size_t n)
{
	bp_catalog_t *before = fixture->catalog;

	fixture->catalog = new_catalog(version, routes, n);
	bp_shard_set_catalog(fixture->sim->shard, fixture->catalog);
	bp_catalog_free(before);
}

static void
setup(fixture_t *fixture)
{
	fixture->sim = bp_shardsim_new();
	fixture->catalog = NULL;
}

static void
teardown(fixture_t *fixture)
{
	bp_shardsim_free(fixture->sim);
	bp_catalog_free(fixture->catalog);
}

static Bp__Work__JobRef
refer(const char *queue, const char *prefix, const char *id)
{
	Bp__Work__JobRef ref = BP__WORK__JOB_REF__INIT;

	ref.queue = (char *)queue;
	ref.id = (char *)id;
	ref.host = (char *)(prefix[0] != '\0' ? HOST : "");
	ref.prefix = (char *)prefix;
	return ref;
}

static void
on_answer(const bp_shard_answer_t *answer, void *data)
{
	*(bp_error_kind_t *)data = answer->kind;
}

/* Submits a job of one task; returns what the caller is told. */
static bp_error_kind_t
submit(fixture_t *fixture, const char *queue, const char *prefix,
    const char *id, uint32_t cpu_milli)
{
	Bp__Work__Job *job = malloc(sizeof(*job));
	bp_error_kind_t kind = BP_EUNKNOWN;

	bp__work__job__init(job);
	job->id = strdup(id);
	job->queue = strdup(queue);
	job->service = strdup("pool");
	job->payload = strdup("work");
	job->attempts = 3;
	(void)bp_job_ref_set_address(job, HOST, prefix);
	job->steps = calloc(1, sizeof(Bp__Work__Step *));
	job->steps[job->n_steps++] = bp_shardsim_step(1, cpu_milli);
	bp_shard_submit(fixture->sim->shard, job, on_answer, &kind);
	bp_shardsim_run_ms(fixture->sim, STEP_MS);
	return kind;
}

static bp_error_kind_t
status(fixture_t *fixture, const char *queue, const char *prefix)
{
	const Bp__Work__JobRef call = refer(queue, prefix, ID);
	bp_shard_answer_t answer;

	bp_shard_status(fixture->sim->shard, &call, &answer);
	return answer.kind;
}

static uint64_t
count_waiting(const fixture_t *fixture, const char *queue, const char *prefix)
{
	const Bp__Work__JobRef call = refer(queue, prefix, "");

	return bp_shard_count_waiting(fixture->sim->shard, &call);
}

/* Guards against accepted jobs that nobody finds any more, and that no count
 * has, once their route has another name. */
static void
test_a_renamed_queue_has_its_jobs(void)
{
	const route_t before = {"q", "/q/", NULL};
	const route_t after = {"r", "/q/", NULL};
	fixture_t fixture;
	char *why;

	setup(&fixture);
	configure(&fixture, 1, &before, 1);
	/* No executor has so many processors: the job waits. */
	CU_ASSERT_EQUAL(submit(&fixture, "q", "/q/", ID, 1000000), BP_OK);
	configure(&fixture, 2, &after, 1);
	CU_ASSERT_EQUAL(status(&fixture, "r", "/q/"), BP_OK);
	CU_ASSERT_EQUAL(submit(&fixture, "r", "/q/", ID, 1000000), BP_OK);
	CU_ASSERT_EQUAL(count_waiting(&fixture, "r", "/q/"), 1);
	why = bp_shard_why_text(fixture.sim->shard, ID);
	CU_ASSERT_PTR_NOT_NULL(strstr(why, "of queue r"));
	g_free(why);
	teardown(&fixture);
}

/* Guards against tasks that start on the executors of another queue, and jobs
 * that are told to its callers, once two routes exchange their names. */
static void
test_exchanged_names(void)
{
	const route_t after[] = {
	    {"other", "/q/", NULL}, {"q", "/other/", "elsewhere"}};
	fixture_t fixture;

	setup(&fixture);
	configure(&fixture, 2, after, G_N_ELEMENTS(after));
	CU_ASSERT_EQUAL(submit(&fixture, "q", "/q/", ID, 1000), BP_OK);
	CU_ASSERT_PTR_NOT_NULL(
	    bp_shardsim_open_order(fixture.sim, BP_SIM_START, ID ".0.0.0"));
	CU_ASSERT_EQUAL(status(&fixture, "other", "/q/"), BP_OK);
	CU_ASSERT_EQUAL(status(&fixture, "q", "/other/"), BP_ENOTFOUND);
	CU_ASSERT_EQUAL(submit(&fixture, "q", "/other/", ID, 1), BP_EINVALID);
	teardown(&fixture);
}

/* Guards against a job that is denied because the owner does not know yet that
 * its queue was moved. */
static void
test_a_later_configuration_is_awaited(void)
{
	const route_t before = {"q", "/q/", NULL};
	const route_t after = {"q", "/moved/", NULL};
	Bp__Work__JobRef call = refer("q", "/moved/", ID);
	bp_error_kind_t kind = BP_EUNKNOWN;
	bp_shard_answer_t answer;
	fixture_t fixture;

	setup(&fixture);
	configure(&fixture, 1, &before, 1);
	CU_ASSERT_EQUAL(submit(&fixture, "q", "/q/", ID, 1000), BP_OK);
	call.config_version = 2;
	bp_shard_status(fixture.sim->shard, &call, &answer);
	CU_ASSERT_EQUAL(answer.kind, BP_ESTATE);
	bp_shard_cancel(fixture.sim->shard, &call, on_answer, &kind);
	CU_ASSERT_EQUAL(kind, BP_ESTATE);
	configure(&fixture, 2, &after, 1);
	bp_shard_status(fixture.sim->shard, &call, &answer);
	CU_ASSERT_EQUAL(answer.kind, BP_OK);
	teardown(&fixture);
}

/* Guards against a submission that was cancelled before it arrived, and is
 * accepted because its queue has another name by then. */
static void
test_cancelled_before_the_change(void)
{
	const route_t before = {"q", "/q/", NULL};
	const route_t after[] = {{"r", "/q/", NULL}, {"q", "/other/", NULL}};
	const Bp__Work__JobRef call = refer("q", "/q/", ID);
	bp_error_kind_t kind = BP_EUNKNOWN;
	fixture_t fixture;

	setup(&fixture);
	configure(&fixture, 1, &before, 1);
	/* Its record verifies the epoch, so that jobs can be denied. */
	CU_ASSERT_EQUAL(submit(&fixture, "q", "/q/", OTHER_ID, 1000), BP_OK);
	bp_shard_cancel(fixture.sim->shard, &call, on_answer, &kind);
	CU_ASSERT_EQUAL(kind, BP_ENOTFOUND);
	configure(&fixture, 2, after, G_N_ELEMENTS(after));
	CU_ASSERT_EQUAL(submit(&fixture, "r", "/q/", ID, 1000), BP_EREFUSED);
	CU_ASSERT_EQUAL(submit(&fixture, "q", "/other/", ID, 1000), BP_OK);
	teardown(&fixture);
}

/* Guards against jobs that an earlier release has stored, by the name of their
 * queue alone, and that are lost with that name; also when they have ended. */
static void
test_jobs_of_an_earlier_release(void)
{
	const route_t before = {"q", "/q/", NULL};
	const route_t after = {"r", "/q/", NULL};
	const Bp__Work__JobRef call = refer("r", "/q/", ID);
	bp_error_kind_t kind = BP_EUNKNOWN;
	fixture_t fixture;

	setup(&fixture);
	CU_ASSERT_EQUAL(submit(&fixture, "q", "", ID, 1000), BP_OK);
	configure(&fixture, 1, &before, 1);
	bp_shardsim_run_ms(fixture.sim, STEP_MS);
	configure(&fixture, 2, &after, 1);
	CU_ASSERT_EQUAL(status(&fixture, "r", "/q/"), BP_OK);
	bp_shardsim_take_over(fixture.sim);
	bp_shard_set_catalog(fixture.sim->shard, fixture.catalog);
	CU_ASSERT_EQUAL(status(&fixture, "r", "/q/"), BP_OK);
	bp_shard_cancel(fixture.sim->shard, &call, on_answer, &kind);
	bp_shardsim_run_ms(fixture.sim, STEP_MS);
	CU_ASSERT_EQUAL(kind, BP_OK);
	bp_shardsim_take_over(fixture.sim);
	bp_shard_set_catalog(fixture.sim->shard, fixture.catalog);
	CU_ASSERT_EQUAL(status(&fixture, "r", "/q/"), BP_OK);
	teardown(&fixture);
}

/* Nodes of an earlier release name the queue of a call by its route alone, by
 * the configuration in force. */
static void
test_calls_of_an_earlier_release(void)
{
	const route_t before = {"q", "/q/", NULL};
	const route_t exchanged[] = {
	    {"other", "/q/", NULL}, {"q", "/other/", NULL}};
	fixture_t fixture;

	setup(&fixture);
	configure(&fixture, 1, &before, 1);
	CU_ASSERT_EQUAL(submit(&fixture, "q", "", ID, 1000000), BP_OK);
	CU_ASSERT_EQUAL(status(&fixture, "q", ""), BP_OK);
	CU_ASSERT_EQUAL(status(&fixture, "q", "/q/"), BP_OK);
	CU_ASSERT_EQUAL(count_waiting(&fixture, "q", ""), 1);
	configure(&fixture, 2, exchanged, G_N_ELEMENTS(exchanged));
	CU_ASSERT_EQUAL(status(&fixture, "other", ""), BP_OK);
	CU_ASSERT_EQUAL(status(&fixture, "q", ""), BP_ENOTFOUND);
	CU_ASSERT_EQUAL(count_waiting(&fixture, "other", ""), 1);
	CU_ASSERT_EQUAL(count_waiting(&fixture, "q", ""), 0);
	teardown(&fixture);
}

/* Returns the name of the route of a path, "" for none. */
static const char *
route_of(const bp_catalog_t *catalog, const char *path)
{
	const bp_queue_route_t *route = bp_catalog_route(catalog, HOST, path);

	return route != NULL ? route->name : "";
}

/* The longest prefix selects the route, but for the path of a job, whose ID has
 * a fixed length. */
static void
test_routes_of_paths(void)
{
	const route_t routes[] = {{"q", "/q/", NULL}, {"within", "/q/00", NULL},
	    {"below", "/q/00/", NULL}, {"job", "/q/" OTHER_ID, NULL}};
	bp_catalog_t *catalog = new_catalog(1, routes, G_N_ELEMENTS(routes));

	CU_ASSERT_STRING_EQUAL(route_of(catalog, "/q/" ID), "q");
	CU_ASSERT_STRING_EQUAL(route_of(catalog, "/q/00" ID), "within");
	CU_ASSERT_STRING_EQUAL(route_of(catalog, "/q/00/" ID), "below");
	CU_ASSERT_STRING_EQUAL(route_of(catalog, "/q/" OTHER_ID), "job");
	CU_ASSERT_STRING_EQUAL(route_of(catalog, "/q/"), "q");
	CU_ASSERT_STRING_EQUAL(route_of(catalog, "/q/00"), "within");
	CU_ASSERT_STRING_EQUAL(route_of(catalog, "/q/0012"), "within");
	CU_ASSERT_STRING_EQUAL(route_of(catalog, "/" ID), "");
	CU_ASSERT_PTR_NULL(bp_catalog_job_id("/q/"));
	CU_ASSERT_PTR_NULL(bp_catalog_job_id("/q/g0000000000000a1"));
	bp_catalog_free(catalog);
}

int
main(void)
{
	CU_TestInfo tests[] = {
	    {"a renamed queue has its jobs", test_a_renamed_queue_has_its_jobs},
	    {"exchanged names", test_exchanged_names},
	    {"a later configuration is awaited",
		test_a_later_configuration_is_awaited},
	    {"cancelled before the change", test_cancelled_before_the_change},
	    {"jobs of an earlier release", test_jobs_of_an_earlier_release},
	    {"calls of an earlier release", test_calls_of_an_earlier_release},
	    {"routes of paths", test_routes_of_paths},
	    CU_TEST_INFO_NULL,
	};

	return bp_test_main("queues/queueidentity", tests);
}
