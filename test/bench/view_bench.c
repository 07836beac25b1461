/**
 * @file
 * Measures placement and open views. Each output line is
 * `name value unit baseline target`, "-" for a missing one. A value is the
 * median of the repetitions, followed by the lowest and the highest.
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
#define NOTIFY_ROUNDS 50
#define LOOKUPS 200000
#define TABLE_SERVICES 280
#define TABLE_ADDRESSES 1400
#define TABLE_ENDPOINTS 5400
#define BODY_BYTES 200

typedef struct {
	double values[REPETITIONS];
	size_t count;
} sample_t;

static int compare_doubles_(const void *a, const void *b)
{
	double first = *(const double *)a;
	double second = *(const double *)b;

	return (first > second) - (first < second);
}

static double median_(sample_t *sample)
{
	qsort(sample->values, sample->count, sizeof(double), compare_doubles_);
	return sample->values[sample->count / 2];
}

static void print_sample_(const char *name, sample_t *sample, const char *unit,
			  const char *baseline, const char *target)
{
	double median = median_(sample);

	printf("%s %.4g %s %s %s (%.4g to %.4g of %zu)\n", name, median, unit,
	       baseline, target, sample->values[0],
	       sample->values[sample->count - 1], sample->count);
	fflush(stdout);
}

static void add_value_(sample_t *sample, double value)
{
	sample->values[sample->count++] = value;
}

static double cpu_s_(void)
{
	struct timespec now;

	clock_gettime(CLOCK_THREAD_CPUTIME_ID, &now);
	return (double)now.tv_sec + (double)now.tv_nsec / 1e9;
}

static pl_addr_t caller_addr_(uint32_t i)
{
	pl_addr_t addr = { .family = PL_ADDR_IPV4,
			   .port = (uint16_t)(1024 + i % 50000) };

	addr.ip[0] = 10;
	addr.ip[1] = (uint8_t)(i >> 16);
	addr.ip[2] = (uint8_t)(i >> 8);
	addr.ip[3] = (uint8_t)i;
	return addr;
}

static pl_routing_t *make_routing_(size_t services, size_t addresses,
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
		pl_addr_t addr = caller_addr_((uint32_t)i);

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

/*
 * Balance of the placement, and share of views that move when one of seven
 * endpoints leaves. The baseline is placement by hash modulo the endpoints.
 */
static void measure_placement_(void)
{
	sample_t balance = { 0 };
	sample_t modulo = { 0 };
	sample_t moved = { 0 };
	char baseline[64];
	double modulo_moved = 0;

	for (uint32_t run = 0; run < REPETITIONS; run++) {
		pl_routing_t *routing = make_routing_(1, 0, ENDPOINTS);
		const pl_route_service_t *service =
			pl_routing_service_at(routing, 0);
		const pl_endpoint_t *first = service->endpoints;
		pl_member_id_t leaving = first[3].agent;
		unsigned int counts[ENDPOINTS] = { 0 };
		unsigned int by_modulo[ENDPOINTS] = { 0 };
		unsigned int changed = 0;
		unsigned int modulo_changed = 0;

		for (uint32_t i = 0; i < CALLERS; i++) {
			pl_addr_t caller = caller_addr_(run * CALLERS + i);
			uint64_t hash = pl_addr_hash(&caller, 0);
			const pl_endpoint_t *after = NULL;
			const pl_endpoint_t *home =
				pl_placement_home(service, &caller);

			pl_placement_rank(service, &caller, PL_RANK_SERVING,
					  leaving, &after, 1);
			counts[home - first]++;
			by_modulo[hash % ENDPOINTS]++;
			changed += home != after;
			modulo_changed +=
				hash % ENDPOINTS != hash % (ENDPOINTS - 1);
		}
		add_value_(&balance, max_over_mean_(counts, ENDPOINTS));
		add_value_(&modulo, max_over_mean_(by_modulo, ENDPOINTS));
		add_value_(&moved, (double)changed / CALLERS);
		modulo_moved = (double)modulo_changed / CALLERS;
		pl_routing_put(routing);
	}
	snprintf(baseline, sizeof(baseline), "%.4g", median_(&modulo));
	print_sample_("imbalance_views", &balance, "max/mean", baseline,
		      "1.25");
	snprintf(baseline, sizeof(baseline), "%.4g", modulo_moved);
	print_sample_("views_moved_by_one_of_seven", &moved, "share", baseline,
		      "0.15");
}

static void measure_routing_table_(void)
{
	sample_t build = { 0 };
	sample_t lookup = { 0 };

	for (uint32_t run = 0; run < REPETITIONS; run++) {
		double start = cpu_s_();
		pl_routing_t *routing = make_routing_(
			TABLE_SERVICES, TABLE_ADDRESSES, TABLE_ENDPOINTS);
		const pl_route_service_t *service =
			pl_routing_service_at(routing, 0);
		uint64_t sum = 0;

		add_value_(&build, (cpu_s_() - start) * 1e3);
		start = cpu_s_();
		for (uint32_t i = 0; i < LOOKUPS; i++) {
			pl_addr_t caller = caller_addr_(i);

			sum += pl_placement_home(service, &caller)->agent;
		}
		/* the use of the sum keeps the compiler from removing the loop */
		add_value_(&lookup, (cpu_s_() - start) * 1e9 / LOOKUPS +
					    (sum == 0 ? 1 : 0));
		pl_routing_put(routing);
	}
	print_sample_("routing_table_build_ms", &build, "ms", "-", "10");
	print_sample_("home_of_20_endpoints_ns", &lookup, "ns", "-", "1000");
}

/* Two view tables that receive each other's frames without delay. */
typedef struct bench bench_t;

typedef struct {
	bench_t *bench;
	pl_view_table_t *table;
	pl_member_id_t id;
} bench_agent_t;

struct bench {
	pl_timer_service_t *timers;
	pl_routing_t *routing;
	bench_agent_t agents[2];
	GQueue frames;
	uint64_t replies;
	uint16_t *mids; /**< last message ID by caller */
	uint64_t frame_bytes;
};

static void on_reply_(void *ctx, pl_member_id_t entry, const pl_flow_t *flow,
		      uint32_t load, const uint8_t *pdu, size_t pdu_len)
{
	bench_agent_t *agent = ctx;
	uint32_t caller =
		(uint32_t)flow->caller.ip[2] << 8 | flow->caller.ip[3];

	agent->bench->replies++;
	agent->bench->mids[caller] = (uint16_t)(pdu[2] << 8 | pdu[3]);
}

static void on_subscribe_(void *ctx, uint64_t id, const char *path,
			  const char *query)
{
}

static void on_unsubscribe_(void *ctx, uint64_t id)
{
}

typedef struct {
	bench_agent_t *from;
	pl_peer_frame_t frame;
} queued_frame_t;

static void on_send_frame_(void *ctx, const pl_peer_frame_t *frame)
{
	bench_agent_t *agent = ctx;
	queued_frame_t *queued = g_new(queued_frame_t, 1);

	agent->bench->frame_bytes += frame->body_len;
	queued->from = agent;
	queued->frame = *frame;
	queued->frame.body = g_memdup2(frame->body, frame->body_len);
	g_queue_push_tail(&agent->bench->frames, queued);
}

static void deliver_frames_(bench_t *bench)
{
	queued_frame_t *queued;

	while ((queued = g_queue_pop_head(&bench->frames))) {
		bench_agent_t *to =
			&bench->agents[queued->from == bench->agents];

		queued->frame.peer = queued->from->id;
		pl_view_frame(to->table, &queued->frame);
		g_free((void *)queued->frame.body);
		g_free(queued);
	}
}

static uint64_t fixed_random_(void *ctx)
{
	return 4;
}

static const pl_agent_ops_t ops_ = {
	.reply = on_reply_,
	.subscribe = on_subscribe_,
	.unsubscribe = on_unsubscribe_,
	.send_frame = on_send_frame_,
	.random = fixed_random_,
};

static void bench_init_(bench_t *bench)
{
	const pl_route_service_t *service;

	bench->timers = pl_timer_service_new(0);
	bench->routing = make_routing_(1, 0, 2);
	bench->mids = g_new0(uint16_t, CALLERS);
	g_queue_init(&bench->frames);
	service = pl_routing_service_at(bench->routing, 0);
	for (size_t i = 0; i < 2; i++) {
		bench_agent_t *agent = &bench->agents[i];
		pl_agent_params_t params = {
			.self = service->endpoints[i].agent,
			.boot = service->endpoints[i].boot,
			.unix_time_s = 1700000000,
		};

		agent->bench = bench;
		agent->id = params.self;
		agent->table =
			pl_view_table_new(&params, &ops_, agent, bench->timers);
		pl_view_set_routing(agent->table, bench->routing, service->id);
		pl_view_set_backend_present(agent->table, true);
	}
}

static void bench_finish_(bench_t *bench)
{
	for (size_t i = 0; i < 2; i++)
		pl_view_table_delete(bench->agents[i].table);
	deliver_frames_(bench);
	pl_routing_put(bench->routing);
	pl_timer_service_delete(bench->timers);
	g_free(bench->mids);
}

static void open_views_(bench_t *bench, uint32_t callers, uint32_t resources)
{
	for (uint32_t i = 0; i < callers; i++) {
		pl_forward_t forward = { .entry = 1 };
		pl_coap_msg_t msg = { .type = PL_COAP_CON,
				      .code = PL_COAP_GET,
				      .mid = (uint16_t)i,
				      .token_len = 4,
				      .has_observe = true,
				      .accept = -1 };

		forward.flow.caller = caller_addr_(i);
		forward.flow.caller.ip[1] = 0;
		snprintf(msg.path, sizeof(msg.path), "permits/view/%u",
			 i % resources);
		pl_view_register(bench->agents[0].table, &forward, &msg);
	}
}

static void notify_views_(bench_t *bench, uint64_t subscription,
			  uint32_t version)
{
	uint8_t body[BODY_BYTES] = { (uint8_t)version,
				     (uint8_t)(version >> 8) };
	pl_backend_reply_t reply = { .status = PL_BACKEND_ANSWERED,
				     .code = PL_COAP_CONTENT,
				     .content_format = 0,
				     .max_age_s = 60,
				     .body = body,
				     .body_len = sizeof(body) };

	pl_view_notify(bench->agents[0].table, subscription, &reply);
}

static void acknowledge_all_(bench_t *bench, uint32_t callers)
{
	for (uint32_t i = 0; i < callers; i++) {
		pl_forward_t forward = { .entry = 1 };
		pl_coap_msg_t msg = { .type = PL_COAP_ACK,
				      .mid = bench->mids[i] };
		pl_member_id_t next;

		forward.flow.caller = caller_addr_(i);
		forward.flow.caller.ip[1] = 0;
		pl_view_ack(bench->agents[0].table, &forward, &msg, &next);
	}
}

/* Runs until registrations are answered and paced replicas are sent. */
static void run_until_settled_(bench_t *bench)
{
	for (pl_ms_t now = SETTLE_STEP_MS; now <= SETTLE_MS;
	     now += SETTLE_STEP_MS) {
		pl_timer_service_advance(bench->timers, now);
		deliver_frames_(bench);
	}
}

static void measure_notifications_(void)
{
	sample_t rate = { 0 };

	for (uint32_t run = 0; run < REPETITIONS; run++) {
		bench_t bench = { 0 };
		double start;

		bench_init_(&bench);
		open_views_(&bench, WATCHERS, 1);
		notify_views_(&bench, 1, 0);
		run_until_settled_(&bench);
		bench.replies = 0;
		start = cpu_s_();
		for (uint32_t round = 1; round <= NOTIFY_ROUNDS; round++) {
			notify_views_(&bench, 1, round);
			acknowledge_all_(&bench, WATCHERS);
		}
		add_value_(&rate, (double)bench.replies / (cpu_s_() - start));
		bench_finish_(&bench);
	}
	print_sample_("notifications_per_s_per_core", &rate, "1/s", "-", "-");
}

static void measure_memory_(void)
{
	sample_t bytes = { 0 };
	sample_t rate = { 0 };
	sample_t copy = { 0 };
	sample_t copy_bytes = { 0 };

	for (uint32_t run = 0; run < REPETITIONS; run++) {
		bench_t bench = { 0 };
		size_t empty_bytes;
		size_t open_bytes;
		double start;

		bench_init_(&bench);
		empty_bytes = mallinfo2().uordblks;
		start = cpu_s_();
		open_views_(&bench, CALLERS, 20);
		add_value_(&rate, CALLERS / (cpu_s_() - start));
		for (uint64_t id = 1; id <= 20; id++)
			notify_views_(&bench, id, 0);
		open_bytes = mallinfo2().uordblks;
		add_value_(&bytes,
			   (double)(open_bytes - empty_bytes) / CALLERS);
		run_until_settled_(&bench);
		add_value_(&copy, (double)(mallinfo2().uordblks - open_bytes) /
					  CALLERS);
		add_value_(&copy_bytes, (double)bench.frame_bytes / CALLERS);
		bench_finish_(&bench);
	}
	print_sample_("agent_bytes_per_open_view", &bytes, "bytes", "-",
		      "1000");
	print_sample_("agent_bytes_per_copy_held", &copy, "bytes", "-", "1000");
	print_sample_("frame_bytes_per_copy", &copy_bytes, "bytes", "-", "100");
	print_sample_("registrations_per_s_per_core", &rate, "1/s", "-", "-");
}

static void measure_handover_(void)
{
	sample_t rate = { 0 };
	sample_t bytes = { 0 };

	for (uint32_t run = 0; run < REPETITIONS; run++) {
		bench_t bench = { 0 };
		double start;

		bench_init_(&bench);
		open_views_(&bench, CALLERS, 20);
		for (uint64_t id = 1; id <= 20; id++)
			notify_views_(&bench, id, 0);
		run_until_settled_(&bench);
		bench.frame_bytes = 0;
		start = cpu_s_();
		pl_view_drain(bench.agents[0].table);
		deliver_frames_(&bench);
		add_value_(&rate, CALLERS / (cpu_s_() - start));
		add_value_(&bytes, (double)bench.frame_bytes / CALLERS);
		if (pl_view_count(bench.agents[1].table) != CALLERS)
			printf("# hand-over did not complete\n");
		bench_finish_(&bench);
	}
	print_sample_("handover_views_per_s_per_core", &rate, "1/s", "-", "-");
	print_sample_("handover_bytes_per_view", &bytes, "bytes", "-", "300");
}

static double views_max_over_mean_(const fake_t *fake)
{
	unsigned int counts[ENDPOINTS] = { 0 };

	for (unsigned int i = 0; i < ENDPOINTS; i++)
		counts[i] = (unsigned int)pl_view_count(fake->agents[i].table);
	return max_over_mean_(counts, ENDPOINTS);
}

/*
 * Balance after a rolling restart of all endpoints (the baseline), and after
 * views have returned to their home endpoints.
 */
static void measure_rolling_restart_(void)
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
	snprintf(baseline, sizeof(baseline), "%.4g",
		 views_max_over_mean_(fake));
	while (views_max_over_mean_(fake) > 1.1 && seconds < 1000) {
		fake_run(fake, 1000);
		seconds++;
	}
	printf("# %u s of virtual time until the views had returned, "
	       "%u callers outdated\n",
	       seconds, fake_outdated_callers(fake));
	add_value_(&after, views_max_over_mean_(fake));
	print_sample_("imbalance_views_after_roll", &after, "max/mean",
		      baseline, "1.25");
	fake_delete(fake);
}

int main(void)
{
	/* view tables log every batch while they drain */
	g_log_set_writer_func(g_log_writer_standard_streams, NULL, NULL);
	g_setenv("G_MESSAGES_DEBUG", "", TRUE);
	measure_placement_();
	measure_routing_table_();
	measure_notifications_();
	measure_memory_();
	measure_handover_();
	measure_rolling_restart_();
	return 0;
}
