#include "bulrushpost/hash.h"
#include "bulrushpost/settings.h"
#include "support/runner.h"

#include <string.h>

#define MUTATIONS 4000
#define MUTATION_SEED 20261205

static const char sample[] = "node:\n"
			     "  name: węzeł-1\n"
			     "  zone: wlkp-1\n"
			     "  services: [gateway, scheduler]\n"
			     "listen:\n"
			     "  gateway: 127.0.0.1:8080\n"
			     "  control: \"[::1]:7070\"\n"
			     "platform:\n"
			     "  log_url: http://127.0.0.1:9000/\n"
			     "  vm_list_url: http://127.0.0.1:9001\n"
			     "peers:\n"
			     "  - 127.0.0.1:7071\n"
			     "log: {level: debug}\n"
			     "timing:\n"
			     "  append_interval_ms: 20\n"
			     "limits: {pending_jobs: 5}\n"
			     "policy:\n"
			     "  eviction_budget_per_min: 12\n";

/* Guards against a key stored in another field or without its default. */
static void
test_sample_is_read(void)
{
	bp_settings_t *settings = NULL;
	bp_error_t err = {0};

	CU_ASSERT_EQUAL_FATAL(bp_settings_parse(&settings, "a.yaml", sample,
				  sizeof(sample) - 1, NULL, &err),
	    BP_OK);
	CU_ASSERT_STRING_EQUAL(settings->node.name, "węzeł-1");
	CU_ASSERT_TRUE(settings->node.gateway && settings->node.scheduler);
	CU_ASSERT_STRING_EQUAL(settings->listen.control, "[::1]:7070");
	CU_ASSERT_STRING_EQUAL(
	    settings->platform.log_url, "http://127.0.0.1:9000");
	CU_ASSERT_STRING_EQUAL(settings->peers[0], "127.0.0.1:7071");
	CU_ASSERT_PTR_NULL(settings->peers[1]);
	CU_ASSERT_EQUAL(settings->log_level, BP_LOG_DEBUG);
	CU_ASSERT_EQUAL(settings->timing.append_interval_ms, 20);
	CU_ASSERT_EQUAL(settings->timing.hold_max_s, 3900);
	CU_ASSERT_EQUAL(settings->limits.pending_jobs, 5);
	CU_ASSERT_EQUAL(settings->limits.body_bytes, 1048576);
	CU_ASSERT_EQUAL(settings->policy.eviction_budget_per_min, 12);
	bp_settings_free(settings);
}

static bool
has_problem(const GPtrArray *problems, const char *start, const char *part)
{
	guint i;

	for (i = 0; i < problems->len; i++) {
		const char *problem = g_ptr_array_index(problems, i);

		if (g_str_has_prefix(problem, start) &&
		    strstr(problem, part) != NULL)
			return true;
	}
	g_printerr("missing problem %s ... %s\n", start, part);
	return false;
}

/* Guards against a file whose second problem shows up only after a fix. */
static void
test_all_problems_are_reported(void)
{
	static const char text[] = "node:\n"
				   "  name: a/b\n"
				   "  services: [gatway, scheduler]\n"
				   "  zone: [x]\n"
				   "lisen: {control: 127.0.0.1}\n"
				   "platform: {log_url: ftp://x/}\n"
				   "peers: 127.0.0.1:1\n"
				   "log: {level: dbug}\n"
				   "timing:\n"
				   "  poll_ms: 1s\n"
				   "  renew_ms: \"1500\"\n"
				   "  death_ms: 1500\n"
				   "  poll_ms: 900\n"
				   "  lease_urgent_ms: 2000\n"
				   "limits: {pendign_jobs: 4}\n"
				   "policy: {retry_budget_percent: 101}\n"
				   "node: {name: c}\n";
	GPtrArray *problems = g_ptr_array_new_with_free_func(g_free);
	bp_settings_t *settings = NULL;
	bp_error_t err = {0};

	CU_ASSERT_EQUAL(bp_settings_parse(&settings, "f", text,
			    sizeof(text) - 1, problems, &err),
	    BP_EINVALID);
	CU_ASSERT_PTR_NULL(settings);
	CU_ASSERT_TRUE(has_problem(problems, "f:2: node.name: ", "without"));
	CU_ASSERT_TRUE(
	    has_problem(problems, "f:3: node.services: ", "mean gateway"));
	CU_ASSERT_TRUE(has_problem(problems, "f:4: node.zone: ", "single"));
	CU_ASSERT_TRUE(has_problem(
	    problems, "f:5: lisen.control: ", "mean listen.control"));
	CU_ASSERT_TRUE(has_problem(problems, "f:1: listen.control: ", "miss"));
	CU_ASSERT_TRUE(
	    has_problem(problems, "f:6: platform.log_url: ", "http://"));
	CU_ASSERT_TRUE(has_problem(problems, "f:7: peers: ", "list"));
	CU_ASSERT_TRUE(has_problem(problems, "f:8: log.level: ", "mean debug"));
	CU_ASSERT_TRUE(has_problem(problems, "f:10: timing.poll_ms: ", "100"));
	CU_ASSERT_TRUE(has_problem(problems, "f:11: timing.renew_ms: ", "100"));
	CU_ASSERT_TRUE(
	    has_problem(problems, "f:12: timing.death_ms: ", "late heartb"));
	CU_ASSERT_TRUE(
	    has_problem(problems, "f:13: timing.poll_ms: ", "line 10"));
	CU_ASSERT_TRUE(
	    has_problem(problems, "f:14: timing.lease_urgent_ms: ", "lost"));
	CU_ASSERT_TRUE(has_problem(
	    problems, "f:15: limits.pendign_jobs: ", "limits.pending_jobs"));
	CU_ASSERT_TRUE(has_problem(
	    problems, "f:16: policy.retry_budget_percent: ", "0 to 100"));
	CU_ASSERT_TRUE(has_problem(problems, "f:17: node.name: ", "line 2"));
	g_ptr_array_unref(problems);
}

/* Guards against YAML constructs that the parser does not expect. */
static void
test_odd_documents_are_refused(void)
{
	static const char *const texts[] = {"", "a", "- a", "[[[]]]", "{}: {}",
	    "node: {name: &x a, zone: *x}", "? [a]\n: b", "node: [[a], {b: c}]",
	    "---\nnode: {}\n---\nnode: {}", "node:\n\tname: x", "{{a: b}: c}",
	    "node: {a: {b: {c: d}}}", "*x : *x", "\xff"};
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(texts); i++) {
		bp_settings_t *settings = NULL;
		bp_error_t err = {0};

		CU_ASSERT_EQUAL(bp_settings_parse(&settings, "f", texts[i],
				    strlen(texts[i]), NULL, &err),
		    BP_EINVALID);
		CU_ASSERT_TRUE(g_str_has_prefix(err.message, "f:"));
	}
}

/* Guards against out-of-bounds reads on randomly corrupted files. */
static void
test_mutated_files_are_safe(void)
{
	bp_random_t random;
	int i;

	bp_random_init(&random, MUTATION_SEED);
	for (i = 0; i < MUTATIONS; i++) {
		GString *text = g_string_new_len(sample, sizeof(sample) - 1);
		uint32_t edits = 1 + bp_random_below(&random, 4);
		bp_settings_t *settings = NULL;
		bp_error_t err = {0};
		int rc;

		while (edits-- > 0) {
			gsize at =
			    bp_random_below(&random, (uint32_t)text->len);

			if (bp_random_below(&random, 2) == 0)
				text->str[at] = "[]{}:,-&*\"'\n\t #|>%@\xc3\0a1"
				    [bp_random_below(&random, 23)];
			else
				g_string_erase(text, (gssize)at, 1);
		}
		rc = bp_settings_parse(
		    &settings, "f", text->str, text->len, NULL, &err);
		CU_ASSERT_EQUAL(rc == BP_OK, settings != NULL);
		bp_settings_free(settings);
		g_string_free(text, TRUE);
	}
}

/* Parses the settings of a queue node with this share of a processor. */
static int
parse_share(const char *share, uint32_t *milli)
{
	bp_settings_t *settings = NULL;
	bp_error_t err = {0};
	char *text = g_strdup_printf(
	    "node: {name: a, zone: z, services: [queues], processor_share: %s, "
	    "processors: 2}\n"
	    "listen: {queues: 127.0.0.1:1, control: 127.0.0.1:2}\n"
	    "platform: {store: 127.0.0.1:3}\n",
	    share);
	int rc = bp_settings_parse(
	    &settings, "a.yaml", text, strlen(text), NULL, &err);

	*milli = settings != NULL
	    ? settings->node.processor_share_milli * settings->node.processors
	    : 0;
	bp_settings_free(settings);
	g_free(text);
	return rc;
}

/* Guards against shares truncated to integers or without bounds. */
static void
test_shares_are_fractions(void)
{
	static const char *const bad[] = {"0", "-0.5", "1.01", "nan", "inf",
	    "half", "0.5x", "\"0.5\"", "\"\""};
	uint32_t milli;
	size_t i;

	CU_ASSERT_EQUAL(parse_share("0.12", &milli), BP_OK);
	CU_ASSERT_EQUAL(milli, 240);
	CU_ASSERT_EQUAL(parse_share("1", &milli), BP_OK);
	CU_ASSERT_EQUAL(milli, 2000);
	for (i = 0; i < G_N_ELEMENTS(bad); i++)
		CU_ASSERT_EQUAL(parse_share(bad[i], &milli), BP_EINVALID);
}

/* Parses the settings of a queue node with this value of large task planning;
 * NULL for none. */
static int
parse_planning(const char *value, bool *enabled)
{
	bp_settings_t *settings = NULL;
	bp_error_t err = {0};
	char *text = g_strdup_printf(
	    "node: {name: a, zone: z, services: [queues]}\n"
	    "listen: {queues: 127.0.0.1:1, control: 127.0.0.1:2}\n"
	    "platform: {store: 127.0.0.1:3}\n"
	    "%s%s\n",
	    value != NULL ? "queues:\n  large_task_planning: " : "",
	    value != NULL ? value : "");
	int rc = bp_settings_parse(
	    &settings, "a.yaml", text, strlen(text), NULL, &err);

	*enabled = settings != NULL && settings->queues.large_task_planning;
	bp_settings_free(settings);
	g_free(text);
	return rc;
}

/* Guards against a switch that is on by default, or on by a misspelt value. */
static void
test_switches_are_true_or_false(void)
{
	static const char *const bad[] = {
	    "yes", "1", "True", "\"true\"", "\"\"", "[true]"};
	bool enabled;
	size_t i;

	CU_ASSERT_EQUAL(parse_planning(NULL, &enabled), BP_OK);
	CU_ASSERT_FALSE(enabled);
	CU_ASSERT_EQUAL(parse_planning("false", &enabled), BP_OK);
	CU_ASSERT_FALSE(enabled);
	CU_ASSERT_EQUAL(parse_planning("true", &enabled), BP_OK);
	CU_ASSERT_TRUE(enabled);
	for (i = 0; i < G_N_ELEMENTS(bad); i++)
		CU_ASSERT_EQUAL(parse_planning(bad[i], &enabled), BP_EINVALID);
}

int
main(void)
{
	CU_TestInfo tests[] = {
	    {"sample", test_sample_is_read},
	    {"all problems", test_all_problems_are_reported},
	    {"odd documents", test_odd_documents_are_refused},
	    {"shares are fractions", test_shares_are_fractions},
	    {"switches are true or false", test_switches_are_true_or_false},
	    {"mutations", test_mutated_files_are_safe},
	    CU_TEST_INFO_NULL,
	};

	return bp_test_main("settings", tests);
}
