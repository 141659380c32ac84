#ifndef BP_GATEWAY_REQUEST_H
#define BP_GATEWAY_REQUEST_H

#include "bulrushpost/arena.h"
#include "bulrushpost/error.h"
#include "bulrushpost/rules.h"

#include <stdbool.h>
#include <stdint.h>

#define BP_MAX_DEADLINE_MS (10 * 60 * 1000)

/* The unparsed values of a request; a header that is absent is NULL. */
typedef struct {
	const char *method;
	const char *path;
	const char *klass;
	const char *deadline_ms;
	const char *idempotent;
	const char *key;
} bp_request_source_t;

/* A parsed request. */
typedef struct {
	const char *service;
	bp_task_class_t klass;
	bool idempotent;
	int64_t deadline_us; /* by the monotonic clock */
	const char *key; /* idempotency key, or NULL */
	int64_t key_issued_s; /* Unix time */
} bp_request_t;

/* Strings of out are allocated in the arena. */
int bp_request_parse(bp_request_t *out, bp_arena_t *arena,
    const bp_request_source_t *source, uint32_t default_deadline_ms,
    int64_t now_us, bp_error_t *err);
int bp_request_parse_key(int64_t *issued_s, const char *key, bp_error_t *err);
int bp_request_check_key(
    int64_t *issued_s, const char *key, int64_t wall_ms, bp_error_t *err);
int64_t bp_request_left_ms(const bp_request_t *request, int64_t now_us);

#endif
