#ifndef BULRUSHPOST_RULES_H
#define BULRUSHPOST_RULES_H

#include "bulrushpost/error.h"

#include <stdbool.h>
#include <stdint.h>

#define BP_RULES_MAX_BYTES (32 * 1024)

/* Amounts of the three resources of a VM. */
typedef struct {
	uint32_t cpu_milli;
	uint32_t memory_mib;
	uint32_t accelerators;
} bp_resources_t;

typedef enum {
	BP_CLASS_SERVICE = 1,
	BP_CLASS_URGENT = 2,
	BP_CLASS_BATCH = 3
} bp_task_class_t;

typedef enum {
	BP_SUBJECT_TEAM,
	BP_SUBJECT_JOB,
	BP_SUBJECT_CLASS
} bp_subject_kind_t;

/* Selects the jobs that a rule applies to. */
typedef struct {
	bp_subject_kind_t kind;
	char *name; /* team name or job pattern; NULL for a class */
	bp_task_class_t klass;
} bp_subject_t;

typedef enum { BP_SCOPE_ZONE, BP_SCOPE_RACK, BP_SCOPE_VM } bp_scope_t;

typedef enum {
	BP_RULE_QUOTA,
	BP_RULE_WEIGHT,
	BP_RULE_ONLY,
	BP_RULE_NEVER,
	BP_RULE_SPREAD,
	BP_RULE_APART,
	BP_RULE_HEADROOM
} bp_rule_kind_t;

typedef struct {
	bp_rule_kind_t kind;
	uint32_t line;
	char *text; /* the whole line as written */
	char *requested_by; /* the comment after # */
	bp_subject_t subject;
	union {
		bp_resources_t quota;
		uint32_t weight;
		struct {
			bp_scope_t scope;
			char **names; /* NULL-terminated */
		} places;
		struct {
			bp_scope_t scope; /* rack or zone */
			uint32_t at_most;
		} spread;
		bp_subject_t apart_from;
		uint32_t headroom_percent;
	} as;
} bp_rule_t;

typedef struct bp_rules bp_rules_t;

/* Known names that a rule file is validated against; fields may be NULL. */
typedef struct {
	const char *const *zones; /* NULL-terminated list of known zones */
	const char *const *racks;
	const char *const *vms;
} bp_rules_known_names_t;

int bp_rules_parse(bp_rules_t **out, const char *text, size_t size_bytes,
    const bp_rules_known_names_t *names, bp_error_t *err);
void bp_rules_free(bp_rules_t *rules);
size_t bp_rules_count(const bp_rules_t *rules);
const bp_rule_t *bp_rules_at(const bp_rules_t *rules, size_t index);
bool bp_subject_matches(const bp_subject_t *subject, const char *team,
    const char *job_name, bp_task_class_t klass);
const char *bp_task_class_name(bp_task_class_t klass);
const bp_rule_t *bp_rules_team(
    const bp_rules_t *rules, bp_rule_kind_t kind, const char *team);

#endif
