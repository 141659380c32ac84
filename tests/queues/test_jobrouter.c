#include "queues/jobrouter.h"
#include "support/process.h"
#include "support/runner.h"

#include <stdlib.h>
#include <string.h>

#define DEADLINE_MS 1500
#define OWN "10.0.0.1:7"
#define ATTEMPTS_MAX 4
#define TAKEOVER_MS 450
/* An owner that gave no answer for this long is known to be stalled. */
#define STALLED_MS 750
#define CALLS_MAX 8
/* A call is refused by then when its shard has no owner. */
#define OWNERLESS_MS 1000
#define CUSTOMER "acme"
#define KEY "key-of-acme-0001"
/* A payload of this size does not fit a frame. */
#define PAYLOAD_BYTES ((size_t)2 * 1024 * 1024)

/* Outcome of one attempt at the owner on another node. */
typedef enum {
	TRY_ACCEPTED,
	TRY_LOST, /* the connection ends without an answer */
	TRY_STATE,
	TRY_STORE_DOWN,
	TRY_OVERLOAD,
	TRY_OVERLOAD_WITH_TIME, /* after which to retry */
	TRY_INTERNAL,
	TRY_SILENT,
	TRY_TAKING_OVER /* TRY_STATE for a while, then TRY_ACCEPTED */
} attempt_t;

/* A job router and another node, which the store names as the owner. */
typedef struct {
	bp_store_t store; /* first: it is the store's interface */
	bp_freshness_t *freshness;
	bp_membership_t *membership;
	bp_peer_client_t *client;
	bp_peer_server_t *server; /* of the owner; NULL while it is down */
	GPtrArray *unanswered; /* requests without an answer */
	char *owner; /* address; NULL: the store knows none */
	bp_pause_watch_t *pauses;
	bp_job_router_t *router;
	bp_shard_t *owned[1];
	const attempt_t *tries;
	uint32_t attempts_seen;
	uint32_t of_customer; /* attempts with the customer's name */
	bp_job_router_outcome_t outcome;
	uint32_t retry_after_ms;
	uint32_t answers;
	uint32_t not_run; /* of the answers */
	int64_t started_ms; /* mono, of the fixture */
} fixture_t;

static void
store_owners(
    bp_store_t *store, const char *group, bp_store_done_t done, void *data)
{
	fixture_t *fixture = (fixture_t *)store;
	GArray *assignments =
	    g_array_new(FALSE, TRUE, sizeof(bp_store_assignment_t));
	bp_store_assignment_t assignment = {0, fixture->owner};
	bp_store_result_t result = {0};

	(void)group;
	result.outcome = BP_STORE_OK;
	result.assignments = assignments;
	if (fixture->owner != NULL)
		g_array_append_val(assignments, assignment);
	done(&result, data);
	g_array_unref(assignments);
}

static void
store_forget(bp_store_t *store, void *data)
{
	(void)store;
	(void)data;
}

static void on_request(bp_peer_request_t *request, void *data);

static void
start_owner(fixture_t *fixture)
{
	bp_peer_server_options_t options;

	(void)bp_peer_server_options_init(&options);
	options.address =
	    fixture->owner != NULL ? fixture->owner : "127.0.0.1:0";
	options.handler = on_request;
	options.data = fixture;
	CU_ASSERT_EQUAL_FATAL(
	    bp_peer_server_new(&fixture->server, &options, NULL), BP_OK);
	if (fixture->owner == NULL)
		fixture->owner = g_strdup_printf(
		    "127.0.0.1:%u", bp_peer_server_port(fixture->server));
}

static gboolean
on_connection_loss(gpointer data)
{
	fixture_t *fixture = data;

	g_clear_pointer(&fixture->server, bp_peer_server_free);
	start_owner(fixture);
	return G_SOURCE_REMOVE;
}

static void
note_customer(fixture_t *fixture, const Bp__Peer__Frame *frame)
{
	Bp__Work__Job *job =
	    bp__work__job__unpack(NULL, frame->body.len, frame->body.data);

	if (job == NULL)
		return;
	if (strcmp(job->customer, CUSTOMER) == 0)
		fixture->of_customer++;
	bp__work__job__free_unpacked(job, NULL);
}

static void
on_request(bp_peer_request_t *request, void *data)
{
	static const bp_error_kind_t kinds[] = {[TRY_ACCEPTED] = BP_OK,
	    [TRY_STATE] = BP_ESTATE,
	    [TRY_STORE_DOWN] = BP_ELOGDOWN,
	    [TRY_OVERLOAD] = BP_EOVERLOAD,
	    [TRY_OVERLOAD_WITH_TIME] = BP_EOVERLOAD,
	    [TRY_INTERNAL] = BP_EINTERNAL};
	static char number[] = "0";
	static char retry_after_ms[] = "7000";
	char *args[] = {number, retry_after_ms};
	fixture_t *fixture = data;
	uint32_t i = MIN(fixture->attempts_seen, ATTEMPTS_MAX - 1);
	Bp__Peer__Frame answer = BP__PEER__FRAME__INIT;
	attempt_t what = fixture->tries[i];

	if (what == TRY_TAKING_OVER)
		what =
		    bp_clock_mono_ms(bp_clock_system()) - fixture->started_ms <
			TAKEOVER_MS
		    ? TRY_STATE
		    : TRY_ACCEPTED;
	fixture->attempts_seen++;
	note_customer(fixture, bp_peer_request_frame(request));
	if (what == TRY_LOST || what == TRY_SILENT) {
		g_ptr_array_add(fixture->unanswered, request);
		if (what == TRY_LOST)
			(void)g_idle_add(on_connection_loss, fixture);
		return;
	}
	answer.error = kinds[what];
	if (what == TRY_OVERLOAD_WITH_TIME) {
		answer.args = args;
		answer.n_args = G_N_ELEMENTS(args);
	}
	bp_peer_request_answer(request, &answer);
}

static void
on_answer(const bp_job_router_answer_t *answer, void *data)
{
	fixture_t *fixture = data;

	fixture->outcome = answer->outcome;
	fixture->retry_after_ms = answer->retry_after_ms;
	fixture->answers++;
	if (answer->outcome == BP_JOB_ROUTER_NOT_RUN)
		fixture->not_run++;
}

static void
on_refresh(void *data)
{
	(void)data;
}

static void
on_assigned(const bool *shards, int64_t sent_mono_ms, void *data)
{
	(void)shards;
	(void)sent_mono_ms;
	(void)data;
}

static bool
knows_owner(void *data)
{
	return bp_membership_owner(((fixture_t *)data)->membership, 0) != NULL;
}

static void
setup_with_clock(
    fixture_t *fixture, const attempt_t *tries, const bp_clock_t *clock)
{
	bp_job_router_options_t options = {0};
	bp_freshness_options_t freshness = {0};
	bp_membership_options_t membership = {0};

	memset(fixture, 0, sizeof(*fixture));
	fixture->tries = tries;
	fixture->unanswered = g_ptr_array_new();
	if (tries != NULL)
		start_owner(fixture);
	fixture->store.owners = store_owners;
	fixture->store.forget = store_forget;
	freshness.clock = bp_clock_system();
	freshness.max_age_ms = DEADLINE_MS;
	freshness.refresh = on_refresh;
	fixture->freshness = bp_freshness_new(&freshness);
	membership.clock = freshness.clock;
	membership.store = &fixture->store;
	membership.topic = "jobs";
	membership.address = OWN;
	membership.shards = 1;
	membership.standby = true;
	membership.assigned = on_assigned;
	fixture->membership = bp_membership_new(&membership);
	fixture->client = bp_peer_client_new(freshness.clock, NULL);
	fixture->pauses = bp_pause_watch_new(clock);
	options.clock = clock;
	options.pauses = fixture->pauses;
	options.client = fixture->client;
	options.membership = fixture->membership;
	options.owned = fixture->owned;
	options.shards = 1;
	options.address = OWN;
	options.freshness = fixture->freshness;
	fixture->router = bp_job_router_new(&options);
	if (tries != NULL)
		CU_ASSERT_TRUE(bp_wait_until(knows_owner, fixture));
	fixture->started_ms = bp_clock_mono_ms(bp_clock_system());
}

static void
setup(fixture_t *fixture, const attempt_t *tries)
{
	setup_with_clock(fixture, tries, bp_clock_system());
}

static void
teardown(fixture_t *fixture)
{
	Bp__Peer__Frame none = BP__PEER__FRAME__INIT;
	guint i;

	bp_job_router_free(fixture->router);
	bp_pause_watch_free(fixture->pauses);
	bp_membership_free(fixture->membership);
	bp_peer_client_free(fixture->client);
	g_clear_pointer(&fixture->server, bp_peer_server_free);
	for (i = 0; i < fixture->unanswered->len; i++)
		bp_peer_request_answer(fixture->unanswered->pdata[i], &none);
	g_ptr_array_unref(fixture->unanswered);
	bp_freshness_free(fixture->freshness);
	g_free(fixture->owner);
}

static void
submit_within(fixture_t *fixture, size_t payload_bytes, uint32_t deadline_ms)
{
	static char name[] = "q";
	const bp_queue_route_t route = {.name = name, .service = name};
	Bp__Work__Job *job = malloc(sizeof(*job));

	bp__work__job__init(job);
	if (payload_bytes > 0) {
		job->payload = calloc(1, payload_bytes + 1);
		memset(job->payload, 'x', payload_bytes);
	}
	bp_job_router_submit(fixture->router, &route, CUSTOMER, "a", job,
	    deadline_ms, on_answer, fixture);
}

static void
submit(fixture_t *fixture, size_t payload_bytes)
{
	submit_within(fixture, payload_bytes, DEADLINE_MS);
}

static bool
is_answered(void *data)
{
	return ((const fixture_t *)data)->answers > 0;
}

/* A call is reported as not run only if no attempt can have taken effect. */
static void
test_only_a_proof_refuses(void)
{
	static const struct {
		attempt_t tries[ATTEMPTS_MAX];
		bp_job_router_outcome_t outcome;
	} cases[] = {
	    {{TRY_ACCEPTED}, BP_JOB_ROUTER_OK},
	    {{TRY_STATE, TRY_STATE, TRY_ACCEPTED}, BP_JOB_ROUTER_OK},
	    {{TRY_LOST, TRY_ACCEPTED}, BP_JOB_ROUTER_OK},
	    {{TRY_LOST, TRY_STATE, TRY_LOST, TRY_ACCEPTED}, BP_JOB_ROUTER_OK},
	    {{TRY_INTERNAL, TRY_ACCEPTED}, BP_JOB_ROUTER_OK},
	    {{TRY_STATE, TRY_STATE, TRY_STATE, TRY_STATE},
		BP_JOB_ROUTER_NOT_RUN},
	    {{TRY_STORE_DOWN}, BP_JOB_ROUTER_NOT_RUN},
	    {{TRY_OVERLOAD}, BP_JOB_ROUTER_NOT_RUN},
	    {{TRY_SILENT, TRY_SILENT, TRY_SILENT, TRY_SILENT},
		BP_JOB_ROUTER_NOT_KNOWN},
	    {{TRY_LOST, TRY_STORE_DOWN}, BP_JOB_ROUTER_NOT_KNOWN},
	    {{TRY_LOST, TRY_OVERLOAD}, BP_JOB_ROUTER_NOT_KNOWN},
	    {{TRY_LOST, TRY_STATE, TRY_STATE, TRY_STATE},
		BP_JOB_ROUTER_NOT_KNOWN},
	    {{TRY_STATE, TRY_LOST, TRY_STATE, TRY_STORE_DOWN},
		BP_JOB_ROUTER_NOT_KNOWN},
	    {{TRY_INTERNAL, TRY_STORE_DOWN}, BP_JOB_ROUTER_NOT_KNOWN},
	};
	fixture_t fixtures[G_N_ELEMENTS(cases)];
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(cases); i++) {
		setup(&fixtures[i], cases[i].tries);
		submit(&fixtures[i], 0);
	}
	for (i = 0; i < G_N_ELEMENTS(cases); i++) {
		CU_ASSERT_TRUE(bp_wait_until(is_answered, &fixtures[i]));
		CU_ASSERT_EQUAL(fixtures[i].outcome, cases[i].outcome);
		CU_ASSERT_EQUAL(
		    bp_job_router_open_calls(fixtures[i].router), 0);
	}
	for (i = 0; i < G_N_ELEMENTS(cases); i++) {
		CU_ASSERT_EQUAL(fixtures[i].answers, 1);
		teardown(&fixtures[i]);
	}
}

/* Guards against callers that come again after the default time, all at once,
 * although the owner has told each of them another one. */
static void
test_a_retry_time_of_the_owner_is_kept(void)
{
	static const struct {
		attempt_t tries[ATTEMPTS_MAX];
		uint32_t retry_after_ms;
	} cases[] = {
	    {{TRY_OVERLOAD_WITH_TIME}, 7000},
	    {{TRY_STATE, TRY_OVERLOAD_WITH_TIME}, 7000},
	    {{TRY_OVERLOAD}, 1000},
	    {{TRY_STORE_DOWN}, 1000},
	};
	fixture_t fixture;
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(cases); i++) {
		setup(&fixture, cases[i].tries);
		submit(&fixture, 0);
		CU_ASSERT_TRUE(bp_wait_until(is_answered, &fixture));
		CU_ASSERT_EQUAL(fixture.outcome, BP_JOB_ROUTER_NOT_RUN);
		CU_ASSERT_EQUAL(
		    fixture.retry_after_ms, cases[i].retry_after_ms);
		teardown(&fixture);
	}
}

/* An attempt that was never sent has no effect: the owner is down, or the job
 * is too large for a frame. */
static void
test_what_was_not_sent(void)
{
	static const attempt_t tries[ATTEMPTS_MAX] = {TRY_ACCEPTED};
	fixture_t fixture;

	setup(&fixture, tries);
	submit(&fixture, PAYLOAD_BYTES);
	CU_ASSERT_TRUE(bp_wait_until(is_answered, &fixture));
	CU_ASSERT_EQUAL(fixture.outcome, BP_JOB_ROUTER_INVALID);
	CU_ASSERT_EQUAL(fixture.attempts_seen, 0);
	teardown(&fixture);
	setup(&fixture, tries);
	g_clear_pointer(&fixture.server, bp_peer_server_free);
	submit(&fixture, 0);
	CU_ASSERT_TRUE(bp_wait_until(is_answered, &fixture));
	CU_ASSERT_EQUAL(fixture.outcome, BP_JOB_ROUTER_NOT_RUN);
	teardown(&fixture);
}

/*
 * Guards against submissions that wait in the socket of a paused process and
 * are passed on when it resumes: the caller has given up, and may have
 * cancelled the job at another node.
 */
static void
test_a_call_read_after_a_pause_has_waited(void)
{
	static const attempt_t tries[ATTEMPTS_MAX] = {TRY_ACCEPTED};
	static const struct {
		int64_t pause_ms;
		int64_t run_ms; /* from the end of the pause to the call */
		bool passed_on;
	} cases[] = {{DEADLINE_MS, 0, false}, {DEADLINE_MS, 400, false},
	    {DEADLINE_MS - 200, 400, false}, {DEADLINE_MS, 1000, true},
	    {DEADLINE_MS / 2, 0, true}, {0, 0, true}};
	fixture_t fixture;
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(cases); i++) {
		bp_clock_virtual_t *clock = bp_clock_virtual_new(1000000);

		setup_with_clock(
		    &fixture, tries, bp_clock_virtual_clock(clock));
		bp_clock_virtual_run_ms(clock, 1000);
		bp_clock_virtual_advance_us(clock, cases[i].pause_ms * 1000);
		bp_clock_virtual_run_ms(clock, cases[i].run_ms);
		submit(&fixture, 0);
		if (cases[i].passed_on)
			CU_ASSERT_TRUE(bp_wait_until(is_answered, &fixture));
		CU_ASSERT_EQUAL(fixture.answers, 1);
		CU_ASSERT_EQUAL(fixture.outcome,
		    cases[i].passed_on ? BP_JOB_ROUTER_OK
				       : BP_JOB_ROUTER_NOT_RUN);
		CU_ASSERT_EQUAL(fixture.attempts_seen, cases[i].passed_on);
		teardown(&fixture);
		bp_clock_virtual_free(clock);
	}
}

/* Guards against submissions that are refused although the owner is ready a
 * moment later. */
static void
test_a_call_waits_for_a_takeover(void)
{
	static const attempt_t tries[ATTEMPTS_MAX] = {
	    TRY_TAKING_OVER, TRY_TAKING_OVER, TRY_TAKING_OVER, TRY_TAKING_OVER};
	fixture_t fixture;

	setup(&fixture, tries);
	submit(&fixture, 0);
	CU_ASSERT_TRUE(bp_wait_until(is_answered, &fixture));
	CU_ASSERT_EQUAL(fixture.outcome, BP_JOB_ROUTER_OK);
	CU_ASSERT_TRUE(fixture.attempts_seen <= 5);
	teardown(&fixture);
}

/*
 * Guards against calls that wait for an owner that has stalled although the
 * store names another one: jobs have IDs, so both may get the call. The other
 * one may still be taking over.
 */
static void
test_a_call_follows_the_owner(void)
{
	static const attempt_t cases[][ATTEMPTS_MAX] = {
	    {TRY_SILENT, TRY_ACCEPTED, TRY_SILENT, TRY_SILENT},
	    {TRY_SILENT, TRY_STATE, TRY_ACCEPTED, TRY_SILENT}};
	fixture_t fixture;
	bp_peer_server_t *stalled;
	char *address;
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(cases); i++) {
		setup(&fixture, cases[i]);
		submit(&fixture, 0);
		bp_run_for_ms(200);
		CU_ASSERT_EQUAL(fixture.attempts_seen, 1);
		stalled = g_steal_pointer(&fixture.server);
		address = g_steal_pointer(&fixture.owner);
		start_owner(&fixture);
		bp_run_for_ms(900);
		CU_ASSERT_EQUAL(fixture.answers, 1);
		CU_ASSERT_EQUAL(fixture.outcome, BP_JOB_ROUTER_OK);
		CU_ASSERT_EQUAL(fixture.attempts_seen, i + 2);
		bp_peer_server_free(stalled);
		g_free(address);
		teardown(&fixture);
	}
}

/* Guards against a call that is not repeated at an owner that was silent for
 * 1.2 s and is the only one that the store names. */
static void
test_a_call_is_repeated_at_the_same_owner(void)
{
	static const attempt_t tries[ATTEMPTS_MAX] = {
	    TRY_SILENT, TRY_ACCEPTED, TRY_SILENT, TRY_SILENT};
	fixture_t fixture;

	setup(&fixture, tries);
	submit_within(&fixture, 0, 2 * DEADLINE_MS);
	CU_ASSERT_TRUE(bp_wait_until(is_answered, &fixture));
	CU_ASSERT_EQUAL(fixture.outcome, BP_JOB_ROUTER_OK);
	CU_ASSERT_EQUAL(fixture.attempts_seen, 2);
	teardown(&fixture);
}

/* Guards against reads that wait for their deadline, or end with an unknown
 * outcome, while no node owns the shard. */
static void
test_reads_without_an_owner(void)
{
	static char name[] = "q";
	const bp_queue_route_t route = {.name = name, .service = name};
	fixture_t fixture;

	setup(&fixture, NULL);
	bp_job_router_status(
	    fixture.router, &route, "a", 10000, on_answer, &fixture);
	bp_job_router_count(fixture.router, &route, 10000, on_answer, &fixture);
	bp_run_for_ms(OWNERLESS_MS);
	CU_ASSERT_EQUAL(fixture.answers, 2);
	CU_ASSERT_EQUAL(fixture.not_run, 2);
	teardown(&fixture);
}

/*
 * Guards against calls that go on to be sent to an owner that has stalled and
 * end with an unknown outcome: all but a few are refused, which did not run.
 */
static void
test_a_stalled_owner_is_not_called(void)
{
	static const attempt_t tries[ATTEMPTS_MAX] = {
	    TRY_SILENT, TRY_SILENT, TRY_SILENT, TRY_SILENT};
	fixture_t fixture;
	uint32_t i;

	setup(&fixture, tries);
	submit(&fixture, 0);
	bp_run_for_ms(STALLED_MS);
	for (i = 0; i < CALLS_MAX; i++)
		submit(&fixture, 0);
	bp_run_for_ms(DEADLINE_MS);
	CU_ASSERT_EQUAL(fixture.answers, CALLS_MAX + 1);
	CU_ASSERT_TRUE(fixture.not_run >= CALLS_MAX - 1);
	/* The first call, one of the others, and a repeat of each. */
	CU_ASSERT_TRUE(fixture.attempts_seen <= 4);
	teardown(&fixture);
}

static void
on_confirmed(bool confirmed, void *data)
{
	CU_ASSERT_FALSE(confirmed);
	(*(uint32_t *)data)++;
}

/*
 * A router that stops refuses a call that was sent to no owner, reports an
 * unknown outcome for one that was sent, and lets no later call wait.
 */
static void
test_a_stop_answers_by_what_is_known(void)
{
	static const attempt_t tries[ATTEMPTS_MAX] = {
	    TRY_SILENT, TRY_SILENT, TRY_SILENT, TRY_SILENT};
	fixture_t fixture;
	uint32_t confirmed = 0;

	setup(&fixture, NULL);
	submit(&fixture, 0);
	CU_ASSERT_EQUAL(fixture.answers, 0);
	bp_job_router_check_catalog(fixture.router, on_confirmed, &confirmed);
	bp_job_router_stop(fixture.router);
	CU_ASSERT_EQUAL(confirmed, 1);
	CU_ASSERT_EQUAL(fixture.answers, 1);
	CU_ASSERT_EQUAL(fixture.outcome, BP_JOB_ROUTER_NOT_RUN);
	bp_job_router_check_catalog(fixture.router, on_confirmed, &confirmed);
	CU_ASSERT_EQUAL(confirmed, 2);
	submit(&fixture, 0);
	CU_ASSERT_EQUAL(fixture.answers, 2);
	CU_ASSERT_EQUAL(fixture.outcome, BP_JOB_ROUTER_NOT_RUN);
	teardown(&fixture);
	setup(&fixture, tries);
	submit(&fixture, 0);
	bp_run_for_ms(100);
	bp_job_router_stop(fixture.router);
	CU_ASSERT_EQUAL(fixture.answers, 1);
	CU_ASSERT_EQUAL(fixture.outcome, BP_JOB_ROUTER_NOT_KNOWN);
	teardown(&fixture);
}

/* A job keeps its customer's name at an owner on another node. */
static void
test_a_job_carries_its_customer(void)
{
	static const attempt_t tries[ATTEMPTS_MAX] = {TRY_STATE, TRY_ACCEPTED};
	fixture_t fixture;

	setup(&fixture, tries);
	submit(&fixture, 0);
	CU_ASSERT_TRUE(bp_wait_until(is_answered, &fixture));
	CU_ASSERT_EQUAL(fixture.outcome, BP_JOB_ROUTER_OK);
	CU_ASSERT_EQUAL(fixture.of_customer, 2);
	teardown(&fixture);
}

typedef struct {
	uint32_t answers;
	bp_access_verdict_t verdict;
	char customer[32];
} admitted_t;

static void
on_admitted(const bp_access_t *access, void *data)
{
	admitted_t *admitted = data;

	admitted->answers++;
	admitted->verdict = access->verdict;
	(void)g_strlcpy(
	    admitted->customer, access->customer, sizeof(admitted->customer));
}

/* A configuration with the queue /q/ of host "h" and one customer. */
static bp_catalog_t *
make_catalog(const char *key)
{
	bp_catalog_t *catalog = bp_catalog_new();
	bp_queue_route_t *route = g_new0(bp_queue_route_t, 1);
	bp_customer_t *customer = bp_customer_new();

	route->name = g_strdup("q");
	route->host = g_strdup("h");
	route->prefix = g_strdup("/q/");
	route->service = g_strdup("s");
	g_ptr_array_add(catalog->routes, route);
	customer->name = g_strdup(CUSTOMER);
	g_ptr_array_add(customer->keys, g_strdup(key));
	g_ptr_array_add(catalog->customers, customer);
	catalog->requires_keys = true;
	bp_catalog_index_keys(catalog);
	return catalog;
}

static void
admit(fixture_t *fixture, const char *key, admitted_t *admitted)
{
	memset(admitted, 0, sizeof(*admitted));
	bp_job_router_admit(
	    fixture->router, "h", "/q/a", key, on_admitted, admitted);
}

static bool
is_admitted(void *data)
{
	return ((const admitted_t *)data)->answers > 0;
}

/*
 * Guards against a node that was frozen, cut off or started just now and
 * honours a key that was removed meanwhile, or denies one that was added: the
 * call waits for the store, and is decided by what the refresh brought.
 */
static void
test_keys_wait_for_the_store(void)
{
	fixture_t fixture;
	bp_catalog_t *before = make_catalog(KEY);
	bp_catalog_t *after = make_catalog("key-of-acme-0002");
	admitted_t removed;
	admitted_t added;

	setup(&fixture, NULL);
	bp_job_router_set_catalog(fixture.router, before);
	admit(&fixture, KEY, &removed);
	admit(&fixture, "key-of-acme-0002", &added);
	CU_ASSERT_EQUAL(removed.answers + added.answers, 0);
	bp_job_router_set_catalog(fixture.router, after);
	bp_freshness_update(
	    fixture.freshness, bp_clock_mono_ms(bp_clock_system()));
	CU_ASSERT_EQUAL(removed.answers, 1);
	CU_ASSERT_EQUAL(removed.verdict, BP_ACCESS_UNAUTHORIZED);
	CU_ASSERT_EQUAL(added.answers, 1);
	CU_ASSERT_EQUAL(added.verdict, BP_ACCESS_ALLOWED);
	CU_ASSERT_STRING_EQUAL(added.customer, CUSTOMER);
	/* It is fresh now, so calls are decided at once. */
	admit(&fixture, KEY, &removed);
	CU_ASSERT_EQUAL(removed.verdict, BP_ACCESS_UNAUTHORIZED);
	teardown(&fixture);
	/* The store does not answer: neither is decided. */
	setup(&fixture, NULL);
	bp_job_router_set_catalog(fixture.router, before);
	admit(&fixture, KEY, &removed);
	admit(&fixture, "key-of-acme-0002", &added);
	CU_ASSERT_TRUE(bp_wait_until(is_admitted, &removed));
	CU_ASSERT_TRUE(bp_wait_until(is_admitted, &added));
	CU_ASSERT_EQUAL(removed.verdict, BP_ACCESS_UNCONFIRMED);
	CU_ASSERT_EQUAL(added.verdict, BP_ACCESS_UNCONFIRMED);
	bp_job_router_stop(fixture.router);
	admit(&fixture, KEY, &removed);
	CU_ASSERT_EQUAL(removed.verdict, BP_ACCESS_UNCONFIRMED);
	teardown(&fixture);
	bp_catalog_free(before);
	bp_catalog_free(after);
}

int
main(void)
{
	CU_TestInfo tests[] = {
	    {"only a proof refuses", test_only_a_proof_refuses},
	    {"a retry time of the owner is kept",
		test_a_retry_time_of_the_owner_is_kept},
	    {"what was not sent", test_what_was_not_sent},
	    {"a call read after a pause has waited",
		test_a_call_read_after_a_pause_has_waited},
	    {"a call waits for a takeover", test_a_call_waits_for_a_takeover},
	    {"a call follows the owner", test_a_call_follows_the_owner},
	    {"a call is repeated at the same owner",
		test_a_call_is_repeated_at_the_same_owner},
	    {"reads without an owner", test_reads_without_an_owner},
	    {"a stalled owner is not called",
		test_a_stalled_owner_is_not_called},
	    {"a stop answers by what is known",
		test_a_stop_answers_by_what_is_known},
	    {"a job carries its customer", test_a_job_carries_its_customer},
	    {"keys wait for the store", test_keys_wait_for_the_store},
	    CU_TEST_INFO_NULL,
	};

	return bp_test_main("queues/desk", tests);
}
