#include "support/controlrig.h"

#include <CUnit/CUnit.h>
#include <string.h>

void
controlrig_init(controlrig_t *rig)
{
	controlrig_init_gateway(rig, NULL);
}

void
controlrig_init_gateway(controlrig_t *rig, bp_gateway_t *gateway)
{
	bp_control_options_t options = {0};

	memset(rig, 0, sizeof(*rig));
	logrig_init(&rig->log, NULL, 50);
	rig->settings.node.name = "node-1";
	rig->settings.node.zone = "zone-1";
	rig->settings.listen.control = "127.0.0.1:0";
	rig->settings.timing.death_ms = 3000;
	rig->settings.limits.control_connections = 8;
	rig->settings.limits.job_tasks = 10000;
	rig->settings.limits.pending_jobs = 500;
	rig->metrics = bp_metrics_new();
	rig->timeline = bp_timeline_new(bp_clock_system(), "node-1", 1000);
	options.clock = bp_clock_system();
	options.follower = rig->log.follower;
	options.appender = rig->log.appender;
	options.gateway = gateway;
	options.metrics = rig->metrics;
	options.timeline = rig->timeline;
	options.settings = &rig->settings;
	options.incarnation = RIG_INCARNATION;
	CU_ASSERT_EQUAL_FATAL(
	    bp_control_new(&rig->control, &options, NULL), BP_OK);
	rig->address = g_strdup_printf(
	    "127.0.0.1:%u", (unsigned int)bp_control_port(rig->control));
	logrig_start(&rig->log);
	CU_ASSERT_TRUE(logrig_wait_status(&rig->log, BP_FOLLOWER_CURRENT));
	CU_ASSERT_TRUE(logrig_wait_offset(&rig->log, 1));
}

void
controlrig_clear(controlrig_t *rig)
{
	bp_appender_free(rig->log.appender);
	rig->log.appender = NULL;
	bp_control_free(rig->control);
	logrig_clear(&rig->log);
	bp_timeline_free(rig->timeline);
	bp_metrics_free(rig->metrics);
	/* Lets cancelled operations of closed connections end. */
	run_for(20);
	g_free(rig->address);
}

void
controlrig_add_vm(controlrig_t *rig)
{
	Bp__Log__Entry entries[2] = {
	    BP__LOG__ENTRY__INIT, BP__LOG__ENTRY__INIT};
	Bp__Log__Claim claim = BP__LOG__CLAIM__INIT;
	Bp__Log__VmUpsert vm = BP__LOG__VM_UPSERT__INIT;
	uint64_t next =
	    bp_state_next_offset(bp_follower_state(rig->log.follower));
	int i;

	claim.rack = "zone-1/r1";
	vm.vm = "w1";
	vm.rack = "zone-1/r1";
	vm.zone = "zone-1";
	vm.epoch = 1;
	vm.cpu_milli = 4000;
	vm.memory_mib = 8000;
	entries[0].body_case = BP__LOG__ENTRY__BODY_CLAIM;
	entries[0].claim = &claim;
	entries[1].body_case = BP__LOG__ENTRY__BODY_VM_UPSERT;
	entries[1].vm_upsert = &vm;
	for (i = 0; i < 2; i++)
		CU_ASSERT_EQUAL(bp_appender_add(rig->log.appender, &entries[i],
				    2000, NULL, NULL, NULL),
		    BP_OK);
	CU_ASSERT_TRUE(logrig_wait_offset(&rig->log, next + 1));
	CU_ASSERT_PTR_NOT_NULL(
	    bp_state_vm(bp_follower_state(rig->log.follower), "w1"));
}
