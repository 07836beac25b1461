/**
 * @file
 * The stand-ins against each other: callers, fabric, a relay in place of
 * entries and agents, and a backend server.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include "common/process.h"
#include "common/standin.h"
#include "relay.h"

#include <string.h>

#define SERVICE "permit-desk"
#define SERVICE_ADDRESS "192.0.2.10:5683"
#define SETTLE_MS 60000

#define TEST(name) cmocka_unit_test_setup_teardown(name, set_up_, tear_down_)

typedef struct {
	pl_process_t *fabric;
	pl_process_t *backend;
	pl_process_t *caller;
	relay_t *relay;
} bench_t;

static void ok_(char *answer)
{
	assert_non_null(answer);
	assert_true(g_str_has_prefix(answer, "ok"));
	g_free(answer);
}

static pl_addr_t value_addr_(pl_process_t *process, const char *name)
{
	char *text = pl_process_value(process, name);
	pl_addr_t addr;

	assert_non_null(text);
	assert_int_equal(pl_addr_parse(text, &addr, NULL), PL_OK);
	g_free(text);
	return addr;
}

/* Callers of a service reach a backend server that may be another's. */
static void start_(bench_t *bench, const char *backend_service)
{
	const char *fabric[] = { PL_FABRIC, "--seed=7", NULL };
	const char *backend[] = { PL_BACKEND, "--service", backend_service,
				  "--slots=100", NULL };
	const char *caller[] = { PL_CALLER, "--ack-timeout-ms=1000", NULL };
	char text[PL_ADDR_TEXT_MAX];
	pl_addr_t to_fabric;
	pl_addr_t to_backend;
	pl_addr_t service;
	char *answer;
	char *listen;

	bench->fabric = pl_process_start(fabric, NULL);
	bench->backend = pl_process_start(backend, NULL);
	bench->caller = pl_process_start(caller, NULL);
	assert_non_null(bench->fabric);
	assert_non_null(bench->backend);
	assert_non_null(bench->caller);
	to_fabric = value_addr_(bench->fabric, "return");
	to_backend = value_addr_(bench->backend, "listen");
	pl_addr_parse(SERVICE_ADDRESS, &service, NULL);
	bench->relay = relay_new(&to_fabric);
	relay_add(bench->relay, &service, &to_backend);
	ok_(pl_process_ask(bench->fabric, "entry add %s",
			   pl_addr_format(relay_addr(bench->relay), text)));
	answer = pl_process_ask(bench->fabric, "service " SERVICE_ADDRESS);
	listen = pl_content_field(answer, strlen(answer), "listen");
	ok_(pl_process_ask(bench->caller, "service " SERVICE " %s", listen));
	g_free(listen);
	g_free(answer);
}

static int set_up_(void **state)
{
	*state = g_new0(bench_t, 1);
	return 0;
}

static int tear_down_(void **state)
{
	bench_t *bench = *state;

	pl_process_delete(bench->caller);
	pl_process_delete(bench->backend);
	relay_delete(bench->relay);
	pl_process_delete(bench->fabric);
	g_free(bench);
	return 0;
}

static void settle_(bench_t *bench)
{
	uint64_t until_ms = pl_now_ms() + SETTLE_MS;

	while (pl_process_ask_number(bench->caller, "pending", "pending") > 0)
		assert_true(pl_now_ms() < until_ms);
}

/* Number in the caller's report, which is JSON with one object per kind. */
static long long told_(bench_t *bench, const char *kind, const char *told)
{
	char *report = pl_process_ask(bench->caller, "report");
	char *quoted_kind = g_strdup_printf("\"%s\":", kind);
	char *quoted_told = g_strdup_printf("\"%s\":", told);
	const char *at = strstr(report, quoted_kind);
	long long number;

	assert_non_null(at);
	at = strstr(at, quoted_told);
	assert_non_null(at);
	number = g_ascii_strtoll(at + strlen(quoted_told), NULL, 10);
	g_free(quoted_told);
	g_free(quoted_kind);
	g_free(report);
	return number;
}

static void test_every_kind_is_answered_whole_(void **state)
{
	bench_t *bench = *state;

	start_(bench, SERVICE);
	ok_(pl_process_ask(bench->caller, "get " SERVICE " permits/1 20"));
	ok_(pl_process_ask(bench->caller, "post " SERVICE " applications 20"));
	ok_(pl_process_ask(bench->caller, "blob " SERVICE " blob 3 200000"));
	ok_(pl_process_ask(bench->caller,
			   "upload " SERVICE " uploads 3 30000"));
	settle_(bench);
	assert_int_equal(told_(bench, "get", "answered"), 20);
	assert_int_equal(told_(bench, "post", "answered"), 20);
	assert_int_equal(told_(bench, "blob", "answered"), 3);
	assert_int_equal(told_(bench, "upload", "answered"), 3);
	assert_int_equal(pl_process_ask_number(bench->backend, "runs", "runs"),
			 23);
}

static void test_losses_are_overcome_(void **state)
{
	bench_t *bench = *state;

	start_(bench, SERVICE);
	ok_(pl_process_ask(bench->fabric, "loss 50"));
	ok_(pl_process_ask(bench->fabric, "dup 50"));
	ok_(pl_process_ask(bench->fabric, "reorder 100"));
	ok_(pl_process_ask(bench->caller, "get " SERVICE " permits/1 50"));
	ok_(pl_process_ask(bench->caller, "blob " SERVICE " blob 2 50000"));
	settle_(bench);
	assert_int_equal(told_(bench, "get", "answered"), 50);
	assert_int_equal(told_(bench, "blob", "answered"), 2);
	assert_true(pl_process_ask_number(bench->fabric, "lost", "stats") > 0);
	assert_true(pl_process_ask_number(bench->fabric, "duplicated",
					  "stats") > 0);
	assert_true(pl_process_ask_number(bench->fabric, "reordered", "stats") >
		    0);
}

static void test_views_follow_the_state_(void **state)
{
	uint64_t until_ms = pl_now_ms() + SETTLE_MS;
	bench_t *bench = *state;

	start_(bench, SERVICE);
	ok_(pl_process_ask(bench->caller, "view " SERVICE " state/1 10"));
	settle_(bench);
	ok_(pl_process_ask(bench->backend, "update 1 5"));
	while (pl_process_ask_number(bench->caller, "current",
				     "views " SERVICE " state/1 5") < 10)
		assert_true(pl_now_ms() < until_ms);
	assert_int_equal(told_(bench, "view", "broken"), 0);
}

static void test_refusal_is_told_and_nothing_runs_(void **state)
{
	bench_t *bench = *state;

	start_(bench, SERVICE);
	ok_(pl_process_ask(bench->backend, "shed on"));
	ok_(pl_process_ask(bench->caller, "post " SERVICE " applications 5"));
	settle_(bench);
	assert_int_equal(told_(bench, "post", "refused"), 5);
	assert_int_equal(pl_process_ask_number(bench->backend, "runs", "runs"),
			 0);
}

static void test_crossed_service_is_seen_(void **state)
{
	bench_t *bench = *state;

	start_(bench, "meter-records");
	ok_(pl_process_ask(bench->caller, "get " SERVICE " permits/1 5"));
	settle_(bench);
	assert_int_equal(told_(bench, "get", "crossed"), 5);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		TEST(test_every_kind_is_answered_whole_),
		TEST(test_losses_are_overcome_),
		TEST(test_views_follow_the_state_),
		TEST(test_refusal_is_told_and_nothing_runs_),
		TEST(test_crossed_service_is_seen_),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
