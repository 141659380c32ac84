#include "bulrushpost/eviction.h"
#include "support/model.h"
#include "support/runner.h"

#include <string.h>

#define REPORT_MS 1500
#define LAG_MS 3000

static bp_eviction_options_t options;
static bp_interference_t *interference;
static bp_eviction_t *eviction;
static GArray *mitigations;
static int64_t now_ms;

static void
setup(void)
{
	bp_interference_options_t interference_options;

	bp_interference_options_init(&interference_options);
	interference = bp_interference_new(&interference_options);
	bp_eviction_options_init(&options);
	eviction = bp_eviction_new(&options);
	mitigations = g_array_new(FALSE, FALSE, sizeof(bp_act_t));
	now_ms = 1000000;
}

static void
clear(void)
{
	g_array_unref(mitigations);
	bp_eviction_free(eviction);
	bp_interference_free(interference);
}

/* Sends reports of one VM for a time; the mitigations add up. */
static void
report_for(int64_t duration_ms, double slowdown, const char *const *kinds,
    size_t n_kinds)
{
	bp_victim_t service = {"match", slowdown, 0.3};
	bp_suspect_t batch_tasks[4];
	bp_vm_report_t report = {"vm1", 0, &service, 1, batch_tasks, n_kinds};
	int64_t end_ms = now_ms + duration_ms;
	size_t i;

	for (i = 0; i < n_kinds; i++)
		batch_tasks[i] = (bp_suspect_t){kinds[i], kinds[i], 0, 1};
	for (; now_ms < end_ms; now_ms += REPORT_MS) {
		report.at_ms = now_ms - LAG_MS;
		bp_eviction_report(
		    eviction, interference, &report, now_ms, mitigations);
	}
}

static const bp_act_t *
mitigation_at(guint i)
{
	return &g_array_index(mitigations, bp_act_t, i);
}

static const char *const mix[] = {"mix"};
static const char *const both[] = {"mix", "roster"};

/* Trains the model: "mix" slows the service down, "roster" does not. */
static void
train(void)
{
	int i;

	for (i = 0; i < 30; i++) {
		bp_neighbour_t cause = {"mix", 1.0};
		bp_neighbour_t unrelated = {"roster", 1.0};

		now_ms += REPORT_MS;
		bp_interference_report(
		    interference, "match", 2.2, 0.3, &cause, 1, now_ms);
		now_ms += REPORT_MS;
		bp_interference_report(
		    interference, "match", 1.0, 0.3, &unrelated, 1, now_ms);
	}
}

/* Guards against eviction as the first mitigation or after one report. */
static void
test_escalates_in_order(void)
{
	setup();
	train();
	report_for(REPORT_MS, 2.2, both, 2);
	CU_ASSERT_EQUAL(mitigations->len, 0);
	report_for(30000, 2.2, both, 2);
	CU_ASSERT_TRUE(mitigations->len >= 2);
	CU_ASSERT_EQUAL(mitigation_at(0)->kind, BP_ACT_THROTTLE);
	CU_ASSERT_STRING_EQUAL(mitigation_at(0)->job, "mix");
	CU_ASSERT_EQUAL(mitigation_at(1)->kind, BP_ACT_CHECKPOINT_STOP);
	CU_ASSERT_STRING_EQUAL(mitigation_at(1)->job, "mix");
	report_for(60000, 2.2, mix, 1);
	CU_ASSERT_EQUAL(mitigation_at(mitigations->len - 1)->kind, BP_ACT_STOP);
	clear();
}

/* Guards against stopping batch tasks that did not cause the slowdown. */
static void
test_unrelated_batch_is_never_stopped(void)
{
	guint i;

	setup();
	report_for(60000, 2.2, NULL, 0);
	report_for(120000, 2.2, both, 2);
	report_for(60000, 2.2, NULL, 0);
	report_for(120000, 2.2, both, 2);
	for (i = 0; i < mitigations->len; i++)
		CU_ASSERT_EQUAL(mitigation_at(i)->kind, BP_ACT_THROTTLE);
	clear();
}

/* Guards against throttles that change between the two thresholds. */
static void
test_hysteresis(void)
{
	setup();
	report_for(6 * REPORT_MS, 2.0, mix, 1);
	CU_ASSERT_EQUAL(mitigations->len, 1);
	report_for(120000, 1.35, mix, 1);
	CU_ASSERT_EQUAL(mitigations->len, 1);
	report_for(options.calm_ms - 2 * REPORT_MS, 1.0, mix, 1);
	CU_ASSERT_EQUAL(mitigations->len, 1);
	report_for(4 * REPORT_MS, 1.0, mix, 1);
	CU_ASSERT_EQUAL_FATAL(mitigations->len, 2);
	CU_ASSERT_EQUAL(mitigation_at(1)->throttle_permille, 1000);
	clear();
}

#define VMS 30
#define MINUTES 4

typedef struct {
	char name[8];
	bool throttled;
	bool stopped;
} simulated_vm_t;

/* Reports a VM on which "mix" interferes in proportion to its speed. */
static void
report_simulated(simulated_vm_t *vm, uint32_t task)
{
	double slowdown = vm->stopped ? 1.0 : vm->throttled ? 1.36 : 2.2;
	bp_victim_t service = {"match", slowdown, 0.3};
	bp_suspect_t batch_task = {"mix", "mix", task, 1};
	bp_vm_report_t report = {
	    vm->name, now_ms, &service, 1, &batch_task, vm->stopped ? 0 : 1};
	guint before = mitigations->len;

	bp_eviction_report(
	    eviction, interference, &report, now_ms, mitigations);
	for (; before < mitigations->len; before++) {
		vm->throttled = true;
		vm->stopped |=
		    mitigation_at(before)->kind == BP_ACT_CHECKPOINT_STOP;
	}
}

/* Guards against more evictions per minute than the budget allows. */
static void
test_budget_of_evictions(void)
{
	simulated_vm_t vms[VMS] = {0};
	uint32_t stops = 0;
	uint32_t before = 0;
	int minute;
	uint32_t i;

	setup();
	train();
	for (i = 0; i < VMS; i++)
		g_snprintf(vms[i].name, sizeof(vms[i].name), "vm%u", i);
	for (minute = 0; minute < MINUTES; minute++) {
		int64_t end_ms = now_ms + 60000;

		for (; now_ms < end_ms; now_ms += REPORT_MS) {
			for (i = 0; i < VMS; i++)
				report_simulated(&vms[i], i);
		}
		for (i = 0, stops = 0; i < VMS; i++)
			stops += vms[i].stopped ? 1 : 0;
		CU_ASSERT_TRUE(stops - before <= 2 * options.evictions_per_min);
		before = stops;
	}
	CU_ASSERT_TRUE(stops >= 2 * options.evictions_per_min);
	CU_ASSERT_TRUE(stops <= (MINUTES + 1) * options.evictions_per_min);
	clear();
}

/* Guards against draining a zone all at once, or not at all. */
static void
test_drain_is_bounded_and_complete(void)
{
	bp_model_t model;
	bp_job_t *job;
	bp_job_t *service;
	bp_vm_t *vm;
	int second;

	setup();
	bp_model_init(&model);
	vm = bp_model_vm(&model, "a1", "za/r1", 64000, 64000, 0);
	bp_model_vm(&model, "b1", "zb/r1", 64000, 64000, 0);
	job = bp_model_job(&model, "mix", "t", BP_CLASS_BATCH, 40, 1000, 100);
	service =
	    bp_model_job(&model, "watch", "t", BP_CLASS_SERVICE, 2, 1000, 100);
	bp_model_assign(&model, job, 0, 40, vm);
	bp_model_assign(&model, service, 0, 2, vm);
	bp_eviction_drain(eviction, model.state, "n1",
	    BP_MODEL_INCARNATION + (uint64_t)'1', now_ms, mitigations);
	CU_ASSERT_EQUAL(mitigations->len, 0);
	bp_model_zone(&model, "za", true);
	for (second = 0; second < 30; second++) {
		bp_eviction_drain(eviction, model.state, "n1",
		    BP_MODEL_INCARNATION + (uint64_t)'1', now_ms, mitigations);
		if (second == 0) {
			CU_ASSERT_TRUE(
			    mitigations->len >= 1 && mitigations->len <= 6);
			CU_ASSERT_STRING_EQUAL(mitigation_at(0)->job, "watch");
			CU_ASSERT_STRING_EQUAL(mitigation_at(1)->job, "mix");
		}
		now_ms += 1000;
	}
	CU_ASSERT_EQUAL(mitigations->len, 42);
	bp_model_clear(&model);
	clear();
}

/* Guards against quarantine of a VM for the failures of a single job. */
static void
test_quarantine_needs_two_jobs(void)
{
	bp_vm_t vm = {.failed_streak = 5};

	CU_ASSERT_FALSE(bp_eviction_quarantine_due(&vm, 5));
	vm.failed_several = true;
	CU_ASSERT_TRUE(bp_eviction_quarantine_due(&vm, 5));
	vm.failed_streak = 4;
	CU_ASSERT_FALSE(bp_eviction_quarantine_due(&vm, 5));
	CU_ASSERT_TRUE(bp_eviction_quarantine_due(&vm, 3));
	vm.failed_streak = 9;
	vm.hold = BP__LOG__HOLD_CAUSE__HOLD_QUARANTINED;
	CU_ASSERT_FALSE(bp_eviction_quarantine_due(&vm, 5));
}

int
main(void)
{
	CU_TestInfo tests[] = {
	    {"escalates in order", test_escalates_in_order},
	    {"innocent batch", test_unrelated_batch_is_never_stopped},
	    {"hysteresis", test_hysteresis},
	    {"budget of evictions", test_budget_of_evictions},
	    {"drain", test_drain_is_bounded_and_complete},
	    {"quarantine", test_quarantine_needs_two_jobs},
	    CU_TEST_INFO_NULL,
	};

	return bp_test_main("eviction", tests);
}
