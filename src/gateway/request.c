#include "gateway/request.h"

#include <glib.h>
#include <string.h>

#define MS_PER_S 1000
#define US_PER_MS 1000
#define KEY_MAX_AGE_S (10 * 60)
/* Tolerates callers whose clock is ahead of this node's. */
#define KEY_MAX_AHEAD_S (2 * 60)
#define KEY_MAX_BYTES 200
#define KEY_MAX_DIGITS 12
#define SERVICE_MAX_BYTES 128
#define DEADLINE_MAX_DIGITS 9

static const char *const methods[] = {
    "GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS", NULL};

static size_t
count_digits(const char *text)
{
	size_t n = 0;

	while (g_ascii_isdigit(text[n]))
		n++;
	return n;
}

static int
parse_method(const char *method, bp_error_t *err)
{
	if (g_strv_contains(methods, method))
		return BP_OK;
	return bp_error_set(err, BP_EINVALID,
	    "the method is not one of GET, HEAD, POST, PUT, PATCH, DELETE and "
	    "OPTIONS");
}

static int
parse_service(
    const char **out, bp_arena_t *arena, const char *path, bp_error_t *err)
{
	const char *start = path[0] == '/' ? path + 1 : path;
	size_t bytes = strcspn(start, "/");
	char *decoded = g_uri_unescape_segment(start, start + bytes, "/");
	int rc = BP_OK;

	if (decoded == NULL || decoded[0] == '\0' ||
	    strlen(decoded) > SERVICE_MAX_BYTES ||
	    !g_utf8_validate(decoded, -1, NULL)) {
		rc = bp_error_set(err, BP_EINVALID,
		    "the first segment of the path must be the name of a "
		    "service, at most %d bytes of UTF-8",
		    SERVICE_MAX_BYTES);
		goto out;
	}
	*out = bp_arena_strdup(arena, decoded);
out:
	g_free(decoded);
	return rc;
}

static int
parse_class(bp_task_class_t *out, const char *text, bp_error_t *err)
{
	if (text == NULL || strcmp(text, "service") == 0)
		*out = BP_CLASS_SERVICE;
	else if (strcmp(text, "urgent") == 0)
		*out = BP_CLASS_URGENT;
	else if (strcmp(text, "batch") == 0)
		*out = BP_CLASS_BATCH;
	else
		return bp_error_set(err, BP_EINVALID,
		    "X-Class is not one of urgent, service and batch");
	return BP_OK;
}

static int
parse_deadline(
    int64_t *out_ms, const char *text, uint32_t default_ms, bp_error_t *err)
{
	size_t digits;

	if (text == NULL) {
		*out_ms = default_ms;
		return BP_OK;
	}
	digits = count_digits(text);
	if (digits == 0 || digits > DEADLINE_MAX_DIGITS || text[digits] != '\0')
		return bp_error_set(err, BP_EINVALID,
		    "X-Deadline-Ms is not a number of milliseconds");
	*out_ms = MIN(g_ascii_strtoll(text, NULL, 10), BP_MAX_DEADLINE_MS);
	if (*out_ms == 0)
		return bp_error_set(err, BP_EDEADLINE,
		    "X-Deadline-Ms leaves no time; the request was not sent");
	return BP_OK;
}

static int
parse_idempotent(
    bool *out, const char *text, const char *method, bp_error_t *err)
{
	if (text == NULL)
		*out =
		    strcmp(method, "GET") == 0 || strcmp(method, "HEAD") == 0;
	else if (strcmp(text, "yes") == 0)
		*out = true;
	else if (strcmp(text, "no") == 0)
		*out = false;
	else
		return bp_error_set(
		    err, BP_EINVALID, "X-Idempotent is neither yes nor no");
	return BP_OK;
}

/*
 * Checks the syntax of an idempotency key, UNIXSECONDS-TEXT, and sets the time
 * at which the caller issued it. Error: BP_EINVALID.
 */
int
bp_request_parse_key(int64_t *issued_s, const char *key, bp_error_t *err)
{
	size_t digits = count_digits(key);
	const char *p;

	if (digits == 0 || digits > KEY_MAX_DIGITS || key[digits] != '-' ||
	    key[digits + 1] == '\0' || strlen(key) > KEY_MAX_BYTES)
		return bp_error_set(err, BP_EINVALID,
		    "Idempotency-Key is not UNIXSECONDS-TEXT of at most %d "
		    "bytes",
		    KEY_MAX_BYTES);
	for (p = key; *p != '\0'; p++) {
		if (!g_ascii_isgraph(*p))
			return bp_error_set(err, BP_EINVALID,
			    "Idempotency-Key contains a character other than "
			    "printable ASCII");
	}
	*issued_s = g_ascii_strtoll(key, NULL, 10);
	return BP_OK;
}

/*
 * Checks the syntax of an idempotency key and its age by the wall clock. The
 * log accepts claims for 15 min; a key older than 10 min is refused, since its
 * claim might expire soon after. Errors: BP_EINVALID, BP_EEXPIRED for an old
 * key.
 */
int
bp_request_check_key(
    int64_t *issued_s, const char *key, int64_t wall_ms, bp_error_t *err)
{
	int64_t now_s = wall_ms / MS_PER_S;
	int rc = bp_request_parse_key(issued_s, key, err);

	if (rc != BP_OK)
		return rc;
	if (now_s - *issued_s > KEY_MAX_AGE_S)
		return bp_error_set(err, BP_EEXPIRED,
		    "Idempotency-Key was issued %" G_GINT64_FORMAT
		    " s ago, more than %d s",
		    now_s - *issued_s, KEY_MAX_AGE_S);
	if (*issued_s - now_s > KEY_MAX_AHEAD_S)
		return bp_error_set(err, BP_EINVALID,
		    "Idempotency-Key is dated %" G_GINT64_FORMAT
		    " s in the future, more than %d s; check the clock",
		    *issued_s - now_s, KEY_MAX_AHEAD_S);
	return BP_OK;
}

/*
 * Parses the method, the service and the headers that bulrushpost defines. The
 * key is only copied; bp_request_check_key checks it. Errors: BP_EINVALID, and
 * BP_EDEADLINE for a deadline of 0.
 */
int
bp_request_parse(bp_request_t *out, bp_arena_t *arena,
    const bp_request_source_t *source, uint32_t default_deadline_ms,
    int64_t now_us, bp_error_t *err)
{
	int64_t deadline_ms = 0;
	int rc;

	if ((rc = parse_method(source->method, err)) != BP_OK)
		return rc;
	rc = parse_service(&out->service, arena, source->path, err);
	if (rc != BP_OK)
		return rc;
	if ((rc = parse_class(&out->klass, source->klass, err)) != BP_OK)
		return rc;
	rc = parse_idempotent(
	    &out->idempotent, source->idempotent, source->method, err);
	if (rc != BP_OK)
		return rc;
	rc = parse_deadline(
	    &deadline_ms, source->deadline_ms, default_deadline_ms, err);
	if (rc != BP_OK)
		return rc;
	out->deadline_us = now_us + deadline_ms * US_PER_MS;
	out->key = bp_arena_strdup(arena, source->key);
	return BP_OK;
}

/* Returns the remaining time in ms to the deadline, negative after it. */
int64_t
bp_request_left_ms(const bp_request_t *request, int64_t now_us)
{
	return (request->deadline_us - now_us) / US_PER_MS;
}
