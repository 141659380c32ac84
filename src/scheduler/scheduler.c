#include "scheduler/private.h"

#include <stdarg.h>
#include <string.h>

#define US_PER_MS 1000
#define ROUND_MS 100
/*
 * Work that may take seconds (claims, holds, recovery) runs every third round:
 * with 200 owned VMs it is most of the cost of an idle node.
 */
#define SLOW_ROUND_INTERVAL 3
/* The lower slowdown threshold, as a share of the target's excess over 1. */
#define LOWER_THRESHOLD_SHARE 0.4

/* Returns the monotonic time in microseconds. */
int64_t
bp_scheduler_now_us(const bp_scheduler_t *self)
{
	return bp_clock_mono_us(self->clock);
}

/* Returns the lease of a class from the settings, in milliseconds. */
uint32_t
bp_scheduler_lease_ms(const bp_scheduler_t *self, bp_task_class_t klass)
{
	const bp_settings_timing_t *timing = &self->settings->timing;

	switch (klass) {
	case BP_CLASS_URGENT:
		return timing->lease_urgent_ms;
	case BP_CLASS_SERVICE:
		return timing->lease_service_ms;
	case BP_CLASS_BATCH:
		break;
	}
	return timing->lease_batch_ms;
}

/* Logs an event and adds it to the timeline; names may be NULL. */
void
bp_scheduler_event(bp_scheduler_t *self, const char *kind, const char *job,
    const char *vm, const char *zone, const char *format, ...)
{
	va_list args;
	char *text;

	va_start(args, format);
	text = g_strdup_vprintf(format, args);
	va_end(args);
	bp_log(self->options.logger, BP_LOG_INFO, "scheduler", text, "event",
	    kind, "job", job, "vm", vm, "zone", zone, NULL);
	if (self->options.timeline != NULL)
		bp_timeline_add(
		    self->options.timeline, kind, job, vm, zone, "%s", text);
	g_free(text);
}

/* See the header. Placement and explanations call it with the scheduler. */
bool
bp_scheduler_reachable(const bp_vm_t *vm, void *data)
{
	bp_scheduler_t *self = data;
	const bp_owned_vm_t *owned = bp_racks_vm(self, vm->name);

	return owned != NULL &&
	    bp_session_status(owned->session) == BP_SESSION_OPEN &&
	    !bp_session_failing(owned->session) &&
	    bp_session_silent_ms(owned->session) <
	    2 * (int64_t)bp_session_interval_ms(owned->session);
}

static int
reset_placement(bp_scheduler_t *self, bp_error_t *err)
{
	bp_placement_options_t options;

	bp_placement_free(self->placement);
	self->placement = NULL;
	(void)bp_placement_options_init(&options);
	options.rank_wait_ms = self->settings->policy.rank_delay_ms;
	options.queue.order = self->settings->policy.batch_order;
	options.queue.wait_bound_ms =
	    self->settings->policy.batch_wait_max_s * 1000;
	options.reachable = bp_scheduler_reachable;
	options.seed = self->options.incarnation;
	options.penalty = bp_protection_penalty;
	options.data = self;
	return bp_placement_new(&self->placement, &options, err);
}

static void
init_protection(bp_scheduler_t *self)
{
	const bp_settings_policy_t *policy = &self->settings->policy;
	bp_interference_options_t interference;
	bp_eviction_options_t eviction;

	(void)bp_interference_options_init(&interference);
	self->interference = bp_interference_new(&interference);
	(void)bp_eviction_options_init(&eviction);
	eviction.breach = policy->slowdown_target_permille / 1000.0;
	/* Hysteresis: throttles are lifted well below the target. */
	eviction.calm = 1.0 + (eviction.breach - 1.0) * LOWER_THRESHOLD_SHARE;
	eviction.evictions_per_min = policy->eviction_budget_per_min;
	self->eviction = bp_eviction_new(&eviction);
}

/*
 * Creates the service; nothing is sent before bp_scheduler_start. The
 * scheduler must outlive the appender, whose callbacks refer to it.
 */
int
bp_scheduler_new(bp_scheduler_t **out, const bp_scheduler_options_t *options,
    bp_error_t *err)
{
	bp_scheduler_t *self = g_new0(bp_scheduler_t, 1);
	bp_ownership_options_t ownership;
	int rc;

	self->options = *options;
	self->settings = options->settings;
	self->clock = options->clock;
	self->liveness = bp_liveness_new(
	    self->settings->node.name, self->settings->timing.death_ms);
	(void)bp_ownership_options_init(&ownership);
	ownership.node = self->settings->node.name;
	ownership.incarnation = options->incarnation;
	ownership.liveness = self->liveness;
	ownership.handover_racks = self->settings->policy.handover_racks;
	self->ownership = bp_ownership_new(&ownership);
	self->racks =
	    g_hash_table_new_full(g_str_hash, g_str_equal, NULL, bp_racks_free);
	self->steps =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	self->resizes =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	self->ends =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	self->listed_racks = g_ptr_array_new_with_free_func(g_free);
	g_ptr_array_add(self->listed_racks, NULL);
	self->racks_changed = true;
	self->cancellable = g_cancellable_new();
	init_protection(self);
	rc = reset_placement(self, err);
	if (rc != BP_OK) {
		bp_scheduler_free(self);
		return rc;
	}
	*out = self;
	return BP_OK;
}

/* Frees the service and its sessions; racks are not released. */
void
bp_scheduler_free(bp_scheduler_t *self)
{
	if (self == NULL)
		return;
	if (self->timer != 0)
		g_source_remove(self->timer);
	bp_follower_forget(self->options.follower, self);
	g_cancellable_cancel(self->cancellable);
	g_object_unref(self->cancellable);
	g_ptr_array_unref(self->listed_racks);
	g_hash_table_unref(self->racks);
	g_hash_table_unref(self->steps);
	g_hash_table_unref(self->resizes);
	g_hash_table_unref(self->ends);
	bp_placement_free(self->placement);
	bp_eviction_free(self->eviction);
	bp_interference_free(self->interference);
	bp_ownership_free(self->ownership);
	bp_liveness_free(self->liveness);
	g_free(self);
}

static void
update_vms(bp_scheduler_t *self)
{
	GHashTableIter racks;
	GHashTableIter vms;
	gpointer value;

	g_hash_table_iter_init(&racks, self->racks);
	while (g_hash_table_iter_next(&racks, NULL, &value)) {
		bp_owned_rack_t *rack = value;

		if (rack->superseded)
			continue;
		g_hash_table_iter_init(&vms, rack->vms);
		while (g_hash_table_iter_next(&vms, NULL, &value))
			bp_vmstate_update(value);
	}
}

/* Recreates what refers to structs of a state that was replaced. */
static void
check_state(bp_scheduler_t *self)
{
	bp_state_t *state = bp_follower_state(self->options.follower);

	if (state == self->state)
		return;
	if (self->state != NULL)
		(void)reset_placement(self, NULL);
	self->state = state;
	self->racks_changed = true;
}

static bool
log_is_current(const bp_scheduler_t *self)
{
	return bp_follower_status(self->options.follower) ==
	    BP_FOLLOWER_CURRENT;
}

static void
finish_drain(bp_scheduler_t *self)
{
	bp_scheduler_drained_t done = self->drained;
	GHashTableIter iter;
	gpointer value;

	if (done == NULL || g_hash_table_size(self->steps) > 0)
		return;
	g_hash_table_iter_init(&iter, self->racks);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		if (!((bp_owned_rack_t *)value)->superseded)
			return;
	}
	self->drained = NULL;
	done(self, self->drained_data);
}

/* See the header. */
void
bp_scheduler_round(bp_scheduler_t *self)
{
	check_state(self);
	bp_liveness_update(self->liveness, self->state, log_is_current(self),
	    bp_scheduler_now_us(self));
	bp_claims_check_list(self);
	bp_racks_sync(self);
	bp_racks_tick(self);
	if (log_is_current(self)) {
		if (self->rounds++ % SLOW_ROUND_INTERVAL == 0) {
			bp_claims_plan(self);
			update_vms(self);
			bp_recovery_tick(self);
		}
		bp_protection_tick(self);
		if (!self->draining)
			bp_assign_round(self);
	}
	finish_drain(self);
}

static gboolean
on_round(void *data)
{
	bp_scheduler_round(data);
	return G_SOURCE_CONTINUE;
}

static void
on_progress(bp_follower_t *follower, void *data)
{
	bp_scheduler_t *self = data;

	(void)follower;
	check_state(self);
	bp_racks_sync(self);
	bp_racks_tick(self);
}

/* Starts to follow the log and to run scheduling rounds. */
void
bp_scheduler_start(bp_scheduler_t *self)
{
	bp_follower_observe(self->options.follower, bp_starts_observe, self);
	bp_follower_on_progress(self->options.follower, on_progress, self);
	self->timer = g_timeout_add(ROUND_MS, on_round, self);
}

/* See the header. Tasks keep running under the next owners of the racks. */
void
bp_scheduler_drain(
    bp_scheduler_t *self, bp_scheduler_drained_t done, void *data)
{
	self->draining = true;
	self->drained = done;
	self->drained_data = data;
}

/* See the header. */
void
bp_scheduler_counters(const bp_scheduler_t *self, bp_scheduler_counters_t *out)
{
	GHashTableIter racks;
	GHashTableIter vms;
	gpointer value;

	*out = self->counters;
	g_hash_table_iter_init(&racks, self->racks);
	while (g_hash_table_iter_next(&racks, NULL, &value)) {
		const bp_owned_rack_t *rack = value;

		if (rack->superseded)
			continue;
		out->racks++;
		g_hash_table_iter_init(&vms, rack->vms);
		while (g_hash_table_iter_next(&vms, NULL, &value)) {
			const bp_owned_vm_t *vm = value;

			if (bp_session_status(vm->session) == BP_SESSION_OPEN)
				out->sessions++;
			else
				out->unreachable++;
		}
	}
}

/* See the header. */
uint32_t
bp_scheduler_ahead(const bp_scheduler_t *self, const char *job)
{
	return bp_placement_ahead(self->placement, job);
}

/* See the header. */
bool
bp_scheduler_avoids(const bp_scheduler_t *self, const char *job)
{
	return bp_placement_avoids(
	    self->placement, job, bp_scheduler_now_us(self) / US_PER_MS);
}
