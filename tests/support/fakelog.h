#ifndef BP_TESTS_FAKELOG_H
#define BP_TESTS_FAKELOG_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/* A log service inside the test process, with faults on demand. */
typedef struct fakelog fakelog_t;

/* What happens to the next appends, in place of storing and answering. */
typedef enum {
	FAKELOG_STORE,
	FAKELOG_LOSE_ANSWER, /* stored, the connection breaks */
	FAKELOG_HOLD, /* kept for fakelog_deliver, the connection breaks */
	FAKELOG_DROP, /* answered, but never stored */
	FAKELOG_BUSY /* 429 */
} fakelog_fault_t;

fakelog_t *fakelog_new(void);
void fakelog_free(fakelog_t *log);
const char *fakelog_url(const fakelog_t *log);
void fakelog_set_fault(fakelog_t *log, fakelog_fault_t fault, uint32_t count);
/* All requests get this status; 0 for none. */
void fakelog_set_status(fakelog_t *log, uint32_t status);
/* Refuses connections from now on, or accepts them again. */
void fakelog_set_listening(fakelog_t *log, bool listening);
/* Every read is answered with these bytes and bounds; NULL for none. */
void fakelog_set_answer(
    fakelog_t *log, GBytes *body, const char *first, const char *head);

void fakelog_put(
    fakelog_t *log, const char *stream, const uint8_t *bytes, size_t size);
void fakelog_deliver(fakelog_t *log); /* stores what was held */
void fakelog_trim(fakelog_t *log, const char *stream, uint64_t first);
uint64_t fakelog_head(fakelog_t *log, const char *stream);
GBytes *fakelog_get(fakelog_t *log, const char *stream, uint64_t offset);
void fakelog_replace(fakelog_t *log, const char *stream, uint64_t offset,
    const uint8_t *bytes, size_t size);

/* Runs the main loop until check is true or limit_ms passed. */
bool wait_until(bool (*check)(void *data), void *data, uint32_t limit_ms);
void run_for(uint32_t ms);

#endif
