/*
 * Stand-ins for the users' platform, as PROTOCOL.md describes it, and the
 * processes of the system, for the cases in review/. All in one process with
 * one GLib main loop; every address is 127.0.0.1.
 */
#ifndef REVIEW_STANDIN_H
#define REVIEW_STANDIN_H

#include <glib.h>
#include <json-glib/json-glib.h>
#include <stdbool.h>
#include <stdint.h>
#include <sys/types.h>

#define NODES_MAX 8
#define EXECS_MAX 64

/* One HTTP connection that a stand-in has accepted. */
typedef struct conn {
	int fd;
	GString *in;
	GString *out;
	guint source;
	guint writer;
	bool closed;
	int refs;
	void (*handler)(struct conn *conn, void *data);
	void *data;
	/* The request being served. */
	char *method;
	char *path; /* without the query */
	char *query;
	char *instance; /* X-Bulrushpost-Expect-Instance */
	GString *body;
	bool busy;
} conn_t;

void conn_answer(conn_t *conn, int status, const char *type, const void *body,
    size_t size);
void conn_json(conn_t *conn, int status, const char *format, ...)
    G_GNUC_PRINTF(3, 4);
void conn_reset(conn_t *conn);
conn_t *conn_ref(conn_t *conn);
void conn_unref(conn_t *conn);
/* up may be NULL; while it points to false the port takes nothing. */
uint16_t serve_http(
    void (*handler)(conn_t *, void *), void *data, const bool *up);
/* Resets all connections whose handler has this data. */
void reset_conns_of(const void *data);

/* The store. */
typedef struct {
	uint64_t offset;
	char *key;
	GBytes *value; /* NULL: the key is dropped */
} rec_t;

typedef struct {
	GPtrArray *log; /* rec_t */
	GHashTable *newest; /* key to rec_t */
	GHashTable *producers; /* name to prod_t */
} part_t;

typedef struct {
	uint16_t port;
	GHashTable *parts; /* "topic/part" to part_t */
	GHashTable *groups;
	/* Asked for each call before it is served. 0: serve it; else the HTTP
	 * status to refuse it with. */
	int (*refuse)(const char *path, const char *topic, void *data);
	/* Asked after an append was applied: true: the connection is reset
	 * instead of answered. */
	bool (*reset_after)(const char *topic, const uint8_t *body, size_t size,
	    void *data);
	uint32_t record_bytes;
	void *data;
} store_t;

extern store_t store;
void store_open(void);
void store_put(const char *topic, const char *key, const char *value);
/* The newest value of a key of the shard's partition 0, NULL for none. */
GBytes *store_value(const char *topic, const char *key);

/* Executors. */
typedef struct {
	char *task;
	uint64_t run;
	int64_t started_ms;
	int64_t done_ms; /* of the executor's clock; 0: lasts */
	uint32_t cpu;
	uint32_t mem;
	int64_t work_ms;
	uint32_t percent;
	bool saves;
	bool fails; /* at the end of its work */
} run_t;

typedef struct {
	uint64_t number;
	char *task;
	uint64_t run;
	const char *how;
	char saved[32];
} end_t;

typedef struct {
	int index;
	char *id;
	char *zone;
	char *rack;
	const char *kind;
	uint16_t port;
	bool up;
	bool draining;
	bool listed;
	int64_t born_ms; /* Unix */
	int64_t epoch_ms; /* monotonic time at which its clock was 0 */
	uint64_t fence;
	int64_t lease_ms; /* its clock */
	uint64_t last_end;
	uint64_t sequence;
	GPtrArray *runs;
	GPtrArray *ends;
	GHashTable *closed; /* task to the highest run stopped or ended */
	GPtrArray *waiting; /* hold_t */
	uint32_t cpu; /* capacity */
	uint32_t mem;
	bool guards;
} exec_t;

extern exec_t *execs[EXECS_MAX];
extern int n_execs;
extern struct exec_hooks {
	/* Asked before a start is looked at: 0, or a status to answer with. */
	int (*refuse_start)(exec_t *exec, const char *task, uint64_t run);
	/* Asked after a start was carried out: reset instead of an answer. */
	bool (*reset_after_start)(exec_t *exec, const char *task, uint64_t run);
	void (*started)(exec_t *exec, const run_t *run);
	void (*over_capacity)(exec_t *exec, const run_t *run);
	void (*noted)(exec_t *exec, const end_t *end);
} hooks;
extern uint32_t stop_ms;
extern int64_t max_hold_ms;
void exec_add(const char *zone, const char *rack, uint32_t cpu, uint32_t mem,
    bool guards);
void exec_kill(exec_t *exec);
void exec_start_again(exec_t *exec);
void exec_register(exec_t *exec);
uint32_t exec_running(const char *task);
uint32_t exec_running_of_job(const char *job);
bool exec_has_done(const char *task);

/* Nodes. */
typedef struct {
	pid_t pid;
	char name[32];
	char zone[32];
	uint16_t front;
	uint16_t ready;
	uint16_t control;
	uint16_t metrics;
	char *settings;
	char *log;
	bool stopped;
} node_t;

extern node_t nodes[NODES_MAX];
extern int n_nodes;
void nodes_start(int count);
void node_launch(node_t *node);
void node_kill(node_t *node);
bool nodes_ready(void *data);
/* The node that owns shard 0 by its record in the store, NULL for none. */
node_t *owner(void);
uint64_t owner_epoch(void);

/* Calls of clients; answers wait in the structure. */
typedef struct {
	int fd;
	int status; /* 0: no answer yet; -1: none came */
	GString *in;
	GString *out;
	guint source;
	guint timer;
	char *text; /* of the answer's body */
	char *what;
	bool quiet;
	int64_t sent_ms;
} call_t;

call_t *call_start(node_t *node, const char *method, const char *path,
    const char *body, uint32_t timeout_ms);
void call_free(call_t *call);
/* Sends and waits. Returns the status, -1 for no answer. */
int call_wait(node_t *node, const char *method, const char *path,
    const char *body, uint32_t timeout_ms, char **text);

/* The record and the time. */
int64_t now_ms(void);
void note(const char *format, ...) G_GNUC_PRINTF(1, 2);
void pump_ms(int64_t ms);
bool pump_until(bool (*condition)(void *), void *data, int64_t ms);
/* Opens the record and the temporary folder; reads TROUBLE. */
void rig_open(const char *folder);
/* Ends all processes and exits with the code. */
void rig_end(int code) G_GNUC_NORETURN;
/* A case that cannot run. */
void rig_fail(const char *why) G_GNUC_NORETURN;
extern bool trouble;
extern char *configuration;
void configure(uint64_t version, bool guards);

#endif
