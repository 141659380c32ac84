#include "bulrushpost/clock.h"
#include "bulrushpost/logline.h"
#include "support/runner.h"

#include <stdio.h>
#include <string.h>
#include <unistd.h>

#define LINES_PER_S 40
#define REPEATS 500
#define OUTPUT_BYTES 65536

/* Returns how often a text stands in the output. */
static uint32_t
count_of(const char *output, const char *text)
{
	uint32_t found = 0;
	const char *at = output;

	while ((at = strstr(at, text)) != NULL) {
		found++;
		at++;
	}
	return found;
}

/* Has a logger write to a pipe in place of standard output; repeats one message
 * and then writes another, each second. Returns the lines; free with g_free. */
static char *
write_lines(uint32_t seconds)
{
	bp_clock_virtual_t *virt = bp_clock_virtual_new(5000);
	bp_logger_t *logger =
	    bp_logger_new(bp_clock_virtual_clock(virt), "node", BP_LOG_INFO);
	char *output = g_malloc0(OUTPUT_BYTES);
	int pipe_fds[2];
	int saved = dup(STDOUT_FILENO);
	uint32_t i;
	uint32_t k;

	fflush(stdout);
	CU_ASSERT_EQUAL_FATAL(pipe(pipe_fds), 0);
	(void)dup2(pipe_fds[1], STDOUT_FILENO);
	bp_logger_set_stdout(logger, LINES_PER_S);
	for (i = 0; i < seconds; i++) {
		for (k = 0; k < REPEATS; k++)
			bp_log(logger, BP_LOG_NOTICE, "shard",
			    "executor does not answer", NULL);
		bp_log(logger, BP_LOG_INFO, "shard", "summary", NULL);
		bp_log(logger, BP_LOG_WARNING, "shard", "too slow", NULL);
		bp_clock_virtual_advance_us(virt, 1000000);
	}
	(void)dup2(saved, STDOUT_FILENO);
	close(saved);
	close(pipe_fds[1]);
	CU_ASSERT(read(pipe_fds[0], output, OUTPUT_BYTES - 1) > 0);
	close(pipe_fds[0]);
	bp_logger_free(logger);
	bp_clock_virtual_free(virt);
	return output;
}

/* Guards against a message that is repeated for each executor and keeps the
 * summaries of the same seconds out of the log. */
static void
test_a_repeated_message_leaves_room_for_others(void)
{
	char *output = write_lines(5);

	CU_ASSERT_EQUAL(
	    count_of(output, "executor does not answer"), 5 * LINES_PER_S / 4);
	CU_ASSERT_EQUAL(count_of(output, "msg=summary"), 5);
	CU_ASSERT_EQUAL(count_of(output, "too slow"), 5);
	CU_ASSERT_EQUAL(count_of(output, "left_out=490"), 5);
	g_free(output);
}

int
main(void)
{
	CU_TestInfo tests[] = {
	    {"a repeated message leaves room for others",
		test_a_repeated_message_leaves_room_for_others},
	    CU_TEST_INFO_NULL,
	};

	return bp_test_main("core/logline", tests);
}
