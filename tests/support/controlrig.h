#ifndef BP_TESTS_CONTROLRIG_H
#define BP_TESTS_CONTROLRIG_H

#include "bulrushpost/control.h"
#include "support/logrig.h"

/* A control service on a log inside the test process. */
typedef struct {
	logrig_t log;
	bp_settings_t settings;
	bp_control_t *control;
	bp_metrics_t *metrics;
	bp_timeline_t *timeline;
	char *address;
} controlrig_t;

/* The node is node-1 in zone-1; its first record has been read. */
void controlrig_init(controlrig_t *rig);
void controlrig_init_gateway(controlrig_t *rig, bp_gateway_t *gateway);
void controlrig_clear(controlrig_t *rig);
/* Makes VM w1 of 4 processors in rack zone-1/r1 known through the log. */
void controlrig_add_vm(controlrig_t *rig);

#endif
