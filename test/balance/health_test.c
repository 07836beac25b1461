#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#include <pimentolift/balance/health.h>
#include <stdlib.h>

#define KIND 1
#define USUAL_MS 50
#define USUAL_BYTES 700
#define ERROR_BYTES 150
#define SEEDS 16

typedef struct {
	pl_health_t health;
	pl_ms_t now;
	unsigned int ejected;
	unsigned int returned;
} server_t;

static void note_(server_t *server, pl_health_change_t change)
{
	server->ejected += change == PL_HEALTH_EJECTED;
	server->returned += change == PL_HEALTH_RETURNED;
}

static void answer_(server_t *server, pl_ms_t took_ms, uint32_t bytes)
{
	const pl_health_answer_t answer = { .now = ++server->now,
					    .kind = KIND,
					    .took_ms = took_ms,
					    .usual_ms = USUAL_MS,
					    .bytes = bytes };

	note_(server, pl_health_answered(&server->health, &answer));
}

static void fail_(server_t *server, pl_health_cause_t cause)
{
	note_(server, pl_health_failed(&server->health, cause, ++server->now));
}

static void answers_(server_t *server, int count, pl_ms_t took_ms,
		     uint32_t bytes)
{
	for (int i = 0; i < count; i++)
		answer_(server, took_ms, bytes);
}

static server_t new_server_(void)
{
	server_t server = { .now = 1000 };

	pl_health_init(&server.health);
	answers_(&server, 100, USUAL_MS, USUAL_BYTES);
	return server;
}

/* Fails until it is ejected; returns how many requests that took. */
static int eject_(server_t *server)
{
	unsigned int before = server->ejected;
	int count = 0;

	while (server->ejected == before && count < 100) {
		fail_(server, PL_HEALTH_SILENT);
		count++;
	}
	return count;
}

/* Time from the ejection to the first probe. */
static pl_ms_t wait_(const server_t *server)
{
	return server->health.probe_from - server->health.changed_at;
}

/* Answers well from the first probe on. */
static void recover_(server_t *server)
{
	server->now = server->health.probe_from;
	answers_(server, 10, USUAL_MS, USUAL_BYTES);
}

/* Guards against an ejection by chance: answers of uneven size and time, some of
 * them short and some quick. */
static void uneven_work_ejects_no_server(void **state)
{
	(void)state;
	for (unsigned short seed = 0; seed < SEEDS; seed++) {
		unsigned short random[3] = { 71, 35, seed };
		server_t server = new_server_();

		for (int i = 0; i < 20000; i++) {
			double took = 0.1 + 1.8 * erand48(random);

			answer_(&server, (pl_ms_t)(USUAL_MS * took),
				(uint32_t)(1200 * erand48(random)));
		}
		assert_int_equal(server.ejected, 0);
	}
}

/* Load patterns: a server that answers nothing, errors, resets or refuses,
 * wholly or two requests in five. */
static void failing_server_is_ejected(void **state)
{
	static const pl_health_cause_t causes[] = { PL_HEALTH_REFUSED,
						    PL_HEALTH_RESET,
						    PL_HEALTH_SILENT };
	server_t server;

	(void)state;
	for (size_t i = 0; i < sizeof(causes) / sizeof(causes[0]); i++) {
		server = new_server_();
		for (int k = 0; k < 15 && server.ejected == 0; k++) {
			if (k % 5 < 2)
				fail_(&server, causes[i]);
			else
				answer_(&server, USUAL_MS, USUAL_BYTES);
		}
		assert_int_equal(server.ejected, 1);
		assert_int_equal(server.health.cause, causes[i]);
	}
	server = new_server_();
	assert_in_range(eject_(&server), 2, 4);
	/* slow answers are a matter of the pace */
	server = new_server_();
	answers_(&server, 100, USUAL_MS * 8, USUAL_BYTES);
	assert_int_equal(server.ejected, 0);
}

/* Load pattern: errors that are answered at once. Small answers alone and quick
 * answers alone are not errors. */
static void short_answers_eject(void **state)
{
	server_t server = new_server_();

	(void)state;
	answers_(&server, 20, 1, USUAL_BYTES);
	answers_(&server, 20, USUAL_MS, ERROR_BYTES);
	assert_int_equal(server.ejected, 0);
	server = new_server_();
	answers_(&server, 4, 1, ERROR_BYTES);
	assert_int_equal(server.ejected, 1);
	assert_int_equal(server.health.cause, PL_HEALTH_SHORT);
}

/* Load pattern: a server fails for a while and recovers. */
static void ejected_server_is_probed_until_it_recovers(void **state)
{
	server_t server = new_server_();

	(void)state;
	eject_(&server);
	assert_true(pl_health_level(&server.health, server.now) >=
		    PL_HEALTH_OUT);
	assert_false(pl_health_admits(&server.health, server.now));
	server.now = server.health.probe_from;
	assert_int_equal(pl_health_level(&server.health, server.now),
			 PL_HEALTH_PROBE);
	assert_true(pl_health_admits(&server.health, server.now));
	pl_health_probe_started(&server.health);
	assert_false(pl_health_admits(&server.health, server.now));
	eject_(&server);
	pl_health_probe_ended(&server.health);
	assert_false(pl_health_admits(&server.health, server.now));
	/* one bad answer from before does not keep it out */
	server.now = server.health.probe_from;
	fail_(&server, PL_HEALTH_SILENT);
	answers_(&server, 5, USUAL_MS, USUAL_BYTES);
	assert_int_equal(server.ejected, 2);
	assert_int_equal(server.returned, 1);
	assert_int_equal(pl_health_level(&server.health, server.now),
			 PL_HEALTH_GOOD);
}

static void waits_double_and_shrink(void **state)
{
	static const pl_ms_t waits[] = { 1000, 2000, 4000, 8000, 8000 };
	server_t server = new_server_();

	(void)state;
	for (size_t i = 0; i < sizeof(waits) / sizeof(waits[0]); i++) {
		eject_(&server);
		assert_int_equal(wait_(&server), waits[i]);
		recover_(&server);
	}
	server.now += 20000;
	eject_(&server);
	assert_int_equal(wait_(&server), 4000);
	recover_(&server);
	server.now += 60000;
	eject_(&server);
	assert_int_equal(wait_(&server), 1000);
}

/* Load pattern: a server goes down and up by turns. One crash costs it nothing
 * but its start, and a planned replacement is another server. */
static void flapping_server_is_ejected(void **state)
{
	server_t server = new_server_();

	(void)state;
	note_(&server, pl_health_ended(&server.health, server.now));
	assert_int_equal(server.ejected, 0);
	answers_(&server, 700, USUAL_MS, USUAL_BYTES);
	note_(&server, pl_health_ended(&server.health, server.now));
	assert_int_equal(server.health.cause, PL_HEALTH_ENDED);
	assert_int_equal(wait_(&server), 1000);
	server.now += 1400;
	note_(&server, pl_health_ended(&server.health, server.now));
	assert_int_equal(wait_(&server), 2000);
	pl_health_replaced(&server.health);
	assert_true(pl_health_admits(&server.health, server.now));
}

static uint32_t out_from_(size_t good, size_t bad, size_t worse)
{
	pl_health_census_t census = { { 0 } };

	census.at[PL_HEALTH_GOOD] = good;
	census.at[PL_HEALTH_OUT] = bad;
	census.at[PL_HEALTH_OUT + 2] = worse;
	return pl_health_out_from(&census);
}

/* Load patterns: few are bad; most are, and the best of them are needed; all
 * are alike, as after a loss of all. */
static void at_most_half_are_out(void **state)
{
	(void)state;
	assert_int_equal(out_from_(6, 2, 0), PL_HEALTH_OUT);
	assert_int_equal(out_from_(2, 4, 2), PL_HEALTH_OUT + 1);
	assert_int_equal(out_from_(3, 0, 5), PL_HEALTH_OUT + 3);
	assert_int_equal(out_from_(0, 8, 0), PL_HEALTH_OUT + 1);
	assert_int_equal(out_from_(0, 0, 1), PL_HEALTH_OUT + 3);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(uneven_work_ejects_no_server),
		cmocka_unit_test(failing_server_is_ejected),
		cmocka_unit_test(short_answers_eject),
		cmocka_unit_test(ejected_server_is_probed_until_it_recovers),
		cmocka_unit_test(waits_double_and_shrink),
		cmocka_unit_test(flapping_server_is_ejected),
		cmocka_unit_test(at_most_half_are_out),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
