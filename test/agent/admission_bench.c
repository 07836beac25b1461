/**
 * @file
 * Measures admission against a first-in-first-out queue, in virtual time and
 * on one agent with five slots. Prints lines "name value unit baseline
 * target"; value and baseline are the median of several seeds, with the
 * lowest and the highest behind a '#'.
 */
#include "fixture.h"
#include "private/agent_private.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define SLOTS 5
#define REPEATS 7
#define SERVICE_MS 40 /* mean of short work */
#define LONG_FACTOR 100
#define DEADLINE_MS 1000
#define BASE_SHARE 0.3
#define STEP_FACTOR 10
#define CREST_MS 10000
#define LEAD_MS 20000
#define TAIL_MS 20000
#define RTT_MS 6
#define BLOCK 1024
#define LONG_BLOCKS 16

/** What one request was told, and whether it ran. */
typedef struct {
	pl_ms_t sent;
	pl_ms_t told;
	uint8_t code;
	bool post;
	bool ran;
} job_t;

/** A request at the backend server. */
typedef struct {
	backend_call_t *call;
	pl_ms_t due;
} running_t;

/** A job whose caller comes back. */
typedef struct {
	uint32_t job;
	pl_ms_t due;
} return_t;

typedef struct {
	fixture_t *f;
	GArray *jobs;
	GArray *running;
	GArray *returns;
	guint seen; /**< calls looked at */
	bool come_back;
} load_t;

static double random_(load_t *l)
{
	return g_rand_double(l->f->rand);
}

static load_t *load_new_(uint32_t seed, const pl_admission_policy_t *policy)
{
	load_t *l = g_new0(load_t, 1);
	node_t *node;

	l->f = fixture_new(1, seed);
	node = &l->f->nodes[0];
	l->f->policy.deadline_ms = DEADLINE_MS;
	l->f->policy.short_slots = SLOTS - 1;
	l->f->policy.queue_max = 2000;
	fixture_route(l->f);
	pl_agent_set_backend(node->agent, pl_service_id("permits"), SLOTS);
	pl_agent_set_admission(node->agent, policy);
	l->jobs = g_array_new(FALSE, TRUE, sizeof(job_t));
	l->running = g_array_new(FALSE, TRUE, sizeof(running_t));
	l->returns = g_array_new(FALSE, TRUE, sizeof(return_t));
	return l;
}

static void load_delete_(load_t *l)
{
	fixture_delete(l->f);
	g_array_free(l->jobs, TRUE);
	g_array_free(l->running, TRUE);
	g_array_free(l->returns, TRUE);
	g_free(l);
}

static void address_(load_t *l, uint32_t job)
{
	memcpy(l->f->caller.ip, &job, sizeof(job));
}

static void send_(load_t *l, uint32_t job, const uint8_t *echo)
{
	bool post = g_array_index(l->jobs, job_t, job).post;
	ask_t ask = {
		.type = PL_COAP_NON,
		.code = post ? PL_COAP_POST : PL_COAP_GET,
		.path = "permits",
		.long_token = job + 1,
		.payload = post ? (const char *)&job : NULL,
		.payload_len = post ? sizeof(job) : 0,
		.echo = echo,
		.echo_len = PL_TICKET_BYTES,
	};

	address_(l, job);
	fixture_ask(l->f, 0, &ask);
}

static uint32_t start_(load_t *l, bool post)
{
	job_t job = { .sent = l->f->now, .post = post };

	g_array_append_val(l->jobs, job);
	send_(l, l->jobs->len - 1, NULL);
	return l->jobs->len - 1;
}

/* A whole upload, which is long work by its size. */
static void start_upload_(load_t *l)
{
	static const char data[BLOCK];
	job_t job = { .sent = l->f->now };
	uint8_t echo[PL_TICKET_BYTES];
	pl_coap_msg_t msg;
	ask_t ask = {
		.code = PL_COAP_POST,
		.path = "photos",
		.payload = data,
		.payload_len = BLOCK,
		.block1 = { .present = true, .more = true, .szx = 6 },
	};

	g_array_append_val(l->jobs, job);
	address_(l, l->jobs->len - 1);
	ask.long_token = l->jobs->len;
	fixture_ask(l->f, 0, &ask);
	fixture_expect(l->f, PL_COAP_UNAUTHORIZED, &msg);
	memcpy(echo, msg.echo, sizeof(echo));
	ask.echo = echo;
	ask.echo_len = sizeof(echo);
	for (uint32_t num = 0; num < LONG_BLOCKS; num++) {
		ask.block1.num = num;
		ask.block1.more = num + 1 < LONG_BLOCKS;
		fixture_ask(l->f, 0, &ask);
		ask.echo = NULL;
	}
}

static void take_replies_(load_t *l)
{
	pl_coap_msg_t msg;
	uint32_t token;

	while (fixture_reply(l->f, &msg)) {
		job_t *job;

		if (msg.code == PL_COAP_EMPTY || msg.code == PL_COAP_CONTINUE)
			continue;
		memcpy(&token, msg.token, sizeof(token));
		job = &g_array_index(l->jobs, job_t, token - 1);
		if (msg.code == PL_COAP_UNAUTHORIZED) {
			send_(l, token - 1, msg.echo);
			continue;
		}
		job->told = l->f->now;
		job->code = msg.code;
		if (msg.code == PL_COAP_UNAVAILABLE && l->come_back) {
			return_t back = { token - 1,
					  l->f->now + (pl_ms_t)msg.max_age_s *
							      1000 };

			g_array_append_val(l->returns, back);
		}
	}
}

static void serve_(load_t *l)
{
	for (; l->seen < l->f->calls->len; l->seen++) {
		running_t r = { .call = l->f->calls->pdata[l->seen] };
		double ms = SERVICE_MS * (0.5 + random_(l));

		if (strcmp(r.call->path, "photos") == 0)
			ms *= LONG_FACTOR;
		r.due = l->f->now + (pl_ms_t)ms;
		g_array_append_val(l->running, r);
	}
	for (guint i = 0; i < l->running->len;) {
		running_t r = g_array_index(l->running, running_t, i);

		if (r.due > l->f->now) {
			i++;
			continue;
		}
		if (strcmp(r.call->path, "permits") == 0 &&
		    g_bytes_get_size(r.call->body) > 0) {
			uint32_t job;

			memcpy(&job, g_bytes_get_data(r.call->body, NULL),
			       sizeof(job));
			g_array_index(l->jobs, job_t, job).ran = true;
		}
		g_array_remove_index_fast(l->running, i);
		fixture_end_call(l->f, r.call, PL_BACKEND_ANSWERED, NULL, 0);
	}
}

static void arrive_(load_t *l, double per_ms, double uploads_per_ms)
{
	while (per_ms > 0) {
		if (random_(l) < per_ms)
			start_(l, random_(l) < 0.3);
		per_ms -= 1;
	}
	if (random_(l) < uploads_per_ms) {
		take_replies_(l);
		start_upload_(l);
	}
	for (guint i = 0; i < l->returns->len;) {
		return_t back = g_array_index(l->returns, return_t, i);

		if (back.due > l->f->now) {
			i++;
			continue;
		}
		g_array_remove_index_fast(l->returns, i);
		start_(l, g_array_index(l->jobs, job_t, back.job).post);
	}
}

static void run_(load_t *l, pl_ms_t for_ms, double per_ms,
		 double uploads_per_ms)
{
	pl_ms_t end = l->f->now + for_ms;

	while (l->f->now < end) {
		fixture_advance(l->f, 1);
		arrive_(l, per_ms, uploads_per_ms);
		serve_(l);
		take_replies_(l);
	}
}

/* Share of what the slots could serve that was answered in time. */
static double crest_(uint32_t seed, const pl_admission_policy_t *policy,
		     double *falsely)
{
	load_t *l = load_new_(seed, policy);
	double capacity = (double)SLOTS / SERVICE_MS;
	pl_ms_t from;
	pl_ms_t until;
	double answered = 0;

	l->come_back = true;
	run_(l, LEAD_MS, capacity * BASE_SHARE, 0);
	from = l->f->now;
	run_(l, CREST_MS, capacity * BASE_SHARE * STEP_FACTOR, 0);
	until = l->f->now;
	run_(l, TAIL_MS, capacity * BASE_SHARE, 0);
	for (guint i = 0; i < l->jobs->len; i++) {
		const job_t *job = &g_array_index(l->jobs, job_t, i);

		if (job->told >= from && job->told < until && job->code < 96 &&
		    job->told + RTT_MS <= job->sent + DEADLINE_MS)
			answered++;
		if (job->code == PL_COAP_UNAVAILABLE && job->ran)
			*falsely += 1;
	}
	load_delete_(l);
	return answered / (capacity * CREST_MS);
}

static gint compare_(gconstpointer left, gconstpointer right)
{
	double a = *(const double *)left;
	double b = *(const double *)right;

	return (a > b) - (a < b);
}

/* 99th percentile of the latency of short work, in milliseconds. */
static double short_p99_(uint32_t seed, const pl_admission_policy_t *policy,
			 double long_share)
{
	load_t *l = load_new_(seed, policy);
	GArray *latency = g_array_new(FALSE, FALSE, sizeof(double));
	double uploads = long_share / (SERVICE_MS * LONG_FACTOR);
	double p99;

	run_(l, 300000, 2.0 / SERVICE_MS, uploads);
	for (guint i = 0; i < l->jobs->len; i++) {
		const job_t *job = &g_array_index(l->jobs, job_t, i);
		double ms = (double)(job->told - job->sent);

		if (job->post && job->told != 0)
			g_array_append_val(latency, ms);
	}
	g_array_sort(latency, compare_);
	p99 = g_array_index(latency, double, latency->len * 99 / 100);
	g_array_free(latency, TRUE);
	load_delete_(l);
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
	double told[REPEATS] = { 0 };
	double told_fifo[REPEATS] = { 0 };

	for (uint32_t i = 0; i < REPEATS; i++) {
		value[i] = crest_(i + 1, &pl_admission_deadline, &told[i]);
		baseline[i] = crest_(i + 1, &pl_admission_fifo, &told_fifo[i]);
	}
	print_("crest_answered_in_deadline", value, baseline, "share",
	       ">=0.95");
	print_("crest_told_falsely", told, told_fifo, "requests", "0");
	for (uint32_t i = 0; i < REPEATS; i++) {
		value[i] = short_p99_(i + 1, &pl_admission_deadline, 0.8) /
			   short_p99_(i + 1, &pl_admission_deadline, 0);
		baseline[i] = short_p99_(i + 1, &pl_admission_fifo, 0.8) /
			      short_p99_(i + 1, &pl_admission_fifo, 0);
	}
	print_("short_p99_with_long_over_without", value, baseline, "ratio",
	       "<=1.5");
	return 0;
}
