#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#include <platform/platform.h>
#include <stdio.h>
#include <string.h>

static const char instance_path_[] = "/v1/instances/i-7f3a91c2";

static pl_platform_request_t parse_(const char *method, const char *path,
				    const char *body)
{
	pl_platform_request_t request;

	pl_platform_request_parse(method, path, body, strlen(body), &request);
	return request;
}

static void report_is_parsed(void **state)
{
	pl_platform_request_t request = parse_(
		"PUT", instance_path_,
		"{\"service\":\"huvo11a\",\"address\":\"10.128.0.9:8080\","
		"\"zone\":\"z\",\"version\":\"v1\",\"max_concurrency\":5,"
		"\"state\":\"ready\",\"warmup_left_ms\":1200,\"sequence\":4,"
		"\"born\":1767638575470,\"new_field\":[1,2]}");

	(void)state;
	assert_int_equal(request.type, PL_PLATFORM_REQUEST_REPORT);
	assert_string_equal(request.report.id, "i-7f3a91c2");
	assert_string_equal(request.report.service, "huvo11a");
	assert_int_equal(request.report.born_ms, 1767638575470);
	assert_int_equal(request.report.sequence, 4);
	assert_int_equal(request.report.slots, 5);
	assert_int_equal(request.report.warmup_ms, 1200);
	assert_false(request.report.draining);
}

static void types_of_calls_are_recognised(void **state)
{
	(void)state;
	assert_int_equal(parse_("GET", "/v1/ready", "").type,
			 PL_PLATFORM_REQUEST_READY);
	assert_int_equal(parse_("POST", "/v1/ready", "").type,
			 PL_PLATFORM_REQUEST_WRONG_METHOD);
	assert_int_equal(parse_("DELETE", instance_path_, "").type,
			 PL_PLATFORM_REQUEST_DEREGISTER);
	assert_int_equal(parse_("POST", instance_path_, "").type,
			 PL_PLATFORM_REQUEST_WRONG_METHOD);
	assert_int_equal(parse_("GET", "/other", "").type,
			 PL_PLATFORM_REQUEST_UNKNOWN);
	assert_int_equal(parse_("PUT", "/v1/instances/", "{}").type,
			 PL_PLATFORM_REQUEST_MALFORMED);
}

/* Bodies that are no valid report, for instance from another sender, must not
 * register a backend server. */
static void malformed_reports_are_rejected(void **state)
{
	static const char *const bodies[] = {
		"",
		"{",
		"[]",
		"7",
		"{}",
		"\xff\xfe\x00",
		"{\"service\":7,\"max_concurrency\":5,\"state\":\"ready\","
		"\"warmup_left_ms\":0,\"sequence\":4}",
		"{\"service\":\"\",\"max_concurrency\":5,\"state\":\"ready\","
		"\"warmup_left_ms\":0,\"sequence\":4}",
		"{\"service\":\"a\",\"max_concurrency\":-5,"
		"\"state\":\"ready\",\"warmup_left_ms\":0,\"sequence\":4}",
		"{\"service\":\"a\",\"max_concurrency\":\"5\","
		"\"state\":\"ready\",\"warmup_left_ms\":0,\"sequence\":4}",
		"{\"service\":\"a\",\"max_concurrency\":5,"
		"\"state\":\"resting\",\"warmup_left_ms\":0,\"sequence\":4}",
		"{\"service\":\"a\",\"max_concurrency\":5,\"state\":\"ready\","
		"\"warmup_left_ms\":0,\"sequence\":1.5}",
		"{\"service\":\"a\",\"max_concurrency\":5,\"state\":null,"
		"\"warmup_left_ms\":0,\"sequence\":1}",
	};
	char long_name[400];

	(void)state;
	for (size_t i = 0; i < sizeof(bodies) / sizeof(bodies[0]); i++)
		assert_int_equal(parse_("PUT", instance_path_, bodies[i]).type,
				 PL_PLATFORM_REQUEST_MALFORMED);
	snprintf(long_name, sizeof(long_name), "/v1/instances/%0300d", 7);
	assert_int_equal(parse_("DELETE", long_name, "").type,
			 PL_PLATFORM_REQUEST_MALFORMED);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(report_is_parsed),
		cmocka_unit_test(types_of_calls_are_recognised),
		cmocka_unit_test(malformed_reports_are_rejected),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
