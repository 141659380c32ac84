#ifndef BP_TESTS_RUNNER_H
#define BP_TESTS_RUNNER_H

#include <CUnit/CUnit.h>

/* Runs one suite; tests ends with CU_TEST_INFO_NULL. Returns exit status. */
int bp_test_main(const char *suite, CU_TestInfo *tests);

#endif
