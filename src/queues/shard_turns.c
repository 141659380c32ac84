#include "queues/shard_private.h"

#include <string.h>

/*
 * Turns of the customers within a round. Steps come by priority; among those of
 * one priority the customer that uses least for its weight is next, and its
 * steps keep their order. A step of many tasks yields once its customer has
 * caught up with the next one.
 */

/* Steps of one customer and one priority. */
typedef struct {
	GPtrArray *steps; /* bp_qready_t, of the turns */
	guint at; /* index of the next step */
	uint32_t from; /* its first task that was not looked at yet */
} line_t;

struct bp_qturns {
	const bp_shard_t *shard;
	const GArray *steps; /* bp_qready_t */
	guint at; /* index of the first step that is in no line yet */
	GPtrArray *accounts; /* bp_customer_account_t with steps left */
	GArray *lines; /* line_t, for each of them */
	guint *line_of; /* index of an account's line + 1; 0 for none */
	bool urgent; /* the steps in the lines */
	guint current; /* index of the line whose turn it is */
	double until; /* level at which its turn ends; < 0: not chosen */
	bool started; /* a task of the line, since its turn was checked */
};

static void
clear_line(gpointer data)
{
	g_ptr_array_unref(((line_t *)data)->steps);
}

/* Creates turns for steps that are ordered without regard to customers. */
bp_qturns_t *
bp_qturns_new(const bp_shard_t *shard, const GArray *steps)
{
	bp_qturns_t *turns = g_new0(bp_qturns_t, 1);

	turns->shard = shard;
	turns->steps = steps;
	if (!bp_customers_enabled(shard->customers))
		return turns;
	turns->until = -1;
	turns->line_of = g_new0(guint, bp_customers_count(shard->customers));
	turns->accounts = g_ptr_array_new();
	turns->lines = g_array_new(FALSE, FALSE, sizeof(line_t));
	g_array_set_clear_func(turns->lines, clear_line);
	return turns;
}

/* Frees turns. */
void
bp_qturns_free(bp_qturns_t *turns)
{
	g_clear_pointer(&turns->lines, g_array_unref);
	g_clear_pointer(&turns->accounts, g_ptr_array_unref);
	g_free(turns->line_of);
	g_free(turns);
}

static line_t *
get_line(bp_qturns_t *turns, bp_customer_account_t *account)
{
	guint *index = &turns->line_of[bp_customer_index(account)];

	if (*index == 0) {
		line_t line = {g_ptr_array_new(), 0, 0};

		g_ptr_array_add(turns->accounts, account);
		g_array_append_val(turns->lines, line);
		*index = turns->lines->len;
	}
	return &g_array_index(turns->lines, line_t, *index - 1);
}

static const bp_qready_t *
get_step(const bp_qturns_t *turns, guint index)
{
	return &g_array_index(turns->steps, bp_qready_t, index);
}

/* Makes the lines of the next priority. */
static void
fill_lines(bp_qturns_t *turns)
{
	const Bp__Work__Job *first =
	    get_step(turns, turns->at)->step->job->spec;

	turns->until = -1;
	turns->urgent = first->priority == 0;
	memset(turns->line_of, 0,
	    bp_customers_count(turns->shard->customers) * sizeof(guint));
	while (turns->at < turns->steps->len) {
		const bp_qready_t *ready = get_step(turns, turns->at);
		const bp_qjob_t *job = ready->step->job;

		if (job->spec->priority != first->priority)
			break;
		g_ptr_array_add(
		    get_line(turns, job->account)->steps, (gpointer)ready);
		turns->at++;
	}
}

/* Removes the current line if it has no step left. The order of the others
 * stays, since it decides between equals. */
static void
drop_empty_line(bp_qturns_t *turns)
{
	const line_t *line;

	if (turns->lines->len == 0)
		return;
	line = &g_array_index(turns->lines, line_t, turns->current);
	if (line->at < line->steps->len)
		return;
	g_array_remove_index(turns->lines, turns->current);
	g_ptr_array_remove_index(turns->accounts, turns->current);
	turns->until = -1;
}

/* Chooses the line whose turn it is. Levels change only with starts, which most
 * steps of a full site don't have. */
static void
choose_line(bp_qturns_t *turns)
{
	bp_customer_account_t *const *accounts =
	    (bp_customer_account_t *const *)turns->accounts->pdata;

	if (turns->until < 0 ||
	    (turns->started &&
		bp_customer_level(accounts[turns->current], turns->urgent) >
		    turns->until))
		turns->current = bp_customers_next(accounts,
		    turns->accounts->len, turns->urgent, &turns->until);
	turns->started = false;
}

/*
 * Returns the next step, NULL after the last. Its tasks *from on may be placed
 * up to the level of *until; bp_qturns_placed() tells whether any was.
 */
const bp_qready_t *
bp_qturns_next(bp_qturns_t *turns, double *until, uint32_t *from)
{
	line_t *line;

	*until = INFINITY;
	*from = 0;
	if (turns->lines == NULL)
		return turns->at < turns->steps->len
		    ? get_step(turns, turns->at++)
		    : NULL;
	drop_empty_line(turns);
	if (turns->lines->len == 0 && turns->at == turns->steps->len)
		return NULL;
	if (turns->lines->len == 0)
		fill_lines(turns);
	choose_line(turns);
	*until = turns->until;
	line = &g_array_index(turns->lines, line_t, turns->current);
	*from = line->from;
	line->from = 0;
	return line->steps->pdata[line->at++];
}

/* Notes what became of the step that was returned last. One that yields is the
 * next step of its customer again, with its tasks from on. */
void
bp_qturns_placed(bp_qturns_t *turns, bool started, bool yields, uint32_t from)
{
	line_t *line;

	turns->started = turns->started || started;
	if (!yields)
		return;
	line = &g_array_index(turns->lines, line_t, turns->current);
	line->at--;
	line->from = from;
}
