#include "node/control_private.h"

#include <string.h>

static const bp_rules_version_t *
find_version(const bp_state_t *state, uint64_t version)
{
	const GPtrArray *history = bp_state_rules_history(state);
	guint i;

	for (i = 0; i < history->len; i++) {
		const bp_rules_version_t *one = g_ptr_array_index(history, i);

		if (one->version == version)
			return one;
	}
	return NULL;
}

static char *
describe(const bp_rules_version_t *version)
{
	GString *text = g_string_new(NULL);

	g_string_append_printf(text, "version %" G_GUINT64_FORMAT " by %s at ",
	    version->version, version->author);
	bp_control_append_time(text, version->time_ms);
	return g_string_free(text, FALSE);
}

static void
put_version(JsonBuilder *json, const bp_rules_version_t *version)
{
	bp_control_put_number(json, "version", (int64_t)version->version);
	bp_control_put_text(json, "author", version->author);
	bp_control_put_number(json, "time_ms", version->time_ms);
	bp_control_put_number(json, "offset", (int64_t)version->offset);
	bp_control_put_number(
	    json, "rules", (int64_t)bp_rules_count(version->rules));
}

static void
reply_empty_rules(bp_peer_request_t *request)
{
	bp_control_reply_arg(request, "version 0: no rules were published",
	    "{\"version\":0,\"rules\":0,\"text\":\"\"}", "");
}

/* VERB_RULES_SHOW: optional arg version; the answer's arg is the file. */
void
bp_control_rules_show(bp_control_t *control, bp_peer_request_t *request)
{
	const bp_state_t *state = bp_control_state(control);
	const bp_rules_version_t *version = bp_state_rules(state);
	const char *wanted = bp_control_arg(request, 0);
	JsonBuilder *json;
	guint64 number;
	char *message;
	char *body;

	if (bp_control_refuse_unknown_state(control, request))
		return;
	if (wanted[0] != '\0') {
		if (!g_ascii_string_to_unsigned(
			wanted, 10, 1, G_MAXINT64, &number, NULL) ||
		    (version = find_version(state, number)) == NULL) {
			bp_control_refuse(request, BP_ENOTFOUND,
			    "%.40s is not a version that is kept", wanted);
			return;
		}
	}
	if (version == NULL) {
		reply_empty_rules(request);
		return;
	}
	json = json_builder_new();
	json_builder_begin_object(json);
	put_version(json, version);
	bp_control_put_text(json, "text", version->text);
	body = bp_control_finish_json(json);
	message = describe(version);
	bp_control_reply_arg(request, message, body, version->text);
	g_free(message);
	g_free(body);
}

/* VERB_RULES_HISTORY: the retained versions, oldest first. */
void
bp_control_rules_history(bp_control_t *control, bp_peer_request_t *request)
{
	const GPtrArray *history =
	    bp_state_rules_history(bp_control_state(control));
	GString *text = g_string_new(NULL);
	JsonBuilder *json = json_builder_new();
	char *body;
	guint i;

	json_builder_begin_object(json);
	json_builder_set_member_name(json, "versions");
	json_builder_begin_array(json);
	for (i = 0; i < history->len; i++) {
		const bp_rules_version_t *one = g_ptr_array_index(history, i);
		char *line = describe(one);

		json_builder_begin_object(json);
		put_version(json, one);
		json_builder_end_object(json);
		g_string_append_printf(text, "%s%s, %zu rules",
		    i > 0 ? "\n" : "", line, bp_rules_count(one->rules));
		g_free(line);
	}
	json_builder_end_array(json);
	body = bp_control_finish_json(json);
	if (history->len == 0)
		g_string_append(text, "no rules were published");
	bp_control_reply(request, BP_OK, BP_OUTCOME_RAN, text->str, body);
	g_free(body);
	g_string_free(text, TRUE);
}

static gint
compare_names(gconstpointer a, gconstpointer b)
{
	return strcmp(*(const char *const *)a, *(const char *const *)b);
}

/* Sorted, so that suggestions do not depend on the order of the table. */
static GPtrArray *
known_names(GHashTable *table)
{
	GPtrArray *names = g_ptr_array_new();
	GHashTableIter iter;
	gpointer key;

	g_hash_table_iter_init(&iter, table);
	while (g_hash_table_iter_next(&iter, &key, NULL))
		g_ptr_array_add(names, key);
	g_ptr_array_sort(names, compare_names);
	g_ptr_array_add(names, NULL);
	return names;
}

/* With an empty list all names would be unknown, so no check is made. */
static const char *const *
list_or_null(const GPtrArray *names)
{
	return names->len > 1 ? (const char *const *)names->pdata : NULL;
}

static int
parse(const bp_state_t *state, const char *text, bp_rules_t **rules,
    bp_error_t *err)
{
	GPtrArray *zones = known_names(bp_state_zones(state));
	GPtrArray *racks = known_names(bp_state_racks(state));
	GPtrArray *vms = known_names(bp_state_vms(state));
	bp_rules_known_names_t names = {
	    list_or_null(zones), list_or_null(racks), list_or_null(vms)};
	int rc = bp_rules_parse(rules, text, strlen(text), &names, err);

	g_ptr_array_unref(zones);
	g_ptr_array_unref(racks);
	g_ptr_array_unref(vms);
	return rc;
}

/* Parses the body of a request, or answers why it is refused. */
static char *
read_rules(
    bp_control_t *control, bp_peer_request_t *request, bp_rules_t **rules)
{
	char *text = bp_control_body(request);
	bp_error_t err;

	if (text == NULL) {
		bp_control_refuse(request, BP_EINVALID,
		    "a rule file is UTF-8 text without NUL bytes");
		return NULL;
	}
	if (parse(bp_control_state(control), text, rules, &err) == BP_OK)
		return text;
	bp_control_reply_error(request, &err, BP_OUTCOME_NOT_RUN);
	g_free(text);
	return NULL;
}

static void
reply_with_warnings(bp_peer_request_t *request, const char *first,
    JsonBuilder *json, GPtrArray *warnings)
{
	GString *text = g_string_new(first);
	char *body;
	guint i;

	bp_control_put_texts(json, "warnings", warnings);
	for (i = 0; i < warnings->len; i++)
		g_string_append_printf(text, "\nwarning: %s",
		    (const char *)g_ptr_array_index(warnings, i));
	body = bp_control_finish_json(json);
	bp_control_reply(request, BP_OK, BP_OUTCOME_RAN, text->str, body);
	g_free(body);
	g_string_free(text, TRUE);
}

/* VERB_RULES_CHECK: body is a rule file. */
void
bp_control_rules_check(bp_control_t *control, bp_peer_request_t *request)
{
	bp_rules_t *rules = NULL;
	GPtrArray *warnings;
	JsonBuilder *json;
	char *first;
	char *text;

	if (bp_control_refuse_unknown_state(control, request))
		return;
	text = read_rules(control, request, &rules);
	if (text == NULL)
		return;
	warnings = bp_control_rule_effects(bp_control_state(control), rules);
	first = g_strdup_printf(
	    "%zu rules, %u warnings", bp_rules_count(rules), warnings->len);
	json = json_builder_new();
	json_builder_begin_object(json);
	bp_control_put_flag(json, "ok", true);
	bp_control_put_number(json, "rules", (int64_t)bp_rules_count(rules));
	reply_with_warnings(request, first, json, warnings);
	g_free(first);
	g_ptr_array_unref(warnings);
	bp_rules_free(rules);
	g_free(text);
}

/* Reports who published first and which lines differ from the file. */
static void
reply_conflict(const bp_control_t *control, bp_peer_request_t *request,
    const char *base, const char *submitted)
{
	const bp_rules_version_t *winner =
	    bp_state_rules(bp_control_state(control));
	const char *in_force = winner != NULL ? winner->text : "";
	char *difference = bp_control_rule_difference(in_force, submitted);
	char *who = winner != NULL ? describe(winner)
				   : g_strdup("version 0 (no rules)");
	char *message = g_strdup_printf(
	    "the file was edited from version %s, but %s is in force\n"
	    "lines only in the version in force (-) and in yours (+):\n%s",
	    base, who, difference);
	JsonBuilder *json = json_builder_new();
	char *body;

	json_builder_begin_object(json);
	bp_control_put_text(json, "error", "conflict");
	bp_control_put_text(json, "outcome", "not_run");
	bp_control_put_text(json, "message", message);
	if (winner != NULL)
		put_version(json, winner);
	bp_control_put_text(json, "difference", difference);
	body = bp_control_finish_json(json);
	bp_control_reply(
	    request, BP_ECONFLICT, BP_OUTCOME_NOT_RUN, message, body);
	g_free(body);
	g_free(message);
	g_free(who);
	g_free(difference);
}

static void
on_published(const bp_applied_t *applied, const bp_error_t *err, void *data)
{
	bp_control_call_t *call = data;
	const bp_rules_version_t *version;
	GPtrArray *warnings;
	JsonBuilder *json;
	char *first;

	if (applied != NULL && applied->kind == BP_ECONFLICT) {
		reply_conflict(
		    call->control, call->request, call->name, call->text);
		bp_control_call_free(call);
		return;
	}
	if (bp_control_failed(call, applied, err))
		return;
	version = bp_state_rules(bp_control_state(call->control));
	warnings = bp_control_rule_effects(
	    bp_control_state(call->control), version->rules);
	first = g_strdup_printf(
	    "version %" G_GUINT64_FORMAT " is in force", version->version);
	json = json_builder_new();
	json_builder_begin_object(json);
	put_version(json, version);
	reply_with_warnings(call->request, first, json, warnings);
	g_free(first);
	g_ptr_array_unref(warnings);
	bp_control_call_free(call);
}

static void
publish(
    bp_control_t *control, bp_peer_request_t *request, guint64 base, char *text)
{
	Bp__Log__Entry entry = BP__LOG__ENTRY__INIT;
	Bp__Log__RulesPublish publish = BP__LOG__RULES_PUBLISH__INIT;

	publish.base_version = base;
	publish.author = (char *)bp_control_arg(request, 1);
	publish.text = text;
	entry.body_case = BP__LOG__ENTRY__BODY_RULES_PUBLISH;
	entry.rules_publish = &publish;
	bp_control_append(control, request, &entry, bp_control_arg(request, 0),
	    text, on_published);
}

/* VERB_RULES_PUBLISH: args base version and author; body is a rule file. */
void
bp_control_rules_publish(bp_control_t *control, bp_peer_request_t *request)
{
	const bp_rules_version_t *current =
	    bp_state_rules(bp_control_state(control));
	uint64_t in_force = current != NULL ? current->version : 0;
	const char *author = bp_control_arg(request, 1);
	const char *base_text = bp_control_arg(request, 0);
	bp_rules_t *rules = NULL;
	guint64 base = 0;
	char *text;

	if (bp_control_refuse_unknown_state(control, request))
		return;
	if (!g_ascii_string_to_unsigned(
		base_text, 10, 0, G_MAXINT64, &base, NULL)) {
		bp_control_refuse(
		    request, BP_EINVALID, "the base version is a whole number");
		return;
	}
	if (author[0] == '\0' || strlen(author) > BP_CONTROL_NAME_MAX_BYTES) {
		bp_control_refuse(request, BP_EINVALID,
		    "the author is a name of 1 to %d bytes",
		    BP_CONTROL_NAME_MAX_BYTES);
		return;
	}
	text = read_rules(control, request, &rules);
	if (text == NULL)
		return;
	bp_rules_free(rules);
	/* A higher base may be valid: this node may lag behind the log. */
	if (base < in_force)
		reply_conflict(control, request, base_text, text);
	else
		publish(control, request, base, text);
	g_free(text);
}
