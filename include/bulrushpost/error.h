#ifndef BULRUSHPOST_ERROR_H
#define BULRUSHPOST_ERROR_H

#include <glib.h>
#include <stdint.h>

#define BP_ERROR_MESSAGE_BYTES 512

/* Error kinds are negative so that functions can return them directly. */
typedef enum {
	BP_OK = 0,
	BP_EINVALID = -1,
	BP_ETOOLARGE = -2,
	BP_ENOTFOUND = -3,
	BP_ECONFLICT = -4,
	BP_ESTALE = -5,
	BP_EEXPIRED = -6,
	BP_EDEADLINE = -7,
	BP_EOVERLOAD = -8,
	BP_EDRAINING = -9,
	BP_ELOGDOWN = -10,
	BP_ESTATE = -11,
	BP_EVERSION = -12,
	BP_EUNREACHABLE = -13,
	BP_ENOTSENT = -14,
	BP_ETRUNCATED = -15,
	BP_EMISMATCH = -16,
	BP_ENOCAPACITY = -17,
	BP_EREFUSED = -18,
	BP_EINTERNAL = -19,
	BP_EUNKNOWN = -20
} bp_error_kind_t;

/* The outcome of a request or job, as reported to callers and operators. */
typedef enum {
	BP_OUTCOME_RAN = 1,
	BP_OUTCOME_NOT_RUN = 2,
	BP_OUTCOME_NOT_KNOWN = 3
} bp_outcome_t;

typedef struct {
	bp_error_kind_t kind;
	char message[BP_ERROR_MESSAGE_BYTES];
} bp_error_t;

/* One row of the error table: how a kind is reported. */
typedef struct {
	bp_error_kind_t kind;
	const char *name;
	uint32_t http_status;
	int exit_code;
	bp_outcome_t outcome;
	const char *advice;
} bp_error_info_t;

int bp_error_set(bp_error_t *err, bp_error_kind_t kind, const char *format, ...)
    G_GNUC_PRINTF(3, 4);
void bp_error_clear(bp_error_t *err);
const bp_error_info_t *bp_error_info(int kind);
const bp_error_info_t *bp_error_info_at(size_t index);
const char *bp_outcome_name(bp_outcome_t outcome);

#endif
