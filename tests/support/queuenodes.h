#ifndef BP_TESTS_QUEUENODES_H
#define BP_TESTS_QUEUENODES_H

#include "support/http.h"
#include "support/process.h"
#include "support/queuehttp.h"

/*
 * Nodes with the service queues as processes, beside a platform over HTTP;
 * a job of 3 and then 2 tasks, and one whose tasks last.
 */
#define BP_QUEUENODES 3
#define BP_JOB                                                                \
	"{\"task_spec\":\"t\",\"steps\":[{\"count\":3,\"cpu\":1000,"          \
	"\"estimated_ms\":300},{\"count\":2,\"cpu\":1000,\"depends_on\":[0]," \
	"\"estimated_ms\":300}]}"
#define BP_JOB_LASTING                                               \
	"{\"task_spec\":\"t\",\"steps\":[{\"count\":2,\"cpu\":1000," \
	"\"long_running\":true}]}"

/* What a node listens for. */
typedef enum {
	BP_LISTEN_CALLERS,
	BP_LISTEN_READY,
	BP_LISTEN_CONTROL,
	BP_LISTEN_METRICS,
	BP_LISTENERS
} bp_listener_t;

typedef struct {
	bp_queuehttp_t *platform;
	bp_http_t *http;
	bp_process_t *nodes[BP_QUEUENODES];
	uint16_t ports[BP_QUEUENODES][BP_LISTENERS];
	GPtrArray *held; /* sockets that keep the ports */
	char *settings[BP_QUEUENODES];
	const char *name; /* of the test, for the files of its nodes */
	const char *key; /* of the calls' customer, NULL for none */
	const char *more; /* settings of the test; NULL for none */
} bp_queuenodes_t;

/* A call, the answer that is expected and the status that came. */
typedef struct {
	bp_queuenodes_t *fixture;
	uint32_t node;
	const char *method;
	const char *path;
	const char *body;
	uint32_t status;
	const char *text; /* part of the body; NULL for any */
	uint32_t seen;
} bp_queuenodes_ask_t;

void bp_queuenodes_setup(bp_queuenodes_t *fixture, const char *name);
/* Calls prepare before the nodes start. */
void bp_queuenodes_setup_with(bp_queuenodes_t *fixture, const char *name,
    void (*prepare)(bp_queuehttp_t *platform));
/* Starts so many nodes, which serve metrics too; more is added to their
 * settings. */
void bp_queuenodes_setup_settings(bp_queuenodes_t *fixture, const char *name,
    uint32_t nodes, const char *more);
/* Kills what still runs; checks that no executor was misused. */
void bp_queuenodes_teardown(bp_queuenodes_t *fixture);
void bp_queuenodes_start(bp_queuenodes_t *fixture, uint32_t node);
/* Sends once; data is a bp_queuenodes_ask_t. */
bool bp_queuenodes_asked(void *data);
/* Sends until the answer has the status and the text; false on timeout. */
bool bp_queuenodes_expect(bp_queuenodes_t *fixture, uint32_t node,
    const char *method, const char *path, const char *body, uint32_t status,
    const char *text);

#endif
