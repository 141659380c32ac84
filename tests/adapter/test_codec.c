#include "bulrushpost/hash.h"
#include "platform/codec.h"
#include "support/runner.h"

#include <stddef.h>
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
static const char customers_text[] =
    "{\"version\":8,\"routes\":[{\"name\":\"r\",\"hostname\":\"h\","
    "\"path_prefix\":\"/a/\",\"public\":true},{\"name\":\"s\",\"hostname\":"
    "\"h\",\"path_prefix\":\"/b/\",\"public\":\"yes\"}],\"tenants\":[{\"name\":"
    "\"acme\",\"api_keys\":[\"k1\",\"k2\"],\"priority\":1,\"weight\":7,"
    "\"cap\":{\"cpu\":1500,\"mem_mb\":2048,\"gpu\":2}},3,{\"api_keys\":["
    "\"k3\"]},{\"name\":\"borea\",\"api_keys\":[7,\"\",\"k1\",null,\"k4\"],"
    "\"weight\":\"x\",\"cap\":5}]}";
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
	/* Its numbers are missing. */
	CU_ASSERT_EQUAL(route != NULL ? route->attempts : 0, 1);
	CU_ASSERT_EQUAL(route != NULL ? route->stretch_permille : 0, 1000);
	route = bp_catalog_route(catalog, "H.example", "/a/1");
	CU_ASSERT_STRING_EQUAL(route != NULL ? route->name : "", "r");
	CU_ASSERT_EQUAL(route != NULL ? route->stretch_permille : 0, 1500);
	CU_ASSERT_EQUAL(route != NULL ? route->attempts : 0, 4);
	CU_ASSERT_PTR_NULL(bp_catalog_route(catalog, "other", "/a/1"));
	CU_ASSERT_PTR_NULL(bp_catalog_route(catalog, "h.example", "/x"));
	bp_catalog_free(catalog);
}

static const char *
customer_of(const bp_catalog_t *catalog, const char *key)
{
	const bp_customer_t *customer =
	    bp_catalog_customer_of_key(catalog, key);

	return customer != NULL ? customer->name : "";
}

/*
 * Rows and keys that cannot be read are left out without the others, a shared
 * key belongs to the first customer, and an empty one to nobody.
 */
static void
test_customers_are_read(void)
{
	bp_catalog_t *catalog = NULL;
	const bp_customer_t *customer;

	CU_ASSERT_EQUAL_FATAL(bp_codec_catalog(&catalog, customers_text,
				  strlen(customers_text), NULL),
	    BP_OK);
	CU_ASSERT_TRUE(catalog->requires_keys);
	CU_ASSERT_EQUAL_FATAL(catalog->customers->len, 2);
	customer = catalog->customers->pdata[0];
	CU_ASSERT_PTR_EQUAL(customer, bp_catalog_customer(catalog, "acme"));
	CU_ASSERT_EQUAL(customer->weight, 7);
	CU_ASSERT_EQUAL(customer->cap_cpu_milli, 1500);
	CU_ASSERT_EQUAL(customer->cap_memory_mib, 2048);
	CU_ASSERT_EQUAL(customer->cap_accelerators, 2);
	customer = catalog->customers->pdata[1];
	CU_ASSERT_PTR_EQUAL(customer, bp_catalog_customer(catalog, "borea"));
	CU_ASSERT_EQUAL(customer->weight, 0);
	CU_ASSERT_EQUAL(customer->cap_cpu_milli, 0);
	CU_ASSERT_STRING_EQUAL(customer_of(catalog, "k1"), "acme");
	CU_ASSERT_STRING_EQUAL(customer_of(catalog, "k2"), "acme");
	CU_ASSERT_STRING_EQUAL(customer_of(catalog, "k4"), "borea");
	CU_ASSERT_STRING_EQUAL(customer_of(catalog, "k3"), "");
	CU_ASSERT_STRING_EQUAL(customer_of(catalog, "k"), "");
	CU_ASSERT_STRING_EQUAL(customer_of(catalog, "7"), "");
	CU_ASSERT_STRING_EQUAL(customer_of(catalog, ""), "");
	CU_ASSERT_TRUE(bp_catalog_queue(catalog, "r")->is_public);
	CU_ASSERT_FALSE(bp_catalog_queue(catalog, "s")->is_public);
	bp_catalog_free(catalog);
}

/* Guards against a wrong list of customers that opens all queues. */
static void
test_a_wrong_list_of_customers_opens_nothing(void)
{
	static const struct {
		const char *text;
		bool requires_keys;
	} cases[] = {
	    {"{\"version\":1}", false},
	    {"{\"version\":1,\"tenants\":null}", false},
	    {"{\"version\":1,\"tenants\":[]}", false},
	    {"{\"version\":1,\"tenants\":[3]}", true},
	    {"{\"version\":1,\"tenants\":[{\"name\":\"\"}]}", true},
	    {"{\"version\":1,\"tenants\":{}}", true},
	    {"{\"version\":1,\"tenants\":\"acme\"}", true},
	};
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(cases); i++) {
		bp_catalog_t *catalog = NULL;

		CU_ASSERT_EQUAL_FATAL(bp_codec_catalog(&catalog, cases[i].text,
					  strlen(cases[i].text), NULL),
		    BP_OK);
		CU_ASSERT_EQUAL(catalog->requires_keys, cases[i].requires_keys);
		CU_ASSERT_EQUAL(catalog->customers->len, 0);
		bp_catalog_free(catalog);
	}
}

/* Guards against keys in the log line of a configuration that cannot be read.
 */
static void
test_problems_name_no_keys(void)
{
	static const char *const texts[] = {
	    "{\"version\":1,\"tenants\":[{\"api_keys\":[\"a\" \"secret\"]}]}",
	    "{\"version\":1,\"tenants\":[{\"api_keys\":[secret]}]}",
	    "{\"version\":1,\"tenants\":[{\"api_keys\":[\"secret]}]}",
	    "{\"version\":\"secret\"}",
	    "{\"version\":1,\"tenants\":[{\"api_keys\":[\"secret\\u0000\"]}]}"};
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(texts); i++) {
		bp_catalog_t *catalog = NULL;
		bp_error_t err = {BP_OK, ""};

		CU_ASSERT_EQUAL(bp_codec_catalog(
				    &catalog, texts[i], strlen(texts[i]), &err),
		    BP_EINVALID);
		CU_ASSERT_NOT_EQUAL(err.message[0], '\0');
		CU_ASSERT_PTR_NULL(strstr(err.message, "secret"));
	}
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

/* Guards against accepted jobs whose texts are no UTF-8 once decoded, so that
 * no executor can read their starts. */
static void
test_single_surrogates_are_refused(void)
{
	static const char *const texts[] = {
	    "{\"steps\":[{}],\"task_spec\":\"a\\ud800b\"}",
	    "{\"steps\":[{}],\"task_spec\":\"a\\uDBFF\"}",
	    "{\"steps\":[{}],\"task_spec\":\"\\ud83d\\n\"}",
	    "{\"steps\":[{}],\"task_spec\":\"\\ud83d\\ud83d\\ude00\"}",
	    "{\"steps\":[{}],\"task_spec\":\"\\ude00\\ud83d\"}",
	    "{\"steps\":[{\"image\":\"\\udc00\"}]}",
	    "{\"steps\":[{\"requirements\":\"\\udfff\"}]}",
	    "{\"steps\":[{\"data_rack\":\"\\ud800\"}]}",
	    "{\"steps\":[{}],\"\\ud800\":1}",
	    "{\"steps\":[{}],\"task_spec\":\"\xed\xa0\x80\"}"};
	static const char pairs[] = "{\"steps\":[{\"count\":1}],\"task_spec\":"
				    "\"\\ud83d\\ude00\\\\ud800\"}";
	Bp__Work__Job *job = NULL;

	expect_refused(texts, G_N_ELEMENTS(texts));
	CU_ASSERT_EQUAL_FATAL(
	    bp_codec_job(&job, pairs, strlen(pairs), NULL), BP_OK);
	CU_ASSERT_STRING_EQUAL(job->payload, "\xf0\x9f\x98\x80\\ud800");
	bp__work__job__free_unpacked(job, NULL);
}

static const char config_text[] =
    "{\"version\":7,\"routes\":[{\"name\":\"r-1\",\"hostname\":\"a.example\","
    "\"path_prefix\":\"/a/\",\"route_type\":\"non_idempotent\","
    "\"timeout_ms\":3000,\"target_latency_ms\":2500,\"priority\":0,"
    "\"service_name\":\"svc\",\"retry_attempts\":3,\"stretch_factor\":2.2,"
    "\"public\":true,\"advice\":{}}],\"services\":[{\"name\":\"svc\","
    "\"health_path\":\"/healthz\",\"max_connections\":64,\"protocol\":"
    "\"h1\",\"tls\":false,\"cold_start_s\":0.0,\"cold_per_s\":0.5,"
    "\"admission_check\":true,\"standby\":false}],\"limits\":{"
    "\"max_header_bytes\":16384,\"max_body_bytes\":262144,"
    "\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000},\"tenants\":[{"
    "\"name\":\"c1\",\"api_keys\":[\"k1\",\"k2\"],\"priority\":1,"
    "\"weight\":18,\"cap\":{\"cpu\":3943417,\"mem_mb\":7251453,\"gpu\":2}}]}";

/* Checks config_text with one part replaced; returns "place: problem" lines. */
static char *
check_with(const char *part, const char *other)
{
	GPtrArray *problems = bp_config_problems_new();
	const char *at = strstr(config_text, part);
	GString *lines = g_string_new("");
	bp_catalog_t *catalog = NULL;
	char *text;
	guint i;

	CU_ASSERT_PTR_NOT_NULL_FATAL(at);
	text = g_strdup_printf("%.*s%s%s", (int)(at - config_text), config_text,
	    other, at + strlen(part));
	CU_ASSERT_EQUAL_FATAL(bp_codec_catalog_check(
				  &catalog, problems, text, strlen(text), NULL),
	    BP_OK);
	for (i = 0; i < problems->len; i++) {
		const bp_config_problem_t *problem = problems->pdata[i];

		g_string_append_printf(
		    lines, "%s: %s\n", problem->place, problem->text);
	}
	bp_catalog_free(catalog);
	g_ptr_array_unref(problems);
	g_free(text);
	return g_string_free(lines, FALSE);
}

/* Guards against wrong fields that nodes take as missing ones in silence. */
static void
test_problems_of_a_configuration_have_places(void)
{
	static const struct {
		const char *part;
		const char *other;
		const char *lines;
	} cases[] = {
	    {"", "", ""},
	    {"7", "0",
		"version: 0 is not a whole number from 1 to "
		"9007199254740992\n"},
	    {"\"version\":7,", "", "version: is missing\n"},
	    {"3000", "-1",
		"routes[0].timeout_ms: -1 is not a whole number from 1 to "
		"4294967295\n"},
	    {"2500", "4294967296",
		"routes[0].target_latency_ms: 4294967296 is not a whole number "
		"from 0 to 4294967295\n"},
	    {"2.2", "1001",
		"routes[0].stretch_factor: 1001 is not a number from 0 to "
		"1000\n"},
	    {"\"/a/\"", "null",
		"routes[0].path_prefix: is null; a text is expected\n"},
	    {"\"a.example\"", "\"\"", "routes[0].hostname: is empty\n"},
	    {"\"public\"", "\"pubilc\"",
		"routes[0].pubilc: is an unknown field; did you mean "
		"public?\n"},
	    {"\"services\":[{", "\"services\":[5,{",
		"services[0]: is a number; an object is expected\n"},
	    {"0.5", "-0.5",
		"services[0].cold_per_s: -0.5 is not a number from 0 to "
		"4294967295\n"},
	    {"16384", "0",
		"limits.max_header_bytes: 0 is not a whole number from 1 to "
		"4294967295\n"},
	    {"3943417", "1.5",
		"tenants[0].cap.cpu: 1.5 is not a whole number from 0 to "
		"4294967295\n"},
	    {"\"weight\":18,", "", "tenants[0].weight: is missing\n"},
	};
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(cases); i++) {
		char *lines = check_with(cases[i].part, cases[i].other);

		CU_ASSERT_STRING_EQUAL(lines, cases[i].lines);
		g_free(lines);
	}
}

/* Guards against places that are off by the entries that nodes skip. */
static void
test_a_check_keeps_positions(void)
{
	static const char text[] =
	    "{\"version\":1,\"routes\":[7,{\"name\":\"r\"}],\"services\":[[],"
	    "{\"name\":\"s\"}],\"tenants\":[0,{\"name\":\"c\",\"api_keys\":[1,"
	    "\"k1\"]}]}";
	GPtrArray *problems = bp_config_problems_new();
	bp_catalog_t *catalog = NULL;
	bp_customer_t *customer;
	const bp_config_place_t place = {offsetof(bp_catalog_t, customers), 1,
	    offsetof(bp_customer_t, keys), 1};
	char *path = bp_codec_place(&place);

	CU_ASSERT_EQUAL_FATAL(bp_codec_catalog_check(
				  &catalog, problems, text, strlen(text), NULL),
	    BP_OK);
	CU_ASSERT_EQUAL_FATAL(catalog->routes->len, 2);
	CU_ASSERT_EQUAL_FATAL(catalog->pools->len, 2);
	CU_ASSERT_EQUAL_FATAL(catalog->customers->len, 2);
	customer = catalog->customers->pdata[1];
	CU_ASSERT_EQUAL_FATAL(customer->keys->len, 2);
	CU_ASSERT_STRING_EQUAL(customer->keys->pdata[1], "k1");
	CU_ASSERT_STRING_EQUAL(path, "tenants[1].api_keys[1]");
	g_free(path);
	bp_catalog_free(catalog);
	CU_ASSERT_EQUAL_FATAL(
	    bp_codec_catalog(&catalog, text, strlen(text), NULL), BP_OK);
	CU_ASSERT_EQUAL(catalog->routes->len, 1);
	CU_ASSERT_EQUAL(catalog->pools->len, 1);
	bp_catalog_free(catalog);
	g_ptr_array_unref(problems);
}

/* Guards against keys that a problem shows, wherever they were put. */
static void
test_problems_show_no_keys(void)
{
	static const char *const cases[][2] = {
	    {"[\"k1\",\"k2\"]", "\"secret\""},
	    {"[\"k1\",\"k2\"]", "{\"secret\":1}"}, {"\"k2\"", "[\"secret\"]"},
	    {"\"k2\"", "\"secret \""}, {"\"k2\"", "77777777"},
	    {"\"cap\"", "\"secret\":1,\"cap\""}, {"18", "\"secret\""},
	    {"\"c1\"", "[\"secret\"]"},
	    {"[{\"name\":\"c1\"", "[\"secret\",{\"name\":\"c1\""}};
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(cases); i++) {
		char *lines = check_with(cases[i][0], cases[i][1]);

		CU_ASSERT_STRING_NOT_EQUAL(lines, "");
		CU_ASSERT_PTR_NULL(strstr(lines, "secret"));
		CU_ASSERT_PTR_NULL(strstr(lines, "7777"));
		g_free(lines);
	}
}

/* Guards against a check that reads other values than nodes do. */
static void
test_a_check_reads_what_nodes_read(void)
{
	GPtrArray *problems = bp_config_problems_new();
	bp_catalog_t *checked = NULL;
	bp_catalog_t *read = NULL;
	GPtrArray *lines;
	const bp_customer_t *customer;

	CU_ASSERT_EQUAL_FATAL(bp_codec_catalog_check(&checked, problems,
				  config_text, strlen(config_text), NULL),
	    BP_OK);
	CU_ASSERT_EQUAL_FATAL(
	    bp_codec_catalog(&read, config_text, strlen(config_text), NULL),
	    BP_OK);
	CU_ASSERT_EQUAL_FATAL(checked->customers->len, 1);
	customer = checked->customers->pdata[0];
	CU_ASSERT_STRING_EQUAL(customer->name, "c1");
	CU_ASSERT_EQUAL(customer->keys->len, 2);
	CU_ASSERT_EQUAL(customer->weight, 18);
	CU_ASSERT_EQUAL(customer->cap_cpu_milli, 3943417);
	CU_ASSERT_EQUAL(customer->cap_memory_mib, 7251453);
	CU_ASSERT_EQUAL(customer->cap_accelerators, 2);
	CU_ASSERT_TRUE(
	    ((bp_queue_route_t *)checked->routes->pdata[0])->is_public);
	lines = bp_config_differences(read, checked);
	CU_ASSERT_EQUAL(lines->len, 0);
	CU_ASSERT_EQUAL(read->version, 7);
	CU_ASSERT_EQUAL(read->header_bytes, 16384);
	CU_ASSERT_EQUAL(read->header_timeout_ms, 3000);
	CU_ASSERT_EQUAL(read->idle_timeout_ms, 15000);
	g_ptr_array_unref(lines);
	g_ptr_array_unref(problems);
	bp_catalog_free(checked);
	bp_catalog_free(read);
}

static void
feed(const char *text, size_t size)
{
	GPtrArray *problems = bp_config_problems_new();
	Bp__Work__Job *job = NULL;
	bp_catalog_t *catalog = NULL;
	bp_executor_info_t *info = NULL;
	bp_codec_answer_t answer;

	if (bp_codec_job(&job, text, size, NULL) == BP_OK)
		bp__work__job__free_unpacked(job, NULL);
	if (bp_codec_catalog(&catalog, text, size, NULL) == BP_OK)
		bp_catalog_free(catalog);
	if (bp_codec_catalog_check(&catalog, problems, text, size, NULL) ==
	    BP_OK)
		bp_catalog_free(catalog);
	g_ptr_array_unref(problems);
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
	static const char *const samples[] = {job_text, catalog_text,
	    config_text, customers_text, entry_text, poll_text};
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
	    {"customers are read", test_customers_are_read},
	    {"a wrong list of customers opens nothing",
		test_a_wrong_list_of_customers_opens_nothing},
	    {"problems name no keys", test_problems_name_no_keys},
	    {"foreign entries name no executor",
		test_foreign_entries_name_no_executor},
	    {"odd entries name no executor", test_odd_entries_name_no_executor},
	    {"odd ids name no executor", test_odd_ids_name_no_executor},
	    {"a look is read whole", test_a_poll_is_read_whole},
	    {"numbers out of range", test_numbers_out_of_range},
	    {"each number is kept or refused",
		test_each_number_is_kept_or_refused},
	    {"other types are refused", test_other_types_are_refused},
	    {"single surrogates are refused",
		test_single_surrogates_are_refused},
	    {"problems of a configuration have places",
		test_problems_of_a_configuration_have_places},
	    {"a check keeps positions", test_a_check_keeps_positions},
	    {"problems show no keys", test_problems_show_no_keys},
	    {"a check reads what nodes read",
		test_a_check_reads_what_nodes_read},
	    {"heavy bodies are refused", test_heavy_bodies_are_refused},
	    {"changed bodies are safe", test_changed_bodies_are_safe},
	    CU_TEST_INFO_NULL,
	};

	return bp_test_main("adapter/codec", tests);
}
