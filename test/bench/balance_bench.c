/**
 * @file
 * Measures the imbalance of work in progress at 70 % load. The core of the
 * entry runs in virtual time; each endpoint is modelled as slots with a queue.
 *
 * Three entries, seven endpoints of five slots, 2,000 callers, service times
 * of 20 to 60 ms. Each request arrives at a random entry. Its response passes
 * through a random entry too and carries the expected wait at the endpoint.
 * The result is the work in progress at the busiest endpoint divided by the
 * mean, averaged over ten seconds, for the two-choices policy and for the
 * plain hash.
 */
#include <pimentolift/coap_msg.h>
#include <pimentolift/entry.h>

#include <glib.h>
#include <stdio.h>
#include <stdlib.h>

#define REPETITIONS 7
#define ENTRIES 3
#define ENDPOINTS 7
#define SLOTS 5
#define CALLERS 2000
#define SERVICE_MIN_MS 20
#define SERVICE_MAX_MS 60
#define SERVICE_MEAN_MS 40
#define LOAD_FRACTION 0.7
#define WARM_UP_MS 2000
#define RUN_MS 12000

typedef struct {
	unsigned int running;
	unsigned int queued;
	unsigned int ends_at[RUN_MS + SERVICE_MAX_MS + 1]; /* requests by ms */
	double work_sum; /* work in progress, summed over each measured ms */
} endpoint_model_t;

typedef struct {
	GRand *rand;
	pl_routing_t *routing;
	pl_load_table_t *loads[ENTRIES];
	pl_entry_t *entries[ENTRIES];
	endpoint_model_t models[ENDPOINTS];
	pl_addr_t address;
	uint8_t pdu[PL_COAP_DATAGRAM_MAX];
	size_t pdu_len;
} bench_t;

static void make_routing_(bench_t *bench)
{
	const pl_service_policy_t policy = { .deadline_ms = 1000 };
	pl_routing_builder_t *builder = pl_routing_builder_new(1);

	pl_addr_parse("192.0.2.10:5683", &bench->address, NULL);
	pl_routing_builder_service(builder, "permits", &policy);
	pl_routing_builder_address(builder, pl_service_id("permits"),
				   &bench->address);
	for (pl_member_id_t i = 1; i <= ENDPOINTS; i++) {
		const pl_endpoint_t endpoint = { .agent = i,
						 .boot = 1,
						 .service = pl_service_id(
							 "permits"),
						 .weight = PL_WEIGHT_FULL };

		pl_routing_builder_endpoint(builder, &endpoint);
	}
	bench->routing = pl_routing_builder_finish(builder);
}

static void make_pdu_(bench_t *bench)
{
	pl_coap_writer_t writer;

	pl_coap_write_start(&writer, bench->pdu, sizeof(bench->pdu),
			    PL_COAP_CON, PL_COAP_GET, 1, NULL, 0);
	bench->pdu_len = pl_coap_write_end(&writer);
}

static int random_below_(bench_t *bench, int limit)
{
	return g_rand_int_range(bench->rand, 0, limit);
}

static uint32_t expected_wait_ms_(const endpoint_model_t *model)
{
	return model->queued * SERVICE_MEAN_MS / SLOTS;
}

static void start_request_(bench_t *bench, endpoint_model_t *model,
			   unsigned int now)
{
	int duration_ms =
		SERVICE_MIN_MS +
		random_below_(bench, SERVICE_MAX_MS - SERVICE_MIN_MS + 1);

	model->running++;
	model->ends_at[now + (unsigned int)duration_ms]++;
}

static void route_request_(bench_t *bench, unsigned int now)
{
	pl_addr_t caller = { .ip = { 198, 51, 100, 1 },
			     .family = PL_ADDR_IPV4 };
	pl_counter_t dropped;
	pl_forward_t forward;
	pl_member_id_t agent;
	endpoint_model_t *model;

	caller.port = (uint16_t)(1024 + random_below_(bench, CALLERS));
	if (pl_entry_route(bench->entries[random_below_(bench, ENTRIES)],
			   bench->routing, &caller, &bench->address, bench->pdu,
			   bench->pdu_len, now, &agent, &forward,
			   &dropped) != PL_OK)
		abort();
	model = &bench->models[agent - 1];
	if (model->running < SLOTS)
		start_request_(bench, model, now);
	else
		model->queued++;
}

static void finish_requests_(bench_t *bench, size_t at, unsigned int now)
{
	endpoint_model_t *model = &bench->models[at];

	for (; model->ends_at[now] > 0; model->ends_at[now]--) {
		pl_reply_t reply = { .agent = at + 1 };

		model->running--;
		if (model->queued > 0) {
			model->queued--;
			start_request_(bench, model, now);
		}
		reply.flow.address = bench->address;
		reply.flow.service = pl_service_id("permits");
		reply.load_ms = expected_wait_ms_(model);
		pl_entry_reply(bench->entries[random_below_(bench, ENTRIES)],
			       bench->routing, &reply, now);
	}
}

static void advance_ms_(bench_t *bench, unsigned int now)
{
	const double rate = LOAD_FRACTION * ENDPOINTS * SLOTS / SERVICE_MEAN_MS;

	for (size_t i = 0; i < ENDPOINTS; i++)
		finish_requests_(bench, i, now);
	/* two chances per ms approximate Poisson arrivals */
	for (int i = 0; i < 2; i++) {
		if (g_rand_double(bench->rand) < rate / 2)
			route_request_(bench, now);
	}
	for (size_t i = 0; i < ENDPOINTS && now >= WARM_UP_MS; i++)
		bench->models[i].work_sum +=
			bench->models[i].running + bench->models[i].queued;
}

static double imbalance_(const bench_t *bench)
{
	double max = 0;
	double sum = 0;

	for (size_t i = 0; i < ENDPOINTS; i++) {
		max = MAX(max, bench->models[i].work_sum);
		sum += bench->models[i].work_sum;
	}
	return max / (sum / ENDPOINTS);
}

static double run_policy_(const pl_entry_policy_t *policy, uint32_t seed)
{
	bench_t *bench = g_new0(bench_t, 1);
	double result;

	bench->rand = g_rand_new_with_seed(seed);
	make_routing_(bench);
	make_pdu_(bench);
	for (int i = 0; i < ENTRIES; i++) {
		bench->loads[i] = pl_load_table_new();
		bench->entries[i] = pl_entry_new(9, policy, bench->loads[i]);
	}
	for (unsigned int now = 0; now < RUN_MS; now++)
		advance_ms_(bench, now);
	result = imbalance_(bench);
	for (int i = 0; i < ENTRIES; i++) {
		pl_entry_delete(bench->entries[i]);
		pl_load_table_delete(bench->loads[i]);
	}
	pl_routing_put(bench->routing);
	g_rand_free(bench->rand);
	g_free(bench);
	return result;
}

static int compare_doubles_(const void *a, const void *b)
{
	const double *left = a;
	const double *right = b;

	return (*left > *right) - (*left < *right);
}

int main(void)
{
	double two[REPETITIONS];
	double hash[REPETITIONS];

	for (uint32_t i = 0; i < REPETITIONS; i++) {
		two[i] = run_policy_(&pl_entry_policy_two_choices, i + 1);
		hash[i] = run_policy_(&pl_entry_policy_hash, i + 1);
	}
	qsort(two, REPETITIONS, sizeof(two[0]), compare_doubles_);
	qsort(hash, REPETITIONS, sizeof(hash[0]), compare_doubles_);
	printf("imbalance_work %.3f max/mean %.3f 1.25 (%.3f to %.3f of %d)\n",
	       two[REPETITIONS / 2], hash[REPETITIONS / 2], two[0],
	       two[REPETITIONS - 1], REPETITIONS);
	return 0;
}
