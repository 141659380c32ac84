#include "bulrushpost/gateway.h"
#include "bulrushpost/hash.h"
#include "support/gatewayfix.h"
#include "support/runner.h"

#include <string.h>

#define MUTATIONS 400
#define MAX_BYTES 700

static const char *const templates[] = {
    "GET /s/x HTTP/1.1\r\nHost: a\r\nX-Deadline-Ms: 900\r\n\r\n",
    "POST /s/x?q=1 HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\n"
    "X-Class: batch\r\nX-Idempotent: no\r\n\r\nhello",
    "POST /s/x HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n"
    "5\r\nhello\r\n0\r\n\r\n",
    "PUT /s/%20 HTTP/1.1\r\nHost: a\r\nIdempotency-Key: 1800000000-k\r\n"
    "Content-Length: 0\r\n\r\n",
    "GET /healthz HTTP/1.0\r\nConnection: close\r\n\r\n",
};

static size_t
mutate(bp_random_t *random, char *bytes, size_t size)
{
	uint32_t changes = 1 + bp_random_below(random, 5);

	while (changes-- > 0 && size > 1) {
		size_t offset = bp_random_below(random, (uint32_t)size);

		switch (bp_random_below(random, 4)) {
		case 0:
			bytes[offset] = (char)bp_random_below(random, 256);
			break;
		case 1:
			memmove(bytes + offset, bytes + offset + 1,
			    size - offset - 1);
			size--;
			break;
		case 2:
			if (size + 8 > MAX_BYTES)
				break;
			memmove(
			    bytes + offset + 8, bytes + offset, size - offset);
			size += 8;
			break;
		default:
			bytes[offset] = "0123456789-: \r\n\t/%"[bp_random_below(
			    random, 18)];
			break;
		}
	}
	return size;
}

/*
 * Guards against memory errors and hangs on malformed input: sends seeded
 * mutations of valid requests, with a valid one that must pass after every 8.
 */
static void
test_mutated_requests(void)
{
	fix_t f;
	bp_random_t random;
	int i;

	fix_start(&f, 1, EXECUTOR_OK, NULL);
	bp_random_init(&random, 42);
	for (i = 0; i < MUTATIONS; i++) {
		const char *template = templates[bp_random_below(
		    &random, G_N_ELEMENTS(templates))];
		char bytes[MAX_BYTES];
		size_t size = g_strlcpy(bytes, template, sizeof(bytes));

		size = mutate(&random, bytes, size);
		g_free(fix_raw(&f, bytes, size, 5));
		if (i % 8 == 0)
			CU_ASSERT_TRUE(
			    fix_expect(&f, "GET", "/s/x", NULL, 200, NULL));
	}
	/* No request remains whose caller has disconnected. */
	fix_run_ms(100);
	CU_ASSERT_EQUAL(fix_counters(&f).in_flight, 0);
	fix_stop(&f);
}

/*
 * Guards against request smuggling by an ambiguous body length, and against a
 * dispatch of a request with a truncated body.
 */
static void
test_ambiguous_lengths_are_refused(void)
{
	const char *const requests[] = {
	    "POST /s/x HTTP/1.1\r\nHost: a\r\nContent-Length: -5\r\n\r\n",
	    "POST /s/x HTTP/1.1\r\nHost: a\r\nContent-Length: 2x\r\n\r\nab",
	    "POST /s/x HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n"
	    "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
	    "POST /s/x HTTP/1.1\r\nHost: a\r\nContent-Length: 10\r\n\r\nab",
	    "POST /s/x HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked"
	    "\r\n\r\n5\r\nhello\r\n",
	};
	fix_t f;
	char *answer;
	size_t i;

	fix_start(&f, 1, EXECUTOR_OK, NULL);
	for (i = 0; i < G_N_ELEMENTS(requests); i++) {
		answer = fix_raw(&f, requests[i], strlen(requests[i]), 50);
		CU_ASSERT_PTR_NULL(strstr(answer, " 200 "));
		g_free(answer);
	}
	answer = fix_raw(&f, "NONSENSE\r\n\r\n", 12, 500);
	CU_ASSERT_PTR_NOT_NULL(strstr(answer, " 400 "));
	CU_ASSERT_PTR_NOT_NULL(strstr(answer, "X-Outcome: not_run"));
	CU_ASSERT_PTR_NOT_NULL(strstr(answer, "X-Reason: invalid"));
	g_free(answer);
	fix_run_ms(50);
	CU_ASSERT_EQUAL(executor_count(f.executors[0], ""), 0);
	fix_stop(&f);
}

int
main(void)
{
	CU_TestInfo tests[] = {
	    {"mutations", test_mutated_requests},
	    {"lengths", test_ambiguous_lengths_are_refused},
	    CU_TEST_INFO_NULL,
	};

	return bp_test_main("gateway-malformed", tests);
}
