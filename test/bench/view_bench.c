/**
 * @file
 * Measures placement and open views. Prints lines
 * `name value unit baseline target`; a value is the median of the
 * repetitions, with the spread from the lowest to the highest behind it.
 */
#include "view_fake.h"

#include <malloc.h>
#include <pimentolift/hash.h>
#include <stdio.h>
#include <stdlib.h>
#include <time.h>

#define SETTLE_STEP_MS 250
#define SETTLE_MS 30000
#define REPETITIONS 11
#define CALLERS 10000
#define ENDPOINTS 7
#define SERVICE_ENDPOINTS 20
#define WATCHERS 2000
#define ROUNDS 50
#define LOOKUPS 200000
#define TABLE_SERVICES 280
#define TABLE_ADDRESSES 1400
#define TABLE_ENDPOINTS 5400
#define BODY_BYTES 200

typedef struct {
	double values[REPETITIONS];
	size_t count;
} sample_t;

static int by_value_(const void *a, const void *b)
{
	double first = *(const double *)a;
	double second = *(const double *)b;

	return (first > second) - (first < second);
}

static double median_(sample_t *sample)
{
	qsort(sample->values, sample->count, sizeof(double), by_value_);
	return sample->values[sample->count / 2];
}

static void report_(const char *name, sample_t *sample, const char *unit,
		    const char *baseline, const char *target)
{
	double median = median_(sample);

	printf("%s %.4g %s %s %s (%.4g to %.4g of %zu)\n", name, median, unit,
	       baseline, target, sample->values[0],
	       sample->values[sample->count - 1], sample->count);
	fflush(stdout);
}

static void add_(sample_t *sample, double value)
{
	sample->values[sample->count++] = value;
}

static double cpu_s_(void)
{
	struct timespec now;

	clock_gettime(CLOCK_THREAD_CPUTIME_ID, &now);
	return (double)now.tv_sec + (double)now.tv_nsec / 1e9;
}

static pl_addr_t caller_(uint32_t i)
{
	pl_addr_t addr = { .family = PL_ADDR_IPV4,
			   .port = (uint16_t)(1024 + i % 50000) };

	addr.ip[0] = 10;
	addr.ip[1] = (uint8_t)(i >> 16);
	addr.ip[2] = (uint8_t)(i >> 8);
	addr.ip[3] = (uint8_t)i;
	return addr;
}

static pl_routing_t *routing_(size_t services, size_t addresses,
			      size_t endpoints)
{
	pl_routing_builder_t *builder = pl_routing_builder_new(1);
	pl_service_policy_t policy = { .deadline_ms = 1000 };
	char name[PL_NAME_MAX];

	for (size_t i = 0; i < services; i++) {
		snprintf(name, sizeof(name), "service-%zu", i);
		pl_routing_builder_service(builder, name, &policy);
	}
	for (size_t i = 0; i < addresses; i++) {
		pl_addr_t addr = caller_((uint32_t)i);

		snprintf(name, sizeof(name), "service-%zu", i % services);
		pl_routing_builder_address(builder, pl_service_id(name), &addr);
	}
	for (size_t i = 0; i < endpoints; i++) {
		pl_endpoint_t endpoint = { .agent = 0x7f0000010000 + i * 7919,
					   .boot = i + 1,
					   .weight = PL_WEIGHT_FULL };

		snprintf(name, sizeof(name), "service-%zu", i % services);
		endpoint.service = pl_service_id(name);
		pl_routing_builder_endpoint(builder, &endpoint);
	}
	return pl_routing_builder_finish(builder);
}

static double max_over_mean_(const unsigned int *counts, size_t endpoints)
{
	unsigned int max = 0;
	unsigned int sum = 0;

	for (size_t i = 0; i < endpoints; i++) {
		max = counts[i] > max ? counts[i] : max;
		sum += counts[i];
	}
	return (double)max * (double)endpoints / sum;
}

/* Balance of the placement, and what a leaving endpoint moves. */
static void measure_placement_(void)
{
	sample_t balance = { 0 };
	sample_t modulo = { 0 };
	sample_t moved = { 0 };
	char baseline[64];
	double modulo_moved = 0;

	for (uint32_t run = 0; run < REPETITIONS; run++) {
		pl_routing_t *routing = routing_(1, 0, ENDPOINTS);
		const pl_route_service_t *service =
			pl_routing_service_at(routing, 0);
		const pl_endpoint_t *first = service->endpoints;
		pl_member_id_t leaver = first[3].agent;
		unsigned int counts[ENDPOINTS] = { 0 };
		unsigned int by_modulo[ENDPOINTS] = { 0 };
		unsigned int changed = 0;
		unsigned int modulo_changed = 0;

		for (uint32_t i = 0; i < CALLERS; i++) {
			pl_addr_t caller = caller_(run * CALLERS + i);
			uint64_t hash = pl_addr_hash(&caller, 0);
			const pl_endpoint_t *after = NULL;
			const pl_endpoint_t *home =
				pl_placement_home(service, &caller);

			pl_placement_rank(service, &caller, PL_RANK_SERVING,
					  leaver, &after, 1);
			counts[home - first]++;
			by_modulo[hash % ENDPOINTS]++;
			changed += home != after;
			modulo_changed +=
				hash % ENDPOINTS != hash % (ENDPOINTS - 1);
		}
		add_(&balance, max_over_mean_(counts, ENDPOINTS));
		add_(&modulo, max_over_mean_(by_modulo, ENDPOINTS));
		add_(&moved, (double)changed / CALLERS);
		modulo_moved = (double)modulo_changed / CALLERS;
		pl_routing_put(routing);
	}
	snprintf(baseline, sizeof(baseline), "%.4g", median_(&modulo));
	report_("imbalance_views", &balance, "max/mean", baseline, "1.25");
	snprintf(baseline, sizeof(baseline), "%.4g", modulo_moved);
	report_("views_moved_by_one_of_seven", &moved, "share", baseline,
		"0.15");
}

static void measure_table_(void)
{
	sample_t build = { 0 };
	sample_t lookup = { 0 };

	for (uint32_t run = 0; run < REPETITIONS; run++) {
		double start = cpu_s_();
		pl_routing_t *routing = routing_(
			TABLE_SERVICES, TABLE_ADDRESSES, TABLE_ENDPOINTS);
		const pl_route_service_t *service =
			pl_routing_service_at(routing, 0);
		uint64_t sum = 0;

		add_(&build, (cpu_s_() - start) * 1e3);
		start = cpu_s_();
		for (uint32_t i = 0; i < LOOKUPS; i++) {
			pl_addr_t caller = caller_(i);

			sum += pl_placement_home(service, &caller)->agent;
		}
		/* the sum keeps the loop */
		add_(&lookup,
		     (cpu_s_() - start) * 1e9 / LOOKUPS + (sum == 0 ? 1 : 0));
		pl_routing_put(routing);
	}
	report_("routing_table_build_ms", &build, "ms", "-", "10");
	report_("home_of_20_endpoints_ns", &lookup, "ns", "-", "1000");
}

/* Two tables whose frames reach each other at once. */
typedef struct bench bench_t;

typedef struct {
	bench_t *bench;
	pl_view_table_t *table;
	pl_member_id_t id;
} side_t;

struct bench {
	pl_timer_service_t *timers;
	pl_routing_t *routing;
	side_t sides[2];
	GQueue frames;
	uint64_t replies;
	uint16_t *mids; /**< last message ID by caller */
	uint64_t frame_bytes;
};

static void reply_(void *ctx, pl_member_id_t entry, const pl_flow_t *flow,
		   uint32_t load, const uint8_t *pdu, size_t pdu_len)
{
	side_t *side = ctx;
	uint32_t caller =
		(uint32_t)flow->caller.ip[2] << 8 | flow->caller.ip[3];

	side->bench->replies++;
	side->bench->mids[caller] = (uint16_t)(pdu[2] << 8 | pdu[3]);
}

static void subscribe_(void *ctx, uint64_t id, const char *path,
		       const char *query)
{
}

static void unsubscribe_(void *ctx, uint64_t id)
{
}

typedef struct {
	side_t *from;
	pl_peer_frame_t frame;
} queued_t;

static void send_frame_(void *ctx, const pl_peer_frame_t *frame)
{
	side_t *side = ctx;
	queued_t *queued = g_new(queued_t, 1);

	side->bench->frame_bytes += frame->body_len;
	queued->from = side;
	queued->frame = *frame;
	queued->frame.body = g_memdup2(frame->body, frame->body_len);
	g_queue_push_tail(&side->bench->frames, queued);
}

static void deliver_(bench_t *bench)
{
	queued_t *queued;

	while ((queued = g_queue_pop_head(&bench->frames))) {
		side_t *to = &bench->sides[queued->from == bench->sides];

		queued->frame.peer = queued->from->id;
		pl_view_frame(to->table, &queued->frame);
		g_free((void *)queued->frame.body);
		g_free(queued);
	}
}

static uint64_t random_(void *ctx)
{
	return 4;
}

static const pl_agent_ops_t ops_ = {
	.reply = reply_,
	.subscribe = subscribe_,
	.unsubscribe = unsubscribe_,
	.send_frame = send_frame_,
	.random = random_,
};

static void bench_init_(bench_t *bench)
{
	const pl_route_service_t *service;

	bench->timers = pl_timer_service_new(0);
	bench->routing = routing_(1, 0, 2);
	bench->mids = g_new0(uint16_t, CALLERS);
	g_queue_init(&bench->frames);
	service = pl_routing_service_at(bench->routing, 0);
	for (size_t i = 0; i < 2; i++) {
		side_t *side = &bench->sides[i];
		pl_agent_params_t params = {
			.self = service->endpoints[i].agent,
			.boot = service->endpoints[i].boot,
			.unix_time_s = 1700000000,
		};

		side->bench = bench;
		side->id = params.self;
		side->table =
			pl_view_table_new(&params, &ops_, side, bench->timers);
		pl_view_set_routing(side->table, bench->routing, service->id);
		pl_view_backend(side->table, true);
	}
}

static void bench_finish_(bench_t *bench)
{
	for (size_t i = 0; i < 2; i++)
		pl_view_table_delete(bench->sides[i].table);
	deliver_(bench);
	pl_routing_put(bench->routing);
	pl_timer_service_delete(bench->timers);
	g_free(bench->mids);
}

static void open_(bench_t *bench, uint32_t callers, uint32_t resources)
{
	for (uint32_t i = 0; i < callers; i++) {
		pl_forward_t forward = { .entry = 1 };
		pl_coap_msg_t msg = { .type = PL_COAP_CON,
				      .code = PL_COAP_GET,
				      .mid = (uint16_t)i,
				      .token_len = 4,
				      .has_observe = true,
				      .accept = -1 };

		forward.flow.caller = caller_(i);
		forward.flow.caller.ip[1] = 0;
		snprintf(msg.path, sizeof(msg.path), "permits/view/%u",
			 i % resources);
		pl_view_register(bench->sides[0].table, &forward, &msg);
	}
}

static void notify_(bench_t *bench, uint64_t subscription, uint32_t version)
{
	uint8_t body[BODY_BYTES] = { (uint8_t)version,
				     (uint8_t)(version >> 8) };
	pl_backend_reply_t reply = { .status = PL_BACKEND_ANSWERED,
				     .code = PL_COAP_CONTENT,
				     .content_format = 0,
				     .max_age_s = 60,
				     .body = body,
				     .body_len = sizeof(body) };

	pl_view_notify(bench->sides[0].table, subscription, &reply);
}

static void acknowledge_(bench_t *bench, uint32_t callers)
{
	for (uint32_t i = 0; i < callers; i++) {
		pl_forward_t forward = { .entry = 1 };
		pl_coap_msg_t msg = { .type = PL_COAP_ACK,
				      .mid = bench->mids[i] };
		pl_member_id_t next;

		forward.flow.caller = caller_(i);
		forward.flow.caller.ip[1] = 0;
		pl_view_ack(bench->sides[0].table, &forward, &msg, &next);
	}
}

/* Lets registrations be answered and paced copies go out. */
static void settle_(bench_t *bench)
{
	for (pl_ms_t now = SETTLE_STEP_MS; now <= SETTLE_MS;
	     now += SETTLE_STEP_MS) {
		pl_timer_service_advance(bench->timers, now);
		deliver_(bench);
	}
}

static void measure_notify_(void)
{
	sample_t rate = { 0 };

	for (uint32_t run = 0; run < REPETITIONS; run++) {
		bench_t bench = { 0 };
		double start;

		bench_init_(&bench);
		open_(&bench, WATCHERS, 1);
		notify_(&bench, 1, 0);
		settle_(&bench);
		bench.replies = 0;
		start = cpu_s_();
		for (uint32_t round = 1; round <= ROUNDS; round++) {
			notify_(&bench, 1, round);
			acknowledge_(&bench, WATCHERS);
		}
		add_(&rate, (double)bench.replies / (cpu_s_() - start));
		bench_finish_(&bench);
	}
	report_("notifications_per_s_per_core", &rate, "1/s", "-", "-");
}

static void measure_memory_(void)
{
	sample_t bytes = { 0 };
	sample_t rate = { 0 };
	sample_t copy = { 0 };
	sample_t copy_bytes = { 0 };

	for (uint32_t run = 0; run < REPETITIONS; run++) {
		bench_t bench = { 0 };
		size_t before;
		size_t between;
		double start;

		bench_init_(&bench);
		before = mallinfo2().uordblks;
		start = cpu_s_();
		open_(&bench, CALLERS, 20);
		add_(&rate, CALLERS / (cpu_s_() - start));
		for (uint64_t id = 1; id <= 20; id++)
			notify_(&bench, id, 0);
		between = mallinfo2().uordblks;
		add_(&bytes, (double)(between - before) / CALLERS);
		settle_(&bench);
		add_(&copy, (double)(mallinfo2().uordblks - between) / CALLERS);
		add_(&copy_bytes, (double)bench.frame_bytes / CALLERS);
		bench_finish_(&bench);
	}
	report_("agent_bytes_per_open_view", &bytes, "bytes", "-", "1000");
	report_("agent_bytes_per_copy_held", &copy, "bytes", "-", "1000");
	report_("frame_bytes_per_copy", &copy_bytes, "bytes", "-", "100");
	report_("registrations_per_s_per_core", &rate, "1/s", "-", "-");
}

static void measure_handover_(void)
{
	sample_t rate = { 0 };
	sample_t bytes = { 0 };

	for (uint32_t run = 0; run < REPETITIONS; run++) {
		bench_t bench = { 0 };
		double start;

		bench_init_(&bench);
		open_(&bench, CALLERS, 20);
		for (uint64_t id = 1; id <= 20; id++)
			notify_(&bench, id, 0);
		settle_(&bench);
		bench.frame_bytes = 0;
		start = cpu_s_();
		pl_view_drain(bench.sides[0].table);
		deliver_(&bench);
		add_(&rate, CALLERS / (cpu_s_() - start));
		add_(&bytes, (double)bench.frame_bytes / CALLERS);
		if (pl_view_count(bench.sides[1].table) != CALLERS)
			printf("# hand-over did not end\n");
		bench_finish_(&bench);
	}
	report_("handover_views_per_s_per_core", &rate, "1/s", "-", "-");
	report_("handover_bytes_per_view", &bytes, "bytes", "-", "300");
}

static double spread_(const fake_t *fake)
{
	unsigned int counts[ENDPOINTS] = { 0 };

	for (unsigned int i = 0; i < ENDPOINTS; i++)
		counts[i] = (unsigned int)pl_view_count(fake->agents[i].table);
	return max_over_mean_(counts, ENDPOINTS);
}

/* Balance after every endpoint was replaced, and after views returned. */
static void measure_roll_(void)
{
	fake_t *fake = fake_new(1, ENDPOINTS, ENDPOINTS, CALLERS);
	sample_t after = { 0 };
	char baseline[64];
	unsigned int seconds = 0;

	fake_open_all(fake);
	fake_run(fake, 1000);
	for (unsigned int i = 0; i < ENDPOINTS; i++) {
		fake_drain(fake, i);
		fake_route(fake);
		fake_run(fake, 1000);
		fake_kill(fake, i);
		fake_declare_dead(fake, i);
		fake_start(fake, i);
		fake_route(fake);
		fake_run(fake, 1000);
	}
	snprintf(baseline, sizeof(baseline), "%.4g", spread_(fake));
	while (spread_(fake) > 1.1 && seconds < 1000) {
		fake_run(fake, 1000);
		seconds++;
	}
	printf("# %u s of virtual time until the views had returned, "
	       "%u callers behind\n",
	       seconds, fake_behind(fake));
	add_(&after, spread_(fake));
	report_("imbalance_views_after_roll", &after, "max/mean", baseline,
		"1.25");
	fake_delete(fake);
}

int main(void)
{
	/* drained tables log every batch */
	g_log_set_writer_func(g_log_writer_standard_streams, NULL, NULL);
	g_setenv("G_MESSAGES_DEBUG", "", TRUE);
	measure_placement_();
	measure_table_();
	measure_notify_();
	measure_memory_();
	measure_handover_();
	measure_roll_();
	return 0;
}
