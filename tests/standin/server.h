#ifndef BP_STANDIN_SERVER_H
#define BP_STANDIN_SERVER_H

#include <json-glib/json-glib.h>
#include <libsoup/soup.h>
#include <stdbool.h>
#include <stdint.h>

/* An HTTP server on 127.0.0.1 that can be closed, limited and faulted. */
typedef struct standin_server standin_server_t;

/* A request that is answered later. */
typedef struct {
	SoupServerMessage *message;
	char *path;
	bool gone; /* the caller has closed its connection */
} standin_pending_t;

typedef void (*standin_handler_t)(SoupServerMessage *message, const char *path,
    GHashTable *query, void *data);

int standin_server_new(standin_server_t **out, uint16_t port,
    uint32_t max_connections, standin_handler_t handler, void *data);
void standin_server_free(standin_server_t *server);
uint16_t standin_server_port(const standin_server_t *server);
void standin_server_refuse(standin_server_t *server, bool refuse);

void standin_reply(SoupServerMessage *message, uint32_t status,
    const char *type, const void *body, size_t size_bytes);
void standin_reply_text(
    SoupServerMessage *message, uint32_t status, const char *text);
void standin_reply_json(SoupServerMessage *message, JsonBuilder *builder);
void standin_reply_truncated(
    SoupServerMessage *message, const char *headers, const char *body);
void standin_drop(SoupServerMessage *message);
standin_pending_t *standin_hold(SoupServerMessage *message, const char *path);
void standin_release(standin_pending_t *pending);

JsonParser *standin_body_json(SoupServerMessage *message);
JsonObject *standin_body_object(JsonParser *parser);
bool standin_json_bool(JsonObject *object, const char *name, bool fallback);
int64_t standin_json_int(
    JsonObject *object, const char *name, int64_t fallback);
const char *standin_json_text(JsonObject *object, const char *name);
uint64_t standin_query_uint(
    GHashTable *query, const char *name, uint64_t fallback);
void standin_build_int(JsonBuilder *builder, const char *name, int64_t value);
void standin_build_text(
    JsonBuilder *builder, const char *name, const char *value);
void standin_build_bool(JsonBuilder *builder, const char *name, bool value);

bool standin_options(int *argc, char ***argv, const GOptionEntry *entries);
void standin_announce(const char *what, uint16_t port);
int standin_run(void);

int standin_log_main(int argc, char **argv);
int standin_vmlist_main(int argc, char **argv);
int standin_worker_main(int argc, char **argv);
int standin_executor_main(int argc, char **argv);

#endif
