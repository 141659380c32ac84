#include "queues/desk.h"
#include "support/process.h"
#include "support/runner.h"

#include <stdlib.h>
#include <string.h>

#define DEADLINE_MS 1500
#define OWN "10.0.0.1:7"
#define TRIES_MAX 4
/* A payload of this size does not fit a frame. */
#define PAYLOAD_BYTES ((size_t)2 * 1024 * 1024)

/* Outcome of one attempt at the owner on another node. */
typedef enum {
	TRY_ACCEPTED,
	TRY_LOST, /* the connection ends without an answer */
	TRY_STATE,
	TRY_STORE_DOWN,
	TRY_OVERLOAD,
	TRY_INTERNAL,
	TRY_SILENT
} try_t;

/* A job router and another node, which the store names as the owner. */
typedef struct {
	bp_store_t store; /* first: it is the store's interface */
	bp_confirm_t *confirm;
	bp_membership_t *membership;
	bp_peer_client_t *client;
	bp_peer_server_t *server; /* of the owner; NULL while it is down */
	GPtrArray *held; /* requests without an answer */
	char *owner; /* address; NULL: the store knows none */
	bp_queuedesk_t *desk;
	bp_shard_t *owned[1];
	const try_t *tries;
	uint32_t tried;
	bp_desk_outcome_t outcome;
	uint32_t answers;
} fixture_t;

static void
store_owners(
    bp_store_t *store, const char *group, bp_store_done_t done, void *data)
{
	fixture_t *fixture = (fixture_t *)store;
	GArray *holdings = g_array_new(FALSE, TRUE, sizeof(bp_store_holding_t));
	bp_store_holding_t holding = {0, fixture->owner};
	bp_store_result_t result = {0};

	(void)group;
	result.outcome = BP_STORE_OK;
	result.holdings = holdings;
	if (fixture->owner != NULL)
		g_array_append_val(holdings, holding);
	done(&result, data);
	g_array_unref(holdings);
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
on_lose(gpointer data)
{
	fixture_t *fixture = data;

	g_clear_pointer(&fixture->server, bp_peer_server_free);
	start_owner(fixture);
	return G_SOURCE_REMOVE;
}

static void
on_request(bp_peer_request_t *request, void *data)
{
	static const bp_error_kind_t kinds[] = {[TRY_ACCEPTED] = BP_OK,
	    [TRY_STATE] = BP_ESTATE,
	    [TRY_STORE_DOWN] = BP_ELOGDOWN,
	    [TRY_OVERLOAD] = BP_EOVERLOAD,
	    [TRY_INTERNAL] = BP_EINTERNAL};
	fixture_t *fixture = data;
	uint32_t i = MIN(fixture->tried, TRIES_MAX - 1);
	Bp__Peer__Frame answer = BP__PEER__FRAME__INIT;
	try_t what = fixture->tries[i];

	fixture->tried++;
	if (what == TRY_LOST || what == TRY_SILENT) {
		g_ptr_array_add(fixture->held, request);
		if (what == TRY_LOST)
			(void)g_idle_add(on_lose, fixture);
		return;
	}
	answer.error = kinds[what];
	bp_peer_request_answer(request, &answer);
}

static void
on_answer(const bp_desk_answer_t *answer, void *data)
{
	fixture_t *fixture = data;

	fixture->outcome = answer->outcome;
	fixture->answers++;
}

static void
on_ask(void *data)
{
	(void)data;
}

static void
on_held(const bool *shards, int64_t sent_mono_ms, void *data)
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
setup(fixture_t *fixture, const try_t *tries)
{
	bp_queuedesk_options_t options = {0};
	bp_confirm_options_t confirm = {0};
	bp_membership_options_t membership = {0};

	memset(fixture, 0, sizeof(*fixture));
	fixture->tries = tries;
	fixture->held = g_ptr_array_new();
	if (tries != NULL)
		start_owner(fixture);
	fixture->store.owners = store_owners;
	fixture->store.forget = store_forget;
	confirm.clock = bp_clock_system();
	confirm.limit_ms = DEADLINE_MS;
	confirm.ask = on_ask;
	fixture->confirm = bp_confirm_new(&confirm);
	membership.clock = confirm.clock;
	membership.store = &fixture->store;
	membership.topic = "jobs";
	membership.address = OWN;
	membership.shards = 1;
	membership.standby = true;
	membership.held = on_held;
	fixture->membership = bp_membership_new(&membership);
	fixture->client = bp_peer_client_new(confirm.clock, NULL);
	options.clock = confirm.clock;
	options.client = fixture->client;
	options.membership = fixture->membership;
	options.owned = fixture->owned;
	options.shards = 1;
	options.address = OWN;
	options.confirm = fixture->confirm;
	fixture->desk = bp_queuedesk_new(&options);
	if (tries != NULL)
		CU_ASSERT_TRUE(bp_wait_until(knows_owner, fixture));
}

static void
teardown(fixture_t *fixture)
{
	Bp__Peer__Frame none = BP__PEER__FRAME__INIT;
	guint i;

	bp_queuedesk_free(fixture->desk);
	bp_membership_free(fixture->membership);
	bp_peer_client_free(fixture->client);
	g_clear_pointer(&fixture->server, bp_peer_server_free);
	for (i = 0; i < fixture->held->len; i++)
		bp_peer_request_answer(fixture->held->pdata[i], &none);
	g_ptr_array_unref(fixture->held);
	bp_confirm_free(fixture->confirm);
	g_free(fixture->owner);
}

static void
submit(fixture_t *fixture, size_t payload_bytes)
{
	static char name[] = "q";
	const bp_queue_route_t route = {.name = name, .service = name};
	Bp__Work__Job *job = malloc(sizeof(*job));

	bp__work__job__init(job);
	if (payload_bytes > 0) {
		job->payload = calloc(1, payload_bytes + 1);
		memset(job->payload, 'x', payload_bytes);
	}
	bp_queuedesk_submit(
	    fixture->desk, &route, "a", job, DEADLINE_MS, on_answer, fixture);
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
		try_t tries[TRIES_MAX];
		bp_desk_outcome_t outcome;
	} cases[] = {
	    {{TRY_ACCEPTED}, BP_DESK_OK},
	    {{TRY_STATE, TRY_STATE, TRY_ACCEPTED}, BP_DESK_OK},
	    {{TRY_LOST, TRY_ACCEPTED}, BP_DESK_OK},
	    {{TRY_LOST, TRY_STATE, TRY_LOST, TRY_ACCEPTED}, BP_DESK_OK},
	    {{TRY_INTERNAL, TRY_ACCEPTED}, BP_DESK_OK},
	    {{TRY_STATE, TRY_STATE, TRY_STATE, TRY_STATE}, BP_DESK_NOT_RUN},
	    {{TRY_STORE_DOWN}, BP_DESK_NOT_RUN},
	    {{TRY_OVERLOAD}, BP_DESK_NOT_RUN},
	    {{TRY_SILENT, TRY_SILENT, TRY_SILENT, TRY_SILENT},
		BP_DESK_NOT_KNOWN},
	    {{TRY_LOST, TRY_STORE_DOWN}, BP_DESK_NOT_KNOWN},
	    {{TRY_LOST, TRY_OVERLOAD}, BP_DESK_NOT_KNOWN},
	    {{TRY_LOST, TRY_STATE, TRY_STATE, TRY_STATE}, BP_DESK_NOT_KNOWN},
	    {{TRY_STATE, TRY_LOST, TRY_STATE, TRY_STORE_DOWN},
		BP_DESK_NOT_KNOWN},
	    {{TRY_INTERNAL, TRY_STORE_DOWN}, BP_DESK_NOT_KNOWN},
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
		CU_ASSERT_EQUAL(bp_queuedesk_open(fixtures[i].desk), 0);
	}
	for (i = 0; i < G_N_ELEMENTS(cases); i++) {
		CU_ASSERT_EQUAL(fixtures[i].answers, 1);
		teardown(&fixtures[i]);
	}
}

/* An attempt that was never sent has no effect: the owner is down, or the job
 * is too large for a frame. */
static void
test_what_was_not_sent(void)
{
	static const try_t tries[TRIES_MAX] = {TRY_ACCEPTED};
	fixture_t fixture;

	setup(&fixture, tries);
	submit(&fixture, PAYLOAD_BYTES);
	CU_ASSERT_TRUE(bp_wait_until(is_answered, &fixture));
	CU_ASSERT_EQUAL(fixture.outcome, BP_DESK_INVALID);
	CU_ASSERT_EQUAL(fixture.tried, 0);
	teardown(&fixture);
	setup(&fixture, tries);
	g_clear_pointer(&fixture.server, bp_peer_server_free);
	submit(&fixture, 0);
	CU_ASSERT_TRUE(bp_wait_until(is_answered, &fixture));
	CU_ASSERT_EQUAL(fixture.outcome, BP_DESK_NOT_RUN);
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
	static const try_t tries[TRIES_MAX] = {
	    TRY_SILENT, TRY_SILENT, TRY_SILENT, TRY_SILENT};
	fixture_t fixture;
	uint32_t confirmed = 0;

	setup(&fixture, NULL);
	submit(&fixture, 0);
	CU_ASSERT_EQUAL(fixture.answers, 0);
	bp_queuedesk_confirm(fixture.desk, on_confirmed, &confirmed);
	bp_queuedesk_stop(fixture.desk);
	CU_ASSERT_EQUAL(confirmed, 1);
	CU_ASSERT_EQUAL(fixture.answers, 1);
	CU_ASSERT_EQUAL(fixture.outcome, BP_DESK_NOT_RUN);
	bp_queuedesk_confirm(fixture.desk, on_confirmed, &confirmed);
	CU_ASSERT_EQUAL(confirmed, 2);
	submit(&fixture, 0);
	CU_ASSERT_EQUAL(fixture.answers, 2);
	CU_ASSERT_EQUAL(fixture.outcome, BP_DESK_NOT_RUN);
	teardown(&fixture);
	setup(&fixture, tries);
	submit(&fixture, 0);
	bp_run_for_ms(100);
	bp_queuedesk_stop(fixture.desk);
	CU_ASSERT_EQUAL(fixture.answers, 1);
	CU_ASSERT_EQUAL(fixture.outcome, BP_DESK_NOT_KNOWN);
	teardown(&fixture);
}

int
main(void)
{
	CU_TestInfo tests[] = {
	    {"only a proof refuses", test_only_a_proof_refuses},
	    {"what was not sent", test_what_was_not_sent},
	    {"a stop answers by what is known",
		test_a_stop_answers_by_what_is_known},
	    CU_TEST_INFO_NULL,
	};

	return bp_test_main("queues/desk", tests);
}
