#include "clients/vmparse.h"

#include "clients/jsondoc.h"

#include <string.h>

#define LEVELS 8 /* 3 are used; ignored members may be deeper */
#define NAME_MAX_BYTES 255U
#define TEXT_MAX_BYTES 1024U

/* Frees a bp_vmlist_vm_t. */
void
bp_vmlist_vm_free(void *data)
{
	bp_vmlist_vm_t *vm = data;

	g_free(vm->name);
	g_free(vm->zone);
	g_free(vm->rack);
	g_free(vm->url);
	g_free(vm->service);
	g_free(vm);
}

static int
parse_role(bp_vmlist_role_t *out, const char *role, bp_error_t *err)
{
	if (strcmp(role, "worker") == 0)
		*out = BP_ROLE_WORKER;
	else if (strcmp(role, "executor") == 0)
		*out = BP_ROLE_EXECUTOR;
	else if (strcmp(role, "entry") == 0)
		*out = BP_ROLE_ENTRY;
	else
		return bp_error_set(
		    err, BP_EINVALID, "unknown VM role \"%s\"", role);
	return BP_OK;
}

static int
parse_state(bp_vmlist_state_t *out, const char *state, bp_error_t *err)
{
	if (strcmp(state, "live") == 0)
		*out = BP_VMLIST_LIVE;
	else if (strcmp(state, "leaving") == 0)
		*out = BP_VMLIST_LEAVING;
	else
		return bp_error_set(
		    err, BP_EINVALID, "unknown VM state \"%s\"", state);
	return BP_OK;
}

static int
copy_text(char **out, JsonObject *object, const char *member, bp_error_t *err)
{
	const char *text = "";
	int rc = bp_json_text(&text, object, member, TEXT_MAX_BYTES, err);

	*out = g_strdup(text);
	return rc;
}

static int
copy_number(
    uint32_t *out, JsonObject *object, const char *member, bp_error_t *err)
{
	uint64_t value = 0;
	int rc = bp_json_uint(&value, object, member, UINT32_MAX, err);

	*out = (uint32_t)value;
	return rc;
}

static int
parse_identity(bp_vmlist_vm_t *vm, JsonObject *object, bp_error_t *err)
{
	const char *name = "";
	const char *role = "";
	const char *state = "";
	int rc;

	rc = bp_json_text(&name, object, "name", NAME_MAX_BYTES, err);
	if (rc == BP_OK)
		rc = bp_json_text(&role, object, "role", NAME_MAX_BYTES, err);
	if (rc == BP_OK)
		rc = bp_json_text(&state, object, "state", NAME_MAX_BYTES, err);
	if (rc != BP_OK)
		return rc;
	if (name[0] == '\0')
		return bp_error_set(err, BP_EINVALID, "a VM without a name");
	vm->name = g_strdup(name);
	rc = parse_role(&vm->role, role, err);
	return rc == BP_OK ? parse_state(&vm->state, state, err) : rc;
}

static int
parse_vm(bp_vmlist_vm_t *vm, JsonObject *object, bp_error_t *err)
{
	int rc = parse_identity(vm, object, err);

	if (rc == BP_OK)
		rc = copy_text(&vm->zone, object, "zone", err);
	if (rc == BP_OK)
		rc = copy_text(&vm->rack, object, "rack", err);
	if (rc == BP_OK)
		rc = copy_text(&vm->url, object, "url", err);
	if (rc == BP_OK)
		rc = copy_text(&vm->service, object, "service", err);
	if (rc == BP_OK)
		rc = copy_number(&vm->cpu_milli, object, "cpu_milli", err);
	if (rc == BP_OK)
		rc = copy_number(&vm->memory_mib, object, "memory_mib", err);
	if (rc == BP_OK)
		rc =
		    copy_number(&vm->accelerators, object, "accelerators", err);
	return rc;
}

static int
parse_vms(GHashTable *vms, JsonArray *array, bp_error_t *err)
{
	guint length = json_array_get_length(array);
	guint i;

	if (length > BP_VMLIST_MAX_VMS)
		return bp_error_set(err, BP_ETOOLARGE,
		    "%u VMs exceed the limit of %u", length, BP_VMLIST_MAX_VMS);
	for (i = 0; i < length; i++) {
		JsonNode *node = json_array_get_element(array, i);
		bp_vmlist_vm_t *vm;
		int rc;

		if (!JSON_NODE_HOLDS_OBJECT(node))
			return bp_error_set(
			    err, BP_EINVALID, "VM %u is not an object", i);
		vm = g_new0(bp_vmlist_vm_t, 1);
		rc = parse_vm(vm, json_node_get_object(node), err);
		if (rc == BP_OK && g_hash_table_contains(vms, vm->name))
			rc = bp_error_set(err, BP_EINVALID,
			    "VM %s is listed twice", vm->name);
		if (rc != BP_OK) {
			bp_vmlist_vm_free(vm);
			return rc;
		}
		g_hash_table_insert(vms, vm->name, vm);
	}
	return BP_OK;
}

static int
parse_list(
    uint64_t *version, GHashTable *vms, JsonObject *object, bp_error_t *err)
{
	JsonNode *array = json_object_get_member(object, "vms");

	if (!json_object_has_member(object, "version") || array == NULL ||
	    !JSON_NODE_HOLDS_ARRAY(array))
		return bp_error_set(
		    err, BP_EINVALID, "version or vms is missing");
	if (bp_json_uint(version, object, "version", G_MAXINT64, err) != BP_OK)
		return BP_EINVALID;
	return parse_vms(vms, json_node_get_array(array), err);
}

/*
 * Parses a VM list into a table by name. One invalid VM invalidates the list,
 * because a VM missing from a list is considered gone and its tasks are
 * restarted elsewhere at once. The caller frees the table with
 * g_hash_table_unref.
 */
int
bp_vmlist_parse(uint64_t *version, GHashTable **out, const char *json,
    size_t size_bytes, bp_error_t *err)
{
	JsonParser *parser;
	GHashTable *vms;
	int rc;

	*out = NULL;
	if (size_bytes > BP_VMLIST_MAX_BYTES)
		return bp_error_set(err, BP_ETOOLARGE,
		    "%zu bytes exceed the limit of %u", size_bytes,
		    BP_VMLIST_MAX_BYTES);
	rc = bp_json_parse(&parser, json, size_bytes, LEVELS, err);
	if (rc != BP_OK)
		return rc;
	vms = g_hash_table_new_full(
	    g_str_hash, g_str_equal, NULL, bp_vmlist_vm_free);
	rc = parse_list(version, vms,
	    json_node_get_object(json_parser_get_root(parser)), err);
	g_object_unref(parser);
	if (rc == BP_OK)
		*out = vms;
	else
		g_hash_table_unref(vms);
	return rc;
}
