#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#include <pimentolift/settings.h>
#include <private/toml.h>
#include <stdlib.h>
#include <string.h>

static const char entry_text_[] =
	"role = \"entry\"\n"
	"name = \"entry-1\"\n"
	"environment = \"trial\"\n"
	"datacentre = \"gent\"\n"
	"secret = \"0123456789abcdef\"\n"
	"traffic_threads = 4\n"
	"seeds = [\"192.0.2.1:7946\"]\n"
	"[platform]\n"
	"url = \"http://127.0.0.1:8500\"\n"
	"[entry]\n"
	"listen = [\"127.0.0.1:5683\", \"[::1]:5683\"]\n";

static void reads_every_key_and_default(void **state)
{
	pl_problems_t *problems = pl_problems_new("entry.toml");
	pl_settings_t *settings;
	pl_settings_t *again;
	char *text;

	(void)state;
	assert_int_equal(pl_settings_parse(entry_text_, strlen(entry_text_),
					   &settings, problems),
			 PL_OK);
	assert_int_equal(settings->role, PL_ROLE_ENTRY);
	assert_string_equal(settings->datacentre, "gent");
	assert_int_equal(settings->traffic_threads, 4);
	assert_int_equal(settings->seeds.count, 1);
	assert_int_equal(settings->entry.listen.count, 2);
	assert_int_equal(settings->entry.listen.at[1].family, PL_ADDR_IPV6);
	assert_false(settings->entry.has_fabric);
	assert_int_equal(settings->platform.timeout_ms, 2000);
	assert_int_equal(settings->inner.port, 0);

	/* the printed text is valid except for the missing secret */
	text = pl_settings_print(settings);
	assert_null(strstr(text, "0123456789abcdef"));
	assert_int_equal(
		pl_settings_parse(text, strlen(text), &again, problems),
		PL_ERR_CONFIG);
	assert_int_equal(pl_problems_count(problems), 1);
	assert_non_null(strstr(pl_problems_at(problems, 0), "secret"));
	free(text);
	pl_settings_free(settings);
	pl_problems_delete(problems);
}

static void every_problem_is_found_in_one_pass(void **state)
{
	static const char text[] = "role = \"entrie\"\n"
				   "name = \"a b\"\n"
				   "datacentre = 7\n"
				   "secret = \"short\"\n"
				   "inner = \"[::1]:1\"\n"
				   "traffic_threads = 65\n"
				   "colour = \"red\"\n"
				   "allow_faults = 1\n"
				   "[platform]\n"
				   "url = \"ftp://x\"\n"
				   "timeout = 3\n"
				   "[entry]\n"
				   "listen = [\n"
				   "  \"127.0.0.1:1\",\n"
				   "  \"127.0.0.1\"]\n";
	static const char *const expected[] = {
		"f:1: role: \"entrie\" is none of \"entry\", \"agent\"",
		"f:2: name: \"a b\" has characters",
		"f:1: environment: is missing",
		"f:3: datacentre: must be a text, not a whole number",
		"f:4: secret: is shorter than 16 bytes",
		"f:5: inner: must be an IPv4 address",
		"f:6: traffic_threads: 65 is not from 1 to 64",
		"f:7: colour: is not a known key",
		"f:8: allow_faults: must be true or false, not a whole number",
		"f:10: platform.url: \"ftp://x\" does not start",
		"f:11: platform.timeout: is not a known key",
		"f:13: entry.listen[1]: \"127.0.0.1\" is not an IP address",
	};
	pl_problems_t *problems = pl_problems_new("f");
	pl_settings_t *settings;

	(void)state;
	assert_int_equal(
		pl_settings_parse(text, strlen(text), &settings, problems),
		PL_ERR_CONFIG);
	assert_null(settings);
	for (size_t i = 0; i < sizeof(expected) / sizeof(expected[0]); i++) {
		if (!strstr(pl_problems_text(problems), expected[i]))
			fail_msg("no \"%s\" in:\n%s", expected[i],
				 pl_problems_text(problems));
	}
	assert_int_equal(pl_problems_count(problems),
			 sizeof(expected) / sizeof(expected[0]));
	pl_problems_delete(problems);
}

static void invalid_toml_is_reported_once(void **state)
{
	static const char *const texts[] = {
		"name = \"x\"\nrole = \n",
		"a = 1\na = 2\n",
		"[a\n",
		"= 3",
		"a = [[[[[[[[[[[[[[[[[[[[1]]]]]]]]]]]]]]]]]]]]\n",
	};

	(void)state;
	for (size_t i = 0; i < sizeof(texts) / sizeof(texts[0]); i++) {
		pl_problems_t *problems = pl_problems_new("f");
		pl_settings_t *settings;

		assert_int_equal(pl_settings_parse(texts[i], strlen(texts[i]),
						   &settings, problems),
				 PL_ERR_CONFIG);
		assert_int_equal(pl_problems_count(problems), 1);
		assert_memory_equal(pl_problems_at(problems, 0), "f:", 2);
		pl_problems_delete(problems);
	}
}

static unsigned int line_of_(GHashTable *lines, const char *path)
{
	return GPOINTER_TO_UINT(g_hash_table_lookup(lines, path));
}

static void locator_indexes_arrays_of_tables(void **state)
{
	static const char text[] = "# [x]\n"
				   "a = \"# not a [comment]\" # [y]\n"
				   "b = \"\"\"\n[no]\nk = 1\n\"\"\"\n"
				   "c = ['''\n''', \"\\\"\",\n 2] # c\n"
				   "[[service]] # first\n"
				   "name = 'one'\n"
				   "[service.share]\n"
				   "\"gent\" = 1\n"
				   "[[service.objective]]\n"
				   "[[service.objective]]\n"
				   "kind = 1\n"
				   "[[service]]\n"
				   "x.y = 2\n";
	unsigned int deep = 0;
	GHashTable *lines = pl_toml_locate(text, &deep);

	(void)state;
	assert_non_null(lines);
	assert_int_equal(line_of_(lines, "x"), 0);
	assert_int_equal(line_of_(lines, "a"), 2);
	assert_int_equal(line_of_(lines, "b"), 3);
	assert_int_equal(line_of_(lines, "no"), 0);
	assert_int_equal(line_of_(lines, "c"), 7);
	assert_int_equal(line_of_(lines, "service[0]"), 10);
	assert_int_equal(line_of_(lines, "service[0].share.gent"), 13);
	assert_int_equal(line_of_(lines, "service[0].objective[1].kind"), 16);
	assert_int_equal(line_of_(lines, "service[1].x.y"), 18);
	g_hash_table_destroy(lines);
}

static void flows_sections_are_checked(void **state)
{
	static const char text[] =
		"role = \"agent\"\ntraffic = \"flows\"\nname = \"a\"\n"
		"environment = \"e\"\ndatacentre = \"d\"\n"
		"secret = \"1234567890123456\"\nseed_port = 70000\n"
		"[platform]\nurl = \"ftp://x\"\n"
		"[flows]\nlisten = \"1\"\nreport_ms = \"soon\"\nmore = 1\n";
	pl_problems_t *problems = pl_problems_new("f");
	pl_settings_t *settings;

	(void)state;
	assert_int_equal(
		pl_settings_parse(text, strlen(text), &settings, problems),
		PL_ERR_CONFIG);
	/* seed port, URL, listen, five missing keys, report interval, and an
	 * unknown key */
	assert_int_equal(pl_problems_count(problems), 10);
	pl_problems_delete(problems);
}

/* The platform's templates render integers and floats. */
static void flows_accept_floats(void **state)
{
	static const char text[] =
		"role = \"entry\"\ntraffic = \"flows\"\nname = \"a\"\n"
		"environment = \"e\"\ndatacentre = \"d\"\n"
		"secret = \"1234567890123456\"\nseed_port = 7720\n"
		"seeds = [\"10.0.0.1:8166\"]\n"
		"[platform]\nurl = \"http://10.0.0.9:1\"\n"
		"[flows]\nlisten = \"10.0.0.2:1\"\nready = \"10.0.0.2:2\"\n"
		"flow_max_s = 60.5\nconfig_ms = 2500.0\nlink_mbps = 4.8\n";
	pl_problems_t *problems = pl_problems_new("f");
	pl_settings_t *settings;

	(void)state;
	assert_int_equal(
		pl_settings_parse(text, strlen(text), &settings, problems),
		PL_OK);
	assert_int_equal(settings->flows.config_ms, 2500);
	assert_int_equal(settings->seed_port, 7720);
	pl_settings_free(settings);
	pl_problems_delete(problems);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(reads_every_key_and_default),
		cmocka_unit_test(every_problem_is_found_in_one_pass),
		cmocka_unit_test(invalid_toml_is_reported_once),
		cmocka_unit_test(locator_indexes_arrays_of_tables),
		cmocka_unit_test(flows_sections_are_checked),
		cmocka_unit_test(flows_accept_floats),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
