/**
 * @file
 * Tests of the stand-ins together: callers, fabric, a relay in place of entries
 * and agents, and a backend server.
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
#define WAIT_MAX_MS 60000

#define TEST(name) cmocka_unit_test_setup_teardown(name, set_up_, tear_down_)

typedef struct {
	pl_process_t *fabric;
	pl_process_t *backend;
	pl_process_t *caller;
	relay_t *relay;
} fixture_t;

static void expect_ok_(char *response)
{
	assert_non_null(response);
	assert_true(g_str_has_prefix(response, "ok"));
	g_free(response);
}

static pl_addr_t get_ready_addr_(pl_process_t *process, const char *name)
{
	char *text = pl_process_ready_value(process, name);
	pl_addr_t addr;

	assert_non_null(text);
	assert_int_equal(pl_addr_parse(text, &addr, NULL), PL_OK);
	g_free(text);
	return addr;
}

/*
 * Starts all stand-ins. Requests to SERVICE reach a backend server that serves
 * @p backend_service.
 */
static void start_standins_(fixture_t *fixture, const char *backend_service)
{
	const char *fabric[] = { PL_FABRIC, "--seed=7", NULL };
	const char *backend[] = { PL_BACKEND, "--service", backend_service,
				  "--slots=100", NULL };
	const char *caller[] = { PL_CALLER, "--ack-timeout-ms=1000", NULL };
	char text[PL_ADDR_TEXT_MAX];
	pl_addr_t to_fabric;
	pl_addr_t to_backend;
	pl_addr_t service;
	char *response;
	char *listen;

	fixture->fabric = pl_process_start(fabric, NULL);
	fixture->backend = pl_process_start(backend, NULL);
	fixture->caller = pl_process_start(caller, NULL);
	assert_non_null(fixture->fabric);
	assert_non_null(fixture->backend);
	assert_non_null(fixture->caller);
	to_fabric = get_ready_addr_(fixture->fabric, "return");
	to_backend = get_ready_addr_(fixture->backend, "listen");
	pl_addr_parse(SERVICE_ADDRESS, &service, NULL);
	fixture->relay = relay_new(&to_fabric);
	relay_add_route(fixture->relay, &service, &to_backend);
	expect_ok_(pl_process_request(
		fixture->fabric, "entry add %s",
		pl_addr_format(relay_addr(fixture->relay), text)));
	response =
		pl_process_request(fixture->fabric, "service " SERVICE_ADDRESS);
	listen = pl_content_field(response, strlen(response), "listen");
	expect_ok_(pl_process_request(fixture->caller, "service " SERVICE " %s",
				      listen));
	g_free(listen);
	g_free(response);
}

static int set_up_(void **state)
{
	*state = g_new0(fixture_t, 1);
	return 0;
}

static int tear_down_(void **state)
{
	fixture_t *fixture = *state;

	pl_process_delete(fixture->caller);
	pl_process_delete(fixture->backend);
	relay_delete(fixture->relay);
	pl_process_delete(fixture->fabric);
	g_free(fixture);
	return 0;
}

static void await_completion_(fixture_t *fixture)
{
	uint64_t deadline_ms = pl_now_ms() + WAIT_MAX_MS;

	while (pl_process_request_number(fixture->caller, "pending",
					 "pending") > 0)
		assert_true(pl_now_ms() < deadline_ms);
}

/* Number of operations of @p kind with @p outcome in the caller's report. */
static long long get_report_count_(fixture_t *fixture, const char *kind,
				   const char *outcome)
{
	char *report = pl_process_request(fixture->caller, "report");
	char *kind_key = g_strdup_printf("\"%s\":", kind);
	char *outcome_key = g_strdup_printf("\"%s\":", outcome);
	const char *at = strstr(report, kind_key);
	long long number;

	assert_non_null(at);
	at = strstr(at, outcome_key);
	assert_non_null(at);
	number = g_ascii_strtoll(at + strlen(outcome_key), NULL, 10);
	g_free(outcome_key);
	g_free(kind_key);
	g_free(report);
	return number;
}

static void test_every_kind_gets_complete_response_(void **state)
{
	fixture_t *fixture = *state;

	start_standins_(fixture, SERVICE);
	expect_ok_(pl_process_request(fixture->caller,
				      "get " SERVICE " permits/1 20"));
	expect_ok_(pl_process_request(fixture->caller,
				      "post " SERVICE " applications 20"));
	expect_ok_(pl_process_request(fixture->caller,
				      "blob " SERVICE " blob 3 200000"));
	expect_ok_(pl_process_request(fixture->caller,
				      "upload " SERVICE " uploads 3 30000"));
	await_completion_(fixture);
	assert_int_equal(get_report_count_(fixture, "get", "answered"), 20);
	assert_int_equal(get_report_count_(fixture, "post", "answered"), 20);
	assert_int_equal(get_report_count_(fixture, "blob", "answered"), 3);
	assert_int_equal(get_report_count_(fixture, "upload", "answered"), 3);
	assert_int_equal(
		pl_process_request_number(fixture->backend, "runs", "runs"),
		23);
}

static void test_operations_survive_network_faults_(void **state)
{
	fixture_t *fixture = *state;

	start_standins_(fixture, SERVICE);
	expect_ok_(pl_process_request(fixture->fabric, "loss 50"));
	expect_ok_(pl_process_request(fixture->fabric, "dup 50"));
	expect_ok_(pl_process_request(fixture->fabric, "reorder 100"));
	expect_ok_(pl_process_request(fixture->caller,
				      "get " SERVICE " permits/1 50"));
	expect_ok_(pl_process_request(fixture->caller,
				      "blob " SERVICE " blob 2 50000"));
	await_completion_(fixture);
	assert_int_equal(get_report_count_(fixture, "get", "answered"), 50);
	assert_int_equal(get_report_count_(fixture, "blob", "answered"), 2);
	assert_true(pl_process_request_number(fixture->fabric, "lost",
					      "stats") > 0);
	assert_true(pl_process_request_number(fixture->fabric, "duplicated",
					      "stats") > 0);
	assert_true(pl_process_request_number(fixture->fabric, "reordered",
					      "stats") > 0);
}

static void test_views_follow_state_(void **state)
{
	uint64_t deadline_ms = pl_now_ms() + WAIT_MAX_MS;
	fixture_t *fixture = *state;

	start_standins_(fixture, SERVICE);
	expect_ok_(pl_process_request(fixture->caller,
				      "view " SERVICE " state/1 10"));
	await_completion_(fixture);
	expect_ok_(pl_process_request(fixture->backend, "update 1 5"));
	while (pl_process_request_number(fixture->caller, "current",
					 "views " SERVICE " state/1 5") < 10)
		assert_true(pl_now_ms() < deadline_ms);
	assert_int_equal(get_report_count_(fixture, "view", "broken"), 0);
}

static void test_refused_posts_do_not_run_(void **state)
{
	fixture_t *fixture = *state;

	start_standins_(fixture, SERVICE);
	expect_ok_(pl_process_request(fixture->backend, "shed on"));
	expect_ok_(pl_process_request(fixture->caller,
				      "post " SERVICE " applications 5"));
	await_completion_(fixture);
	assert_int_equal(get_report_count_(fixture, "post", "refused"), 5);
	assert_int_equal(
		pl_process_request_number(fixture->backend, "runs", "runs"), 0);
}

static void test_response_of_other_service_is_detected_(void **state)
{
	fixture_t *fixture = *state;

	start_standins_(fixture, "meter-records");
	expect_ok_(pl_process_request(fixture->caller,
				      "get " SERVICE " permits/1 5"));
	await_completion_(fixture);
	assert_int_equal(get_report_count_(fixture, "get", "crossed"), 5);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		TEST(test_every_kind_gets_complete_response_),
		TEST(test_operations_survive_network_faults_),
		TEST(test_views_follow_state_),
		TEST(test_refused_posts_do_not_run_),
		TEST(test_response_of_other_service_is_detected_),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
