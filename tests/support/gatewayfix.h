#ifndef BP_TESTS_GATEWAYFIX_H
#define BP_TESTS_GATEWAYFIX_H

#include "bulrushpost/gateway.h"
#include "support/executor.h"

#include <libsoup/soup.h>

#define FIX_MAX_EXECUTORS 4

/* A gateway, its executors (service "s") and a caller in one main context. */
typedef struct {
	bp_gateway_t *gateway;
	executor_t *executors[FIX_MAX_EXECUTORS];
	bp_gateway_endpoint_t endpoints[FIX_MAX_EXECUTORS];
	int n;
	uint16_t port;
	SoupSession *session;
} fix_t;

typedef struct {
	SoupMessage *message;
	GBytes *body;
	bool done;
} call_t;

/* options are those of bp_gateway_options_init, changed by the test. */
void fix_start_options(
    fix_t *f, int n, executor_mode_t mode, bp_gateway_options_t *options);
void fix_start(
    fix_t *f, int n, executor_mode_t mode, const bp_key_claimer_t *claimer);
void fix_stop(fix_t *f);
void fix_set_endpoints(fix_t *f);
bp_gateway_counters_t fix_counters(const fix_t *f);
/* Runs the main context for a time. */
void fix_run_ms(int ms);
/* Sends, waits and checks; outcome NULL for an answer of an executor. */
bool fix_expect(fix_t *f, const char *method, const char *path,
    const char *headers, guint status, const char *outcome);
/* Sends bytes on a raw connection; the answer, maybe "", is to be freed. */
char *fix_raw(fix_t *f, const void *bytes, size_t size, int wait_ms);

/* headers are lines "Name: value" divided by line feeds, or NULL. */
call_t *call_new(fix_t *f, const char *method, const char *path,
    const char *headers, const char *body);
call_t *call_wait(call_t *call);
void call_free(call_t *call);
/* The status, 0 when there was no answer. */
guint call_status(const call_t *call);
const char *call_header(const call_t *call, const char *name);
bool call_body_has(const call_t *call, const char *text);

#endif
