#ifndef BP_TESTS_EXECUTOR_H
#define BP_TESTS_EXECUTOR_H

#include <glib.h>
#include <stdint.h>

/* A stand-in executor on a raw socket; it misbehaves as told. */
typedef struct executor executor_t;

typedef enum {
	EXECUTOR_OK,
	EXECUTOR_TWICE, /* answers, and then once more */
	EXECUTOR_WRONG_ECHO,
	EXECUTOR_NO_ECHO,
	EXECUTOR_TRUNCATED, /* half of the stated length */
	EXECUTOR_CHUNKED,
	EXECUTOR_CUT_CHUNKS, /* chunked without the last chunk */
	EXECUTOR_NO_LENGTH, /* ends with the connection */
	EXECUTOR_SLOW, /* answers after delay_ms */
	EXECUTOR_CLOSE, /* reads the request, then closes */
	EXECUTOR_ERROR, /* 500 at once */
	EXECUTOR_BUSY, /* 503 at once */
	EXECUTOR_LARGE /* 9 MiB */
} executor_mode_t;

executor_t *executor_new(executor_mode_t mode);
/* To be called after the callers have closed their connections. */
void executor_free(executor_t *executor);
void executor_set_mode(executor_t *executor, executor_mode_t mode);
void executor_set_delay(executor_t *executor, int delay_ms);
const char *executor_url(const executor_t *executor);
/* Most requests that were being answered at one time. */
int executor_peak(executor_t *executor);
int executor_connections(executor_t *executor);
/* Whole requests that were read, in all or with a text in the path. */
int executor_requests(executor_t *executor);
int executor_count(executor_t *executor, const char *text);
/* The latest value of a header, to be freed; NULL when absent. */
char *executor_header(executor_t *executor, const char *name);
/* A url of a port where nothing listens. */
char *executor_dead_url(void);

#endif
