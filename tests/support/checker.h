#ifndef BP_TESTS_CHECKER_H
#define BP_TESTS_CHECKER_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/*
 * Judges from outside: it reads only the histories of workers and executors
 * (JSON of GET /admin/history) and what operators did, never the node.
 */
typedef struct bp_checker bp_checker_t;

/* Longest time (us) in which a zone taken out may still see starts. */
#define BP_CHECKER_ZONE_OUT_US 3000000
/* Longest time (us) in which a leaving endpoint may still get requests. */
#define BP_CHECKER_LEAVING_US 5000000

bp_checker_t *bp_checker_new(void);
void bp_checker_free(bp_checker_t *checker);
/* Zone and capacity of VMs (JSON of GET /admin/vms of a worker process). */
bool bp_checker_add_vms(bp_checker_t *checker, const char *json);
bool bp_checker_add_worker_history(bp_checker_t *checker, const char *json);
bool bp_checker_add_executions(bp_checker_t *checker, const char *json);
/* A zone was out from out_us to back_us (monotonic, INT64_MAX for ever). */
void bp_checker_zone_out(
    bp_checker_t *checker, const char *zone, int64_t out_us, int64_t back_us);
/* Requests to paths with this prefix may be executed once at most. */
void bp_checker_once(bp_checker_t *checker, const char *path_prefix);

/* complete: all work has ended, so each checkpoint must have been resumed. */
guint bp_checker_run(bp_checker_t *checker, bool complete);
/* One line of text for each violation that the last run found. */
const GPtrArray *bp_checker_violations(const bp_checker_t *checker);
void bp_checker_print(const bp_checker_t *checker);

typedef struct {
	guint starts;
	guint succeeded;
	guint done; /* different tasks that have succeeded */
	guint checkpointed;
	guint lapsed;
	guint refused;
} bp_checker_counts_t;

/* Counts of events, so that a test can tell that something was checked. */
void bp_checker_count(
    const bp_checker_t *checker, const char *job, bp_checker_counts_t *out);
/* Executions of requests whose path has a prefix. */
guint bp_checker_executions(
    const bp_checker_t *checker, const char *path_prefix);
/* Starts in a zone at or after a time. */
guint bp_checker_starts_in(
    const bp_checker_t *checker, const char *zone, int64_t from_us);

#endif
