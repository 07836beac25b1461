/* Replays loads against the policies for the order of waiting work. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#include <glib.h>
#include <pimentolift/balance/work_queue.h>

#define SLOTS 3
#define REQUEST_MS 48
#define GOAL_MS 400
#define ITEMS_MAX 20000
#define URGENT 1
#define USUAL 2
#define BURST_FROM_MS 2000
#define RUN_MS 20000
#define THOUSANDTHS 1000

/* A load on one server; rates are in thousandths of what it serves. */
typedef struct {
	unsigned int usual;
	unsigned int burst;
	pl_ms_t burst_ms;
	unsigned int urgent; /* of the more urgent priority, all the time */
	pl_ms_t patience_ms; /* after which callers give up */
} load_t;

typedef struct {
	unsigned int arrived;
	unsigned int in_time;
	unsigned int late;
} outcome_t;

typedef struct {
	outcome_t urgent;
	outcome_t usual;
} result_t;

static bool can_start_(void *ctx, const pl_work_t *work)
{
	(void)ctx;
	(void)work;
	return true;
}

/* Earliest deadline first: serves as many as any order does, and all late. */
static pl_work_t *next_by_deadline_(pl_work_queue_t *queue,
				    const pl_work_query_t *query)
{
	pl_work_t *best = NULL;

	(void)query;
	pl_list_for_each(link, &queue->waiting) {
		pl_work_t *work = PL_CONTAINER_OF(link, pl_work_t, link);

		if (!best || work->expires < best->expires)
			best = work;
	}
	return best;
}

static const pl_work_order_t by_deadline_ = { "deadline", next_by_deadline_ };

typedef struct {
	const load_t *load;
	GRand *random;
	pl_work_queue_t queue;
	pl_ms_t free_at[SLOTS];
	pl_work_t *items;
	unsigned int count;
	bool drops; /* work whose caller has given up */
	result_t result;
} replay_t;

static void arrive_(replay_t *replay, unsigned int rate, uint32_t priority,
		    pl_ms_t now)
{
	bool urgent = priority == URGENT;
	outcome_t *outcome =
		urgent ? &replay->result.urgent : &replay->result.usual;
	pl_work_t *work;

	if (g_rand_double(replay->random) * REQUEST_MS * THOUSANDTHS >=
	    rate * SLOTS)
		return;
	assert_true(replay->count < ITEMS_MAX);
	work = &replay->items[replay->count++];
	pl_work_init(work);
	work->priority = priority;
	work->due = now + GOAL_MS;
	work->expires = now + replay->load->patience_ms;
	pl_work_queue_note_arrival(&replay->queue, now);
	pl_work_queue_add(&replay->queue, work, now);
	outcome->arrived++;
}

static void start_(replay_t *replay, pl_ms_t *free_at, pl_ms_t now)
{
	const pl_work_query_t query = { .now = now,
					.request_ms = REQUEST_MS,
					.slots = SLOTS,
					.can_start = can_start_ };
	outcome_t *outcome;
	pl_work_t *work;

	while (replay->drops &&
	       (work = pl_work_queue_expired(&replay->queue, now)))
		pl_work_queue_remove(&replay->queue, work);
	work = pl_work_queue_pop(&replay->queue, &query);
	if (!work)
		return;
	*free_at =
		now + (pl_ms_t)g_rand_int_range(replay->random, REQUEST_MS / 2,
						REQUEST_MS * 3 / 2 + 1);
	outcome = work->priority == URGENT ? &replay->result.urgent :
					     &replay->result.usual;
	if (*free_at <= work->due)
		outcome->in_time++;
	else if (*free_at <= work->expires)
		outcome->late++;
}

static result_t replay_(const load_t *load, const pl_work_order_t *order,
			bool drops)
{
	replay_t replay = { .load = load,
			    .random = g_rand_new_with_seed(7),
			    .items = g_new0(pl_work_t, ITEMS_MAX),
			    .drops = drops };

	pl_work_queue_init(&replay.queue, order);
	for (pl_ms_t now = 0; now < RUN_MS; now++) {
		bool burst = now >= BURST_FROM_MS &&
			     now < BURST_FROM_MS + load->burst_ms;

		arrive_(&replay, load->urgent, URGENT, now);
		arrive_(&replay, burst ? load->burst : load->usual, USUAL, now);
		for (unsigned int i = 0; i < SLOTS; i++) {
			if (replay.free_at[i] <= now)
				start_(&replay, &replay.free_at[i], now);
		}
	}
	g_rand_free(replay.random);
	g_free(replay.items);
	return replay.result;
}

static double share_(unsigned int part, const outcome_t *outcome)
{
	return (double)part / outcome->arrived;
}

static double unserved_(const outcome_t *outcome)
{
	return 1 - share_(outcome->in_time + outcome->late, outcome);
}

static outcome_t print_(const char *name, outcome_t outcome)
{
	print_message("%-10s in time %.3f, unserved %.3f\n", name,
		      share_(outcome.in_time, &outcome), unserved_(&outcome));
	return outcome;
}

/* Outcomes of one load under all policies, on the same arrivals. */
typedef struct {
	outcome_t arrival; /* naive */
	outcome_t before; /* serves callers that have given up */
	outcome_t deadline;
	outcome_t rescue;
} comparison_t;

static comparison_t compare_(const load_t *load)
{
	return (comparison_t){
		.arrival = print_(
			"arrival",
			replay_(load, &pl_work_order_arrival, false).usual),
		.before = print_(
			"due", replay_(load, &pl_work_order_due, false).usual),
		.deadline = print_("deadline",
				   replay_(load, &by_deadline_, true).usual),
		.rescue = print_(
			"rescue",
			replay_(load, &pl_work_order_rescue, true).usual),
	};
}

/* Load pattern: 1.7 times the room for 3 s, callers that wait for 2 s. In a
 * short overload few need fail. */
static void short_burst_fails_few(void **state)
{
	const load_t load = { .usual = 600,
			      .burst = 1700,
			      .burst_ms = 3000,
			      .patience_ms = 2000 };
	const comparison_t seen = compare_(&load);

	(void)state;
	assert_true(unserved_(&seen.rescue) <= 0.6 * unserved_(&seen.before));
	assert_true(seen.rescue.in_time > seen.arrival.in_time);
	assert_true(seen.rescue.in_time > seen.deadline.in_time);
}

/* Load pattern: three times the room for 2 s, callers that wait for 5 s. */
static void patient_callers_of_a_threefold_burst_are_served(void **state)
{
	const load_t load = { .usual = 600,
			      .burst = 3000,
			      .burst_ms = 2000,
			      .patience_ms = 5000 };
	const comparison_t seen = compare_(&load);

	(void)state;
	assert_true(unserved_(&seen.rescue) <= 0.6 * unserved_(&seen.before));
	assert_true(seen.rescue.in_time > seen.arrival.in_time);
	assert_true(seen.rescue.in_time > seen.deadline.in_time);
}

/* Load pattern: three times the room for 2 s, callers that wait for 2 s. Not
 * all can be served; the order serves no fewer than by deadline. */
static void impatient_callers_of_a_threefold_burst(void **state)
{
	const load_t load = { .usual = 600,
			      .burst = 3000,
			      .burst_ms = 2000,
			      .patience_ms = 2000 };
	const comparison_t seen = compare_(&load);

	(void)state;
	assert_true(unserved_(&seen.rescue) < unserved_(&seen.before));
	assert_true(unserved_(&seen.rescue) <= unserved_(&seen.deadline));
	assert_true(seen.rescue.in_time > seen.deadline.in_time);
}

/* Load pattern: twice the room for 8 s. Half must fail in any order; the rest
 * is answered in time, not late. */
static void long_overload_does_not_make_all_late(void **state)
{
	const load_t load = { .usual = 600,
			      .burst = 2000,
			      .burst_ms = 8000,
			      .patience_ms = 2000 };
	const comparison_t seen = compare_(&load);

	(void)state;
	assert_true(seen.deadline.in_time < seen.before.in_time / 2);
	assert_true(seen.rescue.in_time >= seen.before.in_time * 0.9);
	assert_true(unserved_(&seen.rescue) < unserved_(&seen.before));
}

/* Load pattern: a less urgent class bursts to three times the room beside a
 * more urgent one, which must keep its aim. */
static void burst_does_not_delay_more_urgent_work(void **state)
{
	const load_t load = { .usual = 300,
			      .burst = 3000,
			      .burst_ms = 4000,
			      .urgent = 250,
			      .patience_ms = 2000 };
	const result_t seen = replay_(&load, &pl_work_order_rescue, true);

	(void)state;
	print_("urgent", seen.urgent);
	assert_true(share_(seen.urgent.in_time, &seen.urgent) > 0.99);
}

/* Load pattern: urgent work fills all slots; less urgent work gets its floor of
 * one slot in twelve. */
static void less_urgent_work_does_not_starve(void **state)
{
	const load_t load = { .usual = 300,
			      .urgent = 2000,
			      .patience_ms = 2000 };
	const result_t seen = replay_(&load, &pl_work_order_rescue, true);
	unsigned int served = seen.usual.in_time + seen.usual.late;

	(void)state;
	print_("usual", seen.usual);
	/* some take longer than their callers wait */
	assert_true(served * 12 >= RUN_MS / REQUEST_MS * SLOTS * 3 / 4);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(short_burst_fails_few),
		cmocka_unit_test(
			patient_callers_of_a_threefold_burst_are_served),
		cmocka_unit_test(impatient_callers_of_a_threefold_burst),
		cmocka_unit_test(long_overload_does_not_make_all_late),
		cmocka_unit_test(burst_does_not_delay_more_urgent_work),
		cmocka_unit_test(less_urgent_work_does_not_starve),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
