/**
 * @file
 * Compares the admission policy with a first-in-first-out queue, in virtual
 * time and on one agent with five slots. Prints lines "name value unit baseline
 * target"; value and baseline are medians over several seeds, followed after a
 * '#' by the minimum and maximum of each.
 */
#include "fixture.h"
#include "private/agent_private.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define SLOTS 5
#define REPEATS 7
/** Mean service time of short work. */
#define SERVICE_MS 40
/** Service time of long work as a multiple of SERVICE_MS. */
#define LONG_FACTOR 100
#define DEADLINE_MS 1000
/** Load before and after the step, as a share of the capacity. */
#define BASE_LOAD_SHARE 0.3
/** Load during the step, as a multiple of the base load. */
#define STEP_FACTOR 10
#define STEP_MS 10000
#define WARMUP_MS 20000
#define COOLDOWN_MS 20000
/** Round-trip time between caller and agent, added to each latency. */
#define RTT_MS 6
#define BLOCK 1024
#define LONG_BLOCKS 16

/** One request: its response, and whether the backend server ran it. */
typedef struct {
	pl_ms_t sent;
	pl_ms_t responded_at;
	uint8_t code;
	bool post;
	bool ran;
} job_t;

/** A request at the backend server. */
typedef struct {
	backend_call_t *call;
	pl_ms_t due;
} running_t;

/** A refused job that its caller repeats after Max-Age. */
typedef struct {
	uint32_t job;
	pl_ms_t due;
} retry_t;

typedef struct {
	fixture_t *f;
	GArray *jobs;
	GArray *running;
	GArray *retries;
	guint calls_seen; /**< backend calls that were started */
	bool retry_refused;
} bench_t;

static double random_(bench_t *bench)
{
	return g_rand_double(bench->f->rand);
}

static bench_t *bench_new_(uint32_t seed, const pl_admission_policy_t *policy)
{
	bench_t *bench = g_new0(bench_t, 1);
	node_t *node;

	bench->f = fixture_new(1, seed);
	node = &bench->f->nodes[0];
	bench->f->policy.deadline_ms = DEADLINE_MS;
	bench->f->policy.short_slots = SLOTS - 1;
	bench->f->policy.queue_max = 2000;
	fixture_publish_routing(bench->f);
	pl_agent_set_backend(node->agent, pl_service_id("permits"), SLOTS);
	pl_agent_set_admission(node->agent, policy);
	bench->jobs = g_array_new(FALSE, TRUE, sizeof(job_t));
	bench->running = g_array_new(FALSE, TRUE, sizeof(running_t));
	bench->retries = g_array_new(FALSE, TRUE, sizeof(retry_t));
	return bench;
}

static void bench_delete_(bench_t *bench)
{
	fixture_delete(bench->f);
	g_array_free(bench->jobs, TRUE);
	g_array_free(bench->running, TRUE);
	g_array_free(bench->retries, TRUE);
	g_free(bench);
}

static void set_caller_(bench_t *bench, uint32_t job)
{
	memcpy(bench->f->caller.ip, &job, sizeof(job));
}

static void send_(bench_t *bench, uint32_t job, const uint8_t *echo)
{
	bool post = g_array_index(bench->jobs, job_t, job).post;
	test_request_t request = {
		.type = PL_COAP_NON,
		.code = post ? PL_COAP_POST : PL_COAP_GET,
		.path = "permits",
		.long_token = job + 1,
		.payload = post ? (const char *)&job : NULL,
		.payload_len = post ? sizeof(job) : 0,
		.echo = echo,
		.echo_len = PL_TICKET_BYTES,
	};

	set_caller_(bench, job);
	fixture_send(bench->f, 0, &request);
}

static uint32_t start_job_(bench_t *bench, bool post)
{
	job_t job = { .sent = bench->f->now, .post = post };

	g_array_append_val(bench->jobs, job);
	send_(bench, bench->jobs->len - 1, NULL);
	return bench->jobs->len - 1;
}

/* Sends a complete upload, which is long work because of its size. */
static void start_upload_(bench_t *bench)
{
	static const char data[BLOCK];
	job_t job = { .sent = bench->f->now };
	uint8_t echo[PL_TICKET_BYTES];
	pl_coap_msg_t msg;
	test_request_t request = {
		.code = PL_COAP_POST,
		.path = "photos",
		.payload = data,
		.payload_len = BLOCK,
		.block1 = { .present = true, .more = true, .szx = 6 },
	};

	g_array_append_val(bench->jobs, job);
	set_caller_(bench, bench->jobs->len - 1);
	request.long_token = bench->jobs->len;
	fixture_send(bench->f, 0, &request);
	fixture_expect_reply(bench->f, PL_COAP_UNAUTHORIZED, &msg);
	memcpy(echo, msg.echo, sizeof(echo));
	request.echo = echo;
	request.echo_len = sizeof(echo);
	for (uint32_t num = 0; num < LONG_BLOCKS; num++) {
		request.block1.num = num;
		request.block1.more = num + 1 < LONG_BLOCKS;
		fixture_send(bench->f, 0, &request);
		request.echo = NULL;
	}
}

static void handle_replies_(bench_t *bench)
{
	pl_coap_msg_t msg;
	uint32_t token;

	while (fixture_take_reply(bench->f, &msg)) {
		job_t *job;

		if (msg.code == PL_COAP_EMPTY || msg.code == PL_COAP_CONTINUE)
			continue;
		memcpy(&token, msg.token, sizeof(token));
		job = &g_array_index(bench->jobs, job_t, token - 1);
		if (msg.code == PL_COAP_UNAUTHORIZED) {
			send_(bench, token - 1, msg.echo);
			continue;
		}
		job->responded_at = bench->f->now;
		job->code = msg.code;
		if (msg.code == PL_COAP_UNAVAILABLE && bench->retry_refused) {
			retry_t retry = {
				token - 1,
				bench->f->now + (pl_ms_t)msg.max_age_s * 1000
			};

			g_array_append_val(bench->retries, retry);
		}
	}
}

static void run_backend_server_(bench_t *bench)
{
	for (; bench->calls_seen < bench->f->calls->len; bench->calls_seen++) {
		running_t r = {
			.call = bench->f->calls->pdata[bench->calls_seen]
		};
		double ms = SERVICE_MS * (0.5 + random_(bench));

		if (strcmp(r.call->path, "photos") == 0)
			ms *= LONG_FACTOR;
		r.due = bench->f->now + (pl_ms_t)ms;
		g_array_append_val(bench->running, r);
	}
	for (guint i = 0; i < bench->running->len;) {
		running_t r = g_array_index(bench->running, running_t, i);

		if (r.due > bench->f->now) {
			i++;
			continue;
		}
		if (strcmp(r.call->path, "permits") == 0 &&
		    g_bytes_get_size(r.call->body) > 0) {
			uint32_t job;

			memcpy(&job, g_bytes_get_data(r.call->body, NULL),
			       sizeof(job));
			g_array_index(bench->jobs, job_t, job).ran = true;
		}
		g_array_remove_index_fast(bench->running, i);
		fixture_end_call(bench->f, r.call, PL_BACKEND_ANSWERED, NULL,
				 0);
	}
}

static void generate_arrivals_(bench_t *bench, double per_ms,
			       double uploads_per_ms)
{
	while (per_ms > 0) {
		if (random_(bench) < per_ms)
			start_job_(bench, random_(bench) < 0.3);
		per_ms -= 1;
	}
	if (random_(bench) < uploads_per_ms) {
		handle_replies_(bench);
		start_upload_(bench);
	}
	for (guint i = 0; i < bench->retries->len;) {
		retry_t retry = g_array_index(bench->retries, retry_t, i);

		if (retry.due > bench->f->now) {
			i++;
			continue;
		}
		g_array_remove_index_fast(bench->retries, i);
		start_job_(bench,
			   g_array_index(bench->jobs, job_t, retry.job).post);
	}
}

static void run_load_(bench_t *bench, pl_ms_t for_ms, double per_ms,
		      double uploads_per_ms)
{
	pl_ms_t end = bench->f->now + for_ms;

	while (bench->f->now < end) {
		fixture_advance(bench->f, 1);
		generate_arrivals_(bench, per_ms, uploads_per_ms);
		run_backend_server_(bench);
		handle_replies_(bench);
	}
}

/*
 * Returns the requests answered within their deadline during the load step, as
 * a share of the capacity. Adds to @p false_refusals the requests that were
 * refused although they ran.
 */
static double measure_step_(uint32_t seed, const pl_admission_policy_t *policy,
			    double *false_refusals)
{
	bench_t *bench = bench_new_(seed, policy);
	double capacity = (double)SLOTS / SERVICE_MS;
	pl_ms_t from;
	pl_ms_t until;
	double answered = 0;

	bench->retry_refused = true;
	run_load_(bench, WARMUP_MS, capacity * BASE_LOAD_SHARE, 0);
	from = bench->f->now;
	run_load_(bench, STEP_MS, capacity * BASE_LOAD_SHARE * STEP_FACTOR, 0);
	until = bench->f->now;
	run_load_(bench, COOLDOWN_MS, capacity * BASE_LOAD_SHARE, 0);
	for (guint i = 0; i < bench->jobs->len; i++) {
		const job_t *job = &g_array_index(bench->jobs, job_t, i);

		if (job->responded_at >= from && job->responded_at < until &&
		    job->code < 96 &&
		    job->responded_at + RTT_MS <= job->sent + DEADLINE_MS)
			answered++;
		if (job->code == PL_COAP_UNAVAILABLE && job->ran)
			*false_refusals += 1;
	}
	bench_delete_(bench);
	return answered / (capacity * STEP_MS);
}

static gint compare_(gconstpointer left, gconstpointer right)
{
	double a = *(const double *)left;
	double b = *(const double *)right;

	return (a > b) - (a < b);
}

/* Returns the 99th percentile of the latency of short work, in ms. */
static double measure_short_p99_(uint32_t seed,
				 const pl_admission_policy_t *policy,
				 double long_share)
{
	bench_t *bench = bench_new_(seed, policy);
	GArray *latency = g_array_new(FALSE, FALSE, sizeof(double));
	double uploads = long_share / (SERVICE_MS * LONG_FACTOR);
	double p99;

	run_load_(bench, 300000, 2.0 / SERVICE_MS, uploads);
	for (guint i = 0; i < bench->jobs->len; i++) {
		const job_t *job = &g_array_index(bench->jobs, job_t, i);
		double ms = (double)(job->responded_at - job->sent);

		if (job->post && job->responded_at != 0)
			g_array_append_val(latency, ms);
	}
	g_array_sort(latency, compare_);
	p99 = g_array_index(latency, double, latency->len * 99 / 100);
	g_array_free(latency, TRUE);
	bench_delete_(bench);
	return p99;
}

static void print_(const char *name, double *value, double *baseline,
		   const char *unit, const char *target)
{
	qsort(value, REPEATS, sizeof(*value), compare_);
	qsort(baseline, REPEATS, sizeof(*baseline), compare_);
	printf("%s %.3f %s %.3f %s # %.3f..%.3f against %.3f..%.3f\n", name,
	       value[REPEATS / 2], unit, baseline[REPEATS / 2], target,
	       value[0], value[REPEATS - 1], baseline[0],
	       baseline[REPEATS - 1]);
}

int main(void)
{
	double value[REPEATS];
	double baseline[REPEATS];
	double false_refusals[REPEATS] = { 0 };
	double false_refusals_fifo[REPEATS] = { 0 };

	for (uint32_t i = 0; i < REPEATS; i++) {
		value[i] = measure_step_(i + 1, &pl_admission_deadline,
					 &false_refusals[i]);
		baseline[i] = measure_step_(i + 1, &pl_admission_fifo,
					    &false_refusals_fifo[i]);
	}
	print_("crest_answered_in_deadline", value, baseline, "share",
	       ">=0.95");
	print_("crest_told_falsely", false_refusals, false_refusals_fifo,
	       "requests", "0");
	for (uint32_t i = 0; i < REPEATS; i++) {
		value[i] =
			measure_short_p99_(i + 1, &pl_admission_deadline, 0.8) /
			measure_short_p99_(i + 1, &pl_admission_deadline, 0);
		baseline[i] =
			measure_short_p99_(i + 1, &pl_admission_fifo, 0.8) /
			measure_short_p99_(i + 1, &pl_admission_fifo, 0);
	}
	print_("short_p99_with_long_over_without", value, baseline, "ratio",
	       "<=1.5");
	return 0;
}
