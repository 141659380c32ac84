#ifndef BP_TESTS_CALLER_H
#define BP_TESTS_CALLER_H

#include "bulrushpost/gateway.h"

#include <libsoup/soup.h>

/* A caller of a gateway that runs in the same main context. */
typedef struct {
	SoupSession *session;
	uint16_t port;
} caller_t;

typedef struct {
	SoupMessage *message;
	GBytes *body;
	bool done;
} call_t;

void caller_init(caller_t *caller, uint16_t port);
void caller_clear(caller_t *caller);
/* headers are lines "Name: value", each ended by a line feed, or NULL. */
call_t *caller_send(caller_t *caller, const char *method, const char *path,
    const char *headers, const char *body);
void call_wait(call_t *call);
void call_free(call_t *call);
guint call_status(const call_t *call);
const char *call_header(const call_t *call, const char *name);
bool call_body_has(const call_t *call, const char *text);
/* Sends, waits and checks status and outcome; outcome NULL for none. */
bool caller_expect(caller_t *caller, const char *method, const char *path,
    const char *headers, guint status, const char *outcome);

/* Runs the main context for a time. */
void caller_run_ms(int ms);
/* Sends bytes on a raw connection; the answer, if any, is to be freed. */
char *caller_raw(uint16_t port, const void *bytes, size_t size, int wait_ms);

#endif
