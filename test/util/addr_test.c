#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#include <pimentolift/addr.h>

static void formatted_text_equals_parsed_text(void **state)
{
	const char *texts[] = { "127.0.0.1:5683", "[2001:db8::1]:61616" };
	char text[PL_ADDR_TEXT_MAX];
	pl_addr_t addr;

	(void)state;
	for (int i = 0; i < 2; i++) {
		assert_int_equal(pl_addr_parse(texts[i], &addr, NULL), PL_OK);
		assert_string_equal(pl_addr_format(&addr, text), texts[i]);
	}
}

static void invalid_text_is_rejected(void **state)
{
	const char *texts[] = {
		"",	      "127.0.0.1", "127.0.0.1:",   "127.0.0.1:x",
		"127.0.0:80", "[::1:80",   "1.2.3.4:65536"
	};
	pl_addr_t addr;

	(void)state;
	for (size_t i = 0; i < sizeof(texts) / sizeof(texts[0]); i++)
		assert_int_equal(pl_addr_parse(texts[i], &addr, NULL),
				 PL_ERR_CONFIG);
}

static void member_id_converts_back_to_address(void **state)
{
	pl_addr_t addr;
	pl_addr_t converted;

	(void)state;
	assert_int_equal(pl_addr_parse("10.1.2.3:7001", &addr, NULL), PL_OK);
	converted = pl_member_id_to_addr(pl_member_id_from_addr(&addr));
	assert_true(pl_addr_equal(&addr, &converted));
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(formatted_text_equals_parsed_text),
		cmocka_unit_test(invalid_text_is_rejected),
		cmocka_unit_test(member_id_converts_back_to_address),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
