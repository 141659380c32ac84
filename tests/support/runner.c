#include "support/runner.h"

#include <CUnit/Basic.h>
#include <stdio.h>

/* One line a failed test, however many of its checks failed. */
static void
print_failed(const char *suite)
{
	CU_pFailureRecord failure = CU_get_failure_list();
	CU_pTest last = NULL;

	for (; failure != NULL; failure = failure->pNext) {
		if (failure->pTest != NULL && failure->pTest != last)
			printf("FAILED-TEST %s/%s\n", suite,
			    failure->pTest->pName);
		last = failure->pTest;
	}
}

/*
 * Runs the tests of one suite and prints "RESULT suite passed failed", which
 * scripts/check adds up. Exits non-zero when a test failed or none ran.
 */
int
bp_test_main(const char *suite, CU_TestInfo *tests)
{
	CU_SuiteInfo suites[] = {
	    {suite, NULL, NULL, NULL, NULL, tests}, CU_SUITE_INFO_NULL};
	unsigned int failed;
	unsigned int run;

	if (CU_initialize_registry() != CUE_SUCCESS)
		return 1;
	if (CU_register_suites(suites) != CUE_SUCCESS)
		return 1;
	CU_basic_set_mode(CU_BRM_VERBOSE);
	CU_basic_run_tests();
	run = CU_get_number_of_tests_run();
	failed = CU_get_number_of_tests_failed();
	print_failed(suite);
	printf("RESULT %s %u %u\n", suite, run - failed, failed);
	CU_cleanup_registry();
	return run == 0 || failed > 0;
}
