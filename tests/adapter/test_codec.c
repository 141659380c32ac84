#include "bulrushpost/hash.h"
#include "platform/codec.h"
#include "support/runner.h"

#include <string.h>

#define FUZZ_INPUTS 20000
#define FUZZ_SEED 20261204
#define SAMPLE_MAX 2048

static const char job_text[] =
    "{\"task_spec\":\"mix\",\"steps\":[{\"count\":4,\"cpu\":500,\"mem_mb\":"
    "256,\"estimated_ms\":900,\"data_rack\":\"r1-3\"},{\"count\":20,\"cpu\":"
    "2000,\"mem_mb\":1024,\"depends_on\":[0],\"checkpointing\":true,"
    "\"anti_affinity\":2,\"lossy\":1,\"fills\":true,\"image\":\"a\"}],"
    "\"repeat_count\":3,\"interval_ms\":500,\"first_run_ms\":1700000000000}";
static const char catalog_text[] =
    "{\"version\":7,\"routes\":[{\"name\":\"r\",\"hostname\":\"h.example\","
    "\"path_prefix\":\"/a/\",\"service_name\":\"s\",\"target_latency_ms\":300,"
    "\"priority\":2,\"retry_attempts\":4,\"stretch_factor\":1.5},{\"name\":"
    "\"long\",\"hostname\":\"h.example\",\"path_prefix\":\"/a/b/\","
    "\"service_name\":\"s\"}],\"services\":[{\"name\":\"s\","
    "\"admission_check\":true,\"standby\":false}],\"limits\":{"
    "\"max_body_bytes\":1000}}";
static const char entry_text[] =
    "{\"service_name\":\"s\",\"address\":\"10.0.0.9:8080\",\"zone\":\"z\","
    "\"version\":\"v1\",\"slots\":8,\"state\":\"ready\",\"capacity\":{\"cpu\":"
    "16000,\"mem_mb\":32768,\"gpu\":0},\"labels\":[\"a\",\"r1-3\"],"
    "\"clock_ms\":482113,\"sequence\":4,\"born\":1700000000123}";
static const char poll_text[] =
    "{\"clock_ms\":482113,\"born\":1700000000123,\"running\":[[\"j.0.1.17\",2,"
    "\"0b\",41,35]],\"ended\":[[58,\"j.0.1.9\",1,\"done\",\"\"],[59,"
    "\"j.0.1.8\",3,\"vanished\",\"cp\"]]}";

/* Guards against fields that are lost or swapped on the way in. */
static void
test_a_job_is_read_whole(void)
{
	Bp__Work__Job *job = NULL;

	CU_ASSERT_EQUAL_FATAL(
	    bp_codec_job(&job, job_text, strlen(job_text), NULL), BP_OK);
	CU_ASSERT_STRING_EQUAL(job->payload, "mix");
	CU_ASSERT_EQUAL_FATAL(job->n_steps, 2);
	CU_ASSERT_EQUAL(job->steps[0]->tasks, 4);
	CU_ASSERT_EQUAL(job->steps[0]->cpu_milli, 500);
	CU_ASSERT_STRING_EQUAL(job->steps[0]->data_rack, "r1-3");
	CU_ASSERT_EQUAL_FATAL(job->steps[1]->n_after, 1);
	CU_ASSERT_EQUAL(job->steps[1]->after[0], 0);
	CU_ASSERT_TRUE(job->steps[1]->checkpoints);
	CU_ASSERT_TRUE(job->steps[1]->filler);
	CU_ASSERT_EQUAL(job->steps[1]->spread_max, 2);
	CU_ASSERT_EQUAL(job->steps[1]->away_max, 1);
	CU_ASSERT_EQUAL(job->times, 3);
	CU_ASSERT_EQUAL(job->first_ms, 1700000000000);
	bp__work__job__free_unpacked(job, NULL);
}

/* Entries that tell the same but for their time and count are not told again.
 */
static void
test_repeated_entries_are_the_same(void)
{
	static const char *const texts[] = {
	    "{\"state\":\"ready\",\"clock_ms\":99,\"sequence\":4,\"born\":17}",
	    "{\"state\":\"ready\",\"clock_ms\":100,\"sequence\":12,\"born\":"
	    "17}",
	    "{\"state\":\"draining\",\"clock_ms\":99,\"sequence\":4,\"born\":"
	    "17}",
	    "{\"state\":\"ready\",\"clock_ms\":99,\"sequence\":4,\"born\":18}"};
	char *entries[G_N_ELEMENTS(texts)];
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(texts); i++)
		entries[i] = bp_codec_entry(texts[i], strlen(texts[i]));
	CU_ASSERT_STRING_EQUAL(entries[0], entries[1]);
	CU_ASSERT_STRING_NOT_EQUAL(entries[0], entries[2]);
	CU_ASSERT_STRING_NOT_EQUAL(entries[0], entries[3]);
	for (i = 0; i < G_N_ELEMENTS(texts); i++)
		g_free(entries[i]);
}

static void
expect_refused(const char *const *texts, size_t n)
{
	size_t i;

	for (i = 0; i < n; i++) {
		Bp__Work__Job *job = NULL;
		bp_error_t err = {BP_OK, ""};

		CU_ASSERT_EQUAL(
		    bp_codec_job(&job, texts[i], strlen(texts[i]), &err),
		    BP_EINVALID);
		CU_ASSERT_PTR_NULL(job);
		CU_ASSERT_NOT_EQUAL(err.message[0], '\0');
	}
}

/* A job that names a later step, or none, is refused with the problem. */
static void
test_bad_jobs_are_refused(void)
{
	static const char *const texts[] = {"", "[]", "{}", "{\"steps\":[]}",
	    "{\"steps\":[{\"count\":0}]}", "{\"steps\":[3]}",
	    "{\"steps\":[{\"count\":1,\"depends_on\":[0]}]}",
	    "{\"steps\":[{\"count\":1,\"depends_on\":[\"x\"]}]}"};

	expect_refused(texts, G_N_ELEMENTS(texts));
}

/* The longest prefix of the host decides; other hosts have no queue. */
static void
test_the_longest_prefix_decides(void)
{
	bp_catalog_t *catalog = NULL;
	const bp_queue_route_t *route;

	CU_ASSERT_EQUAL_FATAL(bp_codec_catalog(&catalog, catalog_text,
				  strlen(catalog_text), NULL),
	    BP_OK);
	CU_ASSERT_EQUAL(catalog->version, 7);
	CU_ASSERT_EQUAL(catalog->body_bytes, 1000);
	route = bp_catalog_route(catalog, "h.example", "/a/b/1");
	CU_ASSERT_STRING_EQUAL(route != NULL ? route->name : "", "long");
	route = bp_catalog_route(catalog, "H.example", "/a/1");
	CU_ASSERT_STRING_EQUAL(route != NULL ? route->name : "", "r");
	CU_ASSERT_EQUAL(route != NULL ? route->stretch_permille : 0, 1500);
	CU_ASSERT_EQUAL(route != NULL ? route->attempts : 0, 4);
	CU_ASSERT_PTR_NULL(bp_catalog_route(catalog, "other", "/a/1"));
	CU_ASSERT_PTR_NULL(bp_catalog_route(catalog, "h.example", "/x"));
	bp_catalog_free(catalog);
}

/* Entries of other writers name no executor. */
static void
test_foreign_entries_name_no_executor(void)
{
	static const char *const texts[] = {"", "\x01\x02", "{}", "null",
	    "{\"service_name\":\"s\",\"address\":\"10.0.0.9:1\",\"zone\":\"z\","
	    "\"slots\":8,\"state\":\"gone\",\"capacity\":{},\"sequence\":1}",
	    "{\"service_name\":7,\"address\":\"10.0.0.9:1\",\"zone\":\"z\","
	    "\"slots\":8,\"state\":\"ready\",\"capacity\":{},\"sequence\":1}",
	    "{\"service_name\":\"s\",\"address\":\"10.0.0.9:1\",\"zone\":\"z\","
	    "\"slots\":\"8\",\"state\":\"ready\",\"capacity\":{},"
	    "\"sequence\":1}"};
	bp_executor_info_t *info = NULL;
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(texts); i++) {
		CU_ASSERT_EQUAL(bp_codec_executor(&info, "i", texts[i],
				    strlen(texts[i]), NULL),
		    BP_EINVALID);
		CU_ASSERT_PTR_NULL(info);
	}
	CU_ASSERT_EQUAL_FATAL(
	    bp_codec_executor(&info, "i", entry_text, strlen(entry_text), NULL),
	    BP_OK);
	CU_ASSERT_STRING_EQUAL(info->rack, "r1-3");
	CU_ASSERT_EQUAL(info->cpu_milli, 16000);
	CU_ASSERT_EQUAL(info->born_ms, 1700000000123);
	CU_ASSERT_FALSE(info->draining);
	bp_executor_info_free(info);
}

/* Replaces the first occurrence of a part of the sample entry. */
static char *
entry_with(const char *part, const char *other)
{
	const char *at = strstr(entry_text, part);

	CU_ASSERT_PTR_NOT_NULL_FATAL(at);
	return g_strdup_printf("%.*s%s%s", (int)(at - entry_text), entry_text,
	    other, at + strlen(part));
}

/*
 * Guards against odd entries of other writers: numbers that wrap, addresses
 * that are none, and names that do not fit a store key, a header or the shard
 * plan.
 */
static void
test_odd_entries_name_no_executor(void)
{
	static const char *const changes[][2] = {
	    {"10.0.0.9:8080", "10.0.0.9:99999"}, {"10.0.0.9:8080", "10.0.0.9"},
	    {"10.0.0.9:8080", "10.0.0.9:"}, {"10.0.0.9:8080", "10.0.0.9:0"},
	    {"10.0.0.9:8080", "10.0.0.9:-1"}, {"10.0.0.9:8080", "10.0.0.9: 80"},
	    {"10.0.0.9:8080", "10.0.0.9:18446744073709551696"},
	    {"10.0.0.9:8080", "10.0.0.9:80/x"},
	    {"10.0.0.9:8080", "u@10.0.0.9:80"},
	    {"10.0.0.9:8080", "10.0.0.9:80#10.0.0.8:80"},
	    {"10.0.0.9:8080", "host.example:80"}, {"10.0.0.9:8080", "::1:80"},
	    {"10.0.0.9:8080", "[10.0.0.9]:80"},
	    {"10.0.0.9:8080", "10.0.0.9\\u0000:80"},
	    {"1700000000123", "1180591620717411303424"},
	    {"1700000000123", "18446744073709551615"},
	    {"1700000000123", "9223372036854775808"},
	    {"1700000000123", "9007199254740993000"},
	    {"1700000000123", "1e308"}, {"1700000000123", "1e999"},
	    {"1700000000123", "-1"}, {"1700000000123", "0"},
	    {"1700000000123", "1.5"}, {"1700000000123", "\"1\""},
	    {"1700000000123", "null"}, {"1700000000123", "[]"},
	    {",\"born\":1700000000123", ""}, {"16000", "1e300"},
	    {"16000", "-1"}, {"16000", "4294967296"}, {"16000", "0.5"},
	    {"32768", "18446744073709551617"}, {"\"gpu\":0", "\"gpu\":{}"},
	    {"\"sequence\":4", "\"sequence\":-4"},
	    {"\"slots\":8", "\"slots\":1e30"}, {"\"z\"", "\"a\\nb\""},
	    {"r1-3", "r\\u0001"}};
	bp_executor_info_t *info = NULL;
	GString *many = g_string_new("r1-3");
	char *text;
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(changes); i++) {
		bp_error_t err = {BP_OK, ""};

		text = entry_with(changes[i][0], changes[i][1]);
		CU_ASSERT_EQUAL(
		    bp_codec_executor(&info, "i", text, strlen(text), &err),
		    BP_EINVALID);
		CU_ASSERT_PTR_NULL(info);
		CU_ASSERT_NOT_EQUAL(err.message[0], '\0');
		g_clear_pointer(&info, bp_executor_info_free);
		g_free(text);
	}
	for (i = 0; i < 200; i++)
		g_string_append(many, i < 100 ? "rack" : "\",\"x");
	text = entry_with("r1-3", many->str);
	CU_ASSERT_EQUAL(bp_codec_executor(&info, "i", text, strlen(text), NULL),
	    BP_EINVALID);
	g_free(text);
	g_string_free(many, TRUE);
	text = entry_with("10.0.0.9:8080", "[fd00::9]:65535");
	CU_ASSERT_EQUAL(
	    bp_codec_executor(&info, "i", text, strlen(text), NULL), BP_OK);
	g_clear_pointer(&info, bp_executor_info_free);
	g_free(text);
}

/* The same for the keys of entries. */
static void
test_odd_ids_name_no_executor(void)
{
	char id[256];
	const char *ids[] = {"", "a b", "a\r\nHost: x", "\xc3\xa9", id};
	bp_executor_info_t *info = NULL;
	size_t i;

	memset(id, 'i', sizeof(id) - 1);
	id[sizeof(id) - 1] = '\0';
	for (i = 0; i < G_N_ELEMENTS(ids); i++) {
		CU_ASSERT_EQUAL(bp_codec_executor(&info, ids[i], entry_text,
				    strlen(entry_text), NULL),
		    BP_EINVALID);
		CU_ASSERT_PTR_NULL(info);
		g_clear_pointer(&info, bp_executor_info_free);
	}
}

/* Guards against ends that are taken for others; unknown words are kept. */
static void
test_a_poll_is_read_whole(void)
{
	bp_codec_answer_t answer;
	const bp_exec_running_t *running;
	const bp_exec_ended_t *ended;

	CU_ASSERT_EQUAL_FATAL(
	    bp_codec_answer(&answer, poll_text, strlen(poll_text), NULL),
	    BP_OK);
	CU_ASSERT_EQUAL_FATAL(answer.running->len, 1);
	CU_ASSERT_EQUAL_FATAL(answer.ended->len, 2);
	running = &g_array_index(answer.running, bp_exec_running_t, 0);
	CU_ASSERT_STRING_EQUAL(running->task, "j.0.1.17");
	CU_ASSERT_EQUAL(running->run, 2);
	CU_ASSERT_STRING_EQUAL(running->checkpoint, "0b");
	CU_ASSERT_EQUAL(running->percent, 41);
	CU_ASSERT_EQUAL(running->measured, 35);
	ended = &g_array_index(answer.ended, bp_exec_ended_t, 0);
	CU_ASSERT_EQUAL(ended->number, 58);
	CU_ASSERT_EQUAL(ended->kind, BP_END_DONE);
	ended = &g_array_index(answer.ended, bp_exec_ended_t, 1);
	CU_ASSERT_EQUAL(ended->kind, BP_END_OTHER);
	CU_ASSERT_STRING_EQUAL(ended->checkpoint, "cp");
	bp_codec_answer_clear(&answer);
}

/* Numbers of configurations and answers that no integer of ours holds count as
 * missing, or as the largest. */
static void
test_numbers_out_of_range(void)
{
	static const char *const versions[] = {
	    "{\"version\":1e300}", "{\"version\":-1}", "{\"version\":1e999}"};
	static const char catalog_body[] =
	    "{\"version\":1,\"routes\":[{\"stretch_factor\":1e300}]}";
	static const char poll_body[] =
	    "{\"clock_ms\":1e300,\"born\":-1e300,\"running\":[[\"t\",1e300,"
	    "\"\","
	    "1e300,-1e300]],\"ended\":[[1e300,\"t\",-5,\"done\",\"\"]]}";
	bp_catalog_t *catalog = NULL;
	const bp_exec_running_t *running;
	const bp_exec_ended_t *ended;
	bp_codec_answer_t answer;
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(versions); i++)
		CU_ASSERT_EQUAL(bp_codec_catalog(&catalog, versions[i],
				    strlen(versions[i]), NULL),
		    BP_EINVALID);
	CU_ASSERT_EQUAL_FATAL(bp_codec_catalog(&catalog, catalog_body,
				  strlen(catalog_body), NULL),
	    BP_OK);
	CU_ASSERT_EQUAL(
	    ((bp_queue_route_t *)catalog->routes->pdata[0])->stretch_permille,
	    1000000);
	bp_catalog_free(catalog);
	CU_ASSERT_EQUAL_FATAL(
	    bp_codec_answer(&answer, poll_body, strlen(poll_body), NULL),
	    BP_OK);
	CU_ASSERT_EQUAL(answer.clock_ms, 0);
	CU_ASSERT_EQUAL(answer.born_ms, 0);
	running = &g_array_index(answer.running, bp_exec_running_t, 0);
	CU_ASSERT_EQUAL(running->run, 0);
	CU_ASSERT_EQUAL(running->percent, 0);
	CU_ASSERT_EQUAL(running->measured, 0);
	ended = &g_array_index(answer.ended, bp_exec_ended_t, 0);
	CU_ASSERT_EQUAL(ended->number, 0);
	CU_ASSERT_EQUAL(ended->run, 0);
	bp_codec_answer_clear(&answer);
}

/* A value of a field, and what it is as a whole number. */
typedef struct {
	const char *text;
	bool whole;
	double value;
} edge_t;

/*
 * Guards against numbers of a submission that are read as others: 90 days in ms
 * exceed 32 bits and were read as 0, so that all times of a job ran at once.
 * Each field takes its whole range and refuses the rest by name.
 */
static void
test_each_number_is_kept_or_refused(void)
{
	static const edge_t edges[] = {{"0", true, 0}, {"1", true, 1},
	    {"2147483647", true, 2147483647.0},
	    {"2147483648", true, 2147483648.0},
	    {"4294967295", true, 4294967295.0},
	    {"4294967296", true, 4294967296.0},
	    {"7776000000", true, 7776000000.0},
	    {"9007199254740992", true, 9007199254740992.0},
	    {"9223372036854775807", true, 9223372036854775807.0},
	    {"9223372036854775808", true, 9223372036854775808.0},
	    {"18446744073709551615", true, 18446744073709551615.0},
	    {"18446744073709551617", true, 18446744073709551617.0},
	    {"1e308", true, 1e308}, {"1e999", false, 0}, {"-1", true, -1},
	    {"-4294967297", true, -4294967297.0},
	    {"-18446744073709551615", true, -18446744073709551615.0},
	    {"5.0", true, 5}, {"0.5", false, 0}, {"-0.5", false, 0},
	    {"\"5\"", false, 0}, {"true", false, 0}, {"null", false, 0},
	    {"[]", false, 0}, {"{}", false, 0}};
	static const struct {
		const char *name;
		bool of_job;
		double min;
		double max;
	} fields[] = {{"count", false, 1, UINT32_MAX},
	    {"cpu", false, 0, UINT32_MAX}, {"mem_mb", false, 0, UINT32_MAX},
	    {"gpu", false, 0, UINT32_MAX},
	    {"estimated_ms", false, 0, UINT32_MAX},
	    {"anti_affinity", false, 0, UINT32_MAX},
	    {"target_ms", false, 0, UINT32_MAX},
	    {"lossy", false, 0, UINT32_MAX},
	    {"repeat_count", true, 0, UINT32_MAX},
	    {"interval_ms", true, 0, 9007199254740992.0},
	    {"first_run_ms", true, -9007199254740992.0, 9007199254740992.0}};
	size_t i;
	size_t k;

	for (i = 0; i < G_N_ELEMENTS(fields) * G_N_ELEMENTS(edges); i++) {
		const edge_t *edge = &edges[i % G_N_ELEMENTS(edges)];
		bp_error_t err = {BP_OK, ""};
		Bp__Work__Job *job = NULL;
		char *text;
		bool good;

		k = i / G_N_ELEMENTS(edges);
		good = edge->whole && edge->value >= fields[k].min &&
		    edge->value <= fields[k].max;
		text = g_strdup_printf(fields[k].of_job
			? "{\"steps\":[{}],\"%s\":%s}"
			: "{\"steps\":[{\"%s\":%s}]}",
		    fields[k].name, edge->text);
		CU_ASSERT_EQUAL(
		    bp_codec_job(&job, text, strlen(text), &err) == BP_OK,
		    good);
		if (!good && !(k == 0 && strcmp(edge->text, "0") == 0))
			CU_ASSERT_PTR_NOT_NULL(
			    strstr(err.message, fields[k].name));
		if (job != NULL && k == 9)
			CU_ASSERT_EQUAL((double)job->interval_ms, edge->value);
		if (job != NULL && k == 10)
			CU_ASSERT_EQUAL((double)job->first_ms, edge->value);
		if (job != NULL && k == 1)
			CU_ASSERT_EQUAL(job->steps[0]->cpu_milli, edge->value);
		if (job != NULL)
			bp__work__job__free_unpacked(job, NULL);
		g_free(text);
	}
}

/* Texts and flags of another type are refused, too. */
static void
test_other_types_are_refused(void)
{
	static const char *const texts[] = {"{\"steps\":[{\"gang\":1}]}",
	    "{\"steps\":[{\"fills\":\"true\"}]}",
	    "{\"steps\":[{\"requirements\":7}]}",
	    "{\"steps\":[{\"image\":null}]}",
	    "{\"steps\":[{}],\"task_spec\":{}}",
	    "{\"steps\":[{}],\"task_spec\":\"a\\u0000b\"}",
	    "{\"steps\":[{},{\"depends_on\":0}]}",
	    "{\"steps\":[{},{\"depends_on\":[0.5]}]}"};

	expect_refused(texts, G_N_ELEMENTS(texts));
}

static void
feed(const char *text, size_t size)
{
	Bp__Work__Job *job = NULL;
	bp_catalog_t *catalog = NULL;
	bp_executor_info_t *info = NULL;
	bp_codec_answer_t answer;

	if (bp_codec_job(&job, text, size, NULL) == BP_OK)
		bp__work__job__free_unpacked(job, NULL);
	if (bp_codec_catalog(&catalog, text, size, NULL) == BP_OK)
		bp_catalog_free(catalog);
	if (bp_codec_executor(&info, "i", text, size, NULL) == BP_OK)
		bp_executor_info_free(info);
	(void)bp_codec_answer(&answer, text, size, NULL);
	bp_codec_answer_clear(&answer);
	g_free(bp_codec_entry(text, size));
}

/* Bytes of valid bodies, changed, cut and spliced, break no decoder. */
static void
test_changed_bodies_are_safe(void)
{
	static const char *const samples[] = {
	    job_text, catalog_text, entry_text, poll_text};
	char text[SAMPLE_MAX];
	bp_random_t random;
	int i;

	bp_random_init(&random, FUZZ_SEED);
	for (i = 0; i < FUZZ_INPUTS; i++) {
		const char *sample =
		    samples[bp_random_below(&random, G_N_ELEMENTS(samples))];
		size_t size = strlen(sample);
		uint32_t changes = 1 + bp_random_below(&random, 4);
		uint32_t k;

		memcpy(text, sample, size + 1);
		for (k = 0; k < changes; k++) {
			uint32_t at = bp_random_below(&random, (uint32_t)size);
			uint32_t from =
			    bp_random_below(&random, (uint32_t)size);

			switch (bp_random_below(&random, 4)) {
			case 0:
				text[at] = (char)bp_random_next(&random);
				break;
			case 1:
				text[at] = text[from];
				break;
			case 2:
				/* Digits that follow become an exponent. */
				text[at] = 'e';
				break;
			default:
				memmove(text + MIN(at, from),
				    text + MAX(at, from), size - MAX(at, from));
				size -= MAX(at, from) - MIN(at, from);
				break;
			}
			if (size == 0)
				break;
		}
		feed(text, size);
	}
	CU_PASS("no decoder failed");
}

static char *
repeated(const char *head, const char *unit, uint32_t n, const char *tail)
{
	GString *text = g_string_new(head);
	uint32_t i;

	for (i = 0; i < n; i++)
		g_string_append(text, unit);
	g_string_append(text, tail);
	return g_string_free(text, FALSE);
}

static int
read_text(char *text, bp_error_t *err)
{
	Bp__Work__Job *job = NULL;
	int rc = bp_codec_job(&job, text, strlen(text), err);

	if (job != NULL)
		bp__work__job__free_unpacked(job, NULL);
	g_free(text);
	return rc;
}

/* Guards against bodies of legal size that take far more memory decoded. */
static void
test_heavy_bodies_are_refused(void)
{
	bp_error_t err = {BP_OK, ""};

	CU_ASSERT_EQUAL(
	    read_text(repeated("{\"steps\":[", "{},", 87000, "{}]}"), &err),
	    BP_EINVALID);
	CU_ASSERT_PTR_NOT_NULL(strstr(err.message, "objects and lists"));
	CU_ASSERT_EQUAL(
	    read_text(repeated("{\"x\":[", "0,", 120000, "0]}"), &err),
	    BP_EINVALID);
	CU_ASSERT_PTR_NOT_NULL(strstr(err.message, "values"));
	/* Characters within strings count for nothing. */
	CU_ASSERT_EQUAL(
	    read_text(repeated("{\"steps\":[{}],\"task_spec\":\"\\\"", "{[,",
			  60000, "\"}"),
		&err),
	    BP_OK);
	/* The most steps that a job may have, with other fields. */
	CU_ASSERT_EQUAL(
	    read_text(repeated("{\"steps\":[",
			  "{\"count\":1,\"x\":[0,0,0,0,0,0,0,0,0],\"y\":{}},",
			  255, "{}]}"),
		&err),
	    BP_OK);
}

int
main(void)
{
	CU_TestInfo tests[] = {
	    {"a job is read whole", test_a_job_is_read_whole},
	    {"bad jobs are refused", test_bad_jobs_are_refused},
	    {"repeated entries are the same",
		test_repeated_entries_are_the_same},
	    {"the longest prefix decides", test_the_longest_prefix_decides},
	    {"foreign entries name no executor",
		test_foreign_entries_name_no_executor},
	    {"odd entries name no executor", test_odd_entries_name_no_executor},
	    {"odd ids name no executor", test_odd_ids_name_no_executor},
	    {"a look is read whole", test_a_poll_is_read_whole},
	    {"numbers out of range", test_numbers_out_of_range},
	    {"each number is kept or refused",
		test_each_number_is_kept_or_refused},
	    {"other types are refused", test_other_types_are_refused},
	    {"heavy bodies are refused", test_heavy_bodies_are_refused},
	    {"changed bodies are safe", test_changed_bodies_are_safe},
	    CU_TEST_INFO_NULL,
	};

	return bp_test_main("adapter/codec", tests);
}
