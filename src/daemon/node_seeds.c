/**
 * @file
 * Seeds of the platform.
 */
#include "private/node_seeds.h"

#include <pimentolift/hash.h>
#include <pimentolift/seeds.h>

/** Time for the seeds of the settings before the platform's are read. */
#define JOIN_WAIT_MS 1000
/** Pause between reads while alone, doubled up to the longest. */
#define ALONE_PAUSE_MS 2000
#define ALONE_DOUBLINGS_MAX 5
/** Pause between looks at the list once joined. */
#define JOINED_PAUSE_MS 120000
#define JITTER_FRACTION 2

struct pl_node_seeds {
	pl_node_t *node;
	pl_node_config_t *config;
	pl_timer_t timer;
	pl_seeds_t list;
	bool open; /* a call is in progress */
	unsigned int reads_alone;
};

static pl_timer_service_t *timers_(const pl_node_seeds_t *seeds)
{
	return pl_loop_timers(pl_node_loop(seeds->node));
}

static void arm_(pl_node_seeds_t *seeds, pl_ms_t pause)
{
	pl_ms_t jitter = pl_random_identity() % (pause / JITTER_FRACTION + 1);

	pl_timer_arm(timers_(seeds), &seeds->timer,
		     pl_timer_service_now(timers_(seeds)) + pause + jitter);
}

static bool joined_(const pl_node_seeds_t *seeds)
{
	return pl_member_joined(pl_node_members(seeds->node));
}

static void on_written_(void *ctx, pl_result_t result)
{
	pl_node_seeds_t *seeds = ctx;

	/* whoever came first wrote a list that is as good */
	(void)result;
	seeds->open = false;
}

static void write_(pl_node_seeds_t *seeds)
{
	seeds->open = true;
	pl_seeds_write(pl_node_config_platform(seeds->config),
		       pl_node_settings(seeds->node)->environment, &seeds->list,
		       on_written_, seeds);
}

/* Asks the members in the list; when that did not help, joins it. */
static void use_list_(pl_node_seeds_t *seeds)
{
	const pl_addr_t self = pl_member_id_to_addr(pl_node_self(seeds->node));

	for (size_t i = 0; i < seeds->list.count; i++)
		pl_member_add_seed(pl_node_members(seeds->node),
				   &seeds->list.at[i]);
	if (seeds->list.count > 0 && seeds->reads_alone < 2)
		return;
	if (pl_seeds_add(&seeds->list, &self, (size_t)pl_random_identity()))
		write_(seeds);
}

/* Addresses of all live members, from a random one on. */
static pl_addr_t *alive_(const pl_member_table_t *members, size_t *count)
{
	size_t total = pl_member_count(members);
	size_t first = (size_t)(pl_random_identity() % (total + 1));
	pl_addr_t *addrs = g_new0(pl_addr_t, total + 1);

	*count = 0;
	for (size_t i = 0; i < total; i++) {
		const pl_member_t *member =
			pl_member_at(members, (first + i) % total);

		if (pl_member_state(member) == PL_MEMBER_ALIVE)
			addrs[(*count)++] =
				pl_member_id_to_addr(pl_member_id(member));
	}
	return addrs;
}

static void correct_list_(pl_node_seeds_t *seeds)
{
	size_t count = 0;
	pl_addr_t *addrs = alive_(pl_node_members(seeds->node), &count);

	if (pl_seeds_correct(&seeds->list, addrs, count))
		write_(seeds);
	g_free(addrs);
}

static void on_read_(void *ctx, pl_result_t result)
{
	pl_node_seeds_t *seeds = ctx;

	seeds->open = false;
	if (result != PL_OK && result != PL_ERR_NOT_FOUND &&
	    result != PL_ERR_MALFORMED)
		return;
	if (joined_(seeds))
		correct_list_(seeds);
	else
		use_list_(seeds);
}

static void read_(pl_node_seeds_t *seeds)
{
	seeds->open = true;
	pl_seeds_read(pl_node_config_platform(seeds->config),
		      pl_node_settings(seeds->node)->environment, &seeds->list,
		      on_read_, seeds);
}

static void on_timer_(pl_timer_t *timer, void *ctx, pl_ms_t now)
{
	pl_node_seeds_t *seeds = ctx;
	unsigned int doublings = MIN(seeds->reads_alone, ALONE_DOUBLINGS_MAX);

	(void)timer;
	(void)now;
	if (joined_(seeds)) {
		seeds->reads_alone = 0;
		arm_(seeds, JOINED_PAUSE_MS);
		if (!seeds->open && pl_node_config_is_watcher(seeds->config))
			read_(seeds);
		return;
	}
	arm_(seeds, (pl_ms_t)ALONE_PAUSE_MS << doublings);
	if (seeds->open)
		return;
	seeds->reads_alone++;
	read_(seeds);
}

pl_node_seeds_t *pl_node_seeds_new(pl_node_t *node, pl_node_config_t *config)
{
	pl_node_seeds_t *seeds = g_new0(pl_node_seeds_t, 1);

	seeds->node = node;
	seeds->config = config;
	pl_timer_init(&seeds->timer, on_timer_, seeds);
	return seeds;
}

void pl_node_seeds_delete(pl_node_seeds_t *seeds)
{
	if (!seeds)
		return;
	pl_timer_cancel(timers_(seeds), &seeds->timer);
	g_free(seeds);
}

void pl_node_seeds_start(pl_node_seeds_t *seeds)
{
	bool named = pl_node_settings(seeds->node)->seeds.count > 0;

	pl_timer_arm(timers_(seeds), &seeds->timer,
		     pl_timer_service_now(timers_(seeds)) +
			     (named ? JOIN_WAIT_MS : 0));
}
