#include "support/queuegroup.h"

#include <string.h>

typedef struct {
	char *name;
	int64_t joined_ms;
	uint32_t ttl_ms;
	bool left;
	bool counted; /* was alive when the partitions were last dealt out */
} member_t;

typedef struct {
	member_t *holder;
	member_t *wanted; /* to which the group has assigned it */
	uint64_t moved_generation; /* since when wanted is not the holder */
} partition_t;

struct bp_qgroup {
	const bp_clock_t *clock;
	bp_random_t *random;
	uint32_t n_partitions;
	partition_t *partitions;
	GPtrArray *members; /* member_t */
	uint64_t generation;
	bool shuffled;
};

static bool
alive(const bp_qgroup_t *group, const member_t *member)
{
	return member != NULL && !member->left &&
	    bp_clock_mono_ms(group->clock) - member->joined_ms <=
	    member->ttl_ms;
}

/* Counts the live members anew and returns them. */
static GPtrArray *
count_members(const bp_qgroup_t *group)
{
	GPtrArray *live = g_ptr_array_new();
	guint i;

	for (i = 0; i < group->members->len; i++) {
		member_t *member = group->members->pdata[i];

		member->counted = alive(group, member);
		if (member->counted)
			g_ptr_array_add(live, member);
	}
	return live;
}

static uint32_t
load_of(const bp_qgroup_t *group, const member_t *member)
{
	uint32_t load = 0;
	uint32_t i;

	for (i = 0; i < group->n_partitions; i++)
		load += group->partitions[i].wanted == member;
	return load;
}

/* Returns one of the members with the fewest partitions, NULL for none. */
static member_t *
least_loaded(const bp_qgroup_t *group, const GPtrArray *live)
{
	GPtrArray *least = g_ptr_array_new();
	uint32_t least_load = G_MAXUINT32;
	member_t *member = NULL;
	guint i;

	for (i = 0; i < live->len; i++) {
		uint32_t load = load_of(group, live->pdata[i]);

		if (load < least_load)
			g_ptr_array_set_size(least, 0);
		if (load <= least_load)
			g_ptr_array_add(least, live->pdata[i]);
		least_load = MIN(least_load, load);
	}
	if (least->len > 0)
		member =
		    least->pdata[bp_random_below(group->random, least->len)];
	g_ptr_array_unref(least);
	return member;
}

/* Moves partitions from members that have two more than another one. */
static void
even_out(bp_qgroup_t *group, const GPtrArray *live)
{
	uint32_t i;
	guint k;

	for (i = 0; i < group->n_partitions; i++) {
		partition_t *partition = &group->partitions[i];

		for (k = 0; k < live->len; k++) {
			if (load_of(group, partition->wanted) >
			    load_of(group, live->pdata[k]) + 1)
				partition->wanted = live->pdata[k];
		}
	}
}

/* Assigns the partitions evenly: all of them, or as few as possible. */
static void
deal(bp_qgroup_t *group, bool all)
{
	GPtrArray *live = count_members(group);
	bool *was_listed = g_new0(bool, group->n_partitions);
	uint32_t i;

	group->generation++;
	for (i = 0; i < group->n_partitions; i++) {
		partition_t *partition = &group->partitions[i];

		was_listed[i] = partition->wanted == partition->holder;
		if (all || !alive(group, partition->wanted))
			partition->wanted = NULL;
	}
	for (i = 0; i < group->n_partitions; i++) {
		if (group->partitions[i].wanted == NULL)
			group->partitions[i].wanted = least_loaded(group, live);
	}
	even_out(group, live);
	for (i = 0; i < group->n_partitions; i++) {
		if (was_listed[i])
			group->partitions[i].moved_generation =
			    group->generation;
	}
	g_free(was_listed);
	g_ptr_array_unref(live);
}

/* Deals the partitions out if the live members have changed, and moves those
 * whose holder is gone. */
static void
update(bp_qgroup_t *group)
{
	bool changed = false;
	uint32_t i;

	for (i = 0; i < group->members->len; i++) {
		const member_t *member = group->members->pdata[i];

		changed = changed || alive(group, member) != member->counted;
	}
	if (changed)
		deal(group, group->shuffled);
	for (i = 0; i < group->n_partitions; i++) {
		partition_t *partition = &group->partitions[i];

		if (!alive(group, partition->holder))
			partition->holder = partition->wanted;
	}
}

static member_t *
find_member(bp_qgroup_t *group, const char *name)
{
	member_t *member;
	guint i;

	for (i = 0; i < group->members->len; i++) {
		member = group->members->pdata[i];
		if (strcmp(member->name, name) == 0)
			return member;
	}
	member = g_new0(member_t, 1);
	member->name = g_strdup(name);
	member->left = true;
	g_ptr_array_add(group->members, member);
	return member;
}

/* See the header. */
uint64_t
bp_qgroup_join(
    bp_qgroup_t *group, const char *name, uint32_t ttl_ms, uint64_t generation)
{
	member_t *member = find_member(group, name);
	uint32_t i;

	update(group);
	member->joined_ms = bp_clock_mono_ms(group->clock);
	member->ttl_ms = ttl_ms;
	member->left = false;
	update(group);
	for (i = 0; i < group->n_partitions; i++) {
		partition_t *partition = &group->partitions[i];

		if (partition->holder == member &&
		    partition->wanted != member &&
		    generation >= partition->moved_generation)
			partition->holder = partition->wanted;
	}
	return group->generation;
}

/* See the header. */
void
bp_qgroup_leave(bp_qgroup_t *group, const char *name)
{
	find_member(group, name)->left = true;
	update(group);
}

/* See the header. */
void
bp_qgroup_set_shuffled(bp_qgroup_t *group, bool shuffled)
{
	group->shuffled = shuffled;
}

/* See the header. */
void
bp_qgroup_rebalance(bp_qgroup_t *group)
{
	uint32_t i;

	deal(group, true);
	for (i = 0; i < group->n_partitions; i++)
		group->partitions[i].holder = group->partitions[i].wanted;
}

/* See the header. */
bool
bp_qgroup_listed(const bp_qgroup_t *group, uint32_t partition, const char *name)
{
	const partition_t *of = &group->partitions[partition];

	return of->holder != NULL && of->holder == of->wanted &&
	    strcmp(of->holder->name, name) == 0;
}

/* See the header. */
const char *
bp_qgroup_holder(bp_qgroup_t *group, uint32_t partition)
{
	const member_t *holder;

	update(group);
	holder = group->partitions[partition].holder;
	return holder != NULL ? holder->name : NULL;
}

/* See the header. */
const char *
bp_qgroup_wanted(const bp_qgroup_t *group, uint32_t partition)
{
	const member_t *wanted = group->partitions[partition].wanted;

	return wanted != NULL ? wanted->name : NULL;
}

static void
member_free(gpointer data)
{
	g_free(((member_t *)data)->name);
	g_free(data);
}

/* Creates a group without members. */
bp_qgroup_t *
bp_qgroup_new(const bp_clock_t *clock, bp_random_t *random, uint32_t partitions)
{
	bp_qgroup_t *group = g_new0(bp_qgroup_t, 1);

	group->clock = clock;
	group->random = random;
	group->n_partitions = partitions;
	group->partitions = g_new0(partition_t, partitions);
	group->members = g_ptr_array_new_with_free_func(member_free);
	return group;
}

/* Frees the group and its members. */
void
bp_qgroup_free(bp_qgroup_t *group)
{
	g_ptr_array_unref(group->members);
	g_free(group->partitions);
	g_free(group);
}
