#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#include "pace_baselines.h"

#include <math.h>
#include <pimentolift/balance/pace.h>
#include <pimentolift/balance/place.h>
#include <stdlib.h>
#include <string.h>

#define SEEDS 16
#define SERVERS 12
#define ENTRIES 4
#define OFFERS 4
#define REPORT_MS 100
#define WORK_MS 50
#define GOAL_MS 400
#define FLOWS_MAX 20000
#define COLD_MS 2000
#define COLD_TIMES 1.6

/* A flow; one request is in progress or queued at a time. */
typedef struct {
	int server; /* -1: not open */
	uint32_t random;
	int left; /* requests yet to be made */
	int entry;
	int first; /* server with the highest rendezvous hash */
	pl_ms_t asked_at; /* of the request that is made or due */
	bool pending; /* queued or in progress */
	bool in_service;
	pl_ms_t started_at;
	pl_ms_t ends_at;
} flow_t;

typedef struct {
	bool up;
	double slow; /* work takes this many times as long */
	pl_ms_t born;
	pl_pace_t pace;
	pl_load_t load;
	uint32_t queued;
	double request_ms; /* moving mean of times to answer */
	pl_endpoint_load_t reported;
	pl_ms_t reported_at;
	uint32_t unreported[ENTRIES];
	uint32_t answers; /* in the measured span */
	uint32_t in_time;
	uint64_t busy_ms; /* of its slots, from SHARE_FROM to SHARE_UNTIL */
} server_t;

/* What a run is made of. */
typedef struct {
	const char *name;
	const pl_pace_policy_t *policy;
	double load; /* of all warm slots */
	int requests; /* per flow */
	pl_ms_t pause; /* between requests of a flow */
	double burst; /* times the load, in the second after the event */
	void (*at_event)(void *sim);
	int affected; /* servers that the event affects, the first ones */
} run_t;

typedef struct {
	const run_t *run;
	uint32_t random;
	pl_ms_t now;
	server_t servers[SERVERS];
	flow_t flows[FLOWS_MAX];
	int flow_count;
	pl_ms_t slow_until; /* of the first server; 0: for good */
	bool measured;
	uint32_t all;
	uint32_t in_time;
	uint64_t time_sum;
} sim_t;

#define EVENT_AT 6000
#define MEASURE_MS 5000
/** A started server has its full share of the work after two seconds: this is the
 * second that follows. */
#define SHARE_FROM (EVENT_AT + 2000)
#define SHARE_UNTIL (EVENT_AT + 3000)
#define SHARE_FULL 0.9

static double next_(uint32_t *random)
{
	*random = *random * 1664525U + 1013904223U;
	return (*random >> 8) / 16777216.0;
}

static double random_(sim_t *sim)
{
	return next_(&sim->random);
}

/* Work of a request: uneven, with a tail. */
static double work_ms_(flow_t *flow)
{
	double work = WORK_MS * (0.4 + 1.0 * next_(&flow->random)) * 0.94;

	return next_(&flow->random) < 0.03 ? work * 7 : work;
}

static void start_server_(sim_t *sim, int i)
{
	server_t *server = &sim->servers[i];

	server->up = true;
	server->born = sim->now;
	server->queued = 0;
	server->request_ms = 0;
	server->load =
		(pl_load_t){ .slots = PACE_SLOTS, .changed_at = sim->now };
	pl_pace_start(&server->pace, sim->now);
	for (int k = 0; k < sim->flow_count; k++) {
		if (sim->flows[k].server == i)
			sim->flows[k].server = -1;
	}
}

static void begin_(sim_t *sim, flow_t *flow)
{
	server_t *server = &sim->servers[flow->server];
	bool cold = sim->now > COLD_MS && sim->now < server->born + COLD_MS;
	double work = work_ms_(flow) * server->slow * (cold ? COLD_TIMES : 1);

	flow->in_service = true;
	flow->started_at = sim->now;
	flow->ends_at = sim->now + (pl_ms_t)ceil(work);
	pl_load_change(&server->load, 1, sim->now);
}

static void request_(sim_t *sim, flow_t *flow)
{
	server_t *server = &sim->servers[flow->server];

	flow->pending = true;
	flow->in_service = false;
	if (server->load.busy < PACE_SLOTS)
		begin_(sim, flow);
	else
		server->queued++;
}

static pl_endpoint_load_t load_(sim_t *sim, const server_t *server)
{
	pl_endpoint_load_t load = pl_load_snapshot(&server->load, sim->now);

	load.busy += server->queued;
	load.request_ms = (uint32_t)server->request_ms;
	if (sim->run->policy != &pace_none)
		load.limit = pl_pace_limit(&server->pace, sim->now);
	return load;
}

/* Offers a new flow to servers as an entry does. */
static void place_(sim_t *sim, flow_t *flow)
{
	unsigned int refused = 0;

	for (int offer = 0; offer < OFFERS; offer++) {
		pl_place_candidate_t candidates[SERVERS];
		int index[SERVERS];
		size_t count = 0;
		server_t *server;
		size_t chosen;
		bool last;

		for (int i = 0; i < SERVERS; i++) {
			int at = (flow->first + i) % SERVERS;

			if (!sim->servers[at].up || refused & 1U << at)
				continue;
			index[count] = at;
			candidates[count] = (pl_place_candidate_t){
				.weight = PL_PLACE_WEIGHT_FULL,
				.load = sim->servers[at].reported,
				.unreported = sim->servers[at]
						      .unreported[flow->entry],
				.age_ms =
					sim->now - sim->servers[at].reported_at,
				.tried = true,
				.local = true,
			};
			count++;
		}
		chosen = pl_place_least_wait.choose(candidates, count);
		server = &sim->servers[index[chosen]];
		server->unreported[flow->entry]++;
		last = offer == OFFERS - 1 || count == 1 ||
		       candidates[chosen].load.busy +
				       candidates[chosen].unreported >=
			       PACE_SLOTS;
		if (last || server->load.busy + server->queued < PACE_SLOTS) {
			flow->server = index[chosen];
			request_(sim, flow);
			return;
		}
		refused |= 1U << index[chosen];
	}
}

static void arrive_(sim_t *sim)
{
	flow_t *flow = NULL;

	for (int i = 0; i < sim->flow_count && !flow; i++) {
		if (sim->flows[i].server < 0 && sim->flows[i].left == 0)
			flow = &sim->flows[i];
	}
	if (!flow) {
		assert_true(sim->flow_count < FLOWS_MAX);
		flow = &sim->flows[sim->flow_count++];
	}
	*flow = (flow_t){ .server = -1,
			  .left = sim->run->requests,
			  .entry = (int)(random_(sim) * ENTRIES),
			  .random = (uint32_t)(random_(sim) * 1e9),
			  .first = (int)(random_(sim) * SERVERS),
			  .asked_at = sim->now };
	place_(sim, flow);
}

static void finish_(sim_t *sim, flow_t *flow)
{
	server_t *server = &sim->servers[flow->server];
	bool in_time = sim->now - flow->asked_at <= GOAL_MS;
	double took = (double)(sim->now - flow->started_at);
	pl_pace_sample_t sample;

	pl_load_change(&server->load, -1, sim->now);
	server->request_ms = server->request_ms == 0 ?
				     took :
				     (server->request_ms * 15 + took) / 16;
	sample = (pl_pace_sample_t){
		.now = sim->now,
		.slots = PACE_SLOTS,
		.mean_busy =
			pl_load_snapshot(&server->load, sim->now).mean_busy,
	};
	pl_pace_answered(&server->pace, 1, sim->now - flow->started_at,
			 &sample);
	if (sim->measured) {
		sim->all++;
		sim->in_time += in_time;
		sim->time_sum += sim->now - flow->asked_at;
		server->answers++;
		server->in_time += in_time;
	}
	flow->pending = false;
	flow->left--;
	flow->asked_at =
		sim->now + (sim->run->pause > 0 ?
				    (pl_ms_t)(sim->run->pause *
					      (0.5 + next_(&flow->random))) :
				    0);
	if (flow->left == 0)
		flow->server = -1;
}

static void serve_queue_(sim_t *sim)
{
	for (int i = 0; i < sim->flow_count; i++) {
		flow_t *flow = &sim->flows[i];
		server_t *server;

		if (flow->server < 0 || !flow->pending || flow->in_service)
			continue;
		server = &sim->servers[flow->server];
		if (server->load.busy < PACE_SLOTS) {
			server->queued--;
			begin_(sim, flow);
		}
	}
}

static void step_flows_(sim_t *sim)
{
	for (int i = 0; i < sim->flow_count; i++) {
		flow_t *flow = &sim->flows[i];

		if (flow->server < 0 && flow->left > 0) {
			/* its server restarted: a new flow */
			flow->pending = false;
			flow->asked_at = sim->now;
			place_(sim, flow);
		} else if (flow->server >= 0 && flow->in_service &&
			   flow->pending && sim->now >= flow->ends_at) {
			finish_(sim, flow);
		} else if (flow->server >= 0 && !flow->pending &&
			   sim->now >= flow->asked_at) {
			flow->asked_at = sim->now;
			request_(sim, flow);
		}
	}
	serve_queue_(sim);
}

static void step_(sim_t *sim)
{
	double rate = sim->run->load * SERVERS * PACE_SLOTS / WORK_MS /
		      sim->run->requests;
	double expect;

	sim->now++;
	if (sim->run->burst > 0 && sim->now >= EVENT_AT + 500 &&
	    sim->now < EVENT_AT + 1500)
		rate *= sim->run->burst;
	expect = rate;
	while (expect > 0) {
		if (random_(sim) < expect)
			arrive_(sim);
		expect--;
	}
	if (sim->now == sim->slow_until)
		sim->servers[0].slow = 1;
	step_flows_(sim);
	for (int i = 0; i < SERVERS; i++) {
		server_t *server = &sim->servers[i];

		if (sim->now >= SHARE_FROM && sim->now < SHARE_UNTIL)
			server->busy_ms += server->load.busy;
		if ((sim->now + (pl_ms_t)i * 8) % REPORT_MS != 0)
			continue;
		server->reported = load_(sim, server);
		server->reported_at = sim->now;
		memset(server->unreported, 0, sizeof(server->unreported));
	}
}

static sim_t *sim_new_(const run_t *run)
{
	sim_t *sim = calloc(1, sizeof(*sim));

	assert_non_null(sim);
	sim->run = run;
	sim->random = 7;
	for (int i = 0; i < SERVERS; i++) {
		sim->servers[i].slow = 1;
		pl_pace_init(&sim->servers[i].pace, run->policy);
		start_server_(sim, i);
	}
	return sim;
}

static void advance_(sim_t *sim, pl_ms_t until)
{
	while (sim->now < until)
		step_(sim);
}

/* ---- events ---- */

static void one_start_(void *ctx)
{
	start_server_(ctx, 0);
}

static void half_start_(void *ctx)
{
	for (int i = 0; i < SERVERS / 2; i++)
		start_server_(ctx, i);
}

static void all_start_(void *ctx)
{
	for (int i = 0; i < SERVERS; i++)
		start_server_(ctx, i);
}

static void one_slow_(void *ctx)
{
	((sim_t *)ctx)->servers[0].slow = 10;
}

static void one_slow_for_a_time_(void *ctx)
{
	((sim_t *)ctx)->servers[0].slow = 10;
	((sim_t *)ctx)->slow_until = EVENT_AT + 2000;
}

/* Means over all seeds. */
typedef struct {
	double in_time; /* part of all requests */
	double mean_ms;
	double in_time_affected; /* part of those at the affected servers */
	/* busy slots of an affected server, as a part of a peer's */
	double share;
} result_t;

static double share_(const sim_t *sim)
{
	int affected = sim->run->affected;
	double own = 0;
	double peers = 0;

	for (int i = 0; i < SERVERS; i++) {
		if (i < affected)
			own += (double)sim->servers[i].busy_ms / affected;
		else
			peers += (double)sim->servers[i].busy_ms /
				 (SERVERS - affected);
	}
	return peers > 0 ? own / peers : 1;
}

static void add_run_(const run_t *run, uint32_t seed, result_t *result)
{
	sim_t *sim = sim_new_(run);
	uint32_t answers = 0;
	uint32_t in_time = 0;

	sim->random = seed * 7919 + 7;
	advance_(sim, EVENT_AT);
	sim->measured = true;
	run->at_event(sim);
	advance_(sim, EVENT_AT + MEASURE_MS);
	result->in_time += (double)sim->in_time / sim->all / SEEDS;
	result->mean_ms += (double)sim->time_sum / sim->all / SEEDS;
	for (int i = 0; i < run->affected; i++) {
		answers += sim->servers[i].answers;
		in_time += sim->servers[i].in_time;
	}
	result->in_time_affected += (double)in_time / answers / SEEDS;
	result->share += share_(sim) / SEEDS;
	free(sim);
}

static result_t measure_(const run_t *scene, const pl_pace_policy_t *policy)
{
	result_t result = { 0 };
	run_t run = *scene;

	run.policy = policy;
	for (uint32_t seed = 0; seed < SEEDS; seed++)
		add_run_(&run, seed, &result);
	print_message("%-28s %-8s in time %.4f, mean %.1f ms, affected "
		      "%.4f, share %.2f\n",
		      run.name, policy->name, result.in_time, result.mean_ms,
		      result.in_time_affected, result.share);
	return result;
}

/* Checks that the pace costs nothing beyond chance. Returns how much larger the
 * part in time is at the affected servers. */
static double gain_(const run_t *scene)
{
	const pl_pace_policy_t *const others[] = { &pace_by_age, &pace_aimd,
						   &pace_gradient };
	result_t without = measure_(scene, &pace_none);
	result_t with = measure_(scene, &pl_pace_by_answers);

	/* the figures of docs/design/pace.md */
	for (int i = 0; i < 3 && getenv("PL_TEST_TABLE"); i++)
		measure_(scene, others[i]);
	assert_true(with.in_time >= without.in_time - 0.002);
	return with.in_time_affected - without.in_time_affected;
}

/* Load pattern: a server starts among eleven busy ones. Empty, it drew all new
 * flows while it was slow. */
static void one_start_in_a_busy_service(void **state)
{
	const run_t singles = { .name = "one start, single requests",
				.load = 0.9,
				.requests = 1,
				.at_event = one_start_,
				.affected = 1 };
	const run_t flows = { .name = "one start, kept flows",
			      .load = 0.85,
			      .requests = 8,
			      .pause = 700,
			      .at_event = one_start_,
			      .affected = 1 };

	(void)state;
	assert_true(gain_(&singles) > 0.01);
	assert_true(gain_(&flows) > 0);
}

/* Load pattern: a server starts in a service that has room. Its limit is a part
 * of its slots, and by the busy part of that it looked as busy as its peers. */
static void started_server_gets_its_share(void **state)
{
	static const double loads[] = { 0.4, 0.6, 0.85 };

	(void)state;
	for (int i = 0; i < 3; i++) {
		const run_t run = { .name = "one start, its share",
				    .load = loads[i],
				    .requests = 8,
				    .pause = 700,
				    .at_event = one_start_,
				    .affected = 1 };

		if (getenv("PL_TEST_TABLE"))
			measure_(&run, &pace_none);
		assert_true(measure_(&run, &pl_pace_by_answers).share >=
			    SHARE_FULL);
	}
}

/* Load pattern: half of the servers are replaced at once. */
static void release_of_half_a_service(void **state)
{
	const run_t run = { .name = "half start, kept flows",
			    .load = 0.7,
			    .requests = 8,
			    .pause = 700,
			    .at_event = half_start_,
			    .affected = SERVERS / 2 };

	(void)state;
	assert_true(gain_(&run) > -0.005);
}

/* Load pattern: after a loss of all, each server is new, and none may be
 * starved for it. */
static void start_of_a_whole_service(void **state)
{
	const run_t run = { .name = "all start, kept flows",
			    .load = 0.7,
			    .requests = 8,
			    .pause = 700,
			    .at_event = all_start_,
			    .affected = SERVERS };

	(void)state;
	gain_(&run);
}

/* Load pattern: callers rush in half a second after a server has started. */
static void burst_after_a_start(void **state)
{
	const run_t run = { .name = "one start and a burst",
			    .load = 0.6,
			    .requests = 8,
			    .pause = 700,
			    .burst = 1.8,
			    .at_event = one_start_,
			    .affected = 1 };

	(void)state;
	assert_true(gain_(&run) > -0.005);
}

/* Load pattern: a server takes ten times as long as its peers, for good, or for
 * two seconds. */
static void slow_server(void **state)
{
	run_t run = { .name = "one slow",
		      .load = 0.6,
		      .requests = 1,
		      .at_event = one_slow_,
		      .affected = 1 };

	(void)state;
	gain_(&run);
	run.name = "one slow for a time";
	run.at_event = one_slow_for_a_time_;
	gain_(&run);
}

/* A restarted agent knows no usual time, and its server is as quick as before:
 * without a start there is no limit. */
static void server_that_did_not_start_is_not_paced(void **state)
{
	const pl_pace_sample_t sample = { .now = 2000,
					  .slots = PACE_SLOTS,
					  .mean_busy = 900 };
	pl_pace_t pace;

	(void)state;
	pl_pace_init(&pace, &pl_pace_by_answers);
	for (int i = 0; i < 100; i++)
		assert_int_equal(pl_pace_answered(&pace, 1, 40, &sample),
				 PL_PACE_SAME);
	assert_int_equal(pl_pace_limit(&pace, 2000), 0);
}

/* Guards against a server that counts as slow because its requests are of
 * another kind now. */
static void usual_times_are_told_apart_by_kind(void **state)
{
	pl_pace_sample_t sample = { .now = 2000,
				    .slots = PACE_SLOTS,
				    .mean_busy = 900 };
	pl_pace_t pace;

	(void)state;
	pl_pace_init(&pace, &pl_pace_by_answers);
	for (int i = 0; i < 100; i++)
		pl_pace_answered(&pace, 1, 4, &sample);
	for (int i = 0; i < 100; i++)
		assert_int_equal(pl_pace_answered(&pace, 2, 50, &sample),
				 PL_PACE_SAME);
	for (int i = 0; i < 20; i++)
		pl_pace_answered(&pace, 1, 50, &sample);
	assert_true(pl_pace_limit(&pace, 2000) > 0);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(one_start_in_a_busy_service),
		cmocka_unit_test(started_server_gets_its_share),
		cmocka_unit_test(release_of_half_a_service),
		cmocka_unit_test(start_of_a_whole_service),
		cmocka_unit_test(burst_after_a_start),
		cmocka_unit_test(slow_server),
		cmocka_unit_test(server_that_did_not_start_is_not_paced),
		cmocka_unit_test(usual_times_are_told_apart_by_kind),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
