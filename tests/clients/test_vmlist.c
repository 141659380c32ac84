#include "bulrushpost/hash.h"
#include "bulrushpost/vmlist.h"
#include "clients/vmparse.h"
#include "support/fakelog.h"
#include "support/runner.h"

#include <libsoup/soup.h>
#include <string.h>

#define SEED 20261204
#define MUTATIONS 4000
#define LIMIT_MS 8000

#define VM_A                                                            \
	"{\"name\":\"a\",\"role\":\"worker\",\"state\":\"live\","       \
	"\"zone\":\"z\",\"rack\":\"r\",\"url\":\"http://127.0.0.1:9\"," \
	"\"service\":\"\",\"cpu_milli\":64000,\"memory_mib\":256000,"   \
	"\"accelerators\":2}"
#define VM_A_LEAVING \
	"{\"name\":\"a\",\"role\":\"worker\",\"state\":\"leaving\"}"
#define VM_B "{\"name\":\"b\",\"role\":\"executor\",\"state\":\"live\"}"
#define LIST(version, vms) "{\"version\":" version ",\"vms\":[" vms "]}"

typedef struct {
	bp_clock_virtual_t *virt;
	bp_vmlist_t *list;
	uint32_t changes;
} rig_t;

static void
on_change(bp_vmlist_t *list, void *data)
{
	((rig_t *)data)->changes++;
}

static void
rig_init(rig_t *rig, const char *url)
{
	bp_vmlist_options_t options;

	rig->virt = bp_clock_virtual_new(1000);
	rig->changes = 0;
	bp_vmlist_options_init(&options);
	options.clock = bp_clock_virtual_clock(rig->virt);
	options.url = url;
	options.poll_ms = 10;
	CU_ASSERT_EQUAL_FATAL(bp_vmlist_new(&rig->list, &options, NULL), BP_OK);
	bp_vmlist_on_change(rig->list, on_change, rig);
}

static void
rig_clear(rig_t *rig)
{
	bp_vmlist_free(rig->list);
	bp_clock_virtual_free(rig->virt);
}

static int
update(rig_t *rig, const char *json)
{
	return bp_vmlist_update(rig->list, json, strlen(json), NULL);
}

/* Guards against state times that change or depend on the wall clock. */
static void
test_states_and_times(void)
{
	const bp_vmlist_vm_t *a;
	rig_t rig;

	rig_init(&rig, "http://127.0.0.1:1");
	CU_ASSERT_FALSE(bp_vmlist_is_loaded(rig.list));
	CU_ASSERT_EQUAL(update(&rig, LIST("1", VM_A "," VM_B)), BP_OK);
	a = bp_vmlist_find(rig.list, "a");
	CU_ASSERT_PTR_NOT_NULL_FATAL(a);
	g_assert_nonnull(a); /* for the static analyzer */
	CU_ASSERT_EQUAL(a->role, BP_ROLE_WORKER);
	CU_ASSERT_EQUAL(a->memory_mib, 256000);
	CU_ASSERT_EQUAL(a->since_us, 1000000);
	bp_clock_virtual_advance_us(rig.virt, 5);
	bp_clock_virtual_step_wall_ms(rig.virt, -100000);
	CU_ASSERT_EQUAL(update(&rig, LIST("2", VM_A_LEAVING "," VM_B)), BP_OK);
	bp_clock_virtual_advance_us(rig.virt, 5);
	CU_ASSERT_EQUAL(update(&rig, LIST("3", VM_A_LEAVING "," VM_B)), BP_OK);
	a = bp_vmlist_find(rig.list, "a");
	CU_ASSERT_EQUAL(a->state, BP_VMLIST_LEAVING);
	CU_ASSERT_EQUAL(a->since_us, 1000005);
	CU_ASSERT_EQUAL(rig.changes, 2);
	CU_ASSERT_EQUAL(update(&rig, LIST("4", VM_B)), BP_OK);
	a = bp_vmlist_find(rig.list, "a");
	CU_ASSERT_EQUAL(a->state, BP_VMLIST_GONE);
	CU_ASSERT_EQUAL(a->since_us, 1000010);
	CU_ASSERT_EQUAL(rig.changes, 3);
	rig_clear(&rig);
}

/* Guards against VMs that look gone due to an invalid or stale list. */
static void
test_bad_lists_change_nothing(void)
{
	static const char *const bad[] = {"", "[]", "{}", LIST("-1", ""),
	    LIST("9", VM_B "," VM_B), LIST("9", "7"), LIST("9", "{}"),
	    LIST("9", "{\"name\":\"\",\"role\":\"entry\",\"state\":\"live\"}"),
	    LIST("9", "{\"name\":\"c\",\"role\":\"boss\",\"state\":\"live\"}"),
	    LIST("9", "{\"name\":\"c\",\"role\":\"entry\",\"state\":\"up\"}"),
	    LIST("9",
		"{\"name\":\"c\",\"role\":\"entry\",\"state\":\"live\","
		"\"cpu_milli\":4294967296}"),
	    "{\"version\":9}", "{\"version\":9,\"vms\":{}}", LIST("0", "")};
	rig_t rig;
	size_t i;

	rig_init(&rig, "http://127.0.0.1:1");
	CU_ASSERT_EQUAL(update(&rig, LIST("1", VM_A)), BP_OK);
	for (i = 0; i < G_N_ELEMENTS(bad); i++)
		CU_ASSERT_NOT_EQUAL(update(&rig, bad[i]), BP_OK);
	CU_ASSERT_EQUAL(bp_vmlist_find(rig.list, "a")->state, BP_VMLIST_LIVE);
	CU_ASSERT_EQUAL(rig.changes, 1);
	rig_clear(&rig);
}

/* Guards against a crash or VMs that look gone due to a corrupted list. */
static void
test_mutated_lists_never_crash(void)
{
	static const char valid[] = LIST("5", VM_A "," VM_B);
	bp_random_t random;
	rig_t rig;
	uint32_t i;

	bp_random_init(&random, SEED);
	rig_init(&rig, "http://127.0.0.1:1");
	for (i = 0; i < MUTATIONS; i++) {
		char *json = g_memdup2(valid, sizeof(valid) - 1);
		size_t size = sizeof(valid) - 1;
		uint32_t changes = 1 + bp_random_below(&random, 5);

		while (changes-- > 0)
			json[bp_random_below(&random, (uint32_t)size)] =
			    "{}[]\",:\\/'a0-\xff"[bp_random_below(&random, 14)];
		size -= bp_random_below(&random, 2) *
		    bp_random_below(&random, (uint32_t)size);
		json = g_realloc(json, MAX(size, 1));
		(void)bp_vmlist_update(rig.list, json, size, NULL);
		g_free(json);
	}
	rig_clear(&rig);
}

/* Guards against stack or memory exhaustion by an oversized response. */
static void
test_oversized_lists_are_refused(void)
{
	GString *json = g_string_new("{\"version\":1,\"vms\":[");
	rig_t rig;
	uint32_t i;

	rig_init(&rig, "http://127.0.0.1:1");
	for (i = 0; i <= BP_VMLIST_MAX_VMS; i++)
		g_string_append_printf(json,
		    "%s{\"name\":\"v%u\",\"role\":\"entry\",\"state\":"
		    "\"live\"}",
		    i > 0 ? "," : "", i);
	g_string_append(json, "]}");
	CU_ASSERT_EQUAL(update(&rig, json->str), BP_ETOOLARGE);
	g_string_set_size(json, 0);
	for (i = 0; i < BP_VMLIST_MAX_BYTES; i++)
		g_string_append_c(json, '[');
	CU_ASSERT_EQUAL(update(&rig, json->str), BP_EINVALID);
	g_string_append_c(json, '[');
	CU_ASSERT_EQUAL(update(&rig, json->str), BP_ETOOLARGE);
	g_string_free(json, TRUE);
	rig_clear(&rig);
}

typedef struct {
	uint32_t status;
	uint32_t full;
	uint32_t unchanged;
} service_t;

static void
on_request(SoupServer *server, SoupServerMessage *message, const char *path,
    GHashTable *query, void *data)
{
	static const char json[] = LIST("17", VM_A);
	service_t *service = data;
	const char *known = soup_message_headers_get_one(
	    soup_server_message_get_request_headers(message), "If-None-Match");
	bool same = known != NULL && strcmp(known, "\"17\"") == 0;

	service->full += service->status == 200 && !same;
	service->unchanged += service->status == 200 && same;
	soup_server_message_set_status(message,
	    service->status == 200 && same ? 304 : service->status, NULL);
	if (service->status == 200 && !same)
		soup_server_message_set_response(message, "application/json",
		    SOUP_MEMORY_STATIC, json, sizeof(json) - 1);
}

static bool
was_unchanged(void *data)
{
	return ((service_t *)data)->unchanged >= 3;
}

/* Guards against full transfers on each poll and a list lost in an outage. */
static void
test_polls_conditionally_and_survives_outage(void)
{
	service_t service = {200, 0, 0};
	SoupServer *server = soup_server_new(NULL, NULL);
	GSList *uris;
	char *url;
	rig_t rig;

	soup_server_add_handler(server, "/vms", on_request, &service, NULL);
	soup_server_listen_local(server, 0, SOUP_SERVER_LISTEN_IPV4_ONLY, NULL);
	uris = soup_server_get_uris(server);
	url =
	    g_strdup_printf("http://127.0.0.1:%d", g_uri_get_port(uris->data));
	rig_init(&rig, url);
	bp_vmlist_start(rig.list);
	CU_ASSERT_TRUE(wait_until(was_unchanged, &service, LIMIT_MS));
	CU_ASSERT_EQUAL(service.full, 1);
	CU_ASSERT_EQUAL(rig.changes, 1);
	service.status = 503;
	run_for(50);
	CU_ASSERT_PTR_NOT_NULL(bp_vmlist_find(rig.list, "a"));
	CU_ASSERT_EQUAL(bp_vmlist_version(rig.list), 17);
	CU_ASSERT_EQUAL(rig.changes, 1);
	rig_clear(&rig);
	soup_server_disconnect(server);
	run_for(20);
	g_object_unref(server);
	g_slist_free_full(uris, (GDestroyNotify)g_uri_unref);
	g_free(url);
}

int
main(void)
{
	CU_TestInfo tests[] = {
	    {"states and times", test_states_and_times},
	    {"bad lists", test_bad_lists_change_nothing},
	    {"mutated lists", test_mutated_lists_never_crash},
	    {"oversized lists", test_oversized_lists_are_refused},
	    {"conditional polls", test_polls_conditionally_and_survives_outage},
	    CU_TEST_INFO_NULL,
	};

	return bp_test_main("vmlist", tests);
}
