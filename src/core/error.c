#include "bulrushpost/error.h"

#include <stdarg.h>
#include <stdio.h>

/*
 * The outcome column is the weakest statement that holds for every use of the
 * kind. Code that can prove "not run" states it in the response.
 */
static const bp_error_info_t answers[] = {
    {BP_OK, "ok", 200, 0, BP_OUTCOME_RAN, "nothing to do"},
    {BP_EINVALID, "invalid", 400, 2, BP_OUTCOME_NOT_RUN,
	"correct the named field or line and send it again"},
    {BP_ETOOLARGE, "too_large", 413, 2, BP_OUTCOME_NOT_RUN,
	"make the body, header, file or frame smaller"},
    {BP_ENOTFOUND, "not_found", 404, 1, BP_OUTCOME_NOT_RUN,
	"check the name; list what exists"},
    {BP_ECONFLICT, "conflict", 409, 1, BP_OUTCOME_NOT_RUN,
	"it was changed or used before; read what is in force and redo "
	"the edit, or use a new key"},
    {BP_ESTALE, "stale", 409, 1, BP_OUTCOME_NOT_RUN,
	"the epoch or nonce is out of date; the owner obtains a new one"},
    {BP_EEXPIRED, "expired", 410, 1, BP_OUTCOME_NOT_RUN,
	"use a new idempotency key"},
    {BP_EDEADLINE, "deadline", 504, 3, BP_OUTCOME_NOT_KNOWN,
	"ask for the status before repeating a non-idempotent request"},
    {BP_EOVERLOAD, "overload", 503, 1, BP_OUTCOME_NOT_RUN,
	"retry after the stated time; see the load in metrics"},
    {BP_EDRAINING, "draining", 503, 1, BP_OUTCOME_NOT_RUN,
	"send it to another node"},
    {BP_ELOGDOWN, "log_unavailable", 503, 1, BP_OUTCOME_NOT_RUN,
	"wait for the log service; running work goes on"},
    {BP_ESTATE, "state_unknown", 503, 1, BP_OUTCOME_NOT_RUN,
	"this node has not read the log up to its head; ask another node"},
    {BP_EVERSION, "version_unknown", 503, 1, BP_OUTCOME_NOT_RUN,
	"upgrade this node: the log holds records of a newer release"},
    {BP_EUNREACHABLE, "unreachable", 502, 4, BP_OUTCOME_NOT_KNOWN,
	"check the address and the network; ask for the status"},
    {BP_ENOTSENT, "not_sent", 503, 1, BP_OUTCOME_NOT_RUN,
	"no endpoint took the request; it may be repeated"},
    {BP_ETRUNCATED, "truncated", 502, 3, BP_OUTCOME_NOT_KNOWN,
	"the answer was cut short and discarded; ask for the status"},
    {BP_EMISMATCH, "mismatch", 502, 3, BP_OUTCOME_NOT_KNOWN,
	"the answer belonged to another request and was discarded"},
    {BP_ENOCAPACITY, "no_capacity", 503, 1, BP_OUTCOME_NOT_RUN,
	"see the shortfall in the reason"},
    {BP_EREFUSED, "refused", 422, 1, BP_OUTCOME_NOT_RUN,
	"see the reason; the request can never run as it is"},
    {BP_EINTERNAL, "internal", 500, 3, BP_OUTCOME_NOT_KNOWN,
	"report it with the log lines of this node"},
    {BP_EUNKNOWN, "outcome_unknown", 504, 3, BP_OUTCOME_NOT_KNOWN,
	"ask for the status with the job id or idempotency key"},
};

/*
 * Fills err, which may be NULL, with a kind and a formatted message and
 * returns the kind, so that a caller can write "return bp_error_set(...)".
 */
int
bp_error_set(bp_error_t *err, bp_error_kind_t kind, const char *format, ...)
{
	va_list args;

	if (err == NULL)
		return kind;
	err->kind = kind;
	va_start(args, format);
	g_vsnprintf(err->message, sizeof(err->message), format, args);
	va_end(args);
	return kind;
}

/* Resets err, which may be NULL, to BP_OK with an empty message. */
void
bp_error_clear(bp_error_t *err)
{
	if (err == NULL)
		return;
	err->kind = BP_OK;
	err->message[0] = '\0';
}

/*
 * Returns the table row of an error kind. An unlisted value gets the row of
 * BP_EINTERNAL, so that the result is never NULL.
 */
const bp_error_info_t *
bp_error_info(int kind)
{
	const bp_error_info_t *internal = NULL;
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(answers); i++) {
		if ((int)answers[i].kind == kind)
			return &answers[i];
		if (answers[i].kind == BP_EINTERNAL)
			internal = &answers[i];
	}
	return internal;
}

/* Returns the table row at index, or NULL past the end; for iteration. */
const bp_error_info_t *
bp_error_info_at(size_t index)
{
	return index < G_N_ELEMENTS(answers) ? &answers[index] : NULL;
}

/* Returns the name of an outcome as shown to callers and operators. */
const char *
bp_outcome_name(bp_outcome_t outcome)
{
	switch (outcome) {
	case BP_OUTCOME_RAN:
		return "ran";
	case BP_OUTCOME_NOT_RUN:
		return "not_run";
	case BP_OUTCOME_NOT_KNOWN:
		return "not_known";
	}
	return "not_known";
}
