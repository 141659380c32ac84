#include "proto/worker.pb-c.h"
#include "support/http.h"
#include "support/process.h"
#include "support/runner.h"

#include <signal.h>
#include <string.h>

#define STANDIN "build/standin"
#define PERMIT_MS 2000

typedef struct {
	bp_process_t *process;
	bp_http_t *http;
	char *base; /* http://127.0.0.1:port */
} server_t;

static server_t
start(const char *kind, const char *option, const char *value)
{
	const char *argv[] = {
	    STANDIN, kind, "--port", "0", option, value, NULL};
	server_t s = {bp_process_start(kind, argv), bp_http_new(), NULL};

	CU_ASSERT_PTR_NOT_NULL_FATAL(s.process);
	s.base = g_strdup_printf(
	    "http://127.0.0.1:%u", bp_process_port(s.process, "LISTENING"));
	return s;
}

static void
stop(server_t *s)
{
	bp_http_free(s->http);
	CU_ASSERT_EQUAL(bp_process_stop(s->process), 0);
	bp_process_free(s->process);
	g_free(s->base);
}

/* Sends a message to worker w-0 and returns the answer of the given type. */
static void *
call(server_t *s, const char *verb, const ProtobufCMessage *request,
    const ProtobufCMessageDescriptor *type)
{
	size_t size = protobuf_c_message_get_packed_size(request);
	uint8_t *bytes = g_malloc(size + 1);
	char *url = g_strdup_printf("%s/w/w-0/v1/%s", s->base, verb);
	bp_reply_t *reply;
	void *answer;

	protobuf_c_message_pack(request, bytes);
	reply = bp_http_post(s->http, url, bytes, size);
	CU_ASSERT_EQUAL_FATAL(reply->status, 200);
	answer = protobuf_c_message_unpack(
	    type, NULL, reply->body_bytes, (const uint8_t *)reply->body);
	CU_ASSERT_PTR_NOT_NULL_FATAL(answer);
	bp_reply_free(reply);
	g_free(url);
	g_free(bytes);
	return answer;
}

static uint64_t
get_nonce(server_t *s)
{
	Bp__Worker__NonceRequest request = BP__WORKER__NONCE_REQUEST__INIT;
	Bp__Worker__NonceAnswer *answer = call(
	    s, "nonce", &request.base, &bp__worker__nonce_answer__descriptor);
	uint64_t nonce = answer->nonce;

	bp__worker__nonce_answer__free_unpacked(answer, NULL);
	return nonce;
}

static int
open_session(server_t *s, uint64_t epoch, const char *owner, uint64_t nonce)
{
	Bp__Worker__SessionRequest request = BP__WORKER__SESSION_REQUEST__INIT;
	Bp__Worker__SessionAnswer *answer;
	int status;

	request.epoch = epoch;
	request.owner = (char *)owner;
	request.nonce = nonce;
	answer = call(s, "session", &request.base,
	    &bp__worker__session_answer__descriptor);
	status = (int)answer->status;
	bp__worker__session_answer__free_unpacked(answer, NULL);
	return status;
}

/* Starts attempt 1 of a task of job j; cpu in milli, lease in ms. */
static int
start_task(server_t *s, uint64_t epoch, uint64_t nonce, uint32_t task,
    uint32_t cpu_milli, uint32_t lease_ms, const char *command)
{
	Bp__Worker__TaskId id = BP__WORKER__TASK_ID__INIT;
	Bp__Worker__StartTask one = BP__WORKER__START_TASK__INIT;
	Bp__Worker__StartTask *list[] = {&one};
	Bp__Worker__StartRequest request = BP__WORKER__START_REQUEST__INIT;
	Bp__Worker__StartAnswer *answer;
	int status;

	id.job = "j";
	id.task = task;
	id.attempt = 1;
	one.id = &id;
	one.cpu_milli = cpu_milli;
	one.lease_ms = lease_ms;
	one.command = (char *)command;
	request.epoch = epoch;
	request.nonce = nonce;
	request.n_tasks = 1;
	request.tasks = list;
	answer = call(
	    s, "start", &request.base, &bp__worker__start_answer__descriptor);
	CU_ASSERT_EQUAL_FATAL(answer->n_status, 1);
	status = (int)answer->status[0];
	bp__worker__start_answer__free_unpacked(answer, NULL);
	return status;
}

static Bp__Worker__RenewAnswer *
renew(server_t *s, uint64_t epoch, Bp__Worker__TaskId *acknowledged)
{
	Bp__Worker__RenewRequest request = BP__WORKER__RENEW_REQUEST__INIT;

	request.epoch = epoch;
	request.nonce = get_nonce(s);
	request.n_ack_ended = acknowledged != NULL;
	request.ack_ended = &acknowledged;
	return call(
	    s, "renew", &request.base, &bp__worker__renew_answer__descriptor);
}

/* Guards against a worker that obeys a superseded owner or an old nonce. */
static void
test_worker_fences_owners(void)
{
	server_t s = start("worker", "--vms", "1");
	uint64_t nonce = get_nonce(&s);

	CU_ASSERT_EQUAL(start_task(&s, 1, nonce, 0, 1, 9000, ""),
	    BP__WORKER__STATUS__STATUS_STALE_EPOCH);
	CU_ASSERT_EQUAL(open_session(&s, 1, "a", nonce), 0);
	CU_ASSERT_EQUAL(open_session(&s, 1, "b", nonce),
	    BP__WORKER__STATUS__STATUS_STALE_EPOCH);
	CU_ASSERT_EQUAL(start_task(&s, 1, nonce, 0, 1, 9000, "run_ms=0"), 0);
	CU_ASSERT_EQUAL(open_session(&s, 2, "b", nonce), 0);
	CU_ASSERT_EQUAL(start_task(&s, 1, nonce, 1, 1, 9000, ""),
	    BP__WORKER__STATUS__STATUS_STALE_EPOCH);
	CU_ASSERT_EQUAL(start_task(&s, 2, nonce + 1, 1, 1, 9000, ""),
	    BP__WORKER__STATUS__STATUS_NONCE_EXPIRED);
	bp_run_for_ms(PERMIT_MS + 1);
	CU_ASSERT_EQUAL(start_task(&s, 2, nonce, 1, 1, 9000, ""),
	    BP__WORKER__STATUS__STATUS_NONCE_EXPIRED);
	stop(&s);
}

/* Guards against a worker that starts twice or beyond its capacity. */
static void
test_worker_limits_starts(void)
{
	server_t s = start("worker", "--cpu-milli", "1000");
	uint64_t nonce = get_nonce(&s);

	CU_ASSERT_EQUAL(open_session(&s, 1, "a", nonce), 0);
	CU_ASSERT_EQUAL(start_task(&s, 1, nonce, 0, 600, 9000, "run_ms=0"), 0);
	CU_ASSERT_EQUAL(start_task(&s, 1, nonce, 0, 600, 9000, "run_ms=0"),
	    BP__WORKER__STATUS__STATUS_ALREADY);
	CU_ASSERT_EQUAL(start_task(&s, 1, nonce, 1, 600, 9000, ""),
	    BP__WORKER__STATUS__STATUS_NO_CAPACITY);
	CU_ASSERT_EQUAL(start_task(&s, 1, nonce, 2, 400, 9000, "run_ms=1"), 0);
	bp_run_for_ms(20);
	CU_ASSERT_EQUAL(start_task(&s, 1, nonce, 2, 400, 9000, "run_ms=1"),
	    BP__WORKER__STATUS__STATUS_ENDED);
	stop(&s);
}

/* Guards against a lost end and a task that outlives its lease. */
static void
test_worker_keeps_ended_tasks(void)
{
	server_t s = start("worker", "--vms", "1");
	uint64_t nonce = get_nonce(&s);
	Bp__Worker__RenewAnswer *answer;
	int i;

	CU_ASSERT_EQUAL(open_session(&s, 1, "a", nonce), 0);
	CU_ASSERT_EQUAL(start_task(&s, 1, nonce, 0, 1, 50, "run_ms=0"), 0);
	bp_run_for_ms(60);
	for (i = 0; i < 2; i++) {
		answer = renew(&s, 1, NULL);
		CU_ASSERT_EQUAL_FATAL(answer->n_ended, 1);
		CU_ASSERT_EQUAL(answer->ended[0]->cause,
		    BP__WORKER__END_CAUSE__END_LEASE_LAPSED);
		if (i == 0)
			bp__worker__renew_answer__free_unpacked(answer, NULL);
	}
	CU_ASSERT_EQUAL(answer->status, 0);
	bp__worker__renew_answer__free_unpacked(
	    renew(&s, 1, answer->ended[0]->id), NULL);
	bp__worker__renew_answer__free_unpacked(answer, NULL);
	answer = renew(&s, 1, NULL);
	CU_ASSERT_EQUAL(answer->n_ended, 0);
	bp__worker__renew_answer__free_unpacked(answer, NULL);
	stop(&s);
}

/* Guards against an append that is lost together with its answer. */
static void
test_log_keeps_append_of_lost_answer(void)
{
	server_t s = start("log", "--retention-records", "3");
	char *faults = g_strconcat(s.base, "/admin/faults", NULL);
	char *records = g_strconcat(s.base, "/streams/s/records", NULL);
	char *old = g_strconcat(records, "?from=0", NULL);
	char *kept = g_strconcat(records, "?from=1&max=1", NULL);
	bp_reply_t *reply;

	g_free(bp_http_call(s.http, "POST", records, "zero"));
	g_free(bp_http_call(s.http, "POST", faults, "{\"lose_answers\":1}"));
	CU_ASSERT_PTR_NULL(bp_http_call(s.http, "POST", records, "one"));
	g_free(bp_http_call(s.http, "POST", records, "two"));
	reply = bp_http_post(s.http, records, "three", 5);
	CU_ASSERT_STRING_EQUAL(reply->body, "{\"offset\":3}");
	bp_reply_free(reply);
	reply = bp_http_send(s.http, "GET", old, NULL, NULL);
	CU_ASSERT_TRUE_FATAL(bp_http_wait(reply));
	CU_ASSERT_EQUAL(reply->status, 410);
	bp_reply_free(reply);
	reply = bp_http_send(s.http, "GET", kept, NULL, NULL);
	CU_ASSERT_TRUE_FATAL(bp_http_wait(reply));
	/* 8 bytes of offset and 4 of length, then the record. */
	CU_ASSERT_EQUAL_FATAL(reply->body_bytes, 15);
	CU_ASSERT_EQUAL(memcmp(reply->body + 12, "one", 3), 0);
	bp_reply_free(reply);
	g_free(faults);
	g_free(records);
	g_free(old);
	g_free(kept);
	stop(&s);
}

int
main(void)
{
	CU_TestInfo tests[] = {
	    {"worker fences owners", test_worker_fences_owners},
	    {"worker limits starts", test_worker_limits_starts},
	    {"worker keeps ended tasks", test_worker_keeps_ended_tasks},
	    {"log keeps append of lost answer",
		test_log_keeps_append_of_lost_answer},
	    CU_TEST_INFO_NULL,
	};

	return bp_test_main("process/standin", tests);
}
