#ifndef BULRUSHPOST_CONFIGCHECK_H
#define BULRUSHPOST_CONFIGCHECK_H

#include "bulrushpost/catalog.h"

/* Checks an operators' configuration before it is sent to the nodes. */

/* Largest request head, in bytes, that the HTTP server of a node reads: libsoup
 * 3.2.3 answers heads of 65,538 bytes and resets the connection above. */
#define BP_CONFIG_HEADER_BYTES_MAX 65536

/* Not an entry of a list, or not a position in one. */
#define BP_CONFIG_NO_LIST SIZE_MAX
#define BP_CONFIG_NO_ITEM (-1)

/* A place in a configuration, as offsets of the product's structures. */
typedef struct {
	size_t list; /* in bp_catalog_t, or BP_CONFIG_NO_LIST */
	guint index; /* of the entry of the list */
	size_t member; /* in the entry; in bp_catalog_t without a list */
	int item; /* position in a member that is a list */
} bp_config_place_t;

/* A rule that a configuration violates. */
typedef struct {
	bp_config_place_t place;
	char *text;
} bp_config_finding_t;

/* A problem with its place as the operators' text names it. */
typedef struct {
	char *place;
	char *text;
} bp_config_problem_t;

/* The arrays returned below are freed with g_ptr_array_unref. */
GPtrArray *bp_config_problems_new(void); /* bp_config_problem_t */
/* Takes both texts. */
void bp_config_problem_add(GPtrArray *problems, char *place, char *text);

/*
 * Returns the violated rules (bp_config_finding_t) in the order of the
 * entries. in_force may be NULL. Names that are empty are not judged.
 */
GPtrArray *bp_config_check(
    const bp_catalog_t *catalog, const bp_catalog_t *in_force);
/* Returns the differences (char *) in what nodes read. Keys are counted. */
GPtrArray *bp_config_differences(
    const bp_catalog_t *in_force, const bp_catalog_t *catalog);

#endif
