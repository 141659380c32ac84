#include "bulrushpost/hash.h"
#include "bulrushpost/reason.h"
#include "bulrushpost/resources.h"
#include "support/model.h"
#include "support/runner.h"

#include <string.h>

#define SEEDS 4000U
#define RULES_MAX 8U
#define NONE_LEFT G_MAXUINT

static bp_model_t model;
static bp_reason_input_t input;
static GHashTable *unreachable; /* names of VMs */

static const char *const rule_lines[RULES_MAX] = {
    "team feed quota cpu=5 memory=9G accelerators=1  # ola\n",
    "class batch headroom 10%  # jan\n",
    "job target only zone z0  # ola\n",
    "job target never rack z1/r0  # ola\n",
    "job tar* never vm vm2,vm3  # ewa\n",
    "team feed spread 1 per zone  # ola\n",
    "class batch apart from class service  # ewa\n",
    "job target spread 1 per rack  # ewa\n",
};

static bool
reachable(const bp_vm_t *vm, void *data)
{
	(void)data;
	return !g_hash_table_contains(unreachable, vm->name);
}

static void
publish(uint32_t lines)
{
	GString *text = g_string_new(NULL);
	uint32_t i;

	for (i = 0; i < RULES_MAX; i++)
		g_string_append(
		    text, (lines & (1U << i)) != 0 ? rule_lines[i] : "#\n");
	CU_ASSERT_EQUAL_FATAL(bp_model_rules(&model, text->str), BP_OK);
	g_string_free(text, TRUE);
}

static void
add_vms(bp_random_t *random)
{
	uint32_t n = 3 + bp_random_below(random, 5);
	uint32_t i;

	for (i = 0; i < n; i++) {
		char *name = g_strdup_printf("vm%u", i);
		char *rack = g_strdup_printf("z%u/r%u", i % 2, i / 2 % 2);

		bp_model_vm(&model, name, rack,
		    2000 * (1 + bp_random_below(random, 4)), 8000,
		    bp_random_below(random, 2));
		if (bp_random_below(random, 6) == 0)
			g_hash_table_add(unreachable, g_strdup(name));
		g_free(name);
		g_free(rack);
	}
}

static void
fill(bp_random_t *random)
{
	bp_job_t *target = bp_model_job(&model, "target", "feed",
	    BP_CLASS_BATCH, 4, 500 * (1 + bp_random_below(random, 12)), 1000);
	bp_job_t *watch = bp_model_job(
	    &model, "watch", "hive", BP_CLASS_SERVICE, 6, 1500, 3000);
	GHashTableIter iter;
	gpointer vm;
	uint32_t i;

	for (i = 0; i < 6; i++) {
		g_hash_table_iter_init(&iter, bp_state_vms(model.state));
		while (g_hash_table_iter_next(&iter, NULL, &vm)) {
			if (bp_hash_text(((bp_vm_t *)vm)->name, i) % 3 == 0)
				bp_model_assign(&model, watch, i, 1, vm);
			if (i < 2 &&
			    bp_hash_text(((bp_vm_t *)vm)->name, i) % 4 == 1)
				bp_model_assign(&model, target, i, 1, vm);
		}
	}
}

/* Equal seeds build equal states. */
static void
build(uint32_t seed)
{
	bp_random_t random;
	uint32_t rules;

	bp_random_init(&random, seed);
	bp_model_init(&model);
	unreachable =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	add_vms(&random);
	fill(&random);
	rules = (uint32_t)bp_random_next(&random);
	rules &= (uint32_t)bp_random_next(&random);
	publish(rules & ((1U << RULES_MAX) - 1));
	if (bp_random_below(&random, 3) == 0)
		bp_model_zone(&model, "z0", true);
	if (bp_random_below(&random, 4) == 0)
		bp_model_zone(&model, "z1", true);
	if (bp_random_below(&random, 2) == 0)
		bp_model_hold(&model, bp_state_vm(model.state, "vm0"),
		    BP__LOG__HOLD_CAUSE__HOLD_QUARANTINED);
	if (bp_random_below(&random, 4) == 0)
		bp_model_release(&model, "z1/r0");
	memset(&input, 0, sizeof(input));
	input.reachable = reachable;
	input.log_unavailable = bp_random_below(&random, 8) == 0;
	input.draining = bp_random_below(&random, 8) == 0;
	input.turn = bp_random_below(&random, 8) == 0;
}

static void
clear(void)
{
	g_hash_table_unref(unreachable);
	bp_model_clear(&model);
}

/* Computes the placement decision without the code of the reasons. */
static bool
can_move(void)
{
	bp_job_t *job = bp_state_job(model.state, "target");
	GHashTableIter iter;
	gpointer vm;

	if (input.log_unavailable || input.draining || input.turn)
		return false;
	g_hash_table_iter_init(&iter, bp_state_vms(model.state));
	while (g_hash_table_iter_next(&iter, NULL, &vm)) {
		if (bp_eligibility_check(model.state, job, vm, NULL) == 0 &&
		    reachable(vm, NULL))
			return true;
	}
	return false;
}

static void
remove_rule(const bp_rule_t *rule)
{
	const bp_rules_version_t *current = bp_state_rules(model.state);
	char **lines = g_strsplit(current->text, "\n", -1);
	char *text;

	g_free(lines[rule->line - 1]);
	lines[rule->line - 1] = g_strdup("#");
	text = g_strjoinv("\n", lines);
	CU_ASSERT_EQUAL_FATAL(bp_model_rules(&model, text), BP_OK);
	g_free(text);
	g_strfreev(lines);
}

static void
remove_cause(const bp_exclusion_t *one)
{
	bp_vm_t *vm = (bp_vm_t *)one->vm;
	bp_rack_t *rack = (bp_rack_t *)one->rack;

	switch (one->cause) {
	case BP_CAUSE_NEVER_FITS:
		vm->capacity = bp_resources_sum(&vm->capacity, &one->shortfall);
		break;
	case BP_CAUSE_NO_CAPACITY:
		vm->used = bp_resources_excess(&vm->used, &one->shortfall);
		break;
	case BP_CAUSE_QUOTA:
	case BP_CAUSE_RULE:
	case BP_CAUSE_HEADROOM:
		remove_rule(one->rule);
		break;
	case BP_CAUSE_ZONE_OUT:
		bp_model_zone(&model, one->zone->name, false);
		break;
	case BP_CAUSE_VM_HOLD:
		vm->hold = BP__LOG__HOLD_CAUSE__HOLD_NONE;
		break;
	case BP_CAUSE_NO_OWNER:
		rack->owner = g_strdup("n2");
		rack->released = false;
		break;
	case BP_CAUSE_VM_UNREACHABLE:
		g_hash_table_remove(unreachable, vm->name);
		break;
	case BP_CAUSE_LOG_UNAVAILABLE:
		input.log_unavailable = false;
		break;
	case BP_CAUSE_DRAINING:
		input.draining = false;
		break;
	case BP_CAUSE_TURN:
		input.turn = false;
		break;
	default:
		CU_FAIL("a cause that the test does not build");
		break;
	}
}

/* Removes all stated causes but one; returns whether the task can start. */
static bool
moves_without(uint32_t seed, guint left, guint *n_causes, uint32_t *seen)
{
	bp_reason_t *reason = NULL;
	bool moves;
	guint i;

	build(seed);
	CU_ASSERT_EQUAL_FATAL(
	    bp_reason_explain(&reason, model.state, "target", 3, &input, NULL),
	    BP_OK);
	*n_causes = reason->causes->len;
	CU_ASSERT_EQUAL(
	    reason->kind, can_move() ? BP_REASON_READY : BP_REASON_WAITING);
	for (i = 0; i < reason->causes->len; i++) {
		const bp_exclusion_t *one =
		    &g_array_index(reason->causes, bp_reason_cause_t, i)
			 .exclusion;

		*seen |= one->cause;
		if (i != left)
			remove_cause(one);
	}
	moves = can_move();
	bp_reason_free(reason);
	clear();
	return moves;
}

/*
 * Guards against wrong or superfluous causes: without the stated causes the
 * task must be able to start, with any one of them it must not.
 */
static void
test_reasons_are_true_and_minimal(void)
{
	uint32_t seen = 0;
	guint n_causes;
	uint32_t seed;
	guint i;

	for (seed = 1; seed <= SEEDS; seed++) {
		if (!moves_without(seed, NONE_LEFT, &n_causes, &seen)) {
			printf("seed %u: not true\n", seed);
			CU_FAIL("the task cannot start without the causes");
		}
		for (i = 0; i < n_causes; i++) {
			if (!moves_without(seed, i, &n_causes, &seen))
				continue;
			printf("seed %u: cause %u is not needed\n", seed, i);
			CU_FAIL("the task can start with one cause left");
		}
	}
	CU_ASSERT_EQUAL(seen,
	    BP_CAUSE_NEVER_FITS | BP_CAUSE_NO_CAPACITY | BP_CAUSE_QUOTA |
		BP_CAUSE_RULE | BP_CAUSE_ZONE_OUT | BP_CAUSE_TURN |
		BP_CAUSE_VM_HOLD | BP_CAUSE_HEADROOM | BP_CAUSE_NO_OWNER |
		BP_CAUSE_VM_UNREACHABLE | BP_CAUSE_LOG_UNAVAILABLE |
		BP_CAUSE_DRAINING);
}

/* Guards against an explanation without the author or time of a change. */
static void
test_text_states_the_facts(void)
{
	bp_reason_t *reason = NULL;
	char *text;
	char *json;

	memset(&input, 0, sizeof(input));
	input.log_unavailable = true;
	input.log_down_since_ms = 1000000;
	bp_model_init(&model);
	bp_model_vm(&model, "a1", "za/r1", 4000, 8000, 0);
	bp_model_vm(&model, "a2", "za/r1", 4000, 8000, 0);
	bp_model_job(&model, "mix", "feed", BP_CLASS_BATCH, 1, 1000, 1000);
	bp_model_zone(&model, "za", true);
	bp_reason_explain(&reason, model.state, "mix", 0, &input, NULL);
	text = bp_reason_text(reason);
	json = bp_reason_json(reason);
	CU_ASSERT_PTR_NOT_NULL(strstr(text, "taken out of service by ola"));
	CU_ASSERT_PTR_NOT_NULL(strstr(text, "switch work"));
	CU_ASSERT_PTR_NOT_NULL(strstr(text, "since 1970-01-01 00:16:40 UTC"));
	CU_ASSERT_PTR_NOT_NULL(strstr(text, "on 2 of 2 VMs"));
	CU_ASSERT_PTR_NOT_NULL(strstr(json, "\"taken_out_by\":\"ola\""));
	CU_ASSERT_PTR_NOT_NULL(strstr(json, "\"cause\":\"log_unavailable\""));
	printf("%s%s\n", text, json);
	g_free(text);
	g_free(json);
	bp_reason_free(reason);
	bp_model_clear(&model);
}

/* Guards against rejecting a job that fits or naming a size that does not. */
static void
test_refusal_names_the_nearest_size(void)
{
	bp_job_t job = {.size = {20000, 4000, 0}};
	bp_error_t err;

	bp_model_init(&model);
	CU_ASSERT_EQUAL(bp_reason_check_size(model.state, &job, &err), BP_OK);
	bp_model_vm(&model, "a1", "za/r1", 16000, 8192, 0);
	bp_model_vm(&model, "a2", "za/r1", 20000, 1024, 0);
	CU_ASSERT_EQUAL(
	    bp_reason_check_size(model.state, &job, &err), BP_EREFUSED);
	CU_ASSERT_PTR_NOT_NULL(strstr(err.message, "(VM a1)"));
	CU_ASSERT_PTR_NOT_NULL(strstr(err.message, "is 16 processors"));
	job.size.cpu_milli = 16000;
	CU_ASSERT_EQUAL(bp_reason_check_size(model.state, &job, &err), BP_OK);
	bp_model_clear(&model);
}

int
main(void)
{
	CU_TestInfo tests[] = {
	    {"reasons are true and minimal", test_reasons_are_true_and_minimal},
	    {"text states the facts", test_text_states_the_facts},
	    {"refusal names nearest size", test_refusal_names_the_nearest_size},
	    CU_TEST_INFO_NULL,
	};

	return bp_test_main("reason", tests);
}
