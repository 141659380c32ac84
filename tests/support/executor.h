#ifndef BP_TESTS_EXECUTOR_H
#define BP_TESTS_EXECUTOR_H

#include <gio/gio.h>

/* What a stand-in executor does with each request. */
typedef enum {
	EXECUTOR_OK,
	EXECUTOR_SLOW, /* answers after delay_ms */
	EXECUTOR_TWICE, /* answers, and then once more */
	EXECUTOR_CHUNKED,
	EXECUTOR_ERROR, /* 500 at once */
	EXECUTOR_BUSY, /* 503 at once */
	EXECUTOR_WRONG_ECHO,
	EXECUTOR_NO_ECHO,
	EXECUTOR_TRUNCATED, /* half of the stated length */
	EXECUTOR_CUT_CHUNKS, /* without the last chunk */
	EXECUTOR_NO_LENGTH, /* ends with the connection */
	EXECUTOR_LARGE, /* 9 MiB */
	EXECUTOR_CLOSE /* no answer */
} executor_mode_t;

/* A stand-in executor on a raw socket; the numbers are atomic. */
typedef struct {
	GSocketService *service;
	char *url;
	gint mode; /* executor_mode_t */
	gint delay_ms;
	gint connections; /* accepted so far */
	gint open; /* connections now */
	gint busy; /* requests now */
	gint peak; /* most requests at one time */
	GMutex lock;
	GPtrArray *heads; /* of all requests that were read whole */
} executor_t;

executor_t *executor_new(executor_mode_t mode);
/* To be called after the callers have closed their connections. */
void executor_free(executor_t *executor);
/* Number of requests whose head holds the text; "" for all. */
int executor_count(executor_t *executor, const char *text);
/* A header of the latest request, to be freed; NULL when absent. */
char *executor_header(executor_t *executor, const char *name);
/* The url of a port that was free a moment ago, to be freed. */
char *executor_dead_url(GSocket **holder);

#endif
