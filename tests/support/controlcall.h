#ifndef BP_TESTS_CONTROLCALL_H
#define BP_TESTS_CONTROLCALL_H

#include "support/controlrig.h"

#define CONTROLCALL_MS 9000

/* The service, a client and the last answer. */
typedef struct {
	controlrig_t rig;
	bp_peer_client_t *client;
	uint32_t done;
	int error;
	bp_outcome_t outcome;
	char *message;
	char *body;
	char *arg;
} controlcall_t;

void controlcall_init(controlcall_t *call);
void controlcall_init_gateway(controlcall_t *call, bp_gateway_t *gateway);
void controlcall_clear(controlcall_t *call);
/* Counts and stores an answer; data is the controlcall_t. */
void controlcall_done(
    const Bp__Peer__Frame *answer, const bp_error_t *err, void *data);
/* Sends a request, waits and returns the error; args ends with NULL. */
int controlcall_ask(controlcall_t *call, Bp__Peer__Verb verb,
    const uint8_t *body, size_t body_bytes, char **args);
int controlcall_ask_for(controlcall_t *call, Bp__Peer__Verb verb, char *arg);

#endif
