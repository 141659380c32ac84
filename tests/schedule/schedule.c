#include "schedule/schedule.h"

#include <string.h>

#define START_MS 1800000000000LL
#define STEP_US 10000
#define ROUND_US 100000
#define FAULTS_END_US 24000000LL
#define END_US 100000000LL
#define URGENT_JOB 0
#define NEVER_RERUN_JOB 5

struct bp_vmlist {
	bp_schedule_t *schedule;
};

/* Returns the virtual time since the start of the schedule. */
int64_t
bp_schedule_now_us(const bp_schedule_t *s)
{
	return bp_clock_mono_us(s->clock);
}

uint32_t
bp_schedule_random(bp_schedule_t *s, uint32_t bound)
{
	return bp_random_below(&s->random, bound);
}

/* Runs an event later; one for a node is dropped when its process ends. */
void
bp_schedule_post(bp_schedule_t *s, int64_t delay_us, const bp_fake_node_t *node,
    uint64_t incarnation, bp_event_run_t run, void *data, GDestroyNotify drop)
{
	bp_event_item_t *item = g_new0(bp_event_item_t, 1);

	item->at_us = bp_schedule_now_us(s) + delay_us;
	item->run = run;
	item->node = node != NULL ? node->index : -1;
	item->incarnation = incarnation;
	item->data = data;
	item->drop = drop;
	g_ptr_array_add(s->events, item);
}

static void
fill_listed(bp_schedule_t *s, int i, bp_vmlist_vm_t *out)
{
	static char racks[2][4] = {"r1", "r1"};
	static char zones[2][4] = {"z1", "z2"};
	static char empty[1] = "";

	memset(out, 0, sizeof(*out));
	out->name = s->vms[i].name;
	out->role = BP_ROLE_WORKER;
	out->state = s->vms[i].gone ? BP_VMLIST_GONE : BP_VMLIST_LIVE;
	out->zone = zones[i % 2];
	out->rack = racks[i % 2];
	out->url = s->vms[i].name;
	out->service = empty;
}

void
bp_vmlist_each(const bp_vmlist_t *list, bp_vmlist_role_t role,
    bp_vmlist_each_t each, void *data)
{
	bp_schedule_t *s = (bp_schedule_t *)(uintptr_t)list;
	bp_vmlist_vm_t vm;
	int i;

	for (i = 0; role == BP_ROLE_WORKER && i < BP_SCHEDULE_VMS; i++) {
		fill_listed(s, i, &vm);
		each(&vm, data);
	}
}

uint64_t
bp_vmlist_version(const bp_vmlist_t *list)
{
	(void)list;
	return 1;
}

const bp_vmlist_vm_t *
bp_vmlist_find(const bp_vmlist_t *list, const char *name)
{
	static bp_vmlist_vm_t found;
	bp_schedule_t *s = (bp_schedule_t *)(uintptr_t)list;
	int i;

	for (i = 0; i < BP_SCHEDULE_VMS; i++) {
		if (strcmp(s->vms[i].name, name) != 0)
			continue;
		fill_listed(s, i, &found);
		return &found;
	}
	return NULL;
}

static void
start_node(bp_schedule_t *s, bp_fake_node_t *node)
{
	bp_scheduler_options_t options = {0};

	node->incarnation = bp_random_next(&s->random) | 1;
	node->up = true;
	node->paused_until_us = 0;
	bp_fake_log_reset(node);
	options.clock = s->clock;
	options.follower = (bp_follower_t *)(void *)node;
	options.appender = (bp_appender_t *)(void *)node;
	options.client = (bp_workerclient_t *)(void *)node;
	options.vmlist = (bp_vmlist_t *)(void *)s;
	options.settings = node->settings;
	options.incarnation = node->incarnation;
	(void)bp_scheduler_new(&node->scheduler, &options, NULL);
	bp_scheduler_start(node->scheduler);
}

static void
stop_node(bp_fake_node_t *node)
{
	bp_scheduler_free(node->scheduler);
	node->scheduler = NULL;
	node->up = false;
}

static void
init_node(bp_schedule_t *s, int index)
{
	static const char text[] = "node:\n  name: n%d\n  zone: z1\n"
				   "  services: [scheduler]\n"
				   "listen:\n  control: 127.0.0.1:9\n"
				   "platform:\n"
				   "  log_url: http://127.0.0.1:9\n"
				   "  vm_list_url: http://127.0.0.1:9\n"
				   "timing:\n  hold_max_s: 60\n"
				   "  lease_urgent_ms: 4000\n"
				   "  lease_batch_ms: 5000\n";
	bp_fake_node_t *node = &s->nodes[index];
	char *yaml = g_strdup_printf(text, index);

	node->schedule = s;
	node->index = index;
	(void)g_snprintf(node->name, sizeof(node->name), "n%d", index);
	(void)bp_settings_parse(
	    &node->settings, "test", yaml, strlen(yaml), NULL, NULL);
	g_free(yaml);
	start_node(s, node);
}

static void
submit(bp_schedule_t *s, int index)
{
	Bp__Log__Entry entry = BP__LOG__ENTRY__INIT;
	Bp__Log__JobSubmit submit = BP__LOG__JOB_SUBMIT__INIT;
	Bp__Log__JobSpec spec = BP__LOG__JOB_SPEC__INIT;
	char name[8];

	(void)g_snprintf(name, sizeof(name), "j%d", index);
	spec.id = name;
	spec.team = (char *)"t";
	spec.name = name;
	spec.klass = index == URGENT_JOB ? BP__LOG__TASK_CLASS__CLASS_URGENT
					 : BP__LOG__TASK_CLASS__CLASS_BATCH;
	spec.tasks = BP_SCHEDULE_TASKS;
	spec.cpu_milli = 800;
	spec.memory_mib = 100;
	spec.never_rerun = index == NEVER_RERUN_JOB;
	submit.spec = &spec;
	entry.body_case = BP__LOG__ENTRY__BODY_JOB_SUBMIT;
	entry.job_submit = &submit;
	s->submitted_us[index] = bp_schedule_now_us(s);
	bp_fake_log_submit(
	    &s->nodes[bp_schedule_random(s, BP_SCHEDULE_NODES)], &entry);
}

/* All zone changes are made through node 0, one after the other. */
static void
change_zone(bp_schedule_t *s, bool out)
{
	Bp__Log__Entry entry = BP__LOG__ENTRY__INIT;
	Bp__Log__ZoneChange change = BP__LOG__ZONE_CHANGE__INIT;
	const bp_zone_t *zone = bp_state_zone(s->nodes[0].state, "z1");

	if (zone == NULL || zone->out_of_service == out)
		return;
	change.zone = (char *)"z1";
	change.out = out;
	change.base_version = zone->version;
	change.author = (char *)"tester";
	entry.body_case = BP__LOG__ENTRY__BODY_ZONE_CHANGE;
	entry.zone_change = &change;
	bp_fake_log_submit(&s->nodes[0], &entry);
}

static void
cancel(bp_schedule_t *s)
{
	Bp__Log__Entry entry = BP__LOG__ENTRY__INIT;
	Bp__Log__JobCancel job_cancel = BP__LOG__JOB_CANCEL__INIT;

	job_cancel.job = (char *)"j4";
	job_cancel.by = (char *)"tester";
	entry.body_case = BP__LOG__ENTRY__BODY_JOB_CANCEL;
	entry.job_cancel = &job_cancel;
	bp_fake_log_submit(&s->nodes[1], &entry);
}

static int64_t
random_us(bp_schedule_t *s, uint32_t limit_ms)
{
	return (int64_t)bp_schedule_random(s, limit_ms) * 1000;
}

/* Brings about one fault at random. */
static void
inject(bp_schedule_t *s)
{
	bp_fake_node_t *node =
	    &s->nodes[bp_schedule_random(s, BP_SCHEDULE_NODES)];
	bp_fake_vm_t *vm = &s->vms[bp_schedule_random(s, BP_SCHEDULE_VMS)];
	int64_t now_us = bp_schedule_now_us(s);

	switch (bp_schedule_random(s, 12)) {
	case 0:
		node->paused_until_us = now_us + random_us(s, 12000);
		break;
	case 1:
		node->log_cut_until_us = now_us + random_us(s, 10000);
		break;
	case 2:
		s->log_down_until_us = now_us + random_us(s, 5000);
		break;
	case 3:
	case 4:
		vm->cut_until_us[node->index] = now_us + random_us(s, 20000);
		break;
	case 5:
		bp_fake_vm_reboot(s, vm);
		break;
	case 6:
		/* Node 0 stays up, since it carries the zone changes. */
		if (node->up && node->index != 0)
			stop_node(node);
		/* Half of the ended processes start again at once. */
		if (!node->up && bp_schedule_random(s, 2) == 0)
			start_node(s, node);
		break;
	case 9:
		s->log_slow_until_us = now_us + random_us(s, 8000);
		break;
	case 7:
	case 10:
	case 11:
		change_zone(s, bp_schedule_random(s, 2) == 0);
		break;
	default:
		cancel(s);
		break;
	}
}

static void
heal(bp_schedule_t *s)
{
	int i;

	s->healed = true;
	s->log_down_until_us = 0;
	s->log_slow_until_us = 0;
	for (i = 0; i < BP_SCHEDULE_NODES; i++) {
		s->nodes[i].paused_until_us = 0;
		s->nodes[i].log_cut_until_us = 0;
		if (!s->nodes[i].up)
			start_node(s, &s->nodes[i]);
	}
	for (i = 0; i < BP_SCHEDULE_VMS; i++)
		memset(
		    s->vms[i].cut_until_us, 0, sizeof(s->vms[i].cut_until_us));
}

static void
drop_event(void *data)
{
	bp_event_item_t *item = data;

	if (item->drop != NULL)
		item->drop(item->data);
	g_free(item);
}

static void
run_event(bp_schedule_t *s, bp_event_item_t *item)
{
	bp_fake_node_t *node = item->node >= 0 ? &s->nodes[item->node] : NULL;
	int64_t now_us = bp_schedule_now_us(s);

	if (node != NULL && node->paused_until_us > now_us) {
		item->at_us = node->paused_until_us;
		g_ptr_array_add(s->events, item);
		return;
	}
	if (node == NULL ||
	    (node->up && node->incarnation == item->incarnation)) {
		item->run(s, item);
		item->drop = NULL;
	}
	drop_event(item);
}

static void
run_due(bp_schedule_t *s)
{
	int64_t now_us = bp_schedule_now_us(s);
	guint i = 0;

	while (i < s->events->len) {
		bp_event_item_t *item = g_ptr_array_index(s->events, i);

		if (item->at_us > now_us) {
			i++;
			continue;
		}
		g_ptr_array_remove_index_fast(s->events, i);
		run_event(s, item);
	}
}

static void
tick_nodes(bp_schedule_t *s, int64_t now_us)
{
	int i;

	for (i = 0; i < BP_SCHEDULE_NODES; i++) {
		bp_fake_node_t *node = &s->nodes[i];

		if (!node->up || node->paused_until_us > now_us)
			continue;
		if (now_us % 40000 == 0)
			bp_fake_log_append(node);
		if ((now_us + (int64_t)i * 30000) % 60000 == 0)
			bp_fake_log_read(node);
		if ((now_us + (int64_t)i * 20000) % ROUND_US == 0)
			bp_scheduler_round(node->scheduler);
	}
}

/* Entries that end a task as not started are held against later starts. */
static void
note_refused(const bp_applied_t *applied, void *data)
{
	bp_schedule_t *s = data;
	const Bp__Log__TaskEnd *end = applied->entry->task_end;

	if (applied->kind != BP_OK ||
	    applied->entry->body_case != BP__LOG__ENTRY__BODY_TASK_END ||
	    end->outcome != BP__LOG__TASK_OUTCOME__OUTCOME_NOT_STARTED)
		return;
	s->refused[end->job[1] - '0'][end->task][end->attempt] = true;
	s->result->ran_though_not_started +=
	    s->started[end->job[1] - '0'][end->task][end->attempt];
}

static void
count_unfinished(bp_schedule_t *s)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, bp_state_jobs(s->nodes[0].state));
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const bp_job_t *job = value;

		s->result->unfinished += job->n_tasks - job->n_ended;
	}
}

static void
init(bp_schedule_t *s, const bp_schedule_options_t *options,
    bp_schedule_result_t *out)
{
	int i;

	memset(s, 0, sizeof(*s));
	memset(out, 0, sizeof(*out));
	s->options = *options;
	s->result = out;
	s->virt = bp_clock_virtual_new(START_MS);
	s->clock = bp_clock_virtual_clock(s->virt);
	s->events = g_ptr_array_new();
	s->log =
	    g_ptr_array_new_with_free_func((GDestroyNotify)g_byte_array_unref);
	bp_random_init(&s->random, options->seed);
	for (i = 0; i < BP_SCHEDULE_VMS; i++)
		bp_fake_vm_init(s, i);
	for (i = 0; i < BP_SCHEDULE_NODES; i++)
		init_node(s, i);
	bp_state_observe(s->nodes[0].state, note_refused, s);
}

static void
clear_node(bp_fake_node_t *node)
{
	if (node->up)
		stop_node(node);
	bp_fake_log_reset(node);
	bp_state_free(node->state);
	g_ptr_array_unref(node->entries);
	g_array_unref(node->observers);
	g_array_unref(node->progress);
	bp_settings_free(node->settings);
}

static void
clear(bp_schedule_t *s)
{
	int i;

	for (i = 0; i < BP_SCHEDULE_NODES; i++)
		clear_node(&s->nodes[i]);
	for (i = 0; i < BP_SCHEDULE_VMS; i++)
		bp_fake_vm_clear(&s->vms[i]);
	g_ptr_array_set_free_func(s->events, drop_event);
	g_ptr_array_unref(s->events);
	g_ptr_array_unref(s->log);
	bp_clock_virtual_free(s->virt);
}

/*
 * Runs one seeded schedule: jobs are submitted over 8 s, faults come for
 * 24 s, then everything heals and the work must finish.
 */
void
bp_schedule_run(const bp_schedule_options_t *options, bp_schedule_result_t *out)
{
	bp_schedule_t s;
	int64_t start_us;
	int64_t now_us = 0;
	int jobs = 0;

	init(&s, options, out);
	start_us = bp_schedule_now_us(&s);
	while (now_us < END_US) {
		bp_clock_virtual_advance_us(s.virt, STEP_US);
		now_us = bp_schedule_now_us(&s) - start_us;
		run_due(&s);
		tick_nodes(&s, bp_schedule_now_us(&s));
		if (jobs < BP_SCHEDULE_JOBS &&
		    now_us >= 2000000 + jobs * 1000000LL)
			submit(&s, jobs++);
		if (options->faults && now_us > 2500000 &&
		    now_us < FAULTS_END_US && bp_schedule_random(&s, 60) == 0)
			inject(&s);
		if (now_us >= FAULTS_END_US && !s.healed) {
			heal(&s);
		}
		if (s.healed && now_us % 1000000 == 0)
			change_zone(&s, false);
	}
	count_unfinished(&s);
	clear(&s);
}
