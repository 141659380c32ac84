#ifndef BP_TESTS_LOGRIG_H
#define BP_TESTS_LOGRIG_H

#include "bulrushpost/appender.h"
#include "support/fakelog.h"

#define RIG_LIMIT_MS 8000
#define RIG_INCARNATION 77

/* A node's follower and appender on a log inside the test process. */
typedef struct {
	fakelog_t *log;
	const bp_clock_t *clock;
	bp_logclient_t *client;
	bp_follower_t *follower;
	bp_appender_t *appender;
} logrig_t;

/* What the appender told about one entry. */
typedef struct {
	uint32_t calls;
	int kind; /* of the error, or of what the state machine found */
	bool applied;
} outcome_t;

/* clock may be NULL for the clock of the system. */
void logrig_init(logrig_t *rig, const bp_clock_t *clock, uint32_t wait_ms);
void logrig_clear(logrig_t *rig);
void logrig_start(logrig_t *rig);
bool logrig_wait_status(logrig_t *rig, bp_follower_status_t status);
bool logrig_wait_outcome(outcome_t *outcome);
bool logrig_wait_offset(logrig_t *rig, uint64_t next_offset);

/* Adds the submission of a job of one task to the appender. */
int logrig_submit(
    logrig_t *rig, const char *job, uint32_t give_up_ms, outcome_t *outcome);
/* Puts a record of another node with such a submission into the log. */
void logrig_put_job(logrig_t *rig, const char *job, uint64_t seq);
/* Puts the claim of a key by a node at an address into the log. */
void logrig_put_key(logrig_t *rig, const char *node, const char *address,
    const char *key, uint64_t seq);
/* Puts a record whose writer's wall clock is ahead into the log. */
void logrig_put_clock(logrig_t *rig, int64_t ahead_s);
void logrig_put_version(logrig_t *rig, uint32_t version);
/* Puts chunks of the state's snapshot into the log, leaving some out. */
void logrig_put_snapshot(
    logrig_t *rig, const bp_state_t *state, uint32_t parts, uint32_t missing);

#endif
