#ifndef BP_REVIEW_SCENE_H
#define BP_REVIEW_SCENE_H

#include "support/http.h"
#include "support/process.h"
#include "support/queuehttp.h"

#include <stdio.h>

/*
 * A small deployment: nodes as processes with the command of the deploy file,
 * beside the platform of the project's tests (tests/support/queuehttp.h). All
 * that is sent, answered and run is written to the record.
 */
#define SCENE_NODES_MAX 8

typedef struct {
	bp_queuehttp_t *platform;
	bp_http_t *http;
	bp_process_t *nodes[SCENE_NODES_MAX];
	uint16_t fronts[SCENE_NODES_MAX];
	char *settings[SCENE_NODES_MAX];
	uint32_t n_nodes;
	GPtrArray *held; /* sockets that keep the ports */
	char *folder; /* of the settings files */
	FILE *record;
	int64_t start_us;
} scene_t;

/* Opens the record and starts the platform with so many executors of its own.
 * These functions return false when the case cannot run. */
bool scene_open(
    scene_t *scene, const char *record_path, uint32_t executors);
/* Starts the nodes and waits until all are ready. */
bool scene_start_nodes(scene_t *scene, uint32_t nodes);
bool scene_start_node(scene_t *scene, uint32_t node);
/* Ends all processes. */
void scene_end(scene_t *scene);
double scene_s(const scene_t *scene);
void scene_note(scene_t *scene, const char *format, ...) G_GNUC_PRINTF(2, 3);
/* Sends a call of a client without waiting for the answer. */
bp_reply_t *scene_send(scene_t *scene, uint32_t node, const char *method,
    const char *path, const char *body);
/* Sends, waits and notes the answer; returns its status, 0 for none. */
uint32_t scene_call(scene_t *scene, uint32_t node, const char *method,
    const char *path, const char *body, char **text);
/* Whether the environment asks for the run without the disruption. */
bool scene_trouble(void);

#endif
