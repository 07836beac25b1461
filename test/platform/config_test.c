#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#include <glib.h>
#include <platform/platform.h>
#include <string.h>

static pl_result_t decode_(const char *text, pl_document_t **document,
			   size_t *skipped)
{
	pl_error_t err = PL_ERROR_INIT;

	return pl_platform_config_decode(text, strlen(text), document, skipped,
					 &err);
}

static void routes_become_sections(void **state)
{
	static const char text[] =
		"{\"version\":7,\"routes\":["
		"{\"name\":\"a\",\"host\":\"198.18.0.1\",\"prefix\":\"/8443/\","
		"\"kind\":\"safe\",\"timeout_ms\":3000,\"goal_ms\":200,"
		"\"priority\":2,\"service\":\"s1\"},"
		"{\"name\":\"b\",\"host\":\"198.18.0.1\",\"prefix\":\"/8080/\","
		"\"timeout_ms\":4000,\"goal_ms\":250.0,\"priority\":1,"
		"\"service\":\"s1\"},"
		"{\"name\":\"c\",\"host\":\"198.18.0.2\",\"prefix\":\"/443/\","
		"\"backends\":[{\"service\":\"s1\",\"weight\":10},"
		"{\"service\":\"s2\",\"weight\":90}]}],"
		"\"services\":[],\"limits\":{}}";
	const pl_service_config_t *service;
	pl_document_t *document;
	size_t skipped;

	(void)state;
	assert_int_equal(decode_(text, &document, &skipped), PL_OK);
	assert_int_equal(skipped, 0);
	assert_int_equal(pl_document_revision(document), 7);
	assert_int_equal(pl_document_count(document), 2);
	service = pl_section_service(pl_document_find(document, "s1"));
	assert_int_equal(service->address_count, 3);
	assert_int_equal(service->addresses[0].port, 8080);
	assert_int_equal(service->routes[0].goal_ms, 250);
	assert_int_equal(service->routes[0].priority, 1);
	assert_int_equal(service->routes[1].goal_ms, 200);
	assert_int_equal(service->addresses[2].port, 443);
	assert_int_equal(service->routes[2].weight, 100000);
	service = pl_section_service(pl_document_find(document, "s2"));
	assert_int_equal(service->addresses[0].port, 443);
	pl_document_put(document);
}

/* Compares the services of the only route with @p expected. */
static void assert_weights_(const pl_document_t *document, const char *expected)
{
	GString *text = g_string_new(NULL);

	for (size_t i = 0; i < pl_document_count(document); i++) {
		const pl_service_config_t *service =
			pl_section_service(pl_document_at(document, i));

		assert_int_equal(service->address_count, 1);
		g_string_append_printf(text, "%s%s", i ? " " : "",
				       service->name);
		if (service->routes[0].weighted)
			g_string_append_printf(text, " %u",
					       service->routes[0].weight);
	}
	assert_string_equal(text->str, expected);
	g_string_free(text, TRUE);
}

/* Guards against the loss of a route with fractional weights, or with none
 * above 0: entries reset the open flows of a route that is missing. */
static void route_keeps_a_service_whatever_its_weights(void **state)
{
	static const struct {
		const char *backends;
		const char *expected; /* services, with their weights if any */
	} cases[] = {
		{ "{\"service\":\"a\",\"weight\":0.4},"
		  "{\"service\":\"b\",\"weight\":0.6}",
		  "a 400000 b 600000" },
		{ "{\"service\":\"a\",\"weight\":90},"
		  "{\"service\":\"b\",\"weight\":10}",
		  "a 900000 b 100000" },
		{ "{\"service\":\"a\",\"weight\":1.7e308},"
		  "{\"service\":\"b\",\"weight\":1.7e308}",
		  "a 500000 b 500000" },
		{ "{\"service\":\"a\",\"weight\":1e-300},"
		  "{\"service\":\"b\",\"weight\":1}",
		  "a 1 b 1000000" },
		{ "{\"service\":\"a\",\"weight\":0},"
		  "{\"service\":\"b\",\"weight\":0}",
		  "a 0 b 0" },
		{ "{\"service\":\"a\",\"weight\":1},"
		  "{\"service\":\"b\",\"weight\":0}",
		  "a 1000000 b 0" },
		{ "{\"service\":\"a\",\"weight\":0}", "a 0" },
		{ "{\"service\":\"a\"},{\"service\":\"b\"}", "a 1000000 b 0" },
		{ "{\"service\":\"a\",\"weight\":null},"
		  "{\"service\":\"b\",\"weight\":1}",
		  "a 0 b 1000000" },
		{ "{\"service\":\"a\",\"weight\":0},"
		  "{\"service\":\"b\",\"weight\":\"x\"}",
		  "a 0 b 1000000" },
		{ "{\"service\":\"a\",\"weight\":-1},"
		  "{\"service\":\"b\",\"weight\":3}",
		  "a 0 b 1000000" },
		{ "{\"service\":\"a\",\"weight\":1},"
		  "{\"service\":\"b\",\"weight\":2},"
		  "{\"service\":\"a\",\"weight\":1}",
		  "a 500000 b 500000" },
		{ "{\"weight\":90},{\"service\":\"b\",\"weight\":10}", "b" },
	};
	pl_document_t *document;
	size_t skipped;

	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		g_autofree char *text = g_strdup_printf(
			"{\"version\":3,\"routes\":[{\"host\":\"1.2.3.4\","
			"\"prefix\":\"/80/\",\"backends\":[%s]}]}",
			cases[i].backends);

		assert_int_equal(decode_(text, &document, &skipped), PL_OK);
		assert_int_equal(skipped, 0);
		assert_weights_(document, cases[i].expected);
		pl_document_put(document);
	}
}

/* Guards against routes that were skipped because a service had more than 4,096
 * of them: entries reset the open flows of a route that is missing. The routes
 * fill a value of the largest size that the store holds. */
static void routes_of_the_largest_value_are_all_kept(void **state)
{
	const size_t value_max = 1024 * 1024;
	GString *text = g_string_new("{\"version\":3,\"routes\":[");
	pl_error_t err = PL_ERROR_INIT;
	const pl_section_t *section;
	pl_section_t *copy = NULL;
	pl_document_t *document;
	size_t count = 0;
	size_t skipped;
	size_t len;
	const uint8_t *bytes;

	(void)state;
	while (text->len < value_max - 100) {
		g_string_append_printf(
			text,
			"%s{\"host\":\"1.2.%zu.%zu\",\"prefix\":\"/1/\","
			"\"service\":\"s\"}",
			count ? "," : "", count / 256, count % 256);
		count++;
	}
	g_string_append(text, "]}");
	assert_true(text->len <= value_max);
	assert_int_equal(decode_(text->str, &document, &skipped), PL_OK);
	assert_int_equal(skipped, 0);
	section = pl_document_find(document, "s");
	assert_int_equal(pl_section_service(section)->address_count, count);
	/* members pass the section on */
	bytes = pl_section_bytes(section, &len);
	assert_int_equal(pl_section_decode(bytes, len, &copy, &err), PL_OK);
	assert_int_equal(pl_section_service(copy)->address_count, count);
	pl_section_put(copy);
	pl_document_put(document);
	g_string_free(text, TRUE);
}

static void limits_of_cold_servers_are_read(void **state)
{
	static const char text[] =
		"{\"version\":3,\"routes\":["
		"{\"host\":\"1.2.3.4\",\"prefix\":\"/1/\",\"service\":\"a\"},"
		"{\"host\":\"1.2.3.4\",\"prefix\":\"/2/\",\"service\":\"b\"},"
		"{\"host\":\"1.2.3.4\",\"prefix\":\"/3/\",\"service\":\"c\"}],"
		"\"services\":[null,{\"warmup_s\":9},"
		"{\"name\":\"a\",\"warmup_s\":2.0,\"warmup_per_s\":5.5},"
		"{\"name\":\"b\",\"warmup_s\":3,\"warmup_per_s\":0.0},"
		"{\"name\":\"c\",\"warmup_s\":-1,\"warmup_per_s\":\"7\"}]}";
	static const uint32_t expected[][2] = { { 2000, 5500 },
						{ 3000, 0 },
						{ 0, 0 } };
	pl_document_t *document;
	size_t skipped;

	(void)state;
	assert_int_equal(decode_(text, &document, &skipped), PL_OK);
	for (size_t i = 0; i < G_N_ELEMENTS(expected); i++) {
		const pl_service_policy_t *policy =
			&pl_section_service(pl_document_at(document, i))
				 ->policy;

		assert_int_equal(policy->warmup_ms, expected[i][0]);
		assert_int_equal(policy->warmup_rate_milli, expected[i][1]);
	}
	pl_document_put(document);
}

static void unreadable_routes_are_skipped(void **state)
{
	static const char text[] =
		"{\"version\":3,\"routes\":[7,null,{},"
		"{\"host\":\"x\",\"prefix\":\"/1/\",\"service\":\"s\"},"
		"{\"host\":\"1.2.3.4\",\"prefix\":\"/99999/\",\"service\":\"s\"},"
		"{\"host\":\"1.2.3.4\",\"prefix\":\"80\",\"service\":\"s\"},"
		"{\"host\":\"1.2.3.4\",\"prefix\":\"/80/\",\"service\":7},"
		"{\"host\":\"1.2.3.4\",\"prefix\":\"/80/\",\"service\":\"s\"}]}";
	pl_document_t *document;
	size_t skipped;

	(void)state;
	assert_int_equal(decode_(text, &document, &skipped), PL_OK);
	assert_int_equal(skipped, 7);
	assert_int_equal(pl_document_count(document), 1);
	pl_document_put(document);
}

static void invalid_documents_are_rejected(void **state)
{
	static const char *const texts[] = {
		"",
		"{",
		"[]",
		"7",
		"{\"version\":0,\"routes\":[]}",
		"{\"version\":-1,\"routes\":[]}",
		"{\"version\":\"7\",\"routes\":[]}",
		"{\"version\":7}",
		"{\"version\":7,\"routes\":{}}",
	};
	pl_document_t *document;
	size_t skipped;

	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(texts); i++) {
		assert_int_equal(decode_(texts[i], &document, &skipped),
				 PL_ERR_MALFORMED);
		assert_null(document);
	}
}

static void keys_of_evacuations_are_recognised(void **state)
{
	(void)state;
	assert_string_equal(
		pl_platform_evacuated_datacentre("op/evacuate/zone-a"),
		"zone-a");
	assert_null(pl_platform_evacuated_datacentre("op/evacuate/"));
	assert_null(pl_platform_evacuated_datacentre("op/evacuated/zone-a"));
	assert_null(pl_platform_evacuated_datacentre(pl_platform_config_key));
	assert_true(pl_platform_evacuation_readable("{}", 2));
	assert_false(pl_platform_evacuation_readable("", 0));
	assert_false(pl_platform_evacuation_readable("{", 1));
	assert_false(pl_platform_evacuation_readable("[]", 2));
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(keys_of_evacuations_are_recognised),
		cmocka_unit_test(routes_become_sections),
		cmocka_unit_test(route_keeps_a_service_whatever_its_weights),
		cmocka_unit_test(routes_of_the_largest_value_are_all_kept),
		cmocka_unit_test(limits_of_cold_servers_are_read),
		cmocka_unit_test(unreadable_routes_are_skipped),
		cmocka_unit_test(invalid_documents_are_rejected),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
