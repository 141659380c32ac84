#include "bulrushpost/control.h"

#include <string.h>

/* A node with 64 MB of memory cannot hold larger states. */
#define STATE_MAX_BYTES (32U * 1024 * 1024)
/* The state of a busy peer may change between two parts. */
#define RESTARTS_MAX 3

typedef struct {
	bp_peer_client_t *client;
	char *address;
	uint32_t timeout_ms; /* of one part */
	uint32_t restarts;
	char *offset; /* of the state being fetched */
	GByteArray *bytes;
	bp_state_fetched_t done;
	void *data;
} fetch_t;

static void ask(fetch_t *fetch);

/* Also ends a fetch whose client is freed; done is not called then. */
static void
fetch_free(gpointer data)
{
	fetch_t *fetch = data;

	g_byte_array_unref(fetch->bytes);
	g_free(fetch->offset);
	g_free(fetch->address);
	g_free(fetch);
}

static void
finish(fetch_t *fetch, const bp_error_t *err)
{
	if (err != NULL)
		fetch->done(NULL, 0, err, fetch->data);
	else
		fetch->done(
		    fetch->bytes->data, fetch->bytes->len, NULL, fetch->data);
	fetch_free(fetch);
}

static void
finish_with(fetch_t *fetch, bp_error_kind_t kind, const char *message)
{
	bp_error_t err;

	(void)bp_error_set(&err, kind, "%s: %s", fetch->address, message);
	finish(fetch, &err);
}

static bool
restart(fetch_t *fetch)
{
	if (fetch->restarts++ == RESTARTS_MAX)
		return false;
	g_byte_array_set_size(fetch->bytes, 0);
	ask(fetch);
	return true;
}

static void
on_part(const Bp__Peer__Frame *answer, const bp_error_t *err, void *data)
{
	fetch_t *fetch = data;
	guint64 total;

	if (err != NULL) {
		finish(fetch, err);
		return;
	}
	if (answer->error == BP_ESTALE && restart(fetch))
		return;
	if (answer->error != BP_OK) {
		finish_with(
		    fetch, (bp_error_kind_t)answer->error, answer->message);
		return;
	}
	total = answer->n_args == 2
	    ? g_ascii_strtoull(answer->args[1], NULL, 10)
	    : 0;
	if (total == 0 || total > STATE_MAX_BYTES ||
	    fetch->bytes->len + answer->body.len > total ||
	    answer->body.len == 0) {
		finish_with(fetch, BP_EINVALID, "a broken part of a state");
		return;
	}
	g_byte_array_append(
	    fetch->bytes, answer->body.data, (guint)answer->body.len);
	g_free(fetch->offset);
	fetch->offset = g_strdup(answer->args[0]);
	if (fetch->bytes->len == total)
		finish(fetch, NULL);
	else
		ask(fetch);
}

static void
ask(fetch_t *fetch)
{
	Bp__Peer__Frame request = BP__PEER__FRAME__INIT;
	char *args[2];

	args[0] = g_strdup_printf("%u", fetch->bytes->len);
	args[1] = fetch->offset != NULL ? fetch->offset : (char *)"";
	request.verb = BP__PEER__VERB__VERB_STATE;
	request.args = args;
	request.n_args = G_N_ELEMENTS(args);
	bp_peer_client_call_full(fetch->client, fetch->address, &request,
	    fetch->timeout_ms, on_part, fetch, fetch_free);
	g_free(args[0]);
}

/* See the header; timeout_ms is for each part. */
void
bp_control_fetch_state(bp_peer_client_t *client, const char *address,
    uint32_t timeout_ms, bp_state_fetched_t done, void *data)
{
	fetch_t *fetch = g_new0(fetch_t, 1);

	fetch->client = client;
	fetch->address = g_strdup(address);
	fetch->timeout_ms = timeout_ms;
	fetch->bytes = g_byte_array_new();
	fetch->done = done;
	fetch->data = data;
	ask(fetch);
}
