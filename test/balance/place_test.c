/* Replays load in virtual time against placement policies. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#include <glib.h>
#include <pimentolift/balance/place.h>

#define SERVERS 48
#define DATACENTRES 3
#define ENTRIES 24
#define SLOTS 3
#define CANDIDATES 16
#define REMOTE_CANDIDATES 4
#define WORK_MS 50
#define REPORT_MS 100
#define OFFERS_MAX 4
#define RUN_MS 20000
/* Answers within this time are what callers expect. */
#define GOAL_MS 200

typedef struct {
	pl_ms_t ends[SLOTS]; /* end of the request in each slot; 0: free */
	GQueue waiting; /* arrival times */
	pl_load_t load;
	pl_ms_t work_ms;
} server_t;

/* What an entry knows of a server. */
typedef struct {
	pl_endpoint_load_t load;
} view_t;

typedef struct {
	const pl_place_policy_t *policy;
	GRand *random;
	pl_ms_t now;
	server_t servers[SERVERS];
	view_t views[ENTRIES][SERVERS];
	pl_ms_t reported_at[SERVERS];
	unsigned int started;
	unsigned int late;
} replay_t;

static void start_(replay_t *replay, server_t *server, int slot,
		   pl_ms_t arrived)
{
	server->ends[slot] = replay->now + server->work_ms;
	replay->late += server->ends[slot] - arrived > GOAL_MS;
}

static void arrive_(replay_t *replay, server_t *server)
{
	pl_load_change(&server->load, 1, replay->now);
	for (int i = 0; i < SLOTS; i++) {
		if (server->ends[i] == 0) {
			start_(replay, server, i, replay->now);
			return;
		}
	}
	g_queue_push_tail(&server->waiting, GSIZE_TO_POINTER(replay->now));
}

static void run_server_(replay_t *replay, server_t *server)
{
	for (int i = 0; i < SLOTS; i++) {
		if (server->ends[i] == 0 || server->ends[i] > replay->now)
			continue;
		server->ends[i] = 0;
		pl_load_change(&server->load, -1, replay->now);
		if (!g_queue_is_empty(&server->waiting))
			start_(replay, server, i,
			       GPOINTER_TO_SIZE(
				       g_queue_pop_head(&server->waiting)));
	}
}

/* Every entry gets the same report of a server. */
static void report_(replay_t *replay, int index)
{
	server_t *server = &replay->servers[index];
	pl_endpoint_load_t load = pl_load_snapshot(&server->load, replay->now);

	load.request_ms = (uint32_t)server->work_ms;
	replay->reported_at[index] = replay->now;
	for (int i = 0; i < ENTRIES; i++)
		replay->views[i][index].load = load;
}

/* Draws an endpoint that is not a candidate yet, as a hash would. */
static int draw_(replay_t *replay, int datacentre, bool local,
		 const pl_place_candidate_t *candidates, size_t count)
{
	for (;;) {
		int server = g_rand_int_range(replay->random, 0, SERVERS);
		bool known = (server % DATACENTRES == datacentre) != local;

		for (size_t i = 0; i < count; i++)
			known |= candidates[i].agent == (uint64_t)server;
		if (!known)
			return server;
	}
}

/* Whether the server refuses the opening packet; its answer has its load. */
static bool refuses_(replay_t *replay, view_t *view, server_t *server)
{
	view->load = pl_load_snapshot(&server->load, replay->now);
	view->load.request_ms = (uint32_t)server->work_ms;
	return server->load.busy >= SLOTS;
}

/* Offers a flow to up to OFFERS_MAX endpoints; the last one queues it. */
static void place_(replay_t *replay, int entry)
{
	pl_place_candidate_t candidates[CANDIDATES];
	size_t count = 0;
	view_t *view;
	server_t *server;
	size_t chosen;

	while (count < CANDIDATES) {
		bool local = count >= REMOTE_CANDIDATES;
		int drawn = draw_(replay, entry % DATACENTRES, local,
				  candidates, count);

		view = &replay->views[entry][drawn];
		candidates[count++] = (pl_place_candidate_t){
			.agent = (uint64_t)drawn,
			.weight = PL_PLACE_WEIGHT_FULL,
			.load = view->load,
			.age_ms = replay->now - replay->reported_at[drawn],
			.local = local,
		};
	}
	for (int offers = 1;; offers++) {
		chosen = replay->policy->choose(candidates, count);
		server = &replay->servers[candidates[chosen].agent];
		view = &replay->views[entry][candidates[chosen].agent];
		if (!refuses_(replay, view, server) || offers == OFFERS_MAX)
			break;
		candidates[chosen] = candidates[--count];
	}
	replay->started++;
	arrive_(replay, server);
}

/* Runs @p per_s flows a second of one request each; the first @p slow servers
 * take @p slow_times as long. Returns the fraction answered too late. */
static double late_share_(const pl_place_policy_t *policy, unsigned int per_s,
			  int slow, pl_ms_t slow_times)
{
	replay_t *replay = g_new0(replay_t, 1);
	unsigned int due = 0;
	double share;

	replay->policy = policy;
	replay->random = g_rand_new_with_seed(7);
	for (int i = 0; i < SERVERS; i++) {
		replay->servers[i].load.slots = SLOTS;
		replay->servers[i].work_ms =
			WORK_MS * (i < slow ? slow_times : 1);
	}
	for (replay->now = 1; replay->now < RUN_MS; replay->now++) {
		for (int i = 0; i < SERVERS; i++) {
			run_server_(replay, &replay->servers[i]);
			if ((replay->now + 7 * (pl_ms_t)i) % REPORT_MS == 0)
				report_(replay, i);
		}
		due += per_s;
		for (; due >= 1000; due -= 1000)
			place_(replay,
			       g_rand_int_range(replay->random, 0, ENTRIES));
	}
	share = (double)replay->late / replay->started;
	print_message("%s, %u a second: %.4f late\n", policy->name, per_s,
		      share);
	for (int i = 0; i < SERVERS; i++)
		g_queue_clear(&replay->servers[i].waiting);
	g_rand_free(replay->random);
	g_free(replay);
	return share;
}

/* Load pattern: one server in eight takes five times as long. By the number of
 * busy slots it gets as many flows as another with the same number. */
static void slow_servers_get_fewer_flows(void **state)
{
	unsigned int rate = SERVERS * SLOTS * 600 / WORK_MS;
	double wait = late_share_(&pl_place_least_wait, rate, SERVERS / 8, 5);
	double load =
		late_share_(&pl_place_least_utilised, rate, SERVERS / 8, 5);
	double hash = late_share_(&pl_place_by_hash, rate, SERVERS / 8, 5);

	(void)state;
	assert_true(wait < load / 2);
	assert_true(wait < hash / 2);
}

/* Load pattern: an entry that sends an endpoint little sees reports that are
 * seconds old. A moment in which all slots were busy says nothing by then. */
static void old_reports_count_by_their_mean(void **state)
{
	pl_place_candidate_t candidates[] = {
		{ .agent = 1,
		  .weight = PL_PLACE_WEIGHT_FULL,
		  .local = true,
		  .load = { .slots = SLOTS, .busy = 3, .mean_busy = 600 } },
		{ .agent = 2,
		  .weight = PL_PLACE_WEIGHT_FULL,
		  .local = true,
		  .load = { .slots = SLOTS, .busy = 1, .mean_busy = 1200 } },
	};

	(void)state;
	assert_int_equal(pl_place_least_wait.choose(candidates, 2), 1);
	candidates[0].age_ms = 2000;
	assert_int_equal(pl_place_least_wait.choose(candidates, 2), 0);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(slow_servers_get_fewer_flows),
		cmocka_unit_test(old_reports_count_by_their_mean),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
