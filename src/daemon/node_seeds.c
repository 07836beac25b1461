/**
 * @file
 * Seed list in the platform's store.
 */
#include "private/node_seeds.h"

#include <pimentolift/hash.h>
#include <pimentolift/seeds.h>

/** Time to join by the seeds of the settings, before the seed list in the store
 * is read. */
#define JOIN_TIMEOUT_MS 1000
/** Interval of reads while not joined; it doubles with each read. */
#define UNJOINED_READ_MS 2000
#define UNJOINED_DOUBLINGS_MAX 5
/** Interval of reads once joined. */
#define JOINED_READ_MS 120000
/** Delay of the read after a restore of the store, for a joined node. */
#define RESTORED_READ_MS 1000
#define JITTER_DIVISOR 2

struct pl_node_seeds {
	pl_node_t *node;
	pl_node_config_t *config;
	pl_timer_t timer;
	pl_seeds_t list;
	bool call_pending; /* a call is in progress */
	unsigned int unjoined_reads;
};

static pl_timer_service_t *timers_(const pl_node_seeds_t *seeds)
{
	return pl_loop_timers(pl_node_loop(seeds->node));
}

static void schedule_read_(pl_node_seeds_t *seeds, pl_ms_t pause)
{
	pl_ms_t jitter = pl_random_identity() % (pause / JITTER_DIVISOR + 1);

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

	/* ignored: if another member's write came first, its list is as good */
	(void)result;
	seeds->call_pending = false;
}

static void write_list_(pl_node_seeds_t *seeds)
{
	seeds->call_pending = true;
	pl_seeds_write(pl_node_config_platform(seeds->config),
		       pl_node_settings(seeds->node)->environment, &seeds->list,
		       on_written_, seeds);
}

/* Contacts the members in the list; adds this node to the list if the list is
 * empty or if this node has not joined by the second read. */
static void try_seeds_(pl_node_seeds_t *seeds)
{
	const pl_addr_t self = pl_member_id_to_addr(pl_node_self(seeds->node));

	for (size_t i = 0; i < seeds->list.count; i++)
		pl_member_add_seed(pl_node_members(seeds->node),
				   &seeds->list.at[i]);
	if (seeds->list.count > 0 && seeds->unjoined_reads < 2)
		return;
	if (pl_seeds_add(&seeds->list, &self, (size_t)pl_random_identity()))
		write_list_(seeds);
}

/* Addresses of all live members, starting at a random one. */
static pl_addr_t *live_addresses_(const pl_member_table_t *members,
				  size_t *count)
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
	pl_addr_t *addrs =
		live_addresses_(pl_node_members(seeds->node), &count);

	if (pl_seeds_refresh(&seeds->list, addrs, count))
		write_list_(seeds);
	g_free(addrs);
}

static void on_read_(void *ctx, pl_result_t result)
{
	pl_node_seeds_t *seeds = ctx;

	seeds->call_pending = false;
	if (result != PL_OK && result != PL_ERR_NOT_FOUND &&
	    result != PL_ERR_MALFORMED)
		return;
	if (joined_(seeds))
		correct_list_(seeds);
	else
		try_seeds_(seeds);
}

static void read_list_(pl_node_seeds_t *seeds)
{
	seeds->call_pending = true;
	pl_seeds_read(pl_node_config_platform(seeds->config),
		      pl_node_settings(seeds->node)->environment, &seeds->list,
		      on_read_, seeds);
}

static void on_timer_(pl_timer_t *timer, void *ctx, pl_ms_t now)
{
	pl_node_seeds_t *seeds = ctx;
	unsigned int doublings =
		MIN(seeds->unjoined_reads, UNJOINED_DOUBLINGS_MAX);

	(void)timer;
	(void)now;
	if (joined_(seeds)) {
		seeds->unjoined_reads = 0;
		schedule_read_(seeds, JOINED_READ_MS);
		if (!seeds->call_pending &&
		    pl_node_config_is_watcher(seeds->config))
			read_list_(seeds);
		return;
	}
	schedule_read_(seeds, (pl_ms_t)UNJOINED_READ_MS << doublings);
	if (seeds->call_pending)
		return;
	seeds->unjoined_reads++;
	read_list_(seeds);
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
	bool has_seeds = pl_node_settings(seeds->node)->seeds.count > 0;

	pl_timer_arm(timers_(seeds), &seeds->timer,
		     pl_timer_service_now(timers_(seeds)) +
			     (has_seeds ? JOIN_TIMEOUT_MS : 0));
}

void pl_node_seeds_store_restored(pl_node_seeds_t *seeds)
{
	if (joined_(seeds))
		schedule_read_(seeds, RESTORED_READ_MS);
}
