#ifndef BP_TESTS_PROCESS_H
#define BP_TESTS_PROCESS_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/* Limit (ms) of each wait: generous, so that load decides no verdict. */
#define BP_WAIT_LIMIT_MS 30000
/* Where the output of child processes is kept, one file for each. */
#define BP_PROCESS_LOG_DIR "build/process-logs"

/* A child process of a test; it ends with the test in any case. */
typedef struct bp_process bp_process_t;

typedef bool (*bp_condition_t)(void *data);

/* Waits until a condition holds, running the main loop; false on timeout. */
bool bp_wait_until(bp_condition_t condition, void *data);
bool bp_wait_until_ms(bp_condition_t condition, void *data, int64_t limit_ms);
/* Runs the main loop for a time. */
void bp_run_for_ms(int64_t ms);
int64_t bp_now_us(void);

/* argv ends with NULL; name is that of the log files. NULL on failure. */
bp_process_t *bp_process_start(const char *name, const char *const *argv);
/* Kills the process if it still runs. NULL is allowed. */
void bp_process_free(bp_process_t *process);
int bp_process_pid(const bp_process_t *process);
bool bp_process_alive(const bp_process_t *process);
void bp_process_signal(bp_process_t *process, int signal_number);
/* Waits for the end; returns the exit status, or -1 on signal or timeout. */
int bp_process_wait(bp_process_t *process);
/* SIGTERM, then wait. */
int bp_process_stop(bp_process_t *process);
/* Waits for the line "WORD number" on its output; 0 when none came. */
uint16_t bp_process_port(bp_process_t *process, const char *word);
/* Returns a port of loopback that is kept for this test; held owns sockets. */
uint16_t bp_process_reserve_port(GPtrArray *held);
const char *bp_process_output_path(const bp_process_t *process);
const char *bp_process_error_path(const bp_process_t *process);

/* Runs a program to its end; returns its exit status and its output. */
int bp_process_run(const char *name, const char *const *argv, char **output);

#endif
