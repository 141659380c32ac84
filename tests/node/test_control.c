#include "bulrushpost/hash.h"
#include "support/controlcall.h"
#include "support/runner.h"

#include <string.h>

#define MUTATIONS 2000
#define MUTATION_BATCH 50
#define MUTATION_SEED 20261209

static int
publish(controlcall_t *fixture, char *base, char *author, const char *text)
{
	char *args[] = {base, author, NULL};

	return controlcall_ask(fixture, BP__PEER__VERB__VERB_RULES_PUBLISH,
	    (const uint8_t *)text, strlen(text), args);
}

static int
submit(controlcall_t *fixture, char *id, uint32_t tasks, uint32_t cpu_milli)
{
	Bp__Log__JobSpec spec = BP__LOG__JOB_SPEC__INIT;
	uint8_t bytes[256];

	spec.id = id;
	spec.team = "pszczoły";
	spec.name = "plan";
	spec.klass = BP__LOG__TASK_CLASS__CLASS_BATCH;
	spec.tasks = tasks;
	spec.cpu_milli = cpu_milli;
	spec.memory_mib = 100;
	return controlcall_ask(fixture, BP__PEER__VERB__VERB_JOB_SUBMIT, bytes,
	    bp__log__job_spec__pack(&spec, bytes), NULL);
}

/* Guards against lost updates, and conflicts reported without details. */
static void
test_second_publisher_is_told_who_won(void)
{
	controlcall_t f;

	controlcall_init(&f);
	CU_ASSERT_EQUAL(
	    publish(&f, "0", "Ann", "team a weight 2 # Ann\n"), BP_OK);
	CU_ASSERT_EQUAL(
	    publish(&f, "0", "Bob", "team b weight 3 # Bob\n"), BP_ECONFLICT);
	CU_ASSERT_EQUAL(f.outcome, BP_OUTCOME_NOT_RUN);
	CU_ASSERT_PTR_NOT_NULL(strstr(f.message, "version 1 by Ann"));
	CU_ASSERT_PTR_NOT_NULL(strstr(f.message, "- team a weight 2 # Ann"));
	CU_ASSERT_PTR_NOT_NULL(strstr(f.message, "+ team b weight 3 # Bob"));
	/* For a version that this node does not know, the log decides. */
	CU_ASSERT_EQUAL(
	    publish(&f, "7", "Bob", "team b weight 3 # Bob\n"), BP_ECONFLICT);
	CU_ASSERT_EQUAL(
	    publish(&f, "1", "Bob", "team b wieght 3 # Bob\n"), BP_EINVALID);
	CU_ASSERT_PTR_NOT_NULL(strstr(f.message, "line 1: wieght"));
	CU_ASSERT_EQUAL(
	    publish(&f, "1", "Bob", "team b weight 3 # Bob\n"), BP_OK);
	CU_ASSERT_EQUAL(
	    controlcall_ask(&f, BP__PEER__VERB__VERB_RULES_SHOW, NULL, 0, NULL),
	    BP_OK);
	CU_ASSERT_STRING_EQUAL(f.arg, "team b weight 3 # Bob\n");
	CU_ASSERT_EQUAL(
	    controlcall_ask_for(&f, BP__PEER__VERB__VERB_RULES_SHOW, "1"),
	    BP_OK);
	CU_ASSERT_STRING_EQUAL(f.arg, "team a weight 2 # Ann\n");
	CU_ASSERT_EQUAL(controlcall_ask(&f, BP__PEER__VERB__VERB_RULES_HISTORY,
			    NULL, 0, NULL),
	    BP_OK);
	CU_ASSERT_PTR_NOT_NULL(strstr(f.message, "version 2 by Bob"));
	controlcall_clear(&f);
}

/* Guards against a zone change that reverts one its author has not seen. */
static void
test_zone_change_from_an_old_version_is_refused(void)
{
	char *out[] = {"zone-1", "out", "0", "Ann", "flood", NULL};
	char *in[] = {"zone-1", "in", "0", "Bob", "", NULL};
	char *unknown[] = {"zone-9", "in", "0", "Bob", "", NULL};
	controlcall_t f;

	controlcall_init(&f);
	CU_ASSERT_EQUAL(
	    controlcall_ask(&f, BP__PEER__VERB__VERB_ZONE_CHANGE, NULL, 0, out),
	    BP_OK);
	CU_ASSERT_EQUAL(
	    controlcall_ask(&f, BP__PEER__VERB__VERB_ZONE_CHANGE, NULL, 0, in),
	    BP_ECONFLICT);
	CU_ASSERT_PTR_NOT_NULL(strstr(f.message, "Ann"));
	CU_ASSERT_EQUAL(controlcall_ask(&f, BP__PEER__VERB__VERB_ZONE_CHANGE,
			    NULL, 0, unknown),
	    BP_ENOTFOUND);
	CU_ASSERT_EQUAL(
	    controlcall_ask(&f, BP__PEER__VERB__VERB_ZONE_LIST, NULL, 0, NULL),
	    BP_OK);
	CU_ASSERT_PTR_NOT_NULL(strstr(f.message, "zone zone-1: out"));
	CU_ASSERT_PTR_NOT_NULL(strstr(f.message, "by Ann"));
	controlcall_clear(&f);
}

/* Guards against "not run" while uncertain, and jobs that wait forever. */
static void
test_job_outcomes_need_proof(void)
{
	char *cancel[] = {"j1", "Ann", NULL};
	controlcall_t f;

	controlcall_init(&f);
	controlrig_add_vm(&f.rig);
	CU_ASSERT_EQUAL(submit(&f, "j1", 2, 1000), BP_OK);
	CU_ASSERT_EQUAL(submit(&f, "j1", 2, 1000), BP_OK);
	CU_ASSERT_PTR_NOT_NULL(strstr(f.message, "before"));
	CU_ASSERT_EQUAL(submit(&f, "j1", 3, 1000), BP_ECONFLICT);
	CU_ASSERT_EQUAL(submit(&f, "j2", 1, 4001), BP_EREFUSED);
	CU_ASSERT_EQUAL(f.outcome, BP_OUTCOME_NOT_RUN);
	CU_ASSERT_PTR_NOT_NULL(strstr(f.message, "4 processors"));
	CU_ASSERT_EQUAL(submit(&f, "j2", 0, 1000), BP_EINVALID);
	CU_ASSERT_EQUAL(submit(&f, "j 2", 1, 1000), BP_EINVALID);
	CU_ASSERT_EQUAL(submit(&f, "", 1, 1000), BP_OK);
	CU_ASSERT_EQUAL(strlen(f.arg), 36);
	CU_ASSERT_EQUAL(
	    controlcall_ask_for(&f, BP__PEER__VERB__VERB_JOB_STATUS, "j1"),
	    BP_OK);
	CU_ASSERT_EQUAL(f.outcome, BP_OUTCOME_NOT_KNOWN);
	CU_ASSERT_EQUAL(
	    controlcall_ask_for(&f, BP__PEER__VERB__VERB_WHY, "j1"), BP_OK);
	CU_ASSERT_TRUE(strlen(f.message) > 0);
	CU_ASSERT_EQUAL(controlcall_ask(&f, BP__PEER__VERB__VERB_JOB_CANCEL,
			    NULL, 0, cancel),
	    BP_OK);
	CU_ASSERT_EQUAL(f.outcome, BP_OUTCOME_NOT_RUN);
	CU_ASSERT_EQUAL(
	    controlcall_ask_for(&f, BP__PEER__VERB__VERB_JOB_STATUS, "none"),
	    BP_ENOTFOUND);
	CU_ASSERT_EQUAL(f.outcome, BP_OUTCOME_NOT_KNOWN);
	CU_ASSERT_EQUAL(controlcall_ask_for(&f, BP__PEER__VERB__VERB_JOB_LIST,
			    "state=cancelled"),
	    BP_OK);
	CU_ASSERT_PTR_NOT_NULL(strstr(f.message, "j1 plan"));
	CU_ASSERT_PTR_NULL(strstr(f.message, "\n"));
	controlcall_clear(&f);
}

/* Guards against "not run" for a job whose assign entry was valid once. */
static void
test_assigned_job_is_never_proven_not_run(void)
{
	Bp__Log__Entry entry = BP__LOG__ENTRY__INIT;
	Bp__Log__Assign assign = BP__LOG__ASSIGN__INIT;
	Bp__Log__Entry end_entry = BP__LOG__ENTRY__INIT;
	Bp__Log__TaskEnd end = BP__LOG__TASK_END__INIT;
	char *cancel[] = {"j1", "Ann", NULL};
	controlcall_t f;

	controlcall_init(&f);
	controlrig_add_vm(&f.rig);
	CU_ASSERT_EQUAL(submit(&f, "j1", 1, 1000), BP_OK);
	assign.job = "j1";
	assign.count = 1;
	assign.attempt = 1;
	assign.vm = "w1";
	assign.epoch = 1;
	entry.body_case = BP__LOG__ENTRY__BODY_ASSIGN;
	entry.assign = &assign;
	CU_ASSERT_EQUAL(
	    bp_appender_add(f.rig.log.appender, &entry, 2000, NULL, NULL, NULL),
	    BP_OK);
	CU_ASSERT_EQUAL(controlcall_ask(&f, BP__PEER__VERB__VERB_JOB_CANCEL,
			    NULL, 0, cancel),
	    BP_OK);
	CU_ASSERT_EQUAL(f.outcome, BP_OUTCOME_NOT_KNOWN);
	end.job = "j1";
	end.attempt = 1;
	end.epoch = 1;
	end.outcome = BP__LOG__TASK_OUTCOME__OUTCOME_NOT_STARTED;
	end_entry.body_case = BP__LOG__ENTRY__BODY_TASK_END;
	end_entry.task_end = &end;
	CU_ASSERT_EQUAL(bp_appender_add(f.rig.log.appender, &end_entry, 2000,
			    NULL, NULL, NULL),
	    BP_OK);
	run_for(200);
	CU_ASSERT_EQUAL(
	    controlcall_ask_for(&f, BP__PEER__VERB__VERB_JOB_STATUS, "j1"),
	    BP_OK);
	CU_ASSERT_PTR_NOT_NULL(strstr(f.message, "cancelled"));
	CU_ASSERT_EQUAL(f.outcome, BP_OUTCOME_NOT_KNOWN);
	controlcall_clear(&f);
}

/* Guards against "not run" for an entry that may still reach the log. */
static void
test_submission_without_read_back_is_not_known(void)
{
	controlcall_t f;

	controlcall_init(&f);
	fakelog_set_fault(f.rig.log.log, FAKELOG_HOLD, 100000);
	CU_ASSERT_EQUAL(submit(&f, "j1", 1, 1000), BP_EUNKNOWN);
	CU_ASSERT_EQUAL(f.outcome, BP_OUTCOME_NOT_KNOWN);
	CU_ASSERT_PTR_NOT_NULL(strstr(f.message, "job j1"));
	controlcall_clear(&f);
}

/* Guards against rules that make jobs unplaceable without a warning. */
static void
test_check_warns_of_effects(void)
{
	static const char text[] = "team pszczoły only zone zone-2 # Ann\n"
				   "team x weight 2 # Ann\n";
	static const char spread[] = "team pszczoły spread 1 per rack # Ann\n";
	controlcall_t f;

	controlcall_init(&f);
	controlrig_add_vm(&f.rig);
	logrig_put_job(&f.rig.log, "other", 1);
	CU_ASSERT_EQUAL(submit(&f, "j1", 2, 1000), BP_OK);
	CU_ASSERT_EQUAL(controlcall_ask(&f, BP__PEER__VERB__VERB_RULES_CHECK,
			    (const uint8_t *)text, strlen(text), NULL),
	    BP_OK);
	CU_ASSERT_PTR_NOT_NULL(strstr(f.message, "line 1: no known VM"));
	CU_ASSERT_PTR_NOT_NULL(strstr(f.message, "job j1 (plan)"));
	CU_ASSERT_PTR_NULL(strstr(f.message, "job other"));
	CU_ASSERT_EQUAL(controlcall_ask(&f, BP__PEER__VERB__VERB_RULES_CHECK,
			    (const uint8_t *)spread, strlen(spread), NULL),
	    BP_OK);
	CU_ASSERT_PTR_NOT_NULL(strstr(f.message, "2 tasks, but 1 places"));
	/* Jobs that were unplaceable before cause no warning. */
	CU_ASSERT_EQUAL(publish(&f, "0", "Ann", text), BP_OK);
	CU_ASSERT_PTR_NOT_NULL(strstr(f.message, "warning: line 1: no known"));
	CU_ASSERT_EQUAL(controlcall_ask(&f, BP__PEER__VERB__VERB_RULES_CHECK,
			    (const uint8_t *)text, strlen(text), NULL),
	    BP_OK);
	CU_ASSERT_PTR_NULL(strstr(f.message, "job j1 (plan)"));
	controlcall_clear(&f);
}

/* Guards against views that miss the latest changes. */
static void
test_views_show_the_state(void)
{
	controlcall_t f;

	controlcall_init(&f);
	controlrig_add_vm(&f.rig);
	CU_ASSERT_EQUAL(submit(&f, "j1", 1, 1000), BP_OK);
	CU_ASSERT_EQUAL(
	    controlcall_ask(&f, BP__PEER__VERB__VERB_STATUS, NULL, 0, NULL),
	    BP_OK);
	CU_ASSERT_PTR_NOT_NULL(strstr(f.message, "log: current"));
	CU_ASSERT_PTR_NOT_NULL(strstr(f.body, "\"tasks_waiting\":1"));
	CU_ASSERT_PTR_NOT_NULL(strstr(f.body, "\"live\":true"));
	CU_ASSERT_EQUAL(
	    controlcall_ask(&f, BP__PEER__VERB__VERB_METRICS, NULL, 0, NULL),
	    BP_OK);
	CU_ASSERT_PTR_NOT_NULL(strstr(
	    f.message, "entries_total{kind=\"submit\",result=\"ok\"} 1"));
	CU_ASSERT_EQUAL(
	    controlcall_ask_for(&f, BP__PEER__VERB__VERB_TIMELINE, "job=j1"),
	    BP_OK);
	CU_ASSERT_PTR_NOT_NULL(strstr(f.body, "\"kind\":\"submit\""));
	CU_ASSERT_PTR_NULL(strstr(f.body, "\"kind\":\"claim\""));
	CU_ASSERT_EQUAL(controlcall_ask_for(&f, BP__PEER__VERB__VERB_WHY, "r1"),
	    BP_ENOTFOUND);
	bp_timeline_add(
	    f.rig.timeline, "refused", "r1", NULL, NULL, "no_capacity");
	CU_ASSERT_EQUAL(
	    controlcall_ask_for(&f, BP__PEER__VERB__VERB_WHY, "r1"), BP_OK);
	CU_ASSERT_STRING_EQUAL(f.message, "refused: no_capacity");
	CU_ASSERT_EQUAL(
	    controlcall_ask_for(&f, BP__PEER__VERB__VERB_KEY_OUTCOME, "s/1-k"),
	    BP_OK);
	CU_ASSERT_EQUAL(f.outcome, BP_OUTCOME_NOT_KNOWN);
	controlcall_clear(&f);
}

/* More than one part of a state, which has 512 KiB. */
#define LARGE_BYTES (600 * 1024)
#define RULE_VERSIONS 20

typedef struct {
	uint32_t done;
	size_t size_bytes;
	bp_state_t *state;
} fetched_t;

static void
on_fetched(const uint8_t *snapshot, size_t size_bytes, const bp_error_t *err,
    void *data)
{
	fetched_t *fetched = data;

	fetched->done++;
	fetched->size_bytes = size_bytes;
	if (err == NULL)
		CU_ASSERT_EQUAL(bp_snapshot_load(&fetched->state, snapshot,
				    size_bytes, NULL),
		    BP_OK);
}

static bool
is_fetched(void *data)
{
	return ((fetched_t *)data)->done > 0;
}

/* Guards against a state that is cut off at the size of a part. */
static void
test_large_state_is_fetched_in_parts(void)
{
	fetched_t fetched = {0};
	GString *text = g_string_new(NULL);
	controlcall_t f;
	int i;

	controlcall_init(&f);
	for (i = 0; text->len < BP_RULES_MAX_BYTES - 64; i++)
		g_string_append_printf(text, "team t%d weight 2 # Ann\n", i);
	for (i = 0; i < RULE_VERSIONS; i++) {
		char *base = g_strdup_printf("%d", i);

		CU_ASSERT_EQUAL(publish(&f, base, "Ann", text->str), BP_OK);
		g_free(base);
	}
	bp_control_fetch_state(
	    f.client, f.rig.address, CONTROLCALL_MS, on_fetched, &fetched);
	CU_ASSERT_TRUE(wait_until(is_fetched, &fetched, CONTROLCALL_MS));
	CU_ASSERT_TRUE(fetched.size_bytes > LARGE_BYTES);
	CU_ASSERT_PTR_NOT_NULL_FATAL(fetched.state);
	CU_ASSERT_EQUAL(bp_state_rules(fetched.state)->version, RULE_VERSIONS);
	bp_state_free(fetched.state);
	g_string_free(text, TRUE);
	controlcall_clear(&f);
}

/* Guards, with the sanitizers, against a leak when a fetch is dropped. */
static void
test_dropped_fetch_is_freed(void)
{
	fetched_t fetched = {0};
	controlcall_t f;

	controlcall_init(&f);
	bp_control_fetch_state(
	    f.client, f.rig.address, CONTROLCALL_MS, on_fetched, &fetched);
	bp_peer_client_free(f.client);
	f.client = NULL;
	run_for(50);
	CU_ASSERT_EQUAL(fetched.done, 0);
	controlcall_clear(&f);
}

static void
send_mutated(controlcall_t *f, bp_random_t *random)
{
	static const char *const words[] = {"zone-1", "out", "0", "Ann", "j1",
	    "state=", "job=j1", "1", "", "team=", "\xff", "a\nb",
	    "18446744073709551615", "-1"};
	static const char body[] = "team a weight 2 # x\nteam b only zone "
				   "zone-1 # y\n";
	Bp__Peer__Frame request = BP__PEER__FRAME__INIT;
	char *args[5];
	uint8_t bytes[sizeof(body)];
	size_t i;

	memcpy(bytes, body, sizeof(body));
	request.verb = (Bp__Peer__Verb)bp_random_below(random, 19);
	request.n_args = bp_random_below(random, 6);
	request.args = args;
	for (i = 0; i < request.n_args; i++)
		args[i] =
		    (char *)words[bp_random_below(random, G_N_ELEMENTS(words))];
	for (i = bp_random_below(random, 4); i > 0; i--)
		bytes[bp_random_below(random, sizeof(bytes))] =
		    (uint8_t)bp_random_next(random);
	request.body.data = bytes;
	request.body.len = bp_random_below(random, sizeof(bytes));
	bp_peer_client_call(f->client, f->rig.address, &request, CONTROLCALL_MS,
	    controlcall_done, f);
}

static bool
is_batch_done(void *data)
{
	return ((controlcall_t *)data)->done == MUTATION_BATCH;
}

/* Guards against requests that stop the node or get no answer. */
static void
test_every_request_is_answered(void)
{
	bp_random_t random;
	controlcall_t f;
	int i;

	controlcall_init(&f);
	controlrig_add_vm(&f.rig);
	CU_ASSERT_EQUAL(submit(&f, "j1", 1, 1000), BP_OK);
	bp_random_init(&random, MUTATION_SEED);
	for (i = 0; i < MUTATIONS; i++) {
		if (i % MUTATION_BATCH == 0)
			f.done = 0;
		send_mutated(&f, &random);
		if (i % MUTATION_BATCH == MUTATION_BATCH - 1)
			CU_ASSERT_TRUE(
			    wait_until(is_batch_done, &f, CONTROLCALL_MS));
	}
	CU_ASSERT_EQUAL(
	    controlcall_ask(&f, BP__PEER__VERB__VERB_STATUS, NULL, 0, NULL),
	    BP_OK);
	controlcall_clear(&f);
}

int
main(void)
{
	CU_TestInfo tests[] = {
	    {"second publisher", test_second_publisher_is_told_who_won},
	    {"zone change", test_zone_change_from_an_old_version_is_refused},
	    {"job outcomes", test_job_outcomes_need_proof},
	    {"assigned job", test_assigned_job_is_never_proven_not_run},
	    {"no read-back", test_submission_without_read_back_is_not_known},
	    {"effects", test_check_warns_of_effects},
	    {"views", test_views_show_the_state},
	    {"large state", test_large_state_is_fetched_in_parts},
	    {"dropped fetch", test_dropped_fetch_is_freed},
	    {"mutated requests", test_every_request_is_answered},
	    CU_TEST_INFO_NULL,
	};

	return bp_test_main("control", tests);
}
