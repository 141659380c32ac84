#ifndef BP_TESTS_HTTP_H
#define BP_TESTS_HTTP_H

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* HTTP client of tests, on the main loop of the test. */
typedef struct bp_http bp_http_t;

typedef struct {
	bool done;
	uint32_t status; /* 0 when no complete answer came */
	char *body; /* NUL-terminated, never NULL once done */
	size_t body_bytes;
	char *outcome; /* X-Outcome, or an empty string */
	char *reason; /* X-Reason, or an empty string */
	int64_t sent_us;
	int64_t done_us;
} bp_reply_t;

bp_http_t *bp_http_new(void);
void bp_http_free(bp_http_t *http);
/* Headers are pairs of const char *, ended by NULL. body may be NULL. */
bp_reply_t *bp_http_send(bp_http_t *http, const char *method, const char *url,
    const char *body, ...) G_GNUC_NULL_TERMINATED;
/* Posts binary data and waits; the reply is freed by the caller. */
bp_reply_t *bp_http_post(
    bp_http_t *http, const char *url, const void *data, size_t size_bytes);
/* Waits with the generous limit; returns whether the reply is there. */
bool bp_http_wait(bp_reply_t *reply);
void bp_reply_free(bp_reply_t *reply);

/* Sends without headers and waits; returns the body of a 200, else NULL. */
char *bp_http_call(
    bp_http_t *http, const char *method, const char *url, const char *body);

#endif
