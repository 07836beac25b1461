/**
 * @file Seeded random faults: crashes, restarts, pauses, leaves, partitions,
 * drains and packet loss at any time, then a period without faults after which
 * all tables must agree.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#include "fleet.h"

#include <stdlib.h>

#define NODES 24
#define DATACENTRES 3
#define FAULTS 60
/** Time without faults, enough for a few comparisons of tables. */
#define SETTLE_MS 180000
#define SEEDS 12

typedef enum {
	FAULT_KILL,
	FAULT_START,
	FAULT_PAUSE,
	FAULT_RESUME,
	FAULT_LEAVE,
	FAULT_PARTITION,
	FAULT_HEAL,
	FAULT_DRAIN,
	FAULT_LOSS,
	FAULT_COUNT,
} fault_t;

static void change_attr_(node_t *node)
{
	pl_member_attr_t attr = *pl_member_attr(pl_member_self(node->table));

	attr.slots++;
	attr.endpoint =
		attr.slots % 2 ? PL_ENDPOINT_DRAINING : PL_ENDPOINT_SERVING;
	pl_member_set_attributes(node->table, &attr);
}

static void set_groups_(fleet_t *fleet, unsigned int groups)
{
	for (size_t i = 0; i < fleet->count; i++)
		fleet->nodes[i].group = fleet->nodes[i].datacentre % groups;
}

static void inject_fault_(fleet_t *fleet, fault_t fault)
{
	size_t at = (size_t)g_rand_int_range(fleet->rand, 0, NODES);
	node_t *node = &fleet->nodes[at];

	switch (fault) {
	case FAULT_KILL:
		fleet_kill(fleet, at);
		node->paused = false;
		break;
	case FAULT_START:
		if (!node->table)
			fleet_start(fleet, at);
		break;
	case FAULT_PAUSE:
		node->paused = node->table != NULL;
		break;
	case FAULT_RESUME:
		node->paused = false;
		break;
	case FAULT_LEAVE:
		if (!node->table || node->paused)
			break;
		pl_member_leave(node->table);
		fleet_run(fleet, 1000);
		fleet_kill(fleet, at);
		break;
	case FAULT_PARTITION:
		set_groups_(fleet, (unsigned int)g_rand_int_range(
					   fleet->rand, 2, DATACENTRES + 1));
		break;
	case FAULT_HEAL:
		set_groups_(fleet, 1);
		break;
	case FAULT_DRAIN:
		if (node->table && !node->paused)
			change_attr_(node);
		break;
	default:
		fleet->loss = g_rand_double_range(fleet->rand, 0, 0.2);
		break;
	}
}

/* A running node must be listed as alive with its boot identity and attributes,
 * and a stopped one must be unknown or unreachable, dead or left. */
static void assert_table_entry_(const fleet_t *fleet, size_t at, size_t about)
{
	const node_t *node = &fleet->nodes[about];
	const pl_member_t *member =
		pl_member_find(fleet->nodes[at].table, node->id);

	if (!node->table) {
		if (member)
			assert_in_range(pl_member_state(member),
					PL_MEMBER_UNREACHABLE, PL_MEMBER_LEFT);
		return;
	}
	assert_non_null(member);
	assert_int_equal(pl_member_state(member), PL_MEMBER_ALIVE);
	assert_int_equal(pl_member_boot(member), node->boot);
	assert_int_equal(pl_member_attr(member)->slots,
			 pl_member_attr(pl_member_self(node->table))->slots);
}

static void run_faults_and_settle_(uint32_t seed)
{
	fleet_t *fleet = fleet_new(seed, NODES, DATACENTRES);

	fleet_start_all(fleet);
	for (int i = 0; i < FAULTS; i++) {
		inject_fault_(fleet, (fault_t)g_rand_int_range(fleet->rand, 0,
							       FAULT_COUNT));
		fleet_run(fleet,
			  (pl_ms_t)g_rand_int_range(fleet->rand, 0, 8000));
	}
	set_groups_(fleet, 1);
	fleet->loss = 0;
	for (size_t i = 0; i < NODES; i++)
		fleet->nodes[i].paused = false;
	/* joining needs a running seed */
	if (!fleet->nodes[0].table)
		fleet_start(fleet, 0);
	fleet_run(fleet, SETTLE_MS);
	print_message("seed %u\n", seed);
	for (size_t i = 0; i < NODES; i++) {
		for (size_t j = 0; fleet->nodes[i].table && j < NODES; j++)
			assert_table_entry_(fleet, i, j);
	}
	fleet_delete(fleet);
}

static void all_agree_after_random_faults(void **state)
{
	const char *first = getenv("MEMBER_SEED");
	uint32_t seed = first ? (uint32_t)strtoul(first, NULL, 10) : 1;

	(void)state;
	for (uint32_t i = 0; i < SEEDS; i++)
		run_faults_and_settle_(seed + i);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(all_agree_after_random_faults),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
