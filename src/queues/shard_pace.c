#include "queues/shard_private.h"

/* Predicted tails are kept below this share of their target. */
#define LIMIT_SHARE 0.75
/* A measured tail above this share slows all fillers at once. */
#define ALARM_SHARE 0.95
#define PACE_FULL 100
/* An effect below this share of the target is taken for none. */
#define EFFECT_NONE 0.03
/* How fast a serving task's own load is followed, a sample. */
#define LOAD_RATE 0.3
/* Tails are figures of half a second; more samples say nothing new. */
#define SAMPLE_MS 250
/* Smaller changes are not worth an order. */
#define PACE_STEP 10
/* Below this a filler rests: it would hardly advance. */
#define PACE_MIN 15

typedef struct {
	bp_shard_t *shard;
	bp_qrun_t *run;
} pace_t;

static void
on_paced(const bp_exec_result_t *result, void *data)
{
	pace_t *pace = data;

	g_hash_table_remove(pace->shard->paces, pace);
	if (result->outcome != BP_EXEC_OK)
		pace->run->pace = PACE_FULL + 1; /* not known: told again */
	bp_qrun_unref_order(pace->run);
	g_free(pace);
}

static void
tell_pace(bp_qexec_t *exec, bp_qrun_t *run, uint32_t percent)
{
	bp_shard_t *shard = exec->shard;
	bp_exec_target_t target = {exec->info->address, exec->info->id,
	    exec->info->zone, shard->epoch};
	uint32_t change =
	    run->pace > percent ? run->pace - percent : percent - run->pace;
	pace_t *pace;

	if (change == 0 || run->orders > 0 || run->state != BP_QRUN_RUNNING ||
	    !bp_shard_may_order(shard))
		return;
	if (change < PACE_STEP && percent != 0 && percent != PACE_FULL)
		return;
	pace = g_new0(pace_t, 1);
	pace->shard = shard;
	pace->run = run;
	run->pace = percent;
	run->orders++;
	shard->counts_paces++;
	g_hash_table_add(shard->paces, pace);
	shard->options.executors->pace(shard->options.executors, &target,
	    run->name, run->number, percent, on_paced, pace);
}

static bool
is_filler(const bp_qrun_t *run)
{
	return run->task != NULL && run->task->step->spec->filler;
}

static bool
is_serving(const bp_qrun_t *run)
{
	return run->task != NULL && run->task->step->spec->target_ms > 0;
}

/* The fillers of an executor with the processors that they use now. */
static GArray *
amounts_of(const bp_qexec_t *exec)
{
	GArray *amounts = g_array_new(FALSE, FALSE, sizeof(bp_pairs_filler_t));
	double capacity = MAX(exec->info->cpu_milli, 1);
	guint i;

	for (i = 0; i < exec->runs->len; i++) {
		const bp_qrun_t *run = exec->runs->pdata[i];
		bp_pairs_filler_t amount;

		if (!is_filler(run))
			continue;
		amount.image = run->task->step->spec->image;
		amount.amount = CLAMP((double)run->figure / capacity, 0, 1);
		g_array_append_val(amounts, amount);
	}
	return amounts;
}

/* How a serving task's tail grows with one filler at full pace, as a share
 * of its target. */
static double
effect(bp_shard_t *shard, const bp_qrun_t *serving,
    const Bp__Work__Step *filler, double capacity)
{
	const Bp__Work__Step *spec = serving->task->step->spec;
	double grows =
	    bp_pairs_weight(shard->pairs, spec->image, filler->image) *
	    filler->cpu_milli / capacity;

	return grows < EFFECT_NONE ? 0 : grows;
}

static double
undisturbed(bp_shard_t *shard, const bp_qrun_t *serving)
{
	const Bp__Work__Step *spec = serving->task->step->spec;

	return MAX(bp_pairs_base(shard->pairs, spec->image) + serving->load, 0);
}

/* Share of its pace that a filler must give up so that tails stay low. */
static double
allowed_share(bp_shard_t *shard, const bp_qexec_t *exec,
    const bp_qrun_t *filler, const double *planned)
{
	double capacity = MAX(exec->info->cpu_milli, 1);
	double share = 1;
	guint i;

	for (i = 0; i < exec->runs->len; i++) {
		const bp_qrun_t *run = exec->runs->pdata[i];
		double grows;
		double room;

		if (!is_serving(run))
			continue;
		grows = effect(
		    shard, run, filler->task->step->spec, capacity);
		room = LIMIT_SHARE - undisturbed(shard, run) - planned[i];
		if (grows > 0)
			share = MIN(share, MAX(room, 0) / grows);
	}
	return share;
}

static void
add_planned(bp_shard_t *shard, const bp_qexec_t *exec,
    const bp_qrun_t *filler, double share, double *planned)
{
	double capacity = MAX(exec->info->cpu_milli, 1);
	guint i;

	for (i = 0; i < exec->runs->len; i++) {
		const bp_qrun_t *run = exec->runs->pdata[i];

		if (is_serving(run))
			planned[i] += share *
			    effect(shard, run, filler->task->step->spec,
				capacity);
	}
}

/* The sum of a filler's effects, by which the gentle ones go first. */
static double
harm_of(bp_shard_t *shard, const bp_qexec_t *exec,
    const Bp__Work__Step *filler)
{
	double capacity = MAX(exec->info->cpu_milli, 1);
	double worst = 0;
	guint i;

	for (i = 0; i < exec->runs->len; i++) {
		const bp_qrun_t *run = exec->runs->pdata[i];

		if (is_serving(run))
			worst = MAX(
			    worst, effect(shard, run, filler, capacity));
	}
	return worst / MAX(filler->cpu_milli, 1);
}

typedef struct {
	bp_qrun_t *run;
	double harm;
} ranked_t;

static gint
compare_harm(gconstpointer a, gconstpointer b)
{
	const ranked_t *x = a;
	const ranked_t *y = b;

	return (x->harm > y->harm) - (x->harm < y->harm);
}

/* What the fit leaves over is the serving task's own load. */
static void
learn_load(
    bp_shard_t *shard, bp_qrun_t *run, double share, const GArray *amounts)
{
	const char *image = run->task->step->spec->image;
	double predicted = bp_pairs_base(shard->pairs, image);
	guint i;

	for (i = 0; i < amounts->len; i++) {
		const bp_pairs_filler_t *filler =
		    &g_array_index(amounts, bp_pairs_filler_t, i);

		predicted += filler->amount *
		    bp_pairs_weight(shard->pairs, image, filler->image);
	}
	run->load += LOAD_RATE * (share - predicted - run->load);
}

/* Learns from the tails of a look; returns the worst share of a target. */
static double
learn(bp_qexec_t *exec)
{
	GArray *amounts = amounts_of(exec);
	double worst = 0;
	guint i;

	for (i = 0; i < exec->runs->len; i++) {
		bp_qrun_t *run = exec->runs->pdata[i];
		const Bp__Work__Step *spec;
		double share;

		if (!is_serving(run) || run->figure <= 0)
			continue;
		spec = run->task->step->spec;
		share = (double)run->figure / spec->target_ms;
		bp_pairs_learn(
		    exec->shard->pairs, spec->image, share, amounts);
		learn_load(exec->shard, run, share, amounts);
		worst = MAX(worst, share);
	}
	g_array_unref(amounts);
	return worst;
}

/*
 * Paces the fillers of an executor: as many as the predicted tails of its
 * serving tasks allow run at full pace, the gentlest first.
 */
void
bp_shard_pace(bp_qexec_t *exec)
{
	int64_t now_ms = bp_shard_now_ms(exec->shard);
	GArray *ranked;
	double *planned;
	double worst;
	guint i;

	if (now_ms - exec->sampled_ms < SAMPLE_MS)
		return;
	exec->sampled_ms = now_ms;
	worst = learn(exec);
	ranked = g_array_new(FALSE, FALSE, sizeof(ranked_t));
	planned = g_new0(double, exec->runs->len);

	for (i = 0; i < exec->runs->len; i++) {
		ranked_t row = {exec->runs->pdata[i], 0};

		if (!is_filler(row.run))
			continue;
		row.harm =
		    harm_of(exec->shard, exec, row.run->task->step->spec);
		g_array_append_val(ranked, row);
	}
	g_array_sort(ranked, compare_harm);
	for (i = 0; i < ranked->len; i++) {
		bp_qrun_t *run = g_array_index(ranked, ranked_t, i).run;
		double share =
		    allowed_share(exec->shard, exec, run, planned);
		uint32_t pace;

		share = CLAMP(share, 0, 1);
		add_planned(exec->shard, exec, run, share, planned);
		pace = (uint32_t)(share * PACE_FULL);
		if (worst > ALARM_SHARE)
			pace = MIN(pace, MIN(run->pace, PACE_FULL) / 2);
		tell_pace(exec, run, pace < PACE_MIN ? 0 : pace);
	}
	g_array_unref(ranked);
	g_free(planned);
}

/*
 * Returns the share of its full pace that one more filler could have on an
 * executor, 0 to 1.
 */
double
bp_shard_filler_share(const bp_qexec_t *exec, const Bp__Work__Step *spec)
{
	bp_shard_t *shard = exec->shard;
	double capacity = MAX(exec->info->cpu_milli, 1);
	double share = 1;
	guint i;
	guint k;

	for (i = 0; i < exec->runs->len; i++) {
		const bp_qrun_t *run = exec->runs->pdata[i];
		double room;
		double grows;

		if (!is_serving(run))
			continue;
		room = LIMIT_SHARE - undisturbed(shard, run);
		for (k = 0; k < exec->runs->len; k++) {
			const bp_qrun_t *other = exec->runs->pdata[k];

			if (is_filler(other))
				room -= effect(shard, run,
					    other->task->step->spec, capacity) *
				    MIN(other->pace, PACE_FULL) / PACE_FULL;
		}
		grows = effect(shard, run, spec, capacity);
		if (grows > 0)
			share = MIN(share, MAX(room, 0) / grows);
	}
	return share;
}

/* Drops all pace orders in flight. */
void
bp_shard_forget_paces(bp_shard_t *shard)
{
	GList *paces = g_hash_table_get_keys(shard->paces);
	GList *node;

	for (node = paces; node != NULL; node = node->next) {
		pace_t *pace = node->data;

		shard->options.executors->forget(
		    shard->options.executors, pace);
		bp_qrun_unref_order(pace->run);
		g_free(pace);
	}
	g_hash_table_remove_all(shard->paces);
	g_list_free(paces);
}
