#include "bulrushpost/queue.h"

#include "bulrushpost/resources.h"

#include <float.h>
#include <string.h>

#define WAIT_BOUND_MS (30U * 60 * 1000)
/* Assumed for a job that declares no run time. */
#define RUN_UNKNOWN_MS (10ULL * 60 * 1000)
/* Lower bound of a task's share, which keeps its cost above zero. */
#define SHARE_MIN 1e-9
#define N_RANKS 3
/* Batch is the last of the class ranks. */
#define BATCH_RANK 2

typedef struct {
	double key; /* lower goes first */
	uint64_t offset; /* of the submission; copied to avoid a cache miss */
	bp_job_t *job;
} item_t;

/* A team's fair-share state in a round, with one job heap per class rank. */
typedef struct {
	const bp_team_t *team;
	bool loaded; /* in this round */
	bp_resources_t used;
	double share;
	bp_job_t *head; /* requeued job; precedes the heap */
	int head_rank;
	GArray *jobs[N_RANKS]; /* item_t, binary heap */
} turn_t;

struct bp_queue {
	bp_queue_options_t options;
	bp_resources_t total;
	GHashTable *teams; /* const bp_team_t * -> turn_t, kept for reuse */
	const bp_state_t *state; /* that owns the teams */
	GPtrArray *heap; /* turn_t with jobs of the current rank, by share */
	turn_t *current; /* taken from the heap by the last call of next */
	size_t left;
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
turn_free(void *data)
{
	turn_t *turn = data;
	int rank;

	for (rank = 0; rank < N_RANKS; rank++)
		g_array_unref(turn->jobs[rank]);
	g_free(turn);
}

/* Creates an empty queue. Free with bp_queue_free. */
bp_queue_t *
bp_queue_new(const bp_queue_options_t *options)
{
	bp_queue_t *queue = g_new0(bp_queue_t, 1);

	queue->options = *options;
	queue->teams = g_hash_table_new_full(NULL, NULL, NULL, turn_free);
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
job_before(const item_t *a, const item_t *b)
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
	item_t *items = (item_t *)(void *)jobs->data;
	item_t moved = items[i];
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
	item_t first = g_array_index(jobs, item_t, 0);

	g_array_remove_index_fast(jobs, 0);
	if (jobs->len > 1)
		jobs_sift_down(jobs, 0);
	return first.job;
}

static bool
team_before(const turn_t *a, const turn_t *b)
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
teams_push(GPtrArray *heap, turn_t *turn)
{
	guint i = heap->len;
	gpointer swap;

	g_ptr_array_add(heap, turn);
	while (i > 0 && team_before(turn, heap->pdata[(i - 1) / 2])) {
		swap = heap->pdata[i];
		heap->pdata[i] = heap->pdata[(i - 1) / 2];
		heap->pdata[(i - 1) / 2] = swap;
		i = (i - 1) / 2;
	}
}

static turn_t *
teams_pop(GPtrArray *heap)
{
	turn_t *first = g_ptr_array_remove_index_fast(heap, 0);

	if (heap->len > 1)
		teams_sift_down(heap, 0);
	return first;
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
slope(const bp_queue_t *queue, const bp_job_t *job)
{
	double share = bp_resources_dominant(&job->size, &queue->total);
	uint64_t run_ms = job->run_ms;

	if (queue->options.expected_run_ms != NULL)
		run_ms =
		    queue->options.expected_run_ms(job, queue->options.data);
	if (run_ms == 0)
		run_ms = RUN_UNKNOWN_MS;
	return job->weight /
	    (MAX(share, SHARE_MIN) * (double)run_ms * job->n_waiting);
}

static double
job_key(const bp_queue_t *queue, const bp_state_t *state, const bp_job_t *job)
{
	if (queue->options.order != BP_ORDER_WEIGHT_OVER_COST ||
	    job->klass != BP_CLASS_BATCH)
		return 0;
	if (bp_queue_overdue(queue, state, job))
		return -DBL_MAX;
	return -slope(queue, job);
}

static void
update_share(const bp_queue_t *queue, turn_t *turn)
{
	uint32_t weight = MAX(turn->team->weight, 1U);

	turn->share =
	    bp_resources_dominant(&turn->used, &queue->total) / weight;
}

static void
start_turn(const bp_queue_t *queue, turn_t *turn)
{
	turn->loaded = true;
	turn->used = turn->team->used;
	update_share(queue, turn);
}

/* BP_ORDER_ARRIVAL has a single queue, stored under a NULL key. */
static turn_t *
turn_of(bp_queue_t *queue, const bp_team_t *team)
{
	bool single = queue->options.order == BP_ORDER_ARRIVAL;
	turn_t *turn = g_hash_table_lookup(queue->teams, single ? NULL : team);
	int rank;

	if (turn != NULL && turn->loaded)
		return turn;
	if (turn != NULL) {
		start_turn(queue, turn);
		return turn;
	}
	turn = g_new0(turn_t, 1);
	turn->team = team;
	start_turn(queue, turn);
	for (rank = 0; rank < N_RANKS; rank++)
		turn->jobs[rank] = g_array_new(FALSE, FALSE, sizeof(item_t));
	g_hash_table_insert(queue->teams, single ? NULL : (gpointer)team, turn);
	return turn;
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
head_is_of(const turn_t *turn, int rank)
{
	return turn->head != NULL && turn->head_rank == rank;
}

static bool
has_jobs(const turn_t *turn, int rank)
{
	return head_is_of(turn, rank) || turn->jobs[rank]->len > 0;
}

/* Clears the jobs of the first ranks and keeps their memory allocated. */
static void
reset_turns(bp_queue_t *queue, const bp_state_t *state, int ranks)
{
	GHashTableIter iter;
	gpointer value;
	int rank;

	if (queue->state != state)
		g_hash_table_remove_all(queue->teams);
	queue->state = state;
	g_hash_table_iter_init(&iter, queue->teams);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		turn_t *turn = value;

		turn->loaded = false;
		if (ranks == N_RANKS || !head_is_of(turn, BATCH_RANK))
			turn->head = NULL;
		for (rank = 0; rank < ranks; rank++)
			g_array_set_size(turn->jobs[rank], 0);
		if (has_jobs(turn, BATCH_RANK))
			start_turn(queue, turn);
		queue->left +=
		    turn->jobs[BATCH_RANK]->len + (turn->head != NULL ? 1 : 0);
	}
}

static void
add_job(bp_queue_t *queue, const bp_state_t *state, bp_job_t *job)
{
	item_t item = {job_key(queue, state, job), job->submit_offset, job};
	int rank = queue->options.order == BP_ORDER_ARRIVAL
	    ? 0
	    : class_rank(job->klass);

	queue->left++;
	g_array_append_val(turn_of(queue, job->team)->jobs[rank], item);
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
	queue->left = 0;
	queue->total = total_capacity(state);
	reset_turns(queue, state, ranks);
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
			jobs_heapify(((turn_t *)value)->jobs[rank]);
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
return_current(bp_queue_t *queue)
{
	turn_t *turn = queue->current;

	queue->current = NULL;
	if (turn != NULL && has_jobs(turn, queue->rank))
		teams_push(queue->heap, turn);
}

static bp_job_t *
next_of(bp_queue_t *queue)
{
	turn_t *turn;
	bp_job_t *job;

	return_current(queue);
	while (queue->heap->len == 0) {
		if (queue->rank + 1 >= N_RANKS)
			return NULL;
		start_rank(queue);
	}
	turn = teams_pop(queue->heap);
	queue->current = turn;
	queue->left--;
	if (!head_is_of(turn, queue->rank))
		return jobs_pop(turn->jobs[queue->rank]);
	job = turn->head;
	turn->head = NULL;
	return job;
}

/* See the header. Takes O(log teams + log jobs of the team). */
bp_job_t *
bp_queue_next(bp_queue_t *queue)
{
	bp_job_t *job;

	/* Jobs kept from the previous round may have no waiting tasks left. */
	do {
		job = next_of(queue);
	} while (job != NULL && job->n_waiting == 0);
	return job;
}

/* See the header. */
void
bp_queue_charge(bp_queue_t *queue, const bp_job_t *job, uint32_t count)
{
	turn_t *turn = g_hash_table_lookup(queue->teams, job->team);
	bp_resources_t amount = bp_resources_times(&job->size, count);

	if (turn == NULL || !turn->loaded)
		return;
	turn->used = bp_resources_sum(&turn->used, &amount);
	update_share(queue, turn);
}

/* See the header. */
void
bp_queue_put_back(bp_queue_t *queue, bp_job_t *job)
{
	if (queue->current == NULL)
		return;
	queue->current->head = job;
	queue->current->head_rank = queue->rank;
	queue->left++;
}

/* See the header. A team without waiting jobs has the share of the state. */
double
bp_queue_share(const bp_queue_t *queue, const bp_team_t *team)
{
	const turn_t *turn = g_hash_table_lookup(queue->teams, team);

	if (turn != NULL && turn->loaded)
		return turn->share;
	return bp_resources_dominant(&team->used, &queue->total) /
	    MAX(team->weight, 1U);
}

/* Returns the number of jobs not considered yet in this round. */
size_t
bp_queue_left(const bp_queue_t *queue)
{
	return queue->left;
}
