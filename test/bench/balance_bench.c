/**
 * @file
 * Imbalance of work in progress at 70 % load: the entry core in virtual time
 * before endpoints that are modelled as slots with a queue.
 *
 * Three entries, seven endpoints of five slots, 2,000 callers, service times
 * of 20 to 60 ms. Each request comes through a random entry; its answer
 * carries the expected wait at the endpoint back through another. Reported is
 * the busiest endpoint's work in progress over the mean, averaged over ten
 * seconds, for two choices and for the plain hash.
 */
#include <pimentolift/coap_msg.h>
#include <pimentolift/entry.h>

#include <glib.h>
#include <stdio.h>
#include <stdlib.h>

#define REPEATS 7
#define ENTRIES 3
#define ENDPOINTS 7
#define SLOTS 5
#define CALLERS 2000
#define SERVICE_MIN_MS 20
#define SERVICE_MAX_MS 60
#define SERVICE_MEAN_MS 40
#define LOAD 0.7
#define WARM_MS 2000
#define RUN_MS 12000

typedef struct {
	unsigned int running;
	unsigned int queued;
	unsigned int ends[RUN_MS + SERVICE_MAX_MS + 1]; /* by millisecond */
	double work; /* sum of work in progress over the measured time */
} model_t;

typedef struct {
	GRand *rand;
	pl_routing_t *routing;
	pl_load_table_t *loads[ENTRIES];
	pl_entry_t *entries[ENTRIES];
	model_t models[ENDPOINTS];
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

static int random_(bench_t *bench, int limit)
{
	return g_rand_int_range(bench->rand, 0, limit);
}

static uint32_t wait_ms_(const model_t *model)
{
	return model->queued * SERVICE_MEAN_MS / SLOTS;
}

static void start_(bench_t *bench, model_t *model, unsigned int now)
{
	int took = SERVICE_MIN_MS +
		   random_(bench, SERVICE_MAX_MS - SERVICE_MIN_MS + 1);

	model->running++;
	model->ends[now + (unsigned int)took]++;
}

static void arrive_(bench_t *bench, unsigned int now)
{
	pl_addr_t caller = { .ip = { 198, 51, 100, 1 },
			     .family = PL_ADDR_IPV4 };
	pl_counter_t dropped;
	pl_forward_t forward;
	pl_member_id_t agent;
	model_t *model;

	caller.port = (uint16_t)(1024 + random_(bench, CALLERS));
	if (pl_entry_route(bench->entries[random_(bench, ENTRIES)],
			   bench->routing, &caller, &bench->address, bench->pdu,
			   bench->pdu_len, now, &agent, &forward,
			   &dropped) != PL_OK)
		abort();
	model = &bench->models[agent - 1];
	if (model->running < SLOTS)
		start_(bench, model, now);
	else
		model->queued++;
}

static void finish_(bench_t *bench, size_t at, unsigned int now)
{
	model_t *model = &bench->models[at];

	for (; model->ends[now] > 0; model->ends[now]--) {
		pl_reply_t reply = { .agent = at + 1 };

		model->running--;
		if (model->queued > 0) {
			model->queued--;
			start_(bench, model, now);
		}
		reply.flow.address = bench->address;
		reply.flow.service = pl_service_id("permits");
		reply.load = wait_ms_(model);
		pl_entry_reply(bench->entries[random_(bench, ENTRIES)],
			       bench->routing, &reply, now);
	}
}

static void step_(bench_t *bench, unsigned int now)
{
	const double rate = LOAD * ENDPOINTS * SLOTS / SERVICE_MEAN_MS;

	for (size_t i = 0; i < ENDPOINTS; i++)
		finish_(bench, i, now);
	/* two chances a millisecond come close to random arrivals */
	for (int i = 0; i < 2; i++) {
		if (g_rand_double(bench->rand) < rate / 2)
			arrive_(bench, now);
	}
	for (size_t i = 0; i < ENDPOINTS && now >= WARM_MS; i++)
		bench->models[i].work +=
			bench->models[i].running + bench->models[i].queued;
}

static double imbalance_(const bench_t *bench)
{
	double most = 0;
	double sum = 0;

	for (size_t i = 0; i < ENDPOINTS; i++) {
		most = MAX(most, bench->models[i].work);
		sum += bench->models[i].work;
	}
	return most / (sum / ENDPOINTS);
}

static double run_(const pl_entry_policy_t *policy, uint32_t seed)
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
		step_(bench, now);
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

static int compare_(const void *a, const void *b)
{
	const double *left = a;
	const double *right = b;

	return (*left > *right) - (*left < *right);
}

int main(void)
{
	double two[REPEATS];
	double hash[REPEATS];

	for (uint32_t i = 0; i < REPEATS; i++) {
		two[i] = run_(&pl_entry_policy_two_choices, i + 1);
		hash[i] = run_(&pl_entry_policy_hash, i + 1);
	}
	qsort(two, REPEATS, sizeof(two[0]), compare_);
	qsort(hash, REPEATS, sizeof(hash[0]), compare_);
	printf("imbalance_work %.3f max/mean %.3f 1.25 (%.3f to %.3f of %d)\n",
	       two[REPEATS / 2], hash[REPEATS / 2], two[0], two[REPEATS - 1],
	       REPEATS);
	return 0;
}
