#include "platform.h"

#include <stdio.h>
#include <string.h>

/*
 * A version of the configuration removes a route and adds another one of the
 * same host, prefix and service. A job that was accepted before is asked for,
 * handed in again and cancelled.
 */

#define JOB "/q/00000000000000a1"
#define BODY                                                                 \
	"{\"task_spec\":\"ms=1000000 cpu=1000\",\"steps\":[{\"count\":2,"    \
	"\"cpu\":1000,\"mem_mb\":256,\"estimated_ms\":500,\"long_running\":" \
	"true}]}"
#define VISIBLE_MS 3000
#define CONFIG_APPLY_MS 2000
#define CANCEL_MS 3000
#define STOP_MS 400

static uint32_t
running(void)
{
	uint32_t count = 0;
	guint i;

	lock();
	for (i = 0; i < runs->len; i++)
		count += ((run_t *)runs->pdata[i])->end_ms == 0;
	unlock();
	return count;
}

int
main(void)
{
	const setup_t setup = {6, 16000, 3, 0};
	bool lost = false;
	bool unasked = false;
	int status;
	uint32_t i;

	platform_start(&setup);
	if (call_node(0, "POST", JOB, BODY, 3000, NULL) != 200)
		cannot_run("the job was not accepted");
	sleep_ms(VISIBLE_MS + 1000);
	if (call_node(1, "GET", JOB, NULL, 3000, NULL) != 200 || running() != 2)
		cannot_run("the job does not run");
	if (trouble())
		configure_route(9, "r-q-new");
	sleep_ms(CONFIG_APPLY_MS + 2000);
	for (i = 0; i < 3; i++) {
		status = call_node(i, "GET", JOB, NULL, 3000, NULL);
		if (status == 410) {
			lost = true;
			note("LOST: the job was accepted, nobody has cancelled "
			     "it, and it is answered 410, while %u of its "
			     "tasks run",
			    running());
		}
	}
	(void)call_node(1, "POST", JOB, BODY, 3000, NULL);
	status = call_node(2, "DELETE", JOB, NULL, 3000, NULL);
	sleep_ms(CANCEL_MS + STOP_MS + 2000);
	if ((status == 200 || status == 410) && running() > 0) {
		unasked = true;
		note(
		    "UNASKED: its cancelling was acknowledged (%d) %.1f s ago, "
		    "and %u of its tasks run",
		    status, (double)(CANCEL_MS + STOP_MS + 2000) / 1000,
		    running());
	}
	finish(lost || unasked ? 1 : 0);
}
