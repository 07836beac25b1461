#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#include <glib.h>
#include <pimentolift/document.h>
#include <pimentolift/settings.h>
#include <stdlib.h>
#include <string.h>

static pl_document_t *parse_document_(const char *text)
{
	pl_problems_t *problems = pl_problems_new("d.toml");
	pl_document_t *document = NULL;

	if (pl_document_parse(text, strlen(text), 1, &document, problems) !=
	    PL_OK)
		fail_msg("%s", pl_problems_text(problems));
	pl_problems_delete(problems);
	return document;
}

static const char base_text_[] = "format = 1\n"
				 "[[service]]\n"
				 "name = \"permits\"\n"
				 "addresses = [\"192.0.2.1:5683\"]\n"
				 "deadline_ms = 3000\n"
				 "[service.share]\n"
				 "gent = 2\n"
				 "brugge = 1\n"
				 "[[service.objective]]\n"
				 "kind = \"latency\"\n"
				 "target = 0.9995\n"
				 "threshold_ms = 500\n"
				 "[[service]]\n"
				 "name = \"meters\"\n"
				 "addresses = [\"192.0.2.2:5683\"]\n";

static void section_round_trips_and_truncation_is_refused(void **state)
{
	pl_document_t *document = parse_document_(base_text_);
	pl_section_t *section = pl_document_find(document, "permits");
	const pl_service_config_t *service;
	pl_section_t *copy = NULL;
	const uint8_t *bytes;
	size_t len;

	(void)state;
	assert_int_equal(pl_document_count(document), 2);
	assert_null(pl_document_find(document, "permit"));
	bytes = pl_section_bytes(section, &len);
	assert_int_equal(pl_section_decode(bytes, len, &copy, NULL), PL_OK);
	assert_int_equal(pl_section_hash(copy), pl_section_hash(section));
	service = pl_section_service(copy);
	assert_int_equal(service->policy.deadline_ms, 3000);
	assert_int_equal(service->policy.retry_percent, 10);
	assert_int_equal(service->addresses[0].port, 5683);
	assert_int_equal(service->datacentre_weight_count, 2);
	assert_string_equal(service->datacentre_weights[0].datacentre,
			    "brugge");
	assert_int_equal(service->objectives[0].target_ppm, 999500);
	assert_int_equal(service->objectives[0].window_days, 28);
	pl_section_put(copy);
	/* every truncated encoding is refused */
	for (size_t cut = 0; cut < len; cut++)
		assert_int_equal(pl_section_decode(bytes, cut, &copy, NULL),
				 PL_ERR_MALFORMED);
	pl_document_put(document);
}

/* Limits of cold servers are appended: a section without them has the bytes, and
 * so the hash, that earlier releases give it. */
static void limits_of_cold_servers_are_appended(void **state)
{
	g_autofree char *text = g_strconcat("format = 1\n"
					    "[[service]]\n"
					    "name = \"permits\"\n"
					    "addresses = [\"192.0.2.1:5683\"]\n"
					    "warmup_ms = 2000\n"
					    "warmup_rate_milli = 5500\n",
					    NULL);
	g_autofree char *plain = g_strndup(text, strstr(text, "warmup") - text);
	pl_document_t *with = parse_document_(text);
	pl_document_t *without = parse_document_(plain);
	pl_section_t *copy = NULL;
	const uint8_t *bytes;
	size_t plain_len;
	size_t len;
	char *diff = pl_document_diff(without, with);

	(void)state;
	pl_section_bytes(pl_document_at(without, 0), &plain_len);
	bytes = pl_section_bytes(pl_document_at(with, 0), &len);
	/* 3 bytes for each number */
	assert_int_equal(len, plain_len + 6);
	assert_int_equal(pl_section_decode(bytes, len, &copy, NULL), PL_OK);
	assert_int_equal(pl_section_service(copy)->policy.warmup_ms, 2000);
	assert_int_equal(pl_section_service(copy)->policy.warmup_rate_milli,
			 5500);
	assert_non_null(strstr(diff, "warmup_rate_milli 0 -> 5500"));
	free(diff);
	pl_section_put(copy);
	pl_document_put(with);
	pl_document_put(without);
}

static void hash_is_independent_of_the_text_layout(void **state)
{
	pl_document_t *one = parse_document_(base_text_);
	pl_document_t *two = parse_document_(
		"# other order\nformat = 1\n[[service]]\n"
		"addresses = [\"192.0.2.2:5683\"]\nname = \"meters\"\n"
		"[[service]]\nname = 'permits'\ndeadline_ms = 3_000\n"
		"addresses = [ \"192.0.2.1:5683\" ]\n"
		"[[service.objective]]\ntarget = 0.9995\n"
		"window_days = 28\nthreshold_ms = 500\n"
		"kind = \"latency\"\n"
		"[service.share]\nbrugge = 1\ngent = 2\n");

	(void)state;
	assert_int_equal(pl_document_hash(one), pl_document_hash(two));
	pl_document_put(one);
	pl_document_put(two);
}

static void every_problem_names_its_line(void **state)
{
	static const char text[] = "format = 2\n"
				   "environment = \"trial\"\n"
				   "[[service]]\n"
				   "name = \"a\"\n"
				   "addresses = [\"192.0.2.1:1\"]\n"
				   "[[service]]\n"
				   "name = \"a\"\n"
				   "addresses = [\"192.0.2.1:1\"]\n"
				   "retry_percent = 101\n"
				   "[[service]]\n"
				   "addresses = []\n"
				   "answer_keep_ms = 1000\n"
				   "[service.share]\n"
				   "gent = 0\n"
				   "[[service.objective]]\n"
				   "kind = \"latency\"\n"
				   "target = 1.0\n";
	static const char *const expected[] = {
		"d:1: format: this release reads the format 1 only",
		"d:2: environment: is not a known key",
		"d:7: service[1].name: \"a\" is the name of the service at "
		"line 3 already",
		"d:8: service[1].addresses: 192.0.2.1:1 is an address of the "
		"service \"a\" already",
		"d:9: service[1].retry_percent: 101 is not from 0 to 100",
		"d:10: service[2].name: is missing",
		"d:11: service[2].addresses: is empty",
		"d:10: service[2]: answer_keep_ms 1000 is shorter than "
		"deadline_ms 5000",
		"d:13: service[2].share: gives every data centre the weight 0",
		"d:15: service[2].objective[0].threshold_ms: is missing",
		"d:17: service[2].objective[0].target: 1 is not above 0 and "
		"below 1",
	};
	pl_problems_t *problems = pl_problems_new("d");
	pl_document_t *document;

	(void)state;
	assert_int_equal(
		pl_document_parse(text, strlen(text), 1, &document, problems),
		PL_ERR_CONFIG);
	assert_null(document);
	for (size_t i = 0; i < G_N_ELEMENTS(expected); i++) {
		if (!strstr(pl_problems_text(problems), expected[i]))
			fail_msg("no \"%s\" in:\n%s", expected[i],
				 pl_problems_text(problems));
	}
	assert_int_equal(pl_problems_count(problems), G_N_ELEMENTS(expected));
	pl_problems_delete(problems);
}

#define SPLIT_(desk, archive)                                  \
	"format = 1\n"                                         \
	"[[service]]\nname = \"desk\"\n"                       \
	"addresses = [\"192.0.2.1:443\", \"192.0.2.1:80\"]\n"  \
	"[[service.route]]\naddress = \"192.0.2.1:443\"\n"     \
	"weight = " desk "\n[[service]]\nname = \"archive\"\n" \
	"addresses = [\"192.0.2.1:443\"]\n"                    \
	"[[service.route]]\naddress = \"192.0.2.1:443\"\n"     \
	"weight = " archive "\n"

static void weights_of_a_shared_address_round_trip(void **state)
{
	pl_document_t *document = parse_document_(SPLIT_("90", "0"));
	pl_document_t *changed = parse_document_(SPLIT_("80", "20"));
	pl_section_t *section = pl_document_find(document, "desk");
	const pl_route_policy_t *routes;
	pl_section_t *copy = NULL;
	const uint8_t *bytes;
	size_t len;
	char *text;

	(void)state;
	bytes = pl_section_bytes(section, &len);
	assert_int_equal(pl_section_decode(bytes, len, &copy, NULL), PL_OK);
	routes = pl_section_service(copy)->routes;
	assert_true(routes[0].weighted);
	assert_int_equal(routes[0].weight, 90);
	assert_false(routes[1].weighted);
	pl_section_put(copy);
	routes = pl_section_service(pl_document_find(document, "archive"))
			 ->routes;
	assert_true(routes[0].weighted);
	assert_int_equal(routes[0].weight, 0);
	text = pl_document_diff(document, changed);
	assert_string_equal(
		text, "service archive: weight for 192.0.2.1:443 0 -> 20\n"
		      "service desk: weight for 192.0.2.1:443 90 -> 80\n");
	free(text);
	pl_document_put(changed);
	pl_document_put(document);
}

/* Guards against another encoding of a route without a weight: members of an
 * earlier release would compute another hash for the same document. */
static void route_without_a_weight_keeps_its_encoding(void **state)
{
	/* { "s", [192.0.2.1:443], policy, [], [], [[200, 3000, 1]] } */
	static const uint8_t expected[] = {
		0x96, 0xa1, 's',  0x91, 0xc4, 6,   192,	 0,    2,    1,
		0x01, 0xbb, 0x97, 0,	0,    0,   0,	 0,    0,    0,
		0x90, 0x90, 0x91, 0x93, 0xcc, 200, 0xcd, 0x0b, 0xb8, 1,
	};
	pl_service_config_t service = { .name = "s", .address_count = 1 };
	pl_section_t *section;
	const uint8_t *bytes;
	size_t len;

	(void)state;
	service.addresses = g_new0(pl_addr_t, 1);
	pl_addr_parse("192.0.2.1:443", &service.addresses[0], NULL);
	service.routes = g_new0(pl_route_policy_t, 1);
	service.routes[0] = (pl_route_policy_t){ .goal_ms = 200,
						 .timeout_ms = 3000,
						 .priority = 1 };
	section = pl_section_new(&service);
	bytes = pl_section_bytes(section, &len);
	assert_int_equal(len, sizeof(expected));
	assert_memory_equal(bytes, expected, len);
	pl_section_put(section);
}

static void problems_of_weights_name_their_line(void **state)
{
	static const char text[] = "format = 1\n"
				   "[[service]]\n"
				   "name = \"a\"\n"
				   "addresses = [\"192.0.2.1:1\"]\n"
				   "[[service.route]]\n"
				   "address = \"192.0.2.1:2\"\n"
				   "weight = 1\n"
				   "[[service.route]]\n"
				   "address = \"192.0.2.1:1\"\n"
				   "weight = 1000001\n"
				   "[[service.route]]\n"
				   "address = \"192.0.2.1:1\"\n"
				   "[[service]]\n"
				   "name = \"b\"\n"
				   "addresses = [\"192.0.2.1:1\"]\n";
	static const char *const expected[] = {
		"d:6: service[0].route[0].address: is none of the service's "
		"addresses",
		"d:10: service[0].route[1].weight: 1000001 is not from 0 to "
		"1000000",
		"d:11: service[0].route[2].weight: is missing",
		"d:15: service[1].addresses: 192.0.2.1:1 is an address of the "
		"service \"a\" already, and only one of them gives a weight "
		"for it",
	};
	pl_problems_t *problems = pl_problems_new("d");
	pl_document_t *document;

	(void)state;
	assert_int_equal(
		pl_document_parse(text, strlen(text), 1, &document, problems),
		PL_ERR_CONFIG);
	for (size_t i = 0; i < G_N_ELEMENTS(expected); i++) {
		if (!strstr(pl_problems_text(problems), expected[i]))
			fail_msg("no \"%s\" in:\n%s", expected[i],
				 pl_problems_text(problems));
	}
	assert_int_equal(pl_problems_count(problems), G_N_ELEMENTS(expected));
	pl_problems_delete(problems);
}

static void diff_lists_every_change(void **state)
{
	pl_document_t *one = parse_document_(base_text_);
	pl_document_t *two =
		parse_document_("format = 1\n"
				"[[service]]\nname = \"permits\"\n"
				"addresses = [\"192.0.2.9:5683\"]\n"
				"[service.share]\ngent = 3\n"
				"[[service]]\nname = \"new\"\n"
				"addresses = [\"192.0.2.2:5683\"]\n");
	char *text = pl_document_diff(one, two);

	(void)state;
	assert_string_equal(
		text, "service meters removed\n"
		      "service new added\n"
		      "service permits: address 192.0.2.1:5683 removed\n"
		      "service permits: address 192.0.2.9:5683 added\n"
		      "service permits: deadline_ms 3000 -> 5000\n"
		      "service permits: share of gent 2 -> 3\n"
		      "service permits: share of brugge 1 removed\n"
		      "service permits: objective latency 99.9500% within "
		      "500 ms over 28 days removed\n");
	free(text);
	text = pl_document_diff(one, one);
	assert_string_equal(text, "");
	free(text);
	pl_document_put(one);
	pl_document_put(two);
}

static void examples_are_valid(void **state)
{
	static const char *const documents[] = {
		EXAMPLES "/document-hydrantis.toml",
		EXAMPLES "/document-mesure-juste.toml",
	};
	static const char *const settings_files[] = {
		EXAMPLES "/settings-entry.toml",
		EXAMPLES "/settings-agent.toml",
	};

	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(documents); i++) {
		char *text = NULL;

		assert_true(
			g_file_get_contents(documents[i], &text, NULL, NULL));
		pl_document_put(parse_document_(text));
		g_free(text);
	}
	for (size_t i = 0; i < G_N_ELEMENTS(settings_files); i++) {
		pl_problems_t *problems = pl_problems_new(settings_files[i]);
		pl_settings_t *settings = NULL;

		if (pl_settings_load(settings_files[i], &settings, problems) !=
		    PL_OK)
			fail_msg("%s", pl_problems_text(problems));
		pl_settings_free(settings);
		pl_problems_delete(problems);
	}
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(section_round_trips_and_truncation_is_refused),
		cmocka_unit_test(limits_of_cold_servers_are_appended),
		cmocka_unit_test(hash_is_independent_of_the_text_layout),
		cmocka_unit_test(every_problem_names_its_line),
		cmocka_unit_test(weights_of_a_shared_address_round_trip),
		cmocka_unit_test(route_without_a_weight_keeps_its_encoding),
		cmocka_unit_test(problems_of_weights_name_their_line),
		cmocka_unit_test(diff_lists_every_change),
		cmocka_unit_test(examples_are_valid),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
