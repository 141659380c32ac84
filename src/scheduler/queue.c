#include "bulrushpost/queue.h"

#include "bulrushpost/resources.h"

#include <float.h>
#include <string.h>

#define WAIT_BOUND_MS (30U * 60 * 1000)
/* Assumed for a job that declares no run time. */
#define DEFAULT_RUN_MS (10ULL * 60 * 1000)
/* Lower bound of a task's share, which keeps its cost above zero. */
#define MIN_SHARE 1e-9
#define N_RANKS 3
/* Batch is the last of the class ranks. */
#define BATCH_RANK 2

typedef struct {
	double key; /* lower goes first */
	uint64_t offset; /* of the submission; copied to avoid a cache miss */
	bp_job_t *job;
} queued_job_t;

/* A team's fair-share state in a round, with one job heap per class rank. */
typedef struct {
	const bp_team_t *team;
	bool loaded; /* in this round */
	bp_resources_t used;
	double share;
	bp_job_t *head; /* requeued job; precedes the heap */
	int head_rank;
	GArray *jobs[N_RANKS]; /* queued_job_t, binary heap */
} team_queue_t;

struct bp_queue {
	bp_queue_options_t options;
	bp_resources_t total;
	GHashTable *teams; /* const bp_team_t * -> team_queue_t, reused */
	const bp_state_t *state; /* that owns the teams */
	GPtrArray *heap; /* team_queue_t with jobs of the rank, by share */
	team_queue_t
	    *current; /* taken from the heap by the last call of next */
	size_t remaining;
	int rank; /* -1 before the first call of next */
};

/* Sets the defaults: FIFO order, wait bound 30 min. */
int
bp_queue_options_init(bp_queue_options_t *options)
{
	memset(options, 0, sizeof(*options));
	options->order = BP_ORDER_FIFO;
	options->wait_bound_ms = WAIT_BOUND_MS;
	return BP_OK;
}

/* Parses the name of an order as written in the settings. */
int
bp_order_parse(bp_order_t *out, const char *name)
{
	if (strcmp(name, "fifo") == 0)
		*out = BP_ORDER_FIFO;
	else if (strcmp(name, "weight_over_cost") == 0)
		*out = BP_ORDER_WEIGHT_OVER_COST;
	else
		return BP_EINVALID;
	return BP_OK;
}

static void
team_queue_free(void *data)
{
	team_queue_t *team_queue = data;
	int rank;

	for (rank = 0; rank < N_RANKS; rank++)
		g_array_unref(team_queue->jobs[rank]);
	g_free(team_queue);
}

/* Creates an empty queue. Free with bp_queue_free. */
bp_queue_t *
bp_queue_new(const bp_queue_options_t *options)
{
	bp_queue_t *queue = g_new0(bp_queue_t, 1);

	queue->options = *options;
	queue->teams = g_hash_table_new_full(NULL, NULL, NULL, team_queue_free);
	queue->heap = g_ptr_array_new();
	return queue;
}

/* Frees the queue. NULL is allowed. */
void
bp_queue_free(bp_queue_t *queue)
{
	if (queue == NULL)
		return;
	g_hash_table_unref(queue->teams);
	g_ptr_array_unref(queue->heap);
	g_free(queue);
}

static bool
job_before(const queued_job_t *a, const queued_job_t *b)
{
	if (a->key < b->key || b->key < a->key)
		return a->key < b->key;
	if (a->offset != b->offset)
		return a->offset < b->offset;
	return strcmp(a->job->id, b->job->id) < 0;
}

static void
jobs_sift_down(GArray *jobs, guint i)
{
	queued_job_t *items = (queued_job_t *)(void *)jobs->data;
	queued_job_t moved = items[i];
	guint child;

	while ((child = 2 * i + 1) < jobs->len) {
		if (child + 1 < jobs->len &&
		    job_before(&items[child + 1], &items[child]))
			child++;
		if (!job_before(&items[child], &moved))
			break;
		items[i] = items[child];
		i = child;
	}
	items[i] = moved;
}

static void
jobs_heapify(GArray *jobs)
{
	guint i;

	for (i = jobs->len / 2; i > 0; i--)
		jobs_sift_down(jobs, i - 1);
}

static bp_job_t *
jobs_pop(GArray *jobs)
{
	queued_job_t first = g_array_index(jobs, queued_job_t, 0);

	g_array_remove_index_fast(jobs, 0);
	if (jobs->len > 1)
		jobs_sift_down(jobs, 0);
	return first.job;
}

static bool
team_before(const team_queue_t *a, const team_queue_t *b)
{
	if (a->share < b->share || b->share < a->share)
		return a->share < b->share;
	return strcmp(a->team->name, b->team->name) < 0;
}

static void
teams_sift_down(GPtrArray *heap, guint i)
{
	gpointer moved = heap->pdata[i];
	guint child;

	while ((child = 2 * i + 1) < heap->len) {
		if (child + 1 < heap->len &&
		    team_before(heap->pdata[child + 1], heap->pdata[child]))
			child++;
		if (!team_before(heap->pdata[child], moved))
			break;
		heap->pdata[i] = heap->pdata[child];
		i = child;
	}
	heap->pdata[i] = moved;
}

static void
teams_push(GPtrArray *heap, team_queue_t *team_queue)
{
	guint i = heap->len;
	gpointer swap;

	g_ptr_array_add(heap, team_queue);
	while (i > 0 && team_before(team_queue, heap->pdata[(i - 1) / 2])) {
		swap = heap->pdata[i];
		heap->pdata[i] = heap->pdata[(i - 1) / 2];
		heap->pdata[(i - 1) / 2] = swap;
		i = (i - 1) / 2;
	}
}

static team_queue_t *
teams_pop(GPtrArray *heap)
{
	team_queue_t *lowest = g_ptr_array_remove_index_fast(heap, 0);

	if (heap->len > 1)
		teams_sift_down(heap, 0);
	return lowest;
}

/* Tells whether a batch job has waited longer than the bound. */
bool
bp_queue_overdue(
    const bp_queue_t *queue, const bp_state_t *state, const bp_job_t *job)
{
	return job->klass == BP_CLASS_BATCH &&
	    bp_state_now_ms(state) - job->submit_ms >
	    (int64_t)queue->options.wait_bound_ms;
}

/*
 * Ratio of weight to expected cost (largest slope rule, Sidiropoulos and
 * Katsaros). The cost is the share of all resources that the waiting tasks
 * need, times their expected run time.
 */
static double
weight_to_cost(const bp_queue_t *queue, const bp_job_t *job)
{
	double share = bp_resources_dominant(&job->size, &queue->total);
	uint64_t run_ms = job->run_ms;

	if (queue->options.expected_run_ms != NULL)
		run_ms =
		    queue->options.expected_run_ms(job, queue->options.data);
	if (run_ms == 0)
		run_ms = DEFAULT_RUN_MS;
	return job->weight /
	    (MAX(share, MIN_SHARE) * (double)run_ms * job->n_waiting);
}

static double
job_key(const bp_queue_t *queue, const bp_state_t *state, const bp_job_t *job)
{
	if (queue->options.order != BP_ORDER_WEIGHT_OVER_COST ||
	    job->klass != BP_CLASS_BATCH)
		return 0;
	if (bp_queue_overdue(queue, state, job))
		return -DBL_MAX;
	return -weight_to_cost(queue, job);
}

static void
update_share(const bp_queue_t *queue, team_queue_t *team_queue)
{
	uint32_t weight = MAX(team_queue->team->weight, 1U);

	team_queue->share =
	    bp_resources_dominant(&team_queue->used, &queue->total) / weight;
}

static void
init_team_share(const bp_queue_t *queue, team_queue_t *team_queue)
{
	team_queue->loaded = true;
	team_queue->used = team_queue->team->used;
	update_share(queue, team_queue);
}

/* BP_ORDER_ARRIVAL has a single queue, stored under a NULL key. */
static team_queue_t *
team_queue_of(bp_queue_t *queue, const bp_team_t *team)
{
	bool single = queue->options.order == BP_ORDER_ARRIVAL;
	team_queue_t *team_queue =
	    g_hash_table_lookup(queue->teams, single ? NULL : team);
	int rank;

	if (team_queue != NULL && team_queue->loaded)
		return team_queue;
	if (team_queue != NULL) {
		init_team_share(queue, team_queue);
		return team_queue;
	}
	team_queue = g_new0(team_queue_t, 1);
	team_queue->team = team;
	init_team_share(queue, team_queue);
	for (rank = 0; rank < N_RANKS; rank++)
		team_queue->jobs[rank] =
		    g_array_new(FALSE, FALSE, sizeof(queued_job_t));
	g_hash_table_insert(
	    queue->teams, single ? NULL : (gpointer)team, team_queue);
	return team_queue;
}

static bp_resources_t
total_capacity(const bp_state_t *state)
{
	bp_resources_t total = {0, 0, 0};
	GHashTableIter iter;
	gpointer vm;

	g_hash_table_iter_init(&iter, bp_state_vms(state));
	while (g_hash_table_iter_next(&iter, NULL, &vm))
		total = bp_resources_sum(&total, &((bp_vm_t *)vm)->capacity);
	return total;
}

static int
class_rank(bp_task_class_t klass)
{
	switch (klass) {
	case BP_CLASS_URGENT:
		return 0;
	case BP_CLASS_SERVICE:
		return 1;
	case BP_CLASS_BATCH:
		return BATCH_RANK;
	}
	return BATCH_RANK;
}

static bool
has_head_of(const team_queue_t *team_queue, int rank)
{
	return team_queue->head != NULL && team_queue->head_rank == rank;
}

static bool
has_jobs(const team_queue_t *team_queue, int rank)
{
	return has_head_of(team_queue, rank) || team_queue->jobs[rank]->len > 0;
}

/* Clears the jobs of the first ranks and keeps their memory allocated. */
static void
reset_team_queues(bp_queue_t *queue, const bp_state_t *state, int ranks)
{
	GHashTableIter iter;
	gpointer value;
	int rank;

	if (queue->state != state)
		g_hash_table_remove_all(queue->teams);
	queue->state = state;
	g_hash_table_iter_init(&iter, queue->teams);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		team_queue_t *team_queue = value;

		team_queue->loaded = false;
		if (ranks == N_RANKS || !has_head_of(team_queue, BATCH_RANK))
			team_queue->head = NULL;
		for (rank = 0; rank < ranks; rank++)
			g_array_set_size(team_queue->jobs[rank], 0);
		if (has_jobs(team_queue, BATCH_RANK))
			init_team_share(queue, team_queue);
		queue->remaining += team_queue->jobs[BATCH_RANK]->len +
		    (team_queue->head != NULL ? 1 : 0);
	}
}

static void
add_job(bp_queue_t *queue, const bp_state_t *state, bp_job_t *job)
{
	queued_job_t queued_job = {
	    job_key(queue, state, job), job->submit_offset, job};
	int rank = queue->options.order == BP_ORDER_ARRIVAL
	    ? 0
	    : class_rank(job->klass);

	queue->remaining++;
	g_array_append_val(
	    team_queue_of(queue, job->team)->jobs[rank], queued_job);
}

/* See the header. Runs in linear time in the number of waiting jobs. */
void
bp_queue_load(bp_queue_t *queue, const bp_state_t *state, bool keep_batch,
    bp_queue_filter_t filter, void *data)
{
	const GPtrArray *waiting = bp_state_waiting(state);
	bool keep = keep_batch && queue->state == state &&
	    queue->options.order != BP_ORDER_ARRIVAL;
	int ranks = keep ? BATCH_RANK : N_RANKS;
	GHashTableIter iter;
	gpointer value;
	guint i;
	int rank;

	g_ptr_array_set_size(queue->heap, 0);
	queue->current = NULL;
	queue->rank = -1;
	queue->remaining = 0;
	queue->total = total_capacity(state);
	reset_team_queues(queue, state, ranks);
	for (i = 0; i < waiting->len; i++) {
		bp_job_t *job = g_ptr_array_index(waiting, i);

		if (keep && job->klass == BP_CLASS_BATCH)
			continue;
		if (filter == NULL || filter(job, data))
			add_job(queue, state, job);
	}
	g_hash_table_iter_init(&iter, queue->teams);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		for (rank = 0; rank < ranks; rank++)
			jobs_heapify(((team_queue_t *)value)->jobs[rank]);
	}
}

/* Rebuilds the heap of teams: earlier classes changed their shares. */
static void
start_rank(bp_queue_t *queue)
{
	GHashTableIter iter;
	gpointer value;

	queue->rank++;
	g_hash_table_iter_init(&iter, queue->teams);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		if (has_jobs(value, queue->rank))
			teams_push(queue->heap, value);
	}
}

static void
push_current_back(bp_queue_t *queue)
{
	team_queue_t *team_queue = queue->current;

	queue->current = NULL;
	if (team_queue != NULL && has_jobs(team_queue, queue->rank))
		teams_push(queue->heap, team_queue);
}

static bp_job_t *
pop_next(bp_queue_t *queue)
{
	team_queue_t *team_queue;
	bp_job_t *job;

	push_current_back(queue);
	while (queue->heap->len == 0) {
		if (queue->rank + 1 >= N_RANKS)
			return NULL;
		start_rank(queue);
	}
	team_queue = teams_pop(queue->heap);
	queue->current = team_queue;
	queue->remaining--;
	if (!has_head_of(team_queue, queue->rank))
		return jobs_pop(team_queue->jobs[queue->rank]);
	job = team_queue->head;
	team_queue->head = NULL;
	return job;
}

/* See the header. Takes O(log teams + log jobs of the team). */
bp_job_t *
bp_queue_next(bp_queue_t *queue)
{
	bp_job_t *job;

	/* Jobs kept from the previous round may have no waiting tasks left. */
	do {
		job = pop_next(queue);
	} while (job != NULL && job->n_waiting == 0);
	return job;
}

/* See the header. */
void
bp_queue_charge(bp_queue_t *queue, const bp_job_t *job, uint32_t count)
{
	team_queue_t *team_queue = g_hash_table_lookup(queue->teams, job->team);
	bp_resources_t amount = bp_resources_times(&job->size, count);

	if (team_queue == NULL || !team_queue->loaded)
		return;
	team_queue->used = bp_resources_sum(&team_queue->used, &amount);
	update_share(queue, team_queue);
}

/* See the header. */
void
bp_queue_put_back(bp_queue_t *queue, bp_job_t *job)
{
	if (queue->current == NULL)
		return;
	queue->current->head = job;
	queue->current->head_rank = queue->rank;
	queue->remaining++;
}

/* See the header. A team without waiting jobs has the share of the state. */
double
bp_queue_share(const bp_queue_t *queue, const bp_team_t *team)
{
	const team_queue_t *team_queue =
	    g_hash_table_lookup(queue->teams, team);

	if (team_queue != NULL && team_queue->loaded)
		return team_queue->share;
	return bp_resources_dominant(&team->used, &queue->total) /
	    MAX(team->weight, 1U);
}

/* Returns the number of jobs not considered yet in this round. */
size_t
bp_queue_left(const bp_queue_t *queue)
{
	return queue->remaining;
}
