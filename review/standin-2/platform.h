#ifndef REVIEW_PLATFORM_H
#define REVIEW_PLATFORM_H

/*
 * A small stand-in of the users' platform for the cases of this review: the
 * store (a log with keyed topics and one group), executors, and callers, as
 * PROTOCOL.md describes them, on loopback and in real time. Nodes are started
 * as processes with the command of the deploy file.
 */

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>
#include <sys/types.h>

/* What is to happen to a call. */
typedef enum {
	ACT_SERVE,
	ACT_REFUSE, /* 503; nothing is done */
	ACT_RESET_DONE, /* it is carried out, and the connection reset */
	ACT_CLOSE_DONE, /* it is carried out, and the connection closed */
	ACT_RESET, /* nothing is done, and the connection is reset */
	ACT_SILENT, /* nothing is done, and nothing more is answered */
	ACT_SILENT_DONE /* it is carried out, and nothing more is answered */
} act_t;

/* A call on the store or an executor, as a case may see it. */
typedef struct {
	const char *method;
	const char *path; /* without the query */
	const char *query;
	const char *body;
	size_t body_bytes;
	int executor; /* index; -1: the store */
	uint16_t peer_port; /* of the connection */
	uint64_t connection; /* numbered from 1 */
} seen_t;

/* Decides on each call; called with the lock held. NULL: all are served. */
extern act_t (*on_call)(const seen_t *call);

/* Records a line in record.txt, with the time. */
void note(const char *format, ...) G_GNUC_PRINTF(1, 2);
int64_t now_ms(void); /* monotonic */
int64_t wall_ms(void);
void sleep_ms(int64_t ms);
bool trouble(void); /* false with TROUBLE=0 */

void lock(void);
void unlock(void);

/* The platform. */
#define EXECS_MAX 16
typedef struct {
	uint32_t executors;
	uint32_t cpu; /* of each executor, in thousandths */
	uint32_t nodes;
	uint32_t others; /* so many executors, the first ones, are of kind "b" */
} setup_t;

void platform_start(const setup_t *setup);
/* Writes the configuration: queues of host "h" with the prefixes /q/, urgent,
 * and /b/, batch; route is the name of the first one. */
void configure_route(uint64_t version, const char *route);
/* Writes any record of the operator; NULL removes the key. */
void operator_put(const char *key, const char *value);
/* Index of the node that holds partition 0 of the jobs, -1 for none. */
int owner_of_jobs(void);
/* The store's records of a key that contains the text: 1 if there is one. */
bool store_has(const char *key);
/* All connections that are open now go silent for good. */
void silence_connections(void);
/* An executor crashes: what runs there ends, its connections too. */
void executor_crash(uint32_t index);
/* It starts again at its address and under its ID; the time of day of its
 * machine differs so much from the true one. */
void executor_start(uint32_t index, int64_t clock_off_ms);
/* Processors that its runs leave, in thousandths; 0 while it is down. */
uint32_t executor_free(uint32_t index);
/* An entry of the executors' list. */
void list_put(const char *id, const char *entry);

/* A task's run, as the executors saw it. */
typedef struct {
	char *task;
	uint64_t run;
	uint32_t executor;
	int64_t born; /* of the executor */
	int64_t start_ms; /* monotonic */
	int64_t end_ms; /* 0: it runs */
	char how[12];
	char *spec;
	char *checkpoint;
	bool noted; /* its end was taken note of */
	uint64_t number; /* among the ends of the executor */
	int64_t work_ms; /* from its task_spec: "ms=500" */
	int64_t cpu; /* that it takes; from "cpu=1000", none without */
	bool fails; /* it ends failed */
	int64_t figure; /* the fifth entry of its row */
} run_t;
extern GPtrArray *runs; /* run_t, all that were ever started */
/* Sets how long a task works and how it ends; NULL: the number in task_spec,
 * as in "ms=500". */
extern void (*on_start)(run_t *run);
/* Called for each run that goes on, every few ms, with the lock held; true
 * keeps the stand-in from ending it by its work. */
extern bool (*on_run)(run_t *run);
/* Ends a run; called with the lock held. */
void end_run(run_t *run, const char *how);
/* Runs that overlap on executors that are up, or begin after a done end. */
uint32_t count_doubles(char **first);

/* Nodes. */
void node_start(uint32_t index);
void node_signal(uint32_t index, int signal);
/* Waits for the end of a node; kills it after the time. */
void node_wait(uint32_t index, int64_t ms);
bool node_ready(uint32_t index);
bool node_runs(uint32_t index);
bool wait_ready(int64_t ms);
pid_t node_pid(uint32_t index);
uint16_t node_port(uint32_t index);

/* A caller's call; returns the status, 0 for no answer. answer may be NULL. */
int call_node(uint32_t node, const char *method, const char *path,
    const char *body, int64_t timeout_ms, char **answer);

/* Ends all processes and exits. */
void finish(int code) G_GNUC_NORETURN;
void cannot_run(const char *why) G_GNUC_NORETURN;

#endif
