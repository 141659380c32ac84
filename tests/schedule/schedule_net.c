#include "schedule/schedule.h"

#include <stdlib.h>
#include <string.h>

#define CALL_TIMEOUT_US 1500000
#define DELAY_MAX_US 8000
#define LATE_MAX_US 15000000
#define PERMIT_US 2000000

/* The fakes that stand for the clients of one node. */
struct bp_workerclient {
	bp_fake_node_t node;
};

static bp_fake_node_t *
node_of(bp_workerclient_t *client)
{
	return (bp_fake_node_t *)(void *)client;
}

void
bp_fake_call_unref(void *data)
{
	bp_fake_call_t *call = data;

	if (--call->references > 0)
		return;
	g_byte_array_unref(call->request);
	if (call->answer != NULL)
		g_byte_array_unref(call->answer);
	g_free(call);
}

static bool
is_cut(const bp_schedule_t *s, const bp_fake_call_t *call)
{
	return s->vms[call->vm].gone ||
	    s->vms[call->vm].cut_until_us[call->node->index] >
	    bp_schedule_now_us(s);
}

static int64_t
delay_us(bp_schedule_t *s)
{
	int64_t delay = 500 + bp_schedule_random(s, DELAY_MAX_US);

	if (s->options.faults && !s->healed && bp_schedule_random(s, 40) == 0)
		delay += bp_schedule_random(
		    s, bp_schedule_random(s, 2) == 0 ? LATE_MAX_US : PERMIT_US);
	return delay;
}

static bool
is_lost(bp_schedule_t *s)
{
	return s->options.faults && !s->healed &&
	    bp_schedule_random(s, 50) == 0;
}

static void
finish_error(bp_fake_call_t *call)
{
	bp_error_t err;

	(void)bp_error_set(&err, BP_EUNKNOWN, "no answer");
	((bp_worker_nonce_cb_t)call->done)(NULL, &err, (void *)call->owner);
}

static void
on_timeout(bp_schedule_t *s, bp_event_item_t *item)
{
	bp_fake_call_t *call = item->data;

	(void)s;
	if (!call->finished) {
		call->finished = true;
		finish_error(call);
	}
	bp_fake_call_unref(call);
}

static void
finish_answer(bp_fake_call_t *call)
{
	const GByteArray *bytes = call->answer;
	void *owner = (void *)call->owner;
	Bp__Worker__NonceAnswer *nonce;
	Bp__Worker__SessionAnswer *session;
	Bp__Worker__StartAnswer *start;
	Bp__Worker__RenewAnswer *renew;
	Bp__Worker__ActAnswer *act;

	switch (call->kind) {
	case CALL_NONCE:
		nonce = bp__worker__nonce_answer__unpack(
		    NULL, bytes->len, bytes->data);
		((bp_worker_nonce_cb_t)call->done)(nonce, NULL, owner);
		bp__worker__nonce_answer__free_unpacked(nonce, NULL);
		break;
	case CALL_SESSION:
		session = bp__worker__session_answer__unpack(
		    NULL, bytes->len, bytes->data);
		((bp_worker_session_cb_t)call->done)(session, NULL, owner);
		bp__worker__session_answer__free_unpacked(session, NULL);
		break;
	case CALL_START:
		start = bp__worker__start_answer__unpack(
		    NULL, bytes->len, bytes->data);
		((bp_worker_start_cb_t)call->done)(start, NULL, owner);
		bp__worker__start_answer__free_unpacked(start, NULL);
		break;
	case CALL_RENEW:
		renew = bp__worker__renew_answer__unpack(
		    NULL, bytes->len, bytes->data);
		((bp_worker_renew_cb_t)call->done)(renew, NULL, owner);
		bp__worker__renew_answer__free_unpacked(renew, NULL);
		break;
	default:
		act = bp__worker__act_answer__unpack(
		    NULL, bytes->len, bytes->data);
		((bp_worker_act_cb_t)call->done)(act, NULL, owner);
		bp__worker__act_answer__free_unpacked(act, NULL);
		break;
	}
}

static void
on_answer(bp_schedule_t *s, bp_event_item_t *item)
{
	bp_fake_call_t *call = item->data;

	(void)s;
	if (!call->finished) {
		call->finished = true;
		finish_answer(call);
	}
	bp_fake_call_unref(call);
}

static void
on_request(bp_schedule_t *s, bp_event_item_t *item)
{
	bp_fake_call_t *call = item->data;
	GByteArray *answer;

	if (is_cut(s, call)) {
		bp_fake_call_unref(call);
		return;
	}
	answer = bp_fake_vm_answer(s, call->vm, call->kind, call->request);
	if (call->answer == NULL && !is_lost(s)) {
		call->answer = answer;
		bp_schedule_post(s, delay_us(s), call->node, call->incarnation,
		    on_answer, call, bp_fake_call_unref);
		return;
	}
	g_byte_array_unref(answer);
	bp_fake_call_unref(call);
}

static void
send_call(bp_workerclient_t *client, const char *url, int kind,
    const ProtobufCMessage *request, GCallback done, void *owner)
{
	bp_fake_node_t *node = node_of(client);
	bp_schedule_t *s = node->schedule;
	bp_fake_call_t *call = g_new0(bp_fake_call_t, 1);

	call->node = node;
	call->incarnation = node->incarnation;
	call->vm = url[strlen("vm")] - '0';
	call->kind = kind;
	call->request = g_byte_array_new();
	g_byte_array_set_size(
	    call->request, (guint)protobuf_c_message_get_packed_size(request));
	protobuf_c_message_pack(request, call->request->data);
	call->done = done;
	call->owner = owner;
	call->references = 1;
	bp_schedule_post(s, CALL_TIMEOUT_US, node, node->incarnation,
	    on_timeout, call, bp_fake_call_unref);
	if (is_lost(s))
		return;
	call->references++;
	bp_schedule_post(
	    s, delay_us(s), NULL, 0, on_request, call, bp_fake_call_unref);
	/* A request that the network delivers twice. */
	if (s->options.faults && !s->healed && bp_schedule_random(s, 60) == 0) {
		call->references++;
		bp_schedule_post(s, delay_us(s), NULL, 0, on_request, call,
		    bp_fake_call_unref);
	}
}

void
bp_workerclient_cancel(bp_workerclient_t *client, const void *data)
{
	bp_schedule_t *s = node_of(client)->schedule;
	guint i;

	for (i = 0; i < s->events->len; i++) {
		bp_event_item_t *item = g_ptr_array_index(s->events, i);
		bp_fake_call_t *call = item->data;

		if ((item->run == on_timeout || item->run == on_answer ||
			item->run == on_request) &&
		    call->owner == data)
			call->finished = true;
	}
}

void
bp_workerclient_nonce(bp_workerclient_t *client, const char *url,
    const Bp__Worker__NonceRequest *request, bp_worker_nonce_cb_t done,
    void *data)
{
	send_call(
	    client, url, CALL_NONCE, &request->base, (GCallback)done, data);
}

void
bp_workerclient_session(bp_workerclient_t *client, const char *url,
    const Bp__Worker__SessionRequest *request, bp_worker_session_cb_t done,
    void *data)
{
	send_call(
	    client, url, CALL_SESSION, &request->base, (GCallback)done, data);
}

void
bp_workerclient_start(bp_workerclient_t *client, const char *url,
    const Bp__Worker__StartRequest *request, bp_worker_start_cb_t done,
    void *data)
{
	send_call(
	    client, url, CALL_START, &request->base, (GCallback)done, data);
}

void
bp_workerclient_renew(bp_workerclient_t *client, const char *url,
    const Bp__Worker__RenewRequest *request, bp_worker_renew_cb_t done,
    void *data)
{
	send_call(
	    client, url, CALL_RENEW, &request->base, (GCallback)done, data);
}

void
bp_workerclient_act(bp_workerclient_t *client, const char *url,
    const Bp__Worker__ActRequest *request, bp_worker_act_cb_t done, void *data)
{
	send_call(client, url, CALL_ACT, &request->base, (GCallback)done, data);
}
