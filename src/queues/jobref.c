#include "queues/jobref.h"

#include "bulrushpost/message.h"

#include <glib.h>
#include <stdlib.h>
#include <string.h>

/* See the header. */
void
bp_job_ref_init(Bp__Work__JobRef *ref, const Bp__Work__Job *job)
{
	bp__work__job_ref__init(ref);
	ref->queue = job->queue;
	ref->id = job->id;
	ref->host = job->host;
	ref->prefix = job->prefix;
	ref->config_version = job->config_version;
}

/* See the header. */
Bp__Work__JobRef *
bp_job_ref_new(const bp_queue_route_t *route, const char *id, uint64_t version)
{
	Bp__Work__JobRef ref = BP__WORK__JOB_REF__INIT;
	Bp__Work__JobRef *copy;
	char *host = NULL;

	ref.queue = route->name;
	ref.id = (char *)id;
	if (route->host != NULL && route->prefix != NULL) {
		host = g_ascii_strdown(route->host, -1);
		ref.host = host;
		ref.prefix = route->prefix;
	}
	ref.config_version = version;
	copy = bp_message_copy(&ref.base);
	g_free(host);
	return copy;
}

/* See the header. */
bool
bp_job_ref_has_address(const Bp__Work__JobRef *ref)
{
	return ref->prefix[0] != '\0';
}

static bool
has_name_of(const Bp__Work__JobRef *a, const Bp__Work__JobRef *b)
{
	return strcmp(a->queue, b->queue) == 0;
}

/* Prefixes differ more often than hosts. */
static bool
has_address_of(const Bp__Work__JobRef *a, const Bp__Work__JobRef *b)
{
	return strcmp(a->prefix, b->prefix) == 0 &&
	    strcmp(a->host, b->host) == 0;
}

/* See the header. */
char *
bp_job_ref_queue_key(const Bp__Work__JobRef *ref)
{
	return bp_job_ref_has_address(ref)
	    ? g_strconcat(ref->host, ref->prefix, NULL)
	    : g_strdup(ref->queue);
}

static const bp_queue_route_t *
route_by_address(const bp_catalog_t *catalog, const Bp__Work__JobRef *ref)
{
	guint i;

	if (catalog == NULL || !bp_job_ref_has_address(ref))
		return NULL;
	for (i = 0; i < catalog->routes->len; i++) {
		const bp_queue_route_t *route = catalog->routes->pdata[i];

		if (strcmp(route->prefix, ref->prefix) == 0 &&
		    g_ascii_strcasecmp(route->host, ref->host) == 0)
			return route;
	}
	return NULL;
}

/* See the header. */
const bp_queue_route_t *
bp_job_ref_route(const bp_catalog_t *catalog, const Bp__Work__JobRef *known)
{
	const bp_queue_route_t *route = route_by_address(catalog, known);

	if (route == NULL && catalog != NULL)
		route = bp_catalog_queue(catalog, known->queue);
	return route;
}

/* Compares by names, for want of the address of one of them. The name of the
 * call stands for the route that has it. */
static bool
matches_by_name(const bp_catalog_t *catalog, const Bp__Work__JobRef *known,
    const Bp__Work__JobRef *call)
{
	const bp_queue_route_t *route = NULL;

	if (catalog != NULL && !bp_job_ref_has_address(call))
		route = bp_catalog_queue(catalog, call->queue);
	return route != NULL ? bp_job_ref_route(catalog, known) == route
			     : has_name_of(known, call);
}

/* Returns whether a queue is served at another address than before. */
static bool
was_moved(const bp_catalog_t *catalog, const Bp__Work__JobRef *known,
    const Bp__Work__JobRef *call)
{
	return catalog != NULL && has_name_of(known, call) &&
	    route_by_address(catalog, known) == NULL;
}

/* See the header. */
bool
bp_job_ref_in_queue(const bp_catalog_t *catalog, const Bp__Work__JobRef *known,
    const Bp__Work__JobRef *call)
{
	if (!bp_job_ref_has_address(known) || !bp_job_ref_has_address(call))
		return matches_by_name(catalog, known, call);
	return has_address_of(known, call) || was_moved(catalog, known, call);
}

/* See the header. */
bp_job_ref_match_t
bp_job_ref_match(const bp_catalog_t *catalog, const Bp__Work__JobRef *known,
    const Bp__Work__JobRef *call)
{
	if (!bp_job_ref_has_address(known) || !bp_job_ref_has_address(call))
		return matches_by_name(catalog, known, call) ? BP_JOB_REF_SAME
							     : BP_JOB_REF_OTHER;
	if (has_address_of(known, call))
		return BP_JOB_REF_SAME;
	if (was_moved(catalog, known, call))
		return BP_JOB_REF_SAME;
	/* A later configuration may have moved the queue. */
	if (has_name_of(known, call) &&
	    (catalog == NULL || catalog->version < call->config_version))
		return BP_JOB_REF_UNDECIDED;
	return BP_JOB_REF_OTHER;
}

static void
set_text(char **field, const char *value)
{
	if (*field != protobuf_c_empty_string)
		free(*field);
	*field = strdup(value);
}

/* See the header. */
bool
bp_job_ref_set_address(Bp__Work__Job *job, const char *host, const char *prefix)
{
	if (job->prefix[0] != '\0' || prefix[0] == '\0')
		return false;
	set_text(&job->host, host);
	set_text(&job->prefix, prefix);
	return true;
}

/* See the header. */
bool
bp_job_ref_resolve(const bp_catalog_t *catalog, Bp__Work__Job *job)
{
	const bp_queue_route_t *route;
	char *host;
	bool set;

	if (catalog == NULL || job->prefix[0] != '\0')
		return false;
	route = bp_catalog_queue(catalog, job->queue);
	if (route == NULL)
		return false;
	host = g_ascii_strdown(route->host, -1);
	set = bp_job_ref_set_address(job, host, route->prefix);
	g_free(host);
	return set;
}
