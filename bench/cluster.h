#ifndef BP_BENCH_CLUSTER_H
#define BP_BENCH_CLUSTER_H

#include "decisions.h"

/* Wall time of the records at virtual time 0. */
#define TIME_BASE_MS 1000000

typedef struct {
	int64_t at_ms;
	GBytes *bytes;
} stored_t;

/* The decisions of one node, made on its own late copy of the state. */
typedef struct {
	char name[8];
	cluster_t *cluster;
	uint64_t incarnation;
	uint64_t seq;
	bool alive;
	int64_t dead_ms;
	bool guard; /* interference estimates and evictions */
	bool quarantine;
	int64_t lag_ms;
	guint applied;
	bp_random_t random;
	bp_state_t *state;
	bp_placement_t *placement;
	bp_interference_t *interference;
	bp_eviction_t *eviction;
	GByteArray *body; /* entries of the next record */
	GHashTable *lost; /* "job/task/attempt" or "rack/epoch" written */
} node_t;

struct cluster {
	world_t *world;
	policy_t policy;
	GArray *log; /* stored_t */
	node_t *nodes;
	uint32_t turn;
};

void node_add(node_t *node, Bp__Log__Entry *entry);
void node_claim(node_t *node, const char *rack, uint64_t epoch);
void node_upsert(
    node_t *node, const truth_vm_t *vm, const deployment_t *deployment);
void node_assign(node_t *node, const bp_assignment_t *assignment);
void node_protect(node_t *node);
void node_take_over(node_t *node);

#endif
