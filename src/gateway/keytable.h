#ifndef BP_GATEWAY_KEYTABLE_H
#define BP_GATEWAY_KEYTABLE_H

#include "bulrushpost/error.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/* Outcomes of this gateway's requests with an idempotency key. */
typedef struct bp_keytable bp_keytable_t;

typedef struct {
	char *name; /* service and key */
	GList *link; /* in the queue of entries by age */
	int64_t expires_ms;
	bool in_flight;
	bp_outcome_t outcome; /* once no longer in flight */
	uint32_t http_status; /* of the response; 0 without a response */
} bp_key_entry_t;

bp_keytable_t *bp_keytable_new(void);
bp_keytable_t *bp_keytable_ref(bp_keytable_t *table);
void bp_keytable_unref(bp_keytable_t *table);
/* Returns NULL for an unknown key. The entry is valid until the next call. */
const bp_key_entry_t *bp_keytable_find(
    bp_keytable_t *table, const char *service, const char *key, int64_t now_ms);
void bp_keytable_begin(
    bp_keytable_t *table, const char *service, const char *key, int64_t now_ms);
void bp_keytable_end(bp_keytable_t *table, const char *service, const char *key,
    bp_outcome_t outcome, uint32_t http_status);
/* Removes a key that was not claimed. */
void bp_keytable_drop(
    bp_keytable_t *table, const char *service, const char *key);

#endif
