#include "bulrushpost/hash.h"
#include "bulrushpost/rules.h"
#include "support/runner.h"

#include <glib.h>
#include <string.h>

#define MUTATIONS 4000
#define MUTATION_SEED 20261204

static const char sample[] =
    "team pszczoły quota cpu=12.5 memory=64G accelerators=2  # Zofia, ops\n"
    "team pszczoły weight 3 # Zofia\n"
    "\n"
    "job cysterna-* only zone wlkp-1,wlkp-2 # Bartłomiej\r\n"
    "class batch never rack wlkp-1/r2 # ops\n"
    "class service spread 4 per rack # ops\n"
    "team a apart from job b? # Ann\n"
    "class batch headroom 15% # ops\n";

static const char *const zones[] = {"wlkp-1", "wlkp-2", "wlkp-3", NULL};
static const char *const racks[] = {
    "wlkp-1/r1", "wlkp-1/r2", "wlkp-2/r1", "wlkp-3/r1", NULL};
static const char *const vms[] = {"w-01", "w-02", NULL};
static const bp_rules_known_names_t names = {zones, racks, vms};

static int
parse(bp_rules_t **out, const char *text, bp_error_t *err)
{
	return bp_rules_parse(out, text, strlen(text), &names, err);
}

/* Guards against a rule parsed as another kind or with other amounts. */
static void
test_sample_is_read_as_written(void)
{
	bp_rules_t *rules = NULL;
	const bp_rule_t *rule;
	bp_error_t err = {0};

	CU_ASSERT_EQUAL_FATAL(parse(&rules, sample, &err), BP_OK);
	CU_ASSERT_EQUAL_FATAL(bp_rules_count(rules), 7);
	rule = bp_rules_team(rules, BP_RULE_QUOTA, "pszczoły");
	CU_ASSERT_PTR_EQUAL_FATAL(rule, bp_rules_at(rules, 0));
	CU_ASSERT_EQUAL(rule->as.quota.cpu_milli, 12500);
	CU_ASSERT_EQUAL(rule->as.quota.memory_mib, 65536);
	CU_ASSERT_EQUAL(rule->as.quota.accelerators, 2);
	CU_ASSERT_STRING_EQUAL(rule->requested_by, "Zofia, ops");
	rule = bp_rules_team(rules, BP_RULE_WEIGHT, "pszczoły");
	CU_ASSERT_EQUAL(rule->as.weight, 3);
	rule = bp_rules_at(rules, 2);
	CU_ASSERT_EQUAL(rule->line, 4);
	CU_ASSERT_STRING_EQUAL(rule->as.places.names[1], "wlkp-2");
	CU_ASSERT_EQUAL(bp_rules_at(rules, 3)->as.places.scope, BP_SCOPE_RACK);
	CU_ASSERT_EQUAL(bp_rules_at(rules, 4)->as.spread.at_most, 4);
	CU_ASSERT_STRING_EQUAL(bp_rules_at(rules, 5)->as.apart_from.name, "b?");
	CU_ASSERT_EQUAL(bp_rules_at(rules, 6)->as.headroom_percent, 15);
	CU_ASSERT_PTR_NULL(bp_rules_at(rules, 7));
	bp_rules_free(rules);
}

/* Guards against an accepted invalid line and an error without advice. */
static void
test_bad_lines_are_refused_with_advice(void)
{
	static const struct {
		const char *text;
		const char *start;
		const char *part;
	} cases[] = {
	    {"team a weight 2", "line 1: team a weight 2: ", "who asked"},
	    {"team a weight 2 #  ", "line 1: ", "who asked"},
	    {"\nteam a wieght 2 # x", "line 2: wieght: ", "mean weight?"},
	    {"tema a weight 2 # x", "line 1: tema: ", "mean team?"},
	    {"class btach headroom 5% # x", "line 1: btach: ", "mean batch?"},
	    {"team a weight 0 # x", "line 1: 0: ", "1 to 1000"},
	    {"team a weight # x", "line 1: end of line: ", "1 to 1000"},
	    {"team a quota cpu=1 memory=1 accelerators=0 # x",
		"line 1: memory=1: ", "suffix M"},
	    {"team a quota cpu=1.2345 memory=1G accelerators=0 # x",
		"line 1: cpu=1.2345: ", "three decimals"},
	    {"team a quota cpu=9999999999 memory=1G accelerators=0 # x",
		"line 1: cpu=9999999999: ", "processors"},
	    {"team a quota memory=1G accelerators=0 # x", "line 1: end of l",
		"all of cpu=N"},
	    {"team a quota cpu=1 cpu=2 memory=1G accelerators=0 # x",
		"line 1: cpu=2: ", "once"},
	    {"class batch quota cpu=1 memory=1G accelerators=0 # x",
		"line 1: class: ", "team NAME"},
	    {"class batch headroom 91% # x", "line 1: 91%: ", "0 to 90"},
	    {"class service headroom 5% # x", "line 1: class: ", "class batch"},
	    {"team a spread 0 per rack # x", "line 1: 0: ", "from 1"},
	    {"team a spread 2 per vm # x", "line 1: vm: ", "rack|zone"},
	    {"team a only zone wlkp-4 # x", "line 1: wlkp-4: ", "mean wlkp-1?"},
	    {"team a never rack r2 # x", "line 1: r2: ", "mean wlkp-1/r2?"},
	    {"team a never vm w-01,w-01 # x", "line 1: w-01: ", "once"},
	    {"team a never vm w-01, w-02 # x", "line 1: w-01,: ", "comma"},
	    {"job a[bc] weight 1 # x", "line 1: a[bc]: ", "wildcards"},
	    {"team a apart form team b # x", "line 1: form: ", "apart from"},
	    {"team a weight 1 2 # x", "line 1: 2: ", "nothing may follow"},
	    {"team a weight 1 # x\nteam a weight 2 # y", "line 2: ", "line 1"},
	    {"team a apart from team b # x\nteam b apart from team a # y",
		"line 2: ", "line 1"},
	    {"team a only zone wlkp-1 # x\nteam a never zone wlkp-1 # y",
		"line 2: ", "no place"},
	    {"team a only zone wlkp-1 # x\nteam a only zone wlkp-2 # y",
		"line 2: ", "no place"},
	    {"team a only rack wlkp-1/r1 # x\nteam a never zone wlkp-1 # y",
		"line 2: ", "no place"},
	    {"team a never zone wlkp-1,wlkp-2,wlkp-3 # x",
		"line 1: ", "every known place"},
	    {"team \x01 weight 1 # x", "line 1: control", "printable"},
	    {"team a weight 1 # \xff", "line 1: byte 0xff: ", "UTF-8"},
	};
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(cases); i++) {
		bp_rules_t *rules = NULL;
		bp_error_t err = {0};

		CU_ASSERT_EQUAL(
		    parse(&rules, cases[i].text, &err), BP_EINVALID);
		CU_ASSERT_PTR_NULL(rules);
		if (!g_str_has_prefix(err.message, cases[i].start) ||
		    strstr(err.message, cases[i].part) == NULL) {
			g_printerr("case %zu: %s\n", i, err.message);
			CU_FAIL("message");
		}
	}
}

/* Guards against rejecting rules that only look contradictory. */
static void
test_compatible_rules_are_accepted(void)
{
	static const char text[] = "team a only zone wlkp-1,wlkp-2 # x\n"
				   "team a never zone wlkp-1 # x\n"
				   "team b never zone wlkp-2 # x\n"
				   "class batch never zone wlkp-1,wlkp-3 # x\n"
				   "# a heading\n"
				   "team a spread 2 per rack # x\n"
				   "team a spread 9 per zone # x\n";
	bp_rules_t *rules = NULL;
	bp_error_t err = {0};

	CU_ASSERT_EQUAL(parse(&rules, text, &err), BP_OK);
	CU_ASSERT_EQUAL(bp_rules_count(rules), 6);
	bp_rules_free(rules);
	CU_ASSERT_EQUAL(
	    bp_rules_parse(&rules, "team a only zone x # y", 22, NULL, &err),
	    BP_OK);
	bp_rules_free(rules);
}

/* Guards against a pattern that matches part of a name or splits UTF-8. */
static void
test_patterns_match_whole_characters(void)
{
	bp_subject_t subject = {BP_SUBJECT_JOB, NULL, BP_CLASS_BATCH};
	static const struct {
		const char *pattern;
		const char *name;
		bool matches;
	} cases[] = {{"a?c", "ażc", true}, {"a?c", "ac", false},
	    {"a*", "a", true}, {"*-mix", "łódź-mix", true},
	    {"*a*b", "xxaxab", true}, {"*a*b", "xxaxabc", false},
	    {"abc", "abcd", false}, {"?", "ż", true}, {"", "", true},
	    {"**", "x", true}};
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(cases); i++) {
		subject.name = (char *)cases[i].pattern;
		CU_ASSERT_EQUAL(bp_subject_matches(&subject, "t", cases[i].name,
				    BP_CLASS_BATCH),
		    cases[i].matches);
	}
}

/* Guards against a slow parse, as each node parses the file from the log. */
static void
test_largest_file_is_parsed_quickly(void)
{
	GString *text = g_string_new(NULL);
	bp_rules_t *rules = NULL;
	bp_error_t err = {0};
	int64_t start_us = g_get_monotonic_time();
	unsigned int i;

	for (i = 0; text->len < BP_RULES_MAX_BYTES - 32; i++)
		g_string_append_printf(text, "job a never vm v%u # o\n", i);
	CU_ASSERT_EQUAL(
	    bp_rules_parse(&rules, text->str, text->len, NULL, &err), BP_OK);
	bp_rules_free(rules);
	CU_ASSERT_TRUE(g_get_monotonic_time() - start_us < 2 * G_USEC_PER_SEC);
	while (text->len <= BP_RULES_MAX_BYTES)
		g_string_append_c(text, '\n');
	CU_ASSERT_EQUAL(
	    bp_rules_parse(&rules, text->str, text->len, NULL, &err),
	    BP_ETOOLARGE);
	g_string_free(text, TRUE);
}

static void
mutate(bp_random_t *random, GString *text)
{
	uint32_t edits = 1 + bp_random_below(random, 4);

	while (edits-- > 0 && text->len > 0) {
		gsize at = bp_random_below(random, (uint32_t)text->len);

		switch (bp_random_below(random, 3)) {
		case 0:
			text->str[at] = (char)bp_random_next(random);
			break;
		case 1:
			g_string_erase(text, (gssize)at, 1);
			break;
		default:
			g_string_insert_len(
			    text, (gssize)at, text->str, MIN(text->len, 9));
			break;
		}
	}
}

/* Guards against out-of-bounds reads and results that are not repeatable. */
static void
test_mutated_files_are_safe_and_deterministic(void)
{
	bp_random_t random;
	int i;

	bp_random_init(&random, MUTATION_SEED);
	for (i = 0; i < MUTATIONS; i++) {
		GString *text = g_string_new_len(sample, sizeof(sample) - 1);
		bp_rules_t *first = NULL;
		bp_rules_t *second = NULL;
		bp_error_t err_first = {0};
		bp_error_t err_second = {0};
		int rc;

		mutate(&random, text);
		rc = bp_rules_parse(
		    &first, text->str, text->len, &names, &err_first);
		CU_ASSERT_EQUAL(bp_rules_parse(&second, text->str, text->len,
				    &names, &err_second),
		    rc);
		CU_ASSERT_EQUAL(bp_rules_count(first), bp_rules_count(second));
		CU_ASSERT_STRING_EQUAL(err_first.message, err_second.message);
		if (rc != BP_OK)
			CU_ASSERT_PTR_NOT_NULL(strstr(err_first.message, ": "));
		bp_rules_free(first);
		bp_rules_free(second);
		g_string_free(text, TRUE);
	}
}

int
main(void)
{
	CU_TestInfo tests[] = {
	    {"sample", test_sample_is_read_as_written},
	    {"bad lines", test_bad_lines_are_refused_with_advice},
	    {"compatible rules", test_compatible_rules_are_accepted},
	    {"patterns", test_patterns_match_whole_characters},
	    {"largest file", test_largest_file_is_parsed_quickly},
	    {"mutations", test_mutated_files_are_safe_and_deterministic},
	    CU_TEST_INFO_NULL,
	};

	return bp_test_main("rules", tests);
}
