/**
 * @file
 * Measures how fast changes propagate by gossip and what they cost, with real
 * member tables in virtual time: `member_spread [size ...]`, or
 * `member_spread --replace SIZE`. Each output line is
 * `name value unit baseline target`, "-" for a missing one.
 */
#include "member/fleet.h"

#include <stdio.h>
#include <stdlib.h>

#define TRIALS 5
#define DATACENTRES 7
#define WAIT_MAX_MS 60000
#define IDLE_MS 60000
/** Default sizes. */
static const size_t sizes_[] = { 100, 250, 500, 1000, 1500 };

/** Worst minute of the requirements: 650 members are replaced in 60 s. */
#define REPLACED 650
#define REPLACE_MS 60000

static bool all_know_all_(const fleet_t *fleet, size_t size)
{
	for (size_t i = 0; i < size; i++) {
		pl_member_stats_t stats;

		pl_member_stats(fleet->nodes[i].table, &stats);
		if (stats.members != size)
			return false;
	}
	return true;
}

/* Starts a fleet of @p size members, with room for @p spare more. */
static fleet_t *start_fleet_(uint32_t seed, size_t size, size_t spare)
{
	fleet_t *fleet = fleet_new(seed, size + spare, DATACENTRES);

	for (size_t i = 0; i < size; i++) {
		fleet_start(fleet, i);
		fleet_run(fleet, FLEET_STEP_MS);
	}
	while (!all_know_all_(fleet, size))
		fleet_run(fleet, 1000);
	fleet_run(fleet, 10000);
	return fleet;
}

static int compare_doubles_(const void *a, const void *b)
{
	double left = *(const double *)a;
	double right = *(const double *)b;

	return left < right ? -1 : left > right;
}

static void print_values_(const char *name, size_t size, double *values,
			  size_t count, const char *unit, const char *target)
{
	qsort(values, count, sizeof(*values), compare_doubles_);
	printf("%s_%zu%s %.0f %s - %s\n", name, size,
	       count > 1 ? "_median" : "", values[count / 2], unit, target);
	if (count > 1)
		printf("%s_%zu_worst %.0f %s - %s\n", name, size,
		       values[count - 1], unit, target);
	fflush(stdout);
}

static bool all_know_slots_(const fleet_t *fleet, size_t at, uint32_t slots)
{
	for (size_t i = 0; i < fleet->count; i++) {
		const pl_member_t *member = pl_member_find(
			fleet->nodes[i].table, fleet->nodes[at].id);

		if (pl_member_attr(member)->slots != slots)
			return false;
	}
	return true;
}

static double measure_drain_ms_(fleet_t *fleet, uint32_t trial)
{
	size_t at =
		(size_t)g_rand_int_range(fleet->rand, 0, (gint32)fleet->count);
	pl_member_attr_t attr = { .endpoint = PL_ENDPOINT_DRAINING,
				  .service = 1,
				  .slots = trial + 1 };
	pl_ms_t start = fleet->now;

	pl_member_set_attributes(fleet->nodes[at].table, &attr);
	while (!all_know_slots_(fleet, at, trial + 1) &&
	       fleet->now - start < WAIT_MAX_MS)
		fleet_run(fleet, FLEET_STEP_MS);
	return (double)(fleet->now - start);
}

/* Each member announces a revision as soon as gossip has delivered it. */
static double measure_revision_ms_(fleet_t *fleet, uint64_t revision)
{
	pl_ms_t start = fleet->now;
	bool all = false;

	pl_member_set_revision(fleet->nodes[1].table, revision);
	fleet->nodes[1].revision_heard = revision;
	while (!all && fleet->now - start < WAIT_MAX_MS) {
		fleet_run(fleet, FLEET_STEP_MS);
		all = true;
		for (size_t i = 0; i < fleet->count; i++) {
			node_t *node = &fleet->nodes[i];

			pl_member_set_revision(node->table,
					       node->revision_heard);
			all = all && node->revision_heard == revision;
		}
	}
	return (double)(fleet->now - start);
}

static uint64_t sum_bytes_(const fleet_t *fleet)
{
	uint64_t sum = 0;

	for (size_t i = 0; i < fleet->count; i++)
		sum += fleet->nodes[i].datagram_bytes +
		       2 * fleet->nodes[i].frame_bytes;
	return sum;
}

static void measure_size_(size_t size)
{
	double drain[TRIALS];
	double revision[TRIALS];
	double crash[TRIALS];
	double idle;
	fleet_t *fleet = start_fleet_((uint32_t)size, size, 0);

	idle = (double)sum_bytes_(fleet);
	fleet_run(fleet, IDLE_MS);
	idle = ((double)sum_bytes_(fleet) - idle) / (double)size /
	       (IDLE_MS / 1000.0);
	print_values_("member_idle_bytes", size, &idle, 1, "bytes/s", "6000");
	for (uint32_t i = 0; i < TRIALS; i++) {
		drain[i] = measure_drain_ms_(fleet, i);
		fleet_run(fleet, 5000);
		revision[i] = measure_revision_ms_(fleet, i + 1);
		fleet_run(fleet, 5000);
	}
	print_values_("member_drain_spread", size, drain, TRIALS, "ms", "3000");
	print_values_("member_revision_spread", size, revision, TRIALS, "ms",
		      "4000");
	for (uint32_t i = 0; i < TRIALS; i++) {
		size_t at = 10 + i;

		fleet_kill(fleet, at);
		crash[i] = (double)fleet_until(fleet, at, PL_MEMBER_DEAD,
					       WAIT_MAX_MS);
	}
	print_values_("member_crash_known", size, crash, TRIALS, "ms", "-");
	fleet_delete(fleet);
}

/* Share of pairs in which one running member does not see the other alive. */
static double missing_ppm_(const fleet_t *fleet, size_t first, size_t end)
{
	size_t count = 0;

	for (size_t i = first; i < end; i++)
		count += fleet_count_disagreeing(fleet, i, PL_MEMBER_ALIVE);
	return 1e6 * (double)count / (double)((end - first) * (end - first));
}

/* Share of pairs in which a member that has left is still seen alive. */
static double lingering_ppm_(const fleet_t *fleet, size_t size)
{
	size_t count = 0;

	for (size_t i = REPLACED; i < size + REPLACED; i++) {
		for (size_t j = 0; j < REPLACED; j++)
			count += fleet_state(fleet, i, j) == PL_MEMBER_ALIVE;
	}
	return 1e6 * (double)count / (double)(size * REPLACED);
}

/*
 * 650 members leave and 650 new ones join within a minute. Members 0 and 1 are
 * the seeds of the new members and are replaced last.
 */
static void measure_replacement_(size_t size)
{
	/* members that have left but still run, for about 1 s */
	const size_t overlap = 11;
	fleet_t *fleet = start_fleet_((uint32_t)size, size, REPLACED);
	double mean = (double)sum_bytes_(fleet);
	double value;
	pl_ms_t start;

	fleet_reset_worst(fleet);
	for (size_t i = 0; i < REPLACED + overlap; i++) {
		if (i < REPLACED) {
			pl_member_leave(fleet->nodes[REPLACED - 1 - i].table);
			fleet_start(fleet, size + i);
		}
		if (i >= overlap)
			fleet_kill(fleet, REPLACED - 1 - (i - overlap));
		fleet_run(fleet, REPLACE_MS / REPLACED);
	}
	mean = ((double)sum_bytes_(fleet) - mean) / (double)size /
	       (REPLACE_MS / 1000.0);
	print_values_("member_replace_650_bytes", size, &mean, 1, "bytes/s",
		      "6000");
	value = (double)MAX(fleet->nodes[0].worst_second,
			    fleet->nodes[1].worst_second);
	print_values_("member_replace_650_seed_second", size, &value, 1,
		      "bytes", "-");
	fleet->nodes[0].worst_second = 0;
	fleet->nodes[1].worst_second = 0;
	value = (double)fleet_worst_second(fleet);
	print_values_("member_replace_650_second", size, &value, 1, "bytes",
		      "-");
	start = fleet->now;
	for (int i = 0; i < 8; i++) {
		g_autofree char *missing =
			g_strdup_printf("member_replace_650_missing_after_%lus",
					(fleet->now - start) / 1000);
		g_autofree char *lingering = g_strdup_printf(
			"member_replace_650_lingering_after_%lus",
			(fleet->now - start) / 1000);

		value = missing_ppm_(fleet, REPLACED, size + REPLACED);
		print_values_(missing, size, &value, 1, "ppm", "-");
		value = lingering_ppm_(fleet, size);
		print_values_(lingering, size, &value, 1, "ppm", "-");
		fleet_run(fleet, i < 2 ? 3000 : 15000);
	}
	fleet_delete(fleet);
}

int main(int argc, char **argv)
{
	if (argc == 3 && g_str_equal(argv[1], "--replace")) {
		measure_replacement_(strtoul(argv[2], NULL, 10));
		return 0;
	}
	for (int i = 1; i < argc; i++)
		measure_size_(strtoul(argv[i], NULL, 10));
	for (size_t i = 0; argc == 1 && i < G_N_ELEMENTS(sizes_); i++)
		measure_size_(sizes_[i]);
	return 0;
}
