#ifndef BP_STANDIN_EXECUTOR_H
#define BP_STANDIN_EXECUTOR_H

#include "bulrushpost/clock.h"
#include "standin/server.h"

typedef struct {
	const bp_clock_t *clock;
	GPtrArray *executors;
	GPtrArray *history; /* execution_t */
	int slots;
	int work_ms;
} executor_service_t;

typedef struct {
	executor_service_t *service;
	standin_server_t *server;
	uint16_t port;
	int busy;
	GQueue queue; /* running_t, not yet started */
	bool fail_fast;
	bool truncate;
	bool wrong_echo;
	int64_t delay_ms;
	int64_t lose_answers;
	int64_t leaving_since_us; /* 0 when the executor is not leaving */
} executor_t;

/* One request that took a slot. */
typedef struct {
	char *request_id;
	char *key;
	char *path;
	uint16_t port;
	int64_t start_us;
	int64_t end_us; /* 0 while it runs */
	int64_t leaving_us; /* how long the executor had been leaving */
} execution_t;

typedef struct {
	executor_t *executor;
	execution_t *execution;
	standin_pending_t *pending;
} running_t;

void executor_history_init(executor_service_t *service);
void executor_history_clear(executor_service_t *service);
execution_t *executor_history_add(
    executor_t *executor, SoupServerMessage *message);
void executor_history_build(
    const executor_service_t *service, JsonBuilder *builder, uint32_t from);
void executor_counts_build(
    const executor_service_t *service, JsonBuilder *builder);

#endif
