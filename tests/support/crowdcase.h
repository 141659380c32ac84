#ifndef BP_TESTS_CROWDCASE_H
#define BP_TESTS_CROWDCASE_H

#include "support/crowd.h"
#include "support/queuenodes.h"

/* Memory of the smallest machine. */
#define BP_CROWDCASE_MACHINE_KB (160 * 1024)

/* An address of a node that serves HTTP. */
typedef struct {
	const char *name; /* for files */
	bp_listener_t listener;
	const char *path;
} bp_crowdcase_address_t;

extern const bp_crowdcase_address_t bp_crowdcase_route;
extern const bp_crowdcase_address_t bp_crowdcase_no_route;
extern const bp_crowdcase_address_t bp_crowdcase_ready;
extern const bp_crowdcase_address_t bp_crowdcase_metrics;

/*
 * Sets a crowd on one node with default limits. Checks that the node serves
 * beside the crowd and after it, and that its memory has stayed below that of
 * the smallest machine.
 */
void bp_crowdcase_run(const char *kind, const char *address,
    bp_listener_t listener, bp_crowd_options_t *options);
/* The same with a request's head up to these fields. */
void bp_crowdcase_run_http(const char *kind,
    const bp_crowdcase_address_t *address, const char *method,
    const char *fields, bp_crowd_options_t *options);
/* Returns the start of a request; freed with g_free. */
char *bp_crowdcase_head(const char *method,
    const bp_crowdcase_address_t *address, const char *fields);

/* Defines a test for each address from a function that takes it. */
#define BP_CROWDCASE_AT(kind)                    \
	static void test_##kind##_route(void)    \
	{                                        \
		kind(&bp_crowdcase_route);       \
	}                                        \
	static void test_##kind##_no_route(void) \
	{                                        \
		kind(&bp_crowdcase_no_route);    \
	}                                        \
	static void test_##kind##_ready(void)    \
	{                                        \
		kind(&bp_crowdcase_ready);       \
	}                                        \
	static void test_##kind##_metrics(void)  \
	{                                        \
		kind(&bp_crowdcase_metrics);     \
	}
#define BP_CROWDCASE_TESTS(kind)                                \
	{#kind " at a route", test_##kind##_route},             \
	    {#kind " without a route", test_##kind##_no_route}, \
	    {#kind " at readiness", test_##kind##_ready},       \
	{                                                       \
#kind " at metrics", test_##kind##_metrics      \
	}

#endif
