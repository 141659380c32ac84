#ifndef BP_TESTS_RECORDS_H
#define BP_TESTS_RECORDS_H

#include "bulrushpost/state.h"

/* Builds log records for tests of the state machine. */
typedef struct {
	bp_state_t *state;
	uint64_t offset;
	int64_t time_ms;
	int last_kind; /* result of the last entry */
	char last_message[BP_ERROR_MESSAGE_BYTES];
} bp_records_t;

typedef struct {
	const char *node;
	uint64_t incarnation;
	uint64_t seq;
} bp_writer_t;

void bp_records_init(bp_records_t *records, int64_t time_ms);
void bp_records_clear(bp_records_t *records);
GByteArray *bp_records_pack(
    const bp_records_t *records, bp_writer_t *writer, Bp__Log__Entry *entry);
/* Applies one entry as a record of the writer; returns what became of it. */
int bp_records_apply(
    bp_records_t *records, bp_writer_t *writer, Bp__Log__Entry *entry);

int bp_records_claim(bp_records_t *records, bp_writer_t *writer,
    const char *rack, uint64_t epoch, Bp__Log__ClaimGround ground);
int bp_records_release(bp_records_t *records, bp_writer_t *writer,
    const char *rack, uint64_t epoch);
int bp_records_vm(bp_records_t *records, bp_writer_t *writer, const char *vm,
    const char *rack, uint64_t epoch, uint32_t cpu_milli);
int bp_records_submit(bp_records_t *records, bp_writer_t *writer,
    const char *job, const char *team, uint32_t tasks, uint32_t cpu_milli);
int bp_records_assign(bp_records_t *records, bp_writer_t *writer,
    const char *job, uint32_t first, uint32_t count, uint32_t attempt,
    const char *vm, uint64_t epoch);
int bp_records_end(bp_records_t *records, bp_writer_t *writer, const char *job,
    uint32_t task, uint32_t attempt, Bp__Log__TaskOutcome outcome,
    uint64_t epoch);
int bp_records_cancel(
    bp_records_t *records, bp_writer_t *writer, const char *job);
int bp_records_zone(bp_records_t *records, bp_writer_t *writer,
    const char *zone, bool out, uint64_t base);
int bp_records_rules(bp_records_t *records, bp_writer_t *writer,
    const char *text, uint64_t base, const char *author);
int bp_records_key(bp_records_t *records, bp_writer_t *writer, const char *key,
    uint64_t issued_s);

#endif
