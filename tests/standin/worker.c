#include "standin/server.h"
#include "standin/worker.h"

#include <string.h>

#define TICK_MS 50
#define PROTOBUF_TYPE "application/x-protobuf"

typedef struct {
	vm_t *vm;
	char *name;
	char *rack;
	bool frozen; /* requests wait until the VM goes on */
	bool unreachable; /* connections are closed without an answer */
	GQueue held; /* standin_pending_t */
} served_vm_t;

typedef struct {
	GPtrArray *vms;
	GHashTable *by_name;
	vm_history_t history;
	bp_random_t random;
	char *zone;
	uint16_t port;
} worker_service_t;

typedef struct {
	int port;
	int vms;
	int vms_per_rack;
	char *prefix;
	char *zone;
	int cpu_milli;
	int memory_mib;
	int accelerators;
	int usage_lag_ms;
	int checkpoint_ms;
	gboolean print;
} worker_options_t;

static GBytes *
request_body(SoupServerMessage *message)
{
	return soup_message_body_flatten(
	    soup_server_message_get_request_body(message));
}

static void *
unpack(SoupServerMessage *message, const ProtobufCMessageDescriptor *type)
{
	GBytes *body = request_body(message);
	gsize size = 0;
	const uint8_t *bytes = g_bytes_get_data(body, &size);
	void *result = protobuf_c_message_unpack(type, NULL, size, bytes);

	g_bytes_unref(body);
	if (result == NULL)
		standin_reply_text(message, SOUP_STATUS_BAD_REQUEST,
		    "the body is not the expected message\n");
	return result;
}

static void
reply_message(SoupServerMessage *message, const ProtobufCMessage *answer)
{
	size_t size = protobuf_c_message_get_packed_size(answer);
	uint8_t *bytes = g_malloc(size + 1);

	protobuf_c_message_pack(answer, bytes);
	standin_reply(message, SOUP_STATUS_OK, PROTOBUF_TYPE, bytes, size);
	g_free(bytes);
}

static void
handle_nonce(vm_t *vm, SoupServerMessage *message)
{
	Bp__Worker__NonceRequest *request =
	    unpack(message, &bp__worker__nonce_request__descriptor);
	Bp__Worker__NonceAnswer *answer;

	if (request == NULL)
		return;
	answer = g_new(Bp__Worker__NonceAnswer, 1);
	bp__worker__nonce_answer__init(answer);
	vm_describe(vm, answer);
	answer->nonce = vm_nonce(vm);
	reply_message(message, &answer->base);
	bp__worker__nonce_answer__free_unpacked(answer, NULL);
	bp__worker__nonce_request__free_unpacked(request, NULL);
}

static void
handle_session(vm_t *vm, SoupServerMessage *message)
{
	Bp__Worker__SessionRequest *request =
	    unpack(message, &bp__worker__session_request__descriptor);
	Bp__Worker__SessionAnswer answer = BP__WORKER__SESSION_ANSWER__INIT;

	if (request == NULL)
		return;
	answer.status = vm_session(vm, request);
	answer.nonce = vm_nonce(vm);
	answer.boot_id = vm_boot_id(vm);
	answer.session_epoch = vm_session_epoch(vm);
	reply_message(message, &answer.base);
	bp__worker__session_request__free_unpacked(request, NULL);
}

static void
handle_start(vm_t *vm, SoupServerMessage *message)
{
	Bp__Worker__StartRequest *request =
	    unpack(message, &bp__worker__start_request__descriptor);
	Bp__Worker__StartAnswer answer = BP__WORKER__START_ANSWER__INIT;
	size_t i;

	if (request == NULL)
		return;
	answer.n_status = request->n_tasks;
	answer.status = g_new0(Bp__Worker__Status, request->n_tasks + 1);
	for (i = 0; i < request->n_tasks; i++) {
		if (request->tasks[i]->id == NULL)
			answer.status[i] =
			    BP__WORKER__STATUS__STATUS_UNKNOWN_TASK;
		else
			answer.status[i] = vm_start(vm, request->epoch,
			    request->nonce, request->tasks[i]);
	}
	answer.nonce = vm_nonce(vm);
	answer.boot_id = vm_boot_id(vm);
	reply_message(message, &answer.base);
	g_free(answer.status);
	bp__worker__start_request__free_unpacked(request, NULL);
}

static void
handle_renew(vm_t *vm, SoupServerMessage *message)
{
	Bp__Worker__RenewRequest *request =
	    unpack(message, &bp__worker__renew_request__descriptor);
	Bp__Worker__RenewAnswer answer = BP__WORKER__RENEW_ANSWER__INIT;

	if (request == NULL)
		return;
	answer.status = vm_renew(vm, request, &answer);
	answer.nonce = vm_nonce(vm);
	answer.boot_id = vm_boot_id(vm);
	reply_message(message, &answer.base);
	bp__worker__renew_request__free_unpacked(request, NULL);
}

static void
handle_act(vm_t *vm, SoupServerMessage *message)
{
	Bp__Worker__ActRequest *request =
	    unpack(message, &bp__worker__act_request__descriptor);
	Bp__Worker__ActAnswer answer = BP__WORKER__ACT_ANSWER__INIT;
	size_t i;

	if (request == NULL)
		return;
	answer.n_status = request->n_actions;
	answer.status = g_new0(Bp__Worker__Status, request->n_actions + 1);
	for (i = 0; i < request->n_actions; i++) {
		if (request->actions[i]->id == NULL)
			answer.status[i] =
			    BP__WORKER__STATUS__STATUS_UNKNOWN_TASK;
		else
			answer.status[i] = vm_act(vm, request->epoch,
			    request->nonce, request->actions[i]);
	}
	answer.nonce = vm_nonce(vm);
	answer.boot_id = vm_boot_id(vm);
	reply_message(message, &answer.base);
	g_free(answer.status);
	bp__worker__act_request__free_unpacked(request, NULL);
}

static const struct {
	const char *verb;
	void (*handle)(vm_t *vm, SoupServerMessage *message);
} verbs[] = {
    {"nonce", handle_nonce},
    {"session", handle_session},
    {"start", handle_start},
    {"renew", handle_renew},
    {"act", handle_act},
};

static void
handle_verb(vm_t *vm, SoupServerMessage *message, const char *verb)
{
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(verbs); i++) {
		if (strcmp(verb, verbs[i].verb) == 0) {
			verbs[i].handle(vm, message);
			return;
		}
	}
	standin_reply_text(message, SOUP_STATUS_NOT_FOUND, "no such verb\n");
}

/* /w/NAME/v1/VERB */
static void
handle_vm(
    worker_service_t *service, SoupServerMessage *message, const char *path)
{
	char **parts = g_strsplit(path, "/", -1);
	served_vm_t *served = NULL;

	if (g_strv_length(parts) == 5 && strcmp(parts[3], "v1") == 0)
		served = g_hash_table_lookup(service->by_name, parts[2]);
	if (served == NULL)
		standin_reply_text(
		    message, SOUP_STATUS_NOT_FOUND, "no such VM\n");
	else if (served->unreachable)
		standin_drop(message);
	else if (served->frozen)
		g_queue_push_tail(&served->held, standin_hold(message, path));
	else
		handle_verb(served->vm, message, parts[4]);
	g_strfreev(parts);
}

/* A frozen VM answers late what it was sent while it stood still. */
static void
thaw(served_vm_t *served)
{
	standin_pending_t *pending;

	served->frozen = false;
	while ((pending = g_queue_pop_head(&served->held)) != NULL) {
		handle_verb(served->vm, pending->message,
		    strrchr(pending->path, '/') + 1);
		standin_release(pending);
	}
}

static void
handle_fault(worker_service_t *service, SoupServerMessage *message)
{
	JsonParser *parser = standin_body_json(message);
	JsonObject *o = standin_body_object(parser);
	const char *name = o != NULL ? standin_json_text(o, "vm") : NULL;
	served_vm_t *served =
	    name != NULL ? g_hash_table_lookup(service->by_name, name) : NULL;
	bool frozen;

	if (served == NULL) {
		standin_reply_text(
		    message, SOUP_STATUS_NOT_FOUND, "no such VM\n");
		g_clear_object(&parser);
		return;
	}
	if (json_object_has_member(o, "fail_all"))
		vm_set_fail_all(
		    served->vm, standin_json_bool(o, "fail_all", false));
	served->unreachable =
	    standin_json_bool(o, "unreachable", served->unreachable);
	frozen = standin_json_bool(o, "frozen", served->frozen);
	if (standin_json_bool(o, "reboot", false))
		vm_reboot(served->vm);
	if (served->frozen && !frozen)
		thaw(served);
	served->frozen = frozen;
	g_object_unref(parser);
	standin_reply_text(message, SOUP_STATUS_OK, "ok\n");
}

static void
advance_all(worker_service_t *service)
{
	guint i;

	for (i = 0; i < service->vms->len; i++) {
		served_vm_t *served = g_ptr_array_index(service->vms, i);

		vm_advance(served->vm);
	}
}

static void
handle_history(
    worker_service_t *service, SoupServerMessage *message, GHashTable *query)
{
	JsonBuilder *b = json_builder_new();

	advance_all(service);
	json_builder_begin_array(b);
	vm_history_build(&service->history,
	    (uint32_t)standin_query_uint(query, "from", 0), b);
	json_builder_end_array(b);
	standin_reply_json(message, b);
}

static void
handle_state(worker_service_t *service, SoupServerMessage *message)
{
	JsonBuilder *b = json_builder_new();
	guint i;

	advance_all(service);
	json_builder_begin_array(b);
	for (i = 0; i < service->vms->len; i++) {
		served_vm_t *served = g_ptr_array_index(service->vms, i);

		vm_build(served->vm, b);
	}
	json_builder_end_array(b);
	standin_reply_json(message, b);
}

static void
handle_worker(
    SoupServerMessage *message, const char *path, GHashTable *query, void *data)
{
	worker_service_t *service = data;

	if (g_str_has_prefix(path, "/w/"))
		handle_vm(service, message, path);
	else if (strcmp(path, "/admin/vm") == 0)
		handle_fault(service, message);
	else if (strcmp(path, "/admin/history") == 0)
		handle_history(service, message, query);
	else if (strcmp(path, "/admin/vms") == 0)
		handle_state(service, message);
	else
		standin_reply_text(
		    message, SOUP_STATUS_NOT_FOUND, "no such path\n");
}

static void
add_vm(worker_service_t *service, const worker_options_t *options, int index)
{
	served_vm_t *served = g_new0(served_vm_t, 1);
	vm_options_t o = {
	    .zone = options->zone,
	    .cpu_milli = (uint32_t)options->cpu_milli,
	    .memory_mib = (uint32_t)options->memory_mib,
	    .accelerators = (uint32_t)options->accelerators,
	    .usage_lag_ms = (uint32_t)options->usage_lag_ms,
	    .checkpoint_ms = (uint32_t)options->checkpoint_ms,
	    .clock = bp_clock_system(),
	    .random = &service->random,
	    .history = &service->history,
	};

	served->name = g_strdup_printf("%s-%d", options->prefix, index);
	served->rack = g_strdup_printf(
	    "%s-r%d", options->prefix, index / options->vms_per_rack);
	g_queue_init(&served->held);
	o.name = served->name;
	o.rack = served->rack;
	served->vm = vm_new(&o);
	g_ptr_array_add(service->vms, served);
	g_hash_table_insert(service->by_name, served->name, served);
}

static gboolean
on_tick(gpointer data)
{
	advance_all(data);
	return G_SOURCE_CONTINUE;
}

static void
served_vm_free(gpointer data)
{
	served_vm_t *served = data;

	g_queue_clear(&served->held);
	vm_free(served->vm);
	g_free(served->name);
	g_free(served->rack);
	g_free(served);
}

static int
serve_workers(const worker_options_t *options)
{
	worker_service_t service = {0};
	standin_server_t *server = NULL;
	guint tick;
	int rc = 1;
	int i;

	bp_random_init(
	    &service.random, ((uint64_t)g_random_int() << 32) | g_random_int());
	vm_history_init(&service.history, options->print);
	service.vms = g_ptr_array_new_with_free_func(served_vm_free);
	service.by_name = g_hash_table_new(g_str_hash, g_str_equal);
	for (i = 0; i < options->vms; i++)
		add_vm(&service, options, i);
	if (standin_server_new(&server, (uint16_t)options->port, 0,
		handle_worker, &service) == 0) {
		standin_announce("LISTENING", standin_server_port(server));
		tick = g_timeout_add(TICK_MS, on_tick, &service);
		rc = standin_run();
		g_source_remove(tick);
		standin_server_free(server);
	}
	g_hash_table_unref(service.by_name);
	g_ptr_array_unref(service.vms);
	vm_history_clear(&service.history);
	return rc;
}

/* Workers of one availability zone, at /w/PREFIX-i/v1/. */
int
standin_worker_main(int argc, char **argv)
{
	worker_options_t o = {.vms = 1,
	    .vms_per_rack = 8,
	    .cpu_milli = 16000,
	    .memory_mib = 61440,
	    .usage_lag_ms = 2000,
	    .checkpoint_ms = 100};
	const GOptionEntry entries[] = {
	    {"port", 0, 0, G_OPTION_ARG_INT, &o.port, "Port", "P"},
	    {"vms", 0, 0, G_OPTION_ARG_INT, &o.vms, "Workers", "N"},
	    {"vms-per-rack", 0, 0, G_OPTION_ARG_INT, &o.vms_per_rack,
		"Workers in a rack", "N"},
	    {"prefix", 0, 0, G_OPTION_ARG_STRING, &o.prefix, "Name", "NAME"},
	    {"zone", 0, 0, G_OPTION_ARG_STRING, &o.zone, "Zone", "ZONE"},
	    {"cpu-milli", 0, 0, G_OPTION_ARG_INT, &o.cpu_milli, "Size", "N"},
	    {"memory-mib", 0, 0, G_OPTION_ARG_INT, &o.memory_mib, "Size", "N"},
	    {"accelerators", 0, 0, G_OPTION_ARG_INT, &o.accelerators, "Size",
		"N"},
	    {"usage-lag-ms", 0, 0, G_OPTION_ARG_INT, &o.usage_lag_ms,
		"Age of usage reports", "N"},
	    {"checkpoint-ms", 0, 0, G_OPTION_ARG_INT, &o.checkpoint_ms,
		"Time of a checkpoint", "N"},
	    {"print", 0, 0, G_OPTION_ARG_NONE, &o.print, "Print starts", NULL},
	    G_OPTION_ENTRY_NULL,
	};
	int rc = 2;

	if (standin_options(&argc, &argv, entries) && o.vms_per_rack > 0) {
		if (o.prefix == NULL)
			o.prefix = g_strdup("w");
		if (o.zone == NULL)
			o.zone = g_strdup("zone-a");
		rc = serve_workers(&o);
	}
	g_free(o.prefix);
	g_free(o.zone);
	return rc;
}
