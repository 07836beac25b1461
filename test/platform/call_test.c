#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#include <glib.h>
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

/* A field of a report, its valid form, and whether it is a text. */
typedef struct {
	const char *name;
	const char *valid;
	bool text;
} field_t;

static const field_t fields_[] = {
	{ "service", "\"huvo11a\"", true },
	{ "address", "\"10.128.0.9:8080\"", true },
	{ "zone", "\"z\"", true },
	{ "version", "\"v1\"", true },
	{ "max_concurrency", "5", false },
	{ "state", "\"ready\"", true },
	{ "warmup_left_ms", "0", false },
	{ "sequence", "4", false },
	{ "born", "1767638575470", false },
};

#define FIELD_COUNT (sizeof(fields_) / sizeof(fields_[0]))

/* Writes a report in which the field @p changed has the form @p value; NULL
 * leaves the field out. */
static const char *write_report_(char text[1024], size_t changed,
				 const char *value)
{
	size_t len = 1;

	text[0] = '{';
	for (size_t i = 0; i < FIELD_COUNT; i++) {
		const char *form = i == changed ? value : fields_[i].valid;

		if (form)
			len += (size_t)snprintf(
				text + len, 1024 - len, "%s\"%s\":%s",
				len > 1 ? "," : "", fields_[i].name, form);
	}
	snprintf(text + len, 1024 - len, "}");
	return text;
}

static void assert_invalid_(size_t field, const char *value)
{
	char text[1024];
	pl_platform_request_t request = parse_(
		"PUT", instance_path_, write_report_(text, field, value));

	assert_int_equal(request.type, PL_PLATFORM_REQUEST_MALFORMED);
	assert_string_equal(request.invalid_field, fields_[field].name);
}

/* Guards against a report of another sender that was taken for one of a new
 * process of the backend server, because a missing or malformed start time
 * counted as 0 and three fields were not read at all. */
static void report_with_a_malformed_field_is_rejected(void **state)
{
	static const char *const never[] = { NULL,  "null", "true",	"[]",
					     "[1]", "{}",   "{\"a\":1}" };
	static const char *const no_text[] = { "7", "1.5", "\"\"",
					       "\"a\\u0000\"" };
	static const char *const no_number[] = { "\"7\"",
						 "\"\"",
						 "-1",
						 "1.5",
						 "5.0",
						 "1e3",
						 "9007199254740992",
						 "18446744073709551615",
						 "99999999999999999999999" };
	static const char *const no_address[] = {
		"\"10.128.0.9\"", "\"10.128.0.9:0\"", "\"host:80\"",
		"\"10.128.0.9:99999\"", "\"10.128.0.9:\""
	};
	static const char *const no_state[] = { "\"resting\"", "\"READY\"",
						"\"ready \"" };
	char text[1024];

	(void)state;
	assert_int_equal(parse_("PUT", instance_path_,
				write_report_(text, FIELD_COUNT, NULL))
				 .type,
			 PL_PLATFORM_REQUEST_REPORT);
	for (size_t i = 0; i < FIELD_COUNT; i++) {
		for (size_t k = 0; k < G_N_ELEMENTS(never); k++)
			assert_invalid_(i, never[k]);
		for (size_t k = 0; fields_[i].text && k < G_N_ELEMENTS(no_text);
		     k++) {
			/* the software's version may be empty */
			if (k != 2 || strcmp(fields_[i].name, "version") != 0)
				assert_invalid_(i, no_text[k]);
		}
		for (size_t k = 0;
		     !fields_[i].text && k < G_N_ELEMENTS(no_number); k++)
			assert_invalid_(i, no_number[k]);
	}
	for (size_t k = 0; k < G_N_ELEMENTS(no_address); k++)
		assert_invalid_(1, no_address[k]);
	for (size_t k = 0; k < G_N_ELEMENTS(no_state); k++)
		assert_invalid_(5, no_state[k]);
	assert_invalid_(0, "\"line\\nbreak\"");
	assert_invalid_(4, "0");
	assert_invalid_(8, "0");
}

/* The body as a whole must be one JSON object in UTF-8. */
static void report_that_is_no_json_object_is_rejected(void **state)
{
	char text[1024];
	char body[2048];

	(void)state;
	write_report_(text, FIELD_COUNT, NULL);
	snprintf(body, sizeof(body), "%s%s", text, text);
	assert_int_equal(parse_("PUT", instance_path_, body).type,
			 PL_PLATFORM_REQUEST_MALFORMED);
	snprintf(body, sizeof(body), "[%s]", text);
	assert_int_equal(parse_("PUT", instance_path_, body).type,
			 PL_PLATFORM_REQUEST_MALFORMED);
	snprintf(body, sizeof(body), "%.*s", (int)strlen(text) - 1, text);
	assert_int_equal(parse_("PUT", instance_path_, body).type,
			 PL_PLATFORM_REQUEST_MALFORMED);
	snprintf(body, sizeof(body), "/* report */ %s", text);
	assert_int_equal(parse_("PUT", instance_path_, body).type,
			 PL_PLATFORM_REQUEST_MALFORMED);
	write_report_(text, 3, "'v1'");
	assert_int_equal(parse_("PUT", instance_path_, text).type,
			 PL_PLATFORM_REQUEST_MALFORMED);
	write_report_(text, 3, "\"\xff\"");
	assert_int_equal(parse_("PUT", instance_path_, text).type,
			 PL_PLATFORM_REQUEST_MALFORMED);
	write_report_(text, FIELD_COUNT, NULL);
	assert_int_equal(parse_("PUT", "/v1/instances/a/b", text).type,
			 PL_PLATFORM_REQUEST_MALFORMED);
	assert_int_equal(parse_("PUT", "/v1/instances/a\nb", text).type,
			 PL_PLATFORM_REQUEST_MALFORMED);
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
		cmocka_unit_test(report_with_a_malformed_field_is_rejected),
		cmocka_unit_test(report_that_is_no_json_object_is_rejected),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
